//! Where a body ends, and its bytes without the framing.

use crate::head::Framing;
use crate::head::HeadError;

/// Longest line that starts a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// Longest trailer section, in bytes.
const MAX_TRAILER: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// This many bytes of content follow.
    Content(u64),
    /// Content until the connection ends.
    Open,
    /// The line with a chunk's size follows.
    Size,
    /// The end of line after a chunk follows.
    Line,
    /// The trailer section follows.
    Trailer,
    /// The body is whole.
    Done,
}

/// Takes a body's framing off as bytes arrive.
#[derive(Clone, Debug)]
pub struct Body {
    step: Step,
    chunked: bool,
    trailer: usize,
}

impl Body {
    /// Returns the reader of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let step = match framing {
            Framing::None => Step::Done,
            Framing::Length(length) => Step::Content(length),
            Framing::Chunked => Step::Size,
            Framing::Close => Step::Open,
        };
        Self {
            step,
            chunked: framing == Framing::Chunked,
            trailer: 0,
        }
    }

    /// Returns whether the body is whole.
    #[must_use]
    pub fn done(&self) -> bool {
        self.step == Step::Done
    }

    /// Returns whether the body is whole if the connection ends now without a
    /// reset.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.step, Step::Done | Step::Open)
    }

    /// Moves content from `bytes` to `out`; returns how many bytes were used.
    ///
    /// Bytes that follow the body are left.
    ///
    /// # Errors
    ///
    /// Fails where the framing is broken.
    pub fn read(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HeadError> {
        let mut used = 0;
        while !self.done() {
            let rest = &bytes[used..];
            match self.step {
                Step::Open => {
                    out.extend_from_slice(rest);
                    return Ok(bytes.len());
                }
                Step::Content(left) => {
                    let count = rest.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    out.extend_from_slice(&rest[..count]);
                    used += count;
                    let left = left - count as u64;
                    self.step = match (left, self.chunked) {
                        (0, true) => Step::Line,
                        (0, false) => Step::Done,
                        _ => Step::Content(left),
                    };
                    if left > 0 {
                        return Ok(used);
                    }
                }
                Step::Line => match rest {
                    [b'\r', b'\n', ..] => {
                        used += 2;
                        self.step = Step::Size;
                    }
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err(HeadError::Framing),
                },
                Step::Size => {
                    let Some((line, size)) = chunk_size(rest)? else {
                        return Ok(used);
                    };
                    used += line;
                    self.step = if size == 0 {
                        Step::Trailer
                    } else {
                        Step::Content(size)
                    };
                }
                Step::Trailer => {
                    let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") else {
                        if self.trailer + rest.len() > MAX_TRAILER {
                            return Err(HeadError::TooLong);
                        }
                        return Ok(used);
                    };
                    used += end + 2;
                    self.trailer += end + 2;
                    if self.trailer > MAX_TRAILER {
                        return Err(HeadError::TooLong);
                    }
                    if end == 0 {
                        self.step = Step::Done;
                    }
                }
                Step::Done => {}
            }
        }
        Ok(used)
    }
}

fn chunk_size(bytes: &[u8]) -> Result<Option<(usize, u64)>, HeadError> {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((used, size))) => Ok(Some((used, size))),
        Ok(httparse::Status::Partial) if bytes.len() > MAX_CHUNK_LINE => Err(HeadError::Framing),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(HeadError::Framing),
    }
}
