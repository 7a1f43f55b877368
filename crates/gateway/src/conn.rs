//! One TCP connection with what was read of it and not used yet.
//!
//! Buffers are grown by need and given back: a process holds a thousand idle
//! connections, and memory counts at its peak.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::FutureExt as _;
use socket2::SockRef;

/// Bytes read at once. A stream's events come in a few hundred bytes, long bodies in
/// some kilobytes.
const READ: usize = 8 << 10;

/// Time without an acknowledgement after which a connection counts as broken:
/// several round trips between regions, well under the shortest patience.
const UNACKED: Duration = Duration::from_millis(900);

/// Bytes of a buffer that is kept while a connection is idle.
const KEPT: usize = 2 << 10;

/// A connection.
#[derive(Debug)]
pub struct Conn {
    stream: Async<TcpStream>,
    /// What was read and not used yet.
    pub buf: Vec<u8>,
}

impl Conn {
    /// Takes over an accepted or connected stream.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> Self {
        let socket = SockRef::from(stream.get_ref());
        // Both only help; a connection works without.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKED));
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Connects to `address` within `patience`.
    ///
    /// # Errors
    ///
    /// Fails where nothing answers there in time; nothing was sent then.
    pub async fn open(address: SocketAddrV4, patience: Duration) -> io::Result<Self> {
        let connect = Async::<TcpStream>::connect(address);
        let late = async {
            Timer::after(patience).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connect.or(late).await?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes; returns how many, zero at the end.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks.
    pub async fn fill(&mut self) -> io::Result<usize> {
        loop {
            match self.read_now() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await?;
                }
                done => return done,
            }
        }
    }

    /// Reads what is there. The space is on the stack, not in a waiting future.
    fn read_now(&mut self) -> io::Result<usize> {
        let mut space = [0; READ];
        let read = self.stream.get_ref().read(&mut space)?;
        self.buf.extend_from_slice(&space[..read]);
        Ok(read)
    }

    /// Waits until the peer closes or breaks the connection; what it sends
    /// meanwhile is added to `ahead`.
    pub async fn closed(&self, ahead: &mut Vec<u8>) {
        loop {
            let mut space = [0; 512];
            match self.stream.get_ref().read(&mut space) {
                Ok(0) => return,
                Ok(read) => ahead.extend_from_slice(&space[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.stream.readable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
            if ahead.len() > READ {
                // A peer that sends so much ahead isn't watched any longer.
                futures_lite::future::pending::<()>().await;
            }
        }
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let sent = self.stream.write_with(|mut s| s.write(rest)).await?;
            if sent == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[sent..];
        }
        Ok(())
    }

    /// Waits until bytes can be read or the connection has ended.
    pub async fn readable(&self) {
        // An error shows at the next read.
        let _ = self.stream.readable().await;
    }

    /// Returns whether an idle connection is still open and silent.
    #[must_use]
    pub fn idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        self.buf.is_empty()
            && matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Drops the first `count` bytes that were read.
    pub fn used(&mut self, count: usize) {
        self.buf.drain(..count);
        if self.buf.is_empty() && self.buf.capacity() > KEPT {
            self.buf = Vec::new();
        }
    }

    /// Ends the sending side and takes in what the peer still sends for a while, so
    /// that closing with unread bytes doesn't reset what was written.
    pub async fn linger(&mut self, patience: Duration) {
        // The peer may have closed already.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            while let Ok(read) = self.fill().await {
                self.buf.clear();
                if read == 0 {
                    return;
                }
            }
        };
        let late = async {
            Timer::after(patience).await;
        };
        drain.or(late).await;
    }
}
