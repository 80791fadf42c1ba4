//! Exit codes of `gypsumctl` and its messages about invalid input and failed requests.

mod ctl_support;

use std::net::TcpListener;

use ctl_support::{
    file,
    problem,
    run,
    run_with,
    Fake,
    CONTRACT,
    ENTRY,
    INSTANCES, //
};

/// Returns an address that nothing listens on.
fn unused_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

#[actix_web::test]
async fn run_table_of_usage_faults() {
    let path = file("usage.yaml", CONTRACT);
    // Arguments and a part of the message.
    let cases: [(&[&str], &str); 10] = [
        (&["instances"], "no server is given"),
        (&["--server", "here", "instances"], "10.0.0.5:8080"),
        (
            &["--server", "https://10.0.0.5:8080", "instances"],
            "10.0.0.5:8080",
        ),
        (&["--server", "10.0.0.5:0", "instances"], "10.0.0.5:8080"),
        (&["--output", "xml", "instances"], "table or json"),
        (&["--timeout", "0s", "instances"], "500ms"),
        (&["contract", "amend", &path], "--expected"),
        (
            &[
                "--server",
                "127.0.0.1:1",
                "contract",
                "amend",
                &path,
                "--expected",
                "0",
            ],
            "begin at 1",
        ),
        (
            &["--server", "127.0.0.1:1", "contract", "show", "a/b"],
            "is not a valid name",
        ),
        (
            &["--server", "127.0.0.1:1", "why", "x?y"],
            "is not a valid name",
        ),
    ];
    for (arguments, message) in cases {
        let run = run(arguments).await;
        assert_eq!(run.code, 2, "{arguments:?}: {}", run.err);
        assert!(run.err.contains(message), "{arguments:?}: {}", run.err);
        assert_eq!(run.out, "", "{arguments:?}");
    }
    let run = run(&["--help"]).await;
    assert_eq!(run.code, 0);
    assert!(run.out.contains("contract publish"), "{}", run.out);
}

/// An invalid contract must be refused before it is sent, with file, line and the valid values.
#[actix_web::test]
async fn publish_table_of_wrong_files() {
    let fake = Fake::start(&[]);
    // Text of the sample, its replacement and the message.
    let cases = [
        ("share: 2", "share: 0", "3: share: must be from 1 to 1000"),
        ("share: 2", "shares: 2", "3: shares: unknown field"),
        ("share: 2", "share: many", "3: share: "),
        (
            "customer: sirag",
            "customer: sirag saddlery",
            "1: customer: a name consists of",
        ),
        (
            "budget_micros: 5000000\n",
            "",
            "missing field `budget_micros`",
        ),
        (
            "budget_micros: 5000000",
            "budget_micros: -5",
            "2: budget_micros: ",
        ),
        (
            "    deadline_ms: 500\n",
            "    deadline_ms: 0\n",
            "8: classes[1].deadline_ms: must be at least 1",
        ),
        (
            "class: stitch-status",
            "class: consultation",
            "7: classes[1].class: consultation is listed twice",
        ),
        (
            "share: 2",
            "key_sha256: abc",
            "3: key_sha256: must be 64 hexadecimal digits",
        ),
        (
            "share: 2",
            "limits: { turns: 0 }",
            "3: limits.turns: must be at least 1",
        ),
    ];
    for (at, (from, to, message)) in cases.iter().enumerate() {
        assert!(CONTRACT.contains(from), "{from}");
        let path = file(&format!("wrong-{at}.yaml"), &CONTRACT.replacen(from, to, 1));
        let run = run(&["--server", &fake.address, "contract", "publish", &path]).await;
        assert_eq!(run.code, 2, "{to}: {}", run.err);
        assert!(
            run.err.contains(&path) && run.err.contains(message),
            "{to}: {}",
            run.err
        );
    }
    let run = run(&[
        "--server",
        &fake.address,
        "contract",
        "publish",
        "missing.yaml",
    ])
    .await;
    assert_eq!(run.code, 2);
    assert!(
        run.err.contains("missing.yaml can't be read"),
        "{}",
        run.err
    );
    assert!(fake.requests().is_empty());
    fake.stop().await;
}

