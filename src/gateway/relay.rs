//! Relays streams of events to callers, and resumes a broken stream with another send.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_http::{
    header::{
        self,
        HeaderValue, //
    },
    ResponseHead,
    StatusCode, //
};
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
    callers::Charge,
    dial::Found,
    dialect::Dialect,
    dispatcher::{
        Outcome,
        Placement, //
    },
    events::{
        Sequence,
        Splitter, //
    },
    forward::{
        body,
        broken,
        Answer,
        Exchange,
        Job,
        Place,
        Refusal,
        Retries,
        Sent,
        Target,
        HELD_REASON,
        RETRY_AFTER, //
    },
    history::client::Recorder,
    identity::{
        Identity,
        Need, //
    },
    origin::{
        Beginning,
        Origin,
        Search, //
    },
    owner::Client,
    proof::Sends,
    registry::Server,
    replica::{
        Decision,
        Pending, //
    },
    route::Kind,
    state::Gateway,
};
use crate::{
    clock::Time,
    log::Log, //
};

/// Time without a first event after which a stream is restarted: sound engines are silent for a
/// second at times, and callers give up after 2 s or more.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a further event after which a stream is resumed, for the same reasons.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Memory of an event that is not whole which is not charged to its caller; ordinary events are far
/// shorter.
const MAX_UNCHARGED_BYTES: usize = 64 << 10;

/// Content type of streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Maximum resumptions of a broken stream.
const MAX_RESUMES: u32 = 4;

/// Maximum restarts of a stream without any event; an upstream that fails twice in a row is likely
/// to fail again, and the caller's retry reaches another one.
const MAX_RESTARTS: u32 = 1;

/// Fraction of the time until the deadline for which upstreams are retried after all of them
/// refused a turn.
const RETRY_SHARE: f64 = 0.4;

/// Time since its arrival for which a turn waits for its account during an outage: half of the time
/// after which callers give up a stream without events.
const OUTAGE_WAIT: Duration = Duration::from_millis(1_200);

/// Pause before the request to an unavailable account is retried.
const ACCOUNT_RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Time after which callers may retry during an outage of the log, which lasts for seconds.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Pause before upstreams that refused a turn are retried.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Guard of the tokens reserved for a turn; closes the turn when it is dropped.
struct Lease<L: Log + 'static> {
    accounts: Rc<Client<L>>,
    program: Arc<str>,
    turn: Turn,
    used: u64,
    /// Whether the turn was denied, so that there is nothing to close.
    denied: bool,
}

impl<L: Log + 'static> Drop for Lease<L> {
    fn drop(&mut self) {
        if !self.denied {
            self.accounts.close(&self.program, self.turn, self.used);
        }
    }
}

/// What the answers of one stream have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Form {
    status: StatusCode,
    /// Content type without parameters, in lower case.
    content_type: Option<String>,
    encoding: Option<HeaderValue>,
}

impl From<&ResponseHead> for Form {
    fn from(head: &ResponseHead) -> Self {
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.and_then(|value| value.split(';').next());
        Self {
            status: head.status,
            content_type: content_type.map(|value| value.trim().to_ascii_lowercase()),
            encoding: head.headers.get(header::CONTENT_ENCODING).cloned(),
        }
    }
}

/// Start of the answer to a request for a stream.
pub enum Started<D: Dialect, L: Log + 'static> {
    /// Events follow the head.
    Stream(ResponseHead, Box<Relay<D, L>>),
    /// The upstream answered with something other than a stream.
    Answer(Answer),
}

