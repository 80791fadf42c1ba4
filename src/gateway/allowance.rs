//! Turns of a program that are granted without the log.
//!
//! Answers the pattern of an outage of the log in which all instances are lost: the next ones find
//! accounts that lack the turns granted meanwhile, and would grant their tokens again. Such turns
//! get a part of the budget only, and after a loss of all instances this part counts as spent.

use super::account::Turn;
use crate::hash::Map;

/// Fraction of the rest of a budget that is granted without the log, as a divisor.
///
/// Programs use a half of their budget at most, as a rule: what is left of it covers most of them,
/// both in an outage and after it.
const ALLOWANCE_DIVISOR: u64 = 3;

/// Returns the tokens of a budget that may be granted without the log, beside one turn more.
pub fn allowance(budget: u64, charged: u64) -> u64 {
    budget.saturating_sub(charged) / ALLOWANCE_DIVISOR
}

/// Turns of a program that are granted and not in the log.
#[derive(Clone, Debug)]
pub struct Unlogged {
    /// Most tokens of each turn, or those that it used if it has ended.
    turns: Map<Turn, u64>,
    /// Tokens that owners take for spent after a loss of those that held the grants.
    allowance: u64,
}

impl Unlogged {
    /// Returns the state of a program all of whose turns are in the log.
    pub fn new(budget: u64, charged: u64) -> Self {
        Self {
            turns: Map::default(),
            allowance: allowance(budget, charged),
        }
    }

    /// Returns whether one turn more may be granted without the log.
    ///
    /// The last one may exceed the allowance: a program may get one turn beyond its budget.
    pub fn admits(&self) -> bool {
        self.turns.values().sum::<u64>() <= self.allowance
    }

    /// Adds a turn.
    pub fn open(&mut self, turn: Turn, max_tokens: u64) {
        self.turns.insert(turn, max_tokens);
    }

    /// Records the tokens that a turn used.
    pub fn close(&mut self, turn: Turn, used: u64) {
        if let Some(tokens) = self.turns.get_mut(&turn) {
            *tokens = used;
        }
    }

    /// Records that the log has a turn, which leaves less for the others; returns whether it has all.
    pub fn record_logged(&mut self, turn: Turn, max_tokens: u64) -> bool {
        if self.turns.remove(&turn).is_some() {
            let less = max_tokens.div_ceil(ALLOWANCE_DIVISOR);
            self.allowance = self.allowance.saturating_sub(less);
        }
        self.turns.is_empty()
    }
}
