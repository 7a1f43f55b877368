//! The messages between processes that forward requests as they are.

use std::net::SocketAddr;

use base::KeeperId;
use consensus::Envelope;
use ledger::allowance::Demand;
use ledger::allowance::GrantReply;
use ledger::allowance::HighWaterMark;
use ledger::allowance::Lease;
use routing::directory::EngineAnnouncement;
use routing::metadata::PromptSegment;
use routing::placement::EngineLoad;
use serde::Deserialize;
use serde::Serialize;

/// A process of the mesh.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Drawn at each start.
    pub run: u64,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its number in the replicated log, where it has a disk.
    pub keeper: Option<KeeperId>,
    /// Its disk, where it has one.
    pub disk: u64,
    /// Its failure domain.
    pub domain: String,
    /// Whether it still forms the group: the whole system starts for the first time.
    pub founding: bool,
}

/// What an engine said and how long ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// What it said.
    pub said: EngineAnnouncement,
    /// Age, in milliseconds.
    pub age_ms: u64,
}

/// A prompt that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The engine.
    pub engine: u64,
    /// The prompt's shared parts.
    pub parts: Vec<PromptSegment>,
}

/// What a process tells its peers regularly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The sender.
    pub from: Member,
    /// Others that the sender has heard from lately.
    pub members: Vec<Member>,
    /// Announcements that the receiver may not have.
    pub heard: Vec<Heard>,
    /// The sender's load on engines.
    pub loads: Vec<(u64, EngineLoad)>,
    /// Prompts sent since the last update.
    pub sent: Vec<Sent>,
    /// The number of the configuration that the sender has in force.
    pub version: u64,
    /// Who leads the group, as far as the sender knows.
    pub leader: Option<SocketAddr>,
    /// The replica that forms the group, where the sender names it.
    pub founder: Option<KeeperId>,
    /// The sender's lease on teams' tokens.
    pub lease: u64,
    /// Whether the sender takes callers.
    pub serving: bool,
    /// Whether the sender stops and takes part no longer.
    pub leaving: bool,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Regular news.
    Update(Box<Update>),
    /// Messages of the replicated log.
    Replica(Vec<Envelope>),
    /// Asks to become a learner of the replicated log.
    Join(KeeperId, u64, SocketAddr),
    /// A configuration to accept.
    Submit(u64, Vec<u8>),
    /// Asks for the newest accepted configuration, for certain.
    Read,
    /// Asks for the configuration that the receiver has in force.
    Known,
    /// Demands of an entry under its lease.
    Draw(Lease, Vec<Demand>),
    /// Asks an entry to lend tokens of these teams.
    Lend(Vec<(String, u64)>),
    /// Asks a replica to keep what an entry opens of its grants.
    Mark(HighWaterMark),
    /// Asks any replica of these that the receiver reaches to do so.
    MarkAt(Vec<KeeperId>, HighWaterMark),
    /// Asks a replica to take no further mark of a lease.
    Fence(u64),
    /// A question to the leader, passed on by a process that may reach it.
    Forward(Box<Ask>),
}

/// The answer to a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Taken in.
    Done,
    /// The receiver's configuration number.
    Version(u64),
    /// A configuration with its number; empty where none was accepted yet.
    Config(u64, Vec<u8>),
    /// What was granted; `None` where the lease was closed.
    Granted(Option<Vec<GrantReply>>),
    /// What is lent of each team's tokens.
    Lent(Vec<(String, u64)>),
    /// Which replica keeps the mark.
    Marked(KeeperId),
    /// The lease takes no further mark.
    Fenced,
    /// What was opened under a lease, as far as the receiver's disk says.
    Opened(Vec<(String, u64)>),
    /// The receiver doesn't lead; it knows this leader.
    Elsewhere(Option<SocketAddr>),
    /// The receiver can't answer now.
    Unsure,
}
