//! Pure scheduling decisions: state and inputs in, decisions out.
//!
//! Each decision is a module with a small trait, its standard rule and a plain one to compare with;
//! [`pool::Pool`] puts them together. `docs/MEASUREMENTS.md` says what each of them gains.

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
