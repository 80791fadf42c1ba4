//! Validation of settings.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::hash::Set;

use super::{
    raw::{
        Kind,
        Pool,
        Raw,
        Tls,
        Upstream, //
    },
    Config,
    Fault,
    Peers,
    Secret, //
};

/// Maximum length of an instance's name; the suffix that the author name of its records gets needs
/// the rest of a name's length.
const MAX_INSTANCE_BYTES: usize = 40;

/// Minimum length of the secret that instances present to each other.
const MIN_SECRET_BYTES: usize = 8;

#[derive(Default)]
struct Validator {
    faults: Vec<Fault>,
}

impl Validator {
    fn require(&mut self, valid: bool, path: impl Into<String>, message: impl Into<String>) {
        if !valid {
            self.faults.push(Fault {
                path: path.into(),
                line: 0,
                message: message.into(),
            });
        }
    }

    fn address(&mut self, path: impl Into<String>, text: &str) {
        let valid = text
            .parse::<SocketAddr>()
            .is_ok_and(|address| address.port() != 0 && !address.ip().is_unspecified());
        self.require(
            valid,
            path,
            format!("must be an IP address and a port such as 10.0.0.7:8000, not {text:?}"),
        );
    }

    fn tls(&mut self, path: &str, tls: Option<&Tls>) {
        self.require(tls.is_none(), path, "TLS is not supported yet; remove it");
    }

    fn text(&mut self, path: impl Into<String>, text: &str) {
        let valid = !text.is_empty() && text.len() <= 256 && !text.contains(char::is_control);
        self.require(
            valid,
            path,
            "must have 1 to 256 bytes and no control characters",
        );
    }

    fn positive(&mut self, path: &str, list: &[(&str, u64)]) {
        for (name, value) in list {
            self.require(*value > 0, format!("{path}.{name}"), "must be at least 1");
        }
    }

    fn unique<'a>(&mut self, path: &str, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = Set::default();
        for (index, name) in names.enumerate() {
            let path = format!("{path}[{index}]{field}");
            self.require(seen.insert(name), path, format!("{name:?} is listed twice"));
        }
    }
}

/// Validates settings and returns all faults; `secrets` returns the values of environment
/// variables.
pub fn check(raw: Raw, secrets: impl Fn(&str) -> Option<String>) -> Result<Config, Vec<Fault>> {
    let mut validator = Validator::default();
    validator.identity(&raw);
    validator.listen(&raw);
    validator.platform(&raw);
    validator.pools(&raw);
    validator.timings(&raw);
    let secret = validator.secret(&raw, secrets);
    if !validator.faults.is_empty() {
        return Err(validator.faults);
    }
    Ok(Config {
        cluster: raw.cluster,
        instance: raw.instance,
        zone: raw.zone,
        zones: raw.zones,
        listen: raw.listen,
        peers: Peers { secret },
        log: raw.log,
        list: raw.list,
        pools: raw.pools,
        weights: raw.weights,
        timings: raw.timings,
        memory: raw.memory,
        logs: raw.logs,
    })
}

impl Validator {
    fn identity(&mut self, raw: &Raw) {
        self.text("cluster", &raw.cluster);
        self.require(
            raw.instance.as_str().len() <= MAX_INSTANCE_BYTES,
            "instance",
            format!("must have at most {MAX_INSTANCE_BYTES} bytes, because a suffix is appended"),
        );
        self.unique("zones", "", raw.zones.iter().map(|zone| zone.as_str()));
        let zones: Vec<_> = raw.zones.iter().map(|zone| zone.as_str()).collect();
        self.require(
            raw.zones.contains(&raw.zone),
            "zone",
            format!("must be one of the zones {}", zones.join(", ")),
        );
        // Program ids consist of the zone and a UUID, joined by a dot.
        for (index, zone) in raw.zones.iter().enumerate() {
            let valid = !zone.as_str().contains('.') && zone.as_str().len() <= 24;
            self.require(
                valid,
                format!("zones[{index}]"),
                "must have at most 24 bytes and no dot, because program ids begin with it",
            );
        }
    }

    fn listen(&mut self, raw: &Raw) {
        let listen = &raw.listen;
        self.tls("listen.tls", listen.tls.as_ref());
        self.require(
            !listen.advertised().ip().is_unspecified(),
            "listen.advertise",
            "must be an address that other instances can reach, not a wildcard address",
        );
        self.require(
            listen.workers != Some(0),
            "listen.workers",
            "must be at least 1; omit it for one worker for each core",
        );
        self.tls("peers.tls", raw.peers.tls.as_ref());
    }

    fn platform(&mut self, raw: &Raw) {
        self.tls("log.tls", raw.log.tls.as_ref());
        self.require(
            !raw.log.addresses.is_empty(),
            "log.addresses",
            "must have at least one address",
        );
        for (index, address) in raw.log.addresses.iter().enumerate() {
            self.address(format!("log.addresses[{index}]"), address);
        }
        self.text("log.topic", &raw.log.topic);
        let counts = [
            ("partitions", u64::from(raw.log.partitions)),
            ("appends_per_second", u64::from(raw.log.appends_per_second)),
        ];
        self.positive("log", &counts);
        // A snapshot is appended after a third of the retention, before the older records expire.
        self.require(
            raw.log.retention >= Duration::from_secs(60),
            "log.retention",
            "must be at least 1m",
        );
        self.tls("list.tls", raw.list.tls.as_ref());
        self.address("list.address", &raw.list.address);
        self.text("list.service", &raw.list.service);
        if let Some(weights) = &raw.weights {
            self.tls("weights.tls", weights.tls.as_ref());
            self.address("weights.address", &weights.address);
            self.positive(
                "weights",
                &[("loads_per_minute", u64::from(weights.loads_per_minute))],
            );
        }
    }

