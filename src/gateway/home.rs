//! The home of an account: the one instance that all others ask about it.
//!
//! The log decides; a home saves reads, because it writes nearly all records of its partitions
//! itself, and it can go on during an outage of the log, because all turns ask it.

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
    keeper::{
        self,
        Keeper,
        Request, //
    },
    outage::Outage,
    peers::Peers,
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

/// Time after which an asker also uses the log itself; a slow store takes 240 ms.
const HEDGE: Duration = Duration::from_millis(400);

/// Time of an answer from which on turns start before it. A home answers in some 10 ms, and in
/// 300 ms while the store is slow; a run in vain costs more than a short wait.
const SLOW: Duration = Duration::from_millis(40);

/// Longest time for the answer of a home, which has to find out the extent of an outage.
const ASK: Duration = Duration::from_millis(1_700);

/// Time for which a home that gave no answer is not asked; all instances know after it that a home
/// is dead.
const AVOID: Duration = Duration::from_secs(3);

/// Programs whose charge is remembered; a program lasts for seconds.
const PROGRAMS: usize = 4_096;

/// Question of another instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Question {
    /// May a turn run?
    #[serde(rename = "o")]
    Open(Ask),
    /// Count a turn that ended, or was granted without the answerer, and append its record.
    #[serde(rename = "h")]
    Hold(Entry),
    /// Do you hear this instance?
    #[serde(rename = "e")]
    Hear,
    /// Can you reach the log?
    #[serde(rename = "q")]
    Reach,
    /// Append records on your own way to the log.
    #[serde(rename = "a")]
    Append {
        /// Partition.
        #[serde(rename = "p")]
        partition: u32,
        /// The records.
        #[serde(rename = "r")]
        records: Vec<Bytes>,
    },
    /// Read records on your own way to the log.
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
    /// Whether the turn may run, and what is charged to the program now.
    #[serde(rename = "o")]
    Opened(keeper::Answer, u64),
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
    /// The turn is held.
    #[serde(rename = "h")]
    Held,
    /// This instance hears the asker.
    #[serde(rename = "e")]
    Heard {
        /// Whether all grants of the latest outage are in the log, as far as this instance knows.
        #[serde(rename = "s")]
        settled: bool,
    },
    /// This instance reaches the log.
    #[serde(rename = "q")]
    Reaches,
    /// This instance can't reach the log either.
    #[serde(rename = "x")]
    Refused,
}

/// Accounts, as the requests of an instance see them.
pub struct Home<L> {
    keeper: Rc<Keeper<L>>,
    peers: RefCell<Option<Rc<Peers>>>,
    /// Charges that homes told lately.
    charges: RefCell<Recent<Program, u64>>,
    /// Homes that gave no answer, and until when they are not asked.
    avoided: RefCell<Map<Instance, Time>>,
    /// Latest answer of a home that decided a turn.
    answered: Cell<Time>,
    /// Whether homes answer slowly, so that a turn is better started before the answer.
    slow: Cell<bool>,
    /// Whether the other instances are known, so that all of them name the same homes.
    joined: Cell<bool>,
    /// Revision of the view that the adopted partitions were chosen by.
    adopted: Cell<Option<u64>>,
}

