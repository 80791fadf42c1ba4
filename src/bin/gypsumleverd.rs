//! Daemon that runs one instance of the scheduler or of its gateway.

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
            /// Runs an instance that stores histories and contracts in the log.
            default cmd run {
                /// Settings file.
                required --config path: PathBuf
                /// Check the settings and exit.
                optional --check
            }
            /// Runs an instance that forwards requests to upstreams of the platform.
            cmd gateway {
                /// Settings file; by default the one that the environment variable
                /// GYPSUMLEVER_SETTINGS names.
                optional --config path: PathBuf
                /// Check the settings and exit.
                optional --check
            }
        }
    }
}

/// Environment variable that names the settings file of a gateway.
const SETTINGS_VARIABLE: &str = "GYPSUMLEVER_SETTINGS";

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> anyhow::Result<ExitCode> {
    match flags::Gypsumleverd::from_env_or_exit().subcommand {
        flags::GypsumleverdCmd::Run(flags) => run(&flags),
        flags::GypsumleverdCmd::Gateway(flags) => gateway(flags),
    }
}

fn run(flags: &flags::Run) -> anyhow::Result<ExitCode> {
    let path = &flags.config;
    if flags.check {
        return Ok(report_check(path, Config::check(path).map(drop)));
    }
    let config = match Config::load(path) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    logs::start(&config.logs).context("failed to start logging")?;
    actix_web::rt::System::new().block_on(serve(config))?;
    Ok(ExitCode::SUCCESS)
}

fn gateway(flags: flags::Gateway) -> anyhow::Result<ExitCode> {
    let path = flags
        .config
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .with_context(|| format!("neither --config nor {SETTINGS_VARIABLE} names a file"))?;
    let settings = Settings::load(&path);
    if flags.check {
        return Ok(report_check(&path, settings.map(drop)));
    }
    let settings = match settings {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::from(EXIT_INVALID_SETTINGS));
        }
    };
    logs::start_stdout(&settings.logs).context("failed to start logging")?;
    actix_web::rt::System::new().block_on(lifecycle::run(&path, settings))?;
    Ok(ExitCode::SUCCESS)
}

fn report_check(path: &Path, result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
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
