//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines to `record.txt`.
pub struct Record {
    file: Mutex<BufWriter<File>>,
    start: Instant,
}

impl Record {
    /// Creates the record in `folder`.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            file: Mutex::new(BufWriter::new(file)),
            start: Instant::now(),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.seconds();
        let mut file = self.file.lock().unwrap();
        // Without a record the case can't be judged, so a failure ends it.
        writeln!(file, "{at:9.3} {text}").expect("the record can be written");
        file.flush().expect("the record can be written");
    }

    /// Writes a line also to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.seconds());
        self.line(text);
    }
}