/// A stream that is relayed to a caller.
pub struct Relay<D: Dialect, L: Log + 'static> {
    gateway: Rc<Gateway<D, L>>,
    job: Job<D, L>,
    sends: Sends,
    exchange: Option<Box<Exchange>>,
    /// Placement of the latest send by the dispatcher.
    placement: Option<Placement>,
    splitter: Splitter,
    /// Charge for the memory of an event that is not whole.
    collected: Charge,
    /// Identifier of the last event sent to the caller, or from which the caller resumed.
    last: Option<u64>,
    /// Upstream of the latest send, unless it has ended.
    latest: Option<Rc<Server>>,
    resumes: u32,
    lease: Option<Lease<L>>,
    /// Form of the answer that the caller gets; `None` before the first head.
    form: Option<Form>,
    /// Identifiers of the events sent to the caller.
    sequence: Sequence,
    /// Whether the latest send brought an event.
    began: bool,
    /// First event, which was read before the answer was started.
    first: Option<Bytes>,
    /// Whether the end of the stream was reached, also before its first event.
    ended: bool,
    tokens_per_event: u64,
    events: u64,
    /// Where the stream began; `None` before its first event. All further events are from there.
    origin: Option<Origin>,
    /// Record of where the stream began, and when the connection was opened, unless it is proved.
    unproved: Option<(Beginning, Time)>,
    /// Collects the output of a turn that is kept.
    recorder: Option<Recorder<L>>,
}

/// The registry does not show all versions that have served.
struct Outdated;

/// Reason why a stream ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub struct Interruption(pub &'static str);

