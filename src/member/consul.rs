//! The platform's list over Consul's health API.

use std::time::Duration;

use serde::Deserialize;

use super::{
    List,
    Listed, //
};

/// Client of the list.
pub struct Client {
    http: awc::Client,
    url: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Row {
    service: Service,
}

#[derive(Deserialize)]
struct Service {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: std::collections::BTreeMap<String, String>,
}

impl Client {
    /// Returns a client of the list at `address`.
    pub fn new(address: &str, service: &str) -> Self {
        Self {
            http: awc::Client::builder()
                .timeout(Duration::from_secs(2))
                .finish(),
            url: format!("http://{address}/v1/health/service/{service}"),
        }
    }
}

impl List for Client {
    async fn list(&self) -> Result<Vec<Listed>, anyhow::Error> {
        let sent = self.http.get(&self.url).send().await;
        let mut answer = sent.map_err(|error| anyhow::anyhow!("{error}"))?;
        let rows: Vec<Row> = answer.json().await?;
        let listed = |row: Row| {
            Some(Listed {
                instance: row.service.id.try_into().ok()?,
                zone: row.service.meta.get("zone")?.as_str().try_into().ok()?,
                address: format!("{}:{}", row.service.address, row.service.port),
                leaving: row
                    .service
                    .meta
                    .get("state")
                    .is_some_and(|s| s == "leaving"),
            })
        };
        Ok(rows.into_iter().filter_map(listed).collect())
    }
}
