//! Failure detection for the log.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::sync::watch;

/// Task of the ledger that uses the log.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Task {
    Writer,
    Follower,
}

/// Whether the log responds for one partition.
#[derive(Debug)]
pub(crate) struct Health {
    /// Start of the current sequence of failures of each task.
    failing: Mutex<[Option<Instant>; 2]>,
    detection: Duration,
    down: watch::Sender<bool>,
}

impl Health {
    pub(crate) fn new(detection: Duration) -> Self {
        Self {
            failing: Mutex::default(),
            detection,
            down: watch::Sender::new(false),
        }
    }

    pub(crate) fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    pub(crate) async fn wait_down(&self) {
        // The sender lives as long as `self`.
        let _ = self.down.subscribe().wait_for(|down| *down).await;
    }

    pub(crate) fn succeeded(&self, task: Task) {
        self.set(task, |_| None);
    }

    /// Records a failure; a new sequence of failures counts from `start`.
    pub(crate) fn failed(&self, task: Task, start: Instant) {
        self.set(task, |since| since.or(Some(start)));
    }

    fn set(&self, task: Task, change: impl Fn(Option<Instant>) -> Option<Instant>) {
        let mut failing = self.failing.lock().unwrap_or_else(|p| p.into_inner());
        let since = &mut failing[task as usize];
        *since = change(*since);
        let exceeded = |since: &Instant| since.elapsed() >= self.detection;
        let down = failing.iter().flatten().any(exceeded);
        self.down.send_if_modified(|previous| {
            let changed = *previous != down;
            *previous = down;
            changed
        });
    }
}
