//! The keeper's state machine. Its inputs are peer requests, ticks and the responses of
//! entries and agents.
//!
//! The core performs no I/O and reads no clock. Its driver passes it inputs, makes its
//! writes durable and only then sends its responses and messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_channel::Sender;
use base::AgentId;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use consensus::Effects;
use consensus::Entry;
use consensus::Envelope;
use consensus::LogWrite;
use consensus::Payload;
use consensus::Replica;
use consensus::Role;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::Demand;
use fleet::wire::DocumentUpdate;
use fleet::wire::SubmitOutcome;
use fleet::wire::TopUpOutcome;
use fleet::wire::Watch;
use ledger::Event;
use ledger::LeaseHolders;
use ledger::Outcome;
use ledger::Share;
use ledger::accounts::KeeperDemand;
use ledger::reclaim::ReclaimStatus;
use ledger::verify;
use request::Records;
use request::Submissions;
use routing::EndpointAnnouncement;
use routing::Registry;
use routing::membership::RegistryUpdate;

use super::state::CommandResult;
use super::state::ReplicatedState;
use super::state::StateCommand;

mod grants;
mod operators;

/// Time after which a batch that hasn't been applied is sent again.
const BATCH_RETRY_INTERVAL: Span = Span::millis(400);

/// Time between two checks of the leases, agents and balances.
const SWEEP_INTERVAL: Span = Span::millis(1_000);

/// Number of log entries in memory at which the log is compacted, whatever their size.
const MAX_LOG_ENTRIES: usize = 20_000;

/// Size of the log entries in memory at which the log is compacted, in bytes. A document may
/// be larger.
pub const MAX_LOG_BYTES: u64 = 8 << 20;

/// Time for which an entry that sends nothing is still listed in the status.
const ENTRY_STATUS_TIMEOUT: Span = Span::secs(30);

/// Largest number of accepted documents in a response to operators.
const MAX_HISTORY_DOCUMENTS: usize = 100;

/// The channel for the response to a request.
pub type ResponseSender = Sender<PeerResponse>;

/// An input of the core.
#[derive(Debug)]
pub enum Input {
    /// A peer's request, with the channel for its response.
    Request(PeerRequest, ResponseSender),
    /// The periodic tick, at which deadlines and intervals are checked.
    Tick,
    /// An entry has returned tokens; the last field is the total returned under the lease.
    TokensReturned(LeaseId, TeamId, Tokens),
    /// An agent has fenced a lease and reports whether the lease is clear there.
    LeaseFenced(LeaseId, AgentId, bool),
    /// A planned stop of the process.
    Stop,
}

/// An output of the core, sent once its writes are durable.
#[derive(Debug)]
pub enum Output {
    /// A response to a request.
    Respond(ResponseSender, PeerResponse),
    /// A message whose response is ignored.
    Notify(SocketAddr, PeerRequest),
    /// A request whose response is passed on to the sender, or
    /// [`PeerResponse::Unavailable`] if there is none.
    Forward(SocketAddr, PeerRequest, ResponseSender),
    /// A recall of a team's tokens from an entry.
    Recall(SocketAddr, TeamId, Tokens),
    /// A request to an agent to fence a lease and to report whether it is clear.
    FenceLease(SocketAddr, LeaseId),
}

/// The kind of response due once a command is committed.
#[derive(Debug)]
enum PendingResponse {
    Claim(ResponseSender),
    ReleaseClaim(ResponseSender),
    Submit(ResponseSender),
    TopUp(ResponseSender),
    Propose(ResponseSender),
    Acknowledge(ResponseSender),
}

/// A request for tokens that waits until they are available.
#[derive(Debug)]
struct PendingAcquire {
    lease: LeaseId,
    demands: Vec<Demand>,
    deadline: Time,
    reply: ResponseSender,
}

