//! What a process learns from the updates of its peers.

use base::Span;
use base::Time;

use super::Applied;
use super::PeerTable;
use super::VersionedLoad;
use crate::changes::Topic;
use crate::changes::Urgency;
use crate::mesh::LoadNews;
use crate::mesh::Profile;
use crate::mesh::PromptNews;
use crate::mesh::Update;

impl PeerTable {
    /// Applies an update of a peer; `asks` if it is a request.
    pub fn apply(&mut self, update: Update, asks: bool, now: Time) -> Applied {
        let mut applied = Applied::default();
        let from = update.sender.run_id;
        if !self.meet(&update.sender, true, now, &mut applied) {
            return applied;
        }
        for run in update.ended {
            if run != self.own.member.run_id && self.ended.insert(run, now).is_none() {
                self.record(Topic::Ended(run), Urgency::Now, Some(from), now);
            } else {
                self.log.record_known(&Topic::Ended(run), from);
            }
        }
        for profile in update.profiles {
            self.apply_profile(&profile, from, now, &mut applied);
        }
        for (run, age_ms) in update.heard {
            let at = Time(now.0.saturating_sub(Span::millis(age_ms).0));
            let address = self.runs.get(&run).copied();
            if let Some(peer) = address.and_then(|address| self.peers.get_mut(&address)) {
                peer.vouched = peer.vouched.max(Some(at));
                peer.last_heard = peer.last_heard.max(at);
            }
        }
        for news in update.loads {
            self.apply_loads(&news, from, now, &mut applied);
        }
        for news in update.prompts {
            self.apply_prompt(news, from, now, &mut applied);
        }
        if update.founder.is_some() && self.founder.is_none() {
            self.founder = update.founder;
        }
        applied.newest_version = update.newest_version;
        applied.announcements = update.announcements;
        applied.evacuations = update.evacuations;
        let own_run = self.own.member.run_id;
        if let Some(peer) = self.peers.get_mut(&update.sender.address) {
            let link = &mut peer.link;
            if update.since <= link.received {
                link.received = link.received.max(update.position);
            }
            let (run, confirmed) = update.received;
            link.confirmed = if run == own_run { confirmed } else { 0 };
            link.last_exchange = Some(now);
            if asks {
                link.asked = Some(now);
            }
        }
        applied
    }

    fn apply_profile(&mut self, profile: &Profile, from: u64, now: Time, applied: &mut Applied) {
        let address = profile.member.address;
        if !self.meet(&profile.member, false, now, applied) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if profile.version > peer.version {
            if peer.leaving != profile.leaving {
                self.links_computed = None;
            }
            peer.version = profile.version;
            peer.config_version = profile.config_version;
            peer.serving = profile.serving && !profile.leaving;
            peer.leaving = profile.leaving;
            peer.lease_id = profile.lease;
            peer.leader = profile.leader;
            peer.pressure = profile.pressure;
            if !self.links.is_full || profile.version == 1 {
                self.record(Topic::Profile(address), Urgency::Now, Some(from), now);
            }
        } else if profile.version == peer.version {
            self.log.record_known(&Topic::Profile(address), from);
        }
    }

    fn apply_loads(&mut self, news: &LoadNews, from: u64, now: Time, applied: &mut Applied) {
        let Some(&address) = self.runs.get(&news.run_id) else {
            return;
        };
        for &(engine, load, version) in &news.loads {
            let Some(peer) = self.peers.get_mut(&address) else {
                return;
            };
            let known = peer.loads.get(&engine).map_or(0, |known| known.version);
            let topic = Topic::Load(address, engine);
            if version > known {
                let next = VersionedLoad {
                    load,
                    version,
                    changed: now,
                };
                peer.loads.insert(engine, next);
                applied.loaded.insert(address);
                if !self.links.is_full {
                    self.record(topic, Urgency::Paced, Some(from), now);
                }
            } else if version == known {
                self.log.record_known(&topic, from);
            }
        }
    }

    fn apply_prompt(&mut self, news: PromptNews, from: u64, now: Time, applied: &mut Applied) {
        let Some(&address) = self.runs.get(&news.run_id) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let topic = Topic::Prompt(address, news.number);
        if news.number <= peer.last_prompt {
            self.log.record_known(&topic, from);
            return;
        }
        peer.last_prompt = news.number;
        applied.prompts.push(news.prompt.clone());
        if !self.links.is_full {
            self.prompts.insert((address, news.number), news.prompt);
            self.record(topic, Urgency::Paced, Some(from), now);
        }
    }
}
