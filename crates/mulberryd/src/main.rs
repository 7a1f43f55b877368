//! The daemon: one process with the roles that its settings give it.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use daemon::Process;
use daemon::Settings;
use eyre::Result;
use getopts::Options;
use host::Pool;

const USAGE: &str = "Usage: mulberryd [options] FILE

Runs the roles that the settings in FILE give this process.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("", "check", "check FILE, name every fault and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn run(settings: &Settings) -> Result<()> {
    let _logger = host::logs::start(&settings.log)?;
    let stops = host::signals::stops()?;
    let pool = Pool::start(settings.threads);
    let process = Process::spawn(&pool, settings)?;
    log::info!("daemon: {} is up", settings.name);
    futures_lite::future::block_on(async {
        let _ = stops.recv().await;
        log::info!("daemon: {} stops as planned", settings.name);
        process.stop().await;
    });
    log::info!("daemon: {} has stopped", settings.name);
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let matches = match options().parse(&args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("mulberryd: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options().usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("mulberryd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let [file] = matches.free.as_slice() else {
        eprintln!("mulberryd: one FILE is expected\n{USAGE}");
        return ExitCode::from(2);
    };
    let settings = match Settings::open(Path::new(file)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mulberryd: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: no faults");
        return ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberryd: {error}");
            ExitCode::FAILURE
        }
    }
}
