//! Random histories of a keeper group, checked against what it promises.

use std::collections::BTreeMap;
use std::env;

use base::KeeperId;
use consensus::Change;
use consensus::Effects;
use consensus::Entry;
use consensus::Envelope;
use consensus::Members;
use consensus::Payload;
use consensus::Replica;
use consensus::Role;
use consensus::Saved;
use consensus::Snapshot;
use consensus::Write;
use consensus::log::Log;
use consensus::verify::Fault;
use consensus::verify::Witness;
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
    Double(u16),
    Propose(u8),
    Read(u8),
    Crash(u8),
    CrashWriting(u8, u8),
    Restart(u8),
    Wipe(u8),
    Cut(u8),
    Heal,
    Compact(u8),
    HandOver(u8),
    Change(u8, u8),
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
            44..46 => Self::Double(k),
            46..51 => Self::Propose(a),
            51 => Self::Read(a),
            52 => Self::Crash(a),
            53..55 => Self::CrashWriting(a, b),
            55..57 => Self::Restart(a),
            57 => Self::Wipe(a),
            58 => Self::Cut(a),
            59 => Self::Heal,
            60 => Self::Compact(a),
            61 => Self::HandOver(a),
            _ => Self::Change(a, b),
        }
    }
}

/// What one keeper has on its disk.
#[derive(Clone)]
struct Disk {
    id: u64,
    saved: Saved,
    log: Log,
}

impl Disk {
    fn new(id: u64, node: u32) -> Self {
        let voters: Vec<KeeperId> = (0..VOTERS).map(KeeperId).collect();
        let members = if node < VOTERS {
            Members::unformed(&voters)
        } else {
            Members::default()
        };
        let snapshot = Snapshot {
            members,
            ..Snapshot::default()
        };
        Self {
            id,
            saved: Saved::default(),
            log: Log::new(snapshot, Vec::new()),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Save(saved) => self.saved = *saved,
            Write::Truncate(index) => self.log.truncate(*index),
            Write::Append(entry) => self.log.push(entry.clone()),
            Write::Install(snapshot) => self.log.compact(snapshot.clone()),
        }
    }
}

struct Group {
    disks: Vec<Disk>,
    live: Vec<Option<Replica>>,
    failing: Vec<Option<usize>>,
    net: Vec<Envelope>,
    cut: Option<u8>,
    witness: Witness,
    faults: Vec<Fault>,
    proposed: u64,
    disk_number: u64,
    now: u64,
    reads: BTreeMap<u64, u64>,
    highest: u64,
    wiped: bool,
}

impl Group {
    fn new() -> Self {
        let disks: Vec<Disk> = (0..NODES)
            .map(|node| Disk::new(u64::from(node) + 1, node))
            .collect();
        let mut group = Self {
            live: vec![None; disks.len()],
            failing: vec![None; disks.len()],
            disk_number: 100,
            disks,
            net: Vec::new(),
            cut: None,
            witness: Witness::default(),
            faults: Vec::new(),
            proposed: 0,
            now: 0,
            reads: BTreeMap::new(),
            highest: 0,
            wiped: false,
        };
        for node in 0..group.live.len() {
            group.restart(node);
        }
        group
    }

    fn restart(&mut self, node: usize) {
        if self.live[node].is_some() {
            return;
        }
        let disk = self.disks[node].clone();
        let id = KeeperId(u32::try_from(node).unwrap());
        let start = disk.log.snapshot().position.index;
        self.witness.starts(id, start);
        let seed = self.now + node as u64;
        self.live[node] = Some(Replica::new(id, disk.id, disk.saved, disk.log, seed));
    }

    fn with(&mut self, node: usize, act: impl FnOnce(&mut Replica) -> Effects) {
        let Some(replica) = self.live[node].as_mut() else {
            return;
        };
        let effects = act(replica);
        self.witness.leader(replica, &mut self.faults);
        self.carry_out(node, effects);
    }

