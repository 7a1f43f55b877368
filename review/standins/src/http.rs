//! Minimal blocking HTTP/1.1 for clients, the operator and engines.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A head with its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    /// Names and values, in order.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns word `index` of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

/// A response as a client has received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The head.
    pub head: Head,
    /// The body, without framing.
    pub body: Vec<u8>,
    /// Whether the body's end was received.
    pub complete: bool,
}

/// A connection with its receive buffer.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects within a second.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Some(Head {
                    line,
                    headers: headers.collect(),
                }));
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads `length` bytes of a body.
    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a chunked body into `body`.
    fn read_chunked(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            if size == 0 {
                self.read_line()?;
                return Ok(());
            }
            body.extend(self.read_exact(size)?);
            if self.read_exact(2)? != b"\r\n" {
                return Err(io::Error::other("no line end after a chunk"));
            }
        }
    }

    /// Reads the response to a request that isn't HEAD.
    pub fn read_response(&mut self) -> io::Result<Response> {
        let Some(head) = self.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let mut response = Response {
            status: head.word(1).parse().unwrap_or(0),
            ..Response::default()
        };
        let length = head.get("Content-Length").and_then(|l| l.parse().ok());
        let chunked = head.get("Transfer-Encoding").is_some();
        response.head = head;
        let read = if chunked {
            self.read_chunked(&mut response.body)
        } else if let Some(length) = length {
            self.read_exact(length).map(|body| response.body = body)
        } else {
            loop {
                match self.fill() {
                    Ok(0) => break Ok(()),
                    Ok(_) => {}
                    Err(error) => break Err(error),
                }
            }
        };
        response.complete = read.is_ok();
        Ok(response)
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends one request on a new connection and reads the response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let deadline = Instant::now() + timeout;
    let mut conn = Conn::connect(address)?;
    let left = deadline.saturating_duration_since(Instant::now());
    conn.stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    conn.stream.set_write_timeout(Some(timeout))?;
    let mut out = format!("{method} {path} HTTP/1.1\r\n{headers}").into_bytes();
    if method != "GET" {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    conn.stream.write_all(&out)?;
    conn.read_response()
}
