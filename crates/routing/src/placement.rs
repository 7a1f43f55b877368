//! The choice among engines by what a request costs there.
//!
//! Reading prompts is what fills a model engine, and parts that it holds needn't be
//! read again. Each entry knows its own requests at once and those of the other
//! entries from their last update, so nobody waits for reports.
//!
//! Load patterns: sessions that return (their parts are at one engine, which is
//! left only where waiting costs more than reading again); bursts (requests that
//! can't start in time are refused at once, the least urgent first); a slow or
//! failing engine (what its requests showed makes it dearer).

use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::call::Part;

/// Tokens that an engine reads in a millisecond beside other work. The sheets name
/// 38 to 39 for an engine that does nothing else.
const READ_RATE: f64 = 30.0;

/// Time to a first event without anything to read, in milliseconds, from the
/// sheets' engines.
const FIRST_MS: f64 = 45.0;

/// Cost of a request to another failure domain, in milliseconds of waiting: its
/// bytes are dear, but cheaper than reading a shared prompt again.
const FAR_MS: f64 = 12.0;

/// Cost of each running request to its neighbours, in milliseconds.
const CROWD_MS: f64 = 0.35;

/// Cost of reading a part that one other engine holds, besides the wait for it, as a
/// multiple of the time that reading takes: the engine is missing to others meanwhile,
/// and two engines then hold the part. From the sheets' price of what is read again
/// against what an answer in time is worth. Parts that many engines hold cost less, so
/// that common ones come to be everywhere and sessions spread.
const REREAD: f64 = 2.0;

/// Part of the longest acceptable time within which an engine counts as in time. The
/// rest covers what arrives before the request does.
const IN_TIME: f64 = 0.75;

/// Part of an engine's memory that running requests may take before others are
/// preempted.
const MEMORY_PART: f64 = 0.9;

/// Part of the memory that is counted on for cached parts.
const CACHE_PART: f64 = 0.75;

/// Weight of the newest observation of an engine's speed and failures.
const LEARN: f64 = 0.15;

/// Bounds on one observation, so that a single outlier decides nothing.
const SEEN: (f64, f64) = (0.3, 8.0);

/// Time in which an observation fades to a third: slow spells last some seconds.
const FADE: Span = Span::millis(4_000);

/// Cost of an engine that fails all its requests, in milliseconds.
const FAILING_MS: f64 = 3_000.0;

/// First rest of an engine that couldn't be reached; doubles up to the longest.
const FIRST_REST: Span = Span::millis(400);

/// Longest rest.
const LONGEST_REST: Span = Span::millis(3_200);

/// What one entry has at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens that must be read before first events.
    pub reading: u64,
    /// Tokens in memory, at most.
    pub held: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.running += other.running;
        self.reading += other.reading;
        self.held += other.held;
    }

    fn take(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.reading = self.reading.saturating_sub(other.reading);
        self.held = self.held.saturating_sub(other.held);
    }
}

/// An engine's size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Requests in one batch, or worked on at once.
    pub slots: u32,
    /// Tokens in memory; zero for a plain service.
    pub memory: u64,
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    size: Size,
    far: bool,
    own: Load,
    others: Map<u64, Load>,
    parts: Map<u64, (u32, Time)>,
    /// Observed time to first events, as a multiple of that of a sound engine.
    slowness: f64,
    /// When that was observed last.
    observed: Time,
    /// Decayed share of requests that failed.
    failing: f64,
    failures: u32,
    rest_until: Time,
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub answer: u64,
    /// The prompt's parts.
    pub parts: &'a [Part],
    /// Longest acceptable time to the first event, in milliseconds.
    pub within_ms: f64,
    /// Engines that were tried already.
    pub tried: &'a [u64],
}

/// A request's place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub engine: u64,
    /// What the request takes there.
    pub load: Load,
    /// Expected time to the first event, in milliseconds.
    pub expected_ms: f64,
    /// The same of a sound engine with this load.
    pub sound_ms: f64,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Full {
    /// No engine is known that could take it.
    Nowhere,
    /// It could not start in time; room is expected after this many milliseconds.
    Busy(f64),
}

impl Engine {
    fn total(&self) -> Load {
        let mut total = self.own;
        for load in self.others.values() {
            total.add(*load);
        }
        total
    }

