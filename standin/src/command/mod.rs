//! Command line of `gypsumlever-standin`.

use std::{
    fs,
    io::Write,
    net::SocketAddr, //
};

use actix_web::rt::Runtime;
use anyhow::Context;
use serde::de::DeserializeOwned;
use tokio::signal::unix::{
    signal,
    SignalKind, //
};

use crate::{
    engine,
    list,
    log,
    server::{
        Server,
        Standin, //
    },
    service,
    store,
    weights, //
};

mod flags {
    use std::{
        net::SocketAddr,
        path::PathBuf, //
    };

    xflags::xflags! {
        /// Runs a stand-in for an outside system until it is interrupted. Prints the
        /// addresses as `listen ADDRESS` and `control ADDRESS`.
        cmd gypsumlever-standin {
            /// Address to listen on; by default a free port on loopback.
            optional --listen listen: SocketAddr
            /// Address for control that no fault of the network affects.
            optional --control control: SocketAddr
            /// File with settings in JSON.
            optional --config config: PathBuf
            /// Settings in JSON; they take the place of those in the file.
            optional --settings settings: String

            /// Append-only log: Kafka REST Proxy API v2.
            cmd log {}
            /// List of instances: Consul health API.
            cmd list {}
            /// Model engine: OpenAI chat completions.
            cmd engine {}
            /// Tool service or plain service.
            cmd service {}
            /// Metadata store of the users' platform.
            cmd store {}
            /// Weight store.
            cmd weights {}
        }
    }
}

use flags::{
    GypsumleverStandin,
    GypsumleverStandinCmd, //
};

/// Parses the command line and runs a stand-in until it is interrupted.
pub fn main() -> anyhow::Result<()> {
    let flags = GypsumleverStandin::from_env_or_exit();
    match flags.subcommand {
        GypsumleverStandinCmd::Log(_) => {
            let mut config: log::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(log::start(config)?)
        }
        GypsumleverStandinCmd::List(_) => {
            let mut config: list::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(list::start(config)?)
        }
        GypsumleverStandinCmd::Engine(_) => {
            let mut config: engine::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(engine::start(config)?)
        }
        GypsumleverStandinCmd::Service(_) => {
            let mut config: service::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(service::start(config)?)
        }
        GypsumleverStandinCmd::Store(_) => {
            let mut config: store::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(store::start(config)?)
        }
        GypsumleverStandinCmd::Weights(_) => {
            let mut config: weights::Config = settings(&flags)?;
            override_addresses(&flags, &mut config.listen, &mut config.control);
            run(weights::start(config)?)
        }
    }
}

/// Returns the settings of a stand-in from `--settings`, else from the file of `--config`,
/// else the defaults.
fn settings<T: DeserializeOwned>(flags: &GypsumleverStandin) -> anyhow::Result<T> {
    let text = match (&flags.settings, &flags.config) {
        (Some(text), _) => text.clone(),
        (None, Some(path)) => {
            fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?
        }
        (None, None) => "{}".to_owned(),
    };
    serde_json::from_str(&text).context("settings are not valid")
}

/// Overrides the addresses in the settings with those of the command line.
fn override_addresses(
    flags: &GypsumleverStandin,
    listen: &mut SocketAddr,
    control: &mut SocketAddr,
) {
    *listen = flags.listen.unwrap_or(*listen);
    *control = flags.control.unwrap_or(*control);
}

/// Prints the addresses and waits for SIGINT or SIGTERM.
fn run<S: Standin>(server: Server<S>) -> anyhow::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listen {}", server.address())?;
    writeln!(out, "control {}", server.control())?;
    out.flush()?;
    Runtime::new()?.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        server.stop().await;
        Ok(())
    })
}
