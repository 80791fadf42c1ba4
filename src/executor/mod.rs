//! Execution of calls on the instance that owns their program.
//!
//! Each executor is an actor on its own thread. A program is assigned to an executor by the hash of
//! its name, so all calls of a program are handled by one thread without locks.

pub mod admit;
mod attempt;
mod commit;
pub mod gateway;
pub mod job;
pub mod overlay;
pub mod prompt;
mod release;
pub mod request;
mod turn;

use std::{
    cell::RefCell,
    rc::Rc,
    sync::{
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use actix::{
    Actor,
    Addr,
    Arbiter,
    Context,
    Handler,
    Message, //
};
use tokio::{
    sync::mpsc,
    time::timeout, //
};

use crate::{
    clock::Time,
    config::Config,
    dispatch::broker::Broker,
    hash::{
        self,
        Map, //
    },
    ledger::{
        allocator::Allocator,
        program,
        record::Turn,
        Ledger, //
    },
    member::Roster,
    metrics::{
        Latency,
        Metrics, //
    },
    name::{
        Customer,
        Program, //
    },
    peer::Mesh,
    upstream::{
        Engine,
        Service, //
    },
};

use admit::refuse;
use job::Job;
use overlay::Overlay;
use request::{
    Event,
    Reason,
    Refusal,
    Request, //
};

/// Age up to which a program may be missing from a replica that lags behind the log.
const NEW_PROGRAM_AGE: Duration = Duration::from_secs(30);

/// Longest wait for a replica that lags behind the log.
const MAX_REPLICA_WAIT: Duration = Duration::from_secs(1);

/// Time after a log outage during which other instances may still hold turns; twice the longest
/// delay between their attempts to append them.
const POST_OUTAGE_PERIOD: Duration = Duration::from_secs(5);

/// Gap between two maintenance runs above which the process is assumed to have been paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Capacity of the channel of events to a caller.
pub const EVENT_CAPACITY: usize = 16;

/// State shared by all executors of an instance.
#[derive(Clone)]
pub struct Shared {
    /// Settings.
    pub config: Arc<Config>,
    /// Replica of the log.
    pub ledger: Ledger,
    /// Tranches of the customers' budgets.
    pub quotas: Allocator,
    /// Access to upstreams.
    pub broker: Broker,
    /// Cluster membership.
    pub roster: Roster,
    /// Connections to other instances.
    pub mesh: Mesh,
    /// Turns that have not reached the log.
    pub overlay: Overlay,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Number of calls running on all executors.
    pub running: Arc<AtomicUsize>,
    /// Time in microseconds at which the log was last seen to be unavailable.
    pub last_outage: Arc<AtomicU64>,
    /// Time in microseconds of the last periodic maintenance.
    pub last_maintenance: Arc<AtomicU64>,
}

impl Shared {
    /// Counts a call as running until the returned guard is dropped.
    pub fn track(&self) -> Tracked {
        self.running.fetch_add(1, Ordering::Relaxed);
        Tracked(self.running.clone())
    }

    /// Returns whether other instances may hold turns because of a current or recent log outage.
    ///
    /// A process that was paused can't rule out that it missed an outage.
    pub fn peers_may_hold_turns(&self) -> bool {
        let now = Time::now();
        let last = Time(self.last_outage.load(Ordering::Relaxed));
        let last_maintenance = Time(self.last_maintenance.load(Ordering::Relaxed));
        let paused = now.since(last_maintenance) > PAUSE_THRESHOLD;
        paused || !self.ledger.available() || now.since(last) < POST_OUTAGE_PERIOD
    }

    /// Waits until the replica has applied `turns` turns of a program, or the start of a new one.
    ///
    /// Another instance may have answered a caller before this replica applied the same records.
    pub async fn wait_for(&self, name: &Program, turns: u32) -> Result<(), Refusal> {
        let recent =
            program::created(name).is_some_and(|at| Time::now().since(at) < NEW_PROGRAM_AGE);
        let known = || {
            let state = self.ledger.state();
            match state.program(name) {
                Some(found) => found.next() >= turns,
                None => !recent || admit::ending(&state, name).is_some(),
            }
        };
        if known() {
            return Ok(());
        }
        let mut applied = self.ledger.watch();
        let reached = async { while !known() && applied.changed().await.is_ok() {} };
        let waited = timeout(MAX_REPLICA_WAIT, reached).await;
        if waited.is_err() && !self.ledger.available() {
            let detail = "the log is down, and the replica may be out of date";
            let after = self.ledger.settings().max_backoff;
            return Err(refuse(Reason::LogUnavailable, detail, Some(after)));
        }
        Ok(())
    }

    /// Waits until the replica has applied what the log of a customer holds now, as another instance
    /// may have committed it for the same caller. While the log is down, the replica may lag.
    pub async fn catch_up(&self, customer: &Customer) {
        if self.ledger.available_for(customer) {
            self.ledger.catch_up(customer, MAX_REPLICA_WAIT).await;
        }
    }

    /// Returns the committed turns of a program.
    pub async fn committed(&self, program: &Program) -> Result<Vec<Arc<Turn>>, Refusal> {
        self.ledger.history(program).await.map_err(|error| {
            let after = self.ledger.settings().max_backoff;
            let detail = format!("history of the program can't be read: {error}");
            refuse(Reason::LogUnavailable, detail, Some(after))
        })
    }

    /// Returns the history of a program, including turns that have not reached the log.
    pub async fn history(&self, program: &Program) -> Result<Vec<Arc<Turn>>, Refusal> {
        let mut turns = self.committed(program).await?;
        turns.extend(self.overlay.turns(program, turns.len() as u32));
        Ok(turns)
    }

    /// Returns the retention period of ended programs.
    pub fn program_retention(&self) -> Duration {
        self.ledger.settings().tombstone_retention
    }
}

/// Guard of a running call; shutdown waits until all guards are dropped.
#[derive(Debug)]
pub struct Tracked(Arc<AtomicUsize>);

impl Drop for Tracked {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a call, or joins it if it is already running, and sends its events.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Run {
    /// The call.
    pub request: Request,
    /// Offset in the answer's text, in bytes, from which events are sent.
    pub from: u64,
    /// Receiver of the events.
    pub sink: mpsc::Sender<Event>,
}

/// Cancels the running call of a program; returns whether one was running.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Cancel {
    /// The program.
    pub program: Program,
    /// Number of the turn; any running turn if absent.
    pub turn: Option<u32>,
}

/// Joins the running call of a turn; returns false if it is not running here.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Join {
    /// The program.
    pub program: Program,
    /// Number of the turn.
    pub turn: u32,
    /// Offset in the answer's text, in bytes, from which events are sent.
    pub from: u64,
    /// Receiver of the events.
    pub sink: mpsc::Sender<Event>,
}

/// Releases the cache that engines hold for a program that has ended.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Release {
    /// The program.
    pub program: Program,
}

