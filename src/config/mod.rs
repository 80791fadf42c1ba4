//! Settings of the daemon.
//!
//! [`raw::Raw`] holds the settings as read from the file; [`Config`] has passed all checks.

pub mod check;
pub mod location;
pub mod raw;

use std::{
    env,
    fmt,
    fs,
    io,
    path::Path, //
};

use thiserror::Error;

use crate::{
    name::{
        Instance,
        Zone, //
    },
    upstream,
};

pub use raw::{
    Adapter,
    Format,
    Kind,
    Level,
    Limits,
    List,
    Listen,
    Log,
    Logs,
    Memory,
    Model,
    Operation,
    Pool,
    Prices,
    Timings,
    Upstream,
    Weights, //
};

/// A secret, which its `Debug` output hides.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Links to other instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Peers {
    /// Secret that every instance of the cluster presents.
    pub secret: Secret,
}

/// Checked settings of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the cluster; connections from instances of other clusters are refused.
    pub cluster: String,
    /// Name of the instance; as the author of log records it gets a suffix that is new at each
    /// start.
    pub instance: Instance,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// All availability zones of the cluster.
    pub zones: Vec<Zone>,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// Links to other instances.
    pub peers: Peers,
    /// The platform's log.
    pub log: Log,
    /// The platform's list of instances.
    pub list: List,
    /// Pools of upstreams.
    pub pools: Vec<Pool>,
    /// Store of model weights, if this deployment has one.
    pub weights: Option<Weights>,
    /// Intervals and time limits.
    pub timings: Timings,
    /// Memory limits.
    pub memory: Memory,
    /// Logging of the daemon.
    pub logs: Logs,
}

/// An invalid or missing setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the setting, for example `pools[0].upstreams[1].address`; empty for the whole file.
    pub path: String,
    /// Line in the file, from 1; 0 if unknown.
    pub line: u64,
    /// Description of the fault, with the values that are valid.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

/// All faults of one file.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// The faults; at least one.
    pub list: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(f, "{separator}{}:{fault}", self.file)?;
        }
        Ok(())
    }
}

impl TryFrom<raw::Raw> for Config {
    type Error = Vec<Fault>;

    /// Validates settings and reads their secrets from the environment.
    fn try_from(raw: raw::Raw) -> Result<Self, Vec<Fault>> {
        check::check(raw, |name| env::var(name).ok())
    }
}

impl Config {
    /// Reads and validates a file, and reads its secrets from the environment.
    pub fn load(path: &Path) -> Result<Self, Faults> {
        Self::parse_read(path, fs::read_to_string(path))
    }

    /// Reads and validates a file without its secrets, for use on a machine that lacks them.
    pub fn check(path: &Path) -> Result<Self, Faults> {
        Self::open(path, fs::read_to_string(path), |_| {
            Some("not read".to_owned())
        })
    }

    /// Validates what was read from a file, and reads its secrets from the environment.
    pub fn parse_read(path: &Path, text: io::Result<String>) -> Result<Self, Faults> {
        Self::open(path, text, |name| env::var(name).ok())
    }

    fn open(
        path: &Path,
        text: io::Result<String>,
        secrets: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Faults> {
        let file = path.display().to_string();
        match text {
            Ok(text) => Self::parse(&file, &text, secrets),
            Err(error) => Err(Faults {
                file,
                list: vec![Fault {
                    path: String::new(),
                    line: 0,
                    message: format!(" can't be read: {error}"),
                }],
            }),
        }
    }

    /// Validates the text of a file; `secrets` returns the values of environment variables.
    pub fn parse(
        file: &str,
        text: &str,
        secrets: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Faults> {
        let faults = |list| Faults {
            file: file.to_owned(),
            list,
        };
        let raw = raw::Raw::parse(text).map_err(|fault| faults(vec![fault]))?;
        check::check(raw, secrets).map_err(|mut list| {
            location::locate(text, &mut list);
            faults(list)
        })
    }

    /// Returns the pool with a name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name.as_str() == name)
    }
}

impl Pool {
    /// Returns the operation with a name.
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        self.operations
            .iter()
            .find(|operation| operation.name == name)
    }

    /// Returns the name under which engines serve the pool's model.
    pub fn model(&self) -> Option<&str> {
        self.models.first().map(|model| model.name.as_str())
    }

    /// Returns the time limits of a call.
    pub fn limits(&self) -> upstream::Limits {
        let default = match self.kind {
            Kind::Model => raw::MODEL_LIMITS,
            Kind::Tool | Kind::Service => raw::SERVICE_LIMITS,
        };
        upstream::Limits {
            first: self.limits.first.unwrap_or(default.first),
            progress: self.limits.progress.unwrap_or(default.progress),
            total: self.limits.total.unwrap_or(default.total),
        }
    }
}
