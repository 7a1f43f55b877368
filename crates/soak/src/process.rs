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
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

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
    advertised: Option<SocketAddrV4>,
    running: Arc<Mutex<Running>>,
}

/// The child of a [`Process`], as far as it hasn't been reaped.
#[derive(Default)]
pub struct Running {
    /// Whether it exited with another status than success.
    failed: bool,
    child: Option<Child>,
    suspended: bool,
    throttled: bool,
}

impl Running {
    /// Returns the process's identifier.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Stops the process, or lets it continue unless a fault suspends it.
    pub fn set_throttled(&mut self, throttled: bool) {
        if self.throttled != throttled {
            self.throttled = throttled;
            if !self.suspended {
                self.signal(if throttled {
                    Signal::STOP
                } else {
                    Signal::CONT
                });
            }
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // Fails if the process has already exited.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
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
            advertised: None,
            running: Arc::default(),
        }
    }

    /// Returns the address that the process binds for its peers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(*self.caller_address.ip(), self.peer_port)
    }

    /// Sets the address that peers use, for later starts.
    pub fn advertise(&mut self, address: SocketAddrV4) {
        self.advertised = Some(address);
    }

    /// Returns the child, shared with the process's throttle.
    #[must_use]
    pub fn running(&self) -> Arc<Mutex<Running>> {
        Arc::clone(&self.running)
    }

    /// Returns the path of the log file.
    #[must_use]
    pub fn log_path(&self) -> PathBuf {
        self.folder.join("log")
    }

    fn lock(&self) -> MutexGuard<'_, Running> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
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
            .open(self.log_path())?;
        let mut command = Command::new(daemon_path);
        if let Some(address) = self.advertised {
            command.arg("--advertise").arg(address.to_string());
        }
        let child = command
            .arg("--gateway")
            .env(test_support::SETTINGS_ENV_VAR, &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.lock() = Running {
            child: Some(child),
            ..Running::default()
        };
        Ok(())
    }

    /// Sends a signal to the process, if it was started. A throttled process that is
    /// resumed continues with its next share.
    pub fn signal(&self, signal: Signal) {
        let mut running = self.lock();
        match signal {
            Signal::STOP => running.suspended = true,
            Signal::CONT => {
                running.suspended = false;
                if running.throttled {
                    return;
                }
            }
            _ => {}
        }
        running.signal(signal);
    }

    /// Returns whether the process has exited or was never started.
    pub fn has_exited(&mut self) -> bool {
        let mut running = self.lock();
        let Some(child) = &mut running.child else {
            return true;
        };
        let Some(status) = child.try_wait().ok().flatten() else {
            return false;
        };
        // The identifier may be used again.
        running.child = None;
        running.failed = !status.success();
        true
    }

    /// Returns whether the process has exited without [`Self::kill`]; only the first call
    /// after the exit returns true.
    pub fn has_crashed(&mut self) -> bool {
        let was_running = self.lock().child.is_some();
        was_running && self.has_exited()
    }

    /// Returns whether the process has exited with another status than success, as
    /// [`Self::has_exited`] has found.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.lock().failed
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.lock().child.take() {
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
