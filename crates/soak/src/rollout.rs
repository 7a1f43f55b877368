//! Large configurations and storms of changes at gateways with limited links and
//! processors.
//!
//! Each process is asked over its callers' port for routes that were just added or
//! removed, and the answers are checked against [`History`].

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use fastrand::Rng;
use platform::test_support;
use platform::test_support::SiteContent;
use serde::Serialize;

use crate::caller;
use crate::caller::Caller;
use crate::caller::ROUTE_HOST;
use crate::caller::ROUTES;
use crate::caller::TEAMS;
use crate::engine::Conduct;
use crate::engine::FakeEngine;
use crate::link::LinkCounts;
use crate::link::LinkEnd;
use crate::link::LinkLimits;
use crate::link::Network;
use crate::logs;
use crate::oracle::Oracle;
use crate::oracle::OutcomeCounts;
use crate::plan::PeerLinkMode;
use crate::process::Process;
use crate::run::SoakError;
use crate::run::millis;
use crate::setup;
use crate::throttle;
use crate::throttle::Limit;
use crate::timeline::Action;
use crate::timeline::TimedAction;
use crate::versions::Breach;
use crate::versions::Handling;
use crate::versions::History;
use crate::versions::Observation;
use crate::versions::RouteSet;
use crate::versions::STABLE_MS;

/// Number of routes that a large configuration adds.
pub const BLOCK_ROUTES: usize = 1_964;

/// Number of routes with which a configuration has 4 MiB, the limit of the platform.
pub const MAX_BLOCK_ROUTES: usize = 12_400;

/// Number of seeds that a process is given.
const SEEDS: usize = 3;

/// Ports of a process: for callers, readiness, control and peers, and the advertised one.
const PORTS: u16 = 5;

/// Time in which a change must be acknowledged, and the addition for each route.
const ACK_MS: (u64, u64) = (5_000, 3);

/// Time after which the operator asks another process, and the addition for each byte of
/// the body.
const ASK_AGAIN: (Duration, Duration) = (Duration::from_secs(1), Duration::from_micros(1));

/// Range of the operator's pause after a failed call; it doubles from the first to the
/// last.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_600));

/// Maximum number of changes that the operator submits at the same time.
const MAX_SUBMISSIONS: usize = 8;

/// Range of the pause between two requests to the same process, in milliseconds.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 60..140;

/// Number of requests to a process for each read of its configuration.
const REQUESTS_PER_READ: u64 = 60;

/// Timeout of a read of the configuration.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Time in which all processes must return the configuration at the end.
const FINAL_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which due actions are started.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time in which the first configuration must be acknowledged.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway with its resources.
#[derive(Clone, Copy, Debug)]
pub struct GatewayShape {
    /// Whether it has a disk.
    pub has_disk: bool,
    /// Link to its peers.
    pub link: LinkLimits,
    /// Its share of a core.
    pub share: f64,
}

/// Settings of a rollout.
#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// Seed of the run.
    pub seed: u64,
    /// Duration of the traffic.
    pub duration: Duration,
    /// Number of callers.
    pub callers: usize,
    /// Path of the program under test.
    pub daemon_path: PathBuf,
    /// Directory for files; kept if a rule was broken.
    pub folder: PathBuf,
    /// The gateways; the first ones have disks.
    pub gateways: Vec<GatewayShape>,
    /// Number of routes that a large configuration adds.
    pub block_routes: usize,
    /// Changes and faults.
    pub actions: Vec<TimedAction>,
}

/// Median and greatest of some times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Times {
    /// Number of them.
    pub count: usize,
    /// The median.
    pub p50_ms: u64,
    /// The greatest.
    pub worst_ms: u64,
}

