//! Append, group commit, checkpoints and recovery of a write-ahead journal in one
//! folder.
//!
//! A journal consists of consecutive segments and at most one checkpoint. Records are
//! numbered from one. A checkpoint holds the owner's state after a record; the segments
//! before it are deleted. After a failed write or sync the journal accepts no more
//! records, because what the disk holds is known only after a restart.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;

use crate::error::Corruption;
use crate::error::StoreError;
use crate::folder::remove_draft;
use crate::folder::sync_parent;
use crate::folder::write_atomically;
use crate::record;

const LOG_PREFIX: &str = "store:";

/// Settings of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Size in bytes at which a segment is full and the next one is created.
    pub segment_bytes: u64,
    /// Maximum bytes of all segments.
    pub quota_bytes: u64,
    /// Whether [`Journal::sync`] syncs the segment to disk; turned off only in
    /// benchmarks and tests.
    pub fsync: bool,
}

impl Default for JournalOptions {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
            quota_bytes: 8 << 30,
            fsync: true,
        }
    }
}

/// The content of a journal when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredJournal {
    /// The owner's state in the checkpoint, where there is one.
    pub checkpoint: Option<Vec<u8>>,
    /// The records after the checkpoint, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a torn write that were removed.
    pub torn_bytes: u64,
}

/// An open journal.
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    options: JournalOptions,
    file: File,
    segment_path: PathBuf,
    written_bytes: u64,
    synced_bytes: u64,
    next_record: u64,
    older_segments: Vec<(u64, PathBuf, u64)>,
    first_record: u64,
    marked_record: u64,
    buffer: Vec<u8>,
    poisoned: bool,
}

fn segment_path(folder: &Path, first: u64) -> PathBuf {
    folder.join(format!("segment-{first:020}"))
}

fn checkpoint_path(folder: &Path) -> PathBuf {
    folder.join("checkpoint")
}

/// Lists the segments of `folder` with the number of their first record, in order.
///
/// # Errors
///
/// Fails where the folder can't be read.
pub fn list_segments(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let io_error = |e| StoreError::io(folder, e);
    let mut segments = Vec::new();
    for item in fs::read_dir(folder).map_err(io_error)? {
        let path = item.map_err(io_error)?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name
            .and_then(|name| name.strip_prefix("segment-"))
            .and_then(|digits| digits.parse().ok());
        if let Some(first) = number {
            segments.push((first, path));
        }
    }
    segments.sort();
    Ok(segments)
}

/// Reads the checkpoint of `folder`: the number of the last record that it covers, and
/// the state.
///
/// # Errors
///
/// Fails where the checkpoint can't be read or is corrupt.
pub fn read_checkpoint(folder: &Path) -> Result<Option<(u64, Vec<u8>)>, StoreError> {
    let path = checkpoint_path(folder);
    if !path.exists() {
        return Ok(None);
    }
    let bytes = fs::read(&path).map_err(|e| StoreError::io(&path, e))?;
    let corrupt = |offset, reason| StoreError::Corrupt {
        path: path.clone(),
        offset,
        reason,
    };
    let scan = record::scan_segment(&bytes).map_err(|reason| corrupt(0, reason))?;
    if let Some(reason) = scan.corruption {
        return Err(corrupt(scan.valid_end as u64, reason));
    }
    let Some(record) = scan.records.first() else {
        return Err(corrupt(scan.valid_end as u64, Corruption::Truncated));
    };
    Ok(Some((scan.first_record, record.content.to_vec())))
}

