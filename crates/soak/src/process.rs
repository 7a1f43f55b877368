//! Processes, started, signalled and ended by their ids.

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

/// A process that runs, or has run, at one place.
pub struct Process {
    /// Where callers connect.
    pub callers: SocketAddrV4,
    /// Where engines and operators call.
    pub control: SocketAddrV4,
    folder: PathBuf,
    name: String,
    domain: &'static str,
    port: u16,
    disk: bool,
    child: Option<Child>,
}

impl Process {
    /// Describes the process number `place`, whose files are in `folder`. All
    /// processes use the same ports, each at its own loopback address.
    #[must_use]
    pub fn new(folder: &Path, place: u8, port: u16, disk: bool) -> Self {
        let ip = Ipv4Addr::new(127, 0, 0, 11 + place);
        let name = format!("entry-{place}");
        Self {
            callers: SocketAddrV4::new(ip, port),
            control: SocketAddrV4::new(ip, port + 2),
            folder: folder.join(&name),
            name,
            domain: DOMAINS[usize::from(place) % DOMAINS.len()],
            port: port + 3,
            disk,
            child: None,
        }
    }

    /// Starts the program `daemon`; its output is added to a file.
    ///
    /// # Errors
    ///
    /// Fails where a file can't be written or the program can't be started.
    pub fn start(
        &mut self,
        daemon: &Path,
        seeds: &[SocketAddrV4],
        first_start: bool,
    ) -> io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let data = self.folder.join("data");
        let node = NodeConfig {
            name: &self.name,
            domain: self.domain,
            callers: self.callers,
            readiness: SocketAddrV4::new(*self.callers.ip(), self.callers.port() + 1),
            control: self.control,
            port: self.port,
            seeds,
            bootstrap: first_start,
            data_dir: self.disk.then_some(data.as_path()),
        };
        let file = self.folder.join("node.toml");
        fs::write(&file, test_support::settings_toml(&node))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))?;
        let child = Command::new(daemon)
            .arg("--gateway")
            .env(test_support::SETTINGS_ENV_VAR, &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, where it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A process that has ended by itself can't be signalled.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Returns whether the process has ended.
    pub fn ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Empties the disk of a process that doesn't run.
    ///
    /// # Errors
    ///
    /// Fails where the folder can't be removed.
    pub fn wipe(&self) -> io::Result<()> {
        fs::remove_dir_all(self.folder.join("data"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
