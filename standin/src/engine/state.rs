//! Simulation of continuous batching in wall-clock time.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::time;
use tokio::{
    sync::Notify,
    task, //
};

use super::{
    batch::{
        Event,
        Job, //
    },
    cache::Cache,
    command::Control,
    prompt::Prefix,
    report::{
        History,
        Load, //
    },
    stats::{
        Call,
        Costs,
        End,
        Erasure,
        Stats, //
    },
    Config,
    Faults,
    Foreign, //
};
use crate::{
    lock,
    now, //
};

/// Maximum delay behind the model that later steps make up for. A longer delay, as on a busy
/// machine, shifts the schedule.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);

/// Interval at which a hung engine checks whether the fault has been cleared.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// First slot identifier of running calls, above those of cached prefixes.
const FIRST_RUNNING_SLOT: u64 = 1 << 40;

/// A stand-in for a model engine.
pub struct Engine {
    inner: Mutex<Inner>,
    wake: Notify,
}

impl Engine {
    pub(super) fn new(config: Config) -> Self {
        Self {
            inner: Mutex::new(Inner::new(config)),
            wake: Notify::new(),
        }
    }

    pub(super) fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Changes the state, records the load and wakes the batch loop.
    pub(super) fn update<T>(&self, update: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner();
        let result = update(&mut inner);
        inner.record_load();
        drop(inner);
        self.wake.notify_one();
        result
    }

    /// Sets the load of the old system and adds its cached prefixes.
    pub fn set_foreign(&self, foreign: Foreign) {
        self.update(|inner| inner.set_foreign(foreign));
    }

    /// Returns the load report that is published now.
    pub fn load(&self) -> Load {
        self.inner().load_history.published(now())
    }

    /// Runs the batch loop for the lifetime of the engine.
    pub(super) async fn run(self: Arc<Self>) {
        let mut due = Instant::now();
        loop {
            let planned = self.inner().plan_step();
            let Some(step) = planned else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            due = due.max(Instant::now() - MAX_CATCH_UP) + step;
            if due > Instant::now() {
                time::sleep_until(due.into()).await;
            } else {
                task::yield_now().await;
            }
            let behind = Instant::now().saturating_duration_since(due);
            self.inner().complete_step(behind);
        }
    }
}

pub(super) struct Inner {
    pub(super) config: Config,
    pub(super) faults: Faults,
    pub(super) control: Control,
    pub(super) cache: Cache,
    pub(super) load_history: History,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    foreign: Foreign,
    prefill_shares: Vec<u64>,
    enqueued: u64,
    costs: Costs,
    stats: Stats,
}

impl Inner {
    fn new(config: Config) -> Self {
        let mut inner = Self {
            faults: Faults::default(),
            control: Control {
                fencing: config.fencing,
                models: config.models.iter().cloned().collect(),
                ..Control::default()
            },
            cache: Cache::new(config.cache_tokens, config.events_loss, config.seed),
            load_history: History::new(config.load_lag_ms, config.load_interval_ms),
            waiting: VecDeque::new(),
            running: Vec::new(),
            foreign: Foreign::default(),
            prefill_shares: Vec::new(),
            enqueued: 0,
            costs: Costs::default(),
            stats: Stats::default(),
            config,
        };
        inner.record_load();
        inner
    }

    /// Records the current load for the reports.
    fn record_load(&mut self) {
        self.load_history.record(Load {
            running: (self.running.len() + self.foreign.running) as u32,
            waiting: (self.waiting.len() + self.foreign.waiting) as u32,
            cache_used: self.cache.utilization(),
            at: now(),
            leaving: self.faults.leaving,
        });
    }

    fn set_foreign(&mut self, foreign: Foreign) {
        for (key, tokens) in &foreign.slots {
            // The hash belongs to no prompt, so no call reuses a prefix of the old system.
            let prefix = Prefix {
                hash: u64::MAX,
                bytes: tokens * 4,
            };
            self.cache.store(key, vec![prefix]);
        }
        self.foreign = Foreign {
            slots: Vec::new(),
            ..foreign
        };
    }

