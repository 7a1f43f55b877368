//! The roles of the daemon and their settings.
//!
//! - [`agent`]: the process beside an endpoint.
//! - [`entry`]: the instance that callers reach.
//! - [`keeper`]: the instance with a disk.
//! - [`process`]: one process with one or more roles.
//! - [`settings`]: what a process learns from its file.

pub mod agent;
pub mod entry;
pub mod keeper;
pub mod process;
pub mod settings;

pub use crate::process::Process;
pub use crate::settings::Settings;
