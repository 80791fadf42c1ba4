//! Entries of the list, and their JSON in the API.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    json,
    Value, //
};

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance serves.
    #[default]
    Live,
    /// The instance is leaving.
    Leaving,
}

/// One instance of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Name of the service.
    pub service: String,
    /// Identifier of the instance, unique in the service.
    pub id: String,
    /// IP address.
    pub address: String,
    /// Port.
    pub port: u16,
    /// Availability zone, published in the metadata.
    pub zone: String,
    /// State, published in the metadata.
    #[serde(default)]
    pub state: State,
    /// Whether the health check passes.
    #[serde(default = "passing")]
    pub passing: bool,
    /// Additional metadata.
    #[serde(default)]
    pub meta: BTreeMap<String, String>,
}

fn passing() -> bool {
    true
}

impl Entry {
    /// Creates a live entry whose health check passes.
    pub fn new(service: &str, id: &str, zone: &str, address: std::net::SocketAddr) -> Self {
        Self {
            service: service.to_owned(),
            id: id.to_owned(),
            address: address.ip().to_string(),
            port: address.port(),
            zone: zone.to_owned(),
            state: State::Live,
            passing: true,
            meta: BTreeMap::new(),
        }
    }

    /// Returns the entry as the API represents it.
    pub fn to_json(&self) -> Value {
        let mut meta = json!(self.meta);
        meta["zone"] = json!(self.zone);
        meta["state"] = json!(self.state);
        let node = format!("node-{}", self.id);
        json!({
            "Node": {
                "ID": node,
                "Node": node,
                "Address": self.address,
                "Datacenter": "dc1",
                "TaggedAddresses": {},
                "Meta": {},
            },
            "Service": {
                "ID": self.id,
                "Service": self.service,
                "Tags": [],
                "Address": self.address,
                "Port": self.port,
                "Meta": meta,
                "Weights": {"Passing": 1, "Warning": 1},
            },
            "Checks": [{
                "Node": node,
                "CheckID": format!("service:{}", self.id),
                "Name": format!("Service '{}' check", self.service),
                "Status": if self.passing { "passing" } else { "critical" },
                "Notes": "",
                "Output": "",
                "ServiceID": self.id,
                "ServiceName": self.service,
                "ServiceTags": [],
            }],
        })
    }
}
