//! Immutable reference-counted names, validated on construction.

use std::{
    borrow::Borrow,
    fmt,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_BYTES: usize = 64;

/// Validation error of a name.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Invalid {
    /// The name is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_BYTES`]; has its length in bytes.
    #[error("a name has at most {MAX_BYTES} bytes, not {0}")]
    TooLong(usize),
    /// The name contains a character outside the allowed set.
    #[error("a name consists of a-z, A-Z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

fn check(text: &str) -> Result<(), Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(Invalid::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(Invalid::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Invalid;

            fn try_from(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Invalid;

            fn try_from(text: String) -> Result<Self, Invalid> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.as_str().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                self.as_str()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    )+};
}

names! {
    /// Name of a customer, unique in a deployment.
    Customer,
    /// Name of an availability zone.
    Zone,
    /// Name of an instance, unique over its lifetime; a replacement has another name.
    Instance,
    /// Name of a pool of upstreams that offer the same service or model.
    Pool,
    /// Name of one upstream in a pool.
    Upstream,
    /// Name of a customer's kind of work, for example `stitch-status`.
    Class,
    /// Identifier of a program: its availability zone and a UUID v7, joined by a dot.
    Program,
}
