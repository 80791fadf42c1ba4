//! Keys of tenants. Only digests are kept, so that no key reaches a log line or a metric.

use std::fmt;

use sha2::{
    Digest as _,
    Sha256, //
};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Reason why a request carries no key that could be looked up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// There is none.
    Missing,
    /// It has no characters.
    Empty,
    /// There are several.
    Repeated,
    /// It exceeds the maximum length.
    TooLong,
}

impl Fault {
    /// Returns the reason code, sent to the caller and used as a metric label.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Missing => "key_missing",
            Self::Empty => "key_empty",
            Self::Repeated => "key_repeated",
            Self::TooLong => "key_too_long",
        }
    }
}

/// Reason code of a request whose key no tenant holds.
pub const UNKNOWN_REASON: &str = "key_unknown";

/// Digest of a key. Keys are compared by digest, so that the time of a lookup tells nothing about
/// other keys.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct Key([u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl TryFrom<&[u8]> for Key {
    type Error = Fault;

    fn try_from(text: &[u8]) -> Result<Self, Fault> {
        let text = text.trim_ascii();
        match text.len() {
            0 => Err(Fault::Empty),
            1..=MAX_KEY_BYTES => Ok(Self(Sha256::digest(text).into())),
            _ => Err(Fault::TooLong),
        }
    }
}
