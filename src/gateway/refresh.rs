//! Reads of the registry on demand.
//!
//! An upstream that starts again under its identifier and address may have another software version.
//! Until its report is read, it seems to be the one before. So a stream goes on at an upstream that
//! does not describe itself only after a read that began when its connection was open.

use std::time::Duration;

use tokio::{
    sync::{
        watch,
        Notify, //
    },
    time::timeout,
};

use crate::clock::Time;

/// Timeout of a read on demand: many round trips to a store that is slow, and little of the time after
/// which callers give up a stream.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads that are requested, and the latest one.
#[derive(Debug)]
pub struct Refresh {
    requested: Notify,
    /// Begin of the latest successful read.
    begun: watch::Sender<Time>,
}

impl Default for Refresh {
    fn default() -> Self {
        Self {
            requested: Notify::new(),
            begun: watch::Sender::new(Time::default()),
        }
    }
}

impl Refresh {
    /// Requests a read and waits for it; returns whether one that began from now on succeeded in time.
    pub async fn read(&self) -> bool {
        let now = Time::monotonic();
        let mut begun = self.begun.subscribe();
        self.requested.notify_one();
        let read = begun.wait_for(|begun| *begun >= now);
        timeout(READ_TIMEOUT, read)
            .await
            .is_ok_and(|read| read.is_ok())
    }

    /// Waits until a read is requested.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Records a successful read.
    pub fn record(&self, begun: Time) {
        self.begun.send_replace(begun);
    }
}
