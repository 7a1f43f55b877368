//! The order in which a batch of messages is applied.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;

use base::KeeperId;
use consensus::Entry;
use consensus::Envelope;
use consensus::HardState;
use consensus::Members;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::ReplacementPolicy;
use consensus::Snapshot;
use durable::LogCheckpoint;
use durable::LogStore;
use gateway::group::Group;
use gateway::group::GroupOptions;
use gateway::group::Input;
use gateway::replicated_state::Command;
use gateway::replicated_state::ReplicatedState;
use store::DataFolder;
use store::Journal;
use store::JournalOptions;

const LEADER: KeeperId = KeeperId(2);
const LEADER_DISK: u64 = 22;
const OLD: KeeperId = KeeperId(3);
const NEW: KeeperId = KeeperId(4);
/// Enough entries for a compaction.
const ENTRIES: u64 = 700;

fn position(index: u64) -> Position {
    Position { term: 1, index }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1))
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry {
        position: position(index),
        time_ms: 0,
        payload,
    }
}

fn snapshot(index: u64, members: &Members, known: Option<KeeperId>) -> Snapshot {
    let state = ReplicatedState {
        replica_addresses: known
            .map(|id| (address(), id))
            .into_iter()
            .collect::<BTreeMap<_, _>>(),
        ..ReplicatedState::default()
    };
    Snapshot {
        position: position(index),
        time_ms: 0,
        members: members.clone(),
        data: postcard::to_stdvec(&state).expect("encoded").into(),
    }
}

fn append(previous: u64, entries: Vec<Entry>, commit_index: u64) -> Message {
    Message::AppendEntries {
        prev_position: position(previous),
        entries,
        commit_index,
        round: 1,
    }
}

/// Guards against replicas whose states differ: a batch held a message that commits
/// entries and then a snapshot, and the entries were applied on top of the snapshot.
#[test]
fn entries_before_a_snapshot_in_a_batch_are_not_applied_on_top_of_it() {
    let folder = std::env::temp_dir().join(format!("apply-order-{}", process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("created");
    let disk = DataFolder::open(&folder, 1 << 40 | 7)
        .expect("opened")
        .identity();
    let id = KeeperId(7);
    let members = Members {
        voters: [(id, disk), (LEADER, LEADER_DISK)].into(),
        ..Members::default()
    };
    let checkpoint = LogCheckpoint {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        snapshot: snapshot(1, &members, None),
        entries: Vec::new(),
    };
    let (mut journal, _) =
        Journal::open(&folder.join("log"), JournalOptions::default()).expect("opened");
    let bytes = postcard::to_stdvec(&checkpoint).expect("encoded");
    journal.checkpoint(&bytes).expect("written");
    drop(journal);
    let options = GroupOptions {
        folder: folder.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        quota_bytes: 32 << 20,
        memory_bytes: 128 << 20,
        policy: ReplacementPolicy {
            min_voters: 1,
            max_voters: 1,
            absence_ticks: 50,
        },
        output: Arc::new(|_| {}),
    };
    let group = Group::open(options).expect("opened");
    let record = Command::RecordAddress {
        replica: OLD,
        address: address(),
    };
    let record = Payload::Data(postcard::to_stdvec(&record).expect("encoded"));
    let later = (4..4 + ENTRIES)
        .map(|index| entry(index, Payload::Noop))
        .collect();
    let messages = [
        append(1, vec![entry(2, record)], 2),
        Message::InstallSnapshot {
            snapshot: snapshot(3, &members, Some(NEW)),
            round: 1,
        },
        append(3, later, 3 + ENTRIES),
    ];
    let envelopes = messages.map(|message| Envelope {
        from: LEADER,
        disk: LEADER_DISK,
        to: id,
        term: 1,
        message,
    });
    group.send(Input::Messages(envelopes.to_vec()));
    let (done, stopped) = async_channel::bounded(1);
    group.send(Input::Stop(done));
    let _ = stopped.recv_blocking();
    let (_, recovered) = LogStore::open(
        &folder.join("log"),
        Members::default(),
        JournalOptions::default(),
    )
    .expect("opened");
    let compacted = recovered.log.snapshot();
    assert_eq!(compacted.position.index, 3 + ENTRIES, "compacted");
    let state: ReplicatedState = postcard::from_bytes(&compacted.data).expect("decoded");
    assert_eq!(state.replica_addresses.get(&address()), Some(&NEW));
    let _ = fs::remove_dir_all(&folder);
}
