//! Partitions of the topic of turns: the records of the log, and the turns to append.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{
        oneshot,
        Mutex,
        Notify, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    bounds::{
        Bounds,
        MAX_QUEUED_BYTES, //
    },
    tree::{
        Place,
        Search,
        Tree, //
    },
    turn::{
        encode,
        Decoder,
        Key,
        Turn, //
    },
};
use crate::{
    clock::Time,
    gateway::path::Path,
    log::{
        Failure,
        Log, //
    },
    process::task,
};

/// Maximum records of one append in bytes; keeps it below the log's limit of 2 MiB.
const MAX_BATCH_BYTES: usize = 1_500_000;

/// Time between retries of an append; bounds how late a recovered store is noticed.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a query for the read of the partition to its end.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which turns of a partition are kept in memory after it got another owner.
const RELEASE_TIME: Duration = Duration::from_secs(10);

/// Time after which parts of a turn without the other parts are dropped.
const PARTS_TIME: Duration = Duration::from_secs(75);

/// Time for which turns may be missing from memory after it was full: the longest retention that
/// deployments use, with a margin.
const OVERFLOW_TIME: Duration = Duration::from_secs(120);

/// Age in the log from which on a turn that is still needed is appended again: half of the topic's
/// retention of 300 s.
const RENEW_AGE_MS: u64 = 150_000;

/// A turn to append.
struct Waiting {
    turn: Rc<Turn>,
    /// Notified once it is in the log.
    stored: Vec<oneshot::Sender<()>>,
}

#[derive(Default)]
struct Partition {
    tree: RefCell<Tree>,
    decoder: RefCell<Decoder>,
    /// Turns to append; those of the append in progress stay at the front.
    queue: RefCell<VecDeque<Waiting>>,
    wake: Notify,
    /// Offset of the next record to apply.
    applied: Cell<u64>,
    /// Whether the log was read from its oldest record to its end.
    loaded: Cell<bool>,
    /// Whether this instance owns the partition.
    owned: Cell<bool>,
    /// Time at which the partition got another owner.
    released: Cell<Time>,
    /// Whether the latest append failed.
    failing: Cell<bool>,
    /// Number of the latest read to the end that was completed. The lock admits one reader.
    completed: Mutex<u64>,
    /// Number of the latest read to the end that was begun.
    begun: Cell<u64>,
    /// Latest time at which a turn was left out because memory was full.
    overflowed: Cell<Option<Time>>,
    /// Offset below which the log was trimmed.
    trimmed: Cell<u64>,
}

/// All partitions.
pub struct Partitions<L> {
    path: Rc<Path<L>>,
    partitions: Vec<Rc<Partition>>,
    queued_bytes: Cell<usize>,
    /// Maximum memory of the turns of owned partitions.
    max_memory: Cell<usize>,
    /// Maximum memory of the turns that wait to be appended, in an outage for its whole time.
    max_queued: Cell<usize>,
}

/// State of a partition, for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Whether this instance owns it.
    pub owned: bool,
    /// Whether it was read to its end.
    pub loaded: bool,
    /// Turns in memory.
    pub turns: usize,
    /// Memory of the turns.
    pub bytes: usize,
    /// Turns to append.
    pub waiting: usize,
}

/// Returns the wall-clock time in milliseconds.
fn wall_ms() -> u64 {
    Time::now().0 / 1_000
}

