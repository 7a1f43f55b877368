//! The other processes of the fleet, what they tell, and when they are sent updates.
//!
//! Load pattern: hundreds of processes that change little, and waves of requests in which
//! every process must know soon what the others have placed. `docs/design/control.md` has the
//! rules.

mod apply;
mod build;
mod engines;
mod expiry;
mod schedule;

use std::collections::hash_map::Entry;
use std::net::SocketAddr;

use base::KeeperId;
use base::Map;
use base::Set;
use base::Span;
use base::Time;
use routing::evacuation::EvacuationSet;
use routing::placement::EngineLoad;

use crate::changes::BRIDGE_DELAY;
use crate::changes::Change;
use crate::changes::ChangeLog;
use crate::changes::Topic;
use crate::changes::Urgency;
use crate::mesh::Member;
use crate::mesh::Pressure;
use crate::mesh::Profile;
use crate::mesh::ReceivedAnnouncement;
use crate::mesh::SentPrompt;
use crate::overlay::Candidate;
use crate::overlay::Links;

pub use self::engines::HOLD_TIMEOUT;
pub use self::engines::Spread;

/// Time without a message from a linked peer after which it doesn't count as reachable.
pub const REACHABLE_TIMEOUT: Span = Span::millis(700);

/// Time without evidence of a peer after which it no longer counts as present.
pub const PEER_TIMEOUT: Span = Span::millis(3_000);

/// Time without evidence of a peer after which it is removed.
pub const PEER_EXPIRY_TIMEOUT: Span = Span::millis(15_000);

/// Maximum wait for a peer's response to an update.
pub const UPDATE_TIMEOUT: Span = Span::millis(600);

/// Time without evidence of a peer that isn't linked after which it doesn't count as
/// reachable: it comes in up to three idle exchanges.
const VOUCHED_TIMEOUT: Span = Span::millis(1_500);

/// Time for which a peer isn't reachable after a request to it had no response.
const UNANSWERED_PERIOD: Span = Span::millis(1_000);

/// Wait for a response after which other processes are linked as well.
const SUSPECT_TIMEOUT: Span = Span::millis(300);

/// A load and the number of its change at the process that it comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct VersionedLoad {
    load: EngineLoad,
    version: u64,
    changed: Time,
}

/// The exchanges with a peer.
#[derive(Clone, Debug, Default)]
struct Link {
    /// The position that the peer has confirmed.
    confirmed: u64,
    /// The position of the last update to it.
    sent: u64,
    /// The position of the peer that this process has.
    received: u64,
    in_flight: Option<Time>,
    /// Whether the last exchange had no response, and nothing was heard since.
    silent: bool,
    last_exchange: Option<Time>,
    /// Time of the last request from it.
    asked: Option<Time>,
    /// When the last exchange began that it answered.
    answered: Option<Time>,
    heard_sent: Option<Time>,
}

/// A peer, as far as this process knows.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The peer's own description.
    pub member: Member,
    /// Time of the last evidence that it runs, or of its first mention by another peer.
    pub last_heard: Time,
    /// The version of the configuration that is in force there.
    pub config_version: u64,
    /// Whether it accepts callers.
    pub serving: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its lease on teams' tokens.
    pub lease_id: u64,
    /// The load of its processor.
    pub pressure: Pressure,
    leader: Option<SocketAddr>,
    version: u64,
    last_direct: Option<Time>,
    vouched: Option<Time>,
    unanswered: Option<Time>,
    linked: bool,
    last_prompt: u64,
    loads: Map<u64, VersionedLoad>,
    link: Link,
}

impl Peer {
    fn new(member: Member, now: Time) -> Self {
        Self {
            member,
            last_heard: now,
            config_version: 0,
            serving: false,
            leaving: false,
            lease_id: 0,
            pressure: Pressure::default(),
            leader: None,
            version: 0,
            last_direct: None,
            vouched: None,
            unanswered: None,
            linked: false,
            last_prompt: 0,
            loads: Map::default(),
            link: Link::default(),
        }
    }

    /// Returns whether requests to the peer are likely to be answered.
    #[must_use]
    pub fn is_reachable(&self, now: Time) -> bool {
        let within = |at: Option<Time>, span| at.is_some_and(|at| at.until(now) < span);
        within(self.last_direct, REACHABLE_TIMEOUT)
            || !self.linked
                && within(self.vouched, VOUCHED_TIMEOUT)
                && !within(self.unanswered, UNANSWERED_PERIOD)
    }

    /// Returns whether there was evidence of the peer within `span`.
    #[must_use]
    pub fn is_heard(&self, span: Span, now: Time) -> bool {
        self.last_heard.until(now) < span
    }

    /// Records a message from the peer; returns whether it didn't answer before.
    fn hear_directly(&mut self, now: Time) -> bool {
        self.last_heard = now;
        self.last_direct = Some(now);
        self.unanswered = None;
        std::mem::take(&mut self.link.silent)
    }

    fn is_usable(&self, now: Time) -> bool {
        let waits = |at: Time| at.until(now) >= SUSPECT_TIMEOUT;
        self.is_heard(PEER_TIMEOUT, now)
            && !self.leaving
            && !self.link.silent
            && !self.link.in_flight.is_some_and(waits)
    }

