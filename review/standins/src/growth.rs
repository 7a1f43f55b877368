//! Case: the configuration has grown, and hundreds of changes follow.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::engine;
use crate::engine::Engine;
use crate::engine::Next;
use crate::engine::Serve;
use crate::fleet::Fleet;
use crate::http;
use crate::operator;
use crate::record::Record;

/// Routes that `big_config` adds, at its largest dose on the site.
const ADDED_ROUTES: usize = 1_964;

/// Time between two changes: `gap_s` of the `config_storm` among the site's troubles.
const CHANGE_GAP: Duration = Duration::from_millis(330);

/// Changes in one storm, and the pause before the next one (`for_s` 4.0).
const STORM_CHANGES: u32 = 12;
const STORM_PAUSE: Duration = Duration::from_secs(1);

/// Number of changes while the added routes are there.
const GROWN_CHANGES: u64 = 54;

/// Number of changes after they were withdrawn.
const LATER_CHANGES: u64 = 90;

/// `ack_ms`, and 3 ms for each route.
const ACK_TIMEOUT: Duration = Duration::from_millis(5_000 + 3 * 1_977);

/// Orders of the operator in progress at once.
const MAX_ORDERS: usize = 8;

/// `recovery_s` of the site, for the last reading.
const READ_PERIOD: Duration = Duration::from_secs(15);

/// Time between two prepaid requests.
const REQUEST_GAP: Duration = Duration::from_millis(500);

fn route(index: usize, version: u64) -> String {
    let (name, host) = (format!("r-{index:07}"), "ficu95.example");
    // Each version shifts the weights of one route, so that each is a real change.
    let weight = 50
        + if index as u64 == version % 13 {
            version % 40
        } else {
            0
        };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/p{index:06}/\",\"route_type\":\"streaming\",\
         \"timeout_ms\":6000,\"target_latency_ms\":800,\"priority\":1,\"traffic_split\":[{{\"service\":\"huvo11a\",\
         \"weight\":{weight}}},{{\"service\":\"wuno96b\",\"weight\":10}}],\"max_attempts\":1,\"public\":false,\
         \"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":300}}"
    )
}

