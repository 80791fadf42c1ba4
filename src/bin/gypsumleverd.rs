//! The daemon.

use std::process::ExitCode;

use anyhow::Context;
use gypsumlever::{
    config::Config,
    daemon::Daemon,
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
            /// File with the settings.
            required --config path: PathBuf
            /// Check the settings and exit.
            optional --check
        }
    }
}

/// Exit code of settings that are not valid.
const INVALID: u8 = 2;

fn main() -> anyhow::Result<ExitCode> {
    let flags = flags::Gypsumleverd::from_env_or_exit();
    if flags.check {
        return Ok(check(&flags));
    }
    let config = match Config::load(&flags.config) {
        Ok(config) => config,
        Err(faults) => {
            eprintln!("{faults}");
            return Ok(ExitCode::from(INVALID));
        }
    };
    logs::start(&config.logs).context("logging can't be started")?;
    actix_web::rt::System::new().block_on(run(config))?;
    Ok(ExitCode::SUCCESS)
}

fn check(flags: &flags::Gypsumleverd) -> ExitCode {
    match Config::check(&flags.config) {
        Ok(_) => {
            println!("{}: settings are valid", flags.config.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(INVALID)
        }
    }
}

async fn run(config: Config) -> anyhow::Result<()> {
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
