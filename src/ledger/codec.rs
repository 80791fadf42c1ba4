//! CBOR encoding of records and states.

use bytes::Bytes;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use thiserror::Error;

use crate::ledger::record::Record;

/// Reason why bytes can't be decoded as a record or a state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("malformed CBOR: {0}")]
pub struct Malformed(String);

/// Encodes a record in CBOR.
pub fn encode(record: &Record) -> Bytes {
    pack(record)
}

/// Decodes a record from CBOR.
pub fn decode(bytes: &[u8]) -> Result<Record, Malformed> {
    unpack(bytes)
}

pub(crate) fn pack(value: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to memory can't fail, and all map keys are strings or identifiers.
    ciborium::into_writer(value, &mut bytes).expect("records and states can be encoded");
    bytes.into()
}

pub(crate) fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    ciborium::from_reader(bytes).map_err(|error| Malformed(error.to_string()))
}
