//! Agent programs: turns that continue each other.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, Turn},
    fleet::Fleet,
    record::Record,
};

/// Time between two tries of a client.
pub const TRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time after its first turn within which the program should be finished.
pub const FINISH: Duration = Duration::from_secs(60);

/// Tokens of a program that is far from its budget, and most of each turn.
pub const TOKENS: (u64, u64) = (4_000, 200);

/// Sends turns as a program does, and counts its tries.
pub struct Program<'a> {
    record: &'a Record,
    fleet: &'a Fleet,
    name: String,
    /// When its first turn was sent.
    pub begun: Instant,
    /// Time after its first turn within which it should be finished.
    pub aim: Duration,
    /// Tokens that all turns may generate, and most of each.
    pub tokens: (u64, u64),
    /// Turns sent so far.
    pub tries: usize,
}

impl<'a> Program<'a> {
    /// Returns a program that has sent nothing.
    pub fn new(record: &'a Record, fleet: &'a Fleet, name: &str) -> Self {
        Self {
            record,
            fleet,
            name: name.to_owned(),
            begun: Instant::now(),
            aim: FINISH,
            tokens: TOKENS,
            tries: 0,
        }
    }

    /// Sends a turn once, to the machines in turn; returns its identifier if the answer is whole.
    pub fn try_turn(&mut self, previous: Option<&str>, input: &str) -> Option<String> {
        let machine = &self.fleet.machines[self.tries % self.fleet.machines.len()];
        let id = format!("{}-{}", self.name, self.tries);
        self.tries += 1;
        let turn = Turn {
            id: &id,
            previous,
            program: &self.name,
            input,
            finish: self.aim.saturating_sub(self.begun.elapsed()),
            tokens: self.tokens,
            after: None,
        };
        let answer = client::send(machine.front, &turn);
        let (whole, text) = match &answer {
            Ok(answer) if answer.status() == 200 => {
                (answer.complete, format!("200, whole {}", answer.complete))
            }
            Ok(answer) => (false, format!("{} {}", answer.status(), answer.text())),
            Err(error) => (false, error.to_string()),
        };
        let previous = previous.unwrap_or("none");
        self.record.line(format!(
            "turn {id} after {previous} at {}: {text}",
            machine.name
        ));
        whole.then_some(id)
    }

    /// Sends a turn until its answer is whole, until a time.
    pub fn turn(&mut self, previous: Option<&str>, input: &str, until: Instant) -> Option<String> {
        while Instant::now() < until {
            if let Some(id) = self.try_turn(previous, input) {
                return Some(id);
            }
            thread::sleep(TRY_INTERVAL);
        }
        None
    }
}
