//! Retry and hedge budgets, which keep failures from multiplying the load.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    name::Customer,
    policy::recent::Recent, //
};

/// Maximum number of customers whose budget is tracked; the design size has 2,300.
const MAX_CUSTOMERS: usize = 10_000;

/// Settings of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Additional attempts per call.
    pub ratio: f64,
    /// Maximum number of accumulated attempts; a new customer starts with them.
    pub most: f64,
}

/// One token bucket per customer, refilled by its calls.
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    spent: Recent<Customer, f64>,
}

impl Budget {
    /// Creates full buckets.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            spent: Recent::new(MAX_CUSTOMERS),
        }
    }

    /// Refills the customer's bucket for the first attempt of a call.
    pub fn deposit(&mut self, customer: &Customer) {
        let spent = self.spent.entry(customer);
        *spent = (*spent - self.settings.ratio).max(0.0);
    }

    /// Takes an additional attempt from the budget; returns false if none is left.
    pub fn take(&mut self, customer: &Customer) -> bool {
        let spent = self.spent.entry(customer);
        let granted = *spent + 1.0 <= self.settings.most;
        if granted {
            *spent += 1.0;
        }
        granted
    }
}
