//! Periodic polling of upstream load reports.

use std::time::Duration;

use futures_util::{
    stream::FuturesUnordered,
    StreamExt as _, //
};
use rand::{
    Rng,
    RngExt as _, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use crate::name::Upstream;

use super::{
    sweep::Target,
    Engine,
    Failure,
    Load, //
};

/// Consecutive failed polls after which an upstream counts as unresponsive.
const MAX_FAILED_POLLS: u32 = 3;

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum lag of a delayed report behind a newer one; a report that is older by more comes from a
/// clock that was set back, because reports lag by seconds.
const MAX_REPORT_LAG: Duration = Duration::from_secs(60);

/// Result of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new load report.
    Load(Load),
    /// The upstream is leaving and must receive no new work.
    Leaving,
    /// The upstream reports that it is no longer leaving, for example after a restart.
    Returned,
    /// Several consecutive polls failed.
    Unresponsive,
}

/// Polling state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    latest: Option<u64>,
    leaving: bool,
    failures: u32,
}

impl Watch {
    /// Processes the result of a poll.
    ///
    /// A report that is older than a previous one was delayed and is ignored.
    pub fn apply(&mut self, poll: Result<Load, Failure>) -> Vec<Event> {
        let Ok(load) = poll else {
            self.failures = self.failures.saturating_add(1);
            let unresponsive = (self.failures == MAX_FAILED_POLLS).then_some(Event::Unresponsive);
            return unresponsive.into_iter().collect();
        };
        self.failures = 0;
        let older = self
            .latest
            .map_or(0, |latest| latest.saturating_sub(load.at));
        if older > 0 && Duration::from_micros(older) <= MAX_REPORT_LAG {
            return Vec::new();
        }
        self.latest = Some(load.at);
        let mut events = Vec::new();
        if load.leaving != self.leaving {
            self.leaving = load.leaving;
            events.push(if load.leaving {
                Event::Leaving
            } else {
                Event::Returned
            });
        }
        events.push(Event::Load(load));
        events
    }
}

/// Returns a time from 80 to 120 % of the interval, so that polls do not synchronise.
pub fn jitter(interval: Duration, rng: &mut impl Rng) -> Duration {
    interval.mul_f64(rng.random_range(0.8..1.2))
}

/// Polls the load reports of all targets until dropped; calls `on_event` for each event.
///
/// Each target is polled independently, with at most one poll in flight, so that an unresponsive
/// target delays no other. The first polls are spread over one interval.
pub async fn run<E: Engine>(
    engine: &E,
    targets: &[Target],
    interval: Duration,
    on_event: impl Fn(&Upstream, Event),
) {
    let on_event = &on_event;
    let mut polls: FuturesUnordered<_> = targets
        .iter()
        .map(|target| poll(engine, target, interval, on_event))
        .collect();
    while polls.next().await.is_some() {}
}

async fn poll<E: Engine>(
    engine: &E,
    target: &Target,
    interval: Duration,
    on_event: &impl Fn(&Upstream, Event),
) {
    let mut watch = Watch::default();
    let mut wait = interval.mul_f64(rand::rng().random_range(0.0..1.0));
    loop {
        sleep(wait).await;
        let report = timeout(POLL_TIMEOUT, engine.load(&target.address))
            .await
            .unwrap_or_else(|_| Err(Failure::Unknown("no load report in time".into())));
        for event in watch.apply(report) {
            on_event(&target.name, event);
        }
        wait = jitter(interval, &mut rand::rng());
    }
}
