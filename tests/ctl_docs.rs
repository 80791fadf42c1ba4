//! Guards against documentation that differs from what the daemon does.

mod support;

use std::{
    fs,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use gypsumlever::{
    api::problem,
    ctl::advice,
    executor::request::Reason,
    metrics::{
        label::Label,
        Metrics, //
    },
};
use serde_json::Value;
use standin::{
    engine,
    list,
    log,
    service, //
};

#[allow(dead_code)] // The test calls what `main` calls.
#[path = "../examples/quickstart/main.rs"]
mod quickstart;

const API: &str = include_str!("../docs/api.md");
const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");
const README: &str = include_str!("../README.md");
const SETTINGS: &str = include_str!("../gypsumlever.yaml");
const CONTRACT: &str = include_str!("../examples/quickstart/contract.yaml");

/// Fields whose values must equal those of the page; others only need the same type.
const EXACT: [&str; 13] = [
    "reason",
    "ran",
    "status",
    "durability",
    "ended",
    "cancelled",
    "stopped",
    "turn",
    "version",
    "title",
    "detail",
    "retry_after_ms",
    "contract",
];

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the daemon with the sample settings, whose addresses are replaced.
fn daemon(addresses: &[(&str, String)]) -> Daemon {
    let mut text = SETTINGS.to_owned();
    for (sample, real) in addresses {
        assert!(text.contains(sample), "{sample}");
        text = text.replace(sample, real);
    }
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("docs-{}.yaml", std::process::id()));
    fs::write(&path, text).expect("settings");
    let child = Command::new(env!("CARGO_BIN_EXE_gypsumleverd"))
        .arg("--config")
        .arg(&path)
        .env("GYPSUMLEVER_PEER_SECRET", "secret-of-a-test")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    Daemon(child.expect("daemon starts"))
}

/// Fenced block: its info string and its text.
type Block = (String, String);

fn blocks(page: &str) -> Vec<Block> {
    let mut list = Vec::new();
    let mut parts = page.split("\n```");
    parts.next();
    while let (Some(block), Some(_)) = (parts.next(), parts.next()) {
        let (info, text) = block.split_once('\n').expect("a block");
        list.push((info.to_owned(), text.to_owned()));
    }
    list
}

/// Splits a command into words as a shell does with single quotes.
fn split_words(command: &str) -> Vec<String> {
    let mut list = vec![String::new()];
    let mut quoted = false;
    for c in command.chars() {
        match c {
            '\'' => quoted = !quoted,
            c if c.is_whitespace() && !quoted => list.push(String::new()),
            c => list.last_mut().expect("a word").push(c),
        }
    }
    list.retain(|word| !word.is_empty());
    list
}

/// Runs a curl command of the page; returns the status and the body.
async fn curl(http: &awc::Client, command: &str) -> (u16, String) {
    let mut words = split_words(command).into_iter();
    assert_eq!(words.next().as_deref(), Some("curl"), "{command}");
    let (mut method, mut url, mut body, mut headers) = ("GET".to_owned(), None, None, Vec::new());
    while let Some(word) = words.next() {
        let mut next = || words.next().expect("a value");
        match word.as_str() {
            "-s" | "-N" => {}
            "-X" => method = next(),
            "-d" => body = Some(next()),
            "-H" => {
                let header = next();
                let (name, value) = header.split_once(": ").expect("a header");
                headers.push((name.to_owned(), value.to_owned()));
            }
            _ => url = Some(word),
        }
    }
    let method = method.parse().expect("a method");
    let mut request = http.request(method, url.expect("a URL"));
    for (name, value) in headers {
        request = request.insert_header((name, value));
    }
    let mut response = request
        .send_body(body.unwrap_or_default())
        .await
        .expect("a response");
    let body = response.body().await.expect("a complete response");
    (
        response.status().as_u16(),
        String::from_utf8(body.to_vec()).expect("text"),
    )
}

/// Checks that a value has the structure that the page shows.
fn check_structure(path: &str, shown: &Value, found: &Value) {
    let key = path.rsplit('.').next().unwrap_or_default();
    if EXACT.contains(&key) {
        assert_eq!(shown, found, "{path}");
        return;
    }
    match (shown, found) {
        (Value::Object(shown), Value::Object(found)) => {
            if shown.is_empty() {
                return;
            }
            let names =
                |map: &serde_json::Map<String, Value>| map.keys().cloned().collect::<Vec<_>>();
            assert_eq!(names(shown), names(found), "{path}");
            for (name, value) in shown {
                check_structure(&format!("{path}.{name}"), value, &found[name]);
            }
        }
        (Value::Array(shown), Value::Array(found)) => {
            assert!(shown.len() <= found.len(), "{path}");
            for (shown, found) in shown.iter().zip(found) {
                check_structure(path, shown, found);
            }
        }
        (Value::String(_), Value::String(_)) | (Value::Number(_), Value::Number(_)) => {}
        (shown, found) => assert_eq!(shown, found, "{path}"),
    }
}

