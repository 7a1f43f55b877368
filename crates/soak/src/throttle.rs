//! Limits processes to a part of a core, by stopping and continuing them.

use std::fs;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::process::Running;

/// Period in which a process gets its share.
const PERIOD: Duration = Duration::from_millis(100);

/// Interval at which the processor time of each process is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Unit of processor time in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Positions of user and system time in `/proc/PID/stat`, after the program's name.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// A process and its share of a core.
pub struct Limit {
    /// The process.
    pub running: Arc<Mutex<Running>>,
    /// Its share of a core.
    pub share: f64,
}

/// Use of the processor by one process since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    pid: Option<u32>,
    used: Duration,
    /// Time that it may use, in all, until the end of the period.
    granted: Duration,
}

/// Limits each process until `finished` is set.
pub fn spawn(limits: Vec<Limit>, finished: &Arc<AtomicBool>) {
    let finished = Arc::clone(finished);
    thread::spawn(move || {
        let mut usages = vec![Usage::default(); limits.len()];
        let mut period_end = Instant::now();
        while !finished.load(Ordering::Relaxed) {
            let new_period = Instant::now() >= period_end;
            if new_period {
                period_end = Instant::now() + PERIOD;
            }
            for (limit, usage) in limits.iter().zip(&mut usages) {
                enforce(limit, usage, new_period);
            }
            thread::sleep(CHECK_INTERVAL);
        }
        for limit in &limits {
            let mut running = limit.running.lock().unwrap_or_else(PoisonError::into_inner);
            running.set_throttled(false);
        }
    });
}

fn enforce(limit: &Limit, usage: &mut Usage, new_period: bool) {
    let mut running = limit.running.lock().unwrap_or_else(PoisonError::into_inner);
    let pid = running.pid();
    if pid != usage.pid {
        *usage = Usage {
            pid,
            ..Usage::default()
        };
    }
    let Some(used) = pid.and_then(processor_time) else {
        return;
    };
    usage.used = used;
    if new_period {
        // Unused time is lost; time used beyond the share is owed.
        let quota = PERIOD.mul_f64(limit.share);
        usage.granted = (usage.granted + quota).min(usage.used + quota);
    }
    running.set_throttled(usage.used >= usage.granted);
}

/// Returns the processor time that a process has used.
fn processor_time(pid: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The program's name may contain spaces.
    let (_, fields) = text.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = TIME_FIELDS.map(|field| fields.get(field)?.parse::<u32>().ok());
    Some(CLOCK_TICK * (ticks[0]? + ticks[1]?))
}
