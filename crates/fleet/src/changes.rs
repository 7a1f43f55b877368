//! What a process knows, numbered in the order in which it learned it.
//!
//! Load pattern: many processes that change little. Each link confirms a number, and an
//! update contains only what has changed after it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::Map;
use base::Span;
use base::Time;

/// Time after which a process that doesn't relay passes on what others have told it, if the
/// link hasn't told the same.
pub const BRIDGE_DELAY: Span = Span::millis(600);

/// What a change is about. The address is that of the process that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The head of an update.
    Head,
    /// The profile of a process.
    Profile(SocketAddr),
    /// A run of a process has ended.
    Ended(u64),
    /// The load that a process puts on an engine.
    Load(SocketAddr, u64),
    /// A numbered prompt that a process has sent.
    Prompt(SocketAddr, u64),
    /// The run, phase or address of an engine.
    Engine(String),
    /// A repeated announcement of an engine.
    Heartbeat(String),
}

/// How soon a change is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// With the next update, whenever that is sent.
    Lazy,
    /// At the pace of the link.
    Paced,
    /// At once.
    Now,
}

/// A change.
#[derive(Clone, Debug)]
pub struct Change {
    /// What it is about.
    pub topic: Topic,
    /// How soon it is told.
    pub urgency: Urgency,
    /// When it was learned.
    pub learned: Time,
    /// When the process may pass it on.
    pub due: Time,
    /// The runs of processes that have told the same. A process that restarts at the address
    /// of one of them knows nothing of it.
    pub known_by: Vec<u64>,
}

impl Change {
    /// Returns whether the process of `run` should be told.
    #[must_use]
    pub fn concerns(&self, run: u64) -> bool {
        !self.known_by.contains(&run)
    }
}

/// The latest change of each topic, in the order in which they may be passed on.
///
/// A change that isn't due yet has no number: it would hold back what links confirm.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    position: u64,
    positions: Map<Topic, u64>,
    changes: BTreeMap<u64, Change>,
    deferred: Map<Topic, Change>,
}

impl ChangeLog {
    /// Returns the number of the latest change.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Records a change, which replaces earlier ones of its topic. One that isn't due at `now` is
    /// numbered by [`Self::release`].
    pub fn record(&mut self, change: Change, now: Time) {
        if change.due > now {
            if let Some(old) = self.positions.remove(&change.topic) {
                self.changes.remove(&old);
            }
            self.deferred.insert(change.topic.clone(), change);
            return;
        }
        self.deferred.remove(&change.topic);
        self.position += 1;
        if let Some(old) = self.positions.insert(change.topic.clone(), self.position) {
            self.changes.remove(&old);
        }
        self.changes.insert(self.position, change);
    }

    /// Numbers the changes that have become due, in the order in which they were learned.
    pub fn release(&mut self, now: Time) {
        let due = self.deferred.extract_if(|_, change| change.due <= now);
        let mut due: Vec<Change> = due.map(|(_, change)| change).collect();
        due.sort_by_key(|change| change.due);
        for change in due {
            self.record(change, now);
        }
    }

    /// Numbers the change of `topic` if it isn't due yet.
    pub fn release_topic(&mut self, topic: &Topic, now: Time) {
        if let Some(change) = self.deferred.remove(topic) {
            self.record(Change { due: now, ..change }, now);
        }
    }

    /// Records that the process of `run` has told the present value of `topic`.
    pub fn record_known(&mut self, topic: &Topic, run: u64) {
        let position = self.positions.get(topic);
        let change = position.and_then(|position| self.changes.get_mut(position));
        if let Some(change) = change.or(self.deferred.get_mut(topic))
            && !change.known_by.contains(&run)
        {
            change.known_by.push(run);
        }
    }

    /// Returns the latest change of `topic` with its number, if it has one.
    #[must_use]
    pub fn get(&self, topic: &Topic) -> Option<(u64, &Change)> {
        let position = *self.positions.get(topic)?;
        self.changes.get(&position).map(|change| (position, change))
    }

    /// Removes the changes for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Change) -> bool) {
        self.deferred.retain(|_, change| keep(change));
        let positions = &mut self.positions;
        self.changes.retain(|_, change| {
            let kept = keep(change);
            if !kept {
                positions.remove(&change.topic);
            }
            kept
        });
    }

    /// Returns the changes after a number, with their numbers.
    pub fn after(&self, position: u64) -> impl Iterator<Item = (u64, &Change)> {
        let changes = self.changes.range(position.saturating_add(1)..);
        changes.map(|(&position, change)| (position, change))
    }
}
