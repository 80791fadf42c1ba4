//! What an instance concludes about an outage from the answers of others.

/// Part of the known instances that must not reach the log for an outage to be total. A zone or a
/// third of the instances that is cut off is a smaller part of a sample, but for one in a thousand.
const MAJORITY: (usize, usize) = (11, 20);

/// Result of asking other instances whether they reach the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Other instances that are known; those that are not live can't be reached.
    pub known: usize,
    /// Other instances that may be asked.
    pub live: usize,
    /// Those of them that were asked.
    pub asked: usize,
    /// Those of them that can't reach the log either.
    pub refusals: usize,
    /// Those of them that reach it.
    pub reaching: usize,
}

impl Probe {
    /// Returns the extent of the outage.
    pub fn outage(&self) -> Outage {
        // What a sample of the live ones says holds for all live ones.
        let refusing = self.refusals * self.live;
        let most = refusing * MAJORITY.1 > self.known * self.asked * MAJORITY.0;
        match self.reaching == 0 && most {
            true => Outage::Total,
            false => Outage::Alone,
        }
    }
}

/// Result of asking other instances whether they hear this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hearing {
    /// Whether instances of other availability zones are known.
    pub zoned: bool,
    /// Instances of the own availability zone that answered.
    pub near: usize,
    /// Instances of others that answered.
    pub away: usize,
    /// Whether one of them may know grants of an outage that are not in the log yet.
    pub unsettled: bool,
}

impl Hearing {
    /// Returns the part of the deployment that is cut off, or `None` if there is no sign of a cut.
    pub fn cut(&self) -> Option<Outage> {
        match (self.zoned, self.near, self.away) {
            (true, 0, 0) => Some(Outage::Alone),
            (true, _, 0) => Some(Outage::Zone),
            _ => None,
        }
    }
}

/// What an instance knows about an outage of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// The log can be reached, or nothing is known.
    None,
    /// Most instances can't reach the log, and none is known that can.
    Total,
    /// This instance is cut off, and others may reach the log.
    Alone,
    /// The availability zone of this instance is cut off, and others may reach the log.
    Zone,
}

impl Outage {
    /// Returns whether others may reach the log.
    pub fn cut_off(self) -> bool {
        matches!(self, Self::Alone | Self::Zone)
    }
}
