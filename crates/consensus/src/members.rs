//! Voters and learners of a keeper group.
//!
//! A member is a number bound to the identity of one disk. A member whose disk
//! was lost therefore can't speak under its old number: what it had promised is
//! gone, so its votes must not count.

use std::collections::BTreeMap;

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Stands for a disk that isn't known yet, before the group has formed.
pub const UNKNOWN_DISK: u64 = 0;

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote and count towards a quorum, with their disks.
    pub voters: BTreeMap<KeeperId, u64>,
    /// Members that receive the log and don't vote, with their disks.
    pub learners: BTreeMap<KeeperId, u64>,
}

/// A change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner with the disk that it was started on.
    Add(KeeperId, u64),
    /// Makes a learner a voter.
    Promote(KeeperId),
    /// Removes a member.
    Remove(KeeperId),
}

/// Why a change can't be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// The member is there already.
    #[error("{0} is a member already")]
    Present(KeeperId),
    /// The member isn't there, or not a learner.
    #[error("{0} is no such member")]
    Absent(KeeperId),
    /// The last voter can't be removed.
    #[error("the last voter can't be removed")]
    LastVoter,
}

impl Members {
    /// Returns a group of voters whose disks aren't known yet.
    #[must_use]
    pub fn unformed(voters: &[KeeperId]) -> Self {
        Self {
            voters: voters.iter().map(|&id| (id, UNKNOWN_DISK)).collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Returns the number of voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `id` votes.
    #[must_use]
    pub fn votes(&self, id: KeeperId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns the disk of `id`.
    #[must_use]
    pub fn disk(&self, id: KeeperId) -> Option<u64> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .copied()
    }

    /// Returns all members but `except`.
    pub fn others(&self, except: KeeperId) -> impl Iterator<Item = KeeperId> + '_ {
        self.voters
            .keys()
            .chain(self.learners.keys())
            .copied()
            .filter(move |&id| id != except)
    }

    /// Returns a member that can be removed because it isn't among those `present`,
    /// where at least `least` of these remain.
    ///
    /// A member that is gone for good counts towards the quorum until it's removed, so
    /// that the next losses stop the group.
    #[must_use]
    pub fn superfluous(&self, present: &[KeeperId], least: usize) -> Option<KeeperId> {
        let here = self.voters.keys().filter(|id| present.contains(id)).count();
        let ids = self.voters.keys().chain(self.learners.keys());
        let gone = ids.copied().find(|id| !present.contains(id));
        gone.filter(|_| here >= least)
    }

    /// Returns the members after `change`.
    ///
    /// # Errors
    ///
    /// Fails where the change doesn't fit the members.
    pub fn with(&self, change: Change) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match change {
            Change::Add(id, disk) => {
                if self.disk(id).is_some() {
                    return Err(ChangeError::Present(id));
                }
                next.learners.insert(id, disk);
            }
            Change::Promote(id) => {
                let disk = next.learners.remove(&id).ok_or(ChangeError::Absent(id))?;
                next.voters.insert(id, disk);
            }
            Change::Remove(id) => {
                if self.voters.len() == 1 && self.votes(id) {
                    return Err(ChangeError::LastVoter);
                }
                let voter = next.voters.remove(&id);
                let learner = next.learners.remove(&id);
                voter.or(learner).ok_or(ChangeError::Absent(id))?;
            }
        }
        Ok(next)
    }
}
