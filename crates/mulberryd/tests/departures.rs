//! Engines that leave while real processes are killed, restart and freeze.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use platform::test_support;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use soak::caller;
use soak::link::LinkEnd;
use soak::link::LinkLimits;
use soak::link::Network;
use soak::oracle::Oracle;
use soak::plan::PeerLinkMode;
use soak::process::Process;
use soak::setup;

/// Number of gateways, three of them with a disk.
const GATEWAYS: u8 = 5;

/// A gateway without a disk.
const HOME: usize = 4;

/// The lines of a gateway's metrics by which it knows the engine, and that it has ended.
const AVAILABLE: &str = "mulberrytally_engines_available 1";
const ENDED: &str = "mulberrytally_engines_ended 1";

/// The line by which a gateway knows that the engine drains.
const DRAINING: &str = "mulberrytally_engines_draining 1";

/// Number of departures in a series.
const DEPARTURES: usize = 4;

/// Time after which other gateways have stopped sending to one that doesn't answer, so that
/// nothing waits in its socket.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum polls of a wait, far more than it needs.
const MAX_POLLS: u32 = 200;

/// Polls in which what must not happen would have happened.
const QUIET_POLLS: u32 = 30;

/// Returns the seed of a series: that of the environment, or `default`.
fn seed_or(default: u64) -> u64 {
    let seed = std::env::var("SEED").ok();
    seed.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Emulates the links of the gateways, which advertise a port of the relay from now on.
fn spawn_links(gateways: &mut [Process], port: u16) -> Network {
    let limits = LinkLimits {
        rate: 12_000_000,
        delay: Duration::from_millis(1),
        queue_bytes: 1 << 20,
    };
    let ends = gateways.iter_mut().map(|gateway| {
        let bound = gateway.peer_address();
        let advertised = SocketAddrV4::new(*bound.ip(), port);
        gateway.advertise(advertised);
        LinkEnd {
            bound,
            advertised,
            limits,
        }
    });
    let ends: Vec<LinkEnd> = ends.collect();
    Network::spawn(&ends).expect("bound")
}

/// Gateways that know one engine, which sends no heartbeats of its own.
struct Site {
    folder: PathBuf,
    gateways: Vec<Process>,
    addresses: Vec<SocketAddrV4>,
    engine: EngineAnnouncement,
    /// The program that is started for a gateway.
    program: PathBuf,
    /// The links between gateways, if they are emulated.
    network: Option<Network>,
}

impl Site {
    fn start(name: &str) -> Self {
        Self::open(name, false)
    }

    /// Starts gateways whose links can be disturbed and whose disks can be full.
    fn start_with_links(name: &str) -> Self {
        Self::open(name, true)
    }

    fn open(name: &str, has_links: bool) -> Self {
        let folder = std::env::temp_dir().join(format!("departures-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("created");
        let port = setup::find_free_ports(5);
        let gateways = (0..GATEWAYS).map(|index| Process::new(&folder, index, port, index < 3));
        let mut gateways: Vec<Process> = gateways.collect();
        let network = has_links.then(|| spawn_links(&mut gateways, port + 4));
        let addresses = gateways.iter().map(|gateway| gateway.control_address);
        let mut site = Self {
            program: if has_links {
                setup::write_launcher(&folder, env!("CARGO_BIN_EXE_mulberryd")).expect("written")
            } else {
                env!("CARGO_BIN_EXE_mulberryd").into()
            },
            network,
            addresses: addresses.collect(),
            gateways,
            engine: setup::announcement("e", "list", SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9)),
            folder,
        };
        for index in 0..site.gateways.len() {
            site.start_gateway(index, true);
        }
        let accepted = caller::submit_config(&site.addresses, 1, 0, &Oracle::default());
        assert!(accepted, "no configuration is accepted");
        assert!(site.beat(HOME));
        for index in 0..site.gateways.len() {
            site.wait_for(index, AVAILABLE);
        }
        site
    }

    fn start_gateway(&mut self, index: usize, is_first: bool) {
        let seeds = self.addresses[..3].to_vec();
        self.start_with_seeds(index, &seeds, is_first);
    }

    fn start_with_seeds(&mut self, index: usize, seeds: &[SocketAddrV4], is_first: bool) {
        let gateway = &mut self.gateways[index];
        let started = gateway.start(&self.program, seeds, is_first);
        started.expect("started");
    }

    fn post(&self, index: usize, (path, body): (String, String)) -> Option<u16> {
        let to = self.addresses[index];
        let answer = caller::control_request(to, "POST", &path, body.as_bytes());
        answer.map(|(status, _)| status)
    }

    /// Sends the next heartbeat to a gateway; returns whether it is acknowledged.
    fn beat(&mut self, index: usize) -> bool {
        self.engine.sequence += 1;
        self.post(index, test_support::heartbeat(&self.engine)) == Some(200)
    }

    /// The engine tells a gateway that its run has ended.
    fn deregister(&self, index: usize) -> Option<u16> {
        self.post(index, test_support::deregistration(&self.engine))
    }

    /// Returns whether the metrics of a gateway contain a line.
    fn shows(&self, index: usize, line: &str) -> bool {
        let answer = caller::control_request(self.addresses[index], "GET", "/metrics", b"");
        answer.is_some_and(|(_, text)| {
            let text = String::from_utf8_lossy(&text);
            text.lines().any(|other| other == line)
        })
    }

    /// Kills all gateways and starts them again; the disk of `lost` is wiped in between.
    fn restart_all(&mut self, lost: Option<usize>) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if let Some(lost) = lost {
            self.gateways[lost].wipe_disk().expect("wiped");
        }
        for index in 0..self.gateways.len() {
            self.start_gateway(index, false);
        }
    }

    /// Sends a heartbeat from before the departure to all gateways once they have restarted, and
    /// expects that none of them uses the engine, and that all know `ended` that have left.
    fn expect_ended_after_a_late_heartbeat(&mut self, ended: usize) {
        for index in 0..self.gateways.len() {
            self.wait_for(index, "mulberrytally_config_version 1");
            self.beat(index);
        }
        for index in 0..self.gateways.len() {
            self.wait_for(index, &format!("mulberrytally_engines_ended {ended}"));
        }
        for _ in 0..QUIET_POLLS {
            thread::sleep(POLL_INTERVAL);
            for index in 0..self.gateways.len() {
                assert!(!self.shows(index, AVAILABLE), "gateway {index} uses it");
            }
        }
    }

    /// Another engine takes the place of the one that has left, and all gateways know it.
    fn replace_engine(&mut self, number: usize) {
        self.engine = setup::announcement(&format!("e{number}"), "list", self.engine.address);
        for index in 0..self.gateways.len() {
            assert!(self.beat(index), "gateway {index}");
        }
        for index in 0..self.gateways.len() {
            self.wait_for(index, AVAILABLE);
        }
    }

    fn wait_for(&self, index: usize, line: &str) {
        let shown = (0..MAX_POLLS).any(|_| {
            thread::sleep(POLL_INTERVAL);
            self.shows(index, line)
        });
        assert!(
            shown,
            "{line} at gateway {index}, {}",
            self.folder.display()
        );
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Guards against an engine that has left and is used by all gateways but the one that was
/// told: that one was killed as soon as it had acknowledged it.
#[test]
fn an_acknowledged_departure_outlives_the_gateway_that_was_told() {
    let mut site = Site::start("killed");
    assert_eq!(site.deregister(HOME), Some(200));
    site.gateways[HOME].kill();
    for index in 0..HOME {
        site.wait_for(index, ENDED);
    }
}

/// Guards against a gateway that uses an engine which has left: it had acknowledged that and
/// restarted at its address, and an earlier heartbeat arrived.
#[test]
fn a_restarted_gateway_is_told_again_that_an_engine_has_left() {
    let mut site = Site::start("restarted");
    assert_eq!(site.deregister(HOME), Some(200));
    for index in 0..HOME {
        site.wait_for(index, ENDED);
    }
    site.gateways[HOME].kill();
    site.start_gateway(HOME, false);
    let beats = (0..MAX_POLLS).any(|_| {
        thread::sleep(POLL_INTERVAL);
        site.beat(HOME)
    });
    assert!(beats, "it acknowledges no heartbeat");
    site.wait_for(HOME, ENDED);
}

/// Guards against a gateway that uses an engine which has left: it froze before it had told
/// the others of a heartbeat, and the engine left meanwhile.
#[test]
fn a_gateway_that_was_frozen_is_told_that_an_engine_has_left() {
    let mut site = Site::start("frozen");
    assert!(site.beat(HOME));
    thread::sleep(POLL_INTERVAL);
    site.gateways[HOME].signal(Signal::STOP);
    thread::sleep(SILENCE);
    assert!(site.beat(0));
    let acknowledged = (0..MAX_POLLS).any(|_| site.deregister(0) == Some(200));
    assert!(acknowledged, "not acknowledged");
    thread::sleep(SILENCE);
    site.gateways[HOME].signal(Signal::CONT);
    site.wait_for(HOME, ENDED);
}

/// Guards against an engine that has left and is used: a gateway that reached no other one had
/// acknowledged it.
#[test]
fn a_gateway_that_reaches_no_other_one_acknowledges_no_departure() {
    let mut site = Site::start("alone");
    for gateway in &site.gateways[..HOME] {
        gateway.signal(Signal::STOP);
    }
    assert_eq!(site.deregister(HOME), Some(503));
    for gateway in &site.gateways[..HOME] {
        gateway.signal(Signal::CONT);
    }
    // What it was told isn't lost.
    for index in 0..HOME {
        site.wait_for(index, ENDED);
    }
    for _ in 0..QUIET_POLLS {
        site.beat(1);
        thread::sleep(POLL_INTERVAL);
    }
    assert!(site.shows(1, ENDED), "it is used again");
}

/// Guards against an engine that has left and is used again: all gateways were killed right after
/// the acknowledgement, one disk was lost, and an earlier heartbeat arrived.
#[test]
fn an_acknowledged_departure_outlives_the_end_of_all_gateways() {
    let mut site = Site::start("all-killed");
    assert_eq!(site.deregister(HOME), Some(200));
    site.restart_all(Some(0));
    site.expect_ended_after_a_late_heartbeat(1);
}

/// Guards against an engine that drains and is used again: all gateways were killed right after
/// the acknowledgement, and an earlier heartbeat arrived.
#[test]
fn an_acknowledged_drain_outlives_the_end_of_all_gateways() {
    let mut site = Site::start("all-killed-draining");
    let late = test_support::heartbeat(&site.engine);
    site.engine.phase = Phase::Draining;
    assert!(site.beat(HOME));
    site.restart_all(None);
    for index in 0..site.gateways.len() {
        site.wait_for(index, "mulberrytally_config_version 1");
        site.post(index, late.clone());
    }
    for index in 0..site.gateways.len() {
        site.wait_for(index, DRAINING);
    }
}

/// Guards against engines that have left and are used again after the end of all gateways, at
/// moments drawn from a seed.
#[test]
fn departures_outlive_all_gateways_at_moments_drawn_from_a_seed() {
    let mut rng = Rng::with_seed(seed_or(50));
    let mut site = Site::start(&format!("all-killed-{}", rng.get_seed()));
    for departure in 1..=DEPARTURES {
        let told = rng.usize(..site.gateways.len());
        assert_eq!(site.deregister(told), Some(200), "departure {departure}");
        thread::sleep(Duration::from_millis(rng.u64(..600)));
        let lost = rng.bool().then(|| rng.usize(..3));
        site.restart_all(lost);
        site.expect_ended_after_a_late_heartbeat(departure);
        site.replace_engine(departure);
    }
}

/// Guards against an acknowledgement of a departure that nobody holds: it names a service that
/// isn't configured, in the place of a sound engine.
#[test]
fn a_departure_that_is_not_recorded_is_not_acknowledged() {
    let mut site = Site::start("rejected");
    let sound = site.engine.clone();
    site.engine.service = "nobody".to_owned();
    site.engine.phase = Phase::Draining;
    assert!(!site.beat(HOME));
    for _ in 0..QUIET_POLLS {
        site.engine = sound.clone();
        site.beat(HOME);
        thread::sleep(POLL_INTERVAL);
    }
    for index in 0..site.gateways.len() {
        assert!(site.shows(index, AVAILABLE), "gateway {index}");
    }
}

/// What happens to a gateway around a departure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Kill,
    Freeze,
    /// A planned stop; the gateway starts again once it has exited.
    Stop,
}

/// Disturbs and restores gateways around one departure, drawn from `rng`. At most one of them
/// has a disk.
fn depart(site: &mut Site, rng: &mut Rng) {
    let pause = |rng: &mut Rng, max_ms| thread::sleep(Duration::from_millis(rng.u64(..max_ms)));
    let mut chosen = vec![rng.usize(..3), 3 + rng.usize(..2)];
    rng.shuffle(&mut chosen);
    chosen.truncate(rng.usize(1..=2));
    let late = test_support::heartbeat(&site.engine);
    site.engine.sequence += 1;
    let mut troubles = Vec::new();
    for &index in &chosen {
        let trouble = [Trouble::Kill, Trouble::Freeze, Trouble::Stop][rng.usize(..3)];
        // A heartbeat that is told to nobody yet.
        if rng.bool() {
            site.beat(index);
        }
        troubles.push((index, trouble));
    }
    let calm: Vec<usize> = (0..usize::from(GATEWAYS))
        .filter(|n| !chosen.contains(n))
        .collect();
    let is_before = rng.bool();
    let told = if is_before {
        calm[rng.usize(..calm.len())]
    } else {
        chosen[0]
    };
    let disturb = |site: &mut Site, rng: &mut Rng| {
        for &(index, trouble) in &troubles {
            pause(rng, 60);
            match trouble {
                Trouble::Kill => site.gateways[index].kill(),
                Trouble::Freeze => site.gateways[index].signal(Signal::STOP),
                Trouble::Stop => site.gateways[index].signal(Signal::TERM),
            }
        }
    };
    if is_before {
        disturb(site, rng);
        pause(rng, 3_000);
    }
    let mut order = vec![told];
    order.extend(&calm);
    let acknowledged = (0..MAX_POLLS).any(|n| {
        let to = order[n as usize % order.len()];
        site.deregister(to) == Some(200)
    });
    assert!(acknowledged, "nobody acknowledges the departure");
    if !is_before {
        disturb(site, rng);
    }
    pause(rng, 2_000);
    for (index, trouble) in troubles {
        match trouble {
            Trouble::Kill => site.start_gateway(index, false),
            Trouble::Freeze => site.gateways[index].signal(Signal::CONT),
            Trouble::Stop => {
                let exits = (0..MAX_POLLS).any(|_| {
                    thread::sleep(POLL_INTERVAL);
                    site.gateways[index].has_exited()
                });
                assert!(exits, "gateway {index} doesn't stop");
                site.start_gateway(index, false);
            }
        }
    }
    pause(rng, 1_000);
    for index in chosen {
        site.post(index, late.clone());
    }
}

/// Guards against engines that have left and are used again: kills, freezes, planned stops and late
/// heartbeats at moments, and at gateways, drawn from a seed.
#[test]
fn engines_that_have_left_stay_left_at_moments_drawn_from_a_seed() {
    let seed = seed_or(7);
    let mut rng = Rng::with_seed(seed);
    let mut site = Site::start(&format!("series-{seed}"));
    for departure in 1..=DEPARTURES {
        depart(&mut site, &mut rng);
        for index in 0..usize::from(GATEWAYS) {
            site.wait_for(index, &format!("mulberrytally_engines_ended {departure}"));
        }
        site.engine = setup::announcement(&format!("e{departure}"), "list", site.engine.address);
        for index in 0..usize::from(GATEWAYS) {
            // A gateway that has restarted counts engines once it has the configuration.
            site.wait_for(index, "mulberrytally_config_version 1");
            assert!(site.beat(index), "gateway {index}");
        }
        for index in 0..usize::from(GATEWAYS) {
            site.wait_for(index, AVAILABLE);
        }
    }
}

/// What disturbs a gateway while an engine leaves, besides its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disturbance {
    /// Its link loses everything, or what it sends, or is slow.
    Link(PeerLinkMode),
    /// It runs a fifth of the time.
    Slow,
    /// Its disk, and that of its log, refuse writes.
    FullDisk,
    /// It is killed, and starts with other seeds: two gateways without a disk and one with.
    Seeds,
}

impl Disturbance {
    const ALL: [Self; 6] = [
        Self::Link(PeerLinkMode::Cut),
        Self::Link(PeerLinkMode::Silent),
        Self::Link(PeerLinkMode::Slow),
        Self::Slow,
        Self::FullDisk,
        Self::Seeds,
    ];

    fn begin(self, site: &mut Site, index: usize) {
        match self {
            Self::Link(mode) => site.links().set_mode(index, mode),
            Self::FullDisk => site.set_full(index, true),
            Self::Slow => {}
            Self::Seeds => site.gateways[index].kill(),
        }
    }

    fn end(self, site: &mut Site, index: usize) {
        match self {
            Self::Link(_) => site.links().set_mode(index, PeerLinkMode::Open),
            Self::FullDisk => site.set_full(index, false),
            Self::Slow => site.gateways[index].signal(Signal::CONT),
            Self::Seeds => {
                let seeds = [2, 3, 4].map(|seed| site.addresses[seed]);
                site.start_with_seeds(index, &seeds, false);
            }
        }
    }
}

impl Site {
    fn links(&self) -> &Network {
        self.network.as_ref().expect("emulated links")
    }

    fn set_full(&self, index: usize, is_full: bool) {
        let running = self.gateways[index].running();
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let pid = running.pid().expect("it runs");
        let pid = Pid::from_raw(i32::try_from(pid).expect("a process identifier"));
        let limit = Rlimit {
            current: is_full.then_some(0),
            maximum: None,
        };
        rustix::process::prlimit(pid, Resource::Fsize, limit).expect("a limit of an own process");
    }

    /// Lets the time pass; gateways that are slow run a fifth of it.
    fn pass(&self, disturbed: &[(usize, Disturbance)], span: Duration) {
        let slow = disturbed
            .iter()
            .filter(|(_, how)| *how == Disturbance::Slow);
        let slow: Vec<usize> = slow.map(|&(index, _)| index).collect();
        for _ in 0..span.as_millis() / POLL_INTERVAL.as_millis() {
            for &index in &slow {
                self.gateways[index].signal(Signal::STOP);
            }
            thread::sleep(POLL_INTERVAL * 4 / 5);
            for &index in &slow {
                self.gateways[index].signal(Signal::CONT);
            }
            thread::sleep(POLL_INTERVAL / 5);
        }
    }
}

/// Disturbs one gateway with a disk and one without around a departure, as drawn from `rng`, and
/// in half of the cases kills all gateways afterwards.
fn depart_disturbed(site: &mut Site, rng: &mut Rng) {
    let span = |rng: &mut Rng, max_ms| Duration::from_millis(rng.u64(..max_ms));
    let mut disturbed = vec![(rng.usize(..3), rng.choice(Disturbance::ALL).expect("some"))];
    let how = rng.choice(Disturbance::ALL).expect("some");
    if how != Disturbance::FullDisk && rng.bool() {
        disturbed.push((3 + rng.usize(..2), how));
    }
    let is_before = rng.bool();
    if is_before {
        for &(index, how) in &disturbed {
            how.begin(site, index);
        }
        site.pass(&disturbed, span(rng, 2_000));
    }
    let first = rng.usize(..site.gateways.len());
    let acknowledged = (0..MAX_POLLS).any(|n| {
        let to = (first + n as usize) % site.gateways.len();
        site.pass(&disturbed, POLL_INTERVAL);
        site.deregister(to) == Some(200)
    });
    assert!(acknowledged, "nobody acknowledges, {disturbed:?}");
    if !is_before {
        for &(index, how) in &disturbed {
            how.begin(site, index);
        }
    }
    site.pass(&disturbed, span(rng, 2_500));
    for &(index, how) in &disturbed {
        how.end(site, index);
    }
    if rng.bool() {
        thread::sleep(span(rng, 500));
        site.restart_all(None);
    }
}

/// Guards against engines that have left and are used again: links that are cut or slow, slow
/// machines, full disks, exchanged seeds and the end of all gateways, at moments drawn from a seed.
#[test]
fn departures_outlive_disturbances_at_moments_drawn_from_a_seed() {
    let mut rng = Rng::with_seed(seed_or(51));
    let mut site = Site::start_with_links(&format!("disturbed-{}", rng.get_seed()));
    for departure in 1..=DEPARTURES {
        depart_disturbed(&mut site, &mut rng);
        site.expect_ended_after_a_late_heartbeat(departure);
        site.replace_engine(departure);
    }
}
