//! A small HTTP/1.1 client and server over blocking sockets, as far as the cases need them.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A message: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    /// The headers in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, zero if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Bytes of a connection that were received and not used yet.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buf.extend_from_slice(&chunk[..read]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            self.fill()?;
        }
        Ok(self.buf.drain(..count).collect())
    }

    /// Reads the next message, with a body by its length or in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
        if message.header("Transfer-Encoding").is_some() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                message.body.extend(self.take(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("Content-Length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = self.take(length)?;
        Ok(message)
    }
}

/// Sends one request on a new connection and returns the response; waits for `timeout` at most.
pub fn call(
    address: SocketAddr,
    request: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let begun = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let left = timeout.saturating_sub(begun.elapsed());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut out = format!("{request} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        out.extend_from_slice(format!("Host: {address}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    Reader::new(stream).message()
}
