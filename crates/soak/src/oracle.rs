//! Collects the observations of callers and engines, and checks the invariants.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use serde::Serialize;

use crate::departures::Departures;
use crate::run::millis;

/// Number of tokens in one event of a stream.
pub const TOKENS_PER_EVENT: u64 = 3;

/// All observations so far.
#[derive(Debug, Default)]
pub struct Observations {
    run_counts: BTreeMap<String, u32>,
    /// Tokens used by each team, as engines count them.
    used_tokens: BTreeMap<String, u64>,
    token_totals: BTreeMap<String, u64>,
    /// Requests whose caller was told that they will not run.
    not_run: BTreeSet<String>,
    acknowledged: u64,
    counts: OutcomeCounts,
    breaches: Vec<String>,
    /// Requests that had run when their connections closed.
    cut_requests: Vec<String>,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Complete answers.
    pub answered: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests refused because the team's total is used up.
    pub exhausted: u64,
    /// Responses that leave open whether the request ran.
    pub failed: u64,
    /// Connections that closed before the answer was complete.
    pub cut: u64,
    /// Those of them whose request an engine had run. The other requests reached a
    /// process that exited before it read them.
    pub cut_running: u64,
    /// Acknowledged configurations.
    pub configured: u64,
}

/// Checks the observations of all callers and engines against the invariants.
#[derive(Debug)]
pub struct Oracle {
    start: Instant,
    observations: Mutex<Observations>,
    departures: Mutex<Departures>,
}

impl Default for Oracle {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            observations: Mutex::default(),
            departures: Mutex::default(),
        }
    }
}

