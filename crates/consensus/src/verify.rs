//! Checks over a whole group.

use base::KeeperId;
use base::Map;
use thiserror::Error;

use crate::log::Entry;
use crate::replica::Replica;
use crate::replica::Role;

/// A breach of what the group promises.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// Two replicas lead the same term.
    #[error("{first} and {second} both lead term {term}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// One leader.
        first: KeeperId,
        /// The other leader.
        second: KeeperId,
    },
    /// A committed entry differs from what was committed before.
    #[error("{keeper} committed another entry at index {index}")]
    Changed {
        /// The replica.
        keeper: KeeperId,
        /// The index.
        index: u64,
    },
    /// A replica applied entries out of order.
    #[error("{keeper} applied index {found} after {last}")]
    Gap {
        /// The replica.
        keeper: KeeperId,
        /// The last index applied before.
        last: u64,
        /// The index applied.
        found: u64,
    },
}

/// What has been seen of a group so far.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    leaders: Map<u64, KeeperId>,
    committed: Map<u64, Entry>,
    last: Map<KeeperId, u64>,
}

impl Witness {
    /// Checks the leader of the replica's term.
    pub fn leader(&mut self, replica: &Replica, faults: &mut Vec<Fault>) {
        if replica.role() != Role::Leader {
            return;
        }
        let term = replica.term();
        let first = *self.leaders.entry(term).or_insert(replica.id());
        if first != replica.id() {
            faults.push(Fault::TwoLeaders {
                term,
                first,
                second: replica.id(),
            });
        }
    }

    /// Notes that `keeper` starts, or installs a snapshot, at `index`.
    pub fn starts(&mut self, keeper: KeeperId, index: u64) {
        self.last.insert(keeper, index);
    }

    /// Checks an entry that `keeper` applies.
    pub fn applies(&mut self, keeper: KeeperId, entry: &Entry, faults: &mut Vec<Fault>) {
        let index = entry.position.index;
        let last = self.last.entry(keeper).or_default();
        if index != *last + 1 {
            faults.push(Fault::Gap {
                keeper,
                last: *last,
                found: index,
            });
        }
        *last = index;
        let known = self.committed.entry(index).or_insert_with(|| entry.clone());
        if known != entry {
            faults.push(Fault::Changed { keeper, index });
        }
    }

    /// Returns the committed entry at `index`.
    #[must_use]
    pub fn committed(&self, index: u64) -> Option<&Entry> {
        self.committed.get(&index)
    }
}
