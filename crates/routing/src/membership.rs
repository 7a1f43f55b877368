//! The registry of endpoints at a keeper, from the announcements of agents.
//!
//! There is no static list of endpoints. Agents announce themselves, and entries poll
//! for the changes since a version. In a large fleet each entry sees a bounded subset,
//! so that the reports it receives do not grow with the fleet.

use std::net::SocketAddr;

use base::AgentId;
use base::EndpointId;
use base::EntryId;
use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

/// Time after its last announcement in which an agent counts as present.
pub const PRESENCE_TIMEOUT: Span = Span::secs(2);

/// Time after its last announcement at which the process of an agent counts as lost.
pub const LOSS_TIMEOUT: Span = Span::secs(60);

/// Maximum number of endpoints with the same services that an entry is told of.
pub const MAX_SUBSET_ENDPOINTS: usize = 64;

/// An announcement of an agent and its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The identifier of the agent's process.
    pub agent: AgentId,
    /// The endpoint's name.
    pub name: String,
    /// The address at which the agent accepts commands.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The names of the models or services that the endpoint serves.
    #[serde(rename = "serves")]
    pub service_names: Vec<String>,
    /// The maximum number of concurrent requests.
    #[serde(rename = "room")]
    pub max_requests: u32,
    /// The number of requests that run or wait at the endpoint.
    #[serde(rename = "busy")]
    pub active_requests: u32,
    /// The age of the load figures.
    #[serde(rename = "age")]
    pub load_age: Span,
    /// Whether the endpoint accepts no new requests.
    #[serde(rename = "leaving")]
    pub draining: bool,
    /// Whether the agent stops and holds no receipts.
    #[serde(rename = "last")]
    pub final_announcement: bool,
    /// The number of the configuration document that the agent applies.
    #[serde(rename = "document")]
    pub document_number: u64,
}

/// The membership changes since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipDelta {
    /// The version that the changes result in.
    pub version: u64,
    /// The endpoints that were added or changed, with the age of their load figures.
    pub updated_endpoints: Vec<EndpointAnnouncement>,
    /// The endpoints that were removed.
    pub removed_endpoints: Vec<EndpointId>,
}

#[derive(Clone, Debug)]
struct Member {
    announcement: EndpointAnnouncement,
    last_seen: Time,
    version: u64,
    is_present: bool,
}

/// The endpoints known to a keeper.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    members: Map<EndpointId, Member>,
    version: u64,
}

/// The effect of an announcement on the list of agents of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// The agent was already registered.
    Known,
    /// The agent is new.
    New,
    /// The agent replaces another process at the same endpoint.
    Replaces(AgentId),
}

impl Registry {
    /// Registers the agent of an announcement, or updates it.
    pub fn register(&mut self, announcement: EndpointAnnouncement, now: Time) -> RegistryUpdate {
        self.version += 1;
        let id = announcement.agent.endpoint;
        let update = match self.members.get(&id) {
            None => RegistryUpdate::New,
            Some(member) if member.announcement.agent == announcement.agent => {
                RegistryUpdate::Known
            }
            Some(member) => RegistryUpdate::Replaces(member.announcement.agent),
        };
        let is_present = !announcement.final_announcement;
        let member = Member {
            announcement,
            last_seen: now,
            version: self.version,
            is_present,
        };
        self.members.insert(id, member);
        update
    }

    /// Marks endpoints without recent announcements as absent and returns the lost agents.
    pub fn expire(&mut self, now: Time) -> Vec<AgentId> {
        let mut lost = Vec::new();
        for member in self.members.values_mut() {
            let silence = now.since(member.last_seen);
            if member.is_present && silence >= PRESENCE_TIMEOUT {
                self.version += 1;
                member.version = self.version;
                member.is_present = false;
            }
            if silence >= LOSS_TIMEOUT && !member.announcement.final_announcement {
                lost.push(member.announcement.agent);
            }
        }
        lost
    }

    /// Removes an agent.
    pub fn remove(&mut self, agent: AgentId) {
        let is_same_agent = |member: &Member| member.announcement.agent == agent;
        if self.members.get(&agent.endpoint).is_some_and(is_same_agent) {
            self.members.remove(&agent.endpoint);
        }
    }

    /// Returns the address at which an agent accepts commands.
    #[must_use]
    pub fn agent_address(&self, agent: AgentId) -> Option<SocketAddr> {
        let member = self.members.get(&agent.endpoint)?;
        (member.announcement.agent == agent).then_some(member.announcement.address)
    }

    /// Returns the announcements of the present endpoints.
    pub fn present_endpoints(&self) -> impl Iterator<Item = &EndpointAnnouncement> + '_ {
        let members = self.members.values().filter(|member| member.is_present);
        members.map(|member| &member.announcement)
    }

    /// Returns the changes after `version` that `entry` is told of.
    #[must_use]
    pub fn changes_since(&self, version: u64, entry: EntryId, now: Time) -> MembershipDelta {
        let mut delta = MembershipDelta {
            version: self.version,
            ..MembershipDelta::default()
        };
        // The version counter of a keeper restarts at zero.
        let base_version = if version > self.version { 0 } else { version };
        let mut changed: Vec<&Member> = Vec::new();
        for (&id, member) in &self.members {
            if member.version <= base_version {
                continue;
            }
            if member.is_present {
                changed.push(member);
            } else {
                delta.removed_endpoints.push(id);
            }
        }
        let mut members_by_services: Map<&[String], Vec<&Member>> = Map::default();
        for member in changed {
            let group = members_by_services
                .entry(&member.announcement.service_names)
                .or_default();
            group.push(member);
        }
        for (services, mut members) in members_by_services {
            let max_rank = self.max_subset_rank(services, entry);
            members.retain(|member| subset_rank(member, entry) <= max_rank);
            for member in members {
                let mut announcement = member.announcement.clone();
                announcement.load_age =
                    Span(announcement.load_age.0 + now.since(member.last_seen).0);
                delta.updated_endpoints.push(announcement);
            }
        }
        delta
            .updated_endpoints
            .sort_by_key(|announcement| announcement.agent);
        delta.removed_endpoints.sort_unstable();
        delta
    }

    /// Returns the highest rank in the subset of endpoints with these services for `entry`.
    fn max_subset_rank(&self, services: &[String], entry: EntryId) -> u64 {
        let same_services = self
            .members
            .values()
            .filter(|member| member.is_present && member.announcement.service_names == services);
        let mut ranks: Vec<u64> = same_services
            .map(|member| subset_rank(member, entry))
            .collect();
        if ranks.len() <= MAX_SUBSET_ENDPOINTS {
            return u64::MAX;
        }
        let (_, max_rank, _) = ranks.select_nth_unstable(MAX_SUBSET_ENDPOINTS - 1);
        *max_rank
    }
}

/// Returns the rank of an endpoint for an entry. The lowest ranks form its subset.
fn subset_rank(member: &Member, entry: EntryId) -> u64 {
    let mut hash = member.announcement.agent.endpoint.0 ^ entry.0.rotate_left(32);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
