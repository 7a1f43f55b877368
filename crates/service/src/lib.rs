//! The HTTP client for plain services: sends one request and reads the response.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use engine::EngineError;
use engine::client;
use engine::client::Request;
use futures_lite::FutureExt as _;

/// Maximum length of a plain service's response body, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Media type of a response that states none.
const DEFAULT_MEDIA_TYPE: &str = "application/octet-stream";

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

/// Sends a request once, without retries; the whole response must arrive within `timeout`.
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
    let timed_out = async {
        Timer::after(timeout).await;
        Err(EngineError::Stalled)
    };
    timed_out.or(exchange(address, request, timeout)).await
}

async fn exchange(
    address: SocketAddr,
    request: &ServiceRequest<'_>,
    timeout: Duration,
) -> Result<ServiceResponse, EngineError> {
    let request = Request {
        method: request.method,
        path: request.path,
        media_type: request.media_type,
        headers: &[],
        body: request.body,
    };
    let response = client::send(address, &request, timeout).await?;
    let status = response.status();
    let media_type = response.media_type().unwrap_or(DEFAULT_MEDIA_TYPE);
    let media_type = media_type.to_owned();
    let body = response.into_body().read_all(MAX_RESPONSE_BYTES).await?;
    Ok(ServiceResponse {
        status,
        media_type,
        body,
    })
}
