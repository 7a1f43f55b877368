//! Queues and journals that are bounded in bytes.

use std::fs;
use std::process;
use std::sync::mpsc::TryRecvError;

use gateway::input_queue;
use gateway::input_queue::SendError;
use gateway::witness_log::WitnessLog;
use ledger::allowance::HighWaterMark;
use store::JournalOptions;

/// Guards against a process that runs out of memory while its disk hangs and other
/// replicas send it configurations.
#[test]
fn inputs_that_wait_for_the_disk_are_bounded_in_bytes() {
    let (sender, receiver) = input_queue::channel(1_000);
    assert_eq!(sender.send(1, 5_000), Ok(()), "alone");
    assert_eq!(sender.send(2, 1), Err(SendError::Full));
    assert_eq!(sender.send(3, 0), Ok(()), "an input that must not be lost");
    assert_eq!(receiver.try_recv(), Ok(1));
    assert_eq!(sender.send(4, 600), Ok(()));
    assert_eq!(sender.send(5, 600), Err(SendError::Full));
    assert_eq!(receiver.try_recv(), Ok(3));
    assert_eq!(receiver.try_recv(), Ok(4));
    assert_eq!(receiver.try_recv(), Err(TryRecvError::Empty));
    drop(receiver);
    assert_eq!(sender.send(6, 1), Err(SendError::Stopped));
}

/// Guards against a witness that can't record any more because marks with many teams fill
/// its journal before their number compacts it.
#[test]
fn marks_of_many_teams_do_not_fill_the_journal_of_a_witness() {
    let folder = std::env::temp_dir().join(format!("witness-marks-{}", process::id()));
    let _ = fs::remove_dir_all(&folder);
    let options = JournalOptions {
        segment_bytes: 64 << 10,
        quota_bytes: 256 << 10,
        fsync: false,
    };
    let mut log = WitnessLog::open(&folder, options).expect("opened");
    for round in 1..=1_000 {
        let limits = (0..100)
            .map(|team| (format!("team-{team}"), round))
            .collect();
        let mark = HighWaterMark { lease: 1, limits };
        assert!(log.record_mark(&mark).expect("recorded"));
        log.sync(|_| false)
            .unwrap_or_else(|error| panic!("round {round}: {error}"));
    }
    drop(log);
    let mut log = WitnessLog::open(&folder, options).expect("opened");
    let opened = log.fence(1).expect("fenced");
    assert_eq!(opened.len(), 100);
    assert!(opened.iter().all(|(_, limit)| *limit == 1_000));
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against a witness whose checkpoint grows with each lease that others settled.
#[test]
fn closed_leases_that_were_not_fenced_here_are_dropped() {
    let folder = std::env::temp_dir().join(format!("witness-closed-{}", process::id()));
    let _ = fs::remove_dir_all(&folder);
    let options = JournalOptions {
        segment_bytes: 16 << 10,
        quota_bytes: 64 << 10,
        fsync: false,
    };
    let mut log = WitnessLog::open(&folder, options).expect("opened");
    for lease in 1..=1_000_u64 {
        let limits = (0..10).map(|team| (format!("team-{team}"), 1)).collect();
        log.record_mark(&HighWaterMark { lease, limits })
            .expect("recorded");
        log.sync(|closed| closed < lease).expect("synced");
    }
    let kept = fs::metadata(folder.join("checkpoint")).expect("written");
    assert!(kept.len() < 1_000, "{} bytes", kept.len());
    let _ = fs::remove_dir_all(&folder);
}

/// Guards against an entry that spends tokens of a closed lease: the witness that had fenced
/// it accepted its marks again after a checkpoint.
#[test]
fn closed_leases_stay_fenced_after_a_checkpoint() {
    let folder = std::env::temp_dir().join(format!("witness-fenced-{}", process::id()));
    let _ = fs::remove_dir_all(&folder);
    let options = JournalOptions {
        segment_bytes: 16 << 10,
        quota_bytes: 64 << 10,
        fsync: false,
    };
    let mark = |lease| HighWaterMark {
        lease,
        limits: vec![("team".to_owned(), 50)],
    };
    let mut log = WitnessLog::open(&folder, options).expect("opened");
    assert!(log.record_mark(&mark(7)).expect("recorded"));
    assert_eq!(log.fence(7).expect("fenced"), [("team".to_owned(), 50)]);
    // Enough records of another lease for a checkpoint.
    for _ in 0..5_000 {
        assert!(log.record_mark(&mark(8)).expect("recorded"));
        log.sync(|closed| closed == 7).expect("synced");
    }
    assert!(!log.record_mark(&mark(7)).expect("answered"), "in memory");
    drop(log);
    let mut log = WitnessLog::open(&folder, options).expect("opened");
    assert!(!log.record_mark(&mark(7)).expect("answered"), "on disk");
    let _ = fs::remove_dir_all(&folder);
}
