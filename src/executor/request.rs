//! A call as it travels from the entry instance to the program's home, and its answer.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Time,
    ledger::record::{
        Ending,
        Ran, //
    },
    name::{
        Class,
        Customer,
        Pool,
        Program, //
    },
    upstream::{
        Message,
        Usage, //
    },
};

/// A checked call of a customer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Request {
    /// Identifier that errors, logs and operators name.
    pub id: String,
    /// Customer that pays.
    pub customer: Customer,
    /// Kind of work; it decides deadline and priority.
    pub class: Class,
    /// Program that the call belongs to; `None` for a one-shot lookup.
    pub program: Option<Program>,
    /// Number of the turn that the caller expects; the next one if absent.
    pub turn: Option<u32>,
    /// Turns that the entry instance knows; a home that knows fewer has to wait for its replica.
    #[serde(default)]
    pub seen: u32,
    /// Caller's idempotency key.
    pub key: Option<String>,
    /// Time by which the answer is useful.
    pub deadline: Time,
    /// What has to be called.
    pub call: Call,
}

/// What has to be called.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase", tag = "type")]
pub enum Call {
    /// A model generates the next message of the program.
    Model {
        /// Pool of engines.
        pool: Pool,
        /// New messages; the program's history precedes them.
        messages: Vec<Message>,
        /// Largest number of tokens to generate.
        max_tokens: u32,
    },
    /// A tool service or a plain service runs an operation.
    Service {
        /// Pool of services.
        pool: Pool,
        /// Name of the operation in the pool's settings.
        operation: String,
        /// JSON text of the request.
        body: String,
    },
}

impl Call {
    /// Returns the pool that has to serve the call.
    pub fn pool(&self) -> &Pool {
        match self {
            Self::Model { pool, .. } | Self::Service { pool, .. } => pool,
        }
    }
}

/// Part of the answer to a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Event {
    /// Text that a model generated, at a byte offset of the answer.
    Text {
        /// Offset of the first byte.
        offset: u64,
        /// The text.
        text: String,
    },
    /// The whole answer; nothing follows.
    Answer(Answer),
    /// The call is refused or failed; nothing follows.
    Refusal(Refusal),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Number of the turn; `None` for a one-shot lookup.
    pub turn: Option<u32>,
    /// Text of a model's message, or JSON text of a service's answer.
    pub content: String,
    /// Tokens that the call used.
    pub usage: Usage,
    /// How safely the turn is kept.
    pub durability: Durability,
    /// Set if the program ended with this answer.
    pub stopped: Option<Ending>,
}

/// How safely a turn is kept when its answer is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Durability {
    /// The turn is in the platform's log.
    Committed,
    /// The log is down; the turn is held by this instance and two peers.
    Replicated,
    /// The call has no history.
    None,
}

/// The answer to a call that is refused or failed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Refusal {
    /// Stable reason.
    pub reason: Reason,
    /// Whether the work ran.
    pub ran: Ran,
    /// When to come back, in milliseconds; `None` if coming back does not help.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people.
    pub detail: String,
}

/// Stable reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The bearer key does not match the contract.
    WrongKey,
    /// No contract exists for the customer.
    UnknownCustomer,
    /// The old system serves the customer.
    CustomerElsewhere,
    /// The program is unknown, or belongs to another customer.
    UnknownProgram,
    /// The program is older than its records are kept.
    ProgramExpired,
    /// The program has ended.
    ProgramEnded,
    /// The turn is not the program's next one.
    OutOfOrder,
    /// Another call of the program is running.
    TurnInProgress,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The contract's number of programs under way is reached.
    TooManyPrograms,
    /// The contract's budget does not cover the call.
    BudgetExhausted,
    /// The deadline has passed or cannot be met.
    DeadlineUnreachable,
    /// The queue is full.
    QueueFull,
    /// No upstream is available.
    NoUpstream,
    /// The upstream refused the call.
    UpstreamRefused,
    /// The upstream failed the call.
    UpstreamFailed,
    /// The call was sent and its outcome is unknown.
    OutcomeUnknown,
    /// The log is down, and the call needs it.
    LogUnavailable,
    /// The caller cancelled the call.
    Cancelled,
    /// The pool or the operation is not configured.
    UnknownPool,
    /// The instance is stopping or not ready.
    NotReady,
    /// Another change was accepted first.
    Conflict,
    /// The route or the resource does not exist.
    NotFound,
}