    /// Returns the prompt's tokens that the engine must read.
    fn unread(&self, wish: &Wish<'_>) -> u64 {
        let held = wish
            .parts
            .iter()
            .map_while(|part| self.parts.get(&part.id).map(|_| u64::from(part.tokens)));
        wish.prompt.saturating_sub(held.sum())
    }

    /// Returns how slow the engine is taken to be; an old observation fades, so that
    /// an engine that has recovered is tried again.
    #[allow(clippy::cast_precision_loss)]
    fn slowness(&self, now: Time) -> f64 {
        let age = self.observed.until(now).0 as f64 / FADE.0 as f64;
        1.0 + (self.slowness - 1.0) * (-age).exp()
    }

    /// Returns the time to the first event of a sound engine with this load.
    #[allow(clippy::cast_precision_loss)]
    fn sound_ms(&self, wish: &Wish<'_>, total: Load) -> f64 {
        if self.size.memory == 0 {
            let slots = f64::from(self.size.slots.max(1));
            let ahead = (f64::from(total.running) + 1.0 - slots).max(0.0);
            return f64::from(total.running) + 10.0 * ahead;
        }
        let read = (total.reading + self.unread(wish)) as f64 / READ_RATE;
        let mut expected = FIRST_MS + read;
        let room = MEMORY_PART * self.size.memory as f64;
        let need = (total.held + wish.prompt + wish.answer / 2) as f64;
        if need > room {
            expected += (need - room) / READ_RATE;
        }
        let over = total.running.saturating_sub(self.size.slots);
        expected + 20.0 * f64::from(over)
    }

    /// Returns the tokens that would be read here though others hold them, each part by
    /// how rare it is.
    fn again(&self, wish: &Wish<'_>, spread: &[f64]) -> f64 {
        let parts = wish.parts.iter().zip(spread);
        let missing = parts.skip_while(|(part, _)| self.parts.contains_key(&part.id));
        missing
            .map(|(part, rare)| f64::from(part.tokens) * rare)
            .sum()
    }

    fn cost(&self, wish: &Wish<'_>, spread: &[f64], total: Load, now: Time) -> (f64, f64) {
        let expected = self.slowness(now) * self.sound_ms(wish, total);
        let far = if self.far { FAR_MS } else { 0.0 };
        let crowd = CROWD_MS * f64::from(total.running);
        let failing = FAILING_MS * self.failing * self.failing;
        let again = REREAD * self.again(wish, spread) / READ_RATE;
        (expected, expected + far + crowd + failing + again)
    }

    fn remember(&mut self, parts: &[Part], now: Time) {
        for part in parts {
            self.parts.insert(part.id, (part.tokens, now));
        }
        self.evict();
    }

    /// Forgets the parts used longest ago beyond what the memory holds.
    fn evict(&mut self) {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let room = (CACHE_PART * self.size.memory as f64) as u64;
        let mut held: u64 = self.parts.values().map(|&(n, _)| u64::from(n)).sum();
        while held > room {
            let oldest = self.parts.iter().min_by_key(|(_, (_, at))| *at);
            let Some((&id, &(tokens, _))) = oldest else {
                return;
            };
            self.parts.remove(&id);
            held -= u64::from(tokens);
        }
    }
}

/// The engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    engines: Map<u64, Engine>,
}

impl Placement {
    /// Adds the engine, or changes its size.
    pub fn admit(&mut self, engine: u64, size: Size, far: bool) {
        let known = self.engines.entry(engine).or_insert_with(|| Engine {
            slowness: 1.0,
            ..Engine::default()
        });
        known.size = size;
        known.far = far;
    }