/// A keeper's state and its decisions.
#[derive(Debug)]
pub struct Core {
    id: KeeperId,
    disk_id: u64,
    domain: String,
    peers: BTreeMap<KeeperId, SocketAddr>,
    /// The replica of the log.
    pub replica: Replica,
    /// The replicated state.
    pub state: ReplicatedState,
    /// The keeper's share of the budgets.
    pub share: Share,
    lease_holders: LeaseHolders,
    registry: Registry,
    records: Records,
    submissions: Submissions,
    /// The proposal's term and its response, by log index.
    pending_responses: BTreeMap<u64, (u64, PendingResponse)>,
    pending_reads: BTreeMap<u64, (PeerRequest, ResponseSender)>,
    /// The identifier of the latest linearizable read.
    last_read: u64,
    pending_acquires: Vec<PendingAcquire>,
    /// The addresses at which the holders of leases receive recalls.
    holder_addresses: Map<LeaseId, SocketAddr>,
    /// Tokens that entries expect to need soon, by team.
    prefetch_demand: Map<TeamId, Tokens>,
    last_acquired: Map<TeamId, Time>,
    /// The demands last posted to the ledger that require tokens.
    requested_demands: Map<TeamId, KeeperDemand>,
    last_recalled: Map<TeamId, Time>,
    /// Each entry's document number and the time of its last request.
    recent_entries: Map<EntryId, (u64, Time)>,
    batch_sent: Time,
    last_sweep: Time,
    now: Time,
    faults: u64,
    log_writes: Vec<LogWrite>,
    share_events: Vec<Event>,
    committed: Vec<CommittedItem>,
    outputs: Vec<Output>,
    envelopes: BTreeMap<KeeperId, Vec<Envelope>>,
    compacted: bool,
}

/// A committed item of the log that is applied after the next sync.
#[derive(Debug)]
enum CommittedItem {
    Snapshot(consensus::Snapshot),
    Entry(Entry),
    /// A linearizable read, by its identifier; it follows all entries up to its index.
    Read(u64),
}

/// The parameters of a new core.
#[derive(Debug)]
pub struct CoreParams {
    /// The keeper's number.
    pub id: KeeperId,
    /// The identity of the keeper's data folder.
    pub disk_id: u64,
    /// The failure domain.
    pub domain: String,
    /// The addresses of the keepers.
    pub peers: BTreeMap<KeeperId, SocketAddr>,
    /// The replica, as recovered from the disk.
    pub replica: Replica,
    /// The share, as recovered from the disk.
    pub share: Share,
    /// The current time.
    pub now: Time,
}

impl Core {
    /// Returns the core of a keeper.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot can't be decoded.
    pub fn new(params: CoreParams) -> Result<Self, postcard::Error> {
        let data = &params.replica.log().snapshot().data;
        let recovered = if data.is_empty() {
            ReplicatedState::default()
        } else {
            postcard::from_bytes(data)?
        };
        Ok(Self {
            id: params.id,
            disk_id: params.disk_id,
            domain: params.domain,
            peers: params.peers,
            replica: params.replica,
            state: recovered,
            lease_holders: LeaseHolders::after_restart(&params.share, params.now),
            share: params.share,
            registry: Registry::default(),
            records: Records::default(),
            submissions: Submissions::default(),
            pending_responses: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            last_read: 0,
            pending_acquires: Vec::new(),
            holder_addresses: Map::default(),
            prefetch_demand: Map::default(),
            last_acquired: Map::default(),
            requested_demands: Map::default(),
            last_recalled: Map::default(),
            recent_entries: Map::default(),
            batch_sent: Time(0),
            last_sweep: params.now,
            now: params.now,
            faults: 0,
            log_writes: Vec::new(),
            share_events: Vec::new(),
            committed: Vec::new(),
            outputs: Vec::new(),
            envelopes: BTreeMap::new(),
            compacted: false,
        })
    }

    /// Returns the number of faults found so far: violations of token conservation, and
    /// committed data that can't be decoded.
    #[must_use]
    pub fn faults(&self) -> u64 {
        self.faults
    }

    /// Takes the log writes and share events that have to be made durable.
    pub fn take_writes(&mut self) -> (Vec<LogWrite>, Vec<Event>) {
        let writes = std::mem::take(&mut self.log_writes);
        (writes, std::mem::take(&mut self.share_events))
    }

