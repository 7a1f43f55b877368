//! The endpoints that announce themselves to a keeper.
//!
//! No list of endpoints exists. Agents announce themselves, entries ask for what
//! changed since a version. In a large fleet each entry sees a bounded subset, so
//! that the reports it gets don't grow with the fleet.

use std::net::SocketAddr;

use base::AgentId;
use base::EndpointId;
use base::EntryId;
use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

/// How long an agent that falls silent counts as present.
pub const SILENCE: Span = Span::secs(2);

/// How long an agent stays silent before its process counts as lost.
pub const LOST: Span = Span::secs(60);

/// Most endpoints of one kind that an entry is told of.
pub const SUBSET: usize = 64;

/// What an agent says of itself and its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The agent's process.
    pub agent: AgentId,
    /// The endpoint's name.
    pub name: String,
    /// Where the agent takes orders.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The models or services that the endpoint serves.
    pub serves: Vec<String>,
    /// Requests that it takes together.
    pub room: u32,
    /// Requests that run or wait there.
    pub busy: u32,
    /// How old the load is.
    pub age: Span,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether the agent stops and holds no receipts.
    pub last: bool,
    /// The number of the document that the agent has in force.
    pub document: u64,
}

/// What changed since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the changes lead to.
    pub version: u64,
    /// Endpoints that are new or changed, with the age of what is told.
    pub changed: Vec<Announce>,
    /// Endpoints that are gone.
    pub gone: Vec<EndpointId>,
}

#[derive(Clone, Debug)]
struct Member {
    announce: Announce,
    seen: Time,
    version: u64,
    present: bool,
}

/// The endpoints known to a keeper.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    members: Map<EndpointId, Member>,
    version: u64,
}

/// What an announcement means for the share's list of agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The agent is known.
    Known,
    /// The agent is new.
    New,
    /// The agent replaces another process beside the same endpoint.
    Replaces(AgentId),
}

impl Registry {
    /// Takes in an announcement.
    pub fn announce(&mut self, announce: Announce, now: Time) -> Arrival {
        self.version += 1;
        let id = announce.agent.endpoint;
        let arrival = match self.members.get(&id) {
            None => Arrival::New,
            Some(member) if member.announce.agent == announce.agent => Arrival::Known,
            Some(member) => Arrival::Replaces(member.announce.agent),
        };
        let present = !announce.last;
        let member = Member {
            announce,
            seen: now,
            version: self.version,
            present,
        };
        self.members.insert(id, member);
        arrival
    }

    /// Marks silent endpoints as gone; returns agents that count as lost.
    pub fn expire(&mut self, now: Time) -> Vec<AgentId> {
        let mut lost = Vec::new();
        for member in self.members.values_mut() {
            let silence = now.since(member.seen);
            if member.present && silence >= SILENCE {
                self.version += 1;
                member.version = self.version;
                member.present = false;
            }
            if silence >= LOST && !member.announce.last {
                lost.push(member.announce.agent);
            }
        }
        lost
    }

    /// Forgets an agent.
    pub fn forget(&mut self, agent: AgentId) {
        let same = |member: &Member| member.announce.agent == agent;
        if self.members.get(&agent.endpoint).is_some_and(same) {
            self.members.remove(&agent.endpoint);
        }
    }

    /// Returns where an agent takes orders.
    #[must_use]
    pub fn address(&self, agent: AgentId) -> Option<SocketAddr> {
        let member = self.members.get(&agent.endpoint)?;
        (member.announce.agent == agent).then_some(member.announce.address)
    }

    /// Returns the present endpoints.
    pub fn present(&self) -> impl Iterator<Item = &Announce> + '_ {
        let members = self.members.values().filter(|member| member.present);
        members.map(|member| &member.announce)
    }

    /// Returns what `entry` is told that has all changes up to `version`.
    #[must_use]
    pub fn since(&self, version: u64, entry: EntryId, now: Time) -> Delta {
        let mut delta = Delta {
            version: self.version,
            ..Delta::default()
        };
        // A keeper that restarted counts from zero again.
        let from = if version > self.version { 0 } else { version };
        let mut told: Vec<&Member> = Vec::new();
        for (&id, member) in &self.members {
            if member.version <= from {
                continue;
            }
            if member.present {
                told.push(member);
            } else {
                delta.gone.push(id);
            }
        }
        let mut kinds: Map<&[String], Vec<&Member>> = Map::default();
        for member in told {
            let kind = kinds.entry(&member.announce.serves).or_default();
            kind.push(member);
        }
        for (serves, mut members) in kinds {
            let bound = self.subset_bound(serves, entry);
            members.retain(|member| rank(member, entry) <= bound);
            for member in members {
                let mut announce = member.announce.clone();
                announce.age = Span(announce.age.0 + now.since(member.seen).0);
                delta.changed.push(announce);
            }
        }
        delta.changed.sort_by_key(|announce| announce.agent);
        delta.gone.sort_unstable();
        delta
    }

    /// Returns the rank of the last endpoint of a kind that `entry` is told of.
    fn subset_bound(&self, serves: &[String], entry: EntryId) -> u64 {
        let same = self
            .members
            .values()
            .filter(|member| member.present && member.announce.serves == serves);
        let mut ranks: Vec<u64> = same.map(|member| rank(member, entry)).collect();
        if ranks.len() <= SUBSET {
            return u64::MAX;
        }
        let (_, bound, _) = ranks.select_nth_unstable(SUBSET - 1);
        *bound
    }
}

/// Returns the rank of an endpoint for an entry; the lowest are told.
fn rank(member: &Member, entry: EntryId) -> u64 {
    let mut hash = member.announce.agent.endpoint.0 ^ entry.0.rotate_left(32);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
