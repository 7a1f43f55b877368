//! One run from its seed to its report.

use std::fs;
use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fastrand::Rng;
use platform::test_support;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use rustix::process::Signal;
use serde::Serialize;
use thiserror::Error;

use crate::caller;
use crate::caller::Caller;
use crate::caller::ROUTES;
use crate::caller::TEAMS;
use crate::engine::Engine;
use crate::oracle::Counts;
use crate::oracle::Oracle;
use crate::plan;
use crate::plan::DISKS;
use crate::plan::ENGINES;
use crate::plan::Fault;
use crate::plan::Link;
use crate::plan::PLAIN;
use crate::plan::Timed;
use crate::process::Process;
use crate::proxy::Proxy;

/// Time between two announcements of an engine.
const BEAT: Duration = Duration::from_millis(400);

/// Time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait for the first configuration, and for the last read.
const SETTLE: Duration = Duration::from_secs(20);

/// Time after the last fault in which callers go on.
const QUIET: Duration = Duration::from_millis(500);

/// What a run is told.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The seed, which names all faults.
    pub seed: u64,
    /// How long callers are served.
    pub length: Duration,
    /// Callers.
    pub callers: usize,
    /// The program.
    pub daemon: PathBuf,
    /// Where files go; kept where a promise was broken.
    pub folder: PathBuf,
}

/// Why a run can't be made.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The processes accepted no configuration.
    #[error("no configuration was accepted; see the logs in {}", .0.display())]
    Unconfigured(PathBuf),
}

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were brought about.
    pub faults: usize,
    /// How requests ended.
    pub counts: Counts,
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Where the plan and the logs are, where a promise was broken.
    pub kept: Option<PathBuf>,
}

struct Site {
    setup: Setup,
    oracle: Arc<Oracle>,
    over: Arc<AtomicBool>,
    processes: Vec<Process>,
    /// When each process starts again, or goes on.
    due: Vec<Option<(Instant, Again)>>,
    proxies: Vec<Proxy>,
    links: Vec<Option<Instant>>,
    version: u64,
}

/// What ends a fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Again {
    Start,
    Continue,
    /// Starts once it has ended by itself.
    AfterEnd,
}

