//! End of a planned stop, and the requests that can be answered before it.
//!
//! Answers the load pattern of bodies that take long to arrive: their requests become whole at any time
//! of a stop, and the process ends before the upstreams answer the latest ones.

use std::{
    cell::RefCell,
    future::Future,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    sync::watch,
    time::{
        sleep,
        sleep_until, //
    },
};

use super::{
    latency::Latency,
    proof::Sends,
    route::Route, //
};
use crate::hash::Map;

/// Time between checks whether a request has become late.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Grace period of an instance.
#[derive(Debug)]
pub struct Grace {
    /// Time by which every request is answered; `None` unless the instance is stopping.
    end: watch::Sender<Option<Instant>>,
    /// How long answers of each route took, from the end of the request to the end of the answer.
    answers: RefCell<Map<Arc<str>, Latency>>,
}

impl Default for Grace {
    fn default() -> Self {
        Self {
            end: watch::Sender::new(None),
            answers: RefCell::default(),
        }
    }
}

impl Grace {
    /// Begins the stop; every request is answered by `end`.
    pub fn begin(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Waits for the end of the stop.
    pub fn ended(&self) -> impl Future<Output = ()> + 'static {
        let begun = self.begun();
        async move {
            let end = begun.await;
            sleep_until(end.into()).await;
        }
    }

    /// Waits for the begin of the stop; returns its end.
    fn begun(&self) -> impl Future<Output = Instant> + 'static {
        let mut end = self.end.subscribe();
        async move {
            let begun = end.wait_for(Option::is_some).await;
            match begun.ok().and_then(|end| *end) {
                Some(end) => end,
                None => std::future::pending().await,
            }
        }
    }

    /// Records how long a complete answer of a route took.
    pub fn record(&self, route: &Route, took: Duration) {
        let mut answers = self.answers.borrow_mut();
        match answers.get(&route.name) {
            Some(latency) => latency.record(took),
            None => {
                let latency = Latency::default();
                latency.record(took);
                answers.insert(route.name.clone(), latency);
            }
        }
    }

    /// Forgets the routes that a configuration does not have.
    pub fn retain(&self, has: impl Fn(&str) -> bool) {
        self.answers.borrow_mut().retain(|route, _| has(route));
    }

    /// Returns whether a request that is sent now can't be expected to be answered before the stop
    /// ends.
    pub fn is_late(&self, route: &Route, deadline: Instant) -> bool {
        let end = *self.end.borrow();
        end.is_some_and(|end| end < Instant::now() + self.expected(route, deadline))
    }

    /// Returns the time within which a request is expected to be answered.
    ///
    /// Without an earlier answer of its route that is the time until its deadline: a refusal costs the
    /// caller a retry at another instance, and a request that is cut may have run.
    fn expected(&self, route: &Route, deadline: Instant) -> Duration {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let answers = self.answers.borrow();
        let latency = answers.get(&route.name);
        latency.map_or(remaining, |latency| {
            latency.limit([Duration::ZERO, remaining])
        })
    }

    /// Waits until a request that was passed to no upstream is late.
    pub async fn late(&self, sends: &Sends, route: &Route, deadline: Instant) {
        self.begun().await;
        while sends.not_run().is_none() || !self.is_late(route, deadline) {
            sleep(CHECK_INTERVAL).await;
        }
    }
}
