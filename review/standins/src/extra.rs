//! Case: an extra answer arrives late, in place of the answer to a call that may not be
//! repeated.

use std::collections::HashMap;
use std::io;
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
use crate::http;
use crate::operator;
use crate::record::Record;

/// One of this many answers of a faulty engine is followed by an extra one (`garble`,
/// how `extra late`, x 0.03 on the site).
const ANSWERS_PER_EXTRA: u64 = 34;

/// Faulty engines, of three (`garble`, share 0.6 on the site).
const FAULTY_ENGINES: usize = 1;

/// Length of the disruption, `for_s` on the site.
const TROUBLE_S: f64 = 5.0;

/// Seconds of traffic at which the two disruptions begin.
const BEGINNINGS_S: [f64; 2] = [3.0, 14.0];

/// Seconds of traffic in all.
const TRAFFIC_S: f64 = 24.0;

/// Time between two requests of a client; four clients send about as many as the sheet's
/// 37.7 calls a second of the service.
const REQUEST_GAP: Duration = Duration::from_millis(72);

const CLIENTS: u64 = 4;

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-hold\",\"host\":\"ficu95.example\",\"path_prefix\":\"/hold/\",\
     \"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
     \"service\":\"wuno96b\",\"max_attempts\":1,\"public\":false,\"session_affinity\":false,\"stream_resume\":false}],\
     \"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
     \"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"key-0\"],\"priority\":1}]}"
        .to_owned()
}

/// The runs of each request, by its identifier.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

/// Runs the case.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(root, 3, 0)?;
    fleet.start_all()?;
    let runs: Runs = Arc::default();
    let faulty = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for index in 0..3 {
        let (runs, faulty, record) = (Arc::clone(&runs), Arc::clone(&faulty), Arc::clone(record));
        let answers = AtomicU64::new(0);
        // The request whose second answer is still to come, by connection.
        let extras: Mutex<HashMap<String, String>> = Mutex::default();
        let serve: Serve = Arc::new(move |engine, request, conn| {
            let peer = conn.stream.peer_addr()?.to_string();
            if let Some(earlier) = extras.lock().unwrap().remove(&peer) {
                record.line(&format!(
                    "engine {} sends an extra answer to {earlier}, which it has answered, before that to {}",
                    engine.id, request.id
                ));
                engine::write_not_run(&mut conn.stream, 503, &earlier)?;
            }
            record.line(&format!("engine {} runs {}", engine.id, request.id));
            runs.lock()
                .unwrap()
                .entry(request.id.clone())
                .or_default()
                .push(engine.id.clone());
            thread::sleep(Duration::from_millis(30));
            engine::write_answer(&mut conn.stream, &request.id, "held")?;
            // Answers are counted anew in each disruption.
            if !faulty.load(Ordering::Relaxed) {
                answers.store(0, Ordering::Relaxed);
            } else if index < FAULTY_ENGINES
                && (answers.fetch_add(1, Ordering::Relaxed) + 1) % ANSWERS_PER_EXTRA == 0
            {
                extras.lock().unwrap().insert(peer, request.id.clone());
            }
            Ok(Next::Keep)
        });
        let id = format!("i-000{index}");
        engines.push(Engine::start(
            &id,
            "wuno96b",
            index,
            6,
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
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fleet, record, answers) =
                (Arc::clone(&fleet), Arc::clone(record), Arc::clone(&answers));
            thread::spawn(move || {
                let mut number = 0;
                while record.seconds() - start < TRAFFIC_S {
                    number += 1;
                    let id = format!("{:016x}", (client << 32) + number);
                    let front = usize::try_from((client + number) % 3).unwrap_or(0);
                    let status = hold(&fleet, front, &id);
                    record.line(&format!("hold {id} at gateway {front}: status {status}"));
                    answers.lock().unwrap().insert(id, status);
                    thread::sleep(REQUEST_GAP);
                }
            })
        })
        .collect();
    while record.seconds() - start < TRAFFIC_S {
        let elapsed = record.seconds() - start;
        let active = |from: f64| (from..from + TROUBLE_S).contains(&elapsed);
        let active = trouble && BEGINNINGS_S.into_iter().any(active);
        faulty.store(active, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut twice = 0;
    let mut refused = 0;
    for (id, engines) in runs.iter() {
        if engines.len() > 1 {
            twice += 1;
            record.say(&format!(
                "TWICE: {id} ran at {engines:?}, answered {:?}",
                answers.get(id)
            ));
        }
        if matches!(answers.get(id), Some(408 | 421 | 429 | 503)) {
            refused += 1;
            record.say(&format!(
                "REFUSED: {id} ran at {engines:?}, answered {:?}",
                answers.get(id)
            ));
        }
    }
    let served = answers.values().filter(|&&status| status == 200).count();
    record.say(&format!(
        "{} requests, {served} served, {twice} ran more than once, {refused} refused as not run that ran",
        answers.len()
    ));
    if served * 2 < answers.len() {
        return Ok(Verdict::CannotRun);
    }
    Ok(Verdict::of(twice + refused > 0))
}

fn hold(fleet: &Fleet, front: usize, id: &str) -> u16 {
    let headers = format!(
        "Host: ficu95.example\r\nRequest-Id: {id}\r\nApi-Key: key-0\r\nDeadline-Ms: 1500\r\n"
    );
    let answer = http::call(
        fleet.front(front),
        "POST",
        "/hold/x",
        &headers,
        b"{\"batch\":1}",
        Duration::from_secs(2),
    );
    answer.map_or(0, |answer| answer.status)
}
