//! Writes heads and chunks to a byte buffer.

use std::io::Write as _;

/// Writes a head, header by header.
#[derive(Debug)]
pub struct HeadWriter<'a> {
    out: &'a mut Vec<u8>,
}

/// Returns the reason phrase of a status code.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

impl<'a> HeadWriter<'a> {
    /// Starts the head of a request.
    #[must_use]
    pub fn request(out: &'a mut Vec<u8>, method: &str, target: &str) -> Self {
        for part in [method, " ", target, " HTTP/1.1\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
        Self { out }
    }

    /// Starts the head of a response.
    #[must_use]
    pub fn response(out: &'a mut Vec<u8>, status: u16) -> Self {
        // Writing to memory can't fail.
        let _ = write!(out, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        Self { out }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(self, name: &str, value: &str) -> Self {
        for part in [name, ": ", value, "\r\n"] {
            self.out.extend_from_slice(part.as_bytes());
        }
        self
    }

    /// Adds a header with a numeric value.
    #[must_use]
    pub fn header_u64(self, name: &str, value: u64) -> Self {
        let _ = write!(self.out, "{name}: {value}\r\n");
        self
    }

    /// Ends the head.
    pub fn finish(self) {
        self.out.extend_from_slice(b"\r\n");
    }
}

/// Appends `content` as one chunk, or nothing if it is empty: an empty chunk ends the
/// body.
pub fn write_chunk(out: &mut Vec<u8>, content: &[u8]) {
    if content.is_empty() {
        return;
    }
    let _ = write!(out, "{:x}\r\n", content.len());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// Appends the zero-length chunk that ends a body.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
