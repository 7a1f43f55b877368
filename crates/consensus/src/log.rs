//! The in-memory log: the last snapshot and the entries after it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::members::Members;

/// The index and term of an entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was proposed. It comes before the index, so that
    /// the derived order tells which of two logs is more up to date.
    pub term: u64,
    /// The index, counted from one.
    pub index: u64,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader appends it so that it can commit entries of earlier
    /// terms.
    Noop,
    /// A command for the replicated state machine, encoded.
    Data(Vec<u8>),
    /// The membership from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's index and term.
    pub position: Position,
    /// The log's own time in milliseconds: the proposing leader's clock, but never
    /// less than the time of the entry before.
    pub time_ms: u64,
    /// The content.
    pub payload: Payload,
}

/// Size in bytes of an entry without its command, and of a change of members.
const ENTRY_OVERHEAD_BYTES: u64 = 64;

impl Entry {
    /// Returns the approximate size of the entry in memory and in a journal, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        match &self.payload {
            Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len() as u64,
            Payload::Noop | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// The replicated state as of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last entry that the state includes.
    pub position: Position,
    /// The time of that entry, in milliseconds.
    pub time_ms: u64,
    /// The membership as of that entry.
    pub members: Members,
    /// The state, encoded by the owner of the state machine.
    pub data: Arc<Vec<u8>>,
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    entry_bytes: u64,
}

fn sum_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(Entry::size_bytes).sum()
}

impl Log {
    /// Returns the log of `entries` after `snapshot`.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let entry_bytes = sum_bytes(&entries);
        Self {
            snapshot,
            entries,
            entry_bytes,
        }
    }

    /// Returns the snapshot that the entries follow.
    #[must_use]
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the number of entries in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the size of the entries in memory, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        self.entry_bytes
    }

    /// Returns whether no entry is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the position of the last entry.
    #[must_use]
    pub fn last_position(&self) -> Position {
        self.entries
            .last()
            .map_or(self.snapshot.position, |entry| entry.position)
    }

    /// Returns the time of the last entry, in milliseconds.
    #[must_use]
    pub fn last_time_ms(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.time_ms, |entry| entry.time_ms)
    }

    /// Returns the term of the entry at `index`, or `None` if the log doesn't hold it.
    #[must_use]
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.position.index {
            return Some(self.snapshot.position.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at `index`.
    #[must_use]
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.position.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns the entries from `index` on, or none if the log ends before `index`.
    #[must_use]
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let first = self.snapshot.position.index + 1;
        let offset = index.saturating_sub(first);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.get(offset..).unwrap_or(&[])
    }

    /// Returns the membership as of the last entry.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                Payload::Noop | Payload::Data(_) => None,
            })
            .unwrap_or(&self.snapshot.members)
    }

    /// Returns the membership as of the entry at `index`.
    #[must_use]
    pub fn members_at(&self, index: u64) -> &Members {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.position.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Members(members) => Some(members),
                Payload::Noop | Payload::Data(_) => None,
            })
            .unwrap_or(&self.snapshot.members)
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last_position().index + 1);
        self.entry_bytes += entry.size_bytes();
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        self.entry_bytes -= sum_bytes(self.entries_from(index));
        let keep = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces the entries up to the position of `snapshot` by `snapshot`.
    ///
    /// Later entries stay only if the log holds the snapshot's last entry.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let rest = match self.term_at(snapshot.position.index) {
            Some(term) if term == snapshot.position.term => {
                self.entries_from(snapshot.position.index + 1).to_vec()
            }
            _ => Vec::new(),
        };
        self.snapshot = snapshot;
        self.entry_bytes = sum_bytes(&rest);
        self.entries = rest;
    }
}
