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
use rand::{
    seq::IteratorRandom as _,
    Rng, //
};

use super::{
    account::{
        Program,
        Turn, //
    },
    evidence::{
        Evidence,
        Testimony, //
    },
    outage::{
        Probe,
        Reachability, //
    },
    owner::{
        Request,
        Response, //
    },
    reserve,
    witness::WITNESSES,
};
use crate::{
    hash::{
        self,
        Map, //
    },
    member::Roster,
    name::{
        Instance,
        Zone, //
    },
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
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout of a ping; leaves room for a slowed machine.
const PING_TIMEOUT: Duration = Duration::from_millis(400);

/// Instances pinged in the local availability zone, and as many in other zones: if a third of all
/// is gone, a sample of six contains no live one with a probability of 1 in 1000.
const PING_SAMPLE: usize = 6;

/// Maximum instances that are probed for whether they reach the log.
const PROBE_SAMPLE: usize = 48;

/// Carries account requests to other instances.
#[allow(async_fn_in_trait)]
pub trait Transport: Clone + 'static {
    /// Sends a request without waiting for an answer.
    fn notify(&self, to: &Instance, request: Request) -> Result<(), Unreachable>;

    /// Sends a request; `None` if no answer came within the `limit`.
    async fn request(&self, to: &Instance, request: Request, limit: Duration) -> Option<Response>;

    /// Returns the source of random choices among instances.
    fn rng(&self) -> impl Rng;
}

impl Transport for Mesh {
    fn notify(&self, to: &Instance, request: Request) -> Result<(), Unreachable> {
        self.send(to, Body::Account(request))
    }

    async fn request(&self, to: &Instance, request: Request, limit: Duration) -> Option<Response> {
        match Self::request(self, to, Body::Account(request), limit).await {
            Ok(Body::Accounted(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = to.as_str(), error:%; "account: peer did not answer a request");
                None
            }
        }
    }

    fn rng(&self) -> impl Rng {
        rand::rng()
    }
}

/// What the witnesses of a partition said.
#[derive(Clone, Debug, Default)]
pub struct Vote {
    /// Witnesses of the partition.
    witnesses: usize,
    /// Witnesses that have to accept.
    majority: usize,
    /// Whether there are other availability zones.
    remote_zones: bool,
    accepting: usize,
    /// Accepting witnesses in other availability zones.
    accepting_remote: usize,
    refusing: usize,
    /// What accepting witnesses know; others of these are old builds, which don't say so.
    testimonies: Vec<Testimony>,
    /// Writers for which witnesses refused a grant.
    pub blocking: Vec<Instance>,
}

impl Vote {
    /// Counts the answer of a witness.
    fn count(&mut self, answer: Option<Response>, remote: bool) {
        match answer {
            Some(Response::Testified(testimony)) => {
                self.testimonies.push(testimony);
                self.accepting += 1;
                self.accepting_remote += usize::from(remote);
            }
            Some(Response::Held | Response::Registered) => {
                self.accepting += 1;
                self.accepting_remote += usize::from(remote);
            }
            Some(Response::Blocked(writers)) => {
                self.refusing += 1;
                self.blocking.extend(writers);
            }
            Some(_) => self.refusing += 1,
            None => {}
        }
    }

    /// Returns whether a majority accepts, one of it in another availability zone if there is one.
    pub fn accepted(&self) -> bool {
        let spread = self.accepting_remote > 0 || !self.remote_zones;
        self.accepting >= self.majority && spread
    }

    /// Returns whether an owner may have, or have had, a majority of witnesses that did not accept or
    /// don't know all grants that the log may lack. `evidence` is what the voter knows of outages.
    ///
    /// A voter that knows few instances asks few of the witnesses that others have.
    pub fn leaves_majority(&self, evidence: Evidence) -> bool {
        let testified = self.testimonies.iter().map(|testimony| testimony.witnesses);
        let witnesses = testified.fold(self.witnesses, usize::max);
        witnesses - self.knowing(evidence) >= majority(witnesses)
    }

    /// Returns the number of accepting witnesses that know all grants that the log may lack.
    pub fn knowing(&self, mut evidence: Evidence) -> usize {
        evidence.merge(self.evidence());
        let horizon = evidence.horizon();
        let testimonies = self.testimonies.iter();
        match horizon.is_zero() {
            true => self.accepting,
            false => testimonies
                .filter(|testimony| testimony.covers(horizon))
                .count(),
        }
    }

