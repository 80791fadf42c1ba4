//! Follows the configuration and the registry of upstreams.

use std::{
    cell::Cell,
    future::{
        pending,
        Future, //
    },
    rc::Rc,
    time::Duration, //
};

use futures_util::join;
use rand::RngExt as _;
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    configuration::{
        Published,
        MAX_DOCUMENT_BYTES, //
    },
    feed::{
        Decode,
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

/// Time between reads of the registry on demand.
const REFRESH_PAUSE: Duration = Duration::from_millis(50);

/// Time between retries while the store is unreachable.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between queries of other instances for the configuration while it can't be read.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a pause of the process after which other instances are asked for the configuration.
const REREAD_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between checks for a pause of the process.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Consumer of the items of a feed.
trait Sink<T> {
    /// Applies a complete state.
    fn replace(&self, items: Vec<T>);

    /// Applies changes; only if `complete`, there are no later ones, and the state is the current one.
    fn change(&self, items: Vec<T>, complete: bool);

    /// Records that the feed can't be read.
    fn failed(&self);
}

struct Tables<D, L> {
    gateway: Rc<Gateway<D, L>>,
    /// Number of pauses of the process before the reads began.
    pauses: u64,
}

impl<D, L: Log + 'static> Sink<Published> for Tables<D, L> {
    fn replace(&self, items: Vec<Published>) {
        self.change(items, true);
    }

    fn change(&self, items: Vec<Published>, complete: bool) {
        for published in items {
            self.gateway.adopt(published, "store");
        }
        if !complete {
            return;
        }
        let state = &self.gateway.configurations;
        state.record_read(Time::monotonic(), self.pauses);
    }

    fn failed(&self) {
        self.gateway.configurations.record_failure();
        self.gateway.accounts.report_failure();
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

    fn change(&self, items: Vec<Change>, complete: bool) {
        items.into_iter().for_each(|change| self.apply(change));
        if complete {
            let mut registry = self.0.fleet.registry.borrow_mut();
            registry.record_read(Time::monotonic());
        }
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

    fn change(&self, items: Vec<Record>, _: bool) {
        items.into_iter().for_each(|item| self.learn_record(item));
    }

    fn failed(&self) {}
}

/// Follows the requests that are held back; never returns. A pause of the process begins anew, as the
/// read that was under way may never end.
pub async fn holds(reports: Rc<Reports>, feed: impl Feed<Item = Record>) {
    let timing = (HOLDS_WAIT, Duration::ZERO);
    loop {
        let position = Cell::new(None);
        tokio::select! {
            () = follow("holds", &feed, &reports, &position, timing) => {}
            () = reports.wait_pause() => {}
        }
    }
}

/// Follows the configuration in the store, and asks other instances for it while it can't be read;
/// never returns.
pub async fn tables<D, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    feed: impl Decode<Item = Published>,
) {
    let position = Cell::new(None);
    join!(
        after_each_pause(&gateway, |pauses| read_tables(
            &gateway, &feed, &position, pauses
        )),
        after_each_pause(&gateway, |pauses| confirm(&gateway, &feed, pauses)),
        query_while_behind(&gateway, &feed),
        check_pauses(&gateway),
    );
}

/// Runs a future that never returns, and begins anew after each pause of the process, with the number
/// of pauses.
async fn after_each_pause<D, L: Log + 'static, F: Future<Output = ()>>(
    gateway: &Gateway<D, L>,
    begin: impl Fn(u64) -> F,
) {
    let state = &gateway.configurations;
    loop {
        let pauses = state.pauses();
        tokio::select! {
            biased;
            () = state.wait_pause(pauses) => {}
            () = begin(pauses) => {}
        }
    }
}

/// Reads the configuration from the store. After a pause, a read that was under way is replaced, as it
/// may never end, and the position stays.
async fn read_tables<D, L: Log + 'static>(
    gateway: &Rc<Gateway<D, L>>,
    feed: &impl Feed<Item = Published>,
    position: &Cell<Option<u64>>,
    pauses: u64,
) {
    let sink = Tables {
        gateway: gateway.clone(),
        pauses,
    };
    let timing = (POLL_WAIT, Duration::ZERO);
    follow("configuration", feed, &sink, position, timing).await;
}

/// Ends the wait of requests for the configuration after a pause, if the store does not.
async fn confirm<D, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    feed: &impl Decode<Item = Published>,
    pauses: u64,
) {
    let state = &gateway.configurations;
    let reread = timeout(REREAD_TIMEOUT, state.wait_confirmed(pauses));
    if reread.await.is_err() {
        if !query(gateway, feed).await {
            log::warn!("config: neither the store nor a peer answers after a pause; keeping the configuration");
        }
        state.confirm(pauses);
    }
    pending().await
}

