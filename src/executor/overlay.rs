//! Turns held in memory until they are in the log.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use uuid::Uuid;

use crate::{
    clock::Time,
    hash::Map,
    ledger::record::{
        Body,
        Record,
        Turn, //
    },
    name::Program,
};

/// Time for which a confirmation reserves a turn's position if nothing more is received from the
/// instance that requested it.
const CONFIRMATION_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of turns that one instance holds; more are refused, so that a log outage can't
/// exhaust memory.
const MAX_TURNS: usize = 20_000;

#[derive(Debug)]
struct Entry {
    record: Record,
    /// Whether the record has been submitted to the ledger.
    submitted: bool,
}

#[derive(Debug, Default)]
struct Inner {
    turns: Map<Program, BTreeMap<u32, Entry>>,
    /// Number of held turns.
    count: usize,
    /// Turns that this instance has confirmed to others; no other turn may take their positions.
    confirmations: Map<Program, Confirmation>,
    /// Turns that this instance is committing.
    commits: Map<Program, (u32, Uuid)>,
}

/// A turn that this instance has confirmed to another one.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    index: u32,
    id: Uuid,
    at: Time,
}

impl Inner {
    /// Returns whether a different turn is held, confirmed or being committed at or after `index`.
    fn conflicts(&self, program: &Program, index: u32, id: Uuid, now: Time) -> bool {
        let held = self.turns.get(program);
        let held = held.is_some_and(|held| held.range(index..).any(|(_, h)| h.record.id != id));
        let confirmation = self.confirmations.get(program);
        let confirmed = confirmation.is_some_and(|confirmation| {
            confirmation.index >= index
                && confirmation.id != id
                && now.since(confirmation.at) < CONFIRMATION_PERIOD
        });
        let commit = self.commits.get(program);
        let committing = commit.is_some_and(|(at, other)| *at >= index && *other != id);
        held || confirmed || committing
    }
}

/// Returns the program, number and identifier of a turn's record.
fn position(record: &Record) -> Option<(&Program, u32, Uuid)> {
    match &record.body {
        Body::Turn { program, index, .. } => Some((program, *index, record.id)),
        _ => None,
    }
}

/// Turns that have not reached the log, by program and number.
///
/// They count as history on the instances that hold them, so that a program can continue while the
/// log is down. Once the log has decided a turn, its entry is dropped.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    inner: Arc<Mutex<Inner>>,
}

impl Overlay {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Holds a turn's record; returns false if the overlay is full, if the record is not a turn, or
    /// if it conflicts with another turn.
    pub fn insert(&self, record: &Record) -> bool {
        let Some((program, index, id)) = position(record) else {
            return false;
        };
        let mut inner = self.inner();
        if inner.count >= MAX_TURNS || inner.conflicts(program, index, id, Time::now()) {
            return false;
        }
        let turns = inner.turns.entry(program.clone()).or_default();
        let held = Entry {
            record: record.clone(),
            submitted: false,
        };
        if turns.insert(index, held).is_none() {
            inner.count += 1;
        }
        true
    }

    /// Confirms a turn to another instance; returns false if it conflicts with another turn.
    ///
    /// From then on this instance commits no other turn in its position.
    pub fn confirm(&self, record: &Record) -> bool {
        let (Some((program, index, id)), at) = (position(record), Time::now()) else {
            return false;
        };
        let mut inner = self.inner();
        if inner.conflicts(program, index, id, at) {
            return false;
        }
        inner
            .confirmations
            .insert(program.clone(), Confirmation { index, id, at });
        true
    }

    /// Registers a turn that this instance is committing; returns false if it conflicts with
    /// another turn.
    pub fn begin_commit(&self, record: &Record) -> bool {
        let Some((program, index, id)) = position(record) else {
            return false;
        };
        let mut inner = self.inner();
        if inner.conflicts(program, index, id, Time::now()) {
            return false;
        }
        inner.commits.insert(program.clone(), (index, id));
        true
    }

    /// Removes the registration made by [`Overlay::begin_commit`].
    pub fn end_commit(&self, record: &Record) {
        if let Some((program, ..)) = position(record) {
            self.inner().commits.remove(program);
        }
    }

    /// Drops one record and its confirmation.
    pub fn remove(&self, record: &Record) {
        let Some((program, index, id)) = position(record) else {
            return;
        };
        let mut inner = self.inner();
        if inner
            .confirmations
            .get(program)
            .is_some_and(|confirmation| confirmation.id == id)
        {
            inner.confirmations.remove(program);
        }
        let Some(turns) = inner.turns.get_mut(program) else {
            return;
        };
        if turns.get(&index).is_some_and(|held| held.record.id == id) {
            turns.remove(&index);
            inner.count -= 1;
        }
    }

    /// Returns the held turns of a program that follow its first `next` turns without a gap.
    pub fn turns(&self, program: &Program, next: u32) -> Vec<Arc<Turn>> {
        let inner = self.inner();
        let Some(held) = inner.turns.get(program) else {
            return Vec::new();
        };
        let consecutive = held
            .range(next..)
            .zip(next..)
            .take_while(|((index, _), expected)| *index == expected);
        let turn = |held: &Entry| match &held.record.body {
            Body::Turn { turn, .. } => Some(turn.clone()),
            _ => None,
        };
        consecutive
            .filter_map(|((_, held), _)| turn(held))
            .collect()
    }

    /// Returns whether any turn of a program is held.
    pub fn holds(&self, program: &Program) -> bool {
        let inner = self.inner();
        let held = inner.turns.get(program);
        held.is_some_and(|held| !held.is_empty())
    }

    /// Submits the records that have not been submitted yet, in the order of their turns, until
    /// `append` returns false.
    pub fn submit(&self, append: impl Fn(&Record) -> bool) {
        let mut inner = self.inner();
        let held = inner.turns.values_mut().flat_map(BTreeMap::values_mut);
        for held in held.filter(|held| !held.submitted) {
            held.submitted = append(&held.record);
            if !held.submitted {
                return;
            }
        }
    }

    /// Drops the turns below `next`, which the log has decided.
    pub fn drop_decided(&self, program: &Program, next: u32) {
        let mut inner = self.inner();
        let confirmation = inner.confirmations.get(program);
        if confirmation.is_some_and(|confirmation| confirmation.index < next) {
            inner.confirmations.remove(program);
        }
        let Some(mut held) = inner.turns.remove(program) else {
            return;
        };
        let rest = held.split_off(&next);
        inner.count -= held.len();
        if !rest.is_empty() {
            inner.turns.insert(program.clone(), rest);
        }
    }

    /// Drops all turns of a program.
    pub fn evict(&self, program: &Program) {
        self.drop_decided(program, u32::MAX);
    }

    /// Returns the programs with held or confirmed turns; a program may appear twice.
    pub fn programs(&self) -> Vec<Program> {
        let inner = self.inner();
        let names = inner.turns.keys().chain(inner.confirmations.keys());
        names.cloned().collect()
    }

    /// Returns the number of held turns.
    pub fn len(&self) -> usize {
        self.inner().count
    }

    /// Returns whether no turn is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
