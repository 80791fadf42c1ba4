//! Token budgets of programs, agreed on through the order of records in a log.
//!
//! An instance appends [`Entry::Open`] before a turn runs and [`Entry::Close`] after it. Every
//! reader of a partition applies its records in the same order and so grants the same turns. An
//! open turn is charged its maximum, so the loss of an instance never frees tokens that it may have
//! sent.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use super::reserve;
use crate::{
    clock::Time,
    hash::Map, //
};

/// Time after its last record after which a program is dropped; a stopped program resumes within
/// the routes' retention of 60 s.
pub(super) const RETENTION: Duration = Duration::from_secs(150);

/// Multiple of a turn's maximum that has to be left of the budget for the turn to start before the
/// decision: the turn itself, and one more that another instance may have started.
const HEADROOM_TURNS: u64 = 2;

/// Identifier of a program in the log.
pub type Program = u64;

/// Identifier of a turn, unique over all instances.
pub type Turn = u64;

/// Tokens that a turn reserves of the budget of its program before it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Reservation {
    /// The program.
    #[serde(rename = "p")]
    pub program: Program,
    /// The turn.
    #[serde(rename = "t")]
    pub turn: Turn,
    /// Maximum tokens that the turn generates.
    #[serde(rename = "m")]
    pub max_tokens: u64,
    /// Tokens that all turns of the program may generate.
    #[serde(rename = "b")]
    pub budget: u64,
    /// Reserve that the requester asks for with the turn.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub reserve: Option<reserve::Request>,
}

impl Reservation {
    /// Returns whether enough of the budget is left for the turn to start before the decision.
    pub fn has_headroom(&self, charged: u64) -> bool {
        charged.saturating_add(self.max_tokens.saturating_mul(HEADROOM_TURNS)) <= self.budget
    }

    /// Returns the record that opens the turn.
    pub fn entry(self, forced: bool) -> Entry {
        Entry::Open {
            program: self.program,
            turn: self.turn,
            max_tokens: self.max_tokens,
            budget: self.budget,
            forced,
            holder: None,
        }
    }

    /// Returns the record that charges the requested reserve, if there is one.
    pub fn reserve_entry(self, forced: bool) -> Option<Entry> {
        let request = self.reserve?;
        Some(Entry::Open {
            program: self.program,
            turn: request.id,
            max_tokens: request.tokens,
            budget: self.budget,
            forced,
            holder: Some(request.holder),
        })
    }
}

/// A record of a program's account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Entry {
    /// A turn requests to run.
    #[serde(rename = "o")]
    Open {
        /// The program.
        #[serde(rename = "p")]
        program: Program,
        /// The turn.
        #[serde(rename = "t")]
        turn: Turn,
        /// Maximum tokens that the turn generates.
        #[serde(rename = "m")]
        max_tokens: u64,
        /// Tokens that all turns of the program may generate.
        #[serde(rename = "b")]
        budget: u64,
        /// Whether the turn was granted already, by the owner without the log or by the log without
        /// the owner; it is charged even beyond the budget.
        #[serde(rename = "f")]
        forced: bool,
        /// Hash of the name of the instance that holds the reserve, if this is a reserve and not a
        /// turn.
        #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
        holder: Option<u64>,
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
        /// Tokens that were sent to the caller.
        #[serde(rename = "u")]
        used: u64,
    },
}

impl Entry {
    /// Returns the program.
    pub fn program(&self) -> Program {
        let (Self::Open { program, .. } | Self::Close { program, .. }) = *self;
        program
    }

    /// Returns the turn, or the number of the reserve.
    pub fn turn(&self) -> Turn {
        let (Self::Open { turn, .. } | Self::Close { turn, .. }) = *self;
        turn
    }
}

/// State of a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The turn may generate up to this many tokens.
    Open(u64),
    /// The turn was not granted.
    Denied,
    /// The turn sent this many tokens to the caller.
    Closed(u64),
    /// The turns of this reserve sent this many tokens to callers, at most.
    Returned(u64),
}

impl State {
    fn charge(self) -> u64 {
        match self {
            Self::Open(tokens) | Self::Closed(tokens) | Self::Returned(tokens) => tokens,
            Self::Denied => 0,
        }
    }
}

#[derive(Debug, Default)]
struct Account {
    turns: Map<Turn, State>,
    /// Holders of the reserves that are charged, by the number of the reserve.
    reserves: Map<Turn, u64>,
    /// Sum of the charges of all turns.
    charged: u64,
    last_record: Time,
}

impl Account {
    fn set(&mut self, turn: Turn, state: State) {
        let old = self.turns.insert(turn, state).map_or(0, State::charge);
        self.charged = self.charged - old + state.charge();
    }
}

/// Decision on whether a turn may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The turn may run.
    Granted,
    /// The rest of the budget is too small for the turn.
    Spent,
}

/// Accounts of the programs of one partition, after the records applied so far.
#[derive(Debug, Default)]
pub struct Accounts {
    programs: Map<Program, Account>,
}

