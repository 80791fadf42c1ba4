//! Names and formats of the platform's HTTP headers.
//!
//! The platform calls an upstream a server.

use std::{
    str::FromStr,
    sync::Arc,
    time::Duration, //
};

use actix_http::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};

use super::wire;
use crate::gateway::{
    call::{
        Call,
        Invalid,
        Part,
        Program,
        Prompt, //
    },
    dialect::{
        self,
        Dispatch,
        Reply, //
    },
    load::Report,
    tenant::key, //
};

/// Identifier of the request, unique to each attempt of the caller.
const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds left until the caller stops waiting; not a point in time.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const PROGRAM_ID: HeaderName = HeaderName::from_static("program-id");
/// Identifier of a sequence of turns of the program that share a context.
const SESSION_ID: HeaderName = HeaderName::from_static("session-id");
/// Milliseconds within which the whole program should finish.
const FINISH_MS: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that all turns of a program may generate.
const TOKEN_BUDGET: HeaderName = HeaderName::from_static("token-budget");
/// Tokens of the prompt and maximum tokens of the answer, separated by a comma.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");
/// Parts of the prompt in order: comma-separated `id:tokens`, with `id` in hexadecimal.
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Key of the caller's tenant.
const KEY: HeaderName = HeaderName::from_static("key");
/// Name of the caller's tenant, set for servers.
const TENANT: HeaderName = HeaderName::from_static("tenant");
/// Identifier of the request that answered the turn from which a turn continues.
const PREVIOUS_TURN: HeaderName = HeaderName::from_static("previous-turn");
/// Object that the request concerns.
const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Identifier of the request that brought the first event of the stream that is resumed.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Identifier of the only server that may run the request; does not name an instance of
/// the gateway.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Present if the server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Load of a server, separated by commas: running requests, waiting requests, slots and,
/// optionally, the current duration of work in percent of the nominal duration.
const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// Present with value `1` if the server leaves and takes no new requests.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that an overloaded server takes from all instances together, as a decimal
/// number; absent if it has no limit.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Signature of the server over its answer.
const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");

/// Maximum length of an affinity key that is used.
const MAX_AFFINITY_KEY_BYTES: usize = 256;

/// Maximum length of the identifier of a previous turn.
const MAX_PREVIOUS_TURN_BYTES: usize = 128;

/// Headers reserved for the system; those of callers are removed. Servers never get the key.
const RESERVED: [HeaderName; 8] = [
    EXPECT_INSTANCE,
    KEY,
    TENANT,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Headers of answers that are not passed on to callers.
const INTERNAL: [HeaderName; 1] = [SERVER_LOAD];

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header unless its values differ, as in a head that runs into that of another answer.
fn sole_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name);
    let first = values.next()?;
    let same = values.all(|value| value == first);
    same.then(|| first.to_str().ok()).flatten()
}

fn value<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>, Invalid> {
    let Some(text) = text(headers, name) else {
        return Ok(None);
    };
    let value = text.trim().parse();
    value.map(Some).map_err(|_| Invalid(name.to_string()))
}

