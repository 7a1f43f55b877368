//! Callers and the operator.

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
use crate::oracle::EVENT_TOKENS;
use crate::oracle::Ended;
use crate::oracle::Oracle;
use crate::wire::Conn;

/// The host that all routes name.
pub const HOST: &str = "soak.example";

/// Teams with their totals: one that lasts and one that is used up.
pub const TEAMS: [(&str, u64); 2] = [("large", 10_000_000), ("small", 1_500)];

/// Routes: resumable streams, calls that may run once, and calls that may be repeated.
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

/// Tokens of a prompt.
const PROMPT: u64 = 40;

/// Longest wait of a caller for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(400);

/// Longest wait for an operator's call.
const CONTROL: Duration = Duration::from_millis(1_200);

/// Pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// A caller, which keeps its connection until the process is gone.
pub struct Caller {
    /// Its number.
    pub number: usize,
    /// The seed of the run.
    pub seed: u64,
    /// Where it may connect.
    pub entries: Vec<SocketAddrV4>,
    /// What it tells.
    pub oracle: Arc<Oracle>,
    /// Whether it should stop.
    pub over: Arc<AtomicBool>,
}

impl Caller {
    /// Sends requests until told to stop.
    pub fn run(&self) {
        let mut rng = Rng::with_seed(self.seed ^ ((self.number as u64) << 32));
        let mut kept: Option<Conn> = None;
        let mut count = 0;
        while !self.over.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{:x}-{}-{count}", self.seed, self.number);
            let route = ROUTES[rng.usize(..ROUTES.len())];
            let team = TEAMS[usize::from(rng.u8(..8) == 0)].0;
            let conn = kept.take().or_else(|| {
                let entry = self.entries[rng.usize(..self.entries.len())];
                let stream = TcpStream::connect_timeout(&entry.into(), CONNECT).ok()?;
                stream.set_read_timeout(Some(PATIENCE)).ok()?;
                Some(Conn::new(stream))
            });
            if let Some(mut conn) = conn {
                let (ended, keep) = ask(&mut conn, &id, &route, team, &self.oracle);
                self.oracle.ended(&id, ended, route.idempotent);
                kept = keep.then_some(conn);
            }
            thread::sleep(Duration::from_millis(rng.u64(PAUSE_MS)));
        }
    }
}

/// Sends one request; returns how it ended and whether the connection can go on.
fn ask(conn: &mut Conn, id: &str, route: &Route<'_>, team: &str, oracle: &Oracle) -> (Ended, bool) {
    let mut out = Vec::new();
    let tokens = if route.streaming {
        (PROMPT, engine::EVENTS * EVENT_TOKENS)
    } else {
        (0, 0)
    };
    let asked = CallerRequest {
        id,
        team,
        target: &format!("/{}/x", route.name),
        host: HOST,
        timeout_ms: 2_500,
        tokens,
    };
    test_support::write_caller_request(&mut out, &asked, id.as_bytes());
    if conn.stream.write_all(&out).is_err() {
        return (Ended::Cut, false);
    }
    let read = conn.response();
    if route.streaming {
        let text = String::from_utf8_lossy(&conn.content);
        let events = text.matches("\n\n").count();
        oracle.delivered(team, events as u64);
    }
    let Ok((head, body)) = read else {
        return (Ended::Cut, false);
    };
    let keep = !head.connection_close && !conn.left_over();
    let whole = if route.streaming {
        engine::events(id)
    } else {
        engine::answer(id)
    };
    let ended = match head.status {
        200 if !test_support::is_authentic(&head, id) => {
            Ended::Mixed("not an engine's answer to it")
        }
        200 if body != whole.as_bytes() => Ended::Mixed("not the whole answer"),
        200 if conn.left_over() => Ended::Mixed("more than the answer"),
        200 => Ended::Answered,
        402 => Ended::Exhausted,
        status if test_support::is_not_executed(status) => Ended::Refused,
        502 | 504 => Ended::Failed,
        _ => Ended::Mixed("a status that nothing explains"),
    };
    (ended, keep)
}

/// Makes an operator's or engine's call; returns the status and the body.
#[must_use]
pub fn control(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to.into(), CONNECT).ok()?;
    stream.set_read_timeout(Some(CONTROL)).ok()?;
    let mut conn = Conn::new(stream);
    let mut out = Vec::new();
    HeadWriter::request(&mut out, method, path)
        .header("Host", "control")
        .header("Connection", "close")
        .header_u64("Content-Length", body.len() as u64)
        .finish();
    out.extend_from_slice(body);
    conn.stream.write_all(&out).ok()?;
    let (head, body) = conn.response().ok()?;
    Some((head.status, body))
}

/// Sends a configuration until it's acknowledged; `first` is the first to be asked.
pub fn submit(entries: &[SocketAddrV4], version: u64, first: usize, oracle: &Oracle) -> bool {
    let body = test_support::site_json(version, HOST, &ROUTES, &TEAMS);
    for round in 0..60 {
        let to = entries[(first + round) % entries.len()];
        let answer = control(
            to,
            "POST",
            test_support::CONFIG_REPLACE_PATH,
            body.as_bytes(),
        );
        if matches!(answer, Some((200, _))) {
            oracle.acknowledged(version);
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// Reads the configuration once at `to`; returns whether it was told one.
pub fn fetch(to: SocketAddrV4, oracle: &Oracle) -> bool {
    let known = oracle.newest();
    let Some((200, body)) = control(to, "GET", test_support::CONFIG_FETCH_PATH, b"") else {
        return false;
    };
    match test_support::config_version(&body) {
        Some(version) => oracle.read(known, version),
        None => oracle.broken("config: what was read can't be read".to_owned()),
    }
    true
}
