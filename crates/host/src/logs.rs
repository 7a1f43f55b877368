//! Structured logs: time, level and a sentence that starts with its part.

use std::io::Write as _;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Instant;

use eyre::Result;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::WriteMode;
use flexi_logger::writers::LogWriter;
use log::Record;

fn line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    write!(out, "{time} {level} {}", record.args())
}

/// Starts logging to standard error at `level`, as `info` or `warn, store = debug`.
///
/// # Errors
///
/// Fails where the level can't be read.
pub fn start(level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?;
    let handle = logger
        .format(line)
        .write_mode(WriteMode::Direct)
        .log_to_stderr()
        .start()?;
    Ok(handle)
}

/// Lines that may wait for standard output. Beyond them lines are dropped and
/// counted: a slow reader must not hold up requests.
const WAITING: usize = 1_024;

/// Lines written in a second at most.
const LINES_PER_S: u32 = 400;

/// Writes lines on a thread of its own.
struct Lines {
    sender: SyncSender<String>,
    window: Mutex<Window>,
}

/// Lines of the present second.
struct Window {
    began: Instant,
    count: u32,
    dropped: u64,
}

impl Lines {
    fn spawn() -> Self {
        let (sender, receiver) = sync_channel::<String>(WAITING);
        thread::spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(mut text) = receiver.recv() {
                while let Ok(more) = receiver.try_recv() {
                    text.push_str(&more);
                }
                if out.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
        let window = Window {
            began: Instant::now(),
            count: 0,
            dropped: 0,
        };
        Self {
            sender,
            window: Mutex::new(window),
        }
    }

    /// Returns whether a line fits into the present second, and how many were
    /// dropped before, once a second.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if window.began.elapsed().as_secs() > 0 {
            dropped = std::mem::take(&mut window.dropped);
            window.began = Instant::now();
            window.count = 0;
        }
        window.count += 1;
        let fits = window.count <= LINES_PER_S;
        window.dropped += u64::from(!fits);
        (fits, dropped)
    }
}

impl LogWriter for Lines {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let (fits, dropped) = self.admit();
        let mut text = Vec::with_capacity(160);
        if dropped > 0 {
            writeln!(
                text,
                "{} WARN logs: event=dropped lines={dropped}",
                now.format_rfc3339()
            )?;
        }
        if fits {
            line(&mut text, now, record)?;
            text.push(b'\n');
        }
        if text.is_empty() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        if self.sender.try_send(text).is_err() {
            let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
            window.dropped += 1;
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output at `level`; writing never blocks, and the
/// number of lines in a second is bounded.
///
/// # Errors
///
/// Fails where the level can't be read.
pub fn start_bounded(level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?;
    let handle = logger.log_to_writer(Box::new(Lines::spawn())).start()?;
    Ok(handle)
}
