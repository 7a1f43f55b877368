//! The keeper's decisions over its tables.
//!
//! The core reads no clock, socket or disk. Its driver hands it inputs, makes its
//! writes durable and only then lets its replies and messages out.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use async_channel::Sender;
use base::AgentId;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::RequestId;
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
use routing::EndpointAnnouncement;
use routing::Registry;
use routing::membership::RegistryUpdate;

use super::site::Change;
use super::site::Effect;
use super::site::Site;

mod grants;
mod operators;

/// How long a batch may stay unapplied before it's sent again.
const BATCH_RETRY: Span = Span::millis(400);

/// How often leases and agents are looked through.
const SWEEP: Span = Span::millis(1_000);

/// Entries in memory after which the log is compacted.
const COMPACT_AFTER: usize = 20_000;

/// How long an entry that falls silent is shown to operators.
const ENTRY_SHOWN: Span = Span::secs(30);

/// Accepted documents shown to operators.
const HISTORY_SHOWN: usize = 100;

/// Where an answer goes.
pub type Reply = Sender<PeerResponse>;

/// What the driver hands to the core.
#[derive(Debug)]
pub enum Input {
    /// A question, with where its answer goes.
    Ask(PeerRequest, Reply),
    /// Time has passed.
    Tick,
    /// An entry has given back tokens.
    Returned(LeaseId, TeamId, Tokens),
    /// An agent says whether it holds receipts of a lease.
    Vouched(LeaseId, AgentId, bool),
    /// The process stops as planned.
    Stop,
}

/// What the core wants sent once its writes are durable.
#[derive(Debug)]
pub enum Output {
    /// An answer.
    Reply(Reply, PeerResponse),
    /// A message that needs no answer.
    Tell(SocketAddr, PeerRequest),
    /// A question whose answer goes to `Reply`, or [`PeerResponse::Unavailable`].
    Forward(SocketAddr, PeerRequest, Reply),
    /// A recall of a team's tokens.
    Recall(SocketAddr, TeamId, Tokens),
    /// A question whether a lease is clear.
    Vouch(SocketAddr, LeaseId),
}

/// What a committed change is for.
#[derive(Debug)]
enum Waiting {
    Claim(Reply),
    Free(Reply),
    Submit(Reply),
    TopUp(Reply),
    Encoded(Reply),
    Plain(Reply),
}

/// A draw that waits for tokens.
#[derive(Debug)]
struct Waiter {
    lease: LeaseId,
    demands: Vec<Demand>,
    until: Time,
    reply: Reply,
}

/// A keeper's tables and decisions.
#[derive(Debug)]
pub struct Core {
    id: KeeperId,
    disk: u64,
    domain: String,
    peers: BTreeMap<KeeperId, SocketAddr>,
    /// The replica of the log.
    pub replica: Replica,
    /// The replicated state.
    pub site: Site,
    /// The share.
    pub share: Share,
    tenancies: LeaseHolders,
    registry: Registry,
    records: Records,
    waiting: BTreeMap<u64, (u64, Waiting)>,
    reads: BTreeMap<u64, (RequestId, Reply)>,
    ticket: u64,
    waiters: Vec<Waiter>,
    holders: Map<LeaseId, SocketAddr>,
    demand: Map<TeamId, Tokens>,
    active: Map<TeamId, Time>,
    asked: Map<TeamId, KeeperDemand>,
    recalled: Map<TeamId, Time>,
    entries: Map<EntryId, (u64, Time)>,
    batch_sent: Time,
    swept: Time,
    now: Time,
    faults: u64,
    writes: Vec<LogWrite>,
    events: Vec<Event>,
    ready: Vec<Ready>,
    out: Vec<Output>,
    letters: BTreeMap<KeeperId, Vec<Envelope>>,
    compacted: bool,
}

/// A committed part of the log that waits for the sync.
#[derive(Debug)]
enum Ready {
    Install(consensus::Snapshot),
    Apply(Entry),
    /// Follows all entries up to the index that the read needs.
    Read(u64),
}

/// What a core starts with.
#[derive(Debug)]
pub struct Start {
    /// The keeper's number.
    pub id: KeeperId,
    /// The identity of its data folder.
    pub disk: u64,
    /// The failure domain.
    pub domain: String,
    /// Where the keepers take messages.
    pub peers: BTreeMap<KeeperId, SocketAddr>,
    /// The replica as read from the disk.
    pub replica: Replica,
    /// The share as read from the disk.
    pub share: Share,
    /// The present instant.
    pub now: Time,
}

