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

/// What a leader knows about the members.
#[derive(Clone, Copy, Debug)]
pub struct MemberHealth<'a> {
    /// Members that haven't answered for an election timeout.
    pub silent: &'a [KeeperId],
    /// Members that have been silent for so long that a learner may replace them.
    pub absent: &'a [KeeperId],
    /// Members whose processes are about to stop.
    pub leaving: &'a [KeeperId],
    /// Learners that answer and have all committed entries.
    pub ready: &'a [KeeperId],
}

/// When a leader replaces an absent voter by a learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplacementPolicy {
    /// Number of voters that the group needs at least.
    pub min_voters: usize,
    /// Number of voters that the group has at most.
    pub max_voters: usize,
    /// Ticks without an answer after which a voter is absent.
    pub absence_ticks: u32,
}

/// Returns the size of a majority of `voters`.
fn quorum(voters: usize) -> usize {
    voters / 2 + 1
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
    /// Turns a voter into a learner.
    Demote(KeeperId),
}

/// The reason for which a membership change is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum MembershipError {
    /// The group has this member already.
    #[error("{0} is a member already")]
    AlreadyMember(KeeperId),
    /// The group has no such member, or the member to promote isn't a learner, or the one to
    /// demote isn't a voter.
    #[error("{0} is no such member")]
    NoSuchMember(KeeperId),
    /// The change would leave no voter.
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

    /// Returns the change that lets a replica join: `lost` members, whose disks are gone,
    /// make room before the replica becomes a learner.
    #[must_use]
    pub fn join_change(
        &self,
        id: KeeperId,
        disk: u64,
        lost: &[KeeperId],
        min_voters: usize,
    ) -> MembershipChange {
        let mut lost = lost.iter().copied();
        let gone =
            lost.find(|&id| self.learners.contains_key(&id) || self.can_spare(id, min_voters));
        gone.map_or(MembershipChange::Add(id, disk), MembershipChange::Remove)
    }

    /// Returns the next change that replaces an absent or leaving voter by a learner, or lets
    /// a learner vote.
    ///
    /// An absent voter is removed first and the learner then takes its place, so that the
    /// quorum is never raised by a voter beside one that is gone. A voter is added beside
    /// the others only while there are too few, or while all of them answer.
    ///
    /// A leaving voter still answers, so the learner votes before the leaving one becomes a
    /// learner: the group can lose a voter at any moment in between.
    #[must_use]
    pub fn replacement_change(
        &self,
        policy: ReplacementPolicy,
        health: &MemberHealth<'_>,
    ) -> Option<MembershipChange> {
        let is_leaving = |id: &KeeperId| health.leaving.contains(id);
        let mut learners = self.learners.keys().filter(|id| !is_leaving(id));
        let ready = learners.find(|id| health.ready.contains(id));
        if let Some(gone) = self.removable_voter(policy, health, ready.is_some()) {
            return Some(MembershipChange::Remove(gone));
        }
        if let Some(leaving) = self.spare_leaving_voter(policy, health) {
            return Some(MembershipChange::Demote(leaving));
        }
        ready
            .filter(|_| self.may_promote(policy, health))
            .map(|&id| MembershipChange::Promote(id))
    }

    /// Returns an absent voter that can be removed, where a learner may be ready to vote.
    fn removable_voter(
        &self,
        policy: ReplacementPolicy,
        health: &MemberHealth<'_>,
        learner_ready: bool,
    ) -> Option<KeeperId> {
        let gone = *self.voters.keys().find(|id| health.absent.contains(id))?;
        let rest = self.voters.len() - 1;
        let removable = (learner_ready || rest >= policy.min_voters)
            && self.answering_voters(health) >= quorum(rest)
            && self.can_spare(gone, policy.min_voters);
        removable.then_some(gone)
    }

    /// Returns a leaving voter beside which enough others answer.
    fn spare_leaving_voter(
        &self,
        policy: ReplacementPolicy,
        health: &MemberHealth<'_>,
    ) -> Option<KeeperId> {
        let leaving = *self.voters.keys().find(|id| health.leaving.contains(id))?;
        let others = self.answering_voters(health) - usize::from(!health.silent.contains(&leaving));
        let rest = self.voters.len() - 1;
        (rest >= policy.min_voters && others >= quorum(rest)).then_some(leaving)
    }

    /// Returns whether a learner may become a voter.
    fn may_promote(&self, policy: ReplacementPolicy, health: &MemberHealth<'_>) -> bool {
        let voters = self.voters.len();
        let staying = self.voters.keys().filter(|id| !health.leaving.contains(id));
        staying.count() < policy.max_voters
            && (voters < policy.min_voters
                || quorum(voters + 1) == self.quorum()
                || self.answering_voters(health) == voters)
    }

    /// Returns the number of voters that answer.
    fn answering_voters(&self, health: &MemberHealth<'_>) -> usize {
        let answering = self.voters.keys().filter(|id| !health.silent.contains(id));
        answering.count()
    }

    /// Returns whether the group without the voter `id` still stores each entry on as many
    /// disks as a majority of `min_voters`.
    fn can_spare(&self, id: KeeperId, min_voters: usize) -> bool {
        self.is_voter(id)
            && self.voters.len() > 1
            && quorum(self.voters.len() - 1) >= quorum(min_voters)
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
            MembershipChange::Demote(id) => {
                if self.voters.len() == 1 && self.is_voter(id) {
                    return Err(MembershipError::LastVoter);
                }
                let disk = members
                    .voters
                    .remove(&id)
                    .ok_or(MembershipError::NoSuchMember(id))?;
                members.learners.insert(id, disk);
            }
        }
        Ok(members)
    }
}
