//! Registrations of writers and grants without the log, at the owner and at a witness.

use std::{
    rc::Rc,
    time::Duration, //
};

use futures_util::future::join_all;
use tokio::time::sleep;

use super::{
    super::{
        account::Entry,
        evidence::{
            age_ms,
            Journal,
            Testimony, //
        },
        owner::{
            Request,
            Response, //
        },
        path::Path,
        peers::{
            Peers,
            Transport,
            Vote,
            HOLD_TIMEOUT, //
        },
        witness::{
            Grant,
            REGISTRATION_TTL, //
        },
    },
    partition::Partition, //
};
use crate::{
    clock::Time,
    log::Log,
    name::Instance, //
};

/// Time for which a witness leaves it to the owner to append a grant, so that a slow store does not
/// get each one several times.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

impl Partition {
    /// Returns whether grants are held here that are still to be appended.
    pub(super) fn holds_grants(&self) -> bool {
        if !self.held.borrow().is_empty() {
            return true;
        }
        let backlog = self.backlog.borrow();
        backlog
            .iter()
            .any(|entry| matches!(entry, Entry::Open { .. }))
    }

    /// Registers a writer here, as a witness.
    pub(super) fn admit_writer(&self, now: Time, writer: &Instance, generation: u64) -> Response {
        let pending = self.holds_grants();
        let mut witness = self.witness.borrow_mut();
        match witness.register(now, writer, generation, pending) {
            true => Response::Registered,
            false => Response::Refused,
        }
    }

    /// Decides as a witness whether a grant without the log may be held here.
    pub(super) fn admit_grant(&self, now: Time, grant: Grant<'_>) -> Response {
        let pending = self.holds_grants();
        let mut witness = self.witness.borrow_mut();
        match witness.accept(now, self.started, grant, pending) {
            true => Response::Held,
            false => Response::Blocked(witness.blocking(&grant).cloned().collect()),
        }
    }

    /// Gives the registration as a writer up, so that turns which are being appended are not granted;
    /// returns its number and the offset up to which this instance granted turns.
    pub(super) fn give_up_registration(&self) -> (u64, u64) {
        self.registered_until.set(Time::default());
        let generation = self.generation.get();
        self.generation.set(generation + 1);
        (generation, self.granted_to.get())
    }

    /// Registers this instance as a writer; returns whether it may write.
    ///
    /// No witness may object, also if a majority does not: some of these may have been restarted and
    /// so have lost the grants that they held. It may also write if too few witnesses answer. An owner
    /// may have the others then, and grant turns without the log that this instance writes: programs
    /// are charged with what these may get.
    pub(super) async fn register<L: Log, T: Transport>(&self, log: &Path<L, T>) -> bool {
        let now = Time::monotonic();
        let Some(peers) = log.peers() else {
            self.registered_until.set(now + REGISTRATION_TTL);
            return true;
        };
        let generation = self.generation.get();
        let request = Request::Register {
            partition: self.index as u32,
            generation,
            testify: true,
        };
        let snapshot = peers.roster.snapshot();
        let local = &snapshot.local().instance;
        let admit = || match self.admit_writer(now, local, generation) {
            Response::Registered => self.testify(log),
            answer => answer,
        };
        let vote = peers.ask_witnesses(self.index, &request, Vote::is_opposed, admit);
        let vote = vote.await;
        let registered = !vote.is_opposed() && self.generation.get() == generation;
        self.record_vote(log, &vote);
        if registered {
            self.registered_until.set(now + REGISTRATION_TTL);
        }
        registered
    }

    /// Asks the witnesses whether the log may lack grants that none of them knows.
    ///
    /// If it does not, and none of them holds any, all earlier grants are in the log: this instance
    /// then knows as much of them as the other witnesses.
    pub(super) async fn inquire<L: Log, T: Transport>(&self, log: &Path<L, T>) {
        let Some(peers) = log.peers() else {
            return;
        };
        let request = Request::Testify {
            partition: self.index as u32,
        };
        let testify = || self.testify(log);
        let vote = peers.ask_witnesses(self.index, &request, |_| false, testify);
        let vote = vote.await;
        self.record_vote(log, &vote);
        if !self.unwitnessed.get().unwrap_or(true) && !vote.is_pending() {
            self.known_since.set(Time::default());
        }
    }

    /// Records whether a vote leaves other instances, or ones that were lost, a majority.
    fn record_vote<L: Log, T: Transport>(&self, log: &Path<L, T>, vote: &Vote) {
        let journal = log.journal();
        let unwitnessed = vote.leaves_majority(journal.evidence());
        let knowing = vote.knowing(journal.evidence());
        journal.learn(vote.evidence());
        if self.unwitnessed.replace(Some(unwitnessed)) == Some(unwitnessed) {
            return;
        }
        match unwitnessed {
            true => log::info!(
                partition = self.index, knowing,
                horizon_ms = journal.evidence().horizon().as_millis() as u64;
                "account: grants that the log lacks may be lost or unknown here; charging programs for them"
            ),
            false => self.presumed.borrow_mut().clear(),
        }
    }

