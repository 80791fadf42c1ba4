//! Choice of the upstream of a request.
//!
//! Serves two load patterns: turns whose prompts share long prefixes, which are expensive on
//! upstreams that have not cached them, and short calls to a few upstreams that slow down without
//! notice.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use rand::{
    Rng,
    RngExt, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    call::{
        Prefix,
        Prompt, //
    },
    load::Load,
    overload::speed::Speeds,
    registry::Server,
};
use crate::{
    clock::Time,
    hash::{
        self,
        Map, //
    },
};

/// Mean fraction of a turn's maximum tokens that is generated.
pub const MEAN_OUTPUT: f64 = 0.45;

/// Relative growth of the duration of a turn with each other turn in the batch: its share of the
/// steps, and the prompts that the engine reads for it in between.
pub const BATCH_SLOWDOWN: f64 = 0.04;

/// Cost of the delay of each other turn in the batch, as a fraction of the time for which the engine
/// reads a prompt. Without it, turns at a peak leave engines that are busy and have their prompt for
/// others that have to read it first, which leaves all engines busier still.
const INTERFERENCE: f64 = 0.5;

/// Fraction of a shared prefix presumed to be cached on the upstream that all instances prefer for
/// that prefix, if nothing is known about it.
const PRESUMED_CACHED: f64 = 0.6;

/// Expected duration of a call to the upstream that all instances prefer for its object, as a
/// fraction of the duration elsewhere. An upstream that handled the object recently takes half the
/// time, and only some objects were handled recently.
const WARM_WORK: f64 = 0.7;

/// Cost of a recently lost answer: the time of a turn that is run again.
///
/// An upstream that fails each request immediately has no load, and would otherwise attract most
/// requests.
const LOST_COST_MS: f64 = 400.0;

/// Jitter of choices that each instance makes by itself.
pub const JITTER: f64 = 0.03;

/// Cost of an avoided upstream: more than any load.
const AVOIDED_COST_MS: f64 = 10_000.0;

/// Priors of the speed of upstreams, and costs of leaving the availability zone.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Prompt tokens that an engine processes in a millisecond; from the engines' data sheet.
    pub read_tokens_per_ms: f64,
    /// Duration of a step of an engine that runs one request, in milliseconds; from the data sheet.
    pub step_ms: f64,
    /// Duration of a call to a plain service, in milliseconds; from the operators' data sheet.
    pub call_ms: f64,
    /// Delay accepted to keep a turn in its availability zone, in milliseconds.
    pub turn_zone_ms: f64,
    /// Delay accepted to keep any other call in its availability zone, in milliseconds.
    pub call_zone_ms: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            read_tokens_per_ms: 205.0,
            step_ms: 1.27,
            call_ms: 30.0,
            turn_zone_ms: 15.0,
            call_zone_ms: 2.0,
        }
    }
}

/// Inputs of a choice besides the upstreams and their load.
pub struct Request<'a> {
    /// Time of the decision.
    pub now: Time,
    /// Availability zone of this instance.
    pub zone: &'a str,
    /// Prompt and its prefixes; `None` for a call to a plain service.
    pub prompt: Option<(&'a Prompt, &'a [Prefix])>,
    /// Name of the route, by which the duration of plain calls is learned.
    pub route: &'a str,
    /// Object that a call to a plain service concerns, if upstreams that handled it recently work
    /// faster.
    pub object: Option<&'a str>,
    /// Upstreams that refused the request.
    pub excluded: &'a [SocketAddr],
    /// Software version that the upstream must have; any if it is `None`.
    pub version: Option<&'a str>,
    /// Maximum random change of a cost, as a fraction of it: instances with the same information
    /// must not all choose the same upstream.
    pub jitter: f64,
}

/// Values from which a choice was made; logged with the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Inputs {
    /// Expected time until the end of the answer, in milliseconds.
    #[serde(rename = "c")]
    pub cost_ms: f64,
    /// Prompt tokens that the upstream has to process.
    #[serde(rename = "u")]
    pub unread: u64,
    /// Estimated requests in flight on the upstream.
    #[serde(rename = "r")]
    pub running: f64,
    /// Expected duration of work, as a multiple of the nominal duration.
    #[serde(rename = "p")]
    pub pace: f64,
    /// Age of the latest load report in milliseconds; `None` if there was none.
    #[serde(rename = "a")]
    pub report_age_ms: Option<u64>,
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub server: Rc<Server>,
    /// Values from which it was chosen.
    pub inputs: Inputs,
}

