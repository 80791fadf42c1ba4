//! Records the latest refusals so that operators can look up why a request was refused.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard, //
    },
};

use super::problem::Problem;

/// Maximum number of retained refusals; at a few hundred bytes each they take a few megabytes.
const MAX_REFUSALS: usize = 10_000;

/// The latest refusals, oldest first.
#[derive(Debug, Default)]
pub struct Refusals {
    latest: Mutex<VecDeque<Problem>>,
}

impl Refusals {
    fn latest(&self) -> MutexGuard<'_, VecDeque<Problem>> {
        self.latest
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }

    /// Records a refusal and evicts the oldest one if the buffer is full.
    pub fn add(&self, problem: Problem) {
        let mut latest = self.latest();
        if latest.len() == MAX_REFUSALS {
            latest.pop_front();
        }
        latest.push_back(problem);
    }

    /// Returns the latest refusal of a request.
    pub fn find(&self, request: &str) -> Option<Problem> {
        let latest = self.latest();
        latest.iter().rev().find(|p| p.request == request).cloned()
    }

    /// Returns up to `count` refusals, latest first.
    pub fn recent(&self, count: usize) -> Vec<Problem> {
        self.latest().iter().rev().take(count).cloned().collect()
    }
}
