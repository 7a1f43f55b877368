//! The ticks of the replica's thread.

use std::time::Duration;
use std::time::Instant;

use gateway::ticker::Ticker;

const INTERVAL: Duration = Duration::from_millis(40);

/// Counts the ticks in one second of a thread that notices each tick `delay` late.
fn ticks_per_second(delay: Duration) -> u32 {
    let start = Instant::now();
    let mut ticker = Ticker::new(INTERVAL, start);
    let mut now = start;
    let mut count = 0;
    while now - start < Duration::from_secs(1) {
        now += ticker.remaining(now) + delay;
        count += u32::from(ticker.take_due(now));
    }
    count
}

/// Guards against voters that are replaced later than planned: each sync of the disk was added
/// to the time between two ticks, by which their absence is measured.
#[test]
fn slow_syncs_dont_delay_later_ticks() {
    for delay_ms in [0, 5, 20, 39] {
        let count = ticks_per_second(Duration::from_millis(delay_ms));
        assert!((24..=26).contains(&count), "{delay_ms} ms: {count}");
    }
}

#[test]
fn ticks_missed_in_a_pause_are_skipped() {
    let start = Instant::now();
    let mut ticker = Ticker::new(INTERVAL, start);
    let now = start + Duration::from_secs(5);
    assert!(ticker.take_due(now));
    assert!(!ticker.take_due(now));
    assert_eq!(ticker.remaining(now), INTERVAL);
}
