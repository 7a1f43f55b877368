//! The operators' document: reading, checking, writing and accepting.
//!
//! - [`check`]: the verifier, which names every fault by path.
//! - [`document`]: the document and its items.
//! - [`patch`]: the difference between two documents.
//! - [`read`]: from YAML or JSON.
//! - [`register`]: acceptance by compare-and-set, as a replicated state.
//! - [`site`]: the configuration of a site that forwards requests as they are.
//! - [`tree`]: a walk through YAML or JSON that collects every fault.
//! - [`write`]: the canonical form and its digest.

pub mod check;
pub mod document;
pub mod patch;
pub mod read;
pub mod register;
pub mod site;
pub mod tree;
pub mod write;

pub use crate::check::Fault;
pub use crate::check::Reason;
pub use crate::document::Document;
pub use crate::patch::Patch;
pub use crate::register::Answer;
pub use crate::register::Register;
pub use crate::register::Submission;
