//! The retry budget of one entry, from the requests and retries that it sends.

/// Retries allowed per hundred requests.
const RETRY_PERCENT: u64 = 10;

/// Maximum credit, in hundredths of a retry. It bounds a burst of retries.
const MAX_CREDIT_HUNDREDTHS: u64 = 1_000;

/// A budget that each request credits and each retry debits.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: MAX_CREDIT_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + RETRY_PERCENT).min(MAX_CREDIT_HUNDREDTHS);
    }

    /// Returns whether a retry is allowed, and debits it.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.credit >= 100;
        if allowed {
            self.credit -= 100;
        }
        allowed
    }
}
