//! Newtype identifiers, derived from names or drawn at random.
//!
//! Names from settings and documents are hashed to fixed-size identifiers, so that
//! messages and tables carry 8 or 16 bytes instead of text.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Length in bytes of a [`Digest`].
pub const DIGEST_BYTES: usize = 32;

fn name_hash(kind: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(kind.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let hash = hasher.finalize();
    let mut out = [0; 8];
    out.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(out)
}

macro_rules! named_id {
    ($name:ident, $kind:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the identifier for `name`, which is the same in every process.
            #[must_use]
            pub fn from_name(name: &str) -> Self {
                Self(name_hash($kind, name))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($kind, "{:x}"), self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

named_id!(
    TeamId,
    "team",
    "Identifies a team, which owns a prepaid budget."
);
named_id!(EntryId, "entry", "Identifies an entry instance.");
named_id!(
    EndpointId,
    "endpoint",
    "Identifies a model engine or plain service."
);

/// Identifies a member of the keeper group.
///
/// Numbers are never reused: a keeper that lost its disk rejoins under a new
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeeperId(pub u32);

impl fmt::Display for KeeperId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "keeper{}", self.0)
    }
}

/// Identifies one lease by its entry and the epoch of the entry process.
///
/// A restarted entry draws a new `epoch`, so that it never mistakes grants to the
/// earlier process for its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// The entry that holds the lease.
    pub entry: EntryId,
    /// A random number drawn when the entry starts.
    pub epoch: u64,
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.entry, self.epoch)
    }
}

/// Identifies one agent process by its endpoint and epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AgentId {
    /// The endpoint that the agent serves.
    pub endpoint: EndpointId,
    /// A random number drawn when the agent starts.
    pub epoch: u64,
}

impl fmt::Display for AgentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.endpoint, self.epoch)
    }
}

/// Identifies a request by a hash of its team and its idempotency key.
///
/// Two teams that choose the same key get different identifiers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Returns the identifier of `team`'s request with the idempotency key `key`.
    #[must_use]
    pub fn of(team: TeamId, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&team.0.to_le_bytes());
        hasher.update(key.as_bytes());
        let hash = hasher.finalize();
        let mut out = [0; 16];
        out.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(out))
    }

    /// Returns the lower 64 bits of the identifier.
    #[must_use]
    pub fn low_bits(self) -> u64 {
        u64::try_from(self.0 & u128::from(u64::MAX)).unwrap_or(0)
    }

    /// Returns the upper 64 bits of the identifier.
    #[must_use]
    pub fn high_bits(self) -> u64 {
        u64::try_from(self.0 >> 64).unwrap_or(0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request{:x}", self.0)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A BLAKE3 digest of a request body, an answer or a document.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the digest as lower-case hexadecimal.
    #[must_use]
    pub fn to_hex(&self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..16])
    }
}
