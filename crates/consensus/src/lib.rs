//! A replicated log as a pure state machine.
//!
//! A [`Replica`] takes messages, ticks and proposals and returns [`Effects`]. The
//! caller carries them out in this order: log writes, one sync, then messages,
//! committed entries and reads. The replica has no clock, socket or disk of its own.
//!
//! - [`log`]: the in-memory entries after the last snapshot.
//! - [`members`]: voters and learners, each bound to one disk identity.
//! - [`message`]: the messages between replicas.
//! - [`progress`]: a leader's replication state for each follower.
//! - [`replica`]: terms, elections, linearizable reads and membership changes.
//! - [`replication`]: log replication and commitment, for leader and follower.
//! - [`verify`]: safety checks over a whole group, for tests and dumps.

pub mod log;
pub mod members;
pub mod message;
pub mod progress;
pub mod replica;
mod replication;
pub mod verify;

pub use crate::log::Entry;
pub use crate::log::Payload;
pub use crate::log::Position;
pub use crate::log::Snapshot;
pub use crate::members::Members;
pub use crate::members::MembershipChange;
pub use crate::members::ReplacementPolicy;
pub use crate::message::Envelope;
pub use crate::message::Message;
pub use crate::replica::Effects;
pub use crate::replica::HardState;
pub use crate::replica::LogWrite;
pub use crate::replica::ProposeError;
pub use crate::replica::Replica;
pub use crate::replica::Role;
