//! Keeps turns when they end, and finds them when others continue them.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use futures_util::{
    future::{
        join_all,
        select,
        Either, //
    },
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    },
};
use tokio::{
    sync::Semaphore,
    time::{
        sleep,
        timeout,
        timeout_at, //
    },
};

use super::{
    bounds::Bounds,
    cache::Cache,
    census::{
        Census,
        COPIES, //
    },
    output::{
        Broken,
        Output, //
    },
    partition::Partitions,
    tree::Search,
    turn::{
        assemble,
        disassemble,
        partition_of,
        Key,
        Turn, //
    },
    wire::{
        Attestation,
        Request,
        Response,
        Safety, //
    },
};
use crate::{
    clock::Time,
    gateway::{
        call::Call,
        metrics::Metrics,
        owner,
        path::Path,
        peers::Peers,
        settings,
        view::Report, //
    },
    hash::{
        self,
        Map,
        Set, //
    },
    log::{
        Failure,
        Log, //
    },
    member::snapshot::Status,
    name::{
        Instance,
        Zone, //
    },
    peer::wire::Body,
    process::task,
};

/// Time without an answer of the owner after which an instance appends a turn itself.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without an answer of the store after which other instances hold copies of a turn: a slow
/// store takes 240 ms, and the owner has to answer within [`OWNER_TIMEOUT`].
const HOLD_DELAY: Duration = Duration::from_millis(300);

/// The same while the store refuses this instance, and others append for it.
const HELP_DELAY: Duration = Duration::from_millis(100);

/// Timeout for another instance to hold a copy: many round trips between zones, and the time that
/// it waits for the store.
const HOLD_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a holder waits for the store before it only holds a copy.
const HOLDER_WAIT: Duration = Duration::from_millis(80);

/// Pause before instances that did not hold a copy are asked again.
const HOLD_PAUSE: Duration = Duration::from_millis(100);

/// Maximum times that instances are asked to hold copies of a turn; its caller waits some seconds.
const MAX_HOLD_ROUNDS: usize = 10;

/// Other instances that have to hold copies of a turn while the store does not answer.
const HOLDERS: usize = COPIES - 1;

/// Maximum instances that are asked to hold a copy.
const MAX_HOLDER_REQUESTS: usize = 6;

/// Timeout of the queries of what owners have in memory.
const FIRST_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of the queries of all partitions.
const ALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout for another instance to tell whether it holds a turn: many round trips between zones, and
/// a new link.
const ATTEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum turns at the same time for which all instances are asked, so that unknown turns do not
/// occupy the links.
const MAX_CENSUSES: usize = 2;

/// Time for which no instance is asked again after answers that allowed no conclusion.
const CENSUS_PAUSE: Duration = Duration::from_secs(1);

/// Margin for steps of the clock by which losses of instances are recorded.
const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// Time for which an owner that did not answer gets no turns to keep.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Time between removals of turns that are no longer needed; the log is trimmed with them.
const MAINTAIN_INTERVAL: Duration = Duration::from_secs(15);

/// Time between checks whether the other instances are known.
const JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which the search for a turn may be repeated.
pub const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason why no prompt can be made for a turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The identifier of the previous turn is invalid.
    Invalid,
    /// There is no such turn.
    Unknown,
    /// The prompt would be too long.
    TooLong,
    /// The turn may exist.
    Unavailable,
}

/// What all instances together know of a turn that the log lacks.
enum Copies {
    /// There is none.
    None,
    /// An instance that did not answer, or was lost, may hold or may have held one.
    Uncertain,
    /// Turns of a partition that an instance holds, the wanted one last.
    Held(usize, Vec<Rc<Turn>>),
}

/// Turns of a partition, the wanted one last, after all turns before it.
struct Chain {
    partition: usize,
    turns: Vec<Rc<Turn>>,
    /// Time on the boot clock until which the owner of the partition keeps them at least.
    kept_until: Time,
}

/// Outcome of an attempt to make a turn safe.
enum Submission {
    /// The turn is safe.
    Safe(Safety),
    /// A turn before it may be missing.
    Incomplete,
    /// The turn is not safe.
    Failed,
}

/// A turn that is being answered.
#[derive(Clone, Debug)]
pub struct Open {
    /// The turn. Its input is shared with the prompt.
    turn: Turn,
    partition: usize,
    /// Turns before it, oldest first. Their bytes are shared with the prompt.
    ancestors: Rc<[Turn]>,
    /// Time on the boot clock until which the owner of the partition keeps these at least. The answer
    /// may end later.
    kept_until: Time,
}

