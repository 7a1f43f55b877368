//! Strict parsing of request and response heads.
//!
//! A head whose body framing two parsers could interpret differently is an error:
//! forwarding it would allow request smuggling.

use std::ops::Range;
use std::str;

use thiserror::Error;

/// Bounds the number of headers in one head.
const MAX_HEADERS: usize = 100;

/// The status codes of a response; all others are invalid (RFC 9110, section 15).
const STATUS_CODES: Range<u16> = 100..600;

/// The status of a switch to another protocol.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head or body can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes aren't a valid head.
    #[error("the head can't be parsed")]
    Syntax,
    /// The head or trailer section is longer than allowed, or has too many headers.
    #[error("the head is too long")]
    TooLong,
    /// The body's framing is malformed, or parsers could disagree on where the body ends.
    #[error("the framing of the body is ambiguous")]
    Framing,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// The headers of a head, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    entries: Vec<(String, String)>,
}

impl Headers {
    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Result<Self, HeadError> {
        let mut entries = Vec::with_capacity(parsed.len());
        for header in parsed {
            let value = str::from_utf8(header.value).map_err(|_| HeadError::Syntax)?;
            entries.push((header.name.to_owned(), value.trim().to_owned()));
        }
        Ok(Self { entries })
    }

    /// Returns the first value of `name`, which is compared case-insensitively.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let same = |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        self.entries
            .iter()
            .find(same)
            .map(|(_, value)| value.as_str())
    }

    /// Returns all values of `name`, which is compared case-insensitively.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.entries
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns all names and values in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns names and values without hop-by-hop headers and those that `Connection`
    /// lists.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let listed: Vec<&str> = self
            .get_all("connection")
            .flat_map(|value| value.split(','))
            .map(str::trim)
            .collect();
        self.iter().filter(move |(name, _)| {
            let hop_by_hop = HOP_BY_HOP_HEADERS
                .iter()
                .any(|hop| name.eq_ignore_ascii_case(hop));
            let listed = listed.iter().any(|item| name.eq_ignore_ascii_case(item));
            !hop_by_hop && !listed
        })
    }

    /// Returns whether the sender closes the connection after this message.
    fn closes_connection(&self, minor: u8) -> bool {
        let has_token = |token: &str| {
            self.get_all("connection")
                .flat_map(|value| value.split(','))
                .any(|item| item.trim().eq_ignore_ascii_case(token))
        };
        has_token("close") || (minor == 0 && !has_token("keep-alive"))
    }

    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut found = None;
        for value in self.get_all("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length: u64 = value.parse().map_err(|_| HeadError::Framing)?;
            if !digits || found.is_some_and(|known| known != length) {
                return Err(HeadError::Framing);
            }
            found = Some(length);
        }
        Ok(found)
    }

    /// Returns whether the body is chunked.
    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self.get_all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(HeadError::Framing),
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path and query, as received.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the sender closes the connection after this request.
    pub connection_close: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the sender closes the connection after this response.
    pub connection_close: bool,
}

fn parse_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLong,
        _ => HeadError::Syntax,
    }
}

/// Returns whether a line of `head` ends without a carriage return. `httparse` takes such an end,
/// so a line that begins with a line feed would end the head.
fn has_bare_line_feed(head: &[u8]) -> bool {
    head.starts_with(b"\n")
        || head
            .windows(2)
            .any(|pair| pair[0] != b'\r' && pair[1] == b'\n')
}

impl RequestHead {
    /// Parses the head at the start of `bytes`; returns it with its length in bytes, or
    /// `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or ambiguous, or is longer than
    /// `max_len` bytes.
    pub fn parse(bytes: &[u8], max_len: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut header_buf = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut header_buf);
        let window = &bytes[..bytes.len().min(max_len + 1)];
        let used = match parsed.parse(window).map_err(parse_error)? {
            httparse::Status::Complete(used) if used > max_len => return Err(HeadError::TooLong),
            httparse::Status::Complete(used) => used,
            httparse::Status::Partial if bytes.len() > max_len => return Err(HeadError::TooLong),
            httparse::Status::Partial => return Ok(None),
        };
        let headers = Headers::from_parsed(parsed.headers)?;
        let minor = parsed.version.unwrap_or(1);
        let framing = match (headers.is_chunked()?, headers.content_length()?) {
            (true, Some(_)) => return Err(HeadError::Framing),
            (true, None) if minor == 0 => return Err(HeadError::Framing),
            (true, None) => Framing::Chunked,
            (false, Some(0) | None) => Framing::None,
            (false, Some(length)) => Framing::Length(length),
        };
        if headers.get_all("host").count() > 1 {
            return Err(HeadError::Framing);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            framing,
            connection_close: headers.closes_connection(minor),
            headers,
        };
        Ok(Some((head, used)))
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the host without its port.
    #[must_use]
    pub fn host(&self) -> &str {
        let host = self.headers.get("host").unwrap_or_default();
        host.split(':').next().unwrap_or_default()
    }
}

impl ResponseHead {
    /// Returns whether the connection goes on in another protocol, so that no answer follows.
    /// No request here asks for that (RFC 9110, section 15.2.2).
    #[must_use]
    pub fn switches_protocol(&self) -> bool {
        self.status == SWITCHING_PROTOCOLS
    }

    /// Parses the head at the start of `bytes`; returns it with its length in bytes, or
    /// `None` if more bytes are needed.
    ///
    /// `method` is the method of the request that is answered.
    ///
    /// # Errors
    ///
    /// Fails if the head is malformed or ambiguous, or is longer than
    /// `max_len` bytes.
    pub fn parse(
        bytes: &[u8],
        max_len: usize,
        method: &str,
    ) -> Result<Option<(Self, usize)>, HeadError> {
        let mut header_buf = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut header_buf);
        let used = match parsed.parse(bytes).map_err(parse_error)? {
            httparse::Status::Complete(used) if used > max_len => return Err(HeadError::TooLong),
            httparse::Status::Complete(used) => used,
            httparse::Status::Partial if bytes.len() > max_len => return Err(HeadError::TooLong),
            httparse::Status::Partial => return Ok(None),
        };
        if has_bare_line_feed(&bytes[..used]) {
            return Err(HeadError::Syntax);
        }
        let headers = Headers::from_parsed(parsed.headers)?;
        let status = parsed.code.filter(|code| STATUS_CODES.contains(code));
        let status = status.ok_or(HeadError::Syntax)?;
        let minor = parsed.version.unwrap_or(1);
        let bodiless = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let framing = match (headers.is_chunked()?, headers.content_length()?) {
            _ if bodiless => Framing::None,
            (true, Some(_)) => return Err(HeadError::Framing),
            (true, None) => Framing::Chunked,
            (false, Some(0)) => Framing::None,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        };
        let head = Self {
            status,
            connection_close: headers.closes_connection(minor) || framing == Framing::UntilClose,
            headers,
            framing,
        };
        Ok(Some((head, used)))
    }
}
