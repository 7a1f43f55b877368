//! Sends a chat request to an engine and reads the server-sent events of its response.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::FutureExt as _;
use host::stall::StallDetector;
use serde::Deserialize;
use serde::Serialize;

use crate::client;
use crate::client::LineReader;
use crate::client::Request;
use crate::error::EngineError;

/// Maximum length of an event, with what isn't an event before it, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A chat request to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Identifier of the request, repeated in every event.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// Messages, as the caller sent them.
    pub messages: serde_json::Value,
    /// Maximum number of generated tokens.
    pub max_tokens: u64,
    /// Text already generated, which the response continues.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prefix: String,
    /// Priority; zero is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Always true: responses are streamed.
    pub stream: bool,
}

/// An event of a chat response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEvent {
    /// Generated text; one event for each token.
    Text {
        /// Text of the token.
        text: String,
        /// Number of tokens generated so far, if the engine reports it.
        token_count: Option<u64>,
    },
    /// The end of the response.
    Finished {
        /// Whether generation stopped at `max_tokens`.
        reached_limit: bool,
        /// Number of prompt tokens.
        prompt_tokens: u64,
        /// Number of generated tokens.
        answer_tokens: u64,
    },
}

#[derive(Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// The response stream of a chat request.
#[derive(Debug)]
pub struct ChatStream {
    id: String,
    lines: LineReader,
    /// Bytes since the last event.
    idle_bytes: usize,
    stall_detector: StallDetector,
}

impl ChatStream {
    /// Sends the request to the engine at `address`; each event must arrive within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or rejects the request.
    pub async fn open(
        address: SocketAddr,
        chat: &ChatRequest,
        timeout: Duration,
    ) -> Result<Self, EngineError> {
        let body = serde_json::to_vec(chat)?;
        let request = Request {
            method: "POST",
            path: "/v1/chat/completions",
            media_type: "application/json",
            headers: &[],
            body: &body,
        };
        let response = client::send(address, &request, timeout).await?;
        if response.status() != 200 {
            return Err(EngineError::Status(response.status()));
        }
        Ok(Self {
            id: chat.id.clone(),
            lines: LineReader::new(response.into_body()),
            idle_bytes: 0,
            stall_detector: StallDetector::new(timeout),
        })
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks, ends early, stalls or belongs to another request.
    pub async fn next(&mut self) -> Result<ChatEvent, EngineError> {
        loop {
            let line = self.read_line().await?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            self.stall_detector.record_progress();
            self.idle_bytes = 0;
            let data = data.trim();
            if data == "[DONE]" {
                return Err(EngineError::Truncated);
            }
            let chunk: Chunk = serde_json::from_str(data)?;
            if chunk.id != self.id {
                return Err(EngineError::RequestMismatch);
            }
            let Some(choice) = chunk.choices.into_iter().next() else {
                continue;
            };
            if let Some(reason) = choice.finish_reason {
                let usage = chunk.usage.ok_or(EngineError::Truncated)?;
                return Ok(ChatEvent::Finished {
                    reached_limit: reason == "length",
                    prompt_tokens: usage.prompt_tokens,
                    answer_tokens: usage.completion_tokens,
                });
            }
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                let count = chunk.usage.map(|usage| usage.completion_tokens);
                return Ok(ChatEvent::Text {
                    text,
                    token_count: count,
                });
            }
        }
    }

    /// Returns the next line, without its end.
    async fn read_line(&mut self) -> Result<String, EngineError> {
        let max_bytes = MAX_EVENT_BYTES.checked_sub(self.idle_bytes);
        let max_bytes = max_bytes.ok_or(EngineError::TooLong)?;
        let stalled = async {
            self.stall_detector.stalled().await;
            Err(EngineError::Stalled)
        };
        let line = self.lines.next(max_bytes).or(stalled).await?;
        let line = line.ok_or(EngineError::Truncated)?;
        // The end of the line counts, so that empty lines without end fail, too.
        self.idle_bytes += line.len() + 1;
        Ok(line)
    }
}
