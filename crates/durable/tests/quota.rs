//! A log whose journal has reached its quota.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use base::KeeperId;
use consensus::Entry;
use consensus::HardState;
use consensus::LogWrite;
use consensus::Members;
use consensus::Payload;
use consensus::Position;
use consensus::Replica;
use consensus::log::Log;
use durable::LogStore;
use store::JournalOptions;

const QUOTA: u64 = 64 << 10;
const ENTRY_BYTES: usize = 8 << 10;

const OPTIONS: JournalOptions = JournalOptions {
    segment_bytes: 16 << 10,
    quota_bytes: QUOTA,
    fsync: false,
};

fn scratch_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("durable-{name}-{}", process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn entry(index: u64) -> Entry {
    Entry {
        position: Position { term: 1, index },
        time_ms: 0,
        payload: Payload::Data(vec![7; ENTRY_BYTES]),
    }
}

fn replica(log: Log) -> Replica {
    Replica::new(KeeperId(1), 1, HardState::default(), log, 1)
}

/// Writes the entries up to `last`, one at a time; returns the largest size of the folder.
fn write_entries(folder: &Path, last: u64) -> u64 {
    let (mut store, recovered) =
        LogStore::open(folder, Members::default(), OPTIONS).expect("opened");
    let mut log = recovered.log;
    let mut largest = 0;
    for index in log.last_position().index + 1..=last {
        log.push(entry(index));
        let writes = [LogWrite::Append(entry(index))];
        let written = store.write(&writes, &replica(log.clone()));
        written.unwrap_or_else(|error| panic!("entry {index}: {error}"));
        largest = largest.max(store.journal_bytes());
    }
    largest
}

fn last_index(folder: &Path) -> u64 {
    let (_, recovered) = LogStore::open(folder, Members::default(), OPTIONS).expect("opened");
    recovered.log.last_position().index
}

/// Guards against a log that can't be written any more, also after a restart, because its
/// journal has reached its quota.
#[test]
fn checkpoint_takes_the_place_of_writes_beyond_the_quota() {
    let folder = scratch_folder("quota");
    let largest = write_entries(&folder, 20);
    assert!(largest <= QUOTA, "{largest} bytes");
    assert_eq!(last_index(&folder), 20, "all entries are recovered");
    write_entries(&folder, 30);
    assert_eq!(last_index(&folder), 30);
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against a full journal that could only be compacted after a write: the disk has
/// no room for a checkpoint of the whole log.
#[test]
fn reserve_takes_writes_while_there_is_no_room_for_a_checkpoint() {
    let folder = scratch_folder("reserve");
    write_entries(&folder, 7);
    let (mut store, recovered) =
        LogStore::open(&folder, Members::default(), OPTIONS).expect("opened");
    // Each write to this device fails because no space is left.
    symlink("/dev/full", folder.join("checkpoint.draft")).expect("linked");
    let mut log = recovered.log;
    log.push(entry(8));
    let writes = [LogWrite::Append(entry(8))];
    store
        .write(&writes, &replica(log))
        .expect("the reserve takes the entry");
    assert!(store.journal_bytes() > QUOTA);
    drop(store);
    assert_eq!(last_index(&folder), 8);
    let _ = fs::remove_dir_all(&folder);
}
