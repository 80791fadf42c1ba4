//! Conversion of a program's history into prompt messages.

use crate::{
    ledger::record::{
        Ran,
        Turn, //
    },
    upstream::Message, //
};

use super::request::Call;

/// Message for the model in place of a call whose outcome is unknown.
const UNKNOWN_OUTCOME: &str = "The outcome of this call is unknown; it must not be repeated.";

/// Upper bound on the tokens that an engine adds to each message for its role and delimiters.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Returns the messages of a program's history.
///
/// A turn whose request can't be parsed contributes its raw text, so that nothing is omitted.
pub fn messages(history: &[std::sync::Arc<Turn>]) -> Vec<Message> {
    let mut messages = Vec::new();
    for turn in history {
        if turn.ran != Ran::Yes {
            messages.push(message("tool", UNKNOWN_OUTCOME));
            continue;
        }
        match serde_json::from_str::<Call>(&turn.request) {
            Ok(Call::Model { messages: new, .. }) => {
                messages.extend(new);
                messages.push(message("assistant", &turn.answer));
            }
            Ok(Call::Service {
                operation, body, ..
            }) => {
                let request = format!("{operation} {body}");
                messages.push(message("assistant", &request));
                messages.push(message("tool", &turn.answer));
            }
            Err(_) => {
                messages.push(message("user", &turn.request));
                messages.push(message("assistant", &turn.answer));
            }
        }
    }
    messages
}

fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_owned(),
        content: content.to_owned(),
    }
}

/// Returns an upper bound on the tokens of a prompt; no tokenizer produces more tokens than bytes.
pub fn max_prompt_tokens(messages: &[Message]) -> u64 {
    let tokens = |m: &Message| (m.role.len() + m.content.len()) as u64 + MESSAGE_OVERHEAD_TOKENS;
    messages.iter().map(tokens).sum()
}
