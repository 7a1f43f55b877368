//! Serving HTTP with bounds on bodies, times and connections.

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

/// Longest wait for a request's body. For the head the HTTP library sets a bound
/// of its own.
const BODY_TIME: Duration = Duration::from_secs(20);

/// Most connections open at once.
const MAX_CONNECTIONS: usize = 8_192;

/// A future without a name.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers a request.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<Response> + Send + Sync>;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The body came too slowly.
    #[error("the body did not come in time")]
    Slow,
    /// The connection broke.
    #[error("the body is cut short")]
    Broken,
}

/// A server bound to an address.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
    aborted: (Sender<()>, Receiver<()>),
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
            open: Arc::default(),
            closed: Arc::default(),
            aborted: async_channel::bounded(1),
        };
        let listener = TcpListener::from(async_io::Async::new(listener)?);
        pool.spawn(accept(pool.clone(), listener, server.clone(), handler));
        Ok(server)
    }

    /// Returns the address bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Breaks all connections off and takes no new ones.
    pub fn abort(&self) {
        self.close();
        self.aborted.0.close();
    }

    /// Takes no new connections; open ones go on.
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
                log::warn!("http: a connection could not be taken: {error}");
                Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        if server.connections() >= MAX_CONNECTIONS {
            continue;
        }
        server.open.fetch_add(1, Ordering::Relaxed);
        pool.spawn(serve(stream, server.clone(), Arc::clone(&handler)));
    }
}

async fn serve(stream: TcpStream, server: Server, handler: Handler) {
    // Without it a token could wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let answer = |request| {
        let handler = Arc::clone(&handler);
        async move { Ok(handler(request).await) }
    };
    let answering = async {
        if let Err(error) = async_h1::accept(stream, answer).await {
            log::debug!("http: a connection ended: {error}");
        }
    };
    let aborted = async {
        // The channel carries nothing; it's closed to abort.
        let _ = server.aborted.1.recv().await;
    };
    answering.or(aborted).await;
    server.open.fetch_sub(1, Ordering::Relaxed);
}

/// Reads a request's body of at most `most` bytes.
///
/// # Errors
///
/// Fails where the body is too long, too slow or cut short.
pub async fn read_body(request: &mut Request, most: usize) -> Result<Vec<u8>, BodyError> {
    if request.len().is_some_and(|length| length > most) {
        return Err(BodyError::TooLong(most));
    }
    let body = request.take_body();
    let read = async {
        let mut bytes = Vec::new();
        let mut limited = body.take(most as u64 + 1);
        let done = limited.read_to_end(&mut bytes).await;
        done.map_err(|_| BodyError::Broken)?;
        Ok(bytes)
    };
    let late = async {
        Timer::after(BODY_TIME).await;
        Err(BodyError::Slow)
    };
    let bytes = read.or(late).await?;
    if bytes.len() > most {
        return Err(BodyError::TooLong(most));
    }
    Ok(bytes)
}

/// Returns a whole answer.
#[must_use]
pub fn reply(status: u16, media: &str, body: impl Into<Vec<u8>>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body.into());
    response.insert_header("Content-Type", media);
    response
}

/// Returns an answer that is streamed as chunks arrive, until the channel ends.
#[must_use]
pub fn stream(media: &str, chunks: Receiver<Vec<u8>>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(Chunks::new(chunks), None));
    response.insert_header("Content-Type", media);
    response.insert_header("Cache-Control", "no-store");
    response
}

/// Reads the chunks of a channel as one stream of bytes.
struct Chunks {
    source: Pin<Box<Receiver<Vec<u8>>>>,
    chunk: Vec<u8>,
    used: usize,
}

impl Chunks {
    fn new(source: Receiver<Vec<u8>>) -> Self {
        Self {
            source: Box::pin(source),
            chunk: Vec::new(),
            used: 0,
        }
    }
}

impl AsyncBufRead for Chunks {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.used >= this.chunk.len() {
            match this.source.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(chunk)) => {
                    this.chunk = chunk;
                    this.used = 0;
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.used..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().used += amount;
    }
}

impl AsyncRead for Chunks {
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
