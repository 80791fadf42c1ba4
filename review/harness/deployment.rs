//! A small deployment: machines with one gateway process each, a store and engines.

use std::{
    collections::HashMap,
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    engine::{Engine, Runs},
    link::Link,
    path::{Origins, Path},
    record::Record,
    store::{address_mark, Store, View},
    wire::{signal, SIGKILL},
};

/// Time in which instances learn of each other.
const SPREAD: Duration = Duration::from_millis(2_500);

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which engines report.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub engines: Vec<Engine>,
    pub runs: Runs,
    /// Paths of each machine to each engine.
    pub paths: Vec<Vec<Path>>,
    pub links: Vec<Link>,
    port: u16,
    folder: PathBuf,
    gateways: Vec<Option<Child>>,
    stopped: Arc<AtomicBool>,
}

/// Returns the zone of a machine or engine.
fn zone(number: usize) -> char {
    ['a', 'b', 'c'][number % 3]
}

fn ip(kind: u8, machine: usize, engine: usize) -> [u8; 4] {
    match kind {
        1 => [127, 1, 0, machine as u8 + 1],
        2 => [127, 2, machine as u8 + 1, engine as u8 + 1],
        3 => [127, 3, 0, machine as u8 + 1],
        _ => [127, 4, 0, engine as u8 + 1],
    }
}

/// Returns the first of some ports that no socket has on the loopback addresses that are used.
fn free_ports() -> Result<u16, String> {
    let first = std::process::id() % 500 * 20;
    for number in 0..500 {
        let port = 10_000 + ((first + number * 20) % 20_000) as u16;
        let hosts = [ip(1, 0, 0), ip(2, 0, 0), ip(3, 0, 0), ip(4, 0, 0)];
        let free = (0..16).all(|offset| {
            let mut addresses = hosts
                .iter()
                .map(|host| SocketAddr::from((*host, port + offset)));
            addresses.all(|address| TcpListener::bind(address).is_ok())
        });
        if free {
            return Ok(port);
        }
    }
    Err("no free ports".into())
}

impl Deployment {
    /// Starts a store with a configuration, and engines and machines in three zones.
    pub fn start(
        folder: &std::path::Path,
        machines: usize,
        engines: usize,
        configuration: &str,
    ) -> Result<Self, String> {
        Self::start_with(folder, machines, engines, configuration, false)
    }

    /// Starts a deployment whose links between machines can be cut.
    pub fn start_linked(
        folder: &std::path::Path,
        machines: usize,
        engines: usize,
        configuration: &str,
    ) -> Result<Self, String> {
        Self::start_with(folder, machines, engines, configuration, true)
    }

    fn start_with(
        folder: &std::path::Path,
        machines: usize,
        engines: usize,
        configuration: &str,
        linked: bool,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let record = Record::create(folder).map_err(text)?;
        let port = free_ports()?;
        let temporary =
            std::env::temp_dir().join(format!("gypsumlever-review-{}", std::process::id()));
        fs::create_dir_all(&temporary).map_err(text)?;
        let store = Store::default();
        store.put("keyed.op", "config", configuration);
        let (runs, origins) = (Runs::default(), Origins::new(HashMap::new().into()));
        let mut deployment = Self {
            record: record.clone(),
            store,
            engines: Vec::new(),
            runs,
            paths: Vec::new(),
            links: Vec::new(),
            port,
            folder: temporary,
            gateways: Vec::new(),
            stopped: Arc::default(),
        };
        for number in 0..engines {
            let address = SocketAddr::from((ip(4, 0, number), port));
            let id = format!("i-{}", number + 1);
            let engine = Engine::start(
                &id,
                address,
                deployment.runs.clone(),
                origins.clone(),
                record.clone(),
            );
            deployment.engines.push(engine.map_err(text)?);
        }
        for machine in 0..machines {
            let mut paths = Vec::new();
            for (number, engine) in deployment.engines.iter().enumerate() {
                let address = SocketAddr::from((ip(2, machine, number), port));
                let path = Path::start(address, engine.address, machine + 1, origins.clone());
                paths.push(path.map_err(text)?);
            }
            let view = View {
                machine: machine + 1,
                paths: paths.iter().map(|path| path.address).collect(),
                links: linked.then_some((machine + 1, port + 3, machines)),
            };
            let others = (0..machines).filter(|other| linked && *other != machine);
            for other in others {
                let link = Link::start(machine + 1, other + 1, port + 3, machines);
                deployment.links.push(link.map_err(text)?);
            }
            let way = SocketAddr::from((ip(3, machine, 0), port));
            deployment.store.serve(way, view).map_err(text)?;
            deployment.paths.push(paths);
            deployment.gateways.push(None);
        }
        deployment.report_engines();
        for machine in 0..machines {
            deployment.start_gateway(machine)?;
        }
        deployment.wait_ready(&(0..machines).collect::<Vec<_>>())?;
        thread::sleep(SPREAD);
        Ok(deployment)
    }

