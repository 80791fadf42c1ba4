//! Keeps the token accounts of programs in the log.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    mem,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{
        oneshot,
        Notify, //
    },
    time::{
        sleep,
        timeout, //
    }, //
};

use super::account::{
    Book,
    Entry,
    Program,
    Turn,
    Verdict, //
};
use crate::{
    clock::Time,
    hash,
    log::{
        Failure,
        Log, //
    },
};

/// Longest time for which ended turns wait for a new one to share an append with.
const GATHER: Duration = Duration::from_millis(300);

/// Time between tries while the log can't be reached; a store that is back is noticed in as long.
const RETRY: Duration = Duration::from_millis(250);

/// Records of one append; far below the log's bound of 2 MiB.
const BATCH: usize = 2_000;

/// Turns' most that have to be left for a turn to start before the log has its record.
const HEADROOM: u64 = 4;

/// Time between sweeps of forgotten programs.
const SWEEP: Duration = Duration::from_secs(20);

/// Answer to a turn that asks to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The turn may run.
    Granted,
    /// The budget is spent.
    Spent,
    /// The account is not known here and the log can't be reached.
    Unavailable,
}

impl From<Verdict> for Answer {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Granted => Self::Granted,
            Verdict::Spent => Self::Spent,
        }
    }
}

/// A turn that asked to run.
pub struct Request {
    /// Answer that holds over all instances.
    pub answer: oneshot::Receiver<Answer>,
    /// Whether the turn is so far from the end of the budget that it may start meanwhile. No
    /// token may be handed out before the answer.
    pub likely: bool,
}

struct Open {
    entry: Entry,
    program: Program,
    turn: Turn,
    reply: oneshot::Sender<Answer>,
}

struct Partition {
    book: RefCell<Book>,
    opens: RefCell<Vec<Open>>,
    /// Records that the log has to get, and that need no answer.
    backlog: RefCell<VecDeque<Entry>>,
    wake: Notify,
    /// Offset of the next record to apply.
    applied: Cell<u64>,
    /// Whether all records that were in the log at the start have been applied.
    loaded: Cell<bool>,
    /// Whether the latest call to the log failed.
    offline: Cell<bool>,
}

/// Accounts of programs; clones share them.
pub struct Keeper<L> {
    log: L,
    partitions: Vec<Partition>,
}

fn identify(program: &str) -> Program {
    hash::stable(program.as_bytes())
}

fn encode(entry: &Entry) -> Bytes {
    let mut bytes = Vec::with_capacity(48);
    ciborium::into_writer(entry, &mut bytes).expect("an entry is always serialisable to memory");
    bytes.into()
}

