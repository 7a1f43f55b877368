//! The HTTP client for plain services: sends one request and reads the response.

use std::net::SocketAddr;
use std::time::Duration;

use engine::EngineError;
use engine::client;
use futures_lite::AsyncReadExt as _;
use http_types::Method;

/// Maximum length of a plain service's response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// URL path.
    pub path: &'a str,
    /// Media type of the body.
    pub media_type: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request once, without retries.
///
/// # Errors
///
/// Fails if the service cannot be reached or its response is incomplete. The request
/// certainly did not run only if [`EngineError::never_sent`] returns true.
pub async fn call(
    address: SocketAddr,
    request: &ServiceRequest<'_>,
    timeout: Duration,
) -> Result<ServiceResponse, EngineError> {
    let method: Method = request.method.parse().unwrap_or(Method::Post);
    let body = request.body.to_vec();
    let response_future = client::send(
        address,
        method,
        request.path,
        request.media_type,
        body,
        timeout,
    );
    let mut response = response_future.await?;
    let media = response.content_type().map(|mime| mime.to_string());
    let length = response.len();
    let mut bytes = Vec::new();
    let mut limited = response.take_body().take(MAX_RESPONSE_BYTES as u64 + 1);
    let read = limited.read_to_end(&mut bytes).await;
    read.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
    if bytes.len() > MAX_RESPONSE_BYTES || length.is_some_and(|length| length != bytes.len()) {
        return Err(EngineError::Truncated);
    }
    Ok(ServiceResponse {
        status: response.status().into(),
        media_type: media.unwrap_or_else(|| "application/octet-stream".to_owned()),
        body: bytes,
    })
}
