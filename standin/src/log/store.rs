//! State of the log: topics, consumer instances and limits.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use tokio::sync::watch;

use super::{
    consumer::{
        Assignment,
        Consumer,
        Request,
        Reset, //
    },
    format::Format,
    partition::{
        Entry,
        Pair,
        Partition, //
    },
    problem::Problem,
    stats::{
        Stats,
        Topic, //
    },
    Config,
    Faults,
    Loss,
    Retention, //
};
use crate::{
    lock,
    now,
    rate::Bucket,
    Map, //
};

/// A stand-in for the platform's log.
pub struct Log {
    inner: Mutex<Inner>,
    appended: watch::Sender<u64>,
}

impl Log {
    pub(super) fn new(config: Config) -> Self {
        Self {
            inner: Mutex::new(Inner::new(config)),
            appended: watch::Sender::new(0),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Returns a receiver that is notified of every append.
    pub(super) fn watch(&self) -> watch::Receiver<u64> {
        self.appended.subscribe()
    }

    /// Appends records regardless of limits and faults, as another client of the log does.
    /// Returns the offset of the first, or `None` if the partition doesn't exist.
    pub fn append(&self, topic: &str, partition: u32, values: Vec<Vec<u8>>) -> Option<u64> {
        let pairs = values
            .into_iter()
            .map(|value| (None, Some(value.into())))
            .collect();
        self.append_pairs(topic, partition, pairs).ok()
    }

    pub(super) fn append_pairs(
        &self,
        topic: &str,
        partition: u32,
        pairs: Vec<Pair>,
    ) -> Result<u64, Problem> {
        let offset = self.inner().append_pairs(topic, partition, pairs)?;
        self.appended.send_modify(|count| *count += 1);
        Ok(offset)
    }

    /// Returns the retained records of a partition.
    pub fn records(&self, topic: &str, partition: u32) -> Vec<Entry> {
        match self.inner().partition(topic, partition) {
            Ok(partition) => partition.records_from(0).cloned().collect(),
            Err(_) => Vec::new(),
        }
    }

    /// Removes the records before `offset`, as the retention does.
    pub fn trim(&self, topic: &str, partition: u32, offset: u64) {
        if let Ok(partition) = self.inner().partition(topic, partition) {
            partition.trim(offset);
        }
    }
}

/// Faults injected into one append.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Injection {
    pub(super) append_delay: Duration,
    pub(super) answer_delay: Duration,
    pub(super) loss: Option<Loss>,
}

pub(super) struct Inner {
    pub(super) faults: Faults,
    config: Config,
    topics: Map<String, Vec<Partition>>,
    consumers: HashMap<(String, String), Consumer>,
    bucket: Bucket,
    stats: Stats,
    rng: SmallRng,
    created: u64,
}

impl Inner {
    fn new(config: Config) -> Self {
        let mut inner = Self {
            faults: Faults::default(),
            topics: Map::default(),
            consumers: HashMap::new(),
            bucket: Bucket::new(config.appends_per_second.map(f64::from)),
            stats: Stats::default(),
            rng: SmallRng::seed_from_u64(config.seed),
            created: 0,
            config,
        };
        for topic in inner.config.topics.clone() {
            let _ = inner.topic(&topic);
        }
        inner
    }

    pub(super) fn set_faults(&mut self, faults: Faults) {
        let limit = faults.appends_per_second.or(self.config.appends_per_second);
        let foreign = faults.foreign_appends_per_second;
        let rate = limit.map(|limit| f64::from(limit.saturating_sub(foreign)));
        self.bucket.set_rate(rate);
        self.faults = faults;
    }

    pub(super) fn stats(&mut self) -> Stats {
        self.expire_consumers();
        let retention = self.retention();
        let mut stats = self.stats.clone();
        stats.consumers.live = self.consumers.len() as u64;
        for (name, partitions) in &mut self.topics {
            let bounds = partitions.iter_mut().map(|partition| {
                partition.expire(now(), retention);
                (partition.begin(), partition.end())
            });
            let partitions = bounds.collect();
            stats.topics.insert(name.clone(), Topic { partitions });
        }
        stats
    }

