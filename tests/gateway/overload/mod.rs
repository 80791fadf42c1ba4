//! Tests of the mechanisms against overload.

mod model;
mod patterns;
mod queue;
mod speed;