/// Result of a rollout.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of processes.
    pub gateways: usize,
    /// Number of callers' requests by outcome.
    pub counts: OutcomeCounts,
    /// Number of requests on routes that were added or removed.
    pub route_requests: u64,
    /// Times from a submission to its acknowledgement.
    pub acks: Times,
    /// Times from an acknowledgement until the version or a newer one is in force at each
    /// process that wasn't started meanwhile.
    pub in_force: Times,
    /// Changes of the leader that replicas logged while nothing was disturbed.
    pub leader_changes: u64,
    /// Those of them that left a replica without a leader.
    pub leader_losses: u64,
    /// Traffic of all links.
    pub traffic: LinkCounts,
    /// Longest time for which the relay itself held back a datagram; where it is long,
    /// the machine of the run was too busy to emulate the links.
    pub relay_delay_ms: u64,
    /// Broken rules, with the number of cases and the first one.
    pub breaches: Vec<String>,
    /// Directory with the actions and the logs, if a rule was broken.
    #[serde(rename = "kept")]
    pub artifacts: Option<PathBuf>,
}

/// State that the threads of a run share.
struct Shared {
    settings: RolloutSettings,
    start: Instant,
    start_of_day_ms: u64,
    callers_at: Vec<SocketAddrV4>,
    control_at: Vec<SocketAddrV4>,
    finished: AtomicBool,
    history: Mutex<History>,
    broken: Mutex<BTreeMap<String, (u64, String)>>,
    requests: Mutex<u64>,
    /// Number of changes that wait for their acknowledgement.
    submissions: Mutex<usize>,
    submission_ended: Condvar,
    /// Times at which a process or its link was disturbed.
    disturbed: Mutex<Vec<u64>>,
}

/// The processes and links of a run.
struct Cluster {
    shared: Arc<Shared>,
    oracle: Arc<Oracle>,
    finished: Arc<AtomicBool>,
    processes: Vec<Process>,
    network: Network,
}

/// Returns `count` gateways like those of a grown site: three in eight have a disk, a link
/// of 100 Mbit/s and 0.32 of a core, the others a link of 22 Mbit/s and 0.2 of a core.
#[must_use]
pub fn site_gateways(count: usize) -> Vec<GatewayShape> {
    let with_disk = (count * 3 / 8).max(3);
    let shape = |index| {
        let has_disk = index < with_disk;
        GatewayShape {
            has_disk,
            link: LinkLimits {
                rate: if has_disk { 12_500_000 } else { 2_750_000 },
                delay: Duration::from_micros(500),
                queue_bytes: 256 << 10,
            },
            share: if has_disk { 0.32 } else { 0.2 },
        }
    };
    (0..count).map(shape).collect()
}

/// Returns gateways like [`site_gateways`], each with a whole core and a link that holds
/// nothing back.
#[must_use]
pub fn unlimited_gateways(count: usize) -> Vec<GatewayShape> {
    let mut shapes = site_gateways(count);
    for shape in &mut shapes {
        shape.share = 1.0;
        shape.link = LinkLimits {
            rate: 1_000_000_000,
            delay: Duration::ZERO,
            queue_bytes: 64 << 20,
        };
    }
    shapes
}