/// Keeps and finds turns.
pub struct Histories<L> {
    partitions: Rc<Partitions<L>>,
    path: Rc<Path<L>>,
    accounts: Rc<owner::Client<L>>,
    peers: RefCell<Option<Peers>>,
    cache: RefCell<Cache>,
    broken: RefCell<Broken>,
    /// Owners that did not answer, and the time until which they get no turns to keep.
    avoided: RefCell<Map<Instance, Time>>,
    metrics: Metrics,
    started: Cell<bool>,
    /// Whether the owners of the partitions are known.
    ready: Cell<bool>,
    /// Time since which losses of other instances are noticed here.
    observed_since: Time,
    /// Whether no instance kept turns before `observed_since`.
    first_start: bool,
    censuses: Semaphore,
    /// Time until which the answers of all instances would allow no conclusion either.
    inconclusive_until: Cell<Time>,
}

impl<L: Log + 'static> Histories<L> {
    /// Returns histories that do nothing before [`Self::start`].
    pub fn new(
        path: Path<L>,
        partitions: u32,
        settings: settings::History,
        first_start: bool,
        accounts: Rc<owner::Client<L>>,
        metrics: Metrics,
    ) -> Self {
        let path = Rc::new(path);
        let partitions = Partitions::new(path.clone(), partitions, settings.owner_mb << 20);
        Self {
            partitions: Rc::new(partitions),
            path,
            accounts,
            peers: RefCell::default(),
            cache: RefCell::new(Cache::new(settings.cache_mb << 20)),
            broken: RefCell::default(),
            avoided: RefCell::default(),
            metrics,
            started: Cell::new(false),
            ready: Cell::new(false),
            observed_since: Time::monotonic(),
            first_start,
            censuses: Semaphore::new(MAX_CENSUSES),
            inconclusive_until: Cell::default(),
        }
    }

    /// Reduces the memory for turns to what these bounds allow.
    pub fn restrict(&self, bounds: &Bounds) {
        self.partitions.restrict(bounds);
        self.cache.borrow_mut().restrict(bounds.cached);
    }

    /// Adds the links to other instances.
    pub fn connect(&self, peers: Peers) {
        self.path.connect(peers.clone());
        self.peers.replace(Some(peers));
    }

    /// Returns the path to the log.
    pub fn path(&self) -> &Path<L> {
        &self.path
    }

    /// Returns whether turns wait to be appended.
    pub fn pending(&self) -> bool {
        self.partitions.pending()
    }

    /// Starts to own partitions and to append turns, once a route keeps turns.
    pub fn start(self: &Rc<Self>) {
        if self.started.replace(true) {
            return;
        }
        for index in 0..self.partitions.count() {
            let partitions = self.partitions.clone();
            task::supervise("history-partition", move || partitions.clone().run(index));
        }
        let path = self.path.clone();
        task::supervise("history-log", move || {
            let path = path.clone();
            async move { path.watch().await }
        });
        let this = self.clone();
        task::supervise_until_end("history-ownership", move || this.clone().follow_owners());
        let this = self.clone();
        task::supervise("history-maintenance", move || this.clone().maintain());
    }

    async fn maintain(self: Rc<Self>) {
        loop {
            sleep(MAINTAIN_INTERVAL).await;
            self.partitions.maintain(self.certain()).await;
            self.record_bytes();
        }
    }

    /// Updates which partitions this instance owns as members change; returns if the roster is closed.
    async fn follow_owners(self: Rc<Self>) {
        // Instances that start together would each read all partitions.
        while !self.accounts.joined() {
            sleep(JOIN_INTERVAL).await;
        }
        self.path.learn_past_outage().await;
        self.update_owners();
        self.ready.set(true);
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let mut changes = peers.roster.subscribe();
        while changes.changed().await.is_ok() {
            self.update_owners();
        }
    }

    fn update_owners(&self) {
        for index in 0..self.partitions.count() {
            let owned = self.owner(index).is_none();
            self.partitions.set_owned(index, owned);
        }
    }

    /// Returns the other live instances in the order in which they take over a partition, with their
    /// zones; only those with at least half of the largest capacity. The position of this instance is
    /// the number of those before it; `None` if it is not among them.
    fn ranking(&self, partition: usize) -> (Vec<(Instance, Zone)>, Option<usize>) {
        let Some(peers) = self.peers.borrow().clone() else {
            return (Vec::new(), Some(0));
        };
        let snapshot = peers.roster.snapshot();
        let local = snapshot.local();
        let capacity = |name: &Instance| match snapshot.peer(name) {
            Some(peer) => peer.entry.capacity,
            None => local.capacity,
        };
        let largest = snapshot.usable().map(capacity).max().unwrap_or(0);
        let large = snapshot
            .usable()
            .filter(|name| capacity(name) >= largest / 2);
        let key = format!("turns/{partition}");
        let mut ranked = hash::ranking(key.as_bytes(), large);
        let position = ranked.iter().position(|name| **name == local.instance);
        ranked.retain(|name| **name != local.instance);
        let zone = |name: &Instance| {
            let peer = snapshot.peer(name);
            peer.map_or_else(|| local.zone.clone(), |peer| peer.entry.zone.clone())
        };
        let others = ranked
            .into_iter()
            .map(|name| (name.clone(), zone(name)))
            .collect();
        (others, position)
    }

    /// Returns the owner of a partition; `None` if it is this instance.
    fn owner(&self, partition: usize) -> Option<Instance> {
        let (others, position) = self.ranking(partition);
        match (others.into_iter().next(), position) {
            (None, _) | (_, Some(0)) => None,
            (Some((name, _)), _) => Some(name),
        }
    }

    async fn request(&self, to: &Instance, request: Request, limit: Duration) -> Option<Response> {
        let peers = self.peers.borrow().clone()?;
        match peers.mesh.request(to, Body::History(request), limit).await {
            Ok(Body::Histories(response)) => Some(response),
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = to.as_str(), error:%; "history: peer did not answer a request");
                None
            }
        }
    }

    /// Appends records for another instance over the direct path only.
    pub async fn append_for_peer(&self, partition: u32, records: &[Bytes]) -> owner::Response {
        match self.path.append_directly(partition, records).await {
            Some(Ok(offset)) => owner::Response::Appended(offset),
            _ => owner::Response::Refused,
        }
    }

    /// Reads records for another instance over the direct path only.
    pub async fn read_for_peer(&self, partition: u32, from: u64) -> owner::Response {
        match self.path.read_directly(partition, from).await {
            Some(Ok(batch)) => owner::Response::Records {
                records: batch.records,
                next: batch.next,
            },
            // No record is dropped before the reader needs it, so that it may read on after them.
            Some(Err(Failure::Expired { begin })) => owner::Response::Records {
                records: Vec::new(),
                next: begin,
            },
            _ => owner::Response::Refused,
        }
    }

    /// Handles a request of another instance.
    pub async fn handle(self: &Rc<Self>, request: Request) -> Response {
        self.start();
        match request {
            Request::Keep {
                partition,
                turn,
                check,
            } => {
                let Some(index) = self.index(partition) else {
                    return Response::Unavailable;
                };
                match self.submit_here(index, &Rc::new(turn), check).await {
                    Submission::Safe(safety) => Response::Kept(safety),
                    Submission::Incomplete => Response::Incomplete,
                    Submission::Failed => Response::Unavailable,
                }
            }
            Request::Hold { partition, turn } => match self.index(partition) {
                Some(index) => self.hold(index, Rc::new(turn)).await,
                None => Response::Unavailable,
            },
            Request::Find {
                partitions,
                key,
                limit,
                read,
            } => {
                let indices: Option<Vec<_>> = partitions
                    .into_iter()
                    .map(|partition| self.index(partition))
                    .collect();
                match indices {
                    Some(indices) => self.find_here(&indices, &key, limit as usize, read).await,
                    None => Response::Unavailable,
                }
            }
            Request::Attest { key, ttl_ms } => {
                Response::Attested(self.attest(&key, Duration::from_millis(ttl_ms)))
            }
        }
    }

    /// Tells what this instance knows of a turn that the log lacks.
    fn attest(&self, key: &Key, retention: Duration) -> Attestation {
        let held = self.partitions.find_waiting(key);
        let (partition, held) = held.unwrap_or_default();
        let observed = match self.first_start {
            true => Duration::MAX,
            false => Time::monotonic().since(self.observed_since),
        };
        let lost = self.peers.borrow().as_ref().map(|peers| {
            peers.roster.read(|view| {
                let lost: Set<_> = view
                    .lost_within(Time::now(), retention + CLOCK_MARGIN)
                    .collect();
                lost.into_iter().take(COPIES).cloned().collect()
            })
        });
        Attestation {
            held: held.iter().map(|turn| Turn::clone(turn)).collect(),
            partition: partition as u32,
            observed_ms: observed.as_millis().try_into().unwrap_or(u64::MAX),
            lost: lost.unwrap_or_default(),
        }
    }

    /// Asks all instances for a turn that the log lacks.
    async fn find_copies(&self, key: &Key, retention: Duration) -> Copies {
        let paused = Time::monotonic() < self.inconclusive_until.get();
        let permit = self.censuses.try_acquire();
        let Some(_permit) = permit.ok().filter(|_| !paused) else {
            return Copies::Uncertain;
        };
        let mut census = Census::default();
        let peers = self.peers.borrow().clone();
        let names: Vec<_> = peers.iter().flat_map(others).collect();
        let request = Request::Attest {
            key: key.clone(),
            ttl_ms: retention.as_millis() as u64,
        };
        let requests = names.into_iter().map(|name| {
            let request = request.clone();
            async move {
                let response = self.request(&name, request, ATTEST_TIMEOUT).await;
                (Some(name), response)
            }
        });
        let mut answers: FuturesUnordered<_> = requests.collect();
        let mut next = Some((None, Some(Response::Attested(self.attest(key, retention)))));
        while let Some((name, answer)) = next {
            match (answer, name) {
                (Some(Response::Attested(attestation)), _) if attestation.held.is_empty() => {
                    let observed = Duration::from_millis(attestation.observed_ms);
                    census.count_answer(observed, attestation.lost);
                }
                (Some(Response::Attested(attestation)), _) => {
                    let turns = attestation.held.into_iter().map(Rc::new).collect();
                    return match self.index(attestation.partition) {
                        Some(index) => Copies::Held(index, turns),
                        None => Copies::Uncertain,
                    };
                }
                (_, name) => name.into_iter().for_each(|name| census.count_silent(name)),
            }
            next = answers.next().await;
        }
        if census.is_conclusive(retention) {
            return Copies::None;
        }
        let until = Time::monotonic() + CENSUS_PAUSE;
        self.inconclusive_until.set(until);
        log::debug!(
            census:? = census;
            "history: instances that may have held the turn can't be asked; it is not unknown"
        );
        Copies::Uncertain
    }

    /// Returns the turns before held ones, followed by these.
    async fn find_before(
        &self,
        (partition, held): (usize, Vec<Rc<Turn>>),
        home: usize,
        limit: usize,
        retention: Duration,
    ) -> Result<Chain, Refused> {
        if held.iter().any(|turn| turn.output.is_none()) {
            return Err(Refused::Unavailable);
        }
        let length = held.iter().map(|turn| turn.length()).sum::<usize>();
        let limit = limit.checked_sub(length).ok_or(Refused::TooLong)?;
        let mut chain = Chain {
            partition,
            turns: Vec::new(),
            // The owner does not know them yet.
            kept_until: Time::default(),
        };
        let Some(parent) = held.first().and_then(|turn| turn.parent()) else {
            chain.turns = held;
            return Ok(chain);
        };
        let found = Box::pin(self.find(&parent, home, limit, retention)).await;
        match found {
            Ok(before) => {
                chain.turns = before.turns;
                chain.turns.extend(held);
                Ok(chain)
            }
            // It was found when the turns that continue it were answered.
            Err(Refused::Unknown) => Err(Refused::Unavailable),
            Err(refused) => Err(refused),
        }
    }

    fn index(&self, partition: u32) -> Option<usize> {
        let index = partition as usize;
        (index < self.partitions.count()).then_some(index)
    }

    /// Searches partitions that this instance owns, in memory, and in the log if `read`.
    async fn find_here(&self, indices: &[usize], key: &Key, limit: usize, read: bool) -> Response {
        if !self.ready.get() {
            return Response::Unavailable;
        }
        if !read {
            let mut indices = indices.iter();
            let found = indices.find_map(|index| {
                let found = self.partitions.find_in_memory(*index, key, limit)?;
                Some((*index, found))
            });
            return match found {
                Some((index, Search::Found(turns))) => Response::chain(index, &turns),
                Some((_, Search::TooLong)) => Response::TooLong,
                _ => Response::Unavailable,
            };
        }
        let searches = indices.iter().map(|index| async move {
            match self.partitions.find(*index, key, limit).await {
                Some(Search::Found(turns)) => Response::chain(*index, &turns),
                Some(Search::TooLong) => Response::TooLong,
                Some(Search::Unknown) if self.certain() => Response::Unknown,
                found => {
                    log::debug!(
                        partition = index, found:?, log_settled = self.path.settled(),
                        accounts_settled = self.accounts.settled();
                        "history: owner can't tell whether there is a turn"
                    );
                    Response::Unavailable
                }
            }
        });
        merge(join_all(searches).await)
    }

    /// Returns whether no outage of the store is known after which turns may be missing in the log.
    ///
    /// Outages of other instances only are not known here; see [`Self::find_copies`].
    fn certain(&self) -> bool {
        let peers = self.peers.borrow();
        let reachable = peers.as_ref().is_none_or(|peers| {
            let snapshot = peers.roster.snapshot();
            let reachable = snapshot.unreachable_zones().next().is_none();
            reachable
        });
        reachable && self.path.settled() && self.accounts.settled()
    }

    /// Makes the prompt of a turn, and returns it with the turn.
    pub async fn open(
        &self,
        call: &Call,
        tenant: Option<&Arc<str>>,
        retention: Duration,
        input: Bytes,
        limit: usize,
    ) -> Result<(Bytes, Open), Refused> {
        let previous = call.previous.as_ref().map_err(|_| Refused::Invalid)?;
        let program = call.program.as_ref().map(|program| program.id.clone());
        let key = |id: &Arc<str>| Key {
            tenant: tenant.cloned(),
            id: id.clone(),
        };
        let home = |id: &str| {
            let name = program.as_deref().unwrap_or(id);
            partition_of(name, self.partitions.count())
        };
        let mut ancestors = Vec::new();
        let (partition, prompt, kept_until) = match previous {
            Some(previous) => {
                let start = Instant::now();
                let previous_key = key(previous);
                let found = self.find(&previous_key, home(previous), limit, retention);
                let found = found.await;
                self.metrics.record_history_find(start.elapsed());
                let chain = found?;
                let turns = chain.turns.iter().map(|turn| &**turn);
                let prompt = assemble(turns.clone(), &input);
                if prompt.len() > limit {
                    return Err(Refused::TooLong);
                }
                ancestors = disassemble(turns, &prompt);
                (chain.partition, prompt, chain.kept_until)
            }
            None => (home(&call.id), input.clone(), Time::default()),
        };
        let turn = Turn {
            key: key(&call.id),
            previous: previous.clone(),
            program,
            input: prompt.slice(prompt.len() - input.len()..),
            output: None,
            ttl_ms: retention.as_millis() as u64,
        };
        let open = Open {
            turn,
            partition,
            ancestors: ancestors.into(),
            kept_until,
        };
        Ok((prompt, open))
    }

    /// Returns a turn with all turns before it.
    async fn find(
        &self,
        key: &Key,
        home: usize,
        limit: usize,
        retention: Duration,
    ) -> Result<Chain, Refused> {
        let cached = self.cache.borrow_mut().chain(Time::boot(), key, limit);
        let kept_until = self.cache.borrow().kept_until(key).unwrap_or_default();
        let (source, found) = match cached {
            Some((partition, Search::Found(turns))) => {
                let chain = Chain {
                    partition,
                    turns,
                    kept_until,
                };
                ("local", Ok(chain))
            }
            Some((_, Search::TooLong)) => ("local", Err(Refused::TooLong)),
            _ => self.find_at_owners(key, home, limit, retention).await,
        };
        let source = match &found {
            Ok(_) | Err(Refused::TooLong | Refused::Invalid) => source,
            Err(Refused::Unknown) => "unknown",
            Err(Refused::Unavailable) => "unavailable",
        };
        self.metrics.found_history(source);
        found
    }

    async fn find_at_owners(
        &self,
        key: &Key,
        home: usize,
        limit: usize,
        retention: Duration,
    ) -> (&'static str, Result<Chain, Refused>) {
        if !self.ready.get() {
            return ("unavailable", Err(Refused::Unavailable));
        }
        let all = 0..self.partitions.count();
        let others = all.clone().filter(|index| *index != home).collect();
        // A read to the end of all partitions is only for turns that no owner has in memory.
        let phases = [
            ("owner", vec![home], false, FIRST_TIMEOUT),
            ("others", others, false, FIRST_TIMEOUT),
            ("others", all.clone().collect(), true, ALL_TIMEOUT),
        ];
        let asked_at = Time::boot();
        let mut response = Response::Unavailable;
        for (source, indices, read, time) in phases {
            response = self.ask_owners(indices, key, limit, read, time).await;
            if matches!(response, Response::Chain { .. } | Response::TooLong) {
                return (source, self.accept(asked_at, response));
            }
        }
        if response != Response::Unknown {
            return ("others", Err(Refused::Unavailable));
        }
        match self.find_copies(key, retention).await {
            Copies::None => {}
            Copies::Uncertain => return ("others", Err(Refused::Unavailable)),
            Copies::Held(index, held) => {
                let found = self.find_before((index, held), home, limit, retention);
                return ("copies", found.await);
            }
        }
        // A copy may have been appended, and dropped, after the first read.
        let all = all.collect();
        match self.ask_owners(all, key, limit, true, ALL_TIMEOUT).await {
            Response::Unknown => ("others", Err(Refused::Unknown)),
            response @ (Response::Chain { .. } | Response::TooLong) => {
                ("others", self.accept(asked_at, response))
            }
            _ => ("others", Err(Refused::Unavailable)),
        }
    }

    /// Asks the owners of partitions for a turn, all at once; returns the first answer with turns.
    async fn ask_owners(
        &self,
        indices: Vec<usize>,
        key: &Key,
        limit: usize,
        read: bool,
        time: Duration,
    ) -> Response {
        let mut owners: Map<Option<Instance>, Vec<usize>> = Map::default();
        for index in indices {
            owners.entry(self.owner(index)).or_default().push(index);
        }
        let requests = owners.into_iter().map(|(owner, indices)| async move {
            let asked = self.ask(owner.as_ref(), indices, key, limit, read);
            let response = timeout(time, asked).await;
            response.unwrap_or(Response::Unavailable)
        });
        let mut requests: FuturesUnordered<_> = requests.collect();
        let mut merged = Response::Unknown;
        while let Some(response) = requests.next().await {
            match response {
                Response::Chain { .. } | Response::TooLong => return response,
                Response::Unknown => {}
                _ => merged = Response::Unavailable,
            }
        }
        merged
    }

    /// Asks the owner of partitions for a turn; `None` stands for this instance.
    async fn ask(
        &self,
        owner: Option<&Instance>,
        indices: Vec<usize>,
        key: &Key,
        limit: usize,
        read: bool,
    ) -> Response {
        let Some(owner) = owner else {
            return self.find_here(&indices, key, limit, read).await;
        };
        let request = Request::Find {
            partitions: indices.into_iter().map(|index| index as u32).collect(),
            key: key.clone(),
            limit: limit as u64,
            read,
        };
        let response = self.request(owner, request, ALL_TIMEOUT).await;
        response.unwrap_or(Response::Unavailable)
    }

    /// Adds turns that an owner found after `asked_at` to the cache.
    fn accept(&self, asked_at: Time, response: Response) -> Result<Chain, Refused> {
        let Response::Chain { partition, turns } = response else {
            return Err(Refused::TooLong);
        };
        let partition = self.index(partition).ok_or(Refused::Unavailable)?;
        let turns: Vec<_> = turns.into_iter().map(Rc::new).collect();
        let mut cache = self.cache.borrow_mut();
        for turn in &turns {
            cache.insert(asked_at, partition, turn.clone());
        }
        let last = turns.last().map(|turn| turn.ttl_ms);
        Ok(Chain {
            partition,
            turns,
            kept_until: asked_at + Duration::from_millis(last.unwrap_or(0)),
        })
    }

    /// Keeps a turn whose answer is complete; returns whether it is safe.
    async fn keep(&self, open: &Open, output: Option<Bytes>, deadline: Instant) -> bool {
        let (start, started_at) = (Instant::now(), Time::boot());
        let turn = Rc::new(Turn {
            // The turn must not retain the prompt.
            input: Bytes::copy_from_slice(&open.turn.input),
            output,
            ..open.turn.clone()
        });
        let kept = self.make_safe(open, &turn);
        let safety = timeout_at(deadline.into(), kept).await.ok().flatten();
        self.metrics.record_history_keep(start.elapsed());
        let outcome = match safety {
            Some(Safety::Stored) => "kept",
            Some(Safety::Held) => "held",
            None => "lost",
        };
        self.metrics.kept_history(outcome);
        if safety.is_some() {
            let mut cache = self.cache.borrow_mut();
            cache.insert(started_at, open.partition, turn);
            drop(cache);
            self.record_bytes();
        } else {
            log::warn!(
                request = &*turn.key.id, partition = open.partition;
                "history: turn can't be made safe"
            );
        }
        safety.is_some()
    }

    fn record_bytes(&self) {
        let held = self.partitions.memory() + self.cache.borrow().memory();
        self.metrics.record_history_bytes(held as u64);
    }

    /// Makes a turn safe, and before it those that it continues if their owner may have dropped them.
    async fn make_safe(&self, open: &Open, turn: &Rc<Turn>) -> Option<Safety> {
        let index = open.partition;
        let check = !open.ancestors.is_empty() && Time::boot() >= open.kept_until;
        match self.submit(index, turn, check).await {
            Submission::Safe(safety) => return Some(safety),
            Submission::Failed => return None,
            Submission::Incomplete => {}
        }
        log::info!(
            request = &*turn.key.id, partition = index, turns = open.ancestors.len();
            "history: turns before one that ended may be missing; keeping them again"
        );
        self.metrics.restored_history();
        for turn in &*open.ancestors {
            let turn = Rc::new(turn.clone());
            let Submission::Safe(_) = self.submit(index, &turn, false).await else {
                return None;
            };
        }
        match self.submit(index, turn, false).await {
            Submission::Safe(safety) => Some(safety),
            Submission::Incomplete | Submission::Failed => None,
        }
    }

    /// Has the owner of a partition make a turn safe, or does so here if it does not answer; unless
    /// `check` and the turns before it may be missing.
    async fn submit(&self, index: usize, turn: &Rc<Turn>, check: bool) -> Submission {
        let Some(owner) = self.owner(index) else {
            return self.submit_here(index, turn, check).await;
        };
        if !self.avoids(&owner) {
            let request = Request::Keep {
                partition: index as u32,
                turn: Turn::clone(turn),
                check,
            };
            match self.request(&owner, request, OWNER_TIMEOUT).await {
                Some(Response::Kept(safety)) => return Submission::Safe(safety),
                Some(Response::Incomplete) => return Submission::Incomplete,
                Some(_) => {}
                None => self.avoid(&owner),
            }
        }
        // Only the owner knows what it dropped.
        match check {
            true => Submission::Incomplete,
            false => self.append_here(index, turn).await,
        }
    }

    /// Makes a turn safe as the owner of its partition, unless `check` and a turn before it is missing.
    async fn submit_here(&self, index: usize, turn: &Rc<Turn>, check: bool) -> Submission {
        if check && !self.partitions.retain_ancestors(index, turn) {
            return Submission::Incomplete;
        }
        self.append_here(index, turn).await
    }

    async fn append_here(&self, index: usize, turn: &Rc<Turn>) -> Submission {
        let safety = self.secure(index, turn).await;
        safety.map_or(Submission::Failed, Submission::Safe)
    }

    /// Appends a turn; has other instances hold copies if the store does not answer.
    async fn secure(&self, index: usize, turn: &Rc<Turn>) -> Option<Safety> {
        if self.partitions.is_stored(index, &turn.key) {
            self.partitions.retain(index, &turn.key);
            return Some(Safety::Stored);
        }
        let mut stored = self.partitions.append(index, turn.clone())?;
        let delay = match (self.partitions.is_failing(index), self.path.is_failing()) {
            (true, _) => Duration::ZERO,
            (false, true) => HELP_DELAY,
            (false, false) => HOLD_DELAY,
        };
        if let Ok(Ok(())) = timeout(delay, &mut stored).await {
            return Some(Safety::Stored);
        }
        let held = std::pin::pin!(self.hold_elsewhere(index, turn));
        match select(stored, held).await {
            Either::Left((Ok(()), _)) => Some(Safety::Stored),
            Either::Left((Err(_), held)) => held.await.then_some(Safety::Held),
            Either::Right((true, _)) => {
                self.partitions.announce(index, turn.clone());
                Some(Safety::Held)
            }
            Either::Right((false, stored)) => stored.await.ok().map(|()| Safety::Stored),
        }
    }

    /// Has other instances hold copies of a turn, in other zones if there are such; returns whether
    /// enough of them do.
    ///
    /// Those that would own the partition next come first, so that a new owner knows the turn.
    async fn hold_elsewhere(&self, index: usize, turn: &Rc<Turn>) -> bool {
        let mut copies: Vec<Instance> = Vec::new();
        for _ in 0..MAX_HOLD_ROUNDS {
            let mut candidates = self.holders(index);
            candidates.retain(|name| !copies.contains(name));
            let mut candidates = candidates.into_iter();
            let ask = |name: Instance| async {
                let (partition, turn) = (index as u32, Turn::clone(turn));
                let request = Request::Hold { partition, turn };
                let response = self.request(&name, request, HOLD_TIMEOUT).await;
                matches!(response, Some(Response::Kept(_))).then_some(name)
            };
            let first = candidates.by_ref().take(HOLDERS - copies.len());
            let mut requests: FuturesUnordered<_> = first.map(ask).collect();
            while let Some(held) = requests.next().await {
                match held {
                    Some(name) => copies.push(name),
                    None => requests.extend(candidates.next().map(ask)),
                }
                if copies.len() == HOLDERS {
                    return true;
                }
            }
            sleep(HOLD_PAUSE).await;
        }
        false
    }

    /// Returns instances to hold copies.
    fn holders(&self, index: usize) -> Vec<Instance> {
        let (others, _) = self.ranking(index);
        let Some(peers) = self.peers.borrow().clone() else {
            return Vec::new();
        };
        let snapshot = peers.roster.snapshot();
        let several = snapshot.zones().count() > 1;
        holders(others, &snapshot.local().zone, several)
    }

    /// Appends a turn for another instance, or holds a copy of it.
    async fn hold(&self, index: usize, turn: Rc<Turn>) -> Response {
        let Some(stored) = self.partitions.append(index, turn.clone()) else {
            return Response::Unavailable;
        };
        self.partitions.announce(index, turn);
        if !self.partitions.is_failing(index) {
            if let Ok(Ok(())) = timeout(HOLDER_WAIT, stored).await {
                return Response::Kept(Safety::Stored);
            }
        }
        Response::Kept(Safety::Held)
    }

    fn avoids(&self, owner: &Instance) -> bool {
        let until = self.avoided.borrow().get(owner).copied();
        until.is_some_and(|until| Time::monotonic() < until)
    }

    fn avoid(&self, owner: &Instance) {
        log::warn!(
            home = owner.as_str();
            "history: partition owner did not answer in time; appending turns here for a while"
        );
        let now = Time::monotonic();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| *until > now);
        avoided.insert(owner.clone(), now + AVOID_TIME);
    }

    /// Returns the state of all partitions.
    pub fn report(&self) -> Report {
        let columns = ["partition", "owner", "state", "turns", "bytes", "waiting"];
        let mut report = Report::new(&columns);
        for index in 0..self.partitions.count() {
            let status = self.partitions.status(index);
            let owner = self.owner(index);
            let state = match (status.owned, status.loaded) {
                (true, true) => "owned",
                (true, false) => "reading",
                (false, _) => "other",
            };
            report.rows.push(vec![
                index.to_string(),
                owner.map_or("this instance".into(), |owner| owner.to_string()),
                state.into(),
                status.turns.to_string(),
                status.bytes.to_string(),
                status.waiting.to_string(),
            ]);
        }
        report
    }
}

