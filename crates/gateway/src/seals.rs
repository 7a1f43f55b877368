//! What an entry with a disk has opened of its grants, on that disk.

use std::path::Path;

use durable::DiskError;
use serde::Deserialize;
use serde::Serialize;
use store::Journal;
use store::Options;

/// Records after which the journal is replaced by its last one.
const RECORDS: u64 = 400;

/// What was opened under a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The lease.
    pub lease: u64,
    /// Tokens opened of each team's grants.
    pub opened: Vec<(String, u64)>,
}

/// The journal of seals.
#[derive(Debug)]
pub struct Seals {
    journal: Journal,
    records: u64,
}

impl Seals {
    /// Opens the journal in `folder`; returns the last seal of an earlier run.
    ///
    /// # Errors
    ///
    /// Fails where the journal is damaged or can't be written.
    pub fn open(folder: &Path, options: Options) -> Result<(Self, Option<Seal>), DiskError> {
        let (journal, recovered) = Journal::open(folder, options)?;
        let records = recovered.records.len() as u64;
        let last = recovered.records.last().or(recovered.checkpoint.as_ref());
        let seal = last.map(|bytes| {
            let read = postcard::from_bytes(bytes);
            read.map_err(|source| DiskError::Record {
                journal: "seals",
                number: records,
                source,
            })
        });
        Ok((Self { journal, records }, seal.transpose()?))
    }

    /// Makes a seal durable.
    ///
    /// # Errors
    ///
    /// Fails where the disk does; the seal may or may not be there then.
    pub fn write(&mut self, seal: &Seal) -> Result<(), DiskError> {
        let bytes = postcard::to_stdvec(seal).map_err(DiskError::Encode)?;
        self.journal.append(&bytes)?;
        self.journal.sync()?;
        self.records += 1;
        if self.records >= RECORDS {
            self.journal.checkpoint(&bytes)?;
            self.records = 0;
        }
        Ok(())
    }
}
