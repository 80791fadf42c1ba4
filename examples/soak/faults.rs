//! Faults of a soak, and the operators that cause them.

use std::{
    fs,
    io::Write as _,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
        Mutex,
        PoisonError, //
    },
    thread::{
        self,
        Scope, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use anyhow::{
    anyhow,
    ensure, //
};
use nix::sys::signal::Signal;
use rand::{
    rngs::SmallRng,
    RngExt as _,
    SeedableRng as _, //
};
use socket2::{
    Domain,
    Socket,
    Type, //
};
use standin::{
    server::{
        Network,
        Outage, //
    },
    store,
};

use crate::{
    check::VERSIONS,
    deployment::{
        Deployment,
        START_TIMEOUT, //
    },
    link::{
        Link,
        Mode, //
    },
    process::{
        self,
        Wait, //
    },
    record::Record, //
};

/// Range of the pause of an operator between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

/// Latest time of a signal after the start of an instance, in milliseconds, and that of half of them.
const LATEST_SIGNAL_MS: u64 = 40;
const EARLY_SIGNAL_MS: u64 = 3;

/// Time after which an instance that ended by itself starts again, in milliseconds.
const RESTART_MS: u64 = 100;

/// Time between looks at the processes of instances, in milliseconds.
const WATCH_MS: u64 = 50;

/// A kind of fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An engine is killed, and starts again with the same software version.
    EngineKill,
    /// An engine is killed, and starts again at once under its identifier and address.
    EngineRestart,
    /// An engine is killed, and starts again with another software version.
    EngineVersion,
    /// An engine is stopped for a while.
    EngineStop,
    /// An engine drains and leaves; another one starts.
    EngineLeave,
    /// An engine drains and leaves; another one starts with the next software version.
    EngineRelease,
    /// An instance is killed, and starts again.
    InstanceKill,
    /// An instance gets SIGTERM, and starts again.
    InstanceTerm,
    /// An instance is paused.
    InstancePause,
    /// The settings of an instance are replaced, with signals, also right after its start.
    InstanceHup,
    /// An instance starts again while another socket holds one of its addresses.
    InstancePort,
    /// An instance starts again while its settings are absent or incomplete.
    InstanceSettings,
    /// An instance ends and starts several times, with signals at any instant.
    InstanceChurn,
    /// All instances are killed or get SIGTERM at once, and start again.
    InstanceAll,
    /// The store is away, refuses or is slow.
    Store,
    /// Versions of the configuration follow each other quickly.
    Configuration,
    /// Connections are reset, and new ones too for a while.
    LinkReset,
    /// Connections are silent, one way or both ways, and go on or are reset afterwards.
    LinkSilent,
    /// Connections pass a few KiB per second.
    LinkSlow,
    /// Connections pass bytes later.
    LinkDelay,
}

/// Kinds of faults, with the names that the command line has for them.
const FAULTS: [(&str, Fault); 20] = [
    ("engine-kill", Fault::EngineKill),
    ("engine-restart", Fault::EngineRestart),
    ("engine-version", Fault::EngineVersion),
    ("engine-stop", Fault::EngineStop),
    ("engine-leave", Fault::EngineLeave),
    ("engine-release", Fault::EngineRelease),
    ("instance-kill", Fault::InstanceKill),
    ("instance-term", Fault::InstanceTerm),
    ("instance-pause", Fault::InstancePause),
    ("instance-hup", Fault::InstanceHup),
    ("instance-port", Fault::InstancePort),
    ("instance-settings", Fault::InstanceSettings),
    ("instance-churn", Fault::InstanceChurn),
    ("instance-all", Fault::InstanceAll),
    ("store", Fault::Store),
    ("configuration", Fault::Configuration),
    ("link-reset", Fault::LinkReset),
    ("link-silent", Fault::LinkSilent),
    ("link-slow", Fault::LinkSlow),
    ("link-delay", Fault::LinkDelay),
];

/// Faults of links.
const LINK_FAULTS: [Fault; 4] = [
    Fault::LinkReset,
    Fault::LinkSilent,
    Fault::LinkSlow,
    Fault::LinkDelay,
];

/// Returns whether some of the faults disturb links.
pub fn use_links(faults: &[Fault]) -> bool {
    faults.iter().any(|fault| LINK_FAULTS.contains(fault))
}

