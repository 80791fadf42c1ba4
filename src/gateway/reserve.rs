//! Reserves: parts of token budgets that an instance may hand out by itself.
//!
//! Answers the load pattern of programs that are under way when the instance loses its way to the
//! accounts: an outage of the log, the loss of an owner, or a zone that is cut off. The account
//! charges a reserve in full when it is granted, so that turns which its holder runs later need no
//! further decision. The callers of a program return to the same instance, which therefore holds
//! the reserve.

use std::cell::{
    Cell,
    RefCell, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::account::{
    Program,
    Turn,
    RETENTION, //
};
use crate::{
    clock::Time,
    hash::Map,
    policy::recent::Recent, //
};

/// Turns of maximum length that a reserve covers. As turns use less than their maximum, it lasts
/// for some more, which is longer than most of the rest of a program.
const RESERVE_TURNS: u64 = 3;

/// Budget of a program that gets a reserve, as a multiple of its reserve: large enough that the
/// reserve is rarely reclaimed.
const MIN_BUDGET_RESERVES: u64 = 2;

/// Maximum programs with a recorded reserve; a program lasts for seconds.
const MAX_PROGRAMS: usize = 4_096;

/// Holder of a reserve that nobody can return, in place of the hash of a name.
pub const NO_HOLDER: u64 = 0;

/// Time after which a reserve that was not confirmed is requested again, under the same number: the
/// account may have charged it.
const REQUEST_TTL_US: u64 = 3_000_000;

/// A reserve that is requested with a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Request {
    /// Number of the reserve, unique over all instances and their restarts; the account keeps it
    /// as a turn.
    #[serde(rename = "i")]
    pub id: Turn,
    /// Tokens of the reserve.
    #[serde(rename = "n")]
    pub tokens: u64,
    /// Hash of the name of the instance that holds it.
    #[serde(rename = "h")]
    pub holder: u64,
}

/// State of the reserve of a program.
#[derive(Clone, Debug)]
enum Reserve {
    /// Requested, and not confirmed yet; nothing may be spent.
    Requested {
        id: Turn,
        /// As in each request with this number, as the account charges the first of them.
        tokens: u64,
        at: Time,
    },
    /// Granted.
    Held {
        id: Turn,
        tokens: u64,
        /// Latest turn of the program here.
        at: Time,
        /// Tokens sent to callers in turns that have ended.
        used: u64,
        /// Maximum of each turn that runs.
        open: Map<Turn, u64>,
    },
    /// Returned to the account; a late confirmation is ignored.
    Returned {
        id: Turn,
        /// Tokens sent to callers in turns that have ended.
        used: u64,
        /// Maximum of each turn that still runs; the account charges it until the turn ends.
        open: Map<Turn, u64>,
    },
}

/// Account that a turn which ended was charged to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Payer {
    /// The account of the program, for the turn itself.
    Account,
    /// A reserve that is held here.
    Held,
    /// A reserve that was returned while the turn ran.
    Returned {
        /// Number of the reserve.
        id: Turn,
        /// Tokens that its turns used, or may still use.
        used: u64,
    },
}

impl Reserve {
    fn id(&self) -> Turn {
        match *self {
            Self::Requested { id, .. } | Self::Held { id, .. } | Self::Returned { id, .. } => id,
        }
    }
}

/// Returns the tokens that turns used, or may still use.
fn charge(used: u64, open: &Map<Turn, u64>) -> u64 {
    used + open.values().sum::<u64>()
}

/// Reserves that this instance holds.
pub struct Reserves {
    /// Hash of the name of this instance.
    holder: Cell<u64>,
    programs: RefCell<Recent<Program, Reserve>>,
}

impl Default for Reserves {
    fn default() -> Self {
        Self {
            holder: Cell::new(0),
            programs: RefCell::new(Recent::new(MAX_PROGRAMS)),
        }
    }
}

impl Reserves {
    /// Sets the hash of the name of this instance.
    pub fn set_holder(&self, holder: u64) {
        self.holder.set(holder);
    }

    /// Returns whether reserves with this holder are held here.
    pub fn is_holder(&self, holder: u64) -> bool {
        self.holder.get() == holder
    }

    /// Returns the reserve to request with a turn of a program; `None` if it has one or its budget
    /// is too small.
    pub fn request(
        &self,
        now: Time,
        program: Program,
        max_tokens: u64,
        budget: u64,
    ) -> Option<Request> {
        let mut programs = self.programs.borrow_mut();
        let (id, tokens) = match programs.get_mut(&program) {
            Some(Reserve::Requested { at, .. }) if now.0 < at.0 + REQUEST_TTL_US => return None,
            Some(Reserve::Requested { id, tokens, at }) => {
                *at = now;
                (*id, *tokens)
            }
            Some(Reserve::Held { at, .. }) => {
                *at = now;
                return None;
            }
            Some(Reserve::Returned { .. }) => return None,
            None => {
                let tokens = max_tokens.checked_mul(RESERVE_TURNS)?;
                if tokens == 0 || tokens.checked_mul(MIN_BUDGET_RESERVES)? > budget {
                    return None;
                }
                let (id, at) = (rand::random(), now);
                programs.insert(program, Reserve::Requested { id, tokens, at });
                (id, tokens)
            }
        };
        Some(Request {
            id,
            tokens,
            holder: self.holder.get(),
        })
    }

