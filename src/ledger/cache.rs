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
const OVERHEAD: usize = 300;

#[derive(Debug, Default)]
struct Line {
    turns: Map<u32, Arc<Turn>>,
    bytes: usize,
    used: u64,
}

/// Cache of turns; the least recently used programs are evicted first.
#[derive(Debug)]
pub(crate) struct Cache {
    lines: Map<Program, Line>,
    order: BTreeMap<u64, Program>,
    clock: u64,
    bytes: usize,
    most: usize,
}

impl Cache {
    pub(crate) fn new(most: usize) -> Self {
        Self {
            lines: Map::default(),
            order: BTreeMap::new(),
            clock: 0,
            bytes: 0,
            most,
        }
    }

    pub(crate) fn insert(&mut self, program: &Program, index: u32, turn: &Arc<Turn>) {
        self.touch(program);
        let Some(line) = self.lines.get_mut(program) else {
            return;
        };
        let bytes = size(turn);
        let old = line.turns.insert(index, turn.clone());
        let freed = old.map_or(0, |turn| size(&turn));
        line.bytes = line.bytes + bytes - freed;
        self.bytes = self.bytes + bytes - freed;
        while self.bytes > self.most {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.drop_line(&oldest);
        }
    }

    pub(crate) fn find(&self, program: &Program, index: u32) -> Option<Arc<Turn>> {
        self.lines.get(program)?.turns.get(&index).cloned()
    }

    pub(crate) fn get(&mut self, program: &Program, count: u32) -> Vec<Option<Arc<Turn>>> {
        let Some(line) = self.lines.get(program) else {
            return vec![None; count as usize];
        };
        let found = (0..count).map(|index| line.turns.get(&index).cloned());
        let found = found.collect();
        self.touch(program);
        found
    }

    fn drop_line(&mut self, program: &Program) {
        if let Some(line) = self.lines.remove(program) {
            self.order.remove(&line.used);
            self.bytes -= line.bytes;
        }
    }

    fn touch(&mut self, program: &Program) {
        self.clock += 1;
        let line = self.lines.entry(program.clone()).or_default();
        self.order.remove(&line.used);
        line.used = self.clock;
        self.order.insert(self.clock, program.clone());
    }
}

fn size(turn: &Turn) -> usize {
    let key = turn.key.as_ref().map_or(0, String::len);
    turn.request.len() + turn.answer.len() + key + OVERHEAD
}
