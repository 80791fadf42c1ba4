//! Dispatcher: the actor that holds the queues of the pools.
//!
//! One instance per pool and availability zone decides order and upstream of every call, so that
//! priorities hold across all instances. Two dispatchers of one pool cost only efficiency.

pub mod broker;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use actix::{
    Actor,
    AsyncContext,
    Context,
    Handler,
    Message,
    SpawnHandle, //
};
use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use tokio::sync::oneshot;

use crate::{
    clock::Time,
    hash::{
        Map,
        Set, //
    },
    name::{
        Instance,
        Pool,
        Upstream, //
    },
    policy::{
        call::{
            Call,
            Report, //
        },
        pool::{
            self,
            Decision,
            Denial,
            Stats, //
        },
    },
    upstream::Load,
};

/// Maximum time between two polls, which bounds the delay by a missed wake-up.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Scheduling policy; the feature `baseline` replaces it for benchmarks.
#[cfg(not(feature = "baseline"))]
pub type Scheduling = pool::Standard;

/// Scheduling policy in a build for benchmarks.
#[cfg(feature = "baseline")]
pub type Scheduling = pool::Baseline;

/// Result of a request for an upstream.
pub type Verdict = Result<Grant, Denial>;

/// Permission to send one call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Identifier of the grant, unique on its dispatcher.
    pub id: u64,
    /// The upstream.
    pub upstream: Upstream,
    /// Address of the upstream.
    pub address: String,
}

/// An upstream that a dispatcher may use.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the upstream.
    pub address: String,
    /// Bounds of its window.
    pub limits: pool::Limits,
}

/// Requests an upstream; the decision arrives through `reply`.
#[derive(Message)]
#[rtype(result = "u64")]
pub struct Acquire {
    /// Pool of upstreams.
    pub pool: Pool,
    /// The call.
    pub call: Call,
    /// Instance that will send the call.
    pub from: Instance,
    /// Channel for the decision.
    pub reply: oneshot::Sender<Verdict>,
}

/// Reports the end of a granted call.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Done {
    /// Identifier of the grant.
    pub id: u64,
    /// Result of the call.
    pub report: Report,
}

/// Cancels a waiting call, or a granted one that was not sent.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Withdraw {
    /// Identifier of the grant.
    pub id: u64,
}

/// Delivers a load report of an upstream.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Loaded {
    /// Pool of the upstream.
    pub pool: Pool,
    /// The upstream.
    pub upstream: Upstream,
    /// Load report.
    pub load: Load,
}

/// Sets or clears the leaving state of an upstream.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leaving {
    /// Pool of the upstream.
    pub pool: Pool,
    /// The upstream.
    pub upstream: Upstream,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Notifies the dispatcher of instances that are gone, whose grants are freed.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Gone {
    /// Instances that have left or failed.
    pub instances: Set<Instance>,
}

/// Requests the state of all pools for operators.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "BTreeMap<Pool, Stats>")]
pub struct Inspect;

/// Takes a retry from a customer's budget in a pool; the result is false if none is left.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Retry {
    /// Pool of the call.
    pub pool: Pool,
    /// Customer that pays.
    pub customer: crate::name::Customer,
}

struct Scheduler {
    pool: pool::Pool<Scheduling>,
    targets: BTreeMap<Upstream, Target>,
}

#[derive(Debug)]
struct Pending {
    pool: Pool,
    from: Instance,
    /// Present until the call is decided.
    reply: Option<oneshot::Sender<Verdict>>,
}

/// Actor that holds one queue per pool and grants or refuses the calls in it.
pub struct Dispatcher {
    schedulers: Map<Pool, Scheduler>,
    pending: Map<u64, Pending>,
    last_id: u64,
    rng: StdRng,
    timer: Option<SpawnHandle>,
}

impl Dispatcher {
    /// Creates a dispatcher for the given upstreams.
    pub fn new(
        pools: impl IntoIterator<Item = (Pool, BTreeMap<Upstream, Target>)>,
        settings: &pool::Settings,
        seed: u64,
    ) -> Self {
        let scheduler = |(name, targets): (Pool, BTreeMap<Upstream, Target>)| {
            let mut pool = pool::Pool::new(settings.clone());
            for (upstream, target) in &targets {
                pool.upsert(upstream.clone(), target.limits);
            }
            (name, Scheduler { pool, targets })
        };
        Self {
            schedulers: pools.into_iter().map(scheduler).collect(),
            pending: Map::default(),
            last_id: 0,
            rng: StdRng::seed_from_u64(seed),
            timer: None,
        }
    }

    fn reply_to(&mut self, id: u64, verdict: Verdict) {
        let granted = verdict.is_ok();
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let delivered = pending
            .reply
            .take()
            .is_some_and(|reply| reply.send(verdict).is_ok());
        if granted && !delivered {
            // The requester gave up while its call waited, so nobody would return the grant.
            self.withdraw(id);
        } else if !granted {
            self.pending.remove(&id);
        }
    }

