//! Stand-in for the HTTP API of an instance, and runs of `gypsumctl` in the test process.
#![allow(dead_code)] // Not every test file uses everything.

use std::{
    collections::HashMap,
    path::PathBuf,
    sync::{
        Arc,
        Mutex, //
    },
};

use actix_web::{
    dev::ServerHandle,
    http::StatusCode,
    web,
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use gypsumlever::ctl;

/// Status and body of responses by method and path; other requests get status 404.
type Responses = Arc<Mutex<HashMap<String, (u16, String)>>>;

/// Server with fixed responses.
pub struct Fake {
    pub address: String,
    responses: Responses,
    requests: Arc<Mutex<Vec<String>>>,
    handle: ServerHandle,
}

impl Fake {
    pub fn start(responses: &[(&str, u16, &str)]) -> Self {
        Self::start_at("127.0.0.1:0", responses)
    }

    pub fn start_at(address: &str, responses: &[(&str, u16, &str)]) -> Self {
        let list = responses.iter();
        let list = list.map(|(path, status, body)| ((*path).to_owned(), (*status, (*body).into())));
        let responses: Responses = Arc::new(Mutex::new(list.collect()));
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (known, recorded) = (responses.clone(), requests.clone());
        let server = HttpServer::new(move || {
            let (known, recorded) = (known.clone(), recorded.clone());
            App::new().default_service(web::to(move |request: HttpRequest, body: String| {
                let path = format!("{} {}", request.method(), request.uri());
                let matches = ["if-match", "if-none-match"].map(|name| {
                    let value = request.headers().get(name);
                    value
                        .map_or("", |value| value.to_str().expect("text"))
                        .to_owned()
                });
                recorded
                    .lock()
                    .expect("requests")
                    .push(format!("{path} {} {body}", matches.concat()));
                let found = known.lock().expect("responses").get(&path).cloned();
                async move { respond(found) }
            }))
        })
        .workers(1)
        .disable_signals()
        .bind(address)
        .expect("a free port");
        let address = server.addrs()[0].to_string();
        let server = server.run();
        let handle = server.handle();
        actix_web::rt::spawn(server);
        Self {
            address,
            responses,
            requests,
            handle,
        }
    }

    pub fn set(&self, path: &str, status: u16, body: &str) {
        let mut responses = self.responses.lock().expect("responses");
        responses.insert(path.to_owned(), (status, body.to_owned()));
    }

    /// Returns the requests with their preconditions and bodies.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("requests").clone()
    }

    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }
}

fn respond(found: Option<(u16, String)>) -> HttpResponse {
    match found {
        // Status 0 stands for a response that breaks off.
        Some((0, _)) => {
            let broken = futures_util::stream::iter([Err::<bytes::Bytes, _>(
                std::io::Error::other("broken"),
            )]);
            HttpResponse::Ok().streaming(broken)
        }
        Some((status, body)) => {
            let status = StatusCode::from_u16(status).expect("a status");
            HttpResponse::build(status).body(body)
        }
        None => HttpResponse::NotFound().body("<html>not here</html>"),
    }
}

/// Result of a run of the tool.
pub struct Run {
    pub code: u8,
    pub out: String,
    pub err: String,
}

impl Run {
    /// Formats a run with the given values, which differ between runs, replaced by names.
    pub fn stable(&self, names: &[(&str, &str)]) -> String {
        let mut text = format!(
            "exit {}\n--- out\n{}--- notes\n{}",
            self.code, self.out, self.err
        );
        for (from, to) in names {
            text = text.replace(from, to);
        }
        text
    }
}

/// Runs the tool in this process.
pub async fn run(arguments: &[&str]) -> Run {
    run_with(arguments, None).await
}

/// Runs the tool in this process with the environment variable set.
pub async fn run_with(arguments: &[&str], variable: Option<&str>) -> Run {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let list = arguments.iter().map(|text| text.into()).collect();
    let code = ctl::run(list, variable.map(str::to_owned), &mut out, &mut err).await;
    Run {
        code,
        out: String::from_utf8(out).expect("text"),
        err: String::from_utf8(err).expect("text"),
    }
}

/// Writes a contract file and returns its path.
pub fn file(name: &str, text: &str) -> String {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("ctl-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a file");
    path.display().to_string()
}

pub const CONTRACT: &str = "customer: sirag\nbudget_micros: 5000000\nshare: 2\nclasses:\n  - class: consultation\n    deadline_ms: 60000\n  - class: stitch-status\n    deadline_ms: 500\n    interactive: true\n";

pub const ENTRY: &str = r#"{"version":3,"contract":{"customer":"sirag","served_by":"gypsumlever","key_sha256":null,"budget_micros":4000000,"share":1,"programs":1000,"limits":{"turns":310,"tokens":290000,"seconds":3600,"spend_micros":18446744073709551615},"classes":[{"class":"consultation","deadline_ms":60000,"interactive":false}]},"spent_micros":1200,"reserved_micros":300,"running":2}"#;

pub const INSTANCES: &str = r#"[{"instance":"entry-1","zone":"cairo-a","address":"127.0.0.1:7080","status":"live","own":true},{"instance":"entry-2","zone":"cairo-b","address":"127.0.0.1:7081","status":"leaving","own":false}]"#;

/// Returns a problem document.
pub fn problem(status: u16, reason: &str, ran: &str, after: &str, detail: &str) -> String {
    format!(
        r#"{{"title":"T","status":{status},"reason":"{reason}","ran":"{ran}","retry_after_ms":{after},"detail":"{detail}","request":"entry-1-7"}}"#
    )
}
