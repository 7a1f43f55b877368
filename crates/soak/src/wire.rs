//! Reads HTTP messages from blocking sockets.

use std::io;
use std::io::Read as _;
use std::net::TcpStream;

use http::BodyDecoder;
use http::RequestHead;
use http::ResponseHead;

/// Maximum length of a message head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A connection and its read buffer.
pub struct Connection {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Content of the last body, complete or not.
    pub content: Vec<u8>,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a connected socket.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Failure only costs latency.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            content: Vec::new(),
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes into the buffer; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4_096];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    fn read_body(&mut self, mut decoder: BodyDecoder) -> io::Result<Vec<u8>> {
        self.content.clear();
        loop {
            let used = decoder.decode(&self.buffer, &mut self.content);
            self.buffer.drain(..used.map_err(io::Error::other)?);
            if decoder.is_complete() {
                return Ok(self.content.clone());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a request; returns `None` if the connection ends before one.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the request is invalid.
    pub fn read_request(&mut self) -> io::Result<Option<(RequestHead, Vec<u8>)>> {
        loop {
            let read =
                RequestHead::parse(&self.buffer, MAX_HEAD_BYTES).map_err(io::Error::other)?;
            if let Some((head, used)) = read {
                self.buffer.drain(..used);
                let body = self.read_body(BodyDecoder::new(head.framing))?;
                return Ok(Some((head, body)));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends first or the response is invalid.
    pub fn read_response(&mut self) -> io::Result<(ResponseHead, Vec<u8>)> {
        self.content.clear();
        loop {
            let read = ResponseHead::parse(&self.buffer, MAX_HEAD_BYTES, "POST")
                .map_err(io::Error::other)?;
            if let Some((head, used)) = read {
                self.buffer.drain(..used);
                let body = self.read_body(BodyDecoder::new(head.framing))?;
                return Ok((head, body));
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns whether the buffer holds bytes that follow the last message.
    #[must_use]
    pub fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }
}
