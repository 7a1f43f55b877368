//! The directory of engines, from their announcements.
//!
//! Announcements may arrive late, more than once and out of order, and even after the
//! sender's run has ended. A run is identified by its start time, and its announcements
//! carry an increasing sequence number. An announcement older than the recorded one has
//! no effect, except that an engine that leaves is remembered while its run announces
//! itself.
//!
//! An engine's answers may say that it leaves, too. To the directory, and to the peers, its
//! run drains from then on; only a later run is used again.

use std::cmp;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use base::Map;
use base::Set;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::availability::Exclusion;

/// Time after which an engine that was not heard from is removed. It covers the delay of
/// announcements that a network partition holds up, so that the end of a run is still
/// recorded when they arrive.
pub const ENGINE_TTL: Span = Span::millis(120_000);

/// Difference in the end of an engine's warm-up from which on it counts as a change.
const MIN_COLD_CHANGE: Span = Span::millis(250);

/// Maximum time for which an engine can announce that it stays cold.
const MAX_COLD_TIME: Span = Span::millis(120_000);

/// Maximum number of known engines. Further ones are not recorded until others expire.
pub const MAX_ENGINES: usize = 4_096;

/// The phase of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The engine accepts new requests.
    Ready,
    /// The engine accepts no new requests and completes the running ones.
    Draining,
    /// The engine accepts nothing: the run has ended or is about to end.
    Gone,
}

/// An announcement of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnnouncement {
    /// The engine's identifier.
    pub id: String,
    /// The start time of this run, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The sequence number of the announcement within its run.
    pub sequence: u64,
    /// The service that the engine belongs to.
    pub service: String,
    /// The address at which the engine accepts requests.
    pub address: SocketAddrV4,
    /// The failure domain of the engine.
    pub domain: String,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The phase of the engine.
    pub phase: Phase,
    /// How long the engine stays cold, in milliseconds.
    pub cold_ms: u64,
}

impl EngineAnnouncement {
    /// Returns whether this tells what `other` does or something later of the same engine: the
    /// phase of a run only advances, and a later run replaces an earlier one.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let stage = |told: &Self| (told.started_ms, told.phase);
        self.id == other.id && stage(self) >= stage(other)
    }

    /// Returns until when the engine is cold, if the announcement was received at `at`.
    #[must_use]
    pub fn cold_until(&self, at: Time) -> Time {
        let left = Span::millis(self.cold_ms).min(MAX_COLD_TIME);
        if left == Span(0) {
            Time::default()
        } else {
            at + left
        }
    }
}

/// The effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectoryUpdate {
    /// None: a later run or phase of the engine is recorded, or a later run of another one at
    /// its address. A peer that tells it lacks what [`Directory::newer_than`] names.
    Stale,
    /// None: the run and the phase are recorded, with the same announcement or a later one.
    Known,
    /// None: it names a service that isn't configured, in the place of an engine of one that
    /// is, or there are too many engines.
    Rejected,
    /// Only the time of the last announcement changed.
    Refreshed,
    /// The run, phase, address or service of the engine changed, or it has become cold.
    Changed,
}

/// An engine and when it was last heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The latest announcement.
    pub announcement: EngineAnnouncement,
    /// The time of the last announcement, by this process's clock.
    pub last_heard: Time,
    /// Whether an answer of this run to this process said that the engine leaves.
    pub is_leaving: bool,
    /// Until when the engine is cold, by its latest announcement.
    pub cold_until: Time,
}

/// Returns the announcement of the end of a run of which nothing else is known.
fn end_of_unknown_run(id: &str, started_ms: u64) -> EngineAnnouncement {
    EngineAnnouncement {
        id: id.to_owned(),
        started_ms,
        sequence: 0,
        service: String::new(),
        address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        domain: String::new(),
        slots: 0,
        phase: Phase::Gone,
        cold_ms: 0,
    }
}

/// The known engines.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    engines: Map<String, DirectoryEntry>,
    /// The engines that were ever announced at an address, until they expire.
    addresses: Map<SocketAddrV4, Set<String>>,
    /// The configured services; empty if none is known yet.
    services: Set<String>,
}

impl Directory {
    /// Sets the configured services. Engines of others are recorded, since a later
    /// configuration may name them, but take the place of no engine of a configured one.
    pub fn set_services(&mut self, services: Set<String>) {
        self.services = services;
    }

    fn is_configured(&self, announcement: &EngineAnnouncement) -> bool {
        self.services.is_empty() || self.services.contains(&announcement.service)
    }

