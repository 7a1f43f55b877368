//! Reads a caller's HTTP request: credentials, idempotency key and body.

use base::Digest;
use host::http::read_body;
use http_types::Method;
use http_types::Request;

use crate::error::CallerError;
use crate::error::FieldError;

/// Maximum body length of a caller's request, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A caller's HTTP request.
#[derive(Clone, Debug)]
pub struct InboundRequest {
    /// HTTP method.
    pub method: Method,
    /// URL path.
    pub path: String,
    /// Digest of the bearer key; the key itself is not kept.
    pub bearer_digest: Digest,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Media type of the body.
    pub media_type: String,
    /// Request body.
    pub body: Vec<u8>,
}

impl InboundRequest {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails if the bearer key is missing, or if a header or the body is invalid.
    pub async fn read(request: &mut Request) -> Result<Self, CallerError> {
        let header = |name: &str| request.header(name).map(|v| v.last().as_str().to_owned());
        let bearer = header("authorization")
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(|key| Digest::of(key.trim().as_bytes()))
            .ok_or(CallerError::UnknownKey)?;
        let key = header("idempotency-key");
        if let Some(key) = &key {
            let visible = key.bytes().all(|b| b.is_ascii_graphic());
            if key.is_empty() || key.len() > MAX_KEY_BYTES || !visible {
                let reason = FieldError::Expected("1 to 255 visible characters");
                return Err(CallerError::invalid_field("Idempotency-Key", reason));
            }
        }
        let media = header("content-type").unwrap_or_else(|| "application/json".to_owned());
        let method = request.method();
        let path = request.url().path().to_owned();
        let body = read_body(request, MAX_BODY_BYTES).await;
        let body = body.map_err(CallerError::InvalidBody)?;
        Ok(Self {
            method,
            path,
            bearer_digest: bearer,
            idempotency_key: key,
            media_type: media,
            body,
        })
    }
}
