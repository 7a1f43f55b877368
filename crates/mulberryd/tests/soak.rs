//! Short soak runs of real processes: one seed with faults and one with planned work.
//!
//! Seeds that have failed before are added here, with a line on the cause.

use std::path::PathBuf;
use std::time::Duration;

use soak::RunSettings;

fn run_seed(seed: u64) {
    let base = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let setup = RunSettings {
        seed,
        duration: Duration::from_secs(7),
        callers: 6,
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_mulberryd")),
        folder: soak::run::run_folder(&base, seed),
        departures: false,
        series: false,
    };
    let report = soak::run(&setup).expect("the processes serve");
    assert!(report.breaches.is_empty(), "{report:?}");
    assert!(report.faults > 0);
}

#[test]
fn faults_violate_no_guarantee() {
    run_seed(1);
}

#[test]
fn planned_work_interrupts_no_request() {
    run_seed(5);
}
