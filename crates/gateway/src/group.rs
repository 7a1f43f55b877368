//! The thread that owns a replica of the log and its disk.
//!
//! What waits when the thread comes round is handled together and made durable by
//! one sync; only then do answers and messages leave. A disk that fails takes the
//! replica out of the group until the folder can be opened again; traffic goes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::RecvTimeoutError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use base::KeeperId;
use consensus::Effects;
use consensus::Envelope;
use consensus::Members;
use consensus::MembershipChange;
use consensus::Payload;
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
use store::DataFolder;
use store::JournalOptions;
use thiserror::Error;

use crate::record::Command;
use crate::record::Outcome;
use crate::record::Record;
use crate::seals::Seals;

/// Time between two ticks. An election then takes half a second to a second, which
/// a machine that is slowed a few times still meets.
const TICK: Duration = Duration::from_millis(40);

/// Most inputs handled with one sync.
const GROUP: usize = 256;

/// Entries after which the log is replaced by a snapshot.
const COMPACT: usize = 600;

/// Bytes of a journal's segment: small disks hold a few of them.
const SEGMENT: u64 = 2 << 20;

/// Time between two attempts to open a folder whose disk failed.
const REOPEN: Duration = Duration::from_millis(500);

/// Silence after which the lease of an entry that nobody hears is closed; cuts of
/// single machines are shorter.
const SILENT: Duration = Duration::from_secs(10);

/// Time between two lines on the sums of the allowances.
const REPORT_EVERY: Duration = Duration::from_secs(5);

/// Where an answer goes.
pub type Reply = Sender<MeshResponse>;

/// What the thread takes in.
pub enum Input {
    /// Forms the group with this replica alone.
    Form,
    /// Messages of other replicas.
    Messages(Vec<Envelope>),
    /// A configuration to accept, with the totals that it names.
    Submit(u64, Vec<u8>, Vec<(String, u64)>, Reply),
    /// Asks for the newest accepted configuration, for certain.
    Read(Reply),
    /// Demands of an entry under its lease.
    Draw(Lease, Vec<Demand>, Reply),
    /// Makes durable what an entry opens of its grants.
    Mark(HighWaterMark, Reply),
    /// Takes no further mark of a lease, and tells what was opened.
    Fence(u64, Reply),
    /// Closes an ended lease.
    Close(u64, Option<Vec<(String, u64)>>, Reply),
    /// Asks the leader which leases should be closed. Where the leases of all entries
    /// that are heard are named, silent ones that aren't among them are too.
    Ended(Option<Vec<u64>>, Sender<Vec<EndedLease>>),
    /// Tells the leader which replicas were heard lately; others may be removed.
    Present(Vec<KeeperId>),
    /// Adds a learner, and removes a member that it replaces.
    Join(Joiner, Reply),
    /// Hands leadership over and stops.
    Stop(Sender<()>),
}

/// A replica that asks to become a learner.
pub struct Joiner {
    /// Its number.
    pub id: KeeperId,
    /// Its disk.
    pub disk: u64,
    /// Where its process takes messages.
    pub address: SocketAddr,
    /// Replicas whose disk is known to be lost.
    pub lost: Vec<KeeperId>,
    /// Replicas heard lately, where this process has run long enough to tell.
    pub present: Option<Vec<KeeperId>>,
}

/// What the thread tells the process.
pub enum Output {
    /// Messages for other replicas.
    Send(Envelope),
    /// A configuration was accepted.
    Accepted(u64, Vec<u8>),
    /// Who leads, as far as this replica knows.
    Leader(Option<KeeperId>),
    /// Whether this replica belongs to the group.
    Member(bool),
}

/// Takes what the thread tells the process.
pub type OutputFn = Arc<dyn Fn(Output) + Send + Sync>;

