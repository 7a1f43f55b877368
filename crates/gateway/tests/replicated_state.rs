//! The replicated state: the addresses of replicas.

use std::net::SocketAddr;

use base::KeeperId;
use gateway::replicated_state::Command;
use gateway::replicated_state::Outcome;
use gateway::replicated_state::ReplicatedState;

/// Guards against a wait for a timeout after a lost disk: its process restarts
/// immediately with an empty disk, and the earlier replica at its address is known to be
/// lost.
#[test]
fn replica_displaces_earlier_one_at_its_address() {
    let mut state = ReplicatedState::default();
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    for id in 1..=3 {
        let command = Command::RecordAddress {
            replica: KeeperId(id),
            address: address(u16::try_from(id).expect("small")),
        };
        assert_eq!(state.apply(command, 0), Outcome::AddressRecorded);
    }
    assert_eq!(state.displaced_replica(KeeperId(2), address(2)), None);
    assert_eq!(state.displaced_replica(KeeperId(9), address(7)), None);
    assert_eq!(
        state.displaced_replica(KeeperId(9), address(2)),
        Some(KeeperId(2))
    );
    let command = Command::RecordAddress {
        replica: KeeperId(9),
        address: address(2),
    };
    state.apply(command, 1);
    assert_eq!(state.displaced_replica(KeeperId(9), address(2)), None);
}