/// Returns the faults of a list with commas; all of them for `all`, and none for `none`.
pub fn parse(list: &str) -> anyhow::Result<Vec<Fault>> {
    match list {
        "all" => return Ok(FAULTS.iter().map(|(_, fault)| *fault).collect()),
        "none" => return Ok(Vec::new()),
        _ => {}
    }
    let faults = list.split(',').map(|name| {
        let found = FAULTS.iter().find(|(known, _)| *known == name);
        let (_, fault) = found.ok_or_else(|| anyhow!("unknown fault {name}"))?;
        Ok(*fault)
    });
    faults.collect()
}

/// What operators share.
pub struct Operators<'a> {
    deployment: &'a Deployment,
    record: &'a Record,
    faults: Vec<Fault>,
    /// Held during a fault of the engine.
    engines: Vec<Mutex<()>>,
    /// Held during a fault of the instance.
    instances: Vec<Mutex<()>>,
    /// Held during a fault of the store.
    store: Mutex<()>,
    /// Faults of links that last.
    links: AtomicUsize,
    configuration: AtomicU64,
    /// Whether all faults have ended.
    pub ended: AtomicBool,
}

impl<'a> Operators<'a> {
    /// Returns operators that cause faults of these kinds.
    pub fn new(deployment: &'a Deployment, record: &'a Record, faults: Vec<Fault>) -> Self {
        let guards = |count| (0..count).map(|_| Mutex::new(())).collect();
        Self {
            deployment,
            record,
            faults,
            engines: guards(deployment.engine_count()),
            instances: guards(deployment.instances.len()),
            store: Mutex::new(()),
            links: AtomicUsize::new(0),
            configuration: AtomicU64::new(1),
            ended: AtomicBool::new(false),
        }
    }

    /// Causes one fault after the other until the deployment ends.
    pub fn run(&self, seed: u64) -> anyhow::Result<()> {
        let mut rng = SmallRng::seed_from_u64(seed);
        while !self.deployment.stopped.load(Ordering::SeqCst) && !self.faults.is_empty() {
            pause(rng.random_range(PAUSE_MS));
            let fault = self.faults[rng.random_range(0..self.faults.len())];
            self.cause(fault, &mut rng)?;
        }
        Ok(())
    }

    fn note(&self, text: impl Into<String>) {
        self.record.fault(text.into());
    }

    fn cause(&self, fault: Fault, rng: &mut SmallRng) -> anyhow::Result<()> {
        match fault {
            Fault::EngineKill
            | Fault::EngineRestart
            | Fault::EngineVersion
            | Fault::EngineStop
            | Fault::EngineLeave
            | Fault::EngineRelease => {
                let number = rng.random_range(0..self.engines.len());
                let Ok(_guard) = self.engines[number].try_lock() else {
                    return Ok(());
                };
                match fault {
                    Fault::EngineStop => self.stop_engine(number, rng),
                    Fault::EngineLeave | Fault::EngineRelease => {
                        return self.leave(number, fault, rng);
                    }
                    _ => return self.kill_engine(number, fault, rng),
                }
            }
            Fault::InstanceKill
            | Fault::InstanceTerm
            | Fault::InstancePause
            | Fault::InstanceHup
            | Fault::InstancePort
            | Fault::InstanceSettings
            | Fault::InstanceChurn => {
                let number = rng.random_range(0..self.instances.len());
                let Ok(_guard) = self.instances[number].try_lock() else {
                    return Ok(());
                };
                return self.disturb_instance(number, fault, rng);
            }
            Fault::InstanceAll => return self.restart_all(rng),
            Fault::Store => self.disturb_store(rng),
            Fault::Configuration => {
                for _ in 0..rng.random_range(3..9) {
                    let version = self.configuration.fetch_add(1, Ordering::SeqCst) + 1;
                    self.note(format!("configuration {version}"));
                    self.deployment.configure(version);
                    pause(rng.random_range(20..150));
                }
            }
            Fault::LinkReset | Fault::LinkSilent | Fault::LinkSlow | Fault::LinkDelay => {
                self.disturb_links(fault, rng);
            }
        }
        Ok(())
    }

