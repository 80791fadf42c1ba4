//! Commands for contracts.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    json,
    Value, //
};

use crate::{
    api::contracts::Entry,
    contract::{
        Raw,
        Version, //
    },
    executor::request::Reason,
};

use super::{
    check_segment,
    client::Client,
    failure::Failure,
    file,
    flags::{
        ContractCmd, //
    },
    print::{
        self,
        Printer, //
    },
};

/// Interval between polls of the version in effect.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a subcommand of `gypsumctl contract`.
pub(super) async fn run(
    command: ContractCmd,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    match command {
        ContractCmd::Publish(args) => put(&args.file, 0, client, printer).await,
        ContractCmd::Amend(args) if args.expected == 0 || args.expected == Version::MAX => {
            let message = "--expected must be a version in effect; versions begin at 1";
            Err(Failure::Usage(message.to_owned()))
        }
        ContractCmd::Amend(args) => put(&args.file, args.expected, client, printer).await,
        ContractCmd::Show(args) => show(&args.customer, client, printer).await,
        ContractCmd::List(_) => list(client, printer).await,
        ContractCmd::Diff(args) => diff(&args.file, client, printer).await,
        ContractCmd::Watch(args) => watch(&args.customer, args.until, client, printer).await,
    }
}

async fn put(
    path: &Path,
    expected: Version,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    let contract = file::read(path)?;
    let customer = &contract.customer;
    match client.put(&contract, expected).await {
        Ok(response) => {
            let text = format!(
                "contract of {customer}: version {} accepted",
                response.content
            );
            Ok(printer.show(&text, &response.value)?)
        }
        Err(Failure::Refused { server, problem }) if problem.reason == Reason::Conflict => {
            let entry = client
                .get_from::<Entry>(&server, &contract_path(customer))
                .await;
            let refused = Failure::Refused { server, problem };
            Err(entry.map_or(refused, |found| {
                conflict(path, expected, &contract, &found.content)
            }))
        }
        Err(failure) => Err(failure),
    }
}

/// Returns the failure that names the version in effect and the next commands to run.
fn conflict(path: &Path, expected: Version, contract: &Raw, found: &Entry) -> Failure {
    let (customer, version) = (&contract.customer, found.version);
    let expectation = match expected {
        0 => "no contract".to_owned(),
        _ => format!("version {expected}"),
    };
    let is_same = Raw::from(found.contract.clone()) == *contract;
    let file = path.display();
    let next_step = match is_same {
        true => format!("; it equals {file}, so no change is needed"),
        false => format!(
            "\ncompare: gypsumctl contract diff {file}\nthen:    gypsumctl contract amend {file} \
             --expected {version}"
        ),
    };
    // An accepted attempt whose response was lost may have been amended since.
    let lost_attempt = match version > expected + 1 {
        true => format!(
            "\nif an earlier attempt got no response, it may have been accepted as version {}",
            expected + 1
        ),
        false => String::new(),
    };
    let message = format!(
        "contract of {customer}: version {version} is in effect, expected {expectation}{next_step}\
         {lost_attempt}"
    );
    Failure::Conflict { message, version }
}

fn contract_path(customer: &str) -> String {
    format!("/v1/contracts/{customer}")
}

async fn show(customer: &str, client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    check_segment("customer", customer)?;
    let response = client.get::<Entry>(&contract_path(customer)).await?;
    let entry = &response.content;
    let mut rows = vec![
        ("version", entry.version.to_string()),
        ("spent_micros", entry.spent_micros.to_string()),
        ("reserved_micros", entry.reserved_micros.to_string()),
        ("running programs", entry.running.to_string()),
    ];
    let fields = fields(&Raw::from(entry.contract.clone()))?;
    rows.extend(fields.iter().map(|(name, value)| (&**name, value.clone())));
    Ok(printer.show(&print::pairs(&rows), &response.value)?)
}

async fn list(client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let response = client.get::<Vec<Entry>>("/v1/contracts").await?;
    let row = |entry: &Entry| {
        [
            entry.contract.customer().to_string(),
            entry.version.to_string(),
            print::json_name(&entry.contract.served_by()),
            entry.contract.share().to_string(),
            entry.contract.budget().0.to_string(),
            entry.spent_micros.to_string(),
            entry.reserved_micros.to_string(),
            format!("{}/{}", entry.running, entry.contract.programs()),
        ]
    };
    let header = [
        "CUSTOMER",
        "VERSION",
        "SERVED BY",
        "SHARE",
        "BUDGET",
        "SPENT",
        "RESERVED",
        "PROGRAMS",
    ];
    let text = print::table(header, response.content.iter().map(row).collect());
    Ok(printer.show(&text, &response.value)?)
}

