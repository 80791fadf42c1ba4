//! The membership state of one instance: its entries of all others.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use super::{
    entry::{
        Departure,
        Entry,
        State, //
    },
    snapshot::{
        Snapshot,
        Status, //
    },
    Listed,
};
use crate::{
    clock::Time,
    hash::{
        stable,
        Set, //
    },
    name::{
        Instance,
        Pool,
        Upstream, //
    },
};

/// Time that an instance has to refute a suspicion.
///
/// A suspicion and its refutation spread within a fraction of a second, or with the heartbeats of
/// the next second if their first messages are lost. All instances stop using a dead instance
/// within 3 s of the first failure to reach it.
pub const REFUTATION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which this instance does not repeat a suspicion that was refuted.
///
/// Without it, an instance that only this one can't reach would be suspected and refuted
/// throughout the deployment at each attempt.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which an instance that this one failed to reach is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Time for which an instance that is gone is retained, and after which a leaving one counts as
/// gone.
///
/// It is longer than the lag of the platform's list, so that a stale list does not add a stopped
/// instance again.
const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Time for which the departure of an upstream is retained after its last report.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(3_600);

/// Time for which the loss of a process is retained.
const LOSS_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum clock skew at which the time of an upstream's report is used.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Number of groups of entries whose digests are compared separately, so that two views that
/// differ exchange only a part of their entries.
pub const DIGEST_GROUPS: usize = 64;

/// Key of an entry that changed and is to be sent to other instances.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// The entry of an instance.
    Instance(Instance),
    /// The entry of an upstream.
    Upstream(Pool, Upstream),
}

/// State of one other instance.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) entry: Entry,
    /// Whether the platform's list contains the instance.
    pub(super) listed: bool,
    /// Whether the platform's list marks the instance as leaving.
    pub(super) listed_leaving: bool,
    /// Time of the last change of the entry.
    pub(super) changed_at: Time,
    /// Time at which this instance last failed to reach it, unless it was reached since or
    /// [`RETRY_DELAY`] has passed.
    pub(super) failed_at: Option<Time>,
    /// Time at which this instance last spread a suspicion of it.
    pub(super) suspected_at: Option<Time>,
    /// Instance that reported it as live although it is gone here.
    pub(super) disputed_by: Option<Instance>,
    /// Time of the last message received from it.
    pub(super) last_received: Option<Time>,
    /// Whether it is gone after it was leaving.
    pub(super) left: bool,
    pub(super) load: u32,
    pub(super) applied: Vec<u64>,
}

impl Member {
    fn new(entry: Entry, now: Time) -> Self {
        Self {
            entry,
            listed: false,
            listed_leaving: false,
            changed_at: now,
            failed_at: None,
            suspected_at: None,
            disputed_by: None,
            last_received: None,
            left: false,
            load: 0,
            applied: Vec::new(),
        }
    }

    /// Returns the availability; failures on local links take precedence over reports of others.
    pub(super) fn status(&self) -> Status {
        match self.entry.state {
            State::Gone => Status::Gone,
            State::Leaving => Status::Leaving,
            State::Live | State::Suspected if self.listed_leaving => Status::Leaving,
            State::Live | State::Suspected if self.failed_at.is_some() => Status::Unreachable,
            State::Suspected => Status::Suspected,
            State::Live => Status::Live,
        }
    }
}

/// The membership state of one instance: its entries of all others.
///
/// Entries only grow in the order of [`Entry`]: an incarnation never decreases, and the order in
/// which messages arrive does not matter.
#[derive(Clone, Debug)]
pub struct View {
    local: Entry,
    load: u32,
    applied: Vec<u64>,
    highest_applied: Vec<u64>,
    pub(super) members: BTreeMap<Instance, Member>,
    departures: BTreeMap<(Pool, Upstream), Departure>,
    /// Processes that ended without leaving or can't be reached any more, by instance and start,
    /// with the times at which this instance learned of it.
    losses: BTreeMap<(Instance, u64), Time>,
    pending: Vec<Change>,
    /// Pairs of an instance to notify and one that it regards as live although it is suspected or
    /// gone here.
    corrections: Vec<(Instance, Instance)>,
    /// Number of changes that are visible to readers.
    revision: u64,
    last_changed: Time,
    digest: u64,
}

/// Returns the hash of an entry; equal views have equal sums of hashes.
fn entry_hash(entry: &Entry) -> u64 {
    let text = format!("{}/{}/{:?}", entry.instance, entry.incarnation, entry.state);
    stable(text.as_bytes())
}

