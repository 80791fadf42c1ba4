//! Frames of a link and their encoding.
//!
//! A message is two consecutive CBOR items: the header `[id, flags]` and the body. A body of an
//! unknown kind is ignored, as the next version may send it; an invalid header ends the link.
//! Names of fields and kinds are short, as control traffic is limited to 9 KB/s per instance.

use std::{
    io,
    sync::Arc, //
};

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    executor::request::{
        Event,
        Reason,
        Request, //
    },
    gateway::{
        configuration,
        dispatcher,
        history,
        limit,
        owner,
        permit,
        quarantine,
        tenant::credit,
        tunnel, //
    },
    ledger::record::Record,
    member::{
        Departure,
        Entry, //
    },
    name::{
        Pool,
        Program,
        Upstream, //
    },
    policy::call,
};

/// Version of the protocol that this build supports.
pub const VERSION: u32 = 1;

/// Lowest version of the protocol that this build supports.
pub const MIN_VERSION: u32 = 1;

const REPLY_FLAG: u8 = 1;
const LAST_FLAG: u8 = 2;

/// One message of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number of the request, chosen by the requester; 0 if no reply is expected.
    pub id: u64,
    /// Whether the frame is a reply.
    pub reply: bool,
    /// Whether it is the last reply.
    pub last: bool,
    /// Content of the frame.
    pub body: Body,
}

/// First message in each direction of a link.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// Version that the sender supports.
    pub version: u32,
    /// Lowest version that the sender supports.
    pub lowest: u32,
    /// Name of the deployment.
    pub cluster: String,
    /// Entry of the sender, with the address of its peer port.
    pub entry: Entry,
    /// Secret that all instances of the deployment share.
    pub secret: String,
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// State of the sender and recent changes.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// Changes to forward at once.
    #[serde(rename = "ru")]
    Rumor(News),
    /// Digests of the sender's view, for a peer whose view differs.
    #[serde(rename = "dg")]
    Digest(Vec<u32>),
    /// Requests that the receiver runs a call; `Event` frames reply.
    #[serde(rename = "ca")]
    Call(Request),
    /// Part of the answer to a call.
    #[serde(rename = "ev")]
    Event(Event),
    /// Requests the events of a running call; `Event` frames reply, or `Empty` if it is not
    /// running.
    #[serde(rename = "fo")]
    Follow {
        /// Program of the call.
        #[serde(rename = "p")]
        program: Program,
        /// Number of the turn.
        #[serde(rename = "t")]
        turn: u32,
        /// Byte offset in the answer's text at which the events begin.
        #[serde(rename = "f")]
        from: u64,
    },
    /// Requests to cancel a running call; `Held` replies if it was running, otherwise `Empty`.
    #[serde(rename = "ab")]
    Abort {
        /// Program of the call.
        #[serde(rename = "p")]
        program: Program,
        /// Number of the turn; the running one if absent.
        #[serde(rename = "t")]
        turn: Option<u32>,
    },
    /// The requester cancelled the request with the frame's number.
    #[serde(rename = "x")]
    Cancel,
    /// The requester accepts this many more replies.
    #[serde(rename = "cr")]
    Credit(u32),
    /// Requests an upstream from the pool's dispatcher; `Grant` or `Deny` replies.
    #[serde(rename = "as")]
    Ask {
        /// Pool of upstreams.
        #[serde(rename = "p")]
        pool: Pool,
        /// The call that waits.
        #[serde(rename = "c")]
        call: call::Call,
    },
    /// The call may be sent to an upstream.
    #[serde(rename = "gr")]
    Grant {
        /// Number of the grant, chosen by the dispatcher.
        #[serde(rename = "g")]
        grant: u64,
        /// The upstream.
        #[serde(rename = "u")]
        upstream: Upstream,
        /// Address of the upstream.
        #[serde(rename = "a")]
        address: String,
    },
    /// The call gets no upstream.
    #[serde(rename = "de")]
    Deny {
        /// Reason code.
        #[serde(rename = "r")]
        reason: Reason,
        /// Time in milliseconds after which a retry is worthwhile.
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    /// The granted call has ended.
    #[serde(rename = "do")]
    Done {
        /// Number of the grant.
        #[serde(rename = "g")]
        grant: u64,
        /// Outcome and usage of the call.
        #[serde(rename = "r")]
        report: call::Report,
    },
    /// The granted call won't be sent.
    #[serde(rename = "wi")]
    Withdraw {
        /// Number of the grant.
        #[serde(rename = "g")]
        grant: u64,
    },
    /// Requests that the receiver retains a record until the log is available; `Held` replies.
    #[serde(rename = "ho")]
    Hold(Record),
    /// The record need not be retained any longer.
    #[serde(rename = "di")]
    Discard(Record),
    /// Queries whether a record of the receiver contradicts a turn; `Held` or `Deny` replies.
    #[serde(rename = "co")]
    Confirm(Record),
    /// Positive reply: the record is retained, nothing contradicts it, or the call was cancelled.
    #[serde(rename = "he")]
    Held,
    /// Requests the state of a partition; `Chunk` frames reply.
    #[serde(rename = "fe")]
    Fetch {
        /// Partition of the log.
        #[serde(rename = "p")]
        partition: u32,
        /// Offset that the requester has applied.
        #[serde(rename = "f")]
        from: u64,
    },
    /// Part of the state of a partition.
    #[serde(rename = "ch")]
    Chunk {
        /// Partition of the log.
        #[serde(rename = "p")]
        partition: u32,
        /// Offset that the state has applied.
        #[serde(rename = "o")]
        offset: u64,
        /// Part of the encoded state.
        #[serde(rename = "b")]
        bytes: Bytes,
    },
    /// Request about the token accounts of gateways; `Accounted` replies.
    #[serde(rename = "aq")]
    Account(owner::Request),
    /// Reply to a request about token accounts.
    #[serde(rename = "ar")]
    Accounted(owner::Response),
    /// Message to the dispatcher of an availability zone; `Dispatched` replies to a turn to place.
    #[serde(rename = "pq")]
    Dispatch(dispatcher::Request),
    /// Placement of a turn.
    #[serde(rename = "pr")]
    Dispatched(dispatcher::Placed),
    /// Limits that upstreams named, or named no more.
    #[serde(rename = "li")]
    Limits(Vec<limit::Message>),
    /// Requests the limits of a service; `Limits` replies.
    #[serde(rename = "lq")]
    ListLimits(Arc<str>),
    /// Request for a permit to send to an upstream with a limit; `Permitted` replies.
    #[serde(rename = "eq")]
    Permit(permit::Request),
    /// Reply to a request for a permit.
    #[serde(rename = "er")]
    Permitted(permit::Response),
    /// What instances found out about requests under which upstreams crashed.
    #[serde(rename = "cx")]
    Reports(Vec<quarantine::Report>),
    /// Requests what the receiver knows about such requests; `Reports` replies.
    #[serde(rename = "cq")]
    ListReports,
    /// Requests the configuration if it is newer than this version; `Configuration` replies.
    #[serde(rename = "vq")]
    FindConfiguration(Option<u64>),
    /// The newer configuration, if there is one.
    #[serde(rename = "vr")]
    Configuration(Option<configuration::Document>),
    /// Requests a tunnel to the upstream with this identifier; `Tunnel` replies.
    ///
    /// Under the name `tq`, older builds request a tunnel without frames, which is not supported.
    #[serde(rename = "tf")]
    OpenTunnel(Arc<str>),
    /// Reply to a request for a tunnel.
    #[serde(rename = "tr")]
    Tunnel(tunnel::Response),
    /// Message about the quota of a tenant; `Credited` replies to a request.
    #[serde(rename = "qq")]
    Quota(credit::Request),
    /// Reply to a request for a credit of a quota.
    #[serde(rename = "qr")]
    Credited(credit::Response),
    /// Request about kept turns; `Histories` replies.
    #[serde(rename = "hq")]
    History(history::wire::Request),
    /// Reply to a request about kept turns.
    #[serde(rename = "hr")]
    Histories(history::wire::Response),
    /// The sender sends no more requests on this link; the receiver closes it once it is unused.
    #[serde(rename = "re")]
    Retire,
    /// The request ends without another reply.
    #[serde(rename = "em")]
    Empty,
    /// The request was ignored, as its kind is unknown.
    #[serde(rename = "un")]
    Unsupported,
    /// A body that could not be decoded.
    #[serde(rename = "?")]
    Unknown,
}

