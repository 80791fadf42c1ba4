//! Queueing policies: the order of calls that wait for an upstream.

mod fair;
mod fifo;

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    fair::Queue,
    fifo::Fifo, //
};
use crate::{
    clock::Time,
    name::{
        Class,
        Customer, //
    },
    policy::call::Call,
};

/// A waiting call.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identifier given by the requester.
    pub id: u64,
    /// The call.
    pub call: Call,
    /// Time at which the call was queued.
    pub queued_at: Time,
    /// Latest time at which a start still meets the deadline.
    pub latest_start: Time,
    /// Expected cost of the call in tokens.
    pub expected_tokens: u64,
}

/// Result of visiting an entry during a scan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The entry leaves the queue and the scan ends.
    Take,
    /// The entry stays; the next one is visited.
    Skip,
    /// The entry stays and the scan ends.
    Stop,
}

/// Queueing policy.
pub trait Order {
    /// Creates an empty queue.
    fn new(settings: &Settings) -> Self;

    /// Adds an entry.
    fn push(&mut self, now: Time, entry: Entry);

    /// Removes the entry with this identifier.
    fn remove(&mut self, id: u64) -> Option<Entry>;

    /// Visits entries in order until one is taken.
    fn scan(&mut self, now: Time, visit: impl FnMut(&Entry) -> Verdict) -> Option<Entry>;

    /// Adds `tokens` to the service of a customer; negative values are refunds.
    fn charge(&mut self, customer: &Customer, tokens: i64);

    /// Removes and returns the entries that match.
    fn drain(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry>;

    /// Removes and returns the entries whose latest start has passed.
    fn expire(&mut self, now: Time) -> Vec<Entry>;

    /// Returns the earliest latest start of all entries.
    fn next_expiry(&self) -> Option<Time>;

    /// Returns whether the customer was served more than its share while calls wait.
    fn ahead(&self, customer: &Customer) -> bool;

    /// Returns the age of the customer's oldest waiting call of a class.
    fn age(&self, now: Time, customer: &Customer, class: &Class) -> Duration;

    /// Returns the number of entries of a customer.
    fn count(&self, customer: &Customer) -> usize;

    /// Returns the number of entries.
    fn len(&self) -> usize;

    /// Returns whether nothing waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of entries of each customer that has any.
    fn lengths(&self) -> Vec<(Customer, usize)>;
}

/// Settings of the queueing policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Attained tokens at which each priority level after the first begins, ascending.
    pub levels: Vec<u64>,
    /// Tokens by which a customer of mean share may be ahead of the least served one.
    pub lead: u64,
    /// Factor of the lead for interactive calls and those of the first level.
    pub short: f64,
    /// One in this many scans visits the longest waiting entries first; 0 disables this.
    pub guard: u32,
    /// Wait after which an entry counts as starved, in milliseconds.
    pub patience_ms: u64,
    /// Maximum number of entries that one scan visits.
    pub depth: usize,
    /// Whether interactive calls precede all others.
    pub interactive: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            levels: vec![4_000, 64_000],
            lead: 40_000,
            short: 16.0,
            guard: 16,
            patience_ms: 2_000,
            depth: 32,
            interactive: true,
        }
    }
}
