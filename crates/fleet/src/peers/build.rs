//! What an update contains.

use std::net::SocketAddr;

use base::Map;
use base::Set;
use base::Span;
use base::Time;
use routing::Directory;
use routing::placement::EngineLoad;

use super::PEER_TIMEOUT;
use super::PeerTable;
use crate::changes::Topic;
use crate::mesh::LoadNews;
use crate::mesh::Profile;
use crate::mesh::PromptNews;
use crate::mesh::ReceivedAnnouncement;
use crate::mesh::Update;

/// Time between two lists of the processes heard, to one link.
const HEARD_INTERVAL: Span = Span::millis(250);

impl PeerTable {
    /// Returns the update for the process at `address`, and records that it is sent.
    pub fn update_for(&mut self, address: SocketAddr, directory: &Directory, now: Time) -> Update {
        self.log.release(now);
        let peer = self.peers.get(&address);
        let link = peer.map(|peer| peer.link.clone()).unwrap_or_default();
        let mut update = Update {
            sender: self.own.member.clone(),
            since: link.confirmed,
            position: self.log.position(),
            received: peer.map_or((0, 0), |peer| (peer.member.run_id, link.received)),
            newest_version: self.newest_version,
            founder: self.founder,
            ended: Vec::new(),
            profiles: Vec::new(),
            heard: Vec::new(),
            announcements: Vec::new(),
            loads: Vec::new(),
            prompts: Vec::new(),
            evacuations: self.evacuations.clone(),
        };
        let Some(run) = peer.map(|peer| peer.member.run_id) else {
            // An address of the settings may be outdated.
            update.position = 0;
            update.profiles.push(self.own.clone());
            return update;
        };
        let mut loads: Map<u64, Vec<(u64, EngineLoad, u64)>> = Map::default();
        let mut engines: Set<&str> = Set::default();
        for (_, change) in self.log.after(link.confirmed) {
            if !change.concerns(run) {
                continue;
            }
            match &change.topic {
                Topic::Engine(id) | Topic::Heartbeat(id) => {
                    if engines.insert(id) {
                        let told = engine_news(directory, id, now);
                        update.announcements.extend(told);
                    }
                }
                topic => self.add_change(topic, &mut update, &mut loads, now),
            }
        }
        let loads = loads.into_iter();
        update.loads = loads
            .map(|(run_id, loads)| LoadNews { run_id, loads })
            .collect();
        let vouches = !self.links.is_full
            && link
                .heard_sent
                .is_none_or(|at| at.until(now) >= HEARD_INTERVAL);
        if vouches {
            let heard = self.peers.values();
            let heard = heard
                .filter(|peer| peer.is_heard(PEER_TIMEOUT, now) && peer.member.address != address);
            update.heard = heard
                .map(|peer| {
                    let age = peer.last_heard.until(now);
                    (peer.member.run_id, age.as_millis())
                })
                .collect();
        }
        let sent = self.log.position();
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.link.sent = sent;
            peer.link.last_exchange = Some(now);
            if vouches {
                peer.link.heard_sent = Some(now);
            }
        }
        update
    }

    fn add_change(
        &self,
        topic: &Topic,
        update: &mut Update,
        loads: &mut Map<u64, Vec<(u64, EngineLoad, u64)>>,
        now: Time,
    ) {
        match topic {
            Topic::Profile(of) if *of == self.address() => update.profiles.push(self.own.clone()),
            Topic::Profile(of) => {
                let peer = self.peers.get(of);
                let peer = peer.filter(|peer| peer.is_heard(PEER_TIMEOUT, now));
                update.profiles.extend(peer.map(|peer| Profile {
                    member: peer.member.clone(),
                    version: peer.version,
                    config_version: peer.config_version,
                    lease: peer.lease_id,
                    serving: peer.serving,
                    leaving: peer.leaving,
                    leader: peer.leader,
                    pressure: peer.pressure,
                }));
            }
            Topic::Ended(run) => update.ended.push(*run),
            Topic::Load(of, engine) => {
                let (run, known) = if *of == self.address() {
                    (Some(self.own.member.run_id), self.own_loads.get(engine))
                } else {
                    let peer = self.peers.get(of);
                    (
                        peer.map(|peer| peer.member.run_id),
                        peer.and_then(|peer| peer.loads.get(engine)),
                    )
                };
                if let (Some(run), Some(known)) = (run, known) {
                    let list = loads.entry(run).or_default();
                    list.push((*engine, known.load, known.version));
                }
            }
            Topic::Prompt(of, number) => {
                let run_id = if *of == self.address() {
                    Some(self.own.member.run_id)
                } else {
                    self.peers.get(of).map(|peer| peer.member.run_id)
                };
                if let (Some(run_id), Some(prompt)) = (run_id, self.prompts.get(&(*of, *number))) {
                    update.prompts.push(PromptNews {
                        run_id,
                        number: *number,
                        prompt: prompt.clone(),
                    });
                }
            }
            Topic::Head | Topic::Engine(_) | Topic::Heartbeat(_) => {}
        }
    }
}

/// Returns what is known of the engine `id`.
fn engine_news(directory: &Directory, id: &str, now: Time) -> Option<ReceivedAnnouncement> {
    let engine = directory.get(id)?;
    Some(ReceivedAnnouncement {
        announcement: engine.announcement.clone(),
        age_ms: engine.last_heard.until(now).as_millis(),
    })
}
