//! The role that forwards requests as they are.
//!
//! - [`budget`]: grants of teams' tokens.
//! - [`conn`]: a TCP connection with what was read of it.
//! - [`control`]: what engines, operators and the balancer ask.
//! - [`group`]: the thread that owns a replica of the log and its disk.
//! - [`front`]: callers' connections.
//! - [`links`]: idle connections to engines.
//! - [`mesh`]: news between processes and questions to the leader.
//! - [`meter`]: counters and latency histograms.
//! - [`outbox`]: messages of the log that wait for one replica.
//! - [`process`]: a whole process.
//! - [`record`]: the replicated state.
//! - [`relay`]: one request's way.
//! - [`seals`]: what entries have opened of their grants, on a witness's disk.
//! - [`settle`]: leases that have ended, closed by their witnesses.
//! - [`state`]: what a process knows.
//! - [`witness`]: marks of what entries open of their grants.

pub mod budget;
pub mod conn;
pub mod control;
pub mod front;
pub mod group;
pub mod links;
pub mod mesh;
pub mod meter;
pub mod outbox;
pub mod process;
pub mod record;
pub mod relay;
pub mod seals;
pub mod settle;
pub mod state;
pub mod witness;

pub use crate::process::Gateway;