    /// Keeps the engines for which `keep` holds.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.engines.retain(|&id, _| keep(id));
    }

    /// Returns the number of engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether there is no engine.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns for each part of the prompt how rare it is: one where a single engine
    /// holds it, less where more do, zero where none does.
    fn spread(&self, wish: &Wish<'_>) -> Vec<f64> {
        let rare = |part: &Part| {
            let holds = |engine: &&Engine| engine.parts.contains_key(&part.id);
            let holders = self.engines.values().filter(holds).count();
            let holders = u32::try_from(holders).unwrap_or(u32::MAX);
            if holders == 0 {
                0.0
            } else {
                1.0 / f64::from(holders)
            }
        };
        wish.parts.iter().map(rare).collect()
    }

    /// Chooses an engine for `wish`.
    ///
    /// # Errors
    ///
    /// Fails where no engine could start it in time.
    pub fn choose(&self, wish: &Wish<'_>, now: Time) -> Result<Choice, Full> {
        let spread = self.spread(wish);
        let in_time = IN_TIME * wish.within_ms;
        let mut best: Option<(bool, f64, f64, u64, Load)> = None;
        let mut rested = true;
        for pass in 0..2 {
            for (&id, engine) in &self.engines {
                let resting = engine.rest_until > now;
                if wish.tried.contains(&id) || (pass == 0 && resting) {
                    continue;
                }
                let (expected, cost) = engine.cost(wish, &spread, engine.total(), now);
                let late = expected > in_time;
                // Where none is in time, the soonest one is best.
                let cost = if late { expected } else { cost };
                let better =
                    best.is_none_or(|(was_late, least, ..)| (late, cost) < (was_late, least));
                if better {
                    let load = Load {
                        running: 1,
                        reading: engine.unread(wish),
                        held: wish.prompt + wish.answer / 2,
                    };
                    best = Some((late, cost, expected, id, load));
                }
            }
            if best.is_some() {
                rested = pass == 0;
                break;
            }
        }
        let (_, _, expected_ms, engine, load) = best.ok_or(Full::Nowhere)?;
        if rested && expected_ms > wish.within_ms {
            return Err(Full::Busy(expected_ms - wish.within_ms));
        }
        let chosen = self.engines.get(&engine).ok_or(Full::Nowhere)?;
        Ok(Choice {
            engine,
            load,
            expected_ms,
            sound_ms: chosen.sound_ms(wish, chosen.total()),
        })
    }

    /// Notes that a request was sent to its place.
    pub fn sent(&mut self, choice: &Choice, parts: &[Part], now: Time) {
        if let Some(engine) = self.engines.get_mut(&choice.engine) {
            engine.own.add(choice.load);
            engine.remember(parts, now);
        }
    }

    /// Notes a first event after `took_ms`; the prompt has been read.
    ///
    /// Returns the load that is left.
    pub fn started(&mut self, choice: &Choice, took_ms: f64, now: Time) -> Load {
        let mut load = choice.load;
        if let Some(engine) = self.engines.get_mut(&choice.engine) {
            let read = Load {
                reading: load.reading,
                ..Load::default()
            };
            engine.own.take(read);
            engine.failures = 0;
            if engine.size.memory > 0 {
                let seen = (took_ms / choice.sound_ms.max(1.0)).clamp(SEEN.0, SEEN.1);
                let present = engine.slowness(now);
                engine.slowness = present + LEARN * (seen - present);
                engine.observed = now;
            }
        }
        load.reading = 0;
        load
    }

    /// Notes that a request has ended.
    pub fn ended(&mut self, engine: u64, load: Load, failed: bool) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.own.take(load);
            let seen = if failed { 1.0 } else { 0.0 };
            engine.failing += LEARN * (seen - engine.failing);
        }
    }

    /// Notes that an engine couldn't be reached, or had no room.
    pub fn unreachable(&mut self, engine: u64, now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            let doubled = FIRST_REST.0 << engine.failures.min(3);
            engine.failures += 1;
            engine.rest_until = now + Span(doubled.min(LONGEST_REST.0));
        }
    }

    /// Returns this entry's own load on each engine.
    pub fn own(&self) -> impl Iterator<Item = (u64, Load)> + '_ {
        let used = self.engines.iter().filter(|(_, e)| e.own.running > 0);
        used.map(|(&id, engine)| (id, engine.own))
    }

    /// Takes in the load that the entry `peer` reports on all engines.
    pub fn report(&mut self, peer: u64, loads: &[(u64, Load)]) {
        for engine in self.engines.values_mut() {
            engine.others.remove(&peer);
        }
        for (id, load) in loads {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.others.insert(peer, *load);
            }
        }
    }

    /// Takes in that another entry sent a prompt with `parts` to an engine.
    pub fn learn(&mut self, engine: u64, parts: &[Part], now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.remember(parts, now);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: u64) {
        self.report(peer, &[]);
    }
}