    /// Has the engines report to the store.
    fn report_engines(&self) {
        let (store, stopped) = (self.store.clone(), self.stopped.clone());
        let engines = self.engines.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let live = engines.iter().enumerate();
                for (number, engine) in live.filter(|(_, engine)| engine.lives()) {
                    let zone = zone(number);
                    let address = address_mark(number);
                    let entry = format!(
                        "{{\"service\":\"app\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":1}}"
                    );
                    store.put("keyed.servers", &engine.id, &entry);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn address(&self, machine: usize, offset: u16) -> SocketAddr {
        (ip(1, machine, 0), self.port + offset).into()
    }

    /// Starts the gateway process of a machine, with the settings of `deploy/settings.yaml`.
    pub fn start_gateway(&mut self, machine: usize) -> Result<(), String> {
        let zone = zone(machine);
        let [callers, ready, metrics, peers] =
            [0, 1, 2, 3].map(|offset| self.address(machine, offset));
        let own = callers.ip();
        let store = SocketAddr::from((ip(3, machine, 0), self.port));
        let (first, last) = (self.port + 2, self.port + 15);
        let settings = format!(
            "instance: \"edge-{zone}-{machine}\"\nzone: \"{zone}\"\nlisten:\n  callers: \"{callers}\"\n  ready: \"{ready}\"\n  metrics: \"{metrics}\"\npeers:\n  listen: \"{peers}\"\n  tunnels:\n    ip: \"{own}\"\n    ports: [{first}, {last}]\n  cluster: entry\n  secret: none\nstore:\n  address: \"{store}\"\n  partitions: 12\n  read_mb_per_s: 80\ncores: 0.5\ngrace_s: 8\nlogs:\n  level: info\n  format: json\n"
        );
        let file = self.folder.join(format!("node-{machine}.yaml"));
        fs::write(&file, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{machine}")))
            .map_err(|error| error.to_string())?;
        let child = Command::new("target/release/gypsumleverd")
            .arg("gateway")
            .env_clear()
            .env("GYPSUMLEVER_SETTINGS", &file)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("gypsumleverd can't be started: {error}"))?;
        self.record
            .note("platform", &format!("starts machine {}", machine + 1));
        self.gateways[machine] = Some(child);
        Ok(())
    }

    pub fn wait_ready(&self, machines: &[usize]) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        for machine in machines {
            let client = Client {
                front: self.address(*machine, 1),
                record: self.record.clone(),
            };
            loop {
                let status = client.quiet_status("/v1/readiness");
                if status == 200 {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("machine {} is not ready", machine + 1));
                }
                thread::sleep(Duration::from_millis(30));
            }
            self.record
                .note("platform", &format!("machine {} is ready", machine + 1));
        }
        Ok(())
    }

    /// Waits until restarted machines know each other.
    pub fn settle(&self) {
        thread::sleep(SPREAD);
    }

    /// Partitions the machines of a zone from the others, or ends that.
    pub fn cut_zone(&self, name: char, cut: bool) {
        let inside = |machine: usize| zone(machine - 1) == name;
        for link in &self.links {
            if inside(link.from) != inside(link.to) {
                link.set_cut(cut);
            }
        }
        let what = if cut {
            "partitioned from the others"
        } else {
            "reaches the others again"
        };
        self.record.note(
            "network",
            &format!("zone {name} is {what}").replace("is reaches", "reaches"),
        );
    }

    /// Partitions some machines, from 1, from all others and from the store, or ends that.
    pub fn cut_machines(&self, machines: &[usize], cut: bool) {
        for link in &self.links {
            if machines.contains(&link.from) != machines.contains(&link.to) {
                link.set_cut(cut);
            }
        }
        self.store
            .set_cut(if cut { machines.to_vec() } else { Vec::new() });
        let what = if cut {
            "are partitioned from the other machines and the store"
        } else {
            "are back"
        };
        self.record
            .note("network", &format!("machines {machines:?} {what}"));
    }

    pub fn client(&self, machine: usize) -> Client {
        Client {
            front: self.address(machine, 0),
            record: self.record.clone(),
        }
    }

    /// Kills the gateway of a machine.
    pub fn kill(&mut self, machine: usize) {
        self.signal(machine, SIGKILL, "SIGKILL");
        if let Some(mut child) = self.gateways[machine].take() {
            let _ = child.wait();
        }
    }

    fn signal(&self, machine: usize, number: i32, name: &str) {
        if let Some(child) = &self.gateways[machine] {
            signal(child.id(), number);
            self.record.note(
                "platform",
                &format!("sends {name} to machine {}", machine + 1),
            );
        }
    }
}

impl Client {
    fn quiet_status(&self, path: &str) -> u16 {
        use std::{io::Write, net::TcpStream};
        let status = || -> std::io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.front, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            (&stream)
                .write_all(format!("GET {path} HTTP/1.1\r\nHost: platform\r\n\r\n").as_bytes())?;
            Ok(crate::wire::Reader::new(stream).head()?.status())
        };
        status().unwrap_or(0)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for child in self.gateways.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
