//! A group whose snapshots take longer to arrive than an election timeout.

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

/// Ticks that a snapshot takes to arrive.
const SNAPSHOT_TICKS: u64 = 30;

struct Group {
    replicas: Vec<Replica>,
    down: Vec<usize>,
    slow: BTreeMap<u64, Vec<Envelope>>,
    direct: VecDeque<Envelope>,
    now: u64,
}

impl Group {
    fn new(seed: u64) -> Self {
        let voters: Vec<KeeperId> = (0..VOTERS).map(KeeperId).collect();
        let snapshot = Snapshot {
            members: Members::bootstrap(&voters),
            ..Snapshot::default()
        };
        let replica = |id: &KeeperId| {
            let (number, state) = (u64::from(id.0), HardState::default());
            let log = Log::new(snapshot.clone(), Vec::new());
            Replica::new(*id, number + 1, state, log, seed + number)
        };
        Self {
            replicas: voters.iter().map(replica).collect(),
            down: Vec::new(),
            slow: BTreeMap::new(),
            direct: VecDeque::new(),
            now: 0,
        }
    }

    fn carry_out(&mut self, effects: Effects) {
        for envelope in effects.messages {
            if matches!(envelope.message, Message::InstallSnapshot { .. }) {
                let arrivals = self.slow.entry(self.now + SNAPSHOT_TICKS);
                arrivals.or_default().push(envelope);
            } else {
                self.direct.push_back(envelope);
            }
        }
    }

    fn tick(&mut self) {
        self.now += 1;
        for index in 0..self.replicas.len() {
            if !self.down.contains(&index) {
                let effects = self.replicas[index].tick(self.now * 40);
                self.carry_out(effects);
            }
        }
        self.direct
            .extend(self.slow.remove(&self.now).into_iter().flatten());
        while let Some(envelope) = self.direct.pop_front() {
            let (from, to) = (envelope.from.0 as usize, envelope.to.0 as usize);
            if !self.down.contains(&to) && !self.down.contains(&from) {
                let effects = self.replicas[to].receive(envelope);
                self.carry_out(effects);
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        let mut numbers = 0..self.replicas.len();
        numbers.find(|&index| {
            !self.down.contains(&index) && self.replicas[index].role() == Role::Leader
        })
    }
}

/// A replica that returns needs a snapshot, and the group needs that replica: while the
/// snapshot is in flight, heartbeats have to keep the leader and its follower together.
#[test]
fn a_snapshot_that_takes_longer_than_an_election_timeout_deposes_no_leader() {
    for seed in 0..20 {
        let mut group = Group::new(seed);
        while group.leader().is_none() {
            group.tick();
        }
        let leader = group.leader().unwrap();
        let (late, other) = ((leader + 1) % 3, (leader + 2) % 3);
        group.down.push(late);
        for _ in 0..5 {
            let (_, effects) = group.replicas[leader].propose(vec![0; 100]).unwrap();
            group.carry_out(effects);
            group.tick();
        }
        let applied = group.replicas[leader].commit_index();
        // The driver writes the snapshot in the same step.
        let _ = group.replicas[leader].compact(applied, vec![1; 100]);
        let term = group.replicas[leader].term();
        group.down = vec![other];
        for round in 0..4 * SNAPSHOT_TICKS {
            group.tick();
            assert!(
                group.leader() == Some(leader) && group.replicas[leader].term() == term,
                "seed {seed}, round {round}: leader {:?}, term {}",
                group.leader(),
                group.replicas[leader].term()
            );
        }
        assert!(
            group.replicas[late].commit_index() >= applied,
            "seed {seed}"
        );
    }
}
