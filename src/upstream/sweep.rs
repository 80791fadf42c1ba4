//! Periodic release of cache that engines hold for programs that have ended.

use std::{
    cell::RefCell,
    time::Duration, //
};

use futures_util::{
    stream,
    StreamExt as _, //
};

use crate::{
    clock::Time,
    config,
    hash::Map,
    name::{
        Program,
        Upstream, //
    },
};

use super::{
    Engine,
    Failure,
    Slot, //
};

/// Prefix of this system's cache keys; other keys belong to the old system.
pub const PREFIX: &str = "gypsumlever/";

/// Maximum number of engines that are swept concurrently.
const MAX_CONCURRENT_ENGINES: usize = 16;

/// Returns the key under which engines cache the prefix of a program.
pub fn key(program: &Program) -> String {
    format!("{PREFIX}{program}")
}

/// State of a program in the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The program is active.
    Live,
    /// The program has ended.
    Ended,
    /// The replica does not know the program: it is very old, or too new for a lagging replica.
    Unknown,
}

/// Times on which a decision depends.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Current time.
    pub now: Time,
    /// Last time at which the replica had applied the complete log.
    pub current: Time,
    /// Time for which the cache of an unknown program is retained.
    pub grace: Duration,
}

/// State of the sweep between rounds.
#[derive(Debug, Default)]
pub struct Sweep {
    /// Time at which each key of an unknown program was first listed.
    unknown: Map<Upstream, Map<String, Time>>,
}

impl Sweep {
    /// Returns the slots of an engine to release.
    ///
    /// The cache of an unknown program is released only if the replica was up to date at least
    /// `grace` after the first listing; while the log is down, no such cache is released.
    pub fn decide(
        &mut self,
        times: Times,
        upstream: &Upstream,
        slots: &[Slot],
        state: impl Fn(&Program) -> State,
    ) -> Vec<Slot> {
        let before = self.unknown.remove(upstream).unwrap_or_default();
        let mut unknown = Map::default();
        let mut release = Vec::new();
        for slot in slots {
            let Some(id) = slot.cache_key.strip_prefix(PREFIX) else {
                continue;
            };
            let state = Program::try_from(id).map_or(State::Unknown, |program| state(&program));
            match state {
                State::Live => {}
                State::Ended => release.push(slot.clone()),
                State::Unknown => {
                    let first = before.get(&slot.cache_key).copied().unwrap_or(times.now);
                    if times.current >= first + times.grace {
                        release.push(slot.clone());
                    }
                    unknown.insert(slot.cache_key.clone(), first);
                }
            }
        }
        if !unknown.is_empty() {
            self.unknown.insert(upstream.clone(), unknown);
        }
        release
    }

    /// Drops the state of engines that are no longer swept.
    pub fn retain(&mut self, keep: impl Fn(&Upstream) -> bool) {
        self.unknown.retain(|upstream, _| keep(upstream));
    }

    /// Lists the slots of engines and releases those that [`Sweep::decide`] returns.
    ///
    /// Each engine's slots are released immediately after they are listed, because the engine may
    /// reuse them at any time. The next round retries slots that could not be released.
    pub async fn round<E: Engine>(
        &mut self,
        engine: &E,
        times: Times,
        targets: &[Target],
        state: impl Fn(&Program) -> State,
    ) -> Report {
        let sweep = RefCell::new(self);
        let report = RefCell::new(Report::default());
        let (sweep, report_of, state) = (&sweep, &report, &state);
        stream::iter(targets)
            .for_each_concurrent(MAX_CONCURRENT_ENGINES, |target| async move {
                let slots = match engine.slots(&target.address).await {
                    Ok(slots) => slots,
                    Err(failure) => return report_of.borrow_mut().fail(target, failure),
                };
                let due = sweep
                    .borrow_mut()
                    .decide(times, &target.name, &slots, state);
                let (released, failure) = release(engine, target, due).await;
                let mut report = report_of.borrow_mut();
                report.slots += slots.len();
                report.released += released;
                if let Some(failure) = failure {
                    report.fail(target, failure);
                }
            })
            .await;
        report.into_inner()
    }
}

/// Releases slots of one engine; returns the number of released slots and the last failure.
///
/// If the engine answers with an error, for example because the slot was reused, the remaining
/// slots are still released; any other failure, such as a timeout, skips them.
async fn release<E: Engine>(
    engine: &E,
    target: &Target,
    slots: Vec<Slot>,
) -> (usize, Option<Failure>) {
    let mut released = 0;
    let mut last = None;
    for slot in &slots {
        match engine.release(&target.address, slot).await {
            Ok(()) => released += 1,
            Err(failure) => {
                let stop = !matches!(failure, Failure::Failed { .. });
                last = Some(failure);
                if stop {
                    break;
                }
            }
        }
    }
    (released, last)
}

/// Name and address of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the upstream.
    pub name: Upstream,
    /// Address such as `10.0.0.7:8000`.
    pub address: String,
}

impl From<&config::Upstream> for Target {
    fn from(upstream: &config::Upstream) -> Self {
        Self {
            name: upstream.name.clone(),
            address: upstream.address.clone(),
        }
    }
}

/// Result of a sweep round.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// Number of slots listed.
    pub slots: usize,
    /// Number of slots released.
    pub released: usize,
    /// Engines that failed.
    pub failures: Vec<(Upstream, Failure)>,
}

impl Report {
    fn fail(&mut self, target: &Target, failure: Failure) {
        self.failures.push((target.name.clone(), failure));
    }
}
