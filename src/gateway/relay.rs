//! Relays streams of events to callers, and resumes a broken stream with another send.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::ResponseHead;
use bytes::Bytes;
use tokio::time::{
    sleep,
    timeout_at, //
};

use super::{
    account::Turn,
    balance::{
        Choice,
        Inputs, //
    },
    dialect::Dialect,
    events::Splitter,
    forward::{
        body,
        Job,
        Live,
        Refusal,
        Sent,
        Tries,
        Whole,
        COME_BACK, //
    },
    owner::Home,
    proof::Sends,
    registry::Server,
    replica::{
        Answer,
        Request, //
    },
    route::Kind,
    state::Gateway,
};
use crate::{
    clock::Time,
    log::Log, //
};

/// Time without a first event after which a stream is restarted: a long prompt on a slowed engine
/// with a queue; callers give up after 2 s or more.
const FIRST: Duration = Duration::from_millis(1_000);

/// Time without a further event after which a stream is resumed; pauses of 300 ms are normal.
const NEXT: Duration = Duration::from_millis(700);

/// Maximum resumptions of a broken stream.
const RESUMES: u32 = 4;

/// Maximum restarts of a stream without any event; an upstream that fails twice in a row is likely
/// to fail again, and the caller's retry reaches another one.
const RESTARTS: u32 = 1;

/// Fraction of the time until the deadline for which upstreams are retried after all of them
/// refused a turn.
const PERSISTENCE: f64 = 0.4;

/// Time since its arrival for which a turn waits for its account during an outage: half of the time
/// after which callers give up a stream without events.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// Pause before the request to an unavailable account is retried.
const AGAIN: Duration = Duration::from_millis(120);

/// Time after which callers may retry during an outage of the log, which lasts for seconds.
const LATER: Duration = Duration::from_millis(600);

/// Pause before upstreams that refused a turn are retried.
const PAUSE: Duration = Duration::from_millis(25);

/// Guard of the tokens reserved for a turn; closes the turn when it is dropped.
struct Lease<L: Log + 'static> {
    home: Rc<Home<L>>,
    program: std::sync::Arc<str>,
    turn: Turn,
    used: u64,
    /// Whether the turn was denied, so that there is nothing to close.
    denied: bool,
}

impl<L: Log + 'static> Drop for Lease<L> {
    fn drop(&mut self) {
        if !self.denied {
            self.home.close(&self.program, self.turn, self.used);
        }
    }
}

/// Start of the answer to a request for a stream.
pub enum Begun<D: Dialect, L: Log + 'static> {
    /// Events follow the head.
    Stream(ResponseHead, Box<Relay<D, L>>),
    /// The upstream answered with an error, which is complete.
    Whole(Whole),
}

/// A stream that is relayed to a caller.
pub struct Relay<D: Dialect, L: Log + 'static> {
    gateway: Rc<Gateway<D, L>>,
    job: Job<D, L>,
    sends: Sends,
    live: Option<Box<Live<D, L>>>,
    splitter: Splitter,
    /// Identifier of the last event sent to the caller, or from which the caller resumed.
    last: Option<u64>,
    /// Upstream of the latest send, unless it has ended.
    latest: Option<Rc<Server>>,
    resumes: u32,
    lease: Option<Lease<L>>,
    /// First event, which was read before the answer was started.
    first: Option<Bytes>,
    tokens_per_event: u64,
    events: u64,
}

/// Reason why a stream ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub struct Cut(pub &'static str);

