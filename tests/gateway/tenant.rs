//! Keys and quotas of tenants, with real gateway processes.

use std::{
    io::Write as _,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use gypsumlever::gateway::{
    route::Table,
    tenant::key::Key, //
};
use serde_json::{
    json,
    Value, //
};
use standin::{
    server::Server,
    store::Store, //
};

use crate::support::{
    answer,
    get,
    read,
    request,
    Action,
    Deployment,
    Message,
    Upstream, //
};

/// Time within which a new configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(3);

fn config(version: u64, tenants: &Value) -> Vec<u8> {
    let route = |prefix: &str, public: bool| {
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": "unsafe",
            "timeoutMs": 3000, "service": "s", "maxAttempts": 1, "public": public,
        })
    };
    let config = json!({
        "version": version,
        "routes": [route("/keyed/", false), route("/public/", true)],
        "services": [{ "name": "s" }],
        "limits": { "maxBodyBytes": 1000 },
        "tenants": tenants,
    });
    config.to_string().into_bytes()
}

fn configure(store: &Server<Store>, version: u64, tenants: &Value) {
    store.put("keyed.op", "config", &config(version, tenants));
}

fn upstream() -> Upstream {
    Upstream::start(|_, message| Action::Answer(answer(message, "200 OK", "done")))
}

fn start(upstream: &Upstream, tenants: &Value) -> Deployment {
    let deployment = Deployment::start(&[upstream]);
    configure(&deployment.store, 2, tenants);
    let until = Instant::now() + CONFIGURATION_TIME;
    while deployment.request(&keyed("")).status() != 401 {
        assert!(Instant::now() < until, "the keys are not in force");
        thread::sleep(Duration::from_millis(20));
    }
    deployment
}

fn keyed(headers: &str) -> String {
    request("POST", "/keyed/a", headers, "x")
}

fn refusal(answer: &Message) -> (u16, String) {
    (answer.status(), answer.text())
}

#[test]
fn key_refusals_name_the_fault_and_send_nothing() {
    let upstream = upstream();
    let gateway = start(
        &upstream,
        &json!([{ "name": "red", "apiKeys": ["red-key-1"] }]),
    );
    let long = format!("Key: {}\r\n", "k".repeat(257));
    let cases = [
        ("", "key_missing"),
        ("Key: \r\n", "key_empty"),
        ("Key: red-key-1\r\nKey: red-key-1\r\n", "key_repeated"),
        (&*long, "key_too_long"),
        ("Key: red-key-2\r\n", "key_unknown"),
        // Only the header counts, and the whole key.
        ("Tenant: red\r\n", "key_missing"),
        ("Key: red-key-1 2\r\n", "key_unknown"),
        ("Key: red-key\r\n", "key_unknown"),
    ];
    for (headers, reason) in cases {
        let answer = gateway.request(&keyed(headers));
        assert_eq!(refusal(&answer), (401, reason.to_owned()), "{headers:?}");
    }
    // A path without a route is 404 whatever the key.
    let unrouted = gateway.request(&request("POST", "/none/", "", "x"));
    assert_eq!(refusal(&unrouted), (404, "no_route".to_owned()));
    assert!(upstream.requests().is_empty());
    let metrics = get(gateway.metrics, "/metrics").text();
    assert!(metrics.contains("key_refusals"), "{metrics}");
    assert!(!metrics.contains("red-key"), "{metrics}");
}

/// A caller that sets the tenant itself could use the rights of another one.
#[test]
fn key_sets_the_tenant_for_upstreams_and_is_never_sent() {
    let upstream = upstream();
    let gateway = start(
        &upstream,
        &json!([{ "name": "red", "apiKeys": ["red-key-1"] }]),
    );
    let headers = "Key: red-key-1\r\nTenant: blue\r\n";
    assert_eq!(gateway.request(&keyed(headers)).status(), 200);
    let public = request("POST", "/public/a", headers, "x");
    assert_eq!(gateway.request(&public).status(), 200);
    let requests = upstream.requests();
    let tenants: Vec<_> = requests.iter().map(|got| got.header("tenant")).collect();
    assert_eq!(tenants, [Some("red"), None]);
    assert!(requests.iter().all(|got| got.header("key").is_none()));
}

/// The check has to use the configuration in force at each request, not at the start of the connection
/// or of the body.
#[test]
fn key_withdrawn_while_a_connection_is_open_is_refused() {
    let upstream = upstream();
    let keys = |keys: &[&str]| json!([{ "name": "red", "apiKeys": keys }]);
    let gateway = start(&upstream, &keys(&["old", "kept"]));
    let mut connection = gateway.connect();
    let mut exchange = |text: &str| {
        connection.write_all(text.as_bytes()).unwrap();
        read(&mut connection).expect("an answer")
    };
    assert_eq!(exchange(&keyed("Key: old\r\n")).status(), 200);
    // The head of this request is checked with the old version, its body ends with the new one.
    let slow = keyed("Key: old\r\n");
    let mut half = gateway.connect();
    half.write_all(&slow.as_bytes()[..slow.len() - 1]).unwrap();
    configure(&gateway.store, 3, &keys(&["kept", "new"]));
    thread::sleep(CONFIGURATION_TIME);
    let sent = upstream.requests().len();
    let refused = exchange(&keyed("Key: old\r\n"));
    assert_eq!(refusal(&refused), (401, "key_unknown".to_owned()));
    // The body was not read, so that the connection can't be used again.
    assert_eq!(refused.header("connection"), Some("close"));
    half.write_all(b"x").unwrap();
    let answer = read(&mut half).expect("an answer");
    assert_eq!(refusal(&answer), (401, "key_unknown".to_owned()));
    assert_eq!(upstream.requests().len(), sent);
    assert_eq!(gateway.request(&keyed("Key: kept\r\n")).status(), 200);
    assert_eq!(gateway.request(&keyed("Key: new\r\n")).status(), 200);
}

/// Errors and `Debug` outputs reach log lines.
#[test]
fn key_is_in_no_error_or_debug_output() {
    let secret = "sk-very-secret";
    let decode = |tenants: Value| Table::try_from(&config(1, &tenants)[..]);
    for tenants in [
        json!([{ "name": "red", "apiKeys": secret }]),
        json!([{ "name": "red", "apiKeys": [{ "k": secret }], "priority": secret }]),
        json!([{ "name": "red", "apiKeys": [secret], "ratePerS": secret }]),
    ] {
        let error = decode(tenants).expect_err("the configuration is invalid");
        assert!(!format!("{error} {error:?}").contains(secret), "{error}");
    }
    let table = decode(json!([{ "name": "red", "apiKeys": [secret] }])).unwrap();
    let key = Key::try_from(secret.as_bytes()).unwrap();
    assert!(table.tenant_of_key(&key).is_some());
    assert!(!format!("{table:?} {key:?}").contains(secret));
}