/// Executes one rollout.
///
/// # Errors
///
/// Fails if the processes cannot be started or accept no configuration.
pub fn run(settings: &RolloutSettings) -> Result<RolloutReport, SoakError> {
    fs::create_dir_all(&settings.folder)?;
    let mut cluster = Cluster::start(settings)?;
    let outcome = cluster.run_actions();
    cluster.shared.finished.store(true, Ordering::Relaxed);
    cluster.finished.store(true, Ordering::Relaxed);
    for process in &mut cluster.processes {
        process.kill();
    }
    outcome?;
    let mut report = cluster.report()?;
    if report.breaches.is_empty() {
        fs::remove_dir_all(&settings.folder)?;
    } else {
        let lines = settings.actions.iter();
        let lines = lines.map(|(at, action)| format!("{at} ms: {action}\n"));
        fs::write(settings.folder.join("plan"), lines.collect::<String>())?;
        fs::write(settings.folder.join("breaches"), report.breaches.join("\n"))?;
        report.artifacts = Some(settings.folder.clone());
    }
    Ok(report)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn now_ms(&self) -> u64 {
        millis(self.start.elapsed())
    }

    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    fn has_disk(&self, process: usize) -> bool {
        self.settings.gateways[process].has_disk
    }

    fn record(&self, breach: Breach) {
        let mut broken = lock(&self.broken);
        let case = broken.entry(breach.case).or_insert((0, breach.details));
        case.0 += 1;
    }

    /// Records a disturbance with `apply`, one of the methods of [`History`].
    fn disturb(&self, process: usize, apply: fn(&mut History, usize, bool, u64)) {
        let now_ms = self.now_ms();
        lock(&self.disturbed).push(now_ms);
        apply(
            &mut lock(&self.history),
            process,
            self.has_disk(process),
            now_ms,
        );
    }

    /// Submits a version like [`Self::submit_now`], once there are fewer than
    /// [`MAX_SUBMISSIONS`].
    fn submit(&self, number: u64, routes: &RouteSet) -> bool {
        let running = lock(&self.submissions);
        let full = |running: &mut usize| *running >= MAX_SUBMISSIONS;
        let waited = self.submission_ended.wait_while(running, full);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        let acknowledged = self.submit_now(number, routes);
        *lock(&self.submissions) -= 1;
        self.submission_ended.notify_one();
        acknowledged
    }

    /// Submits a version until it is acknowledged, and checks the time that this takes.
    fn submit_now(&self, number: u64, routes: &RouteSet) -> bool {
        let names: Vec<String> = routes.iter().map(|key| key.to_string()).collect();
        let body = test_support::write_site(&SiteContent {
            version: number,
            host: ROUTE_HOST,
            routes: &ROUTES,
            more_routes: &names,
            teams: &TEAMS,
        });
        let bound_ms = ACK_MS.0 + ACK_MS.1 * (ROUTES.len() + names.len()) as u64;
        let size = u32::try_from(body.len()).unwrap_or(u32::MAX);
        let timeout = ASK_AGAIN.0 + ASK_AGAIN.1 * size;
        let start_ms = self.now_ms();
        let mut rng = Rng::with_seed(self.settings.seed ^ number);
        let mut pause = BACKOFF.0;
        let mut reported = false;
        loop {
            let to = self.control_at[rng.usize(..self.control_at.len())];
            let path = test_support::CONFIG_REPLACE_PATH;
            let answer = caller::control_request_within(to, "POST", path, body.as_bytes(), timeout);
            let elapsed_ms = self.now_ms() - start_ms;
            let status = answer.map(|(status, _)| status);
            if elapsed_ms > bound_ms && !reported {
                reported = true;
                self.check_late_ack(number, start_ms, bound_ms);
            }
            match status {
                Some(200) => {
                    lock(&self.history).acknowledge(number, self.now_ms());
                    return true;
                }
                Some(status @ (400 | 409 | 412 | 413 | 422)) => {
                    self.record(Breach {
                        case: format!("config: a valid version is refused with {status}"),
                        details: format!("version {number}"),
                    });
                    return false;
                }
                _ if elapsed_ms > 2 * bound_ms => return false,
                _ => {}
            }
            thread::sleep(pause);
            pause = (2 * pause).min(BACKOFF.1);
        }
    }

    fn check_late_ack(&self, number: u64, start_ms: u64, bound_ms: u64) {
        if lock(&self.history).is_calm(start_ms) {
            self.record(Breach {
                case: "ack: a change is not acknowledged in time".to_owned(),
                details: format!(
                    "version {number}, submitted at {start_ms} ms, after {bound_ms} ms"
                ),
            });
        }
    }

    /// Reads the configuration at a process once; returns whether it returned one.
    fn read_config(&self, process: usize) -> bool {
        let sent_ms = self.now_ms();
        let path = test_support::CONFIG_FETCH_PATH;
        let to = self.control_at[process];
        let answer = caller::control_request_within(to, "GET", path, b"", READ_TIMEOUT);
        let Some((200, body)) = answer else {
            return false;
        };
        let breach = match test_support::config_version(&body) {
            Some(version) => lock(&self.history).judge_read(process, version, sent_ms),
            None => Some(Breach {
                case: format!("config: a read at process {process} cannot be parsed"),
                details: format!("read at {sent_ms} ms"),
            }),
        };
        if let Some(breach) = breach {
            self.record(breach);
        }
        true
    }

    /// Reads the configuration from each process, at the end.
    fn check_final_state(&self) {
        let deadline = Instant::now() + FINAL_READ_TIMEOUT;
        for process in 0..self.control_at.len() {
            while !self.read_config(process) {
                if Instant::now() > deadline {
                    return self.record(Breach {
                        case: "config: no configuration is read at the end".to_owned(),
                        details: format!("at process {process}"),
                    });
                }
                thread::sleep(BACKOFF.0);
            }
        }
    }

    /// Sends requests on routes that were added or removed to one process.
    fn request_routes(&self, process: usize) {
        let seed = self.settings.seed ^ ((process as u64 + 1) << 40);
        let mut rng = Rng::with_seed(seed);
        let mut idle_connection = None;
        let mut count = 0_u64;
        while !self.is_finished() {
            thread::sleep(Duration::from_millis(rng.u64(REQUEST_PAUSE_MS)));
            let Some(key) = lock(&self.history).pick_route(&mut rng) else {
                continue;
            };
            let entry = self.callers_at[process];
            let Some(mut connection) = idle_connection.take().or_else(|| caller::connect(entry))
            else {
                continue;
            };
            count += 1;
            if count.is_multiple_of(REQUESTS_PER_READ) {
                self.read_config(process);
            }
            let id = format!("{:x}-route-{process}-{count}", self.settings.seed);
            let sent_ms = self.now_ms();
            let (status, reusable) = caller::request_route(&mut connection, &id, &key.to_string());
            let observation = Observation {
                process,
                key,
                sent_ms,
                end_ms: self.now_ms(),
                handling: Handling::of_status(status),
            };
            *lock(&self.requests) += 1;
            let breach = lock(&self.history).judge(&observation);
            if let Some(mut breach) = breach {
                breach.details.push_str(", id=");
                breach.details.push_str(&id);
                self.record(breach);
            }
            idle_connection = reusable.then_some(connection);
        }
    }
}

