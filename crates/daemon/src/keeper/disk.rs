//! The two journals: the replica's log and the share's events.

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

/// Records after which the share's journal is checkpointed.
const SHARE_RECORDS: u64 = 50_000;

/// A keeper's data folder.
#[derive(Debug)]
pub struct Disk {
    folder: DataFolder,
    log: LogStore,
    share: Journal,
    share_records: u64,
}

/// What a keeper's folder held.
#[derive(Debug)]
pub struct Found {
    /// Term and vote.
    pub saved: HardState,
    /// The log.
    pub log: Log,
    /// The share.
    pub share: Share,
    /// Records replayed.
    pub replayed: u64,
}

fn replay_share(recovered: &store::RecoveredJournal, keeper: KeeperId) -> Result<Share, DiskError> {
    let fail = |number, source| DiskError::Decode {
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
        options: JournalOptions,
    ) -> Result<(Self, Found), DiskError> {
        let folder = DataFolder::open(path, fastrand::u64(1..))?;
        let members = Members::bootstrap(voters);
        let (log_disk, logged) = LogStore::open(&path.join("log"), members, options)?;
        let (share_journal, shared) = Journal::open(&path.join("share"), options)?;
        let replayed = logged.replayed_records + shared.records.len() as u64;
        let share = replay_share(&shared, keeper)?;
        let disk = Self {
            folder,
            log: log_disk,
            share: share_journal,
            share_records: shared.records.len() as u64,
        };
        let found = Found {
            saved: logged.hard_state,
            log: logged.log,
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
    pub fn write(&mut self, writes: &[LogWrite], events: &[Event]) -> Result<(), DiskError> {
        self.log.write(writes)?;
        for event in events {
            let bytes = postcard::to_stdvec(event).map_err(DiskError::Encode)?;
            self.share.append(&bytes)?;
        }
        self.share_records += events.len() as u64;
        self.share.sync()?;
        Ok(())
    }

    /// Replaces the log's journal by what `replica` holds.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn checkpoint_log(&mut self, replica: &Replica) -> Result<(), DiskError> {
        self.log.checkpoint(replica)
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
        self.log.write_sync_marker()?;
        self.share.write_sync_marker()?;
        Ok(())
    }
}
