//! Background tasks for the upstreams of the pools that this instance dispatches for.

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

use super::maintenance::MAINTENANCE_INTERVAL;

/// Starts the tasks on the current thread.
pub(super) fn start(app: &App) {
    actix_web::rt::spawn(watch_owned(app.clone()));
    actix_web::rt::spawn(sweep_owned(app.clone()));
    if app.shared().config.weights.is_some() {
        actix_web::rt::spawn(place_models(app.clone()));
    }
}

/// Returns whether this instance dispatches for a pool in its zone.
///
/// Instances with differing views may both own a pool; the tasks here are then run twice, which is
/// harmless.
fn owns(app: &App, pool: &Pool) -> bool {
    let config = &app.shared().config;
    let snapshot = app.shared().roster.snapshot();
    snapshot.dispatcher(&config.zone, pool) == Some(&config.instance)
}

fn local_upstreams<'a>(
    config: &'a Config,
    pool: &'a config::Pool,
) -> impl Iterator<Item = &'a config::Upstream> {
    pool.upstreams
        .iter()
        .filter(|upstream| upstream.zone == config.zone)
}

/// Reads load reports of the owned pools and restarts the readers when ownership changes.
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
            let current = || config.pools.iter().map(|pool| owns(&app, &pool.name));
            while current().eq(owned.iter().copied()) {
                sleep(MAINTENANCE_INTERVAL).await;
            }
        };
        tokio::select! {
            _ = futures_util::future::join_all(readers) => {
                // No readers to run; check the ownership again after a pause.
                sleep(MAINTENANCE_INTERVAL).await;
            }
            () = changed => {}
        }
    }
}

async fn watch_pool(app: &App, config: &Arc<Config>, pool: &config::Pool) {
    let client = chat::Client::default();
    let targets: Vec<Target> = local_upstreams(config, pool).map(Target::from).collect();
    let report_event = |upstream: &Upstream, event: watch::Event| {
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
    watch::run(&client, &targets, config.timings.load, report_event).await;
}

/// Returns whether a program may still use engine memory.
fn program_state(ledger: &ledger::State, program: &Program) -> State {
    if ledger.program(program).is_some() {
        return State::Live;
    }
    admit::ending(ledger, program).map_or(State::Unknown, |_| State::Ended)
}

/// Releases engine memory of ended programs whose release was lost.
async fn sweep_owned(app: App) {
    let shared = app.shared();
    let config = shared.config.clone();
    let client = chat::Client::default();
    let mut sweep = Sweep::default();
    let caught_up_at = Cell::new(Time(0));
    loop {
        sleep(config.timings.sweep).await;
        let now = Time::now();
        if shared.ledger.available() && shared.ledger.caught_up() {
            caught_up_at.set(now);
        }
        let times = Times {
            now,
            current: caught_up_at.get(),
            grace: config.timings.sweep_grace,
        };
        let models = config.pools.iter().filter(|pool| pool.kind == Kind::Model);
        let owned = models.filter(|pool| owns(&app, &pool.name));
        let targets: Vec<Target> = owned
            .flat_map(|pool| local_upstreams(&config, pool))
            .map(Target::from)
            .collect();
        let state_of = |program: &Program| program_state(&shared.ledger.state(), program);
        let report = sweep.round(&client, times, &targets, state_of).await;
        if report.released > 0 {
            log::info!(
                "daemon: released {} cache entries of ended programs",
                report.released
            );
        }
    }
}

/// Sends commands to the engines so that they load the configured models.
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
            .flat_map(|pool| local_upstreams(&config, pool))
            .map(|upstream| upstream.name.clone())
            .collect();
        // Log offsets only grow, so commands of a lagging instance lose to those of a newer one.
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
    let report_outcome = |task: &placement::Task,
                          outcome: &Result<(), crate::upstream::Failure>| {
        match outcome {
            Ok(()) => log::info!(
                "daemon: engine {} executed {:?}",
                task.upstream,
                task.command
            ),
            Err(failure) => log::warn!(
                "daemon: command to engine {} failed, repeating it later if still needed: {failure}",
                task.upstream
            ),
        }
    };
    let client = chat::Client::default();
    placement::run(
        &client,
        &models,
        MAINTENANCE_INTERVAL,
        conditions,
        report_outcome,
    )
    .await;
}
