//! Simulated network of members that exchange messages in memory, to compare ways to spread
//! changes.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    hash::Map,
    member::{
        gossip::Tuning,
        Entry,
        Gossip,
        State,
        View, //
    },
    name::{
        Instance,
        Pool,
        Upstream,
        Zone, //
    },
    peer::wire::{
        Body,
        Frame,
        Heartbeat,
        News, //
    },
};
use rand::{
    rngs::StdRng,
    seq::IteratorRandom,
    RngExt,
    SeedableRng, //
};

/// One-way latency between two instances.
const HOP_LATENCY: Duration = Duration::from_millis(1);

/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a member collects changes, as `Mesh` does.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Bytes of a message in addition to the frame: IPv4 20, TCP with timestamps 32, WebSocket 8.
const OVERHEAD_BYTES: usize = 60;

/// Strategy that spreads changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// The code in `member::gossip`.
    Gossip(Tuning),
    /// Each second, the complete table to a random member, which replies with its own table.
    Tables,
    /// Each second, a heartbeat to all members.
    All,
    /// A binomial tree from each origin, repaired by the heartbeats of `member::gossip`.
    Tree {
        /// Whether a sender that can't reach a child sends to the child's subtree itself.
        takeover: bool,
    },
}

enum Event {
    Round,
    Spread,
    /// The connection to a member failed.
    Fail(usize),
    Deliver {
        from: usize,
        body: Box<Body>,
        span: usize,
    },
}

struct Member {
    view: View,
    gossip: Gossip,
    down: bool,
    spread_scheduled: bool,
}

/// The members and the messages in flight.
pub struct Net {
    strategy: Strategy,
    members: Vec<Member>,
    index: Map<Instance, usize>,
    queue: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Map<u64, Event>,
    next: u64,
    pub now: Time,
    rng: StdRng,
    loss: f64,
    /// Zone that is partitioned from the others.
    pub partitioned: Option<Zone>,
    pub messages: u64,
    pub bytes: u64,
}

pub fn pool() -> Pool {
    Pool::try_from("advice").unwrap()
}

impl Net {
    /// Creates `size` members in 3 zones that know each other; the share `missing` of them is down,
    /// which the others do not know.
    pub fn new(size: usize, strategy: Strategy, missing: f64, loss: f64, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Time(1_796_330_000_000_000);
        let entries: Vec<_> = (0..size)
            .map(|index| Entry {
                instance: Instance::try_from(format!("entry-{index:04}")).unwrap(),
                incarnation: 1_796_330_000,
                state: State::Live,
                zone: Zone::try_from(format!("cairo-{}", index % 3)).unwrap(),
                address: format!("10.0.{}.{}:7001", index / 256, index % 256).into(),
                capacity: 0,
                started: 0,
            })
            .collect();
        let down: Vec<_> = (0..size).sample(&mut rng, (size as f64 * missing) as usize);
        let tuning = match strategy {
            Strategy::Gossip(tuning) => tuning,
            _ => Tuning::default(),
        };
        let mut net = Self {
            strategy,
            members: Vec::new(),
            index: Map::default(),
            queue: BinaryHeap::new(),
            events: Map::default(),
            next: 0,
            now: start,
            rng,
            loss,
            partitioned: None,
            messages: 0,
            bytes: 0,
        };
        for (index, local) in entries.iter().enumerate() {
            let mut view = View::new(local.clone());
            for other in &entries {
                view.merge(start, other);
            }
            view.take_pending();
            view.report(10, vec![1_000_000]);
            net.index.insert(local.instance.clone(), index);
            net.members.push(Member {
                view,
                gossip: Gossip::new(tuning),
                down: down.contains(&index),
                spread_scheduled: false,
            });
            let offset = Duration::from_micros(net.rng.random_range(0..1_000_000));
            net.schedule(offset, index, Event::Round);
        }
        net
    }

    /// Returns the number of members that are up.
    pub fn up_count(&self) -> usize {
        self.members.iter().filter(|m| !m.down).count()
    }

