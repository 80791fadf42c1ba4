//! Records that others publish and an instance follows.

use std::time::Duration;

use crate::log::Failure;

/// Some items of a feed.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// The items, oldest first.
    pub items: Vec<T>,
    /// Position to read on from.
    pub next: u64,
}

/// A feed whose current state can be read at once, and its changes as they come.
///
/// Futures stay on the thread that made them, as the HTTP client does.
#[allow(async_fn_in_trait)]
pub trait Feed {
    /// What is published.
    type Item;

    /// Reads the current state.
    async fn snapshot(&self) -> Result<Page<Self::Item>, Failure>;

    /// Reads changes from a position on, and waits up to `wait` for the first one.
    async fn changes(&self, from: u64, wait: Duration) -> Result<Page<Self::Item>, Failure>;
}
