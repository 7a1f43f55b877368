//! Random histories of a keeper group, checked against the safety properties.
//!
//! A failing history prints its steps; the seed is fixed and `HISTORIES` sets their
//! number.

use std::collections::BTreeMap;
use std::env;

use base::KeeperId;
use consensus::Effects;
use consensus::Entry;
use consensus::Envelope;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::MembershipChange;
use consensus::Payload;
use consensus::Replica;
use consensus::Role;
use consensus::Snapshot;
use consensus::log::Log;
use consensus::verify::SafetyChecker;
use consensus::verify::Violation;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const NODES: u32 = 5;
const VOTERS: u32 = 3;
const SEED: u64 = 20_261_204;
const HISTORIES: u64 = 10_000;
const STEPS: usize = 160;

#[derive(Clone, Copy, Debug)]
enum Step {
    Tick(u8),
    TickAll(u8),
    Deliver(u16),
    DeliverAll,
    Drop(u16),
    Duplicate(u16),
    Propose(u8),
    Read(u8),
    Crash(u8),
    CrashDuringWrite(u8, u8),
    Restart(u8),
    WipeDisk(u8),
    Partition(u8),
    Heal,
    Compact(u8),
    TransferLeadership(u8),
    ChangeMembers(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        let b = u8::arbitrary(g);
        let k = u16::arbitrary(g);
        match u8::arbitrary(g) % 64 {
            0..10 => Self::Tick(a),
            10..22 => Self::TickAll(a % 12),
            22..30 => Self::Deliver(k),
            30..42 => Self::DeliverAll,
            42..44 => Self::Drop(k),
            44..46 => Self::Duplicate(k),
            46..51 => Self::Propose(a),
            51 => Self::Read(a),
            52 => Self::Crash(a),
            53..55 => Self::CrashDuringWrite(a, b),
            55..57 => Self::Restart(a),
            57 => Self::WipeDisk(a),
            58 => Self::Partition(a),
            59 => Self::Heal,
            60 => Self::Compact(a),
            61 => Self::TransferLeadership(a),
            _ => Self::ChangeMembers(a, b),
        }
    }
}

/// The persistent state of one keeper.
#[derive(Clone)]
struct Disk {
    id: u64,
    hard_state: HardState,
    log: Log,
}

impl Disk {
    fn new(id: u64, node: u32) -> Self {
        let voters: Vec<KeeperId> = (0..VOTERS).map(KeeperId).collect();
        let members = if node < VOTERS {
            Members::bootstrap(&voters)
        } else {
            Members::default()
        };
        let snapshot = Snapshot {
            members,
            ..Snapshot::default()
        };
        Self {
            id,
            hard_state: HardState::default(),
            log: Log::new(snapshot, Vec::new()),
        }
    }

    fn write(&mut self, write: &LogWrite) {
        match write {
            LogWrite::Save(hard_state) => self.hard_state = *hard_state,
            LogWrite::Truncate(index) => self.log.truncate(*index),
            LogWrite::Append(entry) => self.log.push(entry.clone()),
            LogWrite::Install(snapshot) => self.log.compact(snapshot.clone()),
        }
    }
}

struct Group {
    disks: Vec<Disk>,
    replicas: Vec<Option<Replica>>,
    /// The number of writes that a node's disk keeps of its next batch before it crashes.
    crash_after: Vec<Option<usize>>,
    network: Vec<Envelope>,
    partition: Option<u8>,
    checker: SafetyChecker,
    violations: Vec<Violation>,
    proposed: u64,
    last_disk: u64,
    now: u64,
    reads: BTreeMap<u64, u64>,
    highest_committed: u64,
    wiped: bool,
}

impl Group {
    fn new() -> Self {
        let disks: Vec<Disk> = (0..NODES)
            .map(|node| Disk::new(u64::from(node) + 1, node))
            .collect();
        let mut group = Self {
            replicas: vec![None; disks.len()],
            crash_after: vec![None; disks.len()],
            last_disk: 100,
            disks,
            network: Vec::new(),
            partition: None,
            checker: SafetyChecker::default(),
            violations: Vec::new(),
            proposed: 0,
            now: 0,
            reads: BTreeMap::new(),
            highest_committed: 0,
            wiped: false,
        };
        for node in 0..group.replicas.len() {
            group.restart(node);
        }
        group
    }

    fn restart(&mut self, node: usize) {
        if self.replicas[node].is_some() {
            return;
        }
        let disk = self.disks[node].clone();
        let id = KeeperId(u32::try_from(node).unwrap());
        let start = disk.log.snapshot().position.index;
        self.checker.record_start(id, start);
        let seed = self.now + node as u64;
        self.replicas[node] = Some(Replica::new(id, disk.id, disk.hard_state, disk.log, seed));
    }