fn departure_hash(departure: &Departure) -> u64 {
    let Departure {
        pool,
        upstream,
        version,
        leaving,
    } = departure;
    stable(format!("{pool}/{upstream}/{version}/{leaving}").as_bytes())
}

/// Returns the digest group of an instance.
fn digest_group(instance: &Instance) -> usize {
    (stable(instance.as_str().as_bytes()) % DIGEST_GROUPS as u64) as usize
}

/// Returns whether other instances are expected to have the same entry.
///
/// Entries that come only from the list differ with its lag, and gone instances expire at
/// different times.
fn is_shared(entry: &Entry) -> bool {
    entry.incarnation > 0 && entry.state != State::Gone
}

impl View {
    /// Creates the view of an instance that knows only itself.
    pub fn new(local: Entry) -> Self {
        Self {
            digest: entry_hash(&local),
            local,
            load: 0,
            applied: Vec::new(),
            highest_applied: Vec::new(),
            members: BTreeMap::new(),
            departures: BTreeMap::new(),
            losses: BTreeMap::new(),
            pending: Vec::new(),
            corrections: Vec::new(),
            revision: 0,
            last_changed: Time::default(),
        }
    }

    /// Returns the entry of this instance.
    pub fn local(&self) -> &Entry {
        &self.local
    }

    /// Returns the digest of all shared entries.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the time of the last change.
    pub fn last_changed(&self) -> Time {
        self.last_changed
    }

    /// Returns a number that increases with each change that is visible to readers.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of calls that run or wait on this instance, as set by [`View::report`].
    pub fn load(&self) -> u32 {
        self.load
    }

    /// Returns the offsets that this instance has applied, for each partition.
    pub fn applied(&self) -> &[u64] {
        &self.applied
    }

    /// Returns the highest offset that any instance is known to have applied, for each partition.
    pub fn highest_applied(&self) -> &[u64] {
        &self.highest_applied
    }

    /// Returns the entry of an instance.
    pub fn entry(&self, instance: &Instance) -> Option<&Entry> {
        if *instance == self.local.instance {
            return Some(&self.local);
        }
        self.members.get(instance).map(|member| &member.entry)
    }

    /// Returns the entry of an upstream.
    pub fn departure(&self, pool: &Pool, upstream: &Upstream) -> Option<&Departure> {
        self.departures.get(&(pool.clone(), upstream.clone()))
    }

    /// Returns the instances of which a process was lost with all that it had in memory within a time,
    /// and those that can't be reached and may go on elsewhere.
    pub fn lost_within(&self, now: Time, time: Duration) -> impl Iterator<Item = &Instance> {
        let losses = self.losses.iter();
        let recent = losses.filter(move |(_, at)| now.since(**at) <= time);
        let recent = recent.map(|((instance, _), _)| instance);
        let members = self.members.iter();
        let gone = members.filter(move |(_, member)| {
            let gone = member.entry.state == State::Gone && !member.left;
            gone && member.entry.started > 0 && now.since(member.changed_at) < GONE_RETENTION
        });
        recent.chain(gone.map(|(instance, _)| instance))
    }

    /// Sets the load and the applied offsets of this instance.
    pub fn report(&mut self, load: u32, applied: Vec<u64>) {
        self.load = load;
        self.raise_highest(&applied);
        self.applied = applied;
    }

    /// Sets the processor capacity of this instance, in thousandths of a core.
    pub fn set_capacity(&mut self, now: Time, capacity: u32) {
        self.local.capacity = capacity;
        self.bump_revision(now);
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self, now: Time) {
        if self.local.state != State::Leaving {
            self.replace_local(now, self.local.incarnation, State::Leaving);
        }
    }

    /// Applies the platform's list.
    pub fn apply_list(&mut self, now: Time, list: &[Listed]) {
        let names: Set<&Instance> = list.iter().map(|listed| &listed.instance).collect();
        let dropped: Vec<_> = self
            .members
            .iter_mut()
            .filter(|(instance, member)| member.listed && !names.contains(instance))
            .map(|(instance, member)| {
                member.listed = false;
                (instance.clone(), member.entry.incarnation == 0)
            })
            .collect();
        for (instance, unknown) in dropped {
            if unknown {
                self.members.remove(&instance);
                self.bump_revision(now);
            }
        }
        for listed in list {
            if listed.instance != self.local.instance {
                self.apply_listed(now, listed);
            }
        }
    }

