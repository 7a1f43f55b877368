//! Finds prompt segments that crash engines, and blocks requests that contain them.
//!
//! A request is suspect if its engine closes the connection before the first event of its
//! answer. Sound requests at the same engine are suspect too, so one crash shows little. A
//! segment is blocked once several engines, one after the other, have crashed on suspect
//! requests with it and none has answered a request with it in between. Segments with many
//! earlier answers need more crashes. Nothing is blocked unless other requests are answered
//! meanwhile: if all engines fail, no segment is the cause.
//!
//! The last segment of a prompt belongs to its request or session alone and isn't recorded,
//! so that memory depends on shared segments only. Entries exchange [`CrashNews`].
//!
//! Load pattern: a few requests in a hundred, at any entry and without a common caller,
//! contain the segment. All their other segments also occur in sound requests.

use std::collections::VecDeque;

use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::metadata::PromptSegment;

/// Least number of crashes since its last answer for which a segment is blocked.
const MIN_CRASHES: usize = 3;

/// Number of earlier answers for which one more crash is needed.
const ANSWERS_PER_CRASH: usize = 8;

/// Most crashes that are needed.
const MAX_CRASHES: usize = 12;

/// Crashes closer together count as one: engines of a failure domain end at once.
const CRASH_SPACING: Span = Span::millis(250);

/// Time for which a crash counts.
const CRASH_TTL: Span = Span::secs(60);

/// Age up to which crashes and answers are told to peers: longer than the partition of a
/// single instance.
const NEWS_TTL: Span = Span::secs(12);

/// Time for which a segment is blocked.
const BLOCK_TTL: Span = Span::secs(600);

/// Maximum number of recorded crashes.
const MAX_RECORDED_CRASHES: usize = 64;

/// Maximum number of segments recorded for one crash.
const MAX_CRASH_SEGMENTS: usize = 64;

/// Maximum number of segments whose answers are recorded.
const MAX_ANSWERED_SEGMENTS: usize = 8_192;

/// Maximum number of blocked segments.
const MAX_BLOCKED_SEGMENTS: usize = 256;

/// An engine that crashed, and segments of the suspect requests at it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The key of the engine's run.
    pub engine: u64,
    /// The identifiers of the segments.
    pub segments: Vec<u64>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// What an entry tells its peers of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Crashes that the sender knows.
    pub crashes: Vec<CrashReport>,
    /// Segments of these with the age of their last answer, in milliseconds.
    pub answered: Vec<(u64, u64)>,
    /// Blocked segments with the time for which they stay blocked, in milliseconds.
    pub blocked: Vec<(u64, u64)>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.blocked.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Crash {
    engine: u64,
    segments: Vec<u64>,
    at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Answers {
    last: Time,
    count: usize,
}

/// The answers and crashes that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct CrashSuspects {
    answers: Map<u64, Answers>,
    crashes: VecDeque<Crash>,
    /// The end of each block.
    blocked: Map<u64, Time>,
    /// The time of the last answer under any segments.
    last_answer: Option<Time>,
}

/// Returns the segments that other requests may share: all but the last.
fn shared_segments(segments: &[PromptSegment]) -> impl Iterator<Item = u64> + '_ {
    let (_, shared) = segments.split_last().unzip();
    let shared: &[PromptSegment] = shared.unwrap_or_default();
    shared.iter().map(|segment| segment.id)
}

/// Returns the time `ms` before `now`.
fn before(now: Time, ms: u64) -> Time {
    Time(now.0.saturating_sub(Span::millis(ms).0))
}

impl CrashSuspects {
    /// Returns the blocked segment of a prompt, if it has one.
    #[must_use]
    pub fn blocked_segment(&self, segments: &[PromptSegment], now: Time) -> Option<u64> {
        if self.blocked.is_empty() {
            return None;
        }
        shared_segments(segments).find(|id| self.blocked.get(id).is_some_and(|&end| now < end))
    }

    /// Returns whether engines have answered requests with each shared segment of a prompt.
    /// Otherwise the prompt may be what crashed its engine, and another one would follow.
    #[must_use]
    pub fn is_proven(&self, segments: &[PromptSegment]) -> bool {
        shared_segments(segments).all(|id| self.answers.contains_key(&id))
    }

    /// Records that an engine has answered a request.
    pub fn record_answer(&mut self, segments: &[PromptSegment], now: Time) {
        self.last_answer = Some(now);
        for id in shared_segments(segments) {
            self.record_segment_answer(id, now);
        }
    }

    fn record_segment_answer(&mut self, id: u64, at: Time) {
        if self.answers.len() >= MAX_ANSWERED_SEGMENTS && !self.answers.contains_key(&id) {
            self.forget_older_half();
        }
        let known = self
            .answers
            .entry(id)
            .or_insert(Answers { last: at, count: 0 });
        known.last = known.last.max(at);
        known.count += 1;
    }

    /// Removes the half of the segments whose last answers are oldest.
    fn forget_older_half(&mut self) {
        let mut times: Vec<Time> = self.answers.values().map(|answers| answers.last).collect();
        let midpoint = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(midpoint);
        self.answers.retain(|_, answers| answers.last > median);
    }

