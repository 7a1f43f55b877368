//! Runs the soak test with consecutive seeds, several runs at a time, and prints a line of
//! JSON for each.

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use eyre::Result;
use eyre::bail;
use soak::RunSettings;

/// The seeds, sizes and files of a series of soak runs.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The first seed.
    pub first_seed: u64,
    /// Number of runs, each with the next seed.
    pub run_count: u64,
    /// Maximum number of concurrent runs.
    pub parallel_runs: usize,
    /// The length of a run, in seconds.
    pub seconds: u64,
    /// Number of concurrent callers in a run.
    pub callers: usize,
    /// Path of the daemon program.
    pub daemon: PathBuf,
    /// Folder for the files of failed runs.
    pub folder: PathBuf,
}

/// Runs all seeds and prints a line for each.
///
/// # Errors
///
/// Fails where a run can't be started or a run violated a guarantee.
pub fn run(plan: &SoakPlan) -> Result<()> {
    let next_run = AtomicU64::new(0);
    let failed_seeds = Mutex::new(Vec::new());
    let record_failure = |seed: u64| {
        let mut failed = failed_seeds.lock().unwrap_or_else(PoisonError::into_inner);
        failed.push(seed);
    };
    thread::scope(|scope| {
        for _ in 0..plan.parallel_runs.max(1) {
            scope.spawn(|| {
                loop {
                    let run = next_run.fetch_add(1, Ordering::Relaxed);
                    if run >= plan.run_count {
                        return;
                    }
                    let seed = plan.first_seed + run;
                    let setup = RunSettings {
                        seed,
                        duration: Duration::from_secs(plan.seconds),
                        callers: plan.callers,
                        daemon_path: plan.daemon.clone(),
                        folder: soak::run::run_folder(&plan.folder, seed),
                    };
                    match soak::run(&setup) {
                        Ok(report) => {
                            if !report.breaches.is_empty() {
                                record_failure(seed);
                            }
                            println!("{}", serde_json::json!(report));
                        }
                        Err(error) => {
                            record_failure(seed);
                            println!(
                                "{}",
                                serde_json::json!({"seed": seed, "error": error.to_string()})
                            );
                        }
                    }
                }
            });
        }
    });
    let failed_seeds = failed_seeds
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    if failed_seeds.is_empty() {
        return Ok(());
    }
    bail!(
        "{} of {} runs failed: seeds {failed_seeds:?}",
        failed_seeds.len(),
        plan.run_count
    )
}
