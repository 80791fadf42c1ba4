//! Output of `gypsumctl gateway`: guards against rows of the wrong instance or column, and against an
//! instance that does not answer and hides the others.

mod ctl_support;

use ctl_support::{
    run,
    Fake, //
};

const TENANTS: &str = r#"{"columns":["tenant","rate_per_s"],"rows":[["sirag","40"],["idle",""]]}"#;

/// Report of another version, with one column more, in another order.
const OTHER_TENANTS: &str =
    r#"{"columns":["tenant","burst","rate_per_s"],"rows":[["zeen","8","2"]]}"#;

const REFUSALS: &str =
    r#"{"columns":["request","status","reason"],"rows":[["r-7","429","over_quota"]]}"#;

const NO_REFUSALS: &str = r#"{"columns":["request","status","reason"],"rows":[]}"#;

fn cells(out: &str) -> Vec<Vec<&str>> {
    let lines = out.lines();
    lines
        .map(|line| line.split_whitespace().collect())
        .collect()
}

/// Returns an address that refuses connections.
fn refusing() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

#[actix_web::test]
async fn tenants_of_two_versions() {
    let one = Fake::start(&[("GET /operator/tenants", 200, TENANTS)]);
    let other = Fake::start(&[("GET /operator/tenants", 200, OTHER_TENANTS)]);
    let (a, b) = (one.address.as_str(), other.address.as_str());
    let run = run(&["gateway", "tenants", "--gateway", a, "--gateway", b]).await;
    assert_eq!((run.code, run.err.as_str()), (0, ""));
    let expected = [
        vec!["GATEWAY", "TENANT", "RATE_PER_S", "BURST"],
        vec![a, "sirag", "40", "-"],
        vec![a, "idle", "-"],
        vec![b, "zeen", "2", "8"],
    ];
    assert_eq!(cells(&run.out), expected);
    one.stop().await;
    other.stop().await;
}

#[actix_web::test]
async fn views_missing_instance() {
    let views = ["histories", "tenants"];
    for name in views {
        let path = format!("GET /operator/{name}");
        let fake = Fake::start(&[(path.as_str(), 200, TENANTS)]);
        let (missing, found) = (refusing(), fake.address.as_str());
        let list = ["gateway", name, "--gateway", &missing, "--gateway", found];
        let answered = run(&list).await;
        assert_eq!(answered.code, 0, "{name}");
        assert!(answered.err.contains("incomplete"), "{}", answered.err);
        assert!(answered.err.contains(&missing), "{}", answered.err);
        assert_eq!(cells(&answered.out).len(), 3, "{}", answered.out);
        let none = run(&list[..4]).await;
        assert_eq!((none.code, none.out.as_str()), (5, ""));
        fake.stop().await;
    }
}

#[actix_web::test]
async fn why_found_and_not_found() {
    let one = Fake::start(&[
        ("GET /operator/requests/r-7", 200, REFUSALS),
        ("GET /operator/requests/r-8", 200, NO_REFUSALS),
    ]);
    let other = Fake::start(&[("GET /operator/requests/r-7", 200, NO_REFUSALS)]);
    let (a, b) = (one.address.as_str(), other.address.as_str());
    let found = run(&["gateway", "why", "r-7", "--gateway", b, "--gateway", a]).await;
    assert_eq!(found.code, 0, "{}", found.err);
    let expected = [
        vec!["GATEWAY", "REQUEST", "STATUS", "REASON"],
        vec![a, "r-7", "429", "over_quota"],
    ];
    assert_eq!(cells(&found.out), expected);
    let json = run(&["--output", "json", "gateway", "why", "r-7", "--gateway", a]).await;
    let value: serde_json::Value = serde_json::from_str(&json.out).expect("JSON");
    assert_eq!(value[0]["gateway"], a);
    assert_eq!(value[0]["rows"][0][2], "over_quota");
    let none = run(&["gateway", "why", "r-8", "--gateway", a]).await;
    assert_eq!(none.code, 1);
    assert!(none.err.contains("no refusal of r-8"), "{}", none.err);
    one.stop().await;
    other.stop().await;
}

#[actix_web::test]
async fn usage_errors() {
    for list in [
        &["gateway", "tenants"][..],
        &["gateway", "why", "--gateway", "127.0.0.1:1"],
        &["gateway", "histories", "r-7", "--gateway", "127.0.0.1:1"],
        &["gateway", "turns", "--gateway", "127.0.0.1:1"],
        &["gateway", "why", "r/../x", "--gateway", "127.0.0.1:1"],
        &["gateway", "tenants", "--gateway", "127.0.0.1"],
    ] {
        let run = run(list).await;
        assert_eq!(run.code, 2, "{list:?}: {}", run.err);
    }
}
