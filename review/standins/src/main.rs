//! Cases of the review as scripts: `standins CASE FOLDER TROUBLE` writes `record.txt` to
//! FOLDER. If TROUBLE is 0, the case runs without its disruption.

mod engine;
mod extra;
mod fleet;
mod growth;
mod http;
mod operator;
mod record;
mod replaced;
mod uncharged;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// The result of a case.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
    /// The case could not run.
    CannotRun,
}

impl Verdict {
    /// Returns the verdict of a rule that was `broken` or not.
    pub fn of(broken: bool) -> Self {
        if broken { Self::Broken } else { Self::Held }
    }
}

/// Longest run of a case; after it the processes are ended with this one.
const MAX_RUN: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let root = std::env::current_dir().unwrap_or_default();
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        eprintln!("the case takes too long");
        fleet::kill_started();
        std::process::exit(2);
    });
    record.say(&format!("case {case}, trouble: {trouble}"));
    let verdict = match case.as_str() {
        "extra" => extra::run(&root, trouble, &record),
        "replaced" => replaced::run(&root, trouble, &record),
        "uncharged" => uncharged::run(&root, trouble, &record),
        "growth" => growth::run(&root, trouble, &record),
        _ => Err(std::io::Error::other("no such case")),
    };
    match verdict {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::CannotRun) => ExitCode::from(2),
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
