//! A stand-in for an engine: it runs requests for a short time, answers them, registers by heartbeats and, when it leaves, ends as the pages say.

use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::record::Record;
use crate::site::unix_ms;

/// Time between two heartbeats, `heartbeat_ms` of the deployment.
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Duration,
}

/// What an engine does.
pub struct EngineState {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub born: u64,
    pub work: Duration,
    pub slots: u32,
    sequence: AtomicU64,
    leaving: AtomicBool,
    /// Whether the regular heartbeats have ended, and when the last one was sent.
    quiet: AtomicBool,
    last_beat: Mutex<Duration>,
    gone: AtomicBool,
    pub runs: Mutex<Vec<Run>>,
    /// Requests that were in progress when the engine exited.
    pub cut: Mutex<Vec<String>>,
    active: Mutex<Vec<(String, TcpStream)>>,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

/// A handle to an engine; clones share it.
#[derive(Clone)]
pub struct Engine(pub Arc<EngineState>);

impl Engine {
    /// Starts an engine at `ip`, on a free port.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        work: Duration,
        slots: u32,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let engine = Self(Arc::new(EngineState {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born: unix_ms(),
            work,
            slots,
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            last_beat: Mutex::default(),
            gone: AtomicBool::new(false),
            runs: Mutex::default(),
            cut: Mutex::default(),
            active: Mutex::default(),
            connections: Mutex::default(),
            record: record.clone(),
        }));
        let serving = engine.clone();
        thread::spawn(move || serving.accept(&listener));
        Ok(engine)
    }

    fn is_gone(&self) -> bool {
        self.0.gone.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_gone() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let engine = self.clone();
            thread::spawn(move || {
                // A connection that ends is no error here.
                let _ = engine.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut reader = Reader::new(stream.try_clone()?);
        let held = stream.try_clone()?;
        self.0.connections.lock().expect("no panic").push(held);
        let mut writer = stream.try_clone()?;
        loop {
            let request = reader.message()?;
            if self.is_gone() {
                return Ok(());
            }
            let leaving = self.0.leaving.load(Ordering::SeqCst);
            let response = self.respond(&request, &stream)?;
            writer.write_all(&response)?;
            if leaving {
                return Ok(());
            }
        }
    }

    fn respond(&self, request: &Message, stream: &TcpStream) -> io::Result<Vec<u8>> {
        let state = &self.0;
        let leaving = state.leaving.load(Ordering::SeqCst);
        let ending = if leaving {
            "Connection: close\r\n"
        } else {
            "Keep-Alive: timeout=5\r\n"
        };
        if request.first.starts_with("GET /healthz ") {
            let status = if leaving {
                "503 Service Unavailable"
            } else {
                "200 OK"
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n{ending}\r\n",
                state.id
            );
            return Ok(text.into_bytes());
        }
        let id = request.header("Request-Id").unwrap_or("").to_owned();
        let expected = request.header("Expect-Instance");
        if expected.is_some_and(|expected| expected != state.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Content-Length: 0\r\n{ending}\r\n"
            );
            return Ok(text.into_bytes());
        }
        let at = state.record.now();
        state
            .runs
            .lock()
            .expect("no panic")
            .push(Run { id: id.clone(), at });
        state
            .record
            .line(&format!("engine {}: runs {id}", state.id));
        let held = (id.clone(), stream.try_clone()?);
        state.active.lock().expect("no panic").push(held);
        thread::sleep(state.work);
        let mut active = state.active.lock().expect("no panic");
        active.retain(|(running, _)| *running != id);
        drop(active);
        let body = format!("done {id} by {}", state.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {:x}.{id}\r\n\
             Content-Type: text/plain\r\nContent-Length: {}\r\n{ending}\r\n{body}",
            state.born,
            body.len()
        );
        Ok(text.into_bytes())
    }

    /// Returns the body of the next heartbeat.
    pub fn next_beat(&self) -> String {
        let state = &self.0;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            state.service, state.address, state.zone, state.slots, state.born
        )
    }

    /// Sends a heartbeat to a daemon; returns whether it was acknowledged within a second.
    pub fn send_beat(&self, control: SocketAddr, body: &str) -> bool {
        let call = format!("POST /Instances.Heartbeat/{}", self.0.id);
        let headers = [("Content-Type", "application/json")];
        let answer = http::call(
            control,
            &call,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let acknowledged = answer.is_ok_and(|answer| (200..300).contains(&answer.status()));
        self.0.record.line(&format!(
            "engine {}: heartbeat to {control} acknowledged={acknowledged}",
            self.0.id
        ));
        acknowledged
    }

    /// Sends heartbeats every 1,200 ms to the daemons in turn, starting at `first`, or only to
    /// that one while it acknowledges them.
    pub fn beat(&self, controls: Vec<SocketAddr>, first: usize, keeps: bool) {
        let engine = self.clone();
        thread::spawn(move || {
            let mut next = first;
            while !engine.0.quiet.load(Ordering::SeqCst) && !engine.is_gone() {
                *engine.0.last_beat.lock().expect("no panic") = engine.0.record.now();
                let body = engine.next_beat();
                for _ in 0..controls.len() {
                    let control = controls[next % controls.len()];
                    let acknowledged = engine.send_beat(control, &body);
                    if !(acknowledged && keeps) {
                        next += 1;
                    }
                    if acknowledged {
                        break;
                    }
                }
                thread::sleep(BEAT_INTERVAL);
            }
        });
    }

    /// Ends the regular heartbeats, and waits until the next one is due.
    pub fn wait_for_last_beat(&self) {
        self.0.quiet.store(true, Ordering::SeqCst);
        let last = *self.0.last_beat.lock().expect("no panic");
        let due = last + BEAT_INTERVAL;
        thread::sleep(due.saturating_sub(self.0.record.now()));
    }

    fn begin_leave(&self) {
        self.0.quiet.store(true, Ordering::SeqCst);
        self.0.leaving.store(true, Ordering::SeqCst);
    }

    /// Tells a daemon that the engine leaves; returns when that was acknowledged, if it was.
    pub fn deregister(&self, control: SocketAddr) -> Option<Duration> {
        self.begin_leave();
        let call = format!("POST /Instances.Deregister/{}", self.0.id);
        let body = format!("{{\"born\":{}}}", self.0.born);
        let headers = [("Content-Type", "application/json")];
        let answer = http::call(
            control,
            &call,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let at = self.0.record.now();
        let acknowledged = answer.is_ok_and(|answer| (200..300).contains(&answer.status()));
        self.0.record.line(&format!(
            "engine {}: deregistration to {control} acknowledged={acknowledged}",
            self.0.id
        ));
        acknowledged.then_some(at)
    }

    /// The engine exits: it closes its port and all connections.
    pub fn exit(&self) {
        let state = &self.0;
        state.gone.store(true, Ordering::SeqCst);
        let active: Vec<_> = state.active.lock().expect("no panic").drain(..).collect();
        for (id, stream) in active {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            state.cut.lock().expect("no panic").push(id);
        }
        for stream in state.connections.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts, which then closes the port.
        let _ = TcpStream::connect_timeout(&state.address, Duration::from_millis(100));
        state.record.line(&format!("engine {}: exits", state.id));
    }

    /// Returns the requests that the engine ran.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().expect("no panic").clone()
    }
}
