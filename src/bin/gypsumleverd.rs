//! The daemon.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use anyhow::Context;
use gypsumlever::{
    config::Config,
    daemon::Daemon,
    gateway::{
        lifecycle,
        settings::Settings, //
    },
    logs, //
};
use tokio::signal::unix::{
    signal,
    SignalKind, //
};

mod flags {
    //! Command line of the daemon.
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one instance of the scheduler.
        cmd gypsumleverd {
            /// Runs an instance that keeps histories and contracts in the log.
            default cmd run {
                /// File with the settings.
                required --config path: PathBuf
                /// Check the settings and exit.
                optional --check
            }
            /// Runs an instance that forwards requests to upstreams of the platform.
            cmd gateway {
                /// File with the settings; the environment variable GYPSUMLEVER_SETTINGS names
                /// it if this is left out.
                optional --config path: PathBuf
                /// Check the settings and exit.
                optional --check
            }
        }
    }
}

/// Environment variable that names the settings of a gateway.
const SETTINGS: &str = "GYPSUMLEVER_SETTINGS";

/// Exit code of settings that are not valid.
const INVALID: u8 = 2;

fn main() -> anyhow::Result<ExitCode> {
    match flags::Gypsumleverd::from_env_or_exit().subcommand {
        flags::GypsumleverdCmd::Run(flags) => run(&flags),
        flags::GypsumleverdCmd::Gateway(flags) => gateway(flags),
    }
}

fn run(flags: &flags::Run) -> anyhow::Result<ExitCode> {
    let path = &flags.config;
    if flags.check {
        return Ok(checked(path, Config::check(path).map(drop)));
    }
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(INVALID));
        }
    };
    logs::start(&config.logs).context("logging can't be started")?;
    actix_web::rt::System::new().block_on(serve(config))?;
    Ok(ExitCode::SUCCESS)
}

fn gateway(flags: flags::Gateway) -> anyhow::Result<ExitCode> {
    let path = flags
        .config
        .or_else(|| std::env::var_os(SETTINGS).map(PathBuf::from))
        .with_context(|| format!("neither --config nor {SETTINGS} names a file"))?;
    let settings = Settings::load(&path);
    if flags.check {
        return Ok(checked(&path, settings.map(drop)));
    }
    let settings = match settings {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::from(INVALID));
        }
    };
    logs::start_stdout(&settings.logs).context("logging can't be started")?;
    actix_web::rt::System::new().block_on(lifecycle::run(&path, settings))?;
    Ok(ExitCode::SUCCESS)
}

fn checked(path: &Path, result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(INVALID)
        }
    }
}

async fn serve(config: Config) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(config).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.drain().await;
    Ok(())
}