    /// Returns what the accepting witnesses know of outages.
    pub fn evidence(&self) -> Evidence {
        let mut merged = Evidence::default();
        let testimonies = self.testimonies.iter();
        testimonies.for_each(|testimony| merged.merge(testimony.evidence));
        merged
    }

    /// Returns whether an accepting witness holds grants that are still to be appended.
    pub fn is_pending(&self) -> bool {
        self.testimonies.iter().any(|testimony| testimony.pending)
    }

    /// Returns whether a witness refused.
    pub fn is_opposed(&self) -> bool {
        self.refusing > 0
    }
}

/// Returns how many of a number of witnesses have to accept a grant. One that only the owner holds is lost
/// with it.
fn majority(witnesses: usize) -> usize {
    (witnesses / 2 + 1).max(2)
}

/// Links to other instances.
#[derive(Clone)]
pub struct Peers<T = Mesh> {
    /// The links.
    pub mesh: T,
    /// The known instances.
    pub roster: Roster,
}

/// Returns the hash of an instance's name in records of the log.
pub fn name_hash(instance: &Instance) -> u64 {
    hash::stable(instance.as_str().as_bytes())
}

impl<T: Transport> Peers<T> {
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

    /// Returns the witnesses of a partition, which all instances determine from the known instances
    /// and not from the usable ones, on which they may disagree.
    ///
    /// They are spread over the availability zones.
    fn witnesses(&self, partition: usize) -> Vec<(Instance, Zone)> {
        let snapshot = self.roster.snapshot();
        let local = snapshot.local();
        let mut zones = Map::<Instance, Zone>::default();
        zones.insert(local.instance.clone(), local.zone.clone());
        let known = snapshot.peers().map(|peer| &peer.entry);
        zones.extend(known.map(|entry| (entry.instance.clone(), entry.zone.clone())));
        let key = (partition as u64).to_be_bytes();
        let ranked = hash::ranking(&key, zones.keys());
        let mut chosen_in_zone = Map::<&Zone, usize>::default();
        let mut candidates: Vec<_> = ranked
            .into_iter()
            .enumerate()
            .map(|(rank, name)| {
                let zone = &zones[name];
                let round = chosen_in_zone.entry(zone).or_default();
                *round += 1;
                (*round, rank, name, zone)
            })
            .collect();
        candidates.sort_unstable();
        let chosen = candidates.into_iter().take(WITNESSES);
        chosen
            .map(|(_, _, name, zone)| (name.clone(), zone.clone()))
            .collect()
    }

    /// Returns the number of witnesses of each partition.
    pub fn count_witnesses(&self) -> usize {
        let known = self.roster.snapshot().peers().count() + 1;
        known.min(WITNESSES)
    }

    /// Returns the partitions, of a number of them, of which this instance is a witness.
    pub fn witnessed(&self, partitions: usize) -> Vec<bool> {
        let snapshot = self.roster.snapshot();
        let local = &snapshot.local().instance;
        let is_witness = |partition| {
            let witnesses = self.witnesses(partition);
            witnesses.iter().any(|(name, _)| name == local)
        };
        (0..partitions).map(is_witness).collect()
    }

    /// Returns a hash of the known instances, on which the witnesses depend.
    pub fn known_hash(&self) -> u64 {
        let snapshot = self.roster.snapshot();
        let names = snapshot.peers().map(|peer| name_hash(&peer.entry.instance));
        names.fold(0, u64::wrapping_add)
    }

    /// Notifies the other witnesses of a partition.
    pub fn notify_witnesses(&self, partition: usize, request: &Request) {
        let snapshot = self.roster.snapshot();
        let local = &snapshot.local().instance;
        for (name, _) in self.witnesses(partition) {
            if name != *local && self.notify(&name, request.clone()).is_err() {
                log::debug!(peer = name.as_str(); "account: witness can't be notified");
            }
        }
    }

