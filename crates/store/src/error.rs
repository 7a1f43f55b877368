//! What can go wrong with the data folder.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

/// A failure of the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process holds the folder.
    #[error("{}: another process uses this data folder", .0.display())]
    Locked(PathBuf),
    /// The disk or the folder's quota is full.
    #[error("{}: no space is left", .0.display())]
    Full(PathBuf),
    /// The folder can't be written.
    #[error("{}: the data folder is read-only", .0.display())]
    ReadOnly(PathBuf),
    /// A synced record is damaged.
    #[error("{}: damaged at offset {offset}: {reason}", path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset in bytes.
        offset: u64,
        /// What is wrong there.
        reason: Damage,
    },
    /// A segment is missing between two others.
    #[error("{}: a segment is missing before this one", .0.display())]
    Missing(PathBuf),
    /// An earlier write failed; nothing can be promised until a restart.
    #[error("an earlier write failed; restart to recover")]
    Poisoned,
    /// Any other failure of the operating system.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// What is wrong with a record or file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Damage {
    /// The file doesn't start as it should.
    #[error("the file header is wrong")]
    Header,
    /// The checksum doesn't match.
    #[error("the checksum does not match")]
    Checksum,
    /// A whole record follows one that can't be read.
    #[error("a record that was synced can't be read")]
    Hole,
    /// The file ends too early.
    #[error("the file ends too early")]
    Short,
}

impl StoreError {
    /// Returns the error for a failure of the operating system at `path`.
    #[must_use]
    pub fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full(path),
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => {
                Self::ReadOnly(path)
            }
            _ => Self::Io { path, source },
        }
    }
}
