//! Real processes under seeded faults, checked against the promises while they run.
//!
//! - [`caller`]: callers and the operator.
//! - [`engine`]: stand-in engines that say who ran what.
//! - [`oracle`]: what was seen, and which promises that breaks.
//! - [`plan`]: the faults of a seed.
//! - [`process`]: processes, started, signalled and ended by their ids.
//! - [`proxy`]: a loopback proxy that delays, resets, silences or cuts one way.
//! - [`run`]: one run from its seed to its report.
//! - [`wire`]: messages over blocking sockets.

pub mod caller;
pub mod engine;
pub mod oracle;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod run;
pub mod wire;

pub use crate::run::Report;
pub use crate::run::Setup;
pub use crate::run::SoakError;
pub use crate::run::run;
