//! Callers that send requests, and the calls of the operator and the engines.

use std::io::Write as _;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use http::write::HeadWriter;
use platform::test_support;
use platform::test_support::CallerRequest;
use platform::test_support::Route;

use crate::engine;
use crate::oracle::Oracle;
use crate::oracle::RequestOutcome;
use crate::oracle::TOKENS_PER_EVENT;
use crate::wire::Connection;

/// Host of all routes.
pub const ROUTE_HOST: &str = "soak.example";

/// Teams with their token totals: one that is never exhausted, and one that is.
pub const TEAMS: [(&str, u64); 2] = [("large", 10_000_000), ("small", 1_500)];

/// Routes: resumable streams, calls that must run at most once, and idempotent calls.
pub const ROUTES: [Route<'_>; 3] = [
    Route {
        name: "talk",
        streaming: true,
        idempotent: true,
    },
    Route {
        name: "book",
        streaming: false,
        idempotent: false,
    },
    Route {
        name: "list",
        streaming: false,
        idempotent: true,
    },
];

/// Number of tokens in a prompt.
const PROMPT_TOKENS: u64 = 40;

/// Timeout of a caller for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a response to an operator's or engine's call.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Range of the pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// A caller; it reuses its connection as long as possible.
pub struct Caller {
    /// Number of the caller.
    pub number: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Addresses that it may connect to.
    pub addresses: Vec<SocketAddrV4>,
    /// Oracle that receives its observations.
    pub oracle: Arc<Oracle>,
    /// Set when the caller should stop.
    pub finished: Arc<AtomicBool>,
}

impl Caller {
    /// Sends requests until `finished` is set.
    pub fn run(&self) {
        let mut rng = Rng::with_seed(self.seed ^ ((self.number as u64) << 32));
        let mut idle_connection: Option<(usize, Connection)> = None;
        let mut count = 0;
        while !self.finished.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{:x}-{}-{count}", self.seed, self.number);
            let route = ROUTES[rng.usize(..ROUTES.len())];
            let team = TEAMS[usize::from(rng.u8(..8) == 0)].0;
            let connection = idle_connection.take().or_else(|| {
                let process = rng.usize(..self.addresses.len());
                Some((process, connect(self.addresses[process])?))
            });
            if let Some((process, mut connection)) = connection {
                self.oracle.record_sent(&id, process);
                let (outcome, reusable) =
                    send_request(&mut connection, &id, &route, team, &self.oracle);
                self.oracle.record_outcome(&id, outcome, route.idempotent);
                idle_connection = reusable.then_some((process, connection));
            }
            thread::sleep(Duration::from_millis(rng.u64(PAUSE_MS)));
        }
    }
}

/// Connects to an entry.
#[must_use]
pub fn connect(entry: SocketAddrV4) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&entry.into(), CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
    Some(Connection::new(stream))
}

/// Sends a request on the route `name`, which idempotent requests without tokens use;
/// returns the status, or `None` if no complete response arrives, and whether the
/// connection can be reused.
pub fn request_route(connection: &mut Connection, id: &str, name: &str) -> (Option<u16>, bool) {
    let mut out = Vec::new();
    let request = CallerRequest {
        id,
        team: TEAMS[0].0,
        target: &format!("/{name}/x"),
        host: ROUTE_HOST,
        timeout_ms: 2_500,
        tokens: (0, 0),
    };
    test_support::write_caller_request(&mut out, &request, id.as_bytes());
    if connection.stream.write_all(&out).is_err() {
        return (None, false);
    }
    match connection.read_response() {
        Ok((head, _)) => {
            let reusable = !head.connection_close && !connection.has_unread_bytes();
            (Some(head.status), reusable)
        }
        Err(_) => (None, false),
    }
}

