//! The receiving side of an answer.
//!
//! A frame that belongs to another request or attempt, or that doesn't start
//! where the answer ends, is dropped and counted.

use base::Digest;
use base::RequestId;

use crate::frame::Body;
use crate::frame::Final;
use crate::frame::Frame;
use crate::frame::Refusal;

/// What a frame did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The answer has grown from this offset on.
    Grown(usize),
    /// The answer is whole.
    Whole(Final),
    /// The answer ended and isn't whole.
    Broken(Final),
    /// The request was not started.
    Refused(Refusal),
    /// The frame doesn't belong here.
    Dropped,
}

/// An answer as it arrives.
#[derive(Clone, Debug)]
pub struct Assembly {
    request: RequestId,
    attempt: u32,
    bytes: Vec<u8>,
    tokens: u64,
    dropped: u64,
    done: bool,
}

impl Assembly {
    /// Returns an empty answer to `request`.
    #[must_use]
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            attempt: 1,
            bytes: Vec::new(),
            tokens: 0,
            dropped: 0,
            done: false,
        }
    }

    /// Returns the bytes so far.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the present attempt.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns how many frames were dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Waits for frames of `attempt` from now on.
    pub fn expect(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Takes in a frame.
    pub fn take(&mut self, frame: Frame) -> Step {
        let ours = frame.request == self.request && frame.attempt == self.attempt;
        if !ours || self.done {
            self.dropped += 1;
            return Step::Dropped;
        }
        match frame.body {
            Body::Piece {
                offset,
                bytes,
                tokens,
            } => self.piece(offset, &bytes, tokens),
            Body::Final(end) => self.end(end),
            Body::Refused(refusal) => Step::Refused(refusal),
        }
    }

    fn piece(&mut self, offset: u64, bytes: &[u8], tokens: u64) -> Step {
        let length = self.bytes.len();
        // A piece may repeat bytes that are here, and must not leave a hole.
        let skip = length.checked_sub(usize::try_from(offset).unwrap_or(usize::MAX));
        let Some(fresh) = skip.and_then(|skip| bytes.get(skip..)) else {
            self.dropped += 1;
            return Step::Dropped;
        };
        let repeated = &bytes[..bytes.len() - fresh.len()];
        if !self.bytes.ends_with(repeated) || fresh.is_empty() {
            self.dropped += 1;
            return Step::Dropped;
        }
        self.bytes.extend_from_slice(fresh);
        self.tokens = tokens;
        Step::Grown(length)
    }

    fn end(&mut self, end: Final) -> Step {
        if !end.whole() {
            return Step::Broken(end);
        }
        let same = end.length == self.bytes.len() as u64 && end.digest == Digest::of(&self.bytes);
        if !same {
            self.dropped += 1;
            return Step::Dropped;
        }
        self.done = true;
        Step::Whole(end)
    }
}
