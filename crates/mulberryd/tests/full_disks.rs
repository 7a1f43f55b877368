//! The disks of the processes that keep the durable state are full for a while, one after the
//! other. Once the last one has room again, changes must be accepted, and every process must
//! take part again.
//!
//! A limit on the size of its files makes a process's writes fail, the first one in the middle
//! of a record. Its log is on the same disk.

use std::fs;
use std::fs::File;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use config::Document;
use config::canonical;
use futures_lite::future::block_on;
use host::Pool;
use mulberryctl::init;
use mulberryctl::init::SitePlan;
use mulberryctl::operate;
use mulberryctl::operate::OperatorClient;
use mulberryctl::site::team_name;
use platform::test_support;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use soak::caller;
use soak::caller::ROUTE_HOST;
use soak::caller::ROUTES;
use soak::caller::TEAMS;
use soak::oracle::Oracle;
use soak::process::Process;
use soak::setup;

const KEEPERS: u16 = 3;

/// Upper bound on the ports that a site of keepers uses.
const MAX_PORTS: u16 = 40;

/// Changes that are attempted in each state of a full disk. Together they take longer than a
/// voter may be absent.
const ATTEMPTS: u32 = 25;

/// Time between two attempts.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum polls of a wait, far more than it needs.
const MAX_POLLS: u32 = 400;

/// Room that the files of a process have.
#[derive(Clone, Copy)]
enum Room {
    Enough,
    /// For a part of the next record of the newest segment in this journal.
    PartOfRecord(&'static str),
    None,
}

/// Limits the room of a process whose data is in `data`.
fn set_room(pid: u32, data: &Path, room: Room) {
    let pid = Pid::from_raw(i32::try_from(pid).expect("a process identifier"));
    let current = match room {
        Room::Enough => None,
        Room::PartOfRecord(journal) => Some(newest_segment_bytes(&data.join(journal)) + 7),
        Room::None => Some(0),
    };
    let limit = Rlimit {
        current,
        maximum: None,
    };
    rustix::process::prlimit(pid, Resource::Fsize, limit).expect("a limit of an own process");
}

fn newest_segment_bytes(journal: &Path) -> u64 {
    let segments = store::journal::list_segments(journal).expect("a journal");
    let (_, newest) = segments.last().expect("a segment");
    fs::metadata(newest).expect("a file").len()
}

fn scratch_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("full-disks-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("created");
    folder
}

/// Returns the first of [`MAX_PORTS`] consecutive ports that are free for TCP and UDP.
fn find_free_ports() -> u16 {
    loop {
        let base = fastrand::u16(20_000..60_000);
        let free = |port: u16| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        };
        if (base..base + MAX_PORTS).all(free) {
            return base;
        }
    }
}

/// Returns whether `condition` holds in one of many polls.
fn poll(mut condition: impl FnMut() -> bool) -> bool {
    (0..MAX_POLLS).any(|_| {
        let holds = condition();
        if !holds {
            thread::sleep(ATTEMPT_INTERVAL);
        }
        holds
    })
}

/// The keepers of a site without entries and agents; dropping them kills them.
struct Keepers {
    folder: PathBuf,
    children: Vec<Child>,
    operator: OperatorClient,
    document: Document,
}

impl Keepers {
    fn start(pool: &Pool, name: &str) -> Self {
        let folder = scratch_folder(name);
        let plan = SitePlan {
            domains: KEEPERS,
            engines: 1,
            services: 1,
            teams: 1,
            first_port: find_free_ports(),
        };
        init::create_site(&folder, &plan).expect("a site");
        let launcher =
            setup::write_launcher(&folder, env!("CARGO_BIN_EXE_mulberryd")).expect("written");
        let children = (0..KEEPERS).map(|n| {
            let log = File::create(folder.join(format!("keeper-{n}.log"))).expect("created");
            Command::new(&launcher)
                .arg(folder.join(format!("keeper-{n}.yaml")))
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()
                .expect("started")
        });
        let children = children.collect();
        let operator = OperatorClient::connect(pool, &folder.join("keeper-0.yaml"), "operator");
        let document = operate::read_document(&folder.join("document.json")).expect("valid");
        Self {
            folder,
            children,
            operator: operator.expect("connected"),
            document,
        }
    }

    /// Submits the next document once; returns whether it was accepted.
    fn submit_once(&mut self) -> bool {
        let path = self.folder.join("next.json");
        let text = canonical::to_canonical_json(&self.document);
        fs::write(&path, text).expect("written");
        if let Err(error) = block_on(self.operator.submit(&path)) {
            println!("document {}: {error}", self.document.number);
            return false;
        }
        self.document.follows = self.document.number;
        self.document.number += 1;
        let team = self.document.teams.get_mut(&team_name(0)).expect("a team");
        team.weight = team.weight % 100 + 1;
        true
    }

    /// Submits the next document until it is accepted.
    fn submit(&mut self) {
        let number = self.document.number;
        assert!(poll(|| self.submit_once()), "document {number} is refused");
    }

    /// Returns the number of the document in force at each keeper, with `None` for those that
    /// don't answer.
    fn documents(&self) -> Vec<Option<u64>> {
        let statuses = block_on(self.operator.keeper_statuses()).into_iter();
        statuses.map(|(_, status)| Some(status?.document)).collect()
    }
}

