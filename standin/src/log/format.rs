//! Embedded formats of record keys and values.

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    value::RawValue,
    Value, //
};

use super::{
    partition::{
        Entry,
        Pair, //
    },
    problem::Problem,
};

/// Media type of bodies that contain no records.
pub const MEDIA_TYPE: &str = "application/vnd.kafka.v2+json";

/// Encoding of keys and values in JSON.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Base64 text.
    #[default]
    Binary,
    /// JSON values.
    Json,
}

impl Format {
    /// Returns the format of a media type; `None` if it isn't one of records.
    pub fn from_media_type(media_type: &str) -> Option<Self> {
        let media_type = media_type.split(';').next().unwrap_or_default().trim();
        match media_type {
            "application/vnd.kafka.binary.v2+json" => Some(Self::Binary),
            "application/vnd.kafka.json.v2+json" => Some(Self::Json),
            _ => None,
        }
    }

    /// Returns the media type.
    pub fn media_type(self) -> &'static str {
        match self {
            Self::Binary => "application/vnd.kafka.binary.v2+json",
            Self::Json => "application/vnd.kafka.json.v2+json",
        }
    }

    fn decode(self, field: &RawValue) -> Result<Option<Bytes>, Problem> {
        if field.get() == "null" {
            return Ok(None);
        }
        if self == Self::Json {
            return Ok(Some(Bytes::copy_from_slice(field.get().as_bytes())));
        }
        let invalid = |error: String| Problem::new(422, format!("Invalid base64 field: {error}"));
        let text: String =
            serde_json::from_str(field.get()).map_err(|error| invalid(error.to_string()))?;
        let bytes = STANDARD
            .decode(text)
            .map_err(|error| invalid(error.to_string()))?;
        Ok(Some(bytes.into()))
    }

    fn encode(self, bytes: Option<&Bytes>) -> Result<Value, Problem> {
        let Some(bytes) = bytes else {
            return Ok(Value::Null);
        };
        match self {
            Self::Binary => Ok(Value::String(STANDARD.encode(bytes))),
            Self::Json => serde_json::from_slice(bytes).map_err(|error| {
                Problem::broker_error(&format!("Error deserializing JSON: {error}"))
            }),
        }
    }
}

/// Body of a produce request.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Produce<'a> {
    #[serde(borrow)]
    records: Vec<Record<'a>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Record<'a> {
    #[serde(borrow, default)]
    key: Option<&'a RawValue>,
    #[serde(borrow)]
    value: &'a RawValue,
}

impl Produce<'_> {
    /// Returns keys and values as bytes.
    pub fn decode(&self, format: Format) -> Result<Vec<Pair>, Problem> {
        let decode = |record: &Record<'_>| {
            let key = record.key.map_or(Ok(None), |key| format.decode(key))?;
            Ok((key, format.decode(record.value)?))
        };
        self.records.iter().map(decode).collect()
    }
}

/// A record as consumers receive it.
#[derive(Serialize)]
struct Fetched<'a> {
    topic: &'a str,
    key: Value,
    value: Value,
    partition: u32,
    offset: u64,
}

impl Entry {
    /// Returns the JSON of the record for consumers. It is encoded once and cached, because
    /// every instance reads every record.
    pub fn render(&self, format: Format, topic: &str, partition: u32) -> Result<Bytes, Problem> {
        let cached = match format {
            Format::Binary => &self.binary,
            Format::Json => &self.json,
        };
        if let Some(text) = cached.get() {
            return Ok(text.clone());
        }
        let fetched = Fetched {
            topic,
            key: format.encode(self.key.as_ref())?,
            value: format.encode(self.value.as_ref())?,
            partition,
            offset: self.offset,
        };
        let text = serde_json::to_vec(&fetched);
        let text = Bytes::from(text.map_err(|error| Problem::broker_error(&error.to_string()))?);
        Ok(cached.get_or_init(|| text).clone())
    }
}
