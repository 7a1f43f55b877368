//! Machines with a disk are replaced for good, one after the other, beside callers and changes
//! of the configuration.
//!
//! The next machine is replaced at a moment drawn from the seed, from the one on at which the
//! last successor doesn't count as lost any more, whether its predecessor still stops or not.
//! The configuration must be acknowledged and read after all that.

use std::fs;
use std::io;
use std::io::Write as _;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use rustix::process::Signal;
use serde::Serialize;

use crate::caller;
use crate::caller::Caller;
use crate::caller::ROUTES;
use crate::caller::TEAMS;
use crate::engine::Conduct;
use crate::engine::FakeEngine;
use crate::oracle::Oracle;
use crate::oracle::OutcomeCounts;
use crate::plan::DISK_PROCESS_COUNT;
use crate::plan::DISKLESS_PROCESS_COUNT;
use crate::process::Process;
use crate::run::SoakError;
use crate::setup;
use crate::wire::Connection;

/// Time after its start for which a successor counts as lost: the default of the settings.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time from the end of a machine to the start of its successor, or from the start of the
/// successor to the stop of the machine.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

/// Time after which a stopping process is killed: the default of the settings.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Range of the pause until the next replacement, in milliseconds. With the longest ones, a
/// held predecessor has ended before the next machine does.
const PAUSE_MS: std::ops::Range<u64> = 10..5_500;

/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Interval at which the run checks for due steps.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which the configuration must be read at the end.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// How a machine is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Manner {
    /// It is killed; its successor starts later.
    Killed,
    /// It is told to stop; its successor starts after its end.
    Stopped,
    /// Its successor starts; then it is told to stop.
    Planned,
}

