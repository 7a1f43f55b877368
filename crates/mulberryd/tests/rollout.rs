//! Rollouts of large configurations at real processes with limited links and processors.

use std::path::PathBuf;
use std::time::Duration;

use soak::plan::PeerLinkMode;
use soak::rollout;
use soak::rollout::GatewayShape;
use soak::rollout::RolloutReport;
use soak::rollout::RolloutSettings;
use soak::timeline;
use soak::timeline::Action;
use soak::timeline::TimedAction;

/// Number of gateways, three of them with a disk.
const GATEWAYS: usize = 8;

/// Number of gateways in a run with restarts, three of them with a disk.
const RESTART_GATEWAYS: usize = 5;

fn run_actions(
    seed: u64,
    seconds: u64,
    gateways: Vec<GatewayShape>,
    actions: Vec<TimedAction>,
) -> RolloutReport {
    let base = std::env::temp_dir().join(format!("rollout-{}", std::process::id()));
    let settings = RolloutSettings {
        seed,
        duration: Duration::from_secs(seconds),
        callers: 4,
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_mulberryd")),
        folder: soak::run::run_folder(&base, seed),
        gateways,
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
    let gateways = rollout::site_gateways(GATEWAYS);
    let report = run_actions(29, seconds, gateways, actions);
    assert!(report.breaches.is_empty(), "{report:?}");
    assert!(report.route_requests > 0);
}

/// Guards against a process that rejects requests by an outdated configuration: after its
/// start it reaches only a peer that was cut off during the last change.
#[test]
fn a_restarted_process_does_not_reject_by_an_unconfirmed_configuration() {
    let (outdated, restarted) = (RESTART_GATEWAYS - 2, RESTART_GATEWAYS - 1);
    let core = (0..RESTART_GATEWAYS).filter(|n| ![outdated, restarted].contains(n));
    let core: Vec<usize> = core.collect();
    let actions = vec![
        (500, Action::Link(outdated, PeerLinkMode::Cut)),
        (1_000, Action::Change),
        (6_000, Action::Kill(core.clone())),
        (6_000, Action::Kill(vec![restarted])),
        (6_500, Action::Link(outdated, PeerLinkMode::Open)),
        (6_500, Action::Start(vec![restarted])),
        (11_000, Action::Start(core)),
    ];
    let gateways = rollout::unlimited_gateways(RESTART_GATEWAYS);
    let report = run_actions(30, 14, gateways, actions);
    assert!(report.breaches.is_empty(), "{report:?}");
    assert!(report.acks.count > 1, "{report:?}");
}
