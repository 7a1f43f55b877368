//! When an overloaded entry passes callers on to its neighbours.
//!
//! Load pattern: callers keep connections, and a load balancer distributes new ones without
//! regard to the processors behind them. A weak entry then has several times the work that it
//! can do while its neighbours are idle, and all its callers wait.
//!
//! An entry measures how late its own timers run: that is how long everything waits for its
//! processor. If that is too long, and much longer than at its neighbours, the entry first says
//! that it isn't ready. Once the load balancer has noticed, the entry closes connections with
//! their next answers, so that their callers connect elsewhere. It then serves as before, and
//! waits before it may do so again: entries that take turns would only move the load around.

use base::Span;
use base::Time;

/// Weight of the latest sample in the moving average of the delay.
const EWMA_WEIGHT: f64 = 0.3;

/// Fraction of the shortest latency target that the delay may take.
const MAX_TARGET_FRACTION: f64 = 0.25;

/// Latency target if no route has one, in milliseconds.
const DEFAULT_TARGET_MS: f64 = 500.0;

/// Multiple of the neighbours' median delay from which load is passed on.
const MIN_IMBALANCE: f64 = 3.0;

/// Time for which the delay has to be too long.
const MIN_OVERLOAD: Span = Span::millis(600);

/// Time in which the load balancer notices that an entry isn't ready: two checks, one second
/// apart.
const NOTICE_TIME: Span = Span::millis(2_200);

/// Time for which connections are closed.
const CLOSE_TIME: Span = Span::millis(1_500);

/// Time after which load may be passed on again.
const REST_TIME: Span = Span::millis(15_000);

/// Divisor of the number of entries in a failure domain that yields how many may pass load on
/// at the same time.
const MAX_SHARE_DIVISOR: usize = 4;

/// What an entry does with its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// It serves them.
    Serving,
    /// It isn't ready for new connections.
    Unready,
    /// It isn't ready, and closes connections with their next answers.
    Closing,
}

impl LoadState {
    /// The labels of all states, for logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Unready => "unready",
            Self::Closing => "closing",
        }
    }
}

/// A neighbour in the same failure domain that serves callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Neighbour {
    /// Its delay, in milliseconds.
    pub delay_ms: f64,
    /// Whether it passes load on.
    pub is_shedding: bool,
}

/// The load of an entry's own processor.
#[derive(Clone, Debug)]
pub struct EntryLoad {
    delay_ms: f64,
    state: LoadState,
    /// Time since which the delay has been too long.
    overloaded_since: Option<Time>,
    /// When the present state began; for a serving entry, when it last passed load on.
    changed_at: Option<Time>,
}

impl Default for EntryLoad {
    fn default() -> Self {
        Self {
            delay_ms: 0.0,
            state: LoadState::Serving,
            overloaded_since: None,
            changed_at: None,
        }
    }
}

impl EntryLoad {
    /// Returns the moving average of the delay, in milliseconds.
    #[must_use]
    pub fn delay_ms(&self) -> f64 {
        self.delay_ms
    }

    /// Returns what the entry does with its callers.
    #[must_use]
    pub fn state(&self) -> LoadState {
        self.state
    }

    /// Records that a timer ran `delay_ms` late at `now`, and decides what the entry does.
    ///
    /// `target_ms` is the shortest latency target of the configuration, zero if there is none.
    pub fn update(
        &mut self,
        delay_ms: f64,
        target_ms: u64,
        neighbours: &[Neighbour],
        now: Time,
    ) -> LoadState {
        self.delay_ms += EWMA_WEIGHT * (delay_ms - self.delay_ms);
        let elapsed = self.changed_at.map(|at| at.until(now));
        match self.state {
            LoadState::Serving => {
                if !self.is_overloaded(target_ms, neighbours) {
                    self.overloaded_since = None;
                    return self.state;
                }
                let since = *self.overloaded_since.get_or_insert(now);
                let is_rested = elapsed.is_none_or(|elapsed| elapsed >= REST_TIME);
                if is_rested && since.until(now) >= MIN_OVERLOAD && may_leave(neighbours) {
                    self.enter(LoadState::Unready, now);
                }
            }
            LoadState::Unready if elapsed >= Some(NOTICE_TIME) => {
                self.enter(LoadState::Closing, now);
            }
            LoadState::Closing if elapsed >= Some(CLOSE_TIME) => {
                self.enter(LoadState::Serving, now);
            }
            LoadState::Unready | LoadState::Closing => {}
        }
        self.state
    }

    fn enter(&mut self, state: LoadState, now: Time) {
        self.state = state;
        self.changed_at = Some(now);
        self.overloaded_since = None;
    }

    #[allow(clippy::cast_precision_loss)]
    fn is_overloaded(&self, target_ms: u64, neighbours: &[Neighbour]) -> bool {
        let target_ms = match target_ms {
            0 => DEFAULT_TARGET_MS,
            target_ms => target_ms as f64,
        };
        let is_late = self.delay_ms > MAX_TARGET_FRACTION * target_ms;
        is_late && self.delay_ms > MIN_IMBALANCE * median_delay_ms(neighbours)
    }
}

/// Returns whether the neighbours are enough for one more entry to pass load on.
fn may_leave(neighbours: &[Neighbour]) -> bool {
    let shedding = neighbours.iter().filter(|peer| peer.is_shedding).count();
    (shedding + 1) * MAX_SHARE_DIVISOR <= neighbours.len() + 1
}

fn median_delay_ms(neighbours: &[Neighbour]) -> f64 {
    let mut delays: Vec<f64> = neighbours.iter().map(|peer| peer.delay_ms).collect();
    delays.sort_by(f64::total_cmp);
    delays.get(delays.len() / 2).copied().unwrap_or(f64::MAX)
}