    /// Records that the run `engine` closed the connection of a request before the first
    /// event of its answer. Returns the segments that are blocked from now on.
    pub fn record_crash(&mut self, engine: u64, segments: &[PromptSegment], now: Time) -> Vec<u64> {
        let ids: Vec<u64> = shared_segments(segments).collect();
        self.add_crash(engine, &ids, now);
        self.block_suspects(now)
    }

    fn add_crash(&mut self, engine: u64, segments: &[u64], at: Time) {
        if segments.is_empty() {
            return;
        }
        let known = self.crashes.iter().position(|crash| crash.engine == engine);
        let position = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_RECORDED_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash {
                engine,
                segments: Vec::new(),
                at,
            });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[position];
        for &id in segments {
            if crash.segments.len() < MAX_CRASH_SEGMENTS && !crash.segments.contains(&id) {
                crash.segments.push(id);
            }
        }
    }

    /// Blocks the segments that have become suspect; returns them.
    ///
    /// Segments without any answer come first. Those with answers often occur in the same
    /// requests, so crashes that a blocked segment explains don't count against them.
    fn block_suspects(&mut self, now: Time) -> Vec<u64> {
        self.expire(now);
        let named = self.crashes.iter().flat_map(|crash| &crash.segments);
        let mut named: Vec<u64> = named.copied().collect();
        named.sort_unstable();
        named.dedup();
        named.retain(|id| !self.blocked.contains_key(id));
        let (answered, unanswered): (Vec<u64>, Vec<u64>) =
            named.iter().partition(|id| self.answers.contains_key(id));
        let mut added = Vec::new();
        for ids in [unanswered, answered] {
            let suspects: Vec<u64> = ids.into_iter().filter(|&id| self.is_suspect(id)).collect();
            for id in suspects {
                if self.blocked.len() < MAX_BLOCKED_SEGMENTS {
                    self.blocked.insert(id, now + BLOCK_TTL);
                    added.push(id);
                }
            }
        }
        added
    }

    /// Returns whether enough engines have crashed on a segment since its last answer.
    fn is_suspect(&self, id: u64) -> bool {
        let answers = self.answers.get(&id);
        let mut times: Vec<Time> = self
            .crashes
            .iter()
            .filter(|crash| crash.segments.contains(&id) && !self.is_explained(crash))
            .map(|crash| crash.at)
            .filter(|&at| answers.is_none_or(|answers| answers.last < at))
            .collect();
        times.sort_unstable();
        let Some(&first) = times.first() else {
            return false;
        };
        let mut count = 1;
        let mut counted = first;
        for at in times {
            if counted.until(at) >= CRASH_SPACING {
                count += 1;
                counted = at;
            }
        }
        let prior = answers.map_or(0, |answers| answers.count / ANSWERS_PER_CRASH);
        let needed = (MIN_CRASHES + prior).min(MAX_CRASHES);
        count >= needed && self.last_answer.is_some_and(|at| at > first)
    }

    /// Returns whether a blocked segment was at the engine that crashed.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut segments = crash.segments.iter();
        segments.any(|id| self.blocked.contains_key(id))
    }

    fn expire(&mut self, now: Time) {
        self.crashes.retain(|crash| crash.at.until(now) < CRASH_TTL);
        self.blocked.retain(|_, end| now < *end);
    }

    /// Returns what peers should know.
    #[must_use]
    pub fn news(&self, now: Time) -> CrashNews {
        let recent = |crash: &&Crash| crash.at.until(now) < NEWS_TTL;
        let crashes: Vec<CrashReport> = self
            .crashes
            .iter()
            .filter(recent)
            .map(|crash| CrashReport {
                engine: crash.engine,
                segments: crash.segments.clone(),
                age_ms: crash.at.until(now).as_millis(),
            })
            .collect();
        let mut named: Vec<u64> = crashes.iter().flat_map(|c| c.segments.clone()).collect();
        named.sort_unstable();
        named.dedup();
        let answered = named.into_iter().filter_map(|id| {
            let age = self.answers.get(&id)?.last.until(now);
            (age < NEWS_TTL).then_some((id, age.as_millis()))
        });
        let answered = answered.collect();
        let live = self.blocked.iter().filter(|(_, end)| now < **end);
        let blocked = live.map(|(&id, end)| (id, now.until(*end).as_millis()));
        CrashNews {
            crashes,
            answered,
            blocked: blocked.collect(),
        }
    }

    /// Applies a peer's news. Returns the segments that are blocked from now on.
    pub fn apply_news(&mut self, news: &CrashNews, now: Time) -> Vec<u64> {
        for &(id, age_ms) in &news.answered {
            let at = before(now, age_ms);
            // Peers repeat their news; each answer counts once.
            if self.answers.get(&id).is_none_or(|known| known.last < at) {
                self.record_segment_answer(id, at);
            }
        }
        for report in &news.crashes {
            self.add_crash(report.engine, &report.segments, before(now, report.age_ms));
        }
        let mut added = Vec::new();
        for &(id, remaining_ms) in &news.blocked {
            let end = now + Span::millis(remaining_ms).min(BLOCK_TTL);
            if self.blocked.len() < MAX_BLOCKED_SEGMENTS && !self.blocked.contains_key(&id) {
                self.blocked.insert(id, end);
                added.push(id);
            }
        }
        added.extend(self.block_suspects(now));
        added
    }
}
