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
const POLL: Duration = Duration::from_millis(5);

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
struct Wish {
    index: Option<u64>,
    wait: Option<String>,
    passing: Option<String>,
}

impl Wish {
    fn wait(&self) -> Option<Duration> {
        let Some(text) = &self.wait else {
            return Some(DEFAULT_WAIT);
        };
        parse(text).map(|wait| wait.min(MAX_WAIT))
    }

    fn passing(&self) -> bool {
        let value = self.passing.as_deref();
        value.is_some_and(|value| !matches!(value, "0" | "false"))
    }
}

/// Parses a duration with a unit, for example `10s`.
fn parse(text: &str) -> Option<Duration> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok()?;
    match &text[digits.len()..] {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.saturating_mul(60))),
        _ => None,
    }
}

async fn health(list: Data<List>, name: Path<String>, wish: Query<Wish>) -> HttpResponse {
    list.inner().request();
    let Some(wait) = wish.wait() else {
        return HttpResponse::BadRequest().body("Invalid wait time");
    };
    let deadline = Instant::now() + wait;
    loop {
        if list.inner().faults.error {
            return HttpResponse::InternalServerError().body("rpc error: No cluster leader");
        }
        let (index, entries) = list.inner().query(&name);
        let unchanged = wish.index.is_some_and(|seen| seen > 0 && seen >= index);
        if !unchanged || Instant::now() >= deadline {
            return publish(index, &entries, wish.passing());
        }
        time::sleep(POLL).await;
    }
}

fn publish(index: u64, entries: &[Entry], passing: bool) -> HttpResponse {
    let shown = entries.iter().filter(|entry| !passing || entry.passing);
    let entries: Vec<_> = shown.map(Entry::publish).collect();
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
