//! The submitted configurations, and whether a response agrees with one that may be in force.
//!
//! Times are milliseconds from the start of the run.

use std::collections::BTreeMap;
use std::fmt;

use fastrand::Rng;

/// Time from the acknowledgement of a version until it must be in force everywhere.
pub const APPLY_MS: u64 = 2_500;

/// Time without disturbance after which a process must meet its time bounds.
pub const STABLE_MS: u64 = 4_000;

/// Number of routes of the latest changes that a version keeps.
const KEPT_MARKERS: usize = 2;

/// Number of versions whose routes are requested.
const REQUESTED_VERSIONS: usize = 6;

/// A route of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKey {
    /// The route that the change to this version added.
    Marker(u64),
    /// A route of the block that this version added, with its number.
    Block(u64, usize),
}

impl fmt::Display for RouteKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Marker(version) => write!(f, "marker-{version}"),
            Self::Block(version, number) => write!(f, "block-{version}-{number}"),
        }
    }
}

/// The routes of a version, besides those that all versions have.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteSet {
    markers: Vec<u64>,
    /// Version and length of the block.
    block: Option<(u64, usize)>,
}

impl RouteSet {
    /// Returns the routes of `version`, which adds a marker and, if `block` is given,
    /// replaces the block by one of that length.
    #[must_use]
    pub fn successor(&self, version: u64, block: Option<usize>) -> Self {
        let mut markers = self.markers.clone();
        markers.push(version);
        let excess = markers.len().saturating_sub(KEPT_MARKERS);
        markers.drain(..excess);
        let block = block.map(|length| (version, length)).or(self.block);
        Self { markers, block }
    }

    /// Returns whether a route is in the set.
    #[must_use]
    pub fn contains(&self, key: RouteKey) -> bool {
        match key {
            RouteKey::Marker(version) => self.markers.contains(&version),
            RouteKey::Block(version, number) => self
                .block
                .is_some_and(|(own, length)| own == version && number < length),
        }
    }

    /// Returns all routes.
    pub fn iter(&self) -> impl Iterator<Item = RouteKey> + '_ {
        let markers = self.markers.iter().copied().map(RouteKey::Marker);
        let block = self
            .block
            .into_iter()
            .flat_map(|(version, length)| (0..length).map(move |n| RouteKey::Block(version, n)));
        markers.chain(block)
    }
}

/// How a process handled a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// An engine ran it.
    Ran,
    /// The status claims that no configuration in force allows the request.
    Rejected(u16),
    /// It was not run; the status claims nothing about the configuration.
    Unavailable,
    /// The response doesn't tell.
    Unknown,
}

impl Handling {
    /// Returns what a status claims; `None` stands for no response.
    #[must_use]
    pub fn of_status(status: Option<u16>) -> Self {
        match status {
            Some(200) => Self::Ran,
            Some(status @ (401 | 403 | 404)) => Self::Rejected(status),
            Some(503) => Self::Unavailable,
            _ => Self::Unknown,
        }
    }
}

/// A request and how it was handled.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The process that handled it.
    pub process: usize,
    /// The requested route.
    pub key: RouteKey,
    /// When it was sent.
    pub sent_ms: u64,
    /// When the response arrived.
    pub end_ms: u64,
    /// How it was handled.
    pub handling: Handling,
}

/// A rule that a response broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Name of the rule, with the process and version.
    pub case: String,
    /// The request and its times.
    pub details: String,
}

#[derive(Clone, Debug)]
struct Version {
    routes: RouteSet,
    sent_ms: u64,
    acked_ms: Option<u64>,
}

/// All submitted versions and the disturbances of the processes.
#[derive(Clone, Debug, Default)]
pub struct History {
    versions: BTreeMap<u64, Version>,
    starts_ms: BTreeMap<usize, u64>,
    disturbed_ms: BTreeMap<usize, u64>,
    core_disturbed_ms: u64,
    /// Processes that are not running or cut off, and whether each belongs to the core.
    away: BTreeMap<usize, bool>,
    core_size: usize,
}

impl History {
    /// Adds the version after the newest one, which it changes as
    /// [`RouteSet::successor`] does; returns its number and routes.
    pub fn submit(&mut self, step: u64, block: Option<usize>, now_ms: u64) -> (u64, RouteSet) {
        let (last, routes) = match self.versions.last_key_value() {
            Some((&number, version)) => (number, version.routes.clone()),
            None => (0, RouteSet::default()),
        };
        let number = last + step;
        let routes = routes.successor(number, block);
        let version = Version {
            routes: routes.clone(),
            sent_ms: now_ms,
            acked_ms: None,
        };
        self.versions.insert(number, version);
        (number, routes)
    }

