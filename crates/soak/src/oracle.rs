//! What callers and engines have seen, and which promises that breaks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Serialize;

/// Tokens of one event of a stream.
pub const EVENT_TOKENS: u64 = 3;

/// What has been seen.
#[derive(Debug, Default)]
pub struct Seen {
    runs: BTreeMap<String, u32>,
    /// Tokens used by each team, as engines count them.
    used: BTreeMap<String, u64>,
    totals: BTreeMap<String, u64>,
    /// Requests of which a caller was told that they don't run.
    not_run: BTreeSet<String>,
    acknowledged: u64,
    counts: Counts,
    breaches: Vec<String>,
    /// Requests that had run when their connections ended.
    cut_running: Vec<String>,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Whole answers.
    pub answered: u64,
    /// Refusals as not run.
    pub refused: u64,
    /// Refusals for a used total.
    pub exhausted: u64,
    /// Answers of unknown outcome.
    pub failed: u64,
    /// Connections that ended before an answer did.
    pub cut: u64,
    /// Those of them whose request an engine had run. The others crossed the end of
    /// a process that never read them.
    pub cut_running: u64,
    /// Configurations acknowledged.
    pub configured: u64,
}

/// What all callers and engines tell.
#[derive(Debug, Default)]
pub struct Oracle {
    seen: Mutex<Seen>,
}

impl Oracle {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets a team's total before it's sent; only the highest one counts.
    pub fn total(&self, team: &str, total: u64) {
        let mut seen = self.seen();
        let known = seen.totals.entry(team.to_owned()).or_default();
        *known = (*known).max(total);
    }

    /// Notes that an engine runs a request; a stream that goes on brings no prompt.
    pub fn ran(&self, id: &str, team: &str, prompt: u64, repeats: bool) {
        let mut seen = self.seen();
        let runs = seen.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let first = *runs == 1;
        if !first && !repeats {
            seen.breach(format!("twice: {id} ran again"));
        }
        if seen.not_run.contains(id) && !repeats {
            seen.breach(format!(
                "refused: {id} runs after its caller was told it never will"
            ));
        }
        if first {
            seen.uses(team, prompt);
        }
    }

    /// Notes that so many events of a stream have reached their caller.
    pub fn delivered(&self, team: &str, events: u64) {
        self.seen().uses(team, events * EVENT_TOKENS);
    }

    /// Notes how a caller's request ended.
    pub fn ended(&self, id: &str, ended: Ended, repeats: bool) {
        let mut seen = self.seen();
        match ended {
            Ended::Answered => seen.counts.answered += 1,
            Ended::Refused => {
                seen.counts.refused += 1;
                if !repeats && seen.runs.contains_key(id) {
                    seen.breach(format!("refused: {id} had run"));
                }
                seen.not_run.insert(id.to_owned());
            }
            Ended::Exhausted => seen.counts.exhausted += 1,
            Ended::Failed => seen.counts.failed += 1,
            Ended::Cut => {
                seen.counts.cut += 1;
                if seen.runs.contains_key(id) {
                    seen.counts.cut_running += 1;
                    seen.cut_running.push(id.to_owned());
                }
            }
            Ended::Mixed(what) => seen.breach(format!("mixed: {id}: {what}")),
        }
    }

    /// Notes an acknowledged configuration.
    pub fn acknowledged(&self, version: u64) {
        let mut seen = self.seen();
        seen.counts.configured += 1;
        seen.acknowledged = seen.acknowledged.max(version);
    }

    /// Returns the highest acknowledged configuration.
    pub fn newest(&self) -> u64 {
        self.seen().acknowledged
    }

    /// Notes a read of the configuration that began when `known` was acknowledged.
    pub fn read(&self, known: u64, version: u64) {
        if version < known {
            let text = format!("config: {version} was read after {known} was acknowledged");
            self.seen().breach(text);
        }
    }

    /// Notes a promise broken elsewhere.
    pub fn broken(&self, what: String) {
        self.seen().breach(what);
    }

    /// Returns the requests that had run when their connections ended.
    pub fn cut_running(&self) -> Vec<String> {
        self.seen().cut_running.clone()
    }

    /// Returns how requests ended and what was broken.
    pub fn report(&self) -> (Counts, Vec<String>) {
        let seen = self.seen();
        (seen.counts, seen.breaches.clone())
    }
}

impl Seen {
    fn breach(&mut self, what: String) {
        self.breaches.push(what);
    }

    fn uses(&mut self, team: &str, tokens: u64) {
        let used = self.used.entry(team.to_owned()).or_default();
        *used += tokens;
        let (used, total) = (*used, self.totals.get(team).copied().unwrap_or(0));
        if used > total {
            self.breach(format!("budget: {team} used {used} of {total}"));
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With its whole answer.
    Answered,
    /// As not run.
    Refused,
    /// For a used total.
    Exhausted,
    /// Without saying whether it ran.
    Failed,
    /// With the connection.
    Cut,
    /// With what isn't its answer.
    Mixed(&'static str),
}
