//! What processes tell each other of engines, and which of them hold it.
//!
//! The phase of an engine's run only advances, and a later run replaces an earlier one, so
//! news may arrive late, twice and out of order. Every process keeps the last state of each
//! engine for as long as the directory does, and tells it to each run of a peer that hasn't
//! told or confirmed the same.

use base::Span;
use base::Time;
use routing::Directory;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;

use super::PEER_TIMEOUT;
use super::Peer;
use super::PeerTable;
use super::schedule;
use crate::changes::Topic;
use crate::changes::Urgency;
use crate::mesh::ReceivedAnnouncement;

/// Maximum wait for peers to confirm that an engine leaves. An engine waits a second for the
/// acknowledgement.
pub const HOLD_TIMEOUT: Span = Span::millis(550);

/// How many processes hold the state of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Present peers that hold it. Those that are about to stop count only if there are no
    /// others.
    pub holders: usize,
    /// Peers that are told directly, answer, and haven't confirmed it yet.
    pub pending: usize,
}

impl Spread {
    /// Returns whether each peer that answers holds it.
    #[must_use]
    pub fn is_complete(self) -> bool {
        self.pending == 0 && self.holders > 0
    }

    /// Returns whether enough peers hold it once those that are pending have had their time:
    /// they are told by the others.
    #[must_use]
    pub fn is_enough(self) -> bool {
        self.holders > 0 && self.holders >= self.pending
    }
}

impl PeerTable {
    /// Returns whether this process passes on at once what it learns of engines: relays do,
    /// and replicas where all processes are linked. The others do after
    /// [`crate::changes::BRIDGE_DELAY`], in case those have ended or are cut off.
    pub(super) fn passes_on_at_once(&self) -> bool {
        self.links.relays || self.links.is_full && self.own.member.keeper.is_some()
    }

    /// Records that the state of the engine `id` has changed, as this process has found out.
    pub fn record_engine(&mut self, id: &str, now: Time) {
        let topic = Topic::Engine(id.to_owned());
        self.record(topic, Urgency::Now, None, now);
    }

    /// Applies an announcement that the engine has sent to this process.
    pub fn hear_engine(
        &mut self,
        directory: &mut Directory,
        announcement: EngineAnnouncement,
        now: Time,
    ) -> DirectoryUpdate {
        let (id, phase) = (announcement.id.clone(), announcement.phase);
        let update = directory.apply_announcement(announcement, now);
        // A run that leaves may announce itself as ready; peers that don't hear it must
        // remember that it leaves for as long as this process does.
        let recorded = directory.get(&id).map(|entry| entry.announcement.phase);
        let leaves = recorded > Some(phase);
        match update {
            DirectoryUpdate::Changed => self.record_engine(&id, now),
            DirectoryUpdate::Refreshed => self.record_heartbeat(id, None, now),
            DirectoryUpdate::Stale if leaves => self.record_heartbeat(id, None, now),
            // An engine that repeats that it leaves waits for the acknowledgement.
            DirectoryUpdate::Known => self.log.release_topic(&Topic::Engine(id), now),
            DirectoryUpdate::Stale | DirectoryUpdate::Rejected => {}
        }
        update
    }

    /// Applies what the process of the run `from` has told of an engine.
    pub fn learn_engine(
        &mut self,
        directory: &mut Directory,
        heard: ReceivedAnnouncement,
        from: u64,
        now: Time,
    ) -> DirectoryUpdate {
        let announcement = heard.announcement;
        let at = Time(now.0.saturating_sub(Span::millis(heard.age_ms).0));
        let id = announcement.id.clone();
        let update = directory.apply_announcement(announcement.clone(), at);
        match update {
            DirectoryUpdate::Changed => {
                let urgency = if self.passes_on_at_once() || !self.links.is_full {
                    Urgency::Now
                } else {
                    Urgency::Lazy
                };
                self.record(Topic::Engine(id), urgency, Some(from), now);
            }
            DirectoryUpdate::Refreshed => {
                self.log.record_known(&Topic::Engine(id.clone()), from);
                if !self.links.is_full {
                    self.record_heartbeat(id, Some(from), now);
                }
            }
            DirectoryUpdate::Known => {
                let present = directory.get(&id).map(|entry| &entry.announcement);
                if present.is_some_and(|present| present.sequence == announcement.sequence) {
                    self.log.record_known(&Topic::Heartbeat(id.clone()), from);
                }
                self.log.record_known(&Topic::Engine(id), from);
            }
            DirectoryUpdate::Stale => {
                let newer = directory.newer_than(&announcement);
                self.correct(newer, from, now);
            }
            DirectoryUpdate::Rejected => {}
        }
        update
    }

