//! Reads the load of an engine, cancels requests and loads models.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt as _;
use serde::Deserialize;
use serde::Serialize;

use crate::client;
use crate::client::Request;
use crate::error::EngineError;

/// Timeout of a control request to an engine.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of a response to a control request, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Load of an endpoint, as the endpoint reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running and waiting requests.
    #[serde(rename = "busy")]
    pub active_requests: u32,
    /// Maximum number of requests that the endpoint accepts.
    #[serde(rename = "room")]
    pub capacity: u32,
    /// Names of the loaded models, or the name of a plain service.
    #[serde(rename = "serves")]
    pub served_names: Vec<String>,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the endpoint is draining and takes no new requests.
    #[serde(rename = "leaving")]
    #[serde(default)]
    pub draining: bool,
}

/// A request to load a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadModelRequest {
    /// Name of the model.
    pub model: String,
    /// Fencing token; some engines reject a token older than the newest one they have seen.
    pub fence: u64,
}

/// Fetches the load report of an endpoint.
///
/// # Errors
///
/// Fails if the endpoint cannot be reached or its response cannot be read.
pub async fn fetch_load(address: SocketAddr) -> Result<LoadReport, EngineError> {
    let body = send(address, "GET", "/load", &[]).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends a control request and returns the body of its response, within the timeout.
async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Vec<u8>, EngineError> {
    let exchange = async {
        let request = Request {
            method,
            path,
            media_type: "application/json",
            headers: &[],
            body,
        };
        let response = client::send(address, &request, CONTROL_TIMEOUT).await?;
        if response.status() >= 300 {
            return Err(EngineError::Status(response.status()));
        }
        response.into_body().read_all(MAX_RESPONSE_BYTES).await
    };
    let timed_out = async {
        Timer::after(CONTROL_TIMEOUT).await;
        Err(EngineError::Stalled)
    };
    timed_out.or(exchange).await
}

/// Cancels a request.
///
/// # Errors
///
/// Fails if the engine cannot be reached or returns an error status.
pub async fn cancel(address: SocketAddr, id: &str) -> Result<(), EngineError> {
    send(address, "DELETE", &format!("/v1/requests/{id}"), &[]).await?;
    Ok(())
}

/// Requests that the engine load a model.
///
/// # Errors
///
/// Fails if the engine cannot be reached or rejects the fencing token.
pub async fn load_model(
    address: SocketAddr,
    request: &LoadModelRequest,
) -> Result<(), EngineError> {
    let body = serde_json::to_vec(request)?;
    send(address, "POST", "/orders", &body).await?;
    Ok(())
}
