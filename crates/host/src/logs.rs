//! Structured logs: time, level and a sentence that starts with its part.

use eyre::Result;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::WriteMode;
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
