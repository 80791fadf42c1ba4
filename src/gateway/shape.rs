//! What the whole streams of an origin have in common, by which answers are told apart that leave out
//! the next event, or are no stream.
//!
//! The platform calls the identifiers of events increasing, not consecutive. So a gap counts as a
//! missing event only where each stream so far was numbered in the same way, from its first event to
//! its last. Only answers that no break preceded are considered: an upstream that leaves out events
//! when it resumes streams can't make its gaps usual. One stream that is numbered in another way ends
//! the presumption for its origin for good.

use std::cell::RefCell;

use super::{
    events::{
        Numbering,
        Sequence, //
    },
    origin::Origin,
};
use crate::policy::recent::Recent;

/// Whole streams of three events or more after which the numbering of an origin is known.
const MIN_STREAMS: u32 = 8;

/// Maximum origins that are remembered; a service has one for each software version.
const MAX_ORIGINS: usize = 256;

/// Streams of one origin.
#[derive(Debug, Default)]
struct Record {
    numbering: Option<Numbering>,
    /// Whether two streams, or two steps of one, differed.
    uneven: bool,
    /// Whole streams that were numbered so.
    numbered: u32,
    /// Whole streams whose answers had a content type.
    typed: u32,
    /// Whether the answer of a whole stream had no content type.
    untyped: bool,
}

/// Streams of all origins.
pub struct Shapes(RefCell<Recent<Origin, Record>>);

impl Default for Shapes {
    fn default() -> Self {
        Self(RefCell::new(Recent::new(MAX_ORIGINS)))
    }
}

impl Shapes {
    /// Records the events of an answer that began a stream, up to its end or its break.
    pub fn record(&self, origin: &Origin, events: &Sequence, typed: bool, whole: bool) {
        let mut records = self.0.borrow_mut();
        let record = records.entry(origin);
        if whole {
            record.typed = record.typed.saturating_add(typed.into());
            record.untyped |= !typed;
        }
        let first = events.first();
        let other_start = |known: Numbering| first.is_some_and(|first| first != known.first);
        record.uneven |= events.is_uneven() || record.numbering.is_some_and(other_start);
        let Some(numbering) = events.numbering() else {
            return;
        };
        record.uneven |= *record.numbering.get_or_insert(numbering) != numbering;
        if whole {
            record.numbered = record.numbered.saturating_add(1);
        }
    }

    /// Returns how the streams of an origin are numbered, if that is known.
    pub fn numbering(&self, origin: &Origin) -> Option<Numbering> {
        let records = self.0.borrow();
        let known = |record: &&Record| !record.uneven && record.numbered >= MIN_STREAMS;
        records.get(origin).filter(known)?.numbering
    }

    /// Returns whether answers of an origin are known to have a content type.
    pub fn is_typed(&self, origin: &Origin) -> bool {
        let records = self.0.borrow();
        let known = |record: &Record| !record.untyped && record.typed >= MIN_STREAMS;
        records.get(origin).is_some_and(known)
    }
}
