//! A bounded map of recently written keys.

use std::{
    hash::Hash,
    mem, //
};

use crate::hash::Map;

/// A map that evicts keys which have not been written recently.
///
/// Two generations bound the memory without an LRU list: when the newer one is full, the older one
/// is dropped.
#[derive(Debug)]
pub struct Recent<K, V> {
    newer: Map<K, V>,
    older: Map<K, V>,
    generation_size: usize,
}

impl<K: Clone + Eq + Hash, V> Recent<K, V> {
    /// Creates an empty map of at most `size` keys, at least 2.
    pub fn new(size: usize) -> Self {
        Self {
            newer: Map::default(),
            older: Map::default(),
            generation_size: (size / 2).max(1),
        }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        match self.newer.contains_key(key) {
            true => self.newer.get_mut(key),
            false => self.older.get_mut(key),
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &K) {
        self.newer.remove(key);
        self.older.remove(key);
    }

    /// Sets the value of a key.
    pub fn insert(&mut self, key: K, value: V) {
        if self.newer.len() >= self.generation_size && !self.newer.contains_key(&key) {
            self.older = mem::take(&mut self.newer);
        }
        self.older.remove(&key);
        self.newer.insert(key, value);
    }

    /// Returns a mutable reference to the value of a key; inserts the default if it is missing.
    pub fn entry(&mut self, key: &K) -> &mut V
    where
        V: Default,
    {
        if !self.newer.contains_key(key) {
            let value = self.older.remove(key).unwrap_or_default();
            self.insert(key.clone(), value);
        }
        self.newer.entry(key.clone()).or_default()
    }

    /// Returns all keys and values.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.newer.iter().chain(&self.older)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
