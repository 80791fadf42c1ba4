//! Gossip protocol that spreads changes of the view.
//!
//! Each instance has a few partners. It sends a change to some of them at once, and each
//! instance that receives the change forwards it once; the heartbeats that follow repeat it.
//! Changes that are still missed show as a mismatch of digests in a heartbeat, after which the
//! groups of entries that differ are exchanged. The cost of an idle instance does not depend on
//! the number of instances.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand::{
    seq::{
        IndexedRandom,
        IteratorRandom,
        SliceRandom, //
    },
    Rng, RngExt,
};

use super::{
    entry::{
        Entry,
        State, //
    },
    snapshot::Status,
    view::{
        Change,
        Member,
        View, //
    },
};
use crate::{
    clock::Time,
    name::Instance,
    peer::wire::{
        Body,
        Heartbeat,
        News, //
    },
};

/// Parameters that determine the cost and the speed of the gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Number of partners in the local zone.
    pub local_partners: usize,
    /// Number of partners in other zones.
    pub remote_partners: usize,
    /// Number of partners to which a change is sent at once.
    pub fanout: usize,
    /// Number of heartbeats that repeat a change.
    pub repeats: u32,
    /// Maximum number of changes in one heartbeat.
    pub batch: usize,
    /// Changes per second that are sent at once; others wait for heartbeats.
    ///
    /// This bounds the cost while a zone fails or recovers.
    pub rate: f64,
    /// Maximum burst, in seconds of `rate`.
    pub burst: f64,
    /// Maximum number of groups of entries in one exchange.
    pub groups: usize,
    /// Interval at which one partner is replaced.
    pub rotation: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            local_partners: 4,
            remote_partners: 2,
            fanout: 6,
            repeats: 4,
            batch: 32,
            rate: 20.0,
            burst: 5.0,
            groups: 16,
            rotation: Duration::from_secs(10),
        }
    }
}

/// Time without a change after which a mismatch of digests is not just due to messages in flight.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after which digests are sent even if the view keeps changing.
const MAX_DIGEST_DELAY: Duration = Duration::from_secs(2);

/// Attempts per second, by all instances together, to reach an instance that is known only from
/// the list.
const PROBES_PER_SECOND: f64 = 3.0;

/// Attempts per second, by all instances together, to reach an instance that is gone.
///
/// They end a partition after which two zones regard each other's instances as gone.
const GONE_PROBES_PER_SECOND: f64 = 0.5;

/// Maximum number of instances probed in one round because a peer reports them as live while they
/// are gone here.
const MAX_DISPUTED_PROBES: usize = 4;

/// Maximum age of a change that heartbeats repeat.
///
/// Without it, the repeats of many changes would continue for minutes after all members agree.
const MAX_REPEAT_AGE: Duration = Duration::from_secs(15);

/// Chooses which messages are sent to which instances.
#[derive(Debug, Default)]
pub struct Gossip {
    tuning: Tuning,
    partners: Vec<Instance>,
    rotated_at: Time,
    repeats: Vec<Repeat>,
    /// Time at which digests were last sent.
    digests_sent_at: Time,
    /// Tokens of the rate limit; each lets one change be sent at once.
    tokens: f64,
    refilled_at: Time,
}

/// A change that heartbeats still repeat.
#[derive(Debug)]
struct Repeat {
    change: Change,
    remaining: u32,
    queued_at: Time,
}

/// Receiver and content of a message.
pub type Message = (Instance, Body);

impl Gossip {
    /// Creates the state of the gossip with the given parameters.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Runs the periodic round; returns the heartbeats to send.
    pub fn round(&mut self, now: Time, view: &mut View, rng: &mut impl Rng) -> Vec<Message> {
        view.tick(now);
        self.maintain_partners(now, view, rng);
        let mut targets = self.choose_targets(view, rng);
        targets.extend(probe_targets(view, rng));
        if targets.is_empty() {
            return Vec::new();
        }
        let body = Body::Heartbeat(self.heartbeat(now, view));
        targets.into_iter().map(|to| (to, body.clone())).collect()
    }

    /// Returns the messages that spread the pending changes.
    pub fn spread(&mut self, now: Time, view: &mut View, rng: &mut impl Rng) -> Vec<Message> {
        let mut messages = build_corrections(view);
        let mut pending = view.take_pending();
        if pending.is_empty() {
            return messages;
        }
        pending.sort_by_key(|change| !is_urgent(view, change));
        let immediate = pending.len().min(self.refill_tokens(now));
        let update = build_update(view, pending[..immediate].iter());
        for change in pending {
            self.repeats.retain(|repeat| repeat.change != change);
            self.repeats.push(Repeat {
                change,
                remaining: self.tuning.repeats,
                queued_at: now,
            });
        }
        self.maintain_partners(now, view, rng);
        if update.is_empty() {
            return messages;
        }
        self.tokens -= immediate as f64;
        let body = Body::Rumor(update);
        let targets = self.partners.sample(rng, self.tuning.fanout);
        messages.extend(targets.map(|to| (to.clone(), body.clone())));
        messages
    }

