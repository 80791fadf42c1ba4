//! Prompts from a program's history.

use crate::{
    ledger::record::Turn,
    name::Program,
    upstream::Message, //
};

use super::request::Call;

/// Prefix of the keys under which engines cache our prompts; other keys are not ours.
pub const CACHE_PREFIX: &str = "gypsumlever/";

/// Tokens that an engine adds to each message for its role and delimiters, as an upper bound.
const MESSAGE_TOKENS: u64 = 16;

/// Returns the key under which engines cache the prefix of a program.
pub fn cache_key(program: &Program) -> String {
    format!("{CACHE_PREFIX}{program}")
}

/// Returns the program of a cache key, if the key is ours.
pub fn program(cache_key: &str) -> Option<Program> {
    Program::try_from(cache_key.strip_prefix(CACHE_PREFIX)?).ok()
}

/// Returns the messages of a program's history.
///
/// A turn that can't be read as a call contributes its raw text, so that nothing is left out.
pub fn messages(history: &[std::sync::Arc<Turn>]) -> Vec<Message> {
    let mut messages = Vec::new();
    for turn in history {
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

/// Returns an upper bound of the tokens of a prompt; no tokenizer makes more tokens than bytes.
pub fn most_tokens(messages: &[Message]) -> u64 {
    let tokens = |m: &Message| (m.role.len() + m.content.len()) as u64 + MESSAGE_TOKENS;
    messages.iter().map(tokens).sum()
}
