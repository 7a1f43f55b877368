//! The replicated state: where replicas have their disks.

use std::net::SocketAddr;

use base::KeeperId;
use gateway::record::Command;
use gateway::record::Outcome;
use gateway::record::Record;

/// A disk is lost and its process starts again at once with an empty one: the earlier
/// replica is known to be lost, without waiting for its silence.
#[test]
fn a_replica_at_the_place_of_another_displaces_it() {
    let mut record = Record::default();
    let place = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    for id in 1..=3 {
        let command = Command::Place {
            replica: KeeperId(id),
            address: place(u16::try_from(id).expect("small")),
        };
        assert_eq!(record.apply(command, 0), Outcome::Placed);
    }
    assert_eq!(record.displaced(KeeperId(2), place(2)), None);
    assert_eq!(record.displaced(KeeperId(9), place(7)), None);
    assert_eq!(record.displaced(KeeperId(9), place(2)), Some(KeeperId(2)));
    let command = Command::Place {
        replica: KeeperId(9),
        address: place(2),
    };
    record.apply(command, 1);
    assert_eq!(record.displaced(KeeperId(9), place(2)), None);
}
