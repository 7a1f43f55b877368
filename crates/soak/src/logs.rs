//! What the processes' logs say about configurations and leaders.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

const MS_PER_DAY: u64 = 86_400_000;

/// A line of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// The process starts.
    Start,
    /// A version is in force from now on.
    InForce(u64),
    /// A replica knows another leader, or none.
    Leader {
        /// Whether it knows one.
        known: bool,
    },
}

/// Returns the time of day of `time` (UTC), in milliseconds.
#[must_use]
pub fn time_of_day(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since_epoch.as_millis()).unwrap_or(0) % MS_PER_DAY
}

/// Returns the milliseconds from one time of day to a later one.
#[must_use]
pub fn elapsed(from: u64, to: u64) -> u64 {
    (to + MS_PER_DAY - from) % MS_PER_DAY
}

/// Returns the lines about configurations and leaders, with their times of day.
pub fn parse(text: &str) -> impl Iterator<Item = (u64, Line)> + '_ {
    text.lines().filter_map(|line| {
        let (time, rest) = line.split_once(' ')?;
        let found = if rest.contains("gateway: event=start ") {
            Line::Start
        } else if rest.contains("config: event=in_force ") {
            Line::InForce(field(rest, "version=")?.parse().ok()?)
        } else if rest.contains("group: event=leader ") {
            let known = field(rest, "leader=")? != "None";
            Line::Leader { known }
        } else {
            return None;
        };
        Some((parse_time(time)?, found))
    })
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let (_, value) = line.split_once(name)?;
    value.split(' ').next()
}

/// Returns the time of day of `YYYY-MM-DDTHH:MM:SS.mmm`. The offset that follows is ignored:
/// processes log in UTC.
fn parse_time(text: &str) -> Option<u64> {
    let (_, time) = text.split_once('T')?;
    let (seconds, rest) = time.split_once('.')?;
    let millis: u64 = rest.get(..3)?.parse().ok()?;
    let mut total = 0;
    for part in seconds.split(':') {
        total = total * 60 + part.parse::<u64>().ok()?;
    }
    Some(total * 1_000 + millis)
}
