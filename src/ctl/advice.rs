//! Explanations of refusals for operators.

use crate::{
    executor::request::Reason,
    ledger::record::Ran, //
};

/// Explanation of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Advice {
    /// What happened.
    pub meaning: &'static str,
    /// What an operator can do.
    pub action: &'static str,
}

/// Returns the explanation of a refusal by its reason.
pub fn for_reason(reason: Reason) -> Advice {
    let (meaning, action) = match reason {
        Reason::BadRequest => (
            "The request is malformed or names a route that does not exist.",
            "The caller has to correct the request; the detail names the field. Nothing has to be done here.",
        ),
        Reason::WrongKey => (
            "The caller's bearer key does not match key_sha256 of the contract.",
            "Give the caller the right key, or amend key_sha256 with the SHA-256 of the new key.",
        ),
        Reason::UnknownCustomer => (
            "No contract exists for the customer.",
            "Compare the name with `gypsumctl contract list`; if it is right, run `gypsumctl contract publish`.",
        ),
        Reason::CustomerElsewhere => (
            "The contract says that the old system serves the customer.",
            "Send the caller to the old system, or amend served_by to gypsumlever.",
        ),
        Reason::UnknownProgram => (
            "The program was never started, has been removed after its end, or belongs to another customer.",
            "Compare the id with `gypsumctl programs`; the caller may have mixed up customers or deployments.",
        ),
        Reason::ProgramExpired => (
            "The program has exceeded the retention period of its records.",
            "The caller has to start a new program. If programs have to live longer, amend limits.seconds.",
        ),
        Reason::ProgramEnded => (
            "The program has ended; the detail says how.",
            "After a limit: check for a loop in the program, or raise the limit in the contract. Otherwise the caller sent a call after the end.",
        ),
        Reason::OutOfOrder => (
            "The call names a turn that is not the program's next one.",
            "The caller has to fetch the program's history and continue with the next turn.",
        ),
        Reason::TurnInProgress => (
            "Another call of the program runs; calls of one program run one after another.",
            "The caller has to wait for the answer, fetch it by its turn, or cancel it.",
        ),
        Reason::KeyReused => (
            "The idempotency key was used for a request with other contents.",
            "The caller has to use a new key for each new request.",
        ),
        Reason::TooManyPrograms => (
            "The contract's limit of active programs is reached.",
            "Look for programs that never end with `gypsumctl programs --customer`, or raise programs in the contract.",
        ),
        Reason::BudgetExhausted => (
            "The budget left does not cover the worst-case cost of the call.",
            "Compare spent and reserved in `gypsumctl contract show`; raise budget_micros if the customer may spend more. Callers can lower max_tokens.",
        ),
        Reason::DeadlineUnreachable => (
            "The deadline has passed, or the call can't finish before it.",
            "Look at `gypsumctl queues` and `gypsumctl upstreams` for a lack of capacity; otherwise lengthen deadline_ms of the class.",
        ),
        Reason::QueueFull => (
            "Too many calls wait for the pool, in all or from this customer.",
            "Look at `gypsumctl queues`. Add upstreams, or lower the customer's demand; callers retry after Retry-After.",
        ),
        Reason::NoUpstream => (
            "No upstream of the pool can take the call, or none could be reached.",
            "Look at `gypsumctl upstreams`: start upstreams that are down, and check the pool's addresses in the settings.",
        ),
        Reason::UpstreamRefused => (
            "The upstream refused the call before it ran.",
            "Look for overload in `gypsumctl upstreams`, then in the upstream's own log.",
        ),
        Reason::UpstreamFailed => (
            "The upstream answered with an error.",
            "The detail has the status and the beginning of the answer; look in the upstream's own log.",
        ),
        Reason::OutcomeUnknown => (
            "The call was sent, or may have been, and no answer came.",
            "A call that must not be repeated: ask the upstream's records whether it took effect before anyone repeats it. Any other call: the caller may repeat it.",
        ),
        Reason::LogUnavailable => (
            "The platform's log is down or slow, and the request needs it.",
            "Notify the platform's operators. Calls in flight continue; new programs, claimed calls and contracts wait for the log.",
        ),
        Reason::Cancelled => (
            "The caller cancelled the call or the program.",
            "Nothing has to be done.",
        ),
        Reason::UnknownPool => (
            "The pool or the operation is not in the settings of the instance.",
            "Compare the name with the settings; after a change, restart all instances one after another.",
        ),
        Reason::NotReady => (
            "The instance is starting or stopping.",
            "Callers retry after Retry-After. If it lasts, look at /readyz and at the instance's log.",
        ),
        Reason::Conflict => (
            "Another change was accepted first, or the ledger's rules forbid this one.",
            "Look at the version in effect with `gypsumctl contract diff`, then amend that version.",
        ),
        Reason::NotFound => (
            "The route or the resource does not exist.",
            "Compare the path with docs/api.md, and the version of the tool with the daemon's.",
        ),
    };
    Advice { meaning, action }
}

/// Describes whether the work ran.
pub fn describe_ran(ran: Ran) -> &'static str {
    match ran {
        Ran::No => "no, the work did not run",
        Ran::Yes => "yes, the work ran",
        Ran::Unknown => "unknown, the work may have run",
    }
}

/// Describes when a retry may succeed.
pub fn describe_retry(retry_after_ms: Option<u64>) -> String {
    match retry_after_ms {
        Some(ms) => format!("retry after {ms} ms"),
        None => "a retry fails until something changes".to_owned(),
    }
}