    fn candidate(&self) -> Candidate<'_> {
        candidate(&self.member)
    }

    /// Returns the loads that the peer puts on engines.
    #[must_use]
    pub fn loads(&self) -> Vec<(u64, EngineLoad)> {
        let loads = self.loads.iter();
        let loads = loads.filter(|(_, known)| known.load != EngineLoad::default());
        loads.map(|(&engine, known)| (engine, known.load)).collect()
    }
}

fn candidate(member: &Member) -> Candidate<'_> {
    Candidate {
        address: member.address,
        domain: &member.domain,
        strength: (member.keeper.is_some(), member.processor),
    }
}

/// The effects of an update that the process must carry out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Processes that were met.
    pub met: Vec<Member>,
    /// Processes whose run has been replaced.
    pub replaced: Vec<Member>,
    /// Processes whose loads have changed.
    pub loaded: Set<SocketAddr>,
    /// Prompts that other processes have sent.
    pub prompts: Vec<SentPrompt>,
    /// Announcements of engines.
    pub announcements: Vec<ReceivedAnnouncement>,
    /// The newest version of the configuration that the sender has heard of.
    pub newest_version: u64,
    /// The evacuated failure domains, as far as the sender knows.
    pub evacuations: EvacuationSet,
}

/// The peers of a process.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: Profile,
    own_loads: Map<u64, VersionedLoad>,
    load_version: u64,
    own_prompts: u64,
    prompts: Map<(SocketAddr, u64), SentPrompt>,
    peers: Map<SocketAddr, Peer>,
    runs: Map<u64, SocketAddr>,
    ended: Map<u64, Time>,
    log: ChangeLog,
    links: Links,
    links_computed: Option<Time>,
    /// Times of the first and the latest process that was met.
    met: Option<(Time, Time)>,
    probes: Map<SocketAddr, Time>,
    expired: Time,
    newest_version: u64,
    evacuations: EvacuationSet,
    /// The replica that the arbiter chose to form the group.
    pub founder: Option<KeeperId>,
    told_founder: Option<KeeperId>,
}

impl PeerTable {
    /// Returns the table of the process `own`, which knows no others.
    #[must_use]
    pub fn new(own: Member) -> Self {
        let mut table = Self {
            own: Profile {
                member: own,
                version: 1,
                config_version: 0,
                lease: 0,
                serving: false,
                leaving: false,
                leader: None,
                pressure: Pressure::default(),
            },
            own_loads: Map::default(),
            load_version: 0,
            own_prompts: 0,
            prompts: Map::default(),
            peers: Map::default(),
            runs: Map::default(),
            ended: Map::default(),
            log: ChangeLog::default(),
            links: Links {
                is_full: true,
                ..Links::default()
            },
            links_computed: None,
            met: None,
            probes: Map::default(),
            expired: Time(0),
            newest_version: 0,
            evacuations: EvacuationSet::default(),
            founder: None,
            told_founder: None,
        };
        table.record(Topic::Profile(table.address()), Urgency::Now, None, Time(0));
        table
    }

    fn address(&self) -> SocketAddr {
        self.own.member.address
    }

