//! What a stand-in does wrong on purpose.

/// The faults of one stand-in; counts of tokens or one in so many requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Stalls for good after this many tokens.
    pub stall_after: Option<u64>,
    /// Closes the connection after this many tokens.
    pub close_after: Option<u64>,
    /// Answers under another request's identifier after this many tokens.
    pub cross_after: Option<u64>,
    /// Sends each token of this place twice.
    pub repeat_at: Option<u64>,
    /// Goes on when it's told to cancel.
    pub ignore_cancel: bool,
    /// The faults show in one of this many requests; zero stands for all.
    pub one_in: u64,
    /// Refuses orders with an old fencing number.
    pub checks_fence: bool,
}

impl Faults {
    /// Returns the faults for the request with this number.
    #[must_use]
    pub fn of(&self, number: u64) -> Self {
        if self.one_in == 0 || number.is_multiple_of(self.one_in) {
            *self
        } else {
            Self {
                checks_fence: self.checks_fence,
                ..Self::default()
            }
        }
    }
}
