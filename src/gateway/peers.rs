//! Account requests to other instances, and probes while the log or other zones are unreachable.

use std::time::Duration;

use futures_util::{
    future::{
        join,
        join_all, //
    },
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    },
};
use rand::seq::IteratorRandom as _;

use super::{
    account::Entry,
    outage::{
        Hearing,
        Probe, //
    },
    owner::{
        Answer,
        Question, //
    },
};
use crate::{
    member::Roster,
    name::Instance,
    peer::{
        wire::Body,
        Mesh,
        Unreachable, //
    },
};

/// Instances requested at once to execute a call; a third of all may be refused by the store at
/// the same time.
const HELPERS: usize = 3;

/// Timeout of a call executed by another instance: more than a call to the store takes there.
const HELP: Duration = Duration::from_millis(700);

/// Timeout for another instance to hold a turn: many round trips between zones.
const HOLD: Duration = Duration::from_millis(100);

/// Timeout of a ping; leaves room for a slowed machine.
const HEAR: Duration = Duration::from_millis(400);

/// Instances pinged in the local availability zone, and as many in other zones: if a third of all
/// is gone, a sample of six contains no live one with a probability of 1 in 1000.
const HEARERS: usize = 6;

/// Maximum instances that are probed for whether they reach the log.
const PROBED: usize = 48;

/// Links to other instances.
#[derive(Clone)]
pub struct Peers {
    /// The links.
    pub mesh: Mesh,
    /// The known instances.
    pub roster: Roster,
}

impl Peers {
    /// Returns the other instances that may get requests.
    fn others(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let own = &snapshot.own().instance;
        let live = snapshot.usable();
        live.filter(|name| *name != own).cloned().collect()
    }

    /// Picks random other instances, the first from another availability zone if there is one.
    pub fn helpers(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let mut rng = rand::rng();
        let others = self.others();
        let own = snapshot.live(&snapshot.own().zone);
        let away = others.iter().filter(|name| !own.contains(name));
        let mut helpers: Vec<_> = away.choose(&mut rng).cloned().into_iter().collect();
        let rest = others.iter().filter(|name| !helpers.contains(name));
        let rest = rest.cloned().sample(&mut rng, HELPERS - helpers.len());
        helpers.extend(rest);
        helpers
    }

    /// Has another instance hold a turn granted without the log; returns whether one does.
    ///
    /// With several availability zones it has to be in another one, so that an owner in an isolated
    /// zone finds none.
    pub async fn hold(&self, entry: Entry) -> bool {
        for name in self.holders() {
            let held = self.ask(&name, Question::Hold(entry), HOLD).await;
            if held == Some(Answer::Held) {
                return true;
            }
        }
        false
    }

    /// Picks instances that may hold a grant.
    fn holders(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let own = snapshot.own();
        let others = self.others();
        let away = |name: &&Instance| !snapshot.live(&own.zone).contains(name);
        let zoned = snapshot.zones().any(|zone| *zone != own.zone);
        let fit = others.iter().filter(|name| !zoned || away(name));
        fit.cloned().sample(&mut rand::rng(), HELPERS)
    }

    /// Sends a request to instances concurrently; returns the first answer that is not a refusal.
    pub async fn first(&self, names: &[Instance], question: &Question) -> Option<Answer> {
        let asked = names
            .iter()
            .map(|name| self.ask(name, question.clone(), HELP));
        let mut answers: FuturesUnordered<_> = asked.collect();
        while let Some(answer) = answers.next().await {
            if let Some(answer) = answer.filter(|answer| *answer != Answer::Refused) {
                return Some(answer);
            }
        }
        None
    }

    /// Probes instances other than the helpers for whether they reach the log; returns some that
    /// do.
    ///
    /// The few helpers may all be refused by the store or isolated while most instances reach it.
    pub async fn probe(&self, helpers: &[Instance]) -> (Probe, Vec<Instance>) {
        let known = self.roster.snapshot().peers().count();
        let live = self.others();
        let others = live.iter().filter(|name| !helpers.contains(name));
        let sample = others.sample(&mut rand::rng(), PROBED);
        let asked = sample.iter().map(|name| async move {
            let answer = self.ask(name, Question::Reach, HELP).await;
            (name, answer)
        });
        let mut probe = Probe {
            known,
            live: live.len(),
            asked: sample.len(),
            refusals: 0,
            reaching: 0,
        };
        let mut reaching = Vec::new();
        for (name, answer) in join_all(asked).await {
            match answer {
                Some(Answer::Reaches) => {
                    probe.reaching += 1;
                    reaching.push(Instance::clone(name));
                }
                Some(Answer::Refused) => probe.refusals += 1,
                _ => {}
            }
        }
        reaching.truncate(HELPERS);
        (probe, reaching)
    }

    /// Determines which other instances are reachable.
    pub async fn hear(&self) -> Hearing {
        let snapshot = self.roster.snapshot();
        let own = &snapshot.own().zone;
        // An isolated zone drops the others from its live instances after some seconds, so all
        // known instances are sampled.
        let sample = |near: bool| {
            let known = snapshot.peers().map(|peer| &peer.entry);
            let fit = known.filter(|entry| (entry.zone == *own) == near);
            let names = fit.map(|entry| entry.instance.clone());
            names.sample(&mut rand::rng(), HEARERS)
        };
        let (near, away) = (sample(true), sample(false));
        let zoned = !away.is_empty();
        let (near, away) = join(self.heard(&near), self.heard(&away)).await;
        Hearing {
            zoned,
            near: near.len(),
            away: away.len(),
            unsettled: near.into_iter().chain(away).any(|settled| !settled),
        }
    }

    /// Pings instances; returns for each that answers whether it considers the log settled.
    async fn heard(&self, names: &[Instance]) -> Vec<bool> {
        let asked = names
            .iter()
            .map(|name| self.ask(name, Question::Hear, HEAR));
        let answers = join_all(asked).await.into_iter();
        answers
            .filter_map(|answer| match answer {
                Some(Answer::Heard { settled }) => Some(settled),
                _ => None,
            })
            .collect()
    }

    /// Sends another instance a record to apply and append, without waiting for an answer.
    pub fn tell(&self, to: &Instance, entry: Entry) -> Result<(), Unreachable> {
        self.mesh.send(to, Body::Account(Question::Hold(entry)))
    }

    /// Sends an account request to another instance; `None` if no answer came within the `limit`.
    pub async fn ask(&self, to: &Instance, question: Question, limit: Duration) -> Option<Answer> {
        match self.mesh.request(to, Body::Account(question), limit).await {
            Ok(Body::Accounted(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = to.as_str(), error:%; "account: peer did not answer a request");
                None
            }
        }
    }
}
