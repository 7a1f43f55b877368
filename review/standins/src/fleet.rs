//! Gateway processes, started as the deploy file says, on loopback addresses.

use std::collections::hash_map::RandomState;
use std::fs;
use std::fs::File;
use std::hash::BuildHasher;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The arguments of the deploy file's `run` line.
const ARGUMENTS: [&str; 3] = ["--gateway", "--metrics", "9464"];
const METRICS_PORT: u16 = 9_464;
const ZONES: [&str; 3] = ["kochi", "alappuzha", "kollam"];

/// The processes that this one has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this one has started, before it ends out of turn.
pub fn kill_started() {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-s", "KILL", &id.to_string()])
            .status();
    }
}

/// Returns a random number.
pub fn random() -> u64 {
    RandomState::new().hash_one(Instant::now())
}

/// A gateway process.
pub struct Gateway {
    ip: Ipv4Addr,
    has_disk: bool,
    child: Option<Child>,
}

/// The processes of a small deployment.
pub struct Fleet {
    root: PathBuf,
    /// The temporary folder.
    pub folder: PathBuf,
    port: u16,
    /// Machines with a disk that may be lost at once.
    pub tolerance: usize,
    /// Numbers of the processes that new settings files name as seeds.
    pub seeds: Vec<usize>,
    /// The processes.
    pub gateways: Vec<Gateway>,
}

impl Fleet {
    /// Describes `disks` gateways with a disk and `others` without one; none is started.
    pub fn new(root: &Path, disks: usize, others: usize) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("mulberrytally-review-{:x}", random()));
        fs::create_dir_all(&folder)?;
        for _ in 0..50 {
            let seed = random();
            let net = [127, 64 + (seed % 128) as u8, (seed >> 8) as u8];
            let port = 21_000 + ((seed >> 16) % 9_000) as u16;
            let ips =
                (0..disks + others).map(|i| Ipv4Addr::new(net[0], net[1], net[2], 11 + i as u8));
            let ips: Vec<Ipv4Addr> = ips.collect();
            if ips.iter().all(|&ip| is_free(ip, port)) {
                let gateway = |(index, &ip)| Gateway {
                    ip,
                    has_disk: index < disks,
                    child: None,
                };
                let gateways = ips.iter().enumerate().map(gateway).collect();
                return Ok(Self {
                    root: root.to_owned(),
                    folder,
                    port,
                    tolerance: 1,
                    seeds: (0..disks.min(3)).collect(),
                    gateways,
                });
            }
        }
        Err(io::Error::other("no free ports"))
    }

    /// Returns the address for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.gateways[index].ip, self.port).into()
    }

    /// Returns the readiness address.
    pub fn readiness(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.gateways[index].ip, self.port + 1).into()
    }

    /// Returns the address for engines and the operator.
    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddrV4::new(self.gateways[index].ip, self.port + 2).into()
    }

    /// Returns all control addresses.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.gateways.len()).map(|i| self.control(i)).collect()
    }

    fn settings(&self, index: usize, bootstrap: bool) -> String {
        let gateway = &self.gateways[index];
        let (ip, port) = (gateway.ip, self.port);
        let zone = ZONES[index % ZONES.len()];
        let seeds = self
            .seeds
            .iter()
            .map(|&seed| format!("\"{}\"", self.control(seed)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut text = format!(
            "node_name = \"edge-{zone}-{index}\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"kerala\"\n\
             port_range = [{},{}]\nseed_nodes = [{seeds}]\nbootstrap = {bootstrap}\n\
             fault_counted = {}\ndiscovery = \"registration\"\nentry_type = \"vip\"\n\
             heartbeat_ms = 1200\nconfig_mode = \"highest\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n",
            port + 3,
            port + 18,
            gateway.has_disk,
        );
        if gateway.has_disk {
            let data = self.data(index);
            text += &format!("data_dir = \"{}\"\n", data.display());
        }
        text += "[zones]\nkochi = \"kerala\"\nalappuzha = \"kerala\"\nkollam = \"kerala\"\n";
        text += &format!(
            "[listen]\nfrontend = \"{ip}:{port}\"\nreadiness = \"{ip}:{}\"\ncontrol_plane = \"{ip}:{}\"\n",
            port + 1,
            port + 2
        );
        let tolerance = self.tolerance;
        text += &format!(
            "[limits]\ncpu_quota = 0.45\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
                 link_mbps = 1000.0\ndisk_mb = 64\n\
                 [fault_tolerance]\nnodes = {tolerance}\nzones = 0\nregions = 0\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 3000\nack_ms = 4000\n\
                 catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
                 config_apply_ms = 2000\ndowngrade_slack_ms = 250\npartition_max_ms = 5000\n\
                 revoke_strict = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
                 retry_window_s = 10\nbudget_slack = 58\nrecovery_s = 12\ndelivery_deadline_ms = 120\n\
                 reuse_window_s = 9.2\nsettle_ms = 1500\n"
        );
        text
    }

    /// Returns the data folder of a process.
    pub fn data(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    /// Starts a process.
    pub fn start(&mut self, index: usize, bootstrap: bool) -> io::Result<()> {
        let file = self.folder.join(format!("node-{index}.toml"));
        fs::write(&file, self.settings(index, bootstrap))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{index}")))?;
        let mut command = Command::new(self.root.join("target/release/mulberryd"));
        command
            .args(ARGUMENTS)
            .current_dir(&self.root)
            .env_clear()
            .env("MULBERRYTALLY_NODE_FILE", &file);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.gateways[index].child = Some(child);
        Ok(())
    }

    /// Starts all processes for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for index in 0..self.gateways.len() {
            self.start(index, true)?;
        }
        Ok(())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.gateways[index].child.take() {
            STARTED.lock().unwrap().retain(|&id| id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until all processes are ready.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        self.wait_ready_of(&all, timeout)
    }

    /// Waits until the processes `list` are ready.
    pub fn wait_ready_of(&self, list: &[usize], timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let ready = |index| {
            let answer = http::call(
                self.readiness(index),
                "GET",
                "/readyz",
                "Host: x\r\n",
                b"",
                Duration::from_secs(1),
            );
            answer.is_ok_and(|answer| answer.status == 200)
        };
        loop {
            if list.iter().copied().all(ready) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Copies the last lines of the processes' logs that contain one of `words` into text.
    pub fn log_lines(&self, index: usize, words: &[&str], most: usize) -> Vec<String> {
        let text = fs::read(self.folder.join(format!("log-{index}"))).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let found = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        let found: Vec<String> = found.map(str::to_owned).collect();
        found[found.len().saturating_sub(most)..].to_vec()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.gateways.len() {
            self.kill(index);
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    let tcp = [port, port + 1, port + 2, METRICS_PORT];
    let tcp = tcp
        .iter()
        .all(|&port| TcpListener::bind((ip, port)).is_ok());
    tcp && (port + 3..=port + 18).all(|port| UdpSocket::bind((ip, port)).is_ok())
}
