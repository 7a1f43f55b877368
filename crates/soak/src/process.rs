//! Starts, signals and kills the processes under test, by their ids.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use platform::test_support;
use platform::test_support::NodeConfig;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// Failure domains.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// A process under test, with its addresses and files; it may be running or not.
pub struct Process {
    /// Address for callers.
    pub caller_address: SocketAddrV4,
    /// Address for engines and operators.
    pub control_address: SocketAddrV4,
    folder: PathBuf,
    name: String,
    domain: &'static str,
    peer_port: u16,
    has_disk: bool,
    child: Option<Child>,
}

impl Process {
    /// Describes process number `index`, with its files in a subdirectory of `folder`.
    /// All processes use the same ports, each on its own loopback address.
    #[must_use]
    pub fn new(folder: &Path, index: u8, port: u16, has_disk: bool) -> Self {
        let ip = Ipv4Addr::new(127, 0, 0, 11 + index);
        let name = format!("entry-{index}");
        Self {
            caller_address: SocketAddrV4::new(ip, port),
            control_address: SocketAddrV4::new(ip, port + 2),
            folder: folder.join(&name),
            name,
            domain: DOMAINS[usize::from(index) % DOMAINS.len()],
            peer_port: port + 3,
            has_disk,
            child: None,
        }
    }

    /// Starts the program `daemon_path` and appends its output to the log file.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn start(
        &mut self,
        daemon_path: &Path,
        seeds: &[SocketAddrV4],
        first_start: bool,
    ) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let data = self.folder.join("data");
        let node = NodeConfig {
            name: &self.name,
            domain: self.domain,
            callers: self.caller_address,
            readiness: SocketAddrV4::new(*self.caller_address.ip(), self.caller_address.port() + 1),
            control: self.control_address,
            port: self.peer_port,
            seeds,
            bootstrap: first_start,
            data_dir: self.has_disk.then_some(data.as_path()),
        };
        let file = self.folder.join("node.toml");
        fs::write(&file, test_support::settings_toml(&node))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let child = Command::new(daemon_path)
            .arg("--gateway")
            .env(test_support::SETTINGS_ENV_VAR, &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it was started.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // Fails if the process has already exited.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns whether the process has exited or was never started.
    pub fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    /// Returns whether the process has exited with another status than success.
    pub fn has_failed(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child
                .try_wait()
                .is_ok_and(|status| status.is_some_and(|status| !status.success())),
            None => false,
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Removes the data directory of a process that is not running.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be removed.
    pub fn wipe_disk(&self) -> io::Result<()> {
        fs::remove_dir_all(self.folder.join("data"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
