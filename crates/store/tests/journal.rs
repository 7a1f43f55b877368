//! Recovery after a crash at every byte, bit flips, random histories, a full quota,
//! locks and lost segments.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use store::DataFolder;
use store::Journal;
use store::JournalOptions;
use store::StoreError;
use store::error::Corruption;
use store::verify;

/// A temporary folder for one test, removed on drop.
struct ScratchFolder(PathBuf);

impl ScratchFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("store-{name}-{}", process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn only_segment(folder: &Path) -> PathBuf {
    let segments = store::journal::list_segments(folder).unwrap();
    assert_eq!(segments.len(), 1);
    segments[0].1.clone()
}

fn write_records(folder: &Path, records: &[&[u8]]) -> Vec<u64> {
    let (mut journal, _) = Journal::open(folder, JournalOptions::default()).unwrap();
    let mut ends = Vec::new();
    for record in records {
        journal.append(record).unwrap();
        journal.sync().unwrap();
        ends.push(journal.size_bytes());
    }
    journal.write_sync_marker().unwrap();
    ends
}

const RECORDS: [&[u8]; 4] = [b"first", b"second record", b"3", b"the fourth and last"];

#[test]
fn synced_records_survive_a_truncation_at_any_byte() {
    let scratch = ScratchFolder::new("kill");
    let ends = write_records(&scratch.0, &RECORDS);
    let segment = only_segment(&scratch.0);
    let bytes = fs::read(&segment).unwrap();
    for length in 0..=bytes.len() {
        fs::write(&segment, &bytes[..length]).unwrap();
        let (_, recovered) = Journal::open(&scratch.0, JournalOptions::default()).unwrap();
        let whole_records = ends.iter().filter(|end| **end <= length as u64).count();
        let found: Vec<&[u8]> = recovered.records.iter().map(Vec::as_slice).collect();
        assert_eq!(found, &RECORDS[..whole_records], "cut at {length}");
        let rest = fs::read_dir(&scratch.0).unwrap().count();
        assert_eq!(rest, 1, "a segment without a whole header is created again");
    }
}

#[test]
fn a_bit_flip_is_reported_with_file_and_offset() {
    let scratch = ScratchFolder::new("flip");
    let ends = write_records(&scratch.0, &RECORDS);
    let segment = only_segment(&scratch.0);
    let bytes = fs::read(&segment).unwrap();
    let synced = usize::try_from(*ends.last().unwrap()).unwrap();
    for at in 0..synced {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1 << (at % 8);
        fs::write(&segment, &corrupted).unwrap();
        let error = Journal::open(&scratch.0, JournalOptions::default()).unwrap_err();
        let StoreError::Corrupt { path, offset, .. } = error else {
            panic!("{error} at {at}");
        };
        assert_eq!(path, segment);
        assert!(
            offset <= at as u64,
            "offset {offset} is reported for byte {at}"
        );
        assert_eq!(
            fs::read(&segment).unwrap(),
            corrupted,
            "the file is unchanged"
        );
        assert_eq!(verify::check_journal(&scratch.0).unwrap().errors.len(), 1);
    }
}

#[test]
fn a_journal_over_its_quota_fails_and_accepts_no_more_records() {
    let scratch = ScratchFolder::new("full");
    let options = JournalOptions {
        quota_bytes: 100,
        ..JournalOptions::default()
    };
    let (mut journal, _) = Journal::open(&scratch.0, options).unwrap();
    journal.append(&[1; 20]).unwrap();
    journal.sync().unwrap();
    journal.append(&[2; 60]).unwrap();
    assert!(matches!(journal.sync(), Err(StoreError::NoSpace(_))));
    assert!(matches!(journal.append(&[3]), Err(StoreError::Poisoned)));
    assert!(matches!(journal.sync(), Err(StoreError::Poisoned)));
    drop(journal);
    let (_, recovered) = Journal::open(&scratch.0, JournalOptions::default()).unwrap();
    assert_eq!(recovered.records, vec![vec![1; 20]]);
}

#[test]
fn a_data_folder_is_locked_and_keeps_its_identity() {
    let scratch = ScratchFolder::new("lock");
    let folder = DataFolder::open(&scratch.0, 7).unwrap();
    assert_eq!(folder.identity(), 7);
    assert!(matches!(
        DataFolder::open(&scratch.0, 8),
        Err(StoreError::Locked(_))
    ));
    drop(folder);
    assert_eq!(DataFolder::open(&scratch.0, 8).unwrap().identity(), 7);
}

#[test]
fn a_missing_segment_is_reported() {
    let scratch = ScratchFolder::new("gap");
    let options = JournalOptions {
        segment_bytes: 64,
        ..JournalOptions::default()
    };
    let (mut journal, _) = Journal::open(&scratch.0, options).unwrap();
    for n in 0..9u8 {
        journal.append(&[n; 30]).unwrap();
        journal.sync().unwrap();
    }
    drop(journal);
    let segments = store::journal::list_segments(&scratch.0).unwrap();
    assert!(segments.len() >= 3);
    fs::remove_file(&segments[1].1).unwrap();
    let error = Journal::open(&scratch.0, options).unwrap_err();
    assert!(matches!(error, StoreError::MissingSegment(_)), "{error}");
}

#[test]
fn a_corrupt_checkpoint_is_reported() {
    let scratch = ScratchFolder::new("checkpoint");
    let (mut journal, _) = Journal::open(&scratch.0, JournalOptions::default()).unwrap();
    journal.append(b"a").unwrap();
    journal.checkpoint(b"state").unwrap();
    drop(journal);
    let path = scratch.0.join("checkpoint");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();
    let error = Journal::open(&scratch.0, JournalOptions::default()).unwrap_err();
    let reason = match error {
        StoreError::Corrupt { reason, .. } => reason,
        other => panic!("{other}"),
    };
    assert_eq!(reason, Corruption::Checksum);
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u8>),
    Sync,
    SyncMarker,
    Checkpoint,
    Crash(u8),
    Reopen,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..7 => Self::Append(Vec::arbitrary(g)),
            7..11 => Self::Sync,
            11 => Self::SyncMarker,
            12..14 => Self::Checkpoint,
            14 => Self::Crash(u8::arbitrary(g)),
            _ => Self::Reopen,
        }
    }
}