/// Why the thread can't go on.
#[derive(Debug, Error)]
pub enum GroupError {
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The folder failed.
    #[error(transparent)]
    Store(#[from] store::StoreError),
    /// An entry or a snapshot can't be read.
    #[error("the replicated state can't be read: {0}")]
    State(#[from] postcard::Error),
}

/// How a group is opened.
#[derive(Clone)]
pub struct Start {
    /// The data folder.
    pub folder: PathBuf,
    /// Where the process takes messages.
    pub address: SocketAddr,
    /// Most bytes that the journal may take.
    pub quota: u64,
    /// Voters without which the first configuration isn't accepted.
    pub quorum_size: usize,
    /// Takes what the thread tells the process.
    pub output: OutputFn,
}

/// A running group.
#[derive(Clone)]
pub struct Group {
    inputs: mpsc::Sender<Input>,
    id: KeeperId,
    disk: u64,
}

/// Returns the number that belongs to a disk.
fn number(disk: u64) -> KeeperId {
    KeeperId(u32::try_from(disk & u64::from(u32::MAX)).unwrap_or(0))
}

impl Group {
    /// Opens the data folder and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails where the folder can't be used.
    ///
    /// # Panics
    ///
    /// Panics where the operating system starts no more threads.
    pub fn open(start: Start) -> Result<Self, GroupError> {
        let opened = Open::read(&start)?;
        let (inputs, queue) = mpsc::channel();
        let group = Self {
            inputs,
            id: opened.replica.id(),
            disk: opened.identity,
        };
        thread::Builder::new()
            .name("group".to_owned())
            .spawn(move || run(&start, opened, &queue))
            .expect("the operating system starts a thread");
        Ok(group)
    }

    /// Returns the replica's number.
    #[must_use]
    pub fn id(&self) -> KeeperId {
        self.id
    }

    /// Returns the identity of the disk.
    #[must_use]
    pub fn disk(&self) -> u64 {
        self.disk
    }

    /// Hands an input to the thread.
    pub fn send(&self, input: Input) {
        if self.inputs.send(input).is_err() {
            // Others may send messages until they learn that this replica has gone.
            log::debug!("group: event=input_lost reason=stopped");
        }
    }
}

struct Open {
    replica: Replica,
    record: Record,
    disk: LogStore,
    seals: Seals,
    identity: u64,
    _folder: DataFolder,
}

impl Open {
    fn read(start: &Start) -> Result<Self, GroupError> {
        let folder = DataFolder::open(&start.folder, fastrand::u64(1..))?;
        let identity = folder.identity();
        let options = JournalOptions {
            segment_bytes: SEGMENT,
            quota_bytes: start.quota,
            ..JournalOptions::default()
        };
        let path: &Path = &start.folder.join("log");
        let (disk, found) = LogStore::open(path, Members::default(), options)?;
        let seals = Seals::open(&start.folder.join("seals"), options)?;
        let data = &found.log.snapshot().data;
        let record = if data.is_empty() {
            Record::default()
        } else {
            postcard::from_bytes(data)?
        };
        let seed = fastrand::u64(..);
        let replica = Replica::new(
            number(identity),
            identity,
            found.hard_state,
            found.log,
            seed,
        );
        log::info!(
            "group: event=open replica={} records={} last={}",
            replica.id(),
            found.replayed_records,
            replica.log().last_position().index
        );
        Ok(Self {
            replica,
            record,
            disk,
            seals,
            identity,
            _folder: folder,
        })
    }
}

/// A proposal that waits to be applied.
struct Pending {
    term: u64,
    reply: Reply,
}

struct Driver<'a> {
    start: &'a Start,
    open: Open,
    effects: Effects,
    pending: BTreeMap<u64, Pending>,
    reads: BTreeMap<u64, Reply>,
    ready: Vec<(Reply, MeshResponse)>,
    marks: Vec<(HighWaterMark, Reply)>,
    fences: Vec<(u64, Reply)>,
    ticket: u64,
    leader: Option<KeeperId>,
    member: bool,
    applied: u64,
    /// Whether the place of the replica here was proposed in this term.
    placed: bool,
    stop: Option<Sender<()>>,
    began: Instant,
    reported: Instant,
    base: u64,
}

/// Runs the thread until it's told to stop.
fn run(start: &Start, open: Open, queue: &mpsc::Receiver<Input>) {
    let mut next = Some(open);
    loop {
        let open = match next.take() {
            Some(open) => open,
            None => match Open::read(start) {
                Ok(open) => open,
                Err(error) => {
                    log::warn!("group: event=reopen outcome=failed reason=\"{error}\"");
                    thread::sleep(REOPEN);
                    // Whoever asked learns that this replica can't answer.
                    while queue.try_recv().is_ok() {}
                    continue;
                }
            },
        };
        let mut driver = Driver::new(start, open);
        match driver.serve(queue) {
            Ok(()) => return,
            Err(error) => {
                (start.output)(Output::Leader(None));
                log::error!("group: event=disk_failed reason=\"{error}\"");
                thread::sleep(REOPEN);
            }
        }
    }
}

impl<'a> Driver<'a> {
    fn new(start: &'a Start, open: Open) -> Self {
        let base = open.replica.log().last_time_ms();
        let applied = open.replica.log().snapshot().position.index;
        Self {
            start,
            open,
            effects: Effects::default(),
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            ready: Vec::new(),
            marks: Vec::new(),
            fences: Vec::new(),
            ticket: 0,
            leader: None,
            member: false,
            applied,
            placed: false,
            stop: None,
            began: Instant::now(),
            reported: Instant::now(),
            base,
        }
    }

