//! Work about the upstreams of the pools that this instance dispatches for.

use std::{
    cell::Cell,
    sync::Arc, //
};

use tokio::time::sleep;

use crate::{
    api::App,
    clock::Time,
    config::{
        self,
        Config,
        Kind, //
    },
    dispatch::Loaded,
    executor::admit,
    hash::Set,
    ledger,
    name::{
        Pool,
        Program,
        Upstream, //
    },
    upstream::{
        chat,
        command::Authorization,
        placement,
        sweep::{
            State,
            Sweep,
            Target,
            Times, //
        },
        watch, //
    },
};

use super::maintenance::PERIOD;

/// Starts the work on the current thread.
pub(super) fn start(app: &App) {
    actix_web::rt::spawn(watch_owned(app.clone()));
    actix_web::rt::spawn(sweep_owned(app.clone()));
    if app.shared().config.weights.is_some() {
        actix_web::rt::spawn(place_models(app.clone()));
    }
}

/// Returns whether this instance dispatches for a pool in its zone.
///
/// Two instances may both believe so; the work here is then done twice and stays correct.
fn owns(app: &App, pool: &Pool) -> bool {
    let config = &app.shared().config;
    let snapshot = app.shared().roster.snapshot();
    snapshot.dispatcher(&config.zone, pool) == Some(&config.instance)
}

fn here<'a>(
    config: &'a Config,
    pool: &'a config::Pool,
) -> impl Iterator<Item = &'a config::Upstream> {
    pool.upstreams
        .iter()
        .filter(|upstream| upstream.zone == config.zone)
}

/// Reads load reports of the owned pools, and starts anew when ownership changes.
async fn watch_owned(app: App) {
    loop {
        let config = app.shared().config.clone();
        let owned: Vec<bool> = config
            .pools
            .iter()
            .map(|pool| owns(&app, &pool.name))
            .collect();
        let pools = config.pools.iter().zip(&owned).filter(|(_, owned)| **owned);
        let readers = pools.map(|(pool, _)| watch_pool(&app, &config, pool));
        let changed = async {
            let now = || config.pools.iter().map(|pool| owns(&app, &pool.name));
            while now().eq(owned.iter().copied()) {
                sleep(PERIOD).await;
            }
        };
        tokio::select! {
            _ = futures_util::future::join_all(readers) => {
                // There was nothing to read; ownership is looked at again later.
                sleep(PERIOD).await;
            }
            () = changed => {}
        }
    }
}

async fn watch_pool(app: &App, config: &Arc<Config>, pool: &config::Pool) {
    let client = chat::Client::default();
    let targets: Vec<Target> = here(config, pool).map(Target::from).collect();
    let notice = |upstream: &Upstream, event: watch::Event| {
        let watch::Event::Load(load) = event else {
            return;
        };
        let roster = &app.shared().roster;
        let (now, leaving, version) = (Time::now(), load.leaving, load.at);
        roster.update(|view| view.record_upstream(now, &pool.name, upstream, leaving, version));
        app.dispatcher.do_send(Loaded {
            pool: pool.name.clone(),
            upstream: upstream.clone(),
            load,
        });
    };
    watch::run(&client, &targets, config.timings.load, notice).await;
}

/// Says whether a program may still use engine memory.
fn state(ledger: &ledger::State, program: &Program) -> State {
    if ledger.program(program).is_some() {
        return State::Live;
    }
    admit::ending(ledger, program).map_or(State::Unknown, |_| State::Ended)
}

/// Finds engine memory that releases missed.
async fn sweep_owned(app: App) {
    let shared = app.shared();
    let config = shared.config.clone();
    let client = chat::Client::default();
    let mut sweep = Sweep::default();
    let current = Cell::new(Time(0));
    loop {
        sleep(config.timings.sweep).await;
        let now = Time::now();
        if shared.ledger.available() && shared.ledger.caught_up() {
            current.set(now);
        }
        let times = Times {
            now,
            current: current.get(),
            grace: config.timings.sweep_grace,
        };
        let models = config.pools.iter().filter(|pool| pool.kind == Kind::Model);
        let owned = models.filter(|pool| owns(&app, &pool.name));
        let targets: Vec<Target> = owned
            .flat_map(|pool| here(&config, pool))
            .map(Target::from)
            .collect();
        let look = |program: &Program| state(&shared.ledger.state(), program);
        let report = sweep.round(&client, times, &targets, look).await;
        if report.released > 0 {
            log::info!(
                "daemon: {} cache entries of ended programs released",
                report.released
            );
        }
    }
}

/// Sends commands so that engines load the models that the settings name.
async fn place_models(app: App) {
    let shared = app.shared().clone();
    let config = shared.config.clone();
    let Some(weights) = config.weights.clone() else {
        return;
    };
    let conditions = || {
        let owned: Set<Upstream> = config
            .pools
            .iter()
            .filter(|pool| pool.kind == Kind::Model && owns(&app, &pool.name))
            .flat_map(|pool| here(&config, pool))
            .map(|upstream| upstream.name.clone())
            .collect();
        // Offsets of the log only grow, so that an instance that is behind loses to a newer one.
        let fence = shared.ledger.applied().iter().sum();
        placement::Conditions {
            interval: placement::interval(&weights, shared.roster.snapshot().live_count()),
            authorization: Authorization {
                fence,
                sender: Some(config.instance.to_string()),
            },
            owned,
        }
    };
    let models = config.pools.iter().filter(|pool| pool.kind == Kind::Model);
    let models: Vec<config::Pool> = models.cloned().collect();
    let notice =
        |task: &placement::Task, outcome: &Result<(), crate::upstream::Failure>| match outcome {
            Ok(()) => log::info!(
                "daemon: engine {} carried out {:?}",
                task.upstream,
                task.command
            ),
            Err(failure) => log::warn!("daemon: engine {}: {failure}", task.upstream),
        };
    let client = chat::Client::default();
    placement::run(&client, &models, PERIOD, conditions, notice).await;
}
