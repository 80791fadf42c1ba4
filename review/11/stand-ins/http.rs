//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body without the framing of chunks.
    pub body: Vec<u8>,
    /// Whether the whole body was received.
    pub complete: bool,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(stream: &mut impl Read) -> io::Result<String> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the head of a message.
pub fn read_head(stream: &mut impl Read) -> io::Result<Message> {
    let mut message = Message {
        start: line(stream)?,
        ..Message::default()
    };
    loop {
        let line = line(stream)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(message);
        };
        let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
}

/// Reads the body of a message; one that breaks off is left incomplete.
pub fn read_body(stream: &mut impl Read, message: &mut Message) {
    message.complete = body(stream, message).is_ok();
}

fn body(stream: &mut impl Read, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(line(stream)?.trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length");
    let mut left = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut part = vec![0; 64 << 10];
    while left > 0 {
        let room = part.len().min(left);
        let read = stream.read(&mut part[..room])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        message.body.extend_from_slice(&part[..read]);
        left -= read;
    }
    Ok(())
}

/// Reads a whole message.
pub fn read(stream: &mut impl Read) -> io::Result<Message> {
    let mut message = read_head(stream)?;
    read_body(stream, &mut message);
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
