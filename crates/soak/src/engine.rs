//! Fake engines that report each run to the oracle.

use std::io;
use std::io::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use http::write::write_chunk;
use http::write::write_last_chunk;
use platform::test_support;
use platform::test_support::EngineRequest;
use platform::test_support::Route;

use crate::oracle::Oracle;
use crate::wire::Connection;

/// Number of events in each stream.
pub const EVENTS_PER_STREAM: u64 = 5;

/// Time between two events, and the duration of a call without a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// A faulty engine refuses one of this many requests for lack of capacity.
const REQUESTS_PER_REFUSAL: u64 = 23;

/// A faulty engine breaks off the stream of one of this many requests.
const REQUESTS_PER_BREAK: u64 = 37;

/// Time for which an engine stays, and then for which it leaves before it starts again.
const LIFETIME: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(4));

/// An engine that asks for pauses does so for one of this many requests.
const REQUESTS_PER_PAUSE: u64 = 41;

/// Length of such a pause, in seconds.
const PAUSE_S: u64 = 2;

/// What an engine does besides answering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Conduct {
    /// It stays and takes all requests.
    #[default]
    Steady,
    /// It leaves, says so in its answers, and starts again; it announces only the start.
    Leaves,
    /// It turns some requests away, and wants none from their processes for a time.
    Pauses,
}

/// The lifetime of an engine.
#[derive(Debug, Default)]
pub struct Lifetime {
    /// Number of starts after the first one.
    pub restarts: AtomicU64,
    leaving: AtomicBool,
}

/// A running fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Identifier of the engine.
    pub id: String,
    /// Whether it responds with streams.
    pub streaming: bool,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// Whether it refuses some requests and breaks off some streams.
    pub faulty: bool,
    /// What it does besides answering.
    pub conduct: Conduct,
    /// Address that it listens on.
    pub address: SocketAddrV4,
    /// Its lifetime, shared with its announcer.
    pub lifetime: Arc<Lifetime>,
}

impl FakeEngine {
    /// Starts an engine on loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn spawn(
        id: String,
        route: &Route<'_>,
        faulty: bool,
        conduct: Conduct,
        oracle: &Arc<Oracle>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = listener.local_addr()?.port();
        let engine = Self {
            id,
            streaming: route.streaming,
            idempotent: route.idempotent,
            faulty,
            conduct,
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            lifetime: Arc::default(),
        };
        if conduct == Conduct::Leaves {
            let (engine, oracle) = (engine.clone(), Arc::downgrade(oracle));
            thread::spawn(move || engine.leave_repeatedly(&oracle));
        }
        let (template, oracle) = (engine.clone(), Arc::clone(oracle));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, oracle) = (template.clone(), Arc::clone(&oracle));
                // An I/O error ends the connection's thread, and the peer sees the
                // connection close.
                thread::spawn(move || engine.serve(stream, &oracle));
            }
        });
        Ok(engine)
    }

    /// Leaves and starts again until nothing else uses the oracle.
    fn leave_repeatedly(&self, oracle: &Weak<Oracle>) {
        loop {
            thread::sleep(LIFETIME.0);
            self.lifetime.leaving.store(true, Ordering::Relaxed);
            thread::sleep(LIFETIME.1);
            let Some(oracle) = oracle.upgrade() else {
                return;
            };
            self.lifetime.leaving.store(false, Ordering::Relaxed);
            self.lifetime.restarts.fetch_add(1, Ordering::Relaxed);
            oracle.record_engine_start(&self.id);
        }
    }

    /// Writes the head of a response, and tells the oracle if the engine leaves.
    fn write_head(&self, out: &mut Vec<u8>, id: &str, length: Option<usize>, oracle: &Oracle) {
        if self.lifetime.leaving.load(Ordering::Relaxed) {
            oracle.record_leaving(id, &self.id);
            test_support::write_leaving_response(out, id, length);
        } else {
            test_support::write_engine_response(out, id, length);
        }
    }

    fn serve(&self, stream: TcpStream, oracle: &Oracle) -> io::Result<()> {
        let restarts = self.lifetime.restarts.load(Ordering::Relaxed);
        let mut connection = Connection::new(stream);
        let mut count = u64::from(connection.stream.peer_addr()?.port());
        while let Some((head, body)) = connection.read_request()? {
            let request = test_support::parse_engine_request(&head);
            if self.lifetime.restarts.load(Ordering::Relaxed) != restarts {
                // The connection ended with the lifetime.
                break;
            }
            count += 1;
            let mut out = Vec::new();
            if request.engine != self.id {
                test_support::write_not_executed(&mut out, 421, &request.id);
                connection.stream.write_all(&out)?;
                continue;
            }
            oracle.record_arrival(&request.id, &self.id);
            if self.conduct == Conduct::Pauses && count % REQUESTS_PER_PAUSE == 0 {
                oracle.record_turned_away(&request.id, &self.id, PAUSE_S * 1_000);
                test_support::write_turned_away(&mut out, &request.id, PAUSE_S);
                connection.stream.write_all(&out)?;
                continue;
            }
            if self.faulty && count % REQUESTS_PER_REFUSAL == 0 {
                test_support::write_not_executed(&mut out, 503, &request.id);
                connection.stream.write_all(&out)?;
                continue;
            }
            if body != request.id.as_bytes() {
                oracle.record_breach(format!(
                    "altered: {} arrived with a different body",
                    request.id
                ));
            }
            oracle.record_run(
                &request.id,
                &request.team,
                request.tokens.0,
                self.idempotent,
            );
            if self.streaming {
                let break_early = self.faulty && count % REQUESTS_PER_BREAK == 0;
                self.write_head(&mut out, &request.id, None, oracle);
                stream_events(&mut connection, &request, out, break_early)?;
            } else {
                thread::sleep(EVENT_INTERVAL);
                let content = call_body(&request.id);
                self.write_head(&mut out, &request.id, Some(content.len()), oracle);
                out.extend_from_slice(content.as_bytes());
                connection.stream.write_all(&out)?;
            }
        }
        Ok(())
    }
}

/// Writes the events that the caller lacks, after the head in `out`.
fn stream_events(
    connection: &mut Connection,
    request: &EngineRequest,
    mut out: Vec<u8>,
    break_early: bool,
) -> io::Result<()> {
    for number in request.last_event + 1..=EVENTS_PER_STREAM {
        thread::sleep(EVENT_INTERVAL);
        if break_early && number == 3 {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        write_chunk(&mut out, stream_event(&request.id, number).as_bytes());
        connection.stream.write_all(&out)?;
        out.clear();
    }
    write_last_chunk(&mut out);
    connection.stream.write_all(&out)
}

fn stream_event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}\n\n")
}

/// Returns the complete response body of a call without a stream.
#[must_use]
pub fn call_body(id: &str) -> String {
    format!("answer to {id}")
}

/// Returns the complete response body of a stream.
#[must_use]
pub fn stream_body(id: &str) -> String {
    (1..=EVENTS_PER_STREAM)
        .map(|number| stream_event(id, number))
        .collect()
}
