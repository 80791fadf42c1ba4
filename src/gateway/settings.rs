//! Settings of a gateway instance.

use std::{
    fmt,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::Path, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::balance;
use crate::{
    config,
    name::{
        Instance,
        Zone, //
    },
};

/// Maximum grace period, in seconds; a larger value is most likely in another unit.
const MAX_GRACE_S: f64 = 3_600.0;

/// Maximum capacity, in cores; a larger value is most likely in another unit.
const MAX_CORES: f64 = 1_024.0;

/// Minimum memory of a machine, in MiB; a smaller value is most likely in another unit.
const MIN_MEMORY_MB: usize = 32;

/// Maximum memory of a machine, in MiB; a larger value is most likely in another unit.
const MAX_MEMORY_MB: usize = 1 << 20;

/// Minimum descriptors of a process; with fewer, connections to the store, upstreams and other instances
/// leave none for callers.
const MIN_DESCRIPTORS: usize = 256;

/// Minimum read rate of the store in MB/s; a smaller value is most likely in another unit.
const MIN_READ_RATE: f64 = 0.1;

/// Maximum read rate of the store in MB/s; a larger value is most likely in another unit.
const MAX_READ_RATE: f64 = 100_000.0;

/// Settings, as written in the file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance, unique in the deployment.
    pub instance: Instance,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Links to other instances.
    pub peers: Peers,
    /// The platform's store.
    pub store: Store,
    /// Parameters of the choice of upstreams.
    #[serde(default)]
    pub balance: balance::Settings,
    /// Memory for kept turns.
    #[serde(default)]
    pub history: History,
    /// Whether the deployment starts for the first time. Otherwise an instance that starts does not
    /// know what the instances before it held.
    #[serde(default)]
    pub first_start: bool,
    /// Share of a core that this instance may use, in cores; larger instances do more of the work
    /// that instances do for each other. 0 if unknown.
    #[serde(default)]
    pub cores: f64,
    /// Limits of the machine on this process.
    #[serde(default)]
    pub machine: Machine,
    /// Time between SIGTERM and SIGKILL by the platform, in seconds.
    pub grace_s: f64,
    /// Logs.
    #[serde(default)]
    pub logs: config::Logs,
}

/// Memory for kept turns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct History {
    /// Maximum memory for turns of own callers, in MiB.
    pub cache_mb: usize,
    /// Maximum memory for turns of the partitions that this instance owns, in MiB.
    pub owner_mb: usize,
}

impl Default for History {
    fn default() -> Self {
        Self {
            cache_mb: 8,
            owner_mb: 32,
        }
    }
}

/// Limits of the machine on this process, which ends if it exceeds the memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// Maximum open descriptors.
    pub descriptors: usize,
}

impl Default for Machine {
    fn default() -> Self {
        Self {
            memory_mb: 512,
            descriptors: 8_192,
        }
    }
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks of the balancer.
    pub ready: SocketAddr,
    /// For scrapes of metrics.
    pub metrics: SocketAddr,
}

/// Links to other instances.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address to listen on, at which other instances reach this one.
    pub listen: SocketAddr,
    /// Where other instances connect to upstreams through this one; it carries no tunnels without.
    #[serde(default)]
    pub tunnels: Option<Tunnels>,
    /// Name of the deployment; links to other deployments are refused.
    pub cluster: String,
    /// Secret that all instances share.
    pub secret: String,
}

/// Where to listen for tunnels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tunnels {
    /// Address to listen on.
    pub ip: IpAddr,
    /// First and last port of a range, not in descending order; the first free one is used.
    pub ports: [u16; 2],
}

/// The platform's store.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Number of partitions of each topic.
    pub partitions: u32,
    /// Rate that all reads of all instances share, in MB/s; from the platform.
    #[serde(default = "default_read_rate")]
    pub read_mb_per_s: f64,
}

fn default_read_rate() -> f64 {
    80.0
}

/// Reason why settings can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Settings {
    /// Reads and validates a file; a fault names the file, and the line and field where known.
    pub fn load(path: &Path) -> Result<Self, Fault> {
        Self::parse(path, std::fs::read_to_string(path))
    }

    /// Validates what was read from a file; a fault names the file, and the line and field where known.
    pub fn parse(path: &Path, text: std::io::Result<String>) -> Result<Self, Fault> {
        let text = text.map_err(|error| Fault(format!("{}: {error}", path.display())))?;
        Self::try_from(text.as_str())
            .map_err(|fault| Fault(format!("{}: {}", path.display(), fault.0)))
    }
}

impl TryFrom<&str> for Settings {
    type Error = Fault;

    fn try_from(text: &str) -> Result<Self, Fault> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|error| Fault(error.to_string()))?;
        if !(0.0..=MAX_GRACE_S).contains(&settings.grace_s) {
            return Err(Fault(format!("grace_s: must be 0 to {MAX_GRACE_S}")));
        }
        if !(0.0..=MAX_CORES).contains(&settings.cores) {
            return Err(Fault(format!("cores: must be 0 to {MAX_CORES}")));
        }
        if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&settings.machine.memory_mb) {
            return Err(Fault(format!(
                "machine.memory_mb: must be {MIN_MEMORY_MB} to {MAX_MEMORY_MB}"
            )));
        }
        if settings.machine.descriptors < MIN_DESCRIPTORS {
            return Err(Fault(format!(
                "machine.descriptors: must be at least {MIN_DESCRIPTORS}"
            )));
        }
        let descending = |tunnels: Tunnels| tunnels.ports[0] > tunnels.ports[1];
        if settings.peers.tunnels.is_some_and(descending) {
            return Err(Fault(
                "peers.tunnels.ports: the first port must not be above the last one".into(),
            ));
        }
        if settings.store.partitions == 0 {
            return Err(Fault("store.partitions: must be at least 1".into()));
        }
        if !(MIN_READ_RATE..=MAX_READ_RATE).contains(&settings.store.read_mb_per_s) {
            return Err(Fault(format!(
                "store.read_mb_per_s: must be {MIN_READ_RATE} to {MAX_READ_RATE}"
            )));
        }
        Ok(settings)
    }
}
