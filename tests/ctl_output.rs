//! Output of `gypsumctl`, compared with snapshots.

mod ctl_support;

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

const UPSTREAMS: &str = r#"[{"pool":"saddle-advice","upstream":"engine-1","zone":"cairo-a","address":"127.0.0.1:8001","leaving":false,"running":3,"window":8,"foreign":1},{"pool":"saddle-advice","upstream":"engine-2","zone":"cairo-b","address":"127.0.0.1:8002","leaving":true,"running":null,"window":null,"foreign":null}]"#;

const QUEUES: &str = r#"{"saddle-advice":{"queues":{"sirag":4},"upstreams":{},"decisions":{"prefix":9}},"workshop-orders":{"queues":{},"upstreams":{},"decisions":{}}}"#;

const PROGRAMS: &str = r#"[{"program":"cairo-a.01","customer":"sirag","class":"consultation","turns":3,"tokens":412,"spent_micros":77,"home":"entry-1"},{"program":"cairo-a.02","customer":"sirag","class":"default","turns":0,"tokens":0,"spent_micros":0,"home":null}]"#;

fn fake() -> Fake {
    let refusal = problem(
        402,
        "budget_exhausted",
        "no",
        "null",
        "12 micro-units are left",
    );
    let not_found = problem(404, "not_found", "no", "null", "no refusal");
    let list = format!("[{ENTRY}]");
    Fake::start(&[
        ("GET /v1/contracts/sirag", 200, ENTRY),
        ("GET /v1/contracts", 200, &list),
        (
            "PUT /v1/contracts/sirag",
            200,
            r#"{"version":4,"request":"entry-1-9"}"#,
        ),
        ("GET /v1/instances", 200, INSTANCES),
        ("GET /v1/upstreams", 200, UPSTREAMS),
        ("GET /v1/queues", 200, QUEUES),
        ("GET /v1/programs?customer=sirag", 200, PROGRAMS),
        ("GET /v1/refusals/entry-1-7", 200, &refusal),
        ("GET /v1/refusals/entry-1-8", 400, &not_found),
    ])
}

#[actix_web::test]
async fn run_table_of_outputs() {
    let fake = fake();
    let path = file("output.yaml", CONTRACT);
    let cases: [(&str, &[&str]); 15] = [
        ("publish", &["contract", "publish", &path]),
        ("amend", &["contract", "amend", &path, "--expected", "3"]),
        (
            "amend_json",
            &[
                "--output",
                "json",
                "contract",
                "amend",
                &path,
                "--expected",
                "3",
            ],
        ),
        ("show", &["contract", "show", "sirag"]),
        (
            "show_json",
            &["--output", "json", "contract", "show", "sirag"],
        ),
        ("list", &["contract", "list"]),
        ("diff", &["contract", "diff", &path]),
        (
            "diff_json",
            &["contract", "diff", &path, "--output", "json"],
        ),
        ("watch", &["contract", "watch", "sirag", "--until", "3"]),
        ("instances", &["instances"]),
        ("upstreams", &["upstreams"]),
        ("queues", &["queues"]),
        ("programs", &["programs", "--customer", "sirag"]),
        ("why", &["why", "entry-1-7"]),
        ("why_json", &["why", "entry-1-7", "--output", "json"]),
    ];
    for (name, arguments) in cases {
        let run = run_with(arguments, Some(&fake.address)).await;
        let names = [(fake.address.as_str(), "SERVER"), (path.as_str(), "FILE")];
        insta::assert_snapshot!(name, run.stable(&names));
    }
    fake.stop().await;
}

/// Without the right precondition, a command could overwrite another operator's contract.
#[actix_web::test]
async fn put_precondition() {
    let fake = fake();
    let path = file("precondition.yaml", CONTRACT);
    let server = fake.address.as_str();
    run(&["--server", server, "contract", "publish", &path]).await;
    run(&[
        "--server",
        server,
        "contract",
        "amend",
        &path,
        "--expected",
        "3",
    ])
    .await;
    let requests = fake.requests();
    assert!(
        requests[0].starts_with("PUT /v1/contracts/sirag * {"),
        "{}",
        requests[0]
    );
    assert!(
        requests[1].starts_with("PUT /v1/contracts/sirag \"3\" {"),
        "{}",
        requests[1]
    );
    fake.stop().await;
}

/// The calls that several instances run on one upstream have to be summed.
#[actix_web::test]
async fn upstreams_of_two_instances() {
    let (one, other) = (fake(), fake());
    let servers = format!("{}, {}", one.address, other.address);
    let run = run_with(&["upstreams"], Some(&servers)).await;
    let row = run.out.lines().nth(1).expect("a row");
    let cells: Vec<_> = row.split_whitespace().collect();
    assert_eq!(cells[5..], ["6", "8", "1"], "{row}");
    let run = run_with(&["queues"], Some(&servers)).await;
    let row = run.out.lines().nth(1).expect("a row");
    let cells: Vec<_> = row.split_whitespace().collect();
    assert_eq!(cells, ["saddle-advice", "sirag", "8"], "{row}");
    one.stop().await;
    other.stop().await;
}
