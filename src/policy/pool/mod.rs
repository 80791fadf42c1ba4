//! Everything that one dispatcher knows about one pool of upstreams in its zone.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    marker::PhantomData,
    time::Duration,
};

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    executor::request::Reason,
    hash::Map,
    name::{
        Customer,
        Upstream, //
    },
    policy::call::{
        Call,
        Report, //
    },
    upstream::Load,
};

/// The set of decisions that a pool is built from, chosen at compile time.
pub trait Policy {}

/// The decisions that the daemon uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standard;

impl Policy for Standard {}

/// Settings of a pool; the defaults are the measured ones.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Largest number of calls that wait.
    pub length: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { length: 10_000 }
    }
}

/// Bounds of the number of calls that an upstream gets at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Calls at a time before anything is known about the upstream.
    pub initial: u32,
    /// Most calls at a time.
    pub most: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            initial: 16,
            most: 256,
        }
    }
}

/// A refusal; the call did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Deny {
    /// Stable reason.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// What the pool decided about a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may be sent to the upstream.
    Grant {
        /// Call that was asked for.
        id: u64,
        /// Upstream that gets the call.
        upstream: Upstream,
    },
    /// The call is refused.
    Deny {
        /// Call that was asked for.
        id: u64,
        /// Stable reason.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// What operators see of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Stats {
    /// Calls that wait, by customer.
    pub queues: BTreeMap<Customer, usize>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<Upstream, Member>,
    /// Number of decisions by reason.
    pub decisions: BTreeMap<String, u64>,
}

/// What operators see of an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Calls in flight.
    pub running: u32,
    /// Calls that the upstream gets at a time now.
    pub window: u32,
    /// Load that is not ours, as inferred from reports.
    pub foreign: u32,
    /// Observed slowness against the rest of the pool; 1 is normal.
    pub slowness: f64,
    /// Whether the upstream gets no new calls because it is leaving.
    pub leaving: bool,
}

#[derive(Debug)]
struct Server {
    window: u32,
    running: u32,
    leaving: bool,
}

/// Queue, routes and windows of one pool in one zone.
#[derive(Debug)]
pub struct Pool<P: Policy = Standard> {
    settings: Settings,
    queue: VecDeque<(u64, Call)>,
    servers: BTreeMap<Upstream, Server>,
    granted: Map<u64, Upstream>,
    policy: PhantomData<P>,
}

impl<P: Policy> Pool<P> {
    /// Makes an empty pool.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            servers: BTreeMap::new(),
            granted: Map::default(),
            policy: PhantomData,
        }
    }

    /// Adds an upstream, or changes its limits; one that was leaving is back.
    pub fn upsert(&mut self, upstream: Upstream, limits: Limits) {
        let server = self.servers.entry(upstream).or_insert(Server {
            window: limits.initial,
            running: 0,
            leaving: false,
        });
        server.window = limits.initial;
        server.leaving = false;
    }

    /// Stops giving calls to an upstream; calls in flight continue.
    pub fn leaving(&mut self, upstream: &Upstream) {
        if let Some(server) = self.servers.get_mut(upstream) {
            server.leaving = true;
        }
    }

    /// Forgets an upstream; calls in flight on it still have to be reported.
    pub fn remove(&mut self, upstream: &Upstream) {
        self.servers.remove(upstream);
    }

    /// Queues a call, or refuses it at once.
    pub fn ask(&mut self, now: Time, id: u64, call: Call) -> Option<Deny> {
        let reason = if call.deadline <= now {
            Reason::DeadlineUnreachable
        } else if !self.reachable(&call) {
            Reason::NoUpstream
        } else if self.queue.len() >= self.settings.length {
            Reason::QueueFull
        } else {
            self.queue.push_back((id, call));
            return None;
        };
        Some(Deny {
            reason,
            retry_after: Duration::from_secs(1),
        })
    }

    fn reachable(&self, call: &Call) -> bool {
        self.servers
            .iter()
            .any(|(name, server)| !server.leaving && !call.excluded.contains(name))
    }

    /// Takes a call back: a waiting one leaves the queue, a granted one frees its place.
    ///
    /// Used when the caller cancels, when its instance dies, and when a grant crosses a withdrawal.
    pub fn withdraw(&mut self, now: Time, id: u64) {
        self.queue.retain(|(waiting, _)| *waiting != id);
        self.release(now, id);
    }

    fn release(&mut self, _now: Time, id: u64) {
        let Some(upstream) = self.granted.remove(&id) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.running = server.running.saturating_sub(1);
        }
    }

    /// Decides about waiting calls.
    pub fn poll(&mut self, now: Time, _rng: &mut impl Rng) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut kept = VecDeque::new();
        while let Some((id, call)) = self.queue.pop_front() {
            let refused = if call.deadline <= now {
                Some(Reason::DeadlineUnreachable)
            } else if !self.reachable(&call) {
                Some(Reason::NoUpstream)
            } else {
                None
            };
            if let Some(reason) = refused {
                let retry_after = Duration::from_secs(1);
                decisions.push(Decision::Deny {
                    id,
                    reason,
                    retry_after,
                });
                continue;
            }
            let open = self
                .servers
                .iter_mut()
                .filter(|(name, server)| {
                    !server.leaving
                        && server.running < server.window
                        && !call.excluded.contains(name)
                })
                .min_by_key(|(_, server)| server.running);
            let Some((upstream, server)) = open else {
                kept.push_back((id, call));
                continue;
            };
            server.running += 1;
            self.granted.insert(id, upstream.clone());
            let upstream = upstream.clone();
            decisions.push(Decision::Grant { id, upstream });
        }
        self.queue = kept;
        decisions
    }

    /// Returns when to poll again if nothing else happens.
    pub fn next_wake(&self, _now: Time) -> Option<Time> {
        self.queue.iter().map(|(_, call)| call.deadline).min()
    }

    /// Takes the report of a granted call and frees its place.
    pub fn done(&mut self, now: Time, id: u64, _report: Report) {
        self.release(now, id);
    }

    /// Takes an upstream's load report.
    pub fn load(&mut self, _now: Time, upstream: &Upstream, load: Load) {
        if load.leaving {
            self.leaving(upstream);
        }
    }

    /// Notes that the answer of a granted call advances.
    pub fn progress(&mut self, _now: Time, _id: u64) {}

    /// Returns when an idempotent call should be sent to a second upstream, counted from its send.
    pub fn hedge_after(&self, _call: &Call) -> Option<Duration> {
        None
    }

    /// Takes a retry from the customer's budget; false if none is left.
    pub fn retry(&mut self, _now: Time, _customer: &Customer) -> bool {
        true
    }

    /// Takes a hedge from the customer's budget; false if none is left.
    pub fn hedge(&mut self, _now: Time, _customer: &Customer) -> bool {
        false
    }

    /// Returns what operators see.
    pub fn stats(&self) -> Stats {
        let mut queues = BTreeMap::new();
        for (_, call) in &self.queue {
            *queues.entry(call.customer.clone()).or_default() += 1;
        }
        let member = |server: &Server| Member {
            running: server.running,
            window: server.window,
            foreign: 0,
            slowness: 1.0,
            leaving: server.leaving,
        };
        let upstreams = self
            .servers
            .iter()
            .map(|(name, server)| (name.clone(), member(server)))
            .collect();
        Stats {
            queues,
            upstreams,
            decisions: BTreeMap::new(),
        }
    }
}
