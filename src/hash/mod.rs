//! Hash map aliases and rendezvous hashing.

use std::{
    cmp::Reverse,
    collections::{
        HashMap,
        HashSet, //
    },
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash map with a fast hasher.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with a fast hasher.
pub type Set<K> = HashSet<K, foldhash::fast::RandomState>;

/// Hashes bytes in the same way on every instance and version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Weight of `node` for `key` in rendezvous hashing.
fn weight(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Returns the node that rendezvous hashing picks for `key`.
pub fn rendezvous<'a, N>(key: &[u8], nodes: impl IntoIterator<Item = &'a N>) -> Option<&'a N>
where
    N: AsRef<str> + ?Sized + 'a,
{
    let key = stable(key);
    nodes
        .into_iter()
        .max_by_key(|node| (weight(key, (*node).as_ref()), (*node).as_ref()))
}

/// Returns the nodes in the order in which rendezvous hashing prefers them for `key`.
pub fn ranking<'a, N>(key: &[u8], nodes: impl IntoIterator<Item = &'a N>) -> Vec<&'a N>
where
    N: AsRef<str> + ?Sized + 'a,
{
    let key = stable(key);
    let mut ranked: Vec<_> = nodes.into_iter().collect();
    ranked.sort_by_key(|node| Reverse((weight(key, (*node).as_ref()), (*node).as_ref())));
    ranked
}
