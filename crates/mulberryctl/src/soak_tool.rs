//! Runs of the soak, several at a time, with a line of JSON for each.

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

/// What is run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The first seed.
    pub seed: u64,
    /// How many seeds.
    pub runs: u64,
    /// Runs at the same time.
    pub jobs: usize,
    /// The length of a run, in seconds.
    pub seconds: u64,
    /// Callers of a run.
    pub callers: usize,
    /// The program.
    pub daemon: PathBuf,
    /// Where the files of failed runs stay.
    pub folder: PathBuf,
}

/// Makes the runs and prints a line for each.
///
/// # Errors
///
/// Fails where a run can't be made or a promise was broken.
pub fn run(plan: &SoakPlan) -> Result<()> {
    let next = AtomicU64::new(0);
    let failed = Mutex::new(Vec::new());
    let fail = |seed: u64| {
        let mut failed = failed.lock().unwrap_or_else(PoisonError::into_inner);
        failed.push(seed);
    };
    thread::scope(|scope| {
        for _ in 0..plan.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= plan.runs {
                        return;
                    }
                    let seed = plan.seed + number;
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
                                fail(seed);
                            }
                            println!("{}", serde_json::json!(report));
                        }
                        Err(error) => {
                            fail(seed);
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
    let failed = failed.into_inner().unwrap_or_else(PoisonError::into_inner);
    if failed.is_empty() {
        return Ok(());
    }
    bail!(
        "{} of {} runs failed: seeds {failed:?}",
        failed.len(),
        plan.runs
    )
}
