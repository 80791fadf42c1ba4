//! Pages of the newest records of a keyed topic.
//!
//! Any writer may have left a record, with any bytes as its key: none of them keeps the others from
//! being read.

use base64::{
    prelude::BASE64_STANDARD,
    Engine as _, //
};
use bytes::Bytes;
use serde_json::value::RawValue;

use super::wire::Item;
use crate::hash::Set;

/// Returns whether a key is the text that its writer wrote. Bytes that are no text are replaced, so
/// that different keys would look alike.
pub fn is_exact(key: &str) -> bool {
    !key.contains(char::REPLACEMENT_CHARACTER)
}

/// Pages read so far.
#[derive(Debug, Default)]
pub struct Pages {
    /// Keys and values of the records that can be decoded.
    pub records: Vec<(String, Bytes)>,
    /// Key after which the next page begins.
    after: Option<String>,
    /// Keys after which pages began.
    begun: Set<String>,
    /// Last key of the latest page that is exact, or the last one.
    last: Option<String>,
}

impl Pages {
    /// Returns the key after which the next page begins; `None` for the first one.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Adds the records of a page.
    pub fn push(&mut self, items: Vec<&RawValue>) {
        self.last = None;
        let mut exact = false;
        for item in items {
            let Item { key, value } = match serde_json::from_str(item.get()) {
                Ok(item) => item,
                Err(error) => {
                    log::warn!(error:%; "store: record of a key can't be decoded; skipping it");
                    continue;
                }
            };
            if !is_exact(&key) {
                log::warn!(key:? = key; "store: key is no text; skipping its record");
                // The store may not find the place of such a key.
                if !exact {
                    self.last = Some(key);
                }
                continue;
            }
            exact = true;
            self.last = Some(key.clone());
            let value = BASE64_STANDARD.decode(&value).unwrap_or_else(|error| {
                log::warn!(
                    key:? = key, error:%;
                    "store: value is not valid base64; using an empty one"
                );
                Vec::new()
            });
            self.records.push((key, value.into()));
        }
    }

    /// Goes on to the next page; returns whether it begins where none began before.
    pub fn advance(&mut self) -> bool {
        let Some(last) = self.last.take() else {
            return false;
        };
        self.after = Some(last.clone());
        self.begun.insert(last)
    }
}
