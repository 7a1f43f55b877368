//! One replica: terms, elections, proposals, linearizable reads and membership
//! changes, driven by ticks, messages and calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::log::Entry;
use crate::log::Log;
use crate::log::Payload;
use crate::log::Position;
use crate::log::Snapshot;
use crate::members::MemberHealth;
use crate::members::Members;
use crate::members::MembershipChange;
use crate::members::MembershipError;
use crate::members::ReplacementPolicy;
use crate::members::UNKNOWN_DISK;
use crate::message::Envelope;
use crate::message::Message;
use crate::progress::Progress;

/// Minimum ticks without a leader before a replica starts a pre-vote; the timeout is
/// random, from this to less than twice this.
pub const MIN_ELECTION_TICKS: u32 = 10;

/// Ticks without a leader in which a replica starts a pre-vote at the latest.
const MAX_ELECTION_TICKS: u32 = 2 * MIN_ELECTION_TICKS;

/// Ticks between two heartbeats of a leader.
pub const HEARTBEAT_INTERVAL_TICKS: u32 = 2;

/// Ticks after which a leader steps down whose followers answer heartbeats but receive no
/// entries, while some wait to be committed.
const MAX_STALLED_TICKS: u32 = 10 * MIN_ELECTION_TICKS;

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Requests pre-votes, without a new term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Is the leader of the term.
    Leader,
}

/// The state besides the log that must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest known term.
    pub term: u64,
    /// The candidate voted for in that term.
    pub vote: Option<KeeperId>,
}

/// A change to the persistent log and hard state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogWrite {
    /// Replaces the hard state.
    Save(HardState),
    /// Removes the entries from this index on.
    Truncate(u64),
    /// Appends an entry.
    Append(Entry),
    /// Replaces the log up to the snapshot's position by the snapshot.
    Install(Snapshot),
}

/// The actions that the caller carries out: log writes and a sync first, then the rest.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// Log writes, in order.
    pub writes: Vec<LogWrite>,
    /// Messages to send after the sync.
    pub messages: Vec<Envelope>,
    /// A snapshot that replaces the replicated state before `committed` is applied.
    pub snapshot: Option<Snapshot>,
    /// Newly committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Confirmed reads as read id and index; each may be answered once the entry at
    /// that index is applied.
    pub ready_reads: Vec<(u64, u64)>,
    /// Ids of reads that this replica can't answer.
    pub failed_reads: Vec<u64>,
}

impl Effects {
    /// Adds the actions of a later call. A snapshot includes the entries that were committed
    /// before it, so these are no longer applied.
    pub fn merge(&mut self, later: Self) {
        self.writes.extend(later.writes);
        self.messages.extend(later.messages);
        if later.snapshot.is_some() {
            self.snapshot = later.snapshot;
            self.committed.clear();
        }
        self.committed.extend(later.committed);
        self.ready_reads.extend(later.ready_reads);
        self.failed_reads.extend(later.failed_reads);
    }

    /// Returns whether there are no actions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.snapshot.is_none()
            && self.committed.is_empty()
            && self.ready_reads.is_empty()
            && self.failed_reads.is_empty()
    }
}

/// The reason for which a proposal is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This replica isn't the leader; holds the leader, where one is known.
    #[error("this keeper does not lead")]
    NotLeader(Option<KeeperId>),
    /// Another membership change isn't committed yet, or no entry of this term is.
    #[error("another change of members is under way, or the term has no committed entry yet")]
    ChangePending,
    /// The change isn't valid for the current members.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The learner to promote lacks committed entries.
    #[error("{0} has not caught up")]
    LearnerBehind(KeeperId),
}

/// A read that waits until a quorum has answered its heartbeat round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    read_id: u64,
    round: u64,
    index: u64,
}