    /// Applies an announcement that was received at `received_at`.
    pub fn apply_announcement(
        &mut self,
        announcement: EngineAnnouncement,
        received_at: Time,
    ) -> DirectoryUpdate {
        if announcement.phase == Phase::Gone {
            return self.record_end(announcement, received_at);
        }
        if self.superseding(&announcement).is_some() {
            return DirectoryUpdate::Stale;
        }
        let configured = self.is_configured(&announcement);
        let is_full = self.engines.len() >= MAX_ENGINES;
        let known = self.engines.get(&announcement.id);
        let rejected = known.map_or(is_full, |known| {
            !configured && self.is_configured(&known.announcement)
        });
        if rejected {
            return DirectoryUpdate::Rejected;
        }
        let cold_until = announcement.cold_until(received_at);
        if known.is_none_or(|known| known.announcement.address != announcement.address) {
            self.record_address(&announcement);
        }
        let Some(known) = self.engines.get_mut(&announcement.id) else {
            self.engines.insert(
                announcement.id.clone(),
                DirectoryEntry {
                    announcement,
                    last_heard: received_at,
                    is_leaving: false,
                    cold_until,
                },
            );
            return DirectoryUpdate::Changed;
        };
        if announcement.started_ms < known.announcement.started_ms {
            return DirectoryUpdate::Stale;
        }
        let same_run = announcement.started_ms == known.announcement.started_ms;
        if same_run {
            let recorded = &known.announcement;
            // A run that has begun to drain does not become ready again.
            let outcome = match announcement.phase.cmp(&recorded.phase) {
                cmp::Ordering::Less => Some(DirectoryUpdate::Stale),
                cmp::Ordering::Equal if announcement.sequence <= recorded.sequence => {
                    Some(DirectoryUpdate::Known)
                }
                cmp::Ordering::Equal | cmp::Ordering::Greater => None,
            };
            if let Some(outcome) = outcome {
                if recorded.phase != Phase::Ready {
                    known.last_heard = known.last_heard.max(received_at);
                }
                return outcome;
            }
        }
        let changed = !same_run
            || announcement.phase != known.announcement.phase
            || announcement.address != known.announcement.address
            || announcement.service != known.announcement.service
            || cold_until > known.cold_until + MIN_COLD_CHANGE;
        known.announcement = announcement;
        known.cold_until = cold_until;
        known.last_heard = known.last_heard.max(received_at);
        known.is_leaving &= same_run;
        if changed {
            DirectoryUpdate::Changed
        } else {
            DirectoryUpdate::Refreshed
        }
    }

    /// Records that a run has ended. The run may not be known here yet; its end is recorded all
    /// the same, because its announcements may still be on their way.
    fn record_end(&mut self, end: EngineAnnouncement, received_at: Time) -> DirectoryUpdate {
        let is_full = self.engines.len() >= MAX_ENGINES;
        let Some(known) = self.engines.get_mut(&end.id) else {
            if is_full {
                return DirectoryUpdate::Rejected;
            }
            let entry = DirectoryEntry {
                announcement: end,
                last_heard: received_at,
                is_leaving: false,
                cold_until: Time::default(),
            };
            self.engines.insert(entry.announcement.id.clone(), entry);
            return DirectoryUpdate::Changed;
        };
        let recorded = &mut known.announcement;
        let outcome =
            match (end.started_ms, Phase::Gone).cmp(&(recorded.started_ms, recorded.phase)) {
                cmp::Ordering::Less => return DirectoryUpdate::Stale,
                cmp::Ordering::Equal => DirectoryUpdate::Known,
                cmp::Ordering::Greater => DirectoryUpdate::Changed,
            };
        known.is_leaving &= recorded.started_ms == end.started_ms;
        recorded.started_ms = end.started_ms;
        recorded.phase = Phase::Gone;
        known.last_heard = known.last_heard.max(received_at);
        outcome
    }

    /// Records that an answer of the run that sent `announcement` said that the engine
    /// leaves.
    ///
    /// Returns whether the run becomes unusable by it. If so, the peers should be sent the
    /// recorded announcement.
    pub fn record_leaving(&mut self, announcement: &EngineAnnouncement, now: Time) -> bool {
        self.record_address(announcement);
        let known = self
            .engines
            .entry(announcement.id.clone())
            .or_insert_with(|| DirectoryEntry {
                announcement: announcement.clone(),
                last_heard: now,
                is_leaving: false,
                cold_until: announcement.cold_until(now),
            });
        let recorded = &mut known.announcement;
        if recorded.started_ms > announcement.started_ms {
            return false;
        }
        if recorded.started_ms < announcement.started_ms {
            recorded.clone_from(announcement);
        }
        let changed = recorded.phase == Phase::Ready;
        recorded.phase = recorded.phase.max(Phase::Draining);
        known.is_leaving = true;
        known.last_heard = known.last_heard.max(now);
        changed
    }

    /// Returns whether the run that sent `announcement` takes no more requests, or is over.
    #[must_use]
    pub fn has_left(&self, announcement: &EngineAnnouncement) -> bool {
        let known = self.engines.get(&announcement.id);
        known.is_none_or(|known| {
            known.announcement.phase != Phase::Ready
                || known.announcement.started_ms > announcement.started_ms
        })
    }

