//! Load, orders and cancellation.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt as _;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::error::EngineError;
use crate::link;

/// Longest wait for an engine's answer to a question of control.
const PATIENCE: Duration = Duration::from_secs(2);

/// Longest answer to a question of control, in bytes.
const MAX_ANSWER: u64 = 1 << 20;

/// An engine's load, as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait.
    pub busy: u32,
    /// Requests that fit.
    pub room: u32,
    /// The models that are loaded, or the name of a plain service.
    pub serves: Vec<String>,
    /// How old the report is, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the endpoint says that it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// An order to load a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The model.
    pub model: String,
    /// The fencing number; some engines refuse older ones.
    pub fence: u64,
}

/// Asks for the load.
///
/// # Errors
///
/// Fails where the engine can't be reached or its answer can't be read.
pub async fn load(address: SocketAddr) -> Result<Load, EngineError> {
    let sent = link::send(
        address,
        Method::Get,
        "/load",
        "application/json",
        Vec::new(),
        PATIENCE,
    );
    let mut answer = sent.await?;
    let status: u16 = answer.status().into();
    if status != 200 {
        return Err(EngineError::Status(status));
    }
    let mut bytes = Vec::new();
    let mut body = answer.take_body().take(MAX_ANSWER);
    let read = body.read_to_end(&mut bytes).await;
    read.map_err(|e| EngineError::Broken(e.to_string()))?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Cancels a request.
///
/// # Errors
///
/// Fails where the engine can't be reached or refuses.
pub async fn cancel(address: SocketAddr, id: &str) -> Result<(), EngineError> {
    let path = format!("/v1/requests/{id}");
    let media = "application/json";
    let sent = link::send(address, Method::Delete, &path, media, Vec::new(), PATIENCE);
    let status: u16 = sent.await?.status().into();
    if status >= 300 {
        return Err(EngineError::Status(status));
    }
    Ok(())
}

/// Orders a model to be loaded.
///
/// # Errors
///
/// Fails where the engine can't be reached or refuses the fencing number.
pub async fn order(address: SocketAddr, order: &LoadOrder) -> Result<(), EngineError> {
    let body = serde_json::to_vec(order)?;
    let media = "application/json";
    let sent = link::send(address, Method::Post, "/orders", media, body, PATIENCE);
    let status: u16 = sent.await?.status().into();
    if status >= 300 {
        return Err(EngineError::Status(status));
    }
    Ok(())
}