    fn carry_out(&mut self, node: usize, effects: Effects) {
        let keep = self.failing[node].take_if(|_| !effects.writes.is_empty());
        for write in effects.writes.iter().take(keep.unwrap_or(usize::MAX)) {
            self.disks[node].write(write);
        }
        if keep.is_some() {
            self.live[node] = None;
            return;
        }
        let id = KeeperId(u32::try_from(node).unwrap());
        if let Some(snapshot) = &effects.install {
            self.witness.starts(id, snapshot.position.index);
        }
        for entry in &effects.applied {
            self.witness.applies(id, entry, &mut self.faults);
            self.highest = self.highest.max(entry.position.index);
        }
        for (ticket, index) in effects.reads {
            if let Some(least) = self.reads.remove(&ticket) {
                assert!(index >= least, "a read missed a committed entry");
            }
        }
        for envelope in effects.sends {
            self.net.push(envelope);
        }
    }

    fn reaches(&self, envelope: &Envelope) -> bool {
        let Some(mask) = self.cut else { return true };
        let side = |id: KeeperId| mask >> id.0 & 1;
        side(envelope.from) == side(envelope.to)
    }

    fn deliver(&mut self, at: usize) {
        let envelope = self.net.swap_remove(at);
        if self.reaches(&envelope) {
            let node = envelope.to.0 as usize;
            self.with(node, |replica| replica.receive(envelope));
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..6 {
            let batch = std::mem::take(&mut self.net);
            for envelope in batch {
                if self.reaches(&envelope) {
                    let node = envelope.to.0 as usize;
                    self.with(node, |replica| replica.receive(envelope));
                }
            }
        }
    }

    fn tick(&mut self, node: usize) {
        self.now += 1;
        let now = self.now;
        self.with(node, |replica| replica.tick(now));
    }

    fn propose(&mut self, node: usize) {
        self.proposed += 1;
        let data = self.proposed.to_le_bytes().to_vec();
        self.with(node, |replica| {
            replica
                .propose(data)
                .map(|(_, effects)| effects)
                .unwrap_or_default()
        });
    }

    fn wipe(&mut self, node: usize) {
        // One lost disk at a time: with a majority lost nothing can be promised.
        if std::mem::replace(&mut self.wiped, true) {
            return;
        }
        self.live[node] = None;
        self.disk_number += 1;
        self.disks[node] = Disk::new(self.disk_number, u32::try_from(node).unwrap());
    }

    fn change(&mut self, node: usize, what: u8) {
        let target = u32::from(what) % NODES;
        let id = KeeperId(target);
        let disk = self.disks[target as usize].id;
        let change = match what / 64 {
            0 | 1 => Change::Add(id, disk),
            2 => Change::Remove(id),
            _ => Change::Promote(id),
        };
        self.with(node, |replica| {
            replica
                .change(change)
                .map(|(_, effects)| effects)
                .unwrap_or_default()
        });
    }

    fn compact(&mut self, node: usize) {
        self.with(node, |replica| {
            let index = replica.commit();
            let data = index.to_le_bytes().to_vec();
            replica.compact(index, data)
        });
    }

    fn read(&mut self, node: usize) {
        let ticket = self.now << 16 | self.reads.len() as u64;
        self.reads.insert(ticket, self.highest);
        self.with(node, |replica| replica.read(ticket));
    }

    fn step(&mut self, step: Step) {
        let pick = |n: u8| usize::from(n) % NODES as usize;
        let len = self.net.len();
        let place = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::Tick(n) => self.tick(pick(n)),
            Step::TickAll(times) => {
                for _ in 0..times {
                    (0..NODES as usize).for_each(|node| self.tick(node));
                }
            }
            Step::Deliver(k) if len > 0 => self.deliver(place(k)),
            Step::Drop(k) if len > 0 => {
                self.net.swap_remove(place(k));
            }
            Step::Double(k) if len > 0 => {
                let envelope = self.net[place(k)].clone();
                self.net.push(envelope);
            }
            Step::Deliver(_) | Step::Drop(_) | Step::Double(_) => {}
            Step::DeliverAll => self.deliver_all(),
            Step::Propose(n) => self.propose(pick(n)),
            Step::Read(n) => self.read(pick(n)),
            Step::Crash(n) => self.live[pick(n)] = None,
            Step::CrashWriting(n, keep) => self.failing[pick(n)] = Some(usize::from(keep) % 4),
            Step::Restart(n) => self.restart(pick(n)),
            Step::Wipe(n) => self.wipe(pick(n)),
            Step::Cut(mask) => self.cut = Some(mask),
            Step::Heal => self.cut = None,
            Step::Compact(n) => self.compact(pick(n)),
            Step::HandOver(n) => self.with(pick(n), Replica::hand_over),
            Step::Change(n, what) => self.change(pick(n), what),
        }
    }

