//! How many voters the replicated log has, and when an absent one is replaced.

use std::time::Duration;

use consensus::ReplacementPolicy;
use platform::settings::NodeSettings;

/// Divisor of the time that a successor has to catch up which yields the time after which
/// its predecessor is absent. The rest is for joining, catching up and two changes of
/// members.
const ABSENCE_DIVISOR: u32 = 2;

/// Returns the policy for the losses that the settings name, with ticks of this length.
///
/// The smallest group that keeps a majority is the target. Where whole failure domains may
/// be lost, all replicas vote, because the smallest group could have too many voters in one
/// of them.
#[must_use]
pub fn replacement_policy(settings: &NodeSettings, tick: Duration) -> ReplacementPolicy {
    let tolerance = &settings.fault_tolerance;
    let min_voters = 2 * tolerance.instances + 1;
    let only_instances = tolerance.domains == 0 && tolerance.regions == 0;
    let catch_up = Duration::try_from_secs_f64(settings.bounds.catch_up_s).unwrap_or_default();
    let absence = catch_up / ABSENCE_DIVISOR;
    let ticks = absence.as_millis() / tick.as_millis().max(1);
    ReplacementPolicy {
        min_voters,
        max_voters: if only_instances {
            min_voters
        } else {
            usize::MAX
        },
        absence_ticks: u32::try_from(ticks).unwrap_or(u32::MAX),
    }
}
