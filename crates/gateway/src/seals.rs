//! What entries have opened of their grants, on the disk of a witness.

use std::path::Path;

use base::Map;
use durable::DiskError;
use ledger::allowance::HighWaterMark;
use serde::Deserialize;
use serde::Serialize;
use store::Journal;
use store::JournalOptions;

/// Records after which the journal is replaced by what it amounts to.
const RECORDS: u64 = 2_000;

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Record {
    /// An entry has opened this much.
    Opened(HighWaterMark),
    /// The lease takes no further mark.
    Fenced(u64),
}

/// What is known of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    opened: Map<String, u64>,
    fenced: bool,
}

/// The journal of seals.
#[derive(Debug)]
pub struct Seals {
    journal: Journal,
    records: u64,
    leases: Map<u64, Lease>,
}

impl Seals {
    /// Opens the journal in `folder`.
    ///
    /// # Errors
    ///
    /// Fails where the journal is damaged or can't be written.
    pub fn open(folder: &Path, options: JournalOptions) -> Result<Self, DiskError> {
        let (journal, recovered) = Journal::open(folder, options)?;
        let damaged = |number, source| DiskError::Decode {
            journal: "seals",
            number,
            source,
        };
        let mut seals = Self {
            journal,
            records: recovered.records.len() as u64,
            leases: Map::default(),
        };
        if let Some(bytes) = &recovered.checkpoint {
            seals.leases = postcard::from_bytes(bytes).map_err(|source| damaged(0, source))?;
        }
        for (number, bytes) in (1..).zip(&recovered.records) {
            let record = postcard::from_bytes(bytes).map_err(|source| damaged(number, source))?;
            seals.take(&record);
        }
        Ok(seals)
    }

    fn take(&mut self, record: &Record) {
        match record {
            Record::Opened(mark) => {
                let lease = self.leases.entry(mark.lease).or_default();
                for (team, opened) in &mark.limits {
                    let known = lease.opened.entry(team.clone()).or_default();
                    *known = (*known).max(*opened);
                }
            }
            Record::Fenced(lease) => self.leases.entry(*lease).or_default().fenced = true,
        }
    }

    fn append(&mut self, record: &Record) -> Result<(), DiskError> {
        let bytes = postcard::to_stdvec(record).map_err(DiskError::Encode)?;
        self.journal.append(&bytes)?;
        self.records += 1;
        self.take(record);
        Ok(())
    }

    /// Adds a mark; returns false where the lease takes none any more.
    ///
    /// # Errors
    ///
    /// Fails where the disk does; the mark may or may not be there then.
    pub fn open_more(&mut self, mark: &HighWaterMark) -> Result<bool, DiskError> {
        let known = self.leases.get(&mark.lease);
        if known.is_some_and(|lease| lease.fenced) {
            return Ok(false);
        }
        self.append(&Record::Opened(mark.clone()))?;
        Ok(true)
    }

    /// Takes no further mark of `lease`; returns what was opened.
    ///
    /// # Errors
    ///
    /// Fails where the disk does; the lease may or may not be fenced then.
    pub fn fence(&mut self, lease: u64) -> Result<Vec<(String, u64)>, DiskError> {
        if !self.leases.get(&lease).is_some_and(|known| known.fenced) {
            self.append(&Record::Fenced(lease))?;
        }
        let opened = self.leases.get(&lease).map(|known| known.opened.clone());
        Ok(opened.unwrap_or_default().into_iter().collect())
    }

    /// Makes what was added durable. Fenced leases that are `closed` are forgotten
    /// with the next checkpoint.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub fn sync(&mut self, closed: impl Fn(u64) -> bool) -> Result<(), DiskError> {
        self.journal.sync()?;
        if self.records >= RECORDS {
            self.leases
                .retain(|&lease, known| !known.fenced || !closed(lease));
            let bytes = postcard::to_stdvec(&self.leases).map_err(DiskError::Encode)?;
            self.journal.checkpoint(&bytes)?;
            self.records = 0;
        }
        Ok(())
    }
}
