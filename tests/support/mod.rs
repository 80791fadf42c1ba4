//! Starts daemon processes against stand-ins of the log, the registry and the upstreams.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    json,
    Value, //
};
use standin::{
    engine,
    list,
    log,
    server::Server,
    service, //
};

/// Peer secret shared by all instances of a test.
const SECRET: &str = "secret-of-a-test";

/// Configuration of a test deployment.
#[derive(Clone, Debug)]
pub struct Config {
    /// Availability zones.
    pub zones: Vec<&'static str>,
    /// Instances in each zone.
    pub instances: usize,
    /// Engines in each zone.
    pub engines: usize,
    /// Services in each zone.
    pub services: usize,
    /// Configuration of the log stand-in.
    pub log: log::Config,
    /// Configuration of the engine stand-ins.
    pub engine: engine::Config,
    /// Log retention set in the daemons' configuration, which may differ from the log's.
    pub retention: &'static str,
    /// Further top-level settings of the daemon in YAML.
    pub extra: String,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            zones: vec!["cairo-a"],
            instances: 1,
            engines: 1,
            services: 1,
            log: log::Config::default(),
            engine: engine::Config {
                speed: 20.0,
                ..engine::Config::default()
            },
            retention: "7d",
            extra: String::new(),
        }
    }
}

