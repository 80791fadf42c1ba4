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
    /// Calls that a program of this kind is expected to make.
    pub calls: f64,
    /// Age of the customer's oldest waiting call of this kind.
    pub age: Duration,
    /// Whether the customer was served more than its share.
    pub ahead: bool,
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
    /// Part of a new program's time that it may be expected to wait.
    ///
    /// A program that starts although it will wait longer takes service from those under way, and
    /// then neither meets its deadline.
    pub waiting: f64,
    /// The same for a customer that was served more than its share.
    pub ahead: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            waiting: 4.0,
            ahead: 0.1,
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
        let limit = if view.ahead {
            self.settings.ahead
        } else {
            self.settings.waiting
        };
        let slack = call.deadline.since(now).as_secs_f64();
        let wait = view.calls * view.age.as_secs_f64();
        let crowded = starts(call) && !call.interactive && wait > limit * slack;
        (hopeless || crowded).then(|| back(view.age))
    }
}

/// Returns whether the call is the first of its program.
pub fn starts(call: &Call) -> bool {
    call.program.is_some() && call.attained == 0 && call.prefix == 0
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