impl Core {
    /// Returns the core of a keeper.
    ///
    /// # Errors
    ///
    /// Fails where the snapshot can't be read.
    pub fn new(start: Start) -> Result<Self, postcard::Error> {
        let data = &start.replica.log().snapshot().data;
        let site = if data.is_empty() {
            Site::default()
        } else {
            postcard::from_bytes(data)?
        };
        Ok(Self {
            id: start.id,
            disk: start.disk,
            domain: start.domain,
            peers: start.peers,
            replica: start.replica,
            site,
            tenancies: LeaseHolders::after_restart(&start.share, start.now),
            share: start.share,
            registry: Registry::default(),
            records: Records::default(),
            waiting: BTreeMap::new(),
            reads: BTreeMap::new(),
            ticket: 0,
            waiters: Vec::new(),
            holders: Map::default(),
            demand: Map::default(),
            active: Map::default(),
            asked: Map::default(),
            recalled: Map::default(),
            entries: Map::default(),
            batch_sent: Time(0),
            swept: start.now,
            now: start.now,
            faults: 0,
            writes: Vec::new(),
            events: Vec::new(),
            ready: Vec::new(),
            out: Vec::new(),
            letters: BTreeMap::new(),
            compacted: false,
        })
    }

    /// Returns the breaches of the conservation law seen so far.
    #[must_use]
    pub fn faults(&self) -> u64 {
        self.faults
    }

    /// Returns the writes and events that are to be made durable.
    pub fn take_writes(&mut self) -> (Vec<LogWrite>, Vec<Event>) {
        let writes = std::mem::take(&mut self.writes);
        (writes, std::mem::take(&mut self.events))
    }

