//! What a request says of its sender, key and body.

use base::Digest;
use host::http::read_body;
use http_types::Method;
use http_types::Request;

use crate::error::CallerError;
use crate::error::FieldReason;

/// Largest body of a caller's request, in bytes.
pub const MAX_BODY: usize = 4 << 20;

/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 255;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The digest of the bearer key; the key itself isn't kept.
    pub bearer: Digest,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body's media type.
    pub media: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Inbound {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Fails where the bearer key is missing, or a header or the body is wrong.
    pub async fn read(request: &mut Request) -> Result<Self, CallerError> {
        let header = |name: &str| request.header(name).map(|v| v.last().as_str().to_owned());
        let bearer = header("authorization")
            .as_deref()
            .and_then(|value| value.strip_prefix("Bearer "))
            .map(|key| Digest::of(key.trim().as_bytes()))
            .ok_or(CallerError::Key)?;
        let key = header("idempotency-key");
        if let Some(key) = &key {
            let plain = key.bytes().all(|b| b.is_ascii_graphic());
            if key.is_empty() || key.len() > MAX_KEY || !plain {
                let reason = FieldReason::Expected("1 to 255 visible characters");
                return Err(CallerError::field("Idempotency-Key", reason));
            }
        }
        let media = header("content-type").unwrap_or_else(|| "application/json".to_owned());
        let method = request.method();
        let path = request.url().path().to_owned();
        let body = read_body(request, MAX_BODY).await;
        let body = body.map_err(CallerError::Body)?;
        Ok(Self {
            method,
            path,
            bearer,
            key,
            media,
            body,
        })
    }
}
