//! Heads of requests and responses, read strictly.
//!
//! A head whose framing two readers could understand differently is an error:
//! forwarding it could smuggle a second request.

use std::str;

use thiserror::Error;

/// Most headers of one head.
const MAX_HEADERS: usize = 100;

/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 9] = [
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

/// Why a head can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes aren't a head.
    #[error("the head can't be parsed")]
    Syntax,
    /// The head is longer than allowed, or has too many headers.
    #[error("the head is too long")]
    TooLong,
    /// Readers could disagree on where the body ends.
    #[error("the framing of the body is ambiguous")]
    Framing,
}

/// How a body's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// Names and values of a head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    list: Vec<(String, String)>,
}

impl Headers {
    fn read(parsed: &[httparse::Header<'_>]) -> Result<Self, HeadError> {
        let mut list = Vec::with_capacity(parsed.len());
        for header in parsed {
            let value = str::from_utf8(header.value).map_err(|_| HeadError::Syntax)?;
            list.push((header.name.to_owned(), value.trim().to_owned()));
        }
        Ok(Self { list })
    }

    /// Returns the first value of `name`, compared without case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let same = |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        self.list.iter().find(same).map(|(_, value)| value.as_str())
    }

    /// Returns all values of `name`, compared without case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.list
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns names and values in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.list.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns names and values without those that concern one connection only.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &str)> {
        let listed: Vec<&str> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(str::trim)
            .collect();
        self.iter().filter(move |(name, _)| {
            let hop = HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            let listed = listed.iter().any(|item| name.eq_ignore_ascii_case(item));
            !hop && !listed
        })
    }

    /// Returns whether the sender closes the connection after this message.
    fn closes(&self, minor: u8) -> bool {
        let has = |token: &str| {
            self.all("connection")
                .flat_map(|value| value.split(','))
                .any(|item| item.trim().eq_ignore_ascii_case(token))
        };
        has("close") || (minor == 0 && !has("keep-alive"))
    }

    fn length(&self) -> Result<Option<u64>, HeadError> {
        let mut found = None;
        for value in self.all("content-length") {
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
    fn chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self.all("transfer-encoding");
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
    /// The path and query, as sent.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the sender closes the connection after this request.
    pub closes: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the sender closes the connection after this response.
    pub closes: bool,
}

fn fault(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooLong,
        _ => HeadError::Syntax,
    }
}

impl RequestHead {
    /// Reads a head at the start of `bytes`; returns it with its length, or `None`
    /// where more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails where the head can't be read in exactly one way, or is longer than
    /// `most` bytes.
    pub fn read(bytes: &[u8], most: usize) -> Result<Option<(Self, usize)>, HeadError> {
        let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut space);
        let window = &bytes[..bytes.len().min(most + 1)];
        let used = match parsed.parse(window).map_err(fault)? {
            httparse::Status::Complete(used) if used > most => return Err(HeadError::TooLong),
            httparse::Status::Complete(used) => used,
            httparse::Status::Partial if bytes.len() > most => return Err(HeadError::TooLong),
            httparse::Status::Partial => return Ok(None),
        };
        let headers = Headers::read(parsed.headers)?;
        let minor = parsed.version.unwrap_or(1);
        let framing = match (headers.chunked()?, headers.length()?) {
            (true, Some(_)) => return Err(HeadError::Framing),
            (true, None) if minor == 0 => return Err(HeadError::Framing),
            (true, None) => Framing::Chunked,
            (false, Some(0) | None) => Framing::None,
            (false, Some(length)) => Framing::Length(length),
        };
        if headers.all("host").count() > 1 {
            return Err(HeadError::Framing);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            framing,
            closes: headers.closes(minor),
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
    /// Reads a head at the start of `bytes`; returns it with its length, or `None`
    /// where more bytes are needed.
    ///
    /// `method` is that of the request.
    ///
    /// # Errors
    ///
    /// Fails where the head can't be read in exactly one way, or is longer than
    /// `most` bytes.
    pub fn read(
        bytes: &[u8],
        most: usize,
        method: &str,
    ) -> Result<Option<(Self, usize)>, HeadError> {
        let mut space = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut space);
        let used = match parsed.parse(bytes).map_err(fault)? {
            httparse::Status::Complete(used) if used > most => return Err(HeadError::TooLong),
            httparse::Status::Complete(used) => used,
            httparse::Status::Partial if bytes.len() > most => return Err(HeadError::TooLong),
            httparse::Status::Partial => return Ok(None),
        };
        let headers = Headers::read(parsed.headers)?;
        let status = parsed.code.unwrap_or(0);
        let minor = parsed.version.unwrap_or(1);
        let bare = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let framing = match (headers.chunked()?, headers.length()?) {
            _ if bare => Framing::None,
            (true, Some(_)) => return Err(HeadError::Framing),
            (true, None) => Framing::Chunked,
            (false, Some(0)) => Framing::None,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::Close,
        };
        let head = Self {
            status,
            closes: headers.closes(minor) || framing == Framing::Close,
            headers,
            framing,
        };
        Ok(Some((head, used)))
    }
}
