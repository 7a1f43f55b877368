//! The consensus driver: a thread that owns a replica of the log and its disk. It takes
//! [`Input`]s from a queue and calls [`OutputFn`].
//!
//! The thread handles all queued inputs as one batch and makes them durable with one
//! sync. Responses and messages are sent only after that. If the disk fails, a leader
//! transfers its leadership, and the replica takes no part in the group until the folder
//! can be opened and written again; the process continues to forward requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::TryRecvError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use base::KeeperId;
use base::Span;
use consensus::Effects;
use consensus::Entry;
use consensus::Envelope;
use consensus::Members;
use consensus::MembershipChange;
use consensus::Payload;
use consensus::ReplacementPolicy;
use consensus::Replica;
use consensus::Role;
use consensus::Snapshot;
use durable::DiskError;
use durable::LogStore;
use fleet::mesh::MeshResponse;
use ledger::allowance::Demand;
use ledger::allowance::EndedLease;
use ledger::allowance::HighWaterMark;
use ledger::allowance::Lease;
use ledger::quorum;
use ledger::quorum::Settlement;
use routing::directory::EngineAnnouncement;
use routing::evacuation::EvacuationSet;
use store::DataFolder;
use store::JournalOptions;
use thiserror::Error;

use crate::compaction::LogBound;
use crate::compaction::LogUsage;
use crate::holder::holder_id;
use crate::input_queue;
use crate::input_queue::InputReceiver;
use crate::input_queue::InputSender;
use crate::log_clock::LogClock;
use crate::replicated_state::Command;
use crate::replicated_state::Outcome;
use crate::replicated_state::ReplicatedState;
use crate::ticker::Ticker;
use crate::witness_log::WitnessLog;

/// Time between two ticks. An election then takes half a second to a second, which an
/// instance that is slowed down several times can still meet.
pub const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum number of inputs handled with one sync.
const MAX_BATCH_INPUTS: usize = 256;

/// Size of a journal segment, in bytes: small disks hold a few of them.
const SEGMENT_BYTES: u64 = 2 << 20;

/// Divisor of the log's quota that yields the quota of the witness's journal.
const WITNESS_QUOTA_DIVISOR: u64 = 4;

/// Time between two attempts to open the folder after its disk failed.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Maximum bytes of the inputs that wait for the thread.
const MAX_QUEUED_BYTES: u64 = 8 << 20;

/// Size in bytes of an input besides its configuration or entries.
const INPUT_OVERHEAD_BYTES: u64 = 512;

/// Time without a draw after which the lease of an entry is closed that no process has heard
/// for as long. Partitions of single instances are shorter.
pub const HOLDER_TIMEOUT: Span = Span::secs(10);

/// Time between two logs of the teams' balances.
const SUMS_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The channel for the response to an input.
pub type Reply = Sender<MeshResponse>;

/// An input of the thread.
pub enum Input {
    /// Forms the group with this replica as the only voter.
    FormGroup,
    /// Consensus messages of other replicas.
    Messages(Vec<Envelope>),
    /// Proposes a configuration: its version, its compressed form and the budgets of its
    /// teams.
    SubmitConfig(u64, Vec<u8>, Vec<(String, u64)>, Reply),
    /// Waits for the outcome of a configuration that may have been proposed already.
    AwaitConfig(u64, Reply),
    /// Reads the version of the latest accepted configuration (a linearizable read).
    ReadVersion(Reply),
    /// Proposes an order of an operator or an entry that may be repeated.
    ProposeOrder(Command, Reply),
    /// Reads the evacuated failure domains (a linearizable read).
    ReadEvacuations(Reply),
    /// Proposes to record that an engine leaves, unless that is committed already.
    RecordDeparture(EngineAnnouncement, Reply),
    /// Reads the committed departures of engines (a linearizable read).
    ReadDepartures(Reply),
    /// Proposes the demands of an entry under its lease.
    DrawGrants(Lease, Vec<Demand>, Reply),
    /// Records how much of its grants an entry has opened.
    RecordMark(HighWaterMark, Reply),
    /// Rejects further marks of a lease and returns the tokens opened under it.
    FenceLease(u64, Reply),
    /// Closes an ended lease with the tokens opened under it, if known.
    CloseLease(u64, Option<Vec<(String, u64)>>, Reply),
    /// Asks the leader for the leases to close. If the leases of all entries that are
    /// heard are given, the result also includes silent leases that aren't among them.
    ListEndedLeases(Option<Vec<u64>>, Sender<Vec<SettlingLease>>),
    /// Names the replicas heard recently, of which the leader may remove another one, and those
    /// whose processes are about to stop.
    ReportReplicas(ReplicaReport),
    /// Adds a learner, which takes the place of an absent voter once it has caught up.
    JoinGroup(JoinRequest, Reply),
    /// Transfers leadership and stops the thread.
    Stop(Sender<()>),
}

