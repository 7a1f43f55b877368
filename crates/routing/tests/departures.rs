//! The committed departures of engines, in any order of their records.

use std::net::SocketAddrV4;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use routing::Departures;
use routing::departures::DEPARTURE_TTL;
use routing::departures::MAX_DEPARTURES;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;

fn announcement(id: &str, started_ms: u64, phase: Phase) -> EngineAnnouncement {
    EngineAnnouncement {
        id: id.to_owned(),
        started_ms,
        sequence: 1,
        service: "llm".to_owned(),
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
        domain: "a".to_owned(),
        slots: 8,
        phase,
        cold_ms: 0,
    }
}

/// Guards against a departure that an older one, or an earlier run, takes back.
#[test]
fn the_latest_run_and_phase_of_an_engine_stays_whatever_comes_first() {
    fn check(mut records: Vec<(u8, bool)>) -> bool {
        let mut departures = Departures::default();
        records.truncate(12);
        for &(run, gone) in &records {
            let phase = if gone { Phase::Gone } else { Phase::Draining };
            departures.record(announcement("e", run.into(), phase), 0);
        }
        let latest = records.iter().max();
        let expected = latest.map(|&(run, gone)| (u64::from(run), gone));
        let kept = departures.to_vec();
        let kept = kept
            .first()
            .map(|kept| (kept.started_ms, kept.phase == Phase::Gone));
        kept == expected && departures.len() <= 1
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 50))
        .quickcheck(check as fn(Vec<(u8, bool)>) -> bool);
}

/// Guards against a committed departure that is proposed again with each heartbeat.
#[test]
fn a_repeated_departure_is_covered_and_one_that_advances_is_not() {
    let mut departures = Departures::default();
    assert!(!departures.covers(&announcement("e", 5, Phase::Draining)));
    assert!(departures.record(announcement("e", 5, Phase::Draining), 0));
    assert!(departures.covers(&announcement("e", 5, Phase::Draining)));
    assert!(departures.covers(&announcement("e", 4, Phase::Gone)));
    assert!(!departures.covers(&announcement("e", 5, Phase::Gone)));
    assert!(!departures.covers(&announcement("e", 6, Phase::Draining)));
    assert!(!departures.record(announcement("f", 5, Phase::Ready), 0));
    assert_eq!(departures.len(), 1);
}

/// Guards against departures that pile up where engines are replaced day after day, and against
/// one that is forgotten while announcements of its run may arrive.
#[test]
fn departures_are_kept_for_their_time_and_no_longer() {
    const PLANNED_ENGINES: u64 = 5_700;
    const DAY_MS: u64 = 86_400_000;
    let ttl_ms = DEPARTURE_TTL.as_millis();
    let mut departures = Departures::default();
    let mut most = 0;
    for n in 0..PLANNED_ENGINES * 3 {
        let at = n * DAY_MS / PLANNED_ENGINES;
        let id = format!("i-{n}");
        assert!(departures.record(announcement(&id, n, Phase::Draining), at));
        assert!(departures.record(announcement(&id, n, Phase::Gone), at + 3_000));
        most = most.max(departures.len());
    }
    let per_ttl = ttl_ms * PLANNED_ENGINES / DAY_MS + 2;
    assert!(most as u64 <= per_ttl, "{most} departures");
    let last = PLANNED_ENGINES * 3 - 1;
    let at = last * DAY_MS / PLANNED_ENGINES + 3_000 + ttl_ms - 1;
    departures.record(announcement("other", 1, Phase::Gone), at);
    let last = announcement(&format!("i-{last}"), last, Phase::Gone);
    assert!(departures.covers(&last));
}

/// Guards against an acknowledgement of a departure that there is no room to keep.
#[test]
fn departures_beyond_the_bound_are_refused_and_displace_none() {
    let mut departures = Departures::default();
    for n in 0..MAX_DEPARTURES {
        assert!(departures.record(announcement(&format!("i-{n}"), 1, Phase::Gone), 0));
    }
    let further = announcement("further", 1, Phase::Gone);
    assert!(!departures.record(further.clone(), 1));
    assert!(departures.record(announcement("i-7", 2, Phase::Gone), 1));
    assert_eq!(departures.len(), MAX_DEPARTURES);
    assert!(departures.record(further, 1 + DEPARTURE_TTL.as_millis()));
}
