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
use soak::SoakError;
use soak::replacements;
use soak::replacements::ReplacementSettings;
use soak::rollout;
use soak::rollout::RolloutSettings;
use soak::timeline;

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
    /// Whether engines leave and ask for pauses.
    pub departures: bool,
    /// Whether planned operations also come in series that overlap.
    pub series: bool,
    /// Whether all processes are also killed at the same time.
    pub blackouts: bool,
    /// The rollout of large configurations, instead of the run with faults.
    pub rollout: Option<RolloutPlan>,
    /// Number of machines that are replaced, instead of the run with faults.
    pub replacements: Option<usize>,
}

/// Sizes of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutPlan {
    /// Number of gateways.
    pub gateways: usize,
    /// Routes that a large configuration adds.
    pub block_routes: usize,
    /// Whether links and processors are limited.
    pub limited: bool,
    /// Whether processes are killed and restarted, and links cut, between the changes.
    pub restarts: bool,
}

/// The JSON line of a run, and whether it broke no rule.
type Outcome = Result<(serde_json::Value, bool), SoakError>;

fn run_faults(plan: &SoakPlan, seed: u64) -> Outcome {
    let report = soak::run(&RunSettings {
        seed,
        duration: Duration::from_secs(plan.seconds),
        callers: plan.callers,
        daemon_path: plan.daemon.clone(),
        folder: soak::run::run_folder(&plan.folder, seed),
        departures: plan.departures,
        series: plan.series,
        blackouts: plan.blackouts,
    })?;
    Ok((serde_json::json!(report), report.breaches.is_empty()))
}

fn run_rollout(plan: &SoakPlan, seed: u64, sizes: RolloutPlan) -> Outcome {
    let report = rollout::run(&RolloutSettings {
        seed,
        duration: Duration::from_secs(plan.seconds),
        callers: plan.callers,
        daemon_path: plan.daemon.clone(),
        folder: soak::run::run_folder(&plan.folder, seed),
        gateways: if sizes.limited {
            rollout::site_gateways(sizes.gateways)
        } else {
            rollout::unlimited_gateways(sizes.gateways)
        },
        block_routes: sizes.block_routes,
        actions: timeline::generate(seed, plan.seconds * 1_000, sizes.gateways, sizes.restarts),
    })?;
    Ok((serde_json::json!(report), report.breaches.is_empty()))
}

fn run_replacements(plan: &SoakPlan, seed: u64, count: usize) -> Outcome {
    let report = replacements::run(&ReplacementSettings {
        seed,
        replacements: replacements::generate(seed, count),
        callers: plan.callers,
        daemon_path: plan.daemon.clone(),
        folder: soak::run::run_folder(&plan.folder, seed),
    })?;
    Ok((serde_json::json!(report), report.breaches.is_empty()))
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
                    let outcome = match (plan.rollout, plan.replacements) {
                        (Some(sizes), _) => run_rollout(plan, seed, sizes),
                        (None, Some(count)) => run_replacements(plan, seed, count),
                        (None, None) => run_faults(plan, seed),
                    };
                    match outcome {
                        Ok((report, sound)) => {
                            if !sound {
                                record_failure(seed);
                            }
                            println!("{report}");
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