    /// Mends everything but a lost disk and lets the group settle.
    fn settle(&mut self) {
        self.cut = None;
        self.failing.fill(None);
        for node in 0..self.live.len() {
            self.restart(node);
        }
        for _ in 0..400 {
            (0..NODES as usize).for_each(|node| self.tick(node));
            self.deliver_all();
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |r: &Option<Replica>| r.as_ref().is_some_and(|r| r.role() == Role::Leader);
        self.live.iter().position(leads)
    }
}

fn history_holds(steps: Vec<Step>) -> bool {
    let mut group = Group::new();
    // Half of the histories start with the group formed.
    if steps.len() % 2 == 1 {
        group.settle();
    }
    for step in steps {
        group.step(step);
    }
    group.settle();
    assert_eq!(group.faults, Vec::new());
    if !group.wiped {
        assert!(group.leader().is_some(), "no leader after all is mended");
    }
    if let Some(node) = group.leader() {
        let before = group.proposed + 1;
        group.propose(node);
        group.settle();
        let last = group.live[node].as_ref().unwrap().commit();
        let data = group.witness.committed(last).map(|e: &Entry| &e.payload);
        if !group.wiped {
            let want = Payload::Data(before.to_le_bytes().to_vec());
            assert_eq!(data, Some(&want), "a proposal after mending is committed");
        }
    }
    assert_eq!(group.faults, Vec::new());
    true
}

#[test]
fn random_histories_keep_the_promises() {
    let histories = env::var("HISTORIES").map_or(HISTORIES, |n| n.parse().unwrap());
    let rng = Gen::from_size_and_seed(STEPS, SEED);
    QuickCheck::new()
        .rng(rng)
        .tests(histories)
        .max_tests(histories)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_group_forms_and_commits() {
    let mut group = Group::new();
    group.settle();
    let node = group.leader().expect("a leader");
    group.propose(node);
    group.settle();
    assert!(group.live[node].as_ref().unwrap().commit() >= 2);
    assert_eq!(group.faults, Vec::new());
}

#[test]
fn a_member_without_its_disk_is_not_heard() {
    let mut group = Group::new();
    group.settle();
    group.propose(group.leader().unwrap());
    group.settle();
    let leader = group.leader().unwrap();
    let lost = (leader + 1) % VOTERS as usize;
    let other = (leader + 2) % VOTERS as usize;
    group.wipe(lost);
    group.live[leader] = None;
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
    group.settle();
    let node = group.leader().expect("the old quorum leads again");
    assert_ne!(node, lost);
    assert_eq!(group.faults, Vec::new());
}

#[test]
fn a_lost_member_comes_back_as_a_learner_and_votes_once_it_holds_all() {
    let mut group = Group::new();
    group.settle();
    let leader = group.leader().unwrap();
    for _ in 0..50 {
        group.propose(leader);
    }
    group.settle();
    group.compact(leader);
    group.change(leader, 3);
    group.settle();
    let replica = group.live[leader].as_ref().unwrap();
    assert!(replica.members().votes(KeeperId(3)), "promoted");
    let joined = group.live[3].as_ref().unwrap();
    assert_eq!(joined.commit(), replica.commit());
    assert_eq!(group.faults, Vec::new());
}

#[test]
fn an_isolated_leader_steps_down_and_answers_no_read() {
    let mut group = Group::new();
    group.settle();
    let leader = group.leader().unwrap();
    group.cut = Some(1 << leader);
    group.reads.insert(77, 0);
    group.with(leader, |replica| replica.read(77));
    for _ in 0..40 {
        group.tick(leader);
        group.deliver_all();
    }
    let replica = group.live[leader].as_ref().unwrap();
    assert_ne!(replica.role(), Role::Leader);
    assert!(
        group.reads.contains_key(&77),
        "an isolated leader answered a read"
    );
}
