//! Which leases the leader takes for those of processes that still run.

use std::net::SocketAddr;

use base::Span;
use base::Time;
use fleet::mesh::Member;
use fleet::peers::PeerTable;
use gateway::group::HOLDER_TIMEOUT;
use gateway::settlement;

fn member(index: u8) -> Member {
    Member {
        run_id: u64::from(index) + 1,
        address: SocketAddr::from(([10, 0, 0, index + 1], 7_000)),
        keeper: None,
        disk: 0,
        domain: "d".to_owned(),
        bootstrapping: false,
        processor: 300,
    }
}

/// Guards against grants of a replaced machine that its teams can't spend, since the peers
/// remember its process for longer than partitions last.
#[test]
fn the_lease_of_a_silent_peer_is_not_live() {
    let mut peers = PeerTable::new(member(0));
    peers.hear(&member(1), Time(0));
    let before = Time(0) + Span::millis(HOLDER_TIMEOUT.as_millis() - 1);
    assert_eq!(settlement::peer_leases(&peers, before).len(), 1);
    let silent = Time(0) + HOLDER_TIMEOUT;
    assert!(peers.get(member(1).address).is_some(), "still remembered");
    assert!(settlement::peer_leases(&peers, silent).is_empty());
}
