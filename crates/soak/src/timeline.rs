//! The changes, restarts and link faults of a rollout, from its seed.

use std::fmt;

use fastrand::Rng;

use crate::plan::PeerLinkMode;

/// Time between the starts of two series of changes, in milliseconds.
const SERIES_MS: u64 = 14_000;

/// Number of changes of a storm, and the time between them, in milliseconds.
const STORM: (u64, u64) = (12, 330);

/// Time of a small change and of a storm after a large configuration, in milliseconds.
const CHANGE_MS: (u64, u64) = (5_000, 7_000);

/// Time from the last change until a restart, in milliseconds.
const RESTART_MS: u64 = 11_500;

/// Time that restarts and a link fault add to a series, in milliseconds.
const RECOVERY_MS: u64 = 9_000;

/// Time without changes at the start of a run, in milliseconds.
const QUIET_MS: u64 = 3_000;

/// A change, or a fault of a process or its link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Submits a configuration with a new block of routes.
    Large,
    /// Submits a configuration with one route more and one less.
    Change,
    /// Kills processes.
    Kill(Vec<usize>),
    /// Starts processes again.
    Start(Vec<usize>),
    /// Sets the mode of the link between a process and its peers.
    Link(usize, PeerLinkMode),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large => write!(f, "submit a large configuration"),
            Self::Change => write!(f, "submit a change"),
            Self::Kill(list) => write!(f, "kill processes {list:?}"),
            Self::Start(list) => write!(f, "start processes {list:?}"),
            Self::Link(n, mode) => write!(f, "link of process {n} to its peers: {mode:?}"),
        }
    }
}

/// An action and its time, in milliseconds from the start of traffic.
pub type TimedAction = (u64, Action);

/// Returns the changes of `seed` within `duration_ms`: in each series a large
/// configuration, a small change and a storm of changes. If `restarts` is set, processes
/// are killed after each storm and changes are submitted while they are away: in turn one
/// of them, all, and none, but one link is cut, silent or slow.
#[must_use]
pub fn generate(seed: u64, duration_ms: u64, processes: usize, restarts: bool) -> Vec<TimedAction> {
    let mut rng = Rng::with_seed(seed);
    let mut actions = Vec::new();
    let mut series = 0;
    let mut start = QUIET_MS;
    while start + CHANGE_MS.1 < duration_ms {
        let jitter = rng.u64(..400);
        actions.push((start + jitter, Action::Large));
        actions.push((start + CHANGE_MS.0 + jitter, Action::Change));
        for number in 0..STORM.0 {
            let at = start + CHANGE_MS.1 + number * STORM.1;
            actions.push((at + rng.u64(..40), Action::Change));
        }
        start += SERIES_MS;
        let away = start - SERIES_MS + RESTART_MS;
        if restarts && away + RECOVERY_MS < duration_ms {
            actions.extend(faults(&mut rng, away, processes, series));
            start += RECOVERY_MS;
        }
        series += 1;
    }
    actions.retain(|&(at, _)| at < duration_ms);
    actions.sort_by_key(|&(at, _)| at);
    actions
}

fn faults(rng: &mut Rng, at: u64, processes: usize, series: u64) -> Vec<TimedAction> {
    let one = rng.usize(..processes);
    let outage_ms = rng.u64(600..1_500);
    let back = at + outage_ms;
    let change = (at + 300, Action::Change);
    match series % 5 {
        0 => {
            let kill = (at, Action::Kill(vec![one]));
            vec![kill, change, (back, Action::Start(vec![one]))]
        }
        1 => {
            let all: Vec<usize> = (0..processes).collect();
            let first = vec![one];
            let rest = all.iter().copied().filter(|&n| n != one).collect();
            vec![
                (at, Action::Kill(vec![one])),
                (at + 200, Action::Change),
                (at + 1_500, Action::Kill(all)),
                (back + 1_500, Action::Start(first)),
                (back + 1_500 + rng.u64(..1_500), Action::Start(rest)),
            ]
        }
        kind => {
            let mode = match kind {
                2 => PeerLinkMode::Cut,
                3 => PeerLinkMode::Silent,
                _ => PeerLinkMode::Slow,
            };
            let opened = (back, Action::Link(one, PeerLinkMode::Open));
            vec![(at, Action::Link(one, mode)), change, opened]
        }
    }
}
