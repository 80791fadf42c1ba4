//! Reconciliation of the models and adapters on engines with the settings.

use std::time::Duration;

use futures_util::{
    stream::{
        self,
        FuturesUnordered, //
    },
    StreamExt as _, //
};
use tokio::time::{
    interval_at,
    Instant,
    MissedTickBehavior, //
};

use crate::{
    clock::Time,
    config::{
        self,
        Kind, //
    },
    hash::{
        Map,
        Set, //
    },
    name::Upstream, //
};

use super::{
    command::{
        Artifact,
        Authorization,
        Command,
        Controller, //
    },
    Failure,
};

/// Delay before a command that failed or had no effect is repeated; loading takes minutes.
const REPEAT_DELAY: Duration = Duration::from_secs(120);

/// Pause after an engine refused this instance's fencing number as stale.
const STALE_FENCE_DELAY: Duration = Duration::from_secs(600);

/// Delay before a retry after a refusal without `Retry-After`, or if the command was not sent.
const RETRY_DELAY: Duration = Duration::from_secs(30);

/// Maximum number of engines that are listed concurrently.
const MAX_CONCURRENT_ENGINES: usize = 16;

/// Returns the commands that bring an engine to the state in the settings.
///
/// Adapters follow once their model is loaded. Commands to an engine may be repeated, and those of
/// two instances with different settings may arrive in any order. An engine that ignores fencing
/// numbers therefore receives commands only for names that contain their version: these never
/// replace what is loaded, and have the same result in any order.
pub fn missing(
    pool: &config::Pool,
    upstream: &config::Upstream,
    loaded: &[Artifact],
) -> Vec<Command> {
    let mut commands = Vec::new();
    for model in &pool.models {
        match classify(upstream, loaded, &model.name, &model.version) {
            Status::Loaded => {}
            Status::Unsafe => continue,
            Status::Missing => {
                commands.push(Command::Model {
                    name: model.name.clone(),
                    version: model.version.clone(),
                });
                continue;
            }
        }
        for adapter in &model.adapters {
            if classify(upstream, loaded, &adapter.name, &adapter.version) == Status::Missing {
                commands.push(Command::Adapter {
                    name: adapter.name.clone(),
                    version: adapter.version.clone(),
                    model: model.name.clone(),
                });
            }
        }
    }
    commands
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Status {
    Loaded,
    Missing,
    /// Not loaded, and no command to load it is safe.
    Unsafe,
}

fn classify(upstream: &config::Upstream, loaded: &[Artifact], name: &str, version: &str) -> Status {
    let found = loaded.iter().find(|loaded| loaded.name == name);
    let matches = |loaded: &Artifact| {
        loaded
            .version
            .as_deref()
            .is_none_or(|loaded| loaded == version)
    };
    if found.is_some_and(matches) {
        return Status::Loaded;
    }
    if upstream.fenced || versioned(name, version) {
        Status::Missing
    } else {
        // Without a version in the name, a loaded version that differs may be newer.
        found.map_or(Status::Unsafe, |_| Status::Loaded)
    }
}

/// Returns whether a name such as `saddle-advice@3` ends with its version.
pub fn versioned(name: &str, version: &str) -> bool {
    let stem = name.strip_suffix(version).unwrap_or_default();
    !version.is_empty() && stem.ends_with(|c: char| !c.is_alphanumeric())
}

/// State of the commands sent to engines.
#[derive(Debug, Default)]
pub struct Placement {
    engines: Map<Upstream, Attempt>,
    /// Time before which no command is sent, to respect the rate limit of the weight store.
    next_load: Time,
}

/// The last command sent to an engine.
#[derive(Debug)]
struct Attempt {
    command: Command,
    sent: Time,
    /// Number of repetitions.
    repeats: u32,
    /// Time before which the engine receives no command; `u64::MAX` while one is in flight.
    blocked_until: Time,
}

impl Attempt {
    /// Returns whether a command may be sent now.
    ///
    /// A command that succeeds without any visible result is repeated with exponential backoff.
    fn allows(&self, now: Time, command: &Command) -> bool {
        let pause = REPEAT_DELAY * (1 << self.repeats.min(5));
        now >= self.blocked_until && (self.command != *command || now >= self.sent + pause)
    }
}

/// A command and the engine to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// Engine that receives the command.
    pub upstream: Upstream,
    /// Address of the engine.
    pub address: String,
    /// Whether the engine verifies the sender.
    pub verifies_sender: bool,
    /// Command to send.
    pub command: Command,
}

/// Returns the interval between loads of one instance when `instances` share the weight store.
pub fn interval(weights: &config::Weights, instances: usize) -> Duration {
    let loads = weights.loads_per_minute.max(1);
    Duration::from_secs(60) * instances.max(1) as u32 / loads
}

