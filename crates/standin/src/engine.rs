//! A fake model engine with continuous batching and a prefix cache.
//!
//! The answer to a prompt is a sequence of words derived from the prompt alone. Every
//! engine generates the same answer, so a test can check an answer that one engine starts
//! and another continues.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use async_io::Timer;
use base::Digest;
use host::Pool;
use host::http::Server;
use host::http::full_response;
use host::http::read_body;
use host::http::streaming_response;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::faults::Faults;

/// Maximum number of cached prefixes.
const MAX_CACHED_PREFIXES: usize = 64;

/// Maximum length of a prompt prefix, in bytes.
const MAX_PREFIX_BYTES: usize = 1_024;

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Maximum number of events buffered for a slow reader.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Capacity and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Prefill time for each prompt word that is not cached.
    pub prefill_time: Duration,
    /// Time between two tokens of a request, without other requests.
    pub token_time: Duration,
    /// Time that each running request adds between two tokens.
    pub contention_time: Duration,
    /// Delay of the load report.
    pub report_lag: Duration,
    /// Length of every answer in words; `None` derives it from the prompt.
    pub answer_words: Option<u64>,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            capacity: 32,
            prefill_time: Duration::from_micros(100),
            token_time: Duration::from_millis(4),
            contention_time: Duration::from_micros(100),
            report_lag: Duration::from_millis(250),
            answer_words: None,
        }
    }
}

#[derive(Deserialize)]
struct ChatRequest {
    id: String,
    model: String,
    messages: Value,
    max_tokens: u64,
    #[serde(default)]
    prefix: String,
}

/// Counts of an engine's requests and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests started.
    pub started: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests whose prefix was cached.
    pub cache_hits: u64,
    /// Requests cancelled.
    pub cancelled: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    cached_prefixes: VecDeque<u64>,
    counts: EngineCounts,
    start_counts: HashMap<String, u64>,
    cancelled: Vec<String>,
    load_samples: VecDeque<(Instant, u32)>,
    models: Vec<String>,
    fence: u64,
    draining: bool,
}

/// A running fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    profile: EngineProfile,
    faults: Mutex<Faults>,
    state: Mutex<State>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the word at `index` of the answer to `prompt`.
fn answer_word(prompt: &Digest, index: u64) -> String {
    let offset = usize::try_from(index % 28).unwrap_or(0);
    let seed = u32::from_le_bytes([
        prompt.0[offset],
        prompt.0[offset + 1],
        prompt.0[offset + 2],
        prompt.0[offset + 3],
    ]);
    let number = u64::from(seed).wrapping_mul(index + 1) % 9_973;
    format!("w{number} ")
}

/// Returns the number of words of the answer to `prompt`, without a limit.
fn answer_length(prompt: &Digest) -> u64 {
    8 + u64::from(prompt.0[31]) % 57
}

/// Returns the complete answer to `messages`, limited to `max_words` words.
#[must_use]
pub fn expected_answer(messages: &Value, max_words: u64) -> String {
    let prompt = Digest::of(messages.to_string().as_bytes());
    let count = answer_length(&prompt).min(max_words);
    (0..count)
        .map(|index| answer_word(&prompt, index))
        .collect()
}

fn prompt_words(messages: &Value) -> u64 {
    let count_words = |m: &Value| {
        m["content"]
            .as_str()
            .unwrap_or("")
            .split_whitespace()
            .count()
    };
    let list = messages.as_array().map_or(&[][..], Vec::as_slice);
    list.iter().map(count_words).sum::<usize>() as u64
}

