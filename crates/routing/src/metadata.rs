//! The metadata of a request, as read from its headers.

use serde::Deserialize;
use serde::Serialize;

/// A segment of a prompt that other prompts may share as a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptSegment {
    /// The identifier of the segment's content.
    pub id: u64,
    /// The length, in tokens.
    pub tokens: u32,
}

/// The metadata of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The identifier of this attempt by the caller.
    pub id: Option<String>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The caller's timeout, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// The requested model.
    pub model: Option<String>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the output, in tokens.
    pub max_output: u64,
    /// The segments of the prompt, in order.
    pub segments: Vec<PromptSegment>,
    /// The identifier of the last event that the caller has received.
    pub last_event: Option<String>,
}

impl RequestMetadata {
    /// Returns the maximum number of prompt and output tokens that the request may use.
    #[must_use]
    pub fn max_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output)
    }
}
