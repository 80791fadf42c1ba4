//! Requests for chat completions, and the prefixes of their prompts.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that count as one token; a remainder counts as one more.
const BYTES_PER_TOKEN: u64 = 4;

/// A message of a prompt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Text, parts or null.
    #[serde(default)]
    pub content: Value,
    /// Tool calls of an assistant.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub tool_calls: Value,
}

impl Message {
    /// Creates a text message.
    pub fn new(role: &str, content: &str) -> Self {
        Self {
            role: role.to_owned(),
            content: Value::String(content.to_owned()),
            tool_calls: Value::Null,
        }
    }

    /// Returns the bytes that the model reads.
    fn text(&self) -> String {
        let text = |value: &Value| match value {
            Value::Null => String::new(),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        format!("{}{}", text(&self.content), text(&self.tool_calls))
    }
}

/// Body of `POST /v1/chat/completions`; unknown fields are ignored, as the API specifies.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Request {
    /// Requested model or adapter.
    pub model: String,
    /// Messages of the prompt.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Newer name of `max_tokens`, which it overrides.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of the stream.
    #[serde(default)]
    pub stream_options: Option<Options>,
    /// Cache key; without it the engine derives one from the first message.
    #[serde(default)]
    pub prompt_cache_key: Option<String>,
}

/// Options of a stream.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct Options {
    /// Whether the last chunk carries the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// A prefix of a conversation that ends at a message boundary.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Prefix {
    /// Hash of its messages.
    pub hash: u64,
    /// Total length of its messages in bytes.
    pub bytes: u64,
}

impl Prefix {
    /// Returns the prefix extended by `message`.
    pub fn extend(self, message: &Message) -> Self {
        let text = message.text();
        let seed = xxh3_64_with_seed(message.role.as_bytes(), self.hash);
        Self {
            hash: xxh3_64_with_seed(text.as_bytes(), seed),
            bytes: self.bytes + text.len() as u64,
        }
    }

    /// Returns the length of the prefix in tokens.
    pub fn tokens(self) -> u64 {
        self.bytes.div_ceil(BYTES_PER_TOKEN)
    }
}

/// Returns the prefixes of a conversation, the longest one last.
pub fn prefixes(messages: &[Message]) -> Vec<Prefix> {
    let step = |prefix: &mut Prefix, message| {
        *prefix = prefix.extend(message);
        Some(*prefix)
    };
    messages.iter().scan(Prefix::default(), step).collect()
}

/// Returns the longest prefix that both lists share.
pub fn common_prefix(one: &[Prefix], other: &[Prefix]) -> Prefix {
    let pairs = one.iter().zip(other);
    let same = pairs.take_while(|(one, other)| one == other);
    same.last().map_or(Prefix::default(), |(prefix, _)| *prefix)
}