    fn serve(&mut self, queue: &mpsc::Receiver<Input>) -> Result<(), GroupError> {
        if self.open.record.version > 0 {
            self.announce();
        }
        let mut due = Instant::now() + TICK;
        loop {
            let wait = due.saturating_duration_since(Instant::now());
            let first = queue.recv_timeout(wait);
            if matches!(first, Err(RecvTimeoutError::Disconnected)) {
                return Ok(());
            }
            let mut input = first.ok();
            let mut count = 0;
            while let Some(found) = input {
                self.handle(found);
                count += 1;
                input = (count < GROUP).then(|| queue.try_recv().ok()).flatten();
            }
            if Instant::now() >= due {
                // After a pause the missed ticks are skipped: nobody was heard in it.
                due = Instant::now() + TICK;
                let at = self.base + millis(self.began.elapsed());
                let effects = self.open.replica.tick(at);
                self.gather(effects);
                self.place_own();
                self.report();
            }
            self.flush()?;
            if let Some(done) = self.stop.take() {
                // Whoever waits for the stop may have gone.
                let _ = done.try_send(());
                return Ok(());
            }
        }
    }

    /// Notes where a replica has its disk.
    fn place(&mut self, replica: KeeperId, address: SocketAddr) {
        let (reply, _) = async_channel::bounded(1);
        self.propose(&Command::Place { replica, address }, reply);
    }

    /// Notes where the replica here has its disk, where it leads and nobody knows.
    fn place_own(&mut self) {
        let (id, address) = (self.open.replica.id(), self.start.address);
        let known = self.open.record.places.get(&address) == Some(&id);
        if self.open.replica.role() == Role::Leader && !known && !self.placed {
            self.placed = true;
            self.place(id, address);
        }
    }

    /// Logs the sums of the allowances at the leader.
    fn report(&mut self) {
        if self.open.replica.role() != Role::Leader || self.reported.elapsed() < REPORT_EVERY {
            return;
        }
        self.reported = Instant::now();
        let (total, used, held) = self.open.record.allowances.sums();
        log::info!("budget: event=sums total={total} used={used} held={held}");
    }

    fn gather(&mut self, more: Effects) {
        self.effects.writes.extend(more.writes);
        self.effects.messages.extend(more.messages);
        self.effects.committed.extend(more.committed);
        self.effects.ready_reads.extend(more.ready_reads);
        self.effects.failed_reads.extend(more.failed_reads);
        if more.snapshot.is_some() {
            self.effects.snapshot = more.snapshot;
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Form => self.form(),
            Input::Messages(envelopes) => {
                for envelope in envelopes {
                    let effects = self.open.replica.receive(envelope);
                    self.gather(effects);
                }
            }
            Input::Submit(version, body, budgets, reply) => {
                let voters = self.open.replica.members().voters.len();
                if self.open.record.version == 0 && voters < self.start.quorum_size {
                    self.ready.push((reply, MeshResponse::Unavailable));
                    return;
                }
                let command = Command::Accept {
                    version,
                    body,
                    budgets,
                };
                self.propose(&command, reply);
            }
            Input::Draw(lease, demands, reply) => {
                self.propose(&Command::Draw { lease, demands }, reply);
            }
            Input::Read(reply) => {
                self.ticket += 1;
                self.reads.insert(self.ticket, reply);
                let effects = self.open.replica.read_index(self.ticket);
                self.gather(effects);
            }
            Input::Mark(mark, reply) => self.marks.push((mark, reply)),
            Input::Fence(lease, reply) => self.fences.push((lease, reply)),
            Input::Close(lease, opened, reply) => {
                self.propose(&Command::Close { lease, opened }, reply);
            }
            Input::Present(present) => self.remove_absent(present),
            Input::Ended(live, reply) => self.ended(live.as_deref(), &reply),
            Input::Join(joiner, reply) => self.join(&joiner, reply),
            Input::Stop(done) => {
                let effects = self.open.replica.transfer_leadership();
                self.gather(effects);
                self.stop = Some(done);
            }
        }
    }

