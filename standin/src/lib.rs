//! Stand-ins for the external systems, for tests and trials.
//!
//! Each stand-in runs on a thread of its own, either in process (`log::start` and
//! its kin return a [`server::Server`]) or as `gypsumlever-standin`.

pub mod command;
pub mod engine;
pub mod list;
pub mod log;
mod rate;
pub mod server;
pub mod service;
pub mod weights;

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Returns the wall clock's time in microseconds since the Unix epoch.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// Locks a mutex; a test that panicked while it held the lock doesn't stop the stand-in.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
