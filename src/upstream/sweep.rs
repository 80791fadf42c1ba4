//! Cleanup of cache that engines hold for programs that have ended.

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

/// Beginning of the keys of this system's cache; other keys belong to the old system.
pub const PREFIX: &str = "gypsumlever/";

/// Engines that are listed or released from at the same time.
const PARALLEL: usize = 16;

/// Returns the key under which engines cache the prefix of a program.
pub fn key(program: &Program) -> String {
    format!("{PREFIX}{program}")
}

/// What the replica says about a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The program is under way.
    Live,
    /// The program has ended.
    Ended,
    /// The replica does not know the program: it is very old, or so new that the replica is behind.
    Unknown,
}

/// Times that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Now.
    pub now: Time,
    /// Last time at which the replica had applied the whole log.
    pub current: Time,
    /// Time for which the cache of an unknown program is kept.
    pub grace: Duration,
}

/// Memory of a sweeper between its rounds.
#[derive(Debug, Default)]
pub struct Sweep {
    /// When a key of an unknown program was first listed.
    unknown: Map<Upstream, Map<String, Time>>,
}

impl Sweep {
    /// Returns the slots of an engine that have to be released.
    ///
    /// An unknown program's cache is released only if the replica was complete at a time that is
    /// later than the first listing by `grace`; while the log is down nothing unknown is released.
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

    /// Forgets engines that are not swept any longer.
    pub fn retain(&mut self, keep: impl Fn(&Upstream) -> bool) {
        self.unknown.retain(|upstream, _| keep(upstream));
    }

    /// Lists the cache of engines and releases what [`Sweep::decide`] says.
    ///
    /// Each engine's slots are released right after they were listed, because the engine may use
    /// them for other cache at any time. What could not be released is listed again in the next
    /// round.
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
            .for_each_concurrent(PARALLEL, |target| async move {
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

/// Releases slots of one engine; returns how many were released and the last failure.
///
/// A slot that the engine refuses, for example because it holds other cache by now, does not stop
/// the rest; an engine that does not answer does.
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

/// An upstream and where it is.
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

/// What a round did.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// Slots listed.
    pub slots: usize,
    /// Slots released.
    pub released: usize,
    /// Engines that failed.
    pub failures: Vec<(Upstream, Failure)>,
}

impl Report {
    fn fail(&mut self, target: &Target, failure: Failure) {
        self.failures.push((target.name.clone(), failure));
    }
}