#[actix_web::test]
async fn run_table_of_server_faults() {
    let refused = problem(503, "log_unavailable", "no", "400", "the log is down");
    let conflict = problem(412, "conflict", "no", "null", "version 3 is in force");
    let unknown = problem(
        404,
        "unknown_customer",
        "no",
        "null",
        "customer sirag has no contract",
    );
    let not_found = problem(404, "not_found", "no", "null", "no refusal");
    let path = file("faults.yaml", CONTRACT);
    let show: &[&str] = &["contract", "show", "sirag"];
    let amend: &[&str] = &["contract", "amend", &path, "--expected", "1"];
    let publish: &[&str] = &["contract", "publish", &path];
    let why: &[&str] = &["why", "entry-1-7"];
    let watch: &[&str] = &[
        "contract",
        "watch",
        "sirag",
        "--until",
        "4",
        "--timeout",
        "100ms",
    ];
    let get = "GET /v1/contracts/sirag";
    let put = "PUT /v1/contracts/sirag";
    let refusal = "GET /v1/refusals/entry-1-7";
    // Arguments, responses, exit code and a part of the message.
    type Case<'a> = (&'a [&'a str], Vec<(&'a str, u16, &'a str)>, u8, &'a str);
    let cases: Vec<Case<'_>> = vec![
        (
            show,
            vec![(get, 404, &unknown)],
            4,
            "gypsumctl contract publish",
        ),
        (
            show,
            vec![(get, 200, "<html>")],
            1,
            "sent an unexpected response to",
        ),
        (show, vec![(get, 200, "{}")], 1, "missing field"),
        (show, vec![(get, 502, "bad gateway")], 1, "Status 502"),
        (
            show,
            vec![(get, 0, "")],
            5,
            "closed the connection without a response",
        ),
        (publish, vec![(put, 503, &refused)], 4, "retry after 400 ms"),
        (publish, vec![(put, 200, "{}")], 1, "version is missing"),
        (
            publish,
            vec![(put, 0, "")],
            5,
            "repeating the command is safe",
        ),
        (
            publish,
            vec![(put, 412, &conflict), (get, 200, ENTRY)],
            3,
            "version 3 is in effect, expected no contract",
        ),
        (
            amend,
            vec![(put, 412, &conflict), (get, 200, ENTRY)],
            3,
            "--expected 3",
        ),
        (
            amend,
            vec![(put, 412, &conflict), (get, 200, ENTRY)],
            3,
            "may have been accepted as version 2",
        ),
        (
            amend,
            vec![(put, 412, &conflict)],
            4,
            "version 3 is in force",
        ),
        (
            why,
            vec![(refusal, 400, &not_found)],
            1,
            "no refusal of entry-1-7 found on",
        ),
        (
            why,
            vec![(refusal, 200, "[]")],
            5,
            "sent an unexpected response to",
        ),
        (
            watch,
            vec![(get, 200, ENTRY)],
            1,
            "version 4 is not in effect on",
        ),
    ];
    for (arguments, responses, code, message) in cases {
        let fake = Fake::start(&responses);
        let run = run_with(arguments, Some(&fake.address)).await;
        assert_eq!(run.code, code, "{arguments:?} {responses:?}: {}", run.err);
        assert!(run.err.contains(message), "{arguments:?}: {}", run.err);
        assert!(run.err.contains(&fake.address) || code == 3, "{}", run.err);
        fake.stop().await;
    }
}

/// A command must succeed through the next server if the first one is down.
#[actix_web::test]
async fn run_other_server() {
    let down = unused_address();
    let fake = Fake::start(&[
        ("GET /v1/instances", 200, INSTANCES),
        (
            "PUT /v1/contracts/sirag",
            200,
            r#"{"version":1,"request":"entry-1-9"}"#,
        ),
        (
            "GET /v1/refusals/entry-1-7",
            400,
            &problem(404, "not_found", "no", "null", "-"),
        ),
    ]);
    let path = file("other.yaml", CONTRACT);
    let servers = format!("{down},{}", fake.address);
    let run = run_with(&["instances"], Some(&servers)).await;
    assert_eq!(run.code, 0, "{}", run.err);
    let run = run_with(&["contract", "publish", &path], Some(&servers)).await;
    assert_eq!(run.code, 0, "{}", run.err);
    // The instance that is down may be the one that retains the refusal.
    let run = run_with(&["why", "entry-1-7"], Some(&servers)).await;
    assert_eq!(run.code, 5, "{}", run.err);
    assert!(run.err.contains(&down), "{}", run.err);
    let run = run_with(&["instances"], Some(&down)).await;
    assert_eq!(run.code, 5, "{}", run.err);
    assert!(run.err.contains("can't be reached"), "{}", run.err);
    fake.stop().await;
}

