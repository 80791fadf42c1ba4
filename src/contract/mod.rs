//! Contracts: what a customer may run, its deadlines and its budget.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::{
    hash::Set,
    money::Money,
    name::{
        Class,
        Customer,
        Invalid, //
    },
};

/// Highest share of a contract; the bound keeps weighted sums small.
pub const MAX_SHARE: u32 = 1_000;

/// Version of a contract: consecutive numbers from 1.
pub type Version = u64;

/// A contract as operators write it, before validation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// Name of the customer.
    pub customer: String,
    /// System that serves the customer; [`Server::Gypsumlever`] if absent.
    #[serde(default)]
    pub served_by: Server,
    /// SHA-256 of the callers' bearer key, in hexadecimal; if absent, any caller is accepted.
    #[serde(default)]
    pub key_sha256: Option<String>,
    /// Total budget of the customer, in micro-units.
    pub budget_micros: u64,
    /// Weight among customers when demand exceeds supply.
    #[serde(default = "one")]
    pub share: u32,
    /// Maximum number of active programs.
    #[serde(default = "default_programs")]
    pub programs: u32,
    /// Limits of each program.
    #[serde(default)]
    pub limits: Limits,
    /// Classes of work with their own deadlines.
    #[serde(default)]
    pub classes: Vec<Work>,
}

fn one() -> u32 {
    1
}

fn default_programs() -> u32 {
    1_000
}

/// The system that serves a customer while the old system runs beside this one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Server {
    /// This system.
    #[default]
    Gypsumlever,
    /// The system that this one replaces.
    Old,
}

/// Limits of one program; they stop programs that loop endlessly.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of turns.
    pub turns: u32,
    /// Maximum number of tokens of history.
    pub tokens: u64,
    /// Maximum age of a program, in seconds.
    pub seconds: u64,
    /// Budget of one program, in micro-units.
    pub spend_micros: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            turns: 310,
            tokens: 290_000,
            seconds: 3_600,
            spend_micros: u64::MAX,
        }
    }
}

/// A class of work of a customer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// Name of the class, given when a program starts.
    pub class: Class,
    /// Deadline of the program from its start, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a person waits for each call, which must therefore never queue behind long work.
    #[serde(default)]
    pub interactive: bool,
}

/// A validated contract.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "Raw", into = "Raw")]
pub struct Contract {
    raw: Raw,
    customer: Customer,
}

/// Reason why a contract is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum Fault {
    /// The customer's name is invalid.
    #[error("customer: {0}")]
    Customer(#[from] Invalid),
    /// The share is out of range.
    #[error("share: must be from 1 to {MAX_SHARE}, not {0}")]
    Share(u32),
    /// A limit that must be positive is zero.
    #[error("{0}: must be at least 1")]
    Zero(&'static str),
    /// Two entries name the same class.
    #[error("classes: {0} is listed twice")]
    DuplicateClass(Class),
    /// The digest of the key is not 64 hexadecimal digits.
    #[error("key_sha256: must be 64 hexadecimal digits")]
    Digest,
}

impl TryFrom<Raw> for Contract {
    type Error = Fault;

    fn try_from(raw: Raw) -> Result<Self, Fault> {
        let customer = Customer::try_from(raw.customer.as_str())?;
        if !(1..=MAX_SHARE).contains(&raw.share) {
            return Err(Fault::Share(raw.share));
        }
        let positive = [
            ("programs", u64::from(raw.programs)),
            ("limits.turns", u64::from(raw.limits.turns)),
            ("limits.tokens", raw.limits.tokens),
            ("limits.seconds", raw.limits.seconds),
        ];
        if let Some((field, _)) = positive.iter().find(|(_, value)| *value == 0) {
            return Err(Fault::Zero(field));
        }
        let mut seen = Set::default();
        for work in &raw.classes {
            if !seen.insert(&work.class) {
                return Err(Fault::DuplicateClass(work.class.clone()));
            }
            if work.deadline_ms == 0 {
                return Err(Fault::Zero("classes.deadline_ms"));
            }
        }
        let digest =
            |text: &String| text.len() == 64 && text.chars().all(|c| c.is_ascii_hexdigit());
        if raw.key_sha256.as_ref().is_some_and(|text| !digest(text)) {
            return Err(Fault::Digest);
        }
        Ok(Self { raw, customer })
    }
}

impl From<Contract> for Raw {
    fn from(contract: Contract) -> Self {
        contract.raw
    }
}

impl Contract {
    /// Returns the customer.
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the total budget of the customer.
    pub fn budget(&self) -> Money {
        Money(self.raw.budget_micros)
    }

    /// Returns the weight among customers when demand exceeds supply.
    pub fn share(&self) -> u32 {
        self.raw.share
    }

    /// Returns the maximum number of active programs.
    pub fn programs(&self) -> u32 {
        self.raw.programs
    }

    /// Returns the limits of each program.
    pub fn limits(&self) -> &Limits {
        &self.raw.limits
    }

    /// Returns the system that serves the customer.
    pub fn served_by(&self) -> Server {
        self.raw.served_by
    }

    /// Returns the digest of the bearer key, if callers must present one.
    pub fn key_sha256(&self) -> Option<&str> {
        self.raw.key_sha256.as_deref()
    }

    /// Returns the entry of a class, if the contract has one.
    pub fn work(&self, class: &Class) -> Option<&Work> {
        self.raw.classes.iter().find(|work| work.class == *class)
    }

    /// Returns the deadline of a program of `class`, counted from its start.
    pub fn deadline(&self, class: &Class) -> Duration {
        let max_age = Duration::from_secs(self.raw.limits.seconds);
        self.work(class)
            .map_or(max_age, |work| Duration::from_millis(work.deadline_ms))
    }

    /// Returns whether calls of `class` must never queue behind long work.
    pub fn interactive(&self, class: &Class) -> bool {
        self.work(class).is_some_and(|work| work.interactive)
    }
}