    /// Records that the account charges a requested reserve.
    pub fn granted(&self, program: Program, request: &Request) {
        let mut programs = self.programs.borrow_mut();
        let Some(Reserve::Requested { id, tokens, at }) = programs.get(&program) else {
            return;
        };
        if *id != request.id {
            return;
        }
        let held = Reserve::Held {
            id: *id,
            tokens: *tokens,
            at: *at,
            used: 0,
            open: Map::default(),
        };
        programs.insert(program, held);
    }

    /// Returns whether a reserve is held here.
    pub fn holds(&self, program: Program, id: Turn) -> bool {
        let programs = self.programs.borrow();
        matches!(programs.get(&program), Some(Reserve::Held { id: held, .. }) if *held == id)
    }

    /// Returns whether a turn fits into the reserve of its program.
    pub fn covers(&self, program: Program, max_tokens: u64) -> bool {
        match self.programs.borrow().get(&program) {
            Some(Reserve::Held {
                tokens, used, open, ..
            }) => charge(*used, open) + max_tokens <= *tokens,
            _ => false,
        }
    }

    /// Charges a turn to the reserve of its program; returns whether it may run.
    pub fn spend(&self, program: Program, turn: Turn, max_tokens: u64) -> bool {
        if !self.covers(program, max_tokens) {
            return false;
        }
        let mut programs = self.programs.borrow_mut();
        if let Some(Reserve::Held { open, .. }) = programs.get_mut(&program) {
            open.insert(turn, max_tokens);
        }
        true
    }

    /// Records the end of a turn; returns what it was charged to.
    pub fn close(&self, program: Program, turn: Turn, tokens_used: u64) -> Payer {
        let mut programs = self.programs.borrow_mut();
        match programs.get_mut(&program) {
            Some(Reserve::Held { used, open, .. }) if open.contains_key(&turn) => {
                open.remove(&turn);
                *used += tokens_used;
                Payer::Held
            }
            Some(Reserve::Returned { id, used, open }) if open.contains_key(&turn) => {
                open.remove(&turn);
                *used += tokens_used;
                Payer::Returned {
                    id: *id,
                    used: charge(*used, open),
                }
            }
            _ => Payer::Account,
        }
    }

    /// Gives a reserve back that was used in part, so that the next turn requests a full one;
    /// returns its number and the tokens used.
    pub fn renew(&self, program: Program) -> Option<(Turn, u64)> {
        let mut programs = self.programs.borrow_mut();
        let (id, used) = match programs.get(&program)? {
            Reserve::Held { id, used, open, .. } if *used > 0 && open.is_empty() => (*id, *used),
            _ => return None,
        };
        programs.remove(&program);
        Some((id, used))
    }

    /// Gives all reserves of which no turn runs back for good; returns their programs and numbers, and
    /// the tokens used. Programs that had no turn here for longer than accounts keep them are left out.
    pub fn give_back(&self, now: Time) -> Vec<(Program, Turn, u64)> {
        let mut programs = self.programs.borrow_mut();
        let given = programs.iter().filter_map(|(program, reserve)| {
            let (id, used, last_use) = match reserve {
                Reserve::Requested { id, at, .. } => (*id, 0, *at),
                Reserve::Held {
                    id, used, open, at, ..
                } if open.is_empty() => (*id, *used, *at),
                Reserve::Held { .. } | Reserve::Returned { .. } => return None,
            };
            (now.since(last_use) < RETENTION).then_some((*program, id, used))
        });
        let given: Vec<_> = given.collect();
        for (program, id, used) in &given {
            if let Some(reserve) = programs.get_mut(program) {
                *reserve = Reserve::Returned {
                    id: *id,
                    used: *used,
                    open: Map::default(),
                };
            }
        }
        given
    }

    /// Gives a reserve back for good; returns the tokens that its turns used, or may still use.
    ///
    /// `None` if its number is unknown: it was requested before a restart, and what was spent of it
    /// is not known.
    pub fn reclaim(&self, program: Program, id: Turn) -> Option<u64> {
        let mut programs = self.programs.borrow_mut();
        let reserve = programs.get(&program).filter(|held| held.id() == id)?;
        let (used, open) = match reserve {
            Reserve::Requested { .. } => (0, Map::default()),
            Reserve::Held { used, open, .. } | Reserve::Returned { used, open, .. } => {
                (*used, open.clone())
            }
        };
        let charge = charge(used, &open);
        programs.insert(program, Reserve::Returned { id, used, open });
        Some(charge)
    }
}