impl Input {
    /// Returns the approximate size of the input in the queue; zero for those that aren't
    /// repeated and must not be lost.
    fn size_bytes(&self) -> u64 {
        match self {
            Self::Messages(envelopes) => {
                let sizes = envelopes
                    .iter()
                    .map(|envelope| envelope.message.size_bytes());
                INPUT_OVERHEAD_BYTES + sizes.sum::<u64>()
            }
            Self::SubmitConfig(_, body, ..) => INPUT_OVERHEAD_BYTES + body.len() as u64,
            Self::FormGroup | Self::Stop(_) => 0,
            Self::ReadVersion(_)
            | Self::AwaitConfig(..)
            | Self::ProposeOrder(..)
            | Self::ReadEvacuations(_)
            | Self::RecordDeparture(..)
            | Self::ReadDepartures(_)
            | Self::DrawGrants(..)
            | Self::RecordMark(..)
            | Self::FenceLease(..)
            | Self::CloseLease(..)
            | Self::ListEndedLeases(..)
            | Self::ReportReplicas(_)
            | Self::JoinGroup(..) => INPUT_OVERHEAD_BYTES,
        }
    }
}

/// An ended lease and the witnesses that settle it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlingLease {
    /// The lease.
    pub lease: u64,
    /// The witnesses.
    pub settlement: Settlement,
}

/// What the leader's process knows of the other processes with a replica.
pub struct ReplicaReport {
    /// Replicas heard recently; `None` while the process may not have heard from all.
    pub present: Option<Vec<KeeperId>>,
    /// Replicas whose processes are about to stop, this one's included.
    pub leaving: Vec<KeeperId>,
}

/// The request of a replica to become a learner.
pub struct JoinRequest {
    /// The replica's identifier.
    pub id: KeeperId,
    /// The identifier of its disk.
    pub disk: u64,
    /// The address for messages of peers to its process.
    pub address: SocketAddr,
    /// Replicas whose disk is known to be lost.
    pub lost_replicas: Vec<KeeperId>,
}

/// An output of the thread.
pub enum Output {
    /// A consensus message for another replica.
    Send(Envelope),
    /// A configuration was accepted (version, compressed form).
    ConfigAccepted(u64, Vec<u8>),
    /// The evacuated failure domains have changed.
    EvacuationsChanged(EvacuationSet),
    /// These engines leave, as the log has committed.
    Departed(Vec<EngineAnnouncement>),
    /// The leader that this replica knows has changed.
    LeaderChanged(Option<KeeperId>),
    /// Whether this replica is a member of the group has changed.
    MembershipChanged(bool),
}

/// Receives the thread's outputs.
pub type OutputFn = Arc<dyn Fn(Output) + Send + Sync>;

