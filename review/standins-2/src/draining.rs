//! DRAIN: engines that leave while a daemon restarts, stands still or ends.

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
use crate::site::Signal;
use crate::site::Site;
use crate::site::ZONES;

/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);

/// `stable_window_ms` of the deployment.
const STABLE: Duration = Duration::from_millis(3_000);

const HOST: &str = "seam.example";

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Waits until `at`, since the start of the case.
fn until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}

fn configuration(key: &str) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-hold\",\"host\":\"{HOST}\",\"path_prefix\":\"/hold/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
         \"service\":\"seamdesk\",\"max_attempts\":1,\"public\":false,\"session_affinity\":false,\
         \"stream_resume\":false,\"itl_target_ms\":300}}],\
         \"services\":[{{\"name\":\"seamdesk\",\"health_path\":\"/healthz\",\"max_connections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"cannery\",\"api_keys\":[\"{key}\"],\"priority\":1,\"reserved\":5384811}}]}}"
    )
}

/// A deployment of six daemons and three engines that serves orders.
struct Stage {
    site: Arc<Site>,
    engines: Vec<Engine>,
    callers: Callers,
    /// Whether callers use a daemon.
    open: Vec<Arc<AtomicBool>>,
}

impl Stage {
    /// Starts everything. The last engine, in `zone`, sends its heartbeats only to `home`.
    fn set(record: &Record, zone: &'static str, home: usize) -> Result<Self, String> {
        let key = "n2ctnfzs989anu6wsjnb";
        let site = Arc::new(Site::new(3, 3, record)?);
        let all: Vec<usize> = (0..site.daemons.len()).collect();
        for &index in &all {
            site.start(index, true)?;
        }
        site.configure(&configuration(key), seconds(15.0))?;
        let controls: Vec<SocketAddr> = all.iter().map(|&index| site.control(index)).collect();
        let zones = [ZONES[0], ZONES[1], zone];
        let mut engines = Vec::new();
        for (number, zone) in zones.into_iter().enumerate() {
            let ip = Ipv4Addr::new(site.net.0, site.net.1, 2, number as u8 + 1);
            let id = format!("i-{number}{:08x}", crate::site::unix_ms() as u32);
            let work = Duration::from_millis(60);
            let engine = Engine::start(&id, "seamdesk", zone, ip, work, 6, record)
                .map_err(|error| error.to_string())?;
            if number == 2 {
                engine.beat(controls.clone(), home, true);
            } else {
                engine.beat(controls.clone(), number, false);
            }
            engines.push(engine);
        }
        site.wait_ready(&all, seconds(15.0))?;
        let callers = Callers::default();
        let order = Order {
            host: HOST.to_owned(),
            path: "/hold/17".to_owned(),
            key: key.to_owned(),
            timeout_ms: 1_500,
        };
        let mut open = Vec::new();
        for &index in &all {
            let flag = Arc::new(AtomicBool::new(true));
            let pace = Duration::from_millis(40);
            callers.run(index, site.frontend(index), &order, pace, &flag, record);
            open.push(flag);
        }
        Ok(Self {
            site,
            engines,
            callers,
            open,
        })
    }

    /// Counts the requests that `leaver` ran later than `drain_ms` after `acknowledged`, sent by
    /// callers to one of `daemons` after `since`, when it was in touch; they break the rule.
    fn late_runs(
        &self,
        record: &Record,
        leaver: &Engine,
        acknowledged: Duration,
        daemons: &[(usize, Duration)],
    ) -> usize {
        let outcomes = self.callers.outcomes();
        let mut late = 0;
        for run in leaver.runs() {
            let Some(sent) = outcomes.iter().find(|outcome| outcome.id == run.id) else {
                continue;
            };
            let in_touch = daemons
                .iter()
                .any(|&(daemon, since)| daemon == sent.daemon && sent.sent_at > since);
            if in_touch && run.at > acknowledged + DRAIN {
                late += 1;
                record.line(&format!(
                    "check: {} reached the engine that leaves {:.3} s after the acknowledgement, by {}, answered {}",
                    run.id,
                    (run.at - acknowledged).as_secs_f64(),
                    self.site.daemons[sent.daemon].name,
                    sent.status
                ));
            }
        }
        late
    }

    /// Ends the case: reports what is seen besides the rule.
    fn finish(&self, record: &Record, leaver: &Engine, late: usize) -> Result<bool, String> {
        self.callers.stop();
        thread::sleep(Duration::from_millis(1_700));
        let outcomes = self.callers.outcomes();
        let served = outcomes.iter().filter(|outcome| outcome.status == 200);
        let served = served.count();
        let cut = leaver.0.cut.lock().expect("no panic").clone();
        for id in &cut {
            let outcome = outcomes.iter().find(|outcome| outcome.id == *id);
            record.line(&format!(
                "check: order {id} was at work when the engine exited, and is answered {}",
                outcome.map_or(0, |outcome| outcome.status)
            ));
        }
        record.line(&format!(
            "check: {served} of {} orders are answered 200; {late} reached the engine too late; {} were cut when it exited",
            outcomes.len(),
            cut.len()
        ));
        for index in 0..self.site.daemons.len() {
            let words = [leaver.0.id.as_str()];
            for line in self.site.log_lines(index, &words) {
                if line.contains("event=left")
                    || line.contains("event=learned")
                    || line.contains("event=announced")
                {
                    record.line(&format!("log of {}: {line}", self.site.daemons[index].name));
                }
            }
        }
        self.site.end();
        if served * 10 < outcomes.len() * 8 {
            return Err("fewer than eight in ten orders are answered".to_owned());
        }
        Ok(late > 0)
    }
}

