//! Sends one HTTP request over a new connection.

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

/// Timeout of a connection to an endpoint on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request and returns the response; its body is still to be read.
///
/// # Errors
///
/// Fails if no connection can be established, if it breaks, or if the response does not
/// start within `timeout`.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    media_type: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Response, EngineError> {
    let connect = async {
        let stream = TcpStream::connect(address).await;
        stream.map_err(EngineError::Connect)
    };
    let timed_out = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(EngineError::Connect(std::io::ErrorKind::TimedOut.into()))
    };
    let stream = connect.or(timed_out).await?;
    let _ = stream.set_nodelay(true);
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    request.insert_header("Content-Type", media_type);
    request.insert_header("Connection", "close");
    let exchange = async {
        let response = async_h1::connect(stream, request).await;
        response.map_err(|e| EngineError::BrokenStream(e.to_string()))
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(EngineError::Stalled)
    };
    exchange.or(timed_out).await
}
