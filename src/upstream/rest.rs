//! Client of tool services and plain services that accept and return JSON.

use awc::ClientRequest;
use bytes::Bytes;
use serde::de::IgnoredAny;

use super::{
    http::{
        Pool,
        Settings,
        MAX_BODY_BYTES, //
    },
    Failure,
    Limits,
    Service, //
};

/// Client of services; one per thread, which must be an actix arbiter.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Returns a client without open connections.
    pub fn new(settings: Settings) -> Self {
        Self {
            pool: Pool::new(settings),
        }
    }

    async fn post(
        &self,
        address: &str,
        request: ClientRequest,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure> {
        let mut request = request.content_type("application/json");
        if !key.is_empty() {
            request = request.insert_header(("Idempotency-Key", key));
        }
        let mut answer = self.pool.send(address, request, body, limits).await?;
        let declared_empty = answer.declared_empty();
        let has_length = answer.has_length();
        let text = answer.read_all(MAX_BODY_BYTES).await?;
        if declared_empty {
            return Ok(Bytes::from_static(b"null"));
        }
        check_json(&text, has_length)?;
        Ok(text)
    }
}

/// Checks that an answer is one complete JSON text.
///
/// Without a declared length, a closed connection looks like the end of the answer. A truncated
/// JSON text is invalid, unless it is a number.
fn check_json(text: &[u8], has_length: bool) -> Result<(), Failure> {
    let number = || {
        let first = text.iter().find(|byte| !byte.is_ascii_whitespace());
        first.is_some_and(|byte| *byte == b'-' || byte.is_ascii_digit())
    };
    if serde_json::from_slice::<IgnoredAny>(text).is_err() || !has_length && number() {
        return Err(Failure::Unknown(
            "answer is not a complete JSON text".into(),
        ));
    }
    Ok(())
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Service for Client {
    async fn call(
        &self,
        address: &str,
        path: &str,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure> {
        let request = self.pool.post(address, path);
        self.post(address, request, key, body, limits).await
    }

    async fn call_once(
        &self,
        address: &str,
        path: &str,
        key: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Bytes, Failure> {
        let request = self.pool.post_unpooled(address, path);
        self.post(address, request, key, body, limits).await
    }
}
