//! Stand-ins for callers: each sends requests to one daemon at a steady pace.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// The daemon that it was sent to.
    pub daemon: usize,
    pub sent_at: Duration,
    /// The status of the answer, zero if the connection ended without one.
    pub status: u16,
}

/// The requests of all callers.
#[derive(Clone, Default)]
pub struct Callers {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Order {
    pub host: String,
    pub path: String,
    pub key: String,
    pub timeout_ms: u64,
}

impl Callers {
    /// Sends one request and records its outcome.
    pub fn send(&self, daemon: usize, address: SocketAddr, order: &Order, record: &Record) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x5eed_0000_0000 + number);
        let sent_at = record.now();
        let deadline = order.timeout_ms.to_string();
        let headers = [
            ("Host", order.host.as_str()),
            ("Request-Id", id.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Api-Key", order.key.as_str()),
        ];
        record.line(&format!("caller: sends {id} to daemon {daemon}"));
        let answer = http::call(
            address,
            &format!("POST {}", order.path),
            &headers,
            b"hold batch 17",
            Duration::from_millis(order.timeout_ms),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("caller: {id} is answered {status}"));
        self.outcomes.lock().expect("no panic").push(Outcome {
            id,
            daemon,
            sent_at,
            status,
        });
    }

    /// Sends a request to `daemon` every `pace` while `open` says so, until [`Self::stop`].
    pub fn run(
        &self,
        daemon: usize,
        address: SocketAddr,
        order: &Order,
        pace: Duration,
        open: &Arc<AtomicBool>,
        record: &Record,
    ) {
        let (callers, order, record) = (self.clone(), order.clone(), record.clone());
        let open = Arc::clone(open);
        thread::spawn(move || {
            while !callers.stopped.load(Ordering::SeqCst) {
                if open.load(Ordering::SeqCst) {
                    let (callers, order, record) = (callers.clone(), order.clone(), record.clone());
                    thread::spawn(move || callers.send(daemon, address, &order, &record));
                }
                thread::sleep(pace);
            }
        });
    }

    /// Ends all callers.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Returns the outcomes so far.
    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().expect("no panic").clone()
    }
}