    /// Takes the outputs, which may be sent once all writes are durable.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        // One message takes all envelopes of one group of inputs to the same replica.
        for (to, envelopes) in std::mem::take(&mut self.envelopes) {
            if let Some(&address) = self.peers.get(&to) {
                let request = PeerRequest::Replica(envelopes);
                self.outputs.push(Output::Notify(address, request));
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the messages that hand over leadership after a write failed. All responses and
    /// messages that depend on it are dropped.
    pub fn hand_over(&mut self) -> Vec<Output> {
        self.envelopes.clear();
        self.outputs.clear();
        let effects = self.replica.transfer_leadership();
        self.collect_effects(effects);
        self.take_outputs()
    }

    /// Returns whether the log has been compacted since the last call.
    pub fn take_compacted(&mut self) -> bool {
        std::mem::take(&mut self.compacted)
    }

    /// Handles one input at `now`; `wall_ms` is the wall-clock time in milliseconds, used
    /// only as the timestamp of log entries.
    pub fn handle(&mut self, input: Input, now: Time, wall_ms: u64) {
        self.now = now;
        match input {
            Input::Request(request, reply) => self.on_request(request, reply),
            Input::Tick => self.on_tick(wall_ms),
            Input::TokensReturned(lease, team, total) => {
                if let Some(event) = self.share.decide_return(lease, team, total) {
                    self.record_event(event);
                }
                self.serve_pending_acquires();
            }
            Input::LeaseFenced(lease, agent, clear) => {
                if clear {
                    self.lease_holders.record_clearance(lease, agent);
                }
            }
            Input::Stop => {
                let effects = self.replica.transfer_leadership();
                self.collect_effects(effects);
            }
        }
    }

    /// Applies the committed items; returns whether there were any.
    ///
    /// The items must be durable.
    pub fn apply_committed(&mut self) -> bool {
        let committed = std::mem::take(&mut self.committed);
        let applied = !committed.is_empty();
        for item in committed {
            match item {
                CommittedItem::Snapshot(snapshot) => self.install_snapshot(&snapshot),
                CommittedItem::Entry(entry) => self.apply_entry(&entry),
                CommittedItem::Read(read_id) => {
                    if let Some((request, reply)) = self.pending_reads.remove(&read_id) {
                        let response = self.read_state(&request);
                        self.outputs.push(Output::Respond(reply, response));
                    }
                }
            }
        }
        if applied {
            self.share
                .confirm_batch(self.state.ledger.last_batch(self.id));
            self.serve_pending_acquires();
            self.post_next_batch(false);
            self.compact_log();
        }
        applied
    }

    fn install_snapshot(&mut self, snapshot: &consensus::Snapshot) {
        match postcard::from_bytes(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                self.faults += 1;
                log::error!("keeper: failed to decode a snapshot: {error}");
            }
        }
        self.compacted = true;
        let later = self
            .pending_responses
            .split_off(&(snapshot.position.index + 1));
        for (_, (_, pending)) in std::mem::replace(&mut self.pending_responses, later) {
            self.respond_unknown(pending);
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let pending = self.pending_responses.remove(&entry.position.index);
        let Payload::Data(data) = &entry.payload else {
            if let Some((term, pending)) = pending {
                match pending {
                    PendingResponse::Acknowledge(reply) if term == entry.position.term => {
                        self.outputs
                            .push(Output::Respond(reply, PeerResponse::Done));
                    }
                    other => self.respond_unknown(other),
                }
            }
            return;
        };
        let result = match postcard::from_bytes::<StateCommand>(data) {
            Ok(command) => self.state.apply(&command, entry.time_ms),
            Err(error) => {
                self.faults += 1;
                log::error!("keeper: failed to decode a committed command: {error}");
                return;
            }
        };
        match pending {
            Some((term, pending)) if term == entry.position.term => {
                self.respond_with_result(pending, result);
            }
            Some((_, pending)) => self.respond_unknown(pending),
            None => {}
        }
    }

    fn respond_with_result(&mut self, pending: PendingResponse, result: CommandResult) {
        let (reply, response) = match (pending, result) {
            (PendingResponse::Claim(reply), CommandResult::Claimed(claimed)) => {
                (reply, PeerResponse::Claimed(claimed))
            }
            (PendingResponse::Submit(reply), CommandResult::Submit(result)) => {
                (reply, PeerResponse::SubmitOutcome(submit_outcome(result)))
            }
            (PendingResponse::TopUp(reply), CommandResult::Ledger(outcome)) => {
                (reply, PeerResponse::TopUpOutcome(top_up_outcome(&outcome)))
            }
            (PendingResponse::Propose(reply), result) => {
                let bytes = postcard::to_stdvec(&result).unwrap_or_default();
                (reply, PeerResponse::Applied(bytes))
            }
            (PendingResponse::ReleaseClaim(reply) | PendingResponse::Acknowledge(reply), _) => {
                (reply, PeerResponse::Done)
            }
            (other, _) => {
                self.respond_unknown(other);
                return;
            }
        };
        self.outputs.push(Output::Respond(reply, response));
    }

    fn respond_unknown(&mut self, pending: PendingResponse) {
        let (reply, response) = match pending {
            PendingResponse::Submit(reply) => {
                (reply, PeerResponse::SubmitOutcome(SubmitOutcome::Unknown))
            }
            PendingResponse::TopUp(reply) => {
                (reply, PeerResponse::TopUpOutcome(TopUpOutcome::Unknown))
            }
            PendingResponse::Claim(reply)
            | PendingResponse::ReleaseClaim(reply)
            | PendingResponse::Propose(reply)
            | PendingResponse::Acknowledge(reply) => (reply, PeerResponse::Unavailable),
        };
        self.outputs.push(Output::Respond(reply, response));
    }

    fn record_event(&mut self, event: Event) {
        self.share.apply(&event);
        self.share_events.push(event);
    }

    fn collect_effects(&mut self, effects: Effects) {
        self.log_writes.extend(effects.writes);
        for envelope in effects.messages {
            self.envelopes
                .entry(envelope.to)
                .or_default()
                .push(envelope);
        }
        self.committed
            .extend(effects.snapshot.map(CommittedItem::Snapshot));
        let entries = effects.committed.into_iter().map(CommittedItem::Entry);
        self.committed.extend(entries);
        let reads = effects.ready_reads.into_iter().map(|(read_id, _)| read_id);
        self.committed.extend(reads.map(CommittedItem::Read));
        for read_id in effects.failed_reads {
            if let Some((_, reply)) = self.pending_reads.remove(&read_id) {
                self.outputs
                    .push(Output::Respond(reply, PeerResponse::Unavailable));
            }
        }
        if self.replica.role() != Role::Leader && !self.pending_responses.is_empty() {
            // Another leader decides whether these entries are committed.
            for (_, (_, pending)) in std::mem::take(&mut self.pending_responses) {
                self.respond_unknown(pending);
            }
        }
    }

    fn compact_log(&mut self) {
        let log = self.replica.log();
        if log.len() < MAX_LOG_ENTRIES && log.size_bytes() < MAX_LOG_BYTES {
            return;
        }
        match postcard::to_stdvec(&self.state) {
            Ok(data) => {
                let index = self.replica.commit_index();
                let effects = self.replica.compact(index, data);
                self.collect_effects(effects);
                self.compacted = true;
            }
            Err(error) => log::error!("keeper: failed to encode the replicated state: {error}"),
        }
    }

    /// Proposes a command, or forwards the request to the leader.
    fn propose(&mut self, command: &StateCommand, pending: PendingResponse, request: PeerRequest) {
        if self.replica.role() != Role::Leader {
            self.forward(request, pending);
            return;
        }
        let Ok(data) = postcard::to_stdvec(command) else {
            self.respond_unknown(pending);
            return;
        };
        match self.replica.propose(data) {
            Ok((position, effects)) => {
                self.pending_responses
                    .insert(position.index, (position.term, pending));
                self.collect_effects(effects);
            }
            Err(_) => self.respond_unknown(pending),
        }
    }

    fn forward(&mut self, request: PeerRequest, pending: PendingResponse) {
        let leader = self.replica.leader().filter(|leader| *leader != self.id);
        let address = leader.and_then(|leader| self.peers.get(&leader).copied());
        let Some(address) = address else {
            self.respond_unknown(pending);
            return;
        };
        let reply = match pending {
            PendingResponse::Claim(reply)
            | PendingResponse::ReleaseClaim(reply)
            | PendingResponse::Submit(reply)
            | PendingResponse::TopUp(reply)
            | PendingResponse::Propose(reply)
            | PendingResponse::Acknowledge(reply) => reply,
        };
        self.outputs.push(Output::Forward(address, request, reply));
    }

    fn respond(&mut self, reply: ResponseSender, response: PeerResponse) {
        self.outputs.push(Output::Respond(reply, response));
    }

    fn on_request(&mut self, request: PeerRequest, reply: ResponseSender) {
        match request {
            PeerRequest::Replica(envelopes) => {
                for envelope in envelopes {
                    let effects = self.replica.receive(envelope);
                    self.collect_effects(effects);
                }
                self.respond(reply, PeerResponse::Done);
            }
            PeerRequest::Announce(announcement) => self.on_announce(announcement, reply),
            PeerRequest::Watch(watch) => self.on_watch(&watch, reply),
            PeerRequest::Document(number) => {
                let update = self.document_update(number);
                let delta = routing::MembershipDelta::default();
                self.respond(reply, PeerResponse::Changes(delta, update));
            }
            PeerRequest::AcquireTokens(acquire) => self.on_acquire_tokens(acquire, reply),
            PeerRequest::Receipts(receipts) => self.on_receipts(&receipts, reply),
            PeerRequest::Enrol(record, replaces) => {
                let enrolled = self.records.insert(record, replaces, self.now);
                self.respond(reply, PeerResponse::Enrolled(enrolled));
            }
            PeerRequest::Find(request) => {
                let found = self.records.get(request);
                self.respond(reply, PeerResponse::Found(found));
            }
            PeerRequest::Unenrol(request, nonce) => {
                self.records.remove(request, nonce);
                self.respond(reply, PeerResponse::Done);
            }
            PeerRequest::Claim(claim) => {
                self.propose(
                    &StateCommand::Claim(claim),
                    PendingResponse::Claim(reply),
                    PeerRequest::Claim(claim),
                );
            }
            PeerRequest::ReleaseClaim(claim) => {
                self.propose(
                    &StateCommand::ReleaseClaim(claim),
                    PendingResponse::ReleaseClaim(reply),
                    PeerRequest::ReleaseClaim(claim),
                );
            }
            PeerRequest::FindClaim(_) | PeerRequest::Unspent(_) => self.on_read(request, reply),
            PeerRequest::Await(request, entry, time_left) => {
                self.submissions
                    .register(request, entry, time_left, self.now);
                self.respond(reply, PeerResponse::Done);
            }
            PeerRequest::Withdraw(request, entry) => {
                let others_wait = self.submissions.withdraw(request, entry, self.now);
                self.respond(reply, PeerResponse::Withdrawn(others_wait));
            }
            PeerRequest::Propose(data) => self.on_propose(&data, reply),
            PeerRequest::Submit(document, operator) => self.on_submit(&document, operator, reply),
            PeerRequest::Check(document) => {
                let faults = self.document_faults(&document);
                self.respond(
                    reply,
                    PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)),
                );
            }
            PeerRequest::History => {
                let newest = self
                    .state
                    .register
                    .history()
                    .rev()
                    .take(MAX_HISTORY_DOCUMENTS);
                let history = newest.cloned().collect();
                self.respond(reply, PeerResponse::History(history));
            }
            PeerRequest::TopUp(topup) => self.on_top_up(topup, reply),
            PeerRequest::Status => {
                let status = Box::new(self.status());
                self.respond(reply, PeerResponse::Status(status));
            }
            PeerRequest::Join(number, disk_id) => {
                let change = consensus::MembershipChange::Add(KeeperId(number), disk_id);
                self.change_members(change, PeerRequest::Join(number, disk_id), reply);
            }
            PeerRequest::RemoveKeeper(number) => {
                let change = consensus::MembershipChange::Remove(KeeperId(number));
                self.change_members(change, PeerRequest::RemoveKeeper(number), reply);
            }
            PeerRequest::ReleaseLease(lease) => self.on_release_lease(lease, reply),
            PeerRequest::Mesh(_)
            | PeerRequest::FenceLease(_)
            | PeerRequest::Recall(..)
            | PeerRequest::Revoke(..)
            | PeerRequest::Cancel(_) => {
                self.respond(reply, PeerResponse::Unsupported);
            }
        }
    }

