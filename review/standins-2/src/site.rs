//! A small deployment on loopback addresses: the daemons as processes, with the command of the
//! deploy file, and the platform's part of their settings.

use std::fmt::Write as _;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;

/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["kochi", "alappuzha", "kollam"];

/// The signals that the cases use.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Kill = 9,
    Continue = 18,
    Stop = 19,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Asks for a signal when the parent ends (`PR_SET_PDEATHSIG`).
const PARENT_DEATH_SIGNAL: i32 = 1;

/// Sends a signal to a process that this program started.
fn send_signal(pid: u32, signal: Signal) {
    if let Ok(pid) = i32::try_from(pid) {
        // SAFETY: `kill` takes two integers and touches no memory of this process.
        unsafe { kill(pid, signal as i32) };
    }
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all daemons that this program has started; for a case that hangs.
pub fn kill_started() {
    for pid in STARTED.lock().expect("no panic").drain(..) {
        send_signal(pid, Signal::Kill);
    }
}

fn forget_started(pid: u32) {
    let mut started = STARTED.lock().expect("no panic");
    started.retain(|known| *known != pid);
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

/// The ports of all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub frontend: u16,
    pub readiness: u16,
    pub control: u16,
    pub mesh: u16,
}

/// One machine with one daemon.
pub struct Daemon {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub has_disk: bool,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The deployment.
pub struct Site {
    pub ports: Ports,
    pub daemons: Vec<Daemon>,
    /// The first two numbers of all addresses.
    pub net: (u8, u8),
    folder: PathBuf,
    command: Vec<String>,
    record: Record,
}

fn is_free(ip: Ipv4Addr, ports: Ports) -> bool {
    let tcp = [ports.frontend, ports.readiness, ports.control, 9464];
    tcp.iter()
        .all(|&port| TcpListener::bind((ip, port)).is_ok())
        && UdpSocket::bind((ip, ports.mesh)).is_ok()
}

/// Returns the words of the first `run` of the deploy file.
fn deploy_command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|line| line.trim().starts_with("run"))?;
    let words = line.split('"').nth(1)?;
    Some(words.split(' ').map(str::to_owned).collect())
}

