//! Identity of what a request asks for, across attempts, callers and instances.

use actix_http::{
    Method,
    Uri, //
};

use crate::hash;

/// Hash of a part of what a request asks for.
pub type Key = u64;

/// What a request asks for.
///
/// The request id and the program are left out: both differ between requests with the same effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprint {
    /// Hash of method, host, path and query.
    pub target: Key,
    /// Hash of the target and the body.
    pub content: Key,
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn new(method: &Method, host: &str, uri: &Uri, body: &[u8]) -> Self {
        let path = uri.path_and_query().map_or("", |path| path.as_str());
        // No part contains a line feed, so that different ones don't run into each other.
        let target = format!("{method}\n{host}\n{path}\n");
        let target = hash::stable(target.as_bytes());
        let content = hash::seeded(target, body);
        Self { target, content }
    }

    /// Returns the keys, the less specific one first.
    pub fn keys(&self) -> [Key; 2] {
        [self.target, self.content]
    }
}