impl Journal {
    /// Opens the journal in `folder` and reads its checkpoint and records.
    ///
    /// # Errors
    ///
    /// Fails where a record that was acknowledged can't be read; no content is
    /// guessed and the disk isn't changed then.
    pub fn open(
        folder: &Path,
        options: JournalOptions,
    ) -> Result<(Self, RecoveredJournal), StoreError> {
        fs::create_dir_all(folder).map_err(|e| StoreError::io(folder, e))?;
        remove_draft(&checkpoint_path(folder));
        let mut recovered = RecoveredJournal::default();
        let mut checkpoint_last = 0;
        if let Some((last, state)) = read_checkpoint(folder)? {
            checkpoint_last = last;
            recovered.checkpoint = Some(state);
        }
        let mut next_record = checkpoint_last + 1;
        let mut older_segments = Vec::new();
        let segments = list_segments(folder)?;
        let count = segments.len();
        for (index, (first_record, path)) in segments.into_iter().enumerate() {
            let is_last = index + 1 == count;
            let bytes = fs::read(&path).map_err(|e| StoreError::io(&path, e))?;
            let Some(valid_end) = read_segment(
                &path,
                &bytes,
                is_last,
                first_record,
                &mut next_record,
                &mut recovered,
            )?
            else {
                // A crash after the segment was created, but before its header was
                // written.
                fs::remove_file(&path).map_err(|e| StoreError::io(&path, e))?;
                continue;
            };
            older_segments.push((first_record, path, valid_end));
        }
        let (first_record, segment_path, written_bytes) = match older_segments.pop() {
            Some((first_record, path, valid_end)) => {
                truncate_tail(&path, valid_end)?;
                (first_record, path, valid_end)
            }
            None => (
                next_record,
                create_segment(folder, next_record)?,
                record::SEGMENT_HEADER_BYTES as u64,
            ),
        };
        let file = OpenOptions::new()
            .append(true)
            .open(&segment_path)
            .map_err(|e| StoreError::io(&segment_path, e))?;
        file.sync_all()
            .map_err(|e| StoreError::io(&segment_path, e))?;
        if recovered.torn_bytes > 0 {
            let torn_bytes = recovered.torn_bytes;
            log::warn!("{LOG_PREFIX} dropped {torn_bytes} bytes of a torn write");
        }
        let journal = Self {
            folder: folder.to_owned(),
            options,
            file,
            segment_path,
            written_bytes,
            synced_bytes: written_bytes,
            next_record,
            older_segments,
            first_record,
            marked_record: next_record,
            buffer: Vec::new(),
            poisoned: false,
        };
        Ok((journal, recovered))
    }

    /// Returns the number of the next record.
    #[must_use]
    pub fn next_record(&self) -> u64 {
        self.next_record
    }

    /// Returns the size of all segments and of the records not written yet, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let older: u64 = self.older_segments.iter().map(|(_, _, size)| size).sum();
        older + self.written_bytes + self.buffer.len() as u64
    }

    /// Buffers a record, which the next sync makes durable; returns its number.
    ///
    /// # Errors
    ///
    /// Fails where an earlier write or sync failed.
    pub fn append(&mut self, content: &[u8]) -> Result<u64, StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        record::encode(&mut self.buffer, self.synced_bytes, content);
        self.next_record += 1;
        Ok(self.next_record - 1)
    }

    /// Writes and syncs all appended records as one group.
    ///
    /// # Errors
    ///
    /// Fails where the disk is full, read-only or faulty; the journal then accepts no
    /// more records.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.buffer.is_empty() {
            return Ok(());
        }
        let result = self.flush().and_then(|()| self.sync_segment());
        self.poisoned = result.is_err();
        result?;
        if self.written_bytes >= self.options.segment_bytes {
            self.roll_segment()?;
        }
        Ok(())
    }

    /// Starts the next segment. After an error the folder may hold a part of it, so the
    /// journal accepts no more records.
    fn roll_segment(&mut self) -> Result<(), StoreError> {
        let result = self.start_segment();
        self.poisoned |= result.is_err();
        result
    }

    fn flush(&mut self) -> Result<(), StoreError> {
        if self.size_bytes() > self.options.quota_bytes {
            return Err(StoreError::NoSpace(self.folder.clone()));
        }
        self.file
            .write_all(&self.buffer)
            .map_err(|e| StoreError::io(&self.segment_path, e))?;
        self.written_bytes += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<(), StoreError> {
        if self.options.fsync {
            self.file
                .sync_data()
                .map_err(|e| StoreError::io(&self.segment_path, e))?;
        }
        self.synced_bytes = self.written_bytes;
        Ok(())
    }

    /// Writes a sync marker, which records how far the journal is synced, without
    /// waiting for the disk.
    ///
    /// Recovery can then tell corruption of the last group from a torn write. Called
    /// when the journal is idle and before a planned stop.
    ///
    /// # Errors
    ///
    /// Fails where the write fails.
    pub fn write_sync_marker(&mut self) -> Result<(), StoreError> {
        if self.poisoned || !self.buffer.is_empty() || self.marked_record == self.next_record {
            return Ok(());
        }
        self.marked_record = self.next_record;
        record::encode(&mut self.buffer, self.synced_bytes, &[]);
        let result = self.flush();
        self.poisoned = result.is_err();
        result
    }

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let path = create_segment(&self.folder, self.next_record)?;
        let file = OpenOptions::new()
            .append(true)
            .open(&path)
            .map_err(|e| StoreError::io(&path, e))?;
        self.file = file;
        let old_path = std::mem::replace(&mut self.segment_path, path);
        self.older_segments
            .push((self.first_record, old_path, self.written_bytes));
        self.first_record = self.next_record;
        self.written_bytes = record::SEGMENT_HEADER_BYTES as u64;
        self.synced_bytes = self.written_bytes;
        Ok(())
    }

    /// Writes a checkpoint with `state`, the owner's state after all records so far, and
    /// deletes the segments with these records.
    ///
    /// # Errors
    ///
    /// Fails where the checkpoint can't be written; the records are kept then. Also fails
    /// where an old segment can't be deleted.
    pub fn checkpoint(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.sync()?;
        let header = record::segment_header(self.next_record - 1);
        let record_header = record::record_header(0, state);
        write_atomically(
            &checkpoint_path(&self.folder),
            &[&header, &record_header, state],
        )?;
        if self.next_record > self.first_record {
            self.roll_segment()?;
        }
        for (_, path, _) in self.older_segments.drain(..) {
            fs::remove_file(&path).map_err(|e| StoreError::io(&path, e))?;
        }
        Ok(())
    }
}

