//! Journal segments and checkpoints in one data folder.
//!
//! - [`error`]: I/O errors and corruption, with file and offset.
//! - [`folder`]: the data folder, its lock and its identity.
//! - [`journal`]: append, group commit, checkpoints and recovery.
//! - [`record`]: record encoding and segment scans.
//! - [`verify`]: a read-only check of a journal that reports every error.

pub mod error;
pub mod folder;
pub mod journal;
pub mod record;
pub mod verify;

pub use crate::error::StoreError;
pub use crate::folder::DataFolder;
pub use crate::journal::Journal;
pub use crate::journal::JournalOptions;
pub use crate::journal::RecoveredJournal;