/// An error that stops the replica.
#[derive(Debug, Error)]
pub enum GroupError {
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The data folder can't be used.
    #[error(transparent)]
    Store(#[from] store::StoreError),
    /// A log entry or a snapshot can't be decoded.
    #[error("the replicated state can't be read: {0}")]
    State(#[from] postcard::Error),
}

impl GroupError {
    /// Returns whether the folder may become usable again without a change of its content.
    fn is_transient(&self) -> bool {
        match self {
            Self::Disk(error) => error.is_transient(),
            Self::Store(error) => error.is_transient(),
            Self::State(_) => false,
        }
    }
}

/// The options of a replica.
#[derive(Clone)]
pub struct GroupOptions {
    /// The data folder.
    pub folder: PathBuf,
    /// The process's address for messages of peers.
    pub address: SocketAddr,
    /// Maximum size of the journal, in bytes.
    pub quota_bytes: u64,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: u64,
    /// The number of voters, and when an absent one is replaced. The first configuration is
    /// accepted once there are enough.
    pub policy: ReplacementPolicy,
    /// Receives the thread's outputs.
    pub output: OutputFn,
}

/// A handle to the thread of the local replica.
#[derive(Clone)]
pub struct Group {
    inputs: InputSender<Input>,
    id: KeeperId,
    disk: u64,
}

/// Returns the replica identifier that belongs to a disk.
fn keeper_id(disk: u64) -> KeeperId {
    KeeperId(u32::try_from(disk & u64::from(u32::MAX)).unwrap_or(0))
}

impl Group {
    /// Opens the data folder and starts the thread. If the disk is full or fails, the
    /// replica takes part in the group once the folder can be written.
    ///
    /// # Errors
    ///
    /// Fails if the folder has no identity or is damaged.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't start a thread.
    pub fn open(options: GroupOptions) -> Result<Self, GroupError> {
        let disk = DataFolder::open(&options.folder, fastrand::u64(1..))?.identity();
        let local = match LocalReplica::open(&options) {
            Ok(local) => Some(local),
            Err(error) if error.is_transient() => {
                log::error!("group: event=open outcome=failed reason=\"{error}\"");
                None
            }
            Err(error) => return Err(error),
        };
        let (inputs, queue) = input_queue::channel(MAX_QUEUED_BYTES);
        let group = Self {
            inputs,
            id: keeper_id(disk),
            disk,
        };
        thread::Builder::new()
            .name("group".to_owned())
            .spawn(move || run_replica(&options, local, &queue))
            .expect("the operating system starts a thread");
        Ok(group)
    }

    /// Returns the replica's identifier.
    #[must_use]
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// Returns the identifier of the disk.
    #[must_use]
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Sends an input to the thread. If its queue is full, the input is dropped, which
    /// closes its reply channel.
    pub fn send(&self, input: Input) {
        let size_bytes = input.size_bytes();
        if let Err(error) = self.inputs.send(input, size_bytes) {
            // Other replicas may send messages until they learn that this one has stopped.
            log::debug!("group: event=input_lost reason=\"{error}\"");
        }
    }
}

/// The replica and its storage.
struct LocalReplica {
    replica: Replica,
    state: ReplicatedState,
    log_store: LogStore,
    witness_log: WitnessLog,
    disk_id: u64,
    _folder: DataFolder,
}

impl LocalReplica {
    /// Opens the folder after its disk failed, and writes to it: a replica whose disk
    /// refuses writes must not take part in elections.
    fn reopen(options: &GroupOptions) -> Result<Self, GroupError> {
        let mut local = Self::open(options)?;
        local.log_store.rewrite(&local.replica)?;
        local.witness_log.checkpoint()?;
        Ok(local)
    }

    fn open(options: &GroupOptions) -> Result<Self, GroupError> {
        let folder = DataFolder::open(&options.folder, fastrand::u64(1..))?;
        let disk_id = folder.identity();
        let journal_options = JournalOptions {
            segment_bytes: SEGMENT_BYTES,
            quota_bytes: options.quota_bytes,
            ..JournalOptions::default()
        };
        let path: &Path = &options.folder.join("log");
        let (log_store, recovered) = LogStore::open(path, Members::default(), journal_options)?;
        let witness_options = JournalOptions {
            quota_bytes: options.quota_bytes / WITNESS_QUOTA_DIVISOR,
            ..journal_options
        };
        let witness_log = WitnessLog::open(&options.folder.join("seals"), witness_options)?;
        let data = &recovered.log.snapshot().data;
        let state = if data.is_empty() {
            ReplicatedState::default()
        } else {
            ReplicatedState::decode(data)?
        };
        let seed = fastrand::u64(..);
        let replica = Replica::new(
            keeper_id(disk_id),
            disk_id,
            recovered.hard_state,
            recovered.log,
            seed,
        )
        .with_policy(options.policy);
        log::info!(
            "group: event=open replica={} records={} last={}",
            replica.id(),
            recovered.replayed_records,
            replica.log().last_position().index
        );
        Ok(Self {
            replica,
            state,
            log_store,
            witness_log,
            disk_id,
            _folder: folder,
        })
    }
}

/// A proposal that hasn't been applied yet.
struct PendingProposal {
    term: u64,
    /// The version, if it proposes a configuration.
    config_version: Option<u64>,
    /// The announcement, if it proposes to record a departure.
    departure: Option<EngineAnnouncement>,
    replies: Vec<Reply>,
}

impl PendingProposal {
    fn new(term: u64, command: &Command, reply: Reply) -> Self {
        let config_version = match command {
            Command::AcceptConfig { version, .. } => Some(*version),
            _ => None,
        };
        let departure = match command {
            Command::RecordDeparture(announcement) => Some(announcement.clone()),
            _ => None,
        };
        Self {
            term,
            config_version,
            departure,
            replies: vec![reply],
        }
    }
}

/// What a read of the replicated state asks for.
enum ReadTarget {
    ConfigVersion,
    Evacuations,
    Departures,
}

/// The state of the thread while the disk works.
struct Driver<'a> {
    options: &'a GroupOptions,
    local: LocalReplica,
    effects: Effects,
    proposals: BTreeMap<u64, PendingProposal>,
    reads: BTreeMap<u64, (ReadTarget, Reply)>,
    responses: Vec<(Reply, MeshResponse)>,
    marks: Vec<(HighWaterMark, Reply)>,
    fences: Vec<(u64, Reply)>,
    last_read: u64,
    leader: Option<KeeperId>,
    members: Members,
    is_member: bool,
    applied_index: u64,
    /// Size of the applied entries in the log, in bytes.
    applied_bytes: u64,
    bound: LogBound,
    /// Whether the local replica's address was proposed in this term.
    address_proposed: bool,
    stop_reply: Option<Sender<()>>,
    clock: LogClock,
    sums_logged: Instant,
}

/// Runs the thread until [`Input::Stop`].
fn run_replica(options: &GroupOptions, first: Option<LocalReplica>, queue: &InputReceiver<Input>) {
    let mut next = first;
    loop {
        let local = match next.take() {
            Some(local) => local,
            None => match wait_for_disk(options, queue) {
                Some(local) => local,
                None => return,
            },
        };
        let mut driver = Driver::new(options, local);
        match driver.serve(queue) {
            Ok(()) => return,
            Err(error) => {
                log::error!("group: event=disk_failed reason=\"{error}\"");
                driver.leave();
            }
        }
    }
}

/// Opens the folder once its disk can be written again; returns `None` if the process
/// ends before.
fn wait_for_disk(options: &GroupOptions, queue: &InputReceiver<Input>) -> Option<LocalReplica> {
    loop {
        thread::sleep(REOPEN_DELAY);
        // Dropping an input closes its reply channel, which tells the sender that this
        // replica can't answer.
        loop {
            match queue.try_recv() {
                Ok(Input::Stop(_)) | Err(TryRecvError::Disconnected) => return None,
                Ok(_) => {}
                Err(TryRecvError::Empty) => break,
            }
        }
        match LocalReplica::reopen(options) {
            Ok(local) => return Some(local),
            Err(error) => log::warn!("group: event=reopen outcome=failed reason=\"{error}\""),
        }
    }
}

impl<'a> Driver<'a> {
    fn new(options: &'a GroupOptions, local: LocalReplica) -> Self {
        let applied_index = local.replica.log().snapshot().position.index;
        Self {
            options,
            local,
            effects: Effects::default(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            responses: Vec::new(),
            marks: Vec::new(),
            fences: Vec::new(),
            last_read: 0,
            leader: None,
            members: Members::default(),
            is_member: false,
            applied_index,
            applied_bytes: 0,
            bound: LogBound::new(options.quota_bytes, options.memory_bytes),
            address_proposed: false,
            stop_reply: None,
            clock: LogClock::open(Instant::now()),
            sums_logged: Instant::now(),
        }
    }

    fn serve(&mut self, queue: &InputReceiver<Input>) -> Result<(), GroupError> {
        if self.local.state.config_version > 0 {
            self.publish_config();
        }
        self.publish_evacuations();
        self.publish_departures();
        let mut ticker = Ticker::new(TICK_INTERVAL, Instant::now());
        loop {
            let first = queue.recv_timeout(ticker.remaining(Instant::now()));
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return Ok(());
            }
            let mut input = first.ok();
            let mut count = 0;
            while let Some(received) = input {
                self.handle(received);
                count += 1;
                input = (count < MAX_BATCH_INPUTS)
                    .then(|| queue.try_recv().ok())
                    .flatten();
            }
            if ticker.take_due(Instant::now()) {
                let at = self.log_time_ms();
                let effects = self.local.replica.tick(at);
                self.effects.merge(effects);
                self.propose_own_address();
                self.log_sums();
            }
            self.flush()?;
            if let Some(done) = self.stop_reply.take() {
                // The receiver may have been dropped.
                let _ = done.try_send(());
                return Ok(());
            }
        }
    }

