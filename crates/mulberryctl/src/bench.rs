//! Loads and experiments, as JSON.

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
pub fn run(name: &str, _plan: &Plan) -> Result<()> {
    bail!("there is no experiment '{name}'")
}
