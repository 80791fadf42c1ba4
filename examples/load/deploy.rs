//! A deployment of daemon processes and stand-ins on loopback.

use std::{
    fs,
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::time::sleep;
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

use crate::{
    client,
    relay::{
        Counters,
        Relays, //
    },
};

/// Pool of model engines.
pub const MODELS: &str = "saddle-advice";

/// Pool of services.
pub const SERVICES: &str = "workshop-orders";

/// Maximum time until an instance is ready and sees all others as live.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Composition of a deployment.
pub struct Plan {
    /// Instances, engines and services of each zone.
    pub zones: Vec<(usize, usize, usize)>,
    /// Settings of the engines.
    pub engine: engine::Config,
    /// Settings of the services.
    pub service: service::Config,
    /// HTTP workers of each daemon.
    pub workers: usize,
    /// Whether all traffic except the callers' passes through counting relays.
    pub metered: bool,
}

/// Traffic of all instances by purpose.
#[derive(Clone, Default)]
pub struct Traffic {
    pub peers: Arc<Counters>,
    pub log: Arc<Counters>,
    pub list: Arc<Counters>,
    pub upstreams: Arc<Counters>,
}

/// Daemon process, killed on drop.
pub struct Node {
    pub name: String,
    pub callers: String,
    child: Child,
    log: PathBuf,
}

impl Node {
    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running deployment.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub log: Server<log::Log>,
    pub list: Server<list::List>,
    pub engines: Vec<Server<engine::Engine>>,
    pub services: Vec<Server<service::Service>>,
    pub traffic: Traffic,
    pub http: awc::Client,
    relays: Relays,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a free loopback address below the ephemeral port range.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 20_000 + (std::process::id() % 100) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the path of the daemon that `GYPSUMLEVERD` names, or of the one that was built with the
/// same profile as this tool.
fn daemon_path() -> PathBuf {
    if let Some(path) = std::env::var_os("GYPSUMLEVERD") {
        return PathBuf::from(path);
    }
    let executable = std::env::current_exe().expect("path of the executable");
    let folder = executable
        .parent()
        .and_then(Path::parent)
        .expect("target folder");
    let path = folder.join("gypsumleverd");
    assert!(
        path.exists(),
        "build the daemon first: cargo build --release --bins"
    );
    path
}

/// Returns the name of a zone.
pub fn zone(at: usize) -> String {
    format!("zone-{}", char::from(b'a' + at as u8))
}

impl Deployment {
    /// Starts the stand-ins and one daemon for each instance, and waits until all are ready.
    pub async fn start(plan: &Plan) -> Self {
        let mut deployment = Self::start_stand_ins(plan);
        deployment.start_daemons(plan);
        deployment.wait_ready().await;
        deployment
    }

    /// Starts the stand-ins.
    pub fn start_stand_ins(plan: &Plan) -> Self {
        let folder = std::env::temp_dir().join(format!("gypsumlever-load-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder for settings");
        let config = list::Config {
            lag_ms: 200,
            ..list::Config::default()
        };
        let (engines, services) = plan.zones.iter().fold((0, 0), |(engines, services), zone| {
            (engines + zone.1, services + zone.2)
        });
        let engine = |_| engine::start(plan.engine.clone()).expect("engine");
        let service = |_| service::start(plan.service.clone()).expect("service");
        Self {
            nodes: Vec::new(),
            log: log::start(log::Config::default()).expect("log"),
            list: list::start(config).expect("list"),
            engines: (0..engines).map(engine).collect(),
            services: (0..services).map(service).collect(),
            traffic: Traffic::default(),
            http: client::create(),
            relays: Relays::start(),
            folder,
        }
    }

    fn address(&self, plan: &Plan, address: SocketAddr, counters: &Arc<Counters>) -> SocketAddr {
        match plan.metered {
            true => self.relays.add(address, counters),
            false => address,
        }
    }

    fn pools(&self, plan: &Plan) -> String {
        let (mut engines, mut services) = (self.engines.iter(), self.services.iter());
        let (mut models, mut tools) = (String::new(), String::new());
        let counters = &self.traffic.upstreams;
        for (at, (_, engine_count, service_count)) in plan.zones.iter().enumerate() {
            let line = |kind: &str, number: usize, address: SocketAddr| {
                let address = self.address(plan, address, counters);
                let zone = zone(at);
                format!("      - {{ name: {kind}-{at}-{number}, address: \"{address}\", zone: {zone} }}\n")
            };
            for (number, engine) in engines.by_ref().take(*engine_count).enumerate() {
                models += &line("engine", number, engine.address());
            }
            for (number, service) in services.by_ref().take(*service_count).enumerate() {
                tools += &line("service", number, service.address());
            }
        }
        format!(
            "pools:\n  - name: {MODELS}\n    kind: model\n    prices: {{ prompt_micros_per_1000: 1000, completion_micros_per_1000: 1000 }}\n    models: [{{ name: {MODELS}, version: \"1\" }}]\n    upstreams:\n{models}  - name: {SERVICES}\n    kind: service\n    prices: {{ call_micros: 10 }}\n    operations:\n      - {{ name: stitch-status, path: /stitch-status, idempotent: true }}\n      - {{ name: workshop-order, path: /workshop-order, idempotent: true }}\n    upstreams:\n{tools}"
        )
    }

    /// Starts the daemons.
    pub fn start_daemons(&mut self, plan: &Plan) {
        let pools = self.pools(plan);
        let log = self.address(plan, self.log.address(), &self.traffic.log);
        let list = self.address(plan, self.list.address(), &self.traffic.list);
        let zones: Vec<String> = (0..plan.zones.len()).map(zone).collect();
        for (at, (instances, ..)) in plan.zones.iter().enumerate() {
            for number in 0..*instances {
                let name = format!("{}-{number}", zones[at]);
                let (callers, peers) = (free_address(), free_address());
                let advertised = self.address(plan, peers, &self.traffic.peers);
                let text = format!(
                    "cluster: load\ninstance: {name}\nzone: {}\nzones: [{}]\nlisten: {{ callers: \"{callers}\", peers: \"{peers}\", advertise: \"{advertised}\", workers: {} }}\npeers: {{ secret_env: GYPSUMLEVER_PEER_SECRET }}\nlog: {{ addresses: [\"{log}\"] }}\nlist: {{ address: \"{list}\" }}\n{pools}",
                    zones[at],
                    zones.join(", "),
                    plan.workers,
                );
                let entry = list::Entry::new("gypsumlever", &name, &zones[at], advertised);
                self.list.state().put_now(entry);
                self.nodes.push(spawn_daemon(
                    &self.folder,
                    &name,
                    &callers.to_string(),
                    &text,
                ));
            }
        }
    }

    /// Waits until all instances are ready and see each other as live.
    pub async fn wait_ready(&self) {
        let deadline = Instant::now() + START_TIMEOUT;
        let expected = self.nodes.len();
        for node in &self.nodes {
            loop {
                let ready = self.get(node, "/readyz").await.0 == 200;
                let rows = match ready {
                    true => self.get(node, "/v1/instances").await.1,
                    false => Value::Null,
                };
                let rows = rows.as_array().map_or(&[][..], Vec::as_slice);
                if rows.iter().filter(|row| row["status"] == "live").count() >= expected {
                    break;
                }
                let log = fs::read_to_string(&node.log).unwrap_or_default();
                assert!(
                    Instant::now() < deadline,
                    "{} is not ready:\n{log}",
                    node.name
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Publishes a contract with the given classes and waits until all instances have it.
    pub async fn publish_contract(&self, customer: &str, share: u32, classes: &Value) {
        let contract = json!({
            "customer": customer,
            "share": share,
            "budget_micros": 1_000_000_000_000_000u64,
            "programs": 1_000_000,
            "limits": { "turns": 1_000_000, "tokens": 1_000_000_000_000u64, "seconds": 86_400 },
            "classes": classes,
        });
        let path = format!("/v1/contracts/{customer}");
        let request = self.http.put(url(&self.nodes[0], &path));
        let request = request.insert_header(("If-None-Match", "*"));
        let (status, body) = client::read_response(request.send_json(&contract).await).await;
        assert_eq!(status, 200, "{body}");
        for node in &self.nodes {
            while self.get(node, &path).await.0 != 200 {
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Starts a program.
    pub async fn start_program(&self, node: &Node, customer: &str, class: &str) -> (u16, Value) {
        let body = json!({ "customer": customer, "class": class });
        let request = self.http.post(url(node, "/v1/programs"));
        client::read_response(request.send_json(&body).await).await
    }

    /// Gets a path from an instance.
    pub async fn get(&self, node: &Node, path: &str) -> (u16, Value) {
        client::read_response(self.http.get(url(node, path)).send().await).await
    }

    /// Returns the fraction of a histogram's observations on an instance above a bucket bound in
    /// seconds.
    pub async fn fraction_above(&self, node: &Node, span: &str, bound: &str) -> f64 {
        let Ok(mut response) = self.http.get(url(node, "/metrics")).send().await else {
            return f64::NAN;
        };
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        let find = |bound: &str| {
            let name = format!("gypsumlever_{span}_seconds_bucket{{le=\"{bound}\"}} ");
            let line = text.lines().find_map(|line| line.strip_prefix(&name));
            line.and_then(|line| line.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        1.0 - find(bound) / find("+Inf")
    }

    /// Returns the CPU seconds of all instances.
    pub fn cpu(&self) -> f64 {
        let pids = self.nodes.iter().map(Node::pid);
        pids.map(crate::process::cpu).sum()
    }
}

/// Returns the URL of a path on an instance.
pub fn url(node: &Node, path: &str) -> String {
    format!("http://{}{path}", node.callers)
}

fn spawn_daemon(folder: &Path, name: &str, callers: &str, settings: &str) -> Node {
    let config = folder.join(format!("{name}.yaml"));
    fs::write(&config, settings).expect("settings");
    let log = config.with_extension("log");
    let child = Command::new(daemon_path())
        .arg("--config")
        .arg(&config)
        .env("GYPSUMLEVER_PEER_SECRET", "secret-of-a-load-run")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(fs::File::create(&log).expect("log file"))
        .spawn()
        .expect("daemon starts");
    Node {
        name: name.to_owned(),
        callers: callers.to_owned(),
        child,
        log,
    }
}
