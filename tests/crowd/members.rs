//! Connections that send what a script says, and read nothing.

use std::{
    io::{
        ErrorKind,
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    thread,
    time::Duration,
};

/// Length of the block that is written at a time.
const BLOCK_BYTES: usize = 64 << 10;

/// Pause between two rounds of a crowd.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Bytes that each connection of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Sent first.
    first: Vec<u8>,
    /// Sent once the first bytes were answered, if there are any.
    second: Vec<u8>,
    /// Sent again and again; a whole number of repetitions.
    block: Vec<u8>,
    /// Bytes of the block that are sent; without end if absent.
    repeated: Option<usize>,
    /// Bytes that a connection sends in a round.
    piece: usize,
    /// Whether connections that were closed are opened again.
    returns: bool,
}

impl Script {
    /// Returns a script that sends one text, and then repeats another one without end.
    pub fn new(first: Vec<u8>, repeated: &[u8]) -> Self {
        Self {
            first,
            second: Vec::new(),
            block: repeated.repeat(1 + BLOCK_BYTES / repeated.len().max(1)),
            repeated: None,
            piece: usize::MAX,
            returns: false,
        }
    }

    /// Stops after this number of repeated bytes, and leaves the connection open.
    pub fn until(self, bytes: usize) -> Self {
        Self {
            repeated: Some(bytes),
            ..self
        }
    }

    /// Sends further bytes once the first ones were answered.
    pub fn then(self, second: Vec<u8>) -> Self {
        Self { second, ..self }
    }

    /// Sends no more than this number of bytes in a round.
    pub fn in_pieces(self, piece: usize) -> Self {
        Self { piece, ..self }
    }

    /// Opens connections again that were closed.
    pub fn returning(self) -> Self {
        Self {
            returns: true,
            ..self
        }
    }

    /// Returns what follows after a number of bytes.
    fn rest(&self, sent: usize) -> &[u8] {
        let Some(sent) = sent.checked_sub(self.first.len()) else {
            return &self.first[sent..];
        };
        let Some(sent) = sent.checked_sub(self.second.len()) else {
            return &self.second[sent..];
        };
        let left = self.repeated.map_or(usize::MAX, |total| total - sent);
        let Some(at) = sent.checked_rem(self.block.len()) else {
            return &[];
        };
        let rest = &self.block[at..];
        &rest[..rest.len().min(left)]
    }
}

/// A connection, and the bytes it has sent.
struct Member {
    stream: Option<TcpStream>,
    sent: usize,
    answered: bool,
}

impl Member {
    fn open(address: SocketAddr, script: &Script) -> Self {
        let limit = Duration::from_millis(500);
        let stream = TcpStream::connect_timeout(&address, limit).ok();
        if let Some(stream) = &stream {
            stream.set_nonblocking(true).unwrap();
        }
        Self {
            stream,
            sent: 0,
            answered: script.second.is_empty(),
        }
    }

    /// Sends what the script says and the connection takes.
    fn act(&mut self, script: &Script) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let mut left = script.piece;
        loop {
            if !self.answered && self.sent >= script.first.len() {
                match stream.read(&mut [0; 1_024]) {
                    Ok(length) if length > 0 => self.answered = true,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                    _ => {
                        self.stream = None;
                        return;
                    }
                }
            }
            let rest = script.rest(self.sent);
            let length = rest.len().min(left);
            if length == 0 {
                // A client that returns notices that it was answered or that its connection was closed.
                let waits = || {
                    let seen = stream.peek(&mut [0]);
                    seen.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
                };
                if script.returns && left > 0 && !waits() {
                    self.stream = None;
                }
                return;
            }
            match stream.write(&rest[..length]) {
                Ok(written) => {
                    self.sent += written;
                    left -= written;
                    // Others send too before a connection without end goes on.
                    if script.repeated.is_none() && self.sent > script.first.len() {
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.stream = None;
                    return;
                }
            }
        }
    }
}

/// Connections that follow one script.
pub struct Crowd {
    address: SocketAddr,
    script: Script,
    members: Vec<Member>,
}

impl Crowd {
    /// Opens the connections.
    pub fn new(address: SocketAddr, count: usize, script: Script) -> Self {
        let members = (0..count).map(|_| Member::open(address, &script)).collect();
        Self {
            address,
            script,
            members,
        }
    }

    /// Lets each connection send, and pauses.
    pub fn act(&mut self) {
        for member in &mut self.members {
            if member.stream.is_none() && self.script.returns {
                *member = Member::open(self.address, &self.script);
            }
            member.act(&self.script);
        }
        thread::sleep(ROUND_PAUSE);
    }
}
