//! Whether a request is taken, and when a refused one may come back.
//!
//! Load pattern: more arrives than the engines can start in time. A request that
//! would start too late is refused at once, while its caller still has time to come
//! back; the less urgent kinds of a service give way first. Those who come back
//! find room because Retry-After is the time in which the backlog ahead is worked
//! off.

use base::Span;

/// Part of the latency target within which a request must be expected to start, by
/// urgency. The rest covers what the estimate misses.
const WITHIN: [f64; 3] = [1.0, 0.85, 0.7];

/// Latency target assumed where the route names none, in milliseconds.
const DEFAULT_TARGET_MS: f64 = 500.0;

/// Shortest and longest time to send a caller away for, in milliseconds. Shorter
/// ones come back into the same burst; longer ones are rarely waited for.
const AFTER_MS: (f64, f64) = (150.0, 2_000.0);

/// Part of the time left that a caller waits before it comes back.
const AFTER_PART: f64 = 0.3;

/// Returns the longest acceptable time to a first event, in milliseconds.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn within_ms(target_ms: u64, urgency: u8, left_ms: u64) -> f64 {
    let target = if target_ms == 0 {
        DEFAULT_TARGET_MS
    } else {
        target_ms as f64
    };
    let place = usize::from(urgency).min(WITHIN.len() - 1);
    (target * WITHIN[place]).min(left_ms as f64)
}

/// Returns after how many milliseconds a refused caller should come back, where
/// room is expected after `room_ms` and the caller has `left_ms`.
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn retry_after_ms(room_ms: f64, left_ms: u64) -> u64 {
    let most = (AFTER_PART * left_ms as f64).max(AFTER_MS.0);
    room_ms.clamp(AFTER_MS.0, AFTER_MS.1).min(most) as u64
}

/// Time after the order to stop in which any request is taken: the balancer takes
/// two questions, a second apart, and new connections may be on their way.
const STOP_TAKES: Span = Span::millis(2_800);

/// Returns whether a process that was told to stop `since` ago takes a request that
/// may last `left`, where all work ends after `grace`.
///
/// Load pattern: a failure domain whose processes are stopped in turn; the balancer
/// sends callers to a stopping process where few others are left. What may outlive
/// the process is refused as not run, and the caller goes elsewhere at once.
#[must_use]
pub fn takes_while_stopping(since: Span, left: Span, grace: Span) -> bool {
    since <= STOP_TAKES || since.0 + left.0 <= grace.0
}