    /// Removes a member that is gone, where enough others are there.
    fn remove_absent(&mut self, mut present: Vec<KeeperId>) {
        let replica = &self.open.replica;
        if replica.role() != Role::Leader {
            return;
        }
        present.push(replica.id());
        let least = self.start.quorum_size;
        let Some(gone) = replica.members().removable_member(&present, least) else {
            return;
        };
        let change = MembershipChange::Remove(gone);
        match self.open.replica.change_members(change) {
            Ok((position, effects)) => {
                let index = position.index;
                log::info!(
                    "group: event=members change={change:?} index={index} reason=\"not heard\""
                );
                self.gather(effects);
            }
            Err(error) => log::debug!("group: event=members replica={gone} outcome={error}"),
        }
    }

    /// Tells which leases should be closed by their witnesses' marks. Those with a
    /// witness whose disk is lost are closed at once: all that they hold counts as
    /// spent.
    fn ended(&mut self, live: Option<&[u64]>, reply: &Sender<Vec<EndedLease>>) {
        if self.open.replica.role() != Role::Leader {
            return;
        }
        let now = self.base + millis(self.began.elapsed());
        let before = live.map_or(0, |_| now.saturating_sub(millis(SILENT)));
        let allowances = &self.open.record.allowances;
        let mut ended = allowances.ended_leases(before, live.unwrap_or_default());
        let members = self.open.replica.members().clone();
        let lost = |id: &KeeperId| members.disk(*id).is_none();
        ended.retain(|ended| {
            let known = !ended.witnesses.is_empty() && !ended.witnesses.iter().any(lost);
            if !known {
                let lease = ended.lease;
                log::warn!(
                    "budget: event=lease_unsettled lease={lease:x} outcome=spent witnesses={:?} reason=\"a witness's disk is lost\"",
                    ended.witnesses
                );
                let (reply, _) = async_channel::bounded(1);
                let opened = None;
                self.propose(&Command::Close { lease, opened }, reply);
            }
            known
        });
        // Whoever asked may have gone.
        let _ = reply.try_send(ended);
    }

    fn form(&mut self) {
        let replica = &self.open.replica;
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
        self.open.replica = Replica::new(id, self.open.identity, replica.hard_state(), log, seed);
        log::info!("group: event=form replica={id}");
    }

