//! Journal segments and checkpoints in one data folder.
//!
//! - [`error`]: what can go wrong, with file and offset.
//! - [`folder`]: the data folder, its lock and its identity.
//! - [`journal`]: appending, group sync, checkpoints and recovery.
//! - [`record`]: the encoding of one record and the scan of a segment.
//! - [`verify`]: a check of a folder that names every fault.

pub mod error;
pub mod folder;
pub mod journal;
pub mod record;
pub mod verify;

pub use crate::error::StoreError;
pub use crate::folder::Folder;
pub use crate::journal::Journal;
pub use crate::journal::Options;
pub use crate::journal::Recovered;