const SMALL_SEGMENTS: JournalOptions = JournalOptions {
    segment_bytes: 256,
    quota_bytes: 1 << 30,
    fsync: false,
};

/// Runs a history and checks each recovery against a list of the synced bytes. The
/// state is the content of all records ever written.
fn history_holds(steps: Vec<Step>) -> bool {
    let scratch = ScratchFolder::new("fuzz");
    let (mut journal, _) = Journal::open(&scratch.0, SMALL_SEGMENTS).unwrap();
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
            Step::SyncMarker => journal.write_sync_marker().unwrap(),
            Step::Checkpoint => {
                synced.append(&mut pending);
                journal.checkpoint(&synced).unwrap();
            }
            Step::Crash(_) | Step::Reopen => {
                drop(journal);
                if let Step::Crash(extra) = step {
                    append_torn_record(&scratch.0, extra);
                }
                pending.clear();
                let (opened, recovered) = Journal::open(&scratch.0, SMALL_SEGMENTS).unwrap();
                journal = opened;
                let mut state = recovered.checkpoint.unwrap_or_default();
                recovered.records.iter().for_each(|r| state.extend(r));
                assert_eq!(state, synced);
            }
        }
    }
    true
}

/// Appends the first `extra` bytes of a record, as a crash during a write leaves them.
fn append_torn_record(folder: &Path, extra: u8) {
    let segments = store::journal::list_segments(folder).unwrap();
    let (_, path) = segments.last().unwrap();
    let mut bytes = fs::read(path).unwrap();
    let mut record = Vec::new();
    store::record::encode(&mut record, 0, &[9; 300]);
    bytes.extend(&record[..usize::from(extra)]);
    fs::write(path, bytes).unwrap();
}

#[test]
fn random_histories_lose_no_synced_record() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(1_000)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}
