//! The data folder: its lock file, its identity file and atomic file writes.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Corruption;
use crate::error::StoreError;

const LOCK_FILE_NAME: &str = "lock";
const IDENTITY_FILE_NAME: &str = "identity";

/// A locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: u64,
    _lock: File,
}

impl DataFolder {
    /// Opens and locks the folder; a new folder takes `new_identity` as its identity.
    ///
    /// # Errors
    ///
    /// Fails where another process has locked the folder, it can't be written or its
    /// identity file is corrupt.
    pub fn open(path: &Path, new_identity: u64) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(|e| StoreError::io(path, e))?;
        let lock_path = path.join(LOCK_FILE_NAME);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|e| StoreError::io(&lock_path, e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked(path.to_owned())),
            Err(TryLockError::Error(e)) => return Err(StoreError::io(&lock_path, e)),
        }
        let identity = read_or_create_identity(path, new_identity)?;
        Ok(Self {
            path: path.to_owned(),
            identity,
            _lock: lock,
        })
    }

    /// Returns the folder's path.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the random number that the folder got when it was created; never zero.
    ///
    /// A folder that is lost and created again has another identity.
    #[must_use]
    pub fn identity(&self) -> u64 {
        self.identity
    }
}

fn read_or_create_identity(path: &Path, new_identity: u64) -> Result<u64, StoreError> {
    let file = path.join(IDENTITY_FILE_NAME);
    if file.exists() {
        let text = fs::read_to_string(&file).map_err(|e| StoreError::io(&file, e))?;
        return u64::from_str_radix(text.trim(), 16).map_err(|_| StoreError::Corrupt {
            path: file,
            offset: 0,
            reason: Corruption::Header,
        });
    }
    let identity = new_identity.max(1);
    write_atomically(&file, &[format!("{identity:016x}\n").as_bytes()])?;
    Ok(identity)
}

/// Returns the path of the temporary file with which `path` is replaced.
fn draft_path(path: &Path) -> PathBuf {
    path.with_extension("draft")
}

/// Replaces a file atomically: after a crash it holds either the old content or `parts`,
/// one after the other.
///
/// The content goes to a temporary file, which is synced and renamed. If that fails, the
/// temporary file is removed, so that it takes no room on a full disk.
///
/// # Errors
///
/// Fails where the file can't be written or synced.
pub fn write_atomically(path: &Path, parts: &[&[u8]]) -> Result<(), StoreError> {
    let draft = draft_path(path);
    if let Err(error) = write_draft(&draft, parts) {
        remove_draft(path);
        return Err(StoreError::io(path, error));
    }
    fs::rename(&draft, path).map_err(|e| StoreError::io(path, e))?;
    sync_parent(path)
}

fn write_draft(draft: &Path, parts: &[&[u8]]) -> io::Result<()> {
    let mut file = File::create(draft)?;
    for part in parts {
        file.write_all(part)?;
    }
    file.sync_all()
}

/// Removes the temporary file that a failed replacement of `path`, or a crash during it,
/// may have left.
pub(crate) fn remove_draft(path: &Path) {
    let draft = draft_path(path);
    if draft.exists()
        && let Err(error) = fs::remove_file(&draft)
    {
        log::warn!("store: {} isn't removed: {error}", draft.display());
    }
}

/// Syncs the parent folder of `path`, so that the file's name survives a crash.
///
/// # Errors
///
/// Fails where the folder can't be synced.
pub fn sync_parent(path: &Path) -> Result<(), StoreError> {
    let parent = path.parent().unwrap_or(Path::new("."));
    let folder = File::open(parent).map_err(|e| StoreError::io(parent, e))?;
    folder.sync_all().map_err(|e| StoreError::io(parent, e))
}
