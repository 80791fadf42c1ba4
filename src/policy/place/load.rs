//! Orders that bring engines to the placement at the rate of the weight store.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Artifact,
    Order,
    Placement,
    Plan, //
};
use crate::{
    clock::Time,
    name::Upstream, //
};

/// Rate of the weight store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Rate {
    /// Bytes per second.
    pub bytes: u64,
    /// Most loads at a time.
    pub loads: usize,
}

/// Plans loads and drops.
#[derive(Debug)]
pub struct Loader {
    rate: Rate,
    /// Time from which the store is free again at its rate.
    free_at: Time,
    running: BTreeSet<(Upstream, Artifact)>,
}

impl Loader {
    /// Makes a loader that has ordered nothing.
    pub fn new(rate: Rate) -> Self {
        Self {
            rate,
            free_at: Time::default(),
            running: BTreeSet::new(),
        }
    }

    /// Notes that a load ended, well or not; it is ordered again if it is still missing.
    pub fn ended(&mut self, engine: &Upstream, artifact: &Artifact) {
        self.running.remove(&(engine.clone(), artifact.clone()));
    }

    /// Returns when the store is free again.
    pub fn next_wake(&self) -> Time {
        self.free_at
    }

    /// Returns the orders to give now; `held` is what engines were last seen to hold.
    ///
    /// An engine that `held` does not list was not seen and gets no orders.
    ///
    /// What no engine holds is loaded first. An artifact is dropped when its engine needs the room
    /// and enough other engines hold it, or when the configuration no longer names it.
    pub fn orders(
        &mut self,
        now: Time,
        plan: &Plan,
        placement: &Placement,
        held: &Placement,
    ) -> Vec<Order> {
        let mut copies: BTreeMap<&Artifact, usize> = BTreeMap::new();
        for artifact in held.values().flatten() {
            *copies.entry(artifact).or_default() += 1;
        }
        let mut orders = drops(plan, placement, held, &mut copies);
        let mut missing: Vec<_> = placement
            .iter()
            .flat_map(|(engine, wanted)| wanted.iter().map(move |artifact| (engine, artifact)))
            .filter(|(engine, artifact)| held.get(*engine).is_some_and(|h| !h.contains(artifact)))
            .collect();
        missing.sort_by_key(|(engine, artifact)| {
            let copies = copies.get(artifact).copied().unwrap_or(0);
            (copies, *artifact, *engine)
        });
        let stuck = missing.iter().map(|(engine, _)| *engine).next();
        for (engine, artifact) in missing {
            if self.running.len() >= self.rate.loads || now < self.free_at {
                break;
            }
            let bytes = plan.artifacts.get(artifact).map_or(0, |kind| kind.bytes);
            if !fits(plan, held, engine, bytes, &self.running)
                || !self.running.insert((engine.clone(), artifact.clone()))
            {
                continue;
            }
            let micros = u128::from(bytes) * 1_000_000 / u128::from(self.rate.bytes.max(1));
            self.free_at = Time(now.0.saturating_add(micros as u64));
            orders.push(Order::Load {
                engine: engine.clone(),
                artifact: artifact.clone(),
            });
        }
        if orders.is_empty() && self.running.is_empty() && now >= self.free_at {
            orders.extend(stuck.and_then(|engine| make_room(engine, placement, held)));
        }
        orders
    }
}

/// Drops an unwanted last copy; two engines may each hold what the other has no room for.
fn make_room(engine: &Upstream, placement: &Placement, held: &Placement) -> Option<Order> {
    let wanted = placement.get(engine)?;
    let artifact = held.get(engine)?.difference(wanted).next()?.clone();
    let engine = engine.clone();
    Some(Order::Drop { engine, artifact })
}

fn bytes(plan: &Plan, artifact: &Artifact) -> u64 {
    plan.artifacts.get(artifact).map_or(0, |kind| kind.bytes)
}

/// Returns whether an engine has room for another artifact besides held and running ones.
fn fits(
    plan: &Plan,
    held: &Placement,
    engine: &Upstream,
    more: u64,
    running: &BTreeSet<(Upstream, Artifact)>,
) -> bool {
    let loading = running
        .iter()
        .filter(|(on, _)| on == engine)
        .map(|(_, artifact)| artifact);
    let present = held.get(engine).into_iter().flatten();
    let used: u64 = present
        .chain(loading)
        .collect::<BTreeSet<_>>()
        .into_iter()
        .map(|artifact| bytes(plan, artifact))
        .sum();
    let room = plan.engines.get(engine).map_or(0, |engine| engine.bytes);
    used + more <= room
}

fn drops<'a>(
    plan: &Plan,
    placement: &'a Placement,
    held: &'a Placement,
    copies: &mut BTreeMap<&'a Artifact, usize>,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (engine, present) in held {
        let Some(wanted) = placement.get(engine) else {
            continue;
        };
        for artifact in present.difference(wanted) {
            let unknown = !plan.artifacts.contains_key(artifact);
            let left = copies.entry(artifact).or_default();
            if unknown || *left > 1 {
                *left = left.saturating_sub(1);
                orders.push(Order::Drop {
                    engine: engine.clone(),
                    artifact: artifact.clone(),
                });
            }
        }
    }
    orders
}
