//! What log order decides about a record.

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

/// Decision about one record.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Outcome {
    /// The record took effect.
    Accepted,
    /// The record had taken effect before, at a lower offset.
    Duplicate,
    /// Another record won the record's key.
    Conflict(Winner),
    /// A rule forbids the record.
    Rejected(Reason),
}

impl Outcome {
    /// Returns whether the record's effect is in the state.
    pub fn took_effect(&self) -> bool {
        matches!(self, Self::Accepted | Self::Duplicate)
    }
}

/// The record that holds the key for which another one was appended.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Winner {
    /// Current version of the contract.
    Contract(Version),
    /// Program that was started first, with the same name or the same idempotency key.
    Program(Program),
    /// Turn of this number is committed.
    Turn(u32),
    /// Claim that covers the turn.
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

/// Rule that forbids a record.
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
    /// The contract's number of programs under way is reached.
    #[error("the limit of {0} programs under way is reached")]
    TooManyPrograms(u32),
    /// The program is not known.
    #[error("program is not known")]
    UnknownProgram,
    /// The parent is not under way.
    #[error("parent program is not under way")]
    ParentNotLive,
    /// The program's name has no time of creation.
    #[error("program name is malformed")]
    BadName,
    /// The identifier is older than records are remembered.
    #[error("identifier is older than records are remembered")]
    Expired,
    /// The program has ended.
    #[error("program has ended: {0:?}")]
    Ended(Ending),
    /// The turn is not the program's next one.
    #[error("turn is not the next one, which is {next}")]
    OutOfOrder {
        /// Number of the next turn.
        next: u32,
    },
    /// Only the author of the earlier record may do this.
    #[error("only the author of the earlier record may do this")]
    NotAuthor,
    /// The claim is not known.
    #[error("claim is not known")]
    UnknownClaim,
    /// The claim was given up.
    #[error("claim was given up")]
    Voided,
    /// The turn that the claim covers is committed.
    #[error("turn of the claim is committed")]
    Committed,
    /// The contract's budget does not cover the amount.
    #[error("budget has {left} left")]
    BudgetExhausted {
        /// What may still be reserved.
        left: Money,
    },
    /// The amount is zero.
    #[error("amount is zero")]
    Zero,
    /// The tranche is not known.
    #[error("tranche is not known")]
    UnknownTranche,
    /// More was spent than the tranche holds.
    #[error("tranche holds only {0}")]
    Overspent(Money),
    /// The entity changed after the snapshot was taken.
    #[error("entity changed after the snapshot was taken")]
    Stale,
    /// The log of this reader begins after the snapshot was taken.
    #[error("log of this reader begins after the snapshot was taken")]
    BeforeBegin,
}
