//! Tokens that programs may still generate, agreed on by the order of records in a log.
//!
//! An instance appends [`Entry::Open`] before a turn runs and [`Entry::Close`] after it. Every
//! reader of a partition applies its records in the same order and so finds the same turns granted.
//! An open turn counts at its most: a lost instance never frees what it may have handed out.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    hash::Map, //
};

/// Time after its last record after which a program is forgotten; a stopped program comes back
/// within the routes' retention of 60 s.
const FORGET: Duration = Duration::from_secs(150);

/// Turns' most that have to be left for a turn to start before its account has answered: the turn
/// itself, and one more that another instance may have started.
const HEADROOM: u64 = 2;

/// Identifier of a program in the log.
pub type Program = u64;

/// Identifier of a turn, unique over all instances.
pub type Turn = u64;

/// A turn that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ask {
    /// The program.
    #[serde(rename = "p")]
    pub program: Program,
    /// The turn.
    #[serde(rename = "t")]
    pub turn: Turn,
    /// Most tokens that the turn generates.
    #[serde(rename = "m")]
    pub most: u64,
    /// Tokens that all turns of the program may generate.
    #[serde(rename = "b")]
    pub budget: u64,
}

impl Ask {
    /// Returns whether the turn is so far from the end of the budget that it may start before its
    /// account has answered.
    pub fn early(&self, charged: u64) -> bool {
        charged.saturating_add(self.most.saturating_mul(HEADROOM)) <= self.budget
    }

    /// Returns the record of the turn.
    pub fn entry(self, forced: bool) -> Entry {
        Entry::Open {
            program: self.program,
            turn: self.turn,
            most: self.most,
            budget: self.budget,
            forced,
        }
    }
}

/// A record of a program's account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entry {
    /// A turn asks to run.
    #[serde(rename = "o")]
    Open {
        /// The program.
        #[serde(rename = "p")]
        program: Program,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
        /// Most tokens that the turn generates.
        #[serde(rename = "m")]
        most: u64,
        /// Tokens that all turns of the program may generate.
        #[serde(rename = "b")]
        budget: u64,
        /// Whether the turn was granted without the log and counts in any case.
        #[serde(rename = "f")]
        forced: bool,
    },
    /// A turn has ended.
    #[serde(rename = "c")]
    Close {
        /// The program.
        #[serde(rename = "p")]
        program: Program,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
        /// Tokens that were handed out.
        #[serde(rename = "u")]
        used: u64,
    },
}

/// State of a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The turn may hand out so many tokens.
    Open(u64),
    /// The turn was not granted.
    Denied,
    /// The turn handed out so many tokens.
    Closed(u64),
}

impl State {
    fn charge(self) -> u64 {
        match self {
            Self::Open(tokens) | Self::Closed(tokens) => tokens,
            Self::Denied => 0,
        }
    }
}

#[derive(Debug, Default)]
struct Account {
    turns: Map<Turn, State>,
    /// Sum of the charges of all turns.
    charged: u64,
    touched: Time,
}

impl Account {
    fn set(&mut self, turn: Turn, state: State) {
        let old = self.turns.insert(turn, state).map_or(0, State::charge);
        self.charged = self.charged - old + state.charge();
    }
}

/// Answer to a question whether a turn may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The turn may run.
    Granted,
    /// What is left of the budget does not hold the turn.
    Spent,
}

/// Accounts of the programs of one partition, as far as its records were applied.
#[derive(Debug, Default)]
pub struct Book {
    programs: Map<Program, Account>,
}

impl Book {
    /// Applies a record; a repeated one changes nothing.
    pub fn apply(&mut self, now: Time, entry: &Entry) {
        match *entry {
            Entry::Open {
                program,
                turn,
                most,
                budget,
                forced,
            } => {
                let account = self.programs.entry(program).or_default();
                account.touched = now;
                let known = account.turns.get(&turn);
                if known.is_some_and(|state| !forced || *state != State::Denied) {
                    return;
                }
                let state = match forced || account.charged + most <= budget {
                    true => State::Open(most),
                    false => State::Denied,
                };
                account.set(turn, state);
            }
            Entry::Close {
                program,
                turn,
                used,
            } => {
                let account = self.programs.entry(program).or_default();
                account.touched = now;
                // Only turns that ran are closed, whatever this reader took them for.
                account.set(turn, State::Closed(used));
            }
        }
    }

    /// Returns whether a turn whose record was applied may run.
    pub fn verdict(&self, program: Program, turn: Turn) -> Option<Verdict> {
        match self.programs.get(&program)?.turns.get(&turn)? {
            State::Denied => Some(Verdict::Spent),
            State::Open(_) | State::Closed(_) => Some(Verdict::Granted),
        }
    }

    /// Returns whether a turn would be granted if no other instance had added a record since.
    pub fn expect(&self, ask: &Ask) -> Verdict {
        match self.charged(ask.program) + ask.most <= ask.budget {
            true => Verdict::Granted,
            false => Verdict::Spent,
        }
    }

    /// Returns the tokens that are charged to a program.
    pub fn charged(&self, program: Program) -> u64 {
        self.programs
            .get(&program)
            .map_or(0, |account| account.charged)
    }

    /// Forgets the programs without records for a long time.
    pub fn forget(&mut self, now: Time) {
        self.programs
            .retain(|_, account| now.since(account.touched) < FORGET);
    }

    /// Returns the number of programs.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether there are no programs.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}
