//! The time of the replicated log at replicas that begin late.

use std::time::Duration;
use std::time::Instant;

use gateway::log_clock::LogClock;

/// Guards against a leader whose clock began when it joined: by its time no lease that the log
/// has had for longer ends, and no departure is forgotten.
#[test]
fn a_replica_that_joins_late_follows_the_time_of_the_log() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut clock = LogClock::open(start);
    assert_eq!(clock.read(None, at(40)), 0);
    assert_eq!(clock.read(Some(30_000), at(80)), 30_000);
    // It leads from here on, and its entries have its own time.
    assert_eq!(clock.read(Some(30_000), at(90)), 30_010);
    assert_eq!(clock.read(Some(30_005), at(10_080)), 40_000);
}

/// Guards against departures that are forgotten at once, as a replica that waited for its group
/// has counted the wait.
#[test]
fn the_time_of_an_empty_log_has_not_begun() {
    let start = Instant::now();
    let mut clock = LogClock::open(start);
    let hour = start + Duration::from_hours(1);
    assert_eq!(clock.read(None, hour), 0);
    assert_eq!(clock.read(Some(500), hour + Duration::from_secs(1)), 1_000);
}

/// Guards against time that goes back when a slower clock leads.
#[test]
fn an_entry_of_an_earlier_time_does_not_turn_the_clock_back() {
    let start = Instant::now();
    let mut clock = LogClock::open(start);
    assert_eq!(clock.read(Some(5_000), start), 5_000);
    let later = start + Duration::from_secs(2);
    assert_eq!(clock.read(Some(5_500), later), 7_000);
}
