//! The replicated state: the addresses of replicas, evacuations and the numbers of entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use base::KeeperId;
use gateway::replicated_state::Command;
use gateway::replicated_state::Outcome;
use gateway::replicated_state::ReplicatedState;
use ledger::Allowances;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use routing::evacuation::EvacuationSet;

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

/// A data folder of a build without evacuations stays readable.
#[test]
fn snapshot_of_an_earlier_build_is_readable() {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let addresses = BTreeMap::from([(address, KeeperId(4))]);
    let earlier = (7_u64, vec![1_u8, 2], Allowances::default(), &addresses);
    let bytes = postcard::to_stdvec(&earlier).expect("encoded");
    let mut state = ReplicatedState::decode(&bytes).expect("readable");
    assert_eq!(
        (state.config_version, &state.config_body[..]),
        (7, &[1, 2][..])
    );
    assert_eq!(state.replica_addresses, addresses);
    assert_eq!(state.evacuations, EvacuationSet::default());
    let domain = "a".to_owned();
    let evacuated = true;
    state.apply(Command::SetEvacuation { domain, evacuated }, 0);
    state.apply(Command::NumberEntry { address }, 0);
    let bytes = postcard::to_stdvec(&state).expect("encoded");
    assert_eq!(ReplicatedState::decode(&bytes), Ok(state));
    assert!(ReplicatedState::decode(&bytes[..bytes.len() - 1]).is_err());
}

/// A data folder of a build that kept no departures stays readable, and departures are part of a
/// snapshot.
#[test]
fn departures_survive_a_snapshot_and_are_absent_from_earlier_ones() {
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let addresses = BTreeMap::from([(address, KeeperId(4))]);
    let numbers = BTreeMap::from([(address, 2_u32)]);
    let evacuations = EvacuationSet::default();
    let allowances = Allowances::default();
    let earlier = (
        7_u64,
        vec![1_u8],
        allowances,
        &addresses,
        &evacuations,
        &numbers,
    );
    let bytes = postcard::to_stdvec(&earlier).expect("encoded");
    let mut state = ReplicatedState::decode(&bytes).expect("readable");
    assert_eq!(state.entry_numbers, numbers);
    assert!(state.departures.is_empty());
    let left = EngineAnnouncement {
        id: "e".to_owned(),
        started_ms: 5,
        sequence: 1,
        service: "llm".to_owned(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        domain: "a".to_owned(),
        slots: 8,
        phase: Phase::Gone,
        cold_ms: 0,
    };
    let outcome = state.apply(Command::RecordDeparture(left.clone()), 9);
    assert_eq!(outcome, Outcome::DepartureRecorded(true));
    let bytes = postcard::to_stdvec(&state).expect("encoded");
    let decoded = ReplicatedState::decode(&bytes).expect("readable");
    assert!(decoded.departures.covers(&left));
    assert_eq!(decoded, state);
}

/// No two entries ever have the same number, and one that restarts keeps its own.
#[test]
fn entries_keep_their_numbers() {
    let mut state = ReplicatedState::default();
    let mut number = |port: u16| {
        let address = SocketAddr::from(([10, 0, 0, 1], port));
        state.apply(Command::NumberEntry { address }, 0)
    };
    let numbers: Vec<Outcome> = [5, 6, 5, 7, 6].into_iter().map(&mut number).collect();
    let expected = [0, 1, 0, 2, 1].map(Outcome::EntryNumbered);
    assert_eq!(numbers, expected);
}
