//! The gateway role: forwards requests unchanged.
//!
//! - [`advertise`]: checks the address that peers use.
//! - [`budget`]: draws, lends and returns grants of teams' tokens.
//! - [`compaction`]: when the replicated log is compacted.
//! - [`config_sync`]: fetches newer configurations from peers and confirms the latest one.
//! - [`conn`]: a TCP connection with its receive buffer.
//! - [`connection_pool`]: idle connections to engines.
//! - [`control`]: the control interface for engines, operators and the load balancer.
//! - [`crash_news`]: exchanges with peers which prompt segments crash engines.
//! - [`departures`]: the departures of engines in the replicated log.
//! - [`engines`]: what engines tell, and when their departures are acknowledged.
//! - [`evacuations`]: orders to evacuate failure domains.
//! - [`forwarding`]: forwards one request to engines.
//! - [`frontend`]: the HTTP server for callers.
//! - [`group`]: the consensus driver, a thread that owns a replica and its disk.
//! - [`holder`]: the identity under which a process holds leases on teams' tokens.
//! - [`input_queue`]: the queue of inputs to the replica's thread.
//! - [`intake`]: the connections of a listener, and what requests may hold.
//! - [`leader_requests`]: requests to the group's leader, and joining the group.
//! - [`load_monitor`]: how late the process is, and whether it passes callers on.
//! - [`log_clock`]: the time of the replicated log.
//! - [`membership`]: the number of voters and the replacement of absent ones.
//! - [`mesh`]: state updates between processes.
//! - [`metrics`]: request counters and latency histograms.
//! - [`outbox`]: the queue of consensus messages to one replica.
//! - [`peer_requests`]: requests to peers.
//! - [`process`]: startup, settings reload and shutdown of a process.
//! - [`replica_messages`]: messages of the replicated log to other replicas.
//! - [`replica_reports`]: tells the leader which replicas run and which are about to stop.
//! - [`replicated_state`]: the state machine of the replicated log.
//! - [`response_buffers`]: the memory that answers of engines take.
//! - [`settlement`]: closes leases that have ended.
//! - [`state`]: the shared state of a process.
//! - [`ticker`]: when the replica's thread ticks.
//! - [`waiting_rooms`]: the requests that wait for room at engines.
//! - [`warm_up`]: the part of the bound on cold engines that belongs to this entry.
//! - [`witness`]: records entries' high-water marks at witnesses.
//! - [`witness_log`]: the journal of high-water marks on a witness's disk.

pub mod advertise;
pub mod budget;
pub mod compaction;
pub mod config_sync;
pub mod conn;
pub mod connection_pool;
pub mod control;
pub mod crash_news;
pub mod departures;
pub mod engines;
pub mod evacuations;
pub mod forwarding;
pub mod frontend;
pub mod group;
pub mod holder;
pub mod input_queue;
pub mod intake;
pub mod leader_requests;
pub mod load_monitor;
pub mod log_clock;
pub mod membership;
pub mod mesh;
pub mod metrics;
pub mod outbox;
pub mod peer_requests;
pub mod process;
pub mod replica_messages;
pub mod replica_reports;
pub mod replicated_state;
pub mod response_buffers;
pub mod settlement;
pub mod state;
pub mod ticker;
pub mod waiting_rooms;
pub mod warm_up;
pub mod witness;
pub mod witness_log;

pub use crate::process::Gateway;
pub use crate::process::GatewayOptions;
