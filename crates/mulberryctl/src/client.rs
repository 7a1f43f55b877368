//! A caller that checks what it gets.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_net::TcpStream;
use base::Digest;
use futures_lite::AsyncBufReadExt as _;
use futures_lite::AsyncReadExt as _;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde_json::Value;
use serde_json::json;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer, with the tokens that the answer says it cost.
    Whole {
        /// The text.
        text: String,
        /// Tokens billed, as told.
        tokens: u64,
    },
    /// The request did not run, with the error's short name.
    NotRun(String),
    /// The outcome is unknown.
    Unknown,
    /// The connection broke.
    Broken,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How the request ended.
    pub outcome: Outcome,
    /// The wait for the first token.
    pub first: Duration,
    /// The time for the whole answer.
    pub whole: Duration,
    /// The times between events.
    pub gaps: Vec<Duration>,
}

/// Returns the messages of a chat with one prompt.
#[must_use]
pub fn messages(prompt: &str) -> Value {
    json!([{ "role": "user", "content": prompt }])
}

/// A chat that a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Where the entry serves callers.
    pub entry: SocketAddr,
    /// The bearer key.
    pub bearer: &'a str,
    /// The idempotency key.
    pub key: Option<&'a str>,
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Most tokens generated.
    pub cap: u64,
}

/// Sends a request with its headers; returns the head of the answer.
///
/// # Errors
///
/// Fails where the connection can't be made or breaks.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> http_types::Result<Response> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = Url::parse(&format!("http://{address}{path}"))?;
    let mut request = Request::new(method, url);
    request.set_body(body);
    request.insert_header("Content-Type", "application/json");
    request.insert_header("Connection", "close");
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    async_h1::connect(stream, request).await
}

/// Sends a streamed chat.
///
/// # Errors
///
/// Fails where the connection can't be made or breaks.
pub async fn open(ask: &Ask<'_>) -> http_types::Result<Response> {
    let body = json!({
        "model": ask.model,
        "messages": messages(ask.prompt),
        "max_tokens": ask.cap,
        "stream": true,
    });
    let bearer = format!("Bearer {}", ask.bearer);
    let mut headers = vec![("Authorization", bearer.as_str())];
    if let Some(key) = ask.key {
        headers.push(("Idempotency-Key", key));
    }
    let path = "/v1/chat/completions";
    send(
        ask.entry,
        Method::Post,
        path,
        &headers,
        body.to_string().into_bytes(),
    )
    .await
}

/// Runs a streamed chat to its end.
pub async fn chat(ask: &Ask<'_>) -> Seen {
    let begun = Instant::now();
    let mut seen = Seen {
        outcome: Outcome::Broken,
        first: Duration::ZERO,
        whole: Duration::ZERO,
        gaps: Vec::new(),
    };
    if let Ok(response) = open(ask).await {
        seen.outcome = read(response, begun, &mut seen.first, &mut seen.gaps).await;
    }
    seen.whole = begun.elapsed();
    seen
}

fn refusal(value: &Value) -> Outcome {
    let error = &value["error"];
    match error["ran"].as_str() {
        Some("not_run") => Outcome::NotRun(error["type"].as_str().unwrap_or("").to_owned()),
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Broken,
    }
}

/// Reads an answer to its end.
pub async fn read(
    mut response: Response,
    begun: Instant,
    first: &mut Duration,
    gaps: &mut Vec<Duration>,
) -> Outcome {
    let status: u16 = response.status().into();
    let mut body = response.take_body();
    if status != 200 {
        let mut text = String::new();
        let _ = body.read_to_string(&mut text).await;
        return refusal(&serde_json::from_str(&text).unwrap_or_default());
    }
    let mut text = String::new();
    let mut last = begun;
    let mut line = String::new();
    loop {
        line.clear();
        match body.read_line(&mut line).await {
            Ok(count) if count > 0 => {}
            Ok(_) | Err(_) => return Outcome::Broken,
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let Ok(value) = serde_json::from_str::<Value>(data.trim()) else {
            return Outcome::Broken;
        };
        if value.get("error").is_some() {
            return refusal(&value);
        }
        if let Some(part) = value["choices"][0]["delta"]["content"].as_str() {
            text.push_str(part);
            let now = Instant::now();
            if last == begun {
                *first = now - begun;
            } else {
                gaps.push(now - last);
            }
            last = now;
        }
        if !value["choices"][0]["finish_reason"].is_null() {
            let digest = value["digest"].as_str().unwrap_or_default();
            if digest != Digest::of(text.as_bytes()).to_hex() {
                return Outcome::Broken;
            }
            let tokens = value["usage"]["total_tokens"].as_u64().unwrap_or(0);
            return Outcome::Whole { text, tokens };
        }
    }
}

/// Calls a plain service; returns the outcome with the answer's text.
pub async fn call(entry: SocketAddr, bearer: &str, key: &str, path: &str, body: &str) -> Outcome {
    let bearer = format!("Bearer {bearer}");
    let headers = [("Authorization", bearer.as_str()), ("Idempotency-Key", key)];
    let sent = send(
        entry,
        Method::Post,
        path,
        &headers,
        body.as_bytes().to_vec(),
    );
    let Ok(mut response) = sent.await else {
        return Outcome::Broken;
    };
    let status: u16 = response.status().into();
    let mut text = String::new();
    if response
        .take_body()
        .read_to_string(&mut text)
        .await
        .is_err()
    {
        return Outcome::Broken;
    }
    if status == 200 {
        return Outcome::Whole { text, tokens: 0 };
    }
    refusal(&serde_json::from_str(&text).unwrap_or_default())
}
