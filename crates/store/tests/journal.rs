//! Kills at every byte, flipped bits, full folders and locks.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use store::Folder;
use store::Journal;
use store::Options;
use store::StoreError;
use store::error::Damage;
use store::verify;

/// A folder of its own for each test, removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("store-{name}-{}", process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn only_segment(folder: &Path) -> PathBuf {
    let segments = store::journal::segments(folder).unwrap();
    assert_eq!(segments.len(), 1);
    segments[0].1.clone()
}

fn write(folder: &Path, records: &[&[u8]]) -> Vec<u64> {
    let (mut journal, _) = Journal::open(folder, Options::default()).unwrap();
    let mut ends = Vec::new();
    for record in records {
        journal.append(record).unwrap();
        journal.sync().unwrap();
        ends.push(journal.size());
    }
    journal.mark().unwrap();
    ends
}

const RECORDS: [&[u8]; 4] = [b"first", b"second record", b"3", b"the fourth and last"];

#[test]
fn what_was_synced_is_there_after_a_kill_at_any_byte() {
    let scratch = Scratch::new("kill");
    let ends = write(&scratch.0, &RECORDS);
    let segment = only_segment(&scratch.0);
    let bytes = fs::read(&segment).unwrap();
    for length in 0..=bytes.len() {
        fs::write(&segment, &bytes[..length]).unwrap();
        let (_, recovered) = Journal::open(&scratch.0, Options::default()).unwrap();
        let whole = ends.iter().filter(|end| **end <= length as u64).count();
        let found: Vec<&[u8]> = recovered.records.iter().map(Vec::as_slice).collect();
        assert_eq!(found, &RECORDS[..whole], "cut at {length}");
        let rest = fs::read_dir(&scratch.0).unwrap().count();
        assert_eq!(rest, 1, "the segment is made anew");
    }
}

#[test]
fn a_flipped_bit_is_refused_by_file_and_offset() {
    let scratch = Scratch::new("flip");
    let ends = write(&scratch.0, &RECORDS);
    let segment = only_segment(&scratch.0);
    let bytes = fs::read(&segment).unwrap();
    let synced = usize::try_from(*ends.last().unwrap()).unwrap();
    for at in 0..synced {
        let mut bad = bytes.clone();
        bad[at] ^= 1 << (at % 8);
        fs::write(&segment, &bad).unwrap();
        let error = Journal::open(&scratch.0, Options::default()).unwrap_err();
        let StoreError::Damaged { path, offset, .. } = error else {
            panic!("{error} at {at}");
        };
        assert_eq!(path, segment);
        assert!(offset <= at as u64, "{offset} is named for byte {at}");
        assert_eq!(fs::read(&segment).unwrap(), bad, "nothing is changed");
        assert_eq!(verify::check(&scratch.0).unwrap().faults.len(), 1);
    }
}

#[test]
fn a_full_folder_is_told_and_takes_nothing_more() {
    let scratch = Scratch::new("full");
    let options = Options {
        quota: 100,
        ..Options::default()
    };
    let (mut journal, _) = Journal::open(&scratch.0, options).unwrap();
    journal.append(&[1; 20]).unwrap();
    journal.sync().unwrap();
    journal.append(&[2; 60]).unwrap();
    assert!(matches!(journal.sync(), Err(StoreError::Full(_))));
    assert!(matches!(journal.append(&[3]), Err(StoreError::Poisoned)));
    assert!(matches!(journal.sync(), Err(StoreError::Poisoned)));
    drop(journal);
    let (_, recovered) = Journal::open(&scratch.0, Options::default()).unwrap();
    assert_eq!(recovered.records, vec![vec![1; 20]]);
}

#[test]
fn a_folder_is_held_by_one_process_and_keeps_its_identity() {
    let scratch = Scratch::new("lock");
    let folder = Folder::open(&scratch.0, 7).unwrap();
    assert_eq!(folder.identity(), 7);
    assert!(matches!(
        Folder::open(&scratch.0, 8),
        Err(StoreError::Locked(_))
    ));
    drop(folder);
    assert_eq!(Folder::open(&scratch.0, 8).unwrap().identity(), 7);
}

