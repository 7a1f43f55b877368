//! Appending, group sync, checkpoints and recovery.
//!
//! A journal is a run of segments and at most one checkpoint. Records count from
//! one. A checkpoint holds the owner's state after a record; segments before it
//! are dropped. After a failed write or sync the journal takes nothing more: what
//! the disk then holds is only known after a restart.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Damage;
use crate::error::StoreError;
use crate::folder::sync_parent;
use crate::folder::write_whole;
use crate::record;

const LOG_PREFIX: &str = "store:";

/// Settings of a journal.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes after which a new segment is begun.
    pub segment: u64,
    /// Most bytes that the journal's segments may take.
    pub quota: u64,
    /// Whether [`Journal::sync`] reaches the disk; only measurements turn it off.
    pub durable: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment: 16 << 20,
            quota: 8 << 30,
            durable: true,
        }
    }
}

/// What a journal held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The latest checkpoint.
    pub checkpoint: Option<Vec<u8>>,
    /// The records after it, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn write that were dropped.
    pub torn: u64,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    options: Options,
    file: File,
    path: PathBuf,
    written: u64,
    synced: u64,
    next: u64,
    older: Vec<(u64, PathBuf, u64)>,
    first: u64,
    marked: u64,
    buffer: Vec<u8>,
    poisoned: bool,
}

fn segment_path(folder: &Path, first: u64) -> PathBuf {
    folder.join(format!("segment-{first:020}"))
}

fn checkpoint_path(folder: &Path) -> PathBuf {
    folder.join("checkpoint")
}

/// Returns the segments of `folder` by the number of their first record.
///
/// # Errors
///
/// Fails where the folder can't be read.
pub fn segments(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let fail = |e| StoreError::io(folder, e);
    let mut found = Vec::new();
    for item in fs::read_dir(folder).map_err(fail)? {
        let path = item.map_err(fail)?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name
            .and_then(|name| name.strip_prefix("segment-"))
            .and_then(|digits| digits.parse().ok());
        if let Some(first) = number {
            found.push((first, path));
        }
    }
    found.sort();
    Ok(found)
}

/// Reads the checkpoint of `folder`: the number of its last record and the state.
///
/// # Errors
///
/// Fails where the checkpoint is damaged.
pub fn checkpoint(folder: &Path) -> Result<Option<(u64, Vec<u8>)>, StoreError> {
    let path = checkpoint_path(folder);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(|e| StoreError::io(&path, e))?;
    let damaged = |offset, reason| StoreError::Damaged {
        path: path.clone(),
        offset,
        reason,
    };
    let scan = record::scan(&bytes).map_err(|reason| damaged(0, reason))?;
    if let Some(reason) = scan.fault {
        return Err(damaged(scan.end as u64, reason));
    }
    let Some(found) = scan.records.first() else {
        return Err(damaged(scan.end as u64, Damage::Short));
    };
    Ok(Some((scan.first, found.content.to_vec())))
}

