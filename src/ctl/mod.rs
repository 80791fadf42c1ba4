//! Commands of `gypsumctl`.

pub mod advice;
pub mod client;
pub mod contract;
pub mod failure;
pub mod file;
pub mod flags;
pub mod gateway;
pub mod print;
pub mod view;
pub mod why;

use std::{
    ffi::OsString,
    io::Write, //
};

use anyhow::Context as _;

use client::Client;
use failure::Failure;
use flags::{
    Gypsumctl,
    GypsumctlCmd, //
};
use print::{
    Format,
    Printer, //
};

/// Environment variable with the comma-separated addresses of the servers.
pub const SERVER_VARIABLE: &str = "GYPSUMLEVER_SERVER";

/// Runs one command and returns the exit code; `err` receives failures and warnings.
pub async fn run(
    arguments: Vec<OsString>,
    variable: Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let flags = match Gypsumctl::from_vec(arguments) {
        Ok(flags) => flags,
        Err(help) if help.is_help() => {
            let _ = writeln!(out, "{help}");
            return 0;
        }
        Err(error) => {
            let _ = writeln!(err, "gypsumctl: {error}; see gypsumctl --help");
            return Failure::Usage(String::new()).code();
        }
    };
    let format = flags.output.unwrap_or_default();
    let result = match create_client(&flags, variable) {
        Ok(client) => {
            let mut printer = Printer::new(format, out, err);
            execute(flags.subcommand, &client, &mut printer).await
        }
        Err(failure) => Err(failure),
    };
    let Err(failure) = result else {
        return 0;
    };
    let _ = match format {
        Format::Table => writeln!(err, "gypsumctl: {failure}"),
        Format::Json => writeln!(err, "{}", failure.json()),
    };
    failure.code()
}

fn create_client(flags: &Gypsumctl, variable: Option<String>) -> Result<Client, Failure> {
    if let GypsumctlCmd::Gateway(args) = &flags.subcommand {
        return gateway::create_client(args, flags.timeout.unwrap_or_default());
    }
    let servers = match (flags.server.is_empty(), variable) {
        (false, _) => flags.server.clone(),
        (true, Some(list)) => list.split(',').map(|name| name.trim().to_owned()).collect(),
        (true, None) => Vec::new(),
    };
    Client::new(servers, flags.timeout.unwrap_or_default())
}

async fn execute(
    command: GypsumctlCmd,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    match command {
        GypsumctlCmd::Contract(args) => contract::run(args.subcommand, client, printer).await,
        GypsumctlCmd::Instances(_) => view::instances(client, printer).await,
        GypsumctlCmd::Upstreams(_) => view::upstreams(client, printer).await,
        GypsumctlCmd::Gateway(args) => gateway::run(&args, client, printer).await,
        GypsumctlCmd::Queues(_) => view::queues(client, printer).await,
        GypsumctlCmd::Programs(args) => view::programs(args.customer, client, printer).await,
        GypsumctlCmd::Why(args) => why::run(&args.request, client, printer).await,
    }
}

/// Checks a path segment, so that a mistyped name can't select another route.
fn check_segment(kind: &str, text: &str) -> Result<(), Failure> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !text.is_empty() && text.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Failure::Usage(format!(
        "{kind} {text:?} is not a valid name; names consist of a-z, A-Z, 0-9, '-', '_' and '.'"
    )))
}

/// Formats a value as indented JSON.
fn pretty(value: &impl serde::Serialize) -> anyhow::Result<String> {
    serde_json::to_string_pretty(value).context("failed to format the output as JSON")
}