/// Returns the fields of a contract by path.
fn fields(raw: &Raw) -> anyhow::Result<BTreeMap<String, String>> {
    let mut list = BTreeMap::new();
    flatten("", &serde_json::to_value(raw)?, &mut list);
    Ok(list)
}

fn flatten(path: &str, value: &Value, list: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{name}"), value, list);
            }
        }
        // Classes are matched by name, so a changed order is not a difference.
        Value::Array(items) => {
            for item in items {
                let name = item["class"].as_str().unwrap_or_default();
                flatten(&format!("{path}[{name}]"), item, list);
            }
        }
        Value::Null => {}
        Value::String(text) => drop(list.insert(path.to_owned(), text.clone())),
        other => drop(list.insert(path.to_owned(), other.to_string())),
    }
}

async fn diff(path: &Path, client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let new = file::read(path)?;
    let found = client
        .get::<Entry>(&contract_path(&new.customer))
        .await?
        .content;
    let (before, after) = (fields(&found.contract.into())?, fields(&new)?);
    let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    names.retain(|name| before.get(*name) != after.get(*name));
    let cell = |side: &BTreeMap<String, String>, name: &str| print::or_dash(&side.get(name));
    let row = |name: &&String| [(*name).clone(), cell(&before, name), cell(&after, name)];
    let rows: Vec<_> = names.iter().map(row).collect();
    let change = |name: &&String| json!({ "field": name, "in_effect": before.get(*name), "file": after.get(*name) });
    let value = json!({
        "customer": new.customer,
        "version": found.version,
        "changes": names.iter().map(change).collect::<Vec<_>>(),
    });
    let text = match rows.is_empty() {
        true => format!("no difference to version {}", found.version),
        false => print::table(
            ["FIELD", &format!("VERSION {}", found.version), "FILE"],
            rows,
        ),
    };
    Ok(printer.show(&text, &value)?)
}

/// Returns the version in effect on a server, 0 if there is none.
async fn version(customer: &str, server: &str, client: &Client) -> Result<Version, Failure> {
    match client
        .get_from::<Entry>(server, &contract_path(customer))
        .await
    {
        Ok(found) => Ok(found.content.version),
        Err(Failure::Refused { problem, .. }) if problem.reason == Reason::UnknownCustomer => Ok(0),
        Err(failure) => Err(failure),
    }
}

async fn watch(
    customer: &str,
    until: Option<Version>,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    check_segment("customer", customer)?;
    let start = Instant::now();
    let mut reported: BTreeMap<&str, Result<Version, String>> = BTreeMap::new();
    loop {
        for server in client.servers() {
            let now = version(customer, server, client).await;
            let now = now.map_err(|failure| failure.to_string());
            if reported.get(server.as_str()) != Some(&now) {
                report(customer, server, &now, printer)?;
                reported.insert(server, now);
            }
        }
        let Some(target) = until else {
            actix_web::rt::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let is_behind =
            |found: &Result<Version, String>| !matches!(found, Ok(found) if *found >= target);
        let behind: Vec<_> = reported
            .iter()
            .filter(|(_, found)| is_behind(found))
            .collect();
        if behind.is_empty() {
            return Ok(());
        }
        if start.elapsed() >= client.timeout() {
            let names: Vec<_> = behind.iter().map(|(server, _)| **server).collect();
            return Err(Failure::Failed(format!(
                "version {target} is not in effect on {} after {} s",
                names.join(", "),
                client.timeout().as_secs_f64()
            )));
        }
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn report(
    customer: &str,
    server: &str,
    found: &Result<Version, String>,
    printer: &mut Printer<'_>,
) -> anyhow::Result<()> {
    match found {
        Ok(version) => {
            let text = match version {
                0 => format!("{server}: {customer} has no contract"),
                _ => format!("{server}: version {version} of {customer} is in effect"),
            };
            let value = json!({ "server": server, "customer": customer, "version": version });
            printer.event(&text, &value)
        }
        Err(failure) => {
            printer.warn(failure);
            Ok(())
        }
    }
}
