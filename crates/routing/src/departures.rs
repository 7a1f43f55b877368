//! The departures of engines that the replicated log has committed.
//!
//! The phase of a run only advances and a later run replaces an earlier one, so a departure may
//! be recorded again, and processes may learn of it in any order. It is kept for as long as
//! announcements of its run may still arrive, by the time of the log, which stands still while
//! no replica runs.

use std::collections::BTreeMap;

use base::Span;
use serde::Deserialize;
use serde::Serialize;

use crate::directory::ENGINE_TTL;
use crate::directory::EngineAnnouncement;
use crate::directory::Phase;

/// Time for which a departure is kept.
pub const DEPARTURE_TTL: Span = ENGINE_TTL;

/// Maximum number of departures that are kept.
pub const MAX_DEPARTURES: usize = 8_192;

/// The state in which an engine left, and when that was committed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    announcement: EngineAnnouncement,
    /// By the time of the log, in milliseconds.
    committed_ms: u64,
}

/// The latest departure of each engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// The number of departures ever recorded.
    revision: u64,
    engines: BTreeMap<String, Departure>,
}

impl Departures {
    /// Records a departure that was committed at `at_ms`, and drops those that have expired.
    ///
    /// Returns false if it isn't recorded: the engine doesn't leave, or there are too many
    /// departures.
    pub fn record(&mut self, announcement: EngineAnnouncement, at_ms: u64) -> bool {
        let ttl_ms = DEPARTURE_TTL.as_millis();
        self.engines
            .retain(|_, known| known.committed_ms.saturating_add(ttl_ms) > at_ms);
        if self.covers(&announcement) {
            return true;
        }
        let is_full = self.engines.len() >= MAX_DEPARTURES;
        let is_known = self.engines.contains_key(&announcement.id);
        if announcement.phase == Phase::Ready || is_full && !is_known {
            return false;
        }
        self.revision += 1;
        let departure = Departure {
            announcement,
            committed_ms: at_ms,
        };
        self.engines
            .insert(departure.announcement.id.clone(), departure);
        true
    }

    /// Returns whether the run of `announcement` is recorded in its phase or a later one, or a
    /// later run of the same engine is.
    #[must_use]
    pub fn covers(&self, announcement: &EngineAnnouncement) -> bool {
        let known = self.engines.get(&announcement.id);
        known.is_some_and(|known| known.announcement.covers(announcement))
    }

    /// Returns the recorded departures.
    #[must_use]
    pub fn to_vec(&self) -> Vec<EngineAnnouncement> {
        let known = self.engines.values();
        known.map(|known| known.announcement.clone()).collect()
    }

    /// Returns the number of recorded departures.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether no departure is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}
