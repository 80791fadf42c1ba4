//! Witnesses of a partition: instances without which no turn is granted while the log is not read.
//!
//! Answers the pattern of an outage of the log beside instances that disagree on who owns a
//! partition: each would grant a program its whole budget. An instance that appends turns registers
//! as a writer with a majority of the witnesses before. An owner that grants turns without the log
//! has a majority of them hold each grant, and they do so only if no other instance can have
//! written since the owner last read the partition to its end. Two majorities share a witness,
//! so either the other writer is known there or it is refused.

use std::time::Duration;

use super::account;
use crate::{
    clock::Time,
    name::Instance, //
};

/// Validity of a registration. It delays grants without the log after a change of the writer and
/// after the start of a witness, and is renewed by all writers.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(3);

/// Margin for the time that a grant takes to its witness; a grant that takes longer is not counted.
pub const MESSAGE_MARGIN: Duration = Duration::from_millis(150);

/// Number of witnesses of a partition, if there are as many instances.
pub const WITNESSES: usize = 5;

/// What a witness knows of one partition.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    /// Writers, with the end of their registration.
    writers: Vec<(Instance, Time)>,
    /// Owner whose grants are held here and are not in the log yet. No other instance may write: it
    /// would not find them there.
    sealed_by: Option<Instance>,
}

impl Witness {
    /// Drops what has expired. `pending` tells whether held grants are still to be appended.
    fn expire(&mut self, now: Time, pending: bool) {
        // Later, the accounts that the writer charged have expired.
        self.writers
            .retain(|(_, end)| now.since(*end) < account::RETENTION);
        if !pending {
            self.sealed_by = None;
        }
    }

    /// Registers a writer; returns whether it may write.
    pub fn register(&mut self, now: Time, writer: &Instance, pending: bool) -> bool {
        self.expire(now, pending);
        if self.sealed_by.as_ref().is_some_and(|owner| owner != writer) {
            return false;
        }
        let end = now + REGISTRATION_TTL;
        match self.writers.iter_mut().find(|(name, _)| name == writer) {
            Some((_, known)) => *known = end,
            None => self.writers.push((writer.clone(), end)),
        }
        true
    }

    /// Returns whether the grant of an owner that read the partition to its end at `read_at` is
    /// complete. `started` is the start of the witness.
    pub fn accept(
        &mut self,
        now: Time,
        started: Time,
        owner: &Instance,
        read_at: Time,
        pending: bool,
    ) -> bool {
        self.expire(now, pending);
        let accepted = match &self.sealed_by {
            Some(other) => other == owner,
            None => {
                // Registrations from before the start are not known.
                let known_since = started + REGISTRATION_TTL + MESSAGE_MARGIN;
                let mut others = self.writers.iter().filter(|(name, _)| name != owner);
                read_at >= known_since && others.all(|(_, end)| *end + MESSAGE_MARGIN <= read_at)
            }
        };
        if accepted {
            self.sealed_by = Some(owner.clone());
        }
        accepted
    }
}
