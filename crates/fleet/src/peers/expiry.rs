//! What a process forgets.

use std::net::SocketAddr;

use base::Span;
use base::Time;
use routing::placement::EngineLoad;

use super::PEER_EXPIRY_TIMEOUT;
use super::PeerTable;
use super::VersionedLoad;
use crate::changes::Topic;

/// Time for which prompts are told.
const PROMPT_TTL: Span = Span::millis(2_000);

/// Time for which a load that has ended is told.
const ENDED_LOAD_TTL: Span = Span::millis(10_000);

/// Time for which the end of a run is remembered.
const ENDED_RUN_TTL: Span = Span::millis(120_000);

impl PeerTable {
    /// Removes what has expired; returns the peers that were removed.
    pub fn expire(&mut self, now: Time) -> Vec<SocketAddr> {
        self.expired = now;
        let peers = self.peers.iter();
        let gone = peers.filter(|(_, peer)| !peer.is_heard(PEER_EXPIRY_TIMEOUT, now));
        let gone: Vec<SocketAddr> = gone.map(|(&address, _)| address).collect();
        for &address in &gone {
            self.forget(address);
        }
        self.ended.retain(|_, at| at.until(now) < ENDED_RUN_TTL);
        let is_kept = |known: &VersionedLoad| {
            known.load != EngineLoad::default() || known.changed.until(now) < ENDED_LOAD_TTL
        };
        self.own_loads.retain(|_, known| is_kept(known));
        for peer in self.peers.values_mut() {
            peer.loads.retain(|_, known| is_kept(known));
        }
        let (own, own_loads, peers) = (self.own.member.address, &self.own_loads, &self.peers);
        let ended = &self.ended;
        let prompts = &mut self.prompts;
        self.log.retain(|change| match &change.topic {
            Topic::Head | Topic::Profile(_) | Topic::Engine(_) | Topic::Heartbeat(_) => true,
            Topic::Ended(run) => ended.contains_key(run),
            Topic::Load(of, engine) => {
                let peer = peers.get(of);
                if *of == own {
                    own_loads.contains_key(engine)
                } else {
                    peer.is_some_and(|peer| peer.loads.contains_key(engine))
                }
            }
            Topic::Prompt(of, number) => {
                let kept = change.learned.until(now) < PROMPT_TTL;
                if !kept {
                    prompts.remove(&(*of, *number));
                }
                kept
            }
        });
        gone
    }

    /// Removes the announcements of engines for which `keep` returns false.
    pub fn retain_engines(&mut self, keep: impl Fn(&str) -> bool) {
        self.log.retain(|change| match &change.topic {
            Topic::Engine(id) | Topic::Heartbeat(id) => keep(id),
            _ => true,
        });
    }
}
