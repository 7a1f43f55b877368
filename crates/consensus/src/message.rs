//! The messages between replicas, with sender, receiver and term.

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
    /// The identity of the sender's disk.
    pub disk: u64,
    /// The receiver.
    pub to: KeeperId,
    /// The sender's term; for a pre-vote request, the term that the sender would
    /// campaign in.
    pub term: u64,
    /// The message.
    pub message: Message,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// Whether this is a pre-vote, which binds neither side.
        pre_vote: bool,
        /// The position of the candidate's last entry.
        last_position: Position,
    },
    /// Answers a vote or pre-vote request.
    VoteResponse {
        /// Whether the request was a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries; without entries, a heartbeat.
    AppendEntries {
        /// The position of the entry before the first one sent.
        prev_position: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit_index: u64,
        /// The heartbeat round, for linearizable reads and the quorum check.
        round: u64,
    },
    /// Answers [`Message::AppendEntries`] or [`Message::InstallSnapshot`].
    AppendResponse {
        /// The index up to which the logs match; `None` if the entries were rejected.
        match_index: Option<u64>,
        /// After a rejection, the index to send next.
        next_hint: u64,
        /// The heartbeat round that this answers.
        round: u64,
    },
    /// Sends the leader's snapshot.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The heartbeat round.
        round: u64,
    },
    /// Asks the receiver to start an election at once; sent by a leader that
    /// transfers its leadership before it stops.
    TimeoutNow,
    /// Says that the leader is alive. Unlike [`Message::AppendEntries`] it refers to no
    /// entries, so it may overtake those in flight.
    Heartbeat {
        /// An index up to which the receiver's log is known to match and is committed.
        commit_index: u64,
        /// The heartbeat round.
        round: u64,
    },
    /// Answers [`Message::Heartbeat`].
    HeartbeatResponse {
        /// The heartbeat round that this answers.
        round: u64,
    },
}

/// Size in bytes of a message without entries.
const MESSAGE_OVERHEAD_BYTES: u64 = 128;

impl Message {
    /// Returns the approximate size of the message, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let content = match self {
            Self::AppendEntries { entries, .. } => entries.iter().map(Entry::size_bytes).sum(),
            Self::InstallSnapshot { snapshot, .. } => snapshot.data.len() as u64,
            Self::RequestVote { .. }
            | Self::VoteResponse { .. }
            | Self::AppendResponse { .. }
            | Self::TimeoutNow
            | Self::Heartbeat { .. }
            | Self::HeartbeatResponse { .. } => 0,
        };
        MESSAGE_OVERHEAD_BYTES + content
    }

    /// Returns whether the message belongs to the sequence of entries and snapshots, in which
    /// a message that overtakes another one is rejected.
    #[must_use]
    pub fn is_ordered(&self) -> bool {
        matches!(
            self,
            Self::AppendEntries { .. } | Self::InstallSnapshot { .. } | Self::TimeoutNow
        )
    }

    /// Returns whether the message is an append without entries, which only finds out whether
    /// those before it have arrived.
    #[must_use]
    pub fn is_probe(&self) -> bool {
        matches!(self, Self::AppendEntries { entries, .. } if entries.is_empty())
    }
}
