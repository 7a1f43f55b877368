//! A replicated log as a pure state machine.
//!
//! A [`Replica`] takes messages, ticks and proposals and yields [`Effects`]. The
//! caller carries them out in this order: writes, then one sync, then sends,
//! applied entries and reads. It has no clock, socket or disk of its own.
//!
//! - [`log`]: entries in memory since the last snapshot.
//! - [`members`]: voters and learners, each bound to one disk.
//! - [`message`]: what replicas say to each other.
//! - [`progress`]: what a leader knows of a follower.
//! - [`replica`]: terms, elections, commitment, reads and member changes.
//! - [`replication`]: the leader's and the follower's side of appending.
//! - [`verify`]: checks over a whole group, for tests and dumps.

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
pub use crate::members::Change;
pub use crate::members::Members;
pub use crate::message::Envelope;
pub use crate::message::Message;
pub use crate::replica::Effects;
pub use crate::replica::ProposeError;
pub use crate::replica::Replica;
pub use crate::replica::Role;
pub use crate::replica::Saved;
pub use crate::replica::Write;