impl FakeEngine {
    /// Starts an engine that serves `models`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn spawn(
        pool: &Pool,
        address: SocketAddr,
        models: &[&str],
        profile: EngineProfile,
        faults: Faults,
    ) -> io::Result<Self> {
        let state = State {
            models: models.iter().map(|&name| name.to_owned()).collect(),
            ..State::default()
        };
        let inner = Arc::new(Inner {
            profile,
            faults: Mutex::new(faults),
            state: Mutex::new(state),
        });
        let shared = Arc::clone(&inner);
        let tasks = pool.clone();
        let handler = move |request| {
            let answer = handle_request(tasks.clone(), Arc::clone(&shared), request);
            Box::pin(answer) as host::http::BoxFuture<Response>
        };
        let server = Server::bind(pool, address, Arc::new(handler))?;
        Ok(Self { server, inner })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.inner.state().counts
    }

    /// Returns how often the request with this identifier was started.
    #[must_use]
    pub fn start_count(&self, id: &str) -> u64 {
        self.inner
            .state()
            .start_counts
            .get(id)
            .copied()
            .unwrap_or(0)
    }

    /// Replaces the faults. A running stream keeps the faults that it started with.
    pub fn set_faults(&self, faults: Faults) {
        let mut guard = self.inner.faults.lock();
        if let Ok(guard) = guard.as_mut() {
            **guard = faults;
        }
    }

    /// Reports in the load that the engine is draining.
    pub fn start_draining(&self) {
        self.inner.state().draining = true;
    }
}

async fn handle_request(pool: Pool, inner: Arc<Inner>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/load") => report_load(&inner),
        (Method::Post, "/v1/chat/completions") => start_chat(pool, inner, &mut request).await,
        (Method::Post, "/orders") => load_model(&inner, &mut request).await,
        (Method::Delete, _) => cancel_chat(&inner, &path),
        _ => full_response(404, "application/json", "{}"),
    }
}

/// Returns the load as it was `report_lag` ago.
fn report_load(inner: &Inner) -> Response {
    let now = Instant::now();
    let mut state = inner.state();
    let running = state.running;
    state.load_samples.push_back((now, running));
    while state.load_samples.len() > 1 && now - state.load_samples[1].0 >= inner.profile.report_lag
    {
        state.load_samples.pop_front();
    }
    let (sampled_at, busy) = state.load_samples[0];
    let body = json!({
        "busy": busy,
        "room": inner.profile.capacity,
        "serves": state.models,
        "age_ms": u64::try_from((now - sampled_at).as_millis()).unwrap_or(u64::MAX),
        "leaving": state.draining,
    });
    full_response(200, "application/json", body.to_string())
}

fn cancel_chat(inner: &Inner, path: &str) -> Response {
    let id = path.rsplit('/').next().unwrap_or_default();
    if !inner.faults().ignore_cancel {
        inner.state().cancelled.push(id.to_owned());
    }
    full_response(200, "application/json", "{}")
}

async fn load_model(inner: &Inner, request: &mut Request) -> Response {
    let body = read_body(request, MAX_BODY_BYTES).await.unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let fence = value["fence"].as_u64().unwrap_or(0);
    let checks = inner.faults().checks_fence;
    let mut state = inner.state();
    if checks && fence < state.fence {
        return full_response(409, "application/json", "{\"error\":\"old fence\"}");
    }
    state.fence = state.fence.max(fence);
    if let Some(model) = value["model"].as_str()
        && !state.models.iter().any(|loaded| loaded == model)
    {
        state.models.push(model.to_owned());
    }
    full_response(200, "application/json", "{}")
}

async fn start_chat(pool: Pool, inner: Arc<Inner>, request: &mut Request) -> Response {
    let body = read_body(request, MAX_BODY_BYTES).await.unwrap_or_default();
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return full_response(400, "application/json", "{\"error\":\"bad request\"}");
    };
    let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_EVENTS);
    let number = {
        let mut state = inner.state();
        if !state.models.contains(&chat.model) {
            return full_response(404, "application/json", "{\"error\":\"no such model\"}");
        }
        if state.running >= inner.profile.capacity {
            return full_response(429, "application/json", "{\"error\":\"full\"}");
        }
        state.running += 1;
        state.counts.started += 1;
        *state.start_counts.entry(chat.id.clone()).or_default() += 1;
        state.counts.started
    };
    pool.spawn(async move {
        let faults = inner.faults().for_request(number);
        generate(&inner, &chat, faults, &sender).await;
        inner.state().running -= 1;
    });
    streaming_response("text/event-stream", receiver)
}