    fn schedule(&mut self, delay: Duration, to: usize, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + delay, self.next, to)));
    }

    fn send(&mut self, from: usize, to: usize, body: Body, size: usize, span: usize) {
        self.messages += 1;
        self.bytes += (size + OVERHEAD_BYTES) as u64;
        if self.is_partitioned(from, to) {
            // Both ends of the link detect the failure.
            self.schedule(CONNECT_TIMEOUT, from, Event::Fail(to));
            self.schedule(CONNECT_TIMEOUT, to, Event::Fail(from));
        } else if !self.rng.random_bool(self.loss) {
            self.schedule(
                HOP_LATENCY,
                to,
                Event::Deliver {
                    from,
                    body: Box::new(body),
                    span,
                },
            );
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let zone = |at: usize| &self.members[at].view.local().zone;
        let apart = |at| Some(zone(at)) == self.partitioned.as_ref();
        apart(from) != apart(to)
    }

    fn post(&mut self, from: usize, messages: Vec<(Instance, Body)>) {
        for (to, body) in messages {
            let size = size(&body);
            self.send(from, self.index[&to], body, size, 0);
        }
    }

    /// Runs for `span`, or until `done` returns true after an event of a member.
    pub fn run(&mut self, span: Duration, mut done: impl FnMut(usize, &View, Time) -> bool) {
        let end = self.now + span;
        while let Some(Reverse((at, number, member))) = self.queue.pop() {
            if at > end {
                self.queue.push(Reverse((at, number, member)));
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            if self.members[member].down {
                continue;
            }
            self.handle_event(member, event);
            if done(member, &self.members[member].view, at) {
                return;
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, at: usize, event: Event) {
        match event {
            Event::Round => self.round(at),
            Event::Spread => self.spread(at),
            Event::Fail(to) => {
                let name = self.members[to].view.local().instance.clone();
                self.members[at].view.record_failure(self.now, &name);
            }
            Event::Deliver { from, body, span } => self.deliver(at, from, *body, span),
        }
        let member = &mut self.members[at];
        if member.view.has_pending() && !member.spread_scheduled {
            member.spread_scheduled = true;
            self.schedule(BATCH_DELAY, at, Event::Spread);
        }
    }

    fn round(&mut self, at: usize) {
        let pause = Duration::from_micros(self.rng.random_range(900_000..1_100_000));
        self.schedule(pause, at, Event::Round);
        match self.strategy {
            Strategy::Gossip(_) | Strategy::Tree { .. } => {
                let member = &mut self.members[at];
                let messages = member
                    .gossip
                    .round(self.now, &mut member.view, &mut self.rng);
                self.post(at, messages);
            }
            Strategy::Tables => {
                let to = self.rng.random_range(0..self.members.len());
                let body = Body::Rumor(self.table(at, vec![1]));
                let size = size(&body);
                self.send(at, to, body, size, 0);
            }
            Strategy::All => {
                let body = Body::Heartbeat(Heartbeat {
                    entry: self.members[at].view.local().clone(),
                    load: 10,
                    applied: vec![1_000_000],
                    highest_applied: vec![1_000_000],
                    digest: self.members[at].view.digest(),
                    update: News {
                        departures: self.members[at].view.snapshot().departures().to_vec(),
                        ..News::default()
                    },
                });
                let size = size(&body);
                for to in 0..self.members.len() {
                    if to != at {
                        self.send(at, to, body.clone(), size, 0);
                    }
                }
            }
        }
    }

    fn table(&self, at: usize, requested_groups: Vec<u8>) -> News {
        let view = &self.members[at].view;
        let snapshot = view.snapshot();
        let mut entries: Vec<_> = snapshot.peers().map(|peer| peer.entry.clone()).collect();
        entries.push(view.local().clone());
        News {
            entries,
            departures: snapshot.departures().to_vec(),
            no_forward: true,
            requested_groups,
        }
    }

    fn spread(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.spread_scheduled = false;
        match self.strategy {
            Strategy::Gossip(_) => {
                let messages = member
                    .gossip
                    .spread(self.now, &mut member.view, &mut self.rng);
                self.post(at, messages);
            }
            Strategy::Tree { .. } => {
                // The origin starts its tree; receivers forward in `deliver`.
                let messages = member
                    .gossip
                    .spread(self.now, &mut member.view, &mut self.rng);
                if let Some((_, body)) = messages.into_iter().next() {
                    self.branch(at, &body, self.members.len());
                }
            }
            Strategy::Tables | Strategy::All => {
                member.view.take_pending();
            }
        }
    }

    /// Sends to the `span` members that follow on the ring, including this one, by halves.
    fn branch(&mut self, at: usize, body: &Body, span: usize) {
        let takeover = self.strategy == (Strategy::Tree { takeover: true });
        let size = size(body);
        let mut span = span;
        while span > 1 {
            let far = span / 2;
            let mut child = (at + span - far) % self.members.len();
            let mut left = far;
            while takeover && left > 1 && self.members[child].down {
                child = (child + 1) % self.members.len();
                left -= 1;
            }
            self.send(at, child, body.clone(), size, left);
            span -= far;
        }
    }

    fn deliver(&mut self, at: usize, from: usize, body: Body, span: usize) {
        if span > 1 {
            self.branch(at, &body, span);
        }
        let table = matches!(self.strategy, Strategy::Tables);
        if let (true, Body::Rumor(update)) = (table, &body) {
            if !update.requested_groups.is_empty() {
                let reply = Body::Rumor(self.table(at, Vec::new()));
                let size = size(&reply);
                self.send(at, from, reply, size, 0);
            }
        }
        let body = match (self.strategy, body) {
            (Strategy::Tables, Body::Rumor(update)) => Body::Rumor(News {
                requested_groups: Vec::new(),
                ..update
            }),
            (_, body) => body,
        };
        self.connect(from, at);
        let name = self.members[from].view.local().instance.clone();
        let member = &mut self.members[at];
        let answers = member
            .gossip
            .receive(self.now, &mut member.view, &name, body);
        if matches!(self.strategy, Strategy::Tree { .. }) && !member.spread_scheduled {
            // The tree replaces the rumors; the heartbeats still repeat the change.
            let _ = member
                .gossip
                .spread(self.now, &mut member.view, &mut self.rng);
        }
        if !matches!(self.strategy, Strategy::All | Strategy::Tables) {
            self.post(at, answers);
        }
    }

    /// Exchanges the `Hello` messages of two members that do not regard each other as live.
    fn connect(&mut self, one: usize, two: usize) {
        for (at, other) in [(one, two), (two, one)] {
            let hello = self.members[other].view.local().clone();
            let view = &mut self.members[at].view;
            let known = view.entry(&hello.instance);
            if known.is_none_or(|entry| entry.state != State::Live) {
                view.record_contact(self.now, &hello);
            }
        }
    }

    /// Returns the lowest and the highest number of members in use by any member that is up.
    pub fn live_range(&self) -> (usize, usize) {
        let present = self.members.iter().filter(|member| !member.down);
        let counts: Vec<_> = present
            .map(|member| member.view.snapshot().live_count())
            .collect();
        let lowest = counts.iter().min().copied().unwrap_or_default();
        (lowest, counts.iter().max().copied().unwrap_or_default())
    }

    /// Reports a departure at a random member; returns the times in milliseconds after which the
    /// others receive it, for those that do within 30 s.
    pub fn spread_departure(&mut self, name: &str) -> Vec<f64> {
        let upstream = Upstream::try_from(name).unwrap();
        let present = (0..self.members.len()).filter(|at| !self.members[*at].down);
        let origin = present.choose(&mut self.rng).unwrap();
        let start = self.now;
        let member = &mut self.members[origin];
        member
            .view
            .record_upstream(start, &pool(), &upstream, true, start.0);
        member.spread_scheduled = true;
        self.schedule(BATCH_DELAY, origin, Event::Spread);
        let mut known = vec![false; self.members.len()];
        known[origin] = true;
        let mut times = Vec::new();
        let count = self.up_count() - 1;
        self.run(Duration::from_secs(30), |at, view, now| {
            if !known[at] && view.departure(&pool(), &upstream).is_some() {
                known[at] = true;
                times.push(now.since(start).as_secs_f64() * 1_000.0);
            }
            times.len() == count
        });
        times
    }
}

fn size(body: &Body) -> usize {
    let frame = Frame {
        id: 0,
        reply: false,
        last: false,
        body: body.clone(),
    };
    frame.encode().len()
}