/// Returns the result of a search in several partitions.
fn merge(responses: Vec<Response>) -> Response {
    let mut merged = Response::Unknown;
    for response in responses {
        match response {
            Response::Chain { .. } | Response::TooLong => return response,
            Response::Unknown => {}
            _ => merged = Response::Unavailable,
        }
    }
    merged
}

/// Collects the output of a turn and keeps the turn at its end.
///
/// The output of a stream that broke off at the caller stays for a while, as the caller may take it
/// up again.
pub struct Recorder<L: Log + 'static> {
    histories: Rc<Histories<L>>,
    open: Open,
    /// Output so far; `None` if earlier events were sent by another instance.
    output: Option<Output>,
    kept: bool,
}

impl<L: Log + 'static> Recorder<L> {
    /// Starts to collect the output of a turn, or what follows the event after which the caller takes
    /// its stream up.
    pub fn new(histories: Rc<Histories<L>>, open: Open, call: &Call) -> Self {
        let output = match (call.after, &call.resumes) {
            (None, _) => Some(Output::default()),
            (Some(after), Some(request)) => {
                let broken = histories.broken.borrow();
                broken.find(open.turn.key.tenant.as_ref(), request, after)
            }
            (Some(_), None) => None,
        };
        Self {
            histories,
            open,
            output,
            kept: false,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, id: u64, event: &[u8]) {
        if let Some(output) = &mut self.output {
            output.push(id, event);
        }
    }

    /// Keeps the turn; returns whether it is safe.
    ///
    /// A turn without its whole output is kept too, so that it is not unknown later.
    pub async fn keep(&mut self, deadline: Instant) -> bool {
        let output = self.output.clone().map(Output::into_data);
        self.kept = self.histories.keep(&self.open, output, deadline).await;
        self.kept
    }
}