/// One member of the group.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) id: KeeperId,
    pub(crate) disk: u64,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<KeeperId>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) round: u64,
    pub(crate) followers: BTreeMap<KeeperId, Progress>,
    pub(crate) elapsed_ticks: u32,
    /// Ticks for which a leader with uncommitted entries has seen no follower store one.
    pub(crate) stalled_ticks: u32,
    votes: BTreeMap<KeeperId, u64>,
    timeout_ticks: u32,
    pending_reads: Vec<PendingRead>,
    clock_ms: u64,
    rng: fastrand::Rng,
    rejected_messages: u64,
    policy: Option<ReplacementPolicy>,
    /// Members whose processes are about to stop.
    leaving: BTreeSet<KeeperId>,
    /// The leader that this replica followed last, unless it has led since.
    last_leader: Option<KeeperId>,
    /// Ticks since the last message of a leader.
    leader_ticks: u32,
}

impl Replica {
    /// Returns a replica with the hard state and log that its disk holds.
    ///
    /// `disk` is the identity of the data folder, drawn at random when the folder is
    /// created. On a new disk, `log` has no entries and its snapshot at index zero
    /// names the members of the group to form.
    #[must_use]
    pub fn new(id: KeeperId, disk: u64, saved: HardState, log: Log, seed: u64) -> Self {
        let start = log.snapshot().position.index;
        let mut replica = Self {
            id,
            disk,
            hard_state: saved,
            role: Role::Follower,
            leader: None,
            commit_index: start,
            applied_index: start,
            round: 0,
            followers: BTreeMap::new(),
            elapsed_ticks: 0,
            stalled_ticks: 0,
            votes: BTreeMap::new(),
            timeout_ticks: 0,
            pending_reads: Vec::new(),
            clock_ms: log.last_time_ms(),
            rng: fastrand::Rng::with_seed(seed),
            rejected_messages: 0,
            policy: None,
            leaving: BTreeSet::new(),
            last_leader: None,
            leader_ticks: 0,
            log,
        };
        replica.reset_timeout();
        replica
    }

    /// Returns the replica with a policy by which it replaces absent voters while it leads.
    /// Without one, learners become voters as soon as they have the whole log.
    #[must_use]
    pub fn with_policy(mut self, policy: ReplacementPolicy) -> Self {
        self.policy = Some(policy);
        self
    }

    /// Names the members whose processes are about to stop. While this replica leads and a
    /// learner is ready, it lets the learner vote in place of a leaving voter, and transfers
    /// its leadership if it is the leaving voter itself.
    pub fn set_leaving(&mut self, leaving: &[KeeperId]) {
        self.leaving = leaving.iter().copied().collect();
    }

    /// Returns the replica's id.
    #[must_use]
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// Returns the replica's role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the state besides the log that must survive a restart.
    #[must_use]
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the latest known term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader, where one is known.
    #[must_use]
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// Returns the commit index.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership as of the last entry.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the number of messages rejected because they were for another replica or
    /// came from an unknown member or disk.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// Returns whether the log is empty, so that the group hasn't formed as far as this
    /// replica knows.
    #[must_use]
    pub fn is_uninitialized(&self) -> bool {
        self.log.last_position().index == 0
    }

    /// Advances the replica by one tick at time `now_ms`, in milliseconds.
    pub fn tick(&mut self, now_ms: u64) -> Effects {
        let mut effects = Effects::default();
        self.clock_ms = self.clock_ms.max(now_ms);
        self.elapsed_ticks += 1;
        self.leader_ticks = self.leader_ticks.saturating_add(1);
        if self.role == Role::Leader {
            self.tick_leader(&mut effects);
        } else if self.elapsed_ticks >= self.timeout_ticks && self.members().is_voter(self.id) {
            self.start_pre_vote(&mut effects);
        }
        effects
    }

    fn tick_leader(&mut self, effects: &mut Effects) {
        if self.elapsed_ticks.is_multiple_of(MIN_ELECTION_TICKS) && !self.check_quorum() {
            self.step_down(self.hard_state.term, None, effects);
            return;
        }
        let uncommitted = self.log.last_position().index > self.commit_index;
        self.stalled_ticks = if uncommitted {
            self.stalled_ticks + 1
        } else {
            0
        };
        if self.stalled_ticks > MAX_STALLED_TICKS {
            self.step_down(self.hard_state.term, None, effects);
            return;
        }
        for progress in self.followers.values_mut() {
            progress.snapshot_pause = progress.snapshot_pause.saturating_sub(1);
            progress.silent_ticks = progress.silent_ticks.saturating_add(1);
        }
        if self.elapsed_ticks.is_multiple_of(HEARTBEAT_INTERVAL_TICKS) {
            self.round += 1;
            self.replicate(true, effects);
            self.replace_member(effects);
        }
    }

