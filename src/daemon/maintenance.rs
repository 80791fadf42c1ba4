//! Periodic work of an instance.

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

use super::inbound::FETCH;

/// Period of the maintenance.
pub(super) const PERIOD: Duration = Duration::from_millis(500);

/// Time between two looks for programs that are older than their contract allows.
const OVERDUE: Duration = Duration::from_secs(2);

/// Time without a caught-up replica after which peers are asked for their state.
const ASK_PEERS: Duration = Duration::from_secs(2);

/// Starts all periodic work on the current thread.
pub(super) fn start(app: &App) {
    actix_web::rt::spawn(tick(app.clone()));
    actix_web::rt::spawn(get_ready(app.clone()));
    actix_web::rt::spawn(follow_peers(app.clone()));
    actix_web::rt::spawn(end_overdue(app.clone()));
    actix_web::rt::spawn(app.shared().ledger.clone().refresh_periodically(owner(app)));
    actix_web::rt::spawn(follow_view(app.clone()));
    let config = &app.shared().config;
    let (address, service) = (&config.list.address, &config.list.service);
    let list = consul::Client::new(address, service, config.timings.silence);
    let roster = app.shared().roster.clone();
    actix_web::rt::spawn(list::follow(list, roster, config.timings.list));
}

/// Shares the append budget of the log among the live instances.
fn interval(app: &App) -> Duration {
    let live = app.shared().roster.snapshot().live_count().max(1);
    let log = &app.shared().config.log;
    let writers = live as f64 * f64::from(log.partitions.max(1));
    Duration::from_secs_f64(writers / f64::from(log.appends_per_second.max(1)))
}

async fn tick(app: App) {
    loop {
        let shared = app.shared();
        let now = Time::now();
        shared.ledger.set_interval(interval(&app));
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
        levels(&app);
        sleep(PERIOD).await;
    }
}

/// Returns whether this instance writes a customer's live state again before its records expire.
///
/// Two instances that both believe so write it twice, which changes nothing.
fn owner(app: &App) -> impl Fn(&str) -> bool {
    let app = app.clone();
    move |key| {
        let snapshot = app.shared().roster.snapshot();
        let live = snapshot.zones().flat_map(|zone| snapshot.live(zone));
        let owner = hash::rendezvous(key.as_bytes(), live);
        owner.is_none_or(|owner| *owner == app.shared().config.instance)
    }
}

/// Ends programs that are older than their contract allows, even if their callers never return.
///
/// Their engine memory and their place among the customer's programs would otherwise stay taken.
async fn end_overdue(app: App) {
    let shared = app.shared();
    loop {
        sleep(OVERDUE).await;
        if !shared.ledger.available() {
            continue;
        }
        for (customer, name) in overdue(&app) {
            let body = record::Body::End {
                program: name.clone(),
                reason: record::Ending::TimeLimit,
            };
            let record = shared.ledger.record(&customer, body);
            if shared.ledger.commit(record).await.is_err() {
                break;
            }
            log::info!("daemon: program {name} reached its time limit");
            let shard = app.gateway.pool().shard(Some(&name));
            shard.do_send(Release { program: name });
        }
    }
}

/// Returns the programs of this home that have lived longer than their contract allows.
fn overdue(app: &App) -> Vec<(Customer, Program)> {
    let shared = app.shared();
    let snapshot = shared.roster.snapshot();
    let state = shared.ledger.state();
    let now = Time::now();
    let late = |program: &program::Program| {
        let contract = state.contract(program.customer())?;
        let age = now.since(program.started());
        (age.as_secs() >= contract.limits().seconds).then(|| program.customer().clone())
    };
    let own = &shared.config.instance;
    let mine = |name: &Program| snapshot.owner(name).is_none_or(|owner| owner == own);
    state
        .programs()
        .filter_map(|(name, program)| Some((late(program)?, name.clone())))
        .filter(|(_, name)| mine(name))
        .collect()
}

/// Drops held turns that the log has decided.
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

fn levels(app: &App) {
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
async fn get_ready(app: App) {
    let ledger = &app.shared().ledger;
    while tokio::time::timeout(ASK_PEERS, ledger.wait_caught_up())
        .await
        .is_err()
    {
        if copy_from_peers(&app).await {
            break;
        }
    }
    app.ready.store(true, Ordering::Relaxed);
    log::info!(
        "daemon: instance is ready at offsets {:?}",
        ledger.applied()
    );
}

/// Takes the state of every partition from peers; returns whether it is as new as any peer's.
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

/// Returns the usable peers, those with the newest state of a partition first.
///
/// The first state that is taken counts as caught up, so that an old one must not come first.
fn newest_first(snapshot: &Snapshot, partition: u32) -> Vec<&Instance> {
    let usable = snapshot.peers().filter(|peer| peer.status.usable());
    let mut peers: Vec<_> = usable.collect();
    peers.sort_by_key(|peer| Reverse(peer.applied.get(partition as usize).copied()));
    peers.into_iter().map(|peer| &peer.entry.instance).collect()
}

/// Takes newer state from peers while this instance can't read the log.
///
/// A zone may be cut off from the platform but not from its peers; new versions of contracts then
/// arrive through them.
async fn follow_peers(app: App) {
    let shared = app.shared();
    loop {
        sleep(PERIOD).await;
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
    let all = async {
        while let Some(reply) = replies.next().await {
            match reply {
                Ok(Body::Chunk { bytes, .. }) => state.extend_from_slice(&bytes),
                Ok(_) => {}
                Err(_) => return false,
            }
        }
        true
    };
    let whole = tokio::time::timeout(FETCH, all).await.unwrap_or(false);
    whole && !state.is_empty() && shared.ledger.import(partition, state.into()).is_ok()
}

/// Tells the dispatcher which instances are gone and which upstreams are leaving.
async fn follow_view(app: App) {
    let mut snapshots = app.shared().roster.subscribe();
    let mut gone = Set::default();
    loop {
        let snapshot = snapshots.borrow_and_update().clone();
        for departure in snapshot.departures() {
            app.dispatcher.do_send(Leaving {
                pool: departure.pool.clone(),
                upstream: departure.upstream.clone(),
                leaving: departure.leaving,
            });
        }
        let now: Set<Instance> = snapshot
            .peers()
            .filter(|peer| matches!(peer.status, Status::Gone))
            .map(|peer| peer.entry.instance.clone())
            .collect();
        let instances: Set<Instance> = now.difference(&gone).cloned().collect();
        gone = now;
        if !instances.is_empty() {
            app.dispatcher.do_send(Gone { instances });
        }
        if snapshots.changed().await.is_err() {
            return;
        }
    }
}