    /// Refills the tokens; returns the number of changes that may be sent at once.
    fn refill_tokens(&mut self, now: Time) -> usize {
        let Tuning { rate, burst, .. } = self.tuning;
        let gained = now.since(self.refilled_at).as_secs_f64() * rate;
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(rate * burst);
        self.tokens as usize
    }

    /// Processes a message of another instance; returns the messages to send back.
    pub fn receive(
        &mut self,
        now: Time,
        view: &mut View,
        from: &Instance,
        body: Body,
    ) -> Vec<Message> {
        match body {
            Body::Heartbeat(heartbeat) => self.receive_heartbeat(now, view, from, &heartbeat),
            Body::Rumor(update) => {
                apply_update(now, view, from, &update);
                let reply = build_group_update(view, &update.requested_groups);
                if reply.is_empty() {
                    return Vec::new();
                }
                vec![(from.clone(), Body::Rumor(reply))]
            }
            Body::Digest(groups) => {
                let mut differing = view.differing_groups(&groups);
                // Each exchange starts at another group, or the last groups would never be
                // exchanged while the first ones keep changing.
                let start = view.revision() as usize % differing.len().max(1);
                differing.rotate_left(start);
                differing.truncate(self.tuning.groups);
                if differing.is_empty() {
                    return Vec::new();
                }
                let update = News {
                    requested_groups: differing.clone(),
                    ..build_group_update(view, &differing)
                };
                vec![(from.clone(), Body::Rumor(update))]
            }
            _ => Vec::new(),
        }
    }

    fn receive_heartbeat(
        &mut self,
        now: Time,
        view: &mut View,
        from: &Instance,
        heartbeat: &Heartbeat,
    ) -> Vec<Message> {
        apply_update(now, view, from, &heartbeat.update);
        if heartbeat.entry.instance == *from {
            view.record_contact(now, &heartbeat.entry);
        }
        view.record_report(
            from,
            heartbeat.load,
            &heartbeat.applied,
            &heartbeat.highest_applied,
        );
        let settled = now.since(view.last_changed()) >= SETTLE_TIME;
        let overdue = now.since(self.digests_sent_at) >= MAX_DIGEST_DELAY;
        let due = now.since(self.digests_sent_at) >= SETTLE_TIME && settled || overdue;
        if heartbeat.digest == view.digest() || !due {
            return Vec::new();
        }
        self.digests_sent_at = now;
        vec![(from.clone(), Body::Digest(view.group_digests()))]
    }

    /// Replaces unusable partners, and one of the others once per rotation interval.
    ///
    /// Partners stay for a while, as a new link costs more than many heartbeats. The rotation
    /// ensures that each instance is regularly contacted by different instances.
    fn maintain_partners(&mut self, now: Time, view: &View, rng: &mut impl Rng) {
        if now.since(self.rotated_at) >= self.tuning.rotation {
            self.rotated_at = now;
            if self.partners.len() >= self.tuning.local_partners + self.tuning.remote_partners {
                let index = rng.random_range(0..self.partners.len());
                self.partners.swap_remove(index);
            }
        }
        let usable = |instance: &Instance| {
            let member = view.members.get(instance);
            member.is_some_and(|member| member.status().usable())
        };
        self.partners.retain(usable);
        let zone = &view.local().zone;
        let same_zone = |instance: &Instance| {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| entry.zone == *zone)
        };
        let local_count = self.partners.iter().filter(|p| same_zone(p)).count();
        let remote_count = self.partners.len() - local_count;
        let missing = [
            (true, self.tuning.local_partners.saturating_sub(local_count)),
            (
                false,
                self.tuning.remote_partners.saturating_sub(remote_count),
            ),
        ];
        for (in_local_zone, count) in missing {
            if count == 0 {
                continue;
            }
            let candidates = view
                .members
                .iter()
                .filter(|(_, member)| (member.entry.zone == *zone) == in_local_zone)
                .filter(|(_, member)| member.status() == Status::Live)
                .map(|(instance, _)| instance)
                .filter(|instance| !self.partners.contains(instance));
            let chosen = candidates.cloned().sample(rng, count);
            self.partners.extend(chosen);
        }
        self.partners.shuffle(rng);
    }

    /// Chooses one partner in the local zone and one in another.
    fn choose_targets(&self, view: &View, rng: &mut impl Rng) -> Vec<Instance> {
        let zone = &view.local().zone;
        let same_zone = |instance: &&Instance| {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| entry.zone == *zone)
        };
        let (local, remote): (Vec<_>, Vec<_>) = self.partners.iter().partition(same_zone);
        [local.choose(rng), remote.choose(rng)]
            .into_iter()
            .flatten()
            .map(|instance| (*instance).clone())
            .collect()
    }

    fn heartbeat(&mut self, now: Time, view: &View) -> Heartbeat {
        self.repeats
            .retain(|repeat| now.since(repeat.queued_at) < MAX_REPEAT_AGE);
        let batch = self.repeats.len().min(self.tuning.batch);
        let sent = &mut self.repeats[..batch];
        let update = build_update(view, sent.iter().map(|repeat| &repeat.change));
        for repeat in sent {
            repeat.remaining -= 1;
        }
        // Changes that were repeated less often come first next time.
        self.repeats.rotate_left(batch);
        self.repeats.retain(|repeat| repeat.remaining > 0);
        Heartbeat {
            entry: view.local().clone(),
            load: view.load(),
            applied: view.applied().to_vec(),
            highest_applied: view.highest_applied().to_vec(),
            digest: view.digest(),
            update,
        }
    }
}