impl<L: Log + 'static> Home<L> {
    /// Returns accounts without other instances.
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

    /// Adds the other instances, which are not known yet.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(Rc::new(peers)));
        self.joined.set(false);
        for partition in 0..self.keeper.partitions() {
            self.keeper.adopt(partition, false);
        }
    }

    /// Notes that the other instances are known.
    ///
    /// Until then no partition is read: all instances that restart together would read all of them.
    pub async fn join(&self) {
        self.keeper.path().inherit().await;
        self.joined.set(true);
        self.adopt();
    }

    /// Returns the instance that keeps a partition, or `None` if it is this one.
    fn of(&self, partition: usize) -> Option<(Rc<Peers>, Instance)> {
        let peers = self.peers.borrow().clone()?;
        let snapshot = peers.roster.snapshot();
        let own = &snapshot.local().instance;
        let key = (partition as u64).to_be_bytes();
        // A leaving instance is no home for the others any more, and must not be one for itself,
        // unless it knows no other.
        let home = hash::rendezvous(&key, snapshot.usable()).unwrap_or(own);
        (home != own).then(|| (peers.clone(), home.clone()))
    }

    /// Returns whether this instance is cut off from the log while others may reach it.
    pub fn cut_off(&self) -> bool {
        self.keeper.path().outage().cut_off()
    }

    /// Returns the time after which callers are served by other instances, while this one is cut
    /// off.
    pub fn elsewhere(&self) -> Option<Duration> {
        self.keeper.path().elsewhere()
    }

    /// Notes that a call to another topic of the store failed.
    pub fn suspect(&self) {
        self.keeper.path().suspect();
    }

    /// Reads the partitions that this instance has become the home of, to know them in an outage.
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

    /// Asks whether a turn may run.
    pub fn open(self: &Rc<Self>, program: &str, turn: Turn, most: u64, budget: u64) -> Request {
        let ask = Ask {
            program: keeper::identify(program),
            turn,
            most,
            budget,
        };
        if !self.joined.get() || self.cut_off() {
            let (reply, answer) = oneshot::channel();
            // The receiver is below.
            let _ = reply.send(keeper::Answer::Unavailable);
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
        // During an outage the answer may take long or be a refusal, and the run would be in vain.
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

    /// Asks a home, and uses the log itself if the home takes long or can't decide.
    async fn ask(&self, peers: &Peers, home: Instance, ask: Ask) -> keeper::Answer {
        let mut asked = pin!(self.ask_home(peers, &home, ask));
        let first = timeout(HEDGE, &mut asked).await;
        match first {
            Ok(Some(answer)) if answer != keeper::Answer::Unavailable => return answer,
            Ok(Some(_)) => {}
            Ok(None) => self.avoid(&home),
            // No answer comes any more: the turn may have to be refused, and must not run in vain.
            Err(_) if Time::monotonic().since(self.answered.get()) >= HEDGE => {
                self.slow.set(false);
            }
            Err(_) => {}
        }
        let late = first.is_err();
        log::debug!(home = home.as_str(), late; "account: home has not decided; using the log");
        let own = self.ask_log(peers, &home, ask).await;
        if own != keeper::Answer::Unavailable && late {
            // The log is faster than this home.
            self.avoid(&home);
        }
        if own != keeper::Answer::Unavailable || !late {
            return own;
        }
        let answer = asked.await;
        if answer.is_none() {
            self.avoid(&home);
        }
        answer.unwrap_or(own)
    }

    /// Has the log decide, and tells the home, which has to count the turn if it goes on without the
    /// log.
    async fn ask_log(&self, peers: &Peers, home: &Instance, ask: Ask) -> keeper::Answer {
        let answer = self.keeper.open(ask).answer.await;
        let answer = answer.unwrap_or(keeper::Answer::Unavailable);
        if answer == keeper::Answer::Granted {
            if let Err(error) = peers.tell(home, ask.entry(true)) {
                log::debug!(home = home.as_str(), error:%; "account: home can't be told of a turn");
            }
        }
        answer
    }

    async fn ask_home(&self, peers: &Peers, home: &Instance, ask: Ask) -> Option<keeper::Answer> {
        let asked = Time::monotonic();
        match peers.ask(home, Question::Open(ask), ASK).await {
            Some(Answer::Opened(answer, charged)) => {
                self.charges.borrow_mut().insert(ask.program, charged);
                if answer != keeper::Answer::Unavailable {
                    let now = Time::monotonic();
                    self.answered.set(now);
                    self.slow.set(now.since(asked) >= SLOW);
                }
                Some(answer)
            }
            _ => None,
        }
    }

    /// Notes that a turn that may have run has ended, after it handed out `used` tokens.
    pub fn close(&self, program: &str, turn: Turn, used: u64) {
        let program = keeper::identify(program);
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
        log::warn!(home = home.as_str(); "account: home gave no answer and is avoided");
        let until = Time::monotonic() + AVOID;
        self.avoided.borrow_mut().insert(home.clone(), until);
    }
}

/// Answers other instances.
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
                    let answer = answer.unwrap_or(keeper::Answer::Unavailable);
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
        log::debug!("account: nobody waits for the answer");
    }
}
