//! A request over a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::FutureExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

use crate::error::EngineError;

/// Longest wait for a connection on the same instance.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Sends a request; returns the answer's head, its body still to be read.
///
/// # Errors
///
/// Fails where no connection can be made or it breaks.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    media: &str,
    body: Vec<u8>,
    patience: Duration,
) -> Result<Response, EngineError> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(EngineError::Connect)
    };
    let late = async {
        Timer::after(CONNECT_TIME).await;
        Err(EngineError::Connect(std::io::ErrorKind::TimedOut.into()))
    };
    let stream = connect.or(late).await?;
    let _ = stream.set_nodelay(true);
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|e| EngineError::Broken(e.to_string()))?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    request.insert_header("Content-Type", media);
    request.insert_header("Connection", "close");
    let exchange = async {
        let answer = async_h1::connect(stream, request).await;
        answer.map_err(|e| EngineError::Broken(e.to_string()))
    };
    let late = async {
        Timer::after(patience).await;
        Err(EngineError::Stalled)
    };
    exchange.or(late).await
}
