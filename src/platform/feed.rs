//! Feeds of the configuration and of the servers, and the list of gateway instances, read from the
//! store.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Buf as _,
    Bytes, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    newest::is_exact,
    store::{
        Store,
        Topic, //
    },
    wire,
};
use crate::{
    clock::Time,
    gateway::{
        configuration::{
            Document,
            Published, //
        },
        feed::{
            Decode,
            Feed,
            Page, //
        },
        registry::Change,
        reports::{
            Archive,
            Hold,
            Record, //
        },
        route::Table, //
    },
    log::{
        Failure,
        Log as _, //
    },
    member::{
        List,
        Listed, //
    },
    name::{
        Instance,
        Zone, //
    },
};

/// Topic in which the operator publishes configurations.
const OPERATOR_TOPIC: &str = "keyed.op";

/// Key of the configuration.
const CONFIGURATION_KEY: &str = "config";

/// Topic in which servers report their address and state.
const SERVERS_TOPIC: &str = "keyed.servers";

/// Splits a record of a keyed topic into key and value; an empty value means that the key was
/// removed. Returns `None` for an invalid record, and for a key that is no text.
fn split_key(mut record: Bytes) -> Option<(String, Bytes)> {
    if record.is_empty() {
        return None;
    }
    let length = usize::from(record.get_u8());
    if record.len() < length {
        return None;
    }
    let key = String::from_utf8(record.split_to(length).into()).ok()?;
    is_exact(&key).then_some((key, record))
}

/// Returns the record of a key; an empty value removes the key.
fn keyed(key: &str, value: &[u8]) -> anyhow::Result<Bytes> {
    let mut record = vec![u8::try_from(key.len())?];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    Ok(record.into())
}

/// Keys and values of a keyed topic.
type Records = Vec<(String, Bytes)>;

/// Reads the newest record of each key of a keyed topic.
async fn snapshot(topic: &Topic) -> Result<Page<(String, Bytes)>, Failure> {
    let (items, next) = topic.newest().await?;
    Ok(Page {
        items,
        next,
        complete: true,
    })
}

/// Reads the records of a keyed topic from an offset on; waits up to `wait` for the first one.
async fn changes(
    topic: &Topic,
    from: u64,
    wait: Duration,
) -> Result<Page<(String, Bytes)>, Failure> {
    let (bounds, batch) = topic.read_with_bounds(0, from, wait).await?;
    let records = batch.records.into_iter().filter_map(|(offset, record)| {
        let split = split_key(record);
        if split.is_none() {
            log::warn!(topic = topic.name(), offset; "store: record has no valid key; skipping it");
        }
        split
    });
    Ok(Page {
        items: records.collect(),
        next: batch.next,
        complete: batch.next >= bounds.end,
    })
}

/// Feed of the operator's configurations.
pub struct Configuration(Topic);

impl Configuration {
    /// Creates a feed that reads from a store.
    pub fn new(store: Rc<Store>) -> Self {
        Self(Topic::with_large_records(store, OPERATOR_TOPIC))
    }
}

/// Decodes a configuration. Its bytes are copied, as they may be a part of a longer answer that would
/// be retained with them.
fn published(value: &[u8]) -> Option<Published> {
    match Table::try_from(value) {
        Ok(table) => Some(Published {
            table,
            document: Document(Bytes::copy_from_slice(value)),
        }),
        Err(error) => {
            log::error!(error:%; "config: configuration is invalid; keeping the previous one");
            None
        }
    }
}

fn tables(records: Records) -> Vec<Published> {
    let table = |(key, value): (String, Bytes)| {
        if key != CONFIGURATION_KEY || value.is_empty() {
            return None;
        }
        published(&value)
    };
    records.into_iter().filter_map(table).collect()
}

impl Feed for Configuration {
    type Item = Published;

    async fn snapshot(&self) -> Result<Page<Published>, Failure> {
        Ok(snapshot(&self.0).await?.map(tables))
    }

    async fn changes(&self, from: u64, wait: Duration) -> Result<Page<Published>, Failure> {
        Ok(changes(&self.0, from, wait).await?.map(tables))
    }
}

impl Decode for Configuration {
    fn decode(&self, bytes: Bytes) -> Option<Published> {
        published(&bytes)
    }
}

/// Feed of the reports of the servers of all services.
pub struct Servers(Topic);

impl Servers {
    /// Creates a feed that reads from a store.
    pub fn new(store: Rc<Store>) -> Self {
        Self(Topic::new(store, SERVERS_TOPIC))
    }
}

