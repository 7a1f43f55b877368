//! The faults of a seed, as pure data.

use std::fmt;

use fastrand::Rng;

/// Processes with a disk; one of them may be away at a time.
pub const DISKS: usize = 3;

/// Processes without one.
pub const PLAIN: usize = 2;

/// Stand-in engines.
pub const ENGINES: usize = 4;

/// Time that a process with a disk has to catch up after a fault, in milliseconds.
const CATCH_UP_MS: u64 = 2_500;

/// Time at the start and the end of a run without faults, in milliseconds.
const CALM_MS: (u64, u64) = (1_500, 2_500);

/// What is done to a process or a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and starts again after so many milliseconds.
    Kill(usize, u64),
    /// The same, and its disk is empty then.
    Wipe(usize, u64),
    /// The process stands still for so many milliseconds.
    Freeze(usize, u64),
    /// The process is told to stop and starts again once it has ended.
    Stop(usize),
    /// The process is told that its settings have changed.
    Reload(usize),
    /// Connections to an engine are treated so, for so many milliseconds.
    Link(usize, Link, u64),
    /// The operator sends another configuration, twice where the flag says so.
    Configure(bool),
}

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Passes them on.
    #[default]
    Open,
    /// Passes them on after some milliseconds.
    Slow,
    /// Resets connections.
    Reset,
    /// Takes them and passes nothing on.
    Silent,
    /// Passes requests on, but no answers.
    OneWay,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(n, ms) => write!(f, "kill {n} for {ms}"),
            Self::Wipe(n, ms) => write!(f, "wipe {n} for {ms}"),
            Self::Freeze(n, ms) => write!(f, "freeze {n} for {ms}"),
            Self::Stop(n) => write!(f, "stop {n}"),
            Self::Reload(n) => write!(f, "reload {n}"),
            Self::Link(n, link, ms) => write!(f, "link {n} {link:?} for {ms}"),
            Self::Configure(twice) => write!(f, "configure twice={twice}"),
        }
    }
}

/// A fault and when it comes, in milliseconds from the start of traffic.
pub type Timed = (u64, Fault);

/// Returns the faults of `seed` within `length_ms`; every fifth seed has planned work
/// only.
#[must_use]
pub fn draw(seed: u64, length_ms: u64) -> Vec<Timed> {
    let mut rng = Rng::with_seed(seed);
    let planned = planned_only(seed);
    let mut faults = Vec::new();
    let mut at = CALM_MS.0;
    let mut disk_free = 0;
    while at + CALM_MS.1 < length_ms {
        let disk = rng.usize(..DISKS);
        let plain = DISKS + rng.usize(..PLAIN);
        let away = rng.u64(200..1_500);
        let engine = rng.usize(..ENGINES);
        let kind = if planned { rng.u8(8..11) } else { rng.u8(..12) };
        let one = if rng.bool() && at >= disk_free {
            disk_free = at + away + CATCH_UP_MS;
            disk
        } else {
            plain
        };
        let fault = match kind {
            0 | 1 => Fault::Kill(one, away),
            2 if one < DISKS => Fault::Wipe(one, away),
            2 | 3 => Fault::Freeze(one, away),
            4 => Fault::Link(engine, Link::Slow, away),
            5 => Fault::Link(engine, Link::Reset, away),
            6 => Fault::Link(engine, Link::Silent, away),
            7 => Fault::Link(engine, Link::OneWay, away),
            8 => {
                if one < DISKS {
                    // It finishes its work first.
                    disk_free = at + 2 * CATCH_UP_MS;
                }
                Fault::Stop(one)
            }
            9 => Fault::Reload(plain),
            _ => Fault::Configure(rng.bool()),
        };
        faults.push((at, fault));
        at += rng.u64(100..1_100);
    }
    faults
}

/// Returns whether a seed has planned work only, which must cut nothing.
#[must_use]
pub fn planned_only(seed: u64) -> bool {
    seed.is_multiple_of(5)
}
