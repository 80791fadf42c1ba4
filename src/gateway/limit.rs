//! Limits that upstreams in need name in their answers, as far as this instance knows them.
//!
//! An upstream names the requests per second that it takes from all instances together, in each
//! answer for as long as the limit holds. [`super::permit`] keeps them.

use std::sync::Arc;

use crate::{
    clock::Time,
    hash::Map, //
};

use super::registry::Server;

/// Relative change of a limit that is worth telling other instances; they learn of smaller ones
/// with their next permit.
const MIN_CHANGE: f64 = 0.1;

/// What an answer of an upstream said about its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Start of the upstream; a limit ends with it.
    pub started: u64,
    /// Requests per second that the upstream takes; `None` if the answer named no limit.
    pub rate: Option<f64>,
    /// Arrival of the answer.
    pub at: Time,
}

/// How the latest notice of an upstream differs from the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Not by much.
    None,
    /// The upstream named a limit, or another one.
    Named,
    /// The upstream names no limit any more.
    Ended,
}

/// The latest notice of each upstream that has named a limit.
#[derive(Debug, Default)]
pub struct Notices {
    /// Also has upstreams whose limit ended, so that an older notice doesn't bring it back.
    latest: Map<Arc<str>, Notice>,
}

impl Notices {
    /// Records a notice unless a later one is known.
    pub fn record(&mut self, notice: Notice) -> Change {
        let known = self.latest.get(&notice.upstream);
        let old = match known {
            Some(old) if (notice.started, notice.at) < (old.started, old.at) => {
                return Change::None;
            }
            Some(old) if old.started == notice.started => old.rate,
            _ => None,
        };
        if known.is_none() && notice.rate.is_none() {
            return Change::None;
        }
        let change = match (old, notice.rate) {
            (None, None) => Change::None,
            (Some(_), None) => Change::Ended,
            (None, Some(_)) => Change::Named,
            (Some(old), Some(new)) if (old - new).abs() > MIN_CHANGE * old => Change::Named,
            (Some(_), Some(_)) => Change::None,
        };
        self.latest.insert(notice.upstream.clone(), notice);
        change
    }

    /// Returns the limit of an upstream, in requests per second.
    pub fn rate(&self, server: &Server) -> Option<f64> {
        self.get(server)?.rate
    }

    /// Returns the latest notice of an upstream.
    pub fn get(&self, server: &Server) -> Option<&Notice> {
        let notice = self.latest.get(&server.id)?;
        (notice.started == server.started).then_some(notice)
    }

    /// Drops the notices of all upstreams except those for which `exists` returns `true`.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.latest.retain(|upstream, _| exists(upstream));
    }
}
