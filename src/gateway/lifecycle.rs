//! Lifecycle of a gateway process: start, signals and graceful stop.

use std::{
    path::Path,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::spawn;
use anyhow::Context as _;
use tokio::{
    signal::unix::{
        signal,
        SignalKind, //
    },
    time::sleep,
};

use super::{
    dial::Dialer,
    dispatcher::{
        Dispatcher,
        Placer, //
    },
    endpoint::Endpoint,
    fleet::Fleet,
    follow, front,
    history::client::Histories,
    metrics::Metrics,
    origin::{
        Directory,
        Origins, //
    },
    owner::Client,
    path,
    peers::Peers,
    replica::Replica,
    reports::{
        self,
        Reports, //
    },
    settings::Settings,
    state::Gateway,
    tunnel::{
        self,
        Tunnels, //
    },
};
use crate::{
    clock::Time,
    member::{
        list,
        List as _,
        Roster, //
    },
    peer::{
        self,
        Mesh, //
    },
    platform::{
        store::Topic,
        Configuration,
        Dialect,
        Holds,
        Instances,
        Servers,
        Store, //
    },
};

/// Topic of the token accounts.
const ACCOUNTS: &str = "accounts";

/// Topic of the kept turns.
const TURNS: &str = "turns";

/// Time after SIGTERM for which new connections still arrive: the balancer checks once a second and
/// stops after two failed checks.
const BALANCER_DRAIN: Duration = Duration::from_millis(2_600);

/// Fraction of the grace period after which every request is answered.
const ANSWER_SHARE: f64 = 0.93;

/// Fraction of the grace period after which the process ends even with answers to write or records to
/// append.
const GRACE_SHARE: f64 = 0.97;

/// Time without requests in flight or records to append after which a stopping process ends.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Time between checks while stopping.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between retries to announce this instance; also the time within which the others announce
/// themselves if all start together.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(600);

/// Time between retries to read the other instances at the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reads of the announcements; changes in between spread by gossip.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Time between sweeps of idle connections and stale loads.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs an instance until SIGTERM or SIGINT.
pub async fn run(path: &Path, settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listen = settings.listen;
    let grace = Duration::from_secs_f64(settings.grace_s);
    let metrics = Metrics::new()?;
    let store = Rc::new(Store::new(&settings.store, metrics.clone()));
    let topic = Topic::new(store.clone(), ACCOUNTS);
    let replica = Rc::new(Replica::new(topic, settings.store.partitions));
    if settings.first_start {
        replica.path().set_first_start();
    }
    let accounts = Rc::new(Client::new(replica.clone()));
    let fleet = Rc::new(Fleet::new(settings.balance));
    let tunnels = Rc::new(Tunnels::new(fleet.clone(), metrics.clone()));
    let dialer = Rc::new(Dialer::new(tunnels.clone(), metrics.clone()));
    let dispatcher = Rc::new(Dispatcher::new(settings.zone.as_str(), fleet));
    let placer = Rc::new(Placer::new(dispatcher.clone()));
    let origins = Rc::<Origins>::default();
    let (reports, unpublished) = Reports::new(metrics.clone());
    let turns = Topic::with_large_records(store.clone(), TURNS);
    let histories = Rc::new(Histories::new(
        path::Path::to_topic(turns, path::Topic::Turns),
        settings.store.partitions,
        settings.history,
        settings.first_start,
        accounts.clone(),
        metrics.clone(),
    ));
    let gateway: Rc<Gateway<Dialect, Topic>> = Rc::new(Gateway::new(
        settings,
        accounts.clone(),
        Directory::new(origins.clone(), accounts.clone()),
        placer.clone(),
        dialer.clone(),
        reports.clone(),
        metrics,
    ));
    // Nothing else sets it.
    let _ = gateway.histories.set(histories.clone());
    let instance = gateway.settings.instance.clone();
    log::info!(instance = instance.as_str(); "gateway: started");
    let endpoint = Endpoint::new(
        replica.clone(),
        dispatcher,
        origins,
        reports.clone(),
        tunnels.clone(),
        gateway.quotas.clone(),
    )
    .with_configurations(gateway.configurations.clone())
    .with_histories(histories.clone());
    let peers = connect_peers(&gateway.settings, endpoint).await?;
    replica.path().connect(peers.clone());
    accounts.connect(peers.clone());
    placer.connect(peers.clone());
    dialer.connect(peers.clone());
    reports.connect(peers.clone());
    let cut_off = accounts.clone();
    let cut_off = move || !cut_off.joined() || cut_off.isolated();
    gateway.quotas.connect(peers.clone());
    spawn(gateway.quotas.clone().run(cut_off));
    gateway.configurations.connect(peers.clone());
    histories.connect(peers.clone());
    spawn(reports::publish(Holds::new(store.clone()), unpublished));
    spawn(follow::holds(reports, Holds::new(store.clone())));
    spawn(replica.clone().run());
    spawn(follow_roster(
        accounts.clone(),
        store.clone(),
        peers.roster.clone(),
    ));
    spawn(follow_members(
        gateway.clone(),
        store.clone(),
        peers.roster.clone(),
    ));
    spawn(follow::tables(
        gateway.clone(),
        Configuration::new(store.clone()),
    ));
    spawn(follow::servers(
        gateway.clone(),
        Servers::new(store.clone()),
    ));
    for address in [listen.ready, listen.metrics] {
        let listener =
            front::listen(address).with_context(|| format!("cannot listen on {address}"))?;
        spawn(front::serve_operators(gateway.clone(), listener));
    }
    let listener = front::listen(listen.callers)
        .with_context(|| format!("cannot listen for callers on {}", listen.callers))?;
    spawn(front::serve_callers(gateway.clone(), listener));
    // Last, as it takes any port of its range that is free.
    if let Some(range) = gateway.settings.peers.tunnels {
        let listener = tunnel::listen(range).context("cannot listen for tunnels")?;
        spawn(tunnels.clone().serve(listener));
    }
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(path, &store),
            () = sleep(SWEEP_INTERVAL) => gateway.sweep(),
        }
    }
    log::info!(instance = instance.as_str(); "gateway: stopping");
    peers.roster.update(|view| view.leave(Time::now()));
    spawn(withdraw(gateway.clone(), store));
    drain(&gateway, &replica, grace).await;
    log::info!(instance = instance.as_str(); "gateway: stopped");
    Ok(())
}

