//! The platform's list of live and leaving instances, which lags behind their real state.

use std::time::Duration;

use tokio::time::sleep;

use super::roster::Roster;
use crate::{
    clock::Time,
    name::{
        Instance,
        Zone, //
    },
};

/// Entry of an instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the instance.
    pub instance: Instance,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address of its peer port.
    pub address: String,
    /// Whether the platform marks it as leaving.
    pub leaving: bool,
}

/// Source of the platform's list of instances.
#[allow(async_fn_in_trait)]
pub trait List {
    /// Fetches the current list.
    async fn list(&self) -> anyhow::Result<Vec<Listed>>;
}

/// Fetches the list once per `period` and applies it to the view.
///
/// After a failure the view keeps the last list that was read.
pub async fn follow<L: List>(list: L, roster: Roster, period: Duration) {
    let mut failed = false;
    loop {
        match list.list().await {
            Ok(instances) => {
                roster.update(|view| view.apply_list(Time::now(), &instances));
                if failed {
                    log::info!("member: reading the list of instances works again");
                }
                failed = false;
            }
            Err(error) => {
                // Log once per outage, however long it lasts.
                if !failed {
                    log::warn!(
                        "member: reading the list of instances failed, using the last one: {error:#}"
                    );
                }
                failed = true;
            }
        }
        sleep(period).await;
    }
}
