//! Label values and names of instruments.

use crate::{
    executor::request::Reason,
    upstream::Failure, //
};

/// A label with a fixed set of values.
pub trait Label: Copy + 'static {
    /// Name of the label.
    const KEY: &'static str;
    /// All values.
    const ALL: &'static [Self];

    /// Returns the position in [`Label::ALL`].
    fn index(self) -> usize;

    /// Returns the name of the value.
    fn name(self) -> &'static str;
}

/// Implements [`Label`]; an omitted value is a compile error, because the match is exhaustive.
macro_rules! label {
    ($type:ident, $key:literal, { $($value:ident: $name:literal),+ $(,)? }) => {
        impl Label for $type {
            const KEY: &'static str = $key;
            const ALL: &'static [Self] = &[$(Self::$value),+];

            fn index(self) -> usize {
                self as usize
            }

            fn name(self) -> &'static str {
                match self {
                    $(Self::$value => $name),+
                }
            }
        }
    };
}

/// Declares an enum and the outer name and description of each variant.
macro_rules! names {
    (
        $(#[$doc:meta])* $type:ident, $key:literal,
        { $($value:ident: $name:literal, $description:literal);+ $(;)? }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $type {
            $(
                #[doc = $description]
                $value
            ),+
        }

        label!($type, $key, { $($value: $name),+ });

        impl $type {
            /// Returns the description, which is the help text of an instrument.
            pub fn description(self) -> &'static str {
                match self {
                    $(Self::$value => $description),+
                }
            }
        }
    };
}

label!(Reason, "reason", {
    BadRequest: "bad_request",
    WrongKey: "wrong_key",
    UnknownCustomer: "unknown_customer",
    CustomerElsewhere: "customer_elsewhere",
    UnknownProgram: "unknown_program",
    ProgramExpired: "program_expired",
    ProgramEnded: "program_ended",
    OutOfOrder: "out_of_order",
    TurnInProgress: "turn_in_progress",
    KeyReused: "key_reused",
    TooManyPrograms: "too_many_programs",
    BudgetExhausted: "budget_exhausted",
    DeadlineUnreachable: "deadline_unreachable",
    QueueFull: "queue_full",
    NoUpstream: "no_upstream",
    UpstreamRefused: "upstream_refused",
    UpstreamFailed: "upstream_failed",
    OutcomeUnknown: "outcome_unknown",
    LogUnavailable: "log_unavailable",
    Cancelled: "cancelled",
    UnknownPool: "unknown_pool",
    NotReady: "not_ready",
    Conflict: "conflict",
    NotFound: "not_found",
});

names! {
    /// Reason for a retry.
    Retry, "reason", {
        NotSent: "not_sent", "The call did not reach the upstream.";
        Refused: "refused", "The upstream refused the call.";
        Failed: "failed", "The upstream failed the call.";
        Unknown: "unknown", "No whole answer came in time.";
        Owner: "home", "The program's home could not be reached.";
    }
}

names! {
    /// Outcome of a call to an upstream.
    Outcome, "outcome", {
        Done: "done", "A whole answer.";
        NotSent: "not_sent", "No connection.";
        Refused: "refused", "Refused before it ran.";
        Failed: "failed", "An error of the upstream.";
        Unknown: "unknown", "No whole answer.";
        Cancelled: "cancelled", "Nobody waited for it any longer.";
    }
}

names! {
    /// Kind of counted tokens.
    Token, "kind", {
        Prompt: "prompt", "Tokens of prompts, cached ones included.";
        Cached: "cached", "Tokens of prompts that the engine had in its cache.";
        Completion: "completion", "Tokens generated.";
    }
}

names! {
    /// A latency, exported as a histogram.
    Latency, "span", {
        FirstToken: "first_token", "Time from the arrival of a model call to its first token.";
        Call: "call", "Time from the arrival of a call to its whole answer.";
        QueueWait: "queue_wait", "Time that a call waited for an upstream.";
        Commit: "commit", "Time until log order had decided a record.";
    }
}

names! {
    /// A value that can rise and fall, exported as a gauge.
    Level, "level", {
        Ready: "ready", "Whether the instance serves: 1 or 0.";
        Leaving: "leaving", "Whether the instance is stopping: 1 or 0.";
        LogUp: "log_up", "Whether the log accepts appends: 1 or 0.";
        HeldTurns: "held_turns", "Replicated turns that wait for the log.";
        Instances: "instances", "Live instances, this one included.";
        Links: "links", "Links to other instances.";
        RunningCalls: "running_calls", "Calls that run on upstreams.";
        Programs: "programs", "Programs under way in the replica.";
    }
}

impl From<&Failure> for Outcome {
    fn from(failure: &Failure) -> Self {
        match failure {
            Failure::NotSent(_) => Self::NotSent,
            Failure::Refused { .. } => Self::Refused,
            Failure::Failed { .. } => Self::Failed,
            Failure::Unknown(_) => Self::Unknown,
        }
    }
}

impl From<&Failure> for Retry {
    fn from(failure: &Failure) -> Self {
        match failure {
            Failure::NotSent(_) => Self::NotSent,
            Failure::Refused { .. } => Self::Refused,
            Failure::Failed { .. } => Self::Failed,
            Failure::Unknown(_) => Self::Unknown,
        }
    }
}