/// Returns the names and data of the events of a stream; of equal consecutive names, only the
/// first.
fn events(stream: &str) -> Vec<(String, Value)> {
    let mut list: Vec<(String, Value)> = Vec::new();
    let mut name = "";
    for line in stream.lines() {
        if let Some(text) = line.strip_prefix("event: ") {
            name = text;
        }
        if let Some(data) = line.strip_prefix("data: ") {
            if list.last().is_none_or(|(last, _)| last != name) {
                list.push((name.to_owned(), serde_json::from_str(data).expect("JSON")));
            }
        }
    }
    list
}

#[actix_web::test]
async fn api_examples() {
    let log = log::start(log::Config::default()).expect("log");
    let list = list::start(list::Config::default()).expect("list");
    let engine = engine::start(engine::Config {
        speed: 20.0,
        ..engine::Config::default()
    });
    let engine = engine.expect("engine");
    let service = service::start(service::Config::default()).expect("service");
    let callers = support::free_address();
    let _daemon = daemon(&[
        ("127.0.0.1:8080", callers.clone()),
        ("127.0.0.1:7080", support::free_address()),
        ("127.0.0.1:9090", support::free_address()),
        ("127.0.0.1:8082", log.address().to_string()),
        ("127.0.0.1:8500", list.address().to_string()),
        ("127.0.0.1:8001", engine.address().to_string()),
        ("127.0.0.1:8101", service.address().to_string()),
    ]);
    let http = awc::Client::default();
    let end = Instant::now() + Duration::from_secs(20);
    loop {
        let ready = http.get(format!("http://{callers}/readyz")).send().await;
        if ready.is_ok_and(|answer| answer.status().is_success()) {
            break;
        }
        assert!(Instant::now() < end, "the daemon is not ready");
        actix_web::rt::time::sleep(Duration::from_millis(20)).await;
    }
    let blocks = blocks(API);
    let commands: Vec<_> = blocks
        .iter()
        .enumerate()
        .filter(|(_, (info, _))| info == "sh")
        .collect();
    assert!(commands.len() >= 15, "{}", commands.len());
    let (mut program, mut request) = (String::new(), String::new());
    for (at, (_, command)) in commands {
        let command = command
            .replace("$SERVER", &format!("http://{callers}"))
            .replace("$PROGRAM", &program)
            .replace("$REQUEST", &request);
        let (status, body) = curl(&http, &command).await;
        let (info, shown) = &blocks[at + 1];
        let (kind, expected_status) = info.split_once(' ').expect("kind and status");
        assert_eq!(status.to_string(), expected_status, "{command}: {body}");
        if kind == "event-stream" {
            let (shown, found) = (events(shown), events(&body));
            assert_eq!(shown.len(), found.len(), "{command}: {body}");
            for ((name, shown), (found_name, found)) in shown.iter().zip(&found) {
                assert_eq!(name, found_name, "{command}");
                check_structure(&command, shown, found);
            }
            continue;
        }
        let shown: Value = serde_json::from_str(shown).expect("JSON on the page");
        let found: Value = serde_json::from_str(&body).expect("JSON");
        check_structure(&command, &shown, &found);
        let text = |name: &str| found[name].as_str().map(str::to_owned);
        program = text("program").unwrap_or(program);
        request = text("request").unwrap_or(request);
    }
}

/// Returns the row of a Markdown table whose first cell is a name in backticks.
fn row<'a>(page: &'a str, name: &str) -> Option<&'a str> {
    let begin = format!("| `{name}` |");
    page.lines().find(|line| line.starts_with(&begin))
}

#[test]
fn reasons_on_pages() {
    for reason in Reason::ALL {
        let name = reason.name();
        let api = row(API, name).unwrap_or_else(|| panic!("api.md: {name}"));
        let status = problem::status(*reason).as_u16();
        assert!(api.contains(&format!("| {status} |")), "{api}");
        let operations = row(OPERATIONS, name).unwrap_or_else(|| panic!("OPERATIONS.md: {name}"));
        let advice = advice::for_reason(*reason);
        assert_eq!(
            operations,
            format!("| `{name}` | {} | {} |", advice.meaning, advice.action)
        );
    }
}

#[test]
fn metrics_on_page() {
    let text = Metrics::new()
        .and_then(|metrics| metrics.scrape())
        .expect("text");
    let names = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    for name in names.filter_map(|line| line.split(' ').next()) {
        assert!(row(OPERATIONS, name).is_some(), "{name}");
    }
    for latency in gypsumlever::metrics::Latency::ALL {
        let name = format!("gypsumlever_{}_seconds", latency.name());
        assert!(row(OPERATIONS, &name).is_some(), "{name}");
    }
}

/// Guards against a sample contract that is refused.
#[test]
fn sample_contract() {
    gypsumlever::ctl::file::parse("contract.yaml", CONTRACT).expect("sample is right");
}

/// Files and links that the pages name must exist.
#[test]
fn names_on_pages() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    for page in [README, OPERATIONS] {
        for (info, text) in blocks(page).iter().filter(|(info, _)| info == "sh") {
            assert_eq!(info, "sh");
            for word in text
                .split_whitespace()
                .filter(|word| word.ends_with(".yaml"))
            {
                assert!(root.join(word).exists(), "{word}");
            }
        }
        for link in page
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let found = root.join(link).exists() || root.join("docs").join(link).exists();
            assert!(found, "{link}");
        }
    }
}

/// Guards against a quick start that fails.
#[actix_web::test]
async fn quickstart_steps() {
    quickstart::show().await.expect("all steps");
}