impl Site {
    /// Lays out `disks` machines with a disk and `others` without, over the zones in turn.
    pub fn new(disks: usize, others: usize, record: &Record) -> Result<Self, String> {
        let command = deploy_command().ok_or("deploy/system.toml has no run command")?;
        if !Path::new(&command[0]).exists() {
            return Err(format!("{} isn't built", command[0]));
        }
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        let folder = std::env::temp_dir().join(format!("review-2-{seed:x}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut found = None;
        for attempt in 0..50_u64 {
            let net = (127, 20 + ((seed + attempt) % 200) as u8);
            let base = 20_000 + ((seed / 200 + 7 * attempt) % 9_000) as u16;
            let ports = Ports {
                frontend: base,
                readiness: base + 1,
                control: base + 2,
                mesh: base + 3,
            };
            let ips = (1..=disks + others).map(|i| Ipv4Addr::new(net.0, net.1, 1, i as u8));
            if ips.clone().all(|ip| is_free(ip, ports)) {
                found = Some((net, ports));
                break;
            }
        }
        let (net, ports) = found.ok_or("no free ports")?;
        let daemons = (0..disks + others).map(|index| {
            let zone = ZONES[index % ZONES.len()];
            let has_disk = index < disks;
            let number = if has_disk { 1 } else { 2 };
            let name = format!("edge-{zone}-{number}");
            Daemon {
                settings: folder.join(format!("{name}.toml")),
                data: folder.join(format!("{name}-data")),
                log: folder.join(format!("{name}.log")),
                name,
                zone,
                ip: Ipv4Addr::new(net.0, net.1, 1, index as u8 + 1),
                has_disk,
                child: Mutex::new(None),
            }
        });
        let daemons = daemons.collect();
        Ok(Self {
            ports,
            daemons,
            net,
            folder,
            command,
            record: record.clone(),
        })
    }

    fn address(&self, daemon: usize, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.daemons[daemon].ip, port).into()
    }

    /// Returns the address for callers.
    pub fn frontend(&self, daemon: usize) -> SocketAddr {
        self.address(daemon, self.ports.frontend)
    }

    /// Returns the address of the control interface.
    pub fn control(&self, daemon: usize) -> SocketAddr {
        self.address(daemon, self.ports.control)
    }

    fn write_settings(&self, index: usize, bootstrap: bool) {
        let daemon = &self.daemons[index];
        let Ports {
            frontend,
            readiness,
            control,
            mesh,
        } = self.ports;
        let ip = daemon.ip;
        let seeds: Vec<String> = (0..3).map(|i| format!("\"{}\"", self.control(i))).collect();
        let mut text = format!(
            "node_name = \"{}\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"kerala\"\n\
             port_range = [{mesh},{mesh}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             fault_counted = {}\n",
            daemon.name,
            daemon.zone,
            seeds.join(","),
            daemon.has_disk
        );
        if daemon.has_disk {
            let _ = writeln!(text, "data_dir = \"{}\"", daemon.data.display());
        }
        let _ = write!(
            text,
            "discovery = \"registration\"\nentry_type = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             config_mode = \"highest\"\n\
             [zones]\nkochi = \"kerala\"\nalappuzha = \"kerala\"\nkollam = \"kerala\"\n\
             [listen]\nfrontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"\n\
             control_plane = \"{ip}:{control}\"\n\
             [limits]\ncpu_quota = 0.45\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 64\n\
             [fault_tolerance]\nnodes = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\ndowngrade_slack_ms = 250\npartition_max_ms = 5000\n\
             revoke_strict = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             retry_window_s = 10\nbudget_slack = 58\nrecovery_s = 12\n\
             delivery_deadline_ms = 120\nreuse_window_s = 9.2\nsettle_ms = 1500\n"
        );
        fs::write(&daemon.settings, text).expect("the temporary folder can be written");
    }

    /// Starts the daemon on a machine.
    pub fn start(&self, index: usize, bootstrap: bool) -> Result<(), String> {
        self.write_settings(index, bootstrap);
        let daemon = &self.daemons[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&daemon.log)
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env_clear()
            .env("MULBERRYTALLY_NODE_FILE", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // SAFETY: `prctl` takes two integers and is safe to call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, Signal::Kill as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        STARTED.lock().expect("no panic").push(child.id());
        *daemon.child.lock().expect("no panic") = Some(child);
        self.record
            .line(&format!("platform: starts {}", daemon.name));
        Ok(())
    }

    /// Sends a signal to a daemon; waits for its end if it is killed.
    pub fn signal(&self, index: usize, signal: Signal) {
        let daemon = &self.daemons[index];
        let mut child = daemon.child.lock().expect("no panic");
        if let Some(process) = child.as_mut() {
            send_signal(process.id(), signal);
            self.record
                .line(&format!("platform: {signal:?} to {}", daemon.name));
            if matches!(signal, Signal::Kill) {
                let _ = process.wait();
                forget_started(process.id());
                *child = None;
            }
        }
    }

    /// Returns whether the daemon says that it's ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.address(index, self.ports.readiness);
        let answer = http::call(address, "GET /readyz", &[], b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemons are ready.
    pub fn wait_ready(&self, daemons: &[usize], limit: Duration) -> Result<(), String> {
        let begun = Instant::now();
        while !daemons.iter().all(|&index| self.is_ready(index)) {
            if begun.elapsed() > limit {
                return Err("the daemons aren't ready in time".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Sends a configuration to one daemon after the other until it's acknowledged.
    pub fn configure(&self, body: &str, limit: Duration) -> Result<(), String> {
        let begun = Instant::now();
        loop {
            for index in 0..self.daemons.len() {
                let answer = http::call(
                    self.control(index),
                    "POST /Config.Replace",
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                let status = answer.map_or(0, |answer| answer.status());
                if status == 200 {
                    let name = &self.daemons[index].name;
                    self.record
                        .line(&format!("operator: {name} acknowledges the configuration"));
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(100));
            }
            if begun.elapsed() > limit {
                return Err("no configuration is acknowledged in time".to_owned());
            }
        }
    }

    /// Returns the lines of a daemon's log that contain one of `words`.
    pub fn log_lines(&self, index: usize, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.daemons[index].log).unwrap_or_default();
        let lines = text.lines();
        let found = lines.filter(|line| words.iter().any(|word| line.contains(word)));
        found.map(str::to_owned).collect()
    }

    /// Ends all daemons.
    pub fn end(&self) {
        for daemon in &self.daemons {
            if let Some(mut child) = daemon.child.lock().expect("no panic").take() {
                let _ = child.kill();
                let _ = child.wait();
                forget_started(child.id());
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
