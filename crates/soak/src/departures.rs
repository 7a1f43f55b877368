//! Engines that leave, or that want no requests from a process for a time, and the requests
//! that reach them all the same.
//!
//! Times are milliseconds from any common start.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Time after which a process that passed on a leaving engine's answer sends it nothing.
pub const DRAIN_MS: u64 = 2_000;

/// Time for which a process must not have been disturbed before it sends a request that counts
/// after an acknowledged deregistration.
pub const CALM_MS: u64 = 3_000;

/// Time for a process to act on a `Retry-After`.
pub const REACTION_MS: u64 = 500;

/// Number of requests that may reach an engine within the time of a `Retry-After`.
pub const MAX_ARRIVALS: u32 = 2;

/// A process and an engine.
type Pair = (usize, String);

/// The answers of engines, and the requests that they should not get.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    /// Process and time of each request that a caller sent.
    sent: BTreeMap<String, (usize, u64)>,
    /// Engine of each request that a leaving engine answered.
    answered: BTreeMap<String, String>,
    /// When a process passed on the first answer of a leaving engine.
    leaving: BTreeMap<Pair, u64>,
    holds: BTreeMap<Pair, Hold>,
    /// When any process has acknowledged that an engine has ended.
    deregistered: BTreeMap<String, u64>,
    /// Engines whose link delays or loses answers.
    faulty_links: BTreeSet<String>,
    /// When the link of an engine became sound again.
    mended_links: BTreeMap<String, u64>,
    /// When a process was disturbed last.
    disturbed: BTreeMap<usize, u64>,
    reported: BTreeSet<Pair>,
}

/// The time for which an engine wants nothing from a process.
#[derive(Clone, Debug)]
struct Hold {
    /// The request that was turned away.
    told: String,
    from_ms: u64,
    end_ms: u64,
    arrivals: u32,
}

impl Departures {
    /// Records that a caller sends a request to a process.
    pub fn send(&mut self, id: &str, process: usize, now_ms: u64) {
        self.sent.insert(id.to_owned(), (process, now_ms));
    }

    /// Records that a leaving engine answers a request.
    pub fn answer_leaving(&mut self, id: &str, engine: &str) {
        self.answered.insert(id.to_owned(), engine.to_owned());
    }

    /// Records that the answer to a request reached its caller.
    pub fn pass_on(&mut self, id: &str, now_ms: u64) {
        if let Some(engine) = self.answered.remove(id)
            && let Some(&(process, _)) = self.sent.get(id)
        {
            self.leaving.entry((process, engine)).or_insert(now_ms);
        }
    }

    /// Records that an engine turned a request away and wants nothing from its process for
    /// `span_ms`.
    pub fn turn_away(&mut self, id: &str, engine: &str, span_ms: u64, now_ms: u64) {
        let mended = self.mended_links.get(engine).copied().unwrap_or(0);
        // The process of a request that a link has held back may have given it up.
        let arrives = |sent_ms: u64| !self.faulty_links.contains(engine) && sent_ms >= mended;
        let sent = self.sent.get(id);
        if let Some(&(process, _)) = sent.filter(|&&(_, sent_ms)| arrives(sent_ms)) {
            let hold = Hold {
                told: id.to_owned(),
                from_ms: now_ms + REACTION_MS,
                end_ms: now_ms + span_ms,
                arrivals: 0,
            };
            self.holds.insert((process, engine.to_owned()), hold);
        }
    }

    /// Records that a request reaches an engine; returns a description if a rule is broken
    /// by it, once for each process and engine.
    pub fn arrive(&mut self, id: &str, engine: &str, now_ms: u64) -> Option<String> {
        let &(process, sent_ms) = self.sent.get(id)?;
        let pair = (process, engine.to_owned());
        let drained = self.leaving.get(&pair).map(|at| at + DRAIN_MS);
        if drained.is_some_and(|at| sent_ms > at) {
            let text = format!("drain: {id} reaches {engine} through process {process}");
            return self.reported.insert(pair).then_some(text);
        }
        let ended = self.deregistered.get(engine).map(|at| at + DRAIN_MS);
        let calm = self.disturbed.get(&process).map_or(0, |at| at + CALM_MS);
        if ended.is_some_and(|at| sent_ms > at.max(calm)) {
            let text =
                format!("drain: {id} reaches {engine}, which has ended, through process {process}");
            return self.reported.insert(pair).then_some(text);
        }
        let hold = self.holds.get_mut(&pair)?;
        if (hold.from_ms..hold.end_ms).contains(&now_ms) {
            hold.arrivals += 1;
            if hold.arrivals == MAX_ARRIVALS + 1 {
                return Some(format!(
                    "budget: {id} is one request too many from process {process} before {engine} wants some, as it answered {}",
                    hold.told
                ));
            }
        }
        None
    }

    /// Records that a process has acknowledged that an engine has ended; all must know it then.
    pub fn deregister(&mut self, engine: &str, now_ms: u64) {
        self.deregistered.insert(engine.to_owned(), now_ms);
    }

    /// Forgets what answers have told a process: it was restarted, suspended or cut off.
    pub fn disturb(&mut self, process: usize, now_ms: u64) {
        self.disturbed.insert(process, now_ms);
        self.leaving.retain(|(other, _), _| *other != process);
        self.holds.retain(|(other, _), _| *other != process);
    }

    /// Records whether answers of an engine arrive. What is on its way when they stop may be lost.
    pub fn set_link(&mut self, engine: &str, is_sound: bool, now_ms: u64) {
        if is_sound {
            self.faulty_links.remove(engine);
            self.mended_links.insert(engine.to_owned(), now_ms);
        } else {
            self.faulty_links.insert(engine.to_owned());
            self.holds.retain(|(_, other), _| other != engine);
        }
    }

    /// Forgets an engine: it has started again.
    pub fn restart(&mut self, engine: &str) {
        self.deregistered.remove(engine);
        self.answered.retain(|_, other| other != engine);
        self.leaving.retain(|(_, other), _| other != engine);
        self.holds.retain(|(_, other), _| other != engine);
        self.reported.retain(|(_, other)| other != engine);
    }
}