    /// Returns what this instance knows as a witness. Another instance may take it for one that, by what
    /// is known here, is none: nobody had it hold grants then.
    pub(super) fn testify<L: Log, T: Transport>(&self, log: &Path<L, T>) -> Response {
        let journal = log.journal();
        let known_ms = match self.witnessed.get() {
            Some(true) => age_ms(Time::monotonic(), self.known_since.get()),
            Some(false) | None => 0,
        };
        Response::Testified(Testimony {
            known_ms,
            witnesses: log.peers().map_or(0, |peers| peers.count_witnesses()),
            pending: self.holds_grants(),
            evidence: journal.evidence(),
        })
    }

    /// Returns whether the log may lack grants that are lost, or known to others only.
    pub(super) fn may_lack_grants(&self, journal: &Journal) -> bool {
        let alone = || !journal.evidence().horizon().is_zero();
        self.unwitnessed.get().unwrap_or_else(alone)
    }

    /// Records whether this instance is a witness; a new one does not know earlier grants.
    pub(super) fn set_witnessed(&self, witnessed: bool) {
        let before = self.witnessed.replace(Some(witnessed));
        if witnessed && before == Some(false) {
            self.known_since.set(Time::monotonic());
        }
    }

    /// Returns whether this instance is a witness that may lack grants from before it was one.
    pub(super) fn must_learn_grants(&self, journal: &Journal) -> bool {
        let known_ms = age_ms(Time::monotonic(), self.known_since.get());
        let horizon = journal.evidence().horizon();
        self.witnessed.get() == Some(true) && Duration::from_millis(known_ms) < horizon
    }

    /// Has a majority of the witnesses hold a grant that is made without the log.
    pub(super) async fn grant<L: Log, T: Transport>(&self, log: &Path<L, T>, entry: Entry) -> bool {
        let Some(peers) = log.peers() else {
            return false;
        };
        let mut vote = self.request_grant(&peers, entry, Vec::new()).await;
        if !vote.accepted() && !vote.blocking.is_empty() {
            let yielded = self.request_yields(&peers, vote.blocking).await;
            vote = self.request_grant(&peers, entry, yielded).await;
        }
        let accepted = vote.accepted();
        if !accepted {
            // Some witnesses may hold the grant, and would let no other instance write.
            let request = Request::ReleaseGrants {
                partition: self.index as u32,
                turns: vec![entry.turn()],
            };
            peers.notify_witnesses(self.index, &request);
        }
        accepted
    }

    pub(super) async fn request_grant<T: Transport>(
        &self,
        peers: &Peers<T>,
        entry: Entry,
        yielded: Vec<(Instance, u64)>,
    ) -> Vote {
        let (now, read_at) = (Time::monotonic(), self.read_at.get());
        let snapshot = peers.roster.snapshot();
        let grant = Grant {
            owner: &snapshot.local().instance,
            read_at,
            yielded: &yielded,
        };
        let request = Request::HoldGrant {
            entry,
            read_age_us: now.since(read_at).as_micros() as u64,
            yielded: yielded.clone(),
        };
        let admit = || self.admit_grant(now, grant);
        let vote = peers.ask_witnesses(self.index, &request, Vote::accepted, admit);
        vote.await
    }

    /// Has other writers give up their registrations; returns those that did and wrote nothing that
    /// is not applied here.
    pub(super) async fn request_yields<T: Transport>(
        &self,
        peers: &Peers<T>,
        mut writers: Vec<Instance>,
    ) -> Vec<(Instance, u64)> {
        writers.sort();
        writers.dedup();
        let request = Request::Yield {
            partition: self.index as u32,
        };
        let requests = writers.into_iter().map(|name| {
            let request = request.clone();
            async move {
                let answer = peers.request(&name, request, HOLD_TIMEOUT).await;
                (name, answer)
            }
        });
        let answers = join_all(requests).await.into_iter();
        answers
            .filter_map(|(name, answer)| match answer {
                Some(Response::Yielded { generation, end }) if end <= self.applied.get() => {
                    Some((name, generation))
                }
                _ => None,
            })
            .collect()
    }

    /// Holds a grant of an owner, and queues it for the log unless the owner appends it in time.
    pub(super) fn hold_for_owner(self: &Rc<Self>, entry: Entry) {
        self.held.borrow_mut().push(entry);
        let partition = self.clone();
        actix_web::rt::spawn(async move {
            sleep(HOLD_TIME).await;
            let mut held = partition.held.borrow_mut();
            let index = held.iter().position(|other| other.turn() == entry.turn());
            if let Some(index) = index {
                held.swap_remove(index);
                drop(held);
                partition.hold(entry);
            }
        });
    }
}
