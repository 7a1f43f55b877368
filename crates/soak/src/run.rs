//! Runs one seed: starts processes and engines, injects the faults, and returns a report.

use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::Path;
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
use thiserror::Error;

use crate::caller;
use crate::caller::Caller;
use crate::caller::ROUTES;
use crate::caller::TEAMS;
use crate::engine::Conduct;
use crate::engine::FakeEngine;
use crate::oracle::Oracle;
use crate::oracle::OutcomeCounts;
use crate::plan;
use crate::plan::DISK_PROCESS_COUNT;
use crate::plan::DISKLESS_PROCESS_COUNT;
use crate::plan::ENGINE_COUNT;
use crate::plan::Fault;
use crate::plan::LinkMode;
use crate::plan::TimedFault;
use crate::process::Process;
use crate::proxy::Proxy;
use crate::setup;

/// Interval at which the run checks for due faults and recoveries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a process to exit after a stop, and of the final configuration reads.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which callers continue after the last fault has ended.
const FINAL_TRAFFIC_TIME: Duration = Duration::from_millis(500);

/// The engine that deregisters again and again, if engines depart.
const DEREGISTERING_ENGINE: usize = 1;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed that determines all faults.
    pub seed: u64,
    /// Duration of the traffic.
    pub duration: Duration,
    /// Number of callers.
    pub callers: usize,
    /// Path of the program under test.
    pub daemon_path: PathBuf,
    /// Directory for files; kept if an invariant was broken.
    pub folder: PathBuf,
    /// Whether engines leave again and again, one that says so in its answers and one that
    /// deregisters, and another one asks for pauses.
    pub departures: bool,
    /// Whether planned operations also come in series that overlap.
    pub series: bool,
    /// Whether all processes are also killed at the same time.
    pub blackouts: bool,
}

/// Why a run could not be completed.
#[derive(Debug, Error)]
pub enum SoakError {
    /// An operation on a file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The processes did not accept the first configuration.
    #[error("no configuration was accepted; see the logs in {}", .0.display())]
    Unconfigured(PathBuf),
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of faults in the plan.
    pub faults: usize,
    /// Number of requests by outcome.
    pub counts: OutcomeCounts,
    /// Descriptions of the broken invariants.
    pub breaches: Vec<String>,
    /// Directory with the plan and the logs, if an invariant was broken.
    #[serde(rename = "kept")]
    pub artifacts: Option<PathBuf>,
}

/// The processes, engines and proxies of a run.
struct Cluster {
    settings: RunSettings,
    oracle: Arc<Oracle>,
    finished: Arc<AtomicBool>,
    processes: Vec<Process>,
    /// Pending recovery of each process, with its time.
    recoveries: Vec<Option<(Instant, Recovery)>>,
    proxies: Vec<Proxy>,
    link_resets: Vec<Option<Instant>>,
    config_version: u64,
}

/// How a fault of a process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Recovery {
    Restart,
    Resume,
    /// Restarts the process once it has exited.
    RestartAfterExit,
}

/// Executes one run.
///
/// # Errors
///
/// Fails if the processes cannot be started or accept no configuration.
pub fn run(settings: &RunSettings) -> Result<Report, SoakError> {
    let mut faults = plan::generate(settings.seed, millis(settings.duration));
    if settings.series {
        faults.extend(plan::series(settings.seed, millis(settings.duration)));
        faults.sort_by_key(|&(at, _)| at);
    }
    if settings.blackouts {
        plan::add_blackouts(&mut faults, settings.seed, millis(settings.duration));
    }
    fs::create_dir_all(&settings.folder)?;
    let mut cluster = Cluster::start(settings)?;
    let outcome = cluster.run_plan(&faults);
    cluster.finished.store(true, Ordering::Relaxed);
    for process in &mut cluster.processes {
        process.kill();
    }
    outcome?;
    let (counts, breaches) = cluster.oracle.report();
    let mut artifacts = None;
    if breaches.is_empty() {
        fs::remove_dir_all(&settings.folder)?;
    } else {
        let lines = faults
            .iter()
            .map(|(at, fault)| format!("{at} ms: {fault}\n"));
        fs::write(settings.folder.join("plan"), lines.collect::<String>())?;
        fs::write(settings.folder.join("breaches"), breaches.join("\n"))?;
        artifacts = Some(settings.folder.clone());
    }
    Ok(Report {
        seed: settings.seed,
        faults: faults.len(),
        counts,
        breaches,
        artifacts,
    })
}