impl<L: Log + 'static> Drop for Recorder<L> {
    fn drop(&mut self) {
        if self.kept {
            return;
        }
        if let Some(output) = self.output.take().filter(|output| !output.is_empty()) {
            let key = self.open.turn.key.clone();
            self.histories.broken.borrow_mut().keep(key, output);
        }
    }
}

/// Returns the other instances that run or may run, as far as is known.
fn others(peers: &Peers) -> Vec<Instance> {
    let snapshot = peers.roster.snapshot();
    let running = snapshot.peers().filter(|peer| peer.status != Status::Gone);
    running.map(|peer| peer.entry.instance.clone()).collect()
}

/// Returns instances to hold copies, of those that are `usable` in the order in which they take over,
/// alternating between the other zones. Those of the local zone hold copies only if it is the only one
/// known: if it is cut off from the `several` others, they do not learn of the turns until it is back.
pub fn holders(usable: Vec<(Instance, Zone)>, local: &Zone, several: bool) -> Vec<Instance> {
    let mut zones: Map<Zone, usize> = Map::default();
    let eligible = usable.into_iter().enumerate();
    let eligible = eligible.filter(|(_, (_, zone))| !several || zone != local);
    let mut ordered: Vec<_> = eligible
        .map(|(rank, (name, zone))| {
            let round = zones.entry(zone).or_default();
            *round += 1;
            (*round, rank, name)
        })
        .collect();
    ordered.sort();
    let names = ordered.into_iter().map(|(_, _, name)| name);
    names.take(MAX_HOLDER_REQUESTS).collect()
}
