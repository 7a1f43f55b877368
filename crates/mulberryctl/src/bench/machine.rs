//! Processor time and memory of this process, as the operating system counts them.

use std::fs;
use std::time::Duration;

/// Length of one tick of the processor times under `/proc`.
const TICK: Duration = Duration::from_millis(10);

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

/// Returns the processor time of all threads whose name starts with `prefix`.
#[must_use]
pub fn thread_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut ticks = 0;
    for task in tasks.flatten() {
        let text = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        ticks += ticks_of(&text, prefix).unwrap_or(0);
    }
    TICK * ticks
}

fn ticks_of(stat: &str, prefix: &str) -> Option<u32> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    // User and system time are the twelfth and thirteenth fields after the name.
    let mut fields = rest.split(' ').skip(11);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Returns the resident memory of this process, in bytes.
#[must_use]
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE
}

/// Returns the microseconds of `time` for each of `count`.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn micros_each(time: Duration, count: u64) -> f64 {
    time.as_secs_f64() * 1e6 / count.max(1) as f64
}
