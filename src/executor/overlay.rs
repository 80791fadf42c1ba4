//! Turns that are held in memory until the log has them.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use crate::{
    hash::Map,
    ledger::record::{
        Body,
        Record,
        Turn, //
    },
    name::Program,
};

/// Most records that one instance holds; more are refused, so that an outage can't fill the memory.
const MOST: usize = 20_000;

#[derive(Debug, Default)]
struct Inner {
    turns: Map<Program, BTreeMap<u32, Record>>,
    count: usize,
}

/// Turns that are not in the log yet, by program and number.
///
/// They count as history on the instances that hold them, so that a program goes on while the
/// log is down. Once the log decides about a turn, its entry is dropped.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    inner: Arc<Mutex<Inner>>,
}

impl Overlay {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Holds a turn's record; returns false if there is no room, or if it is not a turn.
    pub fn insert(&self, record: &Record) -> bool {
        let Body::Turn { program, index, .. } = &record.body else {
            return false;
        };
        let mut inner = self.inner();
        if inner.count >= MOST {
            return false;
        }
        let turns = inner.turns.entry(program.clone()).or_default();
        if turns.insert(*index, record.clone()).is_none() {
            inner.count += 1;
        }
        true
    }

    /// Returns the held turns of a program that follow its `next` committed turns without a gap.
    pub fn turns(&self, program: &Program, next: u32) -> Vec<Arc<Turn>> {
        let inner = self.inner();
        let Some(held) = inner.turns.get(program) else {
            return Vec::new();
        };
        let consecutive = held
            .range(next..)
            .zip(next..)
            .take_while(|((index, _), expected)| *index == expected);
        let turn = |record: &Record| match &record.body {
            Body::Turn { turn, .. } => Some(turn.clone()),
            _ => None,
        };
        consecutive
            .filter_map(|((_, record), _)| turn(record))
            .collect()
    }

    /// Drops the turns that the log has decided: those below `next`.
    pub fn decided(&self, program: &Program, next: u32) {
        let mut inner = self.inner();
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
    pub fn forget(&self, program: &Program) {
        self.decided(program, u32::MAX);
    }

    /// Returns the programs that have held turns.
    pub fn programs(&self) -> Vec<Program> {
        self.inner().turns.keys().cloned().collect()
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
