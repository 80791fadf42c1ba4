//! Scheduler state of one pool of upstreams in one availability zone.

mod server;
mod settings;
mod stats;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

use self::server::Server;
pub use self::{
    settings::Settings,
    stats::{
        Member,
        Stats, //
    },
};
pub use crate::policy::window::Limits;
use crate::{
    clock::Time,
    executor::request::Reason,
    hash::Map,
    name::{
        Customer,
        Upstream, //
    },
    policy::{
        admit::{
            self,
            Check,
            Gate,
            Open, //
        },
        call::{
            Call,
            Report, //
        },
        foreign,
        pace::Pace,
        queue::{
            Entry,
            Fifo,
            Order,
            Queue,
            Verdict, //
        },
        retry::Budget,
        route::{
            Candidate,
            Choice,
            Cycle,
            Route,
            Router, //
        },
        window::{
            Control,
            Fixed,
            Window, //
        },
    },
    upstream::Load,
};

/// Period after the last interactive call during which a part of the window stays reserved.
const RESERVE_PERIOD: Duration = Duration::from_secs(60);

/// Set of scheduling policies of a pool, chosen at compile time.
pub trait Policy {
    /// Order of waiting calls.
    type Queue: Order;
    /// Choice of the upstream.
    type Router: Route;
    /// Concurrency limit of an upstream.
    type Window: Control;
    /// Estimate of the load from other clients.
    type Foreign: foreign::Estimate;
    /// Admission control.
    type Gate: Check;
}

/// Policies that the daemon uses by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standard;

impl Policy for Standard {
    type Queue = Queue;
    type Router = Router;
    type Window = Window;
    type Foreign = foreign::Load;
    type Gate = Gate;
}

/// First come, first served with round robin and fixed windows, as a baseline for benchmarks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Baseline;

impl Policy for Baseline {
    type Queue = Fifo;
    type Router = Cycle;
    type Window = Fixed;
    type Foreign = foreign::Ignore;
    type Gate = Open;
}

/// Refusal of a call that did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Denial {
    /// Stable reason.
    pub reason: Reason,
    /// Delay before a retry.
    pub retry_after: Duration,
}

/// Scheduling decision about a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may be sent to the upstream.
    Grant {
        /// Identifier of the call.
        id: u64,
        /// Upstream that gets the call.
        upstream: Upstream,
    },
    /// The call is refused.
    Deny {
        /// Identifier of the call.
        id: u64,
        /// Stable reason.
        reason: Reason,
        /// Delay before a retry.
        retry_after: Duration,
    },
}

/// A call in flight.
#[derive(Debug)]
struct Grant {
    entry: Entry,
    upstream: Upstream,
    /// Reason of the routing decision.
    reason: &'static str,
    granted_at: Time,
    /// Time of the latest progress report.
    last_progress: Option<Time>,
    /// Time at which the grant expires without a report.
    lease: Time,
    /// Time at which the call counts as overdue.
    overdue: Option<Time>,
}

/// Queue, routing state and windows of one pool in one availability zone.
pub struct Pool<P: Policy = Standard> {
    settings: Settings,
    queue: P::Queue,
    router: P::Router,
    gate: P::Gate,
    pace: Pace,
    retries: Budget,
    hedges: Budget,
    servers: BTreeMap<Upstream, Server<P::Window, P::Foreign>>,
    grants: Map<u64, Grant>,
    leases: BTreeSet<(Time, u64)>,
    overdue: BTreeSet<(Time, u64)>,
    /// Grants to return again because their calls were requested again after the decision was lost.
    repeated: Vec<u64>,
    /// Earliest time at which a call stops waiting for the upstream with its prefix.
    retry_at: Option<Time>,
    last_interactive: Option<Time>,
    /// Whether an upstream left since waiting calls were last checked for a usable upstream.
    upstream_left: bool,
    decisions: BTreeMap<&'static str, u64>,
    /// Time of the latest poll.
    polled_at: Time,
}

impl<P: Policy> Pool<P> {
    /// Creates a pool without upstreams.
    pub fn new(settings: Settings) -> Self {
        Self {
            queue: P::Queue::new(&settings.queue),
            router: P::Router::new(&settings.route),
            gate: P::Gate::new(&settings.admit),
            pace: Pace::new(&settings.pace),
            retries: Budget::new(settings.retry),
            hedges: Budget::new(settings.hedge),
            settings,
            servers: BTreeMap::new(),
            grants: Map::default(),
            leases: BTreeSet::new(),
            overdue: BTreeSet::new(),
            repeated: Vec::new(),
            retry_at: None,
            last_interactive: None,
            upstream_left: false,
            decisions: BTreeMap::new(),
            polled_at: Time::default(),
        }
    }

