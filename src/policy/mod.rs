//! Pure scheduling decisions: state and inputs in, decisions out.

pub mod call;
pub mod pool;