fn configuration(version: u64, added: usize) -> String {
    let routes: Vec<String> = (0..12 + added).map(|index| route(index, version)).collect();
    let hold = "{\"name\":\"r-hold\",\"host\":\"ficu95.example\",\"path_prefix\":\"/hold/\",\"route_type\":\"streaming\",\
        \"timeout_ms\":6000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"huvo11a\",\"max_attempts\":1,\
        \"public\":false,\"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":300}";
    let tenants: Vec<String> = (0..10)
        .map(|index| {
            format!(
                "{{\"name\":\"team{index}\",\"api_keys\":[\"key-{index}\"],\"priority\":1,\"reserved\":5384811}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{hold},{}],\"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\
         \"max_connections\":500,\"protocol\":\"h1\",\"tls\":false,\"backend\":{{\"slots\":96,\"kv_capacity\":297824,\
         \"block_size\":3,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"wuno96b\",\"health_path\":\"/healthz\",\
         \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// Sends one prepaid request; returns the status, zero if there was no answer.
fn ask(fleet: &Fleet, front: usize, id: &str, record: &Record) -> u16 {
    let headers = format!(
        "Host: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,30\r\nApi-Key: key-{}\r\nDeadline-Ms: 6000\r\n",
        front % 10
    );
    let answer = http::call(
        fleet.front(front),
        "POST",
        "/hold/x",
        &headers,
        b"{}",
        Duration::from_secs(7),
    );
    let status = answer.map_or(0, |answer| answer.status);
    record.line(&format!("request {id} at gateway {front}: status {status}"));
    status
}

/// The changes and their results.
#[derive(Default)]
struct Changes {
    newest: u64,
    acknowledged: u64,
    unacknowledged: u64,
    in_progress: usize,
}

/// Runs the case.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(root, 6, 0)?;
    fleet.tolerance = 2;
    fleet.start_all()?;
    let runs = Arc::clone(record);
    let serve: Serve = Arc::new(move |engine, request, conn| {
        runs.line(&format!("engine {} runs {}", engine.id, request.id));
        engine::write_stream(
            &mut conn.stream,
            &request.id,
            1,
            10,
            Duration::from_millis(5),
        )?;
        Ok(Next::Keep)
    });
    let _engine = Engine::start("i-0001", "huvo11a", 0, 96, fleet.controls(), serve)?;
    let controls = fleet.controls();
    let first = operator::submit(&controls, &configuration(1, 0), Duration::from_secs(10));
    if let Err(reason) = first {
        record.say(&format!(
            "the first configuration was not acknowledged: {reason}"
        ));
        return Ok(Verdict::CannotRun);
    }
    if !fleet.wait_ready(Duration::from_secs(10)) {
        record.say("not all gateways became ready");
        return Ok(Verdict::CannotRun);
    }
    let served = (0..20).any(|attempt| {
        thread::sleep(Duration::from_millis(300));
        ask(&fleet, 0, &format!("{:016x}", 0xa000 + attempt), record) == 200
    });
    if !served {
        record.say("no request was served before the changes");
        return Ok(Verdict::CannotRun);
    }
    let fleet = Arc::new(fleet);
    let asking = Arc::new(AtomicBool::new(true));
    let client = {
        let (fleet, asking, record) = (Arc::clone(&fleet), Arc::clone(&asking), Arc::clone(record));
        thread::spawn(move || {
            let mut number = 0;
            while asking.load(Ordering::Relaxed) {
                number += 1;
                ask(&fleet, 0, &format!("{:016x}", 0xc0_0000 + number), &record);
                thread::sleep(REQUEST_GAP);
            }
        })
    };
    let changes: Arc<Mutex<Changes>> = Arc::default();
    let started = Instant::now();
    for number in 0..GROWN_CHANGES + LATER_CHANGES {
        let index = u32::try_from(number).unwrap_or(0);
        let due = started + CHANGE_GAP * index + STORM_PAUSE * (index / STORM_CHANGES);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let version = 2 + number;
        let added = if trouble && number < GROWN_CHANGES {
            ADDED_ROUTES
        } else {
            0
        };
        let body = configuration(version, added);
        if number == 0 || number == GROWN_CHANGES {
            record.say(&format!(
                "from version {version} on, changes of {} routes, {} bytes each",
                13 + added,
                body.len()
            ));
        }
        while changes.lock().unwrap().in_progress >= MAX_ORDERS {
            thread::sleep(Duration::from_millis(20));
        }
        changes.lock().unwrap().in_progress += 1;
        let (controls, changes) = (controls.clone(), Arc::clone(&changes));
        let log = Arc::clone(record);
        thread::spawn(move || {
            let result = operator::submit(&controls, &body, ACK_TIMEOUT);
            let mut changes = changes.lock().unwrap();
            changes.in_progress -= 1;
            match result {
                Ok((taken, calls)) => {
                    changes.newest = changes.newest.max(version);
                    changes.acknowledged += 1;
                    log.line(&format!(
                        "version {version} acknowledged after {} ms and {calls} calls",
                        taken.as_millis()
                    ));
                }
                Err(reason) => {
                    changes.unacknowledged += 1;
                    log.line(&format!(
                        "version {version} not acknowledged within {} ms: {reason}",
                        ACK_TIMEOUT.as_millis()
                    ));
                }
            }
        });
        if record.seconds() > 62.0 {
            record.say("the operator sends no further changes");
            break;
        }
    }
    while changes.lock().unwrap().in_progress > 0 && record.seconds() < 76.0 {
        thread::sleep(Duration::from_millis(50));
    }
    let (newest, acknowledged, unacknowledged) = {
        let changes = changes.lock().unwrap();
        (changes.newest, changes.acknowledged, changes.unacknowledged)
    };
    record.say(&format!(
        "{acknowledged} changes acknowledged, {unacknowledged} not; newest acknowledged version: {newest}; reads it back"
    ));
    let reading = Instant::now();
    let mut newest_read = None;
    let mut older = false;
    while newest_read.is_none() && reading.elapsed() < READ_PERIOD {
        for (index, &control) in controls.iter().enumerate() {
            let (status, version) = operator::fetch(control);
            record.line(&format!(
                "Config.Fetch at gateway {index}: {status} {version:?}"
            ));
            if status == 200 {
                older |= version < Some(newest);
                newest_read = newest_read.max(version);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    asking.store(false, Ordering::Relaxed);
    let _ = client.join();
    for front in 0..controls.len() {
        let status = ask(&fleet, front, &format!("{:016x}", 0xb000 + front), record);
        record.say(&format!(
            "a prepaid request at gateway {front} gets {status}"
        ));
    }
    for index in 0..controls.len() {
        for line in fleet.log_lines(index, &["disk_failed", "reopen"], 2) {
            record.line(&format!("log of gateway {index}: {line}"));
        }
    }
    let broken = older || newest_read < Some(newest);
    record.say(&format!(
        "CONFIG: acknowledged {newest}, read back {newest_read:?} within {} s: {}",
        READ_PERIOD.as_secs(),
        if broken { "broken" } else { "held" }
    ));
    Ok(Verdict::of(broken))
}