    /// Makes sure that the process of the run `from`, which has told something older than the
    /// state of the engine `id`, is told that state.
    fn correct(&mut self, id: &str, from: u64, now: Time) {
        let link = self.runs.get(&from).and_then(|at| self.peers.get(at));
        let confirmed = link.map_or(0, |peer| peer.link.confirmed);
        let topic = Topic::Engine(id.to_owned());
        let is_pending = self
            .log
            .get(&topic)
            .is_some_and(|(position, change)| position > confirmed && change.concerns(from));
        if !is_pending {
            self.record(topic, Urgency::Now, None, now);
        }
    }

    fn record_heartbeat(&mut self, id: String, from: Option<u64>, now: Time) {
        self.record(Topic::Heartbeat(id), Urgency::Lazy, from, now);
    }

    /// Records that the run of the engine `id` that began at `started_ms` has ended, as the
    /// engine has told this process; the run that is known here if it names none.
    ///
    /// Returns false if the end isn't recorded: nothing tells which run has ended, or the run is
    /// later than the one that is known here.
    pub fn hear_end(
        &mut self,
        directory: &mut Directory,
        id: &str,
        started_ms: Option<u64>,
        now: Time,
    ) -> bool {
        if directory.mark_gone(id, started_ms, now).is_some() {
            self.record_engine(id, now);
        } else {
            self.log.release_topic(&Topic::Engine(id.to_owned()), now);
        }
        directory.has_ended(id, started_ms)
    }

    /// Returns how many processes hold the present state of the engine `id`.
    #[must_use]
    pub fn spread(&self, id: &str, now: Time) -> Spread {
        let change = self.log.get(&Topic::Engine(id.to_owned()));
        let mut spread = Spread::default();
        let Some((position, change)) = change else {
            return spread;
        };
        let mut leaving = 0;
        let present = self.peers.values();
        for peer in present.filter(|peer| peer.is_heard(PEER_TIMEOUT, now)) {
            let holds = peer.link.confirmed >= position || !change.concerns(peer.member.run_id);
            if holds && peer.leaving {
                leaving += 1;
            } else if holds {
                spread.holders += 1;
            } else if self.is_told(peer, now) {
                spread.pending += 1;
            }
        }
        if spread == Spread::default() {
            spread.holders = leaving;
        }
        spread
    }

    /// Returns whether `peer` is told directly and answers.
    fn is_told(&self, peer: &Peer, now: Time) -> bool {
        let is_linked = self.links.paces.contains_key(&peer.member.address);
        (is_linked || schedule::asks(peer, now)) && peer.is_usable(now) && peer.is_reachable(now)
    }

    /// Returns whether this process or a peer has a replica of the log, as far as is known here.
    #[must_use]
    pub fn knows_replica(&self) -> bool {
        let peers = self.peers.values().map(|peer| &peer.member);
        let mut members = peers.chain([&self.own.member]);
        members.any(|member| member.keeper.is_some())
    }

    /// Returns whether each peer that this process is linked to has answered an exchange that
    /// began at `since` or later, but for those that don't answer; false without such a peer.
    #[must_use]
    pub fn has_asked(&self, since: Time) -> bool {
        let linked = self.links.paces.keys();
        let linked = linked.filter_map(|address| self.peers.get(address));
        let answered = |peer: &Peer| peer.link.answered.is_some_and(|at| at >= since);
        let (asked, open): (Vec<&Peer>, Vec<&Peer>) = linked.partition(|peer| answered(peer));
        !asked.is_empty() && open.iter().all(|peer| peer.link.silent)
    }
}
