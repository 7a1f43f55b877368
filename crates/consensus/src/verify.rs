//! Checks of the safety properties over a whole group, from its replicas' roles and
//! applied entries.

use base::KeeperId;
use base::Map;
use thiserror::Error;

use crate::log::Entry;
use crate::replica::Replica;
use crate::replica::Role;

/// A violated safety property.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two replicas are leaders of the same term.
    #[error("{first} and {second} both lead term {term}")]
    TwoLeaders {
        /// The term.
        term: u64,
        /// One leader.
        first: KeeperId,
        /// The other leader.
        second: KeeperId,
    },
    /// A replica committed an entry that differs from the one committed earlier at the
    /// same index.
    #[error("{keeper} committed another entry at index {index}")]
    ConflictingCommit {
        /// The replica.
        keeper: KeeperId,
        /// The index.
        index: u64,
    },
    /// A replica applied entries out of order.
    #[error("{keeper} applied index {applied} after {last}")]
    ApplyGap {
        /// The replica.
        keeper: KeeperId,
        /// The last index applied before.
        last: u64,
        /// The index applied.
        applied: u64,
    },
}

/// The leaders and committed entries observed so far, against which later ones are
/// checked.
#[derive(Clone, Debug, Default)]
pub struct SafetyChecker {
    leaders: Map<u64, KeeperId>,
    committed: Map<u64, Entry>,
    last_applied: Map<KeeperId, u64>,
}

impl SafetyChecker {
    /// Checks that a leader is the only one of its term.
    pub fn check_leader(&mut self, replica: &Replica, violations: &mut Vec<Violation>) {
        if replica.role() != Role::Leader {
            return;
        }
        let term = replica.term();
        let first = *self.leaders.entry(term).or_insert(replica.id());
        if first != replica.id() {
            violations.push(Violation::TwoLeaders {
                term,
                first,
                second: replica.id(),
            });
        }
    }

    /// Records that `keeper` starts, or installs a snapshot, at `index`.
    pub fn record_start(&mut self, keeper: KeeperId, index: u64) {
        self.last_applied.insert(keeper, index);
    }

    /// Checks an entry that `keeper` applies: its index follows the last one and its
    /// content is the same on all replicas.
    pub fn check_applied(
        &mut self,
        keeper: KeeperId,
        entry: &Entry,
        violations: &mut Vec<Violation>,
    ) {
        let index = entry.position.index;
        let last = self.last_applied.entry(keeper).or_default();
        if index != *last + 1 {
            violations.push(Violation::ApplyGap {
                keeper,
                last: *last,
                applied: index,
            });
        }
        *last = index;
        let known = self.committed.entry(index).or_insert_with(|| entry.clone());
        if known != entry {
            violations.push(Violation::ConflictingCommit { keeper, index });
        }
    }

    /// Returns the committed entry at `index`.
    #[must_use]
    pub fn committed(&self, index: u64) -> Option<&Entry> {
        self.committed.get(&index)
    }
}
