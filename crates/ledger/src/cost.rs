//! What a request costs its team, from what is known of its work.
//!
//! Only an engine's statement proves that a request did not run. A request of which nothing
//! is known costs what it may have used.

/// Maximum number of events that may be on their way when a stream is broken off; they are
/// counted as delivered.
const MAX_IN_FLIGHT_EVENTS: u64 = 2;

/// The tokens that a request states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTokens {
    /// The length of the prompt.
    pub prompt: u64,
    /// The maximum length of the output.
    pub max_output: u64,
    /// The maximum number of tokens in one event of a stream.
    pub per_event: u64,
}

/// What is known of the work on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// No engine received it, or each one that did stated that it did not run it.
    NotRun,
    /// An engine may have run it, and this number of events has arrived.
    Unknown(u64),
    /// An engine has answered it with this number of events.
    Events(u64),
    /// An engine has answered it without events, so that its output can't be counted.
    Eventless,
}

impl RequestTokens {
    /// Returns the most that the request can cost.
    #[must_use]
    pub fn max_cost(&self) -> u64 {
        self.prompt.saturating_add(self.max_output)
    }

    /// Returns what the request costs, or may have cost.
    #[must_use]
    pub fn cost(&self, work: Work) -> u64 {
        let events = match work {
            Work::NotRun => return 0,
            Work::Unknown(events) => events.saturating_add(MAX_IN_FLIGHT_EVENTS),
            Work::Events(events) => events,
            Work::Eventless => return self.max_cost(),
        };
        let output = events.saturating_mul(self.per_event);
        self.prompt.saturating_add(output.min(self.max_output))
    }
}