    /// Returns all peers.
    pub fn values(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peer at `address`.
    #[must_use]
    pub fn get(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// Returns the peer with this replica.
    #[must_use]
    pub fn find_keeper(&self, keeper: KeeperId) -> Option<&Peer> {
        let mut peers = self.peers.values();
        peers.find(|peer| peer.member.keeper == Some(keeper))
    }

    /// Returns the links of this process.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the leader that most of the replicas heard recently report.
    #[must_use]
    pub fn reported_leader(&self, now: Time) -> Option<SocketAddr> {
        let mut votes: Map<SocketAddr, usize> = Map::default();
        let peers = self.peers.values();
        for peer in peers.filter(|peer| peer.is_heard(PEER_TIMEOUT, now)) {
            if let Some(leader) = peer.leader {
                *votes.entry(leader).or_default() += 1;
            }
        }
        let most = votes
            .into_iter()
            .max_by_key(|&(leader, count)| (count, leader));
        most.map(|(leader, _)| leader)
    }

    /// Records that `member` has sent a message.
    pub fn hear(&mut self, member: &Member, now: Time) -> Applied {
        let mut applied = Applied::default();
        self.meet(member, true, now, &mut applied);
        applied
    }

    /// Sets what this process tells of itself; the version and the member stay.
    pub fn describe(&mut self, mut profile: Profile, now: Time) {
        profile.member.clone_from(&self.own.member);
        profile.version = self.own.version;
        if profile != self.own {
            self.own = Profile {
                version: profile.version + 1,
                ..profile
            };
            self.record(Topic::Profile(self.address()), Urgency::Now, None, now);
        }
    }

    /// Sets the newest version of the configuration that this process has heard of.
    pub fn set_newest_version(&mut self, version: u64, now: Time) {
        if version > self.newest_version || self.founder != self.told_founder {
            self.newest_version = self.newest_version.max(version);
            self.told_founder = self.founder;
            self.record(Topic::Head, Urgency::Now, None, now);
        }
    }

    /// Sets the evacuated failure domains that this process knows.
    pub fn set_evacuations(&mut self, evacuations: &EvacuationSet, now: Time) {
        if evacuations.revision > self.evacuations.revision {
            self.evacuations = evacuations.clone();
            self.record(Topic::Head, Urgency::Now, None, now);
        }
    }

    /// Sets the loads that this process puts on engines.
    pub fn set_own_loads(&mut self, loads: &[(u64, EngineLoad)], now: Time) {
        let mut changes = Vec::new();
        for &(engine, load) in loads {
            if self.own_loads.get(&engine).map(|known| known.load) != Some(load) {
                changes.push((engine, load));
            }
        }
        let running: Set<u64> = loads.iter().map(|&(engine, _)| engine).collect();
        for (&engine, known) in &self.own_loads {
            if known.load != EngineLoad::default() && !running.contains(&engine) {
                changes.push((engine, EngineLoad::default()));
            }
        }
        for (engine, load) in changes {
            self.load_version += 1;
            let known = VersionedLoad {
                load,
                version: self.load_version,
                changed: now,
            };
            self.own_loads.insert(engine, known);
            let topic = Topic::Load(self.address(), engine);
            self.record(topic, Urgency::Paced, None, now);
        }
    }

    /// Adds a prompt that this process has sent.
    pub fn add_prompt(&mut self, prompt: SentPrompt, now: Time) {
        self.own_prompts += 1;
        let key = (self.address(), self.own_prompts);
        self.prompts.insert(key, prompt);
        self.record(Topic::Prompt(key.0, key.1), Urgency::Paced, None, now);
    }

    /// Records a change that the process of the run `from` has told, or that this one has made.
    fn record(&mut self, topic: Topic, urgency: Urgency, from: Option<u64>, now: Time) {
        let at_once = match topic {
            Topic::Head | Topic::Profile(_) | Topic::Ended(_) => true,
            Topic::Load(..) | Topic::Prompt(..) => self.links.relays || self.links.is_full,
            Topic::Engine(_) | Topic::Heartbeat(_) => self.passes_on_at_once(),
        };
        let due = if from.is_none() || at_once {
            now
        } else {
            now + BRIDGE_DELAY
        };
        let change = Change {
            topic,
            urgency,
            learned: now,
            due,
            known_by: from.into_iter().collect(),
        };
        self.log.record(change, now);
    }

    /// Records a member, announced by itself (`direct`) or by another one; returns whether it
    /// is the present run at its address.
    fn meet(&mut self, member: &Member, direct: bool, now: Time, applied: &mut Applied) -> bool {
        let address = member.address;
        if address == self.address() || self.ended.contains_key(&member.run_id) {
            return false;
        }
        if let Some(known) = self.peers.get(&address)
            && known.member.run_id != member.run_id
        {
            // Another process may have outdated information.
            let over =
                self.ended.contains_key(&known.member.run_id) || !known.is_heard(PEER_TIMEOUT, now);
            if !direct && !over {
                return false;
            }
            let old = known.member.clone();
            self.forget(address);
            if self.ended.insert(old.run_id, now).is_none() {
                self.record(Topic::Ended(old.run_id), Urgency::Now, None, now);
            }
            applied.replaced.push(old);
        }
        if let Entry::Vacant(place) = self.peers.entry(address) {
            place.insert(Peer::new(member.clone(), now));
            self.runs.insert(member.run_id, address);
            self.links_computed = None;
            let first = self.met.map_or(now, |(first, _)| first);
            self.met = Some((first, now));
            applied.met.push(member.clone());
            self.record(Topic::Profile(address), Urgency::Now, None, now);
        }
        if direct && let Some(peer) = self.peers.get_mut(&address) {
            let returned = !peer.is_heard(PEER_TIMEOUT, now);
            if peer.hear_directly(now) || returned {
                self.links_computed = None;
            }
            if returned {
                self.record(Topic::Profile(address), Urgency::Now, None, now);
            }
        }
        true
    }

    fn forget(&mut self, address: SocketAddr) {
        if let Some(old) = self.peers.remove(&address) {
            self.runs.remove(&old.member.run_id);
        }
        self.prompts.retain(|key, _| key.0 != address);
        self.log.retain(|change| match &change.topic {
            Topic::Profile(of) | Topic::Load(of, _) | Topic::Prompt(of, _) => *of != address,
            Topic::Head | Topic::Ended(_) | Topic::Engine(_) | Topic::Heartbeat(_) => true,
        });
    }

    /// Returns whether nothing was removed for `interval`.
    #[must_use]
    pub fn is_expiry_due(&self, interval: Span, now: Time) -> bool {
        self.expired.until(now) >= interval
    }

    /// Returns the number of the latest change that this process knows.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.log.position()
    }

    /// Returns whether a change after a number must be told at once.
    #[must_use]
    pub fn has_news(&self, position: u64) -> bool {
        let mut changes = self.log.after(position);
        changes.any(|(_, change)| change.urgency == Urgency::Now)
    }
}
