//! A bound on the duration of a planned stop that holds whatever the process's other threads
//! wait for.

use std::io;
use std::process;
use std::thread;
use std::time::Duration;

/// Exit code of a process whose planned stop took too long.
pub const OVERRUN_EXIT_CODE: i32 = 3;

/// Time for the log's thread to write the report.
const REPORT_TIME: Duration = Duration::from_millis(30);

/// Ends the process with [`OVERRUN_EXIT_CODE`] unless it exits by itself within `limit`;
/// calls `report` before.
///
/// The bound uses its own thread: tasks and their timers depend on the workers, which may
/// all be blocked.
///
/// # Errors
///
/// Fails if the operating system can't start a thread.
pub fn exit_after(limit: Duration, report: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let watch = move || {
        thread::sleep(limit);
        // A report that blocks must not delay the exit.
        let reporter = thread::Builder::new().spawn(report);
        drop(reporter);
        thread::sleep(REPORT_TIME);
        process::exit(OVERRUN_EXIT_CODE);
    };
    thread::Builder::new()
        .name("watchdog".to_owned())
        .spawn(watch)?;
    Ok(())
}
