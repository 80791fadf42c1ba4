//! Lifecycle of a gateway process: start, signals and graceful stop.

use std::{
    future::{
        pending,
        Future, //
    },
    path::Path,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::spawn;
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::sleep, //
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
    process::{
        file,
        listen,
        tally,
        task,
        End,
        Request,
        Signals, //
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

/// Time beyond the grace period for which a process that starts waits for its addresses.
const LISTEN_MARGIN: Duration = Duration::from_secs(2);

/// Time between checks while stopping.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between retries to announce this instance; also the time within which the others announce
/// themselves if all start together.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(600);

/// Time between attempts to open a port for tunnels.
const TUNNELS_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time between retries to read the other instances at the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reads of the announcements; changes in between spread by gossip.
const LIST_INTERVAL: Duration = Duration::from_secs(15);

/// Time between sweeps of idle connections and stale loads.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Listeners of an instance.
struct Listeners {
    callers: TcpListener,
    operators: [TcpListener; 2],
    peers: TcpListener,
}

impl Listeners {
    /// Opens the listeners. A process before this one may hold the addresses until its grace period ends.
    async fn open(settings: &Settings) -> Result<Self, End> {
        let limit = Duration::from_secs_f64(settings.grace_s) + LISTEN_MARGIN;
        let open = |purpose, address| listen::open(purpose, address, limit, front::listen);
        let addresses = settings.listen;
        let (ready, metrics, peers) = tokio::try_join!(
            open("readiness", addresses.ready),
            open("metrics", addresses.metrics),
            listen::open("peers", settings.peers.listen, limit, peer::listen),
        )?;
        // Last, so that callers are refused, and can go elsewhere, as long as nothing serves them.
        let callers = open("callers", addresses.callers).await?;
        Ok(Self {
            callers,
            operators: [ready, metrics],
            peers,
        })
    }
}

/// Runs an instance until a signal requests a stop, and returns the name of the signal.
pub async fn run(
    path: &Path,
    mut settings: Settings,
    mut signals: Signals,
) -> Result<&'static str, End> {
    let listeners = loop {
        tokio::select! {
            biased;
            opened = Listeners::open(&settings) => break opened?,
            request = signals.next() => match request {
                Request::Stop(signal) => return Err(End::Stopped(signal)),
                Request::Reload => {}
            },
        }
        // The new settings may have other addresses.
        let reload = async { Ok(reload(path).await) };
        if let Some(reloaded) = listen::until_stopped(&mut signals, reload).await? {
            settings = reloaded;
        }
    };
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
    let peers = connect_peers(&gateway.settings, listeners.peers, endpoint);
    replica.path().connect(peers.clone());
    accounts.connect(peers.clone());
    placer.connect(peers.clone());
    dialer.connect(peers.clone());
    reports.connect(peers.clone());
    gateway.quotas.connect(peers.clone());
    gateway.configurations.connect(peers.clone());
    histories.connect(peers.clone());
    spawn(reports::publish(Holds::new(store.clone()), unpublished));
    spawn(replica.clone().run());
    let parts = Rc::new(Parts {
        gateway: gateway.clone(),
        store: store.clone(),
        reports,
        tunnels,
        roster: peers.roster.clone(),
        path: path.into(),
        reloads: Notify::new(),
    });
    start_tasks(&parts);
    let mut servers = task::Essential::default();
    let [ready, metrics] = listeners.operators;
    servers.spawn("readiness", front::serve_operators(gateway.clone(), ready));
    servers.spawn("metrics", front::serve_operators(gateway.clone(), metrics));
    servers.spawn(
        "callers",
        front::serve_callers(gateway.clone(), listeners.callers),
    );
    let ended = loop {
        tokio::select! {
            request = signals.next() => match request {
                Request::Stop(signal) => break Ok(signal),
                Request::Reload => parts.reloads.notify_one(),
            },
            name = servers.ended() => break Err(End::Task(name)),
        }
    };
    let end = ended.as_ref().map_or_else(End::reason, |_| "signal");
    tally::ENDS.add(end);
    let signal = *ended.as_ref().unwrap_or(&"none");
    log::info!(instance = instance.as_str(), reason = end, signal; "gateway: stopping");
    peers.roster.update(|view| view.leave(Time::now()));
    spawn(withdraw(gateway.clone(), store));
    drain(&gateway, grace).await;
    log::info!(instance = instance.as_str(); "gateway: stopped");
    ended
}

/// Starts the links to other instances.
fn connect_peers(settings: &Settings, listener: TcpListener, endpoint: Endpoint<Topic>) -> Peers {
    let peers = &settings.peers;
    let (instance, zone) = (settings.instance.clone(), settings.zone.clone());
    let address = peers.listen.to_string();
    let roster = Roster::start(instance.clone(), zone.clone(), &address);
    let capacity = (settings.cores * 1_000.0) as u32;
    roster.update(|view| view.set_capacity(Time::now(), capacity));
    let links = peer::Settings::new(&peers.cluster, instance, zone, peers.listen, &peers.secret);
    let mesh = Mesh::run(links, listener, endpoint, roster.clone());
    Peers { mesh, roster }
}

/// What the tasks of an instance share.
struct Parts {
    gateway: Rc<Gateway<Dialect, Topic>>,
    store: Rc<Store>,
    reports: Rc<Reports>,
    tunnels: Rc<Tunnels>,
    roster: Roster,
    /// File of the settings.
    path: Box<Path>,
    /// Requests to reload the settings.
    reloads: Notify,
}

/// Starts the tasks that run as long as the process.
fn start_tasks(parts: &Rc<Parts>) {
    start_task("quotas", parts, |parts| async move {
        let accounts = parts.gateway.accounts.clone();
        let cut_off = move || !accounts.joined() || accounts.isolated();
        parts.gateway.quotas.clone().run(cut_off).await;
    });
    start_task("holds", parts, |parts| {
        follow::holds(parts.reports.clone(), Holds::new(parts.store.clone()))
    });
    start_task("configuration", parts, |parts| {
        let feed = Configuration::new(parts.store.clone());
        follow::tables(parts.gateway.clone(), feed)
    });
    start_task("registry", parts, |parts| {
        let feed = Servers::new(parts.store.clone());
        follow::servers(parts.gateway.clone(), feed)
    });
    start_task("ownership", parts, follow_roster);
    start_task("members", parts, follow_members);
    start_task("sweep", parts, sweep);
    start_task("reload", parts, follow_reloads);
    start_task("tunnels", parts, carry_tunnels);
}

fn start_task<F>(name: &'static str, parts: &Rc<Parts>, task: impl Fn(Rc<Parts>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let parts = parts.clone();
    task::supervise(name, move || task(parts.clone()));
}

/// Carries tunnels once a port of the range is free, if the settings have a range; never returns.
async fn carry_tunnels(parts: Rc<Parts>) {
    let Some(range) = parts.gateway.settings.peers.tunnels else {
        return pending().await;
    };
    let mut waits = false;
    loop {
        match tunnel::listen(range) {
            Ok(listener) => parts.tunnels.clone().serve(listener).await,
            Err(error) => {
                tally::START_RETRIES.add("tunnels");
                if !std::mem::replace(&mut waits, true) {
                    let [first, last] = range.ports;
                    log::warn!(
                        error:%;
                        "start: cannot listen for tunnels on {}, ports {first} to {last}; serving without, and retrying",
                        range.ip
                    );
                }
            }
        }
        sleep(TUNNELS_RETRY_INTERVAL).await;
    }
}

/// Drops idle connections and stale loads; never returns.
async fn sweep(parts: Rc<Parts>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        parts.gateway.sweep();
    }
}

