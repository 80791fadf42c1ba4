//! Client of model engines with the OpenAI chat completions API, streamed as server-sent events.

use std::time::Duration;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    http::{
        unknown,
        Body,
        Pool,
        Settings,
        MAX_BODY_BYTES, //
    },
    sse::Parser,
    Engine,
    Event,
    Failure,
    Limits,
    Load,
    Message,
    Prompt,
    Slot,
    Usage, //
};

/// Longest line or event of a stream, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Longest text of an answer, in bytes; no engine generates this much within its token limit.
pub const MAX_TEXT_BYTES: usize = 8 << 20;

/// Time limits of load reports and slot requests, which engines answer immediately.
const REPORT_LIMITS: Limits = Limits {
    first: Duration::from_secs(2),
    progress: Duration::from_secs(2),
    total: Duration::from_secs(5),
};

/// Client of model engines; one per thread, which must be an actix arbiter.
#[derive(Clone)]
pub struct Client {
    pub(super) pool: Pool,
}

impl Client {
    /// Returns a client without open connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            pool: Pool::new(settings),
        }
    }

    pub(super) async fn json<T>(&self, address: &str, path: &str) -> Result<T, Failure>
    where
        T: for<'de> Deserialize<'de>,
    {
        let request = self.pool.get(address, path);
        let mut body = self
            .pool
            .send(address, request, Bytes::new(), REPORT_LIMITS)
            .await?;
        let text = body.read_all(MAX_BODY_BYTES).await?;
        serde_json::from_slice(&text).map_err(unknown)
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u32,
    prompt_cache_key: &'a str,
    stream: bool,
    stream_options: Options,
}

#[derive(Serialize)]
struct Options {
    include_usage: bool,
}

impl Engine for Client {
    type Stream = Stream;

    async fn start(
        &self,
        address: &str,
        prompt: &Prompt,
        limits: Limits,
    ) -> Result<Stream, Failure> {
        let completion = Completion {
            model: &prompt.model,
            messages: &prompt.messages,
            max_tokens: prompt.max_tokens,
            prompt_cache_key: &prompt.cache_key,
            stream: true,
            stream_options: Options {
                include_usage: true,
            },
        };
        let text =
            serde_json::to_vec(&completion).map_err(|error| Failure::NotSent(error.to_string()))?;
        let request = self
            .pool
            .post(address, "/v1/chat/completions")
            .content_type("application/json")
            .insert_header(("Accept", "text/event-stream"));
        let body = self
            .pool
            .send(address, request, text.into(), limits)
            .await?;
        Ok(Stream::new(body))
    }

    async fn load(&self, address: &str) -> Result<Load, Failure> {
        self.json(address, "/load").await
    }

    async fn slots(&self, address: &str) -> Result<Vec<Slot>, Failure> {
        self.json(address, "/slots").await
    }

    async fn release(&self, address: &str, slot: &Slot) -> Result<(), Failure> {
        let path = format!("/slots/{}?action=erase", slot.id);
        let text = serde_json::json!({ "cache_key": slot.cache_key }).to_string();
        let request = self
            .pool
            .post(address, &path)
            .content_type("application/json");
        let answer = self
            .pool
            .send(address, request, text.into(), REPORT_LIMITS)
            .await?;
        answer.discard().await
    }
}

/// Stream of an engine's answer; dropping it closes the connection, which cancels the call.
pub struct Stream {
    /// `None` after the end and after a failure.
    body: Option<Body>,
    parser: Parser,
    usage: Option<Usage>,
    /// Bytes of text so far.
    length: usize,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Tokens>,
    #[serde(default)]
    error: Option<Fault>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Tokens {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Deserialize)]
struct Fault {
    #[serde(default)]
    message: String,
}

impl From<Tokens> for Usage {
    fn from(tokens: Tokens) -> Self {
        Self {
            prompt_tokens: tokens.prompt_tokens,
            cached_tokens: tokens
                .prompt_tokens_details
                .unwrap_or_default()
                .cached_tokens,
            completion_tokens: tokens.completion_tokens,
        }
    }
}

impl Stream {
    fn new(body: Body) -> Self {
        Self {
            body: Some(body),
            parser: Parser::new(MAX_EVENT_BYTES),
            usage: None,
            length: 0,
        }
    }

    /// Returns the next event in the bytes received so far.
    fn parse(&mut self) -> Result<Option<Event>, Failure> {
        while let Some(data) = self.parser.event().map_err(unknown)? {
            if data == "[DONE]" {
                let missing = || Failure::Unknown("answer ended without token usage".into());
                return self.usage.map(Event::Done).map(Some).ok_or_else(missing);
            }
            if let Some(text) = self.process_chunk(&data)? {
                self.length += text.len();
                if self.length > MAX_TEXT_BYTES {
                    return Err(unknown(format_args!(
                        "answer is longer than {MAX_TEXT_BYTES} bytes"
                    )));
                }
                return Ok(Some(Event::Text(text)));
            }
        }
        Ok(None)
    }

    /// Processes a chunk and returns its text, if any.
    fn process_chunk(&mut self, data: &str) -> Result<Option<String>, Failure> {
        let chunk: Chunk = serde_json::from_str(data).map_err(unknown)?;
        // The engine accepted the call with status 200 and failed afterwards.
        if let Some(fault) = chunk.error {
            return Err(Failure::Failed {
                status: 200,
                message: fault.message,
            });
        }
        if let Some(tokens) = chunk.usage {
            self.usage = Some(tokens.into());
        }
        let choice = chunk.choices.into_iter().next();
        let text = choice.and_then(|choice| choice.delta.content);
        Ok(text.filter(|text| !text.is_empty()))
    }

    async fn advance(&mut self) -> Result<Option<Event>, Failure> {
        loop {
            if let Some(event) = self.parse()? {
                return Ok(Some(event));
            }
            let Some(body) = &mut self.body else {
                return Ok(None);
            };
            match body.next_chunk().await? {
                Some(bytes) => self.parser.push(&bytes),
                None => return Err(Failure::Unknown("connection closed in mid-answer".into())),
            }
        }
    }
}

impl super::Stream for Stream {
    async fn next(&mut self) -> Result<Option<Event>, Failure> {
        if self.body.is_none() {
            return Ok(None);
        }
        let next = self.advance().await;
        match &next {
            Ok(Some(Event::Done(_))) => {
                if let Some(body) = self.body.take() {
                    body.finish();
                }
            }
            Ok(_) => {}
            Err(_) => self.body = None,
        }
        next
    }
}
