//! The path of a call on its home.

pub mod request;
