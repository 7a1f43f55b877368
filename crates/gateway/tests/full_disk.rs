//! A replica whose journal reaches its quota, or whose disk refuses writes for a while.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base::KeeperId;
use consensus::Entry;
use consensus::Envelope;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::Message;
use consensus::Payload;
use consensus::Position;
use consensus::ReplacementPolicy;
use consensus::Snapshot;
use durable::LogCheckpoint;
use fleet::mesh::MeshResponse;
use gateway::compaction::LogBound;
use gateway::compaction::LogUsage;
use gateway::group::Group;
use gateway::group::GroupOptions;
use gateway::group::Input;
use gateway::group::Output;
use gateway::replicated_state::Command;
use store::DataFolder;
use store::Journal;
use store::JournalOptions;

const QUOTA: u64 = 8 << 20;
const MEMORY: u64 = 64 << 20;
const BODY_BYTES: usize = 600 << 10;
const OTHER: KeeperId = KeeperId(2);
const OTHER_DISK: u64 = 22;

/// Time after which a test gives up.
const TIMEOUT: Duration = Duration::from_mins(1);

fn scratch_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("group-{name}-{}", process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("created");
    path
}

fn open(folder: &Path) -> (Group, mpsc::Receiver<Output>) {
    let (sender, outputs) = mpsc::channel();
    let options = GroupOptions {
        folder: folder.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        quota_bytes: QUOTA,
        memory_bytes: MEMORY,
        policy: ReplacementPolicy {
            min_voters: 1,
            max_voters: 1,
            absence_ticks: 50,
        },
        output: Arc::new(move |output| {
            let _ = sender.send(output);
        }),
    };
    (Group::open(options).expect("opened"), outputs)
}

/// Repeats a request until it is answered.
fn ask(
    group: &Group,
    input: impl Fn(async_channel::Sender<MeshResponse>) -> Input,
) -> MeshResponse {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let (reply, answer) = async_channel::bounded(1);
        group.send(input(reply));
        match answer.recv_blocking() {
            Ok(MeshResponse::Unavailable) | Err(_) => thread::sleep(Duration::from_millis(20)),
            Ok(answer) => return answer,
        }
    }
    panic!("no answer");
}

fn body(version: u64) -> Vec<u8> {
    vec![u8::try_from(version % 251).expect("small"); BODY_BYTES]
}

fn submit(group: &Group, version: u64) {
    let answer = ask(group, |reply| {
        Input::SubmitConfig(version, body(version), Vec::new(), reply)
    });
    assert_eq!(answer, MeshResponse::Version(version));
}

/// Reads the latest version and checks the body that the replica has published with it.
fn read_version(group: &Group, outputs: &mpsc::Receiver<Output>) -> u64 {
    let MeshResponse::Version(version) = ask(group, Input::ReadVersion) else {
        panic!("no version");
    };
    let published = outputs.try_iter().filter_map(|output| match output {
        Output::ConfigAccepted(version, body) => Some((version, body)),
        _ => None,
    });
    assert_eq!(published.last(), Some((version, body(version))));
    version
}

fn stop(group: &Group) {
    let (done, stopped) = async_channel::bounded(1);
    group.send(Input::Stop(done));
    let _ = stopped.recv_blocking();
}

fn folder_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("read");
    let sizes = files.map(|file| file.and_then(|file| file.metadata()).map_or(0, |m| m.len()));
    sizes.sum()
}

/// Guards against a log that is compacted by the number of its entries only: a few dozen
/// large configurations filled the journals of all replicas for good.
#[test]
fn large_configurations_do_not_fill_the_journal() {
    let folder = scratch_folder("large");
    let (group, outputs) = open(&folder);
    group.send(Input::FormGroup);
    for version in 1..=50 {
        submit(&group, version);
        let used = folder_bytes(&folder.join("log"));
        assert!(used <= QUOTA, "{used} bytes after version {version}");
    }
    assert_eq!(read_version(&group, &outputs), 50);
    stop(&group);
    let _ = fs::remove_dir_all(&folder);
}

