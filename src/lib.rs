//! Scheduler for agent programs: chains of dependent model and tool calls.
//!
//! `docs/design.md` describes the architecture and the reasons behind it.

pub mod api;
pub mod clock;
pub mod config;
pub mod contract;
pub mod ctl;
pub mod daemon;
pub mod dispatch;
pub mod executor;
pub mod gateway;
pub mod hash;
pub mod ledger;
pub mod log;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod money;
pub mod name;
pub mod peer;
pub mod platform;
pub mod policy;
pub mod process;
pub mod upstream;