    /// Asks the witnesses of a partition, of which this instance may be one; returns what they
    /// said once that is `certain`, or once all answered or their time has passed.
    pub async fn ask_witnesses(
        &self,
        partition: usize,
        request: &Request,
        certain: impl Fn(&Vote) -> bool,
        ask_local: impl FnOnce() -> Response,
    ) -> Vote {
        let witnesses = self.witnesses(partition);
        let snapshot = self.roster.snapshot();
        let local = snapshot.local();
        let mut vote = Vote {
            witnesses: witnesses.len(),
            majority: majority(witnesses.len()),
            remote_zones: snapshot.zones().any(|zone| *zone != local.zone),
            ..Vote::default()
        };
        if witnesses.iter().any(|(name, _)| *name == local.instance) {
            vote.count(Some(ask_local()), false);
        }
        let others = witnesses.iter().filter(|(name, _)| *name != local.instance);
        let requests = others.map(|(name, zone)| async {
            let remote = *zone != local.zone;
            let answer = self.request(name, request.clone(), HOLD_TIMEOUT).await;
            (answer, remote)
        });
        let mut answers: FuturesUnordered<_> = requests.collect();
        while let Some((answer, remote)) = answers.next().await {
            vote.count(answer, remote);
            if certain(&vote) {
                break;
            }
        }
        vote
    }

    /// Returns the live instance with a hash of the name, which holds a reserve.
    fn holder(&self, hash: u64) -> Option<Instance> {
        let others = self.others();
        others.into_iter().find(|name| name_hash(name) == hash)
    }

    /// Tells the holder of a reserve that it is charged.
    pub fn confirm_reserve(
        &self,
        program: Program,
        reserve: reserve::Request,
    ) -> Result<(), Unreachable> {
        let holder = self.holder(reserve.holder).ok_or(Unreachable::Unknown)?;
        self.notify(&holder, Request::ConfirmReserve { program, reserve })
    }

    /// Has the holder of a reserve give it back; returns the tokens used of it if it does.
    pub async fn reclaim(&self, holder: u64, program: Program, id: Turn) -> Option<u64> {
        let name = self.holder(holder)?;
        let request = Request::Reclaim { program, id };
        match self.request(&name, request, HOLD_TIMEOUT).await {
            Some(Response::Returned(used)) => Some(used),
            _ => None,
        }
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
        let sample = others.sample(&mut self.mesh.rng(), PROBE_SAMPLE);
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
            let mut names: Vec<_> = eligible.map(|entry| entry.instance.clone()).collect();
            // The order of a map differs from run to run.
            names.sort_unstable();
            names.into_iter().sample(&mut self.mesh.rng(), PING_SAMPLE)
        };
        let (local, remote) = (sample(true), sample(false));
        let multi_zone = !remote.is_empty();
        let (local, remote) = join(self.ping(&local), self.ping(&remote)).await;
        Reachability {
            multi_zone,
            local: local.len(),
            remote: remote.len(),
            unsettled: local.iter().chain(&remote).any(|(settled, _)| !settled),
            evidence: {
                let mut merged = Evidence::default();
                let answers = local.iter().chain(&remote);
                answers.for_each(|(_, evidence)| merged.merge(*evidence));
                merged
            },
        }
    }

    /// Pings instances; returns for each that answers whether it considers the log settled, and what
    /// it knows of outages.
    async fn ping(&self, names: &[Instance]) -> Vec<(bool, Evidence)> {
        let requests = names
            .iter()
            .map(|name| self.request(name, Request::Ping, PING_TIMEOUT));
        let answers = join_all(requests).await.into_iter();
        answers
            .filter_map(|answer| match answer {
                Some(Response::Pong {
                    settled,
                    complete,
                    evidence,
                }) => {
                    // An old build only says whether grants were lost with all instances.
                    let old = || match complete {
                        true => Evidence::of_no_outage(),
                        false => Evidence::default(),
                    };
                    Some((settled, evidence.unwrap_or_else(old)))
                }
                _ => None,
            })
            .collect()
    }

    /// Sends a request to another instance without waiting for an answer.
    pub fn notify(&self, to: &Instance, request: Request) -> Result<(), Unreachable> {
        self.mesh.notify(to, request)
    }

    /// Sends an account request to another instance; `None` if no answer came within the `limit`.
    pub async fn request(
        &self,
        to: &Instance,
        request: Request,
        limit: Duration,
    ) -> Option<Response> {
        self.mesh.request(to, request, limit).await
    }
}