/// An engine deregisters at a daemon, which is killed a second later and restarts; then a
/// heartbeat arrives that the engine had sent before.
pub fn restart(trouble: bool, record: &Record) -> Result<bool, String> {
    // The daemon without a disk in the third zone.
    let home = 5;
    let stage = Stage::set(record, ZONES[2], home)?;
    let leaver = stage.engines[2].clone();
    let start = record.now() + seconds(5.0);
    until(record, start);
    // The next regular one; it's held up on its way.
    leaver.wait_for_last_beat();
    let start = record.now();
    let late_beat = leaver.next_beat();
    record.line("engine: a heartbeat is sent, and held up on its way");
    until(record, start + seconds(0.3));
    let acknowledged = leaver.deregister(stage.site.control(home));
    let acknowledged = acknowledged.ok_or("the deregistration isn't acknowledged")?;
    until(record, acknowledged + seconds(1.0));
    if trouble {
        stage.open[home].store(false, Ordering::SeqCst);
        stage.site.signal(home, Signal::Kill);
        thread::sleep(seconds(0.5));
        stage.site.start(home, false)?;
    }
    let started = record.now();
    until(record, start + seconds(3.5));
    leaver.send_beat(stage.site.control(home), &late_beat);
    until(record, started + STABLE);
    stage.site.wait_ready(&[home], seconds(5.0))?;
    stage.open[home].store(true, Ordering::SeqCst);
    until(record, acknowledged + seconds(9.0));
    leaver.exit();
    thread::sleep(seconds(1.0));
    let late = stage.late_runs(record, &leaver, acknowledged, &[(home, started + STABLE)]);
    stage.finish(record, &leaver, late)
}

/// A daemon acknowledges an engine's heartbeat and then stands still for four seconds, in which
/// the engine deregisters at another one.
pub fn freeze(trouble: bool, record: &Record) -> Result<bool, String> {
    let (home, other) = (5, 0);
    let stage = Stage::set(record, ZONES[2], home)?;
    let leaver = stage.engines[2].clone();
    let start = record.now() + seconds(5.0);
    until(record, start);
    leaver.wait_for_last_beat();
    let body = leaver.next_beat();
    leaver.send_beat(stage.site.control(home), &body);
    let frozen = record.now();
    if trouble {
        thread::sleep(Duration::from_millis(50));
        stage.open[home].store(false, Ordering::SeqCst);
        stage.site.signal(home, Signal::Stop);
    }
    // The next heartbeat: to another daemon if this one doesn't acknowledge it within a second.
    until(record, frozen + seconds(1.2));
    let body = leaver.next_beat();
    if !leaver.send_beat(stage.site.control(home), &body) {
        leaver.send_beat(stage.site.control(other), &body);
    }
    until(record, frozen + seconds(2.5));
    let acknowledged = leaver.deregister(stage.site.control(other));
    let acknowledged = acknowledged.ok_or("the deregistration isn't acknowledged")?;
    until(record, frozen + seconds(4.0));
    if trouble {
        stage.site.signal(home, Signal::Continue);
    }
    let back = record.now();
    until(record, back + STABLE);
    stage.site.wait_ready(&[home], seconds(5.0))?;
    stage.open[home].store(true, Ordering::SeqCst);
    until(record, acknowledged + seconds(6.5));
    leaver.exit();
    thread::sleep(seconds(1.0));
    let late = stage.late_runs(record, &leaver, acknowledged, &[(home, back + STABLE)]);
    stage.finish(record, &leaver, late)
}

/// A daemon is killed right after it has acknowledged that an engine leaves.
pub fn kill(trouble: bool, record: &Record) -> Result<bool, String> {
    let home = 5;
    let stage = Stage::set(record, ZONES[2], home)?;
    let leaver = stage.engines[2].clone();
    let start = record.now() + seconds(5.0);
    until(record, start);
    let acknowledged = leaver.deregister(stage.site.control(home));
    let acknowledged = acknowledged.ok_or("the deregistration isn't acknowledged")?;
    if trouble {
        stage.site.signal(home, Signal::Kill);
        stage.open[home].store(false, Ordering::SeqCst);
        thread::sleep(seconds(0.5));
        stage.site.start(home, false)?;
    }
    until(record, acknowledged + seconds(9.0));
    leaver.exit();
    thread::sleep(seconds(1.0));
    // The core is stable throughout: the daemon has no disk.
    let others: Vec<(usize, Duration)> = (0..home).map(|index| (index, start)).collect();
    let late = stage.late_runs(record, &leaver, acknowledged, &others);
    stage.finish(record, &leaver, late)
}
