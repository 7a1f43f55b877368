//! What a request says of itself.

use serde::Deserialize;
use serde::Serialize;

/// A part of a prompt that other prompts may begin with too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the part's content.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Identifies this attempt of the caller.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: Option<u64>,
    /// The model asked for.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub answer: u64,
    /// The prompt's parts in order.
    pub parts: Vec<Part>,
    /// The last event that the caller holds.
    pub last_event: Option<String>,
}

impl Call {
    /// Returns the most tokens that the request may use.
    #[must_use]
    pub fn most(&self) -> u64 {
        self.prompt.saturating_add(self.answer)
    }
}
