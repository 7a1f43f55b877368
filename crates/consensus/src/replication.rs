//! Log replication: the leader sends entries and snapshots, followers store them,
//! and acknowledgements advance the commit index.

use base::KeeperId;

use crate::log::Entry;
use crate::log::Payload;
use crate::log::Position;
use crate::log::Snapshot;
use crate::message::Message;
use crate::replica::Effects;
use crate::replica::LogWrite;
use crate::replica::Replica;
use crate::replica::Role;

/// Most entries in one append message.
const MAX_APPEND_ENTRIES: usize = 512;

/// Most bytes of commands in one append message; the first entry is always sent.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// Ticks between two sends of a snapshot to the same follower.
const SNAPSHOT_INTERVAL_TICKS: u32 = 25;

impl Replica {
    /// Sends each follower its missing entries; with `heartbeat` also a message without
    /// entries to followers that miss none.
    pub(crate) fn replicate(&mut self, heartbeat: bool, effects: &mut Effects) {
        let ids: Vec<KeeperId> = self.followers.keys().copied().collect();
        for id in ids {
            self.send_append(id, heartbeat, effects);
        }
    }

    fn send_append(&mut self, to: KeeperId, heartbeat: bool, effects: &mut Effects) {
        let last_index = self.log.last_position().index;
        let Some(progress) = self.followers.get_mut(&to) else {
            return;
        };
        let has_missing = progress.next_index <= last_index && progress.can_send();
        if !has_missing && !heartbeat {
            return;
        }
        let needs_snapshot = progress.next_index <= self.log.snapshot().position.index;
        let is_behind = progress.is_behind() || needs_snapshot;
        let match_index = progress.match_index;
        if heartbeat && is_behind {
            // Entries and snapshots can take longer than an election timeout.
            let message = Message::Heartbeat {
                commit_index: self.commit_index.min(match_index),
                round: self.round,
            };
            self.send(to, message, effects);
        }
        let Some(progress) = self.followers.get_mut(&to) else {
            return;
        };
        if progress.next_index <= self.log.snapshot().position.index {
            if progress.snapshot_pause == 0 {
                progress.snapshot_pause = SNAPSHOT_INTERVAL_TICKS;
                let message = Message::InstallSnapshot {
                    snapshot: self.log.snapshot().clone(),
                    round: self.round,
                };
                self.send(to, message, effects);
            }
            return;
        }
        let prev_index = progress.next_index - 1;
        let entries = if has_missing {
            append_batch(self.log.entries_from(progress.next_index))
        } else {
            Vec::new()
        };
        if let Some(last) = entries.last() {
            let bytes = entries.iter().map(Entry::size_bytes).sum();
            progress.record_sent(last.position.index, bytes);
        }
        let message = Message::AppendEntries {
            prev_position: Position {
                term: self.log.term_at(prev_index).unwrap_or(0),
                index: prev_index,
            },
            entries,
            commit_index: self.commit_index,
            round: self.round,
        };
        self.send(to, message, effects);
    }

    pub(crate) fn on_append_entries(
        &mut self,
        from: KeeperId,
        prev_position: Position,
        entries: Vec<Entry>,
        leader_commit: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let snapshot_index = self.log.snapshot().position.index;
        if prev_position.index >= snapshot_index
            && self.log.term_at(prev_position.index) != Some(prev_position.term)
        {
            let last_index = self.log.last_position().index;
            let reply = Message::AppendResponse {
                match_index: None,
                next_hint: prev_position
                    .index
                    .min(last_index + 1)
                    .max(self.commit_index + 1),
                round,
            };
            self.send(from, reply, effects);
            return;
        }
        let match_index = prev_position.index + entries.len() as u64;
        for entry in entries {
            self.append_received(entry, effects);
        }
        let commit_index = leader_commit.min(match_index).max(self.commit_index);
        self.commit_to(commit_index, effects);
        let reply = Message::AppendResponse {
            match_index: Some(match_index),
            next_hint: 0,
            round,
        };
        self.send(from, reply, effects);
    }