/// Asks other instances for the configuration while it can't be read.
async fn query_while_behind<D, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    feed: &impl Decode<Item = Published>,
) {
    loop {
        sleep(QUERY_INTERVAL).await;
        if gateway.configurations.is_behind(Time::monotonic()) {
            query(gateway, feed).await;
        }
    }
}

async fn check_pauses<D, L: Log + 'static>(gateway: &Gateway<D, L>) {
    loop {
        sleep(PAUSE_CHECK_INTERVAL).await;
        gateway.configurations.check_pause(Time::boot());
    }
}

/// Asks other instances for a newer configuration; returns whether one answered.
async fn query<D, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    feed: &impl Decode<Item = Published>,
) -> bool {
    let version = gateway.table().map(|table| table.version());
    let answers = gateway.configurations.query(version).await;
    let answered = !answers.is_empty();
    for document in answers.into_iter().flatten() {
        if document.0.len() > MAX_DOCUMENT_BYTES {
            log::warn!("config: configuration of a peer exceeds the maximum length; ignoring it");
            continue;
        }
        if let Some(published) = feed.decode(document.0) {
            gateway.adopt(published, "peer");
        }
    }
    answered
}

/// Follows the registry of upstreams; never returns.
pub async fn servers<D, L: Log + 'static>(
    gateway: Rc<Gateway<D, L>>,
    feed: impl Feed<Item = Change>,
) {
    let timing = (POLL_WAIT, REGISTRY_PAUSE);
    let position = Cell::new(None);
    let sink = Servers(gateway.clone());
    join!(
        follow("registry", &feed, &sink, &position, timing),
        refresh(&gateway, &feed, &sink, &position),
    );
}

/// Reads the registry on demand; never returns. The position stays: an older read that is under way
/// may undo a change, which the next one repeats.
async fn refresh<D, L: Log + 'static>(
    gateway: &Gateway<D, L>,
    feed: &impl Feed<Item = Change>,
    sink: &Servers<D, L>,
    position: &Cell<Option<u64>>,
) {
    let refresh = &gateway.fleet.refresh;
    loop {
        refresh.requested().await;
        let begun = Time::monotonic();
        if let Some(from) = position.get() {
            match read_to_end(feed, sink, from).await {
                Ok(()) => refresh.record(begun),
                Err(failure) => {
                    log::debug!(failure:%; "store: registry can't be read on demand");
                }
            }
        }
        sleep(REFRESH_PAUSE).await;
    }
}

/// Reads and applies the changes of the registry from a position on.
async fn read_to_end<D, L>(
    feed: &impl Feed<Item = Change>,
    sink: &Servers<D, L>,
    mut from: u64,
) -> Result<(), Failure> {
    loop {
        let page = feed.changes(from, Duration::ZERO).await?;
        page.items.into_iter().for_each(|change| sink.apply(change));
        if page.complete {
            return Ok(());
        }
        if page.next <= from {
            return Err(Failure::NotApplied("read does not advance".into()));
        }
        from = page.next;
    }
}

/// Reads a feed from a position on, or its complete state first, with the time that a read waits for
/// changes, and the pause between reads. There is no pause before the rest of a long state.
async fn follow<F: Feed>(
    name: &str,
    feed: &F,
    sink: &impl Sink<F::Item>,
    position: &Cell<Option<u64>>,
    (wait, pause): (Duration, Duration),
) {
    let mut failing = false;
    let mut first = true;
    loop {
        let start = Time::monotonic();
        let from = position.get();
        let page = match from {
            None => feed.snapshot().await,
            // A read that need not wait shows at once when the store is back, and whether there are
            // changes.
            Some(from) => {
                let at_once = failing || first;
                let wait = if at_once { Duration::ZERO } else { wait };
                feed.changes(from, wait).await
            }
        };
        first = false;
        match page {
            Ok(Page {
                items,
                next,
                complete,
            }) => {
                if std::mem::take(&mut failing) {
                    log::info!(feed = name; "store: feed is readable again");
                }
                if from.is_none() {
                    let took_ms = Time::monotonic().since(start).as_millis() as u64;
                    log::info!(feed = name, took_ms; "store: complete state of the feed was read");
                }
                match from {
                    None => sink.replace(items),
                    Some(_) => sink.change(items, complete),
                }
                position.set(Some(next));
                let advances = from.is_none_or(|from| next > from);
                if complete || !advances {
                    sleep(pause).await;
                }
            }
            Err(Failure::Expired { begin }) => {
                log::warn!(
                    feed = name, begin;
                    "store: history of the feed is gone; reading its complete state"
                );
                position.set(None);
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