impl<D: Dialect, L: Log + 'static> Relay<D, L> {
    /// Starts to answer a request for a stream.
    pub async fn begin(
        gateway: Rc<Gateway<D, L>>,
        job: Job<D, L>,
        tokens_per_event: u64,
    ) -> Result<Begun<D, L>, Refusal> {
        let mut relay = Self {
            last: job.call.after,
            splitter: Splitter::after(job.call.after),
            gateway,
            job,
            sends: Sends::default(),
            live: None,
            latest: None,
            resumes: 0,
            lease: None,
            first: None,
            tokens_per_event,
            events: 0,
        };
        let mut question = relay.reserve();
        if let Some(request) = question.take_if(|request| !request.likely) {
            relay.admit(request).await?;
        }
        let head = match relay.connect().await? {
            Some(head) => head,
            None => return relay.whole().await.map(Begun::Whole),
        };
        relay.first = match relay.next().await {
            Ok(first) => first,
            Err(Cut(reason)) => return Err(relay.failed(reason)),
        };
        if let Some(request) = question {
            relay.admit(request).await?;
        }
        relay.gateway.count.first(relay.job.arrived.elapsed());
        Ok(Begun::Stream(head, Box::new(relay)))
    }

    /// Requests a reservation for the turn if the program has a budget.
    fn reserve(&mut self) -> Option<Request> {
        let work = self.job.call.work.as_ref()?;
        work.budget?;
        self.job.call.prompt.as_ref()?;
        self.lease = Some(Lease {
            home: self.gateway.home.clone(),
            program: work.program.clone(),
            turn: rand::random(),
            used: 0,
            denied: false,
        });
        self.ask()
    }

    /// Requests a decision on the turn of the lease; a repeated request changes nothing.
    fn ask(&self) -> Option<Request> {
        let lease = self.lease.as_ref()?;
        let budget = self.job.call.work.as_ref()?.budget?;
        let most = self.job.call.prompt.as_ref()?.most.into();
        let home = &self.gateway.home;
        Some(home.open(&lease.program, lease.turn, most, budget))
    }

    /// Waits for the decision of the account, and retries during an outage.
    async fn admit(&mut self, mut request: Request) -> Result<(), Refusal> {
        let until = self.job.deadline.min(self.job.arrived + OUTAGE);
        loop {
            let answer = timeout_at(self.job.deadline.into(), request.answer).await;
            match answer {
                Ok(Ok(Answer::Granted)) => return Ok(()),
                Ok(Ok(Answer::Spent)) => return Err(self.spent()),
                Ok(Ok(Answer::Unavailable) | Err(_)) | Err(_) => {}
            }
            // Other instances can serve the caller if this one is isolated.
            if let Some(retry_after) = self.gateway.home.elsewhere() {
                return Err(self.unavailable(retry_after));
            }
            if Instant::now() + AGAIN >= until {
                return Err(self.unavailable(LATER));
            }
            sleep(AGAIN).await;
            let Some(again) = self.ask() else {
                return Err(self.unavailable(LATER));
            };
            request = again;
        }
    }

    fn spent(&mut self) -> Refusal {
        if let Some(lease) = &mut self.lease {
            lease.denied = true;
        }
        match self.sends.unrun() {
            Some(proof) => Refusal::spent(&proof),
            None => Refusal::unknown("budget_spent"),
        }
    }

    fn unavailable(&self, retry_after: Duration) -> Refusal {
        Refusal::after(&self.sends, "account_unavailable", retry_after)
    }

    fn failed(&self, reason: &'static str) -> Refusal {
        match Instant::now() >= self.job.deadline {
            true => Refusal::overdue(&self.sends, reason),
            false => Refusal::after(&self.sends, reason, COME_BACK),
        }
    }

    fn resumable(&self) -> bool {
        self.job.route.kind == Kind::Streaming { resumable: true }
    }

    /// Picks the upstream of the next send.
    ///
    /// A broken stream resumes at the upstream that has its prompt, and at another one only if that
    /// one has ended or the route allows more upstreams.
    fn choose(&self, excluded: &[SocketAddr]) -> Option<Choice> {
        let now = Time::monotonic();
        let latest = self.latest.as_ref().filter(|server| {
            !excluded.contains(&server.address) && self.gateway.registry.borrow().knows(now, server)
        });
        if let Some(server) = latest {
            return Some(Choice {
                server: server.clone(),
                inputs: Inputs::default(),
            });
        }
        let choice = self.gateway.choose(&self.job, excluded)?;
        let more = (self.sends.attempts() as u32) < self.job.route.attempts;
        (more || self.sends.ran_on(choice.server.address)).then_some(choice)
    }

    /// Sends the request until an upstream answers; returns the head if a stream follows.
    async fn connect(&mut self) -> Result<Option<ResponseHead>, Refusal> {
        let mut tries = Tries::new(Instant::now(), self.job.deadline, PERSISTENCE, PAUSE);
        loop {
            if Instant::now() >= self.job.deadline {
                return Err(self.failed("deadline"));
            }
            let Some(choice) = self.choose(tries.excluded()) else {
                if tries.again().await {
                    continue;
                }
                return Err(self.failed("no_upstream"));
            };
            let address = choice.server.address;
            let after = (self.last != self.job.call.after)
                .then_some(self.last)
                .flatten();
            let limit = self.job.deadline.min(Instant::now() + FIRST);
            let sent = self
                .gateway
                .send(&self.job, &choice, after, &mut self.sends, limit)
                .await;
            match sent {
                Sent::Live(live) => {
                    self.latest = Some(live.server.clone());
                    self.splitter = Splitter::after(self.last);
                    let head = live.head.status.is_success().then(|| copy(&live.head));
                    if head.is_some() {
                        let prefixes = &self.job.prefixes;
                        self.gateway.load(address, |load| load.keep(prefixes));
                    }
                    self.live = Some(live);
                    return Ok(head);
                }
                Sent::NotRun(reason) => {
                    self.gateway.count.retried(reason);
                    if reason == "unreachable" {
                        self.sends.ended(address);
                    }
                    if self
                        .latest
                        .take_if(|latest| latest.address == address)
                        .is_some()
                    {
                        continue;
                    }
                    tries.exclude(address);
                }
                Sent::Lost(reason) => {
                    self.latest = Some(choice.server);
                    self.again(reason)
                        .map_err(|Cut(reason)| self.failed(reason))?;
                }
            }
        }
    }

    /// Counts a resumption; fails if the stream can't be resumed.
    fn again(&mut self, reason: &'static str) -> Result<(), Cut> {
        self.live = None;
        let most = match self.events {
            0 => RESTARTS,
            _ => RESUMES,
        };
        if !self.resumable() || self.resumes >= most || Instant::now() >= self.job.deadline {
            return Err(Cut(reason));
        }
        self.resumes += 1;
        self.gateway.count.retried(reason);
        let upstream = self.latest.as_ref().map_or("", |server| &*server.id);
        log::info!(
            request = &*self.job.call.id, upstream, reason, last = self.last.unwrap_or(0);
            "relay: stream broke; resuming it"
        );
        Ok(())
    }

    /// Records that the answer of the upstream broke, and counts a resumption.
    fn broken(&mut self, reason: &'static str) -> Result<(), Cut> {
        if let Some(live) = &self.live {
            self.gateway.failed(live.server.address);
        }
        self.again(reason)
    }

    /// Reads an answer that is not a stream.
    async fn whole(&mut self) -> Result<Whole, Refusal> {
        let Some(mut live) = self.live.take() else {
            return Err(self.failed("no_upstream"));
        };
        let read = timeout_at(self.job.deadline.into(), body(&mut live.connection)).await;
        let Ok(Ok(body)) = read else {
            return Err(Refusal::unknown("answer_cut"));
        };
        self.gateway.pool.put(live.server.address, live.connection);
        Ok(Whole {
            server: live.server,
            head: live.head,
            body,
        })
    }

    /// Returns the next event, or `None` at the end of the stream.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            let Some(live) = &mut self.live else {
                self.reconnect().await?;
                continue;
            };
            match self.splitter.event() {
                Ok(Some(event)) => {
                    live.flight.read();
                    return Ok(Some(self.hand_out(event.id, event.bytes)));
                }
                Ok(None) => {}
                Err(_) => {
                    self.broken("garbled")?;
                    continue;
                }
            }
            let pause = match self.events {
                0 => FIRST,
                _ => NEXT,
            };
            let limit = self.job.deadline.min(Instant::now() + pause);
            match timeout_at(limit.into(), live.connection.chunk()).await {
                Ok(Ok(Some(chunk))) => self.splitter.push(&chunk),
                Ok(Ok(None)) if !self.splitter.partial() => {
                    self.finish();
                    return Ok(None);
                }
                Ok(Ok(None)) => self.broken("cut_in_event")?,
                Ok(Err(_)) => self.broken("cut")?,
                Err(_) => self.broken("stalled")?,
            }
        }
    }

    fn hand_out(&mut self, id: u64, bytes: Bytes) -> Bytes {
        self.last = Some(id);
        self.events += 1;
        if let Some(lease) = &mut self.lease {
            lease.used += self.tokens_per_event;
        }
        bytes
    }

    fn finish(&mut self) {
        if let Some(live) = self.live.take() {
            self.gateway.pool.put(live.server.address, live.connection);
        }
        self.gateway.count.total(self.job.arrived.elapsed());
        let upstream = self.latest.as_ref().map_or("", |server| &*server.id);
        self.gateway.log_answer(&self.job, 200, upstream);
    }

    /// Connects again after the stream broke.
    async fn reconnect(&mut self) -> Result<(), Cut> {
        let head = self
            .connect()
            .await
            .map_err(|refusal| Cut(refusal.reason))?;
        match head {
            Some(_) => Ok(()),
            None => Err(Cut("upstream_failed")),
        }
    }

    /// Returns the identifier of the request that is answered.
    pub fn request(&self) -> &str {
        &self.job.call.id
    }
}

/// Copies the status and headers of an answer.
fn copy(head: &ResponseHead) -> ResponseHead {
    let mut copied = ResponseHead::new(head.status);
    copied.headers = head.headers.clone();
    copied
}