    /// Replaces the faults.
    pub(super) fn set_faults(&mut self, faults: Faults) {
        self.stats.leaving.set(faults.leaving);
        self.faults = faults;
    }

    /// Returns whether the queue is full.
    pub(super) fn is_full(&self) -> bool {
        let limit = self.config.max_waiting;
        limit.is_some_and(|limit| self.waiting.len() + self.foreign.waiting >= limit)
    }

    /// Counts a received call.
    pub(super) fn receive(&mut self) {
        self.stats.received += 1;
        self.stats.leaving.receive();
    }

    /// Counts a refused call.
    pub(super) fn refuse(&mut self) {
        self.stats.refused += 1;
    }

    /// Adds a call to the queue.
    pub(super) fn enqueue(&mut self, mut job: Job) {
        job.slot = FIRST_RUNNING_SLOT + self.enqueued;
        self.enqueued += 1;
        let calls = &mut self.stats.calls;
        if calls.len() < self.config.calls_kept {
            job.call = Some(calls.len());
            calls.push(Call {
                key: job.key.clone(),
                hash: job.answer.digest(),
                messages: job.prefixes.len(),
                prompt_tokens: job.prompt_tokens(),
                received: now(),
                ..Call::default()
            });
        }
        self.waiting.push_back(job);
    }

    fn update_call(&mut self, job: &Job, update: impl FnOnce(&mut Call)) {
        let call = job.call.and_then(|call| self.stats.calls.get_mut(call));
        if let Some(call) = call {
            update(call);
        }
    }

    /// Admits calls and returns the real duration of the next step; `None` if there is no work.
    fn plan_step(&mut self) -> Option<Duration> {
        self.drop_cancelled();
        if self.faults.silent {
            return Some(HANG_CHECK_INTERVAL);
        }
        self.admit();
        if self.running.is_empty() && self.waiting.is_empty() {
            return None;
        }
        Some(self.schedule_prefill())
    }

    /// Admits calls in the order of arrival while they fit into the batch and the memory.
    fn admit(&mut self) {
        while self.running.len() + self.foreign.running < self.config.max_batch {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            let Some(found) = self
                .cache
                .admit(&job.key, &job.prefixes, job.reserved_tokens())
            else {
                self.waiting.push_front(job);
                return;
            };
            // Engines always compute the last token of a prompt, even if it is cached.
            let prompt = job.prompt_tokens();
            job.cached = found.tokens().min(prompt.saturating_sub(1));
            job.uncomputed = prompt - job.cached;
            job.cost = self.costs.index_of(&job.key);
            let cost = &mut self.costs[job.cost];
            cost.calls += 1;
            cost.prompt_tokens += prompt;
            cost.cached_tokens += job.cached;
            self.update_call(&job, |call| {
                call.admitted = now();
                call.cached_tokens = job.cached;
            });
            self.running.push(job);
            self.record_load();
        }
    }

    /// Allots the prompt tokens of the next step in the order of admission and returns the
    /// step's duration.
    fn schedule_prefill(&mut self) -> Duration {
        let mut remaining = self.config.prefill_chunk;
        let allot = |job: &Job| {
            let share = job.uncomputed.min(remaining);
            remaining -= share;
            share
        };
        self.prefill_shares = self.running.iter().map(allot).collect();
        let prefill: u64 = self.prefill_shares.iter().sum();
        let batch = self.running.len() + self.foreign.running;
        self.stats.largest_batch = self.stats.largest_batch.max(self.running.len());
        let micros = self.config.step_us as f64
            + self.config.step_per_request_us as f64 * batch as f64
            + self.config.prefill_per_token_us * prefill as f64;
        let factor = self.faults.slow.max(0.0) / self.config.speed.max(f64::MIN_POSITIVE);
        self.stats.busy_us += (micros * factor) as u64;
        Duration::from_secs_f64(micros * factor / 1e6)
    }