impl Cluster {
    fn start(settings: &RolloutSettings) -> Result<Self, SoakError> {
        let oracle = Arc::new(Oracle::default());
        for (team, total) in TEAMS {
            oracle.set_total(team, total);
        }
        let finished = Arc::new(AtomicBool::new(false));
        let port = setup::find_free_ports(PORTS);
        let mut processes = Vec::new();
        let mut ends = Vec::new();
        for (index, shape) in (0..=u8::MAX).zip(&settings.gateways) {
            let mut process = Process::new(&settings.folder, index, port, shape.has_disk);
            let bound = process.peer_address();
            let advertised = SocketAddrV4::new(*bound.ip(), port + PORTS - 1);
            process.advertise(advertised);
            processes.push(process);
            ends.push(LinkEnd {
                bound,
                advertised,
                limits: shape.link,
            });
        }
        let network = Network::spawn(&ends)?;
        let limit = |(process, shape): (&Process, &GatewayShape)| Limit {
            running: process.running(),
            share: shape.share,
        };
        let limits = processes.iter().zip(&settings.gateways).map(limit);
        throttle::spawn(limits.collect(), &finished);
        let control_at: Vec<_> = processes.iter().map(|p| p.control_address).collect();
        let shared = Arc::new(Shared {
            settings: settings.clone(),
            start: Instant::now(),
            start_of_day_ms: logs::time_of_day(SystemTime::now()),
            callers_at: processes.iter().map(|p| p.caller_address).collect(),
            control_at: control_at.clone(),
            finished: AtomicBool::new(false),
            history: Mutex::default(),
            broken: Mutex::default(),
            requests: Mutex::default(),
            submissions: Mutex::default(),
            submission_ended: Condvar::new(),
            disturbed: Mutex::default(),
        });
        let core_size = settings.gateways.iter().filter(|shape| shape.has_disk);
        lock(&shared.history).set_core_size(core_size.count());
        let mut cluster = Self {
            shared,
            oracle,
            finished,
            processes,
            network,
        };
        for index in 0..settings.gateways.len() {
            cluster.start_process(index, true)?;
        }
        let mut engines = Vec::new();
        for route in &ROUTES {
            let id = format!("engine-{}", route.name);
            let engine = FakeEngine::spawn(id, route, false, Conduct::Steady, &cluster.oracle)?;
            let first = setup::announcement(&engine.id, route.name, engine.address);
            engines.push((first, engine.lifetime));
        }
        setup::spawn_announcer(engines, control_at, &cluster.finished);
        cluster.check_unconfigured();
        if cluster.submit_first() {
            Ok(cluster)
        } else {
            Err(SoakError::Unconfigured(settings.folder.clone()))
        }
    }