/// Writes a log of one voter whose journal is at its quota.
fn fill_journal(folder: &Path) -> u64 {
    let disk = DataFolder::open(folder, 1 << 40 | 7)
        .expect("opened")
        .identity();
    let options = JournalOptions {
        quota_bytes: QUOTA,
        ..JournalOptions::default()
    };
    let (mut journal, _) = Journal::open(&folder.join("log"), options).expect("opened");
    let voters = [(KeeperId(7), disk)].into();
    let checkpoint = LogCheckpoint {
        hard_state: HardState {
            term: 1,
            vote: Some(KeeperId(7)),
        },
        snapshot: Snapshot {
            members: Members {
                voters,
                ..Members::default()
            },
            ..Snapshot::default()
        },
        entries: Vec::new(),
    };
    let bytes = postcard::to_stdvec(&checkpoint).expect("encoded");
    journal.checkpoint(&bytes).expect("written");
    let mut version = 0;
    loop {
        version += 1;
        let command = Command::AcceptConfig {
            version,
            body: body(version),
            budgets: Vec::new(),
        };
        let write = LogWrite::Append(Entry {
            position: Position {
                term: 1,
                index: version,
            },
            time_ms: 0,
            payload: Payload::Data(postcard::to_stdvec(&command).expect("encoded")),
        });
        journal
            .append(&postcard::to_stdvec(&write).expect("encoded"))
            .expect("appended");
        if journal.size_bytes() + 64 > QUOTA {
            return version - 1;
        }
        if journal.size_bytes() + BODY_BYTES as u64 > QUOTA {
            journal.sync().expect("written");
            fill_exactly(&mut journal);
            return version;
        }
        journal.sync().expect("written");
    }
}

/// Fills the journal to its quota with records that change nothing.
fn fill_exactly(journal: &mut Journal) {
    let write = LogWrite::Save(HardState {
        term: 1,
        vote: Some(KeeperId(7)),
    });
    let bytes = postcard::to_stdvec(&write).expect("encoded");
    while journal.size_bytes() + bytes.len() as u64 + 20 <= QUOTA {
        journal.append(&bytes).expect("appended");
    }
    journal.sync().expect("written");
}

/// Guards against a replica that fails for ever because its journal was at its quota when
/// the process started.
#[test]
fn journal_at_its_quota_is_compacted_after_a_restart() {
    let folder = scratch_folder("restart");
    let last = fill_journal(&folder);
    let (group, outputs) = open(&folder);
    assert_eq!(read_version(&group, &outputs), last);
    submit(&group, last + 1);
    assert_eq!(read_version(&group, &outputs), last + 1);
    let used = folder_bytes(&folder.join("log"));
    assert!(used <= QUOTA / 2, "{used} bytes");
    stop(&group);
    let _ = fs::remove_dir_all(&folder);
}

/// Makes the journal's folder refuse the next segments, as a disk that refuses writes.
fn refuse_segments(folder: &Path) -> Vec<PathBuf> {
    let blocked = (2..200).map(|first| folder.join("log").join(format!("segment-{first:020}")));
    let blocked: Vec<PathBuf> = blocked.filter(|path| !path.exists()).collect();
    for path in &blocked {
        fs::create_dir(path).expect("created");
    }
    blocked
}

fn accept_segments(blocked: &[PathBuf]) {
    for path in blocked {
        fs::remove_dir(path).expect("removed");
    }
}

/// Writes the checkpoint of a voter in a group of two.
fn write_voter(folder: &Path) -> (KeeperId, u64) {
    let disk = DataFolder::open(folder, 1 << 40 | 7)
        .expect("opened")
        .identity();
    let id = KeeperId(7);
    let members = Members {
        voters: [(id, disk), (OTHER, OTHER_DISK)].into(),
        ..Members::default()
    };
    let position = Position { term: 1, index: 1 };
    let checkpoint = LogCheckpoint {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        snapshot: Snapshot {
            position,
            members,
            data: postcard::to_stdvec(&gateway::replicated_state::ReplicatedState::default())
                .expect("encoded")
                .into(),
            ..Snapshot::default()
        },
        entries: Vec::new(),
    };
    let (mut journal, _) =
        Journal::open(&folder.join("log"), JournalOptions::default()).expect("opened");
    let bytes = postcard::to_stdvec(&checkpoint).expect("encoded");
    journal.checkpoint(&bytes).expect("written");
    (id, disk)
}

fn message(to: KeeperId, term: u64, message: Message) -> Input {
    Input::Messages(vec![Envelope {
        from: OTHER,
        disk: OTHER_DISK,
        to,
        term,
        message,
    }])
}

/// Waits for an output that `found` accepts.
fn wait_for<T>(outputs: &mpsc::Receiver<Output>, found: impl Fn(&Output) -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let output = outputs.recv_timeout(left).expect("an output in time");
        if let Some(value) = found(&output) {
            return value;
        }
    }
}

fn is_vote_request(output: &Output) -> Option<bool> {
    match output {
        Output::Send(envelope) => match envelope.message {
            Message::RequestVote { pre_vote, .. } => Some(pre_vote),
            _ => None,
        },
        _ => None,
    }
}

fn has_left(output: &Output) -> Option<()> {
    matches!(output, Output::LeaderChanged(None)).then_some(())
}

