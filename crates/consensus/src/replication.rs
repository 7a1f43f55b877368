//! The leader's and the follower's side of appending.

use base::KeeperId;

use crate::log::Entry;
use crate::log::Payload;
use crate::log::Position;
use crate::log::Snapshot;
use crate::message::Message;
use crate::replica::Effects;
use crate::replica::Replica;
use crate::replica::Role;
use crate::replica::Write;

/// Most entries in one message.
const MAX_ENTRIES: usize = 512;

/// Most bytes of commands in one message, beyond the first entry.
const MAX_BYTES: usize = 1 << 20;

/// Ticks between two sends of a snapshot to the same follower.
const INSTALL_TICKS: u32 = 25;

impl Replica {
    /// Sends each follower what it lacks; with `beat` also where it lacks nothing.
    pub(crate) fn replicate(&mut self, beat: bool, effects: &mut Effects) {
        let ids: Vec<KeeperId> = self.followers.keys().copied().collect();
        for id in ids {
            self.feed(id, beat, effects);
        }
    }

    fn feed(&mut self, to: KeeperId, beat: bool, effects: &mut Effects) {
        let last = self.log.last().index;
        let Some(progress) = self.followers.get_mut(&to) else {
            return;
        };
        let lacks = progress.next <= last && progress.open();
        if !lacks && !beat {
            return;
        }
        if progress.next <= self.log.snapshot().position.index {
            if progress.pause == 0 {
                progress.pause = INSTALL_TICKS;
                let message = Message::Install {
                    snapshot: self.log.snapshot().clone(),
                    round: self.round,
                };
                self.send(to, message, effects);
            }
            return;
        }
        let prev = progress.next - 1;
        let entries = if lacks {
            portion(self.log.from(progress.next))
        } else {
            Vec::new()
        };
        progress.next += entries.len() as u64;
        let message = Message::Append {
            prev: Position {
                term: self.log.term_at(prev).unwrap_or(0),
                index: prev,
            },
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send(to, message, effects);
    }

    pub(crate) fn on_append(
        &mut self,
        from: KeeperId,
        prev: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let floor = self.log.snapshot().position.index;
        if prev.index >= floor && self.log.term_at(prev.index) != Some(prev.term) {
            let last = self.log.last().index;
            let reply = Message::Appended {
                matched: None,
                hint: prev.index.min(last + 1).max(self.commit + 1),
                round,
            };
            self.send(from, reply, effects);
            return;
        }
        let matched = prev.index + entries.len() as u64;
        for entry in entries {
            self.accept(entry, effects);
        }
        let commit = commit.min(matched).max(self.commit);
        self.commit_to(commit, effects);
        let reply = Message::Appended {
            matched: Some(matched),
            hint: 0,
            round,
        };
        self.send(from, reply, effects);
    }

    /// Takes one entry of the leader, in place of one of an earlier term.
    fn accept(&mut self, entry: Entry, effects: &mut Effects) {
        let index = entry.position.index;
        match self.log.term_at(index) {
            Some(term) if term == entry.position.term => return,
            Some(_) => {
                debug_assert!(index > self.commit, "committed entries never change");
                self.log.truncate(index);
                effects.writes.push(Write::Truncate(index));
            }
            None if index <= self.log.snapshot().position.index => return,
            None => {}
        }
        self.log.push(entry.clone());
        effects.writes.push(Write::Append(entry));
    }

    pub(crate) fn on_install(
        &mut self,
        from: KeeperId,
        snapshot: Snapshot,
        round: u64,
        effects: &mut Effects,
    ) {
        let index = snapshot.position.index;
        if index > self.commit {
            self.log.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            effects.writes.push(Write::Install(snapshot.clone()));
            effects.install = Some(snapshot);
        }
        let reply = Message::Appended {
            matched: Some(index),
            hint: 0,
            round,
        };
        self.send(from, reply, effects);
    }

    pub(crate) fn on_appended(
        &mut self,
        from: KeeperId,
        matched: Option<u64>,
        hint: u64,
        round: u64,
        effects: &mut Effects,
    ) {
        let Some(progress) = self.followers.get_mut(&from) else {
            return;
        };
        progress.recent = true;
        progress.round = progress.round.max(round);
        if let Some(index) = matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
        } else {
            progress.next = hint.max(progress.matched + 1);
        }
        let before = self.commit;
        self.advance(effects);
        self.answer_reads(effects);
        if self.commit > before && self.role == Role::Leader {
            // Followers apply what is committed without waiting for a heartbeat.
            self.replicate(true, effects);
        } else {
            self.feed(from, false, effects);
        }
    }

    /// Commits what a quorum holds, if it is of the present term.
    pub(crate) fn advance(&mut self, effects: &mut Effects) {
        let members = self.log.members();
        let mut held: Vec<u64> = members
            .voters
            .keys()
            .map(|id| {
                if *id == self.id {
                    self.log.last().index
                } else {
                    self.followers.get(id).map_or(0, |p| p.matched)
                }
            })
            .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = held.get(members.quorum() - 1) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.saved.term) {
            self.commit_to(index, effects);
        }
    }

    fn commit_to(&mut self, index: u64, effects: &mut Effects) {
        self.commit = index;
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.applied += 1;
            effects.applied.push(entry.clone());
        }
        // A leader that is no member any more has done its part.
        let removed = !self.members().votes(self.id);
        if self.role == Role::Leader && removed && self.log.last().index == self.commit {
            self.step_down(self.saved.term, None, effects);
        }
    }
}

/// Returns a first part of `entries` that fits one message.
fn portion(entries: &[Entry]) -> Vec<Entry> {
    let mut bytes = 0;
    let mut out = Vec::new();
    for entry in entries.iter().take(MAX_ENTRIES) {
        let size = match &entry.payload {
            Payload::Data(data) => data.len(),
            Payload::Noop | Payload::Members(_) => 64,
        };
        if !out.is_empty() && bytes + size > MAX_BYTES {
            break;
        }
        bytes += size;
        out.push(entry.clone());
    }
    out
}
