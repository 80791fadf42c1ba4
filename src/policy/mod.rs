//! Scheduling policies as pure functions of state and input, without I/O.
//!
//! Each module defines a trait for one decision, the default implementation and a baseline for
//! comparison; [`pool::Pool`] combines them. `docs/MEASUREMENTS.md` has the effect of each.

pub mod admit;
pub mod call;
pub mod foreign;
pub mod pace;
pub mod pool;
pub mod queue;
pub mod recent;
pub mod retry;
pub mod route;
pub mod window;
