//! Case: engines run requests and their answers are lost; the clients leave after the gap
//! that the pages give, and the requests are charged nothing.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::engine;
use crate::engine::Engine;
use crate::engine::Next;
use crate::engine::Serve;
use crate::fleet::Fleet;
use crate::http::Conn;
use crate::operator;
use crate::record::Record;

/// Engines, and those that lose answers (`answer_lost`, share 0.6).
const ENGINES: usize = 5;
const LOSING_ENGINES: usize = 3;

/// Of ten requests that a losing engine runs, it loses the answers of this many
/// (`answer_lost`, x 0.3).
const LOST_OF_TEN: u64 = 3;

/// Length of the disruption (`answer_lost`, `for_s`).
const TROUBLE_S: f64 = 6.0;

/// Seconds of traffic before the disruption and in all.
const BEFORE_S: f64 = 2.0;
const TRAFFIC_S: f64 = 22.0;

/// Tokens of a request's prompt, and of its answer at most: one event of three tokens.
const PROMPT: u64 = 2_368;
const EVENTS: u64 = 8;
const EVENT_TOKENS: u64 = 3;

/// The team's total.
const RESERVED: u64 = 600_000;

/// After a gap of two seconds, four times the objective (600 ms) or eight times the pause
/// (300 ms), whichever is longest, clients abandon a stream.
const PATIENCE: Duration = Duration::from_millis(2_400);

const CLIENTS: u64 = 12;

/// Time between a client's requests.
const REQUEST_GAP: Duration = Duration::from_millis(350);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"path_prefix\":\"/ask/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"huvo11a\",\
         \"max_attempts\":1,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_connections\":500,\"protocol\":\"h1\",\
         \"tls\":false,\"backend\":{{\"slots\":96,\"kv_capacity\":297824,\"block_size\":3,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-0\"],\"priority\":1,\
         \"reserved\":{RESERVED}}}]}}"
    )
}

/// Sends one request and reads events until the stream ends or pauses for too long; returns
/// the status, zero if there was none, and the number of events received.
fn ask(fleet: &Fleet, front: usize, id: &str) -> io::Result<(u16, u64)> {
    let mut conn = Conn::connect(fleet.front(front))?;
    conn.stream.set_read_timeout(Some(PATIENCE))?;
    let text = format!(
        "POST /ask/x HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: {PROMPT},{}\r\n\
         Api-Key: key-0\r\nDeadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{{}}",
        EVENTS * EVENT_TOKENS
    );
    conn.stream.write_all(text.as_bytes())?;
    let answer = conn.read_response()?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Ok((answer.status, body.matches("data:").count() as u64))
}

/// Runs the case.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(root, 3, 0)?;
    fleet.start_all()?;
    let losing = Arc::new(AtomicBool::new(false));
    let runs: Arc<Mutex<HashMap<String, bool>>> = Arc::default();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let (runs, losing, record) = (Arc::clone(&runs), Arc::clone(&losing), Arc::clone(record));
        let count = AtomicU64::new(0);
        let serve: Serve = Arc::new(move |engine, request, conn| {
            // Of the runs in the disruption, no more than the share is lost at any moment.
            let lost = index < LOSING_ENGINES && losing.load(Ordering::Relaxed) && {
                let number = count.fetch_add(1, Ordering::Relaxed) + 1;
                number * LOST_OF_TEN / 10 > (number - 1) * LOST_OF_TEN / 10
            };
            record.line(&format!(
                "engine {} runs {} ({PROMPT} tokens read){}",
                engine.id,
                request.id,
                if lost { ", its answer is lost" } else { "" }
            ));
            runs.lock().unwrap().insert(request.id.clone(), lost);
            if lost {
                // The run goes on until the connection closes; then the engine drops it.
                let ended = conn.stream.read(&mut [0; 16]);
                record.line(&format!(
                    "engine {} drops {}: {ended:?}",
                    engine.id, request.id
                ));
                return Ok(Next::Close);
            }
            engine::write_stream(
                &mut conn.stream,
                &request.id,
                1,
                EVENTS,
                Duration::from_millis(15),
            )?;
            Ok(Next::Keep)
        });
        let id = format!("i-000{index}");
        engines.push(Engine::start(
            &id,
            "huvo11a",
            index,
            96,
            fleet.controls(),
            serve,
        )?);
    }
    if let Err(reason) =
        operator::submit(&fleet.controls(), &configuration(), Duration::from_secs(10))
    {
        record.say(&format!("the configuration was not acknowledged: {reason}"));
        return Ok(Verdict::CannotRun);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("not all gateways became ready");
        return Ok(Verdict::CannotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let start = record.seconds();
    let fleet = Arc::new(fleet);
    let delivered = Arc::new(AtomicU64::new(0));
    let statuses: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fleet, record) = (Arc::clone(&fleet), Arc::clone(record));
            let (delivered, statuses) = (Arc::clone(&delivered), Arc::clone(&statuses));
            thread::spawn(move || {
                let mut number = 0;
                while record.seconds() - start < TRAFFIC_S {
                    number += 1;
                    let id = format!("{:016x}", (client << 32) + number);
                    let front = usize::try_from((client + number) % 3).unwrap_or(0);
                    let (status, events) = ask(&fleet, front, &id).unwrap_or((0, 0));
                    record.line(&format!(
                        "request {id} at gateway {front}: status {status}, {events} events"
                    ));
                    delivered.fetch_add(events, Ordering::Relaxed);
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                    thread::sleep(REQUEST_GAP);
                }
            })
        })
        .collect();
    while record.seconds() - start < TRAFFIC_S {
        let elapsed = record.seconds() - start;
        let active = trouble && (BEFORE_S..BEFORE_S + TROUBLE_S).contains(&elapsed);
        losing.store(active, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().unwrap();
    let lost = runs.values().filter(|&&lost| lost).count();
    let read = runs.len() as u64 * PROMPT;
    let written = delivered.load(Ordering::Relaxed) * EVENT_TOKENS;
    record.say(&format!(
        "answers by status (0: none): {:?}",
        statuses.lock().unwrap()
    ));
    record.say(&format!(
        "BUDGET: {} requests ran, {lost} of them with a lost answer; {read} tokens read and {written} delivered, of {RESERVED} reserved",
        runs.len()
    ));
    let exhausted = statuses.lock().unwrap().contains_key(&402);
    if !exhausted {
        record.say("the team's total was not used up, so the rule could not be broken");
        return Ok(Verdict::CannotRun);
    }
    Ok(Verdict::of(read + written > RESERVED))
}