impl Oracle {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn departures(&self) -> MutexGuard<'_, Departures> {
        self.departures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        millis(self.start.elapsed())
    }

    /// Records that a caller sends a request to a process.
    pub fn record_sent(&self, id: &str, process: usize) {
        self.departures().send(id, process, self.now_ms());
    }

    /// Records that a request reaches an engine.
    pub fn record_arrival(&self, id: &str, engine: &str) {
        let breach = self.departures().arrive(id, engine, self.now_ms());
        if let Some(text) = breach {
            self.record_breach(text);
        }
    }

    /// Records that a leaving engine answers a request.
    pub fn record_leaving(&self, id: &str, engine: &str) {
        self.departures().answer_leaving(id, engine);
    }

    /// Records that an engine turned a request away and wants none from its process for
    /// `span_ms`.
    pub fn record_turned_away(&self, id: &str, engine: &str, span_ms: u64) {
        let now_ms = self.now_ms();
        self.departures().turn_away(id, engine, span_ms, now_ms);
    }

    /// Records that a process is killed, stopped, suspended or started.
    pub fn record_disturbance(&self, process: usize) {
        self.departures().disturb(process, self.now_ms());
    }

    /// Records that a process has acknowledged that an engine has ended.
    pub fn record_deregistered(&self, engine: &str) {
        self.departures().deregister(engine, self.now_ms());
    }

    /// Records whether the link to an engine forwards its answers.
    pub fn record_link(&self, engine: &str, is_sound: bool) {
        self.departures().set_link(engine, is_sound, self.now_ms());
    }

    /// Records that an engine starts again.
    pub fn record_engine_start(&self, engine: &str) {
        self.departures().restart(engine);
    }

    /// Records a team's token total, before it is submitted; the highest total applies.
    pub fn set_total(&self, team: &str, total: u64) {
        let mut observations = self.observations();
        let known = observations
            .token_totals
            .entry(team.to_owned())
            .or_default();
        *known = (*known).max(total);
    }

    /// Records that an engine runs a request. Only the first run counts the prompt: a
    /// resumed stream does not use it again.
    pub fn record_run(&self, id: &str, team: &str, prompt: u64, idempotent: bool) {
        let mut observations = self.observations();
        let runs = observations.run_counts.entry(id.to_owned()).or_default();
        *runs += 1;
        let first = *runs == 1;
        if !first && !idempotent {
            observations.add_breach(format!("twice: {id} ran again"));
        }
        if observations.not_run.contains(id) && !idempotent {
            observations.add_breach(format!(
                "refused: {id} runs after its caller was told that it would not"
            ));
        }
        if first {
            observations.add_usage(team, prompt);
        }
    }

    /// Records how many events of a stream reached their caller.
    pub fn record_events(&self, team: &str, events: u64) {
        self.observations()
            .add_usage(team, events * TOKENS_PER_EVENT);
    }

    /// Records the outcome of a caller's request.
    pub fn record_outcome(&self, id: &str, outcome: RequestOutcome, idempotent: bool) {
        if outcome == RequestOutcome::Answered {
            self.departures().pass_on(id, self.now_ms());
        }
        let mut observations = self.observations();
        match outcome {
            RequestOutcome::Answered => observations.counts.answered += 1,
            RequestOutcome::Refused => {
                observations.counts.refused += 1;
                if !idempotent && observations.run_counts.contains_key(id) {
                    observations.add_breach(format!("refused: {id} had run"));
                }
                observations.not_run.insert(id.to_owned());
            }
            RequestOutcome::Exhausted => observations.counts.exhausted += 1,
            RequestOutcome::Failed => observations.counts.failed += 1,
            RequestOutcome::Cut => {
                observations.counts.cut += 1;
                if observations.run_counts.contains_key(id) {
                    observations.counts.cut_running += 1;
                    observations.cut_requests.push(id.to_owned());
                }
            }
            RequestOutcome::Denied(status) => {
                observations.add_breach(format!(
                    "denied: {id}: status {status} though all configurations allow it"
                ));
            }
            RequestOutcome::WrongAnswer(text) => {
                observations.add_breach(format!("mixed: {id}: {text}"));
            }
        }
    }

    /// Records an acknowledged configuration.
    pub fn record_acknowledged(&self, version: u64) {
        let mut observations = self.observations();
        observations.counts.configured += 1;
        observations.acknowledged = observations.acknowledged.max(version);
    }

    /// Returns the highest acknowledged configuration version.
    pub fn acknowledged_version(&self) -> u64 {
        self.observations().acknowledged
    }

    /// Records a read of the configuration that began after `known` was acknowledged.
    pub fn record_read(&self, known: u64, version: u64) {
        if version < known {
            let text = format!(
                "config: version {version} was read after version {known} was acknowledged"
            );
            self.observations().add_breach(text);
        }
    }

    /// Records a broken invariant that was detected elsewhere.
    pub fn record_breach(&self, description: String) {
        self.observations().add_breach(description);
    }

    /// Returns the requests that had run when their connections ended.
    pub fn cut_requests(&self) -> Vec<String> {
        self.observations().cut_requests.clone()
    }

    /// Returns the counts and the descriptions of broken invariants.
    pub fn report(&self) -> (OutcomeCounts, Vec<String>) {
        let observations = self.observations();
        (observations.counts, observations.breaches.clone())
    }
}

impl Observations {
    fn add_breach(&mut self, description: String) {
        self.breaches.push(description);
    }

    fn add_usage(&mut self, team: &str, tokens: u64) {
        let used = self.used_tokens.entry(team.to_owned()).or_default();
        *used += tokens;
        let (used, total) = (*used, self.token_totals.get(team).copied().unwrap_or(0));
        if used > total {
            self.add_breach(format!("budget: {team} used {used} of {total}"));
        }
    }
}

/// The outcome of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete answer arrived.
    Answered,
    /// The response says that the request did not run.
    Refused,
    /// The team's total is used up.
    Exhausted,
    /// The response does not say whether the request ran.
    Failed,
    /// The connection failed before the answer was complete.
    Cut,
    /// The status claims that the configuration doesn't allow the request.
    Denied(u16),
    /// The response is wrong; the text describes how.
    WrongAnswer(&'static str),
}
