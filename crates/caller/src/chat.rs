//! Parses chat requests and writes their responses, as server-sent events or as JSON.

use base::Digest;
use request::FinalEvent;
use request::frame::FinishReason;
use serde_json::Value;
use serde_json::json;

use crate::error::CallerError;
use crate::error::FieldError;

/// Maximum length of the prompt prefix that selects an engine for affinity, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;

/// A caller's chat request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// Public name of the model.
    pub model: String,
    /// Messages of the prompt, as a JSON array.
    pub messages: Value,
    /// Maximum number of generated tokens, if the caller sets one.
    pub max_tokens: Option<u64>,
    /// Whether the response is streamed.
    pub stream: bool,
}

fn field_error(name: &str, reason: FieldError) -> CallerError {
    CallerError::invalid_field(name, reason)
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns the error of the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, CallerError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| field_error("body", FieldError::Syntax(error.to_string())))?;
        let model = match value.get("model") {
            None => return Err(field_error("model", FieldError::Missing)),
            Some(Value::String(model)) => model.clone(),
            Some(_) => return Err(field_error("model", FieldError::Expected("text"))),
        };
        let messages = value
            .get("messages")
            .ok_or_else(|| field_error("messages", FieldError::Missing))?;
        validate_messages(messages)?;
        Ok(Self {
            model,
            messages: messages.clone(),
            max_tokens: parse_max_tokens(&value)?,
            stream: parse_stream(&value)?,
        })
    }

    /// Returns an upper bound of the number of prompt tokens: a token has at least one
    /// byte.
    #[must_use]
    pub fn max_prompt_tokens(&self) -> u64 {
        self.messages.to_string().len() as u64
    }

    /// Returns the number of words, as an estimate of the number of prompt tokens.
    #[must_use]
    pub fn prompt_words(&self) -> u64 {
        let Some(messages) = self.messages.as_array() else {
            return 0;
        };
        let count_words = |m: &Value| message_content(m).split_whitespace().count() as u64;
        messages.iter().map(count_words).sum()
    }

    /// Returns the first 64 bits of the digest of the prompt prefix.
    #[must_use]
    pub fn prefix_digest(&self) -> u64 {
        let text = self.messages.to_string();
        let end = text.len().min(MAX_PREFIX_BYTES);
        let digest = Digest::of(&text.as_bytes()[..end]);
        let mut out = [0; 8];
        out.copy_from_slice(&digest.0[..8]);
        u64::from_le_bytes(out)
    }
}

fn message_content(message: &Value) -> &str {
    message["content"].as_str().unwrap_or_default()
}

fn validate_messages(messages: &Value) -> Result<(), CallerError> {
    let Some(list) = messages.as_array() else {
        return Err(field_error("messages", FieldError::Expected("a list")));
    };
    if list.is_empty() {
        let reason = FieldError::Expected("at least one message");
        return Err(field_error("messages", reason));
    }
    for (index, message) in list.iter().enumerate() {
        for name in ["role", "content"] {
            if !message[name].is_string() {
                let path = format!("messages[{index}].{name}");
                return Err(field_error(&path, FieldError::Expected("text")));
            }
        }
    }
    Ok(())
}

fn parse_max_tokens(value: &Value) -> Result<Option<u64>, CallerError> {
    match value.get("max_tokens") {
        None | Some(Value::Null) => Ok(None),
        Some(number) => match number.as_u64() {
            Some(cap) if cap > 0 => Ok(Some(cap)),
            _ => {
                let reason = FieldError::Expected("a whole number above 0");
                Err(field_error("max_tokens", reason))
            }
        },
    }
}

fn parse_stream(value: &Value) -> Result<bool, CallerError> {
    match value.get("stream") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(field_error("stream", FieldError::Expected("true or false"))),
    }
}

fn finish_reason(end: FinishReason) -> &'static str {
    match end {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
        FinishReason::Cancelled | FinishReason::Failed | FinishReason::NotRun => "error",
    }
}

fn usage_json(end: &FinalEvent) -> Value {
    json!({
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.answer_tokens,
        "total_tokens": end.billed_tokens(),
    })
}

/// Returns the event with generated text.
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

/// Returns the events that end a stream: the final chunk and the end marker.
#[must_use]
pub fn final_events(id: &str, model: &str, end: &FinalEvent) -> Vec<u8> {
    let chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason(end.finish_reason) }],
        "usage": usage_json(end),
        "digest": end.digest.to_hex(),
        "ran": "finished",
    });
    format!("data: {chunk}\n\ndata: [DONE]\n\n").into_bytes()
}

/// Returns the event of a stream that cannot be completed.
#[must_use]
pub fn error_event(error: &CallerError) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", error.to_json()).into_bytes()
}

/// Returns the complete response as JSON.
#[must_use]
pub fn completion_json(id: &str, model: &str, text: &str, end: &FinalEvent) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason(end.finish_reason),
        }],
        "usage": usage_json(end),
        "digest": end.digest.to_hex(),
        "ran": "finished",
    })
    .to_string()
}