impl Accounts {
    /// Applies a record; a duplicate changes nothing, unless it requests a denied reserve again.
    pub fn apply(&mut self, now: Time, entry: &Entry) {
        match *entry {
            Entry::Open {
                program,
                turn,
                max_tokens,
                budget,
                forced,
                holder,
            } => {
                let account = self.programs.entry(program).or_default();
                account.last_record = now;
                // A reserve that was denied may be requested again.
                let repeatable = forced || holder.is_some();
                let known = account.turns.get(&turn);
                if known.is_some_and(|state| !repeatable || *state != State::Denied) {
                    return;
                }
                let state = match forced || account.charged + max_tokens <= budget {
                    true => State::Open(max_tokens),
                    false => State::Denied,
                };
                if let (Some(holder), State::Open(_)) = (holder, state) {
                    account.reserves.insert(turn, holder);
                }
                account.set(turn, state);
            }
            Entry::Close {
                program,
                turn,
                used,
            } => {
                let account = self.programs.entry(program).or_default();
                account.last_record = now;
                let reserved = account.reserves.remove(&turn).is_some();
                let state = match account.turns.get(&turn) {
                    // Turns that ran when the reserve was returned have ended since, and the records may
                    // be in any order.
                    Some(State::Returned(most)) => State::Returned(used.min(*most)),
                    _ if reserved => State::Returned(used),
                    // Only turns that ran are closed, even if they were denied by the records applied
                    // here.
                    _ => State::Closed(used),
                };
                account.set(turn, state);
            }
        }
    }

    /// Returns the decision on a turn; `None` if its record was not applied.
    pub fn verdict(&self, program: Program, turn: Turn) -> Option<Verdict> {
        match self.programs.get(&program)?.turns.get(&turn)? {
            State::Denied => Some(Verdict::Spent),
            State::Open(_) | State::Closed(_) | State::Returned(_) => Some(Verdict::Granted),
        }
    }

    /// Predicts the decision on a turn, assuming that no other instance has appended a record
    /// since.
    pub fn predict(&self, reservation: &Reservation) -> Verdict {
        self.predict_after(reservation, &[])
    }

    /// Predicts the decision on a turn as [`Self::predict`] does, after `pending` records: the ends of
    /// turns, forced charges, and reserves that the log will grant.
    pub fn predict_after(&self, reservation: &Reservation, pending: &[Entry]) -> Verdict {
        let charged = self.charged_after(reservation.program, pending);
        match charged + reservation.max_tokens <= reservation.budget {
            true => Verdict::Granted,
            false => Verdict::Spent,
        }
    }

    /// Returns the tokens charged to a program after `pending` records.
    pub fn charged_after(&self, program: Program, pending: &[Entry]) -> u64 {
        self.charges_after(program, pending).1
    }

    /// Returns the charges of turns that `pending` records change, by turn, and the tokens charged to the
    /// program after them.
    fn charges_after(&self, program: Program, pending: &[Entry]) -> (Map<Turn, u64>, u64) {
        let mut charge_by_turn = Map::default();
        let mut charged = self.charged(program);
        let of_program = |entry: &&Entry| entry.program() == program;
        for entry in pending.iter().filter(of_program) {
            let turn = entry.turn();
            let state = self.state(program, turn);
            let old = charge_by_turn.get(&turn).copied();
            let is_known = old.is_some() || state.is_some_and(|state| state != State::Denied);
            let new = match (*entry, state) {
                (Entry::Close { used, .. }, Some(State::Returned(most))) => used.min(most),
                (Entry::Close { used, .. }, _) => used,
                (Entry::Open { .. }, _) if is_known => continue,
                (
                    Entry::Open {
                        max_tokens,
                        budget,
                        forced,
                        holder,
                        ..
                    },
                    _,
                ) => match forced || (holder.is_some() && charged + max_tokens <= budget) {
                    true => max_tokens,
                    false => continue,
                },
            };
            charged = charged - old.unwrap_or(state.map_or(0, State::charge)) + new;
            charge_by_turn.insert(turn, new);
        }
        (charge_by_turn, charged)
    }

    fn state(&self, program: Program, turn: Turn) -> Option<State> {
        self.programs.get(&program)?.turns.get(&turn).copied()
    }

    /// Returns the reserves that are charged to a program, with their holders.
    pub fn reserves(&self, program: Program) -> Vec<(Turn, u64)> {
        let account = self.programs.get(&program);
        let reserves = account.into_iter().flat_map(|account| &account.reserves);
        reserves.map(|(id, holder)| (*id, *holder)).collect()
    }

    /// Returns whether the budget does not cover a turn after `pending` records, even if all reserves are
    /// returned unused.
    pub fn is_spent(&self, reservation: &Reservation, pending: &[Entry]) -> bool {
        let program = reservation.program;
        let is_reserve = |entry: &&Entry| matches!(entry, Entry::Open { forced: false, .. });
        let pending = pending.iter().filter(|entry| !is_reserve(entry)).copied();
        let (changes, charged) = self.charges_after(program, &pending.collect::<Vec<_>>());
        let reserves = self.reserves(program).into_iter().map(|(id, _)| id);
        // What is charged for a reserve that is returned was used, or may still be.
        let open = reserves.filter(|id| !changes.contains_key(id));
        let reserved = open.filter_map(|id| self.state(program, id));
        let reserved: u64 = reserved.map(State::charge).sum();
        charged - reserved + reservation.max_tokens > reservation.budget
    }

    /// Returns the tokens charged to a program.
    pub fn charged(&self, program: Program) -> u64 {
        self.programs
            .get(&program)
            .map_or(0, |account| account.charged)
    }

    /// Drops the programs without a record within the retention period.
    pub fn expire(&mut self, now: Time) {
        self.programs
            .retain(|_, account| now.since(account.last_record) < RETENTION);
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