    fn apply_listed(&mut self, now: Time, listed: &Listed) {
        let known = self.members.get(&listed.instance);
        // An instance that was never reached may have come back at another address.
        let moved = known.is_some_and(|member| {
            let entry = &member.entry;
            entry.incarnation == 0 && *entry.address != *listed.address
        });
        if moved {
            self.members.remove(&listed.instance);
        }
        if !self.members.contains_key(&listed.instance) {
            let entry = Entry {
                instance: listed.instance.clone(),
                incarnation: 0,
                state: State::Live,
                zone: listed.zone.clone(),
                address: listed.address.as_str().into(),
                capacity: 0,
                started: 0,
            };
            self.insert(now, entry);
        }
        let Some(member) = self.members.get_mut(&listed.instance) else {
            return;
        };
        member.listed = true;
        if member.listed_leaving != listed.leaving {
            member.listed_leaving = listed.leaving;
            self.bump_revision(now);
        }
    }

    /// Merges the entry that an instance sent about itself over a link, and marks the instance as
    /// reachable.
    pub fn record_contact(&mut self, now: Time, entry: &Entry) {
        if entry.instance == self.local.instance {
            return;
        }
        self.merge(now, entry);
        if let Some(member) = self.members.get_mut(&entry.instance) {
            member.last_received = Some(now);
            member.disputed_by = None;
            let reached = member.failed_at.take().is_some();
            // The instance does not know that it is suspected, so it can't refute the suspicion.
            if member.entry > *entry {
                let name = &entry.instance;
                self.corrections.push((name.clone(), name.clone()));
            }
            if reached {
                self.bump_revision(now);
            }
        }
    }

    /// Stores the load and the applied offsets that an instance sent about itself.
    pub fn record_report(
        &mut self,
        instance: &Instance,
        load: u32,
        applied: &[u64],
        highest: &[u64],
    ) {
        self.raise_highest(applied);
        self.raise_highest(highest);
        if let Some(member) = self.members.get_mut(instance) {
            member.load = load;
            member.applied.clear();
            member.applied.extend_from_slice(applied);
        }
    }

    /// Records a failure to reach an instance: it becomes suspected, or gone if it was leaving.
    pub fn record_failure(&mut self, now: Time, instance: &Instance) {
        let Some(member) = self.members.get_mut(instance) else {
            return;
        };
        member.failed_at = Some(now);
        let repeated = member
            .suspected_at
            .is_some_and(|at| now.since(at) < SUSPICION_INTERVAL);
        let state = match member.entry.state {
            State::Live if repeated => return self.bump_revision(now),
            State::Live => State::Suspected,
            // A leaving instance that can't be reached has stopped.
            State::Leaving => State::Gone,
            State::Suspected | State::Gone => {
                let disputed_by = member.disputed_by.take();
                self.corrections
                    .extend(disputed_by.map(|by| (by, instance.clone())));
                return self.bump_revision(now);
            }
        };
        member.suspected_at = Some(now);
        let entry = Entry {
            state,
            ..member.entry.clone()
        };
        self.insert(now, entry);
        self.pending.push(Change::Instance(instance.clone()));
    }

    /// Merges an entry from another instance; returns whether the view changed.
    pub fn merge(&mut self, now: Time, entry: &Entry) -> bool {
        // Other instances' decisions that an instance is gone don't count; see `State`.
        let entry = entry.for_peers();
        if entry.instance == self.local.instance {
            return self.refute(now, &entry);
        }
        let known = self.members.get(&entry.instance);
        if known.is_some_and(|member| member.entry >= entry) {
            return false;
        }
        self.pending.push(Change::Instance(entry.instance.clone()));
        self.insert(now, entry);
        true
    }

    /// Records that instance `by` reports another one as live that is gone here.
    ///
    /// `by` is notified at once if this instance recently failed to reach the other one, or else
    /// after a probe of it fails. It is not notified earlier: while a partition ends, each side
    /// would make the other suspect that side's own instances.
    pub fn record_dispute(&mut self, by: &Instance, entry: &Entry) {
        let Some(member) = self.members.get_mut(&entry.instance) else {
            return;
        };
        let same = member.entry.incarnation == entry.incarnation;
        if !same || (member.entry.state, entry.state) != (State::Gone, State::Live) {
            return;
        }
        if member.failed_at.is_some() {
            let correction = (by.clone(), entry.instance.clone());
            self.corrections.push(correction);
        } else {
            member.disputed_by = Some(by.clone());
        }
    }

