//! Feeds that the platform publishes and an instance follows.

use std::time::Duration;

use bytes::Bytes;

use crate::log::Failure;

/// Result of one read of a feed.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// The items, oldest first.
    pub items: Vec<T>,
    /// Position of the next read.
    pub next: u64,
    /// Whether the read reached the end of the feed; the next one has more at once otherwise.
    pub complete: bool,
}

impl<T> Page<T> {
    /// Returns the page with other items.
    pub fn map<U>(self, decode: impl FnOnce(Vec<T>) -> Vec<U>) -> Page<U> {
        Page {
            items: decode(self.items),
            next: self.next,
            complete: self.complete,
        }
    }
}

/// A feed of which the current state and later changes can be read.
///
/// The futures are not `Send`, because the HTTP client is not.
#[allow(async_fn_in_trait)]
pub trait Feed {
    /// Published item.
    type Item;

    /// Reads the current state.
    async fn snapshot(&self) -> Result<Page<Self::Item>, Failure>;

    /// Reads changes from a position on, not all if they are long; waits up to `wait` for the first one.
    async fn changes(&self, from: u64, wait: Duration) -> Result<Page<Self::Item>, Failure>;
}

/// A feed whose items can also come from another instance.
pub trait Decode: Feed {
    /// Decodes an item; `None` if it is invalid.
    fn decode(&self, bytes: Bytes) -> Option<Self::Item>;
}
