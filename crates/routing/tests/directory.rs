//! Announcements that arrive late, twice, out of order or after their run has ended.

use std::net::SocketAddrV4;

use base::Time;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use routing::Directory;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;
use routing::directory::MAX_ENGINES;
use routing::directory::Phase;

fn announcement(id: &str, started_ms: u64, sequence: u64, phase: Phase) -> EngineAnnouncement {
    EngineAnnouncement {
        id: id.to_owned(),
        started_ms,
        sequence,
        service: "llm".to_owned(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        domain: "a".to_owned(),
        slots: 8,
        phase,
        cold_ms: 0,
    }
}

#[test]
fn late_announcement_does_not_make_a_draining_engine_ready() {
    let mut directory = Directory::default();
    let now = Time(1);
    assert_eq!(
        directory.apply_announcement(announcement("e", 5, 1, Phase::Ready), now),
        DirectoryUpdate::Changed
    );
    assert_eq!(
        directory.apply_announcement(announcement("e", 5, 3, Phase::Draining), now),
        DirectoryUpdate::Changed
    );
    assert_eq!(
        directory.apply_announcement(announcement("e", 5, 2, Phase::Ready), now),
        DirectoryUpdate::Stale
    );
    assert_eq!(
        directory.apply_announcement(announcement("e", 5, 4, Phase::Ready), now),
        DirectoryUpdate::Stale
    );
    assert!(directory.mark_gone("e", Some(5), now).is_some());
    assert_eq!(
        directory.apply_announcement(announcement("e", 5, 9, Phase::Ready), now),
        DirectoryUpdate::Stale
    );
    // A new run with the same identifier starts a new sequence.
    assert_eq!(
        directory.apply_announcement(announcement("e", 6, 1, Phase::Ready), now),
        DirectoryUpdate::Changed
    );
}

#[test]
fn departure_of_an_earlier_run_has_no_effect() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("e", 6, 1, Phase::Ready), Time(1));
    assert!(directory.mark_gone("e", Some(5), Time(2)).is_none());
    assert_eq!(directory.get("e").unwrap().announcement.phase, Phase::Ready);
}

/// Another engine reuses the address of a crashed engine while announcements of the
/// crashed engine are still in flight.
#[test]
fn latest_run_owns_the_address() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("old", 5, 1, Phase::Ready), Time(1));
    directory.apply_announcement(announcement("new", 9, 1, Phase::Ready), Time(2));
    assert_eq!(
        directory.apply_announcement(announcement("old", 5, 7, Phase::Ready), Time(3)),
        DirectoryUpdate::Stale
    );
    let old = directory.get("old").unwrap().clone();
    let new = directory.get("new").unwrap().clone();
    assert!(!directory.is_current(&old));
    assert!(directory.is_current(&new));
}

#[derive(Clone, Debug)]
struct ArbitraryAnnouncement(u64, u64, u8);

impl Arbitrary for ArbitraryAnnouncement {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(
            u64::arbitrary(g) % 3,
            u64::arbitrary(g) % 6,
            u8::arbitrary(g) % 3,
        )
    }
}

/// Every order of the same announcements results in the same run and phase.
#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn result_is_independent_of_order(announcements: Vec<ArbitraryAnnouncement>, seed: u64) -> bool {
    let apply_all = |announcements: &[ArbitraryAnnouncement]| {
        let mut directory = Directory::default();
        for ArbitraryAnnouncement(started_ms, sequence, phase) in announcements {
            let phase = [Phase::Ready, Phase::Draining, Phase::Gone][usize::from(*phase)];
            directory.apply_announcement(announcement("e", *started_ms, *sequence, phase), Time(1));
        }
        let entry = directory.get("e");
        entry.map(|engine| (engine.announcement.started_ms, engine.announcement.phase))
    };
    let mut shuffled = announcements.clone();
    fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
    apply_all(&announcements) == apply_all(&shuffled)
}

#[test]
fn announcement_order_does_not_change_the_result() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 3))
        .tests(2_000)
        .quickcheck(result_is_independent_of_order as fn(Vec<ArbitraryAnnouncement>, u64) -> bool);
}

/// An entry of a service that isn't configured names a sound engine's identifier or address.
#[test]
fn unconfigured_services_displace_no_engine() {
    let mut directory = Directory::default();
    directory.set_services(["llm".to_owned()].into_iter().collect());
    let now = Time(1);
    directory.apply_announcement(announcement("e", 5, 1, Phase::Ready), now);
    let odd = |id| EngineAnnouncement {
        service: "nobody".to_owned(),
        ..announcement(id, 9, 9, Phase::Ready)
    };
    let update = directory.apply_announcement(odd("e"), now);
    assert_eq!(update, DirectoryUpdate::Rejected);
    directory.apply_announcement(odd("f"), now);
    assert!(directory.is_current(directory.get("e").unwrap()));
    let next = directory.apply_announcement(announcement("e", 5, 2, Phase::Ready), now);
    assert_eq!(next, DirectoryUpdate::Refreshed);
    // The engine of a service that is configured later is known then.
    directory.set_services(["nobody".to_owned()].into_iter().collect());
    assert!(directory.is_current(directory.get("f").unwrap()));
}

#[test]
fn identifiers_without_end_are_not_all_recorded() {
    let mut directory = Directory::default();
    directory.apply_announcement(announcement("e", 5, 1, Phase::Ready), Time(1));
    for n in 0..20_000_u32 {
        let odd = EngineAnnouncement {
            address: SocketAddrV4::new(n.into(), 80),
            ..announcement(&n.to_string(), 5, 1, Phase::Ready)
        };
        directory.apply_announcement(odd, Time(2));
    }
    assert!(directory.iter().count() < 5_000);
    let known = directory.apply_announcement(announcement("e", 5, 2, Phase::Ready), Time(3));
    assert_eq!(known, DirectoryUpdate::Refreshed);
    directory.expire(Time(200_000_000));
    let fresh = directory.apply_announcement(announcement("g", 5, 1, Phase::Ready), Time(4));
    assert_eq!(fresh, DirectoryUpdate::Changed);
}

/// Guards against an announcement that is taken for recorded though there is no room for it.
#[test]
fn engines_beyond_the_bound_are_rejected_in_each_phase() {
    let mut directory = Directory::default();
    let engine = |n: usize, phase| {
        let [.., high, low] = n.to_be_bytes();
        EngineAnnouncement {
            address: SocketAddrV4::new([10, 0, high, low].into(), 80),
            ..announcement(&format!("i-{n}"), 1, 1, phase)
        }
    };
    for n in 0..MAX_ENGINES {
        let update = directory.apply_announcement(engine(n, Phase::Ready), Time(1));
        assert_eq!(update, DirectoryUpdate::Changed, "engine {n}");
    }
    for phase in [Phase::Ready, Phase::Draining, Phase::Gone] {
        let update = directory.apply_announcement(engine(MAX_ENGINES, phase), Time(1));
        assert_eq!(update, DirectoryUpdate::Rejected, "{phase:?}");
    }
    assert!(directory.mark_gone("i-7", Some(1), Time(1)).is_some());
}
