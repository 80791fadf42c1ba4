//! Cache of turns' texts with a limit in bytes.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::{
    hash::Map,
    ledger::record::Turn,
    name::Program, //
};

/// Bytes of a cached turn besides its texts: allocations, counters and the map entry.
///
/// `tests/ledger_size.rs` shows about 285 with the smallest texts.
const TURN_OVERHEAD_BYTES: usize = 300;

#[derive(Debug, Default)]
struct Entry {
    turns: Map<u32, Arc<Turn>>,
    bytes: usize,
    last_used: u64,
}

/// Cache of turns; the least recently used programs are evicted first.
#[derive(Debug)]
pub(crate) struct Cache {
    entries: Map<Program, Entry>,
    order: BTreeMap<u64, Program>,
    sequence: u64,
    bytes: usize,
    max_bytes: usize,
}

impl Cache {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            entries: Map::default(),
            order: BTreeMap::new(),
            sequence: 0,
            bytes: 0,
            max_bytes,
        }
    }

    pub(crate) fn insert(&mut self, program: &Program, index: u32, turn: &Arc<Turn>) {
        self.touch(program);
        let Some(entry) = self.entries.get_mut(program) else {
            return;
        };
        let bytes = size(turn);
        let replaced = entry.turns.insert(index, turn.clone());
        let freed = replaced.map_or(0, |turn| size(&turn));
        entry.bytes = entry.bytes + bytes - freed;
        self.bytes = self.bytes + bytes - freed;
        while self.bytes > self.max_bytes {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.evict(&oldest);
        }
    }

    pub(crate) fn find(&self, program: &Program, index: u32) -> Option<Arc<Turn>> {
        self.entries.get(program)?.turns.get(&index).cloned()
    }

    pub(crate) fn get(&mut self, program: &Program, count: u32) -> Vec<Option<Arc<Turn>>> {
        let Some(entry) = self.entries.get(program) else {
            return vec![None; count as usize];
        };
        let found = (0..count).map(|index| entry.turns.get(&index).cloned());
        let found = found.collect();
        self.touch(program);
        found
    }

    fn evict(&mut self, program: &Program) {
        if let Some(entry) = self.entries.remove(program) {
            self.order.remove(&entry.last_used);
            self.bytes -= entry.bytes;
        }
    }

    fn touch(&mut self, program: &Program) {
        self.sequence += 1;
        let entry = self.entries.entry(program.clone()).or_default();
        self.order.remove(&entry.last_used);
        entry.last_used = self.sequence;
        self.order.insert(self.sequence, program.clone());
    }
}

fn size(turn: &Turn) -> usize {
    let key = turn.key.as_ref().map_or(0, String::len);
    turn.request.len() + turn.answer.len() + key + TURN_OVERHEAD_BYTES
}