impl<D: Dialect, L: Log + 'static> Relay<D, L> {
    /// Starts to answer a request for a stream.
    pub async fn start(
        gateway: Rc<Gateway<D, L>>,
        mut job: Job<D, L>,
        tokens_per_event: u64,
    ) -> Result<Started<D, L>, Refusal> {
        let turn = job.turn.take().zip(gateway.histories.get().cloned());
        let recorder = turn.map(|(turn, histories)| Recorder::new(histories, turn, &job.call));
        let mut relay = Self {
            last: job.call.after,
            sends: job.sends.clone(),
            splitter: Splitter::after(job.call.after),
            collected: job.memory.for_answer(),
            gateway,
            job,
            exchange: None,
            placement: None,
            latest: None,
            resumes: 0,
            lease: None,
            form: None,
            sequence: Sequence::default(),
            began: false,
            first: None,
            ended: false,
            tokens_per_event,
            events: 0,
            origin: None,
            unproved: None,
            recorder,
        };
        relay.find_origin().await?;
        let mut pending = relay.reserve();
        if let Some(pending) = pending.take_if(|pending| !pending.likely) {
            relay.admit(pending).await?;
        }
        let head = match relay.connect().await? {
            Some(head) => head,
            None => return relay.read_answer().await.map(Started::Answer),
        };
        relay.first = match relay.next().await {
            Ok(first) => first,
            Err(Interruption(reason)) => return Err(relay.failed(reason)),
        };
        if let Some(pending) = pending {
            relay.admit(pending).await?;
        }
        relay
            .gateway
            .metrics
            .record_first_event(relay.job.arrived.elapsed());
        Ok(Started::Stream(head, Box::new(relay)))
    }

    /// Determines where a stream began that the caller takes up.
    ///
    /// An instance that does not know it must refuse the stream, unless only one version has served,
    /// as far as a current registry shows.
    async fn find_origin(&mut self) -> Result<(), Refusal> {
        if self.job.call.after.is_none() {
            return Ok(());
        }
        let service = self.job.service.clone();
        let mut search = match &self.job.call.resumes {
            Some(request) => self.gateway.origins.find(request).await,
            None => Search::Unknown,
        };
        if !matches!(search, Search::Found(_)) && self.knows_service() {
            match self.presume_version().await {
                Ok(Some(version)) => return self.set_origin(Origin { service, version }),
                Ok(None) => {}
                Err(Outdated) => search = Search::Unanswered,
            }
        }
        match search {
            Search::Found(beginning) if beginning.origin.service == service => {
                let now = Time::monotonic();
                let recorded = now - Duration::from_millis(beginning.age_ms);
                match self.gateway.proves(&beginning, recorded).await {
                    true => self.set_origin(beginning.origin),
                    false => Err(Refusal::after(&self.sends, "origin_unproved", RETRY_AFTER)),
                }
            }
            Search::Found(_) => Err(Refusal::unservable(&self.sends, "version_gone")),
            Search::Unknown => Err(Refusal::unservable(&self.sends, "origin_unknown")),
            Search::Unanswered => {
                // Other instances may know, or reach the ones that do.
                let retry_after = self.gateway.accounts.failover_delay();
                let retry_after = retry_after.unwrap_or(RETRY_AFTER);
                Err(Refusal::after(&self.sends, "origin_unknown", retry_after))
            }
        }
    }

    /// Returns the version of a stream of which nobody knows where it began: the only one that has
    /// served lately, if there is one. Other instances may have read of another one before.
    async fn presume_version(&self) -> Result<Option<Arc<str>>, Outdated> {
        if !self.gateway.fleet.refresh().await {
            return Err(Outdated);
        }
        let (service, now) = (&self.job.service, Time::monotonic());
        let registry = self.gateway.fleet.registry.borrow();
        match registry.sole_version(now, service) {
            // Instances that have run for longer may know.
            Some(_) if registry.may_lack_versions(now, Time::now(), service) => Err(Outdated),
            None if !registry.is_current(now) => Err(Outdated),
            version => Ok(version),
        }
    }

    fn set_origin(&mut self, origin: Origin) -> Result<(), Refusal> {
        self.origin = Some(origin);
        self.check_version()
    }

    /// Returns whether the service that began a stream is known without its origin: requests of its
    /// session have led to the same one lately.
    fn knows_service(&self) -> bool {
        let (call, route) = (&self.job.call, &self.job.route);
        let program = call.program.as_ref();
        let session = program.and_then(|program| program.session.as_ref());
        let by_request = route.is_split() && session.is_none();
        !by_request && self.gateway.kept_services(route, self.job.uri.path())
    }

    /// Refuses a stream that no engine can continue.
    fn check_version(&self) -> Result<(), Refusal> {
        let Some(version) = self.version() else {
            return Ok(());
        };
        let registry = self.gateway.fleet.registry.borrow();
        let mut usable = registry.usable(Time::monotonic(), &self.job.service);
        match usable.any(|server| server.version == *version) {
            true => Ok(()),
            false => Err(Refusal::unservable(&self.sends, "version_gone")),
        }
    }

    /// Returns the software version that the stream requires.
    fn version(&self) -> Option<&Arc<str>> {
        self.origin.as_ref().map(|origin| &origin.version)
    }

    /// Requests a reservation for the turn if the program has a budget.
    fn reserve(&mut self) -> Option<Pending> {
        let program = self.job.call.program.as_ref()?;
        program.budget?;
        self.job.call.prompt.as_ref()?;
        self.lease = Some(Lease {
            accounts: self.gateway.accounts.clone(),
            program: program.id.clone(),
            turn: rand::random(),
            used: 0,
            denied: false,
        });
        self.request_decision()
    }

    /// Requests a decision on the turn of the lease; a repeated request changes nothing.
    fn request_decision(&self) -> Option<Pending> {
        let lease = self.lease.as_ref()?;
        let budget = self.job.call.program.as_ref()?.budget?;
        let max_tokens = self.job.call.prompt.as_ref()?.max_tokens.into();
        let accounts = &self.gateway.accounts;
        Some(accounts.open(&lease.program, lease.turn, max_tokens, budget))
    }

    /// Waits for the decision of the account, and retries during an outage.
    async fn admit(&mut self, mut pending: Pending) -> Result<(), Refusal> {
        let until = self.job.deadline.min(self.job.arrived + OUTAGE_WAIT);
        loop {
            let decision = timeout_at(self.job.deadline.into(), pending.decision).await;
            match decision {
                Ok(Ok(Decision::Granted)) => return Ok(()),
                Ok(Ok(Decision::Spent)) => return Err(self.spent()),
                Ok(Ok(Decision::Unavailable) | Err(_)) | Err(_) => {}
            }
            // Other instances can serve the caller if this one is isolated.
            if let Some(retry_after) = self.gateway.accounts.failover_delay() {
                return Err(self.unavailable(retry_after));
            }
            if Instant::now() + ACCOUNT_RETRY_PAUSE >= until {
                return Err(self.unavailable(OUTAGE_RETRY_AFTER));
            }
            sleep(ACCOUNT_RETRY_PAUSE).await;
            let Some(retried) = self.request_decision() else {
                return Err(self.unavailable(OUTAGE_RETRY_AFTER));
            };
            pending = retried;
        }
    }

    fn spent(&mut self) -> Refusal {
        if let Some(lease) = &mut self.lease {
            lease.denied = true;
        }
        match self.sends.not_run() {
            Some(proof) => Refusal::spent(&proof),
            None => Refusal::unknown("budget_spent"),
        }
    }

    fn unavailable(&self, retry_after: Duration) -> Refusal {
        Refusal::after(&self.sends, "account_unavailable", retry_after)
    }

    fn failed(&self, reason: &'static str) -> Refusal {
        match Instant::now() >= self.job.deadline {
            true => Refusal::at_deadline(&self.sends, reason),
            false => Refusal::after(&self.sends, reason, RETRY_AFTER),
        }
    }

    fn nowhere(&self, limited: Option<Duration>) -> Refusal {
        match Instant::now() >= self.job.deadline {
            true => self.failed("no_upstream"),
            false => Refusal::nowhere(&self.sends, limited),
        }
    }

    fn resumable(&self) -> bool {
        self.job.route.kind == Kind::Streaming { resumable: true }
    }

    /// Picks the upstream of the next send from what this instance knows.
    ///
    /// A broken stream resumes at the upstream that has its prompt, and at another one only if that
    /// one has ended or the route allows more upstreams.
    fn choose(&self, excluded: &[SocketAddr]) -> Option<Choice> {
        if let Some(choice) = self.choose_latest(excluded) {
            return Some(choice);
        }
        let version = self.version().map(|version| &**version);
        let choice = self.gateway.choose(&self.job, excluded, version)?;
        self.may_send(&choice).then_some(choice)
    }

    fn choose_latest(&self, excluded: &[SocketAddr]) -> Option<Choice> {
        let now = Time::monotonic();
        let registry = self.gateway.fleet.registry.borrow();
        let usable = |server: &&Rc<Server>| {
            !excluded.contains(&server.address) && registry.is_usable(now, server)
        };
        self.latest.as_ref().filter(usable).map(|server| Choice {
            server: server.clone(),
            inputs: Inputs::default(),
        })
    }

    /// Returns whether the route allows a send to an upstream after the ones made so far.
    fn may_send(&self, choice: &Choice) -> bool {
        let attempts_left = (self.sends.attempts() as u32) < self.job.route.attempts;
        attempts_left || self.sends.ran_on(choice.server.address)
    }

    /// Picks the upstream of the next send, if possible by the dispatcher.
    async fn place(&mut self, retries: &mut Retries) -> Option<Target> {
        self.placement = None;
        if let Some(choice) = self.choose_latest(retries.excluded()) {
            return Some(choice.into());
        }
        let max_wait = retries.max_wait().max;
        let (excluded, version) = (retries.excluded(), self.version());
        let placed = self.gateway.place(&self.job, excluded, version, max_wait);
        match placed.await {
            Some(Place::At(target)) if self.may_send(&target.choice) => {
                self.gateway.metrics.placed("dispatcher");
                Some(target)
            }
            Some(Place::Limited(wait)) => {
                retries.limit(wait);
                None
            }
            Some(Place::At(_)) | None => {
                self.gateway.metrics.placed("instance");
                self.choose(retries.excluded()).map(Into::into)
            }
        }
    }

    /// Sends the request until an upstream answers; returns the head if a stream follows.
    async fn connect(&mut self) -> Result<Option<ResponseHead>, Refusal> {
        let mut retries = Retries::new(Instant::now(), self.job.deadline, RETRY_SHARE, RETRY_PAUSE);
        loop {
            if Instant::now() >= self.job.deadline {
                return Err(self.failed("deadline"));
            }
            let proved = timeout_at(self.job.deadline.into(), self.prove_origin());
            if !proved.await.unwrap_or(false) {
                return Err(self.failed("origin_unproved"));
            }
            let Some(target) = self.place(&mut retries).await else {
                self.check_version()?;
                let limited = retries.limited();
                // It may turn out that an upstream has ended which takes no new request.
                if let Some(stopped) = self.stopped() {
                    if self.release(&stopped).await {
                        retries.exclude(stopped.address);
                    }
                }
                if retries.wait().await {
                    continue;
                }
                return Err(self.nowhere(limited));
            };
            let choice = target.choice;
            self.placement = target.placement;
            let address = choice.server.address;
            if self.is_doubtful(&choice.server) {
                self.end_placement(Outcome::Unreachable);
                self.release(&choice.server).await;
                retries.exclude(address);
                continue;
            }
            let wait = retries.max_wait();
            let permit = self.gateway.permit(&choice.server, target.permit, wait);
            let permit = match permit.await {
                Ok(permit) => permit,
                Err(wait) => {
                    self.gateway.metrics.retried("upstream_limit");
                    retries.deny(address, wait);
                    continue;
                }
            };
            let after = (self.last != self.job.call.after)
                .then_some(self.last)
                .flatten();
            let limit = self.job.deadline.min(Instant::now() + FIRST_EVENT_TIMEOUT);
            self.began = false;
            let sent = self
                .gateway
                .send(
                    &self.job,
                    (&choice, &permit),
                    (after, self.need()),
                    &mut self.sends,
                    limit,
                )
                .await;
            let fits = match &sent {
                Sent::Answered(exchange) => self.continues(&exchange.head),
                Sent::NotRun(_) | Sent::Lost(_) => true,
            };
            match sent {
                Sent::Answered(exchange) if !fits => {
                    log::warn!(
                        request = &*self.job.call.id, upstream = &*exchange.server.id,
                        status = exchange.head.status.as_u16();
                        "relay: answer does not continue the stream; trying another upstream"
                    );
                    self.latest = None;
                    self.end_placement(Outcome::Failed);
                    retries.exclude(address);
                    self.resume("no_continuation")
                        .map_err(|Interruption(reason)| self.failed(reason))?;
                }
                Sent::Answered(exchange) => {
                    self.latest = Some(exchange.server.clone());
                    self.splitter = Splitter::after(self.last);
                    let head = exchange
                        .head
                        .status
                        .is_success()
                        .then(|| copy(&exchange.head));
                    if let Some(head) = &head {
                        self.form.get_or_insert_with(|| head.into());
                        self.record_continuation(&exchange.server);
                        let (prefixes, capacity) = (&self.job.prefixes, self.job.cache_tokens);
                        self.gateway
                            .fleet
                            .load(address, |load| load.record_cached(prefixes, capacity));
                        if let Some(placement) = &self.placement {
                            placement.started(exchange.report, capacity, exchange.leaving);
                        }
                    }
                    self.exchange = Some(exchange);
                    return Ok(head);
                }
                Sent::NotRun(reason) => {
                    self.gateway.metrics.retried(reason);
                    if reason == "unreachable" {
                        self.end_placement(Outcome::Unreachable);
                        self.release(&choice.server).await;
                    }
                    retries.exclude(address);
                }
                Sent::Lost(reason) => {
                    self.latest = Some(choice.server);
                    self.end_placement(Outcome::Failed);
                    self.examine_break(reason).await;
                    self.release_ended().await;
                    self.resume(reason)
                        .map_err(|Interruption(reason)| self.failed(reason))?;
                }
            }
        }
    }

    /// Returns whether an answer may follow behind the head that the caller gets, or behind the events
    /// that it has.
    fn continues(&self, head: &ResponseHead) -> bool {
        let form = Form::from(head);
        match &self.form {
            Some(begun) => *begun == form,
            None if self.last.is_none() || !form.status.is_success() => true,
            None => match form.content_type.as_deref() {
                Some(content_type) => content_type == EVENT_STREAM,
                None => !self
                    .origin
                    .as_ref()
                    .is_some_and(|origin| self.gateway.shapes.is_typed(origin)),
            },
        }
    }

    /// Returns whether an upstream may have another software version than its entry says, while the
    /// stream needs that one.
    fn is_doubtful(&self, server: &Server) -> bool {
        let registry = self.gateway.fleet.registry.borrow();
        self.last.is_some() && registry.is_doubtful(Time::monotonic(), server)
    }

    /// Returns which process may answer the next send.
    ///
    /// A stream that begins while the store fails is proved by its upstream at once, as the registry
    /// can't show later where it began.
    fn need(&self) -> Need {
        let registry = self.gateway.fleet.registry.borrow();
        match self.last {
            Some(_) => Need::Same,
            None if !self.resumable() || registry.is_sound(Time::monotonic()) => Need::Any,
            None => Need::Known,
        }
    }

    /// Returns whether the stream is known to have begun where its origin says, if it has begun.
    async fn prove_origin(&mut self) -> bool {
        let Some((beginning, opened)) = self.unproved.take() else {
            return true;
        };
        let proved = self.gateway.proves(&beginning, opened).await;
        self.unproved = (!proved).then_some((beginning, opened));
        proved
    }

    /// Records the events of the first answer, if it began the stream.
    fn record_shape(&self, whole: bool) {
        if let Some(origin) = self
            .origin
            .as_ref()
            .filter(|_| self.resumes == 0 && self.job.call.after.is_none())
        {
            let content_type = self
                .form
                .as_ref()
                .and_then(|form| form.content_type.as_deref());
            let typed = content_type.is_some();
            self.gateway
                .shapes
                .record(origin, &self.sequence, typed, whole);
        }
    }

    /// Logs and counts that the stream goes on after a break, and determines its next event.
    fn record_continuation(&mut self, server: &Server) {
        let Some(last) = self.last else {
            return;
        };
        let shapes = &self.gateway.shapes;
        let numbering = self
            .origin
            .as_ref()
            .and_then(|origin| shapes.numbering(origin));
        self.sequence.resume(last, numbering);
        let version = match self.version() {
            Some(version) if *version == server.version => "same",
            Some(_) => "other",
            None => "unknown",
        };
        let by = match self.events {
            0 => "caller",
            _ => "gateway",
        };
        self.gateway.metrics.continued(by, version);
        let call = &self.job.call;
        log::info!(
            request = &*call.id, resumes = call.resumes.as_deref().unwrap_or(""), by, last,
            upstream = &*server.id, upstream_version = &*server.version,
            origin = self.version().map_or("", |version| version);
            "relay: stream goes on after a break"
        );
    }

    /// Counts a resumption; fails if the stream can't be resumed.
    fn resume(&mut self, reason: &'static str) -> Result<(), Interruption> {
        self.exchange = None;
        let resends_left = self.resumes < self.max_resends();
        if self.gateway.reports.held(&self.job.fingerprint).is_some() {
            return Err(Interruption(HELD_REASON));
        }
        if !self.resumable() || !resends_left || Instant::now() >= self.job.deadline {
            return Err(Interruption(reason));
        }
        self.record_shape(false);
        self.resumes += 1;
        self.gateway.metrics.retried(reason);
        let upstream = self.latest.as_ref().map_or("", |server| &*server.id);
        log::info!(
            request = &*self.job.call.id, upstream, reason, last = self.last.unwrap_or(0);
            "relay: stream broke; resuming it"
        );
        Ok(())
    }

    /// Records that the answer of the upstream broke, and counts a resumption.
    async fn resume_broken(&mut self, reason: &'static str) -> Result<(), Interruption> {
        if let Some(exchange) = &self.exchange {
            self.gateway
                .fleet
                .failed(Time::monotonic(), exchange.server.address);
        }
        self.end_placement(Outcome::Failed);
        self.examine_break(reason).await;
        self.release_ended().await;
        self.resume(reason)
    }

    /// Determines whether the engine crashed when it began to run the stream.
    async fn examine_break(&mut self, reason: &'static str) {
        let Some(latest) = self.latest.clone() else {
            return;
        };
        if !self.began && broken(reason) {
            self.exchange = None;
            let request = self.job.fingerprint;
            self.gateway.examine_break(request, &latest).await;
        }
    }

    /// Reports the end of the latest send to the dispatcher that placed it.
    fn end_placement(&mut self, outcome: Outcome) {
        if let Some(placement) = self.placement.take() {
            placement.ended(outcome);
        }
    }

    /// Lets another upstream continue if the latest one takes no new request and has ended.
    ///
    /// One that is leaving and still runs counts as an attempt.
    async fn release_ended(&mut self) {
        if let Some(latest) = self.stopped() {
            self.release(&latest).await;
        }
    }

    /// Returns the latest upstream if it takes no new request.
    fn stopped(&self) -> Option<Rc<Server>> {
        let registry = self.gateway.fleet.registry.borrow();
        let latest = self.latest.as_ref();
        let stopped = |server: &&Rc<Server>| !registry.is_usable(Time::monotonic(), server);
        latest.filter(stopped).cloned()
    }

    /// Lets another upstream continue if there is evidence that one which ran the stream has ended;
    /// returns whether it may have.
    async fn release(&mut self, server: &Rc<Server>) -> bool {
        let address = server.address;
        if !self.sends.ran_on(address) {
            return false;
        }
        match self.gateway.dialer.examine(server).await {
            Found::Alive(connection) => {
                self.gateway.dialer.pool.put(address, *connection);
                false
            }
            Found::Ended(evidence) => {
                self.sends.ended(address, &evidence);
                self.latest.take_if(|latest| latest.address == address);
                true
            }
            Found::Unknown => true,
        }
    }

    /// Returns whether a stalled stream can be resumed.
    ///
    /// Otherwise its connection stays open: an upstream that is leaving takes no new request, but
    /// completes the ones that it runs.
    fn can_resume(&self) -> bool {
        self.resumable() && self.resumes < self.max_resends() && self.choose(&[]).is_some()
    }

    fn max_resends(&self) -> u32 {
        match self.events {
            0 => MAX_RESTARTS,
            _ => MAX_RESUMES,
        }
    }

    /// Reads an answer that is not a stream.
    async fn read_answer(&mut self) -> Result<Answer, Refusal> {
        let Some(mut exchange) = self.exchange.take() else {
            return Err(self.failed("no_upstream"));
        };
        let gateway = &self.gateway;
        let read = async {
            let body = body(&mut exchange.connection, self.job.memory.answer_buffer())
                .await
                .ok()?;
            let cut = gateway.ended_by_crash(&exchange).await;
            (!cut).then_some(body)
        };
        let read = timeout_at(self.job.deadline.into(), read).await;
        let Ok(Some((body, memory))) = read else {
            return Err(Refusal::unknown("answer_cut"));
        };
        self.gateway
            .dialer
            .pool
            .put(exchange.server.address, exchange.connection);
        Ok(Answer {
            server: exchange.server,
            head: exchange.head,
            body,
            memory,
        })
    }

    /// Returns the next event, or `None` at the end of the stream.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Interruption> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.ended {
            return Ok(None);
        }
        // Bytes that complete no event are no progress.
        let mut waiting_since = Instant::now();
        loop {
            let bytes = self.splitter.memory();
            let long = bytes > MAX_UNCHARGED_BYTES;
            self.collected.resize(if long { bytes } else { 0 });
            let Some(exchange) = &mut self.exchange else {
                self.reconnect().await?;
                waiting_since = Instant::now();
                continue;
            };
            match self.splitter.event() {
                Ok(Some(event)) if !self.began && !self.sequence.admits(event.id) => {
                    self.resume_broken("gap").await?;
                    continue;
                }
                Ok(Some(event)) => {
                    exchange.flight.prefilled();
                    return Ok(Some(self.deliver(event.id, event.bytes)));
                }
                Ok(None) => {}
                Err(_) => {
                    self.resume_broken("garbled").await?;
                    continue;
                }
            }
            let pause = match self.events {
                0 => FIRST_EVENT_TIMEOUT,
                _ => NEXT_EVENT_TIMEOUT,
            };
            let limit = self.job.deadline.min(waiting_since + pause);
            match timeout_at(limit.into(), exchange.connection.chunk()).await {
                Ok(Ok(Some(chunk))) => {
                    exchange.probe.check();
                    self.splitter.push(&chunk);
                }
                // The connections of an engine that crashes end as this answer does.
                Ok(Ok(None)) if self.last.is_none() && exchange.connection.ended_with_body() => {
                    self.resume_broken("cut").await?;
                }
                Ok(Ok(None)) if self.splitter.partial() => {
                    self.resume_broken("cut_in_event").await?;
                }
                Ok(Ok(None)) if self.ended_by_crash().await => {
                    self.resume_broken("cut").await?;
                }
                Ok(Ok(None)) => {
                    self.ended = true;
                    self.finish();
                    self.keep_turn().await?;
                    return Ok(None);
                }
                Ok(Err(_)) => self.resume_broken("cut").await?,
                Err(_) if Instant::now() < self.job.deadline && !self.can_resume() => {
                    waiting_since = Instant::now();
                }
                Err(_) => self.resume_broken("stalled").await?,
            }
        }
    }

    /// Returns whether the stream ended only because its upstream did.
    async fn ended_by_crash(&self) -> bool {
        let Some(exchange) = &self.exchange else {
            return false;
        };
        let ended = self.gateway.ended_by_crash(exchange);
        let limit = self.job.deadline;
        timeout_at(limit.into(), ended).await.unwrap_or(true)
    }

    /// Keeps the turn before the caller gets the end of the stream; until then the turn does not
    /// count as answered.
    async fn keep_turn(&mut self) -> Result<(), Interruption> {
        let Some(recorder) = &mut self.recorder else {
            return Ok(());
        };
        match recorder.keep(self.job.deadline).await {
            true => Ok(()),
            false => Err(Interruption("turn_not_kept")),
        }
    }

    fn deliver(&mut self, id: u64, bytes: Bytes) -> Bytes {
        if let Some(last) = self.last.filter(|_| !self.began) {
            log::info!(
                request = &*self.job.call.id, last, id;
                "relay: first event after a break"
            );
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.push(id, &bytes);
        }
        self.last = Some(id);
        self.sequence.push(id);
        self.events += 1;
        self.began = true;
        if self.origin.is_none() {
            self.record_origin();
        }
        if let Some(lease) = &mut self.lease {
            lease.used += self.tokens_per_event;
        }
        bytes
    }

    /// Records where the stream began.
    fn record_origin(&mut self) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        let (server, connection) = (&exchange.server, &exchange.connection);
        let identity = connection.identity();
        let proved = match identity.and_then(|identity| identity.matches(server)) {
            Some(same) => same,
            None => {
                let registry = self.gateway.fleet.registry.borrow();
                registry.is_settled(&server.id, server.started, connection.opened())
            }
        };
        let mut beginning = Beginning::new(server, proved);
        if matches!(identity, Some(Identity::Start(_))) && !proved {
            // The version of another start than that of the entry is not known.
            beginning.started = 0;
        }
        if self.resumable() {
            let request = &self.job.call.id;
            self.gateway.origins.record(request, beginning.clone());
        }
        self.origin = Some(beginning.origin.clone());
        self.unproved = (!proved).then(|| (beginning, connection.opened()));
    }

    fn finish(&mut self) {
        self.record_shape(true);
        self.end_placement(Outcome::Ended);
        if let Some(exchange) = self.exchange.take() {
            self.record_end(&exchange);
            let server = &exchange.server;
            let reports = &self.gateway.reports;
            reports.record_completed(&self.job.fingerprint, server);
            self.gateway
                .dialer
                .pool
                .put(exchange.server.address, exchange.connection);
        }
        self.gateway
            .metrics
            .record_total(self.job.arrived.elapsed());
        let took = self.job.complete.elapsed();
        self.gateway.grace.record(&self.job.route, took);
        let upstream = self.latest.as_ref().map_or("", |server| &*server.id);
        self.gateway.log_answer(&self.job, 200, upstream);
    }

    /// Counts the end of the stream, and logs it if only the end of its connection marked it.
    fn record_end(&self, exchange: &Exchange) {
        let helper = exchange.connection.helper();
        let mark = match exchange.connection.ended_with_body() {
            true => "connection",
            false => "framing",
        };
        let path = match helper {
            Some(_) => "tunnel",
            None => "direct",
        };
        self.gateway.metrics.ended_stream(mark, path);
        if exchange.connection.ended_with_body() {
            log::info!(
                request = &*self.job.call.id, upstream = &*exchange.server.id,
                helper = helper.map_or("", |helper| helper.as_str()),
                events = self.events, last = self.last.unwrap_or(0);
                "relay: stream ended with its connection"
            );
        }
    }

    /// Connects again after the stream broke.
    async fn reconnect(&mut self) -> Result<(), Interruption> {
        let head = self
            .connect()
            .await
            .map_err(|refusal| Interruption(refusal.reason))?;
        match head {
            Some(_) => Ok(()),
            None => Err(Interruption("upstream_failed")),
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
