//! Sends one HTTP request over a new connection and reads the response, within bounds.
//!
//! An endpoint may send bytes without end, close inside an answer, or send nothing. What is
//! kept of it is bounded, and a response is only complete if its framing says so.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::AsyncReadExt as _;
use futures_lite::AsyncWriteExt as _;
use futures_lite::FutureExt as _;
use http::BodyDecoder;
use http::ResponseHead;
use http::write::HeadWriter;

use crate::error::EngineError;

/// Timeout of a connection to an endpoint on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of interim responses (status 1xx) before a response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The media type of the body.
    pub media_type: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: &'a [u8],
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct Response {
    head: ResponseHead,
    body: ResponseBody,
}

/// The body of a response.
#[derive(Debug)]
pub struct ResponseBody {
    stream: TcpStream,
    /// Received bytes that aren't decoded yet.
    received: Vec<u8>,
    decoder: BodyDecoder,
    /// Whether any byte of the body was decoded.
    begun: bool,
}

impl Response {
    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Returns the media type, if the response states one.
    #[must_use]
    pub fn media_type(&self) -> Option<&str> {
        self.head.headers.get("content-type")
    }

    /// Returns the body.
    #[must_use]
    pub fn into_body(self) -> ResponseBody {
        self.body
    }
}

impl ResponseBody {
    /// Appends the next bytes of the body to `out`; returns false at its end.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or ends before the body does.
    pub async fn read(&mut self, out: &mut Vec<u8>) -> Result<bool, EngineError> {
        let before = out.len();
        loop {
            let consumed = self.decoder.decode(&self.received, out);
            let consumed = consumed.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
            self.received.drain(..consumed);
            self.begun |= out.len() > before;
            if self.decoder.is_complete() || out.len() > before {
                return Ok(out.len() > before);
            }
            if fill(&mut self.stream, &mut self.received).await? == 0 {
                // Without a length, an end before the first byte shows nothing.
                let is_whole = self.decoder.is_complete_at_eof() && self.begun;
                return is_whole.then_some(false).ok_or(EngineError::Truncated);
            }
        }
    }

    /// Returns the whole body.
    ///
    /// # Errors
    ///
    /// Fails if it's truncated or longer than `max_bytes`.
    pub async fn read_all(&mut self, max_bytes: usize) -> Result<Vec<u8>, EngineError> {
        let mut body = Vec::new();
        while self.read(&mut body).await? {
            if body.len() > max_bytes {
                return Err(EngineError::TooLong);
            }
        }
        Ok(body)
    }
}

/// Reads a response body line by line.
#[derive(Debug)]
pub struct LineReader {
    body: ResponseBody,
    /// Decoded bytes that belong to no complete line yet.
    rest: Vec<u8>,
}

impl LineReader {
    /// Returns a reader of the lines of `body`.
    #[must_use]
    pub fn new(body: ResponseBody) -> Self {
        let rest = Vec::new();
        Self { body, rest }
    }

    /// Returns the next line without blanks at its end, or `None` once the body has ended. What
    /// follows the last line end is no line.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or ends before the body does, or if the line is longer
    /// than `max_bytes`.
    pub async fn next(&mut self, max_bytes: usize) -> Result<Option<String>, EngineError> {
        loop {
            if let Some(end) = self.rest.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.rest.len() > max_bytes {
                return Err(EngineError::TooLong);
            }
            if !self.body.read(&mut self.rest).await? {
                return Ok(None);
            }
        }
    }
}

/// Reads more bytes into `received`; returns their number, zero at the end of the stream.
async fn fill(stream: &mut TcpStream, received: &mut Vec<u8>) -> Result<usize, EngineError> {
    let mut chunk = [0; READ_BUFFER_BYTES];
    let read = stream.read(&mut chunk).await;
    let read = read.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
    received.extend_from_slice(&chunk[..read]);
    // A sender that is faster than this reader would otherwise hold its thread.
    futures_lite::future::yield_now().await;
    Ok(read)
}

/// Sends a request and returns the response; its body is still to be read.
///
/// # Errors
///
/// Fails if no connection can be established, if it breaks, or if the response does not
/// start within `timeout`.
pub async fn send(
    address: SocketAddr,
    request: &Request<'_>,
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
    let mut stream = connect.or(timed_out).await?;
    let _ = stream.set_nodelay(true);
    let exchange = async {
        let written = stream.write_all(&encode(address, request)).await;
        written.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
        read_head(stream, request.method).await
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(EngineError::Stalled)
    };
    timed_out.or(exchange).await
}

fn encode(address: SocketAddr, request: &Request<'_>) -> Vec<u8> {
    let mut out = Vec::with_capacity(256 + request.body.len());
    let mut writer = HeadWriter::request(&mut out, request.method, request.path)
        .header("Host", &address.to_string())
        .header("Content-Type", request.media_type)
        .header_u64("Content-Length", request.body.len() as u64)
        .header("Connection", "close");
    for (name, value) in request.headers {
        writer = writer.header(name, value);
    }
    writer.finish();
    out.extend_from_slice(request.body);
    out
}

async fn read_head(mut stream: TcpStream, method: &str) -> Result<Response, EngineError> {
    let mut received = Vec::new();
    let mut interim_responses = 0;
    loop {
        let parsed = ResponseHead::parse(&received, MAX_HEAD_BYTES, method);
        let parsed = parsed.map_err(|e| EngineError::BrokenStream(e.to_string()))?;
        if let Some((head, length)) = parsed {
            received.drain(..length);
            if head.status >= 200 {
                let body = ResponseBody {
                    stream,
                    received,
                    decoder: BodyDecoder::new(head.framing),
                    begun: false,
                };
                return Ok(Response { head, body });
            }
            if head.switches_protocol() {
                return Err(EngineError::BrokenStream(
                    "a switch of protocols".to_owned(),
                ));
            }
            interim_responses += 1;
            if interim_responses > MAX_INTERIM_RESPONSES {
                return Err(EngineError::TooLong);
            }
        } else if fill(&mut stream, &mut received).await? == 0 {
            return Err(EngineError::Truncated);
        }
    }
}
