//! JSON of answers and chunks, as the API specifies.

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
    /// Returns the object `usage` of the API.
    pub fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + u64::from(self.completion),
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }
}

/// Writer of one answer. Tokens need no escaping, so their chunks are formatted without a
/// JSON encoder: an engine writes thousands of them per second.
#[derive(Clone, Debug)]
pub struct Writer {
    id: String,
    model: String,
    created: u64,
    usage: bool,
    head: String,
    tail: &'static str,
}

impl Writer {
    /// Creates a writer; `usage` adds a last chunk that carries the usage.
    pub fn new(id: String, model: String, created: u64, usage: bool) -> Self {
        let name = Value::from(model.as_str());
        let head = format!(
            r#"data: {{"id":"{id}","object":"chat.completion.chunk","created":{created},"model":{name},"choices":"#
        );
        Self {
            id,
            model,
            created,
            usage,
            head,
            tail: if usage {
                ",\"usage\":null}\n\n"
            } else {
                "}\n\n"
            },
        }
    }

    /// Returns the chunk that carries a token.
    pub fn token(&self, text: &str, first: bool) -> Bytes {
        let (head, tail) = (&self.head, self.tail);
        let role = if first { r#""role":"assistant","# } else { "" };
        format!(
            r#"{head}[{{"index":0,"delta":{{{role}"content":"{text}"}},"finish_reason":null}}]{tail}"#
        )
        .into()
    }

    /// Returns the chunks after the last token.
    pub fn done(&self, usage: Usage, finish: Finish) -> Bytes {
        let (head, tail) = (&self.head, self.tail);
        let choices = json!([{"index": 0, "delta": {}, "finish_reason": finish}]);
        let mut parts = format!("{head}{choices}{tail}");
        if self.usage {
            let usage = usage.to_json();
            parts.push_str(&format!("{head}[],\"usage\":{usage}}}\n\n"));
        }
        parts.push_str("data: [DONE]\n\n");
        parts.into()
    }

    /// Returns a complete answer that isn't streamed.
    pub fn complete(&self, text: &str, usage: Usage, finish: Finish) -> Value {
        let message = json!({"role": "assistant", "content": text});
        json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish}],
            "usage": usage.to_json(),
        })
    }
}