    /// Leaves the group after the disk failed: a leader hands over, and the process learns
    /// of the next leader from others.
    fn leave(&mut self) {
        // These messages depend on no write.
        for envelope in self.local.replica.transfer_leadership().messages {
            (self.options.output)(Output::Send(envelope));
        }
        (self.options.output)(Output::LeaderChanged(None));
        (self.options.output)(Output::MembershipChanged(false));
    }

    /// Proposes to record the address of a replica.
    fn propose_address(&mut self, replica: KeeperId, address: SocketAddr) {
        let (reply, _) = async_channel::bounded(1);
        self.propose(&Command::RecordAddress { replica, address }, reply);
    }

    /// Proposes the local replica's address if it leads and the address isn't recorded.
    fn propose_own_address(&mut self) {
        let (id, address) = (self.local.replica.id(), self.options.address);
        let known = self.local.state.replica_addresses.get(&address) == Some(&id);
        if self.local.replica.role() == Role::Leader && !known && !self.address_proposed {
            self.address_proposed = true;
            self.propose_address(id, address);
        }
    }

    /// Returns the time of the log, in milliseconds.
    fn log_time_ms(&mut self) -> u64 {
        let replica = &self.local.replica;
        let last_ms = (!replica.is_uninitialized()).then(|| replica.log().last_time_ms());
        self.clock.read(last_ms, Instant::now())
    }

