//! Faults that a fake engine injects, as counts of tokens and requests.

/// The injected faults of one fake engine. Positions are counts of generated tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Stalls the stream permanently after this many tokens.
    pub stall_after: Option<u64>,
    /// Closes the connection after this many tokens.
    pub close_after: Option<u64>,
    /// Sends another request's identifier after this many tokens.
    pub wrong_id_after: Option<u64>,
    /// Sends the token at this position twice.
    pub repeat_at: Option<u64>,
    /// Ignores cancellation and a closed connection, and continues.
    pub ignore_cancel: bool,
    /// One of this many requests has the faults; zero means every request.
    pub request_interval: u64,
    /// Rejects requests to load a model that carry an old fencing token.
    pub checks_fence: bool,
}

impl Faults {
    /// Returns the faults of the request with this number.
    #[must_use]
    pub fn for_request(&self, number: u64) -> Self {
        if self.request_interval == 0 || number.is_multiple_of(self.request_interval) {
            *self
        } else {
            Self {
                checks_fence: self.checks_fence,
                ..Self::default()
            }
        }
    }
}