    /// Refutes a false entry about this instance with a higher incarnation.
    fn refute(&mut self, now: Time, entry: &Entry) -> bool {
        let wrong = (entry.incarnation, entry.state) > (self.local.incarnation, self.local.state);
        if wrong {
            let incarnation = entry.incarnation.saturating_add(1);
            self.replace_local(now, incarnation, self.local.state);
        }
        wrong
    }

    fn replace_local(&mut self, now: Time, incarnation: u64, state: State) {
        self.digest = self.digest.wrapping_sub(entry_hash(&self.local));
        self.local.incarnation = incarnation;
        self.local.state = state;
        self.digest = self.digest.wrapping_add(entry_hash(&self.local));
        self.pending
            .push(Change::Instance(self.local.instance.clone()));
        self.bump_revision(now);
    }

    /// Inserts an entry or replaces an older one.
    fn insert(&mut self, now: Time, entry: Entry) {
        if is_shared(&entry) {
            self.digest = self.digest.wrapping_add(entry_hash(&entry));
        }
        let Some(member) = self.members.get_mut(&entry.instance) else {
            let member = Member::new(entry.clone(), now);
            self.members.insert(entry.instance, member);
            return self.bump_revision(now);
        };
        if is_shared(&member.entry) {
            self.digest = self.digest.wrapping_sub(entry_hash(&member.entry));
        }
        let name = &entry.instance;
        let (old, restarted) = (&member.entry, member.entry.started != entry.started);
        let stopped = old.state == State::Leaving || member.left;
        if old.started > 0 && !stopped && (restarted || entry.state == State::Gone) {
            let key = (name.clone(), old.started);
            self.losses.entry(key).or_insert(now);
        }
        if entry.state != State::Gone {
            self.losses.remove(&(name.clone(), entry.started));
        }
        member.disputed_by = None;
        member.left = member.entry.state == State::Leaving && entry.state == State::Gone;
        member.entry = entry;
        member.changed_at = now;
        self.bump_revision(now);
    }

    /// Records a report of an upstream; returns whether the view changed.
    ///
    /// `version` is the time of the report by the upstream's clock in Unix microseconds. It is
    /// replaced by `now` if the upstream's clock is wrong, as the entry would otherwise never
    /// expire, or expire at once.
    pub fn record_upstream(
        &mut self,
        now: Time,
        pool: &Pool,
        upstream: &Upstream,
        leaving: bool,
        version: u64,
    ) -> bool {
        let known = self.departure(pool, upstream);
        // Skip reports without a change, which would otherwise spread with each new version.
        if known.map_or(!leaving, |departure| departure.leaving == leaving) {
            return false;
        }
        let reported = Time(version);
        let skew = now.since(reported).max(reported.since(now));
        let version = if skew > MAX_CLOCK_SKEW {
            now.0
        } else {
            version
        };
        self.merge_departure(
            now,
            &Departure {
                pool: pool.clone(),
                upstream: upstream.clone(),
                version,
                leaving,
            },
        )
    }

    /// Merges the entry of an upstream from another instance; returns whether the view changed.
    pub fn merge_departure(&mut self, now: Time, departure: &Departure) -> bool {
        let expired = Time(departure.version) + DEPARTURE_RETENTION < now;
        let key = (departure.pool.clone(), departure.upstream.clone());
        let known = self.departures.get(&key);
        if expired || known.is_some_and(|known| known >= departure) {
            return false;
        }
        let old = known.map_or(0, departure_hash);
        self.digest = self
            .digest
            .wrapping_sub(old)
            .wrapping_add(departure_hash(departure));
        self.pending
            .push(Change::Upstream(key.0.clone(), key.1.clone()));
        self.departures.insert(key, departure.clone());
        self.bump_revision(now);
        true
    }

