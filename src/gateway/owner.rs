//! Ownership of partitions: each has one owner, to which all instances send their requests.
//!
//! The order of the log decides. The owner saves reads, because it appends nearly all records of
//! its partitions itself, and it can continue during an outage of the log, because all turns of
//! its partitions are decided by it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::oneshot,
    time::timeout, //
};

use super::{
    account::{
        Ask,
        Entry,
        Program,
        Turn, //
    },
    outage::Outage,
    peers::Peers,
    replica::{
        self,
        Keeper,
        Request, //
    },
};
use crate::{
    clock::Time,
    hash::{
        self,
        Map, //
    },
    log::Log,
    name::Instance,
    peer::{
        wire::Body,
        Handler,
        Responder, //
    },
    policy::recent::Recent,
};

/// Time without an answer of the owner after which the log is used as well; a slow store takes
/// 240 ms.
const HEDGE: Duration = Duration::from_millis(400);

/// Response time of the owner from which on turns start before the decision. An owner answers in
/// about 10 ms, and in 300 ms while the store is slow; a refused run costs more than a short wait.
const SLOW: Duration = Duration::from_millis(40);

/// Timeout of a request to the owner, which may have to determine the extent of an outage first.
const ASK: Duration = Duration::from_millis(1_700);

/// Time for which an owner that did not answer gets no requests; after it, all instances have
/// learned that a dead owner is gone.
const AVOID: Duration = Duration::from_secs(3);

/// Maximum programs whose charge is cached; a program lasts for seconds.
const PROGRAMS: usize = 4_096;

/// Request of another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Question {
    /// Decide whether a turn may run.
    #[serde(rename = "o")]
    Open(Ask),
    /// Apply and append the record of a turn that ended or was granted without the recipient.
    #[serde(rename = "h")]
    Hold(Entry),
    /// Confirm that this instance is reachable.
    #[serde(rename = "e")]
    Hear,
    /// Report whether the recipient reaches the log over its direct path.
    #[serde(rename = "q")]
    Reach,
    /// Append records over the recipient's direct path to the log.
    #[serde(rename = "a")]
    Append {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<Bytes>,
    },
    /// Read records over the recipient's direct path to the log.
    #[serde(rename = "r")]
    Read {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// First offset.
        #[serde(rename = "f")]
        from: u64,
    },
}

/// Answer to another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Answer {
    /// Whether the turn may run, and the tokens charged to the program now.
    #[serde(rename = "o")]
    Opened(replica::Answer, u64),
    /// Offset of the first appended record.
    #[serde(rename = "a")]
    Appended(u64),
    /// Records that were read.
    #[serde(rename = "r")]
    Records {
        /// Records with their offsets.
        #[serde(rename = "r")]
        records: Vec<(u64, Bytes)>,
        /// Offset to read from next.
        #[serde(rename = "n")]
        next: u64,
    },
    /// The record is held.
    #[serde(rename = "h")]
    Held,
    /// This instance received the request.
    #[serde(rename = "e")]
    Heard {
        /// Whether all grants of the latest outage are in the log, as far as this instance knows.
        #[serde(rename = "s")]
        settled: bool,
    },
    /// This instance reaches the log.
    #[serde(rename = "q")]
    Reaches,
    /// This instance can't reach the log over its direct path.
    #[serde(rename = "x")]
    Refused,
}

/// Routes the account requests of this instance to the owners of the partitions.
pub struct Home<L> {
    keeper: Rc<Keeper<L>>,
    peers: RefCell<Option<Rc<Peers>>>,
    /// Charges that owners reported recently.
    charges: RefCell<Recent<Program, u64>>,
    /// Owners that did not answer, and the time until which they get no requests.
    avoided: RefCell<Map<Instance, Time>>,
    /// Time of the latest decision by an owner.
    answered: Cell<Time>,
    /// Whether owners answer slowly, so that turns should start before the decision.
    slow: Cell<bool>,
    /// Whether the other instances are known, so that all instances determine the same owners.
    joined: Cell<bool>,
    /// Revision of the membership view from which the owned partitions were determined.
    adopted: Cell<Option<u64>>,
}

