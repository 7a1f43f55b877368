//! Which processes a process is linked to.
//!
//! Load pattern: hundreds of processes, most of them on weak machines. Up to
//! [`FULL_MESH_SIZE`] of them are all linked; beyond that the strongest of each failure domain
//! relay, and the others follow two of them.

use std::hash::BuildHasher as _;
use std::net::SocketAddr;

use base::Map;
use base::Set;
use base::Span;

/// Maximum number of processes that are all linked to each other.
pub const FULL_MESH_SIZE: usize = 16;

/// Number of processes of a failure domain for each of its relays.
const RELAY_GROUP_SIZE: usize = 16;

/// Minimum number of relays of a failure domain, and number of relays that others follow.
const MIN_RELAYS: usize = 2;

/// Time between two updates that carry loads, where all processes are linked.
const DIRECT_PACE: Span = Span::millis(200);

/// The same between relays, and from a follower to its first relay. Three such hops take as
/// long as a direct one.
const RELAY_PACE: Span = Span(DIRECT_PACE.0 / 3);

/// A present process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: &'a str,
    /// Whether it has a disk, and its share of a processor; more is stronger.
    pub strength: (bool, u32),
}

/// The links of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Links {
    /// The linked processes, with the time between two updates that carry loads.
    pub paces: Map<SocketAddr, Span>,
    /// Whether the process passes on what others tell it.
    pub relays: bool,
    /// Whether all processes are linked.
    pub is_full: bool,
}

/// Returns the relays of each failure domain, the strongest first.
fn relays<'a>(candidates: &[Candidate<'a>]) -> Map<&'a str, Vec<SocketAddr>> {
    let mut domains: Map<&str, Vec<&Candidate<'a>>> = Map::default();
    for candidate in candidates {
        domains.entry(candidate.domain).or_default().push(candidate);
    }
    let chosen = domains.into_iter().map(|(domain, mut members)| {
        let count = members.len().div_ceil(RELAY_GROUP_SIZE).max(MIN_RELAYS);
        members.sort_unstable_by_key(|member| {
            let (has_disk, share) = member.strength;
            (!has_disk, u32::MAX - share, member.address)
        });
        members.truncate(count);
        (
            domain,
            members.iter().map(|member| member.address).collect(),
        )
    });
    chosen.collect()
}

/// Orders relays for a follower: each follower has an order of its own.
fn rank(follower: SocketAddr, relay: SocketAddr) -> u64 {
    base::hash::hasher().hash_one((follower, relay))
}

/// Returns the links of `own` to `others`, which are the other present processes.
#[must_use]
pub fn links(own: &Candidate<'_>, others: &[Candidate<'_>]) -> Links {
    if others.len() < FULL_MESH_SIZE {
        let paces = others.iter().map(|other| (other.address, DIRECT_PACE));
        return Links {
            paces: paces.collect(),
            relays: false,
            is_full: true,
        };
    }
    let mut all = others.to_vec();
    all.push(own.clone());
    let relays = relays(&all);
    let is_relay = |address: &SocketAddr| relays.values().any(|list| list.contains(address));
    let mut links = Links::default();
    if is_relay(&own.address) {
        let others = relays.values().flatten();
        let others = others.filter(|&&relay| relay != own.address);
        links.paces = others.map(|&relay| (relay, RELAY_PACE)).collect();
        links.relays = true;
        return links;
    }
    let near = relays.get(own.domain).into_iter().flatten().copied();
    let near: Set<SocketAddr> = near.collect();
    let mut order: Vec<SocketAddr> = relays.values().flatten().copied().collect();
    order.sort_unstable_by_key(|&relay| (!near.contains(&relay), rank(own.address, relay)));
    for (index, relay) in order.into_iter().take(MIN_RELAYS).enumerate() {
        let pace = if index == 0 { RELAY_PACE } else { DIRECT_PACE };
        links.paces.insert(relay, pace);
    }
    links
}
