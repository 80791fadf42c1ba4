//! Commands to engines: loading models and adapters, and changing roles.

use std::time::Duration;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    json,
    Value, //
};

use super::{
    chat::Client,
    Failure,
    Limits, //
};

/// Time limits of commands; engines load gigabytes of weights before they answer.
const LIMITS: Limits = Limits {
    first: Duration::from_secs(300),
    progress: Duration::from_secs(30),
    total: Duration::from_secs(600),
};

/// A command to an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Command {
    /// Loads a version of a model.
    Model {
        /// Name under which the engine serves the model.
        name: String,
        /// Version of the weights.
        version: String,
    },
    /// Loads a version of an adapter.
    Adapter {
        /// Name under which the engine serves the adapter.
        name: String,
        /// Version of the weights.
        version: String,
        /// Model that the adapter belongs to.
        model: String,
    },
    /// Changes the engine's role.
    Role(Role),
}

/// Phases of a model call that an engine runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
    /// Both phases.
    Both,
}

/// Fencing number and sender of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authorization {
    /// Fencing number; engines that enforce it refuse one lower than the highest they have seen.
    pub fence: u64,
    /// Name of the sender, for engines that verify it.
    pub sender: Option<String>,
}

/// A model or adapter that an engine has loaded.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Artifact {
    /// Name under which the engine serves it.
    #[serde(rename = "id")]
    pub name: String,
    /// Version of the weights, if the engine reports it.
    #[serde(default)]
    pub version: Option<String>,
    /// Model that an adapter belongs to.
    #[serde(default)]
    pub parent: Option<String>,
}

/// Client that sends commands to engines.
#[allow(async_fn_in_trait)]
pub trait Controller {
    /// Sends a command; returns once the engine has executed it.
    async fn send(
        &self,
        address: &str,
        command: &Command,
        authorization: &Authorization,
    ) -> Result<(), Failure>;

    /// Lists the models and adapters that the engine has loaded.
    async fn loaded(&self, address: &str) -> Result<Vec<Artifact>, Failure>;
}

impl Command {
    /// Returns the path that the command is posted to.
    fn path(&self) -> &'static str {
        match self {
            Self::Model { .. } => "/v1/models/load",
            Self::Adapter { .. } => "/v1/load_lora_adapter",
            Self::Role(_) => "/v1/role",
        }
    }

    fn body(&self) -> Value {
        match self {
            Self::Model { name, version } => json!({ "model": name, "version": version }),
            Self::Adapter {
                name,
                version,
                model,
            } => json!({
                "lora_name": name,
                "lora_path": format!("{name}/{version}"),
                "base_model_name": model,
                "version": version,
            }),
            Self::Role(role) => json!({ "role": role }),
        }
    }
}

#[derive(Deserialize)]
struct List {
    data: Vec<Artifact>,
}

impl Controller for Client {
    async fn send(
        &self,
        address: &str,
        command: &Command,
        authorization: &Authorization,
    ) -> Result<(), Failure> {
        let mut request = self
            .pool
            .post_unpooled(address, command.path())
            .content_type("application/json")
            .insert_header(("Fencing-Number", authorization.fence.to_string()));
        if let Some(sender) = &authorization.sender {
            request = request.insert_header(("Sender", sender.as_str()));
        }
        let body = Bytes::from(command.body().to_string());
        self.pool
            .send(address, request, body, LIMITS)
            .await?
            .discard()
            .await
    }

    async fn loaded(&self, address: &str) -> Result<Vec<Artifact>, Failure> {
        let list: List = self.json(address, "/v1/models").await?;
        Ok(list.data)
    }
}
