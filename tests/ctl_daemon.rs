//! Runs of the `gypsumctl` binary against real instances.

mod support;

use std::{
    fs,
    path::PathBuf,
    process::Command, //
};

use serde_json::{
    json,
    Value, //
};
use support::{
    Cluster,
    Config, //
};

/// Runs the binary; returns the exit code, standard output and standard error.
fn ctl(servers: &str, arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_gypsumctl"))
        .args(arguments)
        .env("GYPSUMLEVER_SERVER", servers)
        .output()
        .expect("gypsumctl starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("an exit code");
    (code, text(output.stdout), text(output.stderr))
}

fn contract(name: &str, budget: u64) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("ctl-daemon-{}-{name}.yaml", std::process::id()));
    fs::write(&path, format!("customer: sirag\nbudget_micros: {budget}\n")).expect("a file");
    path.display().to_string()
}

/// Guards against commands that work only with the stand-in of the other `ctl` tests.
#[actix_web::test]
async fn run_all_commands() {
    let cluster = Cluster::start(Config {
        instances: 2,
        ..Config::default()
    })
    .await;
    let servers: Vec<_> = cluster.nodes.iter().map(|node| &*node.callers).collect();
    let all = servers.join(",");
    let ctl = |arguments: &[&str]| ctl(&all, arguments);
    let (small, large) = (contract("small", 5), contract("large", 9_000_000));

    let (code, out, err) = ctl(&["contract", "publish", &small]);
    assert_eq!(
        (code, out.trim()),
        (0, "contract of sirag: version 1 accepted"),
        "{err}"
    );
    let (code, _, err) = ctl(&["contract", "watch", "sirag", "--until", "1"]);
    assert_eq!(code, 0, "{err}");
    let (code, _, err) = ctl(&["contract", "publish", &small]);
    assert_eq!(code, 0, "a repeat is safe: {err}");
    let (code, _, err) = ctl(&["contract", "publish", &large]);
    assert_eq!(code, 3, "{err}");
    assert!(err.contains("version 1 is in effect"), "{err}");

    // The first instance refuses; the second one is queried too and has no record of it.
    let program = cluster.start_program(0).await;
    let (status, refusal) = cluster.call_model(0, &program, "k", "girth?").await;
    assert_eq!(status, 402, "{refusal}");
    let request = refusal["request"].as_str().expect("a request");
    let (code, out, err) = ctl(&["why", request]);
    assert_eq!(code, 0, "{err}");
    for part in [
        "budget_exhausted",
        "did not run",
        "raise budget_micros",
        servers[0],
    ] {
        assert!(out.contains(part), "{part}: {out}");
    }
    let (code, _, err) = ctl(&["why", "cairo-a-0-999999"]);
    assert_eq!(code, 1, "{err}");

    let (code, _, err) = ctl(&["contract", "amend", &large, "--expected", "1"]);
    assert_eq!(code, 0, "{err}");
    let (code, _, err) = ctl(&["contract", "amend", &large, "--expected", "1"]);
    assert_eq!(code, 0, "a repeat is safe: {err}");
    let (code, _, err) = ctl(&["contract", "amend", &small, "--expected", "1"]);
    assert_eq!(code, 3, "{err}");
    assert!(err.contains("version 2 is in effect"), "{err}");
    cluster.wait_contract("sirag", 2).await;
    let (status, answer) = cluster.call_model(1, &program, "k2", "girth?").await;
    assert_eq!(status, 200, "{answer}");

    let views: [(&[&str], &str); 6] = [
        (&["contract", "show", "sirag"], "9000000"),
        (&["contract", "list"], "sirag"),
        (&["contract", "diff", &small], "budget_micros"),
        (&["instances"], "cairo-a-1"),
        (&["upstreams"], "saddle-advice"),
        (&["programs", "--customer", "sirag"], &program),
    ];
    for (arguments, part) in views {
        let (code, out, err) = ctl(arguments);
        assert_eq!(code, 0, "{arguments:?}: {err}");
        assert!(out.contains(part), "{arguments:?}: {out}");
        let (code, out, err) = ctl(&[&["--output", "json"], arguments].concat());
        assert_eq!(code, 0, "{arguments:?}: {err}");
        assert!(serde_json::from_str::<Value>(&out).is_ok(), "{out}");
    }
    let (code, out, _) = ctl(&["queues", "--output", "json"]);
    assert_eq!(code, 0);
    let queues: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(queues["saddle-advice"]["queues"], json!({}));
}
