//! Inference of the extent of an outage from the answers of other instances.

use super::evidence::Evidence;

/// Fraction of the known instances that must fail to reach the log for an outage to be total. If
/// one zone or a third of the instances is isolated, its share of a sample exceeds this once in
/// 1000 times.
const MAJORITY: (usize, usize) = (11, 20);

/// Result of probing other instances for whether they reach the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Known other instances, including those that are not live.
    pub known: usize,
    /// Other instances that may get requests.
    pub live: usize,
    /// Live instances that were probed.
    pub probed: usize,
    /// Probed instances that can't reach the log.
    pub refusals: usize,
    /// Probed instances that reach the log.
    pub reaching: usize,
}

impl Probe {
    /// Returns the extent of the outage.
    pub fn outage(&self) -> Outage {
        // Extrapolates from the sample to all live instances.
        let refusals_of_live = self.refusals * self.live;
        let majority = refusals_of_live * MAJORITY.1 > self.known * self.probed * MAJORITY.0;
        match self.reaching == 0 && majority {
            true => Outage::Total,
            false => Outage::Alone,
        }
    }
}

/// Result of pinging other instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reachability {
    /// Whether instances of other availability zones are known.
    pub multi_zone: bool,
    /// Instances of the local availability zone that answered.
    pub local: usize,
    /// Instances of other availability zones that answered.
    pub remote: usize,
    /// Whether an answering instance may know of turns that were granted during an outage and are
    /// not in the log yet.
    pub unsettled: bool,
    /// What the answering instances know of outages.
    pub evidence: Evidence,
}

impl Reachability {
    /// Returns which part of the deployment is isolated, or `None` if there is no sign of it.
    pub fn isolation(&self) -> Option<Outage> {
        match (self.multi_zone, self.local, self.remote) {
            (true, 0, 0) => Some(Outage::Alone),
            (true, _, 0) => Some(Outage::Zone),
            _ => None,
        }
    }
}

/// Extent of an outage of the log, as far as an instance knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// The log is reachable, or nothing is known.
    None,
    /// Most instances can't reach the log, and none is known to reach it.
    Total,
    /// This instance is isolated, and others may reach the log.
    Alone,
    /// The availability zone of this instance is isolated, and others may reach the log.
    Zone,
}

impl Outage {
    /// Returns whether this instance is isolated while others may reach the log.
    pub fn isolated(self) -> bool {
        matches!(self, Self::Alone | Self::Zone)
    }
}
