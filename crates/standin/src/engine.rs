//! A model engine with continuous batching and a prefix cache.
//!
//! The answer to a prompt is a run of words that follows from the prompt alone,
//! so that any engine gives the same answer and a joint can be checked.

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

/// Prefixes that fit the cache.
const CACHE: usize = 64;

/// Bytes of a prompt that count as its prefix.
const PREFIX_BYTES: usize = 1_024;

/// Largest prompt, in bytes.
const MAX_PROMPT: usize = 8 << 20;

/// Events that may wait for a slow reader.
const AHEAD: usize = 64;

/// How fast the engine is.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Requests that run together.
    pub room: u32,
    /// Time for each word of a prompt that isn't cached.
    pub prefill: Duration,
    /// Time between tokens of a request that runs alone.
    pub step: Duration,
    /// Time that each further request adds between tokens.
    pub crowd: Duration,
    /// How much the load report lags.
    pub lag: Duration,
    /// Words of every answer, where they don't follow from the prompt.
    pub words: Option<u64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            room: 32,
            prefill: Duration::from_micros(100),
            step: Duration::from_millis(4),
            crowd: Duration::from_micros(100),
            lag: Duration::from_millis(250),
            words: None,
        }
    }
}

#[derive(Deserialize)]
struct Ask {
    id: String,
    model: String,
    messages: Value,
    max_tokens: u64,
    #[serde(default)]
    prefix: String,
}

/// Counts of an engine's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests begun.
    pub begun: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests whose prefix was cached.
    pub hits: u64,
    /// Requests cancelled.
    pub cancelled: u64,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    cache: VecDeque<u64>,
    counts: Counts,
    begun: HashMap<String, u64>,
    cancelled: Vec<String>,
    reports: VecDeque<(Instant, u32)>,
    models: Vec<String>,
    fence: u64,
    leaving: bool,
}

/// A running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    pace: Pace,
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

/// Returns the words that answer `prompt`, without an end.
fn word(prompt: &Digest, place: u64) -> String {
    let at = usize::try_from(place % 28).unwrap_or(0);
    let seed = u32::from_le_bytes([
        prompt.0[at],
        prompt.0[at + 1],
        prompt.0[at + 2],
        prompt.0[at + 3],
    ]);
    let number = u64::from(seed).wrapping_mul(place + 1) % 9_973;
    format!("w{number} ")
}

/// Returns how many words answer `prompt` when nothing caps them.
fn length(prompt: &Digest) -> u64 {
    8 + u64::from(prompt.0[31]) % 57
}

/// Returns the whole answer to `messages`, capped at `cap` words.
#[must_use]
pub fn expected(messages: &Value, cap: u64) -> String {
    let prompt = Digest::of(messages.to_string().as_bytes());
    let count = length(&prompt).min(cap);
    (0..count).map(|place| word(&prompt, place)).collect()
}

fn prompt_words(messages: &Value) -> u64 {
    let words = |m: &Value| {
        m["content"]
            .as_str()
            .unwrap_or("")
            .split_whitespace()
            .count()
    };
    let list = messages.as_array().map_or(&[][..], Vec::as_slice);
    list.iter().map(words).sum::<usize>() as u64
}

impl Engine {
    /// Starts an engine that serves `models`.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn spawn(
        pool: &Pool,
        address: SocketAddr,
        models: &[&str],
        pace: Pace,
        faults: Faults,
    ) -> io::Result<Self> {
        let state = State {
            models: models.iter().map(|&name| name.to_owned()).collect(),
            ..State::default()
        };
        let inner = Arc::new(Inner {
            pace,
            faults: Mutex::new(faults),
            state: Mutex::new(state),
        });
        let shared = Arc::clone(&inner);
        let tasks = pool.clone();
        let handler = move |request| {
            let answer = answer(tasks.clone(), Arc::clone(&shared), request);
            Box::pin(answer) as host::http::BoxFuture<Response>
        };
        let server = Server::bind(pool, address, Arc::new(handler))?;
        Ok(Self { server, inner })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.inner.state().counts
    }

    /// Returns how often the request with this identifier was begun.
    #[must_use]
    pub fn begun(&self, id: &str) -> u64 {
        self.inner.state().begun.get(id).copied().unwrap_or(0)
    }

    /// Replaces the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        let mut guard = self.inner.faults.lock();
        if let Ok(guard) = guard.as_mut() {
            **guard = faults;
        }
    }

    /// Says that the engine leaves.
    pub fn leave(&self) {
        self.inner.state().leaving = true;
    }
}

async fn answer(pool: Pool, inner: Arc<Inner>, mut request: Request) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/load") => load(&inner),
        (Method::Post, "/v1/chat/completions") => chat(pool, inner, &mut request).await,
        (Method::Post, "/orders") => order(&inner, &mut request).await,
        (Method::Delete, _) => cancel(&inner, &path),
        _ => full_response(404, "application/json", "{}"),
    }
}

/// Reports the load as it was a lag ago.
fn load(inner: &Inner) -> Response {
    let now = Instant::now();
    let mut state = inner.state();
    let running = state.running;
    state.reports.push_back((now, running));
    while state.reports.len() > 1 && now - state.reports[1].0 >= inner.pace.lag {
        state.reports.pop_front();
    }
    let (made, busy) = state.reports[0];
    let body = json!({
        "busy": busy,
        "room": inner.pace.room,
        "serves": state.models,
        "age_ms": u64::try_from((now - made).as_millis()).unwrap_or(u64::MAX),
        "leaving": state.leaving,
    });
    full_response(200, "application/json", body.to_string())
}

