//! The two journals: the replica's log and the share's events.

use std::path::Path;

use base::KeeperId;
use consensus::Entry;
use consensus::Members;
use consensus::Replica;
use consensus::Saved;
use consensus::Snapshot;
use consensus::Write;
use consensus::log::Log;
use ledger::Event;
use ledger::Share;
use serde::Deserialize;
use serde::Serialize;
use store::Folder;
use store::Journal;
use store::Options;
use store::StoreError;
use thiserror::Error;

/// Records after which the share's journal is checkpointed.
const SHARE_RECORDS: u64 = 50_000;

/// A failure of the keeper's disk.
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

/// A keeper's data folder.
#[derive(Debug)]
pub struct Disk {
    folder: Folder,
    log: Journal,
    share: Journal,
    share_records: u64,
}

/// What a keeper's folder held.
#[derive(Debug)]
pub struct Found {
    /// Term and vote.
    pub saved: Saved,
    /// The log.
    pub log: Log,
    /// The share.
    pub share: Share,
    /// Records replayed.
    pub replayed: u64,
}

fn replay_log(recovered: store::Recovered, voters: &[KeeperId]) -> Result<(Saved, Log), DiskError> {
    let fail = |number, source| DiskError::Record {
        journal: "log",
        number,
        source,
    };
    let image = match recovered.checkpoint {
        Some(bytes) => postcard::from_bytes(&bytes).map_err(|e| fail(0, e))?,
        None => Image {
            snapshot: Snapshot {
                members: Members::unformed(voters),
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
    Ok((saved, log))
}

fn replay_share(recovered: &store::Recovered, keeper: KeeperId) -> Result<Share, DiskError> {
    let fail = |number, source| DiskError::Record {
        journal: "share",
        number,
        source,
    };
    let mut share = match &recovered.checkpoint {
        Some(bytes) => postcard::from_bytes(bytes).map_err(|e| fail(0, e))?,
        None => Share::new(keeper),
    };
    for (bytes, number) in recovered.records.iter().zip(1..) {
        let event: Event = postcard::from_bytes(bytes).map_err(|e| fail(number, e))?;
        share.apply(&event);
    }
    Ok(share)
}

impl Disk {
    /// Opens the folder; `voters` form the group where nothing is there yet.
    ///
    /// # Errors
    ///
    /// Fails where the folder is locked, damaged or can't be written.
    pub fn open(
        path: &Path,
        keeper: KeeperId,
        voters: &[KeeperId],
        options: Options,
    ) -> Result<(Self, Found), DiskError> {
        let folder = Folder::open(path, fastrand::u64(1..))?;
        let (log_journal, recovered) = Journal::open(&path.join("log"), options)?;
        let (share_journal, shared) = Journal::open(&path.join("share"), options)?;
        let replayed = (recovered.records.len() + shared.records.len()) as u64;
        let share = replay_share(&shared, keeper)?;
        let (saved, log) = replay_log(recovered, voters)?;
        let disk = Self {
            folder,
            log: log_journal,
            share: share_journal,
            share_records: shared.records.len() as u64,
        };
        let found = Found {
            saved,
            log,
            share,
            replayed,
        };
        Ok((disk, found))
    }

    /// Returns the identity of the data folder.
    #[must_use]
    pub fn identity(&self) -> u64 {
        self.folder.identity()
    }

    /// Writes and syncs changes of the log and events of the share.
    ///
    /// # Errors
    ///
    /// Fails where the disk does; nothing may be promised after that.
    pub fn write(&mut self, writes: &[Write], events: &[Event]) -> Result<(), DiskError> {
        for write in writes {
            let bytes = postcard::to_stdvec(write).map_err(DiskError::Encode)?;
            self.log.append(&bytes)?;
        }
        for event in events {
            let bytes = postcard::to_stdvec(event).map_err(DiskError::Encode)?;
            self.share.append(&bytes)?;
        }
        self.share_records += events.len() as u64;
        self.log.sync()?;
        self.share.sync()?;
        Ok(())
    }

    /// Replaces the log's journal by what `replica` holds.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn checkpoint_log(&mut self, replica: &Replica) -> Result<(), DiskError> {
        let log = replica.log();
        let snapshot = log.snapshot().clone();
        let entries = log.from(snapshot.position.index + 1).to_vec();
        let image = Image {
            saved: replica.saved(),
            snapshot,
            entries,
        };
        let bytes = postcard::to_stdvec(&image).map_err(DiskError::Encode)?;
        self.log.checkpoint(&bytes)?;
        Ok(())
    }

    /// Replaces the share's journal by `share` where the journal has grown long.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn checkpoint_share(&mut self, share: &Share) -> Result<(), DiskError> {
        if self.share_records < SHARE_RECORDS {
            return Ok(());
        }
        let bytes = postcard::to_stdvec(share).map_err(DiskError::Encode)?;
        self.share.checkpoint(&bytes)?;
        self.share_records = 0;
        Ok(())
    }

    /// Notes on the disk how far the journals are synced.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn mark(&mut self) -> Result<(), DiskError> {
        self.log.mark()?;
        self.share.mark()?;
        Ok(())
    }
}
