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
    Instance,
    Message,
    Upstream, //
};

/// Time within which a new configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(3);

fn config(version: u64, tenants: &Value) -> Vec<u8> {
    let route = |prefix: &str, public: bool, service: &str| {
        json!({
            "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": "unsafe",
            "timeoutMs": 10000, "service": service, "maxAttempts": 1, "public": public,
        })
    };
    let config = json!({
        "version": version,
        "routes": [route("/keyed/", false, "s"), route("/public/", true, "s"), route("/nowhere/", false, "none")],
        "services": [{ "name": "s" }, { "name": "none" }],
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

/// Time after the start of an instance, or a change of members, after which credits are issued at the rate.
const SETTLE_TIME: Duration = Duration::from_secs(7);

/// Quota of the tests with several instances.
const RATE: usize = 10;
const BURST: usize = 10;

/// Credits that the tenant may get in any 5 s.
const BOUND: usize = (5 * RATE + BURST) * 11 / 10 + 20;

fn limited() -> Value {
    json!([{ "name": "red", "apiKeys": ["k"], "ratePerS": RATE, "burst": BURST }])
}

/// Sends requests of the tenant to instances in turn, one each `interval`, for a time.
fn load(instances: &[&Instance], interval: Duration, time: Duration) -> Vec<(Instant, Message)> {
    let (start, text) = (Instant::now(), keyed("Key: k\r\n"));
    let mut answers = Vec::new();
    let mut instances = instances.iter().cycle();
    while start.elapsed() < time {
        let due = start + interval * answers.len() as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let answer = instances.next().unwrap().request(&text);
        answers.push((Instant::now(), answer));
    }
    answers
}

fn with_status(answers: &[(Instant, Message)], status: u16) -> usize {
    let found = answers
        .iter()
        .filter(|(_, answer)| answer.status() == status);
    found.count()
}

/// Fails if more requests than the bound ran within 5 s, or a refusal is not as documented.
fn check(answers: &[(Instant, Message)]) {
    let ran = answers.iter().filter(|(_, answer)| answer.status() == 200);
    let ran: Vec<_> = ran.map(|(at, _)| *at).collect();
    for (first, start) in ran.iter().enumerate() {
        let end = ran.partition_point(|at| *at < *start + Duration::from_secs(5));
        assert!(end - first <= BOUND, "{} in 5 s", end - first);
    }
    for (_, answer) in answers.iter().filter(|(_, answer)| answer.status() != 200) {
        match &*answer.text() {
            "over_quota" => assert_eq!(answer.status(), 429),
            "quota_unavailable" => assert_eq!(answer.status(), 503),
            other => panic!("{} {other}", answer.status()),
        }
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((0.001..=5.0).contains(&wait), "{wait}");
    }
}

fn issues(instance: &Instance) -> bool {
    let metrics = get(instance.metrics, "/metrics").text();
    let grants = metrics.lines().filter(|line| line.contains("quota_grants"));
    grants.into_iter().any(|line| line.contains("\"local\""))
}

/// Instances that each keep the quota by themselves would let several times of it pass, and shares of it
/// refuse a tenant whose requests arrive unevenly.
#[test]
fn quota_holds_over_instances_and_the_loss_of_the_issuer() {
    let upstream = upstream();
    let deployment = start(&upstream, &limited());
    let others = [("b", "entry-2"), ("c", "entry-3")];
    let others =
        others.map(|(zone, name)| Instance::start_in(zone, name, deployment.store.address()));
    others.iter().for_each(Instance::wait_ready);
    let all = [&*deployment, &others[0], &others[1]];
    thread::sleep(SETTLE_TIME);
    // Within the quota, wherever the requests arrive.
    let even = load(&all, Duration::from_millis(150), Duration::from_secs(3));
    let uneven = load(
        &all[1..2],
        Duration::from_millis(150),
        Duration::from_secs(3),
    );
    for answers in [&even, &uneven] {
        assert_eq!(with_status(answers, 200), answers.len());
    }
    let surge = load(&all, Duration::from_millis(8), Duration::from_secs(6));
    check(&surge);
    assert!(
        with_status(&surge, 200) >= 6 * RATE,
        "{}",
        with_status(&surge, 200)
    );
    assert!(with_status(&surge, 429) > 100);
    assert_eq!(with_status(&surge, 503), 0);
    let (issuer, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|one| issues(one));
    assert_eq!(issuer.len(), 1);
    // The tenant is within its quota until the issuer is lost.
    thread::sleep(Duration::from_secs(2));
    let mut answers = load(&left, Duration::from_millis(150), Duration::from_secs(1));
    issuer[0].signal("KILL");
    answers.extend(load(
        &left,
        Duration::from_millis(150),
        Duration::from_secs(4),
    ));
    // Nobody knows the credit of the tenant, so that 429 would be wrong.
    assert_eq!(with_status(&answers, 429), 0);
    assert!(with_status(&answers, 200) > 10);
    answers.extend(load(
        &left,
        Duration::from_millis(8),
        Duration::from_secs(8),
    ));
    check(&answers);
    let late = Instant::now() - Duration::from_secs(4);
    answers.retain(|(at, _)| *at > late);
    assert!(with_status(&answers, 200) >= 3 * RATE);
}

/// Both count against the tenant although no upstream ran anything.
#[test]
fn quota_is_not_used_by_requests_that_are_refused() {
    let upstream = upstream();
    let tenants = json!([{ "name": "red", "apiKeys": ["k"], "ratePerS": 0.1, "burst": 0 }]);
    let gateway = start(&upstream, &tenants);
    thread::sleep(SETTLE_TIME);
    let long = request("POST", "/keyed/a", "Key: k\r\n", &"x".repeat(1_001));
    for _ in 0..3 {
        assert_eq!(gateway.request(&long).status(), 413);
    }
    let nowhere = request("POST", "/nowhere/a", "Key: k\r\n", "x");
    for _ in 0..3 {
        let answer = gateway.request(&nowhere);
        assert_eq!(refusal(&answer), (503, "no_upstream".to_owned()));
    }
    assert_eq!(gateway.request(&keyed("Key: k\r\n")).status(), 200);
    let over = gateway.request(&keyed("Key: k\r\n"));
    assert_eq!(refusal(&over), (429, "over_quota".to_owned()));
    assert_eq!(over.header("retry-after"), Some("5.000"));
    assert_eq!(upstream.requests().len(), 1);
}

#[test]
fn quota_is_not_asked_for_without_tenants() {
    let upstream = upstream();
    let deployment = Deployment::start(&[&upstream]);
    let other = Instance::start_in("b", "entry-2", deployment.store.address());
    other.wait_ready();
    let text = request("POST", "/safe/a", "Key: k\r\nTenant: red\r\n", "x");
    for instance in [&*deployment, &other] {
        for _ in 0..20 {
            assert_eq!(instance.request(&text).status(), 200);
        }
        let metrics = get(instance.metrics, "/metrics").text();
        for name in ["quota_grants", "tenant_requests", "key_refusals"] {
            assert!(!metrics.contains(name), "{name}");
        }
    }
    let passed = upstream.requests();
    let passed = passed
        .iter()
        .filter(|got| got.header("key").or(got.header("tenant")).is_some());
    assert_eq!(passed.count(), 0);
}

/// An issuer that goes on with the bucket from before a pause would issue beside its successor.
#[test]
fn quota_holds_beside_an_issuer_that_was_paused() {
    let upstream = upstream();
    let deployment = start(&upstream, &limited());
    let others = [("b", "entry-2"), ("c", "entry-3")];
    let others =
        others.map(|(zone, name)| Instance::start_in(zone, name, deployment.store.address()));
    others.iter().for_each(Instance::wait_ready);
    let all = [&*deployment, &others[0], &others[1]];
    thread::sleep(SETTLE_TIME);
    let mut answers = load(&all, Duration::from_millis(150), Duration::from_secs(2));
    assert_eq!(with_status(&answers, 200), answers.len());
    let (issuer, left): (Vec<_>, Vec<_>) = all.into_iter().partition(|one| issues(one));
    assert_eq!(issuer.len(), 1);
    issuer[0].signal("STOP");
    answers.extend(load(
        &left,
        Duration::from_millis(150),
        Duration::from_secs(3),
    ));
    assert_eq!(with_status(&answers, 429), 0);
    answers.extend(load(
        &left,
        Duration::from_millis(8),
        Duration::from_secs(1),
    ));
    issuer[0].signal("CONT");
    answers.extend(load(&all, Duration::from_millis(8), Duration::from_secs(7)));
    check(&answers);
}
