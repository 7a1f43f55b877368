//! Errors of the data folder: I/O errors and corruption, with file and offset.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

/// An error of the data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error("{}: another process uses this data folder", .0.display())]
    Locked(PathBuf),
    /// The disk or the folder's quota is full.
    #[error("{}: no space is left", .0.display())]
    NoSpace(PathBuf),
    /// The folder can't be written.
    #[error("{}: the data folder is read-only", .0.display())]
    ReadOnly(PathBuf),
    /// A file header or a synced record is corrupt.
    #[error("{}: damaged at offset {offset}: {reason}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The offset in bytes.
        offset: u64,
        /// The kind of corruption.
        reason: Corruption,
    },
    /// A segment is missing between two others.
    #[error("{}: a segment is missing before this one", .0.display())]
    MissingSegment(PathBuf),
    /// An earlier write or sync failed; what the disk holds is unknown until a restart.
    #[error("an earlier write failed; restart to recover")]
    Poisoned,
    /// Any other I/O error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// The kind of corruption of a record or file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Corruption {
    /// A header of a segment, checkpoint or record, or the identity file, is invalid.
    #[error("the file header is wrong")]
    Header,
    /// The checksum doesn't match.
    #[error("the checksum does not match")]
    Checksum,
    /// A record can't be read although a later record states that it was synced, so it
    /// isn't a torn write.
    #[error("a record that was synced can't be read")]
    SyncedRecord,
    /// The file ends before the end of a header or record.
    #[error("the file ends too early")]
    Truncated,
}

impl StoreError {
    /// Returns whether the folder may become usable again without a change of its content: the
    /// disk is full, or refuses writes for another reason.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::NoSpace(_) | Self::ReadOnly(_) | Self::Poisoned | Self::Io { .. }
        )
    }

    /// Returns the error for an I/O error at `path`.
    #[must_use]
    pub fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::NoSpace(path),
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => {
                Self::ReadOnly(path)
            }
            _ => Self::Io { path, source },
        }
    }
}