    fn run(&mut self, node: usize, action: impl FnOnce(&mut Replica) -> Effects) {
        let Some(replica) = self.replicas[node].as_mut() else {
            return;
        };
        let effects = action(replica);
        self.checker.check_leader(replica, &mut self.violations);
        self.apply_effects(node, effects);
    }

    fn apply_effects(&mut self, node: usize, effects: Effects) {
        let kept_writes = self.crash_after[node].take_if(|_| !effects.writes.is_empty());
        for write in effects
            .writes
            .iter()
            .take(kept_writes.unwrap_or(usize::MAX))
        {
            self.disks[node].write(write);
        }
        if kept_writes.is_some() {
            self.replicas[node] = None;
            return;
        }
        let id = KeeperId(u32::try_from(node).unwrap());
        if let Some(snapshot) = &effects.snapshot {
            self.checker.record_start(id, snapshot.position.index);
        }
        for entry in &effects.committed {
            self.checker.check_applied(id, entry, &mut self.violations);
            self.highest_committed = self.highest_committed.max(entry.position.index);
        }
        for (read_id, index) in effects.ready_reads {
            if let Some(min_index) = self.reads.remove(&read_id) {
                assert!(index >= min_index, "a read missed a committed entry");
            }
        }
        for envelope in effects.messages {
            self.network.push(envelope);
        }
    }

    fn is_connected(&self, envelope: &Envelope) -> bool {
        let Some(mask) = self.partition else {
            return true;
        };
        let side = |id: KeeperId| mask >> id.0 & 1;
        side(envelope.from) == side(envelope.to)
    }

    fn deliver(&mut self, at: usize) {
        let envelope = self.network.swap_remove(at);
        if self.is_connected(&envelope) {
            let node = envelope.to.0 as usize;
            self.run(node, |replica| replica.receive(envelope));
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..6 {
            let batch = std::mem::take(&mut self.network);
            for envelope in batch {
                if self.is_connected(&envelope) {
                    let node = envelope.to.0 as usize;
                    self.run(node, |replica| replica.receive(envelope));
                }
            }
        }
    }

    fn tick(&mut self, node: usize) {
        self.now += 1;
        let now = self.now;
        self.run(node, |replica| replica.tick(now));
    }

    fn propose(&mut self, node: usize) {
        self.proposed += 1;
        let data = self.proposed.to_le_bytes().to_vec();
        self.run(node, |replica| {
            replica
                .propose(data)
                .map(|(_, effects)| effects)
                .unwrap_or_default()
        });
    }

    fn wipe_disk(&mut self, node: usize) {
        // At most one disk is lost: with a majority lost no property can hold.
        if std::mem::replace(&mut self.wiped, true) {
            return;
        }
        self.replicas[node] = None;
        self.last_disk += 1;
        self.disks[node] = Disk::new(self.last_disk, u32::try_from(node).unwrap());
    }

    fn change_members(&mut self, node: usize, what: u8) {
        let target = u32::from(what) % NODES;
        let id = KeeperId(target);
        let disk = self.disks[target as usize].id;
        let change = match what / 64 {
            0 | 1 => MembershipChange::Add(id, disk),
            2 => MembershipChange::Remove(id),
            _ => MembershipChange::Promote(id),
        };
        self.run(node, |replica| {
            replica
                .change_members(change)
                .map(|(_, effects)| effects)
                .unwrap_or_default()
        });
    }

    fn compact(&mut self, node: usize) {
        self.run(node, |replica| {
            let index = replica.commit_index();
            let data = index.to_le_bytes().to_vec();
            replica.compact(index, data)
        });
    }

    fn read(&mut self, node: usize) {
        let read_id = self.now << 16 | self.reads.len() as u64;
        self.reads.insert(read_id, self.highest_committed);
        self.run(node, |replica| replica.read_index(read_id));
    }

    fn step(&mut self, step: Step) {
        let node_at = |n: u8| usize::from(n) % NODES as usize;
        let len = self.network.len();
        let message_at = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::Tick(n) => self.tick(node_at(n)),
            Step::TickAll(times) => {
                for _ in 0..times {
                    (0..NODES as usize).for_each(|node| self.tick(node));
                }
            }
            Step::Deliver(k) if len > 0 => self.deliver(message_at(k)),
            Step::Drop(k) if len > 0 => {
                self.network.swap_remove(message_at(k));
            }
            Step::Duplicate(k) if len > 0 => {
                let envelope = self.network[message_at(k)].clone();
                self.network.push(envelope);
            }
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => {}
            Step::DeliverAll => self.deliver_all(),
            Step::Propose(n) => self.propose(node_at(n)),
            Step::Read(n) => self.read(node_at(n)),
            Step::Crash(n) => self.replicas[node_at(n)] = None,
            Step::CrashDuringWrite(n, k) => self.crash_after[node_at(n)] = Some(usize::from(k) % 4),
            Step::Restart(n) => self.restart(node_at(n)),
            Step::WipeDisk(n) => self.wipe_disk(node_at(n)),
            Step::Partition(mask) => self.partition = Some(mask),
            Step::Heal => self.partition = None,
            Step::Compact(n) => self.compact(node_at(n)),
            Step::TransferLeadership(n) => self.run(node_at(n), Replica::transfer_leadership),
            Step::ChangeMembers(n, what) => self.change_members(node_at(n), what),
        }
    }