    /// Logs the teams' balances and their sums if this replica leads.
    fn log_sums(&mut self) {
        if self.local.replica.role() != Role::Leader
            || self.sums_logged.elapsed() < SUMS_LOG_INTERVAL
        {
            return;
        }
        self.sums_logged = Instant::now();
        let (mut total, mut used, mut held) = (0, 0, 0);
        for (team, balance) in self.local.state.allowances.balances() {
            total += balance.total;
            used += balance.used;
            held += balance.held;
            log::info!(
                "budget: event=balance team={team} total={} used={} held={}",
                balance.total,
                balance.used,
                balance.held
            );
        }
        log::info!(
            "budget: event=sums total={total} used={used} held={held} applied={}",
            self.applied_index
        );
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::FormGroup => self.form_group(),
            Input::Messages(envelopes) => {
                for envelope in envelopes {
                    let effects = self.local.replica.receive(envelope);
                    self.effects.merge(effects);
                }
            }
            Input::SubmitConfig(version, body, budgets, reply) => {
                self.submit_config(version, body, budgets, reply);
            }
            Input::AwaitConfig(version, reply) => {
                if let Some(reply) = self.join_proposal(version, reply) {
                    self.responses.push((reply, MeshResponse::UnknownVersion));
                }
            }
            Input::DrawGrants(lease, demands, reply) => {
                self.propose(&Command::Draw { lease, demands }, reply);
            }
            Input::ProposeOrder(command, reply) => self.propose_order(&command, reply),
            Input::ReadVersion(reply) => self.read(ReadTarget::ConfigVersion, reply),
            Input::ReadEvacuations(reply) => self.read(ReadTarget::Evacuations, reply),
            Input::RecordDeparture(announcement, reply) => {
                self.record_departure(announcement, reply);
            }
            Input::ReadDepartures(reply) => self.read(ReadTarget::Departures, reply),
            Input::RecordMark(mark, reply) => self.marks.push((mark, reply)),
            Input::FenceLease(lease, reply) => self.fences.push((lease, reply)),
            Input::CloseLease(lease, opened, reply) => {
                self.propose(&Command::CloseLease { lease, opened }, reply);
            }
            Input::ReportReplicas(report) => {
                self.local.replica.set_leaving(&report.leaving);
                if let Some(present) = report.present {
                    self.remove_absent_member(present);
                }
            }
            Input::ListEndedLeases(live, reply) => self.list_ended_leases(live.as_deref(), &reply),
            Input::JoinGroup(request, reply) => self.handle_join(&request, reply),
            Input::Stop(done) => {
                let effects = self.local.replica.transfer_leadership();
                self.effects.merge(effects);
                self.stop_reply = Some(done);
            }
        }
    }

    /// Reads a part of the state once this replica is known to lead.
    fn read(&mut self, target: ReadTarget, reply: Reply) {
        self.last_read += 1;
        self.reads.insert(self.last_read, (target, reply));
        let effects = self.local.replica.read_index(self.last_read);
        self.effects.merge(effects);
    }

    /// Proposes an order, if the group has enough replicas to keep what it acknowledges.
    fn propose_order(&mut self, command: &Command, reply: Reply) {
        let voters = self.local.replica.members().voters.len();
        if self.local.state.config_version == 0 && voters < self.options.policy.min_voters {
            self.responses.push((reply, MeshResponse::Unavailable));
            return;
        }
        self.propose(command, reply);
    }

    /// Proposes to record a departure, unless it is committed or proposed already: engines and
    /// processes repeat it.
    fn record_departure(&mut self, announcement: EngineAnnouncement, reply: Reply) {
        if self.local.state.departures.covers(&announcement) {
            self.responses.push((reply, MeshResponse::Done));
            return;
        }
        let mut pending = self.proposals.values_mut();
        let is_same = |departure: &EngineAnnouncement| departure.covers(&announcement);
        if let Some(same) = pending.find(|p| p.departure.as_ref().is_some_and(is_same)) {
            same.replies.push(reply);
            return;
        }
        self.propose_order(&Command::RecordDeparture(announcement), reply);
    }

    /// Answers if a version has been accepted, or lets `reply` wait for its proposal; returns
    /// `reply` if there is none.
    fn join_proposal(&mut self, version: u64, reply: Reply) -> Option<Reply> {
        let accepted = self.local.state.config_version;
        if version <= accepted {
            self.responses
                .push((reply, MeshResponse::Version(accepted)));
            return None;
        }
        let mut pending = self.proposals.values_mut();
        let Some(same) = pending.find(|proposal| proposal.config_version == Some(version)) else {
            return Some(reply);
        };
        same.replies.push(reply);
        None
    }

