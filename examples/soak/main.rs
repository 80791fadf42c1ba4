//! Soak of event streams on real processes: instances, engines and a store that fail by turns.
//!
//! Build the daemon first, then `cargo run --example soak -- run --gateway target/debug/gypsumleverd`.
//! It exits with status 1 if a client saw an event that is missing, repeated or foreign, or an answer
//! that ended early as complete, if engines ran requests that must not have run, or if instances ended
//! by themselves, did not start or did not stop.

mod check;
mod client;
mod deployment;
mod engine;
mod faults;
mod link;
mod process;
mod record;
mod runs;
mod wire;

mod flags {
    //! Command line of the tool.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Soaks event streams of gateway instances.
        cmd soak {
            /// Play streams with faults, and check them.
            cmd run {
                /// Daemon to start as instances.
                required --gateway gateway: PathBuf
                /// Seed of faults and streams; 1 by default.
                optional --seed seed: u64
                /// Seconds of faults and new streams; 30 by default.
                optional --seconds seconds: u64
                /// Kinds of faults, separated by commas, `all` or `none`; `all` by default.
                optional --faults faults: String
                /// Number of faults that overlap at most; 2 by default.
                optional --operators operators: usize
                /// Number of clients; 48 by default.
                optional --clients clients: usize
                /// Number of instances; 4 by default.
                optional --instances instances: usize
                /// Number of engines; 8 by default.
                optional --engines engines: usize
                /// Number of software versions that the engines begin with; 2 by default.
                optional --versions versions: usize
                /// Framing of answers: `length`, `chunks`, `close` or `mixed`, which is the default.
                optional --framing framing: String
                /// Percent of the resumptions that don't name the request that they resume.
                optional --unnamed unnamed: u32
                /// What engines do to some answers: `cut`, `second`, `other`, `error`, `fin`, `limit` and
                /// `forms`, separated by commas, `all` or `none`, which is the default.
                optional --flaws flaws: String
                /// Defect of the engines, to test the checks: `skip`, `repeat`, `early-end`, `foreign` or
                /// `refused`.
                optional --defect defect: String
                /// Leave the field `first_start` out of the settings.
                optional --no-first-start
                /// Leave the field `tunnels` out of the settings.
                optional --no-tunnels
                /// Descriptors that an instance may open, if fewer than its settings state.
                optional --descriptors descriptors: u64
                /// Keep the folder with logs also if there are no findings.
                optional --keep-logs
            }
            /// Run an engine; used by `run`.
            cmd engine {
                /// Identifier.
                required --id id: String
                /// Service.
                required --service service: String
                /// Software version.
                required --version version: String
                /// Address to listen on.
                required --address address: String
                /// Time of the start in Unix milliseconds.
                required --born born: u64
                /// Framing of answers.
                optional --framing framing: String
                /// File that gets a line for each run.
                required --runs runs: PathBuf
                /// Flaws.
                optional --flaws flaws: String
                /// Defect.
                optional --defect defect: String
            }
        }
    }
}

use std::{
    fs,
    process::ExitCode,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    thread,
    time::Duration,
};

use anyhow::Context as _;

use client::Clients;
use deployment::Deployment;
use faults::Operators;
use flags::{
    Run,
    Soak,
    SoakCmd, //
};
use record::Record;

/// Stack of a client's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

fn main() -> anyhow::Result<ExitCode> {
    match Soak::from_env_or_exit().subcommand {
        SoakCmd::Engine(flags) => engine::run(&flags).map(|()| ExitCode::SUCCESS),
        SoakCmd::Run(flags) => soak(&flags),
    }
}

/// Plays a soak; fails if there are findings.
fn soak(flags: &Run) -> anyhow::Result<ExitCode> {
    let seed = flags.seed.unwrap_or(1);
    let faults = faults::parse(flags.faults.as_deref().unwrap_or("all"))?;
    let unnamed = f64::from(flags.unnamed.unwrap_or(0).min(100)) / 100.0;
    let deployment = Arc::new(Deployment::start(flags, faults::use_links(&faults))?);
    for instance in &deployment.instances {
        instance.set_started()?;
    }
    let record = Arc::new(Record::new(seed));
    let clients = Arc::new(Clients::new(
        deployment.clone(),
        record.clone(),
        seed,
        unnamed,
    ));
    let operators = &Operators::new(&deployment, &record, faults);
    let result = thread::scope(|scope| {
        scope.spawn(|| deployment.report_until_stopped());
        scope.spawn(|| deployment.check_until_stopped());
        scope.spawn(|| operators.watch(scope));
        for number in 0..flags.clients.unwrap_or(48) as u64 {
            let (clients, seed) = (clients.clone(), seed << 32 | number);
            let run = move || clients.run(seed);
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn_scoped(scope, run)?;
        }
        let threads: Vec<_> = (0..flags.operators.unwrap_or(2) as u64)
            .map(|number| scope.spawn(move || operators.run(seed << 32 | 1 << 31 | number)))
            .collect();
        thread::sleep(Duration::from_secs(flags.seconds.unwrap_or(30)));
        deployment.stopped.store(true, Ordering::SeqCst);
        // All of them end, also if one fails.
        let joined: Vec<_> = threads.into_iter().map(|thread| thread.join()).collect();
        operators.ended.store(true, Ordering::SeqCst);
        joined.into_iter().try_for_each(|joined| {
            joined.unwrap_or_else(|_| Err(anyhow::anyhow!("an operator panicked")))
        })
    });
    operators.stop_all();
    operators.find_panics()?;
    record.compare(&deployment.runs()?, &deployment.drained());
    let findings = record.summary();
    let folder = deployment.folder.clone();
    if findings > 0 || result.is_err() || flags.keep_logs {
        fs::write(folder.join("faults.log"), record.faults())?;
        println!("logs: {}", folder.display());
    } else {
        fs::remove_dir_all(&folder).context("temporary folder")?;
    }
    result?;
    // A run without a whole stream has checked nothing.
    anyhow::ensure!(
        record.counted("streams complete") > 0,
        "no stream is complete"
    );
    Ok(match findings {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}
