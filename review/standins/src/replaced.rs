//! Case: a machine of the core is replaced by an empty one at another address, and when the
//! successor has had its time to catch up, a second one.

use std::io;
use std::path::Path;
use std::sync::Arc;
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

/// Time after a removal at which the successor starts (`replace_core`, x).
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

/// Time between the start of the first successor and the second removal. The first one
/// stops counting as lost after `catch_up_s`, 4 s.
const SECOND_DELAY: Duration = Duration::from_secs(7);

/// `recovery_s`, for the last reading.
const READ_PERIOD: Duration = Duration::from_secs(15);

/// Number of machines with a disk at the start; the further ones are their successors.
const CORE: usize = 3;

fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"path_prefix\":\"/ask/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":6000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"huvo11a\",\
         \"max_attempts\":1,\"public\":false,\"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":300}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"health_path\":\"/healthz\",\"max_connections\":500,\"protocol\":\"h1\",\
         \"tls\":false,\"backend\":{{\"slots\":96,\"kv_capacity\":297824,\"block_size\":3,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-0\"],\"priority\":1,\
         \"reserved\":5384811}}]}}"
    )
}

/// Sends one prepaid request; returns the status, zero if there was no answer.
fn ask(fleet: &Fleet, front: usize, number: u64, record: &Record) -> u16 {
    let id = format!("{number:016x}");
    let headers = format!(
        "Host: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Usage: 1460,30\r\nApi-Key: key-0\r\nDeadline-Ms: 6000\r\n"
    );
    let timeout = Duration::from_secs(7);
    let answer = http::call(
        fleet.front(front),
        "POST",
        "/ask/x",
        &headers,
        b"{}",
        timeout,
    );
    let status = answer.map_or(0, |answer| answer.status);
    record.line(&format!("request {id} at gateway {front}: status {status}"));
    status
}

/// Asks the gateways in turn until `seconds` have passed; returns how many requests were
/// served, of how many.
fn ask_for(
    fleet: &Fleet,
    fronts: &[usize],
    seconds: f64,
    next: &mut u64,
    record: &Record,
) -> (u64, u64) {
    let until = record.seconds() + seconds;
    let (mut served, mut sent) = (0, 0);
    while record.seconds() < until {
        *next += 1;
        sent += 1;
        let front = fronts[usize::try_from(*next).unwrap_or(0) % fronts.len()];
        served += u64::from(ask(fleet, front, *next, record) == 200);
        thread::sleep(Duration::from_millis(100));
    }
    (served, sent)
}

/// Runs the case.
pub fn run(root: &Path, trouble: bool, record: &Arc<Record>) -> io::Result<Verdict> {
    let mut fleet = Fleet::new(root, CORE + 2, 2)?;
    let others = [CORE + 2, CORE + 3];
    for index in (0..CORE).chain(others) {
        fleet.start(index, true)?;
    }
    let running = |removed: &[usize], added: &[usize]| -> Vec<usize> {
        let core = (0..CORE)
            .chain(others)
            .filter(|index| !removed.contains(index));
        core.chain(added.iter().copied()).collect()
    };
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
    let controls = |list: &[usize], fleet: &Fleet| {
        list.iter()
            .map(|&index| fleet.control(index))
            .collect::<Vec<_>>()
    };
    // The platform's list for engines holds all control addresses of the day; calls to
    // machines that are gone or not yet there move on to the next.
    let _engine = Engine::start("i-0001", "huvo11a", 0, 96, fleet.controls(), serve)?;
    let all = running(&[], &[]);
    if let Err(reason) = operator::submit(
        &controls(&all, &fleet),
        &configuration(1),
        Duration::from_secs(10),
    ) {
        record.say(&format!(
            "the first configuration was not acknowledged: {reason}"
        ));
        return Ok(Verdict::CannotRun);
    }
    if !fleet.wait_ready_of(&all, Duration::from_secs(15)) {
        record.say("not all gateways became ready");
        return Ok(Verdict::CannotRun);
    }
    thread::sleep(Duration::from_secs(4));
    let mut next = 0;
    let (served, sent) = ask_for(&fleet, &all, 3.0, &mut next, record);
    record.say(&format!("before: {served} of {sent} requests served"));
    if served * 2 < sent {
        return Ok(Verdict::CannotRun);
    }
    let mut version = 2;
    let acknowledged = operator::submit(
        &controls(&all, &fleet),
        &configuration(version),
        Duration::from_secs(4),
    );
    record.say(&format!("version {version}: {acknowledged:?}"));
    if acknowledged.is_err() {
        return Ok(Verdict::CannotRun);
    }
    let mut newest = version;
    let list = if trouble {
        record.say("gateway 0 is removed for good");
        fleet.kill(0);
        thread::sleep(SUCCESSOR_DELAY);
        fleet.start(CORE, false)?;
        record.say("its successor has started, with an empty disk, at another address");
        let list = running(&[0], &[CORE]);
        let (served, sent) = ask_for(
            &fleet,
            &list,
            SECOND_DELAY.as_secs_f64() - 1.0,
            &mut next,
            record,
        );
        record.say(&format!("meanwhile: {served} of {sent} requests served"));
        version += 1;
        let acknowledged = operator::submit(
            &controls(&list, &fleet),
            &configuration(version),
            Duration::from_secs(4),
        );
        record.say(&format!("version {version}: {acknowledged:?}"));
        if acknowledged.is_err() {
            return Ok(Verdict::CannotRun);
        }
        newest = version;
        thread::sleep(Duration::from_millis(500));
        record.say("gateway 1 is removed for good");
        fleet.kill(1);
        thread::sleep(SUCCESSOR_DELAY);
        // The list from which seeds are taken lags by up to `seed_lag_s`.
        fleet.seeds = vec![1, 2, CORE];
        fleet.start(CORE + 1, false)?;
        record.say("its successor has started, with an empty disk, at another address");
        running(&[0, 1], &[CORE, CORE + 1])
    } else {
        all
    };
    // `recovery_s` after all are back.
    let (served, sent) = ask_for(&fleet, &list, 12.0, &mut next, record);
    record.say(&format!(
        "until recovery_s: {served} of {sent} requests served"
    ));
    let reading = Instant::now();
    let mut newest_read = None;
    let mut older = false;
    while newest_read.is_none() && reading.elapsed() < READ_PERIOD {
        for &index in &list {
            let (status, read) = operator::fetch(fleet.control(index));
            record.line(&format!(
                "Config.Fetch at gateway {index}: {status} {read:?}"
            ));
            if status == 200 {
                older |= read < Some(newest);
                newest_read = newest_read.max(read);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    let (served, sent) = ask_for(&fleet, &list, 5.0, &mut next, record);
    record.say(&format!(
        "after recovery_s: {served} of {sent} requests served"
    ));
    for &index in &list {
        for line in fleet.log_lines(index, &["event=members", "event=leader "], 2) {
            record.line(&format!("log of gateway {index}: {line}"));
        }
    }
    let broken = older || newest_read < Some(newest);
    record.say(&format!(
        "CONFIG: acknowledged {newest}, read back {newest_read:?} from {} s after the last return on, within {} s: {}",
        12,
        READ_PERIOD.as_secs(),
        if broken { "broken" } else { "held" }
    ));
    Ok(Verdict::of(broken))
}
