//! Terms, elections, commitment, reads and member changes.

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
use crate::members::Change;
use crate::members::ChangeError;
use crate::members::Members;
use crate::members::UNKNOWN_DISK;
use crate::message::Envelope;
use crate::message::Message;
use crate::progress::Progress;

/// Least number of ticks without a leader before a replica campaigns.
pub const ELECTION_TICKS: u32 = 10;

/// Ticks between two heartbeats of a leader.
pub const HEARTBEAT_TICKS: u32 = 2;

/// How far a learner may lag behind when it becomes a voter, in entries.
const PROMOTE_LAG: u64 = 0;

/// What a replica is at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks in advance whether it would be elected.
    Canvasser,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// What must survive a restart besides the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The latest term seen.
    pub term: u64,
    /// The candidate voted for in that term.
    pub vote: Option<KeeperId>,
}

/// A change of what is on the disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Replaces term and vote.
    Save(Saved),
    /// Drops the entries from this index on.
    Truncate(u64),
    /// Appends an entry.
    Append(Entry),
    /// Replaces the log up to the snapshot's position.
    Install(Snapshot),
}

/// What the caller carries out: writes and a sync first, then all else.
#[derive(Clone, Debug, Default)]
pub struct Effects {
    /// What is written, in order.
    pub writes: Vec<Write>,
    /// What is sent after the sync.
    pub sends: Vec<Envelope>,
    /// A snapshot that replaces the replicated state, before `applied`.
    pub install: Option<Snapshot>,
    /// Committed entries, in order.
    pub applied: Vec<Entry>,
    /// Reads that may be answered once the index is applied.
    pub reads: Vec<(u64, u64)>,
    /// Reads that can't be answered here.
    pub failed: Vec<u64>,
}

impl Effects {
    /// Returns whether there is nothing to carry out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.sends.is_empty()
            && self.install.is_none()
            && self.applied.is_empty()
            && self.reads.is_empty()
            && self.failed.is_empty()
    }
}

/// Why a proposal isn't taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// This replica doesn't lead.
    #[error("this keeper does not lead")]
    NotLeader(Option<KeeperId>),
    /// A change of members is under way.
    #[error("another change of members is under way")]
    ChangePending,
    /// The change doesn't fit the members.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The learner's log is behind.
    #[error("{0} has not caught up")]
    Behind(KeeperId),
}

/// A read that waits for its round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    ticket: u64,
    round: u64,
    index: u64,
}

/// One member of the group.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) id: KeeperId,
    pub(crate) disk: u64,
    pub(crate) saved: Saved,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<KeeperId>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) round: u64,
    pub(crate) followers: BTreeMap<KeeperId, Progress>,
    pub(crate) elapsed: u32,
    ballots: BTreeMap<KeeperId, u64>,
    timeout: u32,
    reads: Vec<PendingRead>,
    clock: u64,
    rng: fastrand::Rng,
    strangers: u64,
}

impl Replica {
    /// Returns the replica with what its disk holds.
    ///
    /// `disk` identifies the data folder and is drawn when the folder is made.
    /// Where nothing is saved, `log` is empty after a snapshot at index zero that
    /// names the members of the group to form.
    #[must_use]
    pub fn new(id: KeeperId, disk: u64, saved: Saved, log: Log, seed: u64) -> Self {
        let start = log.snapshot().position.index;
        let mut replica = Self {
            id,
            disk,
            saved,
            role: Role::Follower,
            leader: None,
            commit: start,
            applied: start,
            round: 0,
            followers: BTreeMap::new(),
            elapsed: 0,
            ballots: BTreeMap::new(),
            timeout: 0,
            reads: Vec::new(),
            clock: log.last_at(),
            rng: fastrand::Rng::with_seed(seed),
            strangers: 0,
            log,
        };
        replica.reset_timeout();
        replica
    }

    /// Returns the replica's number.
    #[must_use]
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// Returns the replica's role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns what must survive a restart besides the entries.
    #[must_use]
    pub fn saved(&self) -> Saved {
        self.saved
    }

