//! The platform's list of live and leaving instances, which lags.

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

/// An instance as the platform's list names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Name of the instance.
    pub instance: Instance,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address of its peer port.
    pub address: String,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// The platform's list.
#[allow(async_fn_in_trait)]
pub trait List {
    /// Returns the list, or the reason why it can't be had.
    async fn list(&self) -> anyhow::Result<Vec<Listed>>;
}

/// Brings the list into the view in each period.
///
/// After a failure the view keeps what the list said last.
pub async fn follow<L: List>(list: L, roster: Roster, period: Duration) {
    let mut failed = false;
    loop {
        match list.list().await {
            Ok(instances) => {
                roster.update(|view| view.listed(Time::now(), &instances));
                if failed {
                    log::info!("member: the list of instances can be read again");
                }
                failed = false;
            }
            Err(error) => {
                // One line for each outage, however long it lasts.
                if !failed {
                    log::warn!("member: the list of instances can't be read: {error:#}");
                }
                failed = true;
            }
        }
        sleep(period).await;
    }
}
