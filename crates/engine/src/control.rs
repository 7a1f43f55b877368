//! Reads the load of an engine, cancels requests and loads models.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::client;
use crate::error::EngineError;

/// Timeout of a control request to an engine.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of a response to a control request, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

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
    let sent = client::send(
        address,
        Method::Get,
        "/load",
        "application/json",
        Vec::new(),
        CONTROL_TIMEOUT,
    );
    let mut response = sent.await?;
    let status: u16 = response.status().into();
    if status != 200 {
        return Err(EngineError::Status(status));
    }
    let mut bytes = Vec::new();
    let mut body = response.take_body().take(MAX_RESPONSE_BYTES);
    let read = body.read_to_end(&mut bytes).await;
    read.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Cancels a request.
///
/// # Errors
///
/// Fails if the engine cannot be reached or returns an error status.
pub async fn cancel(address: SocketAddr, id: &str) -> Result<(), EngineError> {
    let path = format!("/v1/requests/{id}");
    let media_type = "application/json";
    let sent = client::send(
        address,
        Method::Delete,
        &path,
        media_type,
        Vec::new(),
        CONTROL_TIMEOUT,
    );
    let status: u16 = sent.await?.status().into();
    if status >= 300 {
        return Err(EngineError::Status(status));
    }
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
    let media_type = "application/json";
    let sent = client::send(
        address,
        Method::Post,
        "/orders",
        media_type,
        body,
        CONTROL_TIMEOUT,
    );
    let status: u16 = sent.await?.status().into();
    if status >= 300 {
        return Err(EngineError::Status(status));
    }
    Ok(())
}
