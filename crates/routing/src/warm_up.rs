//! Bounds the requests to engines that are cold, over all entries together.
//!
//! A service states how many requests per second a cold engine bears. Entries can't count
//! together in time, least of all while they are cut off from each other. So the bound is
//! divided beforehand: each entry has a number from the replicated log, which no other entry
//! ever has, and a fixed table assigns the requests of each window to numbers. An entry
//! without a number, or with one beyond the table, sends nothing to a cold engine.
//!
//! An entry counts a request from the decision until one window after the request was sent,
//! since a connection may have to be opened between the two.

use std::collections::VecDeque;

use base::Span;
use base::Time;

/// The number of entries among which a bound is divided. Further entries leave cold engines
/// to these.
const SHARING_ENTRIES: u32 = 32;

/// The window of the bound, which is stated per second, with a margin for timers and for
/// requests that take a different time to arrive.
const WINDOW: Span = Span::millis(1_200);

/// Time after its start for which an entry sends nothing to cold engines, so that requests of
/// its earlier run have left the window.
pub const START_DELAY: Span = WINDOW;

/// Cost of a cold engine, in milliseconds of waiting. It decides between engines that are alike
/// otherwise; the bound keeps the others from being flooded.
const COLD_COST_MS: f64 = 20.0;

/// What cold engines of a service bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound {
    /// The requests per second that a cold engine bears.
    pub rate: f64,
    /// The factor by which the rate may be exceeded.
    pub overrun: f64,
    /// The requests per second that may come on top.
    pub tolerance: f64,
}

impl WarmUpBound {
    /// Returns the maximum number of requests in any second, from all entries together.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn max_requests(&self) -> u32 {
        (self.rate * self.overrun + self.tolerance).max(0.0) as u32
    }

    /// Returns the part of [`Self::max_requests`] that the entry with this number may send;
    /// nothing if it has no number. The parts of all numbers add up to the whole.
    #[must_use]
    pub fn share(&self, entry: Option<u32>) -> u32 {
        let total = self.max_requests();
        match entry {
            Some(entry) if entry < SHARING_ENTRIES => {
                total / SHARING_ENTRIES + u32::from(entry < total % SHARING_ENTRIES)
            }
            _ => 0,
        }
    }
}

/// Whether one engine is cold, and what this entry has sent it lately.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    /// Until when the engine is cold, by its announcements.
    cold_until: Time,
    /// Until when it's taken to be cold, whatever it announces.
    presumed_until: Time,
    /// This entry's part of the bound; `None` if the service states no bound.
    share: Option<u32>,
    /// Requests that were assigned to the engine and not sent yet.
    reserved: u32,
    /// The end of the window of each request that was sent lately.
    windows: VecDeque<Time>,
}

impl WarmUp {
    /// Sets until when the engine is cold, and this entry's part of the bound.
    pub fn set_cold_until(&mut self, cold_until: Time, share: Option<u32>) {
        self.cold_until = cold_until;
        self.share = share;
    }

    /// Takes the engine to be cold until `until` at least, whatever it announces.
    pub fn presume_cold(&mut self, until: Time) {
        self.presumed_until = self.presumed_until.max(until);
    }

    /// Returns how long the engine stays cold; zero if it's warm or its service states no bound.
    #[must_use]
    pub fn time_left(&self, now: Time) -> Span {
        let until = self.cold_until.max(self.presumed_until);
        self.share.map_or(Span(0), |_| now.until(until))
    }

    /// Returns whether the engine is cold and its service states a bound.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        self.time_left(now) > Span(0)
    }

    /// Returns whether a request may be assigned to the engine now.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        self.wait(now).is_none()
    }

    /// Returns how long no request may be assigned to the engine, as far as it is known, or
    /// `None` if one may.
    #[must_use]
    pub fn wait(&self, now: Time) -> Option<Span> {
        let share = self.share.filter(|_| self.is_cold(now))?;
        let open = self.windows.iter().filter(|&&end| end > now);
        let count = u32::try_from(open.count()).unwrap_or(u32::MAX);
        if count.saturating_add(self.reserved) < share {
            return None;
        }
        let warm = self.time_left(now);
        let next = self.windows.iter().find(|&&end| end > now);
        let next = next.filter(|_| share > 0).map(|&end| now.until(end));
        Some(next.map_or(warm, |next| next.min(warm)))
    }

    /// Returns the cost of sending a request to the engine because it is cold.
    #[must_use]
    pub fn cost_ms(&self, now: Time) -> f64 {
        if self.is_cold(now) { COLD_COST_MS } else { 0.0 }
    }

    /// Counts a request that was assigned to the engine. Requests count also while the engine
    /// is warm: it may turn out to have become cold before.
    pub fn reserve(&mut self) {
        if self.share.is_some() {
            self.reserved += 1;
        }
    }

    /// Records that a request counted by [`Self::reserve`] was sent.
    pub fn record_sent(&mut self, now: Time) {
        self.release();
        self.windows.retain(|&end| end > now);
        if self.share.is_some() {
            self.windows.push_back(now + WINDOW);
        }
    }

    /// Records that a request counted by [`Self::reserve`] isn't sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }
}
