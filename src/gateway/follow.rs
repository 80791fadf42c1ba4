//! Follows the configuration and the registry of upstreams.

use std::{
    rc::Rc,
    time::Duration, //
};

use rand::RngExt as _;
use tokio::time::sleep;

use super::{
    feed::{
        Feed,
        Page, //
    },
    registry::{
        Change,
        Effect, //
    },
    reports::{
        Record,
        Reports, //
    },
    route::Table,
    state::Gateway,
};
use crate::{
    clock::Time,
    log::{
        Failure,
        Log, //
    },
};

/// Time for which a read waits for a change. A dead connection is noticed after this and the
/// timeout of one call, which together stay near the 2 s within which a change has to take effect.
const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Time for which a read waits for a hold. Instances tell each other of holds, and need the store only
/// after a start or a pause, and without links.
const HOLDS_WAIT: Duration = Duration::from_secs(8);

/// Time between reads of the registry. Servers report continuously; a leaving one must get no
/// requests after 2 s.
const REGISTRY_PAUSE: Duration = Duration::from_millis(600);

/// Time between retries while the store is unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Consumer of the items of a feed.
trait Sink<T> {
    /// Applies a complete state.
    fn replace(&self, items: Vec<T>);

    /// Applies changes.
    fn change(&self, items: Vec<T>);

    /// Records that the feed can't be read.
    fn failed(&self);
}

struct Tables<D, L>(Rc<Gateway<D, L>>);

impl<D, L: Log + 'static> Sink<Table> for Tables<D, L> {
    fn replace(&self, items: Vec<Table>) {
        self.change(items);
    }

    fn change(&self, items: Vec<Table>) {
        for table in items {
            let version = table.version();
            match self.0.configure(table) {
                true => log::info!(version; "config: configuration is in force"),
                false => log::debug!(version; "config: older configuration is ignored"),
            }
        }
    }

    fn failed(&self) {
        self.0.accounts.report_failure();
    }
}

struct Servers<D, L>(Rc<Gateway<D, L>>);

impl<D, L> Servers<D, L> {
    fn apply(&self, change: Change) {
        let id = match &change {
            Change::Present(server) => server.id.clone(),
            Change::Unreadable(id) | Change::Absent(id) => id.clone(),
        };
        let upstream = &*id;
        let effect = self
            .0
            .fleet
            .registry
            .borrow_mut()
            .apply(Time::monotonic(), change);
        match effect {
            Effect::None => {}
            Effect::Added => log::info!(upstream; "registry: upstream takes requests"),
            Effect::Draining => log::debug!(upstream; "registry: upstream is draining"),
            Effect::Removed => log::info!(upstream; "registry: upstream is gone"),
            Effect::Lapsed => {
                log::warn!(
                    upstream;
                    "registry: entry lapsed while the store was failing; keeping the upstream usable until live servers have reported again"
                );
            }
            Effect::Stale => log::debug!(upstream; "registry: older report is ignored"),
        }
    }
}

impl<D, L: Log + 'static> Sink<Change> for Servers<D, L> {
    fn replace(&self, items: Vec<Change>) {
        let count = items.len();
        let mut registry = self.0.fleet.registry.borrow_mut();
        registry.replace(Time::monotonic(), items);
        registry.record_read(Time::monotonic());
        self.0.fleet.registered.set(true);
        log::info!(count; "registry: entries were read");
    }

    fn change(&self, items: Vec<Change>) {
        items.into_iter().for_each(|change| self.apply(change));
        let mut registry = self.0.fleet.registry.borrow_mut();
        registry.record_read(Time::monotonic());
    }

    fn failed(&self) {
        self.0
            .fleet
            .registry
            .borrow_mut()
            .record_failure(Time::monotonic());
        self.0.accounts.report_failure();
    }
}

impl Sink<Record> for Rc<Reports> {
    fn replace(&self, items: Vec<Record>) {
        self.replace_records(items);
    }

    fn change(&self, items: Vec<Record>) {
        items.into_iter().for_each(|item| self.learn_record(item));
    }

    fn failed(&self) {}
}

/// Follows the requests that are held back; never returns. A pause of the process begins anew, as the
/// read that was under way may never end.
pub async fn holds(reports: Rc<Reports>, feed: impl Feed<Item = Record>) {
    loop {
        tokio::select! {
            () = follow("holds", &feed, &reports, (HOLDS_WAIT, Duration::ZERO)) => {}
            () = reports.wait_pause() => {}
        }
    }
}

/// Follows the configuration; never returns.
pub async fn tables<D, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    feed: impl Feed<Item = Table>,
) {
    let timing = (POLL_WAIT, Duration::ZERO);
    follow("configuration", &feed, &Tables(gateway), timing).await;
}

/// Follows the registry of upstreams; never returns.
pub async fn servers<D, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    feed: impl Feed<Item = Change>,
) {
    let timing = (POLL_WAIT, REGISTRY_PAUSE);
    follow("registry", &feed, &Servers(gateway), timing).await;
}

/// Reads a feed with the time that a read waits for changes, and the pause between reads.
async fn follow<F: Feed>(
    name: &str,
    feed: &F,
    sink: &impl Sink<F::Item>,
    (wait, pause): (Duration, Duration),
) {
    let mut position: Option<u64> = None;
    let mut failing = false;
    loop {
        let start = Time::monotonic();
        let page = match position {
            None => feed.snapshot().await,
            // A read that need not wait shows at once when the store is back.
            Some(from) => {
                let wait = if failing { Duration::ZERO } else { wait };
                feed.changes(from, wait).await
            }
        };
        match page {
            Ok(Page { items, next }) => {
                if std::mem::take(&mut failing) {
                    log::info!(feed = name; "store: feed is readable again");
                }
                if position.is_none() {
                    let took_ms = Time::monotonic().since(start).as_millis() as u64;
                    log::info!(feed = name, took_ms; "store: complete state of the feed was read");
                }
                match position {
                    None => sink.replace(items),
                    Some(_) => sink.change(items),
                }
                position = Some(next);
                sleep(pause).await;
            }
            Err(Failure::Expired { begin }) => {
                log::warn!(
                    feed = name, begin;
                    "store: history of the feed is gone; reading its complete state"
                );
                position = None;
            }
            Err(failure) => {
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(feed = name, failure:%; "store: feed can't be read; retrying");
                }
                sink.failed();
                // Jitter: instances that failed together must not retry together.
                sleep(RETRY_INTERVAL.mul_f64(rand::rng().random_range(1.0..2.0))).await;
            }
        }
    }
}