/// Picks the upstream with the lowest expected time.
pub fn pick<'a>(
    (settings, speeds): (&Settings, &Speeds),
    request: &Request<'_>,
    servers: impl Iterator<Item = &'a Rc<Server>>,
    loads: &Map<SocketAddr, Load>,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let unknown_load = Load::default();
    let candidates: Vec<_> = servers
        .filter(|server| !request.excluded.contains(&server.address))
        .filter(|server| server.has_version(request.version))
        .collect();
    let preferred = preferred(request, &candidates);
    let usage = local_usage(request, &candidates, loads);
    let choice = |server: &&Rc<Server>| {
        let load = loads.get(&server.address).unwrap_or(&unknown_load);
        let presumed = preferred.as_deref() == Some(&*server.id);
        let mut choice = estimate((settings, speeds), request, server, load, presumed, usage);
        choice.inputs.cost_ms *= 1.0 + rng.random_range(-request.jitter..=request.jitter);
        choice
    };
    candidates
        .iter()
        .map(choice)
        .min_by(|a, b| a.inputs.cost_ms.total_cmp(&b.inputs.cost_ms))
}

/// Returns the upstream that all instances of the zone prefer for a new prompt with this prefix, or
/// that all instances prefer for this object.
fn preferred(request: &Request<'_>, candidates: &[&Rc<Server>]) -> Option<String> {
    if let Some(object) = request.object {
        let ids = candidates.iter().map(|server| &*server.id);
        return hash::rendezvous(object.as_bytes(), ids).map(ToOwned::to_owned);
    }
    let (_, prefixes) = request.prompt?;
    let key = prefixes.first()?.key.to_be_bytes();
    let local = candidates
        .iter()
        .filter(|server| &*server.zone == request.zone)
        .map(|server| &*server.id);
    hash::rendezvous(&key, local).map(ToOwned::to_owned)
}

/// Returns the mean fraction of the slots in use of the upstreams in the local availability zone.
fn local_usage(
    request: &Request<'_>,
    candidates: &[&Rc<Server>],
    loads: &Map<SocketAddr, Load>,
) -> f64 {
    let local = candidates
        .iter()
        .filter(|server| &*server.zone == request.zone);
    let (mut running, mut slots) = (0.0, 0.0);
    for server in local {
        let load = loads.get(&server.address);
        running += load.map_or(0.0, |load| load.running(request.now));
        slots += f64::from(server.slots);
    }
    if slots > 0.0 {
        running / slots
    } else {
        0.0
    }
}

fn estimate(
    (settings, speeds): (&Settings, &Speeds),
    request: &Request<'_>,
    server: &Rc<Server>,
    load: &Load,
    presumed: bool,
    usage: f64,
) -> Choice {
    let now = request.now;
    let slots = f64::from(server.slots);
    let pace = load.pace(now);
    let remote = &*server.zone != request.zone;
    // Little is known of upstreams in other zones, which are presumed to be as busy as the local
    // ones; otherwise a peak in all zones would send turns from each zone to the others.
    let running = match remote {
        true => load.running_presumed(now, usage * slots),
        false => load.running(now),
    };
    let mut cost_ms = 0.0;
    let mut unread = 0;
    if let Some((prompt, prefixes)) = request.prompt {
        let mut cached = load.cached_tokens(prefixes);
        if cached == 0 && presumed {
            cached = prefixes.first().map_or(0, |prefix| {
                (f64::from(prefix.tokens) * PRESUMED_CACHED) as u32
            });
        }
        let speed = speeds.placement(now, settings, server.address);
        unread = u64::from(prompt.tokens.saturating_sub(cached));
        let read_ms = unread as f64 / speed.read_tokens_per_ms;
        let pending_ms = load.pending_prefill() as f64 / speed.read_tokens_per_ms;
        let interference = INTERFERENCE * running.min(slots);
        let prefill_ms = pending_ms + read_ms * (1.0 + interference);
        let slowdown = 1.0 + BATCH_SLOWDOWN * running.min(slots);
        let decode_ms = f64::from(prompt.max_tokens) * MEAN_OUTPUT * speed.step_ms * slowdown;
        let rounds_ahead = ((running + 1.0 - slots) / slots).max(0.0);
        cost_ms += pace * (prefill_ms + decode_ms * (1.0 + rounds_ahead));
        cost_ms += if remote { settings.turn_zone_ms } else { 0.0 };
    } else {
        let ahead = (running + 1.0 - slots).max(0.0) / slots;
        // More free slots make a call no faster, but an upstream with few of them is soon full.
        let slowdown = 0.2 * running / slots;
        let work = if presumed { WARM_WORK } else { 1.0 };
        let call_ms = speeds.call_ms(settings, request.route);
        cost_ms += call_ms * pace * (work + ahead + slowdown);
        cost_ms += if remote { settings.call_zone_ms } else { 0.0 };
    }
    cost_ms += load.permit_wait(now).as_secs_f64() * 1_000.0;
    cost_ms += LOST_COST_MS * load.recent_losses(now);
    if load.avoided(now) {
        cost_ms += AVOIDED_COST_MS;
    }
    let inputs = Inputs {
        cost_ms,
        unread,
        running,
        pace,
        report_age_ms: load.age(now).map(|age| age.as_millis() as u64),
    };
    Choice {
        server: server.clone(),
        inputs,
    }
}
