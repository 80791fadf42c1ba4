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

/// Hashes bytes; the result is the same on every instance and in every version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Hashes bytes together with an earlier hash; the result is as stable as that of [`stable`].
pub fn seeded(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the weight of `node` for `key` in rendezvous hashing.
fn weight(key: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), key)
}

/// Returns the node with the highest rendezvous weight for `key`; `None` if there are no nodes.
pub fn rendezvous<'a, N>(key: &[u8], nodes: impl IntoIterator<Item = &'a N>) -> Option<&'a N>
where
    N: AsRef<str> + ?Sized + 'a,
{
    let key = stable(key);
    nodes
        .into_iter()
        .max_by_key(|node| (weight(key, (*node).as_ref()), (*node).as_ref()))
}

/// Returns the nodes in descending order of their rendezvous weight for `key`.
pub fn ranking<'a, N>(key: &[u8], nodes: impl IntoIterator<Item = &'a N>) -> Vec<&'a N>
where
    N: AsRef<str> + ?Sized + 'a,
{
    let key = stable(key);
    let mut ranked: Vec<_> = nodes.into_iter().collect();
    ranked.sort_by_key(|node| Reverse((weight(key, (*node).as_ref()), (*node).as_ref())));
    ranked
}
