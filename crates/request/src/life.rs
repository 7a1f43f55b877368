//! An entry's decisions when an attempt fails.
//!
//! A stream that breaks before any part came leaves a doubt, which a tombstone at
//! the agent can still settle. "Not run" needs proof: the order never left, or the agent has refused it or
//! put down a tombstone. Whatever else fails leaves the outcome unknown, unless
//! the request may be repeated.

use base::Span;
use base::Time;

use crate::frame::Refusal;
use crate::outcome::NotRun;

/// Most attempts of a repeatable request.
const MAX_ATTEMPTS: u32 = 4;

/// Most times that one attempt's stream is taken up again.
const MAX_RESUMES: u32 = 3;

/// The least time that must be left for another attempt.
const LEAST_LEFT: Span = Span::millis(50);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The order can't have reached the agent.
    NeverSent,
    /// The agent says that the request hasn't started and won't.
    Refused(Refusal),
    /// The stream broke or stalled before its end.
    Broken,
    /// The agent can't be reached any more.
    Unreachable,
    /// The endpoint failed; the agent says that the answer isn't whole.
    Failed,
}

/// What an entry does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Takes the stream up again at the same agent.
    Resume,
    /// Sends a new attempt to another agent.
    Retry,
    /// Tells the caller that the request did not run.
    NotRun(NotRun),
    /// Tells the caller that the outcome is unknown.
    Unknown,
}

/// The life of one request at an entry.
#[derive(Clone, Debug)]
pub struct Life {
    deadline: Time,
    repeatable: bool,
    attempt: u32,
    resumes: u32,
    started: bool,
}

impl Life {
    /// Returns the life of a request that must end by `deadline`.
    #[must_use]
    pub fn new(deadline: Time, repeatable: bool) -> Self {
        Self {
            deadline,
            repeatable,
            attempt: 1,
            resumes: 0,
            started: false,
        }
    }

    /// Returns the present attempt, counted from one.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns how much longer the caller waits.
    #[must_use]
    pub fn left(&self, now: Time) -> Span {
        now.until(self.deadline)
    }

    /// Notes that a part of the answer came.
    pub fn sent(&mut self) {
        self.started = true;
    }

    /// Decides what follows a failure; `budget` says whether a retry is allowed.
    pub fn failed(&mut self, failure: Failure, budget: bool, now: Time) -> Next {
        let time = self.left(now) > LEAST_LEFT;
        match failure {
            Failure::NeverSent => self.retry_or(NotRun::NoEndpoint, budget, time),
            Failure::Refused(refusal) => self.refused(refusal, budget, time),
            Failure::Broken if self.resumes < MAX_RESUMES && time => {
                self.resumes += 1;
                Next::Resume
            }
            Failure::Broken | Failure::Unreachable | Failure::Failed => {
                if self.repeatable && budget && time && self.attempt < MAX_ATTEMPTS {
                    // What became of this attempt stays unknown.
                    self.started = true;
                    self.next_attempt()
                } else {
                    Next::Unknown
                }
            }
        }
    }

    fn refused(&mut self, refusal: Refusal, budget: bool, time: bool) -> Next {
        // After a first attempt that may have run, a refusal of a later one says
        // nothing of the first.
        let last = NotRun::Refused(refusal);
        match refusal {
            Refusal::OtherBody | Refusal::Tombstone | Refusal::Lapsed | Refusal::Late => {
                self.end(last)
            }
            Refusal::Absent => Next::Unknown,
            Refusal::Leaving | Refusal::Gone | Refusal::Barred | Refusal::Full | Refusal::Down => {
                self.retry_or(last, budget, time)
            }
        }
    }

    fn retry_or(&mut self, reason: NotRun, budget: bool, time: bool) -> Next {
        if !time {
            return self.end(NotRun::Deadline);
        }
        if !budget || self.attempt >= MAX_ATTEMPTS {
            return self.end(reason);
        }
        self.next_attempt()
    }

    fn end(&self, reason: NotRun) -> Next {
        if self.started {
            Next::Unknown
        } else {
            Next::NotRun(reason)
        }
    }

    fn next_attempt(&mut self) -> Next {
        self.attempt += 1;
        self.resumes = 0;
        Next::Retry
    }
}