/// Adds the prompt prefix to the cache; returns whether it was already cached.
fn cache_prefix(inner: &Inner, messages: &Value) -> bool {
    let text = messages.to_string();
    let end = text.len().min(MAX_PREFIX_BYTES);
    let digest = Digest::of(&text.as_bytes()[..end]);
    let prefix = u64::from_le_bytes(digest.0[..8].try_into().unwrap_or_default());
    let mut state = inner.state();
    let was_cached = state.cached_prefixes.contains(&prefix);
    state.cached_prefixes.retain(|other| *other != prefix);
    state.cached_prefixes.push_back(prefix);
    if state.cached_prefixes.len() > MAX_CACHED_PREFIXES {
        state.cached_prefixes.pop_front();
    }
    state.counts.cache_hits += u64::from(was_cached);
    was_cached
}

fn chunk_event(id: &str, delta: &Value, finish: Option<&str>, usage: &Value) -> Vec<u8> {
    let chunk = json!({
        "id": id,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        "usage": usage,
    });
    format!("data: {chunk}\n\n").into_bytes()
}

/// Generates the answer and sends its events, with the faults of this request.
async fn generate(inner: &Inner, chat: &ChatRequest, faults: Faults, out: &Sender<Vec<u8>>) {
    let prompt = Digest::of(chat.messages.to_string().as_bytes());
    let words = prompt_words(&chat.messages);
    let was_cached = cache_prefix(inner, &chat.messages);
    let uncached_words = if was_cached { words / 10 } else { words };
    let uncached_words = u32::try_from(uncached_words).unwrap_or(u32::MAX);
    let mut next_token_at = Instant::now() + inner.profile.prefill_time * uncached_words;
    let first = chat.prefix.split_whitespace().count() as u64;
    let full_length = inner
        .profile
        .answer_words
        .unwrap_or_else(|| answer_length(&prompt));
    let end = full_length.min(first + chat.max_tokens);
    for index in first..end {
        let running = inner.state().running;
        next_token_at += inner.profile.token_time + inner.profile.contention_time * running;
        Timer::at(next_token_at).await;
        let generated = index - first;
        if faults.stall_after == Some(generated) {
            wait_for_disconnect(out).await;
            return;
        }
        if faults.close_after == Some(generated) {
            return;
        }
        let wrong_id = faults
            .wrong_id_after
            .is_some_and(|after| generated >= after);
        let id = if wrong_id {
            "another"
        } else {
            chat.id.as_str()
        };
        if take_cancel(inner, &chat.id) {
            return;
        }
        inner.state().counts.tokens += 1;
        let delta = json!({ "content": answer_word(&prompt, index) });
        let usage = json!({ "prompt_tokens": words, "completion_tokens": generated + 1 });
        let text = chunk_event(id, &delta, None, &usage);
        if faults.repeat_at == Some(generated) && out.send(text.clone()).await.is_err() {
            return;
        }
        if out.send(text).await.is_err() && !faults.ignore_cancel {
            return;
        }
    }
    let finish = if end < full_length { "length" } else { "stop" };
    let usage = json!({
        "prompt_tokens": words,
        "completion_tokens": end.saturating_sub(first),
    });
    let mut last = chunk_event(&chat.id, &json!({}), Some(finish), &usage);
    last.extend_from_slice(b"data: [DONE]\n\n");
    let _ = out.send(last).await;
}

/// Removes a pending cancellation; returns whether there was one.
fn take_cancel(inner: &Inner, id: &str) -> bool {
    let mut state = inner.state();
    let before = state.cancelled.len();
    state.cancelled.retain(|other| other != id);
    let cancelled = state.cancelled.len() < before;
    state.counts.cancelled += u64::from(cancelled);
    cancelled
}

/// Sends nothing until the reader disconnects, as a stalled engine does.
async fn wait_for_disconnect(out: &Sender<Vec<u8>>) {
    while !out.is_closed() {
        Timer::after(Duration::from_millis(50)).await;
    }
}
