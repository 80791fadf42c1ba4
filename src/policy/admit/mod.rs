//! Early refusal of calls that cannot meet their deadline.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    policy::call::Call, //
};

/// What the check knows about the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Shortest time that a call of this kind was seen to take.
    pub fastest: Duration,
    /// Part of its time that the customer's oldest call has spent waiting, from 0 to 1.
    pub pressure: f64,
    /// Whether the customer was served more than its share.
    pub ahead: bool,
    /// Age of the customer's oldest call.
    pub age: Duration,
}

/// A rule that refuses calls; `Some` is the time after which the caller may come back.
pub trait Check {
    /// Makes the rule.
    fn new(settings: &Settings) -> Self;

    /// Decides about a call.
    fn check(&self, now: Time, call: &Call, view: View) -> Option<Duration>;
}

/// Settings of the gate.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Pressure from which the customer's new programs are refused.
    ///
    /// A program that starts under pressure takes service from those under way, and then neither
    /// meets its deadline.
    pub pressure: f64,
    /// The same for a customer that was served more than its share.
    pub ahead: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            pressure: 0.4,
            ahead: 0.05,
        }
    }
}

/// The standard check.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
}

impl Check for Gate {
    fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
        }
    }

    fn check(&self, now: Time, call: &Call, view: View) -> Option<Duration> {
        let hopeless = now + view.fastest > call.deadline;
        let starts = call.program.is_some() && call.attained == 0 && call.prefix == 0;
        let limit = if view.ahead {
            self.settings.ahead
        } else {
            self.settings.pressure
        };
        let crowded = starts && !call.interactive && view.pressure > limit;
        (hopeless || crowded).then(|| back(view.age))
    }
}

/// Time to come back while the oldest waiting call has this age.
pub fn back(age: Duration) -> Duration {
    age.clamp(Duration::from_millis(500), Duration::from_secs(30))
}

/// Admits everything.
#[derive(Debug)]
pub struct Open;

impl Check for Open {
    fn new(_: &Settings) -> Self {
        Self
    }

    fn check(&self, _: Time, _: &Call, _: View) -> Option<Duration> {
        None
    }
}