/// One daemon process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub callers: String,
    pub peers: String,
    /// Peer secret; instances with different secrets can't connect to each other.
    pub secret: String,
    settings_path: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Returns the process id, or 0 if the process is not running.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by name, for example `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(
            status.expect("kill starts").success(),
            "kill -s {name} {pid}"
        );
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to exit by itself; returns whether it exited with success.
    pub fn wait_exit(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let Some(child) = self.child.as_mut() else {
            return false;
        };
        while Instant::now() < deadline {
            if let Some(status) = child.try_wait().expect("process status is available") {
                self.child = None;
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Starts or restarts the process.
    pub fn start(&mut self) {
        let log = fs::File::create(self.settings_path.with_extension("log")).expect("log file");
        let child = Command::new(env!("CARGO_BIN_EXE_gypsumleverd"))
            .arg("--config")
            .arg(&self.settings_path)
            .env("GYPSUMLEVER_PEER_SECRET", &self.secret)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("daemon starts"));
    }

    /// Returns the log output of the process since its last start.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings_path.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Running deployment on loopback.
pub struct Cluster {
    pub log: Server<log::Log>,
    pub list: Server<list::List>,
    pub engines: Vec<Server<engine::Engine>>,
    pub services: Vec<Server<service::Service>>,
    pub nodes: Vec<Node>,
    pub http: awc::Client,
}

/// Returns a loopback address with a free port.
///
/// The ports are below the kernel's ephemeral range, so that an outgoing connection can't take one
/// before the daemon listens on it.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let address = format!("127.0.0.1:{}", 12_000 + offset % 20_000);
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

fn upstream_settings(prefix: &str, upstreams: &[(String, String)]) -> String {
    let line = |(index, (address, zone)): (usize, &(String, String))| {
        format!("      - {{ name: {prefix}-{index}, address: \"{address}\", zone: {zone} }}\n")
    };
    upstreams.iter().enumerate().map(line).collect()
}

impl Cluster {
    /// Starts a deployment and waits until all instances are ready and see each other.
    pub async fn start(config: Config) -> Self {
        let mut cluster = Self::prepare(&config);
        for node in &mut cluster.nodes {
            node.start();
        }
        for instance in 0..cluster.nodes.len() {
            cluster.wait_ready(instance).await;
        }
        cluster.wait_joined().await;
        cluster
    }

    /// Starts the stand-ins and writes the instances' settings, without starting the instances.
    pub fn prepare(config: &Config) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("cluster-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("settings directory");
        let log = log::start(config.log.clone()).expect("log");
        let list = list::start(list::Config {
            lag_ms: 200,
            ..list::Config::default()
        });
        let list = list.expect("list");
        let mut engines = Vec::new();
        let mut services = Vec::new();
        let mut upstreams = BTreeMap::new();
        for zone in &config.zones {
            for _ in 0..config.engines {
                let engine = engine::start(config.engine.clone()).expect("engine");
                let upstream = (engine.address().to_string(), (*zone).to_owned());
                upstreams
                    .entry("engine")
                    .or_insert_with(Vec::new)
                    .push(upstream);
                engines.push(engine);
            }
            for _ in 0..config.services {
                let service = service::start(service::Config::default()).expect("service");
                let upstream = (service.address().to_string(), (*zone).to_owned());
                upstreams
                    .entry("service")
                    .or_insert_with(Vec::new)
                    .push(upstream);
                services.push(service);
            }
        }
        let empty = Vec::new();
        let pools = format!(
            "pools:\n  - name: saddle-advice\n    kind: model\n    prices: {{ prompt_micros_per_1000: 1000, completion_micros_per_1000: 1000 }}\n    models: [{{ name: saddle-advice, version: \"1\" }}]\n    upstreams:\n{}  - name: workshop-orders\n    kind: service\n    prices: {{ call_micros: 10 }}\n    operations:\n      - {{ name: stitch-status, path: /stitch-status, idempotent: true }}\n      - {{ name: capture-deposit, path: /capture-deposit, idempotent: false }}\n    upstreams:\n{}",
            upstream_settings("engine", upstreams.get("engine").unwrap_or(&empty)),
            upstream_settings("service", upstreams.get("service").unwrap_or(&empty)),
        );
        let mut nodes = Vec::new();
        for zone in &config.zones {
            for index in 0..config.instances {
                let name = format!("{zone}-{index}");
                let (callers, peers) = (free_address(), free_address());
                let zones = config.zones.join(", ");
                let timings = "timings: { balancer_lag: 300ms, claim_age: 5s }\n";
                let extra = match config.extra.contains("timings:") {
                    true => config.extra.clone(),
                    false => format!("{timings}{}", config.extra),
                };
                let text = format!(
                    "cluster: test\ninstance: {name}\nzone: {zone}\nzones: [{zones}]\nlisten: {{ callers: \"{callers}\", peers: \"{peers}\", workers: 2 }}\npeers: {{ secret_env: GYPSUMLEVER_PEER_SECRET }}\nlog: {{ addresses: [\"{}\"], retention: {} }}\nlist: {{ address: \"{}\" }}\n{pools}{extra}",
                    log.address(),
                    config.retention,
                    list.address(),
                );
                let settings_path = folder.join(format!("{name}.yaml"));
                fs::write(&settings_path, text).expect("settings");
                list.state().put_now(entry(&name, zone, &peers));
                nodes.push(Node {
                    name,
                    zone: (*zone).to_owned(),
                    callers,
                    peers,
                    secret: SECRET.to_owned(),
                    settings_path,
                    child: None,
                });
            }
        }
        Self {
            log,
            list,
            engines,
            services,
            nodes,
            http: awc::Client::builder()
                .timeout(Duration::from_secs(30))
                .finish(),
        }
    }

    /// Waits until an instance is ready; panics with its log output after 20 s.
    pub async fn wait_ready(&self, instance: usize) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            let response = self.http.get(self.url(instance, "/readyz")).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            actix_web::rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!(
            "instance {} is not ready:\n{}",
            self.nodes[instance].name,
            self.nodes[instance].log()
        );
    }

    /// Waits until every instance sees every other one as live.
    pub async fn wait_joined(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        let expected = self.nodes.len();
        for instance in 0..expected {
            loop {
                let (_, rows) = self.get(instance, "/v1/instances").await;
                let rows = rows.as_array().cloned().unwrap_or_default();
                let live = rows.iter().filter(|row| row["status"] == "live").count();
                if live >= expected {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "instance {instance} sees {live} of {expected} instances as live"
                );
                actix_web::rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Returns the URL of a path on an instance.
    pub fn url(&self, instance: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[instance].callers)
    }

    /// Sends a GET request; returns status and body, or status 0 without a complete response.
    pub async fn get(&self, instance: usize, path: &str) -> (u16, Value) {
        read_response(self.http.get(self.url(instance, path)).send().await).await
    }

    /// Sends a POST request with a JSON body and an optional idempotency key; returns as `get`.
    pub async fn post(
        &self,
        instance: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> (u16, Value) {
        let mut request = self.http.post(self.url(instance, path));
        if let Some(key) = key {
            request = request.insert_header(("Idempotency-Key", key));
        }
        read_response(request.send_json(body).await).await
    }

    /// Publishes a contract as `version`; returns the status and the body.
    pub async fn publish(&self, instance: usize, version: u64, contract: &Value) -> (u16, Value) {
        let customer = contract["customer"].as_str().unwrap_or_default();
        let request = self
            .http
            .put(self.url(instance, &format!("/v1/contracts/{customer}")));
        let request = match version {
            1 => request.insert_header(("If-None-Match", "*")),
            _ => request.insert_header(("If-Match", format!("\"{}\"", version - 1))),
        };
        read_response(request.send_json(contract).await).await
    }

    /// Publishes the first contract of customer `sirag` and waits until all instances apply it.
    pub async fn publish_contract(&self) {
        let contract = json!({ "customer": "sirag", "budget_micros": 1_000_000_000u64 });
        let (status, body) = self.publish(0, 1, &contract).await;
        assert_eq!(status, 200, "{body}");
        self.wait_contract("sirag", 1).await;
    }

    /// Waits until all running instances apply this version of a contract or a later one.
    pub async fn wait_contract(&self, customer: &str, version: u64) {
        let deadline = Instant::now() + Duration::from_secs(7);
        for instance in 0..self.nodes.len() {
            if self.nodes[instance].child.is_none() {
                continue;
            }
            loop {
                let (_, body) = self
                    .get(instance, &format!("/v1/contracts/{customer}"))
                    .await;
                if body["version"]
                    .as_u64()
                    .is_some_and(|applied| applied >= version)
                {
                    break;
                }
                assert!(
                    Instant::now() < deadline,
                    "instance {instance} does not apply version {version}"
                );
                actix_web::rt::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Starts a program of customer `sirag`; returns its name.
    pub async fn start_program(&self, instance: usize) -> String {
        let body = json!({ "customer": "sirag", "class": "consultation" });
        let (status, response) = self.post(instance, "/v1/programs", None, &body).await;
        assert_eq!(status, 201, "{response}");
        response["program"]
            .as_str()
            .expect("program name")
            .to_owned()
    }

    /// Sends a model call of a program with one user message.
    pub async fn call_model(
        &self,
        instance: usize,
        program: &str,
        key: &str,
        text: &str,
    ) -> (u16, Value) {
        let body = json!({
            "type": "model",
            "pool": "saddle-advice",
            "messages": [{ "role": "user", "content": text }],
            "max_tokens": 16,
        });
        let path = format!("/v1/programs/{program}/calls");
        self.post(instance, &path, Some(key), &body).await
    }

    /// Sends a call that captures a deposit, which must run at most once per key.
    pub async fn capture_deposit(&self, instance: usize, program: &str, key: &str) -> (u16, Value) {
        let body = json!({
            "type": "tool",
            "pool": "workshop-orders",
            "operation": "capture-deposit",
            "body": { "deposit": key },
        });
        let path = format!("/v1/programs/{program}/calls");
        self.post(instance, &path, Some(key), &body).await
    }

    /// Returns how many captures of this deposit the services received.
    pub fn count_captures(&self, key: &str) -> usize {
        let count = |service: &Server<service::Service>| {
            let calls = service.state().calls("/capture-deposit");
            calls
                .iter()
                .filter(|call| call.body["deposit"] == key)
                .count()
        };
        self.services.iter().map(count).sum()
    }
}

/// Creates an entry of the platform's registry.
pub fn entry(name: &str, zone: &str, address: &str) -> list::Entry {
    let address = address.parse().expect("an address");
    list::Entry::new("gypsumlever", name, zone, address)
}

async fn read_response<S>(
    result: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> (u16, Value)
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let Ok(mut response) = result else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    match response.body().limit(8 << 20).await {
        Ok(body) => (status, serde_json::from_slice(&body).unwrap_or(Value::Null)),
        Err(_) => (0, Value::Null),
    }
}
