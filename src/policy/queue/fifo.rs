//! First-come, first-served order.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    Entry,
    Order,
    Settings,
    Verdict, //
};
use crate::{
    clock::Time,
    name::{
        Class,
        Customer, //
    },
};

/// A queue in the order of arrival.
#[derive(Debug)]
pub struct Fifo {
    entries: VecDeque<Entry>,
}

impl Order for Fifo {
    fn new(_: &Settings) -> Self {
        Self {
            entries: VecDeque::new(),
        }
    }

    fn push(&mut self, _: Time, entry: Entry) {
        self.entries.push_back(entry);
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        self.entries.remove(index)
    }

    fn scan(&mut self, _: Time, mut visit: impl FnMut(&Entry) -> Verdict) -> Option<Entry> {
        for index in 0..self.entries.len() {
            match visit(&self.entries[index]) {
                Verdict::Take => return self.entries.remove(index),
                Verdict::Skip => {}
                Verdict::Stop => return None,
            }
        }
        None
    }

    fn charge(&mut self, _: &Customer, _: i64) {}

    fn drain(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let entries = std::mem::take(&mut self.entries);
        let (removed, retained) = entries.into_iter().partition(|entry| matches(entry));
        self.entries = retained;
        Vec::from(removed)
    }

    fn expire(&mut self, now: Time) -> Vec<Entry> {
        self.drain(|entry| entry.latest_start < now)
    }

    fn next_expiry(&self) -> Option<Time> {
        self.entries.iter().map(|entry| entry.latest_start).min()
    }

    fn ahead(&self, _: &Customer) -> bool {
        false
    }

    fn age(&self, now: Time, _: &Customer, _: &Class) -> Duration {
        self.entries
            .front()
            .map_or(Duration::ZERO, |entry| now.since(entry.queued_at))
    }

    fn count(&self, _: &Customer) -> usize {
        0
    }

    fn len(&self) -> usize {
        self.entries.len()
    }

    fn lengths(&self) -> Vec<(Customer, usize)> {
        let mut lengths = std::collections::BTreeMap::new();
        for entry in &self.entries {
            *lengths.entry(entry.call.customer.clone()).or_insert(0) += 1;
        }
        lengths.into_iter().collect()
    }
}
