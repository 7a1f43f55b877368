//! The scripts of the second review: `review-case-2 CASE RECORD`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod callers;
mod draining;
mod engine;
mod http;
mod record;
mod site;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// A case that takes longer couldn't run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = args.as_slice() else {
        eprintln!("usage: review-case-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, trouble={trouble}"));
    let (sender, done) = std::sync::mpsc::channel();
    let (name, worker) = (case.clone(), record.clone());
    // A case that hangs is ended by the daemons' end below.
    thread::spawn(move || {
        let result = match name.as_str() {
            "restart" => draining::restart(trouble, &worker),
            "freeze" => draining::freeze(trouble, &worker),
            "kill" => draining::kill(trouble, &worker),
            _ => Err("no such case".to_owned()),
        };
        let _ = sender.send(result);
    });
    match done.recv_timeout(LIMIT) {
        Ok(Ok(broken)) => {
            record.line(if broken {
                "result: the rule is broken"
            } else {
                "result: the rule held"
            });
            ExitCode::from(u8::from(broken))
        }
        Ok(Err(reason)) => {
            record.line(&format!("result: the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.line("result: the case couldn't run: it takes too long");
            site::kill_started();
            ExitCode::from(2)
        }
    }
}