fn engine_id(number: usize) -> String {
    format!("engine-{number}")
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Cluster {
    fn start(settings: &RunSettings) -> Result<Self, SoakError> {
        let oracle = Arc::new(Oracle::default());
        for (team, total) in TEAMS {
            oracle.set_total(team, total);
        }
        let finished = Arc::new(AtomicBool::new(false));
        let port = setup::find_free_ports(4);
        let indices =
            0..u8::try_from(DISK_PROCESS_COUNT + DISKLESS_PROCESS_COUNT).unwrap_or(u8::MAX);
        let processes: Vec<Process> = indices
            .map(|index| {
                Process::new(
                    &settings.folder,
                    index,
                    port,
                    usize::from(index) < DISK_PROCESS_COUNT,
                )
            })
            .collect();
        let mut proxies = Vec::new();
        let mut engines = Vec::new();
        for number in 0..ENGINE_COUNT {
            // Two engines serve the streaming route, one each other route.
            let route = ROUTES[number.saturating_sub(1)];
            let id = engine_id(number);
            let faulty = !plan::is_planned_only(settings.seed);
            let conduct = match number {
                0 if settings.departures => Conduct::Leaves,
                3 if settings.departures => Conduct::Pauses,
                _ => Conduct::Steady,
            };
            let engine = FakeEngine::spawn(id, &route, faulty, conduct, &oracle)?;
            let proxy = Proxy::spawn(engine.address)?;
            let first = setup::announcement(&engine.id, route.name, proxy.address);
            engines.push((first, engine.lifetime));
            proxies.push(proxy);
        }
        let count = processes.len();
        let mut cluster = Self {
            settings: settings.clone(),
            oracle,
            finished,
            processes,
            recoveries: vec![None; count],
            link_resets: vec![None; proxies.len()],
            proxies,
            config_version: 1,
        };
        for index in 0..count {
            cluster.start_process(index, true)?;
        }
        if settings.departures {
            let (engine, lifetime) = engines.remove(DEREGISTERING_ENGINE);
            let (addresses, oracle) = (cluster.control_addresses(), Arc::clone(&cluster.oracle));
            let finished = &cluster.finished;
            let seed = settings.seed;
            setup::spawn_deregistrations(engine, lifetime, addresses, oracle, seed, finished);
        }
        setup::spawn_announcer(engines, cluster.control_addresses(), &cluster.finished);
        if !cluster.submit_config(false) {
            return Err(SoakError::Unconfigured(settings.folder.clone()));
        }
        Ok(cluster)
    }

    fn start_process(&mut self, index: usize, first: bool) -> io::Result<()> {
        let seeds: Vec<SocketAddrV4> = self
            .control_addresses()
            .into_iter()
            .take(DISK_PROCESS_COUNT)
            .collect();
        self.processes[index].start(&self.settings.daemon_path, &seeds, first)
    }

    fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.processes
            .iter()
            .map(|process| process.control_address)
            .collect()
    }

    /// Submits the next configuration; returns whether it was accepted. If `resubmit` is
    /// set, also submits the previous one again.
    fn submit_config(&mut self, resubmit: bool) -> bool {
        self.config_version += 1;
        let first = usize::try_from(self.config_version).unwrap_or(0);
        let accepted = caller::submit_config(
            &self.control_addresses(),
            self.config_version,
            first,
            &self.oracle,
        );
        if resubmit && accepted {
            // An older version is acknowledged and changes nothing.
            caller::submit_config(
                &self.control_addresses(),
                self.config_version - 1,
                first + 1,
                &self.oracle,
            );
        }
        accepted
    }

    fn run_plan(&mut self, faults: &[TimedFault]) -> Result<(), SoakError> {
        let caller_addresses: Vec<SocketAddrV4> =
            self.processes.iter().map(|p| p.caller_address).collect();
        let callers: Vec<_> = (0..self.settings.callers)
            .map(|number| {
                let caller = Caller {
                    number,
                    seed: self.settings.seed,
                    addresses: caller_addresses.clone(),
                    oracle: Arc::clone(&self.oracle),
                    finished: Arc::clone(&self.finished),
                };
                thread::spawn(move || caller.run())
            })
            .collect();
        let mut rng = Rng::with_seed(self.settings.seed);
        let start = Instant::now();
        let mut next = faults.iter().peekable();
        while start.elapsed() < self.settings.duration || next.peek().is_some() {
            while let Some((_, fault)) = next.next_if(|(at, _)| millis(start.elapsed()) >= *at) {
                self.inject(*fault)?;
            }
            self.end_faults()?;
            if rng.u8(..25) == 0 {
                let addresses = self.control_addresses();
                caller::check_config(addresses[rng.usize(..addresses.len())], &self.oracle);
            }
            thread::sleep(POLL_INTERVAL);
        }
        while self.recoveries.iter().any(Option::is_some) {
            self.end_faults()?;
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(FINAL_TRAFFIC_TIME);
        self.finished.store(true, Ordering::Relaxed);
        for caller in callers {
            if caller.join().is_err() {
                self.oracle
                    .record_breach("a caller thread panicked".to_owned());
            }
        }
        self.check_final_state();
        Ok(())
    }

    /// Injects a fault, except on a process that still has a pending recovery.
    fn inject(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        if let Some(process) = fault.process() {
            self.oracle.record_disturbance(process);
        }
        let after = |ms| now + Duration::from_millis(ms);
        match fault {
            Fault::Kill(index, ms) | Fault::KillAndWipe(index, ms)
                if self.recoveries[index].is_none() =>
            {
                self.processes[index].kill();
                if matches!(fault, Fault::KillAndWipe(..)) {
                    self.processes[index].wipe_disk()?;
                }
                self.recoveries[index] = Some((after(ms), Recovery::Restart));
            }
            Fault::KillAll(ms) => {
                for index in 0..self.processes.len() {
                    self.oracle.record_disturbance(index);
                    self.processes[index].kill();
                    self.recoveries[index] = Some((after(ms), Recovery::Restart));
                }
            }
            Fault::Suspend(index, ms) if self.recoveries[index].is_none() => {
                self.processes[index].signal(Signal::STOP);
                self.recoveries[index] = Some((after(ms), Recovery::Resume));
            }
            Fault::Stop(index) if self.recoveries[index].is_none() => {
                self.processes[index].signal(Signal::TERM);
                self.recoveries[index] = Some((now, Recovery::RestartAfterExit));
            }
            Fault::Reload(index) => {
                // Also while the process stops.
                self.processes[index].signal(Signal::HUP);
            }
            Fault::Link(engine, link, ms) => {
                self.oracle.record_link(&engine_id(engine), false);
                self.proxies[engine].set_mode(link);
                self.link_resets[engine] = Some(after(ms));
            }
            Fault::Configure(resubmit) => {
                self.submit_config(resubmit);
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends the faults whose time has passed, and restarts processes that exited
    /// unexpectedly.
    fn end_faults(&mut self) -> io::Result<()> {
        let now = Instant::now();
        for index in 0..self.processes.len() {
            let Some((at, recovery)) = self.recoveries[index].filter(|(at, _)| now >= *at) else {
                continue;
            };
            self.oracle.record_disturbance(index);
            match recovery {
                Recovery::Resume => self.processes[index].signal(Signal::CONT),
                Recovery::Restart => self.start_process(index, false)?,
                Recovery::RestartAfterExit if self.processes[index].has_exited() => {
                    if self.processes[index].has_failed() {
                        let text = format!("stop: process {index} overran its grace period");
                        self.oracle.record_breach(text);
                    }
                    self.start_process(index, false)?;
                }
                Recovery::RestartAfterExit if at.elapsed() > SETTLE_TIMEOUT => {
                    let text = format!("stop: process {index} does not exit");
                    self.oracle.record_breach(text);
                    self.processes[index].kill();
                    self.start_process(index, false)?;
                }
                Recovery::RestartAfterExit => continue,
            }
            self.recoveries[index] = None;
        }
        let links = self.proxies.iter().zip(&mut self.link_resets);
        for (number, (proxy, deadline)) in links.enumerate() {
            if deadline.is_some_and(|deadline| now >= deadline) {
                proxy.set_mode(LinkMode::Open);
                self.oracle.record_link(&engine_id(number), true);
                *deadline = None;
            }
        }
        for index in 0..self.processes.len() {
            if self.recoveries[index].is_none() && self.processes[index].has_exited() {
                let text = format!("exit: process {index} exited unexpectedly");
                self.oracle.record_breach(text);
                self.start_process(index, false)?;
            }
        }
        Ok(())
    }

    /// Reads the configuration from every process after their recovery, then checks the
    /// counts.
    fn check_final_state(&mut self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        for to in self.control_addresses() {
            while !caller::check_config(to, &self.oracle) {
                if Instant::now() > deadline {
                    self.oracle
                        .record_breach(format!("config: {to} returns no configuration"));
                    return;
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        let (counts, _) = self.oracle.report();
        if plan::is_planned_only(self.settings.seed) && counts.cut_running > 0 {
            let cut = self.oracle.cut_requests();
            let text = format!("stop: planned operations cut running requests: {cut:?}");
            self.oracle.record_breach(text);
        }
        if counts.answered == 0 {
            self.oracle
                .record_breach("no request was answered".to_owned());
        }
    }
}

/// Returns the directory of the run with `seed` below `base`.
#[must_use]
pub fn run_folder(base: &Path, seed: u64) -> PathBuf {
    base.join(format!("seed-{seed}"))
}
