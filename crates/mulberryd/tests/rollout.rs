//! Rollouts of large configurations at real processes with limited links and processors.

use std::path::PathBuf;
use std::time::Duration;

use soak::rollout;
use soak::rollout::RolloutReport;
use soak::rollout::RolloutSettings;
use soak::timeline;
use soak::timeline::TimedAction;

/// Number of gateways, three of them with a disk.
const GATEWAYS: usize = 8;

fn run_actions(name: &str, seed: u64, seconds: u64, actions: Vec<TimedAction>) -> RolloutReport {
    let base = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    let settings = RolloutSettings {
        seed,
        duration: Duration::from_secs(seconds),
        callers: 4,
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_mulberryd")),
        folder: soak::run::run_folder(&base, seed),
        gateways: rollout::site_gateways(GATEWAYS),
        block_routes: rollout::BLOCK_ROUTES,
        actions,
    };
    rollout::run(&settings).expect("the processes serve")
}

/// Guards against late, refused or repeatedly lost configurations of 0.66 MB while nothing
/// is disturbed.
#[test]
fn a_large_configuration_is_in_force_at_every_gateway_in_time() {
    let seconds = 20;
    let actions = timeline::generate(29, seconds * 1_000, GATEWAYS, false);
    let report = run_actions("rollout", 29, seconds, actions);
    println!("{report:?}");
    assert!(report.breaches.is_empty(), "{report:?}");
    assert!(report.route_requests > 0);
}