/// Starts the links to other instances.
async fn connect_peers(settings: &Settings, endpoint: Endpoint<Topic>) -> anyhow::Result<Peers> {
    let peers = &settings.peers;
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    let address = peers.listen.to_string();
    let roster = Roster::start(instance.clone(), zone.clone(), &address);
    let capacity = (settings.cores * 1_000.0) as u32;
    roster.update(|view| view.set_capacity(Time::now(), capacity));
    let links = peer::Settings::new(&peers.cluster, instance, zone, peers.listen, &peers.secret);
    let mesh = Mesh::start(links, endpoint, roster.clone()).await?;
    Ok(Peers { mesh, roster })
}

/// Updates which partitions this instance owns, and the number of readers of the store, as members
/// change; returns if the roster is closed.
async fn follow_roster(accounts: Rc<Client<Topic>>, store: Rc<Store>, roster: Roster) {
    let mut changes = roster.subscribe();
    loop {
        accounts.update_ownership();
        store.set_readers(roster.snapshot().live_count());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the other instances, announces this one, and follows the others; never returns.
async fn follow_members(gateway: Rc<Gateway<Dialect, Topic>>, store: Rc<Store>, roster: Roster) {
    let instances = Instances::new(store);
    let settings = &gateway.settings;
    let mut failing = false;
    loop {
        match instances.list().await {
            Ok(listed) => {
                roster.update(|view| view.apply_list(Time::now(), &listed));
                break;
            }
            // A peer that still knows this instance from before its restart may have sent its view.
            Err(_) if roster.snapshot().live_count() > 1 => break,
            Err(error) if !std::mem::replace(&mut failing, true) => log::warn!(
                "member: list of instances can't be read from the store; retrying: {error:#}"
            ),
            Err(_) => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
    gateway.accounts.join().await;
    let address = settings.peers.listen.to_string();
    while let Err(error) = instances
        .announce(&settings.instance, &settings.zone, Some(&address))
        .await
    {
        log::warn!("member: this instance can't be announced in the store; retrying: {error:#}");
        sleep(ANNOUNCE_INTERVAL).await;
    }
    sleep(ANNOUNCE_INTERVAL).await;
    list::follow(instances, roster, LIST_INTERVAL).await;
}

/// Withdraws the announcement of this instance.
async fn withdraw(gateway: Rc<Gateway<Dialect, Topic>>, store: Rc<Store>) {
    let settings = &gateway.settings;
    let withdrawn = Instances::new(store)
        .announce(&settings.instance, &settings.zone, None)
        .await;
    if let Err(error) = withdrawn {
        log::warn!(
            "member: announcement of this instance can't be withdrawn from the store; peers learn of the stop by gossip only: {error:#}"
        );
    }
}

/// Reloads the settings; only the address of the store takes effect before the next start.
fn reload_settings(path: &Path, store: &Store) {
    match Settings::load(path) {
        Ok(settings) => {
            store.set_address(settings.store.address);
            log::info!("gateway: settings are reloaded");
        }
        Err(fault) => {
            log::error!(fault:%; "gateway: new settings are invalid; keeping the old ones")
        }
    }
}

/// Serves until the balancer sends no more callers and all requests are answered, or the grace
/// period is nearly over.
async fn drain(gateway: &Gateway<Dialect, Topic>, replica: &Replica<Topic>, grace: Duration) {
    let start = Instant::now();
    gateway.stop(start + grace.mul_f64(ANSWER_SHARE));
    let mut quiet_since = start;
    while start.elapsed() < grace.mul_f64(GRACE_SHARE) {
        sleep(CHECK_INTERVAL).await;
        let histories = gateway.histories.get();
        let pending = replica.pending() || histories.is_some_and(|turns| turns.pending());
        if gateway.busy() > 0 || gateway.dialer.tunnels().busy() > 0 || pending {
            quiet_since = Instant::now();
        }
        if start.elapsed() >= BALANCER_DRAIN {
            gateway.close();
        }
        if start.elapsed() >= BALANCER_DRAIN && quiet_since.elapsed() >= QUIET_TIME {
            return;
        }
    }
    log::warn!(busy = gateway.busy(); "gateway: grace period is nearly over; ending with requests in flight or records to append");
}
