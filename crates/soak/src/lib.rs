//! Runs real processes under seeded faults and checks the system's invariants meanwhile.
//!
//! - [`caller`]: callers that send requests, and the operator's calls.
//! - [`departures`]: engines that leave or ask for a pause, and who sends to them.
//! - [`engine`]: fake engines that report each run to the oracle.
//! - [`link`]: a relay that emulates the links between processes.
//! - [`logs`]: what the processes' logs say about configurations and leaders.
//! - [`oracle`]: the observations, and the invariants that they break.
//! - [`plan`]: the faults of a seed.
//! - [`process`]: starts, signals and kills processes by their ids.
//! - [`proxy`]: a loopback proxy that delays, resets or stalls traffic.
//! - [`replacements`]: machines with a disk that are replaced one after the other.
//! - [`rollout`]: large configurations and storms of changes at gateways with limited links.
//! - [`run`]: one run, from its seed to its report.
//! - [`setup`]: free ports, and the announcements of engines.
//! - [`throttle`]: limits processes to a part of a core.
//! - [`timeline`]: the changes and restarts of a rollout, from its seed.
//! - [`versions`]: the submitted configurations, and which responses agree with them.
//! - [`wire`]: HTTP messages over blocking sockets.

pub mod caller;
pub mod departures;
pub mod engine;
pub mod link;
pub mod logs;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod replacements;
pub mod rollout;
pub mod run;
pub mod setup;
pub mod throttle;
pub mod timeline;
pub mod versions;
pub mod wire;

pub use crate::run::Report;
pub use crate::run::RunSettings;
pub use crate::run::SoakError;
pub use crate::run::run;
