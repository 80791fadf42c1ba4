//! Tests of the mechanisms against overload.

mod speed;
