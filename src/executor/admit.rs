//! Checks of a call against the ledger before any work is done.

use std::time::Duration;

use crate::{
    clock::Time,
    contract::{
        Contract,
        Server, //
    },
    ledger::{
        self,
        program,
        record::{
            Body,
            Ending,
            Ran,
            Record, //
        },
        State, //
    },
    money::Money,
    name::{
        Customer,
        Program, //
    },
};

use super::request::{
    Reason,
    Refusal,
    Request, //
};

/// Retry delay suggested to callers while a call is running.
pub const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Returns a refusal of a call that did not run.
pub fn refuse(reason: Reason, detail: impl Into<String>, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        ran: Ran::No,
        retry_after_ms: retry_after.map(|span| span.as_millis() as u64),
        detail: detail.into(),
    }
}

/// Returns the customer's contract if this system serves the customer.
pub fn contract<'a>(state: &'a State, request: &Request) -> Result<&'a Contract, Refusal> {
    contract_of(state, &request.customer)
}

/// Returns a customer's contract if this system serves the customer.
pub fn contract_of<'a>(state: &'a State, customer: &Customer) -> Result<&'a Contract, Refusal> {
    let Some(contract) = state.contract(customer) else {
        let detail = format!("customer {customer} has no contract");
        return Err(refuse(Reason::UnknownCustomer, detail, None));
    };
    if contract.served_by() != Server::Gypsumlever {
        let detail = format!("customer {customer} is served by the old system");
        return Err(refuse(Reason::CustomerElsewhere, detail, None));
    }
    Ok(contract)
}

/// Returns the active program that a call names.
pub fn find<'a>(
    state: &'a State,
    request: &Request,
    name: &Program,
    retention: Duration,
    now: Time,
) -> Result<&'a ledger::program::Program, Refusal> {
    if let Some(found) = state.program(name) {
        if *found.customer() == request.customer {
            return Ok(found);
        }
        // The answer must not reveal the programs of other customers.
        return Err(unknown(name));
    }
    if let Some(ending) = state.ended(&request.customer, name) {
        return Err(ended(ending));
    }
    Err(missing(name, retention, now))
}

/// Returns why a program ended, whoever its customer is.
pub fn ending(state: &State, name: &Program) -> Option<Ending> {
    state
        .accounts()
        .find_map(|(_, account)| account.ended(name))
}

/// Returns whether the replica's state allows a turn to be committed later.
pub fn may_commit_later(state: &State, record: &Record) -> bool {
    let Body::Turn { program, index, .. } = &record.body else {
        return false;
    };
    match state.program(program) {
        Some(found) => {
            let claim = found.claim().filter(|_| found.next() == *index);
            found.next() <= *index && claim.is_none_or(|claim| claim.author == record.author)
        }
        // This replica may not have applied the start of the program yet.
        None => state.ended(&record.customer, program).is_none(),
    }
}

/// Returns the refusal of a program that is not known: expired or unknown, depending on its age.
pub fn missing(name: &Program, retention: Duration, now: Time) -> Refusal {
    match program::created(name) {
        Some(created) if created + retention < now => {
            let detail = format!("program {name} is older than the retention period");
            refuse(Reason::ProgramExpired, detail, None)
        }
        _ => unknown(name),
    }
}

/// Returns the refusal of a program that is not known.
pub fn unknown(name: &Program) -> Refusal {
    refuse(
        Reason::UnknownProgram,
        format!("program {name} is not known"),
        None,
    )
}

/// Returns the refusal of a call of an ended program.
pub fn ended(ending: Ending) -> Refusal {
    refuse(
        Reason::ProgramEnded,
        format!("program has ended: {ending:?}"),
        None,
    )
}

/// Consumption of a program so far, including turns that have not reached the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Number of turns.
    pub turns: u32,
    /// Tokens of the history.
    pub tokens: u64,
    /// Time since the start.
    pub age: Duration,
    /// Money spent.
    pub spent: Money,
}

/// Returns the first limit of the contract that a program has reached.
pub fn reached_limit(contract: &Contract, usage: &Usage) -> Option<Ending> {
    let limits = contract.limits();
    let rules = [
        (usage.turns >= limits.turns, Ending::TurnLimit),
        (usage.tokens >= limits.tokens, Ending::TokenLimit),
        (usage.age.as_secs() >= limits.seconds, Ending::TimeLimit),
        (usage.spent.0 >= limits.spend_micros, Ending::SpendLimit),
    ];
    rules
        .into_iter()
        .find(|(hit, _)| *hit)
        .map(|(_, ending)| ending)
}