    /// Reads the replicated state once a quorum has confirmed that this keeper is still the
    /// leader.
    fn on_read(&mut self, request: PeerRequest, reply: ResponseSender) {
        if self.replica.role() != Role::Leader {
            self.forward(request, PendingResponse::Acknowledge(reply));
            return;
        }
        self.last_read += 1;
        self.pending_reads.insert(self.last_read, (request, reply));
        let effects = self.replica.read_index(self.last_read);
        self.collect_effects(effects);
    }

    fn read_state(&self, request: &PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::FindClaim(request) => {
                PeerResponse::CurrentClaim(self.state.claims.get(*request))
            }
            PeerRequest::Unspent(team) => {
                let account = self.state.ledger.account(*team);
                PeerResponse::Unspent(account.map_or(Tokens::ZERO, ledger::Account::unspent))
            }
            _ => PeerResponse::Unsupported,
        }
    }

    fn on_propose(&mut self, data: &[u8], reply: ResponseSender) {
        match postcard::from_bytes::<StateCommand>(data) {
            Ok(command) if self.replica.role() == Role::Leader => {
                let request = PeerRequest::Propose(data.to_vec());
                self.propose(&command, PendingResponse::Propose(reply), request);
            }
            Ok(_) => self.respond(reply, PeerResponse::Unavailable),
            Err(_) => self.respond(reply, PeerResponse::Unsupported),
        }
    }

    fn on_announce(&mut self, announcement: EndpointAnnouncement, reply: ResponseSender) {
        let agent = announcement.agent;
        let document = announcement.document_number;
        let last = announcement.final_announcement;
        if let RegistryUpdate::Replaces(old) = self.registry.register(announcement, self.now)
            && self.share.has_agent(old)
        {
            self.record_event(Event::AgentLost(old));
        }
        let registered = self.share.has_agent(agent);
        if last && registered {
            self.record_event(Event::AgentStopped(agent));
        } else if !last && !registered {
            self.record_event(Event::AgentJoined(agent));
        }
        let update = self.document_update(document);
        let delta = routing::MembershipDelta::default();
        self.respond(reply, PeerResponse::Changes(delta, update));
    }

    fn on_watch(&mut self, watch: &Watch, reply: ResponseSender) {
        self.recent_entries
            .insert(watch.entry, (watch.document, self.now));
        let delta = self
            .registry
            .changes_since(watch.version, watch.entry, self.now);
        let update = self.document_update(watch.document);
        self.respond(reply, PeerResponse::Changes(delta, update));
    }

    /// Returns the update from the document with `number` to the document in force.
    fn document_update(&self, number: u64) -> DocumentUpdate {
        let register = &self.state.register;
        if register.current().number <= number {
            return DocumentUpdate::Unchanged;
        }
        match register.patches_since(number).filter(|_| number > 0) {
            Some(patches) => DocumentUpdate::Patches(patches),
            None => DocumentUpdate::Full(Box::new(register.current().as_ref().clone())),
        }
    }

    fn on_tick(&mut self, wall_ms: u64) {
        let effects = self.replica.tick(wall_ms);
        self.collect_effects(effects);
        self.serve_pending_acquires();
        self.recall_for_pending_acquires();
        self.return_idle_tokens();
        self.post_next_batch(true);
        if self.now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = self.now;
            self.sweep();
        }
    }

    /// Expires agents, reclaims leases and verifies the ledger.
    fn sweep(&mut self) {
        for agent in self.registry.expire(self.now) {
            if self.share.has_agent(agent) {
                log::warn!(
                    "keeper: agent {agent} has stopped announcing itself and is considered lost"
                );
                self.record_event(Event::AgentLost(agent));
            }
            self.registry.remove(agent);
        }
        let leases: Vec<LeaseId> = self.share.leases().collect();
        for lease in leases {
            match self
                .lease_holders
                .reclaim_status(lease, &self.share, self.now)
            {
                ReclaimStatus::Active | ReclaimStatus::Blocked(_) => {}
                ReclaimStatus::AwaitingAgents(agents) => {
                    let addresses = agents
                        .into_iter()
                        .filter_map(|a| self.registry.agent_address(a));
                    let requests: Vec<Output> =
                        addresses.map(|a| Output::FenceLease(a, lease)).collect();
                    self.outputs.extend(requests);
                }
                ReclaimStatus::Reclaimable => {
                    log::info!("keeper: reclaimed lease {lease}");
                    self.close_lease(lease);
                }
            }
        }
        self.request_standby_tokens();
        let now = self.now;
        self.recent_entries
            .retain(|_, (_, seen)| now.since(*seen) < ENTRY_STATUS_TIMEOUT);
        for fault in verify::check_ledger(&self.state.ledger) {
            self.faults += 1;
            log::error!("keeper: the ledger violates token conservation: {fault}");
        }
    }

    /// Returns the request with which the keeper joins the group, unless it's a member.
    #[must_use]
    pub fn join_request(&self) -> Option<PeerRequest> {
        let is_member = self.replica.members().disk(self.id).is_some();
        (!is_member).then_some(PeerRequest::Join(self.id.0, self.disk_id))
    }
}

fn submit_outcome(result: config::SubmitResult) -> SubmitOutcome {
    match result {
        config::SubmitResult::Accepted(accepted) => SubmitOutcome::Accepted(accepted),
        config::SubmitResult::Conflict(accepted) => SubmitOutcome::Conflict(accepted),
        config::SubmitResult::Stale { current } => SubmitOutcome::Stale(current),
        config::SubmitResult::Invalid(faults) => SubmitOutcome::Invalid(faults),
    }
}

fn top_up_outcome(outcome: &Outcome) -> TopUpOutcome {
    match outcome {
        Outcome::Applied => TopUpOutcome::Replicated,
        Outcome::Repeated => TopUpOutcome::Duplicate,
        Outcome::Refused(refusal) => TopUpOutcome::Refused(refusal.to_string()),
    }
}
