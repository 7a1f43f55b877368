//! The HTTP interface towards operators.
//!
//! - [`access`]: identities, roles and their keys.
//! - [`api`]: the questions that a browser or script may ask.
//! - [`console`]: the page of forms.

pub mod access;
pub mod api;
pub mod console;

pub use crate::access::Identities;
pub use crate::access::Role;
pub use crate::api::Backend;