/// State of an instance and recent changes of its view.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Entry of the sender.
    #[serde(rename = "e")]
    pub entry: Entry,
    /// Calls that run or wait on the sender.
    #[serde(rename = "l", default)]
    pub load: u32,
    /// Offset that the sender has applied, for each partition.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub applied: Vec<u64>,
    /// Highest offset that any instance is known to have applied, for each partition.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub highest_applied: Vec<u64>,
    /// Digest of the sender's view.
    #[serde(rename = "d", default)]
    pub digest: u64,
    /// Recent changes.
    #[serde(rename = "n", default, skip_serializing_if = "News::is_empty")]
    pub update: News,
}

/// Entries of instances and upstreams that changed.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct News {
    /// Entries of instances.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// Entries of upstreams.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
    /// Whether the receiver need not forward the entries.
    #[serde(rename = "q", default, skip_serializing_if = "std::ops::Not::not")]
    pub no_forward: bool,
    /// Groups of entries that the sender requests.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub requested_groups: Vec<u8>,
}

impl News {
    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.departures.is_empty()
    }
}

/// Reason why bytes are not a valid frame or `Hello`.
#[derive(Debug)]
#[derive(Error)]
pub enum Malformed {
    /// The header is invalid.
    #[error("invalid header: {0}")]
    Header(String),
    /// The `Hello` is invalid.
    #[error("invalid hello: {0}")]
    Hello(String),
}

/// Appends one encoded CBOR item to `buffer`.
fn write<T: Serialize + ?Sized>(buffer: &mut Vec<u8>, value: &T) {
    // Writes to a `Vec` can't fail, and CBOR can express all values of the types here.
    ciborium::into_writer(value, buffer).expect("encoding into memory succeeds");
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::with_capacity(128);
        let flags = (REPLY_FLAG * u8::from(self.reply)) | (LAST_FLAG * u8::from(self.last));
        write(&mut buffer, &(self.id, flags));
        write(&mut buffer, &self.body);
        buffer
    }

    /// Decodes a frame; a body that can't be decoded becomes [`Body::Unknown`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let mut rest = io::Cursor::new(bytes);
        let (id, flags): (u64, u8) = ciborium::from_reader(&mut rest)
            .map_err(|error| Malformed::Header(error.to_string()))?;
        let body = ciborium::from_reader(&mut rest).unwrap_or(Body::Unknown);
        Ok(Self {
            id,
            reply: flags & REPLY_FLAG != 0,
            last: flags & LAST_FLAG != 0,
            body,
        })
    }
}

impl Hello {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::with_capacity(256);
        write(&mut buffer, self);
        buffer
    }

    /// Decodes the message; unknown fields are ignored.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        ciborium::from_reader(bytes).map_err(|error| Malformed::Hello(error.to_string()))
    }

    /// Returns the highest version that both sides support, if there is one.
    pub fn common(&self, version: u32, lowest: u32) -> Option<u32> {
        let common = self.version.min(version);
        (common >= lowest && common >= self.lowest).then_some(common)
    }
}
