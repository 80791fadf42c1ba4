//! Client of the Kafka REST Proxy API against a mock of the proxy: a failure must be reported as
//! `NotApplied` only if it rules out that the records were appended.

use std::{
    net::TcpListener,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use actix_web::{
    http::StatusCode,
    rt,
    web::{
        self,
        Data,
        Json,
        Path, //
    },
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use bytes::Bytes;
use gypsumlever::{
    log::{
        kafka::{
            Client,
            Settings, //
        },
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    name::{
        Instance,
        Zone, //
    },
};
use serde_json::{
    json,
    Value, //
};

/// Fault of the next produce request.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Status(u16),
    /// Error code of a record in a response with status 200.
    Record(i64),
    /// The records are appended, and the response is delayed beyond the timeout.
    Slow,
    /// The records are appended, and the response is malformed.
    Garbage,
}

#[derive(Default)]
struct Proxy {
    begin: usize,
    records: Vec<Value>,
    /// Position of each consumer; `None` before its assignment and after it was deleted or expired.
    consumers: Vec<Option<usize>>,
    fault: Option<Fault>,
    zones: Vec<String>,
}

type Shared = Data<Arc<Mutex<Proxy>>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Proxy> {
    shared.lock().unwrap()
}

fn header(request: &HttpRequest, name: &str) -> String {
    let value = request.headers().get(name);
    value.map_or(String::new(), |v| v.to_str().unwrap().to_owned())
}

async fn produce(shared: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let kind = header(&request, "Content-Type");
    assert_eq!(kind, "application/vnd.kafka.binary.v2+json");
    let body: Value = serde_json::from_slice(&body).unwrap();
    let fault = {
        let mut proxy = lock(&shared);
        proxy.zones.push(header(&request, "X-Zone"));
        proxy.fault.take()
    };
    if let Some(Fault::Status(status)) = fault {
        let status = StatusCode::from_u16(status).unwrap();
        return HttpResponse::build(status).json(json!({"error_code": 1, "message": "no"}));
    }
    let mut offsets = Vec::new();
    for record in body["records"].as_array().unwrap() {
        let mut proxy = lock(&shared);
        proxy.records.push(record["value"].clone());
        let offset = proxy.records.len() - 1;
        offsets.push(json!({"partition": 0, "offset": offset, "error_code": null}));
    }
    match fault {
        Some(Fault::Record(code)) => offsets[0] = json!({"error_code": code, "error": "failed"}),
        Some(Fault::Slow) => rt::time::sleep(Duration::from_secs(5)).await,
        Some(Fault::Garbage) => return HttpResponse::Ok().body("<html>"),
        _ => {}
    }
    HttpResponse::Ok().json(json!({"key_schema_id": null, "offsets": offsets}))
}

async fn offsets(shared: Shared) -> HttpResponse {
    let proxy = lock(&shared);
    let (begin, end) = (proxy.begin, proxy.records.len());
    HttpResponse::Ok().json(json!({"beginning_offset": begin, "end_offset": end}))
}

async fn subscribe(shared: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["format"], "binary");
    let mut proxy = lock(&shared);
    proxy.consumers.push(None);
    let id = proxy.consumers.len() - 1;
    let host = request.connection_info().host().to_owned();
    let uri = format!("http://{host}{}/instances/{id}", request.path());
    HttpResponse::Ok().json(json!({"instance_id": id.to_string(), "base_uri": uri}))
}

fn consumer_not_found() -> HttpResponse {
    let body = json!({"error_code": 40403, "message": "Consumer instance not found."});
    HttpResponse::NotFound().json(body)
}

async fn assign(shared: Shared, path: Path<(String, usize)>, body: Bytes) -> HttpResponse {
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["partitions"][0]["topic"], "records");
    lock(&shared).consumers[path.1] = Some(0);
    HttpResponse::NoContent().finish()
}

async fn seek(shared: Shared, path: Path<(String, usize)>, body: Bytes) -> HttpResponse {
    let body: Value = serde_json::from_slice(&body).unwrap();
    let offset = body["offsets"][0]["offset"].as_u64().unwrap() as usize;
    match &mut lock(&shared).consumers[path.1] {
        Some(position) => {
            *position = offset;
            HttpResponse::NoContent().finish()
        }
        None => consumer_not_found(),
    }
}

async fn records(shared: Shared, path: Path<(String, usize)>) -> HttpResponse {
    let mut proxy = lock(&shared);
    let Some(position) = proxy.consumers[path.1] else {
        return consumer_not_found();
    };
    let position = position.max(proxy.begin);
    // At most two records, so that reads have to be continued.
    let end = proxy.records.len().min(position + 2);
    let record = |offset: usize| {
        json!({"topic": "records", "key": null, "partition": 0, "offset": offset,
            "value": proxy.records[offset]})
    };
    let found: Vec<_> = (position..end).map(record).collect();
    proxy.consumers[path.1] = Some(end.max(position));
    HttpResponse::Ok().json(Json(found))
}

fn serve() -> (Shared, String) {
    let shared: Shared = Data::new(Arc::default());
    let data = shared.clone();
    let server = HttpServer::new(move || {
        let instance = "/consumers/{group}/instances/{id}";
        App::new()
            .app_data(data.clone())
            .route("/topics/records/partitions/0", web::post().to(produce))
            .route(
                "/topics/records/partitions/0/offsets",
                web::get().to(offsets),
            )
            .route("/consumers/{group}", web::post().to(subscribe))
            .route(&format!("{instance}/assignments"), web::post().to(assign))
            .route(&format!("{instance}/positions"), web::post().to(seek))
            .route(&format!("{instance}/records"), web::get().to(records))
    });
    let server = server.workers(1).disable_signals();
    let server = server.bind(("127.0.0.1", 0)).unwrap();
    let address = server.addrs()[0];
    rt::spawn(server.run());
    (shared, format!("http://{address}"))
}

