//! HTTP/1.1 messages, as far as clients and engines need them.

use std::{
    io::{
        self,
        ErrorKind,
        Read as _, //
    },
    net::TcpStream, //
};

/// First line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.start.split(' ').nth(number).unwrap_or("")
    }

    /// Returns the framing of the body of an answer.
    pub fn framing(&self) -> Framing {
        if self.header("transfer-encoding").is_some() {
            return Framing::Chunks;
        }
        let length = self.header("content-length");
        let length = length.and_then(|length| length.parse().ok());
        length.map_or(Framing::Close, Framing::Length)
    }
}

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Its length; this many bytes are left.
    Length(usize),
    /// The last chunk.
    Chunks,
    /// The end of the connection.
    Close,
}

/// Reads messages from a connection.
pub struct Reader {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    /// Returns a reader of a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Returns whether bytes were received that belong to no message read so far.
    pub fn pending(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 8 << 10];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            start: self.line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(head);
            };
            let pair = (name.to_owned(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads the next part of a body; `None` at its stated end.
    ///
    /// Fails if the connection ends or is reset before that.
    pub fn part(&mut self, framing: &mut Framing) -> io::Result<Option<Vec<u8>>> {
        match framing {
            Framing::Length(0) => Ok(None),
            Framing::Length(left) => {
                if self.buffer.is_empty() && self.fill()? == 0 {
                    return Err(ErrorKind::UnexpectedEof.into());
                }
                let part = self.exactly(self.buffer.len().min(*left))?;
                *left -= part.len();
                Ok(Some(part))
            }
            Framing::Chunks => {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
                let mut chunk = self.exactly(size + 2)?;
                chunk.truncate(size);
                Ok((size > 0).then_some(chunk))
            }
            Framing::Close => {
                if self.buffer.is_empty() && self.fill()? == 0 {
                    return Ok(None);
                }
                Ok(Some(std::mem::take(&mut self.buffer)))
            }
        }
    }

    /// Reads the body of a request.
    pub fn body(&mut self, head: &Head) -> io::Result<String> {
        let mut framing = match head.framing() {
            Framing::Close => Framing::Length(0),
            framing => framing,
        };
        let mut body = Vec::new();
        while let Some(part) = self.part(&mut framing)? {
            body.extend_from_slice(&part);
        }
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}