    /// Proposes a configuration, unless its version has been accepted or proposed already: the
    /// operator sends a version again until it is acknowledged.
    fn submit_config(
        &mut self,
        version: u64,
        body: Vec<u8>,
        budgets: Vec<(String, u64)>,
        reply: Reply,
    ) {
        let Some(reply) = self.join_proposal(version, reply) else {
            return;
        };
        let accepted = self.local.state.config_version;
        let voters = self.local.replica.members().voters.len();
        if accepted == 0 && voters < self.options.policy.min_voters {
            self.responses.push((reply, MeshResponse::Unavailable));
            return;
        }
        let command = Command::AcceptConfig {
            version,
            body,
            budgets,
        };
        self.propose(&command, reply);
    }

    /// Removes a member that isn't present, if enough others are.
    fn remove_absent_member(&mut self, mut present: Vec<KeeperId>) {
        let replica = &self.local.replica;
        if replica.role() != Role::Leader {
            return;
        }
        present.push(replica.id());
        let quorum_size = self.options.policy.min_voters;
        let Some(gone) = replica.members().removable_member(&present, quorum_size) else {
            return;
        };
        let change = MembershipChange::Remove(gone);
        match self.local.replica.change_members(change) {
            Ok((position, effects)) => {
                let index = position.index;
                log::info!(
                    "group: event=members change={change:?} index={index} reason=\"no recent message from the member\""
                );
                self.effects.merge(effects);
            }
            Err(error) => log::debug!("group: event=members replica={gone} outcome={error}"),
        }
    }

    /// Sends the leases to settle. Leases with too many lost disks are closed immediately,
    /// and all that they hold counts as spent.
    fn list_ended_leases(&mut self, live: Option<&[u64]>, reply: &Sender<Vec<SettlingLease>>) {
        if self.local.replica.role() != Role::Leader {
            return;
        }
        let now = self.log_time_ms();
        let before = live.map_or(0, |_| now.saturating_sub(HOLDER_TIMEOUT.as_millis()));
        let allowances = &self.local.state.allowances;
        let ended = allowances.ended_leases(before, live.unwrap_or_default());
        let members = self.local.replica.members().clone();
        let is_lost = |id: KeeperId| members.disk(id).is_none();
        let mut settling = Vec::new();
        for ended in ended {
            let own = self.own_replica(ended.holder);
            match quorum::settlement(own, &ended.witnesses, is_lost) {
                Some(settlement) => settling.push(SettlingLease {
                    lease: ended.lease,
                    settlement,
                }),
                None => self.close_unproven(&ended),
            }
        }
        // The receiver may have been dropped.
        let _ = reply.try_send(settling);
    }

    /// Returns the replica on the disk of the process that `holder` identifies.
    fn own_replica(&self, holder: u64) -> Option<KeeperId> {
        let mut known = self.local.state.replica_addresses.iter();
        let found = known.find(|(address, _)| holder_id(**address) == holder);
        found.map(|(_, &replica)| replica)
    }

    fn close_unproven(&mut self, ended: &EndedLease) {
        let lease = ended.lease;
        log::warn!(
            "budget: event=lease_unsettled lease={lease:x} outcome=spent witnesses={:?} reason=\"too many of the witnesses' disks are lost\"",
            ended.witnesses
        );
        let (reply, _) = async_channel::bounded(1);
        let opened = None;
        self.propose(&Command::CloseLease { lease, opened }, reply);
    }

    fn form_group(&mut self) {
        let replica = &self.local.replica;
        if !replica.is_uninitialized() || !replica.members().voters.is_empty() {
            return;
        }
        let id = replica.id();
        let snapshot = Snapshot {
            members: Members::bootstrap(&[id]),
            ..Snapshot::default()
        };
        let log = consensus::log::Log::new(snapshot, Vec::new());
        let seed = fastrand::u64(..);
        let hard_state = replica.hard_state();
        self.local.replica = Replica::new(id, self.local.disk_id, hard_state, log, seed)
            .with_policy(self.options.policy);
        log::info!("group: event=form replica={id}");
    }