    /// Returns the partitions of a topic, created on first use.
    pub(super) fn topic(&mut self, topic: &str) -> Result<&mut Vec<Partition>, Problem> {
        let configured = &self.config.topics;
        if !configured.is_empty() && !configured.iter().any(|name| name == topic) {
            return Err(Problem::unknown_topic());
        }
        let count = self.config.partitions;
        let create_partitions = || (0..count).map(|_| Partition::default()).collect();
        Ok(self
            .topics
            .entry(topic.to_owned())
            .or_insert_with(create_partitions))
    }

    /// Returns a partition after removing its expired records.
    pub(super) fn partition(
        &mut self,
        topic: &str,
        partition: u32,
    ) -> Result<&mut Partition, Problem> {
        let retention = self.retention();
        let partitions = self.topic(topic)?;
        let partition = partitions
            .get_mut(partition as usize)
            .ok_or_else(Problem::unknown_partition)?;
        partition.expire(now(), retention);
        Ok(partition)
    }

    fn retention(&self) -> Retention {
        self.faults.retention.unwrap_or(self.config.retention)
    }

    /// Returns the time that a waiting read lingers after an append.
    pub(super) fn linger(&self) -> Duration {
        Duration::from_millis(self.config.linger_ms)
    }

    /// Applies the rate limit to an append request and returns the faults to inject.
    pub(super) fn admit(&mut self, zone: Option<&str>) -> Result<Injection, Problem> {
        if let Some(zone) = zone {
            *self.stats.zones.entry(zone.to_owned()).or_default() += 1;
        }
        if !self.bucket.take(1.0) {
            self.stats.limited += 1;
            return Err(Problem::rate_limited());
        }
        if count_down(&mut self.faults.fail_next) {
            self.stats.failed += 1;
            return Err(Problem::broker_error("broker not available"));
        }
        let lose = count_down(&mut self.faults.lose_next)
            || (self.faults.lose_probability > 0.0
                && self.rng.random::<f64>() < self.faults.lose_probability);
        if lose {
            self.stats.lost += 1;
        }
        Ok(Injection {
            append_delay: Duration::from_millis(self.faults.append_delay_ms),
            answer_delay: Duration::from_millis(self.faults.answer_delay_ms),
            loss: lose.then_some(self.faults.loss),
        })
    }

    fn append_pairs(
        &mut self,
        topic: &str,
        partition: u32,
        pairs: Vec<Pair>,
    ) -> Result<u64, Problem> {
        let count = pairs.len() as u64;
        let first = self.partition(topic, partition)?.append(now(), pairs);
        self.stats.appends += 1;
        self.stats.records += count;
        Ok(first)
    }

    /// Creates a consumer instance and returns its name.
    pub(super) fn create(&mut self, group: &str, request: Request) -> Result<String, Problem> {
        self.expire_consumers();
        self.created += 1;
        let name = request
            .name
            .unwrap_or_else(|| format!("rest-consumer-{}", self.created));
        let number = |number: Option<super::consumer::Number>| number.and_then(|text| text.get());
        let consumer = Consumer {
            format: request.format,
            reset: request.reset,
            min_bytes: number(request.min_bytes).unwrap_or(self.config.fetch_min_bytes),
            timeout_ms: number(request.timeout_ms).map_or(1_000, |ms| ms.max(0) as u64),
            positions: Default::default(),
            reads: 0,
            last_used: Instant::now(),
        };
        let key = (group.to_owned(), name.clone());
        if self.consumers.contains_key(&key) {
            let text = "Consumer instance with the specified name already exists.";
            return Err(Problem::new(40_902, text));
        }
        self.consumers.insert(key, consumer);
        self.stats.consumers.created += 1;
        Ok(name)
    }

    /// Returns a consumer instance and resets its idle time.
    pub(super) fn consumer(&mut self, group: &str, name: &str) -> Result<&mut Consumer, Problem> {
        self.expire_consumers();
        let key = (group.to_owned(), name.to_owned());
        let consumer = self
            .consumers
            .get_mut(&key)
            .ok_or_else(Problem::unknown_instance)?;
        consumer.last_used = Instant::now();
        Ok(consumer)
    }

    pub(super) fn delete(&mut self, group: &str, name: &str) -> Result<(), Problem> {
        self.consumer(group, name)?;
        self.consumers.remove(&(group.to_owned(), name.to_owned()));
        self.stats.consumers.deleted += 1;
        Ok(())
    }

