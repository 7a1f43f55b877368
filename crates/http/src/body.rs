//! Incremental decoding of message bodies: finds the end and removes chunked framing.

use crate::head::Framing;
use crate::head::HeadError;

/// Bounds the line with a chunk's size and extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Bounds the trailer section.
const MAX_TRAILER_BYTES: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This number of content bytes follows.
    Content(u64),
    /// Content follows until the connection closes.
    UntilClose,
    /// The line with a chunk's size follows.
    ChunkSize,
    /// The CRLF after a chunk's content follows.
    ChunkEnd,
    /// The trailer section follows.
    Trailer,
    /// The body is complete.
    Done,
}

/// Decodes a body as its bytes arrive.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    chunked: bool,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Returns a decoder for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::None => State::Done,
            Framing::Length(length) => State::Content(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            chunked: framing == Framing::Chunked,
            trailer_bytes: 0,
        }
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the body is complete if the connection closes now without a
    /// reset.
    #[must_use]
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Appends the content in `bytes` to `out`; returns how many of `bytes` were
    /// consumed.
    ///
    /// Bytes after the end of the body are not consumed.
    ///
    /// # Errors
    ///
    /// Fails if the framing is malformed or a chunk line or the trailer section is too
    /// long.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HeadError> {
        let mut used = 0;
        while !self.is_complete() {
            let rest = &bytes[used..];
            match self.state {
                State::UntilClose => {
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                State::Content(left) => {
                    let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..count]);
                    used += count;
                    let left = left - count as u64;
                    self.state = match (left, self.chunked) {
                        (0, true) => State::ChunkEnd,
                        (0, false) => State::Done,
                        _ => State::Content(left),
                    };
                    if left > 0 {
                        return Ok(used);
                    }
                }
                State::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.state = State::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(HeadError::Framing),
                },
                State::ChunkSize => {
                    let Some((line_len, size)) = parse_chunk_size(rest)? else {
                        return Ok(used);
                    };
                    used += line_len;
                    self.state = if size == 0 {
                        State::Trailer
                    } else {
                        State::Content(size)
                    };
                }
                State::Trailer => {
                    let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                        if self.trailer_bytes + rest.len() > MAX_TRAILER_BYTES {
                            return Err(HeadError::TooLong);
                        }
                        return Ok(used);
                    };
                    used += end + 2;
                    self.trailer_bytes += end + 2;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(HeadError::TooLong);
                    }
                    if end == 0 {
                        self.state = State::Done;
                    }
                }
                State::Done => {}
            }
        }
        Ok(used)
    }
}

fn parse_chunk_size(bytes: &[u8]) -> Result<Option<(usize, u64)>, HeadError> {
    // `httparse` takes a line without digits for a size of zero, which ends the body.
    if bytes.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(HeadError::Framing);
    }
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((used, size))) => Ok(Some((used, size))),
        Ok(httparse::Status::Partial) if bytes.len() > MAX_CHUNK_LINE_BYTES => {
            Err(HeadError::Framing)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HeadError::Framing),
    }
}
