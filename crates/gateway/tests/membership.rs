//! The number of voters and the time after which one is replaced, from the settings.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use gateway::group::TICK_INTERVAL;
use gateway::membership;
use platform::settings::NodeSettings;
use platform::test_support;
use platform::test_support::NodeConfig;

/// Guards against replacements that take longer than a successor has: after that time the
/// next machine may be lost.
#[test]
fn successor_replaces_its_predecessor_in_the_time_it_has_to_catch_up() {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 1);
    let text = test_support::settings_toml(&NodeConfig {
        name: "x",
        domain: "a",
        callers: address,
        readiness: address,
        control: address,
        port: 1,
        seeds: &[],
        bootstrap: false,
        data_dir: None,
    });
    let mut settings: NodeSettings = toml::from_str(&text).expect("settings");
    settings.fault_tolerance.instances = 2;
    for catch_up_s in [2.0, 4.0, 9.5] {
        settings.bounds.catch_up_s = catch_up_s;
        let policy = membership::replacement_policy(&settings, TICK_INTERVAL);
        assert_eq!((policy.min_voters, policy.max_voters), (5, 5));
        let absence = TICK_INTERVAL * policy.absence_ticks;
        assert!(
            absence <= Duration::from_secs_f64(catch_up_s / 2.0),
            "{absence:?}"
        );
        assert!(
            absence >= Duration::from_secs_f64(catch_up_s / 3.0),
            "{absence:?}"
        );
    }
    settings.fault_tolerance.domains = 1;
    let policy = membership::replacement_policy(&settings, TICK_INTERVAL);
    assert_eq!(policy.max_voters, usize::MAX, "all replicas vote");
}
