//! Rate limits that overloaded upstreams state in their answers, as far as this instance knows them.
//!
//! An upstream states the requests per second that it takes from all instances together, in each
//! answer for as long as the limit holds. [`super::permit`] keeps them.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::registry::Server;
use crate::{
    clock::Time,
    hash::Map, //
};

/// Relative change of a limit that is worth telling other instances; they learn of smaller ones
/// with their next permit.
const MIN_CHANGE: f64 = 0.1;

/// What an answer of an upstream said about its limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Service that the upstream runs.
    pub service: Arc<str>,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Start of the upstream; a limit ends with it.
    pub started: u64,
    /// Requests per second that the upstream takes; `None` if the answer named no limit.
    pub rate: Option<f64>,
    /// Arrival of the answer.
    pub at: Time,
}

impl Notice {
    /// Returns what an answer of a server said that arrived just now.
    pub fn new(now: Time, server: &Server, rate: Option<f64>) -> Self {
        Self {
            service: server.service.clone(),
            upstream: server.id.clone(),
            started: server.started,
            rate,
            at: now,
        }
    }
}

/// A notice as instances exchange it; their clocks differ, so that it states an age.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// Service that the upstream runs.
    #[serde(rename = "s")]
    service: Arc<str>,
    /// Identifier of the upstream.
    #[serde(rename = "u")]
    upstream: Arc<str>,
    /// Start of the upstream.
    #[serde(rename = "b")]
    started: u64,
    /// Requests per second; finite and not negative in any notice made of it.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    rate: Option<f64>,
    /// Age of the notice.
    #[serde(rename = "a")]
    age_us: u64,
}

impl Message {
    /// Returns the message for a notice.
    pub fn new(now: Time, notice: &Notice) -> Self {
        Self {
            service: notice.service.clone(),
            upstream: notice.upstream.clone(),
            started: notice.started,
            rate: notice.rate,
            age_us: now.since(notice.at).as_micros() as u64,
        }
    }

    /// Returns the notice of a message received just now; `None` if its rate is invalid.
    pub fn notice(self, now: Time) -> Option<Notice> {
        let valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        self.rate.is_none_or(valid).then(|| Notice {
            service: self.service,
            upstream: self.upstream,
            started: self.started,
            rate: self.rate,
            at: now - Duration::from_micros(self.age_us),
        })
    }
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

    /// Returns the latest notice of an upstream, whichever start of it.
    pub fn latest(&self, upstream: &str) -> Option<&Notice> {
        self.latest.get(upstream)
    }

    /// Returns the notices of the upstreams of a service that have a limit.
    pub fn limited<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Notice> {
        let notices = self.latest.values();
        notices.filter(move |notice| &*notice.service == service && notice.rate.is_some())
    }

    /// Drops the notices of all upstreams except those for which `exists` returns `true`.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.latest.retain(|upstream, _| exists(upstream));
    }
}