    /// Ends all faults except a lost disk and runs the group until it is stable.
    fn stabilize(&mut self) {
        self.partition = None;
        self.crash_after.fill(None);
        for node in 0..self.replicas.len() {
            self.restart(node);
        }
        for _ in 0..400 {
            (0..NODES as usize).for_each(|node| self.tick(node));
            self.deliver_all();
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |r: &Option<Replica>| r.as_ref().is_some_and(|r| r.role() == Role::Leader);
        self.replicas.iter().position(leads)
    }
}

fn check_history(steps: Vec<Step>) -> bool {
    let mut group = Group::new();
    // Half of the histories start with a formed group.
    if steps.len() % 2 == 1 {
        group.stabilize();
    }
    for step in steps {
        group.step(step);
    }
    group.stabilize();
    assert_eq!(group.violations, Vec::new());
    if !group.wiped {
        assert!(group.leader().is_some(), "no leader after all faults ended");
    }
    if let Some(node) = group.leader() {
        let command = group.proposed + 1;
        group.propose(node);
        group.stabilize();
        let last = group.replicas[node].as_ref().unwrap().commit_index();
        let data = group.checker.committed(last).map(|e: &Entry| &e.payload);
        if !group.wiped {
            let expected = Payload::Data(command.to_le_bytes().to_vec());
            assert_eq!(
                data,
                Some(&expected),
                "a proposal after all faults ended is committed"
            );
        }
    }
    assert_eq!(group.violations, Vec::new());
    true
}

#[test]
fn random_histories_keep_the_safety_properties() {
    let histories = env::var("HISTORIES").map_or(HISTORIES, |n| n.parse().unwrap());
    let rng = Gen::from_size_and_seed(STEPS, SEED);
    QuickCheck::new()
        .rng(rng)
        .tests(histories)
        .max_tests(histories)
        .quickcheck(check_history as fn(Vec<Step>) -> bool);
}

#[test]
fn a_group_forms_and_commits() {
    let mut group = Group::new();
    group.stabilize();
    let node = group.leader().expect("a leader");
    group.propose(node);
    group.stabilize();
    assert!(group.replicas[node].as_ref().unwrap().commit_index() >= 2);
    assert_eq!(group.violations, Vec::new());
}

#[test]
fn messages_of_a_member_on_a_new_disk_are_rejected() {
    let mut group = Group::new();
    group.stabilize();
    group.propose(group.leader().unwrap());
    group.stabilize();
    let leader = group.leader().unwrap();
    let lost = (leader + 1) % VOTERS as usize;
    let other = (leader + 2) % VOTERS as usize;
    group.wipe_disk(lost);
    group.replicas[leader] = None;
    group.restart(lost);
    for _ in 0..200 {
        group.tick(lost);
        group.tick(other);
        group.deliver_all();
    }
    assert_eq!(
        group.leader(),
        None,
        "one disk of three can't make a quorum"
    );
    group.stabilize();
    let node = group
        .leader()
        .expect("a leader among the members with their disks");
    assert_ne!(node, lost);
    assert_eq!(group.violations, Vec::new());
}

#[test]
fn a_joining_learner_is_promoted_once_it_has_the_whole_log() {
    let mut group = Group::new();
    group.stabilize();
    let leader = group.leader().unwrap();
    for _ in 0..50 {
        group.propose(leader);
    }
    group.stabilize();
    group.compact(leader);
    group.change_members(leader, 3);
    group.stabilize();
    let replica = group.replicas[leader].as_ref().unwrap();
    assert!(replica.members().is_voter(KeeperId(3)), "promoted");
    let joined = group.replicas[3].as_ref().unwrap();
    assert_eq!(joined.commit_index(), replica.commit_index());
    assert_eq!(group.violations, Vec::new());
}

#[test]
fn an_isolated_leader_steps_down_and_answers_no_read() {
    let mut group = Group::new();
    group.stabilize();
    let leader = group.leader().unwrap();
    group.partition = Some(1 << leader);
    group.reads.insert(77, 0);
    group.run(leader, |replica| replica.read_index(77));
    for _ in 0..40 {
        group.tick(leader);
        group.deliver_all();
    }
    let replica = group.replicas[leader].as_ref().unwrap();
    assert_ne!(replica.role(), Role::Leader);
    assert!(
        group.reads.contains_key(&77),
        "an isolated leader answered a read"
    );
}