#[test]
fn a_lost_segment_is_noticed() {
    let scratch = Scratch::new("gap");
    let options = Options {
        segment: 64,
        ..Options::default()
    };
    let (mut journal, _) = Journal::open(&scratch.0, options).unwrap();
    for n in 0..9u8 {
        journal.append(&[n; 30]).unwrap();
        journal.sync().unwrap();
    }
    drop(journal);
    let segments = store::journal::segments(&scratch.0).unwrap();
    assert!(segments.len() >= 3);
    fs::remove_file(&segments[1].1).unwrap();
    let error = Journal::open(&scratch.0, options).unwrap_err();
    assert!(matches!(error, StoreError::Missing(_)), "{error}");
}

#[test]
fn a_damaged_checkpoint_is_refused() {
    let scratch = Scratch::new("checkpoint");
    let (mut journal, _) = Journal::open(&scratch.0, Options::default()).unwrap();
    journal.append(b"a").unwrap();
    journal.checkpoint(b"state").unwrap();
    drop(journal);
    let path = scratch.0.join("checkpoint");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = Journal::open(&scratch.0, Options::default()).unwrap_err();
    let reason = match error {
        StoreError::Damaged { reason, .. } => reason,
        other => panic!("{other}"),
    };
    assert_eq!(reason, Damage::Checksum);
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u8>),
    Sync,
    Mark,
    Checkpoint,
    Crash(u8),
    Stop,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..7 => Self::Append(Vec::arbitrary(g)),
            7..11 => Self::Sync,
            11 => Self::Mark,
            12..14 => Self::Checkpoint,
            14 => Self::Crash(u8::arbitrary(g)),
            _ => Self::Stop,
        }
    }
}

const SMALL: Options = Options {
    segment: 256,
    quota: 1 << 30,
    durable: false,
};

/// Runs a history against a plain list: the state is all records ever written.
fn history_holds(steps: Vec<Step>) -> bool {
    let scratch = Scratch::new("fuzz");
    let (mut journal, _) = Journal::open(&scratch.0, SMALL).unwrap();
    let mut synced: Vec<u8> = Vec::new();
    let mut pending: Vec<u8> = Vec::new();
    for step in steps {
        match step {
            Step::Append(bytes) if !bytes.is_empty() => {
                journal.append(&bytes).unwrap();
                pending.extend(bytes);
            }
            Step::Append(_) => {}
            Step::Sync => {
                journal.sync().unwrap();
                synced.append(&mut pending);
            }
            Step::Mark => journal.mark().unwrap(),
            Step::Checkpoint => {
                synced.append(&mut pending);
                journal.checkpoint(&synced).unwrap();
            }
            Step::Crash(_) | Step::Stop => {
                drop(journal);
                if let Step::Crash(extra) = step {
                    tear(&scratch.0, extra);
                }
                pending.clear();
                let (opened, recovered) = Journal::open(&scratch.0, SMALL).unwrap();
                journal = opened;
                let mut state = recovered.checkpoint.unwrap_or_default();
                recovered.records.iter().for_each(|r| state.extend(r));
                assert_eq!(state, synced);
            }
        }
    }
    true
}

/// Adds the first bytes of a record that a crash cut short.
fn tear(folder: &Path, extra: u8) {
    let segments = store::journal::segments(folder).unwrap();
    let (_, path) = segments.last().unwrap();
    let mut bytes = fs::read(path).unwrap();
    let mut record = Vec::new();
    store::record::encode(&mut record, 0, &[9; 300]);
    bytes.extend(&record[..usize::from(extra)]);
    fs::write(path, bytes).unwrap();
}

#[test]
fn random_histories_lose_nothing_that_was_synced() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(1_000)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}
