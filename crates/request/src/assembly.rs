//! Assembles an answer from the frames that an entry receives.
//!
//! A frame of another request or attempt, or one that leaves a gap or adds nothing, is
//! dropped and counted.

use base::Digest;
use base::RequestId;

use crate::frame::FinalEvent;
use crate::frame::Frame;
use crate::frame::FrameBody;
use crate::frame::Refusal;

/// The effect of a received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// Bytes were appended at this offset.
    Appended(usize),
    /// The answer is complete.
    Complete(FinalEvent),
    /// The answer ended before it was complete.
    Incomplete(FinalEvent),
    /// The request was not started.
    Refused(Refusal),
    /// The frame was dropped.
    Dropped,
}

/// A partially received answer.
#[derive(Clone, Debug)]
pub struct Assembly {
    request: RequestId,
    attempt: u32,
    bytes: Vec<u8>,
    tokens: u64,
    dropped_frames: u64,
    complete: bool,
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
            dropped_frames: 0,
            complete: false,
        }
    }

    /// Returns the bytes received so far.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of tokens received so far.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the current attempt.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the number of dropped frames.
    #[must_use]
    pub fn dropped_frames(&self) -> u64 {
        self.dropped_frames
    }

    /// Accepts only frames of `attempt` from now on.
    pub fn set_attempt(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Processes a received frame.
    pub fn receive(&mut self, frame: Frame) -> Received {
        let is_current = frame.request == self.request && frame.attempt == self.attempt;
        if !is_current || self.complete {
            self.dropped_frames += 1;
            return Received::Dropped;
        }
        match frame.body {
            FrameBody::Chunk {
                offset,
                bytes,
                tokens,
            } => self.receive_chunk(offset, &bytes, tokens),
            FrameBody::Final(end) => self.receive_final(end),
            FrameBody::Refused(refusal) => Received::Refused(refusal),
        }
    }

    fn receive_chunk(&mut self, offset: u64, bytes: &[u8], tokens: u64) -> Received {
        let length = self.bytes.len();
        // A chunk may overlap the received bytes but must not leave a gap.
        let overlap = length.checked_sub(usize::try_from(offset).unwrap_or(usize::MAX));
        let Some(added) = overlap.and_then(|overlap| bytes.get(overlap..)) else {
            self.dropped_frames += 1;
            return Received::Dropped;
        };
        let repeated = &bytes[..bytes.len() - added.len()];
        if !self.bytes.ends_with(repeated) || added.is_empty() {
            self.dropped_frames += 1;
            return Received::Dropped;
        }
        self.bytes.extend_from_slice(added);
        self.tokens = tokens;
        Received::Appended(length)
    }

    fn receive_final(&mut self, end: FinalEvent) -> Received {
        if !end.is_complete() {
            return Received::Incomplete(end);
        }
        let is_intact =
            end.length == self.bytes.len() as u64 && end.digest == Digest::of(&self.bytes);
        if !is_intact {
            self.dropped_frames += 1;
            return Received::Dropped;
        }
        self.complete = true;
        Received::Complete(end)
    }
}