    /// Removes the consumer instances whose idle time has expired.
    fn expire_consumers(&mut self) {
        let limit = Duration::from_millis(self.config.instance_timeout_ms);
        let before = self.consumers.len();
        self.consumers
            .retain(|_, consumer| consumer.last_used.elapsed() < limit);
        self.stats.consumers.expired += (before - self.consumers.len()) as u64;
    }

    /// Sets the position in an assigned partition.
    pub(super) fn seek(
        &mut self,
        group: &str,
        name: &str,
        assignment: Assignment,
        offset: u64,
    ) -> Result<(), Problem> {
        let consumer = self.consumer(group, name)?;
        match consumer.positions.get_mut(&assignment) {
            Some(position) => *position = Some(offset),
            None => {
                let text = format!(
                    "Illegal state: No current assignment for partition {}-{}",
                    assignment.topic, assignment.partition
                );
                return Err(Problem::new(40_903, text));
            }
        }
        Ok(())
    }

    /// Reads up to `max` bytes of records at the positions of a consumer, without advancing
    /// them. Returns at least one record if there is one, whatever its size.
    pub(super) fn peek(&mut self, group: &str, name: &str, max: usize) -> Result<Peek, Problem> {
        let consumer = self.consumer(group, name)?;
        let (format, reset) = (consumer.format, consumer.reset);
        let positions = consumer.read_order();
        let mut peek = Peek::default();
        for (assignment, position) in positions {
            let partition = self.partition(&assignment.topic, assignment.partition)?;
            let bounds = (partition.begin(), partition.end());
            let start = start_offset(&assignment, position, bounds, reset)?;
            let mut next = start;
            for entry in partition.records_from(start) {
                if !peek.records.is_empty() && peek.bytes + entry.size() > max {
                    peek.full = true;
                    break;
                }
                peek.bytes += entry.size();
                next = entry.offset + 1;
                let record = entry.render(format, &assignment.topic, assignment.partition)?;
                peek.records.push(record);
            }
            peek.positions.push((assignment, next));
        }
        peek.full |= peek.bytes >= max;
        Ok(peek)
    }

    /// Advances the positions past the records read.
    pub(super) fn advance(&mut self, group: &str, name: &str, peek: &Peek) -> Result<(), Problem> {
        let consumer = self.consumer(group, name)?;
        consumer.reads += 1;
        for (assignment, next) in &peek.positions {
            if let Some(position) = consumer.positions.get_mut(assignment) {
                *position = Some(*next);
            }
        }
        self.stats.reads += 1;
        self.stats.read_records += peek.records.len() as u64;
        Ok(())
    }

    /// Checks the requested format against that of the consumer, and returns the latter.
    pub(super) fn check_format(
        &mut self,
        group: &str,
        name: &str,
        format: Option<Format>,
    ) -> Result<Format, Problem> {
        let expected = self.consumer(group, name)?.format;
        if format.is_some_and(|format| format != expected) {
            let text = "The requested embedded data format does not match the deserializer for this consumer instance";
            return Err(Problem::new(40_601, text));
        }
        Ok(expected)
    }
}

/// Result of a read before the positions advance.
#[derive(Debug, Default)]
pub(super) struct Peek {
    pub(super) records: Vec<Bytes>,
    pub(super) bytes: usize,
    pub(super) full: bool,
    positions: Vec<(Assignment, u64)>,
}

/// Returns the offset to read from. A position out of range follows the reset policy.
fn start_offset(
    assignment: &Assignment,
    position: Option<u64>,
    (begin, end): (u64, u64),
    reset: Reset,
) -> Result<u64, Problem> {
    if let Some(position) = position.filter(|position| (begin..=end).contains(position)) {
        return Ok(position);
    }
    match (reset, position) {
        (Reset::Earliest, _) => Ok(begin),
        (Reset::Latest, _) => Ok(end),
        (Reset::None, Some(position)) => Err(Problem::broker_error(&format!(
            "Offsets out of range with no configured reset policy for partitions: {{{}-{}={position}}}",
            assignment.topic, assignment.partition
        ))),
        (Reset::None, None) => Err(Problem::broker_error(&format!(
            "Undefined offset with no reset policy for partitions: [{}-{}]",
            assignment.topic, assignment.partition
        ))),
    }
}

/// Decrements the count and returns whether it was above zero.
fn count_down(count: &mut u32) -> bool {
    let hit = *count > 0;
    *count = count.saturating_sub(1);
    hit
}
