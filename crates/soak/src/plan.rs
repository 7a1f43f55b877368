//! Generates the faults of a run from its seed.

use std::fmt;

use fastrand::Rng;

/// Number of processes with a disk; at most one of them is unavailable
/// at a time.
pub const DISK_PROCESS_COUNT: usize = 3;

/// Number of processes without a disk.
pub const DISKLESS_PROCESS_COUNT: usize = 2;

/// Number of fake engines.
pub const ENGINE_COUNT: usize = 4;

/// Time for a process with a disk to catch up after a fault, in milliseconds.
const CATCH_UP_MS: u64 = 2_500;

/// Minimum time between the starts of two series of planned operations, in milliseconds.
const SERIES_MS: u64 = 3_500;

/// Minimum time between two kills of all processes, and from the last one to the end, in
/// milliseconds.
const BLACKOUT_MS: u64 = 6_000;

/// Time without faults at the start and at the end of a run, in milliseconds.
const FAULT_FREE_MS: (u64, u64) = (1_500, 2_500);

/// A fault or operation on a process, a link or the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills the process and restarts it after this time, in milliseconds.
    Kill(usize, u64),
    /// Kills the process, wipes its disk, and restarts it after this time, in milliseconds.
    KillAndWipe(usize, u64),
    /// Kills all processes and restarts them after this time, in milliseconds.
    KillAll(u64),
    /// Suspends the process for this time, in milliseconds.
    Suspend(usize, u64),
    /// Asks the process to stop, and restarts it once it has exited.
    Stop(usize),
    /// Asks the process to reload its settings.
    Reload(usize),
    /// Sets the mode of the link to an engine for this time, in milliseconds.
    Link(usize, LinkMode, u64),
    /// Submits the next configuration and, if the flag is set, the previous one again.
    Configure(bool),
}

/// How a proxy treats the bytes of its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards them.
    #[default]
    Open,
    /// Forwards them after a delay.
    Slow,
    /// Closes connections.
    Reset,
    /// Accepts connections, but holds all bytes back.
    Stalled,
    /// Forwards requests, but holds responses back.
    RequestsOnly,
}

/// How the relay treats the datagrams of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerLinkMode {
    /// Forwards them.
    #[default]
    Open,
    /// Loses them in both directions.
    Cut,
    /// Loses what the process sends.
    Silent,
    /// Forwards them at a tenth of the link's rate, and later.
    Slow,
}

impl Fault {
    /// Returns the process that it disturbs.
    #[must_use]
    pub fn process(&self) -> Option<usize> {
        match *self {
            Self::Kill(process, _)
            | Self::KillAndWipe(process, _)
            | Self::Suspend(process, _)
            | Self::Stop(process) => Some(process),
            Self::KillAll(_) | Self::Reload(_) | Self::Link(..) | Self::Configure(_) => None,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(n, ms) => write!(f, "kill process {n}, restart after {ms} ms"),
            Self::KillAndWipe(n, ms) => write!(
                f,
                "kill process {n} and wipe its disk, restart after {ms} ms"
            ),
            Self::KillAll(ms) => write!(f, "kill all processes, restart after {ms} ms"),
            Self::Suspend(n, ms) => write!(f, "suspend process {n} for {ms} ms"),
            Self::Stop(n) => write!(f, "stop process {n}"),
            Self::Reload(n) => write!(f, "reload process {n}"),
            Self::Link(n, link, ms) => write!(f, "link to engine {n}: {link:?} for {ms} ms"),
            Self::Configure(resubmit) => {
                write!(f, "submit a configuration, resubmit_previous={resubmit}")
            }
        }
    }
}

/// A fault and its time, in milliseconds from the start of traffic.
pub type TimedFault = (u64, Fault);

