//! Daemon that runs one instance of the scheduler or of its gateway.

use std::{
    fmt,
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
    logs,
    process::{
        file,
        listen,
        output,
        signals,
        tally,
        task,
        End,
        Request,
        Signals, //
    },
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

fn main() -> ExitCode {
    // Before anything else: a signal that has no handler yet must not end the process.
    let deferred = signals::defer();
    let end = match flags::Gypsumleverd::from_env_or_exit().subcommand {
        flags::GypsumleverdCmd::Run(flags) if flags.check => {
            let path = &flags.config;
            return report_check(path, Config::check(path).map(drop));
        }
        flags::GypsumleverdCmd::Gateway(flags) => match settings_file(flags.config) {
            Ok(path) if flags.check => {
                return report_check(&path, Settings::load(&path).map(drop));
            }
            Ok(path) => block_on(gateway(&path)),
            Err(error) => Err(error.into()),
        },
        flags::GypsumleverdCmd::Run(flags) => block_on(run(&flags.config)),
    };
    if let Err(error) = deferred {
        output::line(format_args!(
            "signals: can't be deferred while the process starts: {error}"
        ));
    }
    end.map_or_else(|end| end, End::Stopped).report()
}

fn block_on(
    process: impl std::future::Future<Output = Result<&'static str, End>>,
) -> Result<&'static str, End> {
    actix_web::rt::System::new().block_on(process)
}

fn settings_file(flag: Option<PathBuf>) -> anyhow::Result<PathBuf> {
    flag.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from))
        .with_context(|| format!("neither --config nor {SETTINGS_VARIABLE} names a file"))
}

async fn run(path: &Path) -> Result<&'static str, End> {
    let mut signals = Signals::install().context("signals")?;
    listen::until_stopped(&mut signals, task::wait_for_threads()).await?;
    let config = load(&mut signals, path, Config::parse_read).await?;
    logs::start(&config.logs).context("failed to start logging")?;
    task::report_panics();
    let daemon = listen::until_stopped(&mut signals, Daemon::start(config)).await?;
    let signal = loop {
        match signals.next().await {
            Request::Stop(signal) => break signal,
            Request::Reload => {
                tally::RELOADS.add("unsupported");
                log::warn!("daemon: settings take effect at the next start only");
            }
        }
    };
    tally::ENDS.add("signal");
    log::info!(signal; "daemon: stopping");
    daemon.drain().await;
    Ok(signal)
}

async fn gateway(path: &Path) -> Result<&'static str, End> {
    let mut signals = Signals::install().context("signals")?;
    listen::until_stopped(&mut signals, task::wait_for_threads()).await?;
    let settings = load(&mut signals, path, Settings::parse).await?;
    logs::start_stdout(&settings.logs).context("failed to start logging")?;
    task::report_panics();
    lifecycle::run(path, settings, signals).await
}

/// Reads the settings, and waits for those that are being written.
async fn load<T, F: fmt::Display>(
    signals: &mut Signals,
    path: &Path,
    parse: impl Fn(&Path, std::io::Result<String>) -> Result<T, F>,
) -> Result<T, End> {
    let read = file::read_settled(
        path,
        |text| parse(path, text),
        |fault| {
            tally::START_RETRIES.add("settings");
            // The log is started with the settings.
            output::line(format_args!(
                "start: settings are invalid; retrying in case they are being written: {fault}"
            ));
        },
    );
    listen::until_stopped(signals, async {
        read.await.map_err(|fault| End::Settings(fault.to_string()))
    })
    .await
}

/// Exit status of a check that fails.
const EXIT_INVALID_SETTINGS: u8 = 2;

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