fn servers(records: Records) -> Vec<Change> {
    let change = |(id, value): (String, Bytes)| {
        if value.is_empty() {
            return Change::Absent(id.into());
        }
        match wire::server(&id, &value) {
            Ok(server) => Change::Present(server),
            Err(error) => {
                log::warn!(
                    upstream:? = id, error:%;
                    "registry: report of the upstream is invalid; removing the upstream"
                );
                Change::Unreadable(id.into())
            }
        }
    };
    records.into_iter().map(change).collect()
}

impl Feed for Servers {
    type Item = Change;

    async fn snapshot(&self) -> Result<Page<Change>, Failure> {
        Ok(snapshot(&self.0).await?.map(servers))
    }

    async fn changes(&self, from: u64, wait: Duration) -> Result<Page<Change>, Failure> {
        Ok(changes(&self.0, from, wait).await?.map(servers))
    }
}

/// Topic of the requests that are held back.
const HOLDS_TOPIC: &str = "keyed.holds";

/// Feed of the requests that are held back because they crash servers.
#[derive(Clone)]
pub struct Holds(Topic);

/// Value of a hold; its key is the key of the request in hexadecimal.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct RawHold {
    service: Arc<str>,
    /// End, in microseconds since the Unix epoch.
    until_us: u64,
    holds: u32,
}

impl Holds {
    /// Creates a feed that reads from a store.
    pub fn new(store: Rc<Store>) -> Self {
        Self(Topic::new(store, HOLDS_TOPIC))
    }
}

fn holds(records: Records) -> Vec<Record> {
    let record = |(key, value): (String, Bytes)| {
        let hold = match value.is_empty() {
            true => None,
            false => Some(serde_json::from_slice(&value).ok()?),
        };
        Some(Record {
            key: u64::from_str_radix(&key, 16).ok()?,
            hold: hold.map(|raw: RawHold| Hold {
                service: raw.service,
                until: Time(raw.until_us),
                holds: raw.holds,
            }),
        })
    };
    let items = records.into_iter().filter_map(|item| {
        let name = item.0.clone();
        let record = record(item);
        if record.is_none() {
            log::warn!(key:? = name; "quarantine: hold in the store is invalid; skipping it");
        }
        record
    });
    items.collect()
}

impl Feed for Holds {
    type Item = Record;

    async fn snapshot(&self) -> Result<Page<Record>, Failure> {
        Ok(snapshot(&self.0).await?.map(holds))
    }

    async fn changes(&self, from: u64, wait: Duration) -> Result<Page<Record>, Failure> {
        Ok(changes(&self.0, from, wait).await?.map(holds))
    }
}

impl Archive for Holds {
    async fn publish(&self, record: &Record) -> anyhow::Result<()> {
        let value = match &record.hold {
            None => Vec::new(),
            Some(hold) => serde_json::to_vec(&RawHold {
                service: hold.service.clone(),
                until_us: hold.until.0,
                holds: hold.holds,
            })?,
        };
        let key = format!("{:016x}", record.key);
        self.0.append(0, &[keyed(&key, &value)?]).await?;
        Ok(())
    }
}

/// Topic in which gateway instances announce themselves.
const INSTANCES_TOPIC: &str = "keyed.instances";

/// List of the gateway instances that have announced themselves.
pub struct Instances(Topic);

/// Announcement of an instance.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Announcement {
    zone: Zone,
    /// Address of the peer port.
    address: String,
}

impl Instances {
    /// Creates a list that reads from a store.
    pub fn new(store: Rc<Store>) -> Self {
        Self(Topic::new(store, INSTANCES_TOPIC))
    }

    /// Announces an instance, or withdraws its announcement if `address` is `None`.
    pub async fn announce(
        &self,
        instance: &Instance,
        zone: &Zone,
        address: Option<&str>,
    ) -> anyhow::Result<()> {
        let value = match address {
            None => Vec::new(),
            Some(address) => serde_json::to_vec(&Announcement {
                zone: zone.clone(),
                address: address.to_owned(),
            })?,
        };
        self.0
            .append(0, &[keyed(instance.as_str(), &value)?])
            .await?;
        Ok(())
    }
}

impl List for Instances {
    async fn list(&self) -> anyhow::Result<Vec<Listed>> {
        let (records, _) = self.0.newest().await?;
        let listed = |(name, value): (String, Bytes)| {
            let announcement: Announcement = serde_json::from_slice(&value).ok()?;
            Some(Listed {
                instance: Instance::try_from(name).ok()?,
                zone: announcement.zone,
                address: announcement.address,
                leaving: false,
            })
        };
        Ok(records.into_iter().filter_map(listed).collect())
    }
}
