//! A group whose entries take longer to arrive than an election timeout.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::KeeperId;
use consensus::Effects;
use consensus::Envelope;
use consensus::HardState;
use consensus::Members;
use consensus::Message;
use consensus::Replica;
use consensus::Role;
use consensus::Snapshot;
use consensus::log::Log;

const VOTERS: u32 = 3;

/// Ticks that a batch with entries takes to arrive.
const BODY_TICKS: u64 = 30;

/// Messages to one replica that must stay in order, one batch in flight.
#[derive(Default)]
struct OrderedQueue {
    waiting: Vec<Envelope>,
    batch: VecDeque<Envelope>,
    arrives_at: u64,
}

struct Group {
    replicas: Vec<Replica>,
    queues: BTreeMap<(KeeperId, KeeperId), OrderedQueue>,
    direct: VecDeque<Envelope>,
    now: u64,
    /// A replica whose entries never arrive.
    blocked: Option<KeeperId>,
}

impl Group {
    fn new(seed: u64) -> Self {
        let voters: Vec<KeeperId> = (0..VOTERS).map(KeeperId).collect();
        let replica = |id: &KeeperId| {
            let snapshot = Snapshot {
                members: Members::bootstrap(&voters),
                ..Snapshot::default()
            };
            let log = Log::new(snapshot, Vec::new());
            Replica::new(
                *id,
                u64::from(id.0) + 1,
                HardState::default(),
                log,
                seed + u64::from(id.0),
            )
        };
        Self {
            replicas: voters.iter().map(replica).collect(),
            queues: BTreeMap::new(),
            direct: VecDeque::new(),
            now: 0,
            blocked: None,
        }
    }

    fn carry_out(&mut self, effects: Effects) {
        for envelope in effects.messages {
            let ordered = matches!(
                envelope.message,
                Message::AppendEntries { .. } | Message::InstallSnapshot { .. }
            );
            if ordered && self.blocked == Some(envelope.from) {
                continue;
            }
            if ordered {
                let queue = self.queues.entry((envelope.from, envelope.to)).or_default();
                queue.waiting.push(envelope);
            } else {
                self.direct.push_back(envelope);
            }
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        for index in 0..self.replicas.len() {
            let effects = self.replicas[index].tick(self.now * 40);
            self.carry_out(effects);
        }
        for queue in self.queues.values_mut() {
            if self.now >= queue.arrives_at {
                self.direct.extend(queue.batch.drain(..));
                queue.batch.extend(queue.waiting.drain(..));
                let slow = queue.batch.iter().any(has_entries);
                queue.arrives_at = self.now + if slow { BODY_TICKS } else { 1 };
            }
        }
        while let Some(envelope) = self.direct.pop_front() {
            let to = envelope.to.0 as usize;
            let effects = self.replicas[to].receive(envelope);
            self.carry_out(effects);
        }
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.replicas
            .iter_mut()
            .find(|replica| replica.role() == Role::Leader)
    }
}

fn has_entries(envelope: &Envelope) -> bool {
    matches!(&envelope.message, Message::AppendEntries { entries, .. } if !entries.is_empty())
}

/// Before, heartbeats waited behind entries in flight, and each large entry led to an
/// election.
#[test]
fn entries_that_take_longer_than_an_election_timeout_depose_no_leader() {
    for seed in 0..20 {
        let mut group = Group::new(seed);
        while group.leader().is_none() {
            group.tick();
        }
        for _ in 0..2 * BODY_TICKS {
            group.tick();
        }
        let term = group.leader().expect("the first leader stays").term();
        let mut last = 0;
        for round in 0..200 {
            if round % 4 == 0 {
                let leader = group.leader().expect("the leader stays");
                let (position, effects) = leader.propose(vec![0; 400_000]).unwrap();
                last = position.index;
                group.carry_out(effects);
            }
            group.tick();
            let terms: Vec<u64> = group.replicas.iter().map(Replica::term).collect();
            assert!(
                terms.iter().all(|&now| now == term) && group.leader().is_some(),
                "seed {seed}, round {round}: terms {terms:?}"
            );
        }
        for _ in 0..20 * BODY_TICKS {
            group.tick();
        }
        let committed = group.leader().unwrap().commit_index();
        assert!(committed >= last, "{committed} of {last}");
    }
}

/// Heartbeats alone kept such a leader in office, and nothing was committed any more.
#[test]
fn a_leader_whose_entries_never_arrive_steps_down() {
    for seed in 0..20 {
        let mut group = Group::new(seed);
        while group.leader().is_none() {
            group.tick();
        }
        for _ in 0..2 * BODY_TICKS {
            group.tick();
        }
        let leader = group.leader().expect("a leader");
        let id = leader.id();
        let (_, effects) = leader.propose(vec![0; 400_000]).unwrap();
        group.blocked = Some(id);
        group.carry_out(effects);
        let mut ticks = 0;
        while group.leader().is_none_or(|leader| leader.id() == id) {
            group.tick();
            ticks += 1;
            assert!(ticks < 2_000, "seed {seed}: no other leader");
        }
        let leader = group.leader().expect("another leader");
        let (position, effects) = leader.propose(vec![0; 400_000]).unwrap();
        group.carry_out(effects);
        for _ in 0..4 * BODY_TICKS {
            group.tick();
        }
        let committed = group.replicas.iter().map(Replica::commit_index).max();
        assert!(
            committed >= Some(position.index),
            "seed {seed}: {committed:?}"
        );
    }
}
