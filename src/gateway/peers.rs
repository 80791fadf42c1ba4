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
    account::{
        Entry,
        Program,
        Turn, //
    },
    outage::{
        Probe,
        Reachability, //
    },
    owner::{
        Request,
        Response, //
    },
};
use crate::{
    hash,
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
const MAX_HELPERS: usize = 3;

/// Timeout of a call executed by another instance: more than a call to the store takes there.
pub const HELP_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for another instance to hold a turn: many round trips between zones.
const HOLD_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of a ping; leaves room for a slowed machine.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Instances pinged in the local availability zone, and as many in other zones: if a third of all
/// is gone, a sample of six contains no live one with a probability of 1 in 1000.
const PING_SAMPLE: usize = 6;

/// Maximum instances that are probed for whether they reach the log.
const PROBE_SAMPLE: usize = 48;

/// Links to other instances.
#[derive(Clone)]
pub struct Peers {
    /// The links.
    pub mesh: Mesh,
    /// The known instances.
    pub roster: Roster,
}

/// Returns the hash of an instance's name in records of the log.
pub fn name_hash(instance: &Instance) -> u64 {
    hash::stable(instance.as_str().as_bytes())
}

impl Peers {
    /// Returns the other instances that may get requests.
    fn others(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let local = &snapshot.local().instance;
        let live = snapshot.usable();
        live.filter(|name| *name != local).cloned().collect()
    }

    /// Picks other instances, the first from another availability zone if there is one.
    ///
    /// The choice stays the same for the same `round`, so that an instance needs links to a few
    /// helpers only, however many instances there are.
    pub fn helpers(&self, round: u64) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let local = snapshot.local();
        let others = self.others();
        let key = format!("{}/{round}", local.instance.as_str());
        let mut helpers = hash::ranking(key.as_bytes(), &others);
        let same_zone = snapshot.live(&local.zone);
        if let Some(first) = helpers.iter().position(|name| !same_zone.contains(name)) {
            helpers[..=first].rotate_right(1);
        }
        helpers.into_iter().take(MAX_HELPERS).cloned().collect()
    }

    /// Has another instance hold a turn granted without the log; returns whether one does.
    ///
    /// With several availability zones it has to be in another one, so that an owner in an isolated
    /// zone finds none.
    pub async fn hold(&self, entry: Entry) -> bool {
        for name in self.holders() {
            let held = self
                .request(&name, Request::Hold(entry), HOLD_TIMEOUT)
                .await;
            if held == Some(Response::Held) {
                return true;
            }
        }
        false
    }

    /// Has the holder of a reserve give it back; returns the tokens used of it if it does.
    pub async fn reclaim(&self, holder: u64, program: Program, id: Turn) -> Option<u64> {
        let others = self.others();
        let name = others.iter().find(|name| name_hash(name) == holder)?;
        let request = Request::Reclaim { program, id };
        match self.request(name, request, HOLD_TIMEOUT).await {
            Some(Response::Returned(used)) => Some(used),
            _ => None,
        }
    }

    /// Picks instances that may hold a grant.
    fn holders(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let local = snapshot.local();
        let others = self.others();
        let remote = |name: &&Instance| !snapshot.live(&local.zone).contains(name);
        let multi_zone = snapshot.zones().any(|zone| *zone != local.zone);
        let eligible = others.iter().filter(|name| !multi_zone || remote(name));
        eligible.cloned().sample(&mut rand::rng(), MAX_HELPERS)
    }

    /// Sends a request to instances concurrently; returns the first answer that is not a refusal,
    /// or a refusal if there is no other answer.
    pub async fn request_any(
        &self,
        names: &[Instance],
        request: &Request,
        limit: Duration,
    ) -> Option<Response> {
        let requests = names
            .iter()
            .map(|name| self.request(name, request.clone(), limit));
        let mut answers: FuturesUnordered<_> = requests.collect();
        let mut refusal = None;
        while let Some(answer) = answers.next().await {
            match answer {
                Some(Response::Refused) => refusal = Some(Response::Refused),
                Some(answer) => return Some(answer),
                None => {}
            }
        }
        refusal
    }

    /// Probes instances other than the helpers for whether they reach the log; returns some that
    /// do.
    ///
    /// The few helpers may all be refused by the store or isolated while most instances reach it.
    pub async fn probe(&self, helpers: &[Instance]) -> (Probe, Vec<Instance>) {
        let known = self.roster.snapshot().peers().count();
        let live = self.others();
        let others = live.iter().filter(|name| !helpers.contains(name));
        let sample = others.sample(&mut rand::rng(), PROBE_SAMPLE);
        let requests = sample.iter().map(|name| async move {
            let answer = self.request(name, Request::LogStatus, HELP_TIMEOUT).await;
            (name, answer)
        });
        let mut probe = Probe {
            known,
            live: live.len(),
            probed: sample.len(),
            refusals: 0,
            reaching: 0,
        };
        let mut reaching = Vec::new();
        for (name, answer) in join_all(requests).await {
            match answer {
                Some(Response::LogReachable) => {
                    probe.reaching += 1;
                    reaching.push(Instance::clone(name));
                }
                Some(Response::Refused) => probe.refusals += 1,
                _ => {}
            }
        }
        reaching.truncate(MAX_HELPERS);
        (probe, reaching)
    }

    /// Determines which other instances are reachable.
    pub async fn reachability(&self) -> Reachability {
        let snapshot = self.roster.snapshot();
        let zone = &snapshot.local().zone;
        // An isolated zone drops the others from its live instances after some seconds, so all
        // known instances are sampled.
        let sample = |local: bool| {
            let known = snapshot.peers().map(|peer| &peer.entry);
            let eligible = known.filter(|entry| (entry.zone == *zone) == local);
            let names = eligible.map(|entry| entry.instance.clone());
            names.sample(&mut rand::rng(), PING_SAMPLE)
        };
        let (local, remote) = (sample(true), sample(false));
        let multi_zone = !remote.is_empty();
        let (local, remote) = join(self.ping(&local), self.ping(&remote)).await;
        Reachability {
            multi_zone,
            local: local.len(),
            remote: remote.len(),
            unsettled: local.into_iter().chain(remote).any(|settled| !settled),
        }
    }

    /// Pings instances; returns for each that answers whether it considers the log settled.
    async fn ping(&self, names: &[Instance]) -> Vec<bool> {
        let requests = names
            .iter()
            .map(|name| self.request(name, Request::Ping, PING_TIMEOUT));
        let answers = join_all(requests).await.into_iter();
        answers
            .filter_map(|answer| match answer {
                Some(Response::Pong { settled }) => Some(settled),
                _ => None,
            })
            .collect()
    }

    /// Sends a request to another instance without waiting for an answer.
    pub fn notify(&self, to: &Instance, request: Request) -> Result<(), Unreachable> {
        self.mesh.send(to, Body::Account(request))
    }

    /// Sends an account request to another instance; `None` if no answer came within the `limit`.
    pub async fn request(
        &self,
        to: &Instance,
        request: Request,
        limit: Duration,
    ) -> Option<Response> {
        match self.mesh.request(to, Body::Account(request), limit).await {
            Ok(Body::Accounted(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = to.as_str(), error:%; "account: peer did not answer a request");
                None
            }
        }
    }
}