fn client(url: &str) -> Client {
    Client::new(Settings {
        url: url.into(),
        topic: "records".into(),
        instance: Instance::try_from("a").unwrap(),
        zone: Zone::try_from("az1").unwrap(),
        connect_timeout: Duration::from_millis(500),
        operation_timeout: Duration::from_millis(500),
        max_read_bytes: 1 << 20,
    })
}

const WAIT: Duration = Duration::from_millis(100);

fn batch(texts: &[&'static str], from: u64) -> Batch {
    let records = texts.iter().map(|text| Bytes::from_static(text.as_bytes()));
    let records: Vec<_> = (from..).zip(records).collect();
    let next = from + records.len() as u64;
    Batch { records, next }
}

#[actix_web::test]
async fn append_and_read_in_order() {
    let (proxy, url) = serve();
    let log = client(&url);
    let texts = ["one", "two", "three"].map(|text| Bytes::from_static(text.as_bytes()));
    assert_eq!(log.append(0, &texts).await, Ok(0));
    assert_eq!(log.append(0, &texts[..1]).await, Ok(3));
    let bounds = log.bounds(0).await;
    assert_eq!(bounds, Ok(Bounds { begin: 0, end: 4 }));
    assert_eq!(log.read(0, 0, WAIT).await, Ok(batch(&["one", "two"], 0)));
    assert_eq!(log.read(0, 2, WAIT).await, Ok(batch(&["three", "one"], 2)));
    assert_eq!(log.read(0, 4, WAIT).await, Ok(batch(&[], 4)));
    // A read of older records does not disturb the reader at the end.
    assert_eq!(log.read(0, 1, WAIT).await, Ok(batch(&["two", "three"], 1)));
    assert_eq!(log.append(0, &texts[1..2]).await, Ok(4));
    assert_eq!(log.read(0, 4, WAIT).await, Ok(batch(&["two"], 4)));
    let proxy = lock(&proxy);
    assert_eq!(proxy.consumers.len(), 2);
    assert!(proxy.zones.iter().all(|zone| zone == "az1"));
}

#[actix_web::test]
async fn append_table_of_faults() {
    let cases = [
        (Fault::Status(400), true),
        (Fault::Status(404), true),
        (Fault::Status(422), true),
        (Fault::Status(429), true),
        (Fault::Status(408), false),
        (Fault::Status(500), false),
        (Fault::Status(503), false),
        (Fault::Status(302), false),
        (Fault::Record(1), false),
        (Fault::Record(2), false),
        (Fault::Slow, false),
        (Fault::Garbage, false),
    ];
    let (proxy, url) = serve();
    let log = client(&url);
    for (fault, certain) in cases {
        lock(&proxy).fault = Some(fault);
        let before = lock(&proxy).records.len();
        let failure = log.append(0, &[Bytes::from_static(b"x")]).await;
        let not_applied = match failure {
            Err(Failure::NotApplied(_)) => true,
            Err(Failure::Unknown(_)) => false,
            other => panic!("{fault:?}: {other:?}"),
        };
        assert_eq!(not_applied, certain, "{fault:?}");
        assert!(!certain || lock(&proxy).records.len() == before);
    }
}

#[actix_web::test]
async fn append_refused_connection() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let log = client(&format!("http://{address}"));
    let refused = log.append(0, &[Bytes::from_static(b"x")]).await;
    assert!(
        matches!(refused, Err(Failure::NotApplied(_))),
        "{refused:?}"
    );
}

#[actix_web::test]
async fn append_connection_closed_without_answer() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let reader = std::thread::spawn(move || {
        use std::io::Read;
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
    });
    let log = client(&format!("http://{address}"));
    let closed = log.append(0, &[Bytes::from_static(b"x")]).await;
    assert!(matches!(closed, Err(Failure::Unknown(_))), "{closed:?}");
    reader.join().unwrap();
}

#[actix_web::test]
async fn read_after_consumer_expired() {
    let (proxy, url) = serve();
    let log = client(&url);
    let texts = ["one", "two", "three"].map(|text| Bytes::from_static(text.as_bytes()));
    assert_eq!(log.append(0, &texts).await, Ok(0));
    assert_eq!(log.read(0, 0, WAIT).await, Ok(batch(&["one", "two"], 0)));
    lock(&proxy).consumers.fill(None);
    assert_eq!(log.read(0, 2, WAIT).await, Ok(batch(&["three"], 2)));
}

#[actix_web::test]
async fn read_of_expired_records() {
    let (proxy, url) = serve();
    let log = client(&url);
    let texts = ["one", "two", "three"].map(|text| Bytes::from_static(text.as_bytes()));
    assert_eq!(log.append(0, &texts).await, Ok(0));
    let reader = client(&url);
    assert_eq!(reader.read(0, 0, WAIT).await, Ok(batch(&["one", "two"], 0)));
    assert_eq!(log.append(0, &texts).await, Ok(3));
    lock(&proxy).begin = 4;
    let expired = Err(Failure::Expired { begin: 4 });
    // One reader has no position yet; the records at the other's position have expired.
    assert_eq!(log.read(0, 0, WAIT).await, expired);
    assert_eq!(reader.read(0, 2, WAIT).await, expired);
    assert_eq!(log.read(0, 4, WAIT).await, Ok(batch(&["two", "three"], 4)));
}
