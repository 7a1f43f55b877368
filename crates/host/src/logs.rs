//! Structured logs: each line has the time, the level and a text that starts with its
//! component.

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

fn format_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    let level = record.level();
    write!(out, "{time} {level} {}", record.args())
}

/// Starts logging to standard error at `level`, such as `info` or `warn, store = debug`.
///
/// # Errors
///
/// Fails if the level can't be parsed or another logger is active.
pub fn init_stderr(level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?;
    let handle = logger
        .format(format_line)
        .write_mode(WriteMode::Direct)
        // A line that can't be written must not end the thread that logs it.
        .panic_if_error_channel_is_broken(false)
        .log_to_stderr()
        .start()?;
    Ok(handle)
}

/// Bounds the lines that wait for standard output. Lines beyond it are dropped and
/// counted, because a slow reader must not delay requests.
const MAX_QUEUED_LINES: usize = 1_024;

/// Bounds the lines written in one second.
const MAX_LINES_PER_S: u32 = 400;

/// Writes lines to standard output on a separate thread.
struct StdoutWriter {
    sender: SyncSender<String>,
    window: Mutex<RateWindow>,
}

/// Counts the lines of the current second.
struct RateWindow {
    started: Instant,
    count: u32,
    dropped: u64,
}

impl StdoutWriter {
    fn spawn() -> Self {
        let (sender, receiver) = sync_channel::<String>(MAX_QUEUED_LINES);
        thread::spawn(move || {
            let mut out = std::io::stdout();
            while let Ok(mut text) = receiver.recv() {
                while let Ok(more) = receiver.try_recv() {
                    text.push_str(&more);
                }
                // Fails while the disk of the log is full; later lines may have room again.
                let _ = out.write_all(text.as_bytes());
            }
        });
        let window = RateWindow {
            started: Instant::now(),
            count: 0,
            dropped: 0,
        };
        Self {
            sender,
            window: Mutex::new(window),
        }
    }

    /// Returns whether a line fits into the limit of the current second, and, once a
    /// second, how many lines were dropped before.
    fn admit(&self) -> (bool, u64) {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let mut dropped = 0;
        if window.started.elapsed().as_secs() > 0 {
            dropped = std::mem::take(&mut window.dropped);
            window.started = Instant::now();
            window.count = 0;
        }
        window.count += 1;
        let fits = window.count <= MAX_LINES_PER_S;
        window.dropped += u64::from(!fits);
        (fits, dropped)
    }
}

impl LogWriter for StdoutWriter {
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
            format_line(&mut text, now, record)?;
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

/// Starts logging to standard output at `level`. Writing never blocks the caller, and
/// the number of lines in a second is bounded.
///
/// # Errors
///
/// Fails if the level can't be parsed or another logger is active.
pub fn init_stdout(level: &str) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level)?;
    let handle = logger
        .log_to_writer(Box::new(StdoutWriter::spawn()))
        .start()?;
    Ok(handle)
}
