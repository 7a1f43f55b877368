//! How late the process is, measured by its own timers, and whether it passes callers on.
//!
//! Decided by [`routing::entry_load`].

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use base::Time;
use base::time::Clock;
use fleet::mesh::Pressure;
use fleet::peers::PEER_TIMEOUT;
use routing::entry_load::EntryLoad;
use routing::entry_load::LoadState;
use routing::entry_load::Neighbour;

use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Delay below which peers are told none, so that small changes cause no updates.
const MIN_REPORTED_MS: u16 = 8;

#[derive(Debug, Default)]
struct Measured {
    load: EntryLoad,
    /// The longest delay of a timer since the last update, in milliseconds.
    longest_ms: f64,
    /// A version of the configuration, and its shortest latency target in milliseconds.
    target_ms: (u64, u64),
}

/// Measures the delay of a process.
#[derive(Debug, Default)]
pub struct LoadMonitor {
    measured: Mutex<Measured>,
}

impl LoadMonitor {
    fn measured(&self) -> MutexGuard<'_, Measured> {
        self.measured.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for `duration` and records how much later the process goes on.
    pub async fn sleep(&self, duration: Duration, clock: &Clock) {
        let before = clock.now();
        Timer::after(duration).await;
        let elapsed: Duration = before.until(clock.now()).into();
        let late_ms = elapsed.saturating_sub(duration).as_secs_f64() * 1e3;
        let mut measured = self.measured();
        measured.longest_ms = measured.longest_ms.max(late_ms);
    }

    /// Returns what peers are told.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn pressure(&self) -> Pressure {
        let measured = self.measured();
        let delay_ms = measured.load.delay_ms().min(f64::from(1_u16 << 14)) as u16;
        let is_reported = delay_ms >= MIN_REPORTED_MS;
        Pressure {
            delay_ms: if is_reported {
                1 << delay_ms.ilog2()
            } else {
                0
            },
            shedding: measured.load.state() != LoadState::Serving,
        }
    }

    /// Returns how late the process's own timers run, in milliseconds.
    #[must_use]
    pub fn delay_ms(&self) -> f64 {
        self.measured().load.delay_ms()
    }

    /// Returns whether connections are closed with their next answers.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.measured().load.state() == LoadState::Closing
    }

    /// Decides whether the process passes callers on; returns whether it does.
    pub fn update(&self, shared: &ProcessContext, state: &ProcessState, now: Time) -> bool {
        let own = &shared.own_member;
        let in_domain = state.peers.values().filter(|peer| {
            peer.member.domain == own.domain && peer.is_heard(PEER_TIMEOUT, now) && !peer.leaving
        });
        let neighbours: Vec<Neighbour> = in_domain
            .map(|peer| Neighbour {
                delay_ms: f64::from(peer.pressure.delay_ms),
                is_shedding: peer.pressure.shedding,
            })
            .collect();
        let mut measured = self.measured();
        let version = state.held_config.version();
        if measured.target_ms.0 != version {
            measured.target_ms = (version, shortest_target_ms(state));
        }
        let late_ms = std::mem::take(&mut measured.longest_ms);
        let target_ms = measured.target_ms.1;
        let before = measured.load.state();
        let next = measured.load.update(late_ms, target_ms, &neighbours, now);
        let delay_ms = measured.load.delay_ms();
        drop(measured);
        shared.metrics.record_delay(delay_ms);
        if next != before {
            log::info!(
                "gateway: event=load state={} delay_ms={delay_ms:.0} neighbours={}",
                next.label(),
                neighbours.len()
            );
            if next == LoadState::Unready {
                shared.metrics.load_sheds.inc();
            }
        }
        next != LoadState::Serving
    }
}

fn shortest_target_ms(state: &ProcessState) -> u64 {
    let index = state.site_index.as_deref();
    let routes = index.into_iter().flat_map(|index| &index.site().routes);
    let targets = routes
        .map(|route| route.target_ms)
        .filter(|&target| target > 0);
    targets.min().unwrap_or_default()
}
