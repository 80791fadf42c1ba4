//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::{
    io::{ErrorKind, Read, Write},
    net::TcpStream,
};

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// How the body of a message ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Complete,
    /// It has no length and ended with the connection.
    Closed,
    /// The connection was closed or reset before the stated end.
    Cut,
    TimedOut,
}

/// Reads from a connection with a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; `Ok(0)` at the end of the connection.
    pub fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn line(&mut self) -> std::io::Result<String> {
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

    pub fn head(&mut self) -> std::io::Result<Head> {
        let mut head = Head {
            start: self.line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(head);
            };
            let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }

    fn exactly(&mut self, length: usize, body: &mut Vec<u8>) -> std::io::Result<()> {
        while self.buffer.len() < length {
            let read = self.fill();
            if !matches!(read, Ok(1..)) {
                body.append(&mut self.buffer);
                read?;
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(())
    }

    /// Reads the body that follows a head; `answer` tells whether it may end with the connection.
    pub fn body(&mut self, head: &Head, answer: bool) -> (Vec<u8>, End) {
        let mut body = Vec::new();
        let end = match self.read_body(head, answer, &mut body) {
            Ok(end) => end,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => End::TimedOut,
                _ => End::Cut,
            },
        };
        (body, end)
    }

    fn read_body(&mut self, head: &Head, answer: bool, body: &mut Vec<u8>) -> std::io::Result<End> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| std::io::Error::from(ErrorKind::InvalidData))?;
                if size == 0 {
                    self.line()?;
                    return Ok(End::Complete);
                }
                self.exactly(size, body)?;
                let mut line_end = Vec::new();
                self.exactly(2, &mut line_end)?;
            }
        }
        let length = head.header("content-length");
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => self.exactly(length, body).map(|()| End::Complete),
            None if answer => loop {
                body.append(&mut self.buffer);
                if self.fill()? == 0 {
                    return Ok(End::Closed);
                }
            },
            None => Ok(End::Complete),
        }
    }
}

pub fn write_answer(
    mut stream: &TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started.
pub fn signal(process: u32, signal: i32) {
    // SAFETY: the call takes numbers only.
    unsafe { kill(process as i32, signal) };
}

/// Makes the kernel reset the connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the value is two integers, as `struct linger` has them.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr().cast(),
            8,
        )
    };
}
