//! CPU time and memory of this process, read from `/proc/self`.

use std::fs;
use std::time::Duration;

/// Duration of one clock tick in the CPU times under `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Bytes of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Returns the total CPU time of the live threads whose name starts with `prefix`.
#[must_use]
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut ticks = 0;
    for task in tasks.flatten() {
        let text = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        ticks += parse_cpu_ticks(&text, prefix).unwrap_or(0);
    }
    CLOCK_TICK * ticks
}

fn parse_cpu_ticks(stat: &str, prefix: &str) -> Option<u32> {
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

/// Returns the resident memory of this process, in bytes, or zero if it is unknown.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns `time` divided by `count`, in microseconds.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
pub fn micros_per_item(time: Duration, count: u64) -> f64 {
    time.as_secs_f64() * 1e6 / count.max(1) as f64
}
