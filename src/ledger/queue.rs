//! Queue of records that wait for an append, and of commits that wait for an outcome.

use std::{
    collections::VecDeque,
    sync::{
        atomic::{
            AtomicU8,
            Ordering, //
        },
        Arc,
        Mutex,
        MutexGuard, //
    },
};

use bytes::Bytes;
use tokio::sync::{
    oneshot,
    Notify, //
};
use uuid::Uuid;

use crate::{
    hash::Map,
    ledger::Outcome, //
};

/// Whether a record may have reached the log.
///
/// Shared between the waiting commit and the writer, so that a record that the commit abandoned
/// before it was sent is never sent later.
#[derive(Debug, Default)]
pub(crate) struct Progress(AtomicU8);

const WAITING: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

impl Progress {
    /// Marks the record as sent; returns false if it was abandoned.
    fn mark_sent(&self) -> bool {
        let swapped = self
            .0
            .compare_exchange(WAITING, SENT, Ordering::AcqRel, Ordering::Acquire);
        matches!(swapped, Ok(_) | Err(SENT))
    }

    /// Clears the mark of a record that the log certainly did not append.
    fn mark_unsent(&self) {
        let _ = self
            .0
            .compare_exchange(SENT, WAITING, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Abandons the record; returns whether it may have reached the log.
    pub(crate) fn abandon(&self) -> bool {
        self.0.swap(ABANDONED, Ordering::AcqRel) == SENT
    }
}

/// A record that waits for an append.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) id: Uuid,
    pub(crate) bytes: Bytes,
    pub(crate) progress: Arc<Progress>,
    /// Whether no commit waits for the outcome.
    pub(crate) deferred: bool,
    /// Whether an append of the record had an unknown outcome.
    uncertain: bool,
}

impl Entry {
    pub(crate) fn new(id: Uuid, bytes: Bytes, deferred: bool) -> Self {
        Self {
            id,
            bytes,
            progress: Arc::default(),
            deferred,
            uncertain: false,
        }
    }

    /// Records that an append failed; `maybe_applied` is whether it may have taken effect.
    pub(crate) fn failed(&mut self, maybe_applied: bool) {
        self.uncertain |= maybe_applied;
        if !self.uncertain {
            self.progress.mark_unsent();
        }
    }

    /// Marks the record as sent; returns false if it was abandoned.
    pub(crate) fn mark_sent(&self) -> bool {
        self.progress.mark_sent()
    }
}

#[derive(Debug, Default)]
struct Inner {
    entries: VecDeque<Entry>,
    deferred_bytes: usize,
    /// Number of records in the writer's current batch.
    in_flight: usize,
    pending: Map<Uuid, Option<oneshot::Sender<Outcome>>>,
}

/// Queue of one partition's records, in the order in which they are appended.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Adds a record for whose outcome a commit waits; returns `None` if `max_records` are queued.
    pub(crate) fn push(
        &self,
        entry: Entry,
        max_records: usize,
    ) -> Option<oneshot::Receiver<Outcome>> {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        if inner.entries.len() >= max_records {
            return None;
        }
        inner.pending.insert(entry.id, Some(sender));
        inner.entries.push_back(entry);
        self.changed.notify_one();
        Some(receiver)
    }

    /// Adds a record for which no commit waits; returns false if such records would exceed
    /// `max_bytes`.
    pub(crate) fn push_deferred(&self, entry: Entry, max_bytes: usize) -> bool {
        let mut inner = self.lock();
        if inner.deferred_bytes + entry.bytes.len() > max_bytes {
            return false;
        }
        inner.deferred_bytes += entry.bytes.len();
        inner.pending.insert(entry.id, None);
        inner.entries.push_back(entry);
        self.changed.notify_one();
        true
    }

    /// Waits until the queue is not empty.
    pub(crate) async fn wait_nonempty(&self) {
        while self.lock().entries.is_empty() {
            self.changed.notified().await;
        }
    }

    /// Removes the records of the next append and marks them as sent.
    pub(crate) fn take(&self, records: usize, bytes: usize) -> Vec<Entry> {
        let mut inner = self.lock();
        let mut batch: Vec<Entry> = Vec::new();
        let mut size = 0;
        while let Some(entry) = inner.entries.front() {
            let full = batch.len() >= records || size + entry.bytes.len() > bytes;
            if full && !batch.is_empty() {
                break;
            }
            size += entry.bytes.len();
            batch.extend(inner.entries.pop_front());
        }
        batch.retain(|entry| entry.deferred || entry.mark_sent());
        inner.in_flight = batch.len();
        batch
    }

    /// Records that the writer has finished its batch.
    pub(crate) fn finish_batch(&self) {
        self.lock().in_flight = 0;
    }

    /// Releases the memory of a record for which no commit waits, once it is in the log.
    pub(crate) fn stored(&self, entry: &Entry) {
        if entry.deferred {
            let mut inner = self.lock();
            inner.deferred_bytes = inner.deferred_bytes.saturating_sub(entry.bytes.len());
            inner.pending.remove(&entry.id);
        }
    }

    /// Returns whether the outcome of a record is still pending.
    pub(crate) fn is_open(&self, id: &Uuid) -> bool {
        self.lock().pending.contains_key(id)
    }

    /// Reports the outcome of a record to its commit.
    pub(crate) fn resolve(&self, id: &Uuid, outcome: Outcome) {
        let sender = self.lock().pending.remove(id).flatten();
        if let Some(sender) = sender {
            // The commit may have been dropped.
            let _ = sender.send(outcome);
        }
    }

    /// Drops the pending commit of a record that was abandoned.
    pub(crate) fn abandon(&self, id: &Uuid) {
        self.lock().pending.remove(id);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lock().entries.is_empty()
    }

    /// Returns whether no record is queued or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        let inner = self.lock();
        inner.entries.is_empty() && inner.in_flight == 0
    }
}
