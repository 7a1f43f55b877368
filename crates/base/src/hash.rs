//! Maps and sets with a fast hasher.
//!
//! The hasher is not resistant to chosen keys. Keys that a caller chooses are
//! digested first (see [`crate::RequestId`]).

use std::collections::HashMap;
use std::collections::HashSet;

use rustc_hash::FxBuildHasher;

/// A hash map with the fast hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with the fast hasher.
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// Returns the fast hasher, whose results are the same in all processes of one
/// build.
#[must_use]
pub fn hasher() -> FxBuildHasher {
    FxBuildHasher
}
