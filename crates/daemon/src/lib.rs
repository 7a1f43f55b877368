//! The roles of the daemon and their settings.
//!
//! - [`agent`]: the sidecar beside an endpoint.
//! - [`entry`]: the role that serves callers.
//! - [`keeper`]: the role with a disk: a consensus replica.
//! - [`process`]: one process with one or more roles.
//! - [`settings`]: the settings of a process, read from its file.

pub mod agent;
pub mod entry;
pub mod keeper;
pub mod process;
pub mod settings;

pub use crate::process::Process;
pub use crate::settings::Settings;
