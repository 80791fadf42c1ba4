//! Tests of the gateway: decisions without I/O, and real connections to scripted upstreams.

mod account;
mod balance;
mod connection;
mod dialect;
mod events;
mod home;
mod keeper;
mod lines;
mod outage;
mod registry;
mod route;
mod serve;
mod settings;
mod support;
