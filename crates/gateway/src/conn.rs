//! A TCP connection with a buffer of received bytes that aren't consumed yet.
//!
//! Buffers grow on demand and are freed once they are empty: a process holds a thousand
//! idle connections, and its peak memory matters.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt as _;
use socket2::SockRef;

/// Maximum number of bytes per read. Events of a stream arrive in a few hundred bytes,
/// long bodies in several kilobytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Number of reads without waiting after which a task lets others run: a peer that sends
/// faster than it is read would otherwise hold the worker, and no timeout would be checked.
const MAX_EAGER_READS: u32 = 16;

/// Time without a TCP acknowledgement after which a connection is considered broken:
/// several round trips between regions, well below the shortest request timeout.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(900);

/// Length up to which a body is copied behind its head, so that one write sends both, in bytes.
const MAX_JOINED_BYTES: usize = 4 << 10;

/// Maximum number of bytes that are kept while a request is in progress: a request that follows
/// without a wait.
const MAX_PIPELINED_BYTES: usize = 8 << 10;

/// Maximum number of bytes that are discarded before a connection closes.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Maximum capacity of a buffer that is retained once it is empty, in bytes.
const MAX_RETAINED_BYTES: usize = 2 << 10;

/// The socket of a connection, which its reader and its writer share.
#[derive(Debug)]
struct Socket {
    stream: Async<TcpStream>,
    /// Whether a write has failed. The operating system reports the error that broke a
    /// connection once; reads after a write that got it only find the end of the stream.
    broken: AtomicBool,
}

impl Socket {
    /// Writes all of `bytes`.
    async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let result = self.stream.write_with(|mut s| s.write(remaining)).await;
            let written = result.inspect_err(|_| self.broken.store(true, Ordering::Relaxed))?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            remaining = &remaining[written..];
        }
        Ok(())
    }
}

/// A TCP connection.
#[derive(Debug)]
pub struct Conn {
    socket: Arc<Socket>,
    /// Received bytes that aren't consumed yet.
    pub buf: Vec<u8>,
    /// Number of reads since the last wait.
    eager_reads: u32,
}

/// What a peer sends while its request is in progress.
#[derive(Debug, Default)]
pub struct Pipelined {
    /// The bytes, as far as they are kept.
    pub bytes: Vec<u8>,
    /// Whether some were discarded, so that nothing that follows can be read.
    pub cut: bool,
}

impl Pipelined {
    fn push(&mut self, bytes: &[u8]) {
        self.cut |= self.bytes.len() + bytes.len() > MAX_PIPELINED_BYTES;
        if !self.cut {
            self.bytes.extend_from_slice(bytes);
        }
    }
}

/// The sending side of a connection.
#[derive(Debug)]
pub struct ConnWriter(Arc<Socket>);

impl ConnWriter {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes).await
    }

    /// Writes a message of `head` and `body`. A long body isn't copied.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_message(&self, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
        let is_short = body.len() <= MAX_JOINED_BYTES;
        let (joined, rest) = body.split_at(if is_short { body.len() } else { 0 });
        head.extend_from_slice(joined);
        self.write_all(&head).await?;
        drop(head);
        self.write_all(rest).await
    }
}

impl Conn {
    /// Wraps an accepted or connected stream.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> Self {
        let socket = SockRef::from(stream.get_ref());
        // Both options are optional; the connection works without them.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        Self {
            socket: Arc::new(Socket {
                stream,
                broken: AtomicBool::new(false),
            }),
            buf: Vec::new(),
            eager_reads: 0,
        }
    }

    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the connection isn't established in time; no data was sent then.
    pub async fn connect(address: SocketAddrV4, timeout: Duration) -> io::Result<Self> {
        let connect = Async::<TcpStream>::connect(address);
        let timed_out = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connect.or(timed_out).await?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes into the buffer; returns their number, zero if the peer has ended the
    /// stream in order.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, also if a write was the first to fail.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.eager_reads >= MAX_EAGER_READS {
            self.eager_reads = 0;
            futures_lite::future::yield_now().await;
        }
        self.eager_reads += 1;
        loop {
            match self.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.eager_reads = 0;
                    self.socket.stream.readable().await?;
                }
                Ok(0) if self.socket.broken.load(Ordering::Relaxed) => {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                result => return result,
            }
        }
    }

    /// Reads the available bytes without waiting. The read buffer is on the stack, so
    /// that a waiting future doesn't hold it.
    fn try_read(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let read = self.socket.stream.get_ref().read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Waits until the peer closes the connection or the connection breaks; bytes
    /// received meanwhile are appended to `pipelined`. Beyond a bound they are discarded:
    /// unread ones would take memory of the machine.
    pub async fn wait_closed(&self, pipelined: &mut Pipelined) {
        let mut eager_reads = 0;
        loop {
            let mut chunk = [0; 512];
            match self.socket.stream.get_ref().read(&mut chunk) {
                Ok(0) => return,
                Ok(read) => pipelined.push(&chunk[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    eager_reads = 0;
                    if self.socket.stream.readable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
            eager_reads += 1;
            if eager_reads >= MAX_EAGER_READS {
                eager_reads = 0;
                futures_lite::future::yield_now().await;
            }
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Returns the sending side, to write while the connection is read.
    #[must_use]
    pub fn writer(&self) -> ConnWriter {
        ConnWriter(Arc::clone(&self.socket))
    }

    /// Returns whether the connection is open and has no unread bytes.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.stream.get_ref().peek(&mut byte);
        self.buf.is_empty()
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Removes the first `count` bytes from the buffer.
    pub fn consume(&mut self, count: usize) {
        self.buf.drain(..count);
        if self.buf.is_empty() && self.buf.capacity() > MAX_RETAINED_BYTES {
            self.buf = Vec::new();
        }
    }

    /// Shuts down one or both directions. The peer may have closed already.
    pub fn shutdown(&self, direction: Shutdown) {
        let _ = self.socket.stream.get_ref().shutdown(direction);
    }

    /// Shuts down the sending side, then reads and discards what the peer sends, up to a bound
    /// and for up to `timeout`: a close with unread bytes would reset the connection, and the
    /// peer might lose what was written.
    pub async fn linger(&mut self, timeout: Duration) {
        self.shutdown(Shutdown::Write);
        let drain = async {
            let mut left = MAX_LINGER_BYTES;
            while let Ok(read) = self.fill().await {
                self.buf.clear();
                left = left.saturating_sub(read);
                if read == 0 || left == 0 {
                    return;
                }
            }
        };
        let timed_out = async {
            Timer::after(timeout).await;
        };
        drain.or(timed_out).await;
    }
}