/// A contract whose response was lost must be sent to the next server with the same precondition.
#[actix_web::test]
async fn amend_lost_answer() {
    let lossy = Fake::start(&[("PUT /v1/contracts/sirag", 0, "")]);
    let unknown = problem(
        503,
        "log_unavailable",
        "unknown",
        "400",
        "no answer of the log",
    );
    let undecided = Fake::start(&[("PUT /v1/contracts/sirag", 503, &unknown)]);
    let good = Fake::start(&[(
        "PUT /v1/contracts/sirag",
        200,
        r#"{"version":2,"request":"r"}"#,
    )]);
    let path = file("lost.yaml", CONTRACT);
    let servers = [&lossy, &undecided, &good]
        .map(|fake| fake.address.clone())
        .join(",");
    let run = run_with(
        &["contract", "amend", &path, "--expected", "1"],
        Some(&servers),
    )
    .await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert_eq!(lossy.requests(), good.requests());
    assert_eq!(undecided.requests(), good.requests());
    good.set("PUT /v1/contracts/sirag", 0, "");
    let run = run_with(
        &["contract", "amend", &path, "--expected", "1"],
        Some(&servers),
    )
    .await;
    assert_eq!(run.code, 4, "{}", run.err);
    assert!(run.err.contains("the work may have run"), "{}", run.err);
    for fake in [lossy, undecided, good] {
        fake.stop().await;
    }
}

/// A server that accepts connections and never responds must not block the command.
#[actix_web::test]
async fn run_unresponsive_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let run = run_with(
        &["--timeout", "200ms", "instances", "--output", "json"],
        Some(&address),
    )
    .await;
    assert_eq!(run.code, 5);
    let value: serde_json::Value = serde_json::from_str(&run.err).expect("JSON");
    assert_eq!(value["exit"], 5);
    assert!(run.err.contains("no response within 0.2 s"), "{}", run.err);
}

/// The refusal is usually retained by another instance than the one named on the command line.
#[actix_web::test]
async fn why_learned_instance() {
    let list = INSTANCES.replace("127.0.0.1:7081", "127.0.0.2:7081");
    let not_found = problem(404, "not_found", "no", "null", "-");
    let path = "GET /v1/refusals/entry-1-7";
    let named = Fake::start(&[("GET /v1/instances", 200, &list), (path, 400, &not_found)]);
    let other = named.address.replace("127.0.0.1", "127.0.0.2");
    let found = problem(503, "queue_full", "no", "900", "4000 calls wait");
    let learned = Fake::start_at(&other, &[(path, 200, &found)]);
    let run = run_with(&["why", "entry-1-7"], Some(&named.address)).await;
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(run.out.contains(&other), "{}", run.out);
    assert!(run.out.contains("queue_full"), "{}", run.out);
    // The same refusal from both addresses has to be shown once.
    named.set(path, 200, &found);
    let run = run_with(&["why", "entry-1-7"], Some(&named.address)).await;
    assert_eq!(run.out.matches("queue_full").count(), 1, "{}", run.out);
    learned.stop().await;
    let run = run_with(&["why", "entry-1-7"], Some(&named.address)).await;
    assert_eq!(run.code, 0, "{}", run.err);
    named.set(path, 400, &not_found);
    let run = run_with(&["why", "entry-1-7"], Some(&named.address)).await;
    assert_eq!(run.code, 5, "{}", run.err);
    assert!(
        run.err.contains(&format!("not checked: {other}")),
        "{}",
        run.err
    );
    named.stop().await;
}