    /// Records an acknowledgement.
    pub fn acknowledge(&mut self, number: u64, now_ms: u64) {
        if let Some(version) = self.versions.get_mut(&number) {
            version.acked_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the acknowledged versions with their times of submission and
    /// acknowledgement.
    pub fn acknowledged(&self) -> impl Iterator<Item = (u64, u64, u64)> + '_ {
        let acked = |(&number, version): (&u64, &Version)| {
            Some((number, version.sent_ms, version.acked_ms?))
        };
        self.versions.iter().filter_map(acked)
    }

    /// Sets the number of processes with a disk, which form the core.
    pub fn set_core_size(&mut self, size: usize) {
        self.core_size = size;
    }

    /// Records that a process is killed or cut off, and whether it belongs to the core.
    pub fn leave(&mut self, process: usize, core: bool, now_ms: u64) {
        self.away.insert(process, core);
        self.disturb(process, core, now_ms);
    }

    /// Records that a process is reachable again.
    pub fn rejoin(&mut self, process: usize, core: bool, now_ms: u64) {
        self.away.remove(&process);
        self.disturb(process, core, now_ms);
    }

    /// Records that a process was started.
    pub fn start(&mut self, process: usize, core: bool, now_ms: u64) {
        self.starts_ms.insert(process, now_ms);
        self.rejoin(process, core, now_ms);
    }

    fn disturb(&mut self, process: usize, core: bool, now_ms: u64) {
        self.disturbed_ms.insert(process, now_ms);
        if core {
            self.core_disturbed_ms = now_ms;
        }
    }

    /// Returns whether no process was disturbed from [`STABLE_MS`] before `from_ms` until
    /// now.
    #[must_use]
    pub fn is_calm(&self, from_ms: u64) -> bool {
        let mut last = self.disturbed_ms.values();
        self.away.is_empty() && last.all(|at| at + STABLE_MS <= from_ms)
    }

    /// Returns whether neither the process nor the core was disturbed from
    /// [`STABLE_MS`] before `from_ms` until now.
    #[must_use]
    pub fn is_stable(&self, process: usize, from_ms: u64) -> bool {
        let last = self.disturbed_ms.get(&process).copied().unwrap_or(0);
        let reachable = !self.away.contains_key(&process);
        reachable && last + STABLE_MS <= from_ms && self.is_core_stable(from_ms)
    }

    /// Returns whether most of the core is connected, and was not disturbed from
    /// [`STABLE_MS`] before `from_ms` until now.
    fn is_core_stable(&self, from_ms: u64) -> bool {
        let missing = self.away.values().filter(|&&core| core).count();
        let quorum = missing == 0 || 2 * missing < self.core_size;
        quorum && self.core_disturbed_ms + STABLE_MS <= from_ms
    }

    /// Returns a route of one of the latest versions.
    pub fn pick_route(&self, rng: &mut Rng) -> Option<RouteKey> {
        let latest = self.versions.len().min(REQUESTED_VERSIONS);
        let age = rng.usize(..latest.max(1));
        let (number, version) = self.versions.iter().rev().nth(age)?;
        match version.routes.block {
            Some((block, length)) if rng.bool() => {
                Some(RouteKey::Block(block, rng.usize(..length)))
            }
            _ => Some(RouteKey::Marker(*number)),
        }
    }

    /// Returns the rule that an observation broke, if it broke one.
    ///
    /// An undisturbed process may handle a request by a version that was submitted before
    /// the response and is at least as new as each one acknowledged [`APPLY_MS`] before
    /// the request. Any process may reject a request only by a version at least as new as
    /// each one acknowledged before the process started.
    #[must_use]
    pub fn judge(&self, seen: &Observation) -> Option<Breach> {
        let Observation {
            process,
            sent_ms,
            end_ms,
            ..
        } = *seen;
        let first = self.versions.values().next();
        if first.is_none_or(|first| end_ms < first.sent_ms) {
            let claims = matches!(seen.handling, Handling::Ran | Handling::Rejected(_));
            return claims.then(|| breach("no configuration is known", 0, seen));
        }
        if let Handling::Rejected(status @ (401 | 403)) = seen.handling {
            let case = format!("denied: status {status} though all versions have the key");
            return Some(breach(&case, 0, seen));
        }
        let due = self.newest_acknowledged(|acked| acked + APPLY_MS < sent_ms);
        if self.is_stable(process, sent_ms) && !self.allows(due, seen) {
            return Some(breach("config: handled by an older version", due, seen));
        }
        let started_ms = self.starts_ms.get(&process).copied().unwrap_or(0);
        let known = self.newest_acknowledged(|acked| acked < started_ms);
        let rejected = matches!(seen.handling, Handling::Rejected(_));
        if rejected && sent_ms >= started_ms && !self.allows(known, seen) {
            return Some(breach("unconfirmed: rejected after a start", known, seen));
        }
        None
    }

    /// Returns a breach if a read of the configuration at any process, sent at `sent_ms`,
    /// returned a version older than one acknowledged [`APPLY_MS`] before.
    #[must_use]
    pub fn judge_read(&self, process: usize, version: u64, sent_ms: u64) -> Option<Breach> {
        let due = self.newest_acknowledged(|acked| acked + APPLY_MS < sent_ms);
        (version < due).then(|| Breach {
            case: format!("config: an older version than {due} is read at process {process}"),
            details: format!("version {version}, read at {sent_ms} ms"),
        })
    }

    fn newest_acknowledged(&self, matches: impl Fn(u64) -> bool) -> u64 {
        let mut newest_first = self.versions.iter().rev();
        let found = newest_first.find(|(_, version)| version.acked_ms.is_some_and(&matches));
        found.map_or(0, |(&number, _)| number)
    }

    /// Returns whether a version that is not older than `lowest` explains the handling.
    fn allows(&self, lowest: u64, seen: &Observation) -> bool {
        let expected = match seen.handling {
            Handling::Ran => true,
            Handling::Rejected(_) => false,
            Handling::Unavailable | Handling::Unknown => return true,
        };
        let mut candidates = self.versions.range(lowest..);
        candidates.any(|(_, version)| {
            version.sent_ms <= seen.end_ms && version.routes.contains(seen.key) == expected
        })
    }
}

fn breach(rule: &str, version: u64, seen: &Observation) -> Breach {
    Breach {
        case: format!("{rule} at process {} (version {version})", seen.process),
        details: format!(
            "{}: {:?}, sent at {} ms, answered at {} ms",
            seen.key, seen.handling, seen.sent_ms, seen.end_ms
        ),
    }
}