/// Adds a segment's records to `recovered`; returns the offset after the last one, or
/// `None` if the last segment has no whole header.
fn read_segment(
    path: &Path,
    bytes: &[u8],
    is_last: bool,
    first_record: u64,
    next_record: &mut u64,
    recovered: &mut RecoveredJournal,
) -> Result<Option<u64>, StoreError> {
    let corrupt = |offset, reason| StoreError::Corrupt {
        path: path.to_owned(),
        offset,
        reason,
    };
    if is_last && bytes.len() < record::SEGMENT_HEADER_BYTES {
        return Ok(None);
    }
    let scan = record::scan_segment(bytes).map_err(|reason| corrupt(0, reason))?;
    if scan.first_record != first_record {
        return Err(corrupt(0, Corruption::Header));
    }
    if let Some(reason) = scan.corruption {
        if !is_last || scan.tail_synced {
            let reason = if scan.tail_synced {
                Corruption::SyncedRecord
            } else {
                reason
            };
            return Err(corrupt(scan.valid_end as u64, reason));
        }
        recovered.torn_bytes += (bytes.len() - scan.valid_end) as u64;
    }
    let records = scan
        .records
        .iter()
        .filter(|record| !record.content.is_empty());
    if scan.first_record > *next_record {
        return Err(StoreError::MissingSegment(path.to_owned()));
    }
    for (record, number) in records.zip(scan.first_record..) {
        if number == *next_record {
            recovered.records.push(record.content.to_vec());
            *next_record += 1;
        }
    }
    Ok(Some(scan.valid_end as u64))
}

fn truncate_tail(path: &Path, end: u64) -> Result<(), StoreError> {
    let file = OpenOptions::new()
        .write(true)
        .open(path)
        .map_err(|e| StoreError::io(path, e))?;
    file.set_len(end).map_err(|e| StoreError::io(path, e))
}

fn create_segment(folder: &Path, first: u64) -> Result<PathBuf, StoreError> {
    let path = segment_path(folder, first);
    let io_error = |e| StoreError::io(&path, e);
    let mut file = File::create(&path).map_err(io_error)?;
    file.write_all(&record::segment_header(first))
        .map_err(io_error)?;
    file.sync_all().map_err(io_error)?;
    sync_parent(&path)?;
    Ok(path)
}
