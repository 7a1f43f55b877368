//! The replicated log on a disk.
//!
//! Changes of a replica's log are records of a journal; a checkpoint holds the
//! whole log.

use std::path::Path;

use consensus::Entry;
use consensus::Members;
use consensus::Replica;
use consensus::Saved;
use consensus::Snapshot;
use consensus::Write;
use consensus::log::Log;
use serde::Deserialize;
use serde::Serialize;
use store::Journal;
use store::Options;
use store::Recovered;
use store::StoreError;
use thiserror::Error;

/// A failure of a disk.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record is whole and can't be read.
    #[error("record {number} of the {journal} journal can't be read: {source}")]
    Record {
        /// The journal.
        journal: &'static str,
        /// The record's place after the checkpoint, counted from one.
        number: u64,
        /// The cause.
        source: postcard::Error,
    },
    /// A state can't be encoded.
    #[error("a state can't be encoded: {0}")]
    Encode(postcard::Error),
}

/// What the replica's checkpoint holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Image {
    /// Term and vote.
    pub saved: Saved,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// What was found on the disk.
#[derive(Debug)]
pub struct Found {
    /// Term and vote.
    pub saved: Saved,
    /// The log.
    pub log: Log,
    /// Records read back.
    pub replayed: u64,
}

/// The replicated log's journal.
#[derive(Debug)]
pub struct LogDisk {
    journal: Journal,
}

fn replay(recovered: Recovered, members: Members) -> Result<Found, DiskError> {
    let fail = |number, source| DiskError::Record {
        journal: "log",
        number,
        source,
    };
    let image = match recovered.checkpoint {
        Some(bytes) => postcard::from_bytes(&bytes).map_err(|e| fail(0, e))?,
        None => Image {
            snapshot: Snapshot {
                members,
                ..Snapshot::default()
            },
            ..Image::default()
        },
    };
    let mut saved = image.saved;
    let mut log = Log::new(image.snapshot, image.entries);
    for (bytes, number) in recovered.records.iter().zip(1..) {
        let write: Write = postcard::from_bytes(bytes).map_err(|e| fail(number, e))?;
        match write {
            Write::Save(new) => saved = new,
            Write::Truncate(index) => log.truncate(index),
            Write::Append(entry) => log.push(entry),
            Write::Install(snapshot) => log.compact(snapshot),
        }
    }
    Ok(Found {
        saved,
        log,
        replayed: recovered.records.len() as u64,
    })
}

impl LogDisk {
    /// Opens the journal in `folder`; `members` form the group where nothing is
    /// there yet.
    ///
    /// # Errors
    ///
    /// Fails where the journal is damaged or can't be written.
    pub fn open(
        folder: &Path,
        members: Members,
        options: Options,
    ) -> Result<(Self, Found), DiskError> {
        let (journal, recovered) = Journal::open(folder, options)?;
        let found = replay(recovered, members)?;
        Ok((Self { journal }, found))
    }

    /// Writes and syncs changes of the log.
    ///
    /// # Errors
    ///
    /// Fails where the disk does; nothing may be promised after that.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), DiskError> {
        for write in writes {
            let bytes = postcard::to_stdvec(write).map_err(DiskError::Encode)?;
            self.journal.append(&bytes)?;
        }
        self.journal.sync()?;
        Ok(())
    }

    /// Replaces the journal by what `replica` holds.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn checkpoint(&mut self, replica: &Replica) -> Result<(), DiskError> {
        let log = replica.log();
        let snapshot = log.snapshot().clone();
        let entries = log.from(snapshot.position.index + 1).to_vec();
        let image = Image {
            saved: replica.saved(),
            snapshot,
            entries,
        };
        let bytes = postcard::to_stdvec(&image).map_err(DiskError::Encode)?;
        self.journal.checkpoint(&bytes)?;
        Ok(())
    }

    /// Notes on the disk how far the journal is synced.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn mark(&mut self) -> Result<(), DiskError> {
        self.journal.mark()?;
        Ok(())
    }
}