    /// Appends one entry of the leader; a conflicting entry of another term and all
    /// after it are removed first.
    fn append_received(&mut self, entry: Entry, effects: &mut Effects) {
        let index = entry.position.index;
        match self.log.term_at(index) {
            Some(term) if term == entry.position.term => return,
            Some(_) => {
                debug_assert!(index > self.commit_index, "committed entries never change");
                self.log.truncate(index);
                effects.writes.push(LogWrite::Truncate(index));
            }
            None if index <= self.log.snapshot().position.index => return,
            None => {}
        }
        self.log.push(entry.clone());
        effects.writes.push(LogWrite::Append(entry));
    }

    pub(crate) fn on_heartbeat(
        &mut self,
        from: KeeperId,
        commit_index: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let commit_index = commit_index.min(self.log.last_position().index);
        self.commit_to(commit_index.max(self.commit_index), effects);
        self.send(from, Message::HeartbeatResponse { round }, effects);
    }

    pub(crate) fn on_heartbeat_response(
        &mut self,
        from: KeeperId,
        round: u64,
        effects: &mut Effects,
    ) {
        let Some(progress) = self.followers.get_mut(&from) else {
            return;
        };
        progress.record_answer();
        progress.acked_round = progress.acked_round.max(round);
        self.complete_reads(effects);
    }

    pub(crate) fn on_install_snapshot(
        &mut self,
        from: KeeperId,
        snapshot: Snapshot,
        round: u64,
        effects: &mut Effects,
    ) {
        let index = snapshot.position.index;
        if index > self.commit_index {
            self.log.compact(snapshot.clone());
            self.commit_index = index;
            self.applied_index = index;
            effects.writes.push(LogWrite::Install(snapshot.clone()));
            effects.snapshot = Some(snapshot);
        }
        let reply = Message::AppendResponse {
            match_index: Some(index),
            next_hint: 0,
            round,
        };
        self.send(from, reply, effects);
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: KeeperId,
        match_index: Option<u64>,
        next_hint: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let Some(progress) = self.followers.get_mut(&from) else {
            return;
        };
        progress.record_answer();
        progress.acked_round = progress.acked_round.max(round);
        if let Some(index) = match_index {
            if index > progress.match_index {
                self.stalled_ticks = 0;
            }
            progress.record_match(index);
        } else {
            progress.record_rejection(next_hint);
        }
        let old_commit = self.commit_index;
        self.advance_commit(effects);
        self.complete_reads(effects);
        if self.commit_index > old_commit && self.role == Role::Leader {
            // Lets followers apply the newly committed entries without waiting for
            // the next heartbeat.
            self.replicate(true, effects);
        } else {
            self.send_append(from, false, effects);
        }
    }

    /// Commits up to the highest index that a quorum stores, if that entry is of the
    /// current term.
    pub(crate) fn advance_commit(&mut self, effects: &mut Effects) {
        let members = self.log.members();
        let mut match_indexes: Vec<u64> = members
            .voters
            .keys()
            .map(|id| {
                if *id == self.id {
                    self.log.last_position().index
                } else {
                    self.followers.get(id).map_or(0, |p| p.match_index)
                }
            })
            .collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = match_indexes.get(members.quorum() - 1) else {
            return;
        };
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_to(index, effects);
        }
    }

    fn commit_to(&mut self, index: u64, effects: &mut Effects) {
        self.commit_index = index;
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else {
                break;
            };
            self.applied_index += 1;
            effects.committed.push(entry.clone());
        }
        // A removed leader steps down once all its entries, and so its own removal,
        // are committed.
        let removed = !self.members().is_voter(self.id);
        if self.role == Role::Leader
            && removed
            && self.log.last_position().index == self.commit_index
        {
            self.step_down(self.hard_state.term, None, effects);
        }
    }
}

/// Returns the longest prefix of `entries` that fits one append message.
fn append_batch(entries: &[Entry]) -> Vec<Entry> {
    let mut bytes = 0;
    let mut batch = Vec::new();
    for entry in entries.iter().take(MAX_APPEND_ENTRIES) {
        let size = match &entry.payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Members(_) => 64,
        };
        if !batch.is_empty() && bytes + size > MAX_APPEND_BYTES {
            break;
        }
        bytes += size;
        batch.push(entry.clone());
    }
    batch
}
