//! Settings of the links between instances.

use std::{
    fmt,
    net::SocketAddr,
    time::Duration, //
};

use serde::Deserialize;
use sha2::{
    Digest,
    Sha256, //
};

use crate::name::{
    Instance,
    Zone, //
};

/// Settings of the links of one instance.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the deployment; connections from other deployments are refused.
    pub cluster: String,
    /// Name of this instance.
    pub instance: Instance,
    /// Availability zone of this instance.
    pub zone: Zone,
    /// Address that the peer port listens on.
    pub listen: SocketAddr,
    /// Address at which other instances reach the peer port; the listening address if absent.
    #[serde(default)]
    pub address: Option<String>,
    /// Secret that all instances of the deployment share. Links are not encrypted yet, so it keeps
    /// out other deployments and unknown hosts, but nobody who can read the network's traffic.
    pub secret: Secret,
    /// Keys for encrypted links; unused so far, as links are plain TCP.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Timeout for a connection and its handshake.
    #[serde(default = "default_handshake", with = "humantime_serde")]
    pub handshake: Duration,
    /// Time without any other frame after which a keep-alive is sent.
    #[serde(default = "default_ping", with = "humantime_serde")]
    pub ping: Duration,
    /// Inactivity timeout: time without a received byte after which a link is closed.
    #[serde(default = "default_silence", with = "humantime_serde")]
    pub silence: Duration,
    /// Time without a request after which a link is closed.
    #[serde(default = "default_idle", with = "humantime_serde")]
    pub idle: Duration,
    /// Initial back-off between two attempts to connect to an instance; it doubles on each failure.
    #[serde(default = "default_backoff", with = "humantime_serde")]
    pub backoff: Duration,
    /// Maximum back-off between two attempts to connect to an instance.
    #[serde(default = "default_backoff_limit", with = "humantime_serde")]
    pub backoff_limit: Duration,
    /// Time between two rounds of gossip.
    #[serde(default = "default_gossip", with = "humantime_serde")]
    pub gossip: Duration,
    /// Capacity of the send queue of one link in bytes; each frame counts in full units of 1 KiB.
    #[serde(default = "default_queue")]
    pub queue_bytes: usize,
    /// Maximum size of a frame in bytes.
    #[serde(default = "default_frame")]
    pub frame_bytes: usize,
}

fn default_handshake() -> Duration {
    Duration::from_secs(1)
}

fn default_ping() -> Duration {
    Duration::from_secs(1)
}

fn default_silence() -> Duration {
    Duration::from_secs(3)
}

fn default_idle() -> Duration {
    Duration::from_secs(20)
}

fn default_backoff() -> Duration {
    Duration::from_millis(100)
}

fn default_backoff_limit() -> Duration {
    Duration::from_secs(3)
}

fn default_gossip() -> Duration {
    Duration::from_secs(1)
}

fn default_queue() -> usize {
    8 << 20
}

fn default_frame() -> usize {
    4 << 20
}

impl Settings {
    /// Returns settings with the default times and sizes.
    pub fn new(
        cluster: &str,
        instance: Instance,
        zone: Zone,
        listen: SocketAddr,
        secret: &str,
    ) -> Self {
        Self {
            cluster: cluster.to_owned(),
            instance,
            zone,
            listen,
            address: None,
            secret: Secret::from(secret.to_owned()),
            tls: None,
            handshake: default_handshake(),
            ping: default_ping(),
            silence: default_silence(),
            idle: default_idle(),
            backoff: default_backoff(),
            backoff_limit: default_backoff_limit(),
            gossip: default_gossip(),
            queue_bytes: default_queue(),
            frame_bytes: default_frame(),
        }
    }

    /// Returns the address at which other instances reach the peer port.
    pub fn advertised(&self) -> String {
        let listen = || self.listen.to_string();
        self.address.clone().unwrap_or_else(listen)
    }
}

/// Paths of the key files for encrypted links; unused so far.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate of this instance.
    pub certificate: String,
    /// Private key of this instance.
    pub key: String,
    /// Certificate of the authority that signs the instances' certificates.
    pub authority: String,
}

/// A shared secret, redacted in `Debug` output.
#[derive(Clone)]
#[derive(Deserialize)]
#[serde(from = "String")]
pub struct Secret(String);

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Returns the text that a `Hello` carries.
    pub(super) fn expose(&self) -> &str {
        &self.0
    }

    /// Compares `other` with the secret in a time that does not depend on where they differ.
    pub fn matches(&self, other: &str) -> bool {
        let expected = Sha256::digest(self.0.as_bytes());
        let given = Sha256::digest(other.as_bytes());
        let difference = expected
            .iter()
            .zip(given.iter())
            .fold(0, |sum, (a, b)| std::hint::black_box(sum | (a ^ b)));
        difference == 0
    }
}