    /// Asks each process before the first configuration is submitted.
    fn check_unconfigured(&self) {
        for (process, &entry) in self.shared.callers_at.iter().enumerate() {
            let Some(mut connection) = caller::connect(entry) else {
                continue;
            };
            let id = format!("unconfigured-{process}");
            let (status, _) = caller::request_route(&mut connection, &id, ROUTES[2].name);
            if status.is_some_and(|status| status != 503) {
                self.shared.record(Breach {
                    case: format!("unconfigured: process {process} answers {status:?}"),
                    details: id,
                });
            }
        }
    }

    fn submit_first(&self) -> bool {
        let now_ms = self.shared.now_ms();
        let (number, routes) = lock(&self.shared.history).submit(1, None, now_ms);
        let deadline = Instant::now() + FIRST_CONFIG_TIMEOUT;
        while !self.shared.submit(number, &routes) {
            if Instant::now() > deadline {
                return false;
            }
        }
        true
    }

    fn start_process(&mut self, index: usize, first: bool) -> io::Result<()> {
        let gateways = &self.shared.settings.gateways;
        let seeds = self.shared.control_at.iter().zip(gateways);
        let seeds: Vec<SocketAddrV4> = seeds
            .filter(|(_, shape)| shape.has_disk)
            .map(|(&address, _)| address)
            .take(SEEDS)
            .collect();
        self.processes[index].start(&self.shared.settings.daemon_path, &seeds, first)?;
        self.shared.disturb(index, History::start);
        Ok(())
    }

    fn run_actions(&mut self) -> Result<(), SoakError> {
        // Processes are in touch before the first change.
        thread::sleep(Duration::from_millis(STABLE_MS));
        let mut threads = self.spawn_callers();
        for process in 0..self.processes.len() {
            let shared = Arc::clone(&self.shared);
            threads.push(thread::spawn(move || shared.request_routes(process)));
        }
        let start = Instant::now();
        let duration = self.shared.settings.duration;
        let actions = self.shared.settings.actions.clone();
        let mut rng = Rng::with_seed(self.shared.settings.seed);
        let mut next = actions.iter().peekable();
        let mut submissions = Vec::new();
        while start.elapsed() < duration || next.peek().is_some() {
            while let Some((_, action)) = next.next_if(|(at, _)| millis(start.elapsed()) >= *at) {
                match action {
                    Action::Large => {
                        let block = self.shared.settings.block_routes;
                        submissions.push(self.submit(&mut rng, Some(block)));
                    }
                    Action::Change => submissions.push(self.submit(&mut rng, None)),
                    fault => self.inject(fault)?,
                }
            }
            self.check_exits()?;
            thread::sleep(POLL_INTERVAL);
        }
        // Their time bounds end later.
        join(submissions, &self.oracle);
        self.shared.check_final_state();
        self.shared.finished.store(true, Ordering::Relaxed);
        self.finished.store(true, Ordering::Relaxed);
        join(threads, &self.oracle);
        Ok(())
    }

    fn spawn_callers(&self) -> Vec<JoinHandle<()>> {
        let spawn = |number| {
            let caller = Caller {
                number,
                seed: self.shared.settings.seed,
                addresses: self.shared.callers_at.clone(),
                oracle: Arc::clone(&self.oracle),
                finished: Arc::clone(&self.finished),
            };
            thread::spawn(move || caller.run())
        };
        (0..self.shared.settings.callers).map(spawn).collect()
    }

    fn submit(&self, rng: &mut Rng, block: Option<usize>) -> JoinHandle<()> {
        let shared = Arc::clone(&self.shared);
        let now_ms = shared.now_ms();
        let (number, routes) = lock(&shared.history).submit(rng.u64(1..4), block, now_ms);
        thread::spawn(move || {
            shared.submit(number, &routes);
        })
    }