    /// Adds an upstream, or changes its limits; clears its leaving state.
    pub fn upsert(&mut self, upstream: Upstream, limits: Limits) {
        let on_upstream = |grant: &&Grant| grant.upstream == upstream;
        let running = || self.grants.values().filter(on_upstream).count() as u32;
        let settings = &self.settings.window;
        let server = self
            .servers
            .entry(upstream.clone())
            .or_insert_with(|| Server::new(settings, limits, running()));
        server.set_limits(limits);
        server.leaving = false;
    }

    /// Stops giving calls to an upstream; calls in flight continue.
    pub fn mark_leaving(&mut self, upstream: &Upstream) {
        if let Some(server) = self.servers.get_mut(upstream) {
            self.upstream_left |= !server.leaving;
            server.leaving = true;
        }
    }

    /// Removes an upstream; calls in flight on it still have to be reported.
    pub fn remove(&mut self, upstream: &Upstream) {
        self.servers.remove(upstream);
        self.pace.remove(upstream);
        self.upstream_left = true;
    }

    /// Queues a call, or refuses it at once.
    ///
    /// If a call with the same id was already granted, the next poll returns that grant again; a
    /// waiting call with the same id is replaced.
    pub fn enqueue(&mut self, now: Time, id: u64, call: Call) -> Option<Denial> {
        if self.grants.contains_key(&id) {
            self.repeated.push(id);
            return None;
        }
        if let Some(denial) = self.check_admission(now, &call) {
            self.count_decision(decision_label(denial.reason));
            return Some(denial);
        }
        if call.excluded.is_empty() {
            self.retries.deposit(&call.customer);
            self.hedges.deposit(&call.customer);
        }
        if call.interactive {
            self.last_interactive = Some(now);
        }
        self.pace.record_request(&call);
        self.queue.remove(id);
        let entry = Entry {
            id,
            queued_at: now,
            latest_start: call.deadline - self.pace.fastest(&call),
            expected_tokens: self.pace.expected_cost(&call),
            call,
        };
        self.queue.push(now, entry);
        None
    }

    fn check_admission(&self, now: Time, call: &Call) -> Option<Denial> {
        let age = self.queue.age(now, &call.customer, &call.class);
        let view = admit::View {
            fastest: self.pace.fastest(call),
            expected_calls: self.pace.expected_calls(call),
            age,
            ahead: admit::is_first_call(call) && self.queue.ahead(&call.customer),
        };
        let full = self.queue.len() >= self.settings.length
            || self.queue.count(&call.customer) >= self.settings.per_customer;
        let (reason, retry_after) = if !self.has_upstream(call) {
            (Reason::NoUpstream, Duration::from_secs(1))
        } else if call.deadline <= now {
            (Reason::DeadlineUnreachable, admit::retry_delay(age))
        } else if full {
            (Reason::QueueFull, admit::retry_delay(age))
        } else {
            let delay = self.gate.check(now, call, view)?;
            (Reason::DeadlineUnreachable, delay)
        };
        Some(Denial {
            reason,
            retry_after,
        })
    }

    fn has_upstream(&self, call: &Call) -> bool {
        self.servers
            .iter()
            .any(|(name, server)| !server.leaving && !call.excluded.contains(name))
    }

    /// Cancels a call: a waiting one leaves the queue, a granted one frees its slot.
    ///
    /// Used when the caller cancels, when its instance fails, and when a grant and a withdrawal
    /// cross.
    pub fn withdraw(&mut self, now: Time, id: u64) {
        self.queue.remove(id);
        if let Some(grant) = self.release(now, id) {
            let expected_tokens = grant.entry.expected_tokens as i64;
            self.queue
                .charge(&grant.entry.call.customer, -expected_tokens);
        }
    }

    fn release(&mut self, now: Time, id: u64) -> Option<Grant> {
        let grant = self.grants.remove(&id)?;
        self.leases.remove(&(grant.lease, id));
        if let Some(at) = grant.overdue {
            self.overdue.remove(&(at, id));
        }
        if let Some(server) = self.servers.get_mut(&grant.upstream) {
            server.record_ended(now);
        }
        Some(grant)
    }