/// Returns whether a change has to be sent before suspicions.
///
/// After a late refutation, others have already stopped using an instance that is alive; and an
/// instance or upstream that is leaving gets work from each instance that does not know it.
fn is_urgent(view: &View, change: &Change) -> bool {
    match change {
        Change::Instance(instance) => {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| matches!(entry.state, State::Live | State::Leaving))
        }
        Change::Upstream(..) => true,
    }
}

/// Returns messages to instances that regard an instance, maybe themselves, as live although it
/// is suspected or gone here.
fn build_corrections(view: &mut View) -> Vec<Message> {
    let mut corrections: BTreeMap<Instance, Vec<Change>> = BTreeMap::new();
    for (to, about) in view.take_corrections() {
        corrections
            .entry(to)
            .or_default()
            .push(Change::Instance(about));
    }
    corrections
        .into_iter()
        .map(|(to, changes)| (to, Body::Rumor(build_update(view, changes.iter()))))
        .collect()
}

/// Collects the entries of changes.
fn build_update<'a>(view: &View, changes: impl Iterator<Item = &'a Change>) -> News {
    let mut update = News::default();
    for change in changes {
        match change {
            Change::Instance(instance) => {
                update
                    .entries
                    .extend(view.entry(instance).map(Entry::for_peers));
            }
            Change::Upstream(pool, upstream) => {
                update
                    .departures
                    .extend(view.departure(pool, upstream).cloned());
            }
        }
    }
    update
}

/// Collects all entries of some groups, for a peer whose digests differ.
fn build_group_update(view: &View, groups: &[u8]) -> News {
    if groups.is_empty() {
        return News::default();
    }
    let (entries, departures) = view.entries_in_groups(groups);
    News {
        entries,
        departures,
        no_forward: true,
        requested_groups: Vec::new(),
    }
}

fn apply_update(now: Time, view: &mut View, from: &Instance, update: &News) {
    let pending = view.pending_count();
    for entry in &update.entries {
        if !view.merge(now, entry) {
            view.record_dispute(from, entry);
        }
    }
    for departure in &update.departures {
        view.merge_departure(now, departure);
    }
    if update.no_forward {
        // Entries sent because of a digest mismatch are old changes that others already have.
        view.truncate_pending(pending);
    }
}

/// Chooses instances of unknown or disputed state to probe with a heartbeat.
fn probe_targets(view: &View, rng: &mut impl Rng) -> Vec<Instance> {
    let disputed = |member: &Member| member.disputed_by.is_some();
    let unknown =
        |member: &Member| member.entry.incarnation == 0 && member.status() == Status::Live;
    let gone = |member: &Member| member.entry.state == State::Gone && !member.left;
    let candidates = matching(view, disputed);
    if !candidates.is_empty() {
        return candidates
            .sample(rng, MAX_DISPUTED_PROBES)
            .copied()
            .cloned()
            .collect();
    }
    let unknown = choose_at_rate(view, rng, PROBES_PER_SECOND, unknown);
    let chosen = unknown.or_else(|| choose_at_rate(view, rng, GONE_PROBES_PER_SECOND, gone));
    chosen.into_iter().collect()
}

fn matching<F>(view: &View, filter: F) -> Vec<&Instance>
where
    F: Fn(&Member) -> bool,
{
    let members = view.members.iter();
    let matching = members.filter(|(_, member)| filter(member));
    matching.map(|(instance, _)| instance).collect()
}

/// Chooses a matching instance with the probability at which all instances together choose each
/// one `rate` times per second.
fn choose_at_rate<F>(view: &View, rng: &mut impl Rng, rate: f64, filter: F) -> Option<Instance>
where
    F: Fn(&Member) -> bool,
{
    let candidates = matching(view, filter);
    let share = rate * candidates.len() as f64 / (view.members.len() + 1) as f64;
    let candidate = candidates.choose(rng).copied().cloned();
    candidate.filter(|_| rng.random_bool(share.clamp(0.0, 1.0)))
}
