//! Headers by which callers, the gateway and upstreams talk; an adapter names them.

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

/// What the gateway tells an upstream about a request.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Upstream that the request is for; any other refuses it.
    pub upstream: &'a str,
    /// Time that is left for the answer.
    pub left: Duration,
    /// Event after which the stream goes on, if that isn't what the caller asked for.
    pub after: Option<u64>,
}

/// What an upstream says in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Reply<'a> {
    /// Request that is answered.
    pub id: Option<&'a str>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the upstream vouches for the body.
    pub signed: bool,
    /// Load of the upstream.
    pub load: Option<Report>,
}

/// Translation of headers.
pub trait Dialect: Copy + 'static {
    /// Path at which an instance says whether it is ready.
    const READINESS: &'static str;

    /// Decodes the headers of a caller's request.
    fn call(headers: &HeaderMap) -> Result<Call, Invalid>;

    /// Turns the headers of a caller's request into those for an upstream.
    fn dispatch(headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Decodes the headers of an upstream's answer.
    fn reply(headers: &HeaderMap) -> Reply<'_>;

    /// Returns whether a header of an upstream's answer is not for callers.
    fn internal(name: &HeaderName) -> bool;
}