    /// Grants or refuses the waiting calls that can be decided now.
    pub fn poll(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Decision> {
        let mut decisions = self.take_repeated();
        self.expire_leases(now);
        self.record_overdue_calls(now);
        self.deny_unservable(now, &mut decisions);
        self.retry_at = None;
        self.polled_at = now;
        let mut candidates = self.candidates(now);
        while let Some((entry, index, reason)) = self.next_call(now, &candidates, rng) {
            candidates[index].running += 1;
            self.count_decision(reason);
            let upstream = candidates[index].upstream.clone();
            decisions.push(Decision::Grant {
                id: entry.id,
                upstream: upstream.clone(),
            });
            self.grant(now, entry, upstream, reason);
        }
        decisions
    }

    fn take_repeated(&mut self) -> Vec<Decision> {
        let ids = std::mem::take(&mut self.repeated);
        let grant = |id| {
            let upstream = self.grants.get(&id)?.upstream.clone();
            Some(Decision::Grant { id, upstream })
        };
        ids.into_iter().filter_map(grant).collect()
    }

    /// Frees the slots of grants whose report did not arrive before the lease expired.
    fn expire_leases(&mut self, now: Time) {
        while let Some((at, id)) = self.leases.first().copied() {
            if at > now {
                break;
            }
            self.count_decision("no report");
            self.leases.remove(&(at, id));
            self.release(now, id);
        }
    }

    /// Adds a slow sample to the upstream of each overdue call.
    fn record_overdue_calls(&mut self, now: Time) {
        while let Some((at, id)) = self.overdue.first().copied() {
            if at > now {
                break;
            }
            self.overdue.remove(&(at, id));
            if let Some(grant) = self.grants.get_mut(&id) {
                self.pace.record_overdue(now, &grant.upstream);
                // The next sample is due when the age of the call has doubled.
                let next = now + now.since(grant.granted_at);
                grant.overdue = Some(next);
                self.overdue.insert((next, id));
            }
        }
    }

    fn deny_unservable(&mut self, now: Time, decisions: &mut Vec<Decision>) {
        let mut refused = Vec::new();
        if std::mem::take(&mut self.upstream_left) {
            let (servers, queue) = (&self.servers, &mut self.queue);
            let unservable = queue.drain(|entry| {
                !servers
                    .iter()
                    .any(|(name, server)| !server.leaving && !entry.call.excluded.contains(name))
            });
            refused.extend(
                unservable
                    .into_iter()
                    .map(|entry| (entry, Reason::NoUpstream)),
            );
        }
        let expired = self.queue.expire(now);
        refused.extend(
            expired
                .into_iter()
                .map(|entry| (entry, Reason::DeadlineUnreachable)),
        );
        for (entry, reason) in refused {
            self.count_decision(decision_label(reason));
            decisions.push(Decision::Deny {
                id: entry.id,
                reason,
                retry_after: admit::retry_delay(now.since(entry.queued_at)),
            });
        }
    }

    fn candidates(&self, now: Time) -> Vec<Candidate> {
        self.servers
            .iter()
            .filter(|(_, server)| !server.leaving)
            .map(|(name, server)| Candidate {
                upstream: name.clone(),
                running: server.running(),
                window: server.capacity(),
                slowness: self.pace.slowness(now, name),
            })
            .collect()
    }

    /// Removes the next call that an upstream has capacity for.
    ///
    /// A call moves away from the upstream with its prefix only if no other call near the head of
    /// the queue can use the capacity without losing a prefix; with a long queue there nearly
    /// always is one.
    fn next_call(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        rng: &mut impl Rng,
    ) -> Option<(Entry, usize, &'static str)> {
        if !candidates
            .iter()
            .any(|candidate| candidate.running < candidate.window)
        {
            return None;
        }
        let unmoved = self.select(now, candidates, false, rng);
        unmoved.or_else(|| self.select(now, candidates, true, rng))
    }

    fn select(
        &mut self,
        now: Time,
        candidates: &[Candidate],
        may_move: bool,
        rng: &mut impl Rng,
    ) -> Option<(Entry, usize, &'static str)> {
        let reserved = self
            .last_interactive
            .is_some_and(|at| now.since(at) < RESERVE_PERIOD);
        let reserve = if reserved {
            self.settings.window.reserve
        } else {
            0.0
        };
        let (router, retry_at) = (&mut self.router, &mut self.retry_at);
        let mut chosen = None;
        let entry = self.queue.scan(now, |entry| {
            let call = &entry.call;
            let available = |candidate: &Candidate| {
                let withheld = if call.interactive { 0.0 } else { reserve };
                let withheld = (f64::from(candidate.window) * withheld).ceil() as u32;
                candidate.running < candidate.window.saturating_sub(withheld).max(1)
                    && !call.excluded.contains(&candidate.upstream)
            };
            match router.choose(now, call, entry.queued_at, candidates, available, rng) {
                Choice::Send { moves: true, .. } if !may_move => Verdict::Skip,
                Choice::Send { index, reason, .. } => {
                    chosen = Some((index, reason));
                    Verdict::Take
                }
                Choice::Wait { until } => {
                    *retry_at = Some(retry_at.map_or(until, |at| at.min(until)));
                    Verdict::Skip
                }
                Choice::None => Verdict::Skip,
            }
        })?;
        let (index, reason) = chosen?;
        Some((entry, index, reason))
    }

    fn grant(&mut self, now: Time, entry: Entry, upstream: Upstream, reason: &'static str) {
        let id = entry.id;
        self.router.record_sent(now, &entry.call, &upstream);
        if let Some(server) = self.servers.get_mut(&upstream) {
            server.record_sent(now);
        }
        let lease = entry.call.deadline.max(now) + Duration::from_millis(self.settings.lease_ms);
        self.leases.insert((lease, id));
        let overdue = self
            .pace
            .overdue_after(&entry.call)
            .map(|after| now + after);
        self.overdue.extend(overdue.map(|at| (at, id)));
        let grant = Grant {
            entry,
            upstream,
            reason,
            granted_at: now,
            last_progress: None,
            lease,
            overdue,
        };
        self.grants.insert(id, grant);
    }

    fn count_decision(&mut self, reason: &'static str) {
        *self.decisions.entry(reason).or_default() += 1;
    }

    /// Returns the time of the next poll if no event precedes it.
    pub fn next_wake(&self, _now: Time) -> Option<Time> {
        let first = |set: &BTreeSet<(Time, u64)>| set.first().map(|(at, _)| *at);
        // A call that starts exactly at its latest start still meets the deadline.
        let expiry = self
            .queue
            .next_expiry()
            .map(|at| at + Duration::from_micros(1));
        [
            expiry,
            self.retry_at,
            first(&self.leases),
            first(&self.overdue),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Processes the report of a granted call and frees its slot.
    pub fn complete(&mut self, now: Time, id: u64, report: Report) {
        let Some(grant) = self.grants.get(&id) else {
            return;
        };
        let (call, upstream) = (&grant.entry.call, &grant.upstream);
        let served = report.served() as i64;
        self.queue
            .charge(&call.customer, served - grant.entry.expected_tokens as i64);
        let pace = if report.refused {
            None
        } else {
            Some(self.pace.record(now, call, upstream, &report))
        };
        if let Some(server) = self.servers.get_mut(upstream) {
            server.record_result(now, pace, report.failed || report.refused);
        }
        self.release(now, id);
    }

    /// Processes a load report of an upstream.
    pub fn record_load(&mut self, now: Time, upstream: &Upstream, load: Load) {
        if let Some(server) = self.servers.get_mut(upstream) {
            server.record_load(now, &load);
        }
        if load.leaving {
            self.mark_leaving(upstream);
        }
    }

    /// Records progress of a granted call.
    ///
    /// Progress should be recorded after equal amounts of work for all calls of a class, such as
    /// 16 tokens, so that the intervals are comparable between upstreams.
    pub fn record_progress(&mut self, now: Time, id: u64) {
        let Some(grant) = self.grants.get_mut(&id) else {
            return;
        };
        if let Some(last) = grant.last_progress.replace(now) {
            let gap = now.since(last);
            self.pace
                .record_progress(now, &grant.entry.call, &grant.upstream, gap);
        }
    }

    /// Returns the time after its send at which an idempotent call should be hedged.
    pub fn hedge_after(&self, call: &Call) -> Option<Duration> {
        self.pace.hedge_after(call)
    }

    /// Takes a retry from the customer's budget; false if none is left.
    pub fn take_retry(&mut self, _now: Time, customer: &Customer) -> bool {
        self.retries.take(customer)
    }

    /// Takes a hedge from the customer's budget; false if none is left or calls wait.
    pub fn take_hedge(&mut self, _now: Time, customer: &Customer) -> bool {
        // A hedge would take the slot of a call that has not been sent yet.
        self.queue.is_empty() && self.hedges.take(customer)
    }

    /// Returns the upstream of a call in flight and the reason of the routing decision.
    pub fn placement(&self, id: u64) -> Option<(&Upstream, &'static str)> {
        let grant = self.grants.get(&id)?;
        Some((&grant.upstream, grant.reason))
    }

    /// Returns the state shown to operators.
    pub fn stats(&self) -> Stats {
        let member = |name: &Upstream, server: &Server<P::Window, P::Foreign>| Member {
            running: server.running(),
            window: server.window(),
            foreign: server.foreign(),
            slowness: self.pace.slowness(self.polled_at, name),
            leaving: server.leaving,
        };
        let upstreams = self.servers.iter();
        let decisions = self.decisions.iter();
        Stats {
            queues: self.queue.lengths().into_iter().collect(),
            upstreams: upstreams
                .map(|(name, server)| (name.clone(), member(name, server)))
                .collect(),
            decisions: decisions
                .map(|(reason, count)| ((*reason).to_owned(), *count))
                .collect(),
        }
    }
}

fn decision_label(reason: Reason) -> &'static str {
    match reason {
        Reason::QueueFull => "queue full",
        Reason::NoUpstream => "no upstream",
        _ => "deadline unreachable",
    }
}
