//! Processes of a deployment: a store, engines and gateway instances.

use std::{
    collections::BTreeMap,
    env, fs,
    io::Write as _,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
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
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use anyhow::{
    ensure,
    Context as _, //
};
use nix::sys::signal::Signal;
use rand::{
    Rng,
    RngExt as _, //
};
use serde_json::json;
use standin::{
    server::Server,
    store::{
        self,
        Store, //
    },
};

use crate::{
    check::VERSIONS,
    engine::SLOTS,
    flags::Run,
    link::Link,
    process::{
        Found,
        Process, //
    },
    runs::{
        self,
        MAX_ENGINES, //
    },
    wire::Reader, //
};

/// Services; each has routes of its own.
pub const SERVICES: [&str; 2] = ["s", "t"];

/// Interval at which engines report.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time without a report after which the entry of an engine is removed.
const EXPIRY: Duration = Duration::from_millis(1_200);

/// Time between SIGTERM and the end of an instance.
const GRACE_S: u64 = 5;

/// Time after which a start has failed.
pub const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Blocks of ports, each for one soak, and their size.
const FIRST_PORT: u32 = 10_000;
const PORT_BLOCKS: u32 = 100;
const BLOCK_PORTS: u32 = 200;

/// Interval of the checks of the readiness.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);

/// Failed checks in a row after which an instance gets no new connections.
const MAX_MISSES: usize = 2;

/// Memory of the machine of an instance, in MiB, and its descriptors.
pub const MEMORY_MB: u64 = 120;
const DESCRIPTORS: u64 = 8_200;

/// Time in which the program of a process has to run.
const RUNS_TIMEOUT: Duration = Duration::from_secs(1);

/// Name of the file with the runs of engines.
const RUNS: &str = "runs.log";

/// Time in which instances learn of each other.
const SPREAD: Duration = Duration::from_millis(2_500);

/// An engine process, or the place of one.
pub struct Slot {
    /// Identifier.
    pub id: String,
    /// Software version.
    pub version: &'static str,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Whether it reports that it drains.
    pub draining: bool,
    /// Whether the process is stopped.
    pub frozen: bool,
    service: &'static str,
    child: Option<Child>,
    born: u64,
    sequence: u64,
    /// Time of the last report.
    reported: Instant,
    /// Identifiers that are no longer used, with the time of their last report.
    gone: Vec<(String, Instant)>,
}

/// A gateway instance.
pub struct Instance {
    /// Name.
    pub name: String,
    /// Address for clients.
    pub callers: SocketAddr,
    /// Whether it is in zone `a`; else it is in zone `b`.
    pub first_zone: bool,
    /// Checks of the readiness in a row that failed.
    misses: AtomicUsize,
    ready: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Process>>,
    /// Findings that are not yet noted.
    found: Mutex<Vec<Found>>,
    /// Other addresses that it listens on.
    listens: [SocketAddr; 4],
}

/// Processes of a deployment, which end when it is dropped.
pub struct Deployment {
    /// The store.
    pub store: Server<Store>,
    /// Gateway instances.
    pub instances: Vec<Instance>,
    /// Whether the deployment ends.
    pub stopped: AtomicBool,
    /// Folder with settings and logs.
    pub folder: PathBuf,
    /// Links from instances to the store and from clients to instances, by instance; empty without
    /// faults of links.
    pub links: Vec<[Link; 2]>,
    engines: Vec<Mutex<Slot>>,
    /// Addresses for engines; there are more of them than engines.
    addresses: Vec<SocketAddr>,
    /// Links in front of engines, by address; empty without faults of links.
    engine_links: Vec<Link>,
    /// Listeners that keep other soaks from the addresses.
    _guards: Vec<TcpListener>,
    /// Held while an engine gets another address.
    moving: Mutex<()>,
    next_engine: AtomicU64,
    /// First reports that engines drain, in seconds of Unix time.
    drained: Mutex<BTreeMap<String, f64>>,
    gateway: PathBuf,
    /// Limit on the descriptors of an instance, if there is one.
    descriptors: Option<u64>,
    framing: String,
    flaws: String,
    defect: Option<String>,
}

/// Locks a mutex; threads that panic leave processes as they are.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns addresses that no socket has, below the ports that the kernel hands out.
///
/// The listeners hold the first port of each block, so that no other soak uses the block: addresses
/// of processes that start again are free meanwhile.
fn reserve_addresses(count: usize) -> (Vec<TcpListener>, Vec<SocketAddr>) {
    let address = |port: u32| SocketAddr::from(([127, 0, 0, 1], port as u16));
    let (mut guards, mut addresses) = (Vec::new(), Vec::new());
    for block in 0..PORT_BLOCKS {
        let block = (std::process::id() + block) % PORT_BLOCKS;
        let first = FIRST_PORT + block * BLOCK_PORTS;
        if addresses.len() >= count {
            break;
        }
        let Ok(guard) = TcpListener::bind(address(first)) else {
            continue;
        };
        guards.push(guard);
        let block = (first + 1..first + BLOCK_PORTS).map(address);
        addresses.extend(block.filter(|address| TcpListener::bind(address).is_ok()));
    }
    addresses.truncate(count);
    (guards, addresses)
}

/// Sends a signal to a process.
fn signal(pid: u32, name: &str) {
    let status = Command::new("kill")
        .args(["-s", name, &pid.to_string()])
        .status();
    if !status.is_ok_and(|status| status.success()) {
        eprintln!("soak: {name} can't be sent to process {pid}");
    }
}

/// Returns the time since the Unix epoch.
pub fn unix_time() -> Duration {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default()
}

impl Deployment {
    /// Starts all processes, and waits until the instances are ready and know each other.
    ///
    /// With links, a proxy is in front of each engine, of each instance for its clients and of the
    /// store for each instance.
    pub fn start(flags: &Run, with_links: bool) -> anyhow::Result<Self> {
        let folder = env::temp_dir().join(format!("gypsumlever-soak-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let instances = flags.instances.unwrap_or(4);
        let engines = flags.engines.unwrap_or(8);
        let count = 7 * instances + 4 * engines;
        let (guards, mut addresses) = reserve_addresses(count);
        ensure!(addresses.len() == count, "too few ports are free");
        let store = store::start(store::Config::default())?;
        let mut links = Vec::new();
        let instances = (0..instances)
            .map(|number| {
                let own: Vec<_> = addresses.drain(..7).collect();
                if !with_links {
                    return Instance::new(number, &own, store.address(), &folder, flags);
                }
                let to_store = Link::new(own[5], store.address());
                let to_instance = Link::new(own[6], own[0]);
                to_store.open()?;
                to_instance.open()?;
                let mut instance = Instance::new(number, &own, own[5], &folder, flags)?;
                instance.callers = own[6];
                links.push([to_store, to_instance]);
                Ok(instance)
            })
            .collect::<anyhow::Result<Vec<_>>>()?;
        let targets = addresses.split_off(2 * engines);
        let engine_links = addresses.iter().zip(targets);
        let engine_links = engine_links.map(|(address, target)| Link::new(*address, target));
        let engine_links = engine_links.filter(|_| with_links).collect();
        let versions = flags.versions.unwrap_or(2).clamp(1, VERSIONS.len());
        let engines = (0..engines).map(|number| {
            Mutex::new(Slot {
                id: format!("i-{number}"),
                version: VERSIONS[number / SERVICES.len() % versions],
                address: addresses[number],
                draining: false,
                frozen: false,
                service: SERVICES[number % SERVICES.len()],
                child: None,
                born: 0,
                sequence: 0,
                reported: Instant::now(),
                gone: Vec::new(),
            })
        });
        let deployment = Self {
            engines: engines.collect(),
            store,
            instances,
            stopped: AtomicBool::new(false),
            folder,
            addresses,
            links,
            engine_links,
            _guards: guards,
            moving: Mutex::new(()),
            next_engine: AtomicU64::new(100),
            drained: Mutex::default(),
            gateway: flags.gateway.clone(),
            descriptors: flags.descriptors,
            framing: flags.framing.clone().unwrap_or_else(|| "mixed".to_owned()),
            flaws: flags.flaws.clone().unwrap_or_else(|| "none".to_owned()),
            defect: flags.defect.clone(),
        };
        deployment.configure(1);
        for number in 0..deployment.engines.len() {
            deployment.start_engine(number)?;
        }
        deployment.report_engines();
        for number in 0..deployment.instances.len() {
            deployment.start_instance(number)?;
        }
        for instance in &deployment.instances {
            let ready = instance.wait_ready();
            let found = instance.take_found();
            ensure!(ready, "{} is not ready: {found:?}", instance.name);
        }
        thread::sleep(SPREAD);
        Ok(deployment)
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    /// Returns an engine.
    pub fn engine(&self, number: usize) -> MutexGuard<'_, Slot> {
        lock(&self.engines[number])
    }

    /// Returns the link in front of an address of an engine.
    pub fn engine_link(&self, address: SocketAddr) -> Option<&Link> {
        let mut links = self.engine_links.iter();
        links.find(|link| link.address == address)
    }

    /// Kills an engine.
    pub fn kill_engine(&self, slot: &mut Slot) {
        match self.engine_link(slot.address) {
            Some(link) => link.end(|| slot.kill()),
            None => slot.kill(),
        }
    }

    /// Publishes a configuration, which is the same for all versions but for a timeout and routes
    /// without requests.
    pub fn configure(&self, version: u64) {
        let route = |service: &str, name: &str| {
            let prefix = format!("/{service}/{name}/");
            let kind = if name == "call" {
                "unsafe"
            } else {
                "streaming"
            };
            json!({
                "name": prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 8000 + version % 7 * 10, "targetLatencyMs": 500, "gapAimMs": 400,
                "priority": 0, "service": service, "maxAttempts": MAX_ENGINES,
                "resumable": name == "resumable",
            })
        };
        let names = ["resumable", "once", "call"];
        let mut routes: Vec<_> = SERVICES
            .iter()
            .flat_map(|service| names.map(|name| route(service, name)))
            .collect();
        routes.extend((0..version % 5).map(|number| route(&format!("idle-{number}"), "resumable")));
        let services = SERVICES.iter().map(
            |name| json!({ "name": name, "maxConns": 200, "engine": { "tokensPerEvent": 10 } }),
        );
        let mut services: Vec<_> = services.collect();
        services.extend((0..5).map(|number| json!({ "name": format!("idle-{number}") })));
        let config = json!({
            "version": version, "routes": routes, "services": services,
            "limits": { "maxBodyBytes": 100_000 },
        });
        self.store
            .put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Has the engines that run report to the store, as often as engines do, unless it is away.
    fn report_engines(&self) {
        let faults = self.store.faults();
        if faults.busy || faults.network.outage.is_some() {
            return;
        }
        for engine in &self.engines {
            let slot = &mut *lock(engine);
            let expired = |(_, last): &(String, Instant)| last.elapsed() > EXPIRY;
            for (id, _) in slot.gone.extract_if(.., |entry| expired(entry)) {
                if id != slot.id {
                    self.store.remove("keyed.servers", &id);
                }
            }
            if slot.child.is_some() && !slot.frozen {
                slot.report(&self.store);
                if slot.draining {
                    let mut drained = lock(&self.drained);
                    let first = drained.entry(slot.id.clone());
                    first.or_insert_with(|| unix_time().as_secs_f64());
                }
            } else if slot.reported.elapsed() > EXPIRY {
                self.store.remove("keyed.servers", &slot.id);
            }
        }
    }

    /// Reports engines until the deployment ends.
    pub fn report_until_stopped(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            self.report_engines();
            thread::sleep(HEARTBEAT);
        }
    }

    /// Checks the readiness of the instances each second until the deployment ends, as the balancer
    /// does.
    pub fn check_until_stopped(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            thread::scope(|scope| {
                for instance in &self.instances {
                    scope.spawn(|| match instance.is_ready() {
                        Ok(true) => instance.misses.store(0, Ordering::SeqCst),
                        _ => drop(instance.misses.fetch_add(1, Ordering::SeqCst)),
                    });
                }
            });
            thread::sleep(READINESS_INTERVAL);
        }
    }

    /// Returns the instances that get new connections: those in rotation, or all if these are fewer
    /// than half.
    pub fn rotation(&self) -> Vec<usize> {
        let all = 0..self.instances.len();
        let in_rotation = |number: &usize| {
            let misses = self.instances[*number].misses.load(Ordering::SeqCst);
            misses < MAX_MISSES
        };
        let rotation: Vec<_> = all.clone().filter(in_rotation).collect();
        match 2 * rotation.len() < all.len() {
            true => all.collect(),
            false => rotation,
        }
    }

    /// Returns the runs of all engines.
    pub fn runs(&self) -> anyhow::Result<Vec<runs::Run>> {
        let text = fs::read_to_string(self.folder.join(RUNS)).context("runs")?;
        let parse = |line| runs::Run::parse(line).with_context(|| format!("run {line}"));
        text.lines().map(parse).collect()
    }

    /// Returns when engines first reported that they drain, in seconds of Unix time.
    pub fn drained(&self) -> BTreeMap<String, f64> {
        lock(&self.drained).clone()
    }

    /// Returns an identifier that no engine had.
    pub fn new_id(&self) -> String {
        format!("i-{}", self.next_engine.fetch_add(1, Ordering::SeqCst))
    }

    /// Gives an engine an address that no engine has.
    pub fn move_engine(&self, number: usize, rng: &mut impl Rng) {
        // Two engines that move at once must not get the same one.
        let _guard = lock(&self.moving);
        let engines = self.engines.iter();
        let used: Vec<_> = engines.map(|engine| lock(engine).address).collect();
        let free = self.addresses.iter().filter(|one| !used.contains(one));
        let free: Vec<_> = free.collect();
        self.engine(number).address = *free[rng.random_range(0..free.len())];
    }

    /// Starts an engine process in its place.
    pub fn start_engine(&self, number: usize) -> anyhow::Result<()> {
        let mut slot = self.engine(number);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("engines.log"))?;
        // An engine that starts again has a later start.
        slot.born = (unix_time().as_millis() as u64).max(slot.born + 1);
        let link = self.engine_link(slot.address);
        let listen = link.map_or(slot.address, Link::target);
        let mut command = Command::new(env::current_exe()?);
        command
            .args(["engine", "--id", &slot.id, "--service", slot.service])
            .args(["--version", slot.version, "--framing", &self.framing])
            .args(["--address", &listen.to_string()])
            .args(["--flaws", &self.flaws])
            .arg("--runs")
            .arg(self.folder.join(RUNS))
            .args(["--born", &slot.born.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(defect) = &self.defect {
            command.args(["--defect", defect]);
        }
        let child = command.spawn().context("engine")?;
        let until = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(listen).is_err() {
            ensure!(Instant::now() < until, "an engine does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        if let Some(link) = link {
            link.open().context("link")?;
        }
        slot.child = Some(child);
        slot.sequence = 0;
        (slot.draining, slot.frozen) = (false, false);
        if self.store.faults() == store::Faults::default() {
            slot.report(&self.store);
        }
        Ok(())
    }

    /// Starts an instance.
    pub fn start_instance(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.instances[number];
        let mut command = match self.descriptors {
            Some(limit) => {
                let mut command = Command::new("prlimit");
                command.arg(format!("--nofile={limit}")).arg(&self.gateway);
                command
            }
            None => Command::new(&self.gateway),
        };
        command
            .arg("gateway")
            .env("GYPSUMLEVER_SETTINGS", &instance.settings);
        let process = Process::start(&mut command, &self.log(instance))?;
        *lock(&instance.process) = Some(process);
        Ok(())
    }

    /// Waits until the program of an instance that was started runs.
    pub fn wait_runs(&self, number: usize) {
        if let Some(process) = &*lock(&self.instances[number].process) {
            process.wait_runs(&self.gateway, RUNS_TIMEOUT);
        }
    }

    /// Returns the log of an instance.
    pub fn log(&self, instance: &Instance) -> PathBuf {
        self.folder.join(format!("{}.log", instance.name))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for engine in &self.engines {
            lock(engine).kill();
        }
        for instance in &self.instances {
            instance.kill();
        }
    }
}

impl Slot {
    fn report(&mut self, store: &Store) {
        self.sequence += 1;
        self.reported = Instant::now();
        let state = if self.draining { "draining" } else { "ready" };
        let entry = json!({
            "service": self.service, "address": self.address, "zone": "a",
            "version": self.version, "slots": SLOTS, "state": state, "coldLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        });
        store.put("keyed.servers", &self.id, entry.to_string().as_bytes());
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to end after its streams; it can be waited for.
    pub fn leave(&mut self) -> Option<Child> {
        let mut child = self.child.take()?;
        if let Some(mut input) = child.stdin.take() {
            // It may have ended already.
            let _ = input.write_all(b"leave\n");
        }
        Some(child)
    }

    /// Takes another identifier.
    pub fn rename(&mut self, id: String) {
        let old = std::mem::replace(&mut self.id, id);
        self.gone.push((old, self.reported));
    }
}

impl Instance {
    fn new(
        number: usize,
        addresses: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
        flags: &Run,
    ) -> anyhow::Result<Self> {
        let name = format!("entry-{number}");
        let first_zone = number.is_multiple_of(2);
        let mut settings = json!({
            "instance": name,
            "zone": if first_zone { "a" } else { "b" },
            "listen": { "callers": addresses[0], "ready": addresses[1], "metrics": addresses[2] },
            "peers": {
                "listen": addresses[3], "cluster": "soak", "secret": "soak",
                "tunnels": {
                    "ip": "127.0.0.1", "ports": [addresses[4].port(), addresses[4].port()],
                },
            },
            "store": { "address": store, "partitions": 12 },
            "grace_s": GRACE_S,
            "machine": { "memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS },
        });
        if !flags.no_first_start {
            settings["first_start"] = json!(true);
        }
        if flags.no_tunnels {
            if let Some(peers) = settings["peers"].as_object_mut() {
                peers.remove("tunnels");
            }
        }
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings.to_string())?;
        Ok(Self {
            name,
            callers: addresses[0],
            first_zone,
            misses: AtomicUsize::new(0),
            ready: addresses[1],
            settings: file,
            process: Mutex::new(None),
            found: Mutex::default(),
            listens: [addresses[0], addresses[2], addresses[3], addresses[4]],
        })
    }

    /// Waits until the readiness check passes or the process ended; returns whether it passed.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + START_TIMEOUT;
        while Instant::now() < until && self.runs() {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns whether the readiness check passes.
    pub fn is_ready(&self) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(self.ready)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /v1/readiness HTTP/1.1\r\nHost: h.example\r\n\r\n")?;
        Ok(Reader::new(stream).head()?.word(1) == "200")
    }

    /// Removes what states that the deployment starts for the first time.
    pub fn set_started(&self) -> std::io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, text.replace("\"first_start\":true,", ""))
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Returns an address that it listens on.
    pub fn any_address(&self, rng: &mut impl Rng) -> SocketAddr {
        match rng.random_range(0..=self.listens.len()) {
            0 => self.ready,
            number => self.listens[number - 1],
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(process) = &mut *lock(&self.process) {
            process.signal(signal);
        }
    }

    /// Returns whether the process runs; notes how it ended if it does not.
    pub fn runs(&self) -> bool {
        let mut process = lock(&self.process);
        let Some(ended) = process.as_mut().map(Process::ended) else {
            return false;
        };
        if let Some(found) = ended {
            *process = None;
            lock(&self.found).extend(found);
            return false;
        }
        true
    }

    /// Returns the memory of the process in KiB, 0 if there is none; notes if it exceeds the machine's.
    pub fn memory(&self) -> u64 {
        let mut process = lock(&self.process);
        let Some((used, found)) = process.as_mut().map(|one| one.memory(MEMORY_MB)) else {
            return 0;
        };
        lock(&self.found).extend(found);
        used
    }

    /// Describes the process, with the last lines of its log.
    pub fn describe(&self, state: &str) -> String {
        let process = lock(&self.process);
        let described = process.as_ref().map(|process| process.describe(state));
        described.unwrap_or_else(|| format!("no process {state}"))
    }

    /// Returns findings that are not yet noted.
    pub fn take_found(&self) -> Vec<Found> {
        std::mem::take(&mut *lock(&self.found))
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut process) = lock(&self.process).take() {
            lock(&self.found).extend(process.kill());
        }
    }

    /// Stops the process, and kills it after the grace as the platform does.
    pub fn stop(&self) {
        self.signal(Signal::SIGTERM);
        self.wait_stopped();
    }

    /// Waits until a process that got SIGTERM ends, and kills it after the grace.
    pub fn wait_stopped(&self) {
        let until = Instant::now() + Duration::from_secs(GRACE_S);
        while Instant::now() < until && self.runs() {
            thread::sleep(Duration::from_millis(20));
        }
        if let Some(mut process) = lock(&self.process).take() {
            lock(&self.found).extend(process.kill_late());
        }
    }
}
