//! Bounds on what callers hold, and the choice of the connection to close; no I/O.

use std::time::Instant;

use super::super::settings::Machine;

/// Fraction of the machine's memory for what callers make the process hold. The rest is for the process
/// itself, upstreams, kept turns, and what the allocator can't reuse.
const MEMORY_SHARE: usize = 4;

/// Fraction of the machine's memory for answers that arrive, which is a part of what callers hold. The
/// rest of that is for other requests: those that run are closed after all others, so that answers
/// without end would keep it from new requests.
const ANSWER_SHARE: usize = 8;

/// Fraction of the machine's memory for received bytes that are not read yet.
const UNREAD_SHARE: usize = 8;

/// Descriptors that are no connections: the platform reserves as many for files.
const FILE_DESCRIPTORS: usize = 200;

/// Fraction of the other descriptors for upstreams, the store and other instances.
const DESCRIPTOR_RESERVE: usize = 4;

/// Bounds of the receive buffer of a connection, in bytes. The smaller one still holds an ordinary head.
const MIN_WINDOW: usize = 4 << 10;
const MAX_WINDOW: usize = 64 << 10;

/// Maximum receive buffer of a connection that is not accepted yet, in bytes.
const MAX_FIRST_WINDOW: usize = 16 << 10;

/// Bounds on the connections of all callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Memory that they may hold, in bytes.
    pub memory: usize,
    /// Memory that answers may hold while they arrive, in bytes.
    pub answers: usize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Memory for received bytes that are not read, in bytes.
    unread: usize,
}

impl From<Machine> for Bounds {
    fn from(machine: Machine) -> Self {
        let memory = machine.memory_mb << 20;
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS);
        Self {
            memory: memory / MEMORY_SHARE,
            answers: memory / ANSWER_SHARE,
            connections: sockets - sockets / DESCRIPTOR_RESERVE,
            unread: memory / UNREAD_SHARE,
        }
    }
}

impl Bounds {
    /// Returns the receive buffer of each connection, in bytes, so that the bytes of all of them that
    /// are not read stay within the bounds. The kernel allows twice as much.
    pub fn window(&self, connections: usize) -> usize {
        self.share(connections, MAX_WINDOW)
    }

    /// Returns the receive buffer of each connection that is not accepted yet, in bytes, if this many
    /// may wait. The process can't shrink what such a connection has received.
    pub fn first_window(&self, waiting: usize) -> usize {
        self.share(waiting, MAX_FIRST_WINDOW)
    }

    fn share(&self, connections: usize, most: usize) -> usize {
        let share = self.unread / (2 * connections.max(1));
        let share = share.clamp(MIN_WINDOW, most);
        // Powers of two, so that it seldom changes.
        1 << share.ilog2()
    }
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// No request has begun.
    Idle,
    /// The head of a request is not whole.
    Head,
    /// The body of a request is not whole.
    Body,
    /// The request waits for its answer.
    Waiting,
    /// The answer is written.
    Answer,
}

/// What one connection holds.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// Number of the connection.
    pub id: u64,
    /// What it is used for.
    pub stage: Stage,
    /// Whether an upstream may run its request.
    pub sent: bool,
    /// Memory that it holds, in bytes.
    pub bytes: usize,
    /// Memory of its answer while that arrives, in bytes; a part of `bytes`.
    pub answer_bytes: usize,
    /// When it last made progress.
    pub since: Instant,
}

/// What the process lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// Memory.
    Memory,
    /// Memory for answers that arrive.
    Answers,
    /// Descriptors.
    Descriptors,
}

/// Selects the connection to close in a shortage; `None` if there is none.
///
/// Of the connections that hold at least the mean, the one without progress for the longest time is
/// closed. So a short request is not closed for the sake of long ones. A request that waits for its
/// answer comes after all that don't. One that may run comes last, and is given up only if the process
/// would exceed its memory otherwise.
///
/// A shortage for answers closes one of several connections with an arriving answer, by the same rule
/// for what these answers hold. An answer that arrives alone may take all the memory of callers.
pub fn select(holdings: &[Holding], shortage: Shortage) -> Option<u64> {
    if shortage == Shortage::Answers {
        return select_answer(holdings);
    }
    let mean = match shortage {
        Shortage::Memory => {
            let bytes: usize = holdings.iter().map(|holding| holding.bytes).sum();
            bytes / holdings.len().max(1)
        }
        Shortage::Answers | Shortage::Descriptors => 0,
    };
    let rank = |holding: &&Holding| {
        let waits = holding.stage == Stage::Waiting;
        let runs = waits && holding.sent;
        let idle = shortage == Shortage::Descriptors && holding.stage == Stage::Idle;
        (runs, waits, holding.bytes < mean, !idle, holding.since)
    };
    let eligible = |holding: &&Holding| {
        let runs = holding.stage == Stage::Waiting && holding.sent;
        !runs || shortage == Shortage::Memory
    };
    let first = holdings.iter().filter(eligible).min_by_key(rank);
    first.map(|holding| holding.id)
}

/// Selects the connection to close in a shortage for answers.
fn select_answer(holdings: &[Holding]) -> Option<u64> {
    let arriving = holdings.iter().filter(|holding| holding.answer_bytes > 0);
    let count = arriving.clone().count();
    if count < 2 {
        return None;
    }
    let bytes: usize = arriving.clone().map(|holding| holding.answer_bytes).sum();
    let long = arriving.filter(|holding| holding.answer_bytes >= bytes / count);
    long.min_by_key(|holding| holding.since)
        .map(|holding| holding.id)
}