impl<L: Log + 'static> Home<L> {
    /// Returns a client that knows no other instances; all partitions are local.
    pub fn new(keeper: Rc<Keeper<L>>) -> Self {
        Self {
            keeper,
            peers: RefCell::default(),
            charges: RefCell::new(Recent::new(PROGRAMS)),
            avoided: RefCell::default(),
            answered: Cell::default(),
            slow: Cell::new(false),
            joined: Cell::new(true),
            adopted: Cell::new(None),
        }
    }

    /// Adds the links to other instances; which instances exist is not known yet.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(Rc::new(peers)));
        self.joined.set(false);
        for partition in 0..self.keeper.partitions() {
            self.keeper.adopt(partition, false);
        }
    }

    /// Starts to own partitions, once the other instances are known.
    ///
    /// No partition is read before: instances that restart together would each read all of them.
    pub async fn join(&self) {
        self.keeper.path().inherit().await;
        self.joined.set(true);
        self.adopt();
    }

    /// Returns the owner of a partition, or `None` if it is this instance.
    fn of(&self, partition: usize) -> Option<(Rc<Peers>, Instance)> {
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        let own = &snapshot.own().instance;
        let key = (partition as u64).to_be_bytes();
        // A leaving instance no longer owns partitions for the others, and must not own any for
        // itself, unless it knows no other instance.
        let home = hash::rendezvous(&key, snapshot.usable()).unwrap_or(own);
        (home != own).then(|| (peers.clone(), home.clone()))
    }

    /// Returns whether this instance is isolated from the log while others may reach it.
    pub fn cut_off(&self) -> bool {
        self.keeper.path().outage().cut_off()
    }

    /// Returns the time after which callers are served by other instances; `None` unless this one
    /// is isolated.
    pub fn elsewhere(&self) -> Option<Duration> {
        self.keeper.path().elsewhere()
    }

    /// Reports that a call to another topic of the store failed.
    pub fn suspect(&self) {
        self.keeper.path().suspect();
    }

    /// Redetermines which partitions this instance owns. New ones are read at once, so that their
    /// accounts are known during an outage.
    pub fn adopt(&self) {
        let Some(peers) = self.peers.borrow().clone().filter(|_| self.joined.get()) else {
            return;
        };
        let revision = peers.roster.read(crate::member::View::revision);
        if self.adopted.replace(Some(revision)) == Some(revision) {
            return;
        }
        for partition in 0..self.keeper.partitions() {
            self.keeper.adopt(partition, self.of(partition).is_none());
        }
    }

    /// Requests a decision on whether a turn may run.
    pub fn open(self: &Rc<Self>, program: &str, turn: Turn, most: u64, budget: u64) -> Request {
        let ask = Ask {
            program: replica::identify(program),
            turn,
            most,
            budget,
        };
        if !self.joined.get() || self.cut_off() {
            let (reply, answer) = oneshot::channel();
            // The receiver is below.
            let _ = reply.send(replica::Answer::Unavailable);
            return Request {
                answer,
                likely: false,
            };
        }
        let Some((peers, home)) = self.of(self.keeper.partition_of(ask.program)) else {
            let request = self.keeper.open(ask);
            return Request {
                likely: request.likely && self.slow.get(),
                ..request
            };
        };
        let charged = self
            .charges
            .borrow()
            .get(&ask.program)
            .copied()
            .unwrap_or(0);
        // During an outage the decision may take long or be a refusal, and the run would be wasted.
        let calm = self.keeper.path().outage() == Outage::None;
        let likely = calm && self.slow.get() && ask.early(charged);
        let (reply, answer) = oneshot::channel();
        let this = self.clone();
        actix_web::rt::spawn(async move {
            let answer = match this.avoids(&home) {
                true => this.ask_log(&peers, &home, ask).await,
                false => this.ask(&peers, home, ask).await,
            };
            // The caller may have left.
            let _ = reply.send(answer);
        });
        Request { answer, likely }
    }

    /// Requests a decision of the owner; falls back to the log if the owner is slow or can't
    /// decide.
    async fn ask(&self, peers: &Peers, home: Instance, ask: Ask) -> replica::Answer {
        let mut asked = pin!(self.ask_home(peers, &home, ask));
        let first = timeout(HEDGE, &mut asked).await;
        match first {
            Ok(Some(answer)) if answer != replica::Answer::Unavailable => return answer,
            Ok(Some(_)) => {}
            Ok(None) => self.avoid(&home),
            // The owner stopped answering: the turn may be refused, and must not start before that.
            Err(_) if Time::monotonic().since(self.answered.get()) >= HEDGE => {
                self.slow.set(false);
            }
            Err(_) => {}
        }
        let late = first.is_err();
        log::debug!(home = home.as_str(), late; "account: partition owner has not decided; using the log");
        let own = self.ask_log(peers, &home, ask).await;
        if own != replica::Answer::Unavailable && late {
            // The log answered before the owner did.
            self.avoid(&home);
        }
        if own != replica::Answer::Unavailable || !late {
            return own;
        }
        let answer = asked.await;
        if answer.is_none() {
            self.avoid(&home);
        }
        answer.unwrap_or(own)
    }

    /// Has the log decide, and notifies the owner, which has to charge the turn if it continues
    /// without the log.
    async fn ask_log(&self, peers: &Peers, home: &Instance, ask: Ask) -> replica::Answer {
        let answer = self.keeper.open(ask).answer.await;
        let answer = answer.unwrap_or(replica::Answer::Unavailable);
        if answer == replica::Answer::Granted {
            if let Err(error) = peers.tell(home, ask.entry(true)) {
                log::debug!(home = home.as_str(), error:%; "account: partition owner can't be notified of a granted turn");
            }
        }
        answer
    }

    async fn ask_home(&self, peers: &Peers, home: &Instance, ask: Ask) -> Option<replica::Answer> {
        let asked = Time::monotonic();
        match peers.ask(home, Question::Open(ask), ASK).await {
            Some(Answer::Opened(answer, charged)) => {
                self.charges.borrow_mut().insert(ask.program, charged);
                if answer != replica::Answer::Unavailable {
                    let now = Time::monotonic();
                    self.answered.set(now);
                    self.slow.set(now.since(asked) >= SLOW);
                }
                Some(answer)
            }
            _ => None,
        }
    }

    /// Records the end of a turn that may have run and sent `used` tokens to the caller.
    pub fn close(&self, program: &str, turn: Turn, used: u64) {
        let program = replica::identify(program);
        let entry = Entry::Close {
            program,
            turn,
            used,
        };
        let home = self.of(self.keeper.partition_of(program));
        let home = home.filter(|(_, home)| !self.avoids(home) && !self.cut_off());
        let told = home.is_some_and(|(peers, home)| peers.tell(&home, entry).is_ok());
        if !told {
            self.keeper.close(program, turn, used);
        }
    }

    fn avoids(&self, home: &Instance) -> bool {
        let until = self.avoided.borrow().get(home).copied();
        until.is_some_and(|until| Time::monotonic() < until)
    }

    fn avoid(&self, home: &Instance) {
        log::warn!(home = home.as_str(); "account: partition owner gave no answer; using the log for 3 s");
        let until = Time::monotonic() + AVOID;
        self.avoided.borrow_mut().insert(home.clone(), until);
    }
}