impl Drop for Keepers {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Guards against keepers that stop for good when a write fails, while their processes run on.
#[test]
fn keepers_take_part_again_once_their_disks_have_room() {
    let pool = Pool::start(2);
    let mut keepers = Keepers::start(&pool, "keepers");
    keepers.submit();
    for n in 0..keepers.children.len() {
        let pid = keepers.children[n].id();
        let data = keepers.folder.join(format!("data/keeper-{n}"));
        for room in [Room::PartOfRecord("log"), Room::None] {
            set_room(pid, &data, room);
            for _ in 0..ATTEMPTS {
                keepers.submit_once();
                thread::sleep(ATTEMPT_INTERVAL);
            }
        }
        set_room(pid, &data, Room::Enough);
    }
    keepers.submit();
    let accepted = keepers.document.follows;
    let expected = vec![Some(accepted); keepers.children.len()];
    poll(|| keepers.documents() == expected);
    assert_eq!(keepers.documents(), expected, "of {accepted}");
    for child in &mut keepers.children {
        assert!(child.try_wait().expect("a child").is_none(), "it has ended");
    }
}

/// A planned stop ends while the disk is full, whether the keeper has found out before or not.
#[test]
fn keepers_stop_while_their_disks_are_full() {
    let pool = Pool::start(2);
    let mut keepers = Keepers::start(&pool, "stops");
    keepers.submit();
    for n in 0..keepers.children.len() {
        let data = keepers.folder.join(format!("data/keeper-{n}"));
        set_room(keepers.children[n].id(), &data, Room::None);
        if n > 0 {
            keepers.submit_once();
            thread::sleep(ATTEMPT_INTERVAL);
        }
        let child = &mut keepers.children[n];
        let pid = Pid::from_child(child);
        rustix::process::kill_process(pid, Signal::TERM).expect("an own process");
        let ended = poll(|| child.try_wait().expect("a child").is_some());
        assert!(ended, "keeper-{n}");
    }
}

/// The replicas of gateways, all of which vote, take part again.
#[test]
fn gateways_take_part_again_once_their_disks_have_room() {
    fill_disks_of_gateways("voters", 3);
}

/// The same, with learners that take the places of voters whose disk is full.
#[test]
fn gateways_that_lose_their_votes_take_part_again_once_their_disks_have_room() {
    fill_disks_of_gateways("learners", 6);
}

/// Fills the disks of `count` gateways, one after the other.
fn fill_disks_of_gateways(name: &str, count: u8) {
    let folder = scratch_folder(name);
    let launcher =
        setup::write_launcher(&folder, env!("CARGO_BIN_EXE_mulberryd")).expect("written");
    let port = setup::find_free_ports(4);
    let mut gateways: Vec<Process> = (0..count)
        .map(|index| Process::new(&folder, index, port, true))
        .collect();
    let addresses: Vec<SocketAddrV4> = gateways.iter().map(|g| g.control_address).collect();
    for gateway in &mut gateways {
        gateway.start(&launcher, &addresses, true).expect("started");
    }
    let oracle = Oracle::default();
    let mut version = 1;
    assert!(caller::submit_config(&addresses, version, 0, &oracle));
    for gateway in &gateways {
        let pid = {
            let running = gateway.running();
            let running = running.lock().unwrap_or_else(PoisonError::into_inner);
            running.pid().expect("it runs")
        };
        let data = gateway.log_path().with_file_name("data");
        for room in [Room::PartOfRecord("log"), Room::None] {
            set_room(pid, &data, room);
            for attempt in 0..ATTEMPTS {
                let first = usize::try_from(attempt).expect("few") % addresses.len();
                version += u64::from(submit_once(addresses[first], version + 1, &oracle));
                thread::sleep(ATTEMPT_INTERVAL);
            }
        }
        set_room(pid, &data, Room::Enough);
    }
    let accepted = caller::submit_config(&addresses, version + 1, 0, &oracle);
    assert!(accepted, "version {} is not accepted", version + 1);
    for gateway in &gateways {
        let address = gateway.control_address;
        let is_read = poll(|| caller::check_config(address, &oracle));
        assert!(is_read, "{address} returns no configuration");
        // The log goes on, too.
        let reopened = poll(|| {
            let log = fs::read_to_string(gateway.log_path()).expect("a log");
            log.matches("group: event=open replica=").count() > 1
        });
        assert!(reopened, "{address} has not opened its folder again");
    }
    for gateway in &mut gateways {
        assert!(!gateway.has_exited(), "it has ended");
    }
    let (_, breaches) = oracle.report();
    assert!(breaches.is_empty(), "{breaches:?}");
    drop(gateways);
    let _ = fs::remove_dir_all(&folder);
}

/// Submits a version once; returns whether it was acknowledged.
fn submit_once(to: SocketAddrV4, version: u64, oracle: &Oracle) -> bool {
    let body = test_support::site_json(version, ROUTE_HOST, &ROUTES, &TEAMS);
    let path = test_support::CONFIG_REPLACE_PATH;
    let answer = caller::control_request(to, "POST", path, body.as_bytes());
    let accepted = matches!(answer, Some((200, _)));
    if accepted {
        oracle.record_acknowledged(version);
    }
    accepted
}
