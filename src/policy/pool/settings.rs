//! Settings of a pool.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::policy::{
    admit,
    pace,
    queue,
    retry,
    route,
    window, //
};

/// Settings of a pool.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of waiting calls.
    pub length: usize,
    /// Maximum number of waiting calls of one customer.
    pub per_customer: usize,
    /// Time after the call's deadline at which a grant without a report expires, in milliseconds.
    pub lease_ms: u64,
    /// Order of waiting calls.
    pub queue: queue::Settings,
    /// Choice of the upstream.
    pub route: route::Settings,
    /// Concurrency limit of an upstream.
    pub window: window::Settings,
    /// Estimates of slowness.
    pub pace: pace::Settings,
    /// Admission control.
    pub admit: admit::Settings,
    /// Retry budget of a customer.
    pub retry: retry::Settings,
    /// Hedge budget of a customer.
    pub hedge: retry::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            length: 10_000,
            per_customer: 5_000,
            lease_ms: 60_000,
            queue: queue::Settings::default(),
            route: route::Settings::default(),
            window: window::Settings::default(),
            pace: pace::Settings::default(),
            admit: admit::Settings::default(),
            retry: retry::Settings {
                ratio: 0.1,
                most: 10.0,
            },
            hedge: retry::Settings {
                ratio: 0.03,
                most: 5.0,
            },
        }
    }
}