/// Handles the account requests of other instances.
pub struct Desk<L>(pub Rc<Keeper<L>>);

impl<L: Log + 'static> Handler for Desk<L> {
    fn handle(&self, _: Instance, body: Body, reply: Responder) {
        let Body::Account(question) = body else {
            return;
        };
        let keeper = self.0.clone();
        match question {
            Question::Open(ask) => {
                let request = keeper.open(ask);
                actix_web::rt::spawn(async move {
                    let answer = request.answer.await;
                    let answer = answer.unwrap_or(replica::Answer::Unavailable);
                    let charged = keeper.charged(ask.program);
                    finish(reply, Answer::Opened(answer, charged));
                });
            }
            Question::Hold(entry) => {
                keeper.hold(entry);
                finish(reply, Answer::Held);
            }
            Question::Hear => {
                let settled = keeper.path().settled();
                finish(reply, Answer::Heard { settled });
            }
            Question::Reach => {
                actix_web::rt::spawn(async move {
                    let answer = match keeper.reaches().await {
                        true => Answer::Reaches,
                        false => Answer::Refused,
                    };
                    finish(reply, answer);
                });
            }
            Question::Append { partition, records } => {
                actix_web::rt::spawn(async move {
                    let answer = match keeper.append_for(partition, &records).await {
                        Some(offset) => Answer::Appended(offset),
                        None => Answer::Refused,
                    };
                    finish(reply, answer);
                });
            }
            Question::Read { partition, from } => {
                actix_web::rt::spawn(async move {
                    let answer = match keeper.read_for(partition, from).await {
                        Some(batch) => Answer::Records {
                            records: batch.records,
                            next: batch.next,
                        },
                        None => Answer::Refused,
                    };
                    finish(reply, answer);
                });
            }
        }
    }
}

fn finish(reply: Responder, answer: Answer) {
    if reply.finish(Body::Accounted(answer)).is_err() {
        log::debug!("account: answer is dropped because the requester stopped waiting");
    }
}
