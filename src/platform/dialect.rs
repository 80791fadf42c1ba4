//! Headers of requests and answers.

use std::{
    str::FromStr,
    time::Duration, //
};

use actix_http::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};

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
};

const REQUEST: HeaderName = HeaderName::from_static("request-id");
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
const PROGRAM: HeaderName = HeaderName::from_static("program-id");
const SESSION: HeaderName = HeaderName::from_static("session-id");
const FINISH: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that all turns of a program may generate.
const BUDGET: HeaderName = HeaderName::from_static("token-budget");
/// Tokens of the prompt, and most tokens of the answer.
const TOKENS: HeaderName = HeaderName::from_static("token-count");
const PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
const RESUME: HeaderName = HeaderName::from_static("last-event-id");
const EXPECTED: HeaderName = HeaderName::from_static("expect-instance");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// Signature of a server over its answer.
const SEAL: HeaderName = HeaderName::from_static("server-seal");

/// Headers that only the system sets.
const RESERVED: [HeaderName; 6] = [
    EXPECTED,
    HeaderName::from_static("hold"),
    HeaderName::from_static("pin-ms"),
    HeaderName::from_static("kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Headers of answers that are for the system.
const INTERNAL: [HeaderName; 1] = [LOAD];

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
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

fn part(entry: &str) -> Option<Part> {
    let (id, tokens) = entry.trim().split_once(':')?;
    Some(Part {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Invalid> {
    let Some(counts) = text(headers, &TOKENS) else {
        return Ok(None);
    };
    let invalid = |name: &HeaderName| Invalid(name.to_string());
    let counts = counts
        .split_once(',')
        .and_then(|(read, made)| Some((read.trim().parse().ok()?, made.trim().parse().ok()?)));
    let (tokens, max_tokens) = counts.ok_or_else(|| invalid(&TOKENS))?;
    let parts = match text(headers, &PREFIX) {
        Some(list) => {
            let parts: Option<Vec<_>> = list.split(',').map(part).collect();
            parts.ok_or_else(|| invalid(&PREFIX))?
        }
        None => Vec::new(),
    };
    Ok(Some(Prompt {
        tokens,
        max_tokens,
        parts,
    }))
}

fn work(headers: &HeaderMap) -> Result<Option<Program>, Invalid> {
    let Some(program) = text(headers, &PROGRAM) else {
        return Ok(None);
    };
    Ok(Some(Program {
        id: program.into(),
        session: text(headers, &SESSION).map(Into::into),
        finish: milliseconds(headers, &FINISH)?,
        budget: value(headers, &BUDGET)?,
    }))
}

fn report(headers: &HeaderMap) -> Option<Report> {
    let mut figures = text(headers, &LOAD)?.split(',').map(str::trim);
    let mut figure = || figures.next()?.parse::<u32>().ok();
    let (running, waiting, slots) = (figure()?, figure()?, figure()?);
    Some(Report {
        running,
        waiting,
        slots,
        pace: figure().map_or(1.0, |percent| f64::from(percent) / 100.0),
    })
}

/// The platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct Dialect;

impl dialect::Dialect for Dialect {
    const READINESS: &'static str = "/v1/readiness";

    fn call(headers: &HeaderMap) -> Result<Call, Invalid> {
        let id = text(headers, &REQUEST).ok_or_else(|| Invalid(REQUEST.to_string()))?;
        Ok(Call {
            id: id.into(),
            timeout: milliseconds(headers, &DEADLINE)?,
            program: work(headers)?,
            prompt: prompt(headers)?,
            after: value(headers, &RESUME)?,
        })
    }

    fn dispatch(headers: &mut HeaderMap, dispatch: &Dispatch<'_>) {
        for name in &RESERVED {
            headers.remove(name);
        }
        let left = dispatch.remaining.as_millis() as u64;
        headers.insert(DEADLINE, HeaderValue::from(left));
        match HeaderValue::from_str(dispatch.upstream) {
            Ok(id) => {
                headers.insert(EXPECTED, id);
            }
            Err(error) => log::warn!(error:%; "dispatch: name of the upstream is not a header"),
        }
        if let Some(after) = dispatch.after {
            headers.insert(RESUME, HeaderValue::from(after));
        }
    }

    fn reply(headers: &HeaderMap) -> Reply<'_> {
        Reply {
            id: text(headers, &REQUEST),
            not_run: headers.contains_key(&NOT_RUN),
            signed: headers.contains_key(&SEAL),
            load: report(headers),
        }
    }

    fn internal(name: &HeaderName) -> bool {
        INTERNAL.contains(name)
    }
}
