//! Messages over blocking sockets.

use std::io;
use std::io::Read as _;
use std::net::TcpStream;

use http::BodyDecoder;
use http::RequestHead;
use http::ResponseHead;

/// Longest head, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// A connection and what was read of it.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    /// Content of the last body, whole or not.
    pub content: Vec<u8>,
    buf: Vec<u8>,
}

impl Conn {
    /// Takes over a connected socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // It only saves time.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            content: Vec::new(),
            buf: Vec::new(),
        }
    }

    /// Reads more; returns false at the end.
    fn fill(&mut self) -> io::Result<bool> {
        let mut space = [0; 4_096];
        let read = self.stream.read(&mut space)?;
        self.buf.extend_from_slice(&space[..read]);
        Ok(read > 0)
    }

    fn body(&mut self, mut body: BodyDecoder) -> io::Result<Vec<u8>> {
        self.content.clear();
        loop {
            let used = body.decode(&self.buf, &mut self.content);
            self.buf.drain(..used.map_err(io::Error::other)?);
            if body.is_complete() {
                return Ok(self.content.clone());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a request; `None` where the connection ends before one.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks or no request can be read.
    pub fn request(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        loop {
            let read = RequestHead::parse(&self.buf, MAX_HEAD).map_err(io::Error::other)?;
            if let Some((head, used)) = read {
                self.buf.drain(..used);
                let body = self.body(BodyDecoder::new(head.framing))?;
                return Ok(Some((head, body)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a whole response.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks first or no response can be read.
    pub fn response(&mut self) -> io::Result<(ResponseHead, Vec<u8>)> {
        self.content.clear();
        loop {
            let read =
                ResponseHead::parse(&self.buf, MAX_HEAD, "POST").map_err(io::Error::other)?;
            if let Some((head, used)) = read {
                self.buf.drain(..used);
                let body = self.body(BodyDecoder::new(head.framing))?;
                return Ok((head, body));
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns whether bytes are left that no request asked for.
    #[must_use]
    pub fn left_over(&self) -> bool {
        !self.buf.is_empty()
    }
}
