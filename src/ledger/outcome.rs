//! Outcome of applying a record in log order.

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;
use uuid::Uuid;

use crate::{
    contract::Version,
    ledger::record::Ending,
    money::Money,
    name::{
        Instance,
        Program, //
    },
};

/// Outcome of applying one record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The record took effect.
    Accepted,
    /// The record already took effect at a lower offset.
    Duplicate,
    /// Another record that was applied first excludes this one.
    Conflict(Winner),
    /// The record violates a rule.
    Rejected(Reason),
}

impl Outcome {
    /// Returns whether the record's effect is in the state.
    pub fn took_effect(&self) -> bool {
        matches!(self, Self::Accepted | Self::Duplicate)
    }
}

/// Earlier state with which a record conflicts.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Winner {
    /// Current version of the contract.
    Contract(Version),
    /// Program that was started earlier with the same name or the same idempotency key.
    Program(Program),
    /// The turn with this number is committed.
    Turn(u32),
    /// Open claim of the turn.
    Claim {
        /// Identifier of the claim's record.
        id: Uuid,
        /// Instance that holds the claim.
        author: Instance,
    },
    /// The program ended for another reason.
    Ended(Ending),
    /// The tranche was settled by another record.
    Settled,
    /// The tranche has another size.
    Tranche(Money),
}

/// Rule that a record violates.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[derive(Error)]
pub enum Reason {
    /// The customer has no contract.
    #[error("customer has no contract")]
    NoContract,
    /// The contract names another customer than the record.
    #[error("contract names another customer")]
    WrongCustomer,
    /// The old system serves the customer.
    #[error("customer is served by the old system")]
    Elsewhere,
    /// The contract's limit on active programs is reached.
    #[error("the limit of {0} active programs is reached")]
    TooManyPrograms(u32),
    /// The program is not known.
    #[error("program is not known")]
    UnknownProgram,
    /// The parent is not active.
    #[error("parent program is not active")]
    ParentNotLive,
    /// The program's name contains no time of creation.
    #[error("program name is malformed")]
    BadName,
    /// The identifier is older than the period for which duplicates can be recognised.
    #[error("identifier is too old to be checked for duplicates")]
    Expired,
    /// The program has ended.
    #[error("program has ended: {0:?}")]
    Ended(Ending),
    /// The turn is not the program's next one.
    #[error("turn is out of order; the next turn is {next}")]
    OutOfOrder {
        /// Number of the next turn.
        next: u32,
    },
    /// The claim or tranche belongs to another instance.
    #[error("the claim or tranche belongs to another instance")]
    NotAuthor,
    /// The claim is not known.
    #[error("claim is not known")]
    UnknownClaim,
    /// The claim was voided.
    #[error("claim was voided")]
    Voided,
    /// The turn that the claim covers is committed.
    #[error("turn of the claim is committed")]
    Committed,
    /// The contract's budget does not cover the amount.
    #[error("budget has {left} left")]
    BudgetExhausted {
        /// Amount that may still be reserved.
        left: Money,
    },
    /// The amount is zero.
    #[error("amount is zero")]
    Zero,
    /// The tranche is not known.
    #[error("tranche is not known")]
    UnknownTranche,
    /// The amount spent exceeds the tranche.
    #[error("amount spent exceeds the tranche of {0}")]
    Overspent(Money),
    /// The entity changed after the snapshot was taken.
    #[error("entity changed after the snapshot was taken")]
    Stale,
    /// This reader has not seen the records that follow the snapshot's `as_of` offset.
    #[error("log of this reader begins after the snapshot was taken")]
    BeforeBegin,
}
