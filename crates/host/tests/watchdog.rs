//! A planned stop that hangs must end: a process was found with its worker and its stop
//! both blocked.

use std::env;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;

use host::watchdog;

const CHILD_ENV_VAR: &str = "HOST_WATCHDOG_CHILD";

#[test]
fn a_process_whose_threads_are_all_blocked_exits() {
    if env::var_os(CHILD_ENV_VAR).is_some() {
        let lock: &'static Mutex<()> = Box::leak(Box::default());
        let _held = lock.lock().unwrap();
        watchdog::exit_after(Duration::from_millis(20), || drop(lock.lock())).unwrap();
        loop {
            std::thread::park();
        }
    }
    let status = Command::new(env::current_exe().unwrap())
        .args(["--exact", "a_process_whose_threads_are_all_blocked_exits"])
        .env(CHILD_ENV_VAR, "1")
        .status()
        .unwrap();
    assert_eq!(status.code(), Some(watchdog::OVERRUN_EXIT_CODE));
}
