//! Short soak runs of real processes: one seed with faults, one with planned work, one with
//! faults while engines leave, and one in which all processes are killed besides.
//!
//! Seeds that have failed before are added here, with a line on the cause.

use std::path::PathBuf;
use std::time::Duration;

use soak::RunSettings;

/// Plays a seed; `departures` and `blackouts` add engines that leave and kills of all processes.
fn run_seed(seed: u64, seconds: u64, departures: bool, blackouts: bool) {
    let base = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let setup = RunSettings {
        seed,
        duration: Duration::from_secs(seconds),
        callers: 6,
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_mulberryd")),
        folder: soak::run::run_folder(&base, seed),
        departures,
        series: false,
        blackouts,
    };
    let report = soak::run(&setup).expect("the processes serve");
    assert!(report.breaches.is_empty(), "{report:?}");
    assert!(report.faults > 0);
}

#[test]
fn faults_violate_no_guarantee() {
    run_seed(1, 7, false, false);
}

#[test]
fn planned_work_interrupts_no_request() {
    run_seed(5, 7, false, false);
}

/// Guards against engines that have left and are used again, whatever disturbs the processes.
#[test]
fn engines_that_have_left_get_nothing_more() {
    run_seed(2, 20, true, false);
}

/// Guards against what is lost with all processes: departures of engines, configurations, tokens.
#[test]
fn engines_that_have_left_get_nothing_more_after_blackouts() {
    run_seed(3, 24, true, true);
}
