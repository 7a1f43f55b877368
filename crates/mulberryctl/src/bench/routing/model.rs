//! A simulation of the engines, in steps of [`TICK_MS`].

use std::collections::VecDeque;

use super::Arrival;
use super::DOMAINS;
use super::ENGINES;
use super::MAX_BATCH_REQUESTS;
use super::REQUEST_TIMEOUT_MS;
use super::TICK_MS;

/// Fixed part of a decoding step's duration, in microseconds.
///
/// A step generates one token for every decoding request.
pub(crate) const BASE_STEP_US: u64 = 20_000;

/// Time that each decoding request adds to a step, in microseconds.
pub(crate) const REQUEST_STEP_US: u64 = 1_000;

/// Time to prefill a prompt whose prefix isn't cached, in microseconds.
const PREFILL_US: u64 = 110_000;

/// Time to prefill a prompt whose prefix is cached, in microseconds.
const CACHED_PREFILL_US: u64 = 15_000;

/// Maximum number of prefixes that an engine caches.
const MAX_CACHED_PREFIXES: usize = 40;

/// Factor by which a slow engine is slower.
const SLOWDOWN_FACTOR: u64 = 3;

/// A request that has left its engine, complete or not.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FinishedRequest {
    pub(crate) arrival: Arrival,
    pub(crate) engine: usize,
    pub(crate) finished_ms: u64,
    pub(crate) first_token_ms: u64,
    pub(crate) tokens: u64,
    pub(crate) complete: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    arrival: Arrival,
    prefill_us: u64,
    first_token_ms: u64,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    waiting: VecDeque<Arrival>,
    running: Vec<RunningRequest>,
    prefix_cache: VecDeque<u64>,
    progress_us: u64,
    is_slow: bool,
    is_lost: bool,
}

impl Engine {
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        let cache_hit = self.prefix_cache.contains(&prefix);
        self.prefix_cache.retain(|other| *other != prefix);
        self.prefix_cache.push_back(prefix);
        if self.prefix_cache.len() > MAX_CACHED_PREFIXES {
            self.prefix_cache.pop_front();
        }
        cache_hit
    }

    fn start_request(&mut self, arrival: Arrival) -> bool {
        let cache_hit = self.touch_prefix(arrival.prefix);
        self.running.push(RunningRequest {
            arrival,
            prefill_us: if cache_hit {
                CACHED_PREFILL_US
            } else {
                PREFILL_US
            },
            first_token_ms: 0,
            tokens: 0,
        });
        cache_hit
    }

    fn tick(&mut self, engine: usize, now: u64) -> Vec<FinishedRequest> {
        let mut finished = Vec::new();
        let slowdown = if self.is_slow { SLOWDOWN_FACTOR } else { 1 };
        let mut time_us = TICK_MS * 1_000 / slowdown;
        // One prompt is prefilled at a time, and prefill delays decoding.
        while time_us > 0
            && let Some(request) = self
                .running
                .iter_mut()
                .find(|request| request.prefill_us > 0)
        {
            let spent = request.prefill_us.min(time_us);
            request.prefill_us -= spent;
            time_us -= spent;
        }
        self.progress_us += time_us;
        let decoding = self
            .running
            .iter()
            .filter(|request| request.prefill_us == 0)
            .count() as u64;
        let step_us = BASE_STEP_US + REQUEST_STEP_US * decoding;
        while self.progress_us >= step_us && decoding > 0 {
            self.progress_us -= step_us;
            for request in self
                .running
                .iter_mut()
                .filter(|request| request.prefill_us == 0)
            {
                request.tokens += 1;
                if request.tokens == 1 {
                    request.first_token_ms = now;
                }
            }
        }
        if decoding == 0 {
            self.progress_us = 0;
        }
        self.running.retain(|request| {
            let complete = request.tokens >= request.arrival.answer_tokens;
            let timed_out = now.saturating_sub(request.arrival.arrived_ms) > REQUEST_TIMEOUT_MS;
            if complete || timed_out {
                finished.push(FinishedRequest {
                    arrival: request.arrival,
                    engine,
                    finished_ms: now,
                    first_token_ms: request.first_token_ms,
                    tokens: request.tokens,
                    complete,
                });
            }
            !complete && !timed_out
        });
        self.waiting.retain(|arrival| {
            let timed_out = now.saturating_sub(arrival.arrived_ms) > REQUEST_TIMEOUT_MS;
            if timed_out {
                finished.push(incomplete_request(*arrival, engine, now, 0));
            }
            !timed_out
        });
        finished
    }
}

fn incomplete_request(
    arrival: Arrival,
    engine: usize,
    finished_ms: u64,
    tokens: u64,
) -> FinishedRequest {
    FinishedRequest {
        arrival,
        engine,
        finished_ms,
        first_token_ms: 0,
        tokens,
        complete: false,
    }
}

/// All simulated engines.
pub(crate) struct Fleet {
    engines: Vec<Engine>,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            engines: vec![Engine::default(); ENGINES],
        }
    }

    pub(crate) fn slow_down(&mut self, engine: usize) {
        self.engines[engine].is_slow = true;
    }

    /// Returns the number of requests that run or wait at an engine.
    pub(crate) fn active_requests(&self, engine: usize) -> usize {
        self.engines[engine].running.len() + self.engines[engine].waiting.len()
    }

    pub(crate) fn is_lost(&self, engine: usize) -> bool {
        self.engines[engine].is_lost
    }

    /// Sends a request to an engine and returns whether its prefix was cached.
    ///
    /// The request waits while the batch of the engine is full.
    pub(crate) fn dispatch(&mut self, engine: usize, arrival: Arrival) -> bool {
        let target = &mut self.engines[engine];
        if target.running.len() < MAX_BATCH_REQUESTS as usize {
            return target.start_request(arrival);
        }
        target.waiting.push_back(arrival);
        target.prefix_cache.contains(&arrival.prefix)
    }

    pub(crate) fn tick(&mut self, now: u64) -> Vec<FinishedRequest> {
        let mut finished = Vec::new();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            finished.extend(engine.tick(index, now));
            while engine.running.len() < MAX_BATCH_REQUESTS as usize
                && let Some(arrival) = engine.waiting.pop_front()
            {
                engine.start_request(arrival);
            }
        }
        finished
    }

    /// Stops the engines of a domain and returns their requests as incomplete.
    ///
    /// The prefix caches of the engines are lost.
    pub(crate) fn lose_domain(&mut self, domain: usize) -> Vec<FinishedRequest> {
        let mut finished = Vec::new();
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if index % DOMAINS != domain {
                continue;
            }
            engine.is_lost = true;
            let running = engine.running.drain(..);
            finished.extend(
                running
                    .map(|request| incomplete_request(request.arrival, index, 0, request.tokens)),
            );
            let waiting = engine.waiting.drain(..);
            finished.extend(waiting.map(|arrival| incomplete_request(arrival, index, 0, 0)));
            engine.prefix_cache.clear();
        }
        finished
    }

    pub(crate) fn restore_domain(&mut self, domain: usize) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if index % DOMAINS == domain {
                engine.is_lost = false;
            }
        }
    }
}
