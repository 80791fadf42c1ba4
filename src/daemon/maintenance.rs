//! Periodic maintenance tasks of an instance.

use std::{
    cmp::Reverse,
    sync::atomic::Ordering,
    time::Duration, //
};

use tokio::time::sleep;

use crate::{
    api::App,
    clock::Time,
    dispatch::{
        Gone,
        Leaving, //
    },
    executor::{
        Release,
        PAUSE_THRESHOLD, //
    },
    hash::{
        self,
        Set, //
    },
    ledger::{
        program,
        record, //
    },
    member::{
        consul,
        list,
        snapshot::{
            Snapshot,
            Status, //
        },
        State, //
    },
    metrics::Level,
    name::{
        Customer,
        Instance,
        Program, //
    },
    peer::wire::Body,
};

use super::inbound::FETCH_TIMEOUT;

/// Interval between maintenance runs.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between checks for programs that have exceeded the time limit of their contract.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time to wait for the replica to catch up before requesting state from peers.
const PEER_FETCH_DELAY: Duration = Duration::from_secs(2);

/// Starts all periodic tasks on the current thread.
pub(super) fn start(app: &App) {
    actix_web::rt::spawn(run_maintenance(app.clone()));
    actix_web::rt::spawn(mark_ready_when_caught_up(app.clone()));
    actix_web::rt::spawn(copy_state_while_log_unavailable(app.clone()));
    actix_web::rt::spawn(end_expired(app.clone()));
    actix_web::rt::spawn(
        app.shared()
            .ledger
            .clone()
            .refresh_periodically(owns_key(app)),
    );
    actix_web::rt::spawn(notify_dispatcher(app.clone()));
    let config = &app.shared().config;
    let (address, service) = (&config.list.address, &config.list.service);
    let list = consul::Client::new(address, service, config.timings.silence);
    let roster = app.shared().roster.clone();
    actix_web::rt::spawn(list::follow(list, roster, config.timings.list));
}

/// Returns the minimum interval between two appends to a partition with which all live instances
/// together stay within the append limit of the log.
fn append_interval(app: &App) -> Duration {
    let live = app.shared().roster.snapshot().live_count().max(1);
    let log = &app.shared().config.log;
    let writers = live as f64 * f64::from(log.partitions.max(1));
    Duration::from_secs_f64(writers / f64::from(log.appends_per_second.max(1)))
}

