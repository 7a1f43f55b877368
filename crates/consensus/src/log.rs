//! Entries in memory since the last snapshot.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::members::Members;

/// The index and term of an entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was proposed. Ordered before the index, so
    /// that comparing positions says which log is newer.
    pub term: u64,
    /// The index, counted from one.
    pub index: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; opens a leader's term.
    Noop,
    /// A command of the replicated state.
    Data(Vec<u8>),
    /// The members from this entry on.
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where the entry stands.
    pub position: Position,
    /// The log's own time in milliseconds; never falls along the log.
    pub at: u64,
    /// What the entry carries.
    pub payload: Payload,
}

/// The replicated state at a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state holds.
    pub position: Position,
    /// The log's own time at that entry, in milliseconds.
    pub at: u64,
    /// The members at that entry.
    pub members: Members,
    /// The state, encoded by its owner.
    pub data: Arc<Vec<u8>>,
}

/// The entries after a snapshot.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// Returns the log of `entries` after `snapshot`.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
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

    /// Returns whether no entry is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries
            .last()
            .map_or(self.snapshot.position, |entry| entry.position)
    }

    /// Returns the log's own time at its last entry, in milliseconds.
    #[must_use]
    pub fn last_at(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.at, |entry| entry.at)
    }

    /// Returns the term at `index`, or `None` where it's unknown here.
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

    /// Returns the entries from `index` on; empty where they're unknown here.
    #[must_use]
    pub fn from(&self, index: u64) -> &[Entry] {
        let first = self.snapshot.position.index + 1;
        let offset = index.saturating_sub(first);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.get(offset..).unwrap_or(&[])
    }

    /// Returns the members as of the last entry.
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

    /// Returns the members as of the entry at `index`.
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

    /// Appends an entry, which follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.position.index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces the entries up to the snapshot's position by `snapshot`.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let rest = match self.term_at(snapshot.position.index) {
            Some(term) if term == snapshot.position.term => {
                self.from(snapshot.position.index + 1).to_vec()
            }
            _ => Vec::new(),
        };
        self.snapshot = snapshot;
        self.entries = rest;
    }
}
