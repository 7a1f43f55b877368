//! Chat requests and the events of their answers.

use base::Digest;
use request::FinalEvent;
use request::frame::FinishReason;
use serde_json::Value;
use serde_json::json;

use crate::error::CallerError;
use crate::error::FieldReason;

/// Bytes of a prompt that make its prefix, for affinity.
const PREFIX_BYTES: usize = 1_024;

/// A chat that a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// The public name of the model.
    pub model: String,
    /// The messages.
    pub messages: Value,
    /// Most tokens generated, where the caller says so.
    pub cap: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

fn field(name: &str, reason: FieldReason) -> CallerError {
    CallerError::field(name, reason)
}

impl ChatRequest {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Fails at the first field that is wrong.
    pub fn read(body: &[u8]) -> Result<Self, CallerError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| field("body", FieldReason::Syntax(error.to_string())))?;
        let model = match value.get("model") {
            None => return Err(field("model", FieldReason::Missing)),
            Some(Value::String(model)) => model.clone(),
            Some(_) => return Err(field("model", FieldReason::Expected("text"))),
        };
        let messages = value
            .get("messages")
            .ok_or_else(|| field("messages", FieldReason::Missing))?;
        check_messages(messages)?;
        Ok(Self {
            model,
            messages: messages.clone(),
            cap: read_cap(&value)?,
            stream: read_stream(&value)?,
        })
    }

    /// Returns an upper bound of the prompt's tokens: no token is shorter than a
    /// byte.
    #[must_use]
    pub fn prompt_bound(&self) -> u64 {
        self.messages.to_string().len() as u64
    }

    /// Returns the number of words, which stands for the tokens of the prompt.
    #[must_use]
    pub fn prompt_words(&self) -> u64 {
        let Some(messages) = self.messages.as_array() else {
            return 0;
        };
        let words = |m: &Value| content(m).split_whitespace().count() as u64;
        messages.iter().map(words).sum()
    }

    /// Returns the digest of the prompt's first part.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let text = self.messages.to_string();
        let end = text.len().min(PREFIX_BYTES);
        let digest = Digest::of(&text.as_bytes()[..end]);
        let mut out = [0; 8];
        out.copy_from_slice(&digest.0[..8]);
        u64::from_le_bytes(out)
    }
}

fn content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

fn check_messages(messages: &Value) -> Result<(), CallerError> {
    let Some(list) = messages.as_array() else {
        return Err(field("messages", FieldReason::Expected("a list")));
    };
    if list.is_empty() {
        let reason = FieldReason::Expected("at least one message");
        return Err(field("messages", reason));
    }
    for (place, message) in list.iter().enumerate() {
        for name in ["role", "content"] {
            if !message[name].is_string() {
                let path = format!("messages[{place}].{name}");
                return Err(field(&path, FieldReason::Expected("text")));
            }
        }
    }
    Ok(())
}

fn read_cap(value: &Value) -> Result<Option<u64>, CallerError> {
    match value.get("max_tokens") {
        None | Some(Value::Null) => Ok(None),
        Some(number) => match number.as_u64() {
            Some(cap) if cap > 0 => Ok(Some(cap)),
            _ => {
                let reason = FieldReason::Expected("a whole number above 0");
                Err(field("max_tokens", reason))
            }
        },
    }
}

fn read_stream(value: &Value) -> Result<bool, CallerError> {
    match value.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(field("stream", FieldReason::Expected("true or false"))),
    }
}

fn reason(end: FinishReason) -> &'static str {
    match end {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Cancelled | FinishReason::Failed | FinishReason::NotRun => "error",
    }
}

fn usage(end: &FinalEvent) -> Value {
    json!({
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.answer_tokens,
        "total_tokens": end.billed_tokens(),
    })
}

/// Returns the event for more text.
#[must_use]
pub fn text_event(id: &str, model: &str, text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + text.len());
    out.extend_from_slice(b"data: ");
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }],
    });
    out.extend_from_slice(chunk.to_string().as_bytes());
    out.extend_from_slice(b"\n\n");
    out
}

/// Returns the events that end an answer.
#[must_use]
pub fn end_events(id: &str, model: &str, end: &FinalEvent) -> Vec<u8> {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": reason(end.finish_reason) }],
        "usage": usage(end),
        "digest": end.digest.to_hex(),
        "ran": "finished",
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes()
}

/// Returns the event for an answer that can't be completed.
#[must_use]
pub fn error_event(error: &CallerError) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", error.json()).into_bytes()
}

/// Returns the whole answer as JSON.
#[must_use]
pub fn whole(id: &str, model: &str, text: &str, end: &FinalEvent) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": reason(end.finish_reason),
        }],
        "usage": usage(end),
        "digest": end.digest.to_hex(),
        "ran": "finished",
    })
    .to_string()
}