    /// Completes a step: advances the prefill of prompts and generates one token for every call
    /// whose prompt is computed.
    fn complete_step(&mut self, behind: Duration) {
        self.stats.steps += 1;
        self.stats.behind_us = self.stats.behind_us.max(behind.as_micros() as u64);
        if self.faults.silent {
            return;
        }
        let prefill_shares = std::mem::take(&mut self.prefill_shares);
        let mut running = std::mem::take(&mut self.running);
        for (job, share) in running.iter_mut().zip(prefill_shares) {
            job.uncomputed -= share;
            if job.uncomputed == 0 && !job.is_stalled() && !job.is_aborted() {
                self.generate(job);
            }
        }
        let (ended, running) = running.into_iter().partition(Self::has_ended);
        self.running = running;
        for job in ended {
            self.finish(job);
        }
    }

    fn generate(&mut self, job: &mut Job) {
        if job.generated < job.length {
            let token = job.answer.token(job.generated);
            job.generated += 1;
            self.costs[job.cost].completion_tokens += 1;
            let _ = job.client.send(Event::Token(token));
        }
        self.update_call(job, |call| {
            call.completion_tokens = job.generated;
            if call.first == 0 {
                call.first = now();
            }
        });
    }

    fn has_ended(job: &Job) -> bool {
        job.is_aborted() || job.generated >= job.length
    }

    fn finish(&mut self, job: Job) {
        let end = if job.is_aborted() {
            End::Broken
        } else {
            End::Completed
        };
        let event = match end {
            End::Broken => Event::Break,
            _ => Event::Done(job.usage(), job.finish),
        };
        let _ = job.client.send(event);
        self.release(job, end);
    }

    /// Releases the memory of an admitted call and records its end.
    fn release(&mut self, job: Job, end: End) {
        self.cache
            .release(&job.key, job.computed(), job.reserved_tokens());
        self.record_end(&job, end);
    }

    fn record_end(&mut self, job: &Job, end: End) {
        match end {
            End::Completed => self.stats.completed += 1,
            End::Cancelled => self.stats.cancelled += 1,
            End::Broken => self.stats.broken += 1,
            End::Open => {}
        }
        self.update_call(job, |call| {
            call.end = end;
            call.ended = now();
        });
        self.record_load();
    }

    /// Drops calls whose clients have disconnected.
    fn drop_cancelled(&mut self) {
        if self.running.iter().any(|job| job.client.is_closed()) {
            let running = std::mem::take(&mut self.running);
            let (cancelled, running) = running.into_iter().partition(|job| job.client.is_closed());
            self.running = running;
            for job in cancelled {
                self.release(job, End::Cancelled);
            }
        }
        if self.waiting.iter().any(|job| job.client.is_closed()) {
            let waiting = std::mem::take(&mut self.waiting);
            let (cancelled, waiting): (Vec<_>, Vec<_>) =
                waiting.into_iter().partition(|job| job.client.is_closed());
            self.waiting = waiting.into();
            for job in cancelled {
                self.record_end(&job, End::Cancelled);
            }
        }
    }

    /// Erases a slot and returns its tokens.
    pub(super) fn erase(&mut self, id: u64) -> Option<u64> {
        let slot = self.cache.erase(id)?;
        self.stats.erased.push(Erasure {
            at: now(),
            key: slot.key,
            tokens: slot.tokens,
        });
        Some(slot.tokens)
    }

    /// Returns the running calls.
    pub(super) fn running(&self) -> &[Job] {
        &self.running
    }

    pub(super) fn stats(&self) -> Stats {
        let mut stats = self.stats.clone();
        self.costs.add_to(&mut stats);
        let idle = self.cache.slots().map(|slot| (&slot.key, slot.tokens));
        let busy = self
            .running
            .iter()
            .map(|job| (&job.key, job.reserved_tokens()));
        for (key, tokens) in idle.chain(busy) {
            *stats.held.entry(key.clone()).or_default() += tokens;
        }
        stats.evictions = self.cache.evictions;
        stats.evicted = self.cache.evicted.clone();
        stats.commands = self.control.commands.clone();
        stats.highest_fence = self.control.highest_fence;
        stats.models = self.control.models.iter().cloned().collect();
        stats.adapters = self.control.adapters.iter().cloned().collect();
        stats.role = self.control.role.clone();
        stats
    }
}
