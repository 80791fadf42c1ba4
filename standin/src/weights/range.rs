//! Requested range of a file.

use actix_web::http::header::{
    ByteRangeSpec,
    Range, //
};

/// Requested part of a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The complete file.
    Full,
    /// Offsets of the first and the last byte, both included.
    Bytes(u64, u64),
    /// A range outside the file.
    Unsatisfiable,
}

impl Part {
    /// Returns the part that the header requests. Multiple ranges return the complete file,
    /// which the standard allows.
    pub fn from_header(header: Option<&str>, size: u64) -> Self {
        let range = header.and_then(|text| text.parse::<Range>().ok());
        let Some(Range::Bytes(specs)) = range else {
            return Self::Full;
        };
        let [spec] = specs.as_slice() else {
            return Self::Full;
        };
        match Self::bounds(spec, size) {
            Some((first, last)) => Self::Bytes(first, last),
            None => Self::Unsatisfiable,
        }
    }

    fn bounds(spec: &ByteRangeSpec, size: u64) -> Option<(u64, u64)> {
        let end = size.checked_sub(1)?;
        match *spec {
            ByteRangeSpec::FromTo(first, last) if first <= last && first <= end => {
                Some((first, last.min(end)))
            }
            ByteRangeSpec::From(first) if first <= end => Some((first, end)),
            ByteRangeSpec::Last(count) if count > 0 => Some((size.saturating_sub(count), end)),
            _ => None,
        }
    }
}
