//! Who is told what about changes in the view.
//!
//! Each instance keeps a few partners. A change is told to some of them at once, and each
//! instance that learns of it does the same once; the heartbeats that follow repeat it. What is
//! still missed shows as a difference of digests in a heartbeat, and the groups of entries that
//! differ are exchanged. The cost of an instance at rest does not depend on the number of
//! instances.

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

/// Numbers that decide cost and speed of the gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Partners in the own zone.
    pub near: usize,
    /// Partners in other zones.
    pub far: usize,
    /// Partners that are told of a change at once.
    pub fanout: usize,
    /// Heartbeats that repeat a change.
    pub repeats: u32,
    /// Changes that one heartbeat repeats at most.
    pub batch: usize,
    /// Changes per second that are told at once; others wait for heartbeats.
    ///
    /// It bounds the cost while a zone fails or comes back.
    pub rate: f64,
    /// Seconds of `rate` that may be used in one burst.
    pub burst: f64,
    /// Groups of entries that one exchange compares at most.
    pub groups: usize,
    /// Time after which one partner is replaced.
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

/// Time without a change after which a difference of digests is not one of timing only.
const SETTLED: Duration = Duration::from_secs(1);

/// Time after which digests are sent although the view keeps changing.
const OVERDUE: Duration = Duration::from_secs(2);

/// Attempts per second, by all instances together, to reach one that is known from the list only.
const PROBES: f64 = 3.0;

/// Attempts per second, by all instances together, to reach one that is gone.
///
/// They end a partition between two zones that have given each other up.
const REVIVALS: f64 = 0.5;

/// Instances tried in one round of those that are gone here but live elsewhere.
const CLAIMED: usize = 4;

/// Time after which a change is no longer repeated.
///
/// Without it, the repeats of many changes would go on for minutes after all members agree.
const STALE: Duration = Duration::from_secs(15);

/// Chooses who is told what.
#[derive(Debug, Default)]
pub struct Gossip {
    tuning: Tuning,
    partners: Vec<Instance>,
    rotated: Time,
    recent: Vec<Repeat>,
    /// Time of the last digests sent.
    compared: Time,
    /// Changes that may be told at once.
    tokens: f64,
    refilled: Time,
}

/// A change that heartbeats repeat.
#[derive(Debug)]
struct Repeat {
    change: Change,
    left: u32,
    since: Time,
}

/// A message to an instance.
pub type Message = (Instance, Body);

impl Gossip {
    /// Makes a chooser with other numbers than the default.
    pub fn new(tuning: Tuning) -> Self {
        Self {
            tuning,
            ..Self::default()
        }
    }

    /// Does what is due in each period.
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

    /// Tells changes that have not been told.
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

    /// Returns the number of changes that may be told at once.
    fn allowance(&mut self, now: Time) -> usize {
        let Tuning { rate, burst, .. } = self.tuning;
        let gained = now.since(self.refilled).as_secs_f64() * rate;
        self.refilled = now;
        self.tokens = (self.tokens + gained).min(rate * burst);
        self.tokens as usize
    }

    /// Takes a message of another instance; returns the answers.
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
                // Each exchange starts elsewhere, or the last groups would never be compared
                // while the first ones keep changing.
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
        let settled = now.since(view.changed()) >= SETTLED;
        let overdue = now.since(self.compared) >= OVERDUE;
        let due = now.since(self.compared) >= SETTLED && settled || overdue;
        if heartbeat.digest == view.digest() || !due {
            return Vec::new();
        }
        self.compared = now;
        vec![(from.clone(), Body::Digest(view.groups()))]
    }

    /// Replaces partners that can't be used, and one of the others from time to time.
    ///
    /// Partners stay for a while, as a new link costs more than many heartbeats. The replacement
    /// makes sure that each instance is reached by others again and again.
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

    /// Chooses one partner in the own zone and one in another.
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
        self.recent.retain(|repeat| now.since(repeat.since) < STALE);
        let batch = self.recent.len().min(self.tuning.batch);
        let repeats = &mut self.recent[..batch];
        let news = collect(view, repeats.iter().map(|repeat| &repeat.change));
        for repeat in repeats {
            repeat.left -= 1;
        }
        // Changes that were repeated less come first next time.
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

/// Returns whether a change has to be told before suspicions.
///
/// A refutation that comes late lets others give up an instance that is alive, and an instance or
/// upstream that is leaving still gets work where that is not known.
fn is_urgent(view: &View, change: &Change) -> bool {
    match change {
        Change::Instance(instance) => {
            let entry = view.entry(instance);
            entry.is_some_and(|entry| matches!(entry.state, State::Live | State::Leaving))
        }
        Change::Upstream(..) => true,
    }
}

/// Tells instances that others, or they themselves, are suspected.
fn contradict(view: &mut View) -> Vec<Message> {
    let mut told: BTreeMap<Instance, Vec<Change>> = BTreeMap::new();
    for (to, about) in view.take_contradicted() {
        told.entry(to).or_default().push(Change::Instance(about));
    }
    told.into_iter()
        .map(|(to, changes)| (to, Body::Rumor(collect(view, changes.iter()))))
        .collect()
}

/// Reads the entries behind changes.
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

/// Reads all entries of some groups, to catch up a peer whose entries differ.
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
        // The answer to digests is a catch-up that others have seen already.
        view.settle(known);
    }
}

/// Chooses instances whose state is not known and have to be tried.
fn probe(view: &View, rng: &mut impl Rng) -> Vec<Instance> {
    let claimed = |member: &Member| member.claimed.is_some();
    let unknown =
        |member: &Member| member.entry.incarnation == 0 && member.status() == Status::Live;
    let lost = |member: &Member| member.entry.state == State::Gone && !member.left;
    let candidates = matching(view, claimed);
    if !candidates.is_empty() {
        return candidates.sample(rng, CLAIMED).copied().cloned().collect();
    }
    let unknown = pick(view, rng, PROBES, unknown);
    let chosen = unknown.or_else(|| pick(view, rng, REVIVALS, lost));
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

/// Chooses one of the wanted instances so that all instances together choose each one at `rate`.
fn pick<F>(view: &View, rng: &mut impl Rng, rate: f64, wanted: F) -> Option<Instance>
where
    F: Fn(&Member) -> bool,
{
    let candidates = matching(view, wanted);
    let share = rate * candidates.len() as f64 / (view.members.len() + 1) as f64;
    let candidate = candidates.choose(rng).copied().cloned();
    candidate.filter(|_| rng.random_bool(share.clamp(0.0, 1.0)))
}
