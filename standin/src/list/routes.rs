//! HTTP routes of the list.

use std::time::{
    Duration,
    Instant, //
};

use actix_web::{
    rt::time,
    web::{
        self,
        Data,
        Json,
        Path,
        Query, //
    },
    HttpResponse,
};
use serde::Deserialize;

use super::{
    Entry,
    List, //
};

/// Interval at which a blocking query checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum and default wait of a blocking query, as the API specifies.
const MAX_WAIT: Duration = Duration::from_secs(600);
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

pub(super) fn configure(app: &mut web::ServiceConfig) {
    app.route("/v1/health/service/{name}", web::get().to(health))
        .route("/control/entries", web::post().to(put))
        .route("/control/entries/{service}/{id}", web::delete().to(remove));
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Parameters {
    index: Option<u64>,
    wait: Option<String>,
    passing: Option<String>,
}

impl Parameters {
    fn wait(&self) -> Option<Duration> {
        let Some(text) = &self.wait else {
            return Some(DEFAULT_WAIT);
        };
        parse_duration(text).map(|wait| wait.min(MAX_WAIT))
    }

    fn only_passing(&self) -> bool {
        let value = self.passing.as_deref();
        value.is_some_and(|value| !matches!(value, "0" | "false"))
    }
}

/// Parses a duration with a unit, for example `10s`.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok()?;
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.saturating_mul(60))),
        _ => None,
    }
}

async fn health(
    list: Data<List>,
    name: Path<String>,
    parameters: Query<Parameters>,
) -> HttpResponse {
    list.inner().count_request();
    let Some(wait) = parameters.wait() else {
        return HttpResponse::BadRequest().body("Invalid wait time");
    };
    let deadline = Instant::now() + wait;
    loop {
        if list.inner().faults.error {
            return HttpResponse::InternalServerError().body("rpc error: No cluster leader");
        }
        let (index, entries) = list.inner().query(&name);
        let unchanged = parameters
            .index
            .is_some_and(|seen| seen > 0 && seen >= index);
        if !unchanged || Instant::now() >= deadline {
            return respond(index, &entries, parameters.only_passing());
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

fn respond(index: u64, entries: &[Entry], only_passing: bool) -> HttpResponse {
    let selected = entries
        .iter()
        .filter(|entry| !only_passing || entry.passing);
    let entries: Vec<_> = selected.map(Entry::to_json).collect();
    HttpResponse::Ok()
        .insert_header(("X-Consul-Index", index.to_string()))
        .insert_header(("X-Consul-KnownLeader", "true"))
        .insert_header(("X-Consul-LastContact", "0"))
        .json(entries)
}

async fn put(list: Data<List>, entry: Json<Entry>) -> HttpResponse {
    list.put(entry.into_inner());
    HttpResponse::NoContent().finish()
}

async fn remove(list: Data<List>, path: Path<(String, String)>) -> HttpResponse {
    list.remove(&path.0, &path.1);
    HttpResponse::NoContent().finish()
}
