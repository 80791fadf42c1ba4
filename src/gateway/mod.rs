//! Forwarding of callers' HTTP requests and event streams to upstreams.
//!
//! Each gateway instance decides locally: it follows the configuration and the registry of
//! upstreams, and estimates the load of each upstream. Shared with other instances are the token
//! accounts of programs, through the log, and the permits for upstreams that limit their requests.
//! `docs/platform.md` gives the reasons.
//!
//! The decisions do no I/O ([`route`], [`registry`], [`load`], [`balance`], [`fleet`],
//! [`account`], [`allowance`], [`frames`], [`outage`], [`witness`], [`latency`], [`timeout`], [`limit`], [`slots`],
//! [`quarantine`]); sockets are in [`connection`], [`pool`], [`dial`], [`tunnel`], [`forward`], [`relay`] and [`front`].

pub mod account;
pub mod allowance;
pub mod balance;
pub mod cache;
pub mod call;
pub mod callers;
pub mod configuration;
pub mod connection;
pub mod dial;
pub mod dialect;
pub mod dispatcher;
pub mod endpoint;
pub mod events;
pub mod evidence;
pub mod feed;
pub mod fingerprint;
pub mod fleet;
pub mod follow;
pub mod forward;
pub mod frames;
pub mod front;
pub mod grace;
pub mod history;
pub mod identity;
pub mod latency;
pub mod lifecycle;
pub mod limit;
pub mod load;
pub mod metrics;
pub mod operate;
pub mod origin;
pub mod outage;
pub mod owner;
pub mod path;
pub mod peers;
pub mod permit;
pub mod pool;
pub mod proof;
pub mod quarantine;
pub mod refresh;
pub mod registry;
pub mod relay;
pub mod replica;
pub mod reports;
pub mod reserve;
pub mod route;
pub mod settings;
pub mod shape;
pub mod slots;
pub mod state;
pub mod tenant;
pub mod throttle;
pub mod timeout;
pub mod tunnel;
pub mod view;
pub mod witness;
