//! The selection among model engines by estimated cost, from their load and cached
//! prompt segments.
//!
//! Prefill is the main load of a model engine, and segments in its KV cache need no
//! prefill. Each entry knows its own requests immediately and those of the other entries
//! from their last update, so that no placement waits for load reports.
//!
//! The cost covers these load patterns. The segments of a returning session are cached at
//! one engine, and another engine is selected only where waiting costs more than a second
//! prefill. In a burst, requests that cannot start in time are rejected immediately, the
//! lowest priority first. The observed latency and failures of a slow or failing engine
//! raise its cost.

mod cold_engines;

use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::availability::Availability;
use crate::availability::EngineStatus;
use crate::availability::Exclusion;
use crate::engine_rates::EngineRates;
use crate::engine_rates::EngineSpeed;
use crate::engine_rates::LoadAhead;
use crate::metadata::PromptSegment;
use crate::warm_up::WarmUp;

/// Cost of a request to another failure domain, in milliseconds of waiting. Traffic
/// between domains is expensive, but cheaper than a second prefill of a shared prompt.
const CROSS_DOMAIN_COST_MS: f64 = 12.0;

/// Cost of each running request to the others at the engine, in milliseconds.
const RUNNING_REQUEST_COST_MS: f64 = 0.35;

/// Cost of the prefill of a segment that one other engine has cached, in addition to its
/// latency, as a multiple of the prefill time. The engine delays its other requests meanwhile,
/// and the segment takes memory at two engines. Segments that many engines cache cost less, so
/// that common segments become cached everywhere and sessions spread.
const DUPLICATE_PREFILL_COST_FACTOR: f64 = 6.0;

/// Fraction of the maximum time to first token within which an engine counts as in time.
/// The remainder covers requests that reach the engine earlier.
const MAX_TTFT_FRACTION: f64 = 0.75;

/// Fraction of an engine's KV cache that running requests may use before the engine
/// preempts requests.
const MAX_RUNNING_KV_FRACTION: f64 = 0.9;

/// Fraction of the KV cache that is assumed to hold cached segments.
const MAX_CACHED_KV_FRACTION: f64 = 0.75;

/// Weight of the latest sample in the moving average of the failure rate.
const EWMA_WEIGHT: f64 = 0.15;

/// Cost of an engine whose requests all fail, in milliseconds.
const MAX_FAILURE_COST_MS: f64 = 3_000.0;

/// The load of one entry on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that were sent and have not completed.
    pub running_requests: u32,
    /// Prompt tokens of requests that have not produced a first token.
    pub prefill_tokens: u64,
    /// Estimated tokens in the KV cache.
    pub kv_tokens: u64,
}

impl EngineLoad {
    fn add(&mut self, other: Self) {
        self.running_requests += other.running_requests;
        self.prefill_tokens += other.prefill_tokens;
        self.kv_tokens += other.kv_tokens;
    }

    fn subtract(&mut self, other: Self) {
        self.running_requests = self.running_requests.saturating_sub(other.running_requests);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// The capacity of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCapacity {
    /// The maximum number of requests in a batch, or of concurrent requests.
    pub max_requests: u32,
    /// The size of the KV cache, in tokens; zero for a service without a model.
    pub kv_tokens: u64,
}

/// The state of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineState {
    capacity: EngineCapacity,
    cross_domain: bool,
    own_load: EngineLoad,
    peer_loads: Map<u64, EngineLoad>,
    /// The sum of `peer_loads`.
    peer_total: EngineLoad,
    /// What entries without a recent message held here when they were last heard, in tokens.
    unheard_tokens: Map<u64, u64>,
    cached_segments: Map<u64, (u32, Time)>,
    /// The sum of the tokens of `cached_segments`.
    cached_tokens: u64,
    /// The observed time to first token, as a multiple of the baseline.
    speed: EngineSpeed,
    /// The moving average of failed requests, between zero and one.
    failure_rate: f64,
    status: EngineStatus,
    warm_up: WarmUp,
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the output, in tokens.
    pub max_output: u64,
    /// The segments of the prompt.
    pub segments: &'a [PromptSegment],
    /// The maximum acceptable time to first token, in milliseconds.
    pub max_ttft_ms: f64,
    /// The engines that were already tried.
    pub excluded_engines: &'a [u64],
}

