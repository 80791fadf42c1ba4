//! A running call, independent of the callers that follow it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
};

use tokio::sync::{
    mpsc,
    watch, //
};

use super::request::{
    Answer,
    Event,
    Refusal, //
};

/// Maximum size of the text in one event.
const MAX_TEXT_BYTES: usize = 16 * 1024;

/// A running or finished call.
#[derive(Debug)]
pub struct Job {
    /// Hash of the request, used to recognise a retry of the same call.
    pub digest: u64,
    /// Number of the turn that the call produces.
    pub turn: Option<u32>,
    /// Text generated so far; it only grows during an attempt, and is cleared by the next attempt.
    text: RefCell<String>,
    /// Number of times that generated text was discarded.
    restarts: Cell<u32>,
    /// Final event, set once.
    final_event: RefCell<Option<Event>>,
    /// Change counter that wakes up followers.
    changes: watch::Sender<u64>,
    /// Whether cancellation was requested.
    cancelled: watch::Sender<bool>,
}

impl Job {
    /// Creates a job whose call has not started.
    pub fn new(digest: u64, turn: Option<u32>) -> Rc<Self> {
        Rc::new(Self {
            digest,
            turn,
            text: RefCell::default(),
            restarts: Cell::new(0),
            final_event: RefCell::default(),
            changes: watch::Sender::new(0),
            cancelled: watch::Sender::new(false),
        })
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Adds generated text.
    pub fn push(&self, text: &str) {
        self.text.borrow_mut().push_str(text);
        self.notify();
    }

    /// Discards the text of a failed attempt.
    pub fn restart(&self) {
        if !self.text.borrow().is_empty() {
            self.text.borrow_mut().clear();
            self.restarts.set(self.restarts.get() + 1);
            self.notify();
        }
    }

    /// Returns the text generated so far.
    pub fn text(&self) -> String {
        self.text.borrow().clone()
    }

    /// Sets the result of the job; only the first result counts.
    pub fn finish(&self, end: Result<Answer, Refusal>) {
        let event = match end {
            Ok(answer) => Event::Answer(answer),
            Err(refusal) => Event::Refusal(refusal),
        };
        self.final_event.borrow_mut().get_or_insert(event);
        self.notify();
    }

    /// Returns whether the job has ended.
    pub fn finished(&self) -> bool {
        self.final_event.borrow().is_some()
    }

    /// Requests cancellation of the call.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Waits until cancellation is requested.
    pub async fn cancelled(&self) {
        // The sender lives in `self`, so waiting cannot fail.
        let _ = self.cancelled.subscribe().wait_for(|value| *value).await;
    }

    /// Returns at most [`MAX_TEXT_BYTES`] of text from byte `from` on, up to a character boundary.
    fn text_from(&self, from: usize) -> Option<String> {
        let text = self.text.borrow();
        let rest = text.get(from..)?;
        if rest.is_empty() {
            return None;
        }
        let mut end = rest.len().min(MAX_TEXT_BYTES);
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        Some(rest[..end].to_owned())
    }

    /// Sends the job's text from byte `from` on, then its final event.
    ///
    /// Each follower reads at its own pace; a slow one delays neither the call nor other followers.
    pub async fn follow(&self, from: u64, sink: &mpsc::Sender<Event>) {
        let mut changes = self.changes.subscribe();
        let mut restarts = self.restarts.get();
        let mut offset = from as usize;
        loop {
            changes.borrow_and_update();
            if restarts != self.restarts.get() {
                restarts = self.restarts.get();
                offset = 0;
            }
            while let Some(text) = self.text_from(offset) {
                let start = offset as u64;
                offset += text.len();
                if sink
                    .send(Event::Text {
                        offset: start,
                        text,
                    })
                    .await
                    .is_err()
                {
                    return;
                }
                if restarts != self.restarts.get() {
                    restarts = self.restarts.get();
                    offset = 0;
                }
            }
            let final_event = self.final_event.borrow().clone();
            if let Some(event) = final_event {
                // A follower that has disconnected fetches the answer later.
                let _ = sink.send(event).await;
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
