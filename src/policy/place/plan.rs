//! Which engine holds what, as a function of the agreed configuration only.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    hash::ranking,
    name::Upstream, //
};

/// A model or adapter in one version.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Artifact {
    /// Name of the model or adapter.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// What an artifact needs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Kind {
    /// Memory of its weights, in bytes.
    pub bytes: u64,
    /// Number of engines that should hold it.
    pub replicas: usize,
    /// Model that an adapter extends; it is placed only where that model is.
    pub base: Option<Artifact>,
}

/// An engine of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Engine {
    /// Memory for weights, in bytes.
    pub bytes: u64,
    /// Whether the engine rejects commands with a stale fencing number.
    pub fenced: bool,
}

/// The part of the agreed configuration that placement depends on.
///
/// It names all engines that belong to the deployment, not those that an instance sees, so that
/// every instance with the same version computes the same placement.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Plan {
    /// Version of the configuration.
    pub version: u64,
    /// Engines by name.
    pub engines: BTreeMap<Upstream, Engine>,
    /// Artifacts to place.
    pub artifacts: BTreeMap<Artifact, Kind>,
}

/// What each engine has to hold.
pub type Placement = BTreeMap<Upstream, BTreeSet<Artifact>>;

/// Computes the placement; an artifact that fits nowhere gets fewer replicas.
///
/// Rendezvous hashing by artifact name keeps most of the placement when engines or versions change.
pub fn assign(plan: &Plan) -> Placement {
    let mut placement: Placement = plan
        .engines
        .keys()
        .map(|name| (name.clone(), BTreeSet::new()))
        .collect();
    let mut free: BTreeMap<&Upstream, u64> = plan
        .engines
        .iter()
        .map(|(name, engine)| (name, engine.bytes))
        .collect();
    // Models precede adapters, and large artifacts precede small ones, which fit in the gaps.
    let mut order: Vec<_> = plan.artifacts.iter().collect();
    order.sort_by_key(|(artifact, kind)| (kind.base.is_some(), Reverse(kind.bytes), *artifact));
    for (artifact, kind) in order {
        let mut left = kind.replicas;
        for name in ranking(artifact.name.as_bytes(), plan.engines.keys()) {
            let (Some(room), Some(held)) = (free.get_mut(name), placement.get_mut(name)) else {
                continue;
            };
            let based = kind.base.as_ref().is_none_or(|base| held.contains(base));
            if left > 0 && based && *room >= kind.bytes {
                *room -= kind.bytes;
                held.insert(artifact.clone());
                left -= 1;
            }
        }
    }
    placement
}
