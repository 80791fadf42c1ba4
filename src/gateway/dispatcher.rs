//! Placement of turns by one instance of each availability zone.
//!
//! Answers the load pattern of many instances that each send few turns: an instance that sees three
//! turns a second over a hundred engines knows neither their load nor their caches. The dispatcher
//! of a zone places the turns of all instances of the zone, so that it knows each turn in flight
//! and the load report of each answer. An instance that gets no placement in time decides itself.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::oneshot,
    time::timeout_at, //
};

use super::{
    balance::{
        self,
        Choice,
        Inputs, //
    },
    call::{
        Prefix,
        Prompt, //
    },
    fleet::{
        Fleet,
        Flight, //
    },
    load::Report,
    overload::{
        self,
        admission::Outlook,
        program::Programs,
        queue::{
            Entry,
            Queue, //
        },
        room::{
            Need,
            Room, //
        },
        speed::{
            Context,
            Times, //
        },
    },
    peers::Peers,
    permit::{
        Limiter,
        Search, //
    },
    registry::Server,
    view,
};
use crate::{clock::Time, hash::Map, name::Instance, peer::wire::Body};

/// Time within which a dispatcher answers: many round trips within a zone, and little of the time of
/// a turn.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(25);

/// Time after which the requester of a turn that waits is told so.
const POLL_TIME: Duration = Duration::from_millis(100);

/// Time after which a turn that is not requested again leaves the queue.
const POLL_TTL: Duration = Duration::from_millis(300);

/// Longest wait of a turn: callers give up a stream without an event after 2 s, and the first event
/// takes up to 0.3 s.
const MAX_WAIT: Duration = Duration::from_millis(1_600);

/// Wait for a permit beyond which an engine counts as full.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(50);

/// Turns at the head of the queue that are considered for free engines; more cost more time of the
/// processor than they are worth.
const WINDOW: usize = 64;

/// Prior of the mean duration of a turn, in milliseconds.
const TURN_MS: f64 = 400.0;

/// Weight of a turn in the mean duration of the turns of its service.
const TURN_GAIN: f64 = 0.05;

/// Time after which a caller may retry whose turn waited as long as it may.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time for which a dispatcher that did not answer gets no requests.
const AVOID_TIME: Duration = Duration::from_millis(1_000);

/// Time after which a turn without a report of its end is presumed to have ended; longer than the
/// deadline of a turn.
const TICKET_TTL: Duration = Duration::from_secs(8);

/// Number of a placement, chosen by the requester.
pub type Ticket = u64;

/// A turn that needs an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Order {
    /// Number of the placement.
    #[serde(rename = "t")]
    pub ticket: Ticket,
    /// Service that runs the turn.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Number of tokens of the prompt.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// Maximum tokens that are generated.
    #[serde(rename = "m")]
    pub max_tokens: u32,
    /// Prefixes of the prompt, shortest first.
    #[serde(rename = "p")]
    pub prefixes: Vec<Prefix>,
    /// Upstreams that refused the turn.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded: Vec<SocketAddr>,
    /// Software version that the upstream must have.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Arc<str>>,
    /// Longest time in milliseconds that the turn may wait for a permit of an upstream with a limit.
    #[serde(rename = "w", default)]
    pub max_wait_ms: u64,
    /// Whether the requester understands that the turn has to wait.
    #[serde(rename = "y", default, skip_serializing_if = "is_false")]
    pub may_queue: bool,
    /// Time in milliseconds until the answer is due.
    #[serde(rename = "d", default)]
    pub deadline_ms: u64,
    /// Hash of the program's identifier, and the time in milliseconds that it has left.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub program: Option<(u64, u64)>,
    /// Hash of the route's name.
    #[serde(rename = "o", default)]
    pub route: u64,
    /// Hash of the tenant, or else of host and program.
    #[serde(rename = "f", default)]
    pub group: u64,
    /// Rank of the tenant or the route; 0 is the most urgent.
    #[serde(rename = "q", default)]
    pub priority: u8,
    /// Tokens that the memory of an engine holds; 0 if unknown.
    #[serde(rename = "k", default)]
    pub capacity: u64,
    /// Maximum random change of a cost. Turns of the dispatcher's own callers keep that of instances that
    /// decide themselves, so that turns one by one are not all sent to one of several equal engines.
    #[serde(skip)]
    pub jitter: f64,
}

