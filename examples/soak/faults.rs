//! Faults of a soak, and the operators that cause them.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Mutex,
        PoisonError, //
    },
    thread,
    time::Duration,
};

use anyhow::{
    anyhow,
    ensure, //
};
use rand::{
    rngs::SmallRng,
    RngExt as _,
    SeedableRng as _, //
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
    deployment::Deployment,
    link::{
        Link,
        Mode, //
    },
    record::Record, //
};

/// Range of the pause of an operator between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..900;

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
const FAULTS: [(&str, Fault); 16] = [
    ("engine-kill", Fault::EngineKill),
    ("engine-restart", Fault::EngineRestart),
    ("engine-version", Fault::EngineVersion),
    ("engine-stop", Fault::EngineStop),
    ("engine-leave", Fault::EngineLeave),
    ("engine-release", Fault::EngineRelease),
    ("instance-kill", Fault::InstanceKill),
    ("instance-term", Fault::InstanceTerm),
    ("instance-pause", Fault::InstancePause),
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
    configuration: AtomicU64,
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
            configuration: AtomicU64::new(1),
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
            Fault::InstanceKill | Fault::InstanceTerm | Fault::InstancePause => {
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
                instance.signal("STOP");
                pause(rng.random_range(900..2_900));
                instance.signal("CONT");
                self.note(format!("{name} continued"));
                return Ok(());
            }
            Fault::InstanceTerm => {
                self.note(format!("{name} gets SIGTERM"));
                instance.stop();
            }
            _ => {
                self.note(format!("{name} killed"));
                instance.kill();
            }
        }
        pause(rng.random_range(50..800));
        self.restart(number)
    }

    fn restart(&self, number: usize) -> anyhow::Result<()> {
        let instance = &self.deployment.instances[number];
        self.note(format!("{} starts", instance.name));
        self.deployment.start_instance(number)?;
        // It needs the store, which may be away.
        let _store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        ensure!(instance.wait_ready(), "{} is not ready", instance.name);
        self.note(format!("{} is ready", instance.name));
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
            self.deployment.start_instance(number)?;
        }
        let _store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        for instance in &self.deployment.instances {
            ensure!(instance.wait_ready(), "{} is not ready", instance.name);
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

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
