//! Decides what an entry does when an attempt of a request fails.
//!
//! "Not run" needs proof: the order was never sent, or the agent has refused or
//! cancelled the request. A stream that breaks before any frame arrives leaves it
//! unknown whether the request started; a cancellation at the agent can still settle
//! this. After any other failure the outcome is unknown, unless the request may run
//! more than once.

use base::Span;
use base::Time;

use crate::frame::Refusal;
use crate::outcome::NotRun;

/// Maximum number of attempts of a repeatable request.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of times that the stream of one attempt is resumed.
const MAX_RESUMES: u32 = 3;

/// Minimum time before the deadline for another attempt.
const MIN_RETRY_TIME: Span = Span::millis(50);

/// The way in which an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The order cannot have reached the agent.
    NotSent,
    /// The agent reports that the request has not started and will not.
    Refused(Refusal),
    /// The stream broke or stalled before its end.
    StreamBroken,
    /// The agent can no longer be reached.
    AgentUnreachable,
    /// The endpoint failed; the agent reports that the answer is incomplete.
    EndpointFailed,
}

/// The entry's reaction to a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Resume the stream at the same agent.
    Resume,
    /// Send a new attempt to another agent.
    Retry,
    /// Report to the caller that the request did not run.
    NotRun(NotRun),
    /// Report to the caller that the outcome is unknown.
    Unknown,
}

/// The attempts of one request at an entry.
#[derive(Clone, Debug)]
pub struct RetryState {
    deadline: Time,
    repeatable: bool,
    attempt: u32,
    resumes: u32,
    may_have_run: bool,
}

impl RetryState {
    /// Returns the state of a request that has to end by `deadline`.
    #[must_use]
    pub fn new(deadline: Time, repeatable: bool) -> Self {
        Self {
            deadline,
            repeatable,
            attempt: 1,
            resumes: 0,
            may_have_run: false,
        }
    }

    /// Returns the current attempt number, starting at one.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Span {
        now.until(self.deadline)
    }

    /// Records that a part of the answer was received.
    pub fn note_progress(&mut self) {
        self.may_have_run = true;
    }

    /// Decides how to react to a failure; `retry_allowed` is the retry budget's verdict.
    pub fn on_failure(
        &mut self,
        failure: AttemptFailure,
        retry_allowed: bool,
        now: Time,
    ) -> RetryDecision {
        let has_time = self.time_left(now) > MIN_RETRY_TIME;
        match failure {
            AttemptFailure::NotSent => self.retry_or(NotRun::NoEndpoint, retry_allowed, has_time),
            AttemptFailure::Refused(refusal) => self.on_refusal(refusal, retry_allowed, has_time),
            AttemptFailure::StreamBroken if self.resumes < MAX_RESUMES && has_time => {
                self.resumes += 1;
                RetryDecision::Resume
            }
            AttemptFailure::StreamBroken
            | AttemptFailure::AgentUnreachable
            | AttemptFailure::EndpointFailed => {
                if self.repeatable && retry_allowed && has_time && self.attempt < MAX_ATTEMPTS {
                    // Whether this attempt ran remains unknown.
                    self.may_have_run = true;
                    self.next_attempt()
                } else {
                    RetryDecision::Unknown
                }
            }
        }
    }

    fn on_refusal(
        &mut self,
        refusal: Refusal,
        retry_allowed: bool,
        has_time: bool,
    ) -> RetryDecision {
        // If an earlier attempt may have run, the refusal of a later one does not prove
        // that the request did not run.
        let reason = NotRun::Refused(refusal);
        match refusal {
            Refusal::BodyMismatch
            | Refusal::Cancelled
            | Refusal::LeaseExpired
            | Refusal::DeadlinePassed => self.not_run(reason),
            Refusal::NotFound => RetryDecision::Unknown,
            Refusal::Draining
            | Refusal::StaleAgent
            | Refusal::LeaseRevoked
            | Refusal::AtCapacity
            | Refusal::Unreachable => self.retry_or(reason, retry_allowed, has_time),
        }
    }

    fn retry_or(&mut self, reason: NotRun, retry_allowed: bool, has_time: bool) -> RetryDecision {
        if !has_time {
            return self.not_run(NotRun::DeadlinePassed);
        }
        if !retry_allowed || self.attempt >= MAX_ATTEMPTS {
            return self.not_run(reason);
        }
        self.next_attempt()
    }

    fn not_run(&self, reason: NotRun) -> RetryDecision {
        if self.may_have_run {
            RetryDecision::Unknown
        } else {
            RetryDecision::NotRun(reason)
        }
    }

    fn next_attempt(&mut self) -> RetryDecision {
        self.attempt += 1;
        self.resumes = 0;
        RetryDecision::Retry
    }
}