impl<L: Log + 'static> Keeper<L> {
    /// Returns accounts that are kept in the partitions of a log.
    pub fn new(log: L, partitions: u32) -> Self {
        let partition = |_| Partition {
            book: RefCell::default(),
            opens: RefCell::default(),
            backlog: RefCell::default(),
            wake: Notify::new(),
            applied: Cell::new(0),
            loaded: Cell::new(false),
            offline: Cell::new(false),
        };
        Self {
            log,
            partitions: (0..partitions.max(1)).map(partition).collect(),
        }
    }

    fn partition(&self, program: Program) -> &Partition {
        &self.partitions[(program % self.partitions.len() as u64) as usize]
    }

    /// Returns whether the accounts of before the start are known.
    pub fn loaded(&self) -> bool {
        self.partitions
            .iter()
            .all(|partition| partition.loaded.get())
    }

    /// Asks whether a turn may run.
    pub fn open(&self, program: &str, turn: Turn, most: u64, budget: u64) -> Request {
        let program = identify(program);
        let partition = self.partition(program);
        let (reply, answer) = oneshot::channel();
        let entry = Entry::Open {
            program,
            turn,
            most,
            budget,
            forced: false,
        };
        let open = Open {
            entry,
            program,
            turn,
            reply,
        };
        let headroom = most.saturating_mul(HEADROOM);
        let likely = partition.loaded.get()
            && partition.book.borrow().expect(program, headroom, budget) == Verdict::Granted;
        if partition.offline.get() {
            partition.decide_offline(open);
        } else {
            partition.opens.borrow_mut().push(open);
        }
        partition.wake.notify_one();
        Request { answer, likely }
    }

    /// Notes that a turn that may have run has ended, after it handed out `used` tokens.
    pub fn close(&self, program: &str, turn: Turn, used: u64) {
        let program = identify(program);
        let partition = self.partition(program);
        let entry = Entry::Close {
            program,
            turn,
            used,
        };
        partition.book.borrow_mut().apply(Time::monotonic(), &entry);
        partition.backlog.borrow_mut().push_back(entry);
        partition.wake.notify_one();
    }

    /// Returns whether records wait for the log.
    pub fn pending(&self) -> bool {
        let waits = |partition: &Partition| {
            !partition.backlog.borrow().is_empty() || !partition.opens.borrow().is_empty()
        };
        self.partitions.iter().any(waits)
    }

    /// Keeps all partitions; never returns.
    pub async fn run(self: Rc<Self>) {
        for index in 0..self.partitions.len() {
            let keeper = self.clone();
            actix_web::rt::spawn(async move { keeper.keep(index).await });
        }
        loop {
            sleep(SWEEP).await;
            let now = Time::monotonic();
            for partition in &self.partitions {
                partition.book.borrow_mut().forget(now);
            }
        }
    }

    async fn keep(&self, index: usize) {
        let partition = &self.partitions[index];
        while let Err(failure) = self.load(index).await {
            log::warn!(partition = index, failure:%; "account: partition can't be loaded");
            partition.fail();
            sleep(RETRY).await;
        }
        partition.loaded.set(true);
        partition.offline.set(false);
        loop {
            partition.gather().await;
            let opens = mem::take(&mut *partition.opens.borrow_mut());
            let count = partition.backlog.borrow().len().min(BATCH);
            let entries: Vec<_> = {
                let backlog = partition.backlog.borrow();
                let closes = backlog.iter().take(count).copied();
                closes.chain(opens.iter().map(|open| open.entry)).collect()
            };
            match self.commit(index, &entries).await {
                Ok(()) => {
                    partition.backlog.borrow_mut().drain(..count);
                    if partition.offline.replace(false) {
                        log::info!(partition = index; "account: log is reachable again");
                    }
                    opens.into_iter().for_each(|open| partition.answer(open));
                }
                Err(failure) => {
                    if !partition.offline.replace(true) {
                        log::warn!(partition = index, failure:%; "account: log can't be reached");
                    }
                    for open in opens {
                        partition.decide_offline(open);
                    }
                    partition.fail();
                    sleep(RETRY).await;
                }
            }
        }
    }

    /// Applies all records that the log has now.
    async fn load(&self, index: usize) -> Result<(), Failure> {
        loop {
            let before = self.partitions[index].applied.get();
            self.follow(index).await?;
            if self.partitions[index].applied.get() == before {
                return Ok(());
            }
        }
    }

    /// Applies the records that one read returns.
    async fn follow(&self, index: usize) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let from = partition.applied.get();
        match self.log.read(index as u32, from, Duration::ZERO).await {
            Ok(batch) => {
                let now = Time::monotonic();
                let mut book = partition.book.borrow_mut();
                for (offset, record) in &batch.records {
                    match ciborium::from_reader::<Entry, _>(&record[..]) {
                        Ok(entry) => book.apply(now, &entry),
                        Err(error) => {
                            log::error!(partition = index, offset, error:%; "account: record is invalid");
                        }
                    }
                }
                partition.applied.set(batch.next);
                Ok(())
            }
            Err(Failure::Expired { begin }) => {
                partition.applied.set(begin.max(from));
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }

    /// Appends records and applies all up to them.
    async fn commit(&self, index: usize, entries: &[Entry]) -> Result<(), Failure> {
        let partition = &self.partitions[index];
        let records: Vec<_> = entries.iter().map(encode).collect();
        let offset = self.log.append(index as u32, &records).await?;
        let end = offset + entries.len() as u64;
        if partition.applied.get() == offset {
            let now = Time::monotonic();
            let mut book = partition.book.borrow_mut();
            entries.iter().for_each(|entry| book.apply(now, entry));
            partition.applied.set(end);
        }
        while partition.applied.get() < end {
            self.follow(index).await?;
        }
        Ok(())
    }
}

impl Partition {
    /// Waits until an append is due.
    async fn gather(&self) {
        while self.opens.borrow().is_empty() && self.backlog.borrow().is_empty() {
            self.wake.notified().await;
        }
        let opened = async {
            while self.opens.borrow().is_empty() {
                self.wake.notified().await;
            }
        };
        // Without a new turn the records of ended ones go alone.
        let _ = timeout(GATHER, opened).await;
    }

    fn answer(&self, open: Open) {
        let verdict = self.book.borrow().verdict(open.program, open.turn);
        // The caller may have left.
        let _ = open
            .reply
            .send(verdict.map_or(Answer::Unavailable, Answer::from));
    }

    /// Refuses a turn while the log can't be reached: another instance may have spent the budget.
    fn decide_offline(&self, open: Open) {
        // The caller may have left.
        let _ = open.reply.send(Answer::Unavailable);
    }

    /// Answers the turns that wait while the log can't be reached.
    fn fail(&self) {
        self.offline.set(true);
        let opens = mem::take(&mut *self.opens.borrow_mut());
        opens.into_iter().for_each(|open| self.decide_offline(open));
    }
}
