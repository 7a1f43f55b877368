//! The messages between gateway processes, which forward requests unchanged.

use std::net::SocketAddr;

use base::KeeperId;
use config::transfer::ConfigPart;
use consensus::Envelope;
use ledger::allowance::Demand;
use ledger::allowance::GrantReply;
use ledger::allowance::HighWaterMark;
use ledger::allowance::Lease;
use routing::crash_suspects::CrashNews;
use routing::directory::EngineAnnouncement;
use routing::evacuation::EvacuationSet;
use routing::metadata::PromptSegment;
use routing::placement::EngineLoad;
use serde::Deserialize;
use serde::Serialize;

/// A gateway process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// A random identifier of this run of the process.
    pub run_id: u64,
    /// The address for messages of peers.
    pub address: SocketAddr,
    /// Its identifier in the replicated log, if it has a disk.
    pub keeper: Option<KeeperId>,
    /// The identifier of its disk, if it has one.
    pub disk: u64,
    /// Its failure domain.
    pub domain: String,
    /// Whether it is still forming the group because the whole system starts for the
    /// first time.
    pub bootstrapping: bool,
    /// Its share of a processor, in thousandths.
    pub processor: u32,
}

/// An engine's announcement and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedAnnouncement {
    /// The announcement.
    pub announcement: EngineAnnouncement,
    /// Time since it was received, in milliseconds.
    pub age_ms: u64,
}

/// A prompt that was sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentPrompt {
    /// The engine.
    pub engine: u64,
    /// The prompt's shared prefix parts.
    pub parts: Vec<PromptSegment>,
}

/// What a process tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The process.
    pub member: Member,
    /// Increases with each change.
    pub version: u64,
    /// The version of the configuration that is in force there.
    pub config_version: u64,
    /// Its lease on tokens of teams.
    pub lease: u64,
    /// Whether it accepts callers.
    pub serving: bool,
    /// Whether it is stopping and leaves the mesh.
    pub leaving: bool,
    /// The leader of the group, as far as its replica knows.
    pub leader: Option<SocketAddr>,
    /// The load of its processor.
    pub pressure: Pressure,
}

/// The load of a process's processor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// How late its timers run, in milliseconds, as a power of two; zero below eight.
    pub delay_ms: u16,
    /// Whether it passes callers on to its neighbours.
    pub shedding: bool,
}

/// Loads that the process of a run puts on engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The run.
    pub run_id: u64,
    /// The engines, with the load and the number of its change.
    pub loads: Vec<(u64, EngineLoad, u64)>,
}

/// A prompt that the process of a run has sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptNews {
    /// The run.
    pub run_id: u64,
    /// The number of the prompt.
    pub number: u64,
    /// The prompt.
    pub prompt: SentPrompt,
}

/// What has changed since the receiver confirmed a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The sender.
    pub sender: Member,
    /// The position of the sender after which changes are contained.
    pub since: u64,
    /// The position of the sender up to which changes are contained.
    pub position: u64,
    /// The run of the receiver that the sender knows, and the position that it has of it.
    pub received: (u64, u64),
    /// The newest version of the configuration that the sender has heard of.
    pub newest_version: u64,
    /// The replica that forms the group, if the sender knows it.
    pub founder: Option<KeeperId>,
    /// Runs of processes that have ended.
    pub ended: Vec<u64>,
    /// Processes, the sender among them.
    pub profiles: Vec<Profile>,
    /// Runs that the sender has evidence of, with its age in milliseconds.
    pub heard: Vec<(u64, u64)>,
    /// Announcements that the receiver may not have.
    pub announcements: Vec<ReceivedAnnouncement>,
    /// The loads of processes.
    pub loads: Vec<LoadNews>,
    /// Prompts that were sent.
    pub prompts: Vec<PromptNews>,
    /// The evacuated failure domains, as far as the sender knows.
    pub evacuations: EvacuationSet,
}

/// A request to another gateway process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MeshRequest {
    /// The sender's update; the response contains the receiver's.
    Update(Box<Update>),
    /// Messages of the replicated log.
    Replica(Vec<Envelope>),
    /// Asks to become a learner of the replicated log (identifier, disk, address).
    Join(KeeperId, u64, SocketAddr),
    /// Submits a configuration with its version, in compressed form.
    Submit(u64, Vec<u8>),
    /// Asks for the version of the latest accepted configuration (a linearizable read).
    LatestVersion,
    /// Asks for the outcome of a configuration that may have been submitted already.
    AwaitConfig(u64),
    /// Asks for the part of a version of the configuration that begins at an offset.
    ConfigPart(u64, u64),
    /// Asks for tokens under the sender's lease.
    Draw(Lease, Vec<Demand>),
    /// Asks a peer to lend tokens of these teams.
    Lend(Vec<(String, u64)>),
    /// Asks this replica, and no other disk at its address, to store how much of its grants
    /// the sender has opened.
    Mark(KeeperId, HighWaterMark),
    /// Asks the receiver to pass a mark to any of these replicas that it can reach.
    MarkVia(Vec<KeeperId>, HighWaterMark),
    /// Asks this replica, and no other disk at its address, to reject further marks of a
    /// lease.
    Fence(KeeperId, u64),
    /// A request to the leader, for the receiver to pass on.
    Forward(Box<MeshRequest>),
    /// Tells a peer of engines that crashed and of prompt segments that are blocked.
    CrashNews(Box<CrashNews>),
    /// Orders to evacuate a failure domain (true), or withdraws the order.
    Evacuate(String, bool),
    /// Asks for the evacuated failure domains (a linearizable read).
    LatestEvacuations,
    /// Asks for the number of the entry at an address.
    NumberEntry(SocketAddr),
    /// Asks to commit that an engine leaves.
    Depart(EngineAnnouncement),
    /// Asks for the committed departures (a linearizable read).
    LatestDepartures,
}

impl MeshRequest {
    /// Returns whether the request carries a configuration.
    #[must_use]
    pub fn is_bulk(&self) -> bool {
        match self {
            Self::Submit(..) => true,
            Self::Forward(request) => request.is_bulk(),
            _ => false,
        }
    }
}

/// The response to a [`MeshRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MeshResponse {
    /// The request was processed.
    Done,
    /// The version of the receiver's configuration.
    Version(u64),
    /// A part of a configuration.
    ConfigPart(ConfigPart),
    /// The tokens granted; `None` if the lease was closed.
    Granted(Option<Vec<GrantReply>>),
    /// The tokens lent, by team.
    Lent(Vec<(String, u64)>),
    /// The replica that stored the mark.
    Marked(KeeperId),
    /// Further marks of the lease are rejected.
    Fenced,
    /// The tokens opened under a lease, by team, as recorded on the receiver's disk.
    Opened(Vec<(String, u64)>),
    /// The receiver is not the leader; contains the leader that it knows.
    NotLeader(Option<SocketAddr>),
    /// The version has neither been accepted nor proposed.
    UnknownVersion,
    /// The receiver can't answer at present.
    Unavailable,
    /// The receiver's update.
    Update(Box<Update>),
    /// The evacuated failure domains.
    Evacuations(EvacuationSet),
    /// The number of an entry.
    EntryNumber(u32),
    /// The committed departures.
    Departures(Vec<EngineAnnouncement>),
}