impl Order {
    fn need(&self) -> Need<'_> {
        Need {
            prefixes: &self.prefixes,
            tokens: self.tokens,
            output: (f64::from(self.max_tokens) * balance::MEAN_OUTPUT) as u64,
        }
    }
}

/// How a placed turn ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The answer was complete, the upstream refused the turn, or the caller left.
    #[serde(rename = "c")]
    Ended,
    /// The answer was lost, or a server error.
    #[serde(rename = "f")]
    Failed,
    /// The upstream could not be reached.
    #[serde(rename = "u")]
    Unreachable,
}

/// Message to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Request {
    /// Place a turn; [`Placed`] replies.
    #[serde(rename = "p")]
    Place(Order),
    /// The upstream has processed the prompt of a placed turn.
    #[serde(rename = "s")]
    Started {
        /// Number of the placement.
        #[serde(rename = "t")]
        ticket: Ticket,
        /// Load that the upstream reported.
        #[serde(rename = "r")]
        report: Option<Report>,
        /// Tokens that the cache of the upstream holds.
        #[serde(rename = "c")]
        capacity: u64,
        /// Whether the upstream stated that it leaves.
        #[serde(rename = "l", default, skip_serializing_if = "is_false")]
        leaving: bool,
    },
    /// A placed turn has ended.
    #[serde(rename = "e")]
    Ended {
        /// Number of the placement.
        #[serde(rename = "t")]
        ticket: Ticket,
        /// How it ended.
        #[serde(rename = "o")]
        outcome: Outcome,
        /// Times of a turn that was neither resumed nor lost.
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        times: Option<Times>,
    },
}

/// Decision of a dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Placed {
    /// Identifier of the upstream; `None` if the dispatcher knows none.
    #[serde(rename = "u")]
    pub upstream: Option<Arc<str>>,
    /// Values from which it was chosen.
    #[serde(rename = "i")]
    pub inputs: Inputs,
    /// Time in microseconds until the turn may be sent, if the upstream has a limit. Without an
    /// upstream, the time until the next permit of any.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub permit_us: Option<u64>,
    /// Whether the turn waits, and has to be requested again.
    #[serde(rename = "q", default, skip_serializing_if = "is_false")]
    pub waiting: bool,
    /// Time in milliseconds after which the caller may retry, if the turn is refused.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub refused_ms: Option<u64>,
    /// Time in microseconds for which the turn waited in the queue.
    #[serde(rename = "y", default)]
    pub queued_us: u64,
}

impl Placed {
    /// Returns the reply if no upstream takes the turn; `wait` is the time until one with a limit
    /// does.
    fn nowhere(wait: Option<Duration>) -> Self {
        Self {
            upstream: None,
            inputs: Inputs::default(),
            permit_us: wait.map(|wait| wait.as_micros() as u64),
            ..Self::default()
        }
    }

    fn waiting() -> Self {
        Self {
            waiting: true,
            ..Self::default()
        }
    }

