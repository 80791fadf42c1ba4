//! Immutable snapshot of the view for readers.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::Serialize;

use super::{
    entry::{
        Departure,
        Entry,
        State, //
    },
    view::Member,
};
use crate::{
    clock::Time,
    hash::{
        ranking,
        rendezvous,
        Map, //
    },
    name::{
        Instance,
        Pool,
        Program,
        Upstream,
        Zone, //
    },
};

/// Availability of another instance as seen by this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It serves requests.
    Live,
    /// Another instance failed to reach it; it stays in use until the suspicion is confirmed.
    Suspected,
    /// This instance recently failed to reach it.
    Unreachable,
    /// It accepts no new work.
    Leaving,
    /// It stopped.
    Gone,
}

impl Status {
    /// Returns whether new work may go to the instance.
    pub fn usable(self) -> bool {
        matches!(self, Self::Live | Self::Suspected)
    }
}

/// Another instance in the view.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Entry that instances exchange.
    pub entry: Entry,
    /// Availability as seen by this instance.
    pub status: Status,
    /// Whether the platform's list contains it.
    pub listed: bool,
    /// Time of the last message received from it.
    pub last_received: Option<Time>,
    /// Calls that run or wait on it, from its last heartbeat to this instance.
    pub load: u32,
    /// Offset that it has applied for each partition, from its last heartbeat to this instance.
    pub applied: Vec<u64>,
}

/// Immutable snapshot of the view.
#[derive(Clone, Debug)]
pub struct Snapshot {
    local: Entry,
    peers: Map<Instance, Peer>,
    /// Instances that may get new work, by zone, sorted by name.
    live: BTreeMap<Zone, Vec<Instance>>,
    live_count: usize,
    departures: Arc<[Departure]>,
    highest_applied: Vec<u64>,
}

impl Snapshot {
    pub(super) fn new<'a>(
        local: Entry,
        members: impl Iterator<Item = &'a Member>,
        departures: Arc<[Departure]>,
        highest_applied: Vec<u64>,
    ) -> Self {
        let mut snapshot = Self {
            local: local.clone(),
            peers: Map::default(),
            live: BTreeMap::new(),
            live_count: 0,
            departures,
            highest_applied,
        };
        if local.state == State::Live {
            snapshot.add(local.zone, local.instance);
        }
        for member in members {
            let status = member.status();
            let zone = member.entry.zone.clone();
            let instance = member.entry.instance.clone();
            if status.usable() {
                snapshot.add(zone, instance.clone());
            } else {
                snapshot.live.entry(zone).or_default();
            }
            let peer = Peer {
                entry: member.entry.clone(),
                status,
                listed: member.listed,
                last_received: member.last_received,
                load: member.load,
                applied: member.applied.clone(),
            };
            snapshot.peers.insert(instance, peer);
        }
        for instances in snapshot.live.values_mut() {
            instances.sort();
        }
        snapshot
    }

    fn add(&mut self, zone: Zone, instance: Instance) {
        self.live.entry(zone).or_default().push(instance);
        self.live_count += 1;
    }

    /// Returns the entry of this instance.
    pub fn local(&self) -> &Entry {
        &self.local
    }

    /// Returns all other known instances.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns another instance.
    pub fn peer(&self, instance: &Instance) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Returns the address of another instance's peer port.
    pub fn address(&self, instance: &Instance) -> Option<&str> {
        self.peer(instance).map(|peer| peer.entry.address.as_ref())
    }

    /// Returns the instances of a zone that may get new work, sorted by name.
    pub fn live(&self, zone: &Zone) -> &[Instance] {
        self.live.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the instances of all zones that may get new work, including this one unless it is
    /// leaving.
    pub fn usable(&self) -> impl Iterator<Item = &Instance> {
        self.live.values().flatten()
    }

    /// Returns the number of instances that may get new work, including this one unless it is
    /// leaving.
    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// Returns the zones with known instances.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.live.keys()
    }

    /// Returns the zones with known instances but no usable one.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &Zone> {
        let without_live = |(_, live): &(&Zone, &Vec<Instance>)| live.is_empty();
        self.live.iter().filter(without_live).map(|(zone, _)| zone)
    }

    /// Returns the usable instances of a zone in the order of their rendezvous hash with `key`.
    pub fn ranking(&self, zone: &Zone, key: &[u8]) -> Vec<&Instance> {
        ranking(key, self.live(zone))
    }

    /// Returns the instance of the program's zone that owns the program and runs its calls.
    ///
    /// `None` if the zone has no usable instance; the requesting instance then runs the call
    /// itself.
    pub fn owner(&self, program: &Program) -> Option<&Instance> {
        let (zone, _) = program.as_str().rsplit_once('.')?;
        let live = self.live.get(zone)?;
        rendezvous(program.as_str().as_bytes(), live)
    }

    /// Returns the instance that places the turns of a service in a zone: one of those with at least
    /// half the capacity of the largest.
    pub fn placer(&self, zone: &Zone, service: &str) -> Option<&Instance> {
        rendezvous(service.as_bytes(), self.large(Some(zone)))
    }

    /// Returns the usable instances of a zone, or of all, that have at least half the capacity of the
    /// largest of them.
    pub fn large(&self, zone: Option<&Zone>) -> Vec<&Instance> {
        let capacity = |name: &Instance| match self.peer(name) {
            Some(peer) => peer.entry.capacity,
            None => self.local.capacity,
        };
        let live = |other: &&Zone| zone.is_none_or(|zone| zone == *other);
        let live: Vec<_> = self.live.keys().filter(live).collect();
        let live = live.into_iter().flat_map(|zone| self.live(zone));
        let largest = live.clone().map(capacity).max().unwrap_or(0);
        live.filter(|name| capacity(name) >= largest / 2).collect()
    }

    /// Returns the instances that place the turns of a service, one of each zone.
    pub fn placers(&self, service: &str) -> Vec<&Instance> {
        let placers = self.zones().filter_map(|zone| self.placer(zone, service));
        placers.collect()
    }

    /// Returns the instance that issues permits for the upstreams of a service to all zones.
    pub fn issuer(&self, service: &str) -> Option<&Instance> {
        rendezvous(service.as_bytes(), self.placers(service))
    }

    /// Returns the instance that dispatches calls to a pool in a zone.
    pub fn dispatcher(&self, zone: &Zone, pool: &Pool) -> Option<&Instance> {
        rendezvous(pool.as_str().as_bytes(), self.live(zone))
    }

    /// Returns the upstreams that are leaving.
    pub fn departures(&self) -> &[Departure] {
        &self.departures
    }

    /// Returns whether an upstream is leaving.
    pub fn is_leaving(&self, pool: &Pool, upstream: &Upstream) -> bool {
        // The list is sorted by pool and upstream, as it comes from a `BTreeMap`.
        self.departures
            .binary_search_by(|departure| {
                (&departure.pool, &departure.upstream).cmp(&(pool, upstream))
            })
            .is_ok()
    }

    /// Returns the highest offset that any instance is known to have applied, for each partition.
    pub fn highest_applied(&self) -> &[u64] {
        &self.highest_applied
    }
}
