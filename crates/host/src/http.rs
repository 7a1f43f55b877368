//! An HTTP server with bounds on body size, body read time and connections.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use async_net::TcpListener;
use async_net::TcpStream;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::AsyncReadExt as _;
use futures_lite::FutureExt as _;
use futures_lite::Stream;
use http_types::Body;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use thiserror::Error;

use crate::pool::Pool;

/// Bounds the time to read a request's body. The HTTP library has its own bound
/// for the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Bounds the connections that are open at once.
const MAX_CONNECTIONS: usize = 8_192;

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers a request.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<Response> + Send + Sync>;

/// Why a request body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The body didn't arrive within the time limit.
    #[error("the body did not come in time")]
    Timeout,
    /// The connection broke before the end of the body.
    #[error("the body is cut short")]
    Truncated,
}

/// A server bound to an address.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    open_connections: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
    abort_channel: (Sender<()>, Receiver<()>),
}

impl Server {
    /// Binds `address` and answers requests with `handler`.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn bind(pool: &Pool, address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            open_connections: Arc::default(),
            closed: Arc::default(),
            abort_channel: async_channel::bounded(1),
        };
        let listener = TcpListener::from(async_io::Async::new(listener)?);
        pool.spawn(accept(pool.clone(), listener, server.clone(), handler));
        Ok(server)
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Aborts all connections and accepts no new ones.
    pub fn abort(&self) {
        self.close();
        self.abort_channel.0.close();
    }

    /// Stops accepting new connections; open ones continue.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }
}

async fn accept(pool: Pool, listener: TcpListener, server: Server, handler: Handler) {
    loop {
        let accepted = listener.accept().await;
        if server.closed.load(Ordering::Relaxed) {
            return;
        }
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("http: a connection could not be accepted: {error}");
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        if server.connections() >= MAX_CONNECTIONS {
            continue;
        }
        server.open_connections.fetch_add(1, Ordering::Relaxed);
        pool.spawn(serve(stream, server.clone(), Arc::clone(&handler)));
    }
}

async fn serve(stream: TcpStream, server: Server, handler: Handler) {
    // Nagle's algorithm would delay a token until the one before it is acknowledged.
    let _ = stream.set_nodelay(true);
    let respond = |request| {
        let handler = Arc::clone(&handler);
        async move { Ok(handler(request).await) }
    };
    let connection = async {
        if let Err(error) = async_h1::accept(stream, respond).await {
            log::debug!("http: a connection ended: {error}");
        }
    };
    let aborted = async {
        // Nothing is sent on the channel; closing it signals the abort.
        let _ = server.abort_channel.1.recv().await;
    };
    connection.or(aborted).await;
    server.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Reads a request's body of at most `max_len` bytes.
///
/// # Errors
///
/// Fails if the body is too long, arrives too slowly or is truncated.
pub async fn read_body(request: &mut Request, max_len: usize) -> Result<Vec<u8>, BodyError> {
    let length = request.len();
    if length.is_some_and(|length| length > max_len) {
        return Err(BodyError::TooLong(max_len));
    }
    let body = request.take_body();
    let read = async {
        let mut bytes = Vec::new();
        let mut limited = body.take(max_len as u64 + 1);
        let done = limited.read_to_end(&mut bytes).await;
        done.map_err(|_| BodyError::Truncated)?;
        Ok(bytes)
    };
    let late = async {
        Timer::after(BODY_TIMEOUT).await;
        Err(BodyError::Timeout)
    };
    let bytes = read.or(late).await?;
    if bytes.len() > max_len {
        return Err(BodyError::TooLong(max_len));
    }
    // The HTTP library takes the end of the connection for the end of the body.
    if length.is_some_and(|length| bytes.len() < length) {
        return Err(BodyError::Truncated);
    }
    Ok(bytes)
}

/// Returns a response with a complete body.
#[must_use]
pub fn full_response(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body.into());
    response.insert_header("Content-Type", content_type);
    response
}

/// Returns a response whose body is streamed from `chunks` until the channel closes.
#[must_use]
pub fn streaming_response(content_type: &str, chunks: Receiver<Vec<u8>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(ChunkReader::new(chunks), None));
    response.insert_header("Content-Type", content_type);
    response.insert_header("Cache-Control", "no-store");
    response
}

/// Reads the chunks of a channel as one byte stream.
struct ChunkReader {
    source: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    position: usize,
}

impl ChunkReader {
    fn new(source: Receiver<Vec<u8>>) -> Self {
        Self {
            source: Box::pin(source),
            chunk: Vec::new(),
            position: 0,
        }
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position >= this.chunk.len() {
            match this.source.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(chunk)) => {
                    this.chunk = chunk;
                    this.position = 0;
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ready = match self.as_mut().poll_fill_buf(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Ready(Ok(ready)) => ready,
        };
        let count = ready.len().min(out.len());
        out[..count].copy_from_slice(&ready[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