/// A large entry, after which the journal needs the next segment.
fn large_entry(index: u64, term: u64) -> Entry {
    let command = Command::AcceptConfig {
        version: index,
        body: vec![1; 3 << 20],
        budgets: Vec::new(),
    };
    Entry {
        position: Position { term, index },
        time_ms: 0,
        payload: Payload::Data(postcard::to_stdvec(&command).expect("encoded")),
    }
}

/// Guards against elections started by a replica that can store nothing, and against one
/// that stays away once its disk can be written again.
#[test]
fn replica_with_a_failing_disk_starts_no_elections_until_it_can_write() {
    let folder = scratch_folder("follower");
    let (id, _) = write_voter(&folder);
    let (group, outputs) = open(&folder);
    let blocked = refuse_segments(&folder);
    let append = Message::AppendEntries {
        prev_position: Position { term: 1, index: 1 },
        entries: vec![large_entry(2, 1)],
        commit_index: 1,
        round: 1,
    };
    group.send(message(id, 1, append));
    wait_for(&outputs, has_left);
    // From here on only checkpoints are refused, so that the folder can be opened.
    accept_segments(&blocked);
    let draft = folder.join("log").join("checkpoint.draft");
    fs::create_dir(&draft).expect("created");
    let until = Instant::now() + Duration::from_secs(3);
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        if let Ok(output) = outputs.recv_timeout(left) {
            assert_eq!(is_vote_request(&output), None, "an election");
        }
    }
    fs::remove_dir(&draft).expect("removed");
    wait_for(&outputs, is_vote_request);
    stop(&group);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against an election timeout without a leader when the leader's disk fails.
#[test]
fn leader_with_a_failing_disk_hands_over() {
    let folder = scratch_folder("leader");
    let (id, _) = write_voter(&folder);
    let (group, outputs) = open(&folder);
    for pre_vote in [true, false] {
        let term = wait_for(&outputs, |output| match output {
            Output::Send(envelope) if is_vote_request(output) == Some(pre_vote) => {
                Some(envelope.term)
            }
            _ => None,
        });
        let vote = Message::VoteResponse {
            pre_vote,
            granted: true,
        };
        group.send(message(id, term, vote));
    }
    let (term, index) = wait_for(&outputs, |output| match output {
        Output::Send(Envelope {
            term,
            message: Message::AppendEntries { entries, .. },
            ..
        }) => entries.last().map(|entry| (*term, entry.position.index)),
        _ => None,
    });
    let stored = Message::AppendResponse {
        match_index: Some(index),
        next_hint: 0,
        round: 1,
    };
    group.send(message(id, term, stored));
    let _blocked = refuse_segments(&folder);
    let (reply, _answer) = async_channel::bounded(1);
    group.send(Input::SubmitConfig(1, vec![1; 3 << 20], Vec::new(), reply));
    let to = wait_for(&outputs, |output| match output {
        Output::Send(envelope) => {
            matches!(envelope.message, Message::TimeoutNow).then_some(envelope.to)
        }
        Output::LeaderChanged(None) => panic!("the leader leaves without a word"),
        _ => None,
    });
    assert_eq!(to, OTHER);
    stop(&group);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against a process that ends, and so forwards no requests, because its disk
/// refuses writes at its start.
#[test]
fn process_starts_while_its_disk_refuses_writes() {
    let folder = scratch_folder("start");
    write_voter(&folder);
    let blocked = refuse_segments(&folder);
    let (group, outputs) = open(&folder);
    accept_segments(&blocked);
    wait_for(&outputs, is_vote_request);
    stop(&group);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against checkpoints in a row while most of the log waits to be committed, and
/// against a log that only grows while nothing is committed.
#[test]
fn log_is_compacted_by_bytes_and_bounded_while_nothing_commits() {
    let bound = LogBound::new(32 << 20, 160 << 20);
    let usage = LogUsage {
        applied_entries: 12,
        applied_bytes: 8 << 20,
        log_bytes: 9 << 20,
        journal_bytes: 3 << 20,
    };
    assert!(bound.is_reached(&usage), "eight of 32 MB");
    assert!(
        LogBound::new(32 << 20, 64 << 20).is_reached(&LogUsage {
            applied_bytes: 4 << 20,
            ..LogUsage::default()
        }),
        "a sixteenth of the memory"
    );
    let waiting = LogUsage {
        log_bytes: 8 << 20,
        ..LogUsage::default()
    };
    assert!(!bound.is_reached(&waiting), "nothing to compact");
    assert!(!bound.admits_command(&waiting));
    assert!(bound.admits_command(&usage), "one of nine MB waits");
}
