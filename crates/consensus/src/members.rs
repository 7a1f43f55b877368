//! Membership of a keeper group: voters, learners and changes of one member.
//!
//! A member is a number bound to the identity of one disk. A member that lost its
//! disk lost its recorded term, vote and entries, so its votes must not count:
//! messages under its old number from another disk are rejected.

use std::collections::BTreeMap;

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Disk identity of a member whose disk isn't known yet, before the group forms.
pub const UNKNOWN_DISK: u64 = 0;

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that vote and count towards a quorum, with their disk identities.
    pub voters: BTreeMap<KeeperId, u64>,
    /// Members that receive the log and don't vote, with their disk identities.
    pub learners: BTreeMap<KeeperId, u64>,
}

/// A change of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a learner with the identity of the disk that it was started on.
    Add(KeeperId, u64),
    /// Promotes a learner to voter.
    Promote(KeeperId),
    /// Removes a member.
    Remove(KeeperId),
}

/// The reason for which a membership change is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum MembershipError {
    /// The group has this member already.
    #[error("{0} is a member already")]
    AlreadyMember(KeeperId),
    /// The group has no such member, or the member to promote isn't a learner.
    #[error("{0} is no such member")]
    NoSuchMember(KeeperId),
    /// The change would remove the last voter.
    #[error("the last voter can't be removed")]
    LastVoter,
}

impl Members {
    /// Returns the initial membership: voters whose disks aren't known yet.
    #[must_use]
    pub fn bootstrap(voters: &[KeeperId]) -> Self {
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

    /// Returns whether `id` is a voter.
    #[must_use]
    pub fn is_voter(&self, id: KeeperId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns the disk identity of `id`.
    #[must_use]
    pub fn disk(&self, id: KeeperId) -> Option<u64> {
        self.voters
            .get(&id)
            .or_else(|| self.learners.get(&id))
            .copied()
    }

    /// Returns all members except `except`.
    pub fn others(&self, except: KeeperId) -> impl Iterator<Item = KeeperId> + '_ {
        self.voters
            .keys()
            .chain(self.learners.keys())
            .copied()
            .filter(move |&id| id != except)
    }

    /// Returns a member that isn't in `present` and can be removed, provided that at
    /// least `min_voters` voters are present.
    ///
    /// A member that is lost permanently counts towards the quorum size until it is
    /// removed, so further losses would leave the group without a quorum.
    #[must_use]
    pub fn removable_member(&self, present: &[KeeperId], min_voters: usize) -> Option<KeeperId> {
        let present_voters = self.voters.keys().filter(|id| present.contains(id)).count();
        let ids = self.voters.keys().chain(self.learners.keys());
        let absent = ids.copied().find(|id| !present.contains(id));
        absent.filter(|_| present_voters >= min_voters)
    }

    /// Returns the members after `change`.
    ///
    /// # Errors
    ///
    /// Fails where the change isn't valid for these members.
    pub fn with_change(&self, change: MembershipChange) -> Result<Self, MembershipError> {
        let mut members = self.clone();
        match change {
            MembershipChange::Add(id, disk) => {
                if self.disk(id).is_some() {
                    return Err(MembershipError::AlreadyMember(id));
                }
                members.learners.insert(id, disk);
            }
            MembershipChange::Promote(id) => {
                let disk = members
                    .learners
                    .remove(&id)
                    .ok_or(MembershipError::NoSuchMember(id))?;
                members.voters.insert(id, disk);
            }
            MembershipChange::Remove(id) => {
                if self.voters.len() == 1 && self.is_voter(id) {
                    return Err(MembershipError::LastVoter);
                }
                let voter = members.voters.remove(&id);
                let learner = members.learners.remove(&id);
                voter.or(learner).ok_or(MembershipError::NoSuchMember(id))?;
            }
        }
        Ok(members)
    }
}
