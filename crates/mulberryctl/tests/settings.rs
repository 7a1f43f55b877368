//! A settings file with several faults is rejected with all of them at once, so nothing
//! starts with it.

use std::path::Path;

use daemon::Settings;

const FAULTY: &str = "
name: 7
listen: here
keepers:
  - { number: 0, address: 127.0.0.1:1, domain: a }
  - { number: 0, address: nowhere }
roles:
  keeper: { number: 1, data: d, operators: 127.0.0.1:2 }
  agent: { name: e, endpoint: 127.0.0.1:3, kind: oracle }
  watcher: {}
colour: red
";

#[test]
fn all_faults_of_a_settings_file_are_reported() {
    let faults = Settings::parse(FAULTY, Path::new(".")).unwrap_err();
    let mut found: Vec<String> = faults.iter().map(ToString::to_string).collect();
    found.sort();
    let expected = [
        "colour: unknown field",
        "domain: missing",
        "keepers[0].number: must be 1 to 4294967295",
        "keepers[1].address: expected an IP address with a port",
        "keepers[1].domain: missing",
        "keepers[1].number: must be 1 to 4294967295",
        "keepers[1].number: shares its identifier with '0'",
        "keys: missing",
        "listen: expected an IP address with a port",
        "name: expected text",
        "roles.agent.kind: expected engine or service",
        "roles.keeper.form: missing",
        "roles.watcher: unknown field",
    ];
    assert_eq!(found, expected);
}
