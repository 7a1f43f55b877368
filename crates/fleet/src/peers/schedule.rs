//! When a process sends updates, and to whom.

use std::net::SocketAddr;

use base::Span;
use base::Time;
use routing::placement::EngineLoad;

use super::Peer;
use super::PeerTable;
use super::REACHABLE_TIMEOUT;
use super::SUSPECT_TIMEOUT;
use super::UPDATE_TIMEOUT;
use super::candidate;
use crate::changes::Topic;
use crate::changes::Urgency;
use crate::overlay;
use crate::overlay::Candidate;

/// Time between two idle exchanges of a link.
const IDLE_INTERVAL: Span = Span::millis(300);

/// The same for the process that leaves it to the other one.
const PASSIVE_INTERVAL: Span = Span::millis(400);

/// Minimum time between two exchanges, so that changes that occur together are sent together.
const BATCH_DELAY: Span = Span::millis(8);

/// Time between two updates with loads to a process that only asks.
const FOLLOWER_PACE: Span = Span::millis(200);

/// Time between two updates to a peer that doesn't answer.
const SILENT_INTERVAL: Span = Span::millis(900);

/// Time between two requests to seeds while no process is known.
const SEED_INTERVAL: Span = Span::millis(200);

/// Time for which a process that has asked counts as linked.
const FOLLOWER_TIMEOUT: Span = Span::millis(1_000);

/// Time between two computations of the links.
const LINKS_INTERVAL: Span = Span::millis(200);

/// Time without a new process after which a process that has started knows the others: links
/// that it would replace at once cost a handshake each.
const SETTLING_TIME: Span = Span::millis(300);

/// Maximum time for that.
const MAX_SETTLING_TIME: Span = Span::millis(1_500);

/// Maximum number of peers probed in one round by a process that hears none.
const MAX_PROBES: usize = 16;

