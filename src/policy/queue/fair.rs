//! Least-attained-service order with fair shares, deadlines and starvation protection.

use std::{
    cmp::Reverse,
    collections::{
        btree_set,
        BTreeSet,
        BinaryHeap, //
    },
    time::Duration,
};

use super::{
    Entry,
    Order,
    Settings,
    Verdict, //
};
use crate::{
    clock::Time,
    hash::Map,
    name::{
        Class,
        Customer, //
    },
};

/// Sort key of an entry among those of its customer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    /// False precedes true: interactive calls come first.
    batch: bool,
    level: u8,
    deadline: Time,
    sequence: u64,
    id: u64,
}

/// Waiting entries and accumulated service of one customer.
#[derive(Debug, Default)]
struct Flow {
    share: f64,
    /// Tokens served divided by the share, which is comparable between customers.
    served: f64,
    /// Tokens of the latest call divided by the share.
    latest_cost: f64,
    order: BTreeSet<Key>,
    /// Sequence number and id of the entries, oldest first.
    ages: BTreeSet<(u64, u64)>,
    /// Sequence number and id of the entries of each class, oldest first.
    classes: Map<Class, BTreeSet<(u64, u64)>>,
}

#[derive(Debug)]
struct Stored {
    entry: Entry,
    key: Key,
}

/// Fair queue, used by default.
///
/// Customers have equal priority until one is ahead of the least served one by the lead; from then
/// on it waits for the others. When the queue has run empty, differences beyond the lead are
/// dropped, so that shares matter only while demand exceeds capacity.
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    flows: Map<Customer, Flow>,
    stored: Map<u64, Stored>,
    latest_starts: BTreeSet<(Time, u64)>,
    sequence: u64,
    scans: u32,
}

/// Threshold of service above which a customer is ahead of the others.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    floor: f64,
    lead: f64,
    short: f64,
}

impl Threshold {
    /// Returns whether an entry with this key has to wait for other customers.
    ///
    /// Short calls cost little, so they may run further ahead. They are charged like all others,
    /// and the customer's long calls wait longer in return.
    fn ahead(self, flow: &Flow, key: &Key) -> bool {
        let short = !key.batch || key.level == 0;
        let factor = if short { self.short } else { 1.0 };
        flow.served > self.floor + self.lead * factor
    }
}

/// Position in the merge of all customers' entries, ordered by rank.
struct Head<'a> {
    rank: (bool, bool, u8, Time, u64),
    id: u64,
    flow: &'a Flow,
    rest: btree_set::Iter<'a, Key>,
}

impl<'a> Head<'a> {
    fn next(
        threshold: Threshold,
        flow: &'a Flow,
        mut rest: btree_set::Iter<'a, Key>,
    ) -> Option<Self> {
        let key = rest.next()?;
        let ahead = threshold.ahead(flow, key);
        Some(Self {
            rank: (key.batch, ahead, key.level, key.deadline, key.sequence),
            id: key.id,
            flow,
            rest,
        })
    }
}

impl PartialEq for Head<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Head<'_> {}

impl PartialOrd for Head<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Head<'_> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

impl Queue {
    fn key(&self, entry: &Entry) -> Key {
        let attained = entry.call.attained;
        let level = self
            .settings
            .levels
            .iter()
            .filter(|from| attained >= **from)
            .count();
        let interactive = self.settings.interactive && entry.call.interactive;
        Key {
            batch: !interactive,
            level: if interactive { 0 } else { level as u8 },
            deadline: entry.call.deadline,
            sequence: self.sequence,
            id: entry.id,
        }
    }

    fn active(&self) -> impl Iterator<Item = &Flow> {
        self.flows.values().filter(|flow| !flow.ages.is_empty())
    }

    /// Returns the normalized service of the least served customer with waiting entries.
    fn floor(&self) -> Option<f64> {
        self.active().map(|flow| flow.served).reduce(f64::min)
    }

    /// Returns the normalized lead among the customers that have waiting entries and one more with
    /// the share `joining`.
    fn lead(&self, joining: Option<f64>) -> f64 {
        let (mut shares, mut count) = (0.0, 0.0);
        for share in self.active().map(|flow| flow.share).chain(joining) {
            shares += share;
            count += 1.0;
        }
        self.settings.lead as f64 * count / f64::max(shares, 1.0)
    }

    /// Returns the threshold for the customers that have waiting entries.
    fn threshold(&self) -> Threshold {
        Threshold {
            floor: self.floor().unwrap_or(0.0),
            lead: self.lead(None),
            short: self.settings.short,
        }
    }

