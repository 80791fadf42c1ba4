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
    pub near: usize,
    /// Number of partners in other zones.
    pub far: usize,
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
            near: 4,
            far: 2,
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
    rotated: Time,
    recent: Vec<Repeat>,
    /// Time at which digests were last sent.
    compared: Time,
    /// Tokens of the rate limit; each lets one change be sent at once.
    tokens: f64,
    refilled: Time,
}

/// A change that heartbeats still repeat.
#[derive(Debug)]
struct Repeat {
    change: Change,
    left: u32,
    since: Time,
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
        self.upkeep(now, view, rng);
        let mut targets = self.choose(view, rng);
        targets.extend(probe(view, rng));
        if targets.is_empty() {
            return Vec::new();
        }
        let body = Body::Heartbeat(self.heartbeat(now, view));
        targets.into_iter().map(|to| (to, body.clone())).collect()
    }

    /// Returns the messages that spread the pending changes.
    pub fn spread(&mut self, now: Time, view: &mut View, rng: &mut impl Rng) -> Vec<Message> {
        let mut messages = contradict(view);
        let mut fresh = view.take_fresh();
        if fresh.is_empty() {
            return messages;
        }
        fresh.sort_by_key(|change| !is_urgent(view, change));
        let at_once = fresh.len().min(self.allowance(now));
        let news = collect(view, fresh[..at_once].iter());
        for change in fresh {
            self.recent.retain(|repeat| repeat.change != change);
            self.recent.push(Repeat {
                change,
                left: self.tuning.repeats,
                since: now,
            });
        }
        self.upkeep(now, view, rng);
        if news.is_empty() {
            return messages;
        }
        self.tokens -= at_once as f64;
        let body = Body::Rumor(news);
        let told = self.partners.sample(rng, self.tuning.fanout);
        messages.extend(told.map(|to| (to.clone(), body.clone())));
        messages
    }

    /// Refills the tokens; returns the number of changes that may be sent at once.
    fn allowance(&mut self, now: Time) -> usize {
        let Tuning { rate, burst, .. } = self.tuning;
        let gained = now.since(self.refilled).as_secs_f64() * rate;
        self.refilled = now;
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
            Body::Heartbeat(heartbeat) => self.beat(now, view, from, &heartbeat),
            Body::Rumor(news) => {
                take(now, view, from, &news);
                let back = select(view, &news.wanted);
                if back.is_empty() {
                    return Vec::new();
                }
                vec![(from.clone(), Body::Rumor(back))]
            }
            Body::Digest(groups) => {
                let mut differ = view.compare(&groups);
                // Each exchange starts at another group, or the last groups would never be
                // exchanged while the first ones keep changing.
                let start = view.revision() as usize % differ.len().max(1);
                differ.rotate_left(start);
                differ.truncate(self.tuning.groups);
                if differ.is_empty() {
                    return Vec::new();
                }
                let news = News {
                    wanted: differ.clone(),
                    ..select(view, &differ)
                };
                vec![(from.clone(), Body::Rumor(news))]
            }
            _ => Vec::new(),
        }
    }

    fn beat(
        &mut self,
        now: Time,
        view: &mut View,
        from: &Instance,
        heartbeat: &Heartbeat,
    ) -> Vec<Message> {
        take(now, view, from, &heartbeat.news);
        if heartbeat.entry.instance == *from {
            view.connected(now, &heartbeat.entry);
        }
        view.reported(from, heartbeat.load, &heartbeat.applied, &heartbeat.highest);
        let settled = now.since(view.changed()) >= SETTLE_TIME;
        let overdue = now.since(self.compared) >= MAX_DIGEST_DELAY;
        let due = now.since(self.compared) >= SETTLE_TIME && settled || overdue;
        if heartbeat.digest == view.digest() || !due {
            return Vec::new();
        }
        self.compared = now;
        vec![(from.clone(), Body::Digest(view.groups()))]
    }

    /// Replaces unusable partners, and one of the others once per rotation interval.
    ///
    /// Partners stay for a while, as a new link costs more than many heartbeats. The rotation
    /// ensures that each instance is regularly contacted by different instances.
    fn upkeep(&mut self, now: Time, view: &View, rng: &mut impl Rng) {
        if now.since(self.rotated) >= self.tuning.rotation {
            self.rotated = now;
            if self.partners.len() >= self.tuning.near + self.tuning.far {
                let index = rng.random_range(0..self.partners.len());
                self.partners.swap_remove(index);
            }
        }
        let usable = |instance: &Instance| {
            let member = view.members.get(instance);
            member.is_some_and(|member| member.status().usable())
        };
        self.partners.retain(usable);
        let zone = &view.own().zone;
        let near = |instance: &Instance| {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| entry.zone == *zone)
        };
        let have_near = self.partners.iter().filter(|p| near(p)).count();
        let have_far = self.partners.len() - have_near;
        let missing = [
            (true, self.tuning.near.saturating_sub(have_near)),
            (false, self.tuning.far.saturating_sub(have_far)),
        ];
        for (own_zone, count) in missing {
            if count == 0 {
                continue;
            }
            let candidates = view
                .members
                .iter()
                .filter(|(_, member)| (member.entry.zone == *zone) == own_zone)
                .filter(|(_, member)| member.status() == Status::Live)
                .map(|(instance, _)| instance)
                .filter(|instance| !self.partners.contains(instance));
            let chosen = candidates.cloned().sample(rng, count);
            self.partners.extend(chosen);
        }
        self.partners.shuffle(rng);
    }

    /// Chooses one partner in the local zone and one in another.
    fn choose(&self, view: &View, rng: &mut impl Rng) -> Vec<Instance> {
        let zone = &view.own().zone;
        let near = |instance: &&Instance| {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| entry.zone == *zone)
        };
        let (near, far): (Vec<_>, Vec<_>) = self.partners.iter().partition(near);
        [near.choose(rng), far.choose(rng)]
            .into_iter()
            .flatten()
            .map(|instance| (*instance).clone())
            .collect()
    }

    fn heartbeat(&mut self, now: Time, view: &View) -> Heartbeat {
        self.recent
            .retain(|repeat| now.since(repeat.since) < MAX_REPEAT_AGE);
        let batch = self.recent.len().min(self.tuning.batch);
        let repeats = &mut self.recent[..batch];
        let news = collect(view, repeats.iter().map(|repeat| &repeat.change));
        for repeat in repeats {
            repeat.left -= 1;
        }
        // Changes that were repeated less often come first next time.
        self.recent.rotate_left(batch);
        self.recent.retain(|repeat| repeat.left > 0);
        Heartbeat {
            entry: view.own().clone(),
            load: view.load(),
            applied: view.applied().to_vec(),
            highest: view.highest().to_vec(),
            digest: view.digest(),
            news,
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
fn contradict(view: &mut View) -> Vec<Message> {
    let mut told: BTreeMap<Instance, Vec<Change>> = BTreeMap::new();
    for (to, about) in view.take_contradicted() {
        told.entry(to).or_default().push(Change::Instance(about));
    }
    told.into_iter()
        .map(|(to, changes)| (to, Body::Rumor(collect(view, changes.iter()))))
        .collect()
}

/// Collects the entries of changes.
fn collect<'a>(view: &View, changes: impl Iterator<Item = &'a Change>) -> News {
    let mut news = News::default();
    for change in changes {
        match change {
            Change::Instance(instance) => {
                news.entries.extend(view.entry(instance).map(Entry::told));
            }
            Change::Upstream(pool, upstream) => {
                news.departures
                    .extend(view.departure(pool, upstream).cloned());
            }
        }
    }
    news
}

/// Collects all entries of some groups, for a peer whose digests differ.
fn select(view: &View, groups: &[u8]) -> News {
    if groups.is_empty() {
        return News::default();
    }
    let (entries, departures) = view.select(groups);
    News {
        entries,
        departures,
        quiet: true,
        wanted: Vec::new(),
    }
}

fn take(now: Time, view: &mut View, from: &Instance, news: &News) {
    let known = view.fresh_count();
    for entry in &news.entries {
        if !view.merge(now, entry) {
            view.claim(from, entry);
        }
    }
    for departure in &news.departures {
        view.merge_departure(now, departure);
    }
    if news.quiet {
        // Entries sent because of a digest mismatch are old changes that others already have.
        view.settle(known);
    }
}

/// Chooses instances of unknown or disputed state to probe with a heartbeat.
fn probe(view: &View, rng: &mut impl Rng) -> Vec<Instance> {
    let claimed = |member: &Member| member.claimed.is_some();
    let unknown =
        |member: &Member| member.entry.incarnation == 0 && member.status() == Status::Live;
    let lost = |member: &Member| member.entry.state == State::Gone && !member.left;
    let candidates = matching(view, claimed);
    if !candidates.is_empty() {
        return candidates
            .sample(rng, MAX_DISPUTED_PROBES)
            .copied()
            .cloned()
            .collect();
    }
    let unknown = pick(view, rng, PROBES_PER_SECOND, unknown);
    let chosen = unknown.or_else(|| pick(view, rng, GONE_PROBES_PER_SECOND, lost));
    chosen.into_iter().collect()
}

fn matching<F>(view: &View, wanted: F) -> Vec<&Instance>
where
    F: Fn(&Member) -> bool,
{
    let members = view.members.iter();
    let matching = members.filter(|(_, member)| wanted(member));
    matching.map(|(instance, _)| instance).collect()
}

/// Chooses a matching instance with the probability at which all instances together choose each
/// one `rate` times per second.
fn pick<F>(view: &View, rng: &mut impl Rng, rate: f64, wanted: F) -> Option<Instance>
where
    F: Fn(&Member) -> bool,
{
    let candidates = matching(view, wanted);
    let share = rate * candidates.len() as f64 / (view.members.len() + 1) as f64;
    let candidate = candidates.choose(rng).copied().cloned();
    candidate.filter(|_| rng.random_bool(share.clamp(0.0, 1.0)))
}