impl PeerTable {
    /// Records that a request was sent to the process at `address`.
    pub fn begin_exchange(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.link.in_flight = Some(now);
        } else {
            self.probes.insert(address, now);
        }
    }

    /// Records the end of an exchange that this process began.
    pub fn finish_exchange(&mut self, address: SocketAddr, answered: bool, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            let begun = peer.link.in_flight.take();
            if answered {
                peer.link.answered = peer.link.answered.max(begun);
            } else {
                peer.link.last_exchange = Some(now);
                peer.link.silent = true;
                self.links_computed = None;
                self.record_unanswered(address, now);
            }
        }
    }

    /// Records that a request to the process at `address` had no response.
    pub fn record_unanswered(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.unanswered = Some(now);
        }
    }

    /// Records that the process at `address` has responded to a request.
    pub fn record_answered(&mut self, address: SocketAddr, now: Time) {
        if let Some(peer) = self.peers.get_mut(&address)
            && peer.hear_directly(now)
        {
            self.links_computed = None;
        }
    }

    /// Computes the links if they may have changed.
    fn update_links(&mut self, seeds: &[SocketAddr], now: Time) {
        let waits = |peer: &Peer| {
            let in_flight = peer.link.in_flight;
            in_flight.is_some_and(|at| at.until(now) >= SUSPECT_TIMEOUT)
        };
        let fresh = |at: Time| at.until(now) < LINKS_INTERVAL;
        if self.links_computed.is_some_and(fresh) && !self.peers.values().any(waits) {
            return;
        }
        self.links_computed = Some(now);
        let own = candidate(&self.own.member);
        let known: Vec<Candidate<'_>> = self.peers.values().map(Peer::candidate).collect();
        let usable = self.peers.values().filter(|peer| peer.is_usable(now));
        let usable: Vec<Candidate<'_>> = usable.map(Peer::candidate).collect();
        let is_known_full = known.len() < overlay::FULL_MESH_SIZE;
        let mut links = if is_known_full {
            overlay::links(&own, &known)
        } else {
            overlay::links(&own, &usable)
        };
        // The processes that would be linked if they answered are probed.
        for (address, pace) in overlay::links(&own, &known).paces {
            links.paces.entry(address).or_insert(pace);
        }
        let settles = self.met.is_some_and(|(first, last)| {
            last.until(now) < SETTLING_TIME && first.until(now) < MAX_SETTLING_TIME
        });
        if settles {
            links.paces.retain(|address, _| seeds.contains(address));
            for seed in seeds.iter().filter(|seed| self.peers.contains_key(*seed)) {
                links.paces.insert(*seed, FOLLOWER_PACE);
            }
        }
        let was_full = std::mem::replace(&mut self.links, links).is_full;
        for (address, peer) in &mut self.peers {
            peer.linked = self.links.paces.contains_key(address);
        }
        if was_full && !self.links.is_full {
            self.record_foreign(now);
        }
    }

    /// Records what others have told while all processes were linked.
    fn record_foreign(&mut self, now: Time) {
        let peers = self.peers.iter();
        let topics = peers.flat_map(|(&address, peer)| {
            let run = peer.member.run_id;
            let engines = peer.loads.keys();
            let loads = engines.map(move |&engine| Topic::Load(address, engine));
            loads
                .chain([Topic::Profile(address)])
                .map(move |topic| (run, topic))
        });
        let topics: Vec<(u64, Topic)> = topics.collect();
        for (from, topic) in topics {
            self.record(topic, Urgency::Paced, Some(from), now);
        }
    }

    /// Returns whether this process has requests at engines.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let mut loads = self.own_loads.values();
        loads.any(|known| known.load != EngineLoad::default())
    }

    /// Returns the processes to send an update to now, addresses of the settings among them.
    pub fn due(&mut self, seeds: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        self.update_links(seeds, now);
        self.log.release(now);
        let active = self.is_active();
        let peers = self.peers.iter();
        let mut due: Vec<SocketAddr> = peers
            .filter(|(address, peer)| self.is_due(**address, peer, active, now))
            .map(|(&address, _)| address)
            .collect();
        let hears_none = !self.peers.values().any(|peer| {
            peer.last_direct
                .is_some_and(|at| at.until(now) < REACHABLE_TIMEOUT)
        });
        if hears_none {
            let silent = self.peers.iter().filter(|(address, peer)| {
                !self.links.paces.contains_key(*address) && is_probe_due(peer, now)
            });
            due.extend(silent.map(|(&address, _)| address).take(MAX_PROBES));
        }
        let interval = if self.peers.is_empty() {
            SEED_INTERVAL
        } else {
            SILENT_INTERVAL
        };
        let unknown = seeds.iter().copied().filter(|seed| {
            let probed = self.probes.get(seed);
            *seed != self.address()
                && !self.peers.contains_key(seed)
                && probed.is_none_or(|at| at.until(now) >= interval)
        });
        due.extend(unknown);
        due
    }

    fn is_due(&self, address: SocketAddr, peer: &Peer, active: bool, now: Time) -> bool {
        let link = &peer.link;
        let pace = self.links.paces.get(&address);
        if pace.is_none() && !asks(peer, now) {
            return false;
        }
        if link.silent {
            return pace.is_some() && is_probe_due(peer, now);
        }
        if let Some(at) = link.in_flight {
            return at.until(now) > UPDATE_TIMEOUT;
        }
        let Some(since) = link.last_exchange.map(|at| at.until(now)) else {
            return true;
        };
        let quiet = if self.address() < address {
            IDLE_INTERVAL
        } else {
            PASSIVE_INTERVAL
        };
        if since < BATCH_DELAY || pace.is_some() && since >= quiet {
            return since >= BATCH_DELAY;
        }
        if self.awaits_confirmation(peer) {
            return true;
        }
        let pending = self
            .log
            .after(link.sent)
            .filter(|(_, change)| change.concerns(peer.member.run_id));
        let urgency = pending.map(|(_, change)| change.urgency).max();
        match urgency {
            Some(Urgency::Now) => true,
            Some(Urgency::Paced) => since >= pace.copied().unwrap_or(FOLLOWER_PACE),
            _ => active && pace.is_some_and(|&pace| since >= pace),
        }
    }
}

impl PeerTable {
    /// Returns whether a change of an engine's state was sent to `peer` in a response, which it
    /// confirms with the next exchange only. An engine may wait for that.
    fn awaits_confirmation(&self, peer: &Peer) -> bool {
        let (link, run) = (&peer.link, peer.member.run_id);
        let sent = self.log.after(link.confirmed);
        let mut sent = sent.take_while(|(position, _)| *position <= link.sent);
        sent.any(|(_, change)| {
            let is_state = matches!(change.topic, Topic::Engine(_));
            is_state && change.urgency == Urgency::Now && change.concerns(run)
        })
    }
}

/// Returns whether `peer` has asked recently, and counts as linked.
pub(super) fn asks(peer: &Peer, now: Time) -> bool {
    let asked = peer.link.asked;
    asked.is_some_and(|at| at.until(now) < FOLLOWER_TIMEOUT)
}

fn is_probe_due(peer: &Peer, now: Time) -> bool {
    let last = peer.link.last_exchange.max(peer.link.in_flight);
    last.is_none_or(|at| at.until(now) >= SILENT_INTERVAL)
}
