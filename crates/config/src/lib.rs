//! The operators' document: parsing, validation, serialization and acceptance.
//!
//! - [`canonical`]: the canonical JSON form and its digest.
//! - [`check`]: validation, which reports every fault with its path.
//! - [`document`]: the document and its items.
//! - [`held`]: the configuration that a process holds, and what it knows of newer ones.
//! - [`packed`]: the compressed form of a configuration.
//! - [`patch`]: the difference between two documents.
//! - [`parse`]: parsing from YAML or JSON.
//! - [`register`]: acceptance by compare-and-set, as a replicated state machine.
//! - [`site`]: the configuration of a gateway that forwards requests unchanged.
//! - [`transfer`]: the transfer of a configuration in parts.
//! - [`value`]: a typed reader of YAML or JSON values that collects every fault.

pub mod canonical;
pub mod check;
pub mod document;
pub mod held;
pub mod packed;
pub mod parse;
pub mod patch;
pub mod register;
pub mod site;
pub mod transfer;
pub mod value;

pub use crate::check::Fault;
pub use crate::check::FaultKind;
pub use crate::document::Document;
pub use crate::patch::Patch;
pub use crate::register::Register;
pub use crate::register::Submission;
pub use crate::register::SubmitResult;