/// The engine selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineChoice {
    /// The key of the engine.
    pub engine: u64,
    /// The load that the request adds.
    pub load: EngineLoad,
    /// The expected time to first token, in milliseconds.
    pub expected_ttft_ms: f64,
    /// The time to first token of an engine without slowdown at this load, in milliseconds.
    pub baseline_ttft_ms: f64,
    /// The load ahead of the request, including itself.
    pub ahead: LoadAhead,
}

/// The reason why no engine was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// No engine is available.
    NoEngine,
    /// All engines have asked for a pause, or are cold and bear no more requests at present;
    /// the first one can be used after this time.
    Paused(Span),
    /// The request could not start in time. Capacity is expected after this many
    /// milliseconds.
    Overloaded(f64),
}

impl EngineState {
    fn new(status: EngineStatus) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    fn total_load(&self) -> EngineLoad {
        let mut total = self.own_load;
        total.add(self.peer_total);
        total
    }

    /// Replaces the load that the entry `peer` reports.
    fn set_peer_load(&mut self, peer: u64, load: Option<EngineLoad>) {
        let old = match load {
            Some(load) => {
                self.peer_total.add(load);
                self.peer_loads.insert(peer, load)
            }
            None => self.peer_loads.remove(&peer),
        };
        self.peer_total.subtract(old.unwrap_or_default());
    }

    fn load_ahead(&self, request: &PlacementRequest<'_>, total: EngineLoad) -> LoadAhead {
        LoadAhead {
            prefill_tokens: total.prefill_tokens + self.uncached_tokens(request),
            running_requests: total.running_requests,
        }
    }

    /// Returns whether the request fits into the memory of the engine beside all requests that
    /// are or may be there. An engine that holds more than its memory fails all of them.
    fn has_memory(&self, request: &PlacementRequest<'_>) -> bool {
        let needed = request.prompt_tokens + request.max_output;
        let unheard: u64 = self.unheard_tokens.values().sum();
        let held = self.total_load().kv_tokens + unheard;
        // The engine itself rejects a request that is larger than its memory.
        needed > self.capacity.kv_tokens || held + needed <= self.capacity.kv_tokens
    }

    /// Returns the number of prompt tokens that need prefill at the engine.
    fn uncached_tokens(&self, request: &PlacementRequest<'_>) -> u64 {
        let cached_tokens = request.segments.iter().map_while(|segment| {
            self.cached_segments
                .get(&segment.id)
                .map(|_| u64::from(segment.tokens))
        });
        request.prompt_tokens.saturating_sub(cached_tokens.sum())
    }

    /// Returns the time to first token of an engine without slowdown at this load, in
    /// milliseconds.
    #[allow(clippy::cast_precision_loss)]
    fn baseline_ttft_ms(
        &self,
        request: &PlacementRequest<'_>,
        total: EngineLoad,
        rates: &EngineRates,
    ) -> f64 {
        if self.capacity.kv_tokens == 0 {
            let max_requests = f64::from(self.capacity.max_requests.max(1));
            let queued = (f64::from(total.running_requests) + 1.0 - max_requests).max(0.0);
            return f64::from(total.running_requests) + 10.0 * queued;
        }
        let mut expected = rates.ttft_ms(self.load_ahead(request, total));
        let available = MAX_RUNNING_KV_FRACTION * self.capacity.kv_tokens as f64;
        let required = (total.kv_tokens + request.prompt_tokens + request.max_output / 2) as f64;
        if required > available {
            expected += (required - available) / rates.prefill_rate();
        }
        let excess = total
            .running_requests
            .saturating_sub(self.capacity.max_requests);
        expected + 20.0 * f64::from(excess)
    }

    /// Returns the number of tokens that would need prefill here although other engines
    /// have cached them, each segment weighted by its rarity.
    fn duplicate_prefill_tokens(&self, request: &PlacementRequest<'_>, rarity: &[f64]) -> f64 {
        let segments = request.segments.iter().zip(rarity);
        let missing =
            segments.skip_while(|(segment, _)| self.cached_segments.contains_key(&segment.id));
        missing
            .map(|(segment, rarity)| f64::from(segment.tokens) * rarity)
            .sum()
    }

