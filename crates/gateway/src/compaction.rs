//! When the replicated log is compacted, and how much of it may wait to be committed.
//!
//! Both are bounded in bytes by the journal's quota and the process's memory. The quota
//! is four times the size at which the log is compacted, so that the entries of one batch
//! and those that can't be compacted yet still fit.

/// Divisor of the journal's quota that yields the size at which the log is compacted.
const QUOTA_DIVISOR: u64 = 4;

/// Divisor of the process's memory that yields the size at which the log is compacted.
const MEMORY_DIVISOR: u64 = 16;

/// Number of applied entries after which the log is compacted whatever their size, which
/// bounds the time of a replay.
const MAX_APPLIED_ENTRIES: u64 = 600;

/// The sizes of the log and its journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogUsage {
    /// Number of applied entries in the log.
    pub applied_entries: u64,
    /// Size of the applied entries in the log, in bytes.
    pub applied_bytes: u64,
    /// Size of all entries in the log, in bytes.
    pub log_bytes: u64,
    /// Size of the journal since its checkpoint, in bytes.
    pub journal_bytes: u64,
}

/// The bound in bytes at which the log is compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogBound(u64);

impl LogBound {
    /// Returns the bound for a journal with this quota in a process with this memory, both
    /// in bytes.
    #[must_use]
    pub fn new(quota_bytes: u64, memory_bytes: u64) -> Self {
        Self((quota_bytes / QUOTA_DIVISOR).min(memory_bytes / MEMORY_DIVISOR))
    }

    /// Returns whether the log is to be compacted and its journal replaced by a checkpoint.
    ///
    /// Each of the conditions is false after the checkpoint, so that the cost of the next
    /// one is spread over as many bytes or entries.
    #[must_use]
    pub fn is_reached(self, usage: &LogUsage) -> bool {
        usage.applied_entries >= MAX_APPLIED_ENTRIES
            || usage.applied_bytes >= self.0
            || usage.journal_bytes >= self.0
    }

    /// Returns whether a command may be added to a log: while too much of it waits to be
    /// committed, it can't be compacted.
    #[must_use]
    pub fn admits_command(self, usage: &LogUsage) -> bool {
        usage.log_bytes.saturating_sub(usage.applied_bytes) < self.0
    }
}