/// State of one executor, confined to its thread.
struct Inner<E, S> {
    shared: Shared,
    engine: E,
    service: S,
    /// Latest call of each program; at most one call of a program runs at a time.
    jobs: RefCell<Map<Program, Rc<Job>>>,
    /// Addresses of the engines that may hold cache of a program.
    cached_on: RefCell<Map<Program, Vec<String>>>,
}

/// Runs calls on one thread.
pub struct Executor<E, S> {
    inner: Rc<Inner<E, S>>,
}

impl<E: Engine + 'static, S: Service + 'static> Executor<E, S> {
    /// Creates an executor; must be called on the thread that runs it.
    pub fn new(shared: Shared, engine: E, service: S) -> Self {
        let inner = Inner {
            shared,
            engine,
            service,
            jobs: RefCell::default(),
            cached_on: RefCell::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }
}

impl<E: Engine + 'static, S: Service + 'static> Actor for Executor<E, S> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // The default capacity of 16 would block callers at peak load.
        ctx.set_mailbox_capacity(16 * 1024);
    }
}

impl<E: Engine + 'static, S: Service + 'static> Handler<Run> for Executor<E, S> {
    type Result = ();

    fn handle(&mut self, run: Run, _ctx: &mut Context<Self>) {
        let inner = self.inner.clone();
        actix_web::rt::spawn(inner.serve(run.request, run.from, run.sink));
    }
}

impl<E: Engine + 'static, S: Service + 'static> Handler<Cancel> for Executor<E, S> {
    type Result = bool;

    fn handle(&mut self, cancel: Cancel, _ctx: &mut Context<Self>) -> bool {
        let job = self.inner.running(&cancel.program);
        let matches = |job: &Rc<Job>| cancel.turn.is_none() || cancel.turn == job.turn;
        let job = job.filter(matches);
        job.inspect(|job| job.cancel()).is_some()
    }
}

