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

/// Settings of a pool; the defaults are the measured ones.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Largest number of calls that wait.
    pub length: usize,
    /// Largest number of calls of one customer that wait.
    pub per_customer: usize,
    /// Time past its deadline after which a grant without a report is given up, in milliseconds.
    pub lease_ms: u64,
    /// Order of waiting calls.
    pub queue: queue::Settings,
    /// Choice of the upstream.
    pub route: route::Settings,
    /// Calls at a time on an upstream.
    pub window: window::Settings,
    /// Estimates of slowness.
    pub pace: pace::Settings,
    /// Early refusal.
    pub admit: admit::Settings,
    /// Budget of retries.
    pub retry: retry::Settings,
    /// Budget of hedges.
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
