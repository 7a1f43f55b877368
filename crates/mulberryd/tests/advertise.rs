//! The daemon refuses an address that can't be advertised before it loads its settings.

use std::process::Command;

#[test]
fn a_gateway_that_peers_cannot_reach_does_not_start() {
    for address in ["0.0.0.0:7000", "127.0.0.1:0", "nowhere"] {
        let output = Command::new(env!("CARGO_BIN_EXE_mulberryd"))
            .args(["--gateway", "--advertise", address])
            .output()
            .expect("the program runs");
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains("--advertise: "), "{text}");
    }
}
