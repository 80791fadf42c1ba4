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
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
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
    overload::speed::{
        Context,
        Times, //
    },
    peers::Peers,
    permit::{
        Limiter,
        Search, //
    },
    registry::Server,
};
use crate::{clock::Time, hash::Map, name::Instance, peer::wire::Body};

/// Timeout of a request for a placement: many round trips within a zone, and little of the time of
/// a turn.
const PLACEMENT_TIMEOUT: Duration = Duration::from_millis(25);

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
#[derive(Clone, Debug, PartialEq)]
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
}

impl Placed {
    /// Returns the reply if no upstream takes the turn; `wait` is the time until one with a limit
    /// does.
    fn nowhere(wait: Option<Duration>) -> Self {
        Self {
            upstream: None,
            inputs: Inputs::default(),
            permit_us: wait.map(|wait| wait.as_micros() as u64),
        }
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

struct Turn {
    server: Rc<Server>,
    flight: Flight,
    prefixes: Vec<Prefix>,
    placed: Time,
    inputs: Inputs,
    /// Whether the engine could read the prompt at once.
    undisturbed: bool,
}

/// Places the turns of the instances of one availability zone.
pub struct Dispatcher {
    zone: String,
    fleet: Rc<Fleet>,
    limiter: Rc<Limiter>,
    /// Turns in flight, by requester and number.
    turns: RefCell<Map<(Instance, Ticket), Turn>>,
}

impl Dispatcher {
    /// Returns a dispatcher without turns.
    pub fn new(zone: &str, fleet: Rc<Fleet>) -> Self {
        Self {
            zone: zone.to_owned(),
            limiter: Rc::new(Limiter::new(fleet.clone())),
            fleet,
            turns: RefCell::default(),
        }
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
            jitter: 0.0,
        };
        self.fleet.pick(&order.service, &request)
    }

    /// Places a turn regardless of limits, without a request to another instance.
    pub fn place(&self, now: Time, from: &Instance, order: Order) -> Placed {
        match self.choose(now, &order, &order.excluded) {
            Some(choice) => self.record(now, from, order, choice),
            None => Placed::nowhere(None),
        }
    }

    /// Places a turn, with a permit if its upstream has a limit.
    pub async fn serve(&self, from: &Instance, order: Order) -> Placed {
        let max_wait = Duration::from_millis(order.max_wait_ms);
        let mut search = Search::new(order.excluded.clone(), max_wait);
        loop {
            let now = Time::monotonic();
            let Some(choice) = self.choose(now, &order, search.excluded()) else {
                return Placed::nowhere(search.limited());
            };
            match self
                .limiter
                .request(&choice.server, search.max_wait())
                .await
            {
                Ok(permit) => {
                    let wait = permit.slot().map(|wait| wait.as_micros() as u64);
                    let placed = self.record(Time::monotonic(), from, order, choice);
                    return Placed {
                        permit_us: wait,
                        ..placed
                    };
                }
                Err(wait) => search.deny(choice.server.address, wait),
            }
        }
    }

    fn record(&self, now: Time, from: &Instance, order: Order, choice: Choice) -> Placed {
        let address = choice.server.address;
        let turn = Turn {
            undisturbed: self.fleet.load(address, |load| load.pending_prefill() == 0)
                && choice.inputs.running < f64::from(choice.server.slots),
            inputs: choice.inputs,
            server: choice.server.clone(),
            flight: Flight::new(&self.fleet, choice.server.address, choice.inputs.unread),
            prefixes: order.prefixes,
            placed: now,
        };
        let key = (from.clone(), order.ticket);
        self.turns.borrow_mut().insert(key, turn);
        Placed {
            upstream: Some(choice.server.id.clone()),
            inputs: choice.inputs,
            permit_us: None,
        }
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
        turn.flight.prefilled();
        let (upstream, prefixes) = (turn.flight.upstream(), &turn.prefixes);
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
        let Some(turn) = self.turns.borrow_mut().remove(&(from.clone(), ticket)) else {
            return;
        };
        if let Some(times) = times {
            self.learn(now, &turn, times);
        }
        match outcome {
            Outcome::Ended => {}
            Outcome::Failed => self.fleet.failed(now, turn.flight.upstream()),
            Outcome::Unreachable => self.fleet.unreachable(now, turn.flight.upstream()),
        }
    }

    fn learn(&self, now: Time, turn: &Turn, times: Times) {
        let upstream = turn.flight.upstream();
        let running = self.fleet.load(upstream, |load| load.running(now) - 1.0);
        let most = f64::from(turn.server.slots) - 1.0;
        let context = Context {
            unread: turn.undisturbed.then_some(turn.inputs.unread),
            batch: ((running + turn.inputs.running) / 2.0).clamp(0.0, most),
            pace: turn.inputs.pace,
        };
        self.fleet.record_turn(now, &turn.server, context, times);
    }

    /// Returns the number of turns in flight.
    pub fn turns(&self) -> usize {
        self.turns.borrow().len()
    }

    /// Drops turns whose end was not reported, as after the loss of their instance.
    pub fn sweep(&self, now: Time) {
        let mut turns = self.turns.borrow_mut();
        turns.retain(|_, turn| now.since(turn.placed) < TICKET_TTL);
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
            } => self.ended(now, from, ticket, outcome, times),
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
}

impl Placer {
    /// Returns a placer without links to other instances; it places nothing.
    pub fn new(dispatcher: Rc<Dispatcher>) -> Self {
        Self {
            dispatcher,
            peers: RefCell::default(),
            avoid_until: Cell::default(),
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

    /// Returns the upstreams known to this instance.
    pub fn fleet(&self) -> &Rc<Fleet> {
        &self.dispatcher.fleet
    }

    /// Drops turns of other instances whose end was not reported.
    pub fn sweep(&self) {
        self.dispatcher.sweep(Time::monotonic());
        self.dispatcher.limiter.sweep();
    }

    /// Returns the dispatcher of a service; `None` if this instance decides itself.
    fn remote_dispatcher(&self, service: &str) -> Option<(Peers, Instance)> {
        if Time::monotonic() < self.avoid_until.get() {
            return None;
        }
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let dispatcher = snapshot.placer(&local.zone, service)?;
        (*dispatcher != local.instance).then(|| (peers.clone(), dispatcher.clone()))
    }

    /// Requests the placement of a turn; `None` if this instance has to decide itself.
    pub async fn place(&self, order: Order) -> Option<(Placed, Placement)> {
        let (peers, dispatcher) = self.remote_dispatcher(&order.service)?;
        let placement = Placement {
            ticket: order.ticket,
            peers,
            dispatcher,
            outcome: Outcome::Ended,
            times: None,
        };
        let body = Body::Dispatch(Request::Place(order));
        let Placement {
            peers, dispatcher, ..
        } = &placement;
        match peers
            .mesh
            .request(dispatcher, body, PLACEMENT_TIMEOUT)
            .await
        {
            Ok(Body::Dispatched(placed)) => Some((placed, placement)),
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    dispatcher = dispatcher.as_str(), error:%;
                    "placement: dispatcher did not answer in time; deciding locally for a while"
                );
                self.avoid_until.set(Time::monotonic() + AVOID_TIME);
                None
            }
        }
    }
}

/// Guard of a placed turn; reports its end to the dispatcher when it is dropped.
pub struct Placement {
    ticket: Ticket,
    peers: Peers,
    dispatcher: Instance,
    outcome: Outcome,
    times: Option<Times>,
}

impl Placement {
    fn notify(&self, request: Request) {
        let sent = self
            .peers
            .mesh
            .send(&self.dispatcher, Body::Dispatch(request));
        if let Err(error) = sent {
            log::debug!(
                dispatcher = self.dispatcher.as_str(), error:%;
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
        self.notify(Request::Ended {
            ticket: self.ticket,
            outcome: self.outcome,
            times: self.times,
        });
    }
}
