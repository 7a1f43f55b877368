//! The identity under which a process holds leases on teams' tokens.

use std::hash::BuildHasher as _;
use std::net::SocketAddr;

/// Returns the holder identifier of the process at `address`. A process that restarts there
/// has the same one.
#[must_use]
pub fn holder_id(address: SocketAddr) -> u64 {
    base::hash::hasher().hash_one(address)
}
