//! Runs real processes under seeded faults and checks the system's invariants meanwhile.
//!
//! - [`caller`]: callers that send requests, and the operator's calls.
//! - [`engine`]: fake engines that report each run to the oracle.
//! - [`oracle`]: the observations, and the invariants that they break.
//! - [`plan`]: the faults of a seed.
//! - [`process`]: starts, signals and kills processes by their ids.
//! - [`proxy`]: a loopback proxy that delays, resets or stalls traffic.
//! - [`run`]: one run, from its seed to its report.
//! - [`wire`]: HTTP messages over blocking sockets.

pub mod caller;
pub mod engine;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod wire;

pub use crate::run::Report;
pub use crate::run::RunSettings;
pub use crate::run::SoakError;
pub use crate::run::run;
