//! Client of the platform.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    record::Record,
    wire::{End, Head, Reader},
};

pub const HOST: &str = "shop.example";

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if there was no head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// `None` if there was no head.
    pub end: Option<End>,
}

impl Answer {
    /// Returns whether the client takes the answer for a whole one.
    pub fn looks_complete(&self) -> bool {
        matches!(self.end, Some(End::Complete | End::Closed))
    }

    /// Returns the identifiers of the events.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    pub fn describe(&self) -> String {
        let seal = self.head.header("server-seal").unwrap_or("no seal");
        format!(
            "status {}, {seal}, {} bytes of body, {}",
            self.status,
            self.body.len(),
            match self.end {
                None => "no answer",
                Some(End::Complete) => "complete as framed",
                Some(End::Closed) => "ended with the connection",
                Some(End::Cut) => "cut off",
                Some(End::TimedOut) => "client gave up",
            }
        )
    }
}

pub struct Client {
    pub front: SocketAddr,
    pub record: Record,
}

impl Client {
    /// Opens a connection and sends a request.
    pub fn send(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> std::io::Result<Reader> {
        let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        self.write(stream, id, method, path, headers, body)
    }

    /// Sends a request on an open connection.
    pub fn write(
        &self,
        stream: TcpStream,
        id: &str,
        method: &str,
        path: &str,
        headers: &str,
        body: &str,
    ) -> std::io::Result<Reader> {
        let length = match method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{length}{headers}\r\n{body}"
        );
        (&stream).write_all(text.as_bytes())?;
        let headers = headers.trim_end().replace("\r\n", ", ");
        self.record.note(
            "client",
            &format!(
                "sends {id} to {}: {method} {path} ({headers})",
                self.front.ip()
            ),
        );
        Ok(Reader::new(stream))
    }

    /// Reads an answer.
    pub fn read(&self, id: &str, reader: std::io::Result<Reader>) -> Answer {
        let answer = read(reader);
        self.record
            .note("client", &format!("{id}: {}", answer.describe()));
        answer
    }

    pub fn request(&self, id: &str, method: &str, path: &str, headers: &str, body: &str) -> Answer {
        self.read(id, self.send(id, method, path, headers, body))
    }
}

fn read(reader: std::io::Result<Reader>) -> Answer {
    let none = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        end: None,
    };
    let Ok(mut reader) = reader else {
        return none;
    };
    let Ok(head) = reader.head() else {
        return none;
    };
    let (body, end) = reader.body(&head, true);
    Answer {
        status: head.status(),
        head,
        body,
        end: Some(end),
    }
}
