//! Hash maps and sets with a fast, non-cryptographic hasher.
//!
//! The hasher does not resist collision attacks. Keys that a caller chooses are
//! hashed with BLAKE3 first (see [`crate::RequestId`]).

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// A hash map that uses [`FxBuildHasher`].
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set that uses [`FxBuildHasher`].
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// Returns the hasher builder. It is unseeded: all processes of one build compute
/// the same hashes.
#[must_use]
pub fn hasher() -> FxBuildHasher {
    FxBuildHasher
}
