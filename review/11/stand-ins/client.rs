//! Clients of the gateway.

use std::{
    io::{self, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{self, Message};

/// Time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A turn of a program on a route that keeps turns.
pub struct Turn<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Identifier of the turn before it.
    pub previous: Option<&'a str>,
    /// Program.
    pub program: &'a str,
    /// New input.
    pub input: &'a str,
    /// Time until the program should be finished.
    pub finish: Duration,
    /// Tokens that all turns of the program may generate, and most of this turn.
    pub tokens: (u64, u64),
    /// Event after which a broken stream is taken up.
    pub after: Option<u64>,
}

/// Time that a client waits for a turn.
pub const DEADLINE: Duration = Duration::from_millis(4_000);

/// Opens a connection and sends a turn.
pub fn begin(front: SocketAddr, turn: &Turn<'_>) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let Turn {
        id, program, input, ..
    } = turn;
    let previous = turn
        .previous
        .map_or(String::new(), |id| format!("Previous-Turn: {id}\r\n"));
    let after = turn
        .after
        .map_or(String::new(), |event| format!("Last-Event-Id: {event}\r\n"));
    let (budget, most) = turn.tokens;
    let (deadline, finish, length) = (DEADLINE.as_millis(), turn.finish.as_millis(), input.len());
    let text = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: {id}\r\n{previous}{after}\
         Program-Id: {program}\r\nSession-Id: s-{program}\r\nFinish-Ms: {finish}\r\n\
         Token-Budget: {budget}\r\nModel: m\r\nToken-Count: 1840,{most}\r\n\
         Deadline-Ms: {deadline}\r\nContent-Length: {length}\r\n\r\n{input}"
    );
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Sends a turn on a new connection, and reads the answer as far as it comes.
pub fn send(front: SocketAddr, turn: &Turn<'_>) -> io::Result<Message> {
    http::read(&mut begin(front, turn)?)
}

/// Returns the identifier of the last whole event of a stream.
pub fn last_event(answer: &Message) -> Option<u64> {
    let text = answer.text();
    let whole = text.rsplit_once("\n\n")?.0;
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.last()?.trim().parse().ok()
}
