//! Load tests and experiments, run by name, with results printed as JSON.
//!
//! - [`budget`]: compares budget policies under partitions and entry crashes.
//! - [`config`]: propagation, size and replay of configuration documents.
//! - [`decide`]: the time to choose an endpoint.
//! - [`keeper`]: commit rate, recovery time and memory of a keeper.
//! - [`path`]: one daemon's share of the peak load through one entry and one agent.
//! - [`process_stats`]: CPU time and memory of this process.
//! - [`routing`]: compares endpoint selection policies under load and faults.

pub mod budget;
pub mod config;
pub mod decide;
pub mod keeper;
pub mod path;
pub mod process_stats;
pub mod routing;

use eyre::Result;
use eyre::bail;

/// Options of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct BenchOptions {
    /// Duration of a load, in seconds.
    pub load_secs: u64,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Seed of the random generators.
    pub seed: u64,
}

/// Runs the experiment `name`.
///
/// # Errors
///
/// Returns an error if there is no such experiment or if it fails.
pub fn run(name: &str, options: &BenchOptions) -> Result<()> {
    match name {
        "path" => path::run(options),
        "budget" => budget::run(options),
        "keeper" => keeper::run(options),
        "config" => config::run(options),
        "routing" => routing::run(options),
        "decide" => decide::run(options),
        _ => bail!("there is no experiment '{name}'"),
    }
}