/// A replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Replacement {
    /// How the machine is replaced.
    pub manner: Manner,
    /// Its index among the machines with a disk that don't stop, modulo their number.
    pub choice: usize,
    /// Whether an unfinished request keeps it from ending before its grace period does.
    pub held: bool,
    /// Time to the next replacement after the successor has had its time, in milliseconds.
    pub pause_ms: u64,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct ReplacementSettings {
    /// Seed of the callers.
    pub seed: u64,
    /// The replacements.
    pub replacements: Vec<Replacement>,
    /// Number of callers.
    pub callers: usize,
    /// Path of the program under test.
    pub daemon_path: PathBuf,
    /// Directory for files; kept if a rule was broken.
    pub folder: PathBuf,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct ReplacementReport {
    /// Seed of the run.
    pub seed: u64,
    /// The replacements.
    pub replacements: Vec<Replacement>,
    /// Number of requests by outcome.
    pub counts: OutcomeCounts,
    /// The last acknowledged version.
    pub version: u64,
    /// Descriptions of the broken invariants.
    pub breaches: Vec<String>,
}

/// Returns `count` replacements drawn from `seed`.
#[must_use]
pub fn generate(seed: u64, count: usize) -> Vec<Replacement> {
    let mut rng = Rng::with_seed(seed);
    let mut draw = || Replacement {
        manner: [Manner::Killed, Manner::Stopped, Manner::Planned][rng.usize(..3)],
        choice: rng.usize(..),
        held: rng.bool(),
        pause_ms: rng.u64(PAUSE_MS),
    };
    (0..count).map(|_| draw()).collect()
}

/// A machine that stops while its successor runs.
struct Stopping {
    index: usize,
    kill_at: Instant,
    /// A connection with an unfinished request.
    _held: Option<Connection>,
}

/// The processes of a run: those with a disk, those without one, then the successors.
struct Cluster {
    settings: ReplacementSettings,
    oracle: Arc<Oracle>,
    finished: Arc<AtomicBool>,
    processes: Vec<Process>,
    /// Indexes of the machines with a disk that run and aren't told to stop.
    core: Vec<usize>,
    stopping: Vec<Stopping>,
    next_successor: usize,
    version: u64,
    changed_at: Instant,
}

/// Executes one run.
///
/// # Errors
///
/// Fails if the processes can't be started or accept no configuration.
pub fn run(settings: &ReplacementSettings) -> Result<ReplacementReport, SoakError> {
    fs::create_dir_all(&settings.folder)?;
    let mut cluster = Cluster::start(settings)?;
    let callers = cluster.spawn_callers();
    let outcome = cluster.replace_all();
    cluster.finished.store(true, Ordering::Relaxed);
    for caller in callers {
        if caller.join().is_err() {
            let text = "a caller thread panicked".to_owned();
            cluster.oracle.record_breach(text);
        }
    }
    outcome?;
    for process in &mut cluster.processes {
        process.kill();
    }
    let (counts, breaches) = cluster.oracle.report();
    if breaches.is_empty() {
        fs::remove_dir_all(&settings.folder)?;
    }
    Ok(ReplacementReport {
        seed: settings.seed,
        replacements: settings.replacements.clone(),
        counts,
        version: cluster.version,
        breaches,
    })
}

impl Cluster {
    fn start(settings: &ReplacementSettings) -> Result<Self, SoakError> {
        let oracle = Arc::new(Oracle::default());
        for (team, total) in TEAMS {
            oracle.set_total(team, total);
        }
        let first_successor = DISK_PROCESS_COUNT + DISKLESS_PROCESS_COUNT;
        let count = first_successor + settings.replacements.len();
        let port = setup::find_free_ports(4);
        let processes = (0..count).map(|index| {
            let has_disk = index < DISK_PROCESS_COUNT || index >= first_successor;
            let number = u8::try_from(index).unwrap_or(u8::MAX);
            Process::new(&settings.folder, number, port, has_disk)
        });
        let mut cluster = Self {
            settings: settings.clone(),
            oracle,
            finished: Arc::default(),
            processes: processes.collect(),
            core: (0..DISK_PROCESS_COUNT).collect(),
            stopping: Vec::new(),
            next_successor: first_successor,
            version: 0,
            changed_at: Instant::now(),
        };
        for index in 0..first_successor {
            cluster.start_process(index, true)?;
        }
        let mut engines = Vec::new();
        for route in ROUTES {
            let id = format!("engine-{}", route.name);
            let engine = FakeEngine::spawn(id, &route, false, Conduct::Steady, &cluster.oracle)?;
            let first = setup::announcement(&engine.id, route.name, engine.address);
            engines.push((first, engine.lifetime));
        }
        let all = cluster.processes.iter().map(|p| p.control_address);
        setup::spawn_announcer(engines, all.collect(), &cluster.finished);
        if !cluster.submit_config() {
            return Err(SoakError::Unconfigured(settings.folder.clone()));
        }
        thread::sleep(CATCH_UP);
        Ok(cluster)
    }

    /// Starts callers of the machines without a disk, which aren't replaced.
    fn spawn_callers(&self) -> Vec<thread::JoinHandle<()>> {
        let entries = DISK_PROCESS_COUNT..DISK_PROCESS_COUNT + DISKLESS_PROCESS_COUNT;
        let addresses: Vec<SocketAddrV4> = self.processes[entries]
            .iter()
            .map(|process| process.caller_address)
            .collect();
        let callers = (0..self.settings.callers).map(|number| {
            let caller = Caller {
                number,
                seed: self.settings.seed,
                addresses: addresses.clone(),
                oracle: Arc::clone(&self.oracle),
                finished: Arc::clone(&self.finished),
            };
            thread::spawn(move || caller.run())
        });
        callers.collect()
    }

    fn start_process(&mut self, index: usize, first: bool) -> io::Result<()> {
        let core = self.core.iter().take(DISK_PROCESS_COUNT);
        let seeds: Vec<SocketAddrV4> = core
            .map(|&index| self.processes[index].control_address)
            .collect();
        self.processes[index].start(&self.settings.daemon_path, &seeds, first)
    }

    /// Returns the control addresses of the processes that aren't told to stop.
    fn control_addresses(&self) -> Vec<SocketAddrV4> {
        let entries = DISK_PROCESS_COUNT..DISK_PROCESS_COUNT + DISKLESS_PROCESS_COUNT;
        let running = self.core.iter().copied().chain(entries);
        running
            .map(|index| self.processes[index].control_address)
            .collect()
    }

    /// Submits the next configuration; returns whether it was acknowledged.
    fn submit_config(&mut self) -> bool {
        self.version += 1;
        let first = usize::try_from(self.version).unwrap_or(0);
        let addresses = self.control_addresses();
        let accepted = caller::submit_config(&addresses, self.version, first, &self.oracle);
        self.changed_at = Instant::now();
        accepted
    }

    fn replace_all(&mut self) -> io::Result<()> {
        for replacement in self.settings.replacements.clone() {
            let started_at = self.replace(replacement)?;
            let pause = Duration::from_millis(replacement.pause_ms);
            self.run_until(started_at + CATCH_UP + pause);
        }
        while !self.stopping.is_empty() {
            self.run_until(Instant::now() + POLL_INTERVAL);
        }
        self.check_final_state();
        Ok(())
    }

    /// Replaces a machine; returns when its successor was started.
    fn replace(&mut self, replacement: Replacement) -> io::Result<Instant> {
        let old = self.core.remove(replacement.choice % self.core.len());
        match replacement.manner {
            Manner::Killed => self.processes[old].kill(),
            Manner::Stopped => {
                self.stop(old, replacement.held);
                while !self.stopping.is_empty() {
                    self.run_until(Instant::now() + POLL_INTERVAL);
                }
            }
            Manner::Planned => {
                let started_at = self.start_successor()?;
                self.run_until(started_at + SUCCESSOR_DELAY);
                self.stop(old, replacement.held);
                return Ok(started_at);
            }
        }
        self.run_until(Instant::now() + SUCCESSOR_DELAY);
        self.start_successor()
    }

    fn start_successor(&mut self) -> io::Result<Instant> {
        let index = self.next_successor;
        self.next_successor += 1;
        self.start_process(index, false)?;
        self.core.push(index);
        Ok(Instant::now())
    }

    /// Tells a process to stop.
    fn stop(&mut self, index: usize, held: bool) {
        let process = &self.processes[index];
        let connection = held.then(|| hold(process.caller_address)).flatten();
        process.signal(Signal::TERM);
        self.stopping.push(Stopping {
            index,
            kill_at: Instant::now() + GRACE_PERIOD,
            _held: connection,
        });
    }

    /// Changes the configuration and ends stopping processes until `deadline`.
    fn run_until(&mut self, deadline: Instant) {
        while Instant::now() < deadline {
            self.end_stops();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if self.changed_at.elapsed() > CHANGE_INTERVAL && remaining > CHANGE_INTERVAL {
                self.submit_config();
            }
            thread::sleep(POLL_INTERVAL.min(remaining));
        }
    }

    fn end_stops(&mut self) {
        let now = Instant::now();
        let processes = &mut self.processes;
        self.stopping.retain(|stopping| {
            let process = &mut processes[stopping.index];
            if now > stopping.kill_at {
                process.kill();
            }
            !process.has_exited()
        });
    }

    /// Reads the configuration from every process, then submits another one.
    fn check_final_state(&mut self) {
        let deadline = Instant::now() + RECOVERY_TIME;
        for address in self.control_addresses() {
            while !caller::check_config(address, &self.oracle) {
                if Instant::now() > deadline {
                    let text = format!("config: {address} returns no configuration");
                    self.oracle.record_breach(text);
                    return;
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        if !self.submit_config() {
            let text = "config: a change isn't acknowledged".to_owned();
            self.oracle.record_breach(text);
        }
        if self.oracle.report().0.answered == 0 {
            let text = "no request was answered".to_owned();
            self.oracle.record_breach(text);
        }
    }
}

/// Sends a part of a request, which counts as one in progress.
fn hold(address: SocketAddrV4) -> Option<Connection> {
    let mut connection = caller::connect(address)?;
    let part = b"POST /book/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 2\r\n\r\n1";
    connection.stream.write_all(part).ok()?;
    Some(connection)
}
