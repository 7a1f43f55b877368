//! The journals in a keeper's data folder: the replica's log and the share's events.

use std::path::Path;

use base::KeeperId;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::Replica;
use consensus::log::Log;
pub use durable::DiskError;
use durable::LogStore;
use ledger::Event;
use ledger::Share;
use store::DataFolder;
use store::Journal;
use store::JournalOptions;

/// Number of records at which the share's journal is checkpointed.
const MAX_SHARE_RECORDS: u64 = 50_000;

/// A keeper's open data folder.
#[derive(Debug)]
pub struct Storage {
    folder: DataFolder,
    log: LogStore,
    share: Journal,
    share_records: u64,
}

/// The state recovered from a keeper's data folder.
#[derive(Debug)]
pub struct RecoveredState {
    /// The term and the vote.
    pub hard_state: HardState,
    /// The log.
    pub log: Log,
    /// The share.
    pub share: Share,
    /// Number of records replayed from both journals.
    pub replayed_records: u64,
}

fn replay_share(recovered: &store::RecoveredJournal, keeper: KeeperId) -> Result<Share, DiskError> {
    let decode_error = |number, source| DiskError::Decode {
        journal: "share",
        number,
        source,
    };
    let mut share = match &recovered.checkpoint {
        Some(bytes) => postcard::from_bytes(bytes).map_err(|e| decode_error(0, e))?,
        None => Share::new(keeper),
    };
    for (bytes, number) in recovered.records.iter().zip(1..) {
        let event: Event = postcard::from_bytes(bytes).map_err(|e| decode_error(number, e))?;
        share.apply(&event);
    }
    Ok(share)
}

impl Storage {
    /// Opens the folder and recovers its state; in an empty folder, `voters` are the first
    /// members of the group.
    ///
    /// # Errors
    ///
    /// Fails if the folder is locked, damaged or can't be written.
    pub fn open(
        path: &Path,
        keeper: KeeperId,
        voters: &[KeeperId],
        options: JournalOptions,
    ) -> Result<(Self, RecoveredState), DiskError> {
        let folder = DataFolder::open(path, fastrand::u64(1..))?;
        let members = Members::bootstrap(voters);
        let (log_store, recovered_log) = LogStore::open(&path.join("log"), members, options)?;
        let (share_journal, recovered_share) = Journal::open(&path.join("share"), options)?;
        let replayed = recovered_log.replayed_records + recovered_share.records.len() as u64;
        let share = replay_share(&recovered_share, keeper)?;
        let storage = Self {
            folder,
            log: log_store,
            share: share_journal,
            share_records: recovered_share.records.len() as u64,
        };
        let state = RecoveredState {
            hard_state: recovered_log.hard_state,
            log: recovered_log.log,
            share,
            replayed_records: replayed,
        };
        Ok((storage, state))
    }

    /// Returns the identity of the data folder.
    #[must_use]
    pub fn identity(&self) -> u64 {
        self.folder.identity()
    }

    /// Writes and syncs log writes and share events; `replica` is in the state after the
    /// writes.
    ///
    /// # Errors
    ///
    /// Fails if the disk does. After that the keeper must not send responses or messages.
    pub fn write(
        &mut self,
        writes: &[LogWrite],
        events: &[Event],
        replica: &Replica,
    ) -> Result<(), DiskError> {
        self.log.write(writes, replica)?;
        for event in events {
            let bytes = postcard::to_stdvec(event).map_err(DiskError::Encode)?;
            self.share.append(&bytes)?;
        }
        self.share_records += events.len() as u64;
        self.share.sync()?;
        Ok(())
    }

    /// Writes the states of the log and the share after an earlier write failed: what the disk
    /// holds of that write is unknown.
    ///
    /// # Errors
    ///
    /// Fails if the disk still does.
    pub fn rewrite(&mut self, replica: &Replica, share: &Share) -> Result<(), DiskError> {
        self.log.rewrite(replica)?;
        self.rewrite_share(share)
    }

    /// Replaces the log's journal by a checkpoint of `replica`.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub fn checkpoint_log(&mut self, replica: &Replica) -> Result<(), DiskError> {
        self.log.checkpoint(replica)
    }

    /// Replaces the share's journal by a checkpoint of `share` if it has many records.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub fn checkpoint_share(&mut self, share: &Share) -> Result<(), DiskError> {
        if self.share_records < MAX_SHARE_RECORDS {
            return Ok(());
        }
        self.rewrite_share(share)
    }

    fn rewrite_share(&mut self, share: &Share) -> Result<(), DiskError> {
        let bytes = postcard::to_stdvec(share).map_err(DiskError::Encode)?;
        self.share.checkpoint(&bytes)?;
        self.share_records = 0;
        Ok(())
    }

    /// Writes markers of how far the journals are synced.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub fn write_sync_markers(&mut self) -> Result<(), DiskError> {
        self.log.write_sync_marker()?;
        self.share.write_sync_marker()?;
        Ok(())
    }
}