/// Makes one run.
///
/// # Errors
///
/// Fails where processes can't be started or accept no configuration.
pub fn run(setup: &Setup) -> Result<Report, SoakError> {
    let faults = plan::draw(setup.seed, millis(setup.length));
    fs::create_dir_all(&setup.folder)?;
    let mut site = Site::start(setup)?;
    let outcome = site.play(&faults);
    site.over.store(true, Ordering::Relaxed);
    for process in &mut site.processes {
        process.kill();
    }
    outcome?;
    let (counts, breaches) = site.oracle.report();
    let mut kept = None;
    if breaches.is_empty() {
        fs::remove_dir_all(&setup.folder)?;
    } else {
        let lines = faults.iter().map(|(at, fault)| format!("{at} {fault}\n"));
        fs::write(setup.folder.join("plan"), lines.collect::<String>())?;
        fs::write(setup.folder.join("breaches"), breaches.join("\n"))?;
        kept = Some(setup.folder.clone());
    }
    Ok(Report {
        seed: setup.seed,
        faults: faults.len(),
        counts,
        breaches,
        kept,
    })
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the first of four ports that are free on loopback.
fn free_ports() -> u16 {
    let free = |port: u16| {
        let any = std::net::Ipv4Addr::UNSPECIFIED;
        TcpListener::bind((any, port)).is_ok() && UdpSocket::bind((any, port)).is_ok()
    };
    loop {
        let first = fastrand::u16(20_000..60_000);
        if (first..first + 4).all(free) {
            return first;
        }
    }
}

impl Site {
    fn start(setup: &Setup) -> Result<Self, SoakError> {
        let oracle = Arc::new(Oracle::default());
        for (team, total) in TEAMS {
            oracle.total(team, total);
        }
        let over = Arc::new(AtomicBool::new(false));
        let port = free_ports();
        let places = 0..u8::try_from(DISKS + PLAIN).unwrap_or(u8::MAX);
        let processes: Vec<Process> = places
            .map(|place| Process::new(&setup.folder, place, port, usize::from(place) < DISKS))
            .collect();
        let mut proxies = Vec::new();
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            // Two engines for streams, one for each other service.
            let route = ROUTES[number.saturating_sub(1)];
            let id = format!("engine-{number}");
            let faulty = !plan::planned_only(setup.seed);
            let engine = Engine::spawn(id, &route, faulty, &oracle)?;
            let proxy = Proxy::spawn(engine.address)?;
            engines.push(announced(&engine.id, route.name, proxy.address));
            proxies.push(proxy);
        }
        let count = processes.len();
        let mut site = Self {
            setup: setup.clone(),
            oracle,
            over,
            processes,
            due: vec![None; count],
            links: vec![None; proxies.len()],
            proxies,
            version: 1,
        };
        for place in 0..count {
            site.begin(place, true)?;
        }
        site.announce(engines);
        if !site.configure(false) {
            return Err(SoakError::Unconfigured(setup.folder.clone()));
        }
        Ok(site)
    }

    fn begin(&mut self, place: usize, first: bool) -> io::Result<()> {
        let seeds: Vec<SocketAddrV4> = self.controls().into_iter().take(DISKS).collect();
        self.processes[place].start(&self.setup.daemon, &seeds, first)
    }

    fn controls(&self) -> Vec<SocketAddrV4> {
        self.processes
            .iter()
            .map(|process| process.control)
            .collect()
    }

    /// Announces the engines at one process after the other, until the run is over.
    fn announce(&self, mut engines: Vec<EngineAnnouncement>) {
        let (controls, over) = (self.controls(), Arc::clone(&self.over));
        thread::spawn(move || {
            let mut round = 0;
            while !over.load(Ordering::Relaxed) {
                for said in &mut engines {
                    said.sequence += 1;
                    let (path, body) = test_support::heartbeat(said);
                    for attempt in 0..controls.len() {
                        let to = controls[(round + attempt) % controls.len()];
                        let answer = caller::control(to, "POST", &path, body.as_bytes());
                        if matches!(answer, Some((200, _))) {
                            break;
                        }
                    }
                }
                round += 1;
                thread::sleep(BEAT);
            }
        });
    }

    /// Sends the next configuration; `twice` sends the one before once more as well.
    fn configure(&mut self, twice: bool) -> bool {
        self.version += 1;
        let first = usize::try_from(self.version).unwrap_or(0);
        let done = caller::submit(&self.controls(), self.version, first, &self.oracle);
        if twice && done {
            // What has been overtaken is acknowledged and changes nothing.
            caller::submit(&self.controls(), self.version - 1, first + 1, &self.oracle);
        }
        done
    }

    fn play(&mut self, faults: &[Timed]) -> Result<(), SoakError> {
        let entries: Vec<SocketAddrV4> = self.processes.iter().map(|p| p.callers).collect();
        let callers: Vec<_> = (0..self.setup.callers)
            .map(|number| {
                let caller = Caller {
                    number,
                    seed: self.setup.seed,
                    entries: entries.clone(),
                    oracle: Arc::clone(&self.oracle),
                    over: Arc::clone(&self.over),
                };
                thread::spawn(move || caller.run())
            })
            .collect();
        let mut rng = Rng::with_seed(self.setup.seed);
        let began = Instant::now();
        let mut next = faults.iter().peekable();
        while began.elapsed() < self.setup.length || next.peek().is_some() {
            while let Some((_, fault)) = next.next_if(|(at, _)| millis(began.elapsed()) >= *at) {
                self.bring(*fault)?;
            }
            self.mend()?;
            if rng.u8(..25) == 0 {
                let controls = self.controls();
                caller::fetch(controls[rng.usize(..controls.len())], &self.oracle);
            }
            thread::sleep(LOOK);
        }
        while self.due.iter().any(Option::is_some) {
            self.mend()?;
            thread::sleep(LOOK);
        }
        thread::sleep(QUIET);
        self.over.store(true, Ordering::Relaxed);
        for caller in callers {
            if caller.join().is_err() {
                self.oracle.broken("a caller's thread ended".to_owned());
            }
        }
        self.read_back();
        Ok(())
    }

    /// Brings a fault about, but for one at a process that is away already.
    fn bring(&mut self, fault: Fault) -> io::Result<()> {
        let now = Instant::now();
        let after = |ms| now + Duration::from_millis(ms);
        match fault {
            Fault::Kill(place, ms) | Fault::Wipe(place, ms) if self.due[place].is_none() => {
                self.processes[place].kill();
                if matches!(fault, Fault::Wipe(..)) {
                    self.processes[place].wipe()?;
                }
                self.due[place] = Some((after(ms), Again::Start));
            }
            Fault::Freeze(place, ms) if self.due[place].is_none() => {
                self.processes[place].signal(Signal::STOP);
                self.due[place] = Some((after(ms), Again::Continue));
            }
            Fault::Stop(place) if self.due[place].is_none() => {
                self.processes[place].signal(Signal::TERM);
                self.due[place] = Some((now, Again::AfterEnd));
            }
            Fault::Reload(place) if self.due[place].is_none() => {
                self.processes[place].signal(Signal::HUP);
            }
            Fault::Link(engine, link, ms) => {
                self.proxies[engine].set(link);
                self.links[engine] = Some(after(ms));
            }
            Fault::Configure(twice) => {
                self.configure(twice);
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends the faults whose time is over.
    fn mend(&mut self) -> io::Result<()> {
        let now = Instant::now();
        for place in 0..self.processes.len() {
            let Some((at, again)) = self.due[place].filter(|(at, _)| now >= *at) else {
                continue;
            };
            match again {
                Again::Continue => self.processes[place].signal(Signal::CONT),
                Again::Start => self.begin(place, false)?,
                Again::AfterEnd if self.processes[place].ended() => self.begin(place, false)?,
                Again::AfterEnd if at.elapsed() > SETTLE => {
                    let text = format!("stop: process {place} doesn't end");
                    self.oracle.broken(text);
                    self.processes[place].kill();
                    self.begin(place, false)?;
                }
                Again::AfterEnd => continue,
            }
            self.due[place] = None;
        }
        for (proxy, until) in self.proxies.iter().zip(&mut self.links) {
            if until.is_some_and(|until| now >= until) {
                proxy.set(Link::Open);
                *until = None;
            }
        }
        for place in 0..self.processes.len() {
            if self.due[place].is_none() && self.processes[place].ended() {
                let text = format!("end: process {place} ended by itself");
                self.oracle.broken(text);
                self.begin(place, false)?;
            }
        }
        Ok(())
    }

    /// Reads the configuration at every process once all are back.
    fn read_back(&mut self) {
        let until = Instant::now() + SETTLE;
        for to in self.controls() {
            while !caller::fetch(to, &self.oracle) {
                if Instant::now() > until {
                    self.oracle.broken(format!("config: {to} tells none"));
                    return;
                }
                thread::sleep(LOOK);
            }
        }
        let (counts, _) = self.oracle.report();
        if plan::planned_only(self.setup.seed) && counts.cut_running > 0 {
            let cut = self.oracle.cut_running();
            let text = format!("stop: answers were cut by planned work: {cut:?}");
            self.oracle.broken(text);
        }
        if counts.answered == 0 {
            self.oracle.broken("nothing was answered".to_owned());
        }
    }
}

fn announced(id: &str, service: &str, address: SocketAddrV4) -> EngineAnnouncement {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    EngineAnnouncement {
        id: id.to_owned(),
        // A clock before 1970 is as good as any for one run.
        started_ms: born.map_or(1, millis),
        sequence: 0,
        service: service.to_owned(),
        address,
        domain: "a".to_owned(),
        slots: 64,
        phase: Phase::Ready,
    }
}

/// Returns the folder of the run with `seed` within `base`.
#[must_use]
pub fn folder(base: &Path, seed: u64) -> PathBuf {
    base.join(format!("seed-{seed}"))
}