    fn propose(&mut self, command: &Command, reply: Reply) {
        let bytes = match postcard::to_stdvec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("group: event=encode outcome=failed reason=\"{error}\"");
                self.responses.push((reply, MeshResponse::Unavailable));
                return;
            }
        };
        if !self.bound.admits_command(&self.log_usage()) {
            log::warn!("group: event=propose outcome=refused reason=\"too much isn't committed\"");
            self.responses.push((reply, MeshResponse::Unavailable));
            return;
        }
        match self.local.replica.propose(bytes) {
            Ok((position, effects)) => {
                self.effects.merge(effects);
                let pending = PendingProposal::new(position.term, command, reply);
                self.proposals.insert(position.index, pending);
            }
            Err(_) => self.responses.push((reply, MeshResponse::Unavailable)),
        }
    }

    fn handle_join(&mut self, request: &JoinRequest, reply: Reply) {
        let replica = &self.local.replica;
        let members = replica.members();
        if members.disk(request.id).is_some() {
            self.responses.push((reply, MeshResponse::Done));
            return;
        }
        let displaced = self
            .local
            .state
            .displaced_replica(request.id, request.address);
        let lost = displaced
            .into_iter()
            .chain(request.lost_replicas.iter().copied());
        let lost: Vec<KeeperId> = lost.filter(|&id| members.disk(id).is_some()).collect();
        let min_voters = self.options.policy.min_voters;
        let change = members.join_change(request.id, request.disk, &lost, min_voters);
        match self.local.replica.change_members(change) {
            Ok((position, effects)) => {
                log::info!(
                    "group: event=members change={change:?} index={}",
                    position.index
                );
                self.effects.merge(effects);
                if let MembershipChange::Add(id, _) = change {
                    self.propose_address(id, request.address);
                }
            }
            Err(error) => log::debug!("group: event=join replica={} outcome={error}", request.id),
        }
        // The replica repeats its request until it is a member.
        self.responses.push((reply, MeshResponse::Unavailable));
    }

    /// Makes writes durable, applies committed entries and sends the responses.
    fn flush(&mut self) -> Result<(), GroupError> {
        self.write_marks()?;
        while !self.effects.is_empty() {
            let effects = std::mem::take(&mut self.effects);
            if !effects.writes.is_empty() {
                let local = &mut self.local;
                local.log_store.write(&effects.writes, &local.replica)?;
            }
            for envelope in effects.messages {
                (self.options.output)(Output::Send(envelope));
            }
            if let Some(snapshot) = effects.snapshot {
                self.local.state = ReplicatedState::decode(&snapshot.data)?;
                self.applied_index = snapshot.position.index;
                self.applied_bytes = 0;
                self.publish_config();
                self.publish_evacuations();
                self.publish_departures();
            }
            for entry in effects.committed {
                self.apply_entry(&entry)?;
            }
            for (read_id, _) in effects.ready_reads {
                self.answer_read(read_id);
            }
            for read_id in effects.failed_reads {
                if let Some((_, reply)) = self.reads.remove(&read_id) {
                    self.responses.push((reply, MeshResponse::Unavailable));
                }
            }
            self.compact()?;
        }
        for (reply, answer) in self.responses.drain(..) {
            // The receiver may have been dropped.
            let _ = reply.try_send(answer);
        }
        self.publish_status();
        Ok(())
    }

    /// Applies a committed entry to the replicated state.
    fn apply_entry(&mut self, entry: &Entry) -> Result<(), GroupError> {
        self.applied_index = entry.position.index;
        self.applied_bytes += entry.size_bytes();
        let Payload::Data(bytes) = &entry.payload else {
            return Ok(());
        };
        let command: Command = postcard::from_bytes(bytes)?;
        let before = self.local.state.config_version;
        let revision = self.local.state.evacuations.revision;
        let departed = match &command {
            Command::RecordDeparture(announcement) => Some(announcement.clone()),
            _ => None,
        };
        let outcome = self.local.state.apply(command, entry.time_ms);
        if let Some(announcement) = departed
            && outcome == Outcome::DepartureRecorded(true)
        {
            (self.options.output)(Output::Departed(vec![announcement]));
        }
        if self.local.state.evacuations.revision > revision {
            self.publish_evacuations();
        }
        if self.local.state.config_version > before {
            self.publish_config();
        }
        self.complete_proposal(entry.position.index, entry.position.term, outcome);
        Ok(())
    }

    /// Answers a read that this replica, as the leader, has confirmed.
    fn answer_read(&mut self, read_id: u64) {
        let Some((target, reply)) = self.reads.remove(&read_id) else {
            return;
        };
        let state = &self.local.state;
        let answer = match target {
            ReadTarget::ConfigVersion => MeshResponse::Version(state.config_version),
            ReadTarget::Evacuations => MeshResponse::Evacuations(state.evacuations.clone()),
            ReadTarget::Departures => MeshResponse::Departures(state.departures.to_vec()),
        };
        self.responses.push((reply, answer));
    }

    /// Makes the queued marks and fences durable with one sync.
    fn write_marks(&mut self) -> Result<(), GroupError> {
        if self.marks.is_empty() && self.fences.is_empty() {
            return Ok(());
        }
        for (mark, reply) in self.marks.drain(..) {
            let accepted = self.local.witness_log.record_mark(&mark)?;
            let answer = if accepted {
                MeshResponse::Done
            } else {
                MeshResponse::Fenced
            };
            self.responses.push((reply, answer));
        }
        for (lease, reply) in self.fences.drain(..) {
            let opened = self.local.witness_log.fence(lease)?;
            self.responses.push((reply, MeshResponse::Opened(opened)));
        }
        let allowances = &self.local.state.allowances;
        self.local.witness_log.sync(|lease| {
            allowances.is_closed(lease) || allowances.is_closed(quorum::reserve_lease(lease))
        })?;
        Ok(())
    }

    fn complete_proposal(&mut self, index: u64, term: u64, outcome: Outcome) {
        let Some(pending) = self.proposals.remove(&index) else {
            return;
        };
        let answer = match outcome {
            _ if pending.term != term => MeshResponse::Unavailable,
            Outcome::ConfigAccepted(version) => MeshResponse::Version(version),
            Outcome::LeaseClosed(unproven) => {
                let sum: u64 = unproven.iter().map(|(_, tokens)| tokens).sum();
                log::info!(
                    "budget: event=lease_closed index={index} unproven={sum} teams={unproven:?}"
                );
                MeshResponse::Done
            }
            Outcome::AddressRecorded | Outcome::DepartureRecorded(true) => MeshResponse::Done,
            Outcome::Granted(granted) => MeshResponse::Granted(granted),
            Outcome::EvacuationSet(set) => MeshResponse::Evacuations(set),
            Outcome::EntryNumbered(number) => MeshResponse::EntryNumber(number),
            Outcome::DepartureRecorded(false) => MeshResponse::Unavailable,
        };
        for reply in pending.replies {
            self.responses.push((reply, answer.clone()));
        }
    }

    fn log_usage(&self) -> LogUsage {
        let log = self.local.replica.log();
        let first = log.snapshot().position.index;
        LogUsage {
            applied_entries: self.applied_index.saturating_sub(first),
            applied_bytes: self.applied_bytes,
            log_bytes: log.size_bytes(),
            journal_bytes: self.local.log_store.journal_bytes(),
        }
    }

    fn compact(&mut self) -> Result<(), GroupError> {
        if !self.bound.is_reached(&self.log_usage()) {
            return Ok(());
        }
        let state = postcard::to_stdvec(&self.local.state)?;
        // The checkpoint below writes the snapshot.
        let _ = self.local.replica.compact(self.applied_index, state);
        self.applied_bytes = 0;
        self.local.log_store.checkpoint(&self.local.replica)?;
        Ok(())
    }

    fn publish_config(&self) {
        let state = &self.local.state;
        (self.options.output)(Output::ConfigAccepted(
            state.config_version,
            state.config_body.clone(),
        ));
    }

    fn publish_evacuations(&self) {
        let set = &self.local.state.evacuations;
        if set.revision > 0 {
            (self.options.output)(Output::EvacuationsChanged(set.clone()));
        }
    }

    fn publish_departures(&self) {
        let departures = &self.local.state.departures;
        if !departures.is_empty() {
            (self.options.output)(Output::Departed(departures.to_vec()));
        }
    }

    /// Reports changes of the leader and of this replica's membership to the process.
    fn publish_status(&mut self) {
        let replica = &self.local.replica;
        let leader = match replica.role() {
            Role::Leader => Some(replica.id()),
            _ => replica.leader(),
        };
        if leader != self.leader {
            log::info!(
                "group: event=leader leader={leader:?} term={} applied={}",
                replica.term(),
                self.applied_index
            );
            self.leader = leader;
            self.address_proposed = false;
            if leader != Some(replica.id()) {
                let lost = std::mem::take(&mut self.proposals);
                let replies = lost.into_values().flat_map(|pending| pending.replies);
                for reply in replies {
                    // A replica that doesn't lead doesn't learn the outcome.
                    let _ = reply.try_send(MeshResponse::Unavailable);
                }
            }
            (self.options.output)(Output::LeaderChanged(leader));
        }
        if *replica.members() != self.members {
            self.members = replica.members().clone();
            log::info!(
                "group: event=members voters={:?} learners={:?}",
                self.members.voters.keys(),
                self.members.learners.keys()
            );
        }
        let member = self.members.disk(replica.id()).is_some();
        if member != self.is_member {
            self.is_member = member;
            (self.options.output)(Output::MembershipChanged(member));
        }
    }
}
