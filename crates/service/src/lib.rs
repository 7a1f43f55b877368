//! The HTTP interface towards plain services.

use std::net::SocketAddr;
use std::time::Duration;

use engine::EngineError;
use engine::link;
use futures_lite::AsyncReadExt as _;
use http_types::Method;

/// Longest answer of a plain service, in bytes.
pub const MAX_ANSWER: usize = 8 << 20;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The body's media type.
    pub media: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The body's media type.
    pub media: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Runs a call once.
///
/// # Errors
///
/// Fails where the service can't be reached or its answer isn't whole. Only where
/// [`EngineError::never_sent`] holds is it certain that the call didn't run.
pub async fn run(
    address: SocketAddr,
    call: &Call<'_>,
    patience: Duration,
) -> Result<Reply, EngineError> {
    let method: Method = call.method.parse().unwrap_or(Method::Post);
    let body = call.body.to_vec();
    let sent = link::send(address, method, call.path, call.media, body, patience);
    let mut answer = sent.await?;
    let media = answer.content_type().map(|mime| mime.to_string());
    let length = answer.len();
    let mut bytes = Vec::new();
    let mut limited = answer.take_body().take(MAX_ANSWER as u64 + 1);
    let read = limited.read_to_end(&mut bytes).await;
    read.map_err(|e| EngineError::Broken(e.to_string()))?;
    if bytes.len() > MAX_ANSWER || length.is_some_and(|length| length != bytes.len()) {
        return Err(EngineError::Short);
    }
    Ok(Reply {
        status: answer.status().into(),
        media: media.unwrap_or_else(|| "application/octet-stream".to_owned()),
        body: bytes,
    })
}