async fn run_maintenance(app: App) {
    loop {
        let shared = app.shared();
        let now = Time::now();
        shared.ledger.set_interval(append_interval(&app));
        shared.quotas.tick(now);
        let last = Time(shared.last_maintenance.swap(now.0, Ordering::Relaxed));
        if !shared.ledger.available() || now.since(last) > PAUSE_THRESHOLD {
            shared.last_outage.store(now.0, Ordering::Relaxed);
        }
        let running = shared.running.load(Ordering::Relaxed) as u32;
        let applied = shared.ledger.applied();
        shared.roster.update(|view| view.report(running, applied));
        if shared.ledger.available() {
            let ledger = &shared.ledger;
            shared
                .overlay
                .submit(|record| ledger.commit_later(record.clone()).is_ok());
        }
        drop_decided(&app);
        update_levels(&app);
        sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Returns a predicate for the keys whose live state this instance rewrites before the records
/// expire.
///
/// Instances with differing views may both rewrite a key, which has no effect on the state.
fn owns_key(app: &App) -> impl Fn(&str) -> bool {
    let app = app.clone();
    move |key| {
        let snapshot = app.shared().roster.snapshot();
        let live = snapshot.zones().flat_map(|zone| snapshot.live(zone));
        let owner = hash::rendezvous(key.as_bytes(), live);
        owner.is_none_or(|owner| *owner == app.shared().config.instance)
    }
}

/// Ends programs that have exceeded the time limit of their contract, even if their callers never
/// return.
///
/// They would otherwise occupy engine memory and count towards the customer's program limit.
async fn end_expired(app: App) {
    let shared = app.shared();
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        if !shared.ledger.available() {
            continue;
        }
        for (customer, name) in expired_programs(&app) {
            let body = record::Body::End {
                program: name.clone(),
                reason: record::Ending::TimeLimit,
            };
            let record = shared.ledger.record(&customer, body);
            if shared.ledger.commit(record).await.is_err() {
                break;
            }
            log::info!("daemon: ended program {name}: time limit reached");
            let shard = app.gateway.pool().shard(Some(&name));
            shard.do_send(Release { program: name });
        }
    }
}

/// Returns the programs owned by this instance that have exceeded the time limit of their contract.
fn expired_programs(app: &App) -> Vec<(Customer, Program)> {
    let shared = app.shared();
    let snapshot = shared.roster.snapshot();
    let state = shared.ledger.state();
    let now = Time::now();
    let expired_customer = |program: &program::Program| {
        let contract = state.contract(program.customer())?;
        let age = now.since(program.started());
        (age.as_secs() >= contract.limits().seconds).then(|| program.customer().clone())
    };
    let local = &shared.config.instance;
    let is_owned = |name: &Program| snapshot.owner(name).is_none_or(|owner| owner == local);
    state
        .programs()
        .filter_map(|(name, program)| Some((expired_customer(program)?, name.clone())))
        .filter(|(_, name)| is_owned(name))
        .collect()
}

/// Drops held turns that the log has accepted or rejected.
fn drop_decided(app: &App) {
    let shared = app.shared();
    for name in shared.overlay.programs() {
        let next = {
            let state = shared.ledger.state();
            state.program(&name).map(program::Program::next)
        };
        match next {
            Some(next) => shared.overlay.drop_decided(&name, next),
            None if shared.ledger.available() => shared.overlay.evict(&name),
            None => {}
        }
    }
}

fn update_levels(app: &App) {
    let shared = app.shared();
    let snapshot = shared.roster.snapshot();
    let levels = [
        (Level::Ready, u64::from(app.ready.load(Ordering::Relaxed))),
        (
            Level::Leaving,
            u64::from(snapshot.local().state == State::Leaving),
        ),
        (
            Level::Programs,
            shared.ledger.state().programs().count() as u64,
        ),
        (Level::LogUp, u64::from(shared.ledger.available())),
        (Level::HeldTurns, shared.overlay.len() as u64),
        (Level::Instances, snapshot.live_count() as u64),
        (Level::Links, shared.mesh.links() as u64),
        (
            Level::RunningCalls,
            shared.running.load(Ordering::Relaxed) as u64,
        ),
    ];
    for (level, value) in levels {
        shared.metrics.set_level(level, value);
    }
}

/// Marks the instance as ready once its replica has caught up with the log or with a peer.
async fn mark_ready_when_caught_up(app: App) {
    let ledger = &app.shared().ledger;
    while tokio::time::timeout(PEER_FETCH_DELAY, ledger.wait_caught_up())
        .await
        .is_err()
    {
        if copy_from_peers(&app).await {
            break;
        }
    }
    app.ready.store(true, Ordering::Relaxed);
    log::info!(
        "daemon: instance is ready, log applied up to offsets {:?}",
        ledger.applied()
    );
}

/// Copies the state of every partition from peers.
///
/// Returns whether the replica has then applied at least the highest offset reported by any peer.
async fn copy_from_peers(app: &App) -> bool {
    let shared = app.shared();
    let snapshot = shared.roster.snapshot();
    let highest = snapshot.highest_applied().to_vec();
    if highest.iter().all(|offset| *offset == 0) {
        return false;
    }
    for partition in 0..shared.config.log.partitions {
        for peer in newest_first(&snapshot, partition) {
            if fetch(app, peer, partition).await {
                break;
            }
        }
    }
    let applied = shared.ledger.applied();
    highest
        .iter()
        .zip(&applied)
        .all(|(highest, applied)| applied >= highest)
}

/// Returns the usable peers, sorted by their applied offset of the partition, highest first.
///
/// The replica counts as caught up after its first import, so an outdated peer must not come
/// first.
fn newest_first(snapshot: &Snapshot, partition: u32) -> Vec<&Instance> {
    let usable = snapshot.peers().filter(|peer| peer.status.usable());
    let mut peers: Vec<_> = usable.collect();
    peers.sort_by_key(|peer| Reverse(peer.applied.get(partition as usize).copied()));
    peers.into_iter().map(|peer| &peer.entry.instance).collect()
}

/// Copies newer state from peers while this instance can't read the log.
///
/// A zone may be isolated from the log but still reach its peers; new contract versions then arrive
/// through them.
async fn copy_state_while_log_unavailable(app: App) {
    let shared = app.shared();
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let behind = || {
            let applied = shared.ledger.applied();
            let snapshot = shared.roster.snapshot();
            let pairs = snapshot.highest_applied().iter().zip(&applied);
            pairs.clone().any(|(highest, applied)| applied < highest)
        };
        if !shared.ledger.available() && shared.ledger.caught_up() && behind() {
            copy_from_peers(&app).await;
        }
    }
}

async fn fetch(app: &App, peer: &Instance, partition: u32) -> bool {
    let shared = app.shared();
    let applied = shared.ledger.applied();
    let from = applied.get(partition as usize).copied().unwrap_or(0);
    let Ok(mut replies) = shared.mesh.open(peer, Body::Fetch { partition, from }) else {
        return false;
    };
    let mut state = Vec::new();
    let receive = async {
        while let Some(reply) = replies.next().await {
            match reply {
                Ok(Body::Chunk { bytes, .. }) => state.extend_from_slice(&bytes),
                Ok(_) => {}
                Err(_) => return false,
            }
        }
        true
    };
    let complete = tokio::time::timeout(FETCH_TIMEOUT, receive)
        .await
        .unwrap_or(false);
    complete && !state.is_empty() && shared.ledger.import(partition, state.into()).is_ok()
}

/// Notifies the dispatcher of gone instances and leaving upstreams.
async fn notify_dispatcher(app: App) {
    let mut snapshots = app.shared().roster.subscribe();
    let mut known_gone = Set::default();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        for departure in snapshot.departures() {
            app.dispatcher.do_send(Leaving {
                pool: departure.pool.clone(),
                upstream: departure.upstream.clone(),
                leaving: departure.leaving,
            });
        }
        let gone: Set<Instance> = snapshot
            .peers()
            .filter(|peer| matches!(peer.status, Status::Gone))
            .map(|peer| peer.entry.instance.clone())
            .collect();
        let instances: Set<Instance> = gone.difference(&known_gone).cloned().collect();
        known_gone = gone;
        if !instances.is_empty() {
            app.dispatcher.do_send(Gone { instances });
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}