    fn pools(&mut self, raw: &Raw) {
        let names = raw.pools.iter().map(|pool| pool.name.as_str());
        self.unique("pools", ".name", names);
        let mut seen = Set::default();
        for (index, pool) in raw.pools.iter().enumerate() {
            let path = format!("pools[{index}]");
            self.pool(&path, pool);
            for (index, upstream) in pool.upstreams.iter().enumerate() {
                let path = format!("{path}.upstreams[{index}]");
                self.require(
                    seen.insert(&upstream.name),
                    format!("{path}.name"),
                    format!(
                        "{} is listed twice; names are unique in the cluster",
                        upstream.name
                    ),
                );
                self.upstream(&path, upstream, raw);
            }
        }
    }

    fn pool(&mut self, path: &str, pool: &Pool) {
        let model = pool.kind == Kind::Model;
        self.require(
            model != pool.models.is_empty(),
            format!("{path}.models"),
            "must have at least one entry for kind model, and none for other kinds",
        );
        self.require(
            model == pool.operations.is_empty(),
            format!("{path}.operations"),
            "must have at least one entry for kinds tool and service, and none for kind model",
        );
        let limits = pool.limits();
        self.require(
            !limits.first.is_zero() && !limits.progress.is_zero() && limits.first <= limits.total,
            format!("{path}.limits"),
            "first and progress must be positive, and first must not be longer than total",
        );
        let names = pool.models.iter().map(|model| model.name.as_str());
        self.unique(&format!("{path}.models"), ".name", names);
        for (index, model) in pool.models.iter().enumerate() {
            let path = format!("{path}.models[{index}]");
            self.text(format!("{path}.name"), &model.name);
            self.text(format!("{path}.version"), &model.version);
            let names = model.adapters.iter().map(|adapter| adapter.name.as_str());
            self.unique(&format!("{path}.adapters"), ".name", names);
            for (index, adapter) in model.adapters.iter().enumerate() {
                self.text(format!("{path}.adapters[{index}].name"), &adapter.name);
                self.text(
                    format!("{path}.adapters[{index}].version"),
                    &adapter.version,
                );
            }
        }
        let names = pool
            .operations
            .iter()
            .map(|operation| operation.name.as_str());
        self.unique(&format!("{path}.operations"), ".name", names);
        for (index, operation) in pool.operations.iter().enumerate() {
            let path = format!("{path}.operations[{index}]");
            self.text(format!("{path}.name"), &operation.name);
            let valid =
                operation.path.starts_with('/') && operation.path.parse::<awc::http::Uri>().is_ok();
            self.require(
                valid,
                format!("{path}.path"),
                "must be a URL path that begins with /",
            );
        }
    }

    fn upstream(&mut self, path: &str, upstream: &Upstream, raw: &Raw) {
        self.address(format!("{path}.address"), &upstream.address);
        self.tls(&format!("{path}.tls"), upstream.tls.as_ref());
        self.require(
            raw.zones.contains(&upstream.zone),
            format!("{path}.zone"),
            "must be one of the zones",
        );
    }

    fn timings(&mut self, raw: &Raw) {
        let timings = &raw.timings;
        let milliseconds = |duration: Duration| duration.as_millis() as u64;
        let durations = [
            ("heartbeat", milliseconds(timings.heartbeat)),
            ("ping", milliseconds(timings.ping)),
            ("silence", milliseconds(timings.silence)),
            ("claim_age", milliseconds(timings.claim_age)),
            ("sweep", milliseconds(timings.sweep)),
            ("load", milliseconds(timings.load)),
            ("list", milliseconds(timings.list)),
            ("drain", milliseconds(timings.drain)),
            ("connect", milliseconds(timings.connect)),
            ("idle", milliseconds(timings.idle)),
        ];
        for (name, value) in durations {
            self.require(value > 0, format!("timings.{name}"), "must be at least 1ms");
        }
        self.require(
            timings.silence > timings.ping,
            "timings.silence",
            "must be longer than timings.ping, or working links are replaced",
        );
        let memory = &raw.memory;
        let limits = [
            ("history_bytes", memory.history_bytes as u64),
            ("queue_calls", memory.queue_calls as u64),
            ("customer_calls", memory.customer_calls as u64),
            ("log_records", memory.log_records as u64),
        ];
        self.positive("memory", &limits);
    }

    fn secret(&mut self, raw: &Raw, secrets: impl Fn(&str) -> Option<String>) -> Secret {
        let name = &raw.peers.secret_env;
        // The value may be the secret itself by mistake, so the message must not repeat it.
        let allowed = |c: char| c.is_ascii_uppercase() || c.is_ascii_digit() || c == '_';
        if name.is_empty() || !name.chars().all(allowed) {
            let message =
                "must name an environment variable in upper case, such as GYPSUMLEVER_PEER_SECRET";
            self.require(false, "peers.secret_env", message);
            return Secret::from(String::new());
        }
        let value = secrets(name).unwrap_or_default();
        self.require(
            value.len() >= MIN_SECRET_BYTES,
            "peers.secret_env",
            format!(
                "environment variable {name} must be set and have at least {MIN_SECRET_BYTES} bytes"
            ),
        );
        Secret::from(value)
    }
}
