//! The role that forwards requests as they are.
//!
//! - [`budget`]: grants of teams' tokens.
//! - [`conn`]: a TCP connection with its receive buffer.
//! - [`control`]: the control interface for engines, operators and the load balancer.
//! - [`forwarding`]: forwards one request to engines.
//! - [`frontend`]: the HTTP server for callers.
//! - [`group`]: the thread that owns a replica of the log and its disk.
//! - [`links`]: idle connections to engines.
//! - [`mesh`]: news between processes and questions to the leader.
//! - [`metrics`]: request counters and latency histograms.
//! - [`outbox`]: messages of the log that wait for one replica.
//! - [`process`]: startup, settings reload and shutdown of a process.
//! - [`record`]: the replicated state.
//! - [`seals`]: what entries have opened of their grants, on a witness's disk.
//! - [`settle`]: leases that have ended, closed by their witnesses.
//! - [`state`]: what a process knows.
//! - [`witness`]: marks of what entries open of their grants.

pub mod budget;
pub mod conn;
pub mod control;
pub mod forwarding;
pub mod frontend;
pub mod group;
pub mod links;
pub mod mesh;
pub mod metrics;
pub mod outbox;
pub mod process;
pub mod record;
pub mod seals;
pub mod settle;
pub mod state;
pub mod witness;

pub use crate::process::Gateway;
