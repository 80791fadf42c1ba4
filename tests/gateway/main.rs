//! Tests of the gateway: decisions without I/O, and real connections to scripted upstreams.

mod account;
mod balance;
mod connection;
mod dialect;
mod dispatcher;
mod endless;
mod events;
mod leaving;
mod limit;
mod limits;
mod origin;
mod outage;
mod owner;
mod permit;
mod recovery;
mod registry;
mod replica;
mod reserve;
mod route;
mod serve;
mod settings;
mod support;
mod throttle;
mod timeout;
mod versions;
