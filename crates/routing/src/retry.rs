//! The budget for retries.

/// Retries allowed for a hundred requests.
const PERCENT: u64 = 10;

/// Retries allowed at once, in hundredths.
const BURST: u64 = 1_000;

/// A budget that requests fill and retries draw on.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { credit: BURST }
    }
}

impl RetryBudget {
    /// Notes a request's first attempt.
    pub fn request(&mut self) {
        self.credit = (self.credit + PERCENT).min(BURST);
    }

    /// Returns whether a retry is allowed, and counts it.
    pub fn retry(&mut self) -> bool {
        let allowed = self.credit >= 100;
        if allowed {
            self.credit -= 100;
        }
        allowed
    }
}
