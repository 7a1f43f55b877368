//! The modelled engines.

use std::collections::VecDeque;

use super::Arrival;
use super::DEADLINE_MS;
use super::DOMAINS;
use super::ENGINES;
use super::ROOM;
use super::TICK_MS;

/// Time of a step that gives one token to one request, in microseconds.
pub(crate) const STEP_US: u64 = 20_000;

/// Time that each running request adds to a step, in microseconds.
pub(crate) const CROWD_US: u64 = 1_000;

/// Time to prefill a prompt whose prefix isn't cached, in microseconds.
const PREFILL_US: u64 = 110_000;

/// Time to prefill a prompt whose prefix is cached, in microseconds.
const CACHED_US: u64 = 15_000;

/// Prefixes that an engine caches.
const CACHE: usize = 40;

/// How much slower a slow engine is.
const SLOWNESS: u64 = 3;

/// A request that has left its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Done {
    pub(crate) arrival: Arrival,
    pub(crate) engine: usize,
    pub(crate) at: u64,
    pub(crate) first: u64,
    pub(crate) tokens: u64,
    pub(crate) whole: bool,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    arrival: Arrival,
    prefill: u64,
    first: u64,
    tokens: u64,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    waiting: VecDeque<Arrival>,
    running: Vec<Running>,
    cache: VecDeque<u64>,
    progress: u64,
    slow: bool,
    lost: bool,
}

impl Engine {
    fn cached(&mut self, prefix: u64) -> bool {
        let hit = self.cache.contains(&prefix);
        self.cache.retain(|other| *other != prefix);
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        hit
    }

    fn begin(&mut self, arrival: Arrival) -> bool {
        let hit = self.cached(arrival.prefix);
        self.running.push(Running {
            arrival,
            prefill: if hit { CACHED_US } else { PREFILL_US },
            first: 0,
            tokens: 0,
        });
        hit
    }

    fn tick(&mut self, engine: usize, now: u64) -> Vec<Done> {
        let mut out = Vec::new();
        let speed = if self.slow { SLOWNESS } else { 1 };
        let mut time = TICK_MS * 1_000 / speed;
        // One prompt is prefilled at a time, and holds up the others.
        while time > 0
            && let Some(run) = self.running.iter_mut().find(|run| run.prefill > 0)
        {
            let part = run.prefill.min(time);
            run.prefill -= part;
            time -= part;
        }
        self.progress += time;
        let decoding = self.running.iter().filter(|run| run.prefill == 0).count() as u64;
        let step = STEP_US + CROWD_US * decoding;
        while self.progress >= step && decoding > 0 {
            self.progress -= step;
            for run in self.running.iter_mut().filter(|run| run.prefill == 0) {
                run.tokens += 1;
                if run.tokens == 1 {
                    run.first = now;
                }
            }
        }
        if decoding == 0 {
            self.progress = 0;
        }
        self.running.retain(|run| {
            let whole = run.tokens >= run.arrival.tokens;
            let late = now.saturating_sub(run.arrival.at) > DEADLINE_MS;
            if whole || late {
                out.push(Done {
                    arrival: run.arrival,
                    engine,
                    at: now,
                    first: run.first,
                    tokens: run.tokens,
                    whole,
                });
            }
            !whole && !late
        });
        self.waiting.retain(|arrival| {
            let late = now.saturating_sub(arrival.at) > DEADLINE_MS;
            if late {
                out.push(gone(*arrival, engine, now, 0));
            }
            !late
        });
        out
    }
}

fn gone(arrival: Arrival, engine: usize, at: u64, tokens: u64) -> Done {
    Done {
        arrival,
        engine,
        at,
        first: 0,
        tokens,
        whole: false,
    }
}

/// All engines.
pub(crate) struct Fleet {
    engines: Vec<Engine>,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            engines: vec![Engine::default(); ENGINES],
        }
    }

    pub(crate) fn slow(&mut self, engine: usize) {
        self.engines[engine].slow = true;
    }

    /// Returns the requests that run or wait at an engine.
    pub(crate) fn busy(&self, engine: usize) -> usize {
        self.engines[engine].running.len() + self.engines[engine].waiting.len()
    }

    pub(crate) fn lost(&self, engine: usize) -> bool {
        self.engines[engine].lost
    }

    /// Gives a request to an engine; returns whether its prefix was cached.
    ///
    /// Beyond its room the engine lets it wait.
    pub(crate) fn give(&mut self, engine: usize, arrival: Arrival) -> bool {
        let target = &mut self.engines[engine];
        if target.running.len() < ROOM as usize {
            return target.begin(arrival);
        }
        target.waiting.push_back(arrival);
        target.cache.contains(&arrival.prefix)
    }

    pub(crate) fn tick(&mut self, now: u64) -> Vec<Done> {
        let mut out = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            out.extend(engine.tick(number, now));
            while engine.running.len() < ROOM as usize
                && let Some(arrival) = engine.waiting.pop_front()
            {
                engine.begin(arrival);
            }
        }
        out
    }

    /// Loses a domain's engines with all that they hold.
    pub(crate) fn lose_domain(&mut self, domain: usize) -> Vec<Done> {
        let mut out = Vec::new();
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if number % DOMAINS != domain {
                continue;
            }
            engine.lost = true;
            let running = engine.running.drain(..);
            out.extend(running.map(|run| gone(run.arrival, number, 0, run.tokens)));
            let waiting = engine.waiting.drain(..);
            out.extend(waiting.map(|arrival| gone(arrival, number, 0, 0)));
            engine.cache.clear();
        }
        out
    }

    pub(crate) fn restore_domain(&mut self, domain: usize) {
        for (number, engine) in self.engines.iter_mut().enumerate() {
            if number % DOMAINS == domain {
                engine.lost = false;
            }
        }
    }
}
