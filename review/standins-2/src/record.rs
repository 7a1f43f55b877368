//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates the record.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }
}
