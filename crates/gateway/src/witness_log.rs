//! The journal of a witness: how much entries have opened of their grants, by lease. Its
//! inputs are high-water marks and fences.

use std::path::Path;

use base::Map;
use durable::DiskError;
use ledger::allowance::HighWaterMark;
use serde::Deserialize;
use serde::Serialize;
use store::Journal;
use store::JournalOptions;

/// Number of records after which the journal is replaced by a checkpoint, whatever their
/// size.
const MAX_JOURNAL_RECORDS: u64 = 2_000;

/// Divisor of the journal's quota that yields the size at which it is replaced by a
/// checkpoint.
const QUOTA_DIVISOR: u64 = 4;

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum JournalRecord {
    /// An entry has opened grants up to these limits.
    Mark(HighWaterMark),
    /// Further marks of the lease are rejected.
    Fence(u64),
}

/// The state of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseRecord {
    limits: Map<String, u64>,
    is_fenced: bool,
}

/// The journal of marks and the state that it describes.
#[derive(Debug)]
pub struct WitnessLog {
    journal: Journal,
    record_count: u64,
    max_bytes: u64,
    leases: Map<u64, LeaseRecord>,
}

impl WitnessLog {
    /// Opens the journal in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the journal is damaged or can't be written.
    pub fn open(folder: &Path, options: JournalOptions) -> Result<Self, DiskError> {
        let (journal, recovered) = Journal::open(folder, options)?;
        let damaged = |number, source| DiskError::Decode {
            journal: "seals",
            number,
            source,
        };
        let mut log = Self {
            journal,
            record_count: recovered.records.len() as u64,
            max_bytes: options.quota_bytes / QUOTA_DIVISOR,
            leases: Map::default(),
        };
        if let Some(bytes) = &recovered.checkpoint {
            log.leases = postcard::from_bytes(bytes).map_err(|source| damaged(0, source))?;
        }
        for (number, bytes) in (1..).zip(&recovered.records) {
            let record = postcard::from_bytes(bytes).map_err(|source| damaged(number, source))?;
            log.apply(&record);
        }
        Ok(log)
    }

    /// Applies a record to the leases in memory.
    fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Mark(mark) => {
                let lease = self.leases.entry(mark.lease).or_default();
                for (team, opened) in &mark.limits {
                    let known = lease.limits.entry(team.clone()).or_default();
                    *known = (*known).max(*opened);
                }
            }
            JournalRecord::Fence(lease) => self.leases.entry(*lease).or_default().is_fenced = true,
        }
    }

    /// Appends a record to the journal and applies it.
    fn append(&mut self, record: &JournalRecord) -> Result<(), DiskError> {
        let bytes = postcard::to_stdvec(record).map_err(DiskError::Encode)?;
        self.journal.append(&bytes)?;
        self.record_count += 1;
        self.apply(record);
        Ok(())
    }

    /// Appends a mark; returns false if the lease is fenced.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails. The mark may or may not have been written then.
    pub fn record_mark(&mut self, mark: &HighWaterMark) -> Result<bool, DiskError> {
        let known = self.leases.get(&mark.lease);
        if known.is_some_and(|lease| lease.is_fenced) {
            return Ok(false);
        }
        self.append(&JournalRecord::Mark(mark.clone()))?;
        Ok(true)
    }

    /// Fences `lease`, so that further marks are rejected. Returns the tokens opened under
    /// it, by team.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails. The lease may or may not be fenced then.
    pub fn fence(&mut self, lease: u64) -> Result<Vec<(String, u64)>, DiskError> {
        if !self.leases.get(&lease).is_some_and(|known| known.is_fenced) {
            self.append(&JournalRecord::Fence(lease))?;
        }
        let opened = self.leases.get(&lease).map(|known| known.limits.clone());
        Ok(opened.unwrap_or_default().into_iter().collect())
    }

    /// Makes appended records durable. The next checkpoint drops the marks of leases that are
    /// `closed`: nobody asks for them again. The fences stay, because their entries may not
    /// know yet that they are closed.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub fn sync(&mut self, closed: impl Fn(u64) -> bool) -> Result<(), DiskError> {
        self.journal.sync()?;
        let is_long = self.record_count >= MAX_JOURNAL_RECORDS;
        if is_long || self.journal.size_bytes() >= self.max_bytes {
            self.leases.retain(|&lease, record| {
                if closed(lease) {
                    record.limits = Map::default();
                }
                record.is_fenced || !closed(lease)
            });
            self.checkpoint()?;
        }
        Ok(())
    }

    /// Replaces the journal by a checkpoint.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub fn checkpoint(&mut self) -> Result<(), DiskError> {
        let bytes = postcard::to_stdvec(&self.leases).map_err(DiskError::Encode)?;
        self.journal.checkpoint(&bytes)?;
        self.record_count = 0;
        Ok(())
    }
}