    /// Returns the least normalized service of a customer with this share that had no waiting
    /// entries.
    ///
    /// It may be behind each of the others by a lead, beyond which they wait, and the call with which
    /// they came to be ahead; at least by two leads. Otherwise a customer whose calls wait one at a
    /// time would lose its share with each of them.
    fn min_service(&self, share: f64) -> f64 {
        let lead = self.lead(Some(share));
        self.active()
            .map(|flow| flow.served - lead - lead.max(flow.latest_cost))
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// Returns the id of each customer's oldest entry if it is starved, customers that are not
    /// ahead first, then in descending order of the wait.
    fn starved(&self, now: Time, threshold: Threshold) -> Vec<u64> {
        let min_wait = Duration::from_millis(self.settings.patience_ms);
        let mut oldest: Vec<_> = self
            .active()
            .filter_map(|flow| Some((flow, flow.ages.first()?)))
            .map(|(flow, age)| (threshold.ahead(flow, &self.stored[&age.1].key), age))
            .filter(|(_, (_, id))| now.since(self.stored[id].entry.queued_at) >= min_wait)
            .collect();
        oldest.sort_unstable();
        oldest.into_iter().map(|(_, (_, id))| *id).collect()
    }

    fn find(&self, now: Time, mut visit: impl FnMut(&Entry) -> Verdict) -> Option<u64> {
        let threshold = self.threshold();
        let mut visits_left = self.settings.depth;
        if self.settings.guard > 0 && self.scans.is_multiple_of(self.settings.guard) {
            for id in self
                .starved(now, threshold)
                .into_iter()
                .take(visits_left / 2)
            {
                visits_left -= 1;
                match visit(&self.stored[&id].entry) {
                    Verdict::Take => return Some(id),
                    Verdict::Skip => {}
                    Verdict::Stop => return None,
                }
            }
        }
        let mut heads: BinaryHeap<_> = self
            .active()
            .filter_map(|flow| Head::next(threshold, flow, flow.order.iter()))
            .map(Reverse)
            .collect();
        while let Some(Reverse(head)) = heads.pop() {
            if visits_left == 0 {
                return None;
            }
            visits_left -= 1;
            match visit(&self.stored[&head.id].entry) {
                Verdict::Take => return Some(head.id),
                Verdict::Skip => {
                    heads.extend(Head::next(threshold, head.flow, head.rest).map(Reverse))
                }
                Verdict::Stop => return None,
            }
        }
        None
    }

    /// Resets the accumulated service while nothing waits; drops differences beyond one lead.
    fn rebase(&mut self) {
        let shares: f64 = self.flows.values().map(|flow| flow.share).sum();
        let lead = self.settings.lead as f64 * self.flows.len() as f64 / shares.max(1.0);
        let served = self.flows.values().map(|flow| flow.served);
        let base = served.fold(0.0, f64::max) - lead;
        self.flows.retain(|_, flow| {
            flow.served -= base;
            flow.served > 0.0
        });
    }
}

impl Order for Queue {
    fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            flows: Map::default(),
            stored: Map::default(),
            latest_starts: BTreeSet::new(),
            sequence: 0,
            scans: 0,
        }
    }

    fn push(&mut self, _: Time, entry: Entry) {
        if self.stored.is_empty() {
            self.rebase();
        }
        self.sequence += 1;
        let key = self.key(&entry);
        let idle = |flow: &Flow| flow.ages.is_empty();
        let returning = self.flows.get(&entry.call.customer).is_none_or(idle);
        let share = f64::from(entry.call.share.max(1));
        let min_service = returning.then(|| self.min_service(share));
        let flow = self.flows.entry(entry.call.customer.clone()).or_default();
        flow.share = share;
        if let Some(min_service) = min_service {
            flow.served = flow.served.max(min_service);
        }
        flow.order.insert(key);
        let age = (key.sequence, entry.id);
        flow.ages.insert(age);
        let class = entry.call.class.clone();
        flow.classes.entry(class).or_default().insert(age);
        self.latest_starts.insert((entry.latest_start, entry.id));
        self.stored.insert(entry.id, Stored { entry, key });
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let Stored { entry, key } = self.stored.remove(&id)?;
        if let Some(flow) = self.flows.get_mut(&entry.call.customer) {
            flow.order.remove(&key);
            flow.ages.remove(&(key.sequence, id));
            if let Some(ages) = flow.classes.get_mut(&entry.call.class) {
                ages.remove(&(key.sequence, id));
                if ages.is_empty() {
                    flow.classes.remove(&entry.call.class);
                }
            }
        }
        self.latest_starts.remove(&(entry.latest_start, id));
        Some(entry)
    }

    fn scan(&mut self, now: Time, visit: impl FnMut(&Entry) -> Verdict) -> Option<Entry> {
        let id = self.find(now, visit)?;
        self.scans = self.scans.wrapping_add(1);
        let entry = self.remove(id)?;
        self.charge(&entry.call.customer, entry.expected_tokens as i64);
        if let Some(flow) = self.flows.get_mut(&entry.call.customer) {
            flow.latest_cost = entry.expected_tokens as f64 / flow.share;
        }
        Some(entry)
    }

    fn charge(&mut self, customer: &Customer, tokens: i64) {
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.served += tokens as f64 / flow.share;
        }
    }

    fn drain(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let mut ids: Vec<u64> = self
            .stored
            .values()
            .filter(|stored| matches(&stored.entry))
            .map(|stored| stored.entry.id)
            .collect();
        ids.sort_unstable();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    fn expire(&mut self, now: Time) -> Vec<Entry> {
        let mut expired = Vec::new();
        while let Some((latest, id)) = self.latest_starts.first().copied() {
            if latest >= now {
                break;
            }
            expired.extend(self.remove(id));
        }
        expired
    }

    fn next_expiry(&self) -> Option<Time> {
        self.latest_starts.first().map(|(latest, _)| *latest)
    }

    fn ahead(&self, customer: &Customer) -> bool {
        let threshold = self.threshold();
        self.flows
            .get(customer)
            .is_some_and(|flow| flow.served > threshold.floor + threshold.lead / 2.0)
    }

    fn age(&self, now: Time, customer: &Customer, class: &Class) -> Duration {
        let flow = self.flows.get(customer);
        let ages = flow.and_then(|flow| flow.classes.get(class));
        ages.and_then(BTreeSet::first)
            .map_or(Duration::ZERO, |(_, id)| {
                now.since(self.stored[id].entry.queued_at)
            })
    }

    fn count(&self, customer: &Customer) -> usize {
        self.flows.get(customer).map_or(0, |flow| flow.ages.len())
    }

    fn len(&self) -> usize {
        self.stored.len()
    }

    fn lengths(&self) -> Vec<(Customer, usize)> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.ages.is_empty())
            .map(|(customer, flow)| (customer.clone(), flow.ages.len()))
            .collect()
    }
}
