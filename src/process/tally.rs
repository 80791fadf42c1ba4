//! Counts of a process, from before its metrics exist.

use std::sync::{
    Mutex,
    PoisonError, //
};

use opentelemetry::{
    metrics::Meter,
    KeyValue, //
};

/// Counts by label.
pub struct Tally {
    name: &'static str,
    description: &'static str,
    label: &'static str,
    counts: Mutex<Vec<(&'static str, u64)>>,
}

impl Tally {
    const fn new(name: &'static str, label: &'static str, description: &'static str) -> Self {
        Self {
            name,
            description,
            label,
            counts: Mutex::new(Vec::new()),
        }
    }

    /// Counts one under a value of the label.
    pub fn add(&self, value: &'static str) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match counts.iter_mut().find(|(known, _)| *known == value) {
            Some((_, count)) => *count += 1,
            None => counts.push((value, 1)),
        }
    }

    /// Returns the count of a value of the label.
    pub fn count(&self, value: &str) -> u64 {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let found = counts.iter().find(|(known, _)| *known == value);
        found.map_or(0, |(_, count)| *count)
    }

    fn observe(&'static self, meter: &Meter) {
        let instrument = meter
            .u64_observable_counter(self.name)
            .with_description(self.description)
            .with_callback(move |observer| {
                let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
                for (value, count) in counts.iter() {
                    observer.observe(*count, &[KeyValue::new(self.label, *value)]);
                }
            });
        // The meter keeps it.
        let _ = instrument.build();
    }
}

/// Signals that arrived.
pub static SIGNALS: Tally = Tally::new("signals", "signal", "Signals that arrived, by name.");

/// Attempts of the start that were made again.
pub static START_RETRIES: Tally = Tally::new(
    "start_retries",
    "step",
    "Attempts of the start that were made again, by step.",
);

/// Reloads of the settings.
pub static RELOADS: Tally =
    Tally::new("reloads", "outcome", "Reloads of the settings, by outcome.");

/// Tasks that ended although they run as long as the process.
pub static TASK_ENDS: Tally = Tally::new(
    "task_ends",
    "task",
    "Tasks that ended or panicked and were started again, by task.",
);

/// Panics of all threads.
pub static PANICS: Tally = Tally::new("panics", "thread", "Panics, by kind of thread.");

/// Why the process ends; it is shown until the process has ended.
pub static ENDS: Tally = Tally::new("ends", "reason", "Why the process ends, by reason.");

/// Shows all counts at a meter.
pub fn observe(meter: &Meter) {
    for tally in [
        &SIGNALS,
        &START_RETRIES,
        &RELOADS,
        &TASK_ENDS,
        &PANICS,
        &ENDS,
    ] {
        tally.observe(meter);
    }
}