    fn propose(&mut self, command: &Command, reply: Reply) {
        let bytes = match postcard::to_stdvec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("group: event=encode outcome=failed reason=\"{error}\"");
                self.ready.push((reply, MeshResponse::Unavailable));
                return;
            }
        };
        match self.open.replica.propose(bytes) {
            Ok((position, effects)) => {
                self.gather(effects);
                let term = position.term;
                self.pending.insert(position.index, Pending { term, reply });
            }
            Err(_) => self.ready.push((reply, MeshResponse::Unavailable)),
        }
    }

    fn join(&mut self, joiner: &Joiner, reply: Reply) {
        let replica = &self.open.replica;
        let members = replica.members();
        if members.disk(joiner.id).is_some() {
            self.ready.push((reply, MeshResponse::Done));
            return;
        }
        let absent = |id: KeeperId| {
            let present = joiner.present.as_ref();
            joiner.lost.contains(&id) || present.is_some_and(|list| !list.contains(&id))
        };
        let displaced = self.open.record.displaced(joiner.id, joiner.address);
        let displaced = displaced.filter(|&id| members.disk(id).is_some());
        let gone = members.others(replica.id()).find(|&id| absent(id));
        let gone = displaced.or(gone);
        let change = gone.map_or(
            MembershipChange::Add(joiner.id, joiner.disk),
            MembershipChange::Remove,
        );
        match self.open.replica.change_members(change) {
            Ok((position, effects)) => {
                log::info!(
                    "group: event=members change={change:?} index={}",
                    position.index
                );
                self.gather(effects);
                if let MembershipChange::Add(id, _) = change {
                    self.place(id, joiner.address);
                }
            }
            Err(error) => log::debug!("group: event=join replica={} outcome={error}", joiner.id),
        }
        // The joiner asks again until it's a member.
        self.ready.push((reply, MeshResponse::Unavailable));
    }

    /// Makes writes durable, applies what is committed and lets answers leave.
    fn flush(&mut self) -> Result<(), GroupError> {
        self.seal()?;
        while !self.effects.is_empty() {
            let effects = std::mem::take(&mut self.effects);
            if !effects.writes.is_empty() {
                self.open.disk.write(&effects.writes)?;
            }
            for envelope in effects.messages {
                (self.start.output)(Output::Send(envelope));
            }
            if let Some(snapshot) = effects.snapshot {
                self.open.record = postcard::from_bytes(&snapshot.data)?;
                self.applied = snapshot.position.index;
                self.announce();
            }
            for entry in effects.committed {
                self.applied = entry.position.index;
                if let Payload::Data(bytes) = &entry.payload {
                    let command: Command = postcard::from_bytes(bytes)?;
                    let before = self.open.record.version;
                    let outcome = self.open.record.apply(command, entry.time_ms);
                    if self.open.record.version > before {
                        self.announce();
                    }
                    self.settle(entry.position.index, entry.position.term, outcome);
                }
            }
            for (ticket, _) in effects.ready_reads {
                if let Some(reply) = self.reads.remove(&ticket) {
                    let record = &self.open.record;
                    let answer = MeshResponse::Config(record.version, record.body.clone());
                    self.ready.push((reply, answer));
                }
            }
            for ticket in effects.failed_reads {
                if let Some(reply) = self.reads.remove(&ticket) {
                    self.ready.push((reply, MeshResponse::Unavailable));
                }
            }
            self.compact()?;
        }
        for (reply, answer) in self.ready.drain(..) {
            // Whoever asked may have gone.
            let _ = reply.try_send(answer);
        }
        self.tell();
        Ok(())
    }

    /// Makes marks and fences durable together.
    fn seal(&mut self) -> Result<(), GroupError> {
        if self.marks.is_empty() && self.fences.is_empty() {
            return Ok(());
        }
        for (mark, reply) in self.marks.drain(..) {
            let taken = self.open.seals.open_more(&mark)?;
            let answer = if taken {
                MeshResponse::Done
            } else {
                MeshResponse::Fenced
            };
            self.ready.push((reply, answer));
        }
        for (lease, reply) in self.fences.drain(..) {
            let opened = self.open.seals.fence(lease)?;
            self.ready.push((reply, MeshResponse::Opened(opened)));
        }
        let allowances = &self.open.record.allowances;
        self.open.seals.sync(|lease| allowances.is_closed(lease))?;
        Ok(())
    }

    fn settle(&mut self, index: u64, term: u64, outcome: Outcome) {
        let Some(pending) = self.pending.remove(&index) else {
            return;
        };
        let answer = match outcome {
            _ if pending.term != term => MeshResponse::Unavailable,
            Outcome::Accepted(version) => MeshResponse::Version(version),
            Outcome::Closed(unproven) => {
                log::info!("budget: event=lease_closed index={index} unproven={unproven}");
                MeshResponse::Done
            }
            Outcome::Placed => MeshResponse::Done,
            Outcome::Granted(granted) => MeshResponse::Granted(granted),
        };
        self.ready.push((pending.reply, answer));
    }

    fn compact(&mut self) -> Result<(), GroupError> {
        if self.open.replica.log().len() < COMPACT {
            return Ok(());
        }
        let state = postcard::to_stdvec(&self.open.record)?;
        // The snapshot's write is the checkpoint itself.
        let _ = self.open.replica.compact(self.applied, state);
        self.open.disk.checkpoint(&self.open.replica)?;
        Ok(())
    }

    fn announce(&self) {
        let record = &self.open.record;
        (self.start.output)(Output::Accepted(record.version, record.body.clone()));
    }

    /// Tells the process who leads and whether this replica is a member.
    fn tell(&mut self) {
        let replica = &self.open.replica;
        let leader = match replica.role() {
            Role::Leader => Some(replica.id()),
            _ => replica.leader(),
        };
        if leader != self.leader {
            log::info!(
                "group: event=leader leader={leader:?} term={} applied={}",
                replica.term(),
                self.applied
            );
            self.leader = leader;
            self.placed = false;
            if leader != Some(replica.id()) {
                let lost = std::mem::take(&mut self.pending);
                for pending in lost.into_values() {
                    // Its outcome isn't known here any more.
                    let _ = pending.reply.try_send(MeshResponse::Unavailable);
                }
            }
            (self.start.output)(Output::Leader(leader));
        }
        let member = replica.members().disk(replica.id()).is_some();
        if member != self.member {
            self.member = member;
            (self.start.output)(Output::Member(member));
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
