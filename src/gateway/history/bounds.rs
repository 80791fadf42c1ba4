//! Bounds on the memory of kept turns.

use super::super::settings::Machine;

/// Maximum memory of the turns that wait to be appended, on any machine.
pub const MAX_QUEUED_BYTES: usize = 16 << 20;

/// Fraction of the machine's memory for turns of owned partitions.
const OWNED_SHARE: usize = 4;

/// Fraction of the machine's memory for turns of own callers.
const CACHED_SHARE: usize = 16;

/// Fraction of the machine's memory for turns that wait to be appended.
const QUEUED_SHARE: usize = 8;

/// Bounds on the memory of kept turns, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Turns of owned partitions.
    pub owned: usize,
    /// Turns of own callers.
    pub cached: usize,
    /// Turns that wait to be appended.
    pub queued: usize,
}

impl From<Machine> for Bounds {
    fn from(machine: Machine) -> Self {
        let memory = machine.memory_mb << 20;
        Self {
            owned: memory / OWNED_SHARE,
            cached: memory / CACHED_SHARE,
            queued: MAX_QUEUED_BYTES.min(memory / QUEUED_SHARE),
        }
    }
}