    fn withdraw(&mut self, id: u64) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&pending.pool) {
            scheduler.pool.withdraw(Time::now(), id);
        }
    }

    fn poll(&mut self, name: &Pool, ctx: &mut Context<Self>) {
        let Some(scheduler) = self.schedulers.get_mut(name) else {
            return;
        };
        let decisions = scheduler.pool.poll(Time::now(), &mut self.rng);
        for decision in decisions {
            match decision {
                Decision::Grant { id, upstream } => {
                    let target = self
                        .schedulers
                        .get(name)
                        .and_then(|s| s.targets.get(&upstream));
                    let address = target.map(|t| t.address.clone()).unwrap_or_default();
                    let grant = Grant {
                        id,
                        upstream,
                        address,
                    };
                    self.reply_to(id, Ok(grant));
                }
                Decision::Deny {
                    id,
                    reason,
                    retry_after,
                } => {
                    self.reply_to(
                        id,
                        Err(Denial {
                            reason,
                            retry_after,
                        }),
                    );
                }
            }
        }
        self.schedule(ctx);
    }

    /// Sets the timer to the next time at which a queue has to be polled.
    fn schedule(&mut self, ctx: &mut Context<Self>) {
        if let Some(timer) = self.timer.take() {
            ctx.cancel_future(timer);
        }
        let now = Time::now();
        let wake = self
            .schedulers
            .values()
            .filter_map(|scheduler| scheduler.pool.next_wake(now))
            .min();
        let Some(wake) = wake else {
            return;
        };
        let delay = wake
            .since(now)
            .clamp(Duration::from_millis(1), MAX_POLL_INTERVAL);
        let timer = ctx.run_later(delay, |this, ctx| {
            this.timer = None;
            let names: Vec<_> = this.schedulers.keys().cloned().collect();
            for name in names {
                this.poll(&name, ctx);
            }
        });
        self.timer = Some(timer);
    }

    fn complete(&mut self, id: u64, report: Report, ctx: &mut Context<Self>) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&pending.pool) {
            scheduler.pool.complete(Time::now(), id, report);
        }
        self.poll(&pending.pool, ctx);
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // The default capacity of 16 would block requesters on the mailbox at peak load.
        ctx.set_mailbox_capacity(16 * 1024);
    }
}

impl Handler<Acquire> for Dispatcher {
    type Result = u64;

    fn handle(&mut self, request: Acquire, ctx: &mut Context<Self>) -> u64 {
        self.last_id += 1;
        let id = self.last_id;
        let now = Time::now();
        let denied = match self.schedulers.get_mut(&request.pool) {
            Some(scheduler) => scheduler.pool.enqueue(now, id, request.call),
            None => Some(Denial {
                reason: crate::executor::request::Reason::NoUpstream,
                retry_after: Duration::from_secs(1),
            }),
        };
        if let Some(denial) = denied {
            // The refusal may be dropped if the requester has given up.
            let _ = request.reply.send(Err(denial));
            return id;
        }
        let pending = Pending {
            pool: request.pool.clone(),
            from: request.from,
            reply: Some(request.reply),
        };
        self.pending.insert(id, pending);
        self.poll(&request.pool, ctx);
        id
    }
}

impl Handler<Done> for Dispatcher {
    type Result = ();

    fn handle(&mut self, done: Done, ctx: &mut Context<Self>) {
        self.complete(done.id, done.report, ctx);
    }
}

impl Handler<Withdraw> for Dispatcher {
    type Result = ();

    fn handle(&mut self, message: Withdraw, ctx: &mut Context<Self>) {
        let pool = self.pending.get(&message.id).map(|p| p.pool.clone());
        self.withdraw(message.id);
        if let Some(pool) = pool {
            self.poll(&pool, ctx);
        }
    }
}

impl Handler<Loaded> for Dispatcher {
    type Result = ();

    fn handle(&mut self, message: Loaded, ctx: &mut Context<Self>) {
        if let Some(scheduler) = self.schedulers.get_mut(&message.pool) {
            let now = Time::now();
            scheduler
                .pool
                .record_load(now, &message.upstream, message.load);
        }
        self.poll(&message.pool, ctx);
    }
}

impl Handler<Leaving> for Dispatcher {
    type Result = ();

    fn handle(&mut self, message: Leaving, ctx: &mut Context<Self>) {
        let Some(scheduler) = self.schedulers.get_mut(&message.pool) else {
            return;
        };
        let Some(target) = scheduler.targets.get(&message.upstream) else {
            return;
        };
        match message.leaving {
            true => scheduler.pool.mark_leaving(&message.upstream),
            false => scheduler.pool.upsert(message.upstream, target.limits),
        }
        self.poll(&message.pool, ctx);
    }
}

impl Handler<Gone> for Dispatcher {
    type Result = ();

    fn handle(&mut self, message: Gone, ctx: &mut Context<Self>) {
        let orphaned: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| message.instances.contains(&pending.from))
            .map(|(id, _)| *id)
            .collect();
        for id in orphaned {
            self.withdraw(id);
        }
        let names: Vec<_> = self.schedulers.keys().cloned().collect();
        for name in names {
            self.poll(&name, ctx);
        }
    }
}

impl Handler<Inspect> for Dispatcher {
    type Result = actix::MessageResult<Inspect>;

    fn handle(&mut self, _message: Inspect, _ctx: &mut Context<Self>) -> Self::Result {
        let stats = |(name, scheduler): (&Pool, &Scheduler)| (name.clone(), scheduler.pool.stats());
        actix::MessageResult(self.schedulers.iter().map(stats).collect())
    }
}

impl Handler<Retry> for Dispatcher {
    type Result = bool;

    fn handle(&mut self, message: Retry, _ctx: &mut Context<Self>) -> bool {
        self.schedulers
            .get_mut(&message.pool)
            .is_some_and(|scheduler| scheduler.pool.take_retry(Time::now(), &message.customer))
    }
}
