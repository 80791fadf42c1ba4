//! Software versions at which streams began, so that they go on at the same one.
//!
//! Answers the load pattern of instances that are lost while several versions of a service serve:
//! callers take their streams up through instances that never saw them. An instance that relays the
//! first event of a stream notifies a few others, the *keepers*, which are asked when the stream is
//! taken up.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    owner::{
        Client,
        Request,
        Response, //
    },
    registry::Server,
};
use crate::{
    clock::Time,
    hash,
    log::Log,
    policy::recent::Recent, //
};

/// Keepers of a stream; a third of all instances may be lost at once.
const KEEPERS: usize = 3;

/// Timeout of a query of the keepers: many round trips between zones, and little of a turn's time.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum streams whose origin an instance keeps. Callers take streams up within seconds, and at
/// 150 streams a second this lasts for 13 s or more.
const MAX_STREAMS: usize = 4_096;

/// Identifier of a stream: the hash of the identifier of the request that brought its first event.
pub type Stream = u64;

/// Returns the identifier of the stream that a request began.
pub fn identify(request: &str) -> Stream {
    hash::stable(request.as_bytes())
}

/// What began a stream. Streams of different origins don't fit together.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Origin {
    /// Service.
    #[serde(rename = "s")]
    pub service: Arc<str>,
    /// Software version of the engine.
    #[serde(rename = "v")]
    pub version: Arc<str>,
}

impl From<&Server> for Origin {
    fn from(server: &Server) -> Self {
        Self {
            service: server.service.clone(),
            version: server.version.clone(),
        }
    }
}

/// Record of where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Beginning {
    /// Service, and software version that the entry of the upstream named.
    #[serde(flatten)]
    pub origin: Origin,
    /// Identifier of the upstream; empty in records of older builds.
    #[serde(rename = "u", default)]
    pub upstream: Arc<str>,
    /// Start that the entry named, in Unix milliseconds; 0 if unknown, or if another start
    /// answered.
    #[serde(rename = "b", default)]
    pub started: u64,
    /// Whether the process that answered is known to be that start.
    #[serde(rename = "p", default)]
    pub proved: bool,
    /// Milliseconds since the record was made, which was not before the connection was opened on which
    /// the stream began.
    #[serde(rename = "a", default)]
    pub age_ms: u64,
}

impl Beginning {
    /// Returns the record of a stream that begins at an upstream now.
    pub fn new(server: &Server, proved: bool) -> Self {
        Self {
            origin: Origin::from(server),
            upstream: server.id.clone(),
            started: server.started,
            proved,
            age_ms: 0,
        }
    }
}

/// Origins that this instance keeps, for itself and for others, and when they were recorded.
pub struct Origins(RefCell<Recent<Stream, (Beginning, Time)>>);

impl Default for Origins {
    fn default() -> Self {
        Self(RefCell::new(Recent::new(MAX_STREAMS)))
    }
}

impl Origins {
    /// Records where a stream began.
    pub fn record(&self, now: Time, stream: Stream, beginning: Beginning) {
        self.0.borrow_mut().insert(stream, (beginning, now));
    }

    /// Returns where a stream began, if it is known here.
    pub fn get(&self, now: Time, stream: Stream) -> Option<Beginning> {
        let streams = self.0.borrow();
        let (beginning, recorded) = streams.get(&stream)?;
        Some(Beginning {
            age_ms: beginning.age_ms + now.since(*recorded).as_millis() as u64,
            ..beginning.clone()
        })
    }
}

/// Result of a search for where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Search {
    /// It began there.
    Found(Beginning),
    /// Nobody knows.
    Unknown,
    /// No keeper answered; other instances may know.
    Unanswered,
}

/// Origins of the streams of all instances.
pub struct Directory<L> {
    local: Rc<Origins>,
    accounts: Rc<Client<L>>,
}

impl<L: Log + 'static> Directory<L> {
    /// Returns a directory; the keepers are owners of `accounts`, to which links exist anyway.
    pub fn new(local: Rc<Origins>, accounts: Rc<Client<L>>) -> Self {
        Self { local, accounts }
    }

    /// Records where the stream of a request began, and notifies its keepers.
    pub fn record(&self, request: &str, beginning: Beginning) {
        let stream = identify(request);
        if let Some((peers, keepers)) = self.accounts.owners(stream, KEEPERS) {
            for keeper in &keepers {
                let notice = Request::KeepOrigin(stream, beginning.clone());
                if let Err(error) = peers.notify(keeper, notice) {
                    log::debug!(
                        peer = keeper.as_str(), error:%;
                        "origin: keeper can't be notified of a stream"
                    );
                }
            }
        }
        self.local.record(Time::monotonic(), stream, beginning);
    }

    /// Searches this instance and the keepers for where the stream of a request began.
    pub async fn find(&self, request: &str) -> Search {
        let stream = identify(request);
        if let Some(beginning) = self.local.get(Time::monotonic(), stream) {
            return Search::Found(beginning);
        }
        let Some((peers, keepers)) = self.accounts.owners(stream, KEEPERS) else {
            return Search::Unanswered;
        };
        if keepers.is_empty() {
            return Search::Unknown;
        }
        let query = Request::FindOrigin(stream);
        match peers.request_any(&keepers, &query, QUERY_TIMEOUT).await {
            Some(Response::Origin(beginning)) => Search::Found(beginning),
            Some(_) => Search::Unknown,
            None => Search::Unanswered,
        }
    }
}
