//! The data folder, its lock and its identity.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::fs::TryLockError;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Damage;
use crate::error::StoreError;

const LOCK_NAME: &str = "lock";
const IDENTITY_NAME: &str = "identity";

/// A locked data folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    identity: u64,
    _lock: File,
}

impl Folder {
    /// Opens the folder, or makes it with `draw` as its identity.
    ///
    /// # Errors
    ///
    /// Fails where another process holds the folder or it can't be written.
    pub fn open(path: &Path, draw: u64) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(|e| StoreError::io(path, e))?;
        let lock_path = path.join(LOCK_NAME);
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
        let identity = identity(path, draw)?;
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

    /// Returns the number drawn when the folder was made; never zero.
    ///
    /// A lost and remade folder has another identity.
    #[must_use]
    pub fn identity(&self) -> u64 {
        self.identity
    }
}

fn identity(path: &Path, draw: u64) -> Result<u64, StoreError> {
    let file = path.join(IDENTITY_NAME);
    if file.exists() {
        let text = fs::read_to_string(&file).map_err(|e| StoreError::io(&file, e))?;
        return u64::from_str_radix(text.trim(), 16).map_err(|_| StoreError::Damaged {
            path: file,
            offset: 0,
            reason: Damage::Header,
        });
    }
    let identity = draw.max(1);
    write_whole(&file, format!("{identity:016x}\n").as_bytes())?;
    Ok(identity)
}

/// Writes a file so that after a crash it's there whole or not at all.
///
/// # Errors
///
/// Fails where the file can't be written or synced.
pub fn write_whole(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let draft = path.with_extension("draft");
    let fail = |e| StoreError::io(path, e);
    let mut file = File::create(&draft).map_err(fail)?;
    file.write_all(bytes).map_err(fail)?;
    file.sync_all().map_err(fail)?;
    fs::rename(&draft, path).map_err(fail)?;
    sync_parent(path)
}

/// Syncs the folder that holds `path`, so that its name lasts.
///
/// # Errors
///
/// Fails where the folder can't be synced.
pub fn sync_parent(path: &Path) -> Result<(), StoreError> {
    let parent = path.parent().unwrap_or(Path::new("."));
    let folder = File::open(parent).map_err(|e| StoreError::io(parent, e))?;
    folder.sync_all().map_err(|e| StoreError::io(parent, e))
}
