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
struct Line {
    share: f64,
    /// Tokens served divided by the share, which is comparable between customers.
    served: f64,
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
    lines: Map<Customer, Line>,
    stored: Map<u64, Stored>,
    starts: BTreeSet<(Time, u64)>,
    sequence: u64,
    turn: u32,
}

/// Threshold of service above which a customer is ahead of the others.
#[derive(Clone, Copy, Debug)]
struct Limit {
    floor: f64,
    lead: f64,
    short: f64,
}

impl Limit {
    /// Returns whether an entry with this key has to wait for other customers.
    ///
    /// Short calls cost little, so they may run further ahead. They are charged like all others,
    /// and the customer's long calls wait longer in return.
    fn ahead(self, line: &Line, key: &Key) -> bool {
        let short = !key.batch || key.level == 0;
        let factor = if short { self.short } else { 1.0 };
        line.served > self.floor + self.lead * factor
    }
}

/// Position in the merge of all customers' entries, ordered by rank.
struct Head<'a> {
    rank: (bool, bool, u8, Time, u64),
    id: u64,
    line: &'a Line,
    rest: btree_set::Iter<'a, Key>,
}

impl<'a> Head<'a> {
    fn next(limit: Limit, line: &'a Line, mut rest: btree_set::Iter<'a, Key>) -> Option<Self> {
        let key = rest.next()?;
        let ahead = limit.ahead(line, key);
        Some(Self {
            rank: (key.batch, ahead, key.level, key.deadline, key.sequence),
            id: key.id,
            line,
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

    fn active(&self) -> impl Iterator<Item = &Line> {
        self.lines.values().filter(|line| !line.ages.is_empty())
    }

    /// Returns the normalized service of the least served customer with waiting entries.
    fn floor(&self) -> Option<f64> {
        self.active().map(|line| line.served).reduce(f64::min)
    }

    /// Returns the threshold for the customers that have waiting entries.
    fn limit(&self) -> Limit {
        let (mut shares, mut count) = (0.0, 0.0);
        for line in self.active() {
            shares += line.share;
            count += 1.0;
        }
        Limit {
            floor: self.floor().unwrap_or(0.0),
            lead: self.settings.lead as f64 * count / f64::max(shares, 1.0),
            short: self.settings.short,
        }
    }

    /// Returns the ids of each customer's oldest entry if it is starved: customers that are not
    /// ahead come first, then the longest wait.
    fn starved(&self, now: Time, limit: Limit) -> Vec<u64> {
        let patience = Duration::from_millis(self.settings.patience_ms);
        let mut oldest: Vec<_> = self
            .active()
            .filter_map(|line| Some((line, line.ages.first()?)))
            .map(|(line, age)| (limit.ahead(line, &self.stored[&age.1].key), age))
            .filter(|(_, (_, id))| now.since(self.stored[id].entry.since) >= patience)
            .collect();
        oldest.sort_unstable();
        oldest.into_iter().map(|(_, (_, id))| *id).collect()
    }

    fn find(&self, now: Time, mut visit: impl FnMut(&Entry) -> Verdict) -> Option<u64> {
        let limit = self.limit();
        let mut left = self.settings.depth;
        if self.settings.guard > 0 && self.turn.is_multiple_of(self.settings.guard) {
            for id in self.starved(now, limit).into_iter().take(left / 2) {
                left -= 1;
                match visit(&self.stored[&id].entry) {
                    Verdict::Take => return Some(id),
                    Verdict::Skip => {}
                    Verdict::Stop => return None,
                }
            }
        }
        let mut heads: BinaryHeap<_> = self
            .active()
            .filter_map(|line| Head::next(limit, line, line.order.iter()))
            .map(Reverse)
            .collect();
        while let Some(Reverse(head)) = heads.pop() {
            if left == 0 {
                return None;
            }
            left -= 1;
            match visit(&self.stored[&head.id].entry) {
                Verdict::Take => return Some(head.id),
                Verdict::Skip => heads.extend(Head::next(limit, head.line, head.rest).map(Reverse)),
                Verdict::Stop => return None,
            }
        }
        None
    }

    /// Resets the accumulated service while nothing waits; drops differences beyond one lead.
    fn rebase(&mut self) {
        let shares: f64 = self.lines.values().map(|line| line.share).sum();
        let lead = self.settings.lead as f64 * self.lines.len() as f64 / shares.max(1.0);
        let most = self.lines.values().map(|line| line.served);
        let base = most.fold(0.0, f64::max) - lead;
        self.lines.retain(|_, line| {
            line.served -= base;
            line.served > 0.0
        });
    }
}

impl Order for Queue {
    fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            lines: Map::default(),
            stored: Map::default(),
            starts: BTreeSet::new(),
            sequence: 0,
            turn: 0,
        }
    }

    fn push(&mut self, _: Time, entry: Entry) {
        if self.stored.is_empty() {
            self.rebase();
        }
        self.sequence += 1;
        let key = self.key(&entry);
        let idle = |line: &Line| line.ages.is_empty();
        let returns = self.lines.get(&entry.call.customer).is_none_or(idle);
        let claim = returns.then(|| self.limit()).map(|limit| {
            // A returning customer may be behind the least served one by up to two leads.
            // Otherwise a customer whose calls wait one at a time would lose its share with each
            // of them. The allowance must exceed one lead, at which the others start to wait.
            limit.floor - 2.0 * limit.lead
        });
        let line = self.lines.entry(entry.call.customer.clone()).or_default();
        line.share = f64::from(entry.call.share.max(1));
        if let Some(claim) = claim {
            line.served = line.served.max(claim);
        }
        line.order.insert(key);
        let age = (key.sequence, entry.id);
        line.ages.insert(age);
        let class = entry.call.class.clone();
        line.classes.entry(class).or_default().insert(age);
        self.starts.insert((entry.latest, entry.id));
        self.stored.insert(entry.id, Stored { entry, key });
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let Stored { entry, key } = self.stored.remove(&id)?;
        if let Some(line) = self.lines.get_mut(&entry.call.customer) {
            line.order.remove(&key);
            line.ages.remove(&(key.sequence, id));
            if let Some(ages) = line.classes.get_mut(&entry.call.class) {
                ages.remove(&(key.sequence, id));
                if ages.is_empty() {
                    line.classes.remove(&entry.call.class);
                }
            }
        }
        self.starts.remove(&(entry.latest, id));
        Some(entry)
    }

    fn scan(&mut self, now: Time, visit: impl FnMut(&Entry) -> Verdict) -> Option<Entry> {
        let id = self.find(now, visit)?;
        self.turn = self.turn.wrapping_add(1);
        let entry = self.remove(id)?;
        self.charge(&entry.call.customer, entry.expected as i64);
        Some(entry)
    }

    fn charge(&mut self, customer: &Customer, tokens: i64) {
        if let Some(line) = self.lines.get_mut(customer) {
            line.served += tokens as f64 / line.share;
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
        let mut gone = Vec::new();
        while let Some((latest, id)) = self.starts.first().copied() {
            if latest >= now {
                break;
            }
            gone.extend(self.remove(id));
        }
        gone
    }

    fn expiry(&self) -> Option<Time> {
        self.starts.first().map(|(latest, _)| *latest)
    }

    fn ahead(&self, customer: &Customer) -> bool {
        let limit = self.limit();
        self.lines
            .get(customer)
            .is_some_and(|line| line.served > limit.floor + limit.lead / 2.0)
    }

    fn age(&self, now: Time, customer: &Customer, class: &Class) -> Duration {
        let line = self.lines.get(customer);
        let ages = line.and_then(|line| line.classes.get(class));
        ages.and_then(BTreeSet::first)
            .map_or(Duration::ZERO, |(_, id)| {
                now.since(self.stored[id].entry.since)
            })
    }

    fn count(&self, customer: &Customer) -> usize {
        self.lines.get(customer).map_or(0, |line| line.ages.len())
    }

    fn len(&self) -> usize {
        self.stored.len()
    }

    fn lengths(&self) -> Vec<(Customer, usize)> {
        self.lines
            .iter()
            .filter(|(_, line)| !line.ages.is_empty())
            .map(|(customer, line)| (customer.clone(), line.ages.len()))
            .collect()
    }
}
