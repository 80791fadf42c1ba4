//! Format of the records that instances append to the log.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use crate::{
    clock::Time,
    contract::{
        Contract,
        Version, //
    },
    money::Money,
    name::{
        Class,
        Customer,
        Instance,
        Program, //
    },
};

/// One record of the log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Record {
    /// Unique identifier; a retried append reuses it, so that duplicates are recognised.
    pub id: Uuid,
    /// Customer whose state the record changes; it determines the partition.
    pub customer: Customer,
    /// Instance that wrote the record.
    pub author: Instance,
    /// Time at which the record was created, by the author's clock.
    pub at: Time,
    /// State change that the record requests.
    pub body: Body,
}

/// State change that a record requests.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Body {
    /// Publishes version `version` of a contract; accepted if the current version is `version - 1`.
    Publish {
        /// Version that the contract gets.
        version: Version,
        /// The contract.
        contract: Arc<Contract>,
    },
    /// Starts a program.
    Start(Start),
    /// Commits turn `index` of a program; accepted if it is the program's next turn.
    Turn {
        /// Program that the turn belongs to.
        program: Program,
        /// Number of the turn, from 0.
        index: u32,
        /// The turn.
        turn: Arc<Turn>,
    },
    /// Claims the right to send the non-idempotent call of turn `index`, once.
    Claim {
        /// Program that the call belongs to.
        program: Program,
        /// Number of the turn, from 0.
        index: u32,
        /// Caller's idempotency key of the call.
        key: Option<String>,
        /// Hash of the request; with the key, it identifies a repeated call after the claim's
        /// holder has failed.
        digest: u64,
    },
    /// Voids claim `claim`, which was certainly not used; accepted from the claim's author only.
    Void {
        /// Program that the call belongs to.
        program: Program,
        /// Number of the turn, from 0.
        index: u32,
        /// Identifier of the claim's record.
        claim: Uuid,
    },
    /// Reserves a tranche of the customer's budget; the record's id names the tranche.
    Reserve {
        /// Size of the tranche.
        amount: Money,
    },
    /// Settles tranche `tranche` and returns the unspent amount; accepted from its author only.
    Settle {
        /// Identifier of the tranche's record.
        tranche: Uuid,
        /// Amount spent of the tranche.
        spent: Money,
    },
    /// Ends a program and its descendants.
    End {
        /// Program that ends.
        program: Program,
        /// Why it ended.
        reason: Ending,
    },
    /// Snapshot of live state, written before the original records expire.
    Snapshot {
        /// Last offset of the partition that the author had applied when it took the snapshot.
        as_of: u64,
        /// State of one entity.
        entity: Arc<super::Entity>,
    },
}

/// Start of a program.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Start {
    /// The new program.
    pub program: Program,
    /// Kind of work.
    pub class: Class,
    /// Program that started this one as a sub-agent.
    pub parent: Option<Program>,
    /// Caller's idempotency key.
    pub key: Option<String>,
    /// Time by which the complete program has to finish.
    pub deadline: Time,
}

/// A turn: one call and its response.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Turn {
    /// Caller's idempotency key of the call.
    pub key: Option<String>,
    /// Hash of the request, to distinguish a repeated call from another one with the same key.
    pub digest: u64,
    /// Request as JSON text.
    pub request: String,
    /// Response as JSON text.
    pub answer: String,
    /// Whether the call ran.
    pub ran: Ran,
    /// Cost of the call.
    pub cost: Money,
    /// Tokens that the turn adds to the history.
    pub tokens: u64,
}

/// Whether a call ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing was sent to an upstream.
    No,
    /// The upstream responded.
    Yes,
    /// The call was sent, or may have been, and no response was received.
    Unknown,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller ended it.
    Done,
    /// The caller cancelled it.
    Cancelled,
    /// It reached its contract's limit on turns.
    TurnLimit,
    /// It reached its contract's limit on tokens.
    TokenLimit,
    /// It reached its contract's limit on time.
    TimeLimit,
    /// It reached its contract's limit on spending.
    SpendLimit,
    /// Its parent ended.
    ParentEnded,
}