fn cancel(inner: &Inner, path: &str) -> Response {
    let id = path.rsplit('/').next().unwrap_or_default();
    if !inner.faults().ignore_cancel {
        inner.state().cancelled.push(id.to_owned());
    }
    full_response(200, "application/json", "{}")
}

async fn order(inner: &Inner, request: &mut Request) -> Response {
    let body = read_body(request, MAX_PROMPT).await.unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or_default();
    let fence = value["fence"].as_u64().unwrap_or(0);
    let checks = inner.faults().checks_fence;
    let mut state = inner.state();
    if checks && fence < state.fence {
        return full_response(409, "application/json", "{\"error\":\"old fence\"}");
    }
    state.fence = state.fence.max(fence);
    if let Some(model) = value["model"].as_str()
        && !state.models.iter().any(|known| known == model)
    {
        state.models.push(model.to_owned());
    }
    full_response(200, "application/json", "{}")
}

async fn chat(pool: Pool, inner: Arc<Inner>, request: &mut Request) -> Response {
    let body = read_body(request, MAX_PROMPT).await.unwrap_or_default();
    let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
        return full_response(400, "application/json", "{\"error\":\"bad request\"}");
    };
    let (sender, receiver) = async_channel::bounded(AHEAD);
    let number = {
        let mut state = inner.state();
        if !state.models.contains(&ask.model) {
            return full_response(404, "application/json", "{\"error\":\"no such model\"}");
        }
        if state.running >= inner.pace.room {
            return full_response(429, "application/json", "{\"error\":\"full\"}");
        }
        state.running += 1;
        state.counts.begun += 1;
        *state.begun.entry(ask.id.clone()).or_default() += 1;
        state.counts.begun
    };
    pool.spawn(async move {
        let faults = inner.faults().of(number);
        run(&inner, &ask, faults, &sender).await;
        inner.state().running -= 1;
    });
    streaming_response("text/event-stream", receiver)
}

/// Returns whether the prefix was cached, and caches it.
fn cached(inner: &Inner, messages: &Value) -> bool {
    let text = messages.to_string();
    let end = text.len().min(PREFIX_BYTES);
    let digest = Digest::of(&text.as_bytes()[..end]);
    let prefix = u64::from_le_bytes(digest.0[..8].try_into().unwrap_or_default());
    let mut state = inner.state();
    let hit = state.cache.contains(&prefix);
    state.cache.retain(|other| *other != prefix);
    state.cache.push_back(prefix);
    if state.cache.len() > CACHE {
        state.cache.pop_front();
    }
    state.counts.hits += u64::from(hit);
    hit
}

fn event(id: &str, delta: &Value, finish: Option<&str>, usage: &Value) -> Vec<u8> {
    let chunk = json!({
        "id": id,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        "usage": usage,
    });
    format!("data: {chunk}\n\n").into_bytes()
}

async fn run(inner: &Inner, ask: &Ask, faults: Faults, out: &Sender<Vec<u8>>) {
    let prompt = Digest::of(ask.messages.to_string().as_bytes());
    let words = prompt_words(&ask.messages);
    let hit = cached(inner, &ask.messages);
    let fresh = if hit { words / 10 } else { words };
    let fresh = u32::try_from(fresh).unwrap_or(u32::MAX);
    let mut due = Instant::now() + inner.pace.prefill * fresh;
    let first = ask.prefix.split_whitespace().count() as u64;
    let natural = inner.pace.words.unwrap_or_else(|| length(&prompt));
    let end = natural.min(first + ask.max_tokens);
    for place in first..end {
        let running = inner.state().running;
        due += inner.pace.step + inner.pace.crowd * running;
        Timer::at(due).await;
        let done = place - first;
        if faults.stall_after == Some(done) {
            stall(out).await;
            return;
        }
        if faults.close_after == Some(done) {
            return;
        }
        let crossed = faults.cross_after.is_some_and(|after| done >= after);
        let id = if crossed { "another" } else { ask.id.as_str() };
        if take_cancel(inner, &ask.id) {
            return;
        }
        inner.state().counts.tokens += 1;
        let delta = json!({ "content": word(&prompt, place) });
        let usage = json!({ "prompt_tokens": words, "completion_tokens": done + 1 });
        let text = event(id, &delta, None, &usage);
        if faults.repeat_at == Some(done) && out.send(text.clone()).await.is_err() {
            return;
        }
        if out.send(text).await.is_err() && !faults.ignore_cancel {
            return;
        }
    }
    let finish = if end < natural { "length" } else { "stop" };
    let usage = json!({
        "prompt_tokens": words,
        "completion_tokens": end.saturating_sub(first),
    });
    let mut last = event(&ask.id, &json!({}), Some(finish), &usage);
    last.extend_from_slice(b"data: [DONE]\n\n");
    let _ = out.send(last).await;
}

fn take_cancel(inner: &Inner, id: &str) -> bool {
    let mut state = inner.state();
    let before = state.cancelled.len();
    state.cancelled.retain(|other| other != id);
    let cancelled = state.cancelled.len() < before;
    state.counts.cancelled += u64::from(cancelled);
    cancelled
}

/// Waits until the reader has gone, as a stalled engine does.
async fn stall(out: &Sender<Vec<u8>>) {
    while !out.is_closed() {
        Timer::after(Duration::from_millis(50)).await;
    }
}
