//! A streamed chat, as server-sent events.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncBufReadExt as _;
use futures_lite::FutureExt as _;
use host::stall::StallDetector;
use http_types::Body;
use http_types::Method;
use serde::Deserialize;
use serde::Serialize;

use crate::error::EngineError;
use crate::link;

/// Longest line of an event stream, in bytes.
const MAX_LINE: usize = 1 << 20;

/// A chat to be answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chat {
    /// The request's identifier, which every event carries back.
    pub id: String,
    /// The model.
    pub model: String,
    /// The messages, as the caller sent them.
    pub messages: serde_json::Value,
    /// Most tokens generated.
    pub max_tokens: u64,
    /// Text that the answer continues.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub prefix: String,
    /// Urgency; zero is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Always true: answers are streamed.
    pub stream: bool,
}

/// What an engine says of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// More text; one event for each token.
    Text {
        /// The text.
        text: String,
        /// Tokens generated so far, where the engine says so.
        count: Option<u64>,
    },
    /// The answer's end.
    End {
        /// Whether the cap was reached.
        capped: bool,
        /// Tokens of the prompt.
        prompt: u64,
        /// Tokens generated.
        answer: u64,
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

/// An answer under way.
#[derive(Debug)]
pub struct Stream {
    id: String,
    body: Body,
    line: Vec<u8>,
    stall: StallDetector,
}

impl Stream {
    /// Asks the engine at `address`; each event must come within `stall`.
    ///
    /// # Errors
    ///
    /// Fails where the engine can't be reached or refuses.
    pub async fn open(
        address: SocketAddr,
        chat: &Chat,
        stall: Duration,
    ) -> Result<Self, EngineError> {
        let body = serde_json::to_vec(chat)?;
        let path = "/v1/chat/completions";
        let media = "application/json";
        let mut answer = link::send(address, Method::Post, path, media, body, stall).await?;
        let status: u16 = answer.status().into();
        if status != 200 {
            return Err(EngineError::Status(status));
        }
        Ok(Self {
            id: chat.id.clone(),
            body: answer.take_body(),
            line: Vec::new(),
            stall: StallDetector::new(stall),
        })
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Fails where the stream breaks, stalls or belongs to another request.
    pub async fn next(&mut self) -> Result<Event, EngineError> {
        loop {
            let line = self.read_line().await?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            let data = data.trim();
            if data == "[DONE]" {
                return Err(EngineError::Short);
            }
            let chunk: Chunk = serde_json::from_str(data)?;
            if chunk.id != self.id {
                return Err(EngineError::OtherRequest);
            }
            let Some(choice) = chunk.choices.into_iter().next() else {
                continue;
            };
            if let Some(reason) = choice.finish_reason {
                let usage = chunk.usage.ok_or(EngineError::Short)?;
                return Ok(Event::End {
                    capped: reason == "length",
                    prompt: usage.prompt_tokens,
                    answer: usage.completion_tokens,
                });
            }
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                let count = chunk.usage.map(|usage| usage.completion_tokens);
                return Ok(Event::Text { text, count });
            }
        }
    }

    async fn read_line(&mut self) -> Result<String, EngineError> {
        self.line.clear();
        let read = async {
            let count = self.body.read_until(b'\n', &mut self.line).await;
            count.map_err(|e| EngineError::Broken(e.to_string()))
        };
        let late = async {
            self.stall.stalled().await;
            Err(EngineError::Stalled)
        };
        let count = read.or(late).await?;
        self.stall.record_progress();
        if count == 0 {
            return Err(EngineError::Short);
        }
        if self.line.len() > MAX_LINE {
            return Err(EngineError::Broken("a line is too long".to_owned()));
        }
        Ok(String::from_utf8_lossy(&self.line).trim_end().to_owned())
    }
}