    /// Returns the latest term seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.saved.term
    }

    /// Returns the leader, where one is known.
    #[must_use]
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// Returns the commit index.
    #[must_use]
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the members as of the last entry.
    #[must_use]
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns how many messages came from unknown members or disks.
    #[must_use]
    pub fn strangers(&self) -> u64 {
        self.strangers
    }

    /// Returns whether the group has not formed as far as this replica knows.
    #[must_use]
    pub fn fresh(&self) -> bool {
        self.log.last().index == 0
    }

    /// Moves the replica's time on by one tick, at `at` milliseconds.
    pub fn tick(&mut self, at: u64) -> Effects {
        let mut effects = Effects::default();
        self.clock = self.clock.max(at);
        self.elapsed += 1;
        if self.role == Role::Leader {
            self.lead_tick(&mut effects);
        } else if self.elapsed >= self.timeout && self.members().votes(self.id) {
            self.canvass(&mut effects);
        }
        effects
    }

    fn lead_tick(&mut self, effects: &mut Effects) {
        if self.elapsed.is_multiple_of(ELECTION_TICKS) && !self.hears_quorum() {
            self.step_down(self.saved.term, None, effects);
            return;
        }
        for progress in self.followers.values_mut() {
            progress.pause = progress.pause.saturating_sub(1);
        }
        if self.elapsed.is_multiple_of(HEARTBEAT_TICKS) {
            self.round += 1;
            self.replicate(true, effects);
            self.promote(effects);
        }
    }

    /// Returns whether a quorum has answered since the last check.
    fn hears_quorum(&mut self) -> bool {
        let members = self.log.members().clone();
        let mut heard = usize::from(members.votes(self.id));
        for (id, progress) in &mut self.followers {
            heard += usize::from(progress.recent && members.votes(*id));
            progress.recent = false;
        }
        heard >= members.quorum()
    }

    /// Proposes a command; returns the position that it takes if it commits.
    ///
    /// # Errors
    ///
    /// Fails where this replica doesn't lead.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(Position, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        let mut effects = Effects::default();
        let position = self.append(Payload::Data(data), &mut effects);
        self.advance(&mut effects);
        self.replicate(false, &mut effects);
        Ok((position, effects))
    }

    /// Proposes a change of one member.
    ///
    /// # Errors
    ///
    /// Fails where this replica doesn't lead, another change is under way, or the
    /// change doesn't fit.
    pub fn change(&mut self, change: Change) -> Result<(Position, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        if self.change_pending() {
            return Err(ProposeError::ChangePending);
        }
        if let Change::Promote(id) = change {
            let progress = self.followers.get(&id);
            let matched = progress.map_or(0, |progress| progress.matched);
            if matched + PROMOTE_LAG < self.commit {
                return Err(ProposeError::Behind(id));
            }
        }
        let members = self.members().with(change)?;
        let mut effects = Effects::default();
        let position = self.append(Payload::Members(members), &mut effects);
        self.sync_followers();
        self.advance(&mut effects);
        self.replicate(false, &mut effects);
        Ok((position, effects))
    }

    /// Starts a read; its `ticket` comes back in the effects.
    pub fn read(&mut self, ticket: u64) -> Effects {
        let mut effects = Effects::default();
        let current = self.log.term_at(self.commit) == Some(self.saved.term);
        if self.role != Role::Leader || !current {
            effects.failed.push(ticket);
            return effects;
        }
        self.round += 1;
        self.reads.push(PendingRead {
            ticket,
            round: self.round,
            index: self.commit,
        });
        self.replicate(true, &mut effects);
        self.answer_reads(&mut effects);
        effects
    }

    /// Hands leadership to the follower that is furthest, before a planned stop.
    pub fn hand_over(&mut self) -> Effects {
        let mut effects = Effects::default();
        if self.role != Role::Leader {
            return effects;
        }
        let members = self.members();
        let best = self
            .followers
            .iter()
            .filter(|(id, progress)| members.votes(**id) && progress.recent)
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(&id, _)| id);
        if let Some(to) = best {
            self.send(to, Message::HandOver, &mut effects);
        }
        effects
    }

    /// Replaces the log up to `index` by the encoded state at that index.
    ///
    /// # Panics
    ///
    /// Panics where `index` isn't applied, which the caller must ensure.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Effects {
        assert!(index <= self.applied, "only applied entries are compacted");
        let mut effects = Effects::default();
        let Some(term) = self.log.term_at(index) else {
            return effects;
        };
        let at = self.log.get(index).map_or(self.log.snapshot().at, |e| e.at);
        let snapshot = Snapshot {
            position: Position { term, index },
            at,
            members: self.log.members_at(index).clone(),
            data: data.into(),
        };
        self.log.compact(snapshot.clone());
        effects.writes.push(Write::Install(snapshot));
        effects
    }

    /// Takes in a message.
    pub fn receive(&mut self, envelope: Envelope) -> Effects {
        let mut effects = Effects::default();
        if envelope.to != self.id || !self.knows(&envelope) {
            self.strangers += 1;
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
            Message::Campaign { pre, last } => {
                self.on_campaign(from, term, pre, last, &mut effects);
            }
            Message::Ballot { pre, granted } => {
                self.on_ballot(from, disk, term, pre, granted, &mut effects);
            }
            Message::Append {
                prev,
                entries,
                commit,
                round,
            } => {
                if self.follows(from, term, &mut effects) {
                    self.on_append(from, prev, entries, commit, round, &mut effects);
                }
            }
            Message::Install { snapshot, round } => {
                if self.follows(from, term, &mut effects) {
                    self.on_install(from, snapshot, round, &mut effects);
                }
            }
            Message::Appended {
                matched,
                hint,
                round,
            } => {
                if term > self.saved.term {
                    self.step_down(term, None, &mut effects);
                } else if term == self.saved.term && self.role == Role::Leader {
                    self.on_appended(from, matched, hint, round, &mut effects);
                }
            }
            Message::HandOver => {
                if term == self.saved.term && self.members().votes(self.id) && !self.fresh() {
                    self.campaign(&mut effects);
                }
            }
        }
        effects
    }

    /// Returns whether the sender is a member on the disk that it joined with.
    ///
    /// A replica that isn't a member yet takes what a leader sends it.
    fn knows(&self, envelope: &Envelope) -> bool {
        match self.members().disk(envelope.from) {
            Some(disk) => disk == envelope.disk || disk == UNKNOWN_DISK,
            None => !self.members().votes(self.id),
        }
    }

    /// Takes the sender for the leader of `term`, unless the term is past.
    fn follows(&mut self, from: KeeperId, term: u64, effects: &mut Effects) -> bool {
        if term < self.saved.term {
            let hint = self.log.last().index + 1;
            let reply = Message::Appended {
                matched: None,
                hint,
                round: 0,
            };
            self.send(from, reply, effects);
            return false;
        }
        if term > self.saved.term || self.role != Role::Follower {
            self.step_down(term, Some(from), effects);
        }
        self.leader = Some(from);
        self.elapsed = 0;
        true
    }

    fn on_campaign(
        &mut self,
        from: KeeperId,
        term: u64,
        pre: bool,
        last: Position,
        effects: &mut Effects,
    ) {
        // A replica that hears its leader doesn't help to unseat it, unless the
        // leader itself asked for the campaign, which skips the advance round.
        let leads = self.role == Role::Leader;
        let served = leads || (self.leader.is_some() && self.elapsed < ELECTION_TICKS);
        let ahead = last >= self.log.last();
        if pre {
            let granted = term > self.saved.term && ahead && !served;
            self.send_in(term, from, Message::Ballot { pre, granted }, effects);
            return;
        }
        if term > self.saved.term {
            self.step_down(term, None, effects);
        }
        let unbound = self.saved.vote.is_none() || self.saved.vote == Some(from);
        let granted = term == self.saved.term
            && ahead
            && unbound
            && self.role == Role::Follower
            && self.members().votes(self.id);
        if granted && self.saved.vote.is_none() {
            self.saved.vote = Some(from);
            effects.writes.push(Write::Save(self.saved));
            self.elapsed = 0;
        }
        self.send(from, Message::Ballot { pre, granted }, effects);
    }

    fn on_ballot(
        &mut self,
        from: KeeperId,
        disk: u64,
        term: u64,
        pre: bool,
        granted: bool,
        effects: &mut Effects,
    ) {
        let asked = if pre {
            self.role == Role::Canvasser && term == self.saved.term + 1
        } else {
            self.role == Role::Candidate && term == self.saved.term
        };
        if !pre && term > self.saved.term {
            self.step_down(term, None, effects);
            return;
        }
        if !asked || !granted {
            return;
        }
        self.ballots.insert(from, disk);
        if self.elected() {
            if pre {
                self.campaign(effects);
            } else {
                self.lead(effects);
            }
        }
    }

    /// Returns whether the ballots suffice.
    ///
    /// The first leader of a group needs all of it: a member that lost its disk
    /// can then never help to form the group a second time.
    fn elected(&self) -> bool {
        let members = self.members();
        let given = self.ballots.keys().filter(|id| members.votes(**id)).count();
        if self.fresh() {
            given == members.voters.len()
        } else {
            given >= members.quorum()
        }
    }

    fn canvass(&mut self, effects: &mut Effects) {
        self.role = Role::Canvasser;
        self.leader = None;
        self.open_ballots();
        if self.elected() {
            self.campaign(effects);
            return;
        }
        self.ask_votes(true, effects);
    }

    fn campaign(&mut self, effects: &mut Effects) {
        self.role = Role::Candidate;
        self.leader = None;
        self.saved = Saved {
            term: self.saved.term + 1,
            vote: Some(self.id),
        };
        effects.writes.push(Write::Save(self.saved));
        self.open_ballots();
        if self.elected() {
            self.lead(effects);
            return;
        }
        self.ask_votes(false, effects);
    }

    fn open_ballots(&mut self) {
        self.ballots = BTreeMap::from([(self.id, self.disk)]);
        self.reset_timeout();
    }

    fn ask_votes(&mut self, pre: bool, effects: &mut Effects) {
        let term = self.saved.term + u64::from(pre);
        let last = self.log.last();
        let voters: Vec<KeeperId> = self.members().voters.keys().copied().collect();
        for to in voters {
            if to != self.id {
                let message = Message::Campaign { pre, last };
                self.send_in(term, to, message, effects);
            }
        }
    }

    fn lead(&mut self, effects: &mut Effects) {
        let first = self.fresh();
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elapsed = 0;
        self.reads.clear();
        self.followers.clear();
        self.sync_followers();
        for progress in self.followers.values_mut() {
            progress.recent = true;
        }
        let payload = if first {
            // From now on each number is bound to the disk that voted.
            let members = Members {
                voters: self.ballots.clone(),
                learners: BTreeMap::new(),
            };
            Payload::Members(members)
        } else {
            Payload::Noop
        };
        self.append(payload, effects);
        self.advance(effects);
        self.round += 1;
        self.replicate(true, effects);
    }

    pub(crate) fn step_down(&mut self, term: u64, leader: Option<KeeperId>, effects: &mut Effects) {
        if term > self.saved.term {
            self.saved = Saved { term, vote: None };
            effects.writes.push(Write::Save(self.saved));
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.followers.clear();
        effects
            .failed
            .extend(self.reads.drain(..).map(|read| read.ticket));
        self.reset_timeout();
    }

    fn reset_timeout(&mut self) {
        self.elapsed = 0;
        self.timeout = ELECTION_TICKS + self.rng.u32(0..ELECTION_TICKS);
    }

    /// Keeps one progress for each other member.
    pub(crate) fn sync_followers(&mut self) {
        let last = self.log.last().index;
        let others: BTreeSet<KeeperId> = self.log.members().others(self.id).collect();
        self.followers.retain(|id, _| others.contains(id));
        for id in others {
            self.followers
                .entry(id)
                .or_insert_with(|| Progress::new(last));
        }
    }

    fn change_pending(&self) -> bool {
        let open = self.log.from(self.commit + 1);
        open.iter()
            .any(|entry| matches!(entry.payload, Payload::Members(_)))
    }

    /// Makes the first learner that holds the whole log a voter.
    fn promote(&mut self, effects: &mut Effects) {
        let last = self.log.last().index;
        let ready = self.members().learners.keys().copied().find(|id| {
            let progress = self.followers.get(id);
            progress.is_some_and(|p| p.recent && p.matched + PROMOTE_LAG >= last)
        });
        if let Some(id) = ready
            && let Ok((_, more)) = self.change(Change::Promote(id))
        {
            effects.writes.extend(more.writes);
            effects.sends.extend(more.sends);
            effects.applied.extend(more.applied);
        }
    }

    pub(crate) fn append(&mut self, payload: Payload, effects: &mut Effects) -> Position {
        let position = Position {
            term: self.saved.term,
            index: self.log.last().index + 1,
        };
        let entry = Entry {
            position,
            at: self.clock.max(self.log.last_at()),
            payload,
        };
        self.log.push(entry.clone());
        effects.writes.push(Write::Append(entry));
        position
    }

    pub(crate) fn answer_reads(&mut self, effects: &mut Effects) {
        let members = self.log.members();
        let own = usize::from(members.votes(self.id));
        let followers = &self.followers;
        let confirmed = |round: u64| {
            let heard = followers
                .iter()
                .filter(|(id, p)| members.votes(**id) && p.round >= round)
                .count();
            heard + own >= members.quorum()
        };
        self.reads.retain(|read| {
            let done = confirmed(read.round);
            if done {
                effects.reads.push((read.ticket, read.index));
            }
            !done
        });
    }

    pub(crate) fn send(&self, to: KeeperId, message: Message, effects: &mut Effects) {
        self.send_in(self.saved.term, to, message, effects);
    }

    fn send_in(&self, term: u64, to: KeeperId, message: Message, effects: &mut Effects) {
        effects.sends.push(Envelope {
            from: self.id,
            disk: self.disk,
            to,
            term,
            message,
        });
    }
}
