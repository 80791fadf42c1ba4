//! Published forms of answers.

use bytes::Bytes;
use serde_json::{
    json,
    Value, //
};

use super::batch::{
    Finish,
    Usage, //
};

impl Usage {
    /// Returns the published form.
    pub fn publish(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + u64::from(self.completion),
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// Writer of one answer.
#[derive(Clone, Debug)]
pub struct Writer {
    /// Identifier of the answer.
    pub id: String,
    /// Model that answers.
    pub model: String,
    /// Time in seconds since the Unix epoch.
    pub created: u64,
    /// Whether the last part tells the usage.
    pub usage: bool,
}

impl Writer {
    /// Returns the part that carries a token.
    pub fn token(&self, text: &str, first: bool) -> Bytes {
        let delta = match first {
            true => json!({"role": "assistant", "content": text}),
            false => json!({"content": text}),
        };
        self.chunk(
            &json!([{"index": 0, "delta": delta, "finish_reason": null}]),
            Value::Null,
        )
    }

    /// Returns the parts after the last token.
    pub fn done(&self, usage: Usage, finish: Finish) -> Bytes {
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": finish}]);
        let mut parts = self.chunk(&choices, Value::Null).to_vec();
        if self.usage {
            parts.extend(self.chunk(&json!([]), usage.publish()));
        }
        parts.extend(b"data: [DONE]\n\n");
        parts.into()
    }

    /// Returns a whole answer.
    pub fn whole(&self, text: &str, usage: Usage, finish: Finish) -> Value {
        let message = json!({"role": "assistant", "content": text});
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
            "usage": usage.publish(),
        })
    }

    fn chunk(&self, choices: &Value, usage: Value) -> Bytes {
        let mut chunk = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": choices,
        });
        if self.usage {
            chunk["usage"] = usage;
        }
        format!("data: {chunk}\n\n").into()
    }
}