    /// Returns whether a quorum has answered since the last check, and starts the next
    /// check period.
    fn check_quorum(&mut self) -> bool {
        let members = self.log.members().clone();
        let mut active = usize::from(members.is_voter(self.id));
        for (id, progress) in &mut self.followers {
            active += usize::from(progress.recently_active && members.is_voter(*id));
            progress.recently_active = false;
        }
        active >= members.quorum()
    }

    /// Proposes a command; returns the position that it takes if it commits.
    ///
    /// # Errors
    ///
    /// Fails where this replica isn't the leader.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(Position, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let mut effects = Effects::default();
        let position = self.append(Payload::Data(data), &mut effects);
        self.advance_commit(&mut effects);
        self.replicate(false, &mut effects);
        Ok((position, effects))
    }

    /// Proposes a change of one member; returns the position that it takes if it
    /// commits.
    ///
    /// # Errors
    ///
    /// Fails where this replica isn't the leader, another change isn't committed yet, the
    /// change isn't valid, or the learner to promote lacks committed entries.
    pub fn change_members(
        &mut self,
        change: MembershipChange,
    ) -> Result<(Position, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        if self.change_pending() || !self.has_committed() {
            return Err(ProposeError::ChangePending);
        }
        if let MembershipChange::Promote(id) = change {
            let progress = self.followers.get(&id);
            let match_index = progress.map_or(0, |progress| progress.match_index);
            if match_index < self.commit_index {
                return Err(ProposeError::LearnerBehind(id));
            }
        }
        let members = self.members().with_change(change)?;
        let mut effects = Effects::default();
        let position = self.append(Payload::Members(members), &mut effects);
        self.update_followers();
        self.advance_commit(&mut effects);
        self.replicate(false, &mut effects);
        Ok((position, effects))
    }

    /// Starts a linearizable read; its `read_id` comes back in the effects, of this call
    /// or a later one.
    pub fn read_index(&mut self, read_id: u64) -> Effects {
        let mut effects = Effects::default();
        if self.role != Role::Leader || !self.has_committed() {
            effects.failed_reads.push(read_id);
            return effects;
        }
        self.round += 1;
        self.pending_reads.push(PendingRead {
            read_id,
            round: self.round,
            index: self.commit_index,
        });
        self.replicate(true, &mut effects);
        self.complete_reads(&mut effects);
        effects
    }

    /// Transfers leadership to the voter with the longest matching log, one that stays and is
    /// active if there is one, before a planned stop or after the disk failed.
    pub fn transfer_leadership(&mut self) -> Effects {
        let mut effects = Effects::default();
        if self.role != Role::Leader {
            return effects;
        }
        let members = self.members();
        let target = self
            .followers
            .iter()
            .filter(|(id, _)| members.is_voter(**id))
            .max_by_key(|(id, progress)| {
                let stays = !self.leaving.contains(id);
                (stays, progress.recently_active, progress.match_index)
            })
            .map(|(&id, _)| id);
        if let Some(to) = target {
            self.send(to, Message::TimeoutNow, &mut effects);
        }
        effects
    }

    /// Replaces the log up to `index` by a snapshot with `data`, the encoded state at
    /// that index.
    ///
    /// # Panics
    ///
    /// Panics where `index` isn't applied, which the caller must ensure.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Effects {
        assert!(
            index <= self.applied_index,
            "only applied entries are compacted"
        );
        let mut effects = Effects::default();
        let Some(term) = self.log.term_at(index) else {
            return effects;
        };
        let time_ms = self
            .log
            .get(index)
            .map_or(self.log.snapshot().time_ms, |e| e.time_ms);
        let snapshot = Snapshot {
            position: Position { term, index },
            time_ms,
            members: self.log.members_at(index).clone(),
            data: data.into(),
        };
        self.log.compact(snapshot.clone());
        effects.writes.push(LogWrite::Install(snapshot));
        effects
    }

    /// Handles a message.
    pub fn receive(&mut self, envelope: Envelope) -> Effects {
        let mut effects = Effects::default();
        if envelope.to != self.id || !self.is_known_sender(&envelope) {
            self.rejected_messages += 1;
            return effects;
        }
        let Envelope {
            from,
            disk,
            term,
            message,
            ..
        } = envelope;
        match message {
            Message::RequestVote {
                pre_vote,
                last_position,
            } => {
                self.on_request_vote(from, term, pre_vote, last_position, &mut effects);
            }
            Message::VoteResponse { pre_vote, granted } => {
                self.on_vote_response(from, disk, term, pre_vote, granted, &mut effects);
            }
            Message::AppendEntries {
                prev_position,
                entries,
                commit_index,
                round,
            } => {
                if self.accept_leader(from, term, &mut effects) {
                    self.on_append_entries(
                        from,
                        prev_position,
                        entries,
                        commit_index,
                        round,
                        &mut effects,
                    );
                }
            }
            Message::InstallSnapshot { snapshot, round } => {
                if self.accept_leader(from, term, &mut effects) {
                    self.on_install_snapshot(from, snapshot, round, &mut effects);
                }
            }
            Message::AppendResponse {
                match_index,
                next_hint,
                round,
            } => {
                if term > self.hard_state.term {
                    self.step_down(term, None, &mut effects);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.on_append_response(from, match_index, next_hint, round, &mut effects);
                }
            }
            Message::Heartbeat {
                commit_index,
                round,
            } => {
                if self.accept_leader(from, term, &mut effects) {
                    self.on_heartbeat(from, commit_index, round, &mut effects);
                }
            }
            Message::HeartbeatResponse { round } => {
                if term > self.hard_state.term {
                    self.step_down(term, None, &mut effects);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.on_heartbeat_response(from, round, &mut effects);
                }
            }
            Message::TimeoutNow => {
                if term == self.hard_state.term
                    && self.members().is_voter(self.id)
                    && !self.is_uninitialized()
                {
                    self.start_election(&mut effects);
                }
            }
        }
        effects
    }

    /// Returns whether the sender may be a member that runs on the disk that it joined with.
    ///
    /// Senders that aren't listed are accepted: members may have changed while this replica
    /// was cut off, and only the members that the sender knows decide who leads.
    fn is_known_sender(&self, envelope: &Envelope) -> bool {
        match self.members().disk(envelope.from) {
            Some(disk) => disk == envelope.disk || disk == UNKNOWN_DISK,
            None => true,
        }
    }

    /// Accepts the sender as the leader of `term`; returns false and answers with a
    /// rejection if the term is outdated.
    fn accept_leader(&mut self, from: KeeperId, term: u64, effects: &mut Effects) -> bool {
        if term < self.hard_state.term {
            let next_hint = self.log.last_position().index + 1;
            let reply = Message::AppendResponse {
                match_index: None,
                next_hint,
                round: 0,
            };
            self.send(from, reply, effects);
            return false;
        }
        if term > self.hard_state.term || self.role != Role::Follower {
            self.step_down(term, Some(from), effects);
        }
        self.leader = Some(from);
        self.last_leader = Some(from);
        self.leader_ticks = 0;
        self.elapsed_ticks = 0;
        true
    }

    fn on_request_vote(
        &mut self,
        from: KeeperId,
        term: u64,
        pre_vote: bool,
        last_position: Position,
        effects: &mut Effects,
    ) {
        // A replica in contact with its leader rejects pre-votes, so that it doesn't
        // help to depose a working leader. An election that the leader itself asked
        // for, to transfer its leadership, skips the pre-vote.
        let is_leader = self.role == Role::Leader;
        let has_leader =
            is_leader || (self.leader.is_some() && self.elapsed_ticks < MIN_ELECTION_TICKS);
        let up_to_date = last_position >= self.log.last_position();
        if pre_vote {
            let granted = term > self.hard_state.term && up_to_date && !has_leader;
            self.send_with_term(
                term,
                from,
                Message::VoteResponse { pre_vote, granted },
                effects,
            );
            return;
        }
        if term > self.hard_state.term {
            self.step_down(term, None, effects);
        }
        let can_vote = self.hard_state.vote.is_none() || self.hard_state.vote == Some(from);
        // A learner may have become a voter by an entry that it hasn't received. Only candidates
        // that list it as a voter count its vote.
        let granted =
            term == self.hard_state.term && up_to_date && can_vote && self.role == Role::Follower;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            effects.writes.push(LogWrite::Save(self.hard_state));
            self.elapsed_ticks = 0;
        }
        self.send(from, Message::VoteResponse { pre_vote, granted }, effects);
    }

    fn on_vote_response(
        &mut self,
        from: KeeperId,
        disk: u64,
        term: u64,
        pre_vote: bool,
        granted: bool,
        effects: &mut Effects,
    ) {
        let expected = if pre_vote {
            self.role == Role::PreCandidate && term == self.hard_state.term + 1
        } else {
            self.role == Role::Candidate && term == self.hard_state.term
        };
        if !pre_vote && term > self.hard_state.term {
            self.step_down(term, None, effects);
            return;
        }
        if !expected || !granted {
            return;
        }
        self.votes.insert(from, disk);
        if self.has_won() {
            if pre_vote {
                self.start_election(effects);
            } else {
                self.become_leader(effects);
            }
        }
    }

    /// Returns whether the votes received suffice.
    ///
    /// The first leader of a group needs the votes of all voters: a member that later
    /// loses its disk can then never help to form the group a second time.
    fn has_won(&self) -> bool {
        let members = self.members();
        let granted = self
            .votes
            .keys()
            .filter(|id| members.is_voter(**id))
            .count();
        if self.is_uninitialized() {
            granted == members.voters.len()
        } else {
            granted >= members.quorum()
        }
    }

    fn start_pre_vote(&mut self, effects: &mut Effects) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.reset_votes();
        if self.has_won() {
            self.start_election(effects);
            return;
        }
        self.request_votes(true, effects);
    }

    fn start_election(&mut self, effects: &mut Effects) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        effects.writes.push(LogWrite::Save(self.hard_state));
        self.reset_votes();
        if self.has_won() {
            self.become_leader(effects);
            return;
        }
        self.request_votes(false, effects);
    }

    fn reset_votes(&mut self) {
        self.votes = BTreeMap::from([(self.id, self.disk)]);
        self.reset_timeout();
    }

    fn request_votes(&mut self, pre_vote: bool, effects: &mut Effects) {
        let term = self.hard_state.term + u64::from(pre_vote);
        let last_position = self.log.last_position();
        let voters: Vec<KeeperId> = self.members().voters.keys().copied().collect();
        for to in voters {
            if to != self.id {
                let message = Message::RequestVote {
                    pre_vote,
                    last_position,
                };
                self.send_with_term(term, to, message, effects);
            }
        }
    }

    fn become_leader(&mut self, effects: &mut Effects) {
        let forms_group = self.is_uninitialized();
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elapsed_ticks = 0;
        self.stalled_ticks = 0;
        self.pending_reads.clear();
        self.followers.clear();
        self.update_followers();
        for progress in self.followers.values_mut() {
            progress.recently_active = true;
        }
        // The time without a leader is part of the time after which that leader is absent.
        let previous = self.last_leader.take();
        let previous = previous.filter(|id| !self.votes.contains_key(id));
        if let Some(progress) = previous.and_then(|id| self.followers.get_mut(&id)) {
            progress.silent_ticks = self.leader_ticks.min(MAX_ELECTION_TICKS);
        }
        let payload = if forms_group {
            // From this entry on, each member is bound to the disk that it voted from.
            let members = Members {
                voters: self.votes.clone(),
                learners: BTreeMap::new(),
            };
            Payload::Members(members)
        } else {
            Payload::Noop
        };
        self.append(payload, effects);
        self.advance_commit(effects);
        self.round += 1;
        self.replicate(true, effects);
    }

    pub(crate) fn step_down(&mut self, term: u64, leader: Option<KeeperId>, effects: &mut Effects) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            effects.writes.push(LogWrite::Save(self.hard_state));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.followers.clear();
        effects
            .failed_reads
            .extend(self.pending_reads.drain(..).map(|read| read.read_id));
        self.reset_timeout();
    }

    fn reset_timeout(&mut self) {
        self.elapsed_ticks = 0;
        self.timeout_ticks = self.rng.u32(MIN_ELECTION_TICKS..MAX_ELECTION_TICKS);
    }

    /// Updates `followers` to one entry for each other member.
    pub(crate) fn update_followers(&mut self) {
        let last_index = self.log.last_position().index;
        let others: BTreeSet<KeeperId> = self.log.members().others(self.id).collect();
        self.followers.retain(|id, _| others.contains(id));
        for id in others {
            self.followers
                .entry(id)
                .or_insert_with(|| Progress::new(last_index));
        }
    }

    /// Returns whether an entry of the current term is committed. Until then a leader may not
    /// know all committed entries. A change of members before it could leave two leaders with
    /// quorums that share no replica: one in the members before a change that an earlier
    /// leader left uncommitted, one in those after it.
    fn has_committed(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    fn change_pending(&self) -> bool {
        let uncommitted = self.log.entries_from(self.commit_index + 1);
        uncommitted
            .iter()
            .any(|entry| matches!(entry.payload, Payload::Members(_)))
    }

    /// Starts the next change that replaces an absent or leaving voter or promotes a learner.
    fn replace_member(&mut self, effects: &mut Effects) {
        let Some(change) = self.replacement_change() else {
            return;
        };
        if change == MembershipChange::Demote(self.id) {
            effects.merge(self.transfer_leadership());
            return;
        }
        // A change that isn't possible yet is tried again.
        if let Ok((_, more)) = self.change_members(change) {
            effects.merge(more);
        }
    }

    fn replacement_change(&self) -> Option<MembershipChange> {
        let followers = |is_found: &dyn Fn(&Progress) -> bool| -> Vec<KeeperId> {
            let found = self.followers.iter().filter(|(_, p)| is_found(p));
            found.map(|(&id, _)| id).collect()
        };
        let is_silent = |progress: &Progress| progress.silent_ticks > MIN_ELECTION_TICKS;
        let ready = followers(&|p| !is_silent(p) && p.match_index >= self.commit_index);
        let Some(policy) = self.policy else {
            let mut learners = self.members().learners.keys();
            let found = learners.find(|id| ready.contains(id));
            return found.map(|&id| MembershipChange::Promote(id));
        };
        let leaving: Vec<KeeperId> = self.leaving.iter().copied().collect();
        let health = MemberHealth {
            silent: &followers(&is_silent),
            absent: &followers(&|p| p.silent_ticks > policy.absence_ticks),
            leaving: &leaving,
            ready: &ready,
        };
        self.members().replacement_change(policy, &health)
    }

    pub(crate) fn append(&mut self, payload: Payload, effects: &mut Effects) -> Position {
        let position = Position {
            term: self.hard_state.term,
            index: self.log.last_position().index + 1,
        };
        let entry = Entry {
            position,
            time_ms: self.clock_ms.max(self.log.last_time_ms()),
            payload,
        };
        self.log.push(entry.clone());
        effects.writes.push(LogWrite::Append(entry));
        position
    }

    pub(crate) fn complete_reads(&mut self, effects: &mut Effects) {
        let members = self.log.members();
        let own_vote = usize::from(members.is_voter(self.id));
        let followers = &self.followers;
        let is_confirmed = |round: u64| {
            let acked = followers
                .iter()
                .filter(|(id, p)| members.is_voter(**id) && p.acked_round >= round)
                .count();
            acked + own_vote >= members.quorum()
        };
        self.pending_reads.retain(|read| {
            let confirmed = is_confirmed(read.round);
            if confirmed {
                effects.ready_reads.push((read.read_id, read.index));
            }
            !confirmed
        });
    }

    pub(crate) fn send(&self, to: KeeperId, message: Message, effects: &mut Effects) {
        self.send_with_term(self.hard_state.term, to, message, effects);
    }

    fn send_with_term(&self, term: u64, to: KeeperId, message: Message, effects: &mut Effects) {
        effects.messages.push(Envelope {
            from: self.id,
            disk: self.disk,
            to,
            term,
            message,
        });
    }
}
