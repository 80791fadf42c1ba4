//! Frames of a link and their encoding.
//!
//! A message is two CBOR items in a row: the header `[id, flags]` and the body. A body of a kind
//! that is not known is skipped, as the next version may send it; a header that can't be read
//! ends the link. Names of fields and kinds are short, as control traffic is limited to
//! 9 KB/s per instance.

use std::io;

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
    gateway::owner,
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

/// Version of the protocol that this program speaks.
pub const VERSION: u32 = 1;

/// Lowest version of the protocol that this program speaks.
pub const LOWEST: u32 = 1;

const REPLY: u8 = 1;
const LAST: u8 = 2;

/// One message of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Number that the requester gave the request; 0 if no reply is expected.
    pub id: u64,
    /// Whether the frame is a reply.
    pub reply: bool,
    /// Whether it is the last reply.
    pub last: bool,
    /// What the frame says.
    pub body: Body,
}

/// First message in each direction of a link.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Hello {
    /// Version that the sender speaks.
    pub version: u32,
    /// Lowest version that the sender speaks.
    pub lowest: u32,
    /// Name of the deployment.
    pub cluster: String,
    /// The sender itself; its address is the one that its peer port listens on.
    pub entry: Entry,
    /// Secret that all instances of the deployment share.
    pub secret: String,
}

/// What a frame says.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// State of the sender and what changed lately.
    #[serde(rename = "hb")]
    Heartbeat(Heartbeat),
    /// News to forward at once.
    #[serde(rename = "ru")]
    Rumor(News),
    /// Digests of the sender's view, for a peer whose view differs.
    #[serde(rename = "dg")]
    Digest(Vec<u32>),
    /// A call that the receiver has to run; `Event` frames reply.
    #[serde(rename = "ca")]
    Call(Request),
    /// Part of the answer to a call.
    #[serde(rename = "ev")]
    Event(Event),
    /// Asks for the events of a running call; `Event` frames reply, or `Empty` if it is not running.
    #[serde(rename = "fo")]
    Follow {
        /// Program of the call.
        #[serde(rename = "p")]
        program: Program,
        /// Number of the turn.
        #[serde(rename = "t")]
        turn: u32,
        /// Byte of the answer's text at which the events begin.
        #[serde(rename = "f")]
        from: u64,
    },
    /// Asks to cancel a running call; `Held` replies if it was running, otherwise `Empty`.
    #[serde(rename = "ab")]
    Abort {
        /// Program of the call.
        #[serde(rename = "p")]
        program: Program,
        /// Number of the turn; the running one if absent.
        #[serde(rename = "t")]
        turn: Option<u32>,
    },
    /// The requester gave up the request with the frame's number.
    #[serde(rename = "x")]
    Cancel,
    /// The requester has room for so many more replies.
    #[serde(rename = "cr")]
    Credit(u32),
    /// Asks the pool's dispatcher for an upstream; `Grant` or `Deny` replies.
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
        /// Stable reason.
        #[serde(rename = "r")]
        reason: Reason,
        /// When to come back, in milliseconds.
        #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    /// The granted call has ended.
    #[serde(rename = "do")]
    Done {
        /// Number of the grant.
        #[serde(rename = "g")]
        grant: u64,
        /// What the call did.
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
    /// Asks the receiver to hold a record until the log is available; `Held` replies.
    #[serde(rename = "ho")]
    Hold(Record),
    /// The record need not be held any longer.
    #[serde(rename = "di")]
    Discard(Record),
    /// Asks whether the receiver knows of anything that contradicts a turn; `Held` or `Deny` replies.
    #[serde(rename = "co")]
    Confirm(Record),
    /// The record is held, or nothing contradicts it.
    #[serde(rename = "he")]
    Held,
    /// Asks for the state of a partition; `Chunk` frames reply.
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
    /// Question about the token accounts that gateways keep; `Accounted` replies.
    #[serde(rename = "aq")]
    Account(owner::Request),
    /// Reply to a question about token accounts.
    #[serde(rename = "ar")]
    Accounted(owner::Response),
    /// The sender makes no more requests on this link; the receiver closes it once it is unused.
    #[serde(rename = "re")]
    Retire,
    /// No reply follows.
    #[serde(rename = "em")]
    Empty,
    /// The request was ignored, as its kind is not known.
    #[serde(rename = "un")]
    Unsupported,
    /// A body that could not be understood.
    #[serde(rename = "?")]
    Unknown,
}

/// State of an instance and what changed lately.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "e")]
    pub entry: Entry,
    /// Calls that run or wait on the sender.
    #[serde(rename = "l", default)]
    pub load: u32,
    /// Offset that the sender has applied, for each partition.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub applied: Vec<u64>,
    /// Highest applied offset that the sender knows of any instance, for each partition.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub highest: Vec<u64>,
    /// Digest of the sender's view.
    #[serde(rename = "d", default)]
    pub digest: u64,
    /// What changed lately.
    #[serde(rename = "n", default, skip_serializing_if = "News::is_empty")]
    pub news: News,
}

/// Entries of instances and upstreams that changed.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct News {
    /// Instances.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// Upstreams.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub departures: Vec<Departure>,
    /// Whether the receiver need not forward it.
    #[serde(rename = "q", default, skip_serializing_if = "std::ops::Not::not")]
    pub quiet: bool,
    /// Groups of entries that the sender asks for.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub wanted: Vec<u8>,
}

impl News {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.departures.is_empty()
    }
}

/// Reason why bytes are not a frame.
#[derive(Debug)]
#[derive(Error)]
pub enum Malformed {
    /// The header can't be read.
    #[error("header can't be read: {0}")]
    Header(String),
    /// The `Hello` can't be read.
    #[error("hello can't be read: {0}")]
    Hello(String),
}

/// Encodes one CBOR item behind `buffer`.
fn write<T: Serialize + ?Sized>(buffer: &mut Vec<u8>, value: &T) {
    // A `Vec` accepts every write, and the types here have no values that CBOR can't express.
    ciborium::into_writer(value, buffer).expect("encoding into memory succeeds");
}

impl Frame {
    /// Encodes the frame.
    pub fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::with_capacity(128);
        let flags = (REPLY * u8::from(self.reply)) | (LAST * u8::from(self.last));
        write(&mut buffer, &(self.id, flags));
        write(&mut buffer, &self.body);
        buffer
    }

    /// Decodes a frame; a body that is not understood becomes [`Body::Unknown`].
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let mut rest = io::Cursor::new(bytes);
        let (id, flags): (u64, u8) = ciborium::from_reader(&mut rest)
            .map_err(|error| Malformed::Header(error.to_string()))?;
        let body = ciborium::from_reader(&mut rest).unwrap_or(Body::Unknown);
        Ok(Self {
            id,
            reply: flags & REPLY != 0,
            last: flags & LAST != 0,
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

    /// Decodes the message; fields that are not known are skipped.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        ciborium::from_reader(bytes).map_err(|error| Malformed::Hello(error.to_string()))
    }

    /// Returns the version that both sides speak, if there is one.
    pub fn common(&self, version: u32, lowest: u32) -> Option<u32> {
        let common = self.version.min(version);
        (common >= lowest && common >= self.lowest).then_some(common)
    }
}