    /// Returns why `engine` isn't sent new requests, if so; it counts as silent `ttl` after
    /// its last announcement.
    #[must_use]
    pub fn exclusion(&self, engine: &DirectoryEntry, ttl: Span, now: Time) -> Option<Exclusion> {
        match engine.announcement.phase {
            Phase::Gone => Some(Exclusion::Ended),
            _ if engine.is_leaving => Some(Exclusion::Leaving),
            Phase::Draining => Some(Exclusion::Draining),
            Phase::Ready if !self.is_current(engine) => Some(Exclusion::Superseded),
            Phase::Ready if engine.last_heard.until(now) >= ttl => Some(Exclusion::Silent),
            Phase::Ready => None,
        }
    }

    fn record_address(&mut self, announcement: &EngineAnnouncement) {
        let ids = self.addresses.entry(announcement.address).or_default();
        ids.insert(announcement.id.clone());
    }

    /// Returns the engine of which a later run uses the same address.
    fn superseding(&self, announcement: &EngineAnnouncement) -> Option<&DirectoryEntry> {
        let ids = self.addresses.get(&announcement.address);
        let mut others = ids
            .into_iter()
            .flatten()
            .filter_map(|id| self.engines.get(id))
            .filter(|_| announcement.phase != Phase::Gone);
        others.find(|engine| {
            engine.announcement.address == announcement.address
                && engine.announcement.id != announcement.id
                && engine.announcement.started_ms > announcement.started_ms
                && engine.announcement.phase != Phase::Gone
                && (self.is_configured(&engine.announcement) || !self.is_configured(announcement))
        })
    }

    /// Returns the identifier of the engine whose recorded run or phase makes `announcement`
    /// [`DirectoryUpdate::Stale`].
    #[must_use]
    pub fn newer_than<'a>(&'a self, announcement: &'a EngineAnnouncement) -> &'a str {
        let superseding = self.superseding(announcement);
        superseding.map_or(&announcement.id, |engine| &engine.announcement.id)
    }

    /// Marks the engine `id` as gone; `started_ms` identifies the run where it is known.
    ///
    /// Returns the announcement to send to the peers, or `None` where nothing changed: the run
    /// is over here already, or it is later than the recorded one, which any writer can say of
    /// a sound engine.
    pub fn mark_gone(
        &mut self,
        id: &str,
        started_ms: Option<u64>,
        now: Time,
    ) -> Option<EngineAnnouncement> {
        let known = self
            .engines
            .get(id)
            .map(|known| known.announcement.started_ms);
        if known.is_some_and(|known| started_ms.is_some_and(|told| told != known)) {
            return None;
        }
        let end = self.end_of(id, started_ms)?;
        let update = self.record_end(end.clone(), now);
        (update == DirectoryUpdate::Changed).then_some(end)
    }

    /// Returns the announcement of the end of the run of the engine `id` that began at
    /// `started_ms`, or of the recorded one; `None` if nothing tells which run it is.
    #[must_use]
    pub fn end_of(&self, id: &str, started_ms: Option<u64>) -> Option<EngineAnnouncement> {
        let known = self.engines.get(id).map(|known| &known.announcement);
        let is_run = |known: &&EngineAnnouncement| {
            started_ms.is_none_or(|started_ms| started_ms == known.started_ms)
        };
        match known.filter(is_run) {
            Some(known) => Some(EngineAnnouncement {
                phase: Phase::Gone,
                ..known.clone()
            }),
            None => Some(end_of_unknown_run(id, started_ms?)),
        }
    }

    /// Returns whether the run of the engine `id` that began at `started_ms`, or the recorded
    /// one, is over here.
    #[must_use]
    pub fn has_ended(&self, id: &str, started_ms: Option<u64>) -> bool {
        self.engines.get(id).is_some_and(|known| {
            let known = &known.announcement;
            let started_ms = started_ms.unwrap_or(known.started_ms);
            (known.started_ms, known.phase) >= (started_ms, Phase::Gone)
        })
    }

    /// Returns the engine `id`.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&DirectoryEntry> {
        self.engines.get(id)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.engines.values()
    }

    /// Returns whether `engine` is the latest run at its address.
    #[must_use]
    pub fn is_current(&self, engine: &DirectoryEntry) -> bool {
        self.superseding(&engine.announcement).is_none()
    }

    /// Removes engines that ended, or were last heard from, long ago.
    pub fn expire(&mut self, now: Time) {
        self.engines
            .retain(|_, engine| engine.last_heard.until(now) < ENGINE_TTL);
        let engines = &self.engines;
        self.addresses.retain(|address, ids| {
            let is_present = |id: &String| {
                let engine = engines.get(id);
                engine.is_some_and(|engine| engine.announcement.address == *address)
            };
            ids.retain(is_present);
            !ids.is_empty()
        });
    }
}