    fn refused(retry_after: Duration) -> Self {
        Self {
            refused_ms: Some(retry_after.as_millis() as u64),
            ..Self::default()
        }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Identifies a turn: its requester and the number of the placement.
pub type Key = (Instance, Ticket);

struct Turn {
    server: Rc<Server>,
    /// Counts the turn as load, unless its sender is this instance and counts it itself.
    flight: Option<Flight>,
    order: Order,
    placed: Time,
    /// Time for which it waited in the queue.
    queued: Duration,
    inputs: Inputs,
    /// Whether the engine could read the prompt at once.
    undisturbed: bool,
}

/// Places the turns of the instances of one availability zone.
pub struct Dispatcher {
    zone: String,
    fleet: Rc<Fleet>,
    limiter: Rc<Limiter>,
    overload: overload::Settings,
    /// Turns in flight.
    turns: RefCell<Map<Key, Turn>>,
    /// Memory that they use.
    room: RefCell<Room>,
    programs: RefCell<Programs>,
    /// Queues by service.
    queues: RefCell<Map<Arc<str>, Queue<Key>>>,
    /// Turns in the queues.
    waiting: RefCell<Map<Key, Order>>,
    /// Requesters that wait for the placement of such a turn.
    listeners: RefCell<Map<Key, oneshot::Sender<Placed>>>,
    /// Mean duration of a turn in milliseconds, by service.
    turn_ms: RefCell<Map<Arc<str>, f64>>,
}

impl Dispatcher {
    /// Returns a dispatcher without turns.
    pub fn new(zone: &str, fleet: Rc<Fleet>) -> Self {
        Self {
            zone: zone.to_owned(),
            limiter: Rc::new(Limiter::new(fleet.clone())),
            fleet,
            overload: overload::Settings::default(),
            turns: RefCell::default(),
            room: RefCell::default(),
            programs: RefCell::default(),
            queues: RefCell::default(),
            waiting: RefCell::default(),
            listeners: RefCell::default(),
            turn_ms: RefCell::default(),
        }
    }

    /// Switches mechanisms off.
    pub fn control(self, overload: overload::Settings) -> Self {
        Self { overload, ..self }
    }

    /// Returns where permits are requested.
    pub fn limiter(&self) -> &Rc<Limiter> {
        &self.limiter
    }

    fn choose(&self, now: Time, order: &Order, excluded: &[SocketAddr]) -> Option<Choice> {
        let prompt = Prompt {
            tokens: order.tokens,
            max_tokens: order.max_tokens,
            parts: Vec::new(),
        };
        let request = balance::Request {
            now,
            zone: &self.zone,
            prompt: Some((&prompt, &order.prefixes)),
            route: "",
            object: None,
            excluded,
            version: order.version.as_deref(),
            jitter: order.jitter,
        };
        self.fleet.pick(&order.service, &request)
    }

    /// Places a turn regardless of limits, without a request to another instance.
    pub fn place(&self, now: Time, from: &Instance, order: Order) -> Placed {
        match self.choose(now, &order, &order.excluded) {
            Some(choice) => self.record(now, from, order, choice, Duration::ZERO),
            None => Placed::nowhere(None),
        }
    }

    /// Places a turn, with a permit if its upstream has a limit.
    ///
    /// A turn that has to wait is told so at once, so that a dispatcher that does not answer costs
    /// little time, and when it is requested again, after 100 ms.
    pub async fn serve(&self, from: &Instance, mut order: Order) -> Placed {
        let until = Instant::now() + POLL_TIME;
        let key = (from.clone(), order.ticket);
        let known = self.waiting.borrow().contains_key(&key);
        let max_wait = Duration::from_millis(order.max_wait_ms);
        let mut search = Search::new(order.excluded.clone(), max_wait);
        loop {
            let mut placed = self.ask(Time::monotonic(), from, order.clone());
            if placed.waiting && !known {
                self.pause(&key);
                return placed;
            }
            if placed.waiting {
                let (sender, receiver) = oneshot::channel();
                self.listeners.borrow_mut().insert(key.clone(), sender);
                placed = match timeout_at(until.into(), receiver).await {
                    Ok(Ok(placed)) => placed,
                    Ok(Err(_)) | Err(_) => {
                        self.pause(&key);
                        return Placed::waiting();
                    }
                };
            }
            let server = self.server(&key);
            let Some(server) = server.filter(|_| placed.upstream.is_some()) else {
                return match search.limited() {
                    limited @ Some(_) => Placed::nowhere(limited),
                    None => placed,
                };
            };
            match self.limiter.request(&server, search.max_wait()).await {
                Ok(permit) => {
                    let wait = permit.slot().map(|wait| wait.as_micros() as u64);
                    return Placed {
                        permit_us: wait,
                        ..placed
                    };
                }
                Err(wait) => {
                    search.deny(server.address, wait);
                    order.excluded = search.excluded().to_vec();
                    self.end(Time::monotonic(), &key, Outcome::Ended, None);
                }
            }
        }
    }

    /// Returns the upstream of a turn in flight.
    fn server(&self, key: &Key) -> Option<Rc<Server>> {
        let turns = self.turns.borrow();
        turns.get(key).map(|turn| turn.server.clone())
    }

    /// Places a turn, has it wait or refuses it.
    pub fn ask(&self, now: Time, from: &Instance, order: Order) -> Placed {
        if !self.overload.order || !order.may_queue {
            return self.place(now, from, order);
        }
        let key = (from.clone(), order.ticket);
        let service = order.service.clone();
        if !self.poll(now, &key) {
            if self.choose(now, &order, &order.excluded).is_none() {
                return Placed::nowhere(None);
            }
            self.enqueue(now, key.clone(), order);
        }
        let mut own = None;
        for (other, placed) in self.advance(now, &service) {
            match other == key {
                true => own = Some(placed),
                false => self.deliver(now, other, placed),
            }
        }
        let refused = || {
            let wait = self.refusal(now, &service, &key)?;
            self.withdraw(&key);
            Some(Placed::refused(wait))
        };
        own.or_else(refused).unwrap_or_else(Placed::waiting)
    }

    /// Records that a turn that waits was requested again; returns whether there is one.
    fn poll(&self, now: Time, key: &Key) -> bool {
        let waiting = self.waiting.borrow();
        let Some(order) = waiting.get(key) else {
            return false;
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(&order.service);
        if let Some(entry) = queue.and_then(|queue| queue.get_mut(key)) {
            entry.listening = true;
            entry.polled = now;
        }
        true
    }

    /// Passes over a turn until it is requested again.
    fn pause(&self, key: &Key) {
        self.listeners.borrow_mut().remove(key);
        let waiting = self.waiting.borrow();
        let mut queues = self.queues.borrow_mut();
        let queue = waiting
            .get(key)
            .and_then(|order| queues.get_mut(&order.service));
        if let Some(entry) = queue.and_then(|queue| queue.get_mut(key)) {
            entry.listening = false;
        }
    }

    fn enqueue(&self, now: Time, key: Key, order: Order) {
        let turn = Duration::from_secs_f64(self.turn_ms(&order.service) / 1_000.0);
        let time = Duration::from_millis(order.deadline_ms).saturating_sub(turn);
        let expiry = match order.deadline_ms {
            0 => now + MAX_WAIT,
            _ => now + time.min(MAX_WAIT),
        };
        let status = order.program.map(|(id, left)| {
            let left = Duration::from_millis(left);
            let mut programs = self.programs.borrow_mut();
            programs.status(now, id, order.route, left)
        });
        let entry = Entry {
            arrived: now,
            priority: order.priority,
            begun: status.is_some_and(|status| status.begun),
            runaway: status.is_some_and(|status| status.runaway),
            latest_start: match status {
                Some(status) => status.slack.map(|slack| now + slack),
                None => Some(expiry),
            },
            expiry,
            group: order.group,
            listening: true,
            polled: now,
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(order.service.clone()).or_default();
        queue.push(key.clone(), entry);
        self.waiting.borrow_mut().insert(key, order);
    }

    /// Removes a turn from its queue; returns whether it waited.
    fn withdraw(&self, key: &Key) -> bool {
        self.listeners.borrow_mut().remove(key);
        let Some(order) = self.waiting.borrow_mut().remove(key) else {
            return false;
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&order.service) {
            queue.remove(key);
        }
        true
    }

    fn deliver(&self, now: Time, key: Key, placed: Placed) {
        let listener = self.listeners.borrow_mut().remove(&key);
        let received = listener.is_some_and(|listener| listener.send(placed).is_ok());
        if !received {
            self.end(now, &key, Outcome::Ended, None);
        }
    }

    /// Places turns that wait while there is room for them.
    ///
    /// A turn goes to the engine with the lowest cost as if those ahead of it were queued there, and
    /// waits while that one is full: all turns of a batch wait while the engine reads a prompt that
    /// another engine has.
    pub fn advance(&self, now: Time, service: &Arc<str>) -> Vec<(Key, Placed)> {
        let mut placed = Vec::new();
        if !self.has_waiting(service) || !self.has_room(now, service) {
            return placed;
        }
        let sequence = match self.queues.borrow().get(service) {
            Some(queue) => queue.sequence(now),
            None => return placed,
        };
        let mut ahead = Vec::new();
        for key in sequence.into_iter().take(WINDOW) {
            let waiting = self.waiting.borrow();
            let Some(order) = waiting.get(&key) else {
                continue;
            };
            let Some(choice) = self.choose(now, order, &order.excluded) else {
                continue;
            };
            if !self.takes(now, order, &choice.server) || !self.listens(service, &key) {
                let address = choice.server.address;
                ahead.push(Flight::new(&self.fleet, address, choice.inputs.unread));
                continue;
            }
            drop(waiting);
            let Some(order) = self.waiting.borrow_mut().remove(&key) else {
                continue;
            };
            let mut queues = self.queues.borrow_mut();
            let queue = queues.entry(service.clone()).or_default();
            queue.taken(now, order.group);
            let entry = queue.remove(&key);
            drop(queues);
            let queued = entry.map_or(Duration::ZERO, |entry| now.since(entry.arrived));
            let answer = self.record(now, &key.0, order, choice, queued);
            placed.push((key, answer));
        }
        placed
    }

    fn has_waiting(&self, service: &str) -> bool {
        let queues = self.queues.borrow();
        queues.get(service).is_some_and(|queue| !queue.is_empty())
    }

    fn listens(&self, service: &str, key: &Key) -> bool {
        let queues = self.queues.borrow();
        let entry = queues.get(service).and_then(|queue| queue.get(key));
        entry.is_some_and(|entry| entry.listening)
    }

    /// Returns whether an engine has a free slot and memory for a turn.
    ///
    /// An engine in use at present that was chosen although it can't be reached, or has to wait for a
    /// permit, is the best of those that are left.
    fn takes(&self, now: Time, order: &Order, server: &Server) -> bool {
        // Turns that wait for a permit are in flight; others are told by the limiter when to return.
        if self.fleet.limit(server).is_some() {
            return true;
        }
        let usage = match *server.zone == *self.zone {
            true => 0.0,
            false => self.usage(now, &order.service),
        };
        let address = server.address;
        let (blocked, slots) = self.fleet.load(address, |load| {
            let presumed = usage * f64::from(server.slots);
            let blocked = load.avoided(now) || load.permit_wait(now) > MAX_PERMIT_WAIT;
            (blocked, load.free_slots(now, server.slots, presumed))
        });
        let room = self.room.borrow();
        let fits = order.capacity == 0 || room.fits(address, &order.need(), order.capacity);
        blocked || (slots > 0 && fits)
    }

    /// Returns the fraction of the slots of this zone that are in use.
    fn usage(&self, now: Time, service: &str) -> f64 {
        let registry = self.fleet.registry.borrow();
        let (mut running, mut slots) = (0.0, 0.0);
        for server in registry.usable(now, service) {
            if *server.zone == *self.zone {
                running += self.fleet.load(server.address, |load| load.running(now));
                slots += f64::from(server.slots);
            }
        }
        if slots > 0.0 {
            running / slots
        } else {
            0.0
        }
    }

    /// Returns whether any engine may have a free slot.
    fn has_room(&self, now: Time, service: &str) -> bool {
        let registry = self.fleet.registry.borrow();
        let mut usable = registry.usable(now, service);
        usable.any(|server| {
            let limited = self.fleet.limit(server).is_some();
            limited
                || self.fleet.load(server.address, |load| {
                    let blocked = load.avoided(now) || load.permit_wait(now) > MAX_PERMIT_WAIT;
                    blocked || load.free_slots(now, server.slots, 0.0) > 0
                })
        })
    }

    /// Returns the time after which the caller of a turn that waits may retry, if it is refused.
    fn refusal(&self, now: Time, service: &str, key: &Key) -> Option<Duration> {
        let queues = self.queues.borrow();
        let queue = queues.get(service)?;
        let entry = queue.get(key)?;
        if now >= entry.expiry {
            return Some(EXPIRED_RETRY_AFTER);
        }
        if !self.overload.admit {
            return None;
        }
        let sequence = queue.sequence(now);
        let registry = self.fleet.registry.borrow();
        let local = |server: &&Rc<Server>| *server.zone == *self.zone;
        let engines = registry.usable(now, service).filter(local);
        let slots: u32 = engines.map(|server| server.slots).sum();
        if slots == 0 {
            return None;
        }
        let outlook = Outlook {
            ahead: sequence.iter().position(|other| other == key)?,
            waiting: sequence.len(),
            rate_per_ms: f64::from(slots) / self.turn_ms(service),
        };
        outlook.refuse(now, entry, key.1 as f64 / u64::MAX as f64)
    }

    fn turn_ms(&self, service: &str) -> f64 {
        let turns = self.turn_ms.borrow();
        turns.get(service).copied().unwrap_or(TURN_MS)
    }

    /// Leaves the count of a turn's load to its sender, which is this instance.
    fn release_load(&self, key: &Key) {
        if let Some(turn) = self.turns.borrow_mut().get_mut(key) {
            turn.flight = None;
        }
    }

    fn record(
        &self,
        now: Time,
        from: &Instance,
        order: Order,
        choice: Choice,
        queued: Duration,
    ) -> Placed {
        let address = choice.server.address;
        let turn = Turn {
            undisturbed: self.fleet.load(address, |load| load.pending_prefill() == 0)
                && choice.inputs.running < f64::from(choice.server.slots),
            inputs: choice.inputs,
            server: choice.server.clone(),
            flight: Some(Flight::new(&self.fleet, address, choice.inputs.unread)),
            placed: now,
            queued,
            order,
        };
        let key = (from.clone(), turn.order.ticket);
        self.room.borrow_mut().add(address, &turn.order.need());
        let old = self.turns.borrow_mut().insert(key, turn);
        if let Some(old) = old {
            self.release(&old);
        }
        Placed {
            upstream: Some(choice.server.id.clone()),
            inputs: choice.inputs,
            queued_us: queued.as_micros() as u64,
            ..Placed::default()
        }
    }

    /// Records that a turn uses no memory any more.
    fn release(&self, turn: &Turn) {
        let mut room = self.room.borrow_mut();
        room.remove(turn.server.address, &turn.order.need());
    }

    /// Records that the upstream has processed the prompt of a turn.
    pub fn started(
        &self,
        now: Time,
        from: &Instance,
        ticket: Ticket,
        report: Option<Report>,
        capacity: u64,
        leaving: bool,
    ) {
        let mut turns = self.turns.borrow_mut();
        let Some(turn) = turns.get_mut(&(from.clone(), ticket)) else {
            return;
        };
        // A sender that is this instance has recorded the answer itself.
        let Some(flight) = &mut turn.flight else {
            return;
        };
        flight.prefilled();
        let (upstream, prefixes) = (turn.server.address, &turn.order.prefixes);
        self.fleet.load(upstream, |load| {
            load.reached();
            load.record_cached(prefixes, capacity);
        });
        if let Some(report) = report {
            self.fleet.report(now, upstream, report);
        }
        if leaving {
            self.fleet.leave(now, &turn.server);
        }
    }

    /// Records the end of a turn, and its times if it was neither resumed nor lost.
    pub fn ended(
        &self,
        now: Time,
        from: &Instance,
        ticket: Ticket,
        outcome: Outcome,
        times: Option<Times>,
    ) {
        let key = (from.clone(), ticket);
        self.end(now, &key, outcome, times);
    }

    fn end(&self, now: Time, key: &Key, outcome: Outcome, times: Option<Times>) {
        if self.withdraw(key) {
            return;
        }
        let Some(turn) = self.turns.borrow_mut().remove(key) else {
            return;
        };
        self.release(&turn);
        let upstream = turn.server.address;
        self.fleet.load(upstream, |load| load.note_end(now));
        if let Some(times) = times {
            self.learn(now, &turn, times);
        }
        match outcome {
            _ if turn.flight.is_none() => {}
            Outcome::Ended => {}
            Outcome::Failed => self.fleet.failed(now, upstream),
            Outcome::Unreachable => self.fleet.unreachable(now, upstream),
        }
    }

    fn learn(&self, now: Time, turn: &Turn, times: Times) {
        let upstream = turn.server.address;
        let running = self.fleet.load(upstream, |load| load.running(now) - 1.0);
        let most = f64::from(turn.server.slots) - 1.0;
        let context = Context {
            unread: turn.undisturbed.then_some(turn.inputs.unread),
            batch: ((running + turn.inputs.running) / 2.0).clamp(0.0, most),
            pace: turn.inputs.pace,
        };
        self.fleet.record_turn(now, &turn.server, context, times);
        let took = now.since(turn.placed);
        let mut turns = self.turn_ms.borrow_mut();
        let mean = turns.entry(turn.order.service.clone()).or_insert(TURN_MS);
        *mean += (took.as_secs_f64() * 1_000.0 - *mean) * TURN_GAIN;
        if let Some((program, _)) = turn.order.program {
            let tokens = times.first_tokens + times.tokens;
            let idle = self
                .fleet
                .idle_time(now, &turn.server.service, turn.inputs.unread, tokens);
            let delay = turn.queued + took.saturating_sub(idle);
            self.programs.borrow_mut().ended(now, program, delay);
        }
    }

    /// Returns the number of turns in flight.
    pub fn turns(&self) -> usize {
        self.turns.borrow().len()
    }

    /// Drops turns whose end was not reported, as after the loss of their instance.
    pub fn sweep(&self, now: Time) {
        let mut turns = self.turns.borrow_mut();
        turns.retain(|_, turn| {
            let present = now.since(turn.placed) < TICKET_TTL;
            if !present {
                self.release(turn);
            }
            present
        });
        for queue in self.queues.borrow_mut().values_mut() {
            for key in queue.expire(now, POLL_TTL) {
                self.waiting.borrow_mut().remove(&key);
                self.listeners.borrow_mut().remove(&key);
            }
        }
        self.programs.borrow_mut().sweep(now);
    }

    /// Places turns that wait after the end of another one of the service.
    fn run_queue(&self, now: Time, service: &Arc<str>) {
        for (key, placed) in self.advance(now, service) {
            self.deliver(now, key, placed);
        }
    }

    /// Records the end of a turn, and places turns that wait.
    fn handle_end(&self, from: &Instance, ticket: Ticket, outcome: Outcome, times: Option<Times>) {
        let now = Time::monotonic();
        let turns = self.turns.borrow();
        let turn = turns.get(&(from.clone(), ticket));
        let service = turn.map(|turn| turn.order.service.clone());
        drop(turns);
        self.ended(now, from, ticket, outcome, times);
        if let Some(service) = service {
            self.run_queue(now, &service);
        }
    }

    /// Returns the turns in the queues by class: of programs that can end in time, of late ones, and of
    /// runaways.
    pub fn waiting(&self, now: Time) -> [usize; 3] {
        let mut total = [0; 3];
        for queue in self.queues.borrow().values() {
            for (sum, count) in total.iter_mut().zip(queue.classes(now)) {
                *sum += count;
            }
        }
        total
    }

    /// Returns the queues for operators.
    pub fn report(&self) -> view::Report {
        let now = Time::monotonic();
        let mut report = view::Report::new(&[
            "service",
            "waiting in time",
            "waiting late",
            "waiting runaway",
            "in flight",
            "mean turn (ms)",
        ]);
        let queues = self.queues.borrow();
        let mut services: Vec<_> = queues.iter().collect();
        services.sort_by_key(|(service, _)| *service);
        for (service, queue) in services {
            let mut row = vec![service.to_string()];
            row.extend(queue.classes(now).iter().map(usize::to_string));
            let turns = self.turns.borrow();
            let running = turns.values().filter(|turn| turn.order.service == *service);
            row.push(running.count().to_string());
            row.push(format!("{:.0}", self.turn_ms(service)));
            report.rows.push(row);
        }
        report
    }

    /// Handles a message of another instance; returns the reply to a request.
    pub async fn handle(&self, from: &Instance, request: Request) -> Option<Placed> {
        let now = Time::monotonic();
        match request {
            Request::Place(order) => return Some(self.serve(from, order).await),
            Request::Started {
                ticket,
                report,
                capacity,
                leaving,
            } => self.started(now, from, ticket, report, capacity, leaving),
            Request::Ended {
                ticket,
                outcome,
                times,
            } => self.handle_end(from, ticket, outcome, times),
        }
        None
    }
}

/// Requests placements of the turns of this instance.
pub struct Placer {
    dispatcher: Rc<Dispatcher>,
    peers: RefCell<Option<Peers>>,
    /// Time until which the dispatcher gets no requests.
    avoid_until: Cell<Time>,
    /// Whether the dispatcher did not answer the latest request.
    silent: Cell<bool>,
}

impl Placer {
    /// Returns a placer without links to other instances; it places nothing.
    pub fn new(dispatcher: Rc<Dispatcher>) -> Self {
        Self {
            dispatcher,
            peers: RefCell::default(),
            avoid_until: Cell::default(),
            silent: Cell::default(),
        }
    }

    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.dispatcher.limiter.connect(peers.clone());
        self.peers.replace(Some(peers));
    }

    /// Returns where permits are requested.
    pub fn limiter(&self) -> &Rc<Limiter> {
        &self.dispatcher.limiter
    }

    /// Returns the turns in the queues of this instance, by class.
    pub fn waiting(&self) -> [usize; 3] {
        self.dispatcher.waiting(Time::monotonic())
    }

    /// Returns the upstreams known to this instance.
    pub fn fleet(&self) -> &Rc<Fleet> {
        &self.dispatcher.fleet
    }

    /// Drops turns of other instances whose end was not reported.
    pub fn sweep(&self) {
        self.dispatcher.sweep(Time::monotonic());
        self.dispatcher.limiter.sweep();
    }

    /// Returns whether turns may wait for a free engine.
    pub fn may_queue(&self) -> bool {
        self.dispatcher.overload.order
    }

    /// Returns the dispatcher of a service; `None` if this instance decides itself.
    fn dispatcher(&self, service: &str) -> Option<Link> {
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let dispatcher = snapshot.placer(&local.zone, service)?;
        if *dispatcher == local.instance {
            let link = Link::Local(self.dispatcher.clone(), local.instance.clone());
            return self.may_queue().then_some(link);
        }
        let now = Time::monotonic();
        if now < self.avoid_until.get() {
            return None;
        }
        if self.silent.get() {
            // Only one turn at a time finds out whether the dispatcher answers again.
            self.avoid_until.set(now + AVOID_TIME);
        }
        Some(Link::Remote(peers.clone(), dispatcher.clone()))
    }

    /// Requests the placement of a turn, and waits while it is in the queue; `None` if this instance
    /// has to decide itself.
    pub async fn place(&self, order: Order) -> Option<(Placed, Placement)> {
        let placement = Placement {
            ticket: order.ticket,
            link: self.dispatcher(&order.service)?,
            outcome: Outcome::Ended,
            times: None,
        };
        let mut limit = PLACEMENT_TIMEOUT;
        loop {
            let placed = self.request(&placement.link, order.clone(), limit).await?;
            limit = POLL_TIME + PLACEMENT_TIMEOUT;
            if !placed.waiting {
                return Some((placed, placement));
            }
        }
    }

    /// Requests the placement of a turn once.
    async fn request(&self, link: &Link, order: Order, limit: Duration) -> Option<Placed> {
        let (peers, dispatcher) = match link {
            Link::Local(dispatcher, instance) => {
                let key = (instance.clone(), order.ticket);
                let jitter = balance::JITTER;
                let order = Order { jitter, ..order };
                let placed = dispatcher.serve(instance, order).await;
                dispatcher.release_load(&key);
                return Some(placed);
            }
            Link::Remote(peers, dispatcher) => (peers, dispatcher),
        };
        let body = Body::Dispatch(Request::Place(order));
        match peers.mesh.request(dispatcher, body, limit).await {
            Ok(Body::Dispatched(placed)) => {
                if self.silent.replace(false) {
                    self.avoid_until.set(Time::default());
                }
                Some(placed)
            }
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    dispatcher = dispatcher.as_str(), error:%;
                    "placement: dispatcher did not answer in time; deciding locally for a while"
                );
                self.avoid_until.set(Time::monotonic() + AVOID_TIME);
                self.silent.set(true);
                None
            }
        }
    }
}

/// Who places a turn.
enum Link {
    /// This instance.
    Local(Rc<Dispatcher>, Instance),
    /// Another instance.
    Remote(Peers, Instance),
}

/// Guard of a placed turn; reports its end to the dispatcher when it is dropped.
pub struct Placement {
    ticket: Ticket,
    link: Link,
    outcome: Outcome,
    times: Option<Times>,
}

impl Placement {
    fn notify(&self, request: Request) {
        let Link::Remote(peers, dispatcher) = &self.link else {
            return;
        };
        let sent = peers.mesh.send(dispatcher, Body::Dispatch(request));
        if let Err(error) = sent {
            log::debug!(
                dispatcher = dispatcher.as_str(), error:%;
                "placement: dispatcher can't be notified; it presumes the end of the turn later"
            );
        }
    }

    /// Reports that the upstream has processed the prompt.
    pub fn started(&self, report: Option<Report>, capacity: u64, leaving: bool) {
        self.notify(Request::Started {
            ticket: self.ticket,
            report,
            capacity,
            leaving,
        });
    }

    /// Records how the turn ended, and its times if it was neither resumed nor lost.
    pub fn ended(mut self, outcome: Outcome, times: Option<Times>) {
        self.outcome = outcome;
        self.times = times;
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let (outcome, times) = (self.outcome, self.times);
        if let Link::Local(dispatcher, instance) = &self.link {
            return dispatcher.handle_end(instance, self.ticket, outcome, times);
        }
        self.notify(Request::Ended {
            ticket: self.ticket,
            outcome,
            times,
        });
    }
}
