//! Commands that show views of gateway instances.

use serde_json::json;

use crate::gateway::view::Report;

use super::{
    check_segment,
    client::Client,
    failure::Failure,
    flags::{
        Gateway,
        Span,
        View, //
    },
    print::{
        self,
        Printer, //
    },
};

/// Name of the column with the address of the instance.
const GATEWAY_COLUMN: &str = "gateway";

/// Creates a client of the instances given.
pub(super) fn create_client(args: &Gateway, timeout: Span) -> Result<Client, Failure> {
    if args.gateway.is_empty() {
        let message = "no gateway is given; use --gateway ADDRESS";
        return Err(Failure::Usage(message.to_owned()));
    }
    Client::new(args.gateway.clone(), timeout)
}

pub(super) async fn run(
    args: &Gateway,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    let path = match (args.view, &args.request) {
        (View::Why, Some(request)) => return why(request, client, printer).await,
        (View::Tenants, None) => "/operator/tenants",
        (View::Histories, None) => "/operator/histories",
        (View::Why, None) => {
            let message = "no request is given; use gypsumctl gateway why REQUEST";
            return Err(Failure::Usage(message.to_owned()));
        }
        (_, Some(request)) => {
            let message = format!("unexpected argument {request:?}; only why takes a request");
            return Err(Failure::Usage(message));
        }
    };
    show(path, client, printer).await
}

async fn show(path: &str, client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let reports = gather(path, client, printer).await?;
    print(&reports, printer)
}

/// Prints the refusals of a request; fails if no instance retains one.
async fn why(request: &str, client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    check_segment("request", request)?;
    let path = format!("/operator/requests/{request}");
    let reports = gather(&path, client, printer).await?;
    if reports.iter().all(|(_, report)| report.rows.is_empty()) {
        let names: Vec<_> = reports.iter().map(|(name, _)| name.as_str()).collect();
        return Err(Failure::Failed(format!(
            "no refusal of {request} found on {}; an instance retains only its latest 512 refusals, and only until it stops",
            names.join(", ")
        )));
    }
    print(&reports, printer)
}

/// Gets a report from every instance given, and warns of each that sent none; fails if none did.
async fn gather(
    path: &str,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<Vec<(String, Report)>, Failure> {
    let mut reports = Vec::new();
    let mut first_failure = None;
    for (gateway, response) in client.get_each::<Report>(path).await {
        match response {
            Ok(response) => reports.push((gateway.to_owned(), response.content)),
            Err(failure) => {
                printer.warn(&format!("the list is incomplete: {failure}"));
                first_failure = first_failure.or(Some(failure));
            }
        }
    }
    match first_failure {
        Some(failure) if reports.is_empty() => Err(failure),
        _ => Ok(reports),
    }
}

fn print(reports: &[(String, Report)], printer: &mut Printer<'_>) -> Result<(), Failure> {
    let value: Vec<_> = reports
        .iter()
        .map(|(gateway, report)| {
            json!({ "gateway": gateway, "columns": report.columns, "rows": report.rows })
        })
        .collect();
    let merged = merge(reports);
    Ok(printer.show(&print::rows(&merged.columns, &merged.rows), &value)?)
}

/// Merges reports under the columns of all, as instances of two versions may have different ones.
fn merge(reports: &[(String, Report)]) -> Report {
    let mut merged = Report::new(&[GATEWAY_COLUMN]);
    for column in reports.iter().flat_map(|(_, report)| &report.columns) {
        if !merged.columns.contains(column) {
            merged.columns.push(column.clone());
        }
    }
    for (gateway, report) in reports {
        for row in &report.rows {
            let value = |column: &String| {
                let at = report.columns.iter().position(|other| other == column);
                let value = at.and_then(|at| row.get(at));
                value.map_or_else(|| "-".to_owned(), String::clone)
            };
            let values = merged.columns[1..].iter().map(value);
            let values = std::iter::once(gateway.clone()).chain(values);
            merged.rows.push(values.collect());
        }
    }
    merged.columns = merged
        .columns
        .iter()
        .map(|name| name.to_uppercase())
        .collect();
    merged
}