impl<E: Engine + 'static, S: Service + 'static> Handler<Join> for Executor<E, S> {
    type Result = bool;

    fn handle(&mut self, join: Join, _ctx: &mut Context<Self>) -> bool {
        let job = self.inner.running(&join.program);
        let Some(job) = job.filter(|job| job.turn == Some(join.turn)) else {
            return false;
        };
        actix_web::rt::spawn(async move { job.follow(join.from, &join.sink).await });
        true
    }
}

impl<E: Engine + 'static, S: Service + 'static> Handler<Release> for Executor<E, S> {
    type Result = ();

    fn handle(&mut self, message: Release, _ctx: &mut Context<Self>) {
        self.inner.jobs.borrow_mut().remove(&message.program);
        let inner = self.inner.clone();
        actix_web::rt::spawn(async move { inner.release(&message.program).await });
    }
}

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Returns the running call of a program.
    fn running(&self, program: &Program) -> Option<Rc<Job>> {
        let jobs = self.jobs.borrow();
        jobs.get(program).filter(|job| !job.finished()).cloned()
    }

    /// Runs a call or joins it, and sends its events.
    async fn serve(self: Rc<Self>, request: Request, from: u64, sink: mpsc::Sender<Event>) {
        let started = Time::now();
        let admission = match request.program.clone() {
            Some(program) => self.clone().admit(request, program).await,
            None => Ok(turn::Admission::Job(self.clone().start_lookup(request))),
        };
        match admission {
            Ok(turn::Admission::Job(job)) => job.follow(from, &sink).await,
            Ok(turn::Admission::Committed(answer)) => {
                // A caller that has disconnected retries.
                let _ = sink.send(Event::Answer(answer)).await;
            }
            Err(refusal) => {
                self.shared.metrics.refused(refusal.reason);
                let _ = sink.send(Event::Refusal(refusal)).await;
            }
        }
        let elapsed = Time::now().since(started);
        self.shared.metrics.record_latency(Latency::Call, elapsed);
    }
}

/// Address of an executor.
type Shard<E, S> = Addr<Executor<E, S>>;

/// Handle to the executors of an instance.
pub struct Pool<E: Engine + 'static, S: Service + 'static> {
    shards: Arc<[Shard<E, S>]>,
    next: Arc<AtomicUsize>,
}

impl<E: Engine + 'static, S: Service + 'static> Clone for Pool<E, S> {
    fn clone(&self) -> Self {
        Self {
            shards: self.shards.clone(),
            next: self.next.clone(),
        }
    }
}

impl<E: Engine + 'static, S: Service + 'static> Pool<E, S> {
    /// Starts `count` executors, each on its own thread with its own upstream clients.
    pub fn start<F>(shared: &Shared, count: usize, clients: F) -> Self
    where
        F: Fn() -> (E, S) + Clone + Send + 'static,
    {
        let shard = |_| {
            let (shared, clients) = (shared.clone(), clients.clone());
            let arbiter = Arbiter::new().handle();
            Executor::start_in_arbiter(&arbiter, move |_| {
                let (engine, service) = clients();
                Executor::new(shared, engine, service)
            })
        };
        Self {
            shards: (0..count.max(1)).map(shard).collect(),
            next: Arc::default(),
        }
    }

    /// Returns the executor of a program; standalone calls are distributed round-robin.
    pub fn shard(&self, program: Option<&Program>) -> &Shard<E, S> {
        let key = match program {
            Some(program) => hash::stable(program.as_str().as_bytes()) as usize,
            None => self.next.fetch_add(1, Ordering::Relaxed),
        };
        &self.shards[key % self.shards.len()]
    }

    /// Runs a call, or joins it, on this instance.
    pub fn run(&self, request: Request, from: u64, sink: mpsc::Sender<Event>) {
        let shard = self.shard(request.program.as_ref());
        shard.do_send(Run {
            request,
            from,
            sink,
        });
    }
}

/// Returns a stable hash of a call, used to recognise a retry of the same call.
pub fn digest(customer: &Customer, call: &request::Call) -> u64 {
    let text = serde_json::to_string(&(customer, call)).unwrap_or_default();
    hash::stable(text.as_bytes())
}