fn milliseconds(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Duration>, Invalid> {
    let value: Option<f64> = value(headers, name)?;
    Ok(value.map(|ms| Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()))
}

fn parse_part(entry: &str) -> Option<Part> {
    let (id, tokens) = entry.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Invalid> {
    let Some(counts) = text(headers, &TOKEN_COUNT) else {
        return Ok(None);
    };
    let invalid = |name: &HeaderName| Invalid(name.to_string());
    let counts = counts.split_once(',').and_then(|(prompt, answer)| {
        Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
    });
    let (tokens, max_tokens) = counts.ok_or_else(|| invalid(&TOKEN_COUNT))?;
    let parts = match text(headers, &PROMPT_PREFIX) {
        Some(list) => {
            let parts: Option<Vec<_>> = list.split(',').map(parse_part).collect();
            parts.ok_or_else(|| invalid(&PROMPT_PREFIX))?
        }
        None => Vec::new(),
    };
    Ok(Some(Prompt {
        tokens,
        max_tokens,
        parts,
    }))
}

fn program(headers: &HeaderMap) -> Result<Option<Program>, Invalid> {
    let Some(id) = text(headers, &PROGRAM_ID) else {
        return Ok(None);
    };
    Ok(Some(Program {
        id: id.into(),
        session: text(headers, &SESSION_ID).map(Into::into),
        finish: milliseconds(headers, &FINISH_MS)?,
        budget: value(headers, &TOKEN_BUDGET)?,
    }))
}

/// Returns the object that a request concerns. A missing, empty, oversized or repeated key names
/// none, because it serves the choice of a server only.
fn object(headers: &HeaderMap) -> Option<Arc<str>> {
    let mut keys = headers.get_all(&AFFINITY_KEY);
    let key = keys.next()?.to_str().ok()?.trim();
    let valid = !key.is_empty() && key.len() <= MAX_AFFINITY_KEY_BYTES && keys.next().is_none();
    valid.then(|| key.into())
}

/// Returns the key of the caller's tenant.
fn credential(headers: &HeaderMap) -> Result<key::Key, key::Fault> {
    let mut keys = headers.get_all(&KEY);
    let key = keys.next().ok_or(key::Fault::Missing)?;
    match keys.next() {
        Some(_) => Err(key::Fault::Repeated),
        None => key::Key::try_from(key.as_bytes()),
    }
}

/// Returns the request that answered the turn from which a turn continues.
fn previous(headers: &HeaderMap) -> Result<Option<Arc<str>>, Invalid> {
    let mut names = headers.get_all(&PREVIOUS_TURN);
    let Some(name) = names.next() else {
        return Ok(None);
    };
    let name = name.to_str().unwrap_or("").trim();
    let valid = !name.is_empty() && name.len() <= MAX_PREVIOUS_TURN_BYTES;
    match valid && names.next().is_none() {
        true => Ok(Some(name.into())),
        false => Err(Invalid(PREVIOUS_TURN.to_string())),
    }
}

fn report(headers: &HeaderMap) -> Option<Report> {
    let mut fields = text(headers, &SERVER_LOAD)?.split(',').map(str::trim);
    let mut next = || fields.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (next()?, next()?, next()?);
    Some(Report {
        running,
        waiting,
        slots,
        pace: next().map_or(1.0, |percent| f64::from(percent) / 100.0),
    })
}

fn limit(headers: &HeaderMap) -> Option<f64> {
    let limit: f64 = text(headers, &SERVER_LIMIT)?.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(limit)
}

/// Translation of the platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect;

impl dialect::Dialect for Dialect {
    const READINESS: &'static str = "/v1/readiness";
    const DESCRIPTION: &'static str = "/v1/report";

    fn call(headers: &HeaderMap) -> Result<Call, Invalid> {
        let id = text(headers, &REQUEST_ID).ok_or_else(|| Invalid(REQUEST_ID.to_string()))?;
        Ok(Call {
            id: id.into(),
            timeout: milliseconds(headers, &DEADLINE_MS)?,
            program: program(headers)?,
            prompt: prompt(headers)?,
            after: value(headers, &LAST_EVENT_ID)?,
            resumes: text(headers, &RESUMES).map(Into::into),
            object: object(headers),
            credential: credential(headers),
            previous: previous(headers),
        })
    }

    fn dispatch(headers: &mut HeaderMap, dispatch: &Dispatch<'_>) {
        for name in &RESERVED {
            headers.remove(name);
        }
        if let Some(tenant) = dispatch.tenant {
            match HeaderValue::from_bytes(tenant.as_bytes()) {
                Ok(tenant) => headers.insert(TENANT, tenant),
                Err(error) => {
                    log::warn!(
                        error:%;
                        "dispatch: name of the tenant is not a valid header value; leaving it out"
                    );
                    headers.remove(&TENANT)
                }
            };
        }
        let remaining_ms = dispatch.remaining.as_millis() as u64;
        headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
        match HeaderValue::from_str(dispatch.upstream) {
            Ok(id) => {
                headers.insert(EXPECT_INSTANCE, id);
            }
            Err(error) => log::warn!(
                error:%;
                "dispatch: identifier of the upstream is not a valid header value; leaving it out"
            ),
        }
        if let Some(after) = dispatch.after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(after));
        }
    }

    fn reply(headers: &HeaderMap) -> Reply<'_> {
        Reply {
            id: sole_text(headers, &REQUEST_ID),
            not_run: headers.contains_key(&NOT_RUN),
            signed: headers.contains_key(&SERVER_SEAL),
            load: report(headers),
            leaving: text(headers, &SERVER_LEAVING).is_some_and(|value| value.trim() == "1"),
            limit: limit(headers),
        }
    }

    fn started(description: &[u8]) -> Option<u64> {
        wire::started(description)
    }

    fn internal(name: &HeaderName) -> bool {
        INTERNAL.contains(name)
    }
}