    fn inject(&mut self, fault: &Action) -> io::Result<()> {
        match fault {
            Action::Kill(list) => {
                for &index in list {
                    self.shared.disturb(index, History::leave);
                    self.processes[index].kill();
                }
            }
            Action::Start(list) => {
                for &index in list {
                    self.start_process(index, false)?;
                }
            }
            Action::Link(index, mode) => {
                let apply = match mode {
                    PeerLinkMode::Open => History::rejoin,
                    PeerLinkMode::Cut | PeerLinkMode::Silent | PeerLinkMode::Slow => History::leave,
                };
                self.shared.disturb(*index, apply);
                self.network.set_mode(*index, *mode);
            }
            Action::Large | Action::Change => {}
        }
        Ok(())
    }

    /// Restarts processes that ended by themselves.
    fn check_exits(&mut self) -> io::Result<()> {
        for index in 0..self.processes.len() {
            if self.processes[index].has_crashed() {
                self.shared.record(Breach {
                    case: format!("exit: process {index} exited unexpectedly"),
                    details: format!("at {} ms", self.shared.now_ms()),
                });
                self.start_process(index, false)?;
            }
        }
        Ok(())
    }

    fn report(&self) -> io::Result<RolloutReport> {
        let (counts, mut breaches) = self.oracle.report();
        for (case, (count, first)) in lock(&self.shared.broken).iter() {
            breaches.push(format!("{case}: {count} cases; {first}"));
        }
        let history = lock(&self.shared.history);
        let acked: Vec<_> = history.acknowledged().collect();
        let mut report = RolloutReport {
            seed: self.shared.settings.seed,
            gateways: self.processes.len(),
            counts,
            route_requests: *lock(&self.shared.requests),
            acks: times(acked.iter().map(|(_, sent, acked)| acked - sent).collect()),
            in_force: Times::default(),
            leader_changes: 0,
            leader_losses: 0,
            traffic: total(&self.network.counts()),
            relay_delay_ms: millis(self.network.worst_delay()),
            breaches,
            artifacts: None,
        };
        let mut delays = Vec::new();
        for process in &self.processes {
            let text = fs::read_to_string(process.log_path())?;
            self.read_log(&text, &acked, &mut delays, &mut report);
        }
        report.in_force = times(delays);
        Ok(report)
    }

    /// Adds what a process's log says to the report and to the times until a version was in
    /// force.
    fn read_log(
        &self,
        text: &str,
        acked: &[(u64, u64, u64)],
        delays: &mut Vec<u64>,
        report: &mut RolloutReport,
    ) {
        let start = self.shared.start_of_day_ms;
        let lines: Vec<_> = logs::parse(text)
            .map(|(time, line)| (logs::elapsed(start, time), line))
            .collect();
        for &(version, _, acked_ms) in acked {
            let newer = |line: &logs::Line| matches!(line, logs::Line::InForce(v) if *v >= version);
            let Some(&(at, _)) = lines.iter().find(|(_, line)| newer(line)) else {
                continue;
            };
            // A process that starts meanwhile fetches the version later.
            let mut starts = lines.iter().filter(|(_, line)| *line == logs::Line::Start);
            if !starts.any(|(start, _)| (acked_ms..at).contains(start)) {
                delays.push(at.saturating_sub(acked_ms));
            }
        }
        let first_ack = acked.first().map_or(0, |&(_, _, acked_ms)| acked_ms);
        let disturbed = lock(&self.shared.disturbed);
        for &(at, line) in &lines {
            let logs::Line::Leader { known } = line else {
                continue;
            };
            let calm = disturbed
                .iter()
                .all(|&event| at < event || at >= event + STABLE_MS);
            if at > first_ack && calm {
                report.leader_changes += 1;
                report.leader_losses += u64::from(!known);
            }
        }
    }
}

fn join(threads: Vec<JoinHandle<()>>, oracle: &Oracle) {
    for thread in threads {
        if thread.join().is_err() {
            oracle.record_breach("a thread of the run panicked".to_owned());
        }
    }
}

fn times(mut list: Vec<u64>) -> Times {
    list.sort_unstable();
    Times {
        count: list.len(),
        p50_ms: list.get(list.len() / 2).copied().unwrap_or(0),
        worst_ms: list.last().copied().unwrap_or(0),
    }
}

fn total(links: &[LinkCounts]) -> LinkCounts {
    let mut sum = LinkCounts::default();
    for link in links {
        sum.sent += link.sent;
        sum.received += link.received;
        sum.lost += link.lost;
    }
    sum
}