impl Journal {
    /// Opens the journal in `folder` and reads back what it holds.
    ///
    /// # Errors
    ///
    /// Fails where a record that was acknowledged can't be read; nothing is
    /// guessed and nothing on the disk is changed then.
    pub fn open(folder: &Path, options: Options) -> Result<(Self, Recovered), StoreError> {
        fs::create_dir_all(folder).map_err(|e| StoreError::io(folder, e))?;
        let mut recovered = Recovered::default();
        let mut covered = 0;
        if let Some((last, state)) = checkpoint(folder)? {
            covered = last;
            recovered.checkpoint = Some(state);
        }
        let mut next = covered + 1;
        let mut kept = Vec::new();
        let found = segments(folder)?;
        let count = found.len();
        for (place, (first, path)) in found.into_iter().enumerate() {
            let last = place + 1 == count;
            let bytes = fs::read(&path).map_err(|e| StoreError::io(&path, e))?;
            let Some(end) = read_segment(&path, &bytes, last, first, &mut next, &mut recovered)?
            else {
                // A crash came between making the segment and its header.
                fs::remove_file(&path).map_err(|e| StoreError::io(&path, e))?;
                continue;
            };
            kept.push((first, path, end));
        }
        let (first, path, written) = match kept.pop() {
            Some((first, path, end)) => {
                cut_tail(&path, end)?;
                (first, path, end)
            }
            None => (
                next,
                new_segment(folder, next)?,
                record::HEADER_BYTES as u64,
            ),
        };
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|e| StoreError::io(&path, e))?;
        file.sync_all().map_err(|e| StoreError::io(&path, e))?;
        if recovered.torn > 0 {
            let torn = recovered.torn;
            log::warn!("{LOG_PREFIX} dropped {torn} bytes of a torn write");
        }
        let journal = Self {
            folder: folder.to_owned(),
            options,
            file,
            path,
            written,
            synced: written,
            next,
            older: kept,
            first,
            marked: next,
            buffer: Vec::new(),
            poisoned: false,
        };
        Ok((journal, recovered))
    }

    /// Returns the number of the next record.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the bytes of all segments.
    #[must_use]
    pub fn size(&self) -> u64 {
        let older: u64 = self.older.iter().map(|(_, _, size)| size).sum();
        older + self.written + self.buffer.len() as u64
    }

    /// Adds a record to the group that the next sync makes durable.
    ///
    /// # Errors
    ///
    /// Fails where an earlier write failed.
    pub fn append(&mut self, content: &[u8]) -> Result<u64, StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        record::encode(&mut self.buffer, self.synced, content);
        self.next += 1;
        Ok(self.next - 1)
    }

    /// Makes all appended records durable.
    ///
    /// # Errors
    ///
    /// Fails where the disk is full, read-only or broken; the journal then takes
    /// nothing more.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.buffer.is_empty() {
            return Ok(());
        }
        let done = self.flush().and_then(|()| self.reach_disk());
        self.poisoned = done.is_err();
        done?;
        if self.written >= self.options.segment {
            self.roll()?;
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), StoreError> {
        if self.size() > self.options.quota {
            return Err(StoreError::Full(self.folder.clone()));
        }
        self.file
            .write_all(&self.buffer)
            .map_err(|e| StoreError::io(&self.path, e))?;
        self.written += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    fn reach_disk(&mut self) -> Result<(), StoreError> {
        if self.options.durable {
            self.file
                .sync_data()
                .map_err(|e| StoreError::io(&self.path, e))?;
        }
        self.synced = self.written;
        Ok(())
    }

    /// Writes down, without waiting for the disk, how far the journal is synced.
    ///
    /// Damage to the last group can then be told from a torn write. Called when
    /// the journal is idle and before a planned stop.
    ///
    /// # Errors
    ///
    /// Fails where the write fails.
    pub fn mark(&mut self) -> Result<(), StoreError> {
        if self.poisoned || !self.buffer.is_empty() || self.marked == self.next {
            return Ok(());
        }
        self.marked = self.next;
        record::encode(&mut self.buffer, self.synced, &[]);
        let done = self.flush();
        self.poisoned = done.is_err();
        done
    }

    fn roll(&mut self) -> Result<(), StoreError> {
        let path = new_segment(&self.folder, self.next)?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|e| StoreError::io(&path, e))?;
        self.file = file;
        let old = std::mem::replace(&mut self.path, path);
        self.older.push((self.first, old, self.written));
        self.first = self.next;
        self.written = record::HEADER_BYTES as u64;
        self.synced = self.written;
        Ok(())
    }

    /// Replaces all records so far by `state`, the owner's state after them.
    ///
    /// # Errors
    ///
    /// Fails where the checkpoint can't be written; the records are kept then.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.sync()?;
        let mut bytes = record::header(self.next - 1).to_vec();
        record::encode(&mut bytes, 0, state);
        write_whole(&checkpoint_path(&self.folder), &bytes)?;
        if self.next > self.first {
            self.roll()?;
        }
        for (_, path, _) in self.older.drain(..) {
            fs::remove_file(&path).map_err(|e| StoreError::io(&path, e))?;
        }
        Ok(())
    }
}

/// Takes in a segment's records; returns the offset of its end.
fn read_segment(
    path: &Path,
    bytes: &[u8],
    last: bool,
    first: u64,
    next: &mut u64,
    recovered: &mut Recovered,
) -> Result<Option<u64>, StoreError> {
    let damaged = |offset, reason| StoreError::Damaged {
        path: path.to_owned(),
        offset,
        reason,
    };
    if last && bytes.len() < record::HEADER_BYTES {
        return Ok(None);
    }
    let scan = record::scan(bytes).map_err(|reason| damaged(0, reason))?;
    if scan.first != first {
        return Err(damaged(0, Damage::Header));
    }
    if let Some(reason) = scan.fault {
        if !last || scan.synced {
            let reason = if scan.synced { Damage::Hole } else { reason };
            return Err(damaged(scan.end as u64, reason));
        }
        recovered.torn += (bytes.len() - scan.end) as u64;
    }
    let records = scan
        .records
        .iter()
        .filter(|found| !found.content.is_empty());
    if scan.first > *next {
        return Err(StoreError::Missing(path.to_owned()));
    }
    for (found, number) in records.zip(scan.first..) {
        if number == *next {
            recovered.records.push(found.content.to_vec());
            *next += 1;
        }
    }
    Ok(Some(scan.end as u64))
}

fn cut_tail(path: &Path, end: u64) -> Result<(), StoreError> {
    let file = OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(|e| StoreError::io(path, e))?;
    file.set_len(end).map_err(|e| StoreError::io(path, e))
}

fn new_segment(folder: &Path, first: u64) -> Result<PathBuf, StoreError> {
    let path = segment_path(folder, first);
    let fail = |e| StoreError::io(&path, e);
    let mut file = File::create(&path).map_err(fail)?;
    file.write_all(&record::header(first)).map_err(fail)?;
    file.sync_all().map_err(fail)?;
    sync_parent(&path)?;
    Ok(path)
}
