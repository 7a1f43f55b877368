//! Identifiers, units, time and hashing shared by every package.
//!
//! - [`hash`]: hash maps and sets with a fast hasher.
//! - [`id`]: newtype identifiers.
//! - [`time`]: monotonic instants and durations, passed in by the caller.
//! - [`units`]: token amounts with checked and saturating arithmetic.

pub mod hash;
pub mod id;
pub mod time;
pub mod units;

pub use crate::hash::Map;
pub use crate::hash::Set;
pub use crate::id::AgentId;
pub use crate::id::Digest;
pub use crate::id::EndpointId;
pub use crate::id::EntryId;
pub use crate::id::KeeperId;
pub use crate::id::LeaseId;
pub use crate::id::RequestId;
pub use crate::id::TeamId;
pub use crate::time::Span;
pub use crate::time::Time;
pub use crate::units::Tokens;
