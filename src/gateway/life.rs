//! Life of a gateway process: start, signals and planned stop.

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
    count::Count,
    follow,
    front,
    keeper::Keeper,
    settings::Settings,
    state::Gateway, //
};
use crate::platform::{
    store::Topic,
    Configuration,
    Dialect,
    Servers,
    Store, //
};

/// Topic of the token accounts.
const ACCOUNTS: &str = "accounts";

/// Time after SIGTERM for which new connections still come: the balancer checks once a second and
/// stops after two misses.
const BALANCER: Duration = Duration::from_millis(2_600);

/// Part of the grace period after which the process ends in any case.
const PART: f64 = 0.9;

/// Time without requests after which a stopping process ends.
const QUIET: Duration = Duration::from_millis(400);

/// Time between checks while stopping.
const TICK: Duration = Duration::from_millis(50);

/// Time between sweeps of unused connections.
const SWEEP: Duration = Duration::from_secs(1);

/// Runs an instance until SIGTERM or SIGINT.
pub async fn run(path: &Path, settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listen = settings.listen;
    let grace = Duration::from_secs_f64(settings.grace_s);
    let store = Rc::new(Store::new(settings.store.address));
    let accounts = Topic::new(store.clone(), ACCOUNTS);
    let keeper = Rc::new(Keeper::new(accounts, settings.store.partitions));
    let gateway: Rc<Gateway<Dialect, Topic>> =
        Rc::new(Gateway::new(settings, keeper.clone(), Count::new()?));
    let instance = gateway.settings.instance.clone();
    log::info!(instance = &*instance; "gateway: started");
    spawn(keeper.run());
    spawn(follow::tables(
        gateway.clone(),
        Configuration::new(store.clone()),
    ));
    spawn(follow::servers(
        gateway.clone(),
        Servers::new(store.clone()),
    ));
    for address in [listen.ready, listen.metrics] {
        let listener = front::listen(address).with_context(|| format!("{address}"))?;
        spawn(front::operators(gateway.clone(), listener));
    }
    let listener = front::listen(listen.callers).with_context(|| format!("{}", listen.callers))?;
    spawn(front::callers(gateway.clone(), listener));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => load(path, &store),
            () = sleep(SWEEP) => gateway.sweep(),
        }
    }
    log::info!(instance = &*instance; "gateway: stopping");
    drain(&gateway, grace).await;
    log::info!(instance = &*instance; "gateway: stopped");
    Ok(())
}

/// Reads the settings again; all but the address of the store take effect at the next start.
fn load(path: &Path, store: &Store) {
    match Settings::load(path) {
        Ok(settings) => {
            store.relocate(settings.store.address);
            log::info!("gateway: settings were read again");
        }
        Err(fault) => log::error!(fault:%; "gateway: new settings are invalid and not used"),
    }
}

/// Serves until the balancer sends no more callers and all requests are answered.
async fn drain(gateway: &Gateway<Dialect, Topic>, grace: Duration) {
    gateway.stop();
    let start = Instant::now();
    let mut quiet = start;
    while start.elapsed() < grace.mul_f64(PART) {
        sleep(TICK).await;
        if gateway.busy() > 0 || gateway.keeper.pending() {
            quiet = Instant::now();
        }
        if start.elapsed() >= BALANCER && quiet.elapsed() >= QUIET {
            return;
        }
    }
    log::warn!(busy = gateway.busy(); "gateway: grace period ends with requests in flight");
}
