//! The engines that announce themselves, by identifier and run.
//!
//! Announcements arrive late, twice and out of order, also after their sender's
//! run has ended. A run is named by the instant of its start; within a run,
//! announcements count up. What is older than what is known changes nothing.

use std::net::SocketAddrV4;

use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

/// How long the end of a run is remembered. Announcements that were held up by a
/// partition arrive within this time.
const MEMORY: Span = Span::millis(120_000);

/// What an engine takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// New requests.
    Ready,
    /// No new requests; it finishes what it has.
    Draining,
    /// Nothing: the run has ended or ends soon.
    Gone,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The engine's identifier.
    pub id: String,
    /// The start of this run, in milliseconds of the Unix clock.
    pub born: u64,
    /// Counts up within a run.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it takes.
    pub phase: Phase,
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing: it's older than what is known.
    Stale,
    /// Only the time at which the engine was last heard.
    Heard,
    /// What the engine takes, or which run it is.
    Changed,
}

/// An engine and when it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The latest announcement.
    pub said: Announcement,
    /// When it was last heard, by this process's clock.
    pub heard: Time,
}

/// All engines known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    engines: Map<String, Engine>,
}

impl Directory {
    /// Takes in what an engine said at `heard`.
    pub fn announce(&mut self, said: Announcement, heard: Time) -> News {
        if self.displaced(&said) {
            return News::Stale;
        }
        let Some(known) = self.engines.get_mut(&said.id) else {
            self.engines.insert(said.id.clone(), Engine { said, heard });
            return News::Changed;
        };
        if said.born < known.said.born {
            return News::Stale;
        }
        let same_run = said.born == known.said.born;
        if same_run {
            // A run that has begun to leave doesn't come back.
            if said.phase < known.said.phase {
                return News::Stale;
            }
            if said.phase == known.said.phase && said.sequence <= known.said.sequence {
                return News::Stale;
            }
        }
        let changed = !same_run
            || said.phase != known.said.phase
            || said.address != known.said.address
            || said.service != known.said.service;
        known.said = said;
        known.heard = known.heard.max(heard);
        if changed { News::Changed } else { News::Heard }
    }

    /// Returns whether a younger run has the same address.
    fn displaced(&self, said: &Announcement) -> bool {
        said.phase != Phase::Gone
            && self.engines.values().any(|engine| {
                engine.said.address == said.address
                    && engine.said.id != said.id
                    && engine.said.born > said.born
                    && engine.said.phase != Phase::Gone
            })
    }

    /// Takes in that the engine `id` leaves; `born` names the run where it's known.
    ///
    /// Returns the announcement to spread, or `None` where nothing changed.
    pub fn leave(&mut self, id: &str, born: Option<u64>, now: Time) -> Option<Announcement> {
        let known = self.engines.get_mut(id)?;
        if born.is_some_and(|born| born != known.said.born) || known.said.phase == Phase::Gone {
            return None;
        }
        known.said.phase = Phase::Gone;
        known.heard = now;
        Some(known.said.clone())
    }

    /// Returns the engine `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Returns whether `engine` is the youngest run at its address.
    #[must_use]
    pub fn current(&self, engine: &Engine) -> bool {
        !self.displaced(&engine.said)
    }

    /// Forgets runs that ended, or were last heard, long ago.
    pub fn expire(&mut self, now: Time) {
        self.engines
            .retain(|_, engine| engine.heard.until(now) < MEMORY);
    }
}