    /// Applies all timeouts that have passed at `now`.
    pub fn tick(&mut self, now: Time) {
        let mut gone = Vec::new();
        let mut expired = Vec::new();
        let mut reachable = false;
        for (instance, member) in &mut self.members {
            let age = now.since(member.changed_at);
            match member.entry.state {
                State::Suspected if age >= REFUTATION_TIMEOUT => gone.push(instance.clone()),
                State::Leaving if age >= GONE_RETENTION => gone.push(instance.clone()),
                State::Gone if age >= GONE_RETENTION && !member.listed => {
                    expired.push(instance.clone());
                }
                _ => {}
            }
            if member
                .failed_at
                .is_some_and(|at| now.since(at) >= RETRY_DELAY)
            {
                member.failed_at = None;
                reachable = true;
            }
        }
        if reachable || !expired.is_empty() {
            self.bump_revision(now);
        }
        for instance in expired {
            self.members.remove(&instance);
        }
        for instance in gone {
            if let Some(member) = self.members.get(&instance) {
                let entry = Entry {
                    state: State::Gone,
                    ..member.entry.clone()
                };
                self.insert(now, entry);
            }
        }
        self.expire(now);
    }

    fn expire(&mut self, now: Time) {
        let mut sum = 0_u64;
        self.losses.retain(|_, at| *at + LOSS_RETENTION >= now);
        self.departures.retain(|_, departure| {
            let retain = Time(departure.version) + DEPARTURE_RETENTION >= now;
            if !retain {
                sum = sum.wrapping_add(departure_hash(departure));
            }
            retain
        });
        if sum != 0 {
            self.digest = self.digest.wrapping_sub(sum);
            self.bump_revision(now);
        }
    }

    fn bump_revision(&mut self, now: Time) {
        self.revision += 1;
        self.last_changed = now;
    }

    fn raise_highest(&mut self, offsets: &[u64]) {
        if self.highest_applied.len() < offsets.len() {
            self.highest_applied.resize(offsets.len(), 0);
        }
        for (highest, offset) in self.highest_applied.iter_mut().zip(offsets) {
            *highest = (*highest).max(*offset);
        }
    }

    /// Returns whether there are changes that have not been sent.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.corrections.is_empty()
    }

    /// Removes and returns the changes that have not been sent.
    pub fn take_pending(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.pending)
    }

    /// Returns the number of changes that have not been sent.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Drops all changes that have not been sent except the first `count`.
    pub fn truncate_pending(&mut self, count: usize) {
        self.pending.truncate(count);
    }

    /// Removes and returns pairs of an instance to notify and one that it regards as live although
    /// it is suspected or gone here.
    pub fn take_corrections(&mut self) -> Vec<(Instance, Instance)> {
        std::mem::take(&mut self.corrections)
    }

    /// Returns the digests of the groups of instances, followed by the digest of the upstreams.
    pub fn group_digests(&self) -> Vec<u32> {
        let mut sums = vec![0_u64; DIGEST_GROUPS + 1];
        for entry in self.entries() {
            let sum = &mut sums[digest_group(&entry.instance)];
            *sum = sum.wrapping_add(entry_hash(entry));
        }
        for departure in self.departures.values() {
            sums[DIGEST_GROUPS] = sums[DIGEST_GROUPS].wrapping_add(departure_hash(departure));
        }
        sums.into_iter().map(|sum| sum as u32).collect()
    }

    fn entries(&self) -> impl Iterator<Item = &Entry> {
        let others = self.members.values().map(|member| &member.entry);
        std::iter::once(&self.local)
            .chain(others)
            .filter(|entry| is_shared(entry))
    }

    /// Returns the groups whose digests differ from those of a peer.
    pub fn differing_groups(&self, remote: &[u32]) -> Vec<u8> {
        let local = self.group_digests();
        let differs =
            |index: &u8| remote.get(usize::from(*index)) != local.get(usize::from(*index));
        (0..=DIGEST_GROUPS as u8).filter(differs).collect()
    }

    /// Returns all shared entries of the given groups.
    pub fn entries_in_groups(&self, groups: &[u8]) -> (Vec<Entry>, Vec<Departure>) {
        let requested: Set<usize> = groups.iter().map(|group| usize::from(*group)).collect();
        let entries = self
            .entries()
            .filter(|entry| requested.contains(&digest_group(&entry.instance)))
            .cloned()
            .collect();
        let departures = if requested.contains(&DIGEST_GROUPS) {
            self.departures.values().cloned().collect()
        } else {
            Vec::new()
        };
        (entries, departures)
    }

    /// Returns an immutable snapshot for readers.
    pub fn snapshot(&self) -> Snapshot {
        let members = self.members.values();
        let departures: Arc<[Departure]> = self
            .departures
            .values()
            .filter(|departure| departure.leaving)
            .cloned()
            .collect();
        Snapshot::new(
            self.local.clone(),
            members,
            departures,
            self.highest_applied.clone(),
        )
    }
}
