//! Guards against a binary that doesn't start or ignores its settings.

mod common;

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    process::{
        Child,
        Command,
        Stdio, //
    },
};

use common::Caller;

/// A stand-in process, killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(arguments: &[&str]) -> (Process, Vec<SocketAddr>) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gypsumlever-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .expect("spawn");
    let output = BufReader::new(child.stdout.take().expect("stdout"));
    let lines = output.lines().take(2).map_while(Result::ok);
    let address = |line: String| line.split(' ').nth(1)?.parse().ok();
    let addresses = lines.filter_map(address).collect();
    (Process(child), addresses)
}

#[actix_web::test]
async fn main_runs_each_standin() {
    let weights = r#"{"files":{"/w":10}}"#;
    let table = [
        (
            vec!["log", "--settings", r#"{"topics":["t"]}"#],
            "/topics/t/partitions",
        ),
        (vec!["list"], "/v1/health/service/gypsumlever"),
        (vec!["engine", "--settings", r#"{"speed":10}"#], "/load"),
        (vec!["service"], "/load"),
        (vec!["weights", "--settings", weights], "/w"),
    ];
    for (arguments, path) in table {
        let (_process, addresses) = spawn(&arguments);
        let [listen, control] = addresses[..] else {
            panic!("{arguments:?} printed {addresses:?}");
        };
        assert_eq!(Caller::new(listen).get(path).await.status(), 200);
        let stats = Caller::new(control).get("/control/books").await;
        assert_eq!(stats.status(), 200, "{arguments:?}");
    }
}

#[test]
fn main_rejects_unknown_settings() {
    let settings = r#"{"sped":10}"#;
    let (mut process, addresses) = spawn(&["engine", "--settings", settings]);
    assert_eq!(addresses, []);
    assert!(!process.0.wait().expect("exit").success());
}