    fn cost(
        &self,
        request: &PlacementRequest<'_>,
        rarity: &[f64],
        rates: &EngineRates,
        now: Time,
    ) -> (f64, f64) {
        let total = self.total_load();
        let expected = self.speed.factor(now) * self.baseline_ttft_ms(request, total, rates);
        let domain_cost = if self.cross_domain {
            CROSS_DOMAIN_COST_MS
        } else {
            0.0
        };
        let concurrency_cost = RUNNING_REQUEST_COST_MS * f64::from(total.running_requests);
        let failure_cost = MAX_FAILURE_COST_MS * self.failure_rate * self.failure_rate;
        let prefill_cost = DUPLICATE_PREFILL_COST_FACTOR
            * self.duplicate_prefill_tokens(request, rarity)
            / rates.prefill_rate();
        (
            expected,
            expected
                + domain_cost
                + concurrency_cost
                + failure_cost
                + prefill_cost
                + self.warm_up.cost_ms(now),
        )
    }

    fn cache_segments(&mut self, segments: &[PromptSegment], now: Time) {
        for segment in segments {
            let cached = (segment.tokens, now);
            let old = self.cached_segments.insert(segment.id, cached);
            let old_tokens = old.map_or(0, |(tokens, _)| u64::from(tokens));
            self.cached_tokens += u64::from(segment.tokens);
            self.cached_tokens -= old_tokens;
        }
        self.evict_segments();
    }

    /// Removes the least recently used segments that exceed the assumed cache size.
    fn evict_segments(&mut self) {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let available = (MAX_CACHED_KV_FRACTION * self.capacity.kv_tokens as f64) as u64;
        while self.cached_tokens > available {
            let oldest = self.cached_segments.iter().min_by_key(|(_, (_, at))| *at);
            let Some((&id, &(tokens, _))) = oldest else {
                return;
            };
            self.cached_segments.remove(&id);
            self.cached_tokens -= u64::from(tokens);
        }
    }
}

/// The engines of one service.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    engines: Map<u64, EngineState>,
    /// The rates of the service's engines.
    rates: EngineRates,
    /// The engines on which each peer has reported load.
    peer_engines: Map<u64, Vec<u64>>,
    /// The engines on which each unheard peer had reported load.
    unheard_engines: Map<u64, Vec<u64>>,
}

impl EnginePool {
    /// Adds an engine, or updates its capacity and domain.
    pub fn upsert(&mut self, engine: u64, capacity: EngineCapacity, cross_domain: bool) {
        let state = self
            .engines
            .entry(engine)
            .or_insert_with(|| EngineState::new(EngineStatus::default()));
        state.capacity = capacity;
        state.cross_domain = cross_domain;
    }