impl Placement {
    /// Returns the next command, if one is due.
    ///
    /// `engines` are those that this instance manages, with what they have loaded. At most one
    /// command per engine is in flight.
    pub fn decide(
        &mut self,
        now: Time,
        interval: Duration,
        pool: &config::Pool,
        engines: &[(&config::Upstream, Vec<Artifact>)],
    ) -> Option<Task> {
        if now < self.next_load {
            return None;
        }
        let task = engines.iter().find_map(|(upstream, loaded)| {
            let command = missing(pool, upstream, loaded).into_iter().next()?;
            let last = self.engines.get(&upstream.name);
            let due = last.is_none_or(|last| last.allows(now, &command));
            due.then(|| Task {
                upstream: upstream.name.clone(),
                address: upstream.address.clone(),
                verifies_sender: upstream.verifies_sender,
                command,
            })
        })?;
        self.next_load = now + interval;
        let previous = self.engines.get(&task.upstream);
        let repeats = previous
            .filter(|last| last.command == task.command)
            .map_or(0, |last| last.repeats.saturating_add(1));
        let last = Attempt {
            command: task.command.clone(),
            sent: now,
            repeats,
            blocked_until: Time(u64::MAX),
        };
        self.engines.insert(task.upstream.clone(), last);
        Some(task)
    }

    /// Records the outcome of a command.
    pub fn record_outcome(
        &mut self,
        now: Time,
        upstream: &Upstream,
        outcome: &Result<(), Failure>,
    ) {
        let pause = match outcome {
            Ok(()) => Duration::ZERO,
            Err(Failure::Refused { retry_after, .. }) => {
                // The weight store is over its rate limit, which affects every load.
                let wait = retry_after.unwrap_or(RETRY_DELAY);
                self.next_load = self.next_load.max(now + wait);
                wait
            }
            Err(Failure::Failed {
                status: 409 | 412, ..
            }) => STALE_FENCE_DELAY,
            Err(Failure::NotSent(_)) => RETRY_DELAY,
            Err(Failure::Failed { .. } | Failure::Unknown(_)) => REPEAT_DELAY,
        };
        if let Some(last) = self.engines.get_mut(upstream) {
            last.blocked_until = now + pause;
        }
    }
}

/// Current conditions for the commands of this instance.
#[derive(Clone, Debug)]
pub struct Conditions {
    /// Interval between loads, see [`interval`].
    pub interval: Duration,
    /// Authorization attached to commands.
    pub authorization: Authorization,
    /// Engines that this instance manages.
    pub owned: Set<Upstream>,
}

/// Sends due commands until dropped; calls `conditions` at each tick, and `on_outcome` after each
/// command.
pub async fn run<C: Controller>(
    controller: &C,
    pools: &[config::Pool],
    tick: Duration,
    conditions: impl Fn() -> Conditions,
    on_outcome: impl Fn(&Task, &Result<(), Failure>),
) {
    let mut placement = Placement::default();
    let mut running = FuturesUnordered::new();
    let mut ticks = interval_at(Instant::now(), tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let conditions = conditions();
                for pool in pools {
                    let engines = loaded(controller, pool, &conditions.owned).await;
                    let task = placement.decide(Time::now(), conditions.interval, pool, &engines);
                    running.extend(
                        task.map(|task| send(controller, task, conditions.authorization.clone())),
                    );
                }
            }
            Some((task, outcome)) = running.next(), if !running.is_empty() => {
                placement.record_outcome(Time::now(), &task.upstream, &outcome);
                on_outcome(&task, &outcome);
            }
        }
    }
}

/// Lists what the owned engines of a pool have loaded; engines that do not answer are omitted.
async fn loaded<'a, C: Controller>(
    controller: &C,
    pool: &'a config::Pool,
    owned: &Set<Upstream>,
) -> Vec<(&'a config::Upstream, Vec<Artifact>)> {
    let engines = pool.upstreams.iter();
    let engines =
        engines.filter(|upstream| pool.kind == Kind::Model && owned.contains(&upstream.name));
    stream::iter(engines)
        .map(|upstream| async move { (upstream, controller.loaded(&upstream.address).await) })
        .buffered(MAX_CONCURRENT_ENGINES)
        .filter_map(|(upstream, loaded)| async move { Some((upstream, loaded.ok()?)) })
        .collect()
        .await
}

async fn send<C: Controller>(
    controller: &C,
    task: Task,
    mut authorization: Authorization,
) -> (Task, Result<(), Failure>) {
    authorization.sender = authorization.sender.filter(|_| task.verifies_sender);
    let outcome = controller
        .send(&task.address, &task.command, &authorization)
        .await;
    (task, outcome)
}
