//! HTTP routes of the store.

use std::time::Duration;

use actix_web::{
    body::{
        BodySize,
        MessageBody as _, //
    },
    rt::time::{
        sleep_until,
        timeout, //
    },
    web::{
        self,
        Data,
        Json,
        Path,
        Query, //
    },
    HttpResponse,
};
use base64::{
    prelude::BASE64_STANDARD,
    Engine as _, //
};
use bytes::{
    Buf as _,
    BufMut as _,
    Bytes,
    BytesMut, //
};
use serde::Deserialize;
use serde_json::json;

use super::{
    topic::Partition,
    Store, //
};

/// Maximum wait of a read, as the API specifies.
const MAX_WAIT: Duration = Duration::from_secs(30);

pub(super) fn configure(app: &mut web::ServiceConfig) {
    app.route("/v1/log-append", web::post().to(append))
        .route("/v1/log-read", web::get().to(read))
        .route("/v1/log-newest", web::get().to(newest))
        .route("/v1/log-trim", web::post().to(trim))
        .route("/control/records/{topic}/{key}", web::put().to(put))
        .route("/control/records/{topic}/{key}", web::delete().to(remove));
}

/// Length of the values of a page of the newest records from which on no further one is added.
const MAX_PAGE_BYTES: usize = 700_000;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Parameters {
    topic: String,
    part: u32,
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
    /// Length in KiB from which on a read returns no further record.
    #[serde(default = "default_max_kib", rename = "maxKb")]
    max_kib: usize,
    /// Key after which a page begins.
    after: Option<String>,
}

fn default_max_kib() -> usize {
    1_024
}

/// Body of a request to drop records.
#[derive(Debug)]
#[derive(Deserialize)]
struct Trim {
    topic: String,
    part: u32,
    /// Offset before which records are dropped.
    before: u64,
}

impl Parameters {
    fn key(&self) -> (String, u32) {
        (self.topic.clone(), self.part)
    }
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

async fn append(
    store: Data<Store>,
    parameters: Query<Parameters>,
    mut body: Bytes,
) -> HttpResponse {
    let lost = {
        let mut inner = store.inner();
        inner.stats.appends += 1;
        if inner.faults.busy {
            return unavailable();
        }
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        lost
    };
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return HttpResponse::BadRequest().finish();
        }
        records.push(body.split_to(length));
    }
    let (offset, end) = store.append(&parameters.topic, parameters.part, records);
    match lost {
        true => HttpResponse::InternalServerError().finish(),
        false => HttpResponse::Ok().json(json!({ "offset": offset, "end": end })),
    }
}

async fn read(store: Data<Store>, parameters: Query<Parameters>) -> HttpResponse {
    {
        let mut inner = store.inner();
        inner.stats.reads += 1;
        let topic = parameters.topic.clone();
        let position = inner.positions.entry(topic).or_default();
        *position = parameters.from.max(*position);
    }
    let wait = Duration::from_millis(parameters.wait_ms).min(MAX_WAIT);
    let arrived = async {
        loop {
            let appended = store.appended.notified();
            if let Some(response) = read_response(&store, &parameters, false) {
                return response;
            }
            appended.await;
        }
    };
    let response = match timeout(wait, arrived).await {
        Ok(response) => response,
        Err(_) => read_response(&store, &parameters, true).unwrap_or_else(unavailable),
    };
    transfer(&store, response).await
}

/// Waits until the answer to a read has had its share of the read rate.
async fn transfer(store: &Store, response: HttpResponse) -> HttpResponse {
    let bytes = match response.body().size() {
        BodySize::Sized(bytes) => bytes as usize,
        BodySize::None | BodySize::Stream => 0,
    };
    sleep_until(store.reserve_read(bytes).into()).await;
    response
}

/// Returns the response to a read; `None` if there is no record, unless `allow_empty` is set.
fn read_response(
    store: &Store,
    parameters: &Parameters,
    allow_empty: bool,
) -> Option<HttpResponse> {
    let inner = store.inner();
    if inner.faults.busy {
        return Some(unavailable());
    }
    let empty = Partition::default();
    let partition = inner.partitions.get(&parameters.key()).unwrap_or(&empty);
    let first = partition.first();
    let Some(records) = partition.read(parameters.from) else {
        return Some(HttpResponse::Gone().json(json!({ "first": first })));
    };
    if records.is_empty() && !allow_empty {
        return None;
    }
    let mut body = BytesMut::new();
    body.put_u64(partition.end());
    body.put_u64(first);
    let mut records = records.iter().peekable();
    while let Some(record) = records.next() {
        body.put_u32(record.len() as u32);
        body.put_slice(record);
        let next = records.peek().map_or(0, |next| next.len());
        if body.len() + next > parameters.max_kib << 10 {
            break;
        }
    }
    Some(HttpResponse::Ok().body(body.freeze()))
}

async fn newest(store: Data<Store>, parameters: Query<Parameters>) -> HttpResponse {
    let response = newest_response(&store, &parameters);
    transfer(&store, response).await
}

fn newest_response(store: &Store, parameters: &Parameters) -> HttpResponse {
    let mut inner = store.inner();
    inner.stats.newest += 1;
    if inner.faults.busy {
        return unavailable();
    }
    let empty = Partition::default();
    let partition = inner.partitions.get(&parameters.key()).unwrap_or(&empty);
    let after = parameters.after.as_deref().map(str::as_bytes);
    let mut newest = partition.newest(after).peekable();
    let (mut items, mut bytes) = (Vec::new(), 0);
    while items.len() < store.page_items && bytes < MAX_PAGE_BYTES {
        let Some((key, (value, offset))) = newest.next() else {
            break;
        };
        let (key, value) = (String::from_utf8_lossy(key), BASE64_STANDARD.encode(value));
        bytes += value.len();
        items.push(json!({ "key": key, "value": value, "offset": offset }));
    }
    let more = newest.peek().is_some();
    HttpResponse::Ok().json(json!({ "items": items, "more": more, "end": partition.end() }))
}

async fn trim(store: Data<Store>, body: Json<Trim>) -> HttpResponse {
    let mut inner = store.inner();
    inner.stats.trims += 1;
    if inner.faults.busy {
        return unavailable();
    }
    let key = (body.topic.clone(), body.part);
    if let Some(partition) = inner.partitions.get_mut(&key) {
        partition.trim(body.before);
    }
    HttpResponse::Ok().json(json!({}))
}

async fn put(store: Data<Store>, path: Path<(String, String)>, value: Bytes) -> HttpResponse {
    store.put(&path.0, &path.1, &value);
    HttpResponse::NoContent().finish()
}

async fn remove(store: Data<Store>, path: Path<(String, String)>) -> HttpResponse {
    store.remove(&path.0, &path.1);
    HttpResponse::NoContent().finish()
}
