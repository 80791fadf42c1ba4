//! Witnesses of a partition: instances without which no turn is granted while the log is not read.
//!
//! Answers the pattern of an outage of the log beside instances that disagree on who owns a
//! partition: each would grant a program its whole budget. An instance that appends turns registers
//! as a writer with a majority of the witnesses before. An owner that grants turns without the log
//! has a majority of them hold each grant, and they do so only if no other instance can have
//! written since the owner last read the partition to its end, or that one has yielded and the owner
//! has read all that it wrote. Two majorities share a witness, so either the other writer is known
//! there or it is refused.

use std::time::Duration;

use super::account;
use crate::{
    clock::Time,
    name::Instance, //
};

/// Validity of a registration. It delays grants without the log after a change of the writer and
/// after the start of a witness, and is renewed by all writers.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(1);

/// Margin for the time that a grant takes to its witness; a grant that takes longer is not counted.
pub const MESSAGE_MARGIN: Duration = Duration::from_millis(150);

/// Number of witnesses of a partition, if there are as many instances.
pub const WITNESSES: usize = 5;

/// Registration of a writer.
#[derive(Clone, Debug)]
struct Writer {
    name: Instance,
    /// Number of the registration at the writer, which increases each time it yields.
    generation: u64,
    end: Time,
}

/// A grant that an owner makes without the log.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// The owner.
    pub owner: &'a Instance,
    /// Time before which the owner has applied all records of the partition.
    pub read_at: Time,
    /// Writers that yielded to the owner with the numbers of their registrations; it has applied
    /// all that they have written.
    pub yielded: &'a [(Instance, u64)],
}

/// What a witness knows of one partition.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    writers: Vec<Writer>,
    /// Owner whose grants are held here and are not in the log yet. No other instance may write: it
    /// would not find them there.
    sealed_by: Option<Instance>,
}

impl Witness {
    /// Drops what has expired. `pending` tells whether held grants are still to be appended.
    fn expire(&mut self, now: Time, pending: bool) {
        // Later, the accounts that the writer charged have expired.
        self.writers
            .retain(|writer| now.since(writer.end) < account::RETENTION);
        if !pending {
            self.sealed_by = None;
        }
    }

    /// Registers a writer; returns whether it may write.
    pub fn register(&mut self, now: Time, name: &Instance, generation: u64, pending: bool) -> bool {
        self.expire(now, pending);
        if self.sealed_by.as_ref().is_some_and(|owner| owner != name) {
            return false;
        }
        let end = now + REGISTRATION_TTL;
        self.writers.retain(|writer| writer.name != *name);
        self.writers.push(Writer {
            name: name.clone(),
            generation,
            end,
        });
        true
    }

    /// Returns whether the account behind a grant is complete. `started` is the start of the
    /// witness, which does not know the registrations from before.
    pub fn accept(&mut self, now: Time, started: Time, grant: Grant<'_>, pending: bool) -> bool {
        self.expire(now, pending);
        let accepted = match &self.sealed_by {
            Some(other) => other == grant.owner,
            None => {
                let known_since = started + REGISTRATION_TTL + MESSAGE_MARGIN;
                grant.read_at >= known_since && self.blocking(&grant).next().is_none()
            }
        };
        if accepted {
            self.sealed_by = Some(grant.owner.clone());
        }
        accepted
    }

    /// Returns the writers that may have written what the owner has not applied.
    pub fn blocking<'a>(&'a self, grant: &'a Grant<'a>) -> impl Iterator<Item = &'a Instance> {
        let yielded = |writer: &Writer| {
            let mut yielded = grant.yielded.iter();
            yielded.any(|(name, number)| *name == writer.name && writer.generation <= *number)
        };
        let blocks = move |writer: &&Writer| {
            let ended = writer.end + MESSAGE_MARGIN <= grant.read_at;
            writer.name != *grant.owner && !ended && !yielded(writer)
        };
        self.writers
            .iter()
            .filter(blocks)
            .map(|writer| &writer.name)
    }
}
