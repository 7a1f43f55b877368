//! The buffer of an answer at the sending agent.

use base::Digest;
use base::Tokens;

use crate::frame::FinalEvent;
use crate::frame::FinishReason;
use crate::frame::FrameBody;

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An answer as it is generated, kept in full so that a stream can be resumed.
#[derive(Clone, Debug, Default)]
pub struct ReplayBuffer {
    bytes: Vec<u8>,
    /// The end offset of each token generated here, in bytes.
    token_ends: Vec<usize>,
    /// Tokens of the prefix.
    prefix_tokens: u64,
    final_event: Option<FinalEvent>,
}

impl ReplayBuffer {
    /// Returns a buffer that continues a `prefix` of `prefix_tokens` tokens.
    #[must_use]
    pub fn with_prefix(prefix: &[u8], prefix_tokens: Tokens) -> Self {
        Self {
            bytes: prefix.to_vec(),
            prefix_tokens: prefix_tokens.0,
            ..Self::default()
        }
    }

    /// Returns the length of the answer so far, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the answer is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the final event, if the answer has ended.
    #[must_use]
    pub fn final_event(&self) -> Option<&FinalEvent> {
        self.final_event.as_ref()
    }

    /// Appends the bytes of one token; returns whether they were accepted. They are not
    /// after the end of the answer or if it would exceed [`MAX_ANSWER_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let accepted =
            self.final_event.is_none() && self.bytes.len() + bytes.len() <= MAX_ANSWER_BYTES;
        if accepted {
            self.bytes.extend_from_slice(bytes);
            self.token_ends.push(self.bytes.len());
        }
        accepted
    }

    /// Ends the answer; has no effect if it has already ended.
    pub fn finish(
        &mut self,
        end: FinishReason,
        prompt: Tokens,
        answer: Tokens,
        status: u16,
        media: &str,
    ) {
        if self.final_event.is_some() {
            return;
        }
        self.final_event = Some(FinalEvent {
            length: self.bytes.len() as u64,
            digest: Digest::of(&self.bytes),
            prompt_tokens: prompt,
            answer_tokens: answer,
            finish_reason: end,
            status,
            media_type: media.to_owned(),
        });
    }

    /// Returns the next frame body for a receiver that has `offset` bytes.
    #[must_use]
    pub fn next_body(&self, offset: u64) -> Option<FrameBody> {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        match self.bytes.get(start..) {
            Some(rest) if !rest.is_empty() => Some(FrameBody::Chunk {
                offset,
                bytes: rest.to_vec(),
                tokens: self.prefix_tokens + self.token_ends.len() as u64,
            }),
            _ => self.final_event.clone().map(FrameBody::Final),
        }
    }
}
