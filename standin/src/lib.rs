//! Stand-ins for the external systems, for tests and trials.
//!
//! Each stand-in runs on its own thread, either in process (`log::start` and the other
//! `start` functions return a [`server::Server`]) or as `gypsumlever-standin`. It serves two
//! addresses. Network faults affect only the first, so the second stays reachable for control.
//!
//! | route | purpose |
//! |---|---|
//! | `GET /control/books` | statistics of the stand-in |
//! | `GET`, `POST /control/faults` | active faults; a post replaces all, `{}` clears them |
//! | `POST /control/connections` | `{"action": "mute"}` or `"close"` all open connections |
//! | `POST /control/trim` | log: remove the records before an offset |
//! | `POST /control/entries`, `DELETE /control/entries/{service}/{id}` | list: add, replace or remove an entry |
//! | `PUT`, `DELETE /control/records/{topic}/{key}` | store: set or remove a key |
//! | `POST /control/foreign` | engine: load and cached prefixes of the old system |
//!
//! Faults limited to a number of calls count down in the active faults.

pub mod command;
pub mod engine;
mod leaving;
pub mod list;
pub mod log;
mod rate;
pub mod server;
pub mod service;
pub mod store;
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

pub use leaving::Leaving;

/// Hash map with a fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// Locks a mutex, ignoring poisoning: a test that panicked while it held the lock must not
/// stop the stand-in.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
