//! Stand-ins for the external systems, for tests and trials.
//!
//! Each stand-in runs on a thread of its own, either in process (`log::start` and
//! its kin return a [`server::Server`]) or as `gypsumlever-standin`. It serves two
//! addresses; faults of the network hold for the first only, so control stays possible.
//!
//! | route | purpose |
//! |---|---|
//! | `GET /control/books` | what the stand-in received and did |
//! | `GET`, `POST /control/faults` | the faults; a post replaces all, `{}` clears them |
//! | `POST /control/connections` | `{"action": "mute"}` or `"close"` all established ones |
//! | `POST /control/trim` | log: remove the records before an offset |
//! | `POST /control/entries`, `DELETE /control/entries/{service}/{id}` | list: change an entry |
//! | `PUT`, `DELETE /control/records/{topic}/{key}` | store: set or drop a key |
//! | `POST /control/foreign` | engine: load and cache of the old system |
//!
//! Faults that hit a number of calls count down in the set faults.

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
