//! The persistent replicated log: stores a replica's log writes in a journal and
//! recovers its hard state and log from it.
//!
//! Each log write is one journal record; a checkpoint holds the hard state and the
//! whole log. Where the journal has no room for writes, a checkpoint that includes them
//! takes its place.

use std::path::Path;

use consensus::Entry;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::Replica;
use consensus::Snapshot;
use consensus::log::Log;
use serde::Deserialize;
use serde::Serialize;
use store::Journal;
use store::JournalOptions;
use store::RecoveredJournal;
use store::StoreError;
use thiserror::Error;

/// An error of a keeper's persistent state.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The journal or the data folder failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record has a valid checksum, but its content can't be decoded.
    #[error("record {number} of the {journal} journal can't be read: {source}")]
    Decode {
        /// The journal's name.
        journal: &'static str,
        /// The record's number after the checkpoint, from one; zero is the checkpoint.
        number: u64,
        /// The cause.
        source: postcard::Error,
    },
    /// A record or checkpoint can't be encoded.
    #[error("a state can't be encoded: {0}")]
    Encode(postcard::Error),
}

impl DiskError {
    /// Returns whether the folder may become usable again without a change of its content.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Store(error) if error.is_transient())
    }
}

/// The content of the log's checkpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LogCheckpoint {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The content of the log's checkpoint, borrowed from a replica.
#[derive(Serialize)]
struct CheckpointView<'a> {
    hard_state: HardState,
    snapshot: &'a Snapshot,
    entries: &'a [Entry],
}

/// The state recovered from the journal.
#[derive(Debug)]
pub struct RecoveredLog {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
    /// The number of journal records replayed.
    pub replayed_records: u64,
}

/// The journal of a replica's log and hard state.
#[derive(Debug)]
pub struct LogStore {
    journal: Journal,
    quota_bytes: u64,
}

/// Part of the quota, as a divisor, that the journal may take in addition while the disk
/// has no room for a checkpoint.
const RESERVE_DIVISOR: u64 = 2;

fn replay(recovered: RecoveredJournal, members: Members) -> Result<RecoveredLog, DiskError> {
    let decode_error = |number, source| DiskError::Decode {
        journal: "log",
        number,
        source,
    };
    let checkpoint = match recovered.checkpoint {
        Some(bytes) => postcard::from_bytes(&bytes).map_err(|e| decode_error(0, e))?,
        None => LogCheckpoint {
            snapshot: Snapshot {
                members,
                ..Snapshot::default()
            },
            ..LogCheckpoint::default()
        },
    };
    let mut hard_state = checkpoint.hard_state;
    let mut log = Log::new(checkpoint.snapshot, checkpoint.entries);
    for (bytes, number) in recovered.records.iter().zip(1..) {
        let write: LogWrite = postcard::from_bytes(bytes).map_err(|e| decode_error(number, e))?;
        match write {
            LogWrite::Save(new) => hard_state = new,
            LogWrite::Truncate(index) => log.truncate(index),
            LogWrite::Append(entry) => log.push(entry),
            LogWrite::Install(snapshot) => log.compact(snapshot),
        }
    }
    Ok(RecoveredLog {
        hard_state,
        log,
        replayed_records: recovered.records.len() as u64,
    })
}

impl LogStore {
    /// Opens the journal in `folder` and recovers its log; `members` is the initial
    /// membership where the journal has no checkpoint.
    ///
    /// # Errors
    ///
    /// Fails where the journal is corrupt, can't be decoded or can't be written.
    pub fn open(
        folder: &Path,
        members: Members,
        options: JournalOptions,
    ) -> Result<(Self, RecoveredLog), DiskError> {
        let quota_bytes = options.quota_bytes;
        let options = JournalOptions {
            quota_bytes: quota_bytes.saturating_add(quota_bytes / RESERVE_DIVISOR),
            ..options
        };
        let (journal, recovered) = Journal::open(folder, options)?;
        let log = replay(recovered, members)?;
        let store = Self {
            journal,
            quota_bytes,
        };
        Ok((store, log))
    }

    /// Returns the size of the journal without its checkpoint, in bytes.
    #[must_use]
    pub fn journal_bytes(&self) -> u64 {
        self.journal.size_bytes()
    }

    /// Makes `writes` durable; `replica` is in the state after them.
    ///
    /// The writes are appended to the journal. If they exceed its quota, a checkpoint of
    /// `replica` replaces the journal; if the disk has no room for that, the writes are
    /// appended to the journal's reserve.
    ///
    /// # Errors
    ///
    /// Fails where the disk fails; the caller must not send or acknowledge anything that
    /// depends on these writes then.
    pub fn write(&mut self, writes: &[LogWrite], replica: &Replica) -> Result<(), DiskError> {
        let mut records = Vec::new();
        for write in writes {
            records.push(postcard::to_stdvec(write).map_err(DiskError::Encode)?);
        }
        let new_bytes: usize = records.iter().map(Vec::len).sum();
        if self.journal.size_bytes() + new_bytes as u64 > self.quota_bytes {
            match self.checkpoint(replica) {
                Err(DiskError::Store(StoreError::NoSpace(path))) => {
                    log::warn!("store: {}: no room for a checkpoint", path.display());
                }
                result => return result,
            }
        }
        for record in records {
            self.journal.append(&record)?;
        }
        self.journal.sync()?;
        Ok(())
    }

    /// Writes the state of `replica` after an earlier write failed: what the disk holds of
    /// that write is unknown. If the disk has no room for a checkpoint, only the hard state
    /// is written.
    ///
    /// # Errors
    ///
    /// Fails where the disk still fails.
    pub fn rewrite(&mut self, replica: &Replica) -> Result<(), DiskError> {
        match self.checkpoint(replica) {
            Err(DiskError::Store(StoreError::NoSpace(_))) => {
                self.write(&[LogWrite::Save(replica.hard_state())], replica)
            }
            result => result,
        }
    }

    /// Replaces the journal's records by a checkpoint of the log and hard state of
    /// `replica`.
    ///
    /// # Errors
    ///
    /// Fails where the disk fails.
    pub fn checkpoint(&mut self, replica: &Replica) -> Result<(), DiskError> {
        let log = replica.log();
        let snapshot = log.snapshot();
        let checkpoint = CheckpointView {
            hard_state: replica.hard_state(),
            snapshot,
            entries: log.entries_from(snapshot.position.index + 1),
        };
        let bytes = postcard::to_stdvec(&checkpoint).map_err(DiskError::Encode)?;
        self.journal.checkpoint(&bytes)?;
        Ok(())
    }

    /// Writes a sync marker, which records how far the journal is synced.
    ///
    /// # Errors
    ///
    /// Fails where the disk fails.
    pub fn write_sync_marker(&mut self) -> Result<(), DiskError> {
        self.journal.write_sync_marker()?;
        Ok(())
    }
}
