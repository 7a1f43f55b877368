//! The sending side of an answer.

use base::Digest;
use base::Tokens;

use crate::frame::Body;
use crate::frame::End;
use crate::frame::Final;

/// Most bytes of an answer.
pub const MAX_ANSWER: usize = 16 << 20;

/// An answer as it is produced; kept whole for resumption.
#[derive(Clone, Debug, Default)]
pub struct Spool {
    bytes: Vec<u8>,
    /// The offset after each token generated here.
    marks: Vec<usize>,
    /// Tokens of the prefix.
    done: u64,
    end: Option<Final>,
}

impl Spool {
    /// Returns a spool that continues a `prefix` of `done` tokens.
    #[must_use]
    pub fn after(prefix: &[u8], done: Tokens) -> Self {
        Self {
            bytes: prefix.to_vec(),
            done: done.0,
            ..Self::default()
        }
    }

    /// Returns the bytes produced so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has been produced.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the last event, where there is one.
    #[must_use]
    pub fn end(&self) -> Option<&Final> {
        self.end.as_ref()
    }

    /// Adds one token's bytes; returns whether they were taken.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let open = self.end.is_none() && self.bytes.len() + bytes.len() <= MAX_ANSWER;
        if open {
            self.bytes.extend_from_slice(bytes);
            self.marks.push(self.bytes.len());
        }
        open
    }

    /// Ends the answer; a second end changes nothing.
    pub fn finish(&mut self, end: End, prompt: Tokens, answer: Tokens, status: u16, media: &str) {
        if self.end.is_some() {
            return;
        }
        self.end = Some(Final {
            length: self.bytes.len() as u64,
            digest: Digest::of(&self.bytes),
            prompt,
            answer,
            end,
            status,
            media: media.to_owned(),
        });
    }

    /// Returns the next part for a receiver that has `offset` bytes.
    #[must_use]
    pub fn next(&self, offset: u64) -> Option<Body> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        match self.bytes.get(start..) {
            Some(rest) if !rest.is_empty() => Some(Body::Piece {
                offset,
                bytes: rest.to_vec(),
                tokens: self.done + self.marks.len() as u64,
            }),
            _ => self.end.clone().map(Body::Final),
        }
    }
}