/// Returns the faults of `seed` within `duration_ms`; every fifth seed has planned
/// operations only: stop, reload and configure.
#[must_use]
pub fn generate(seed: u64, duration_ms: u64) -> Vec<TimedFault> {
    let mut rng = Rng::with_seed(seed);
    let only_planned = is_planned_only(seed);
    let mut faults = Vec::new();
    let mut time_ms = FAULT_FREE_MS.0;
    let mut next_disk_fault_at = 0;
    while time_ms + FAULT_FREE_MS.1 < duration_ms {
        let disk_process = rng.usize(..DISK_PROCESS_COUNT);
        let diskless_process = DISK_PROCESS_COUNT + rng.usize(..DISKLESS_PROCESS_COUNT);
        let outage_ms = rng.u64(200..1_500);
        let engine = rng.usize(..ENGINE_COUNT);
        let kind = if only_planned {
            rng.u8(8..11)
        } else {
            rng.u8(..12)
        };
        let process = if rng.bool() && time_ms >= next_disk_fault_at {
            next_disk_fault_at = time_ms + outage_ms + CATCH_UP_MS;
            disk_process
        } else {
            diskless_process
        };
        let fault = match kind {
            0 | 1 => Fault::Kill(process, outage_ms),
            2 if process < DISK_PROCESS_COUNT => Fault::KillAndWipe(process, outage_ms),
            2 | 3 => Fault::Suspend(process, outage_ms),
            4 => Fault::Link(engine, LinkMode::Slow, outage_ms),
            5 => Fault::Link(engine, LinkMode::Reset, outage_ms),
            6 => Fault::Link(engine, LinkMode::Stalled, outage_ms),
            7 => Fault::Link(engine, LinkMode::RequestsOnly, outage_ms),
            8 => {
                if process < DISK_PROCESS_COUNT {
                    // The process finishes its work before it exits.
                    next_disk_fault_at = time_ms + 2 * CATCH_UP_MS;
                }
                Fault::Stop(process)
            }
            9 => Fault::Reload(diskless_process),
            _ => Fault::Configure(rng.bool()),
        };
        faults.push((time_ms, fault));
        time_ms += rng.u64(100..1_100);
    }
    faults
}

/// Returns series of planned operations of `seed` within `duration_ms`: in each, processes
/// without a disk stop one after the other, and these and others are told to reload and
/// configurations are submitted meanwhile.
#[must_use]
pub fn series(seed: u64, duration_ms: u64) -> Vec<TimedFault> {
    // Another sequence than that of the plan for the same seed.
    let mut rng = Rng::with_seed(!seed);
    let mut faults = Vec::new();
    let mut start = FAULT_FREE_MS.0;
    while start + SERIES_MS < duration_ms {
        for process in DISK_PROCESS_COUNT..DISK_PROCESS_COUNT + DISKLESS_PROCESS_COUNT {
            let stop_ms = start + rng.u64(..400);
            faults.push((stop_ms, Fault::Stop(process)));
            for _ in 0..2 {
                faults.push((stop_ms + rng.u64(20..600), Fault::Reload(process)));
            }
        }
        for _ in 0..3 {
            let process = rng.usize(..DISK_PROCESS_COUNT);
            faults.push((start + rng.u64(..800), Fault::Reload(process)));
            faults.push((start + rng.u64(..800), Fault::Configure(rng.bool())));
        }
        start += SERIES_MS + rng.u64(..1_000);
    }
    faults.sort_by_key(|&(at, _)| at);
    faults
}

/// Adds kills of all processes to the faults of `seed` within `duration_ms`. Removes the loss of
/// disks that they could keep from catching up, and configurations that nobody could accept. A seed
/// with planned operations only gets none.
pub fn add_blackouts(faults: &mut Vec<TimedFault>, seed: u64, duration_ms: u64) {
    if is_planned_only(seed) {
        return;
    }
    // Another sequence than those of the plan and the series for the same seed.
    let mut rng = Rng::with_seed(seed.rotate_left(32));
    let mut blackouts = Vec::new();
    let mut start = FAULT_FREE_MS.0 + rng.u64(..2_000);
    while start + BLACKOUT_MS < duration_ms {
        blackouts.push((start, Fault::KillAll(rng.u64(100..1_000))));
        start += BLACKOUT_MS + rng.u64(..3_000);
    }
    let starts: Vec<u64> = blackouts.iter().map(|&(start, _)| start).collect();
    faults.retain(|&(at, fault)| match fault {
        Fault::KillAndWipe(..) => starts
            .iter()
            .all(|&start| at.abs_diff(start) >= 2 * CATCH_UP_MS),
        Fault::Configure(_) => starts
            .iter()
            .all(|&start| !(start..start + CATCH_UP_MS).contains(&at)),
        _ => true,
    });
    faults.extend(blackouts);
    faults.sort_by_key(|&(at, _)| at);
}

/// Returns whether a seed has planned operations only, which must not cut a running
/// request.
#[must_use]
pub fn is_planned_only(seed: u64) -> bool {
    seed.is_multiple_of(5)
}
