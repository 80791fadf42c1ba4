//! Reads the platform's list of instances from Consul's health API.

use std::{
    cell::Cell,
    time::Duration, //
};

use anyhow::{
    anyhow,
    bail, //
};
use serde::Deserialize;
use tokio::time::timeout;

use super::list::{
    List,
    Listed, //
};
use crate::{
    hash::Map,
    name::{
        Instance,
        Zone, //
    },
};

/// Maximum size of the list; one entry has about 1 KiB.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Wait time of a blocking query. Reading the complete list each second cost 12 KB/s per instance
/// with 23 instances, over the limit of 9 KB/s for all control traffic.
const BLOCKING_WAIT: Duration = Duration::from_secs(60);

/// Header with the index of the list's latest change.
const INDEX_HEADER: &str = "X-Consul-Index";

/// Client of `GET /v1/health/service/{name}`.
///
/// The instance is the service's `ID`. The zone is `zone` in the metadata of the service or of
/// the node, or else the datacenter. The peer port is `peer_port` in the service's metadata, or
/// else the service's port. An instance is leaving if its metadata has `state: leaving`, if it
/// has the tag `leaving`, or if it is in maintenance mode. One with any other critical check is
/// not listed. After the first response, each query blocks until the list changes.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    url: String,
    timeout: Duration,
    /// Index of the latest change that was read; 0 if the next query must not block.
    index: Cell<u64>,
}

impl Client {
    /// Creates a client that lists the service `name`, with Consul at an address such as
    /// `127.0.0.1:8500`; a query that does not block fails after `timeout`.
    pub fn new(address: &str, name: &str, timeout: Duration) -> Self {
        Self {
            http: awc::Client::builder().disable_timeout().finish(),
            url: format!("http://{address}/v1/health/service/{name}"),
            timeout,
            index: Cell::new(0),
        }
    }

    async fn fetch(&self, index: u64) -> anyhow::Result<Vec<Listed>> {
        let url = match index {
            0 => self.url.clone(),
            _ => format!(
                "{}?index={index}&wait={}s",
                self.url,
                BLOCKING_WAIT.as_secs()
            ),
        };
        let mut response = self
            .http
            .get(&url)
            .send()
            .await
            .map_err(|error| anyhow!("{error}"))?;
        if !response.status().is_success() {
            bail!("HTTP status {}", response.status());
        }
        let next = response.headers().get(INDEX_HEADER);
        let next = next.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = response.body().limit(MAX_LIST_BYTES).await;
        let body = body.map_err(|error| anyhow!("{error}"))?;
        let list = parse(&body)?;
        // An index that goes backwards comes from a restored list; a blocking query for it might
        // never return.
        self.index
            .set(next.filter(|next| *next >= index).unwrap_or(0));
        Ok(list)
    }
}

impl List for Client {
    async fn list(&self) -> anyhow::Result<Vec<Listed>> {
        // The index is reset, so that the query after a failure does not block.
        let index = self.index.take();
        let limit = match index {
            0 => self.timeout,
            // Consul adds up to a sixteenth, so that blocking queries don't all end together.
            _ => self.timeout + BLOCKING_WAIT + BLOCKING_WAIT / 16,
        };
        timeout(limit, self.fetch(index))
            .await
            .unwrap_or_else(|_| Err(anyhow!("no response within {limit:?}")))
    }
}

/// Parses a response; invalid entries are skipped.
pub fn parse(body: &[u8]) -> anyhow::Result<Vec<Listed>> {
    let raw: Vec<serde_json::Value> = serde_json::from_slice(body)?;
    let mut listed = Vec::with_capacity(raw.len());
    for value in raw {
        match serde_json::from_value::<Health>(value).map_err(anyhow::Error::from) {
            Ok(health) if health.is_failing() => {}
            Ok(health) => match health.listed() {
                Ok(instance) => listed.push(instance),
                Err(error) => log::debug!("member: skipped an invalid entry of the list: {error}"),
            },
            Err(error) => log::debug!("member: skipped an invalid entry of the list: {error}"),
        }
    }
    Ok(listed)
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Health {
    node: Node,
    service: Service,
    checks: Option<Vec<Check>>,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Node {
    address: String,
    datacenter: String,
    meta: Option<Map<String, String>>,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    address: String,
    port: u16,
    tags: Option<Vec<String>>,
    meta: Option<Map<String, String>>,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct Check {
    #[serde(rename = "CheckID")]
    id: String,
    status: String,
}

impl Check {
    fn is_maintenance(&self) -> bool {
        self.id == "_node_maintenance" || self.id.starts_with("_service_maintenance")
    }
}

fn metadata<'a>(meta: &'a Option<Map<String, String>>, key: &str) -> Option<&'a str> {
    meta.as_ref()?.get(key).map(String::as_str)
}

impl Health {
    fn checks(&self) -> &[Check] {
        self.checks.as_deref().unwrap_or_default()
    }

    fn is_failing(&self) -> bool {
        let failing = |check: &Check| check.status == "critical" && !check.is_maintenance();
        self.checks().iter().any(failing)
    }

    fn is_leaving(&self) -> bool {
        let tags = self.service.tags.as_deref().unwrap_or_default();
        tags.iter().any(|tag| tag == "leaving")
            || metadata(&self.service.meta, "state") == Some("leaving")
            || self.checks().iter().any(Check::is_maintenance)
    }

    fn listed(&self) -> anyhow::Result<Listed> {
        let zone = metadata(&self.service.meta, "zone")
            .or_else(|| metadata(&self.node.meta, "zone"))
            .unwrap_or(&self.node.datacenter);
        let host = [&self.service.address, &self.node.address];
        let host = host.into_iter().find(|host| !host.is_empty());
        let host = host.ok_or_else(|| anyhow!("neither service nor node has an address"))?;
        let port = match metadata(&self.service.meta, "peer_port") {
            Some(port) => port.parse()?,
            None => self.service.port,
        };
        if port == 0 {
            bail!("service has no port");
        }
        // An IPv6 address needs brackets before a port.
        let address = if host.contains(':') {
            format!("[{host}]:{port}")
        } else {
            format!("{host}:{port}")
        };
        Ok(Listed {
            instance: Instance::try_from(self.service.id.as_str())?,
            zone: Zone::try_from(zone)?,
            address,
            leaving: self.is_leaving(),
        })
    }
}
