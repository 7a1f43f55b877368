//! The requests that wait at this entry for room at engines, one room a service.
//!
//! The decisions are those of [`routing::waiting`]; this part owns the rooms, wakes their
//! requests and counts them. A request leaves its room when its [`Place`] is dropped, also if
//! its caller leaves or the process stops.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use base::Map;
use base::Time;
use event_listener::Event;
use futures_lite::FutureExt as _;
use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Latency;
use host::metrics::Metrics;
use routing::urgency::RequestNeed;
use routing::waiting::Refusal;
use routing::waiting::RefusalCause;
use routing::waiting::RoomLimits;
use routing::waiting::StartLimit;
use routing::waiting::Supply;
use routing::waiting::Turn;
use routing::waiting::WaitingRoom;

/// Maximum number of requests that wait for one service.
const MAX_WAITING: usize = 512;

/// Divisor of the process's memory that yields the memory for the bodies of requests that wait
/// for one service.
const MEMORY_DIVISOR: u64 = 16;

/// Bounds of the time after which a waiting request is considered again if nothing was
/// reported, in milliseconds. Peers report their loads that often. It varies, so that entries
/// don't all find the same engine free.
const POLL_BOUNDS_MS: (u64, u64) = (15, 30);

/// The rooms of a process.
pub struct WaitingRooms {
    limits: RoomLimits,
    rooms: Mutex<Map<String, WaitingRoom>>,
    /// Notified when an engine may have room.
    freed: Event,
    waiting_requests: IntGauge,
    waited: Latency,
    refused: Vec<(RefusalCause, IntCounter)>,
}

/// A request's place in a room.
pub struct Place<'a> {
    rooms: &'a WaitingRooms,
    service: &'a str,
    ticket: u64,
    entered: Time,
}

impl WaitingRooms {
    /// Returns the empty rooms of a process with `memory_bytes`, with metrics in `metrics`.
    #[must_use]
    pub fn open(metrics: &Metrics, memory_bytes: u64) -> Self {
        let refused = [
            (RefusalCause::TooLate, "too_late"),
            (RefusalCause::Full, "full"),
            (RefusalCause::Displaced, "displaced"),
            (RefusalCause::Expired, "expired"),
        ];
        Self {
            limits: RoomLimits {
                requests: MAX_WAITING,
                bytes: memory_bytes / MEMORY_DIVISOR,
            },
            rooms: Mutex::default(),
            freed: Event::new(),
            waiting_requests: metrics.gauge("requests_waiting", "Requests that wait for room"),
            waited: metrics.latency_histogram(
                "request_waited_seconds",
                "Time that started requests have waited for room",
            ),
            refused: refused
                .into_iter()
                .map(|(cause, label)| {
                    let name = format!("waiting_refused_{label}");
                    (cause, metrics.counter(&name, "Requests refused for room"))
                })
                .collect(),
        }
    }

    fn rooms(&self) -> MutexGuard<'_, Map<String, WaitingRoom>> {
        self.rooms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `act` with the room of `service`.
    fn with_room<T>(&self, service: &str, act: impl FnOnce(&mut WaitingRoom) -> T) -> T {
        let mut rooms = self.rooms();
        if let Some(room) = rooms.get_mut(service) {
            return act(room);
        }
        let room = rooms.entry(service.to_owned());
        act(room.or_insert_with(|| WaitingRoom::open(self.limits)))
    }

    /// Records a request that arrived, and returns with which expected times to first token it
    /// starts at once.
    pub fn record_arrival(&self, service: &str, need: &RequestNeed, now: Time) -> StartLimit {
        self.with_room(service, |room| {
            room.record_arrival(need, now);
            room.start_limit(need, now)
        })
    }

    /// Lets a request wait whose start was expected `excess_ms` too late.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused.
    pub fn enter<'a>(
        &'a self,
        service: &'a str,
        need: RequestNeed,
        excess_ms: f64,
        supply: Supply,
        now: Time,
    ) -> Result<Place<'a>, Refusal> {
        let entered = self.with_room(service, |room| room.enter(need, excess_ms, supply, now));
        let ticket = entered.inspect_err(|refusal| self.count_refused(*refusal))?;
        self.waiting_requests.inc();
        Ok(Place {
            rooms: self,
            service,
            ticket,
            entered: now,
        })
    }

    /// Wakes the requests that may start.
    pub fn notify_room(&self) {
        self.freed.notify(usize::MAX);
    }

    fn count_refused(&self, refusal: Refusal) {
        for (cause, counter) in &self.refused {
            if *cause == refusal.cause {
                counter.inc();
            }
        }
    }
}

impl Place<'_> {
    /// Waits until the request may try to start again, or until `is_stopping` returns true.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused.
    pub async fn wait_turn(
        &self,
        mut now: impl FnMut() -> Time,
        mut supply: impl FnMut() -> Supply,
        is_stopping: impl Fn() -> bool,
    ) -> Result<(), Refusal> {
        let mut is_tried = true;
        loop {
            let delay = Duration::from_millis(fastrand::u64(POLL_BOUNDS_MS.0..POLL_BOUNDS_MS.1));
            let timer = async {
                Timer::after(delay).await;
            };
            if is_tried {
                self.rooms.freed.listen().or(timer).await;
            } else {
                timer.await;
            }
            if is_stopping() {
                return Ok(());
            }
            let supply = supply();
            let now = now();
            let room = &self.rooms;
            match room.with_room(self.service, |room| room.poll(self.ticket, supply, now)) {
                Turn::Try => return Ok(()),
                Turn::Wait => is_tried = false,
                Turn::Refuse(refusal) => {
                    room.count_refused(refusal);
                    return Err(refusal);
                }
            }
        }
    }

    /// Returns with which expected times to first token the request starts.
    #[must_use]
    pub fn start_limit(&self, now: Time) -> StartLimit {
        self.rooms
            .with_room(self.service, |room| room.waiting_limit(self.ticket, now))
    }

    /// Records that the start was expected `excess_ms` too late.
    pub fn record_blocked(&self, excess_ms: f64) {
        self.rooms
            .with_room(self.service, |room| room.record_blocked(excess_ms));
    }

    /// Records that the request starts.
    pub fn start(self, now: Time) {
        let waited = self.entered.until(now);
        self.rooms.waited.observe(waited.as_secs_f64());
        self.rooms
            .with_room(self.service, |room| room.leave(self.ticket, true, now));
    }

    /// Returns the time since the request entered the room, in milliseconds.
    #[must_use]
    pub fn waited_ms(&self, now: Time) -> u64 {
        self.entered.until(now).as_millis()
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.rooms.waiting_requests.dec();
        self.rooms.with_room(self.service, |room| {
            room.leave(self.ticket, false, self.entered);
        });
    }
}
