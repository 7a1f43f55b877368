//! Free ports, and the announcements of fake engines.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::os::unix::fs::PermissionsExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fastrand::Rng;
use platform::test_support;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;

use crate::caller;
use crate::engine::Lifetime;
use crate::oracle::Oracle;
use crate::run::millis;

/// Interval between two announcements of an engine.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of announcements before an engine deregisters.
const ANNOUNCED_ROUNDS: u32 = 6;

/// Time for which an engine goes on answering after it has deregistered, and within which a
/// heartbeat may arrive late, in milliseconds.
const LINGER_MS: u64 = 9_000;
const LATENESS_MS: u64 = 3_000;

/// Returns the first of `count` consecutive ports that are free on loopback.
#[must_use]
pub fn find_free_ports(count: u16) -> u16 {
    let free = |port: u16| {
        let any = Ipv4Addr::UNSPECIFIED;
        TcpListener::bind((any, port)).is_ok() && UdpSocket::bind((any, port)).is_ok()
    };
    loop {
        let first = fastrand::u16(20_000..60_000);
        if (first..first + count).all(free) {
            return first;
        }
    }
}

/// Writes a program to `folder` that starts `daemon` without the signal that ends a process whose
/// file would exceed its limit; the write fails instead.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write_launcher(folder: &Path, daemon: &str) -> io::Result<PathBuf> {
    let path = folder.join("launch");
    let script = format!("#!/bin/sh\ntrap '' XFSZ\nexec '{daemon}' \"$@\"\n");
    fs::write(&path, script)?;
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755))?;
    Ok(path)
}

/// Announces the engines periodically, each round starting at another process, until
/// `finished` is set.
pub fn spawn_announcer(
    mut engines: Vec<(EngineAnnouncement, Arc<Lifetime>)>,
    addresses: Vec<SocketAddrV4>,
    finished: &Arc<AtomicBool>,
) {
    let finished = Arc::clone(finished);
    thread::spawn(move || {
        let mut round = 0;
        let mut restarts = vec![0; engines.len()];
        while !finished.load(Ordering::Relaxed) {
            for ((announcement, lifetime), known) in engines.iter_mut().zip(&mut restarts) {
                let current = lifetime.restarts.load(Ordering::Relaxed);
                if *known != current {
                    *known = current;
                    announcement.started_ms = now_ms();
                    announcement.sequence = 0;
                }
                announcement.sequence += 1;
                let (path, body) = test_support::heartbeat(announcement);
                for attempt in 0..addresses.len() {
                    let to = addresses[(round + attempt) % addresses.len()];
                    let answer = caller::control_request(to, "POST", &path, body.as_bytes());
                    if matches!(answer, Some((200, _))) {
                        break;
                    }
                }
            }
            round += 1;
            thread::sleep(ANNOUNCEMENT_INTERVAL);
        }
    });
}

/// Announces an engine that ends again and again until `finished` is set: it deregisters, goes on
/// answering, and starts again under its identifier. Meanwhile a heartbeat arrives late.
pub fn spawn_deregistrations(
    mut engine: EngineAnnouncement,
    lifetime: Arc<Lifetime>,
    addresses: Vec<SocketAddrV4>,
    oracle: Arc<Oracle>,
    seed: u64,
    finished: &Arc<AtomicBool>,
) {
    let finished = Arc::clone(finished);
    let mut rng = Rng::with_seed(seed);
    let post = |to, (path, body): (String, String)| {
        let answer = caller::control_request(to, "POST", &path, body.as_bytes());
        matches!(answer, Some((200, _)))
    };
    thread::spawn(move || {
        while !finished.load(Ordering::Relaxed) {
            for _ in 0..ANNOUNCED_ROUNDS {
                engine.sequence += 1;
                let beat = test_support::heartbeat(&engine);
                let first = rng.usize(..addresses.len());
                let mut order =
                    (0..addresses.len()).map(|n| addresses[(first + n) % addresses.len()]);
                order.any(|to| post(to, beat.clone()));
                thread::sleep(ANNOUNCEMENT_INTERVAL);
            }
            engine.sequence += 1;
            let late = test_support::heartbeat(&engine);
            let first = rng.usize(..addresses.len());
            let mut order = (0..addresses.len()).map(|n| addresses[(first + n) % addresses.len()]);
            let told = order.find(|&to| post(to, test_support::deregistration(&engine)));
            if told.is_some() {
                oracle.record_deregistered(&engine.id);
            }
            let late_ms = rng.u64(200..LATENESS_MS);
            thread::sleep(Duration::from_millis(late_ms));
            let other = addresses[rng.usize(..addresses.len())];
            post(told.filter(|_| rng.bool()).unwrap_or(other), late);
            thread::sleep(Duration::from_millis(LINGER_MS - late_ms));
            oracle.record_engine_start(&engine.id);
            lifetime.restarts.fetch_add(1, Ordering::Relaxed);
            engine.started_ms = now_ms();
            engine.sequence = 0;
        }
    });
}

/// Returns the first announcement of an engine.
#[must_use]
pub fn announcement(id: &str, service: &str, address: SocketAddrV4) -> EngineAnnouncement {
    EngineAnnouncement {
        id: id.to_owned(),
        started_ms: now_ms(),
        sequence: 0,
        service: service.to_owned(),
        address,
        domain: "a".to_owned(),
        slots: 64,
        phase: Phase::Ready,
        cold_ms: 0,
    }
}

/// Returns the milliseconds since 1970.
fn now_ms() -> u64 {
    // Within one run, any value works if the clock is before 1970.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, millis)
}