    fn kill_engine(&self, number: usize, fault: Fault, rng: &mut SmallRng) -> anyhow::Result<()> {
        let id = {
            let mut slot = self.deployment.engine(number);
            self.note(format!("engine {} killed", slot.id));
            self.deployment.kill_engine(&mut slot);
            slot.id.clone()
        };
        if fault == Fault::EngineRestart {
            return self.start_engine(number, &id);
        }
        pause(match rng.random_bool(0.5) {
            true => rng.random_range(0..100),
            false => rng.random_range(100..2_500),
        });
        if rng.random_bool(0.5) {
            self.deployment.move_engine(number, rng);
        }
        {
            let mut slot = self.deployment.engine(number);
            if rng.random_bool(0.5) {
                slot.rename(self.deployment.new_id());
            }
            if fault == Fault::EngineVersion {
                let known = VERSIONS.iter().position(|one| *one == slot.version);
                let next = known.unwrap_or(0) + rng.random_range(1..VERSIONS.len());
                slot.version = VERSIONS[next % VERSIONS.len()];
            }
        }
        self.start_engine(number, &id)
    }

    fn start_engine(&self, number: usize, before: &str) -> anyhow::Result<()> {
        self.deployment.start_engine(number)?;
        let slot = self.deployment.engine(number);
        let (id, version, address) = (&slot.id, slot.version, slot.address);
        self.note(format!(
            "engine {id} of {version} started at {address} after {before}"
        ));
        Ok(())
    }

    fn stop_engine(&self, number: usize, rng: &mut SmallRng) {
        let id = {
            let mut slot = self.deployment.engine(number);
            self.note(format!("engine {} stopped", slot.id));
            slot.frozen = true;
            slot.signal("STOP");
            slot.id.clone()
        };
        pause(rng.random_range(500..4_000));
        let mut slot = self.deployment.engine(number);
        slot.signal("CONT");
        slot.frozen = false;
        self.note(format!("engine {id} continued"));
    }

    fn leave(&self, number: usize, fault: Fault, rng: &mut SmallRng) -> anyhow::Result<()> {
        {
            let mut slot = self.deployment.engine(number);
            // Some engines leave without a report; only their entries go.
            match rng.random_bool(0.3) {
                true => slot.frozen = true,
                false => slot.draining = true,
            }
            let reports = if slot.draining {
                "drains"
            } else {
                "reports no more"
            };
            self.note(format!("engine {} {reports}", slot.id));
        }
        pause(rng.random_range(500..4_500));
        let (id, child) = {
            let mut slot = self.deployment.engine(number);
            (slot.id.clone(), slot.leave())
        };
        if let Some(mut child) = child {
            child.wait()?;
        }
        if let Some(link) = self
            .deployment
            .engine_link(self.deployment.engine(number).address)
        {
            link.close();
        }
        self.note(format!("engine {id} left"));
        let new = self.deployment.new_id();
        {
            let mut slot = self.deployment.engine(number);
            slot.rename(new);
            if fault == Fault::EngineRelease {
                let known = VERSIONS.iter().position(|one| *one == slot.version);
                slot.version = VERSIONS[(known.unwrap_or(0) + 1) % VERSIONS.len()];
            }
        }
        self.start_engine(number, &id)
    }