impl<L: Log + 'static> Partitions<L> {
    /// Returns partitions of which nothing was read.
    pub fn new(path: Rc<Path<L>>, count: u32, max_memory: usize) -> Self {
        Self {
            path,
            partitions: (0..count.max(1)).map(|_| Rc::default()).collect(),
            queued_bytes: Cell::new(0),
            max_memory: Cell::new(max_memory),
            max_queued: Cell::new(MAX_QUEUED_BYTES),
        }
    }

    /// Reduces the memory for turns to what these bounds allow.
    pub fn restrict(&self, bounds: &Bounds) {
        let max_memory = self.max_memory.get().min(bounds.owned);
        self.max_memory.set(max_memory);
        self.max_queued.set(bounds.queued);
    }

    /// Returns the number of partitions.
    pub fn count(&self) -> usize {
        self.partitions.len()
    }

    /// Returns the state of a partition.
    pub fn status(&self, index: usize) -> Status {
        let partition = &self.partitions[index];
        let tree = partition.tree.borrow();
        Status {
            owned: partition.owned.get(),
            loaded: partition.loaded.get(),
            turns: tree.len(),
            bytes: tree.memory(),
            waiting: partition.queue.borrow().len(),
        }
    }

    /// Returns the memory of all turns, about.
    pub fn memory(&self) -> usize {
        let trees = self.partitions.iter();
        let trees: usize = trees
            .map(|partition| partition.tree.borrow().memory() + partition.decoder.borrow().memory())
            .sum();
        trees + self.queued_bytes.get()
    }

    /// Returns whether turns wait to be appended.
    pub fn pending(&self) -> bool {
        self.queued_bytes.get() > 0
    }

    /// Records whether this instance owns a partition, and reads a new one.
    pub fn set_owned(self: &Rc<Self>, index: usize, owned: bool) {
        let partition = &self.partitions[index];
        if partition.owned.replace(owned) == owned {
            return;
        }
        if !owned {
            return partition.released.set(Time::monotonic());
        }
        for waiting in &*partition.queue.borrow() {
            self.insert(partition, waiting.turn.clone(), None);
        }
        let this = self.clone();
        task::supervise_until_end("history-load", move || this.clone().load(index));
    }

    async fn load(self: Rc<Self>, index: usize) {
        while self.partitions[index].must_load() {
            if let Err(failure) = self.read_to_end(index).await {
                log::warn!(
                    partition = index, failure:%;
                    "history: partition can't be read from the log; retrying"
                );
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Adds a turn to the memory of a partition that this instance owns.
    fn insert(&self, partition: &Partition, turn: Rc<Turn>, place: Option<Place>) {
        let now = Time::monotonic();
        if place.is_some() && self.memory() + turn.memory() > self.max_memory.get() {
            if partition.overflowed.replace(Some(now)).is_none() {
                log::warn!(
                    "history: memory for turns is full; new ones can't be found here for a while"
                );
            }
            return;
        }
        partition.tree.borrow_mut().insert(now, turn, place);
    }

    /// Returns whether a turn is known to be in the log.
    pub fn is_stored(&self, index: usize, key: &Key) -> bool {
        self.partitions[index].tree.borrow().is_stored(key)
    }

    /// Keeps a turn in memory for as long as a new one.
    pub fn retain(&self, index: usize, key: &Key) {
        let mut tree = self.partitions[index].tree.borrow_mut();
        tree.retain(Time::monotonic(), key);
    }

    /// Returns whether all turns before a turn are in memory; if they are, keeps them there for as long
    /// as new ones.
    pub fn retain_ancestors(&self, index: usize, turn: &Turn) -> bool {
        let mut tree = self.partitions[index].tree.borrow_mut();
        turn.parent().is_none_or(|parent| {
            let found = tree.chain(Time::monotonic(), &parent, usize::MAX);
            matches!(found, Search::Found(_))
        })
    }

    /// Returns whether the latest append to a partition failed.
    pub fn is_failing(&self, index: usize) -> bool {
        self.partitions[index].failing.get()
    }

    /// Queues a turn for the log; the receiver is notified once it is there. `None` if too many turns
    /// wait.
    pub fn append(&self, index: usize, turn: Rc<Turn>) -> Option<oneshot::Receiver<()>> {
        if self.queued_bytes.get() + turn.memory() > self.max_queued.get() {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.enqueue(index, turn, Some(sender));
        Some(receiver)
    }

    fn enqueue(&self, index: usize, turn: Rc<Turn>, stored: Option<oneshot::Sender<()>>) {
        let partition = &self.partitions[index];
        let mut queue = partition.queue.borrow_mut();
        let mut waiting = queue.iter_mut();
        if let Some(waiting) = waiting.find(|waiting| waiting.turn.key == turn.key) {
            return waiting.stored.extend(stored);
        }
        let queued_bytes = self.queued_bytes.get() + turn.memory();
        self.queued_bytes.set(queued_bytes);
        let stored = stored.into_iter().collect();
        queue.push_back(Waiting { turn, stored });
        partition.wake.notify_one();
    }

    /// Returns a turn that waits to be appended, after those before it that wait too, oldest first,
    /// with its partition.
    pub fn find_waiting(&self, key: &Key) -> Option<(usize, Vec<Rc<Turn>>)> {
        let waiting = |index: usize, key: &Key| {
            let queue = self.partitions[index].queue.borrow();
            let mut turns = queue.iter().map(|waiting| &waiting.turn);
            turns.find(|turn| turn.key == *key).cloned()
        };
        let mut found = (0..self.partitions.len()).filter_map(|index| {
            let last = waiting(index, key)?;
            Some((index, last))
        });
        let (index, last) = found.next()?;
        let mut chain = vec![last];
        // A caller that uses an identifier twice may close a cycle.
        let most = self.partitions[index].queue.borrow().len();
        while let Some(turn) = chain.last().and_then(|turn| turn.parent()) {
            match waiting(index, &turn) {
                Some(turn) if chain.len() < most => chain.push(turn),
                _ => break,
            }
        }
        chain.reverse();
        Some((index, chain))
    }

    /// Makes a turn that is not in the log yet known to queries of a partition that this instance owns.
    pub fn announce(&self, index: usize, turn: Rc<Turn>) {
        let partition = &self.partitions[index];
        if partition.owned.get() {
            self.insert(partition, turn, None);
        }
    }

    /// Appends the turns of a partition; never returns.
    pub async fn run(self: Rc<Self>, index: usize) {
        let partition = &self.partitions[index];
        loop {
            while partition.queue.borrow().is_empty() {
                partition.wake.notified().await;
            }
            let appended_ms = wall_ms();
            let (mut turns, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
            for waiting in &*partition.queue.borrow() {
                let encoded = encode(&waiting.turn, appended_ms);
                bytes += encoded.iter().map(Bytes::len).sum::<usize>();
                if bytes > MAX_BATCH_BYTES && !turns.is_empty() {
                    break;
                }
                turns.push((waiting.turn.clone(), records.len()));
                records.extend(encoded);
            }
            match self.append_records(index, &records).await {
                Ok(offsets) => {
                    partition.failing.set(false);
                    self.record_appended(index, &turns, &offsets, appended_ms);
                }
                Err(failure) => {
                    if !partition.failing.replace(true) {
                        log::warn!(
                            partition = index, failure:%;
                            "history: turns can't be appended to the log; retrying"
                        );
                    }
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Appends records, in several calls if they are too long for one; returns their offsets.
    async fn append_records(&self, index: usize, records: &[Bytes]) -> Result<Vec<u64>, Failure> {
        let mut offsets = Vec::new();
        let mut rest = records;
        while !rest.is_empty() {
            let mut bytes = 0;
            let fitting = rest.iter().take_while(|record| {
                bytes += record.len();
                bytes <= MAX_BATCH_BYTES
            });
            let (call, later) = rest.split_at(fitting.count().max(1));
            let offset = self.path.append(index as u32, call, true).await?;
            offsets.extend((offset..).take(call.len()));
            rest = later;
        }
        Ok(offsets)
    }

    /// Records that the first turns of the queue are in the log.
    fn record_appended(
        self: &Rc<Self>,
        index: usize,
        turns: &[(Rc<Turn>, usize)],
        offsets: &[u64],
        appended_ms: u64,
    ) {
        let partition = &self.partitions[index];
        if partition.owned.get() {
            for (turn, first) in turns {
                let offset = offsets[*first];
                let place = Place {
                    offset,
                    appended_ms,
                };
                self.insert(partition, turn.clone(), Some(place));
            }
            let (first, end) = (offsets[0], offsets[offsets.len() - 1] + 1);
            let contiguous = end - first == offsets.len() as u64;
            if partition.loaded.get() && contiguous && partition.applied.get() == first {
                partition.applied.set(end);
            } else if partition.loaded.get() {
                let this = self.clone();
                actix_web::rt::spawn(async move {
                    if let Err(failure) = this.read_to_end(index).await {
                        log::debug!(partition = index, failure:%; "history: gap can't be read yet");
                    }
                });
            }
        }
        let mut queue = partition.queue.borrow_mut();
        for waiting in queue.drain(..turns.len()) {
            let queued_bytes = self.queued_bytes.get() - waiting.turn.memory();
            self.queued_bytes.set(queued_bytes);
            for stored in waiting.stored {
                // The caller may have left.
                let _ = stored.send(());
            }
        }
    }

    /// Applies all records up to the end that the log has at the time of the call.
    ///
    /// Calls at the same time share a read, but only one that began after them.
    pub async fn read_to_end(&self, index: usize) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let needed = partition.begun.get() + 1;
        let mut completed = partition.completed.lock().await;
        if *completed >= needed {
            return Ok(());
        }
        partition.begun.set(partition.begun.get() + 1);
        let number = partition.begun.get();
        let first = partition.applied.get();
        while self.follow(index).await? {}
        if !partition.loaded.replace(true) {
            let records = partition.applied.get() - first;
            log::info!(partition = index, records; "history: partition was read to its end");
        }
        *completed = number;
        Ok(())
    }

    /// Reads once and applies the records; returns whether more may follow.
    async fn follow(&self, index: usize) -> Result<bool, Failure> {
        let partition = &self.partitions[index];
        let from = partition.applied.get();
        let batch = match self.path.read(index as u32, from, true).await {
            Ok(batch) => batch,
            Err(Failure::Expired { begin }) if begin > from => {
                partition.applied.set(partition.applied.get().max(begin));
                return Ok(true);
            }
            Err(failure) => return Err(failure),
        };
        let now = Time::monotonic();
        for (offset, record) in &batch.records {
            let decoded = partition.decoder.borrow_mut().decode(now, *offset, record);
            match decoded {
                Ok(Some(stored)) => {
                    let place = Place {
                        offset: stored.offset,
                        appended_ms: stored.appended_ms,
                    };
                    self.insert(partition, Rc::new(stored.turn), Some(place));
                }
                Ok(None) => {}
                Err(error) => log::error!(
                    partition = index, offset, error:%;
                    "history: record can't be decoded and is skipped"
                ),
            }
        }
        let applied = partition.applied.get().max(batch.next);
        partition.applied.set(applied);
        // Without records, another instance read where the log has none any more.
        Ok(batch.next > from)
    }

    /// Searches the memory of a partition; `None` if the turns are not there.
    pub fn find_in_memory(&self, index: usize, key: &Key, limit: usize) -> Option<Search> {
        let mut tree = self.partitions[index].tree.borrow_mut();
        match tree.chain(Time::monotonic(), key, limit) {
            Search::Unknown | Search::Incomplete => None,
            found => Some(found),
        }
    }

    /// Searches a partition for a turn and all turns before it; `None` if the result is not certain.
    ///
    /// A turn is unknown only after the partition was read to its end, as other instances may have
    /// appended turns.
    pub async fn find(&self, index: usize, key: &Key, limit: usize) -> Option<Search> {
        let partition = &self.partitions[index];
        if !partition.owned.get() && !partition.loaded.get() {
            return None;
        }
        if let Some(found) = self.find_in_memory(index, key, limit) {
            return Some(found);
        }
        let chain = || {
            let now = Time::monotonic();
            partition.tree.borrow_mut().chain(now, key, limit)
        };
        let read = timeout(READ_TIMEOUT, self.read_to_end(index)).await;
        if !matches!(read, Ok(Ok(()))) {
            return None;
        }
        let reason = match chain() {
            Search::Incomplete => "a turn before it, or an output, is missing",
            Search::Unknown if partition.overflowed.get().is_some() => "memory was full",
            found => return Some(found),
        };
        log::debug!(partition = index, turn = &*key.id, reason; "history: turn can't be found");
        None
    }

    /// Drops turns that are no longer needed, in memory and in the log, and appends turns again that
    /// the log is about to drop.
    ///
    /// Unless it is `certain` that no turn is missing in the log, nothing is dropped while there is
    /// space, as a missing turn may continue one that is not needed otherwise.
    pub async fn maintain(&self, certain: bool) {
        let drops = certain || self.memory() > self.max_memory.get() / 2;
        for index in 0..self.partitions.len() {
            let partition = &self.partitions[index];
            let now = Time::monotonic();
            if !partition.owned.get() {
                if now.since(partition.released.get()) >= RELEASE_TIME {
                    partition.release();
                }
                continue;
            }
            if !partition.loaded.get() || !drops {
                continue;
            }
            // Other instances may have appended turns that continue older ones.
            if self.read_to_end(index).await.is_err() {
                continue;
            }
            self.drop_unneeded(index).await;
        }
    }

    async fn drop_unneeded(&self, index: usize) {
        let partition = &self.partitions[index];
        let now = Time::monotonic();
        let before = partition.tree.borrow().len();
        let parts_floor = partition.sweep(now);
        let dropped = before - partition.tree.borrow().len();
        log::debug!(partition = index, dropped; "history: turns that are no longer needed are dropped");
        self.renew(index);
        match partition.overflowed.get() {
            Some(at) if now.since(at) < OVERFLOW_TIME => return,
            Some(_) => partition.overflowed.set(None),
            None => {}
        }
        // A turn that was left out of memory may be needed by one that is there.
        if partition.tree.borrow().is_broken() {
            return;
        }
        let floor = partition.tree.borrow().floor();
        let floors = [floor, parts_floor, Some(partition.applied.get())];
        let floor = floors.into_iter().flatten().min().unwrap_or(0);
        if floor <= partition.trimmed.get() {
            return;
        }
        match self.path.trim_directly(index as u32, floor).await {
            Some(Ok(())) => partition.trimmed.set(floor),
            Some(Err(failure)) => log::debug!(
                partition = index, failure:%;
                "history: log can't be trimmed; retrying later"
            ),
            None => {}
        }
    }
}

impl<L: Log + 'static> Partitions<L> {
    /// Appends turns again that the log is about to drop.
    fn renew(&self, index: usize) {
        let partition = &self.partitions[index];
        let before_ms = wall_ms().saturating_sub(RENEW_AGE_MS);
        let old = partition.tree.borrow().appended_before(before_ms);
        for turn in old {
            if self.queued_bytes.get() + turn.memory() <= self.max_queued.get() {
                self.enqueue(index, turn, None);
            }
        }
    }
}

impl Partition {
    /// Drops what is no longer needed; returns the lowest offset of a turn that is read in part.
    fn sweep(&self, now: Time) -> Option<u64> {
        self.tree.borrow_mut().sweep(now);
        let mut decoder = self.decoder.borrow_mut();
        decoder.expire(now - PARTS_TIME);
        decoder.floor()
    }

    fn must_load(&self) -> bool {
        self.owned.get() && !self.loaded.get()
    }

    /// Drops all turns but those that wait to be appended.
    fn release(&self) {
        // A read that goes on would make the rest of the partition count as all of it.
        let Ok(_reading) = self.completed.try_lock() else {
            return;
        };
        if self.loaded.replace(false) || self.applied.get() > 0 {
            self.applied.set(0);
            self.decoder.take();
            self.overflowed.set(None);
        }
        self.tree.take();
    }
}
