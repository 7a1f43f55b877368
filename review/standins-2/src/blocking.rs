//! Starved: a kind of request is refused for minutes after three lost answers.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::callers::Callers;
use crate::callers::Order;
use crate::engine::Engine;
use crate::record::Record;
use crate::site::Site;
use crate::site::ZONES;

const HOST: &str = "seam.example";

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// How long the day goes on after the lost answers.
const DAY: Duration = Duration::from_secs(40);

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[\
         {{\"name\":\"r-explain\",\"host\":\"{HOST}\",\"path_prefix\":\"/explain/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":600,\"priority\":0,\
         \"service\":\"tally-serve\",\"max_attempts\":1,\"public\":false,\"session_affinity\":true,\
         \"stream_resume\":false,\"itl_target_ms\":300}},\
         {{\"name\":\"r-lookup\",\"host\":\"{HOST}\",\"path_prefix\":\"/lookup/\",\
         \"route_type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
         \"service\":\"seamdesk\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false,\
         \"stream_resume\":false,\"itl_target_ms\":300}}],\
         \"services\":[{{\"name\":\"tally-serve\",\"health_path\":\"/healthz\",\"max_connections\":500,\
         \"protocol\":\"h1\",\"tls\":false,\"backend\":{{\"slots\":96,\"kv_capacity\":297824,\
         \"kv_bytes\":131072,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"block_size\":3,\
         \"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"seamdesk\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"cannery\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"reserved\":5384811}}]}}"
    )
}

/// The first three answers to requests of a kind are lost, at three engines. All of these
/// requests share a part of their prompt, as those of one assistant do.
pub fn block(trouble: bool, record: &Record) -> Result<bool, String> {
    let site = Arc::new(Site::new(3, 3, record)?);
    let all: Vec<usize> = (0..site.daemons.len()).collect();
    for &index in &all {
        site.start(index, true)?;
    }
    site.configure(&configuration(), Duration::from_secs(15))?;
    let controls: Vec<SocketAddr> = all.iter().map(|&index| site.control(index)).collect();
    let mut models = Vec::new();
    for number in 0..9_usize {
        let is_model = number < 6;
        let (service, slots, work) = if is_model {
            ("tally-serve", 96, 60)
        } else {
            ("seamdesk", 6, 30)
        };
        let ip = Ipv4Addr::new(site.net.0, site.net.1, 2, number as u8 + 1);
        let id = format!("i-{number}{:08x}", crate::site::unix_ms() as u32);
        let work = Duration::from_millis(work);
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&id, service, zone, ip, work, slots, record);
        let engine = engine.map_err(|error| error.to_string())?;
        engine.beat(controls.clone(), number, false);
        if is_model {
            models.push(engine);
        }
    }
    site.wait_ready(&all, Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let order = |path: &str, timeout_ms, part: Option<&str>| Order {
        host: HOST.to_owned(),
        path: path.to_owned(),
        key: KEY.to_owned(),
        timeout_ms,
        shared_part: part.map(str::to_owned),
    };
    let explain = order("/explain/9", 4_000, Some("332f34ac600d"));
    let lookup = order("/lookup/9", 1_500, None);
    let callers = Callers::default();
    let open = Arc::new(AtomicBool::new(true));
    for &index in &all {
        let pace = Duration::from_millis(250);
        callers.run(index, site.frontend(index), &lookup, pace, &open, record);
    }
    thread::sleep(Duration::from_secs(1));
    // The first requests with a prompt, one after the other, until three engines have lost an
    // answer.
    for engine in &models {
        engine.0.loses.store(trouble, Ordering::SeqCst);
    }
    for _ in 0..8 {
        callers.send(0, site.frontend(0), &explain, record);
        thread::sleep(Duration::from_millis(400));
        if models
            .iter()
            .filter(|engine| !engine.runs().is_empty())
            .count()
            >= 3
        {
            break;
        }
    }
    for engine in &models {
        engine.0.loses.store(false, Ordering::SeqCst);
    }
    record.line("platform: nothing is disturbed from here on");
    for &index in &all {
        let pace = Duration::from_millis(500);
        callers.run(index, site.frontend(index), &explain, pace, &open, record);
    }
    thread::sleep(DAY);
    callers.stop();
    thread::sleep(Duration::from_secs(2));
    let outcomes = callers.outcomes();
    let share = |path: Option<&str>| {
        let asked = outcomes.iter().filter(|o| path.is_none_or(|p| o.path == p));
        let (asked, served) = asked.fold((0_u32, 0_u32), |(asked, served), outcome| {
            (asked + 1, served + u32::from(outcome.status == 200))
        });
        record.line(&format!("check: {path:?}: {served} of {asked} are served"));
        f64::from(served) / f64::from(asked.max(1))
    };
    let (explained, looked_up, every) = (
        share(Some(&explain.path)),
        share(Some(&lookup.path)),
        share(None),
    );
    let mut statuses: Vec<u16> = outcomes
        .iter()
        .filter(|outcome| outcome.path == explain.path)
        .map(|outcome| outcome.status)
        .collect();
    statuses.sort_unstable();
    statuses.dedup();
    record.line(&format!("check: statuses of /explain/9: {statuses:?}"));
    for &index in &all {
        for line in site.log_lines(index, &["event=segment_blocked"]) {
            record.line(&format!("log of {}: {line}", site.daemons[index].name));
        }
    }
    site.end();
    if looked_up < 0.8 {
        return Err("fewer than eight in ten look-ups are served".to_owned());
    }
    Ok(explained < every / 4.0)
}