/// Sends one request; returns its outcome and whether the connection can be reused.
fn send_request(
    connection: &mut Connection,
    id: &str,
    route: &Route<'_>,
    team: &str,
    oracle: &Oracle,
) -> (RequestOutcome, bool) {
    let mut out = Vec::new();
    let tokens = if route.streaming {
        (PROMPT_TOKENS, engine::EVENTS_PER_STREAM * TOKENS_PER_EVENT)
    } else {
        (0, 0)
    };
    let request = CallerRequest {
        id,
        team,
        target: &format!("/{}/x", route.name),
        host: ROUTE_HOST,
        timeout_ms: 2_500,
        tokens,
    };
    test_support::write_caller_request(&mut out, &request, id.as_bytes());
    if connection.stream.write_all(&out).is_err() {
        return (RequestOutcome::Cut, false);
    }
    let read = connection.read_response();
    if route.streaming {
        let text = String::from_utf8_lossy(&connection.content);
        let events = text.matches("\n\n").count();
        oracle.record_events(team, events as u64);
    }
    let Ok((head, body)) = read else {
        return (RequestOutcome::Cut, false);
    };
    let reusable = !head.connection_close && !connection.has_unread_bytes();
    let expected = if route.streaming {
        engine::stream_body(id)
    } else {
        engine::call_body(id)
    };
    let outcome = match head.status {
        200 if !test_support::is_authentic(&head, id) => {
            RequestOutcome::WrongAnswer("the response is not an engine's response to this request")
        }
        200 if body != expected.as_bytes() => {
            RequestOutcome::WrongAnswer("the body differs from the expected answer")
        }
        200 if connection.has_unread_bytes() => {
            RequestOutcome::WrongAnswer("bytes follow the response")
        }
        200 => RequestOutcome::Answered,
        402 => RequestOutcome::Exhausted,
        status if test_support::is_not_executed(status) => RequestOutcome::Refused,
        502 | 504 => RequestOutcome::Failed,
        status @ (401 | 403 | 404) => RequestOutcome::Denied(status),
        _ => RequestOutcome::WrongAnswer("unexpected status"),
    };
    (outcome, reusable)
}

/// Sends an operator's or engine's request; returns the status and the body, or `None` on
/// an I/O error.
#[must_use]
pub fn control_request(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, Vec<u8>)> {
    control_request_within(to, method, path, body, CONTROL_TIMEOUT)
}

/// Sends a request like [`control_request`], with another timeout for the response.
#[must_use]
pub fn control_request_within(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to.into(), CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let mut connection = Connection::new(stream);
    let mut out = Vec::new();
    HeadWriter::request(&mut out, method, path)
        .header("Host", "control")
        .header("Connection", "close")
        .header_u64("Content-Length", body.len() as u64)
        .finish();
    out.extend_from_slice(body);
    connection.stream.write_all(&out).ok()?;
    let (head, body) = connection.read_response().ok()?;
    Some((head.status, body))
}

/// Submits a configuration to one address after another until it is acknowledged, starting
/// at index `first`; returns whether it was.
pub fn submit_config(
    addresses: &[SocketAddrV4],
    version: u64,
    first: usize,
    oracle: &Oracle,
) -> bool {
    let body = test_support::site_json(version, ROUTE_HOST, &ROUTES, &TEAMS);
    for round in 0..60 {
        let to = addresses[(first + round) % addresses.len()];
        let answer = control_request(
            to,
            "POST",
            test_support::CONFIG_REPLACE_PATH,
            body.as_bytes(),
        );
        if matches!(answer, Some((200, _))) {
            oracle.record_acknowledged(version);
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Reads the configuration from `to` once and reports it to the oracle; returns whether
/// there was a response with one.
pub fn check_config(to: SocketAddrV4, oracle: &Oracle) -> bool {
    let known = oracle.acknowledged_version();
    let Some((200, body)) = control_request(to, "GET", test_support::CONFIG_FETCH_PATH, b"") else {
        return false;
    };
    match test_support::config_version(&body) {
        Some(version) => oracle.record_read(known, version),
        None => oracle.record_breach("config: the response cannot be parsed".to_owned()),
    }
    true
}
