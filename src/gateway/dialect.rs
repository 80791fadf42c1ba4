//! Interface to the headers exchanged with callers and upstreams; an adapter defines their names.

use std::time::Duration;

use actix_http::header::{
    HeaderMap,
    HeaderName, //
};

use super::{
    call::{
        Call,
        Invalid, //
    },
    load::Report,
};

/// Parameters of a request that the gateway sets for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Identifier of the intended upstream; any other refuses the request.
    pub upstream: &'a str,
    /// Time left until the answer is due.
    pub remaining: Duration,
    /// Event after which the stream resumes, unless it is the one that the caller requested.
    pub after: Option<u64>,
    /// Tenant of the caller.
    pub tenant: Option<&'a str>,
}

/// Decoded head of an upstream's answer.
#[derive(Clone, Copy, Debug)]
pub struct Reply<'a> {
    /// Identifier of the request that is answered.
    pub id: Option<&'a str>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the upstream signed the answer.
    pub signed: bool,
    /// Load of the upstream, if reported.
    pub load: Option<Report>,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
    /// Requests per second that the upstream takes from all instances together, if it states a
    /// limit; finite and not negative.
    pub limit: Option<f64>,
}

/// Translation of headers.
pub trait Dialect: Copy + 'static {
    /// Path of the readiness check.
    const READINESS: &'static str;

    /// Path at which an upstream describes itself.
    const DESCRIPTION: &'static str;

    /// Decodes the headers of a caller's request.
    fn call(headers: &HeaderMap) -> Result<Call, Invalid>;

    /// Rewrites the headers of a caller's request for an upstream.
    fn dispatch(headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the headers of an upstream's answer.
    fn reply(headers: &HeaderMap) -> Reply<'_>;

    /// Decodes when an upstream started, in Unix milliseconds, from its description; `None` if that
    /// does not state it.
    fn started(description: &[u8]) -> Option<u64>;

    /// Returns whether a header of an upstream's answer is withheld from callers.
    fn internal(name: &HeaderName) -> bool;
}
