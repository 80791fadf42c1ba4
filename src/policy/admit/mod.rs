//! Admission control: early refusal of calls that cannot meet their deadline.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    policy::call::Call, //
};

/// State of the pool that an admission decision depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Shortest observed duration of a call of this kind.
    pub fastest: Duration,
    /// Calls that a program of this kind is expected to make.
    pub expected_calls: f64,
    /// Age of the customer's oldest waiting call of this kind.
    pub age: Duration,
    /// Whether the customer was served more than its share.
    pub ahead: bool,
}

/// Admission policy.
pub trait Check {
    /// Creates the policy.
    fn new(settings: &Settings) -> Self;

    /// Returns `None` to admit the call, or the retry delay of a refused call.
    fn check(&self, now: Time, call: &Call, view: View) -> Option<Duration>;
}

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum expected wait of a new program, as a multiple of its time until the deadline.
    ///
    /// A program admitted beyond this limit takes capacity from active programs, and then neither
    /// meets its deadline.
    pub waiting: f64,
    /// The same limit for a customer that was served more than its share.
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

/// Deadline-aware admission control, used by default.
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
        let unreachable = now + view.fastest > call.deadline;
        let limit = if view.ahead {
            self.settings.ahead
        } else {
            self.settings.waiting
        };
        let slack = call.deadline.since(now).as_secs_f64();
        let wait = view.expected_calls * view.age.as_secs_f64();
        let overloaded = is_first_call(call) && !call.interactive && wait > limit * slack;
        (unreachable || overloaded).then(|| retry_delay(view.age))
    }
}

/// Returns whether the call is the first of its program.
pub fn is_first_call(call: &Call) -> bool {
    call.program.is_some() && call.attained == 0 && call.prefix == 0
}

/// Returns the retry delay while the oldest waiting call has this age.
pub fn retry_delay(age: Duration) -> Duration {
    age.clamp(Duration::from_millis(500), Duration::from_secs(30))
}

/// Admits every call.
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
