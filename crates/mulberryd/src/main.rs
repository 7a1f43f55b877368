//! The daemon: runs the roles that a settings file gives it, or the gateway.

use std::env;
use std::path::Path;
use std::process::ExitCode;

use daemon::Process;
use daemon::Settings;
use eyre::Result;
use eyre::WrapErr as _;
use gateway::Gateway;
use gateway::GatewayOptions;
use gateway::advertise;
use getopts::Matches;
use getopts::Options;
use host::Pool;
use host::signals::ControlSignal;
use platform::settings::NodeSettings;

const USAGE: &str = "Usage: mulberryd [options] FILE
       mulberryd [options] --gateway

Runs the roles that the settings in FILE give this process.";

/// Least severe level that the gateway logs.
const GATEWAY_LOG_LEVEL: &str = "info";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("", "check", "check FILE, print every fault and exit");
    options.optflag(
        "",
        "gateway",
        "run the gateway with the platform's settings",
    );
    options.optopt("", "metrics", "port for the gateway's metrics", "PORT");
    options.optopt(
        "",
        "advertise",
        "address that the gateway's peers use, if it differs from the bound one",
        "IP:PORT",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the roles in `settings` until a stop signal, then stops them as planned.
fn run_roles(settings: &Settings) -> Result<()> {
    let _logger = host::logs::init_stderr(&settings.log_level)?;
    let stop_signals = host::signals::stop_signals()?;
    let pool = Pool::start(settings.threads);
    let process = Process::spawn(&pool, settings)?;
    log::info!("daemon: {} is up", settings.name);
    futures_lite::future::block_on(async {
        let _ = stop_signals.recv().await;
        log::info!("daemon: {} stops as planned", settings.name);
        process.stop().await;
    });
    log::info!("daemon: {} has stopped", settings.name);
    Ok(())
}

/// Returns the gateway's options on the command line.
fn gateway_options(matches: &Matches) -> Result<GatewayOptions> {
    let advertised = matches.opt_str("advertise");
    let advertised = advertised.map(|text| advertise::parse_advertised(&text));
    Ok(GatewayOptions {
        metrics: matches.opt_get("metrics").wrap_err("--metrics")?,
        advertised: advertised.transpose().wrap_err("--advertise")?,
    })
}

/// Runs the gateway until a stop signal.
fn run_gateway(settings: NodeSettings, options: GatewayOptions) -> Result<()> {
    let _logger = host::logs::init_stdout(GATEWAY_LOG_LEVEL)?;
    let signals = host::signals::control_signals()?;
    let pool = Pool::start(1);
    let name = settings.name.clone();
    let gateway = Gateway::spawn(&pool, settings, options)?;
    futures_lite::future::block_on(async {
        while let Ok(signal) = signals.recv().await {
            match signal {
                ControlSignal::Reload => gateway.reload(),
                ControlSignal::Stop => break,
            }
        }
        log::info!("gateway: event=stop name={name}");
        if let Err(error) =
            host::watchdog::exit_after(gateway.stop_limit(), gateway.overrun_report())
        {
            log::warn!("gateway: event=stop outcome=unbounded reason=\"{error}\"");
        }
        gateway.stop().await;
    });
    log::info!("gateway: event=stopped name={name}");
    Ok(())
}

/// Loads the platform's settings and runs the gateway; with `check`, only checks them.
fn load_and_run_gateway(check: bool, options: GatewayOptions) -> ExitCode {
    let settings = match NodeSettings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mulberryd: {error}");
            return ExitCode::from(2);
        }
    };
    if check {
        println!("{}: no faults", NodeSettings::path().display());
        return ExitCode::SUCCESS;
    }
    match run_gateway(settings, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberryd: {error}");
            ExitCode::FAILURE
        }
    }
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
    if matches.opt_present("gateway") {
        return match gateway_options(&matches) {
            Ok(options) => load_and_run_gateway(matches.opt_present("check"), options),
            Err(error) => {
                eprintln!("mulberryd: {error:#}");
                ExitCode::from(2)
            }
        };
    }
    let [file] = matches.free.as_slice() else {
        eprintln!("mulberryd: expected one FILE\n{USAGE}");
        return ExitCode::from(2);
    };
    let settings = match Settings::load(Path::new(file)) {
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
    match run_roles(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberryd: {error}");
            ExitCode::FAILURE
        }
    }
}