/// Updates which partitions this instance owns, and the number of readers of the store, as members
/// change; returns if the roster is closed.
async fn follow_roster(parts: Rc<Parts>) {
    let mut changes = parts.roster.subscribe();
    loop {
        parts.gateway.accounts.update_ownership();
        let readers = parts.roster.snapshot().live_count();
        parts.store.set_readers(readers);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the other instances, announces this one, and follows the others; never returns.
async fn follow_members(parts: Rc<Parts>) {
    let instances = Instances::new(parts.store.clone());
    let (gateway, roster) = (&parts.gateway, &parts.roster);
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
    list::follow(instances, roster.clone(), LIST_INTERVAL).await;
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

/// Reloads the settings at each request; only the address of the store takes effect before the next
/// start. Never returns.
async fn follow_reloads(parts: Rc<Parts>) {
    loop {
        parts.reloads.notified().await;
        if let Some(settings) = reload(&parts.path).await {
            parts.store.set_address(settings.store.address);
        }
    }
}

/// Reads new settings; `None` if they are invalid.
async fn reload(path: &Path) -> Option<Settings> {
    let parse = |text| Settings::parse(path, text);
    let read = file::read_settled(path, parse, |fault| {
        tally::RELOADS.add("retried");
        log::warn!(fault:%; "gateway: new settings are invalid; retrying in case they are being written");
    });
    match read.await {
        Ok(settings) => {
            tally::RELOADS.add("applied");
            log::info!("gateway: settings are reloaded");
            Some(settings)
        }
        Err(fault) => {
            tally::RELOADS.add("invalid");
            log::error!(fault:%; "gateway: new settings are invalid; keeping the old ones");
            None
        }
    }
}

/// Serves until the balancer sends no more callers and all requests are answered, or the grace
/// period is nearly over.
async fn drain(gateway: &Gateway<Dialect, Topic>, grace: Duration) {
    let start = Instant::now();
    gateway.stop(start + grace.mul_f64(ANSWER_SHARE));
    let mut quiet_since = start;
    while start.elapsed() < grace.mul_f64(GRACE_SHARE) {
        sleep(CHECK_INTERVAL).await;
        let callers_come = start.elapsed() < BALANCER_DRAIN;
        gateway.accounts.return_reserves(callers_come);
        let histories = gateway.histories.get();
        let pending = gateway.accounts.pending() || histories.is_some_and(|turns| turns.pending());
        if gateway.busy() > 0 || gateway.dialer.tunnels().busy() > 0 || pending {
            quiet_since = Instant::now();
        }
        if !callers_come {
            gateway.close();
        }
        if !callers_come && quiet_since.elapsed() >= QUIET_TIME {
            return;
        }
    }
    log::warn!(busy = gateway.busy(); "gateway: grace period is nearly over; ending with requests in flight or records to append");
}
