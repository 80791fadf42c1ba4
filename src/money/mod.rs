//! Amounts of money in integer micro-units of a contract's currency.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// A non-negative amount in micro-units; one currency unit is 1,000,000.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct Money(pub u64);

impl Money {
    /// Adds two amounts; `None` on overflow.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// Adds two amounts; saturates at the maximum on overflow.
    ///
    /// An amount that is too large refuses work, so saturation never lets a budget be exceeded.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Subtracts an amount; saturates at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Multiplies by a count; saturates at the maximum on overflow.
    pub fn saturating_mul(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
