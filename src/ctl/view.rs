//! Commands that list instances, upstreams, programs and queues.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;

use crate::{
    api::operate::{
        Instance,
        Row,
        Upstream, //
    },
    name::Pool,
    policy::pool::Stats,
};

use super::{
    check_segment,
    client::Client,
    failure::Failure,
    print::{
        self,
        or_dash,
        Printer, //
    },
};

/// Maximum number of programs that an instance lists.
const MAX_PROGRAM_ROWS: usize = 1_000;

pub(super) async fn instances(client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let response = client.get::<Vec<Instance>>("/v1/instances").await?;
    let row = |row: &Instance| {
        let marker = if row.own { "asked" } else { "" };
        [
            row.instance.clone(),
            row.zone.clone(),
            row.address.clone(),
            row.status.clone(),
            marker.to_owned(),
        ]
    };
    let header = ["INSTANCE", "ZONE", "PEER ADDRESS", "STATUS", ""];
    let text = print::table(header, response.content.iter().map(row).collect());
    Ok(printer.show(&text, &response.value)?)
}

pub(super) async fn programs(
    customer: Option<String>,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<(), Failure> {
    let mut path = "/v1/programs".to_owned();
    if let Some(customer) = customer {
        check_segment("customer", &customer)?;
        path = format!("{path}?customer={customer}");
    }
    let response = client.get::<Vec<Row>>(&path).await?;
    let row = |row: &Row| {
        [
            row.program.to_string(),
            row.customer.to_string(),
            row.class.clone(),
            row.turns.to_string(),
            row.tokens.to_string(),
            row.spent_micros.to_string(),
            or_dash(&row.home),
        ]
    };
    let header = [
        "PROGRAM", "CUSTOMER", "CLASS", "TURNS", "TOKENS", "SPENT", "HOME",
    ];
    let text = print::table(header, response.content.iter().map(row).collect());
    if response.content.len() >= MAX_PROGRAM_ROWS {
        printer.warn(&format!(
            "only the first {MAX_PROGRAM_ROWS} programs are listed"
        ));
    }
    Ok(printer.show(&text, &response.value)?)
}

/// Gets a path from every known server and warns of each request that failed.
async fn gather<T: DeserializeOwned>(
    path: &str,
    client: &Client,
    printer: &mut Printer<'_>,
) -> Result<Vec<T>, Failure> {
    let mut found = Vec::new();
    let mut first_failure = None;
    for (_, response) in client.get_all::<T>(path).await {
        match response {
            Ok(response) => found.push(response.content),
            Err(failure) => {
                printer.warn(&format!("the list is incomplete: {failure}"));
                first_failure = first_failure.or(Some(failure));
            }
        }
    }
    match first_failure {
        Some(failure) if found.is_empty() => Err(failure),
        _ => Ok(found),
    }
}

pub(super) async fn upstreams(client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let views: Vec<Vec<Upstream>> = gather("/v1/upstreams", client, printer).await?;
    let rows = merge_upstreams(views);
    let row = |row: &Upstream| {
        let state = if row.leaving { "leaving" } else { "serving" };
        [
            row.pool.clone(),
            row.upstream.clone(),
            row.zone.clone(),
            row.address.clone(),
            state.to_owned(),
            or_dash(&row.running),
            or_dash(&row.window),
            or_dash(&row.foreign),
        ]
    };
    let header = [
        "POOL", "UPSTREAM", "ZONE", "ADDRESS", "STATE", "RUNNING", "WINDOW", "FOREIGN",
    ];
    let text = print::table(header, rows.iter().map(row).collect());
    Ok(printer.show(&text, &rows)?)
}

/// Merges the upstream lists of several instances.
///
/// Each instance counts only the calls that it dispatched itself, so the running calls are summed.
fn merge_upstreams(views: Vec<Vec<Upstream>>) -> Vec<Upstream> {
    let mut merged: BTreeMap<(String, String), Upstream> = BTreeMap::new();
    for row in views.into_iter().flatten() {
        let key = (row.pool.clone(), row.upstream.clone());
        let Some(total) = merged.get_mut(&key) else {
            merged.insert(key, row);
            continue;
        };
        total.leaving |= row.leaving;
        total.running = match (total.running, row.running) {
            (Some(one), Some(other)) => Some(one.saturating_add(other)),
            (one, other) => one.or(other),
        };
        total.window = total.window.max(row.window);
        total.foreign = total.foreign.max(row.foreign);
    }
    merged.into_values().collect()
}

pub(super) async fn queues(client: &Client, printer: &mut Printer<'_>) -> Result<(), Failure> {
    let views: Vec<BTreeMap<Pool, Stats>> = gather("/v1/queues", client, printer).await?;
    let mut merged: BTreeMap<Pool, Stats> = BTreeMap::new();
    for (pool, stats) in views.into_iter().flatten() {
        let total = merged.entry(pool).or_default();
        for (customer, count) in stats.queues {
            *total.queues.entry(customer).or_default() += count;
        }
        for (decision, count) in stats.decisions {
            *total.decisions.entry(decision).or_default() += count;
        }
    }
    let mut rows = Vec::new();
    for (pool, stats) in &merged {
        if stats.queues.is_empty() {
            rows.push([pool.to_string(), "-".to_owned(), "0".to_owned()]);
        }
        let row = |(customer, count): (&crate::name::Customer, &usize)| {
            [pool.to_string(), customer.to_string(), count.to_string()]
        };
        rows.extend(stats.queues.iter().map(row));
    }
    let text = print::table(["POOL", "CUSTOMER", "WAITING"], rows);
    Ok(printer.show(&text, &merged)?)
}