    /// Returns what may go out once all is durable.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        // What one group of inputs says to a replica goes in one message.
        for (to, envelopes) in std::mem::take(&mut self.letters) {
            if let Some(&address) = self.peers.get(&to) {
                let ask = PeerRequest::Replica(envelopes);
                self.out.push(Output::Tell(address, ask));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Returns whether the log was compacted since the last call.
    pub fn take_compacted(&mut self) -> bool {
        std::mem::take(&mut self.compacted)
    }

    /// Takes in one input at `now`; `wall` is the wall clock in milliseconds, which
    /// only stamps the log.
    pub fn handle(&mut self, input: Input, now: Time, wall: u64) {
        self.now = now;
        match input {
            Input::Ask(ask, reply) => self.on_ask(ask, reply),
            Input::Tick => self.on_tick(wall),
            Input::Returned(lease, team, total) => {
                if let Some(event) = self.share.decide_return(lease, team, total) {
                    self.journal(event);
                }
                self.serve_waiters();
            }
            Input::Vouched(lease, agent, clear) => {
                if clear {
                    self.tenancies.record_clearance(lease, agent);
                }
            }
            Input::Stop => {
                let effects = self.replica.transfer_leadership();
                self.absorb(effects);
            }
        }
    }

    /// Applies what is committed and durable; returns whether there was any.
    pub fn deliver(&mut self) -> bool {
        let ready = std::mem::take(&mut self.ready);
        let any = !ready.is_empty();
        for item in ready {
            match item {
                Ready::Install(snapshot) => self.install(&snapshot),
                Ready::Apply(entry) => self.apply(&entry),
                Ready::Read(ticket) => {
                    if let Some((request, reply)) = self.reads.remove(&ticket) {
                        let claim = self.site.claims.get(request);
                        self.out
                            .push(Output::Reply(reply, PeerResponse::CurrentClaim(claim)));
                    }
                }
            }
        }
        if any {
            self.share
                .confirm_batch(self.site.ledger.last_batch(self.id));
            self.serve_waiters();
            self.post(false);
            self.compact();
        }
        any
    }

    fn install(&mut self, snapshot: &consensus::Snapshot) {
        match postcard::from_bytes(&snapshot.data) {
            Ok(site) => self.site = site,
            Err(error) => {
                self.faults += 1;
                log::error!("keeper: a snapshot can't be read: {error}");
            }
        }
        self.compacted = true;
        let later = self.waiting.split_off(&(snapshot.position.index + 1));
        for (_, (_, waiting)) in std::mem::replace(&mut self.waiting, later) {
            self.answer_unknown(waiting);
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let waiting = self.waiting.remove(&entry.position.index);
        let Payload::Data(data) = &entry.payload else {
            if let Some((term, waiting)) = waiting {
                match waiting {
                    Waiting::Plain(reply) if term == entry.position.term => {
                        self.out.push(Output::Reply(reply, PeerResponse::Done));
                    }
                    other => self.answer_unknown(other),
                }
            }
            return;
        };
        let effect = match postcard::from_bytes::<Change>(data) {
            Ok(change) => self.site.apply(&change, entry.time_ms),
            Err(error) => {
                self.faults += 1;
                log::error!("keeper: a committed change can't be read: {error}");
                return;
            }
        };
        match waiting {
            Some((term, waiting)) if term == entry.position.term => {
                self.answer_effect(waiting, effect);
            }
            Some((_, waiting)) => self.answer_unknown(waiting),
            None => {}
        }
    }

    fn answer_effect(&mut self, waiting: Waiting, effect: Effect) {
        let (reply, answer) = match (waiting, effect) {
            (Waiting::Claim(reply), Effect::Claimed(claimed)) => {
                (reply, PeerResponse::Claimed(claimed))
            }
            (Waiting::Submit(reply), Effect::Submit(answer)) => {
                (reply, PeerResponse::SubmitOutcome(verdict(answer)))
            }
            (Waiting::TopUp(reply), Effect::Ledger(outcome)) => {
                (reply, PeerResponse::TopUpOutcome(credit(&outcome)))
            }
            (Waiting::Encoded(reply), effect) => {
                let bytes = postcard::to_stdvec(&effect).unwrap_or_default();
                (reply, PeerResponse::Applied(bytes))
            }
            (Waiting::Free(reply) | Waiting::Plain(reply), _) => (reply, PeerResponse::Done),
            (other, _) => {
                self.answer_unknown(other);
                return;
            }
        };
        self.out.push(Output::Reply(reply, answer));
    }

    fn answer_unknown(&mut self, waiting: Waiting) {
        let (reply, answer) = match waiting {
            Waiting::Submit(reply) => (reply, PeerResponse::SubmitOutcome(SubmitOutcome::Unknown)),
            Waiting::TopUp(reply) => (reply, PeerResponse::TopUpOutcome(TopUpOutcome::Unknown)),
            Waiting::Claim(reply)
            | Waiting::Free(reply)
            | Waiting::Encoded(reply)
            | Waiting::Plain(reply) => (reply, PeerResponse::Unavailable),
        };
        self.out.push(Output::Reply(reply, answer));
    }

    fn journal(&mut self, event: Event) {
        self.share.apply(&event);
        self.events.push(event);
    }

    fn absorb(&mut self, effects: Effects) {
        self.writes.extend(effects.writes);
        for envelope in effects.messages {
            self.letters.entry(envelope.to).or_default().push(envelope);
        }
        self.ready.extend(effects.snapshot.map(Ready::Install));
        let applied = effects.committed.into_iter().map(Ready::Apply);
        self.ready.extend(applied);
        let reads = effects.ready_reads.into_iter().map(|(ticket, _)| ticket);
        self.ready.extend(reads.map(Ready::Read));
        for ticket in effects.failed_reads {
            if let Some((_, reply)) = self.reads.remove(&ticket) {
                self.out
                    .push(Output::Reply(reply, PeerResponse::Unavailable));
            }
        }
        if self.replica.role() != Role::Leader && !self.waiting.is_empty() {
            // Whether these commit is for another leader to decide.
            for (_, (_, waiting)) in std::mem::take(&mut self.waiting) {
                self.answer_unknown(waiting);
            }
        }
    }

    fn compact(&mut self) {
        if self.replica.log().len() < COMPACT_AFTER {
            return;
        }
        match postcard::to_stdvec(&self.site) {
            Ok(data) => {
                let index = self.replica.commit_index();
                let effects = self.replica.compact(index, data);
                self.absorb(effects);
                self.compacted = true;
            }
            Err(error) => log::error!("keeper: the state can't be encoded: {error}"),
        }
    }

    /// Proposes a change here, or sends the question on to the leader.
    fn propose(&mut self, change: &Change, waiting: Waiting, ask: PeerRequest) {
        if self.replica.role() != Role::Leader {
            self.forward(ask, waiting);
            return;
        }
        let Ok(data) = postcard::to_stdvec(change) else {
            self.answer_unknown(waiting);
            return;
        };
        match self.replica.propose(data) {
            Ok((position, effects)) => {
                self.waiting
                    .insert(position.index, (position.term, waiting));
                self.absorb(effects);
            }
            Err(_) => self.answer_unknown(waiting),
        }
    }

    fn forward(&mut self, ask: PeerRequest, waiting: Waiting) {
        let leader = self.replica.leader().filter(|leader| *leader != self.id);
        let address = leader.and_then(|leader| self.peers.get(&leader).copied());
        let Some(address) = address else {
            self.answer_unknown(waiting);
            return;
        };
        let reply = match waiting {
            Waiting::Claim(reply)
            | Waiting::Free(reply)
            | Waiting::Submit(reply)
            | Waiting::TopUp(reply)
            | Waiting::Encoded(reply)
            | Waiting::Plain(reply) => reply,
        };
        self.out.push(Output::Forward(address, ask, reply));
    }

    fn reply(&mut self, reply: Reply, answer: PeerResponse) {
        self.out.push(Output::Reply(reply, answer));
    }

    fn on_ask(&mut self, ask: PeerRequest, reply: Reply) {
        match ask {
            PeerRequest::Replica(envelopes) => {
                for envelope in envelopes {
                    let effects = self.replica.receive(envelope);
                    self.absorb(effects);
                }
                self.reply(reply, PeerResponse::Done);
            }
            PeerRequest::Announce(announce) => self.on_announce(announce, reply),
            PeerRequest::Watch(watch) => self.on_watch(&watch, reply),
            PeerRequest::Document(number) => {
                let news = self.news(number);
                let delta = routing::MembershipDelta::default();
                self.reply(reply, PeerResponse::Changes(delta, news));
            }
            PeerRequest::AcquireTokens(draw) => self.on_draw(draw, reply),
            PeerRequest::Receipts(receipts) => self.on_receipts(&receipts, reply),
            PeerRequest::Enrol(record, replaces) => {
                let enrolled = self.records.insert(record, replaces, self.now);
                self.reply(reply, PeerResponse::Enrolled(enrolled));
            }
            PeerRequest::Find(request) => {
                let found = self.records.get(request);
                self.reply(reply, PeerResponse::Found(found));
            }
            PeerRequest::Unenrol(request, nonce) => {
                self.records.remove(request, nonce);
                self.reply(reply, PeerResponse::Done);
            }
            PeerRequest::Claim(claim) => {
                self.propose(
                    &Change::Claim(claim),
                    Waiting::Claim(reply),
                    PeerRequest::Claim(claim),
                );
            }
            PeerRequest::ReleaseClaim(claim) => {
                self.propose(
                    &Change::Free(claim),
                    Waiting::Free(reply),
                    PeerRequest::ReleaseClaim(claim),
                );
            }
            PeerRequest::FindClaim(request) => self.on_find_claim(request, reply),
            PeerRequest::Propose(data) => self.on_propose(&data, reply),
            PeerRequest::Submit(document, operator) => self.on_submit(&document, operator, reply),
            PeerRequest::Check(document) => {
                let faults = self.faults_of(&document);
                self.reply(
                    reply,
                    PeerResponse::SubmitOutcome(SubmitOutcome::Invalid(faults)),
                );
            }
            PeerRequest::History => {
                let newest = self.site.register.history().rev().take(HISTORY_SHOWN);
                let history = newest.cloned().collect();
                self.reply(reply, PeerResponse::History(history));
            }
            PeerRequest::TopUp(topup) => self.on_top_up(topup, reply),
            PeerRequest::Status => {
                let status = Box::new(self.status());
                self.reply(reply, PeerResponse::Status(status));
            }
            PeerRequest::Join(number, disk) => {
                let change = consensus::MembershipChange::Add(KeeperId(number), disk);
                self.change_members(change, PeerRequest::Join(number, disk), reply);
            }
            PeerRequest::RemoveKeeper(number) => {
                let change = consensus::MembershipChange::Remove(KeeperId(number));
                self.change_members(change, PeerRequest::RemoveKeeper(number), reply);
            }
            PeerRequest::ReleaseLease(lease) => self.on_release(lease, reply),
            PeerRequest::Mesh(_)
            | PeerRequest::FenceLease(_)
            | PeerRequest::Recall(..)
            | PeerRequest::Revoke(..)
            | PeerRequest::Cancel(_) => {
                self.reply(reply, PeerResponse::Unsupported);
            }
        }
    }

    /// Reads a claim once a quorum has confirmed that this keeper still leads.
    fn on_find_claim(&mut self, request: RequestId, reply: Reply) {
        if self.replica.role() != Role::Leader {
            self.forward(PeerRequest::FindClaim(request), Waiting::Plain(reply));
            return;
        }
        self.ticket += 1;
        self.reads.insert(self.ticket, (request, reply));
        let effects = self.replica.read_index(self.ticket);
        self.absorb(effects);
    }

    fn on_propose(&mut self, data: &[u8], reply: Reply) {
        match postcard::from_bytes::<Change>(data) {
            Ok(change) if self.replica.role() == Role::Leader => {
                let ask = PeerRequest::Propose(data.to_vec());
                self.propose(&change, Waiting::Encoded(reply), ask);
            }
            Ok(_) => self.reply(reply, PeerResponse::Unavailable),
            Err(_) => self.reply(reply, PeerResponse::Unsupported),
        }
    }

    fn on_announce(&mut self, announce: EndpointAnnouncement, reply: Reply) {
        let agent = announce.agent;
        let document = announce.document_number;
        let last = announce.final_announcement;
        if let RegistryUpdate::Replaces(old) = self.registry.register(announce, self.now)
            && self.share.has_agent(old)
        {
            self.journal(Event::AgentLost(old));
        }
        let known = self.share.has_agent(agent);
        if last && known {
            self.journal(Event::AgentStopped(agent));
        } else if !last && !known {
            self.journal(Event::AgentJoined(agent));
        }
        let news = self.news(document);
        let delta = routing::MembershipDelta::default();
        self.reply(reply, PeerResponse::Changes(delta, news));
    }

    fn on_watch(&mut self, watch: &Watch, reply: Reply) {
        self.entries.insert(watch.entry, (watch.document, self.now));
        let delta = self
            .registry
            .changes_since(watch.version, watch.entry, self.now);
        let news = self.news(watch.document);
        self.reply(reply, PeerResponse::Changes(delta, news));
    }

    /// Returns what leads from the document with `number` to the one in force.
    fn news(&self, number: u64) -> DocumentUpdate {
        let register = &self.site.register;
        if register.current().number <= number {
            return DocumentUpdate::Unchanged;
        }
        match register.patches_since(number).filter(|_| number > 0) {
            Some(patches) => DocumentUpdate::Patches(patches),
            None => DocumentUpdate::Full(Box::new(register.current().as_ref().clone())),
        }
    }

    fn on_tick(&mut self, wall: u64) {
        let effects = self.replica.tick(wall);
        self.absorb(effects);
        self.serve_waiters();
        self.recall_for_waiters();
        self.return_to_others();
        self.post(true);
        if self.now.since(self.swept) >= SWEEP {
            self.swept = self.now;
            self.sweep();
        }
    }

    /// Looks through leases, agents and balances.
    fn sweep(&mut self) {
        for agent in self.registry.expire(self.now) {
            if self.share.has_agent(agent) {
                log::warn!("keeper: agent {agent} is silent and counts as lost");
                self.journal(Event::AgentLost(agent));
            }
            self.registry.remove(agent);
        }
        let leases: Vec<LeaseId> = self.share.leases().collect();
        for lease in leases {
            match self.tenancies.reclaim_status(lease, &self.share, self.now) {
                ReclaimStatus::Active | ReclaimStatus::Blocked(_) => {}
                ReclaimStatus::AwaitingAgents(agents) => {
                    let known = agents
                        .into_iter()
                        .filter_map(|a| self.registry.agent_address(a));
                    let asks: Vec<Output> = known.map(|a| Output::Vouch(a, lease)).collect();
                    self.out.extend(asks);
                }
                ReclaimStatus::Reclaimable => {
                    log::info!("keeper: lease {lease} is taken back");
                    self.close(lease);
                }
            }
        }
        self.stand_ready();
        let now = self.now;
        self.entries
            .retain(|_, (_, seen)| now.since(*seen) < ENTRY_SHOWN);
        for fault in verify::check_ledger(&self.site.ledger) {
            self.faults += 1;
            log::error!("keeper: the budgets don't add up: {fault}");
        }
    }

    /// Returns the question that a keeper without a seat sends to join.
    #[must_use]
    pub fn join(&self) -> Option<PeerRequest> {
        let member = self.replica.members().disk(self.id).is_some();
        (!member).then_some(PeerRequest::Join(self.id.0, self.disk))
    }
}

fn verdict(answer: config::SubmitResult) -> SubmitOutcome {
    match answer {
        config::SubmitResult::Accepted(accepted) => SubmitOutcome::Accepted(accepted),
        config::SubmitResult::Conflict(accepted) => SubmitOutcome::Conflict(accepted),
        config::SubmitResult::Stale { current } => SubmitOutcome::Stale(current),
        config::SubmitResult::Invalid(faults) => SubmitOutcome::Invalid(faults),
    }
}

fn credit(outcome: &Outcome) -> TopUpOutcome {
    match outcome {
        Outcome::Applied => TopUpOutcome::Replicated,
        Outcome::Repeated => TopUpOutcome::Duplicate,
        Outcome::Refused(refusal) => TopUpOutcome::Refused(refusal.to_string()),
    }
}
