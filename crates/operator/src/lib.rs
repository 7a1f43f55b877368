//! The HTTP interface for operators.
//!
//! - [`access`]: the operators' identities, roles and keys.
//! - [`api`]: the HTTP API for the console page and for scripts.
//! - [`console`]: the console page.

pub mod access;
pub mod api;
pub mod console;

pub use crate::access::Identities;
pub use crate::access::Role;
pub use crate::api::Backend;