    /// Sets whether the directory excludes an engine. What is known of the load and the
    /// cache of an engine ends with its exclusion, except with an evacuation: requests that
    /// run go on.
    pub fn set_exclusion(&mut self, engine: u64, exclusion: Option<Exclusion>) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            let ends = exclusion.is_some_and(|exclusion| exclusion != Exclusion::Evacuated);
            let begins = ends && !engine.status.is_excluded();
            engine.status.set_exclusion(exclusion);
            if begins {
                *engine = EngineState {
                    capacity: engine.capacity,
                    cross_domain: engine.cross_domain,
                    warm_up: std::mem::take(&mut engine.warm_up),
                    ..EngineState::new(engine.status)
                };
            }
        }
    }

    /// Returns whether an engine takes new requests; an unknown one has ended.
    #[must_use]
    pub fn availability(&self, engine: u64, now: Time) -> Availability {
        let engine = self.engines.get(&engine);
        engine.map_or(Availability::Excluded(Exclusion::Ended), |engine| {
            engine.status.at(now)
        })
    }

    /// Returns whether each engine takes new requests.
    pub fn availabilities(&self, now: Time) -> impl Iterator<Item = Availability> + '_ {
        self.engines
            .values()
            .map(move |engine| engine.status.at(now))
    }

    /// Returns the time until the first pause ends if all engines that aren't excluded have
    /// asked for one.
    #[must_use]
    pub fn pause_left(&self, now: Time) -> Option<Span> {
        let mut first: Option<Time> = None;
        for availability in self.availabilities(now) {
            match availability {
                Availability::Excluded(_) => {}
                Availability::Paused { until } => {
                    first = Some(first.map_or(until, |first| first.min(until)));
                }
                Availability::Available | Availability::Backoff { .. } => return None,
            }
        }
        first.map(|until| now.until(until))
    }

    /// Keeps the engines for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.engines.retain(|&id, _| keep(id));
    }

    /// Returns what was learned of the engines' rates.
    #[must_use]
    pub fn rates(&self) -> &EngineRates {
        &self.rates
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether the pool is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the rarity of each segment of the prompt: the reciprocal of the number of
    /// engines that have cached it, or zero where none has.
    fn segment_rarity(&self, request: &PlacementRequest<'_>) -> Vec<f64> {
        let rarity = |segment: &PromptSegment| {
            let is_cached = |engine: &&EngineState| {
                !engine.status.is_excluded() && engine.cached_segments.contains_key(&segment.id)
            };
            let holders = self.engines.values().filter(is_cached).count();
            let holders = u32::try_from(holders).unwrap_or(u32::MAX);
            if holders == 0 {
                0.0
            } else {
                1.0 / f64::from(holders)
            }
        };
        request.segments.iter().map(rarity).collect()
    }

    /// Selects an engine for `request`.
    ///
    /// # Errors
    ///
    /// Fails where no engine is available, all have asked for a pause, or none can start
    /// the request in time.
    pub fn choose(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Result<EngineChoice, PlacementError> {
        let rarity = self.segment_rarity(request);
        let in_time_ms = MAX_TTFT_FRACTION * request.max_ttft_ms;
        let mut best: Option<(bool, f64, f64, u64, EngineLoad)> = None;
        let mut outside_backoff = true;
        let mut lacks_memory = false;
        for pass in 0..2 {
            for (&id, engine) in &self.engines {
                let availability = engine.status.at(now);
                let is_candidate = availability == Availability::Available
                    || (pass > 0 && availability.allows_requests());
                let is_candidate = is_candidate && engine.warm_up.admits(now);
                if !is_candidate || request.excluded_engines.contains(&id) {
                    continue;
                }
                if !engine.has_memory(request) {
                    lacks_memory = true;
                    continue;
                }
                let (expected, cost) = engine.cost(request, &rarity, &self.rates, now);
                let late = expected > in_time_ms;
                // Where no engine is in time, the earliest one is best.
                let cost = if late { expected } else { cost };
                let is_better = best
                    .is_none_or(|(best_late, best_cost, ..)| (late, cost) < (best_late, best_cost));
                if is_better {
                    let load = EngineLoad {
                        running_requests: 1,
                        prefill_tokens: engine.uncached_tokens(request),
                        kv_tokens: request.prompt_tokens + request.max_output / 2,
                    };
                    best = Some((late, cost, expected, id, load));
                }
            }
            if best.is_some() {
                outside_backoff = pass == 0;
                break;
            }
        }
        if best.is_none() && lacks_memory {
            let prompt = LoadAhead {
                prefill_tokens: request.prompt_tokens,
                running_requests: 0,
            };
            return Err(PlacementError::Overloaded(self.rates.ttft_ms(prompt)));
        }
        let (_, _, expected_ttft_ms, engine, load) = best.ok_or_else(|| {
            self.pause_left(now)
                .or_else(|| self.warm_up_wait(request, now))
                .map_or(PlacementError::NoEngine, PlacementError::Paused)
        })?;
        if outside_backoff && expected_ttft_ms > request.max_ttft_ms {
            return Err(PlacementError::Overloaded(
                expected_ttft_ms - request.max_ttft_ms,
            ));
        }
        let state = self.engines.get(&engine).ok_or(PlacementError::NoEngine)?;
        let total = state.total_load();
        Ok(EngineChoice {
            engine,
            load,
            expected_ttft_ms,
            baseline_ttft_ms: state.baseline_ttft_ms(request, total, &self.rates),
            ahead: state.load_ahead(request, total),
        })
    }

    /// Records that a request was sent to the selected engine.
    pub fn record_dispatch(
        &mut self,
        choice: &EngineChoice,
        segments: &[PromptSegment],
        now: Time,
    ) {
        if let Some(engine) = self.engines.get_mut(&choice.engine) {
            engine.own_load.add(choice.load);
            engine.warm_up.reserve();
            engine.cache_segments(segments, now);
        }
    }

    /// Records the first event of a response after `ttft_ms`; its prefill is complete.
    ///
    /// Returns the remaining load of the request.
    pub fn record_first_event(
        &mut self,
        choice: &EngineChoice,
        ttft_ms: f64,
        now: Time,
    ) -> EngineLoad {
        let mut load = choice.load;
        let count = self.engines.len();
        if let Some(engine) = self.engines.get_mut(&choice.engine) {
            let prefill = EngineLoad {
                prefill_tokens: load.prefill_tokens,
                ..EngineLoad::default()
            };
            engine.own_load.subtract(prefill);
            engine.status.record_response();
            if engine.capacity.kv_tokens > 0 {
                let ratio = self
                    .rates
                    .record(choice.engine, count, choice.ahead, ttft_ms);
                engine.speed.record(ratio, now);
            }
        }
        load.prefill_tokens = 0;
        load
    }

    /// Records that a request has ended.
    pub fn record_completion(&mut self, engine: u64, load: EngineLoad, failed: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.own_load.subtract(load);
            let sample = if failed { 1.0 } else { 0.0 };
            engine.failure_rate += EWMA_WEIGHT * (sample - engine.failure_rate);
        }
    }

    /// Records that an engine was unreachable or had no capacity, and starts its backoff.
    pub fn record_unavailable(&mut self, engine: u64, now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.status.record_unavailable(now);
        }
    }

    /// Records that an engine asked for a pause.
    pub fn record_pause(&mut self, engine: u64, pause: Span, now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.status.record_pause(pause, now);
        }
    }

    /// Returns this entry's load on each engine with running requests.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, EngineLoad)> + '_ {
        let loaded_engines = self
            .engines
            .iter()
            .filter(|(_, e)| e.own_load.running_requests > 0);
        loaded_engines.map(|(&id, engine)| (id, engine.own_load))
    }

    /// Replaces the load that the entry `peer` reports on all engines.
    pub fn set_peer_load(&mut self, peer: u64, loads: &[(u64, EngineLoad)]) {
        for id in self.unheard_engines.remove(&peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.unheard_tokens.remove(&peer);
            }
        }
        for id in self.peer_engines.remove(&peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.set_peer_load(peer, None);
            }
        }
        let mut loaded = Vec::with_capacity(loads.len());
        for &(id, load) in loads {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.set_peer_load(peer, Some(load));
                loaded.push(id);
            }
        }
        if !loaded.is_empty() {
            self.peer_engines.insert(peer, loaded);
        }
    }

    /// Records that another entry sent a prompt with `segments` to an engine.
    pub fn record_peer_dispatch(&mut self, engine: u64, segments: &[PromptSegment], now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.cache_segments(segments, now);
        }
    }

    /// Records that a peer isn't heard any more. Its requests may still run and hold memory.
    pub fn silence_peer(&mut self, peer: u64) {
        let Some(ids) = self.peer_engines.remove(&peer) else {
            return;
        };
        for id in &ids {
            if let Some(engine) = self.engines.get_mut(id) {
                let load = engine.peer_loads.get(&peer).copied().unwrap_or_default();
                engine.set_peer_load(peer, None);
                engine.unheard_tokens.insert(peer, load.kv_tokens);
            }
        }
        self.unheard_engines.insert(peer, ids);
    }

    /// Removes the load of a peer that has left.
    pub fn remove_peer(&mut self, peer: u64) {
        self.set_peer_load(peer, &[]);
    }
}
