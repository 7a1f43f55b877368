//! An HTTP client for entries that verifies the answers it receives.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::Digest;
use engine::EngineError;
use engine::client;
use engine::client::LineReader;
use engine::client::Request;
use engine::client::Response;
use serde_json::Value;
use serde_json::json;

/// Timeout of the head of a response. Entries answer before, at the deadline of the request.
const HEAD_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum length of a body, and of a line in one, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Completed {
        /// The text of the answer.
        text: String,
        /// The tokens billed, as stated in the answer.
        tokens: u64,
    },
    /// The request did not run; holds the error's type.
    NotRun(String),
    /// The entry can't tell whether the request ran.
    Unknown,
    /// The connection broke or the answer is invalid.
    Failed,
}

/// The outcome and the timing of a chat.
#[derive(Clone, Debug)]
pub struct ChatResult {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The time to the first token; zero if none arrived.
    pub first_token: Duration,
    /// The time until the answer or the connection ended.
    pub total_time: Duration,
    /// The times between consecutive content events.
    pub event_gaps: Vec<Duration>,
}

/// Returns the messages of a chat that consists of one user prompt.
#[must_use]
pub fn messages(prompt: &str) -> Value {
    json!([{ "role": "user", "content": prompt }])
}

/// A streamed chat request.
#[derive(Clone, Debug)]
pub struct ChatRequest<'a> {
    /// The address at which the entry serves callers.
    pub entry: SocketAddr,
    /// The team's bearer key.
    pub bearer_key: &'a str,
    /// The idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
    /// The model's name.
    pub model: &'a str,
    /// The content of the only message.
    pub prompt: &'a str,
    /// Maximum tokens generated.
    pub max_tokens: u64,
}

/// Sends a request over a new connection and returns the response once its head has
/// arrived.
///
/// # Errors
///
/// Fails where the connection can't be made or breaks, or the head is malformed.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Response, EngineError> {
    let request = Request {
        method,
        path,
        media_type: "application/json",
        headers,
        body,
    };
    client::send(address, &request, HEAD_TIMEOUT).await
}

/// Sends a streamed chat request and returns the response with its body unread.
///
/// # Errors
///
/// Fails where the connection can't be made or breaks.
pub async fn open_chat(request: &ChatRequest<'_>) -> Result<Response, EngineError> {
    let body = json!({
        "model": request.model,
        "messages": messages(request.prompt),
        "max_tokens": request.max_tokens,
        "stream": true,
    });
    let bearer = format!("Bearer {}", request.bearer_key);
    let mut headers = vec![("Authorization", bearer.as_str())];
    if let Some(key) = request.idempotency_key {
        headers.push(("Idempotency-Key", key));
    }
    let path = "/v1/chat/completions";
    let body = body.to_string();
    send(request.entry, "POST", path, &headers, body.as_bytes()).await
}

/// Reads a response with an error.
async fn read_error(response: Response) -> Outcome {
    let body = response.into_body().read_all(MAX_BODY_BYTES).await;
    let value = body.map(|bytes| serde_json::from_slice(&bytes).unwrap_or_default());
    error_outcome(&value.unwrap_or_default())
}

/// Sends a streamed chat request, reads the answer to its end and measures both.
pub async fn run_chat(request: &ChatRequest<'_>) -> ChatResult {
    let started = Instant::now();
    let mut result = ChatResult {
        outcome: Outcome::Failed,
        first_token: Duration::ZERO,
        total_time: Duration::ZERO,
        event_gaps: Vec::new(),
    };
    if let Ok(response) = open_chat(request).await {
        result.outcome = read_chat(
            response,
            started,
            &mut result.first_token,
            &mut result.event_gaps,
        )
        .await;
    }
    result.total_time = started.elapsed();
    result
}

fn error_outcome(value: &Value) -> Outcome {
    let error = &value["error"];
    match error["ran"].as_str() {
        Some("not_run") => Outcome::NotRun(error["type"].as_str().unwrap_or("").to_owned()),
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed,
    }
}

/// Reads a streamed answer to its end and checks its digest.
///
/// Sets `first_token` to the time between `started` and the first content event, and
/// appends the times between later events to `event_gaps`.
pub async fn read_chat(
    response: Response,
    started: Instant,
    first_token: &mut Duration,
    event_gaps: &mut Vec<Duration>,
) -> Outcome {
    if response.status() != 200 {
        return read_error(response).await;
    }
    let mut lines = LineReader::new(response.into_body());
    let mut text = String::new();
    let mut last = started;
    loop {
        let Ok(Some(line)) = lines.next(MAX_BODY_BYTES).await else {
            return Outcome::Failed;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(data.trim()) else {
            return Outcome::Failed;
        };
        if value.get("error").is_some() {
            return error_outcome(&value);
        }
        if let Some(part) = value["choices"][0]["delta"]["content"].as_str() {
            text.push_str(part);
            let now = Instant::now();
            if last == started {
                *first_token = now - started;
            } else {
                event_gaps.push(now - last);
            }
            last = now;
        }
        if !value["choices"][0]["finish_reason"].is_null() {
            let digest = value["digest"].as_str().unwrap_or_default();
            if digest != Digest::of(text.as_bytes()).to_hex() {
                return Outcome::Failed;
            }
            let tokens = value["usage"]["total_tokens"].as_u64().unwrap_or(0);
            return Outcome::Completed { text, tokens };
        }
    }
}

/// Calls a plain service and returns the outcome, with 0 tokens if it completed.
pub async fn call_service(
    entry: SocketAddr,
    bearer: &str,
    key: &str,
    path: &str,
    body: &str,
) -> Outcome {
    let bearer = format!("Bearer {bearer}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    let Ok(response) = send(entry, "POST", path, &headers, body.as_bytes()).await else {
        return Outcome::Failed;
    };
    if response.status() != 200 {
        return read_error(response).await;
    }
    let body = response.into_body().read_all(MAX_BODY_BYTES).await;
    let text = body.ok().and_then(|bytes| String::from_utf8(bytes).ok());
    text.map_or(Outcome::Failed, |text| Outcome::Completed {
        text,
        tokens: 0,
    })
}