    fn disturb_instance(
        &self,
        number: usize,
        fault: Fault,
        rng: &mut SmallRng,
    ) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        let name = &instance.name;
        match fault {
            Fault::InstancePause => {
                self.note(format!("{name} paused"));
                instance.signal(Signal::SIGSTOP);
                pause(rng.random_range(900..2_900));
                instance.signal(Signal::SIGCONT);
                self.note(format!("{name} continued"));
                return Ok(());
            }
            Fault::InstanceHup => return self.replace_settings(number, rng),
            Fault::InstanceChurn => return self.churn(number, rng),
            Fault::InstanceTerm => self.end(number, true),
            Fault::InstanceKill => self.end(number, false),
            _ => self.end(number, rng.random_bool(0.5)),
        }
        pause(rng.random_range(50..800));
        match fault {
            Fault::InstancePort => self.start_without_port(number, rng),
            Fault::InstanceSettings => self.start_without_settings(number, rng),
            _ => self.restart(number),
        }
    }

    fn end(&self, number: usize, by_term: bool) {
        let instance = &self.deployment.instances[number];
        let how = if by_term { "gets SIGTERM" } else { "killed" };
        self.note(format!("{} {how}", instance.name));
        match by_term {
            true => instance.stop(),
            false => instance.kill(),
        }
    }

    fn start(&self, number: usize) -> anyhow::Result<()> {
        self.note(format!("{} starts", self.deployment.instances[number].name));
        self.record.count("starts of instances");
        self.deployment.start_instance(number)
    }

    fn restart(&self, number: usize) -> anyhow::Result<()> {
        self.start(number)?;
        self.wait_ready(number)
    }

    fn wait_ready(&self, number: usize) -> anyhow::Result<()> {
        // It needs the store, which may be away.
        let _store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        self.wait_ready_with_store(number)
    }

    /// Waits until an instance is ready, and starts it again if it ends by itself; the store is sound.
    fn wait_ready_with_store(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        let until = Instant::now() + START_TIMEOUT;
        let mut wait = Wait::new(Instant::now());
        while !instance.is_ready().unwrap_or(false) {
            ensure!(Instant::now() < until, "{} is not ready", instance.name);
            let sound = self.links.load(Ordering::SeqCst) == 0;
            if let Err(kind) = wait.check(Instant::now(), sound) {
                let found = (kind, instance.describe("is not ready"));
                self.record.process(&instance.name, found);
            }
            if !instance.runs() {
                pause(RESTART_MS);
                self.start(number)?;
                wait = Wait::new(Instant::now());
            }
            pause(20);
        }
        self.note(format!("{} is ready", instance.name));
        Ok(())
    }

    /// Sends a signal to an instance.
    fn signal(&self, number: usize, signal: Signal) {
        let instance = &self.deployment.instances[number];
        self.note(format!("{} gets {signal}", instance.name));
        self.record.count("signals to instances");
        instance.signal(signal);
    }

    /// Writes the settings of an instance, by rename or in place in parts.
    fn write_settings(&self, number: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let path = self.deployment.instances[number].settings();
        let text = fs::read_to_string(path)?;
        let padding = " ".repeat(rng.random_range(0..200));
        let text = format!("{}{padding}", text.trim_end());
        if rng.random_bool(0.4) {
            let new = path.with_extension("new");
            fs::write(&new, text)?;
            return Ok(fs::rename(new, path)?);
        }
        let mut file = fs::File::create(path)?;
        let middle = rng.random_range(0..text.len());
        for part in [&text[..middle], &text[middle..]] {
            pause(rng.random_range(0..20));
            file.write_all(part.as_bytes())?;
        }
        Ok(())
    }

    /// Replaces the settings of an instance that runs, or that starts, with a series of signals.
    fn replace_settings(&self, number: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let starts = rng.random_bool(0.6);
        let name = &self.deployment.instances[number].name;
        if starts {
            self.end(number, rng.random_bool(0.5));
            pause(rng.random_range(0..300));
            self.start(number)?;
            self.deployment.wait_runs(number);
            pause(signal_ms(rng));
        }
        for _ in 0..rng.random_range(1..=8) {
            if rng.random_bool(0.5) {
                self.note(format!("{name} gets other settings"));
                self.write_settings(number, rng)?;
            }
            let signal = match rng.random_range(0..10) {
                0 => Signal::SIGUSR1,
                1 => Signal::SIGUSR2,
                _ => Signal::SIGHUP,
            };
            self.signal(number, signal);
            pause(match rng.random_bool(0.5) {
                true => rng.random_range(0..10),
                false => rng.random_range(10..200),
            });
        }
        match starts {
            true => self.wait_ready(number),
            false => Ok(()),
        }
    }

    /// Starts an instance while a listener, or a connection from one of its ports, holds an address.
    fn start_without_port(&self, number: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        let address = instance.any_address(rng);
        let held = Duration::from_millis(rng.random_range(50..800));
        let connects = rng.random_bool(0.3);
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(!connects)?;
        // Else the connection holds the address for a minute after its end.
        socket.set_linger(Some(Duration::ZERO))?;
        let opened = socket.bind(&address.into()).and_then(|()| match connects {
            true => socket.connect(&self.deployment.store.address().into()),
            false => socket.listen(128),
        });
        let how = if connects {
            "a connection"
        } else {
            "a listener"
        };
        match &opened {
            Ok(()) => self.note(format!(
                "{}: {how} holds {address} for {held:?}",
                instance.name
            )),
            Err(error) => self.note(format!(
                "{}: {how} can't hold {address}: {error}",
                instance.name
            )),
        }
        self.record.count(match opened {
            Ok(()) => "addresses held",
            Err(_) => "addresses that could not be held",
        });
        self.start(number)?;
        thread::sleep(held);
        drop(socket);
        self.note(format!("{}: {address} is free", instance.name));
        self.wait_ready(number)
    }

    /// Starts an instance while its settings are absent or incomplete, and completes them.
    fn start_without_settings(&self, number: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        let (name, path) = (&instance.name, instance.settings());
        let text = fs::read_to_string(path)?;
        let length = rng.random_range(0..text.len());
        let absent = rng.random_bool(0.4);
        match absent {
            true => fs::remove_file(path)?,
            false => fs::write(path, &text[..length])?,
        }
        self.note(format!(
            "{name}: settings have {length} bytes, absent: {absent}"
        ));
        let began = Instant::now();
        let started = self.start(number);
        pause(rng.random_range(10..700));
        // The time without a change stays short.
        if (absent || length > 1) && rng.random_bool(0.5) {
            fs::write(path, &text[..length / 2])?;
            pause(rng.random_range(10..300));
        }
        fs::write(path, &text)?;
        let ms = began.elapsed().as_millis();
        self.note(format!("{name}: settings are complete after {ms} ms"));
        started?;
        self.wait_ready(number)
    }

    /// Ends and starts an instance several times in a row.
    fn churn(&self, number: usize, rng: &mut SmallRng) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        for _ in 0..rng.random_range(2..6) {
            match rng.random_bool(0.5) {
                true => self.end(number, false),
                false => {
                    self.signal(number, Signal::SIGTERM);
                    for _ in 0..rng.random_range(0..3) {
                        pause(rng.random_range(0..400));
                        let again = [Signal::SIGTERM, Signal::SIGHUP, Signal::SIGUSR1];
                        self.signal(number, again[rng.random_range(0..again.len())]);
                    }
                    instance.wait_stopped();
                }
            }
            pause(rng.random_range(0..100));
            self.start(number)?;
            self.deployment.wait_runs(number);
            for _ in 0..rng.random_range(0..4) {
                pause(signal_ms(rng));
                let signals = [Signal::SIGHUP, Signal::SIGUSR1, Signal::SIGUSR2];
                self.signal(number, signals[rng.random_range(0..signals.len())]);
            }
            pause(match rng.random_bool(0.5) {
                true => rng.random_range(0..60),
                false => rng.random_range(60..1_500),
            });
        }
        self.wait_ready(number)
    }

    /// Notes how instances end and what they hold until all faults have ended; starts those again that no
    /// fault has ended.
    pub fn watch<'scope>(&'scope self, scope: &'scope Scope<'scope, '_>) {
        let instances = &self.deployment.instances;
        while !self.ended.load(Ordering::SeqCst) {
            for (number, instance) in instances.iter().enumerate() {
                let runs = instance.runs();
                self.record
                    .highest("KiB of an instance at most", instance.memory());
                self.take_found(number);
                if runs {
                    continue;
                }
                if self.instances[number].try_lock().is_ok() {
                    scope.spawn(move || self.start_again(number));
                }
            }
            pause(WATCH_MS);
        }
    }

    /// Starts an instance that ended by itself, unless a fault of it begins.
    fn start_again(&self, number: usize) {
        let Ok(_guard) = self.instances[number].try_lock() else {
            return;
        };
        if !self.deployment.instances[number].runs() {
            pause(RESTART_MS);
            // A start that fails has a finding.
            let _ = self.restart(number);
        }
    }

    fn take_found(&self, number: usize) {
        let instance = &self.deployment.instances[number];
        for found in instance.take_found() {
            self.note(format!("{}: {:?}", instance.name, found.0));
            self.record.process(&instance.name, found);
        }
    }

    /// Stops all instances, and notes how they end.
    pub fn stop_all(&self) {
        let instances = &self.deployment.instances;
        // What ended already has a finding of its own.
        thread::scope(|scope| {
            for instance in instances {
                scope.spawn(|| instance.stop());
            }
        });
        (0..instances.len()).for_each(|number| self.take_found(number));
    }

    /// Notes panics that the logs of instances have.
    pub fn find_panics(&self) -> anyhow::Result<()> {
        for instance in &self.deployment.instances {
            let log = fs::read(self.deployment.log(instance))?;
            for found in process::panics(&String::from_utf8_lossy(&log)) {
                self.record.process(&instance.name, found);
            }
        }
        Ok(())
    }

    fn restart_all(&self, rng: &mut SmallRng) -> anyhow::Result<()> {
        let guards = self.instances.iter();
        let guards = guards.map(|guard| guard.lock().unwrap_or_else(PoisonError::into_inner));
        let _guards: Vec<_> = guards.collect();
        let term = rng.random_bool(0.5);
        self.note(format!("all instances end, by SIGTERM: {term}"));
        thread::scope(|scope| {
            for instance in &self.deployment.instances {
                scope.spawn(move || match term {
                    true => instance.stop(),
                    false => instance.kill(),
                });
            }
        });
        pause(rng.random_range(50..500));
        for number in 0..self.instances.len() {
            self.start(number)?;
        }
        let _store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        for number in 0..self.instances.len() {
            self.wait_ready_with_store(number)?;
        }
        self.note("all instances are ready");
        Ok(())
    }

    /// Disturbs the link of an engine, of all engines of a service, between an instance and the
    /// store or its clients, or between all instances of a zone and the store.
    fn disturb_links(&self, fault: Fault, rng: &mut SmallRng) {
        let deployment = self.deployment;
        let (engines, instances) = (self.engines.len(), self.instances.len());
        let (engine, instance) = (rng.random_range(0..engines), rng.random_range(0..instances));
        let first_zone = rng.random_bool(0.5);
        let engine_link = |number| deployment.engine_link(deployment.engine(number).address);
        let store_links = || deployment.links.iter().map(|[to_store, _]| to_store);
        let (name, links): (String, Vec<&Link>) = match rng.random_range(0..6) {
            0 | 1 => (
                format!("engine {engine}"),
                engine_link(engine).into_iter().collect(),
            ),
            2 => {
                let same = (0..engines).filter(|number| number % 2 == engine % 2);
                (
                    "engines of a service".into(),
                    same.filter_map(engine_link).collect(),
                )
            }
            3 => {
                let name = format!("entry-{instance} to the store");
                (name, store_links().skip(instance).take(1).collect())
            }
            4 => {
                let name = format!("clients to entry-{instance}");
                let [_, to_instance] = &deployment.links[instance];
                (name, vec![to_instance])
            }
            _ => {
                let zone = deployment.instances.iter().zip(store_links());
                let zone = zone.filter(|(instance, _)| instance.first_zone == first_zone);
                (
                    "a zone to the store".into(),
                    zone.map(|(_, link)| link).collect(),
                )
            }
        };
        let mode = match fault {
            Fault::LinkSilent => {
                let way = rng.random_range(0..3);
                Mode::Silent {
                    up: way != 1,
                    down: way != 2,
                }
            }
            Fault::LinkSlow => Mode::Slow(rng.random_range(1..16) << 10),
            Fault::LinkDelay => Mode::Delay(Duration::from_millis(rng.random_range(20..400))),
            _ if rng.random_bool(0.5) => Mode::Refuse,
            _ => Mode::Open,
        };
        let reset_after = fault == Fault::LinkSilent && rng.random_bool(0.4);
        let reset_before = fault == Fault::LinkReset;
        self.note(format!(
            "link of {name}: {mode:?}, reset first: {reset_before}"
        ));
        self.links.fetch_add(1, Ordering::SeqCst);
        for link in &links {
            link.set_mode(mode);
            if reset_before {
                link.reset();
            }
        }
        pause(rng.random_range(200..3_500));
        for link in &links {
            if reset_after {
                link.reset();
            }
            link.set_mode(Mode::Open);
        }
        self.links.fetch_sub(1, Ordering::SeqCst);
        self.note(format!("link of {name} is open, reset: {reset_after}"));
    }

    fn disturb_store(&self, rng: &mut SmallRng) {
        let Ok(_guard) = self.store.try_lock() else {
            return;
        };
        let mut faults = store::Faults::default();
        match rng.random_range(0..4) {
            0 => faults.network.outage = Some(Outage::Refuse),
            1 => faults.network.outage = Some(Outage::Silent),
            2 => faults.busy = true,
            _ => {
                faults.network = Network {
                    latency_ms: rng.random_range(100..800),
                    ..Network::default()
                }
            }
        }
        self.note(format!("store: {faults:?}"));
        self.deployment.store.set_faults(faults);
        pause(rng.random_range(500..4_000));
        self.deployment.store.set_faults(store::Faults::default());
        self.note("store is back");
    }
}

/// Returns the time before a signal to an instance that starts.
fn signal_ms(rng: &mut SmallRng) -> u64 {
    match rng.random_bool(0.5) {
        true => rng.random_range(0..=EARLY_SIGNAL_MS),
        false => rng.random_range(0..=LATEST_SIGNAL_MS),
    }
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
