//! What replicas say to each other.

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;

use crate::log::Entry;
use crate::log::Position;
use crate::log::Snapshot;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: KeeperId,
    /// The sender's disk.
    pub disk: u64,
    /// The receiver.
    pub to: KeeperId,
    /// The sender's term; for a request of votes in advance, the term it would
    /// take.
    pub term: u64,
    /// The message.
    pub message: Message,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or in advance whether a vote would be given.
    Campaign {
        /// Whether only asked in advance.
        pre: bool,
        /// The candidate's last entry.
        last: Position,
    },
    /// Answers a campaign.
    Ballot {
        /// Whether the campaign was asked in advance.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Sends entries, or none as a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// The round of heartbeats, for reads and the quorum check.
        round: u64,
    },
    /// Answers an append or a snapshot.
    Appended {
        /// The index up to which the logs are known to match, where accepted.
        matched: Option<u64>,
        /// Where refused, the index from which to try.
        hint: u64,
        /// The round answered.
        round: u64,
    },
    /// Sends the leader's snapshot.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The round of heartbeats.
        round: u64,
    },
    /// Asks the receiver to start an election at once; sent by a leader that
    /// stops.
    HandOver,
}
