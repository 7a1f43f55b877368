//! Departures of engines in the replicated log of one replica.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use base::KeeperId;
use consensus::Envelope;
use consensus::Members;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::ReplacementPolicy;
use consensus::Snapshot;
use durable::LogStore;
use fleet::mesh::MeshResponse;
use futures_lite::future::block_on;
use gateway::group::Group;
use gateway::group::GroupError;
use gateway::group::GroupOptions;
use gateway::group::Input;
use gateway::group::Output;
use gateway::group::Reply;
use gateway::replicated_state::Command;
use gateway::replicated_state::ReplicatedState;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use store::JournalOptions;
use store::StoreError;

fn departure(phase: Phase) -> EngineAnnouncement {
    EngineAnnouncement {
        id: "e".to_owned(),
        started_ms: 5,
        sequence: 3,
        service: "llm".to_owned(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        domain: "a".to_owned(),
        slots: 8,
        phase,
        cold_ms: 0,
    }
}

/// Opens the only replica of a group in `folder`, once an earlier one there has released it; the
/// departures that it publishes are received from the channel.
fn open(folder: &Path) -> (Group, Receiver<Vec<EngineAnnouncement>>) {
    let (sender, departed) = async_channel::unbounded();
    loop {
        match Group::open(options(folder, sender.clone())) {
            Ok(group) => return (group, departed),
            Err(GroupError::Store(StoreError::Locked(_))) => thread::yield_now(),
            Err(error) => panic!("{error}"),
        }
    }
}

fn options(folder: &Path, sender: Sender<Vec<EngineAnnouncement>>) -> GroupOptions {
    GroupOptions {
        folder: folder.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        quota_bytes: 8 << 20,
        memory_bytes: 256 << 20,
        policy: ReplacementPolicy {
            min_voters: 1,
            max_voters: 1,
            absence_ticks: 50,
        },
        output: Arc::new(move |output| {
            if let Output::Departed(departures) = output {
                sender.try_send(departures).expect("not closed");
            }
        }),
    }
}

async fn ask(group: &Group, input: impl Fn(Reply) -> Input) -> MeshResponse {
    loop {
        let (reply, answer) = async_channel::bounded(1);
        group.send(input(reply));
        // Without a leader, an input is refused at once.
        match answer.recv().await {
            Ok(MeshResponse::Unavailable) | Err(_) => {}
            Ok(response) => return response,
        }
    }
}

async fn stop(group: &Group) {
    let (done, stopped) = async_channel::bounded(1);
    group.send(Input::Stop(done));
    stopped.recv().await.expect("stopped");
}

/// Returns the time of each entry of the log in `folder` that records a departure, in
/// milliseconds.
fn recorded_times(folder: &Path) -> Vec<u64> {
    let (_, recovered) = LogStore::open(
        &folder.join("log"),
        Members::default(),
        JournalOptions::default(),
    )
    .expect("readable");
    let first = recovered.log.snapshot().position.index + 1;
    let commands = recovered.log.entries_from(first).iter();
    let departures = commands.filter(|entry| {
        matches!(&entry.payload, Payload::Data(bytes)
            if matches!(postcard::from_bytes(bytes), Ok(Command::RecordDeparture(_))))
    });
    departures.map(|entry| entry.time_ms).collect()
}

/// Returns the snapshot of a log of which `group` is the only member that is left.
fn joined_log(group: &Group, time_ms: u64) -> Envelope {
    let members = Members {
        voters: BTreeMap::from([(group.id(), group.disk())]),
        ..Members::default()
    };
    let state = postcard::to_stdvec(&ReplicatedState::default()).expect("encodable");
    let snapshot = Snapshot {
        position: Position { index: 9, term: 1 },
        time_ms,
        members,
        data: Arc::new(state),
    };
    Envelope {
        from: KeeperId(77),
        disk: 77,
        to: group.id(),
        term: 1,
        message: Message::InstallSnapshot { snapshot, round: 1 },
    }
}

/// Guards against an acknowledged departure that is gone after a restart, and against log entries
/// for departures that engines repeat.
#[test]
fn a_committed_departure_is_published_after_a_restart_and_written_once() {
    let folder = std::env::temp_dir().join(format!("group-departures-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    block_on(async {
        let (group, departed) = open(&folder);
        group.send(Input::FormGroup);
        for phase in [
            Phase::Draining,
            Phase::Draining,
            Phase::Gone,
            Phase::Gone,
            Phase::Draining,
        ] {
            let record = |reply| Input::RecordDeparture(departure(phase), reply);
            assert_eq!(ask(&group, record).await, MeshResponse::Done);
        }
        assert_eq!(departed.recv().await, Ok(vec![departure(Phase::Draining)]));
        assert_eq!(departed.recv().await, Ok(vec![departure(Phase::Gone)]));
        stop(&group).await;
        let (group, departed) = open(&folder);
        let known = ask(&group, Input::ReadDepartures).await;
        assert_eq!(
            known,
            MeshResponse::Departures(vec![departure(Phase::Gone)])
        );
        assert_eq!(departed.recv().await, Ok(vec![departure(Phase::Draining)]));
        assert_eq!(departed.recv().await, Ok(vec![departure(Phase::Gone)]));
        stop(&group).await;
    });
    assert_eq!(recorded_times(&folder).len(), 2);
    fs::remove_dir_all(folder).expect("removed");
}

/// Guards against tries that wait for an entry each: on slow disks an engine's second try was
/// refused as well, though the entry of its first was about to be committed.
#[test]
fn tries_that_overlap_wait_for_one_entry() {
    let folder = std::env::temp_dir().join(format!("group-overlap-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    block_on(async {
        let (group, _departed) = open(&folder);
        group.send(Input::FormGroup);
        ask(&group, Input::ReadDepartures).await;
        let tries = (0..20).map(|_| {
            let (reply, answer) = async_channel::bounded(1);
            group.send(Input::RecordDeparture(departure(Phase::Draining), reply));
            answer
        });
        let tries: Vec<Receiver<MeshResponse>> = tries.collect();
        for answer in tries {
            assert_eq!(answer.recv().await, Ok(MeshResponse::Done));
        }
        stop(&group).await;
    });
    assert_eq!(recorded_times(&folder).len(), 1);
    fs::remove_dir_all(folder).expect("removed");
}

/// Guards against departures that are kept for as long as the log is older than the replica that
/// leads: its entries all had the time of the last one that it was sent.
#[test]
fn departures_age_while_a_replica_leads_that_joined_late() {
    const JOINED_MS: u64 = 1_000_000;
    let folder = std::env::temp_dir().join(format!("group-late-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    block_on(async {
        let (group, _departed) = open(&folder);
        group.send(Input::Messages(vec![joined_log(&group, JOINED_MS)]));
        let record = |reply| Input::RecordDeparture(departure(Phase::Draining), reply);
        assert_eq!(ask(&group, record).await, MeshResponse::Done);
        stop(&group).await;
    });
    let times = recorded_times(&folder);
    // It waits for a leader before it leads itself.
    assert!(times.len() == 1 && times[0] > JOINED_MS, "{times:?}");
    fs::remove_dir_all(folder).expect("removed");
}
