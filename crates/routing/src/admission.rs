//! Admission control from a latency target, a priority and the caller's remaining time.
//!
//! Under overload, more requests arrive than the engines can start in time. A request
//! that would start too late is rejected immediately, while its caller still has time to
//! retry. Lower priorities of a service are rejected first. A retry finds capacity
//! because Retry-After is the time in which the present backlog drains.

use base::Span;

/// Fraction of the latency target within which the estimated time to first token must
/// lie, by priority. The remainder covers estimation error.
const TARGET_FRACTION_BY_PRIORITY: [f64; 3] = [1.0, 0.85, 0.7];

/// Latency target of a route that sets none, in milliseconds.
const DEFAULT_LATENCY_TARGET_MS: f64 = 500.0;

/// Minimum and maximum retry delay, in milliseconds. With a shorter delay the retry
/// falls into the same burst; callers rarely wait for a longer one.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (150.0, 2_000.0);

/// Maximum fraction of the caller's remaining time that the retry delay may take.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// Returns the maximum acceptable time to first token, in milliseconds.
///
/// `target_ms` is the latency target of the route, zero where it sets none; priority
/// zero is the most urgent.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn max_ttft_ms(target_ms: u64, priority: u8, remaining_ms: u64) -> f64 {
    let target = if target_ms == 0 {
        DEFAULT_LATENCY_TARGET_MS
    } else {
        target_ms as f64
    };
    let index = usize::from(priority).min(TARGET_FRACTION_BY_PRIORITY.len() - 1);
    (target * TARGET_FRACTION_BY_PRIORITY[index]).min(remaining_ms as f64)
}

/// Returns the retry delay of a rejected request, in milliseconds, where capacity is
/// expected after `capacity_wait_ms` and the caller has `remaining_ms` left.
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn retry_after_ms(capacity_wait_ms: f64, remaining_ms: u64) -> u64 {
    let max_delay_ms =
        (MAX_RETRY_AFTER_FRACTION * remaining_ms as f64).max(RETRY_AFTER_BOUNDS_MS.0);
    capacity_wait_ms
        .clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1)
        .min(max_delay_ms) as u64
}

/// Returns the retry delay of a request whose engines have all asked for a pause that ends
/// after `pause_ms`, where the caller has `remaining_ms` left. Callers don't wait for more
/// than a third of that.
#[must_use]
pub fn pause_retry_after_ms(pause_ms: u64, remaining_ms: u64) -> u64 {
    pause_ms.min(remaining_ms / 3)
}

/// Time after the start of shutdown in which requests are accepted that may outlive the
/// process. The load balancer needs two health checks, one second apart, to stop sending
/// requests, and new connections may be in flight.
const SHUTDOWN_ACCEPT_WINDOW: Span = Span::millis(2_800);

/// Divisor of the grace period that yields the longest such time.
const ACCEPT_WINDOW_DIVISOR: u64 = 2;

/// A process that shuts down.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Time since its start.
    pub elapsed: Span,
    /// Time from its start to the end of all work.
    pub grace: Span,
}

impl Shutdown {
    /// Returns whether a request is accepted that may last `remaining`; `must_finish` states
    /// that nobody knows what became of it if it's interrupted.
    ///
    /// When the processes of a failure domain are stopped in turn, few others are left and
    /// the load balancer sends callers to a stopping process. A request that may outlive the
    /// process is rejected as not executed, so that the caller uses another process
    /// immediately.
    #[must_use]
    pub fn accepts(self, remaining: Span, must_finish: bool) -> bool {
        let window = SHUTDOWN_ACCEPT_WINDOW.min(Span(self.grace.0 / ACCEPT_WINDOW_DIVISOR));
        let in_window = self.elapsed <= window && !must_finish;
        in_window || self.elapsed.0 + remaining.0 <= self.grace.0
    }
}
