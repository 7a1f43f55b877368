//! Loads and experiments, as JSON.
//!
//! - [`budget`]: policies for budgets under partitions and deaths.
//! - [`config`]: how fast a document is in force.
//! - [`decide`]: the cost of a choice of endpoint.
//! - [`keeper`]: commits, recovery and memory of a keeper.
//! - [`machine`]: processor time and memory of this process.
//! - [`routing`]: policies for the choice of an endpoint under load and faults.
//! - [`path`]: a daemon's part of the peak through one entry and one agent.

pub mod budget;
pub mod config;
pub mod decide;
pub mod keeper;
pub mod machine;
pub mod path;
pub mod routing;

use eyre::Result;
use eyre::bail;

/// What an experiment is run with.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The length of a load, in seconds.
    pub seconds: u64,
    /// Streams at once.
    pub streams: usize,
    /// The seed.
    pub seed: u64,
}

/// Runs the experiment `name`.
///
/// # Errors
///
/// Fails where there is no such experiment or it can't be run.
pub fn run(name: &str, plan: &Plan) -> Result<()> {
    match name {
        "path" => path::run(plan),
        "budget" => budget::run(plan),
        "keeper" => keeper::run(plan),
        "config" => config::run(plan),
        "routing" => routing::run(plan),
        "decide" => decide::run(plan),
        _ => bail!("there is no experiment '{name}'"),
    }
}
