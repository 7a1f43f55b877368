//! Parses the command line and runs the subcommands.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use daemon::entry::metrics::SLOT_SECS;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use futures_lite::future;
use getopts::Matches;
use getopts::Options;
use host::Pool;
use standin::EngineProfile;
use standin::FakeEngine;
use standin::FakeService;
use standin::Faults;

use crate::bench;
use crate::demo;
use crate::init;
use crate::init::SitePlan;
use crate::operate;
use crate::operate::OperatorClient;
use crate::report;
use crate::soak_tool;
use crate::soak_tool::RolloutPlan;
use crate::soak_tool::SoakPlan;

/// A subcommand, with its help text and its function.
struct Command {
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
    options: fn(&mut Options),
    run: fn(&Matches) -> Result<()>,
}

/// Returns the sizes of a rollout, if `--gateways` asks for one.
fn rollout_plan(matches: &Matches) -> Result<Option<RolloutPlan>> {
    let Some(gateways) = matches.opt_get("gateways")? else {
        return Ok(None);
    };
    if !(MIN_GATEWAYS..=MAX_GATEWAYS).contains(&gateways) {
        bail!("--gateways: expected {MIN_GATEWAYS} to {MAX_GATEWAYS}");
    }
    let block_routes = if matches.opt_present("large") {
        soak::rollout::MAX_BLOCK_ROUTES
    } else {
        value_or(matches, "routes", soak::rollout::BLOCK_ROUTES)?
    };
    Ok(Some(RolloutPlan {
        gateways,
        block_routes,
        limited: !matches.opt_present("unlimited"),
        restarts: matches.opt_present("restarts"),
    }))
}

/// Numbers of gateways in a rollout: a quorum with disks, and as many processes as a machine
/// runs.
const MIN_GATEWAYS: usize = 3;
const MAX_GATEWAYS: usize = 100;

const COMMANDS: &[Command] = &[
    Command {
        name: "demo",
        arguments: "",
        summary: "run a small site in this process, with traffic and a summary",
        options: |options| {
            options.optflag("", "serve", "keep the site up and print its addresses");
        },
        run: |matches| {
            let pool = Pool::start(worker_threads());
            future::block_on(demo::run(&pool, matches.opt_present("serve")))
        },
    },
    Command {
        name: "soak",
        arguments: "",
        summary: "run real processes with faults drawn from seeds and check the guarantees",
        options: |options| {
            options.optopt("", "seed", "the first seed (random)", "N");
            options.optopt(
                "",
                "runs",
                "number of runs, each with the next seed (1)",
                "N",
            );
            options.optopt("", "jobs", "concurrent runs (1)", "N");
            options.optopt("", "seconds", "length of a run in seconds (15)", "N");
            options.optopt("", "callers", "concurrent callers in a run (12)", "N");
            options.optflag(
                "",
                "departures",
                "let engines leave, say so in their answers, and ask for pauses",
            );
            options.optflag(
                "",
                "series",
                "add series of stops, reloads and configurations that overlap",
            );
            options.optflag("", "blackouts", "also kill all processes at the same time");
            options.optopt(
                "",
                "replacements",
                "replace so many machines with a disk, one after the other",
                "N",
            );
            options.optopt(
                "",
                "gateways",
                "roll out large configurations to so many gateways with limited links",
                "N",
            );
            options.optopt(
                "",
                "routes",
                "routes that a large configuration adds (1964)",
                "N",
            );
            options.optflag("", "large", "add as many routes as fit in 4 MiB");
            options.optflag("", "unlimited", "don't limit links and processors");
            options.optflag(
                "",
                "restarts",
                "kill gateways and cut links between the changes",
            );
            options.optopt(
                "",
                "daemon",
                "the daemon program (mulberryd in this program's folder)",
                "FILE",
            );
            options.optopt(
                "",
                "keep",
                "folder for the files of failed runs (./soak)",
                "DIR",
            );
        },
        run: |matches| {
            let plan = SoakPlan {
                first_seed: value_or(matches, "seed", fastrand::u64(..1_000_000_000))?,
                run_count: value_or(matches, "runs", 1)?,
                parallel_runs: value_or(matches, "jobs", 1)?,
                seconds: value_or(matches, "seconds", 15)?,
                callers: value_or(matches, "callers", 12)?,
                daemon: match matches.opt_str("daemon") {
                    Some(file) => file.into(),
                    None => std::env::current_exe()?.with_file_name("mulberryd"),
                },
                folder: matches.opt_str("keep").unwrap_or("soak".to_owned()).into(),
                departures: matches.opt_present("departures"),
                series: matches.opt_present("series"),
                blackouts: matches.opt_present("blackouts"),
                rollout: rollout_plan(matches)?,
                replacements: matches.opt_get("replacements")?,
            };
            soak_tool::run(&plan)
        },
    },
    Command {
        name: "init",
        arguments: "DIR",
        summary: "write the files of a site of several processes and print the commands that start it",
        options: |options| {
            options.optopt("", "domains", "number of failure domains (3)", "N");
            options.optopt("", "engines", "number of model engines (6)", "N");
            options.optopt("", "desks", "number of plain services (2)", "N");
            options.optopt("", "teams", "number of teams (10)", "N");
            options.optopt("", "port", "the first port (7100)", "PORT");
        },
        run: |matches| {
            let plan = SitePlan {
                domains: value_or(matches, "domains", 3)?,
                engines: value_or(matches, "engines", 6)?,
                services: value_or(matches, "desks", 2)?,
                teams: value_or(matches, "teams", 10)?,
                first_port: value_or(matches, "port", 7100)?,
            };
            print!(
                "{}",
                init::create_site(Path::new(positional(matches, 0)?), &plan)?
            );
            Ok(())
        },
    },
    Command {
        name: "keys",
        arguments: "DIR NAME",
        summary: "create a certificate authority in DIR if it has none, and issue keys for NAME",
        options: |_| {},
        run: |matches| {
            let folder = Path::new(positional(matches, 0)?);
            fs::create_dir_all(folder)?;
            if !folder.join("authority.pem").exists() {
                fleet::credentials::create_authority(folder)?;
            }
            Ok(fleet::credentials::issue_certificate(
                folder,
                positional(matches, 1)?,
            )?)
        },
    },
    Command {
        name: "check",
        arguments: "FILE",
        summary: "list every fault of a document, or print it in canonical form",
        options: |options| {
            options.optflag("", "print", "print the canonical form");
        },
        run: |matches| {
            let document = operate::read_document(Path::new(positional(matches, 0)?))?;
            if matches.opt_present("print") {
                print!("{}", config::canonical::to_canonical_json(&document));
            } else {
                println!(
                    "no faults; digest {}",
                    config::canonical::digest(&document).to_hex()
                );
            }
            Ok(())
        },
    },
    Command {
        name: "schema",
        arguments: "",
        summary: "print the document's JSON schema",
        options: |_| {},
        run: |_| {
            print!("{}", config::document::SCHEMA);
            Ok(())
        },
    },
    Command {
        name: "submit",
        arguments: "FILE",
        summary: "submit a document",
        options: add_site_options,
        run: |matches| {
            let path = PathBuf::from(positional(matches, 0)?);
            with_operator(matches, async |operator| operator.submit(&path).await)
        },
    },
    Command {
        name: "top-up",
        arguments: "ID TEAM TOKENS",
        summary: "add tokens to a team's budget; ID is ledger/NAME or KEEPER/NAME",
        options: add_site_options,
        run: |matches| {
            let id = positional(matches, 0)?.to_owned();
            let team = positional(matches, 1)?.to_owned();
            let amount = parse(positional(matches, 2)?, "TOKENS")?;
            with_operator(matches, async |operator| {
                operator.top_up(&id, &team, amount).await
            })
        },
    },
    Command {
        name: "status",
        arguments: "",
        summary: "print each keeper's state, with balances, endpoints and documents in force",
        options: add_site_options,
        run: |matches| {
            with_operator(matches, async |operator| {
                operate::print_statuses(&operator.keeper_statuses().await);
                Ok(())
            })
        },
    },
    Command {
        name: "document",
        arguments: "",
        summary: "print the document in force",
        options: add_site_options,
        run: |matches| {
            with_operator(matches, async |operator| {
                print!(
                    "{}",
                    config::canonical::to_canonical_json(&operator.document().await?)
                );
                Ok(())
            })
        },
    },
    Command {
        name: "history",
        arguments: "",
        summary: "print the latest accepted documents: number, operator, digest",
        options: add_site_options,
        run: |matches| with_operator(matches, async |operator| operator.print_history().await),
    },
    Command {
        name: "diff",
        arguments: "FILE",
        summary: "print what a document would change",
        options: add_site_options,
        run: |matches| {
            let path = PathBuf::from(positional(matches, 0)?);
            with_operator(matches, async |operator| {
                let old = operator.document().await?;
                let new = operate::read_document(&path)?;
                for line in config::Patch::between(&old, &new).summary_lines() {
                    println!("{line}");
                }
                Ok(())
            })
        },
    },
    Command {
        name: "release",
        arguments: "LEASE",
        summary: "release the tokens withheld for a lease that status lists",
        options: add_site_options,
        run: |matches| {
            let lease = positional(matches, 0)?.to_owned();
            with_operator(matches, async |operator| {
                operator.release_lease(&lease).await
            })
        },
    },
    Command {
        name: "expel",
        arguments: "NUMBER",
        summary: "remove a keeper from the group",
        options: add_site_options,
        run: |matches| {
            let number = parse(positional(matches, 0)?, "NUMBER")?;
            with_operator(matches, async |operator| {
                operator.remove_keeper(number).await
            })
        },
    },
    Command {
        name: "stand-in",
        arguments: "engine|service",
        summary: "run a single fake engine or service; options inject faults",
        options: add_stand_in_options,
        run: run_stand_in,
    },
    Command {
        name: "store",
        arguments: "verify|dump DIR",
        summary: "check a keeper's data folder, or print its records",
        options: |_| {},
        run: |matches| {
            let folder = Path::new(positional(matches, 1)?);
            match positional(matches, 0)? {
                "verify" => crate::store_tool::verify(folder),
                "dump" => crate::store_tool::dump(folder),
                other => bail!("there is no 'store {other}'"),
            }
        },
    },
    Command {
        name: "report",
        arguments: "burn",
        summary: "report the service-level burn rates from the entries' counts",
        options: |options| {
            options.optmulti(
                "",
                "from",
                "platform address of an entry; may be repeated",
                "ADDRESS",
            );
            options.optopt("", "format", "text, json or html (text)", "FORMAT");
            add_site_options(options);
        },
        run: run_burn_report,
    },
    Command {
        name: "bench",
        arguments: "path|budget|keeper|routing|decide|config",
        summary: "run a benchmark and print its results as JSON",
        options: |options| {
            options.optopt("", "seconds", "length of a load in seconds (10)", "S");
            options.optopt("", "streams", "concurrent streams (1200)", "N");
            options.optopt("", "seed", "the seed (1)", "N");
        },
        run: |matches| {
            let plan = bench::BenchOptions {
                load_secs: value_or(matches, "seconds", 10)?,
                streams: value_or(matches, "streams", 1_200)?,
                seed: value_or(matches, "seed", 1)?,
            };
            bench::run(positional(matches, 0)?, &plan)
        },
    },
];

fn add_site_options(options: &mut Options) {
    let help = "settings file of any process of the site (keeper-0.yaml)";
    options.optopt("", "site", help, "FILE");
    options.optopt("", "as", "name of the operator's key (operator)", "NAME");
}

/// Connects as the operator that the options name and runs `act`.
fn with_operator(
    matches: &Matches,
    act: impl AsyncFnOnce(&OperatorClient) -> Result<()>,
) -> Result<()> {
    let pool = Pool::start(1);
    let site = matches.opt_str("site");
    let site = PathBuf::from(site.unwrap_or_else(|| "keeper-0.yaml".to_owned()));
    let name = matches.opt_str("as");
    let name = name.unwrap_or_else(|| "operator".to_owned());
    let operator = OperatorClient::connect(&pool, &site, &name)?;
    future::block_on(act(&operator))
}

fn run_burn_report(matches: &Matches) -> Result<()> {
    if positional(matches, 0)? != "burn" {
        bail!("the only report is 'burn'");
    }
    let texts = matches.opt_strs("from");
    let addresses: Result<Vec<SocketAddr>> = texts.iter().map(|text| parse(text, "from")).collect();
    let addresses = addresses?;
    let format = matches
        .opt_str("format")
        .unwrap_or_else(|| "text".to_owned());
    with_operator(matches, async |operator| {
        let objective = operator.document().await?.objective;
        let slots = report::fetch_service_levels(&addresses).await?;
        let unix_secs = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
        let burn_report = report::build_report(&slots, unix_secs / SLOT_SECS, &objective);
        match format.as_str() {
            "text" => print!("{}", report::render_text(&burn_report)),
            "json" => println!("{}", serde_json::to_string_pretty(&burn_report)?),
            "html" => print!("{}", report::render_html(&burn_report)?),
            other => bail!("there is no format '{other}'"),
        }
        Ok(())
    })
}

fn add_stand_in_options(options: &mut Options) {
    options.optopt(
        "",
        "listen",
        "address to serve at (127.0.0.1:9000)",
        "ADDRESS",
    );
    options.optopt(
        "",
        "serves",
        "names of the models, or name of the service (assistant)",
        "NAMES",
    );
    options.optopt("", "room", "maximum concurrent requests (32)", "N");
    options.optopt(
        "",
        "step-us",
        "time between tokens in microseconds (4000)",
        "US",
    );
    options.optopt("", "stall-after", "stall after this many tokens", "N");
    options.optopt("", "close-after", "close after this many tokens", "N");
    options.optopt(
        "",
        "cross-after",
        "send the answer to another request after this many tokens",
        "N",
    );
    options.optopt("", "repeat-at", "repeat the token with this number", "N");
    options.optopt(
        "",
        "one-in",
        "inject the faults into one of this many requests (1)",
        "N",
    );
    options.optflag("", "ignore-cancel", "ignore cancellation of requests");
    options.optflag(
        "",
        "checks-fence",
        "refuse orders with a stale fencing number",
    );
}

fn run_stand_in(matches: &Matches) -> Result<()> {
    let pool = Pool::start(2);
    let listen: SocketAddr = value_or(matches, "listen", ([127, 0, 0, 1], 9000).into())?;
    let serves = matches.opt_str("serves");
    let serves = serves.unwrap_or_else(|| crate::site::MODEL_NAME.to_owned());
    let faults = Faults {
        stall_after: optional_value(matches, "stall-after")?,
        close_after: optional_value(matches, "close-after")?,
        wrong_id_after: optional_value(matches, "cross-after")?,
        repeat_at: optional_value(matches, "repeat-at")?,
        ignore_cancel: matches.opt_present("ignore-cancel"),
        request_interval: value_or(matches, "one-in", 1)?,
        checks_fence: matches.opt_present("checks-fence"),
    };
    let profile = EngineProfile {
        capacity: value_or(matches, "room", 32)?,
        token_time: Duration::from_micros(value_or(matches, "step-us", 4_000)?),
        ..EngineProfile::default()
    };
    let stop_signals = host::signals::stop_signals()?;
    match positional(matches, 0)? {
        "engine" => {
            let models: Vec<&str> = serves.split(',').collect();
            let engine = FakeEngine::spawn(&pool, listen, &models, profile, faults)?;
            println!("engine at {}", engine.address());
            let _ = stop_signals.recv_blocking();
        }
        "service" => {
            let service = FakeService::spawn(&pool, listen, &serves, Duration::from_millis(5))?;
            println!("service at {}", service.address());
            let _ = stop_signals.recv_blocking();
        }
        other => bail!("there is no stand-in '{other}'"),
    }
    Ok(())
}

/// Returns the positional argument at `index`.
fn positional(matches: &Matches, index: usize) -> Result<&str> {
    let text = matches.free.get(index).map(String::as_str);
    text.ok_or_else(|| eyre!("an argument is missing; see --help"))
}

/// Parses `text`; the error names `field`.
fn parse<T: FromStr>(text: &str, field: &str) -> Result<T> {
    text.parse()
        .map_err(|_| eyre!("{field}: '{text}' is not a valid value"))
}

/// Returns the value of option `field`, if it is given.
fn optional_value<T: FromStr>(matches: &Matches, field: &str) -> Result<Option<T>> {
    let text = matches.opt_str(field);
    text.map(|text| parse(&text, field)).transpose()
}

/// Returns the value of option `field`, or `default` if it is not given.
fn value_or<T: FromStr>(matches: &Matches, field: &str, default: T) -> Result<T> {
    Ok(optional_value(matches, field)?.unwrap_or(default))
}

/// Returns the number of worker threads for a command that runs a whole site.
#[must_use]
pub fn worker_threads() -> usize {
    std::thread::available_parallelism().map_or(2, std::num::NonZero::get)
}

fn usage() -> String {
    let mut text = "Usage: mulberryctl COMMAND [options]\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        let line = format!("    {:<14}{}", command.name, command.summary);
        text.push_str(&line);
        text.push('\n');
    }
    text.push_str("\nmulberryctl COMMAND --help prints a command's options.");
    text
}

/// Runs the tool with its arguments, without the program's name.
#[must_use]
pub fn run(args: &[String]) -> ExitCode {
    let Some(name) = args.first() else {
        eprintln!("{}", usage());
        return ExitCode::from(2);
    };
    match name.as_str() {
        "-h" | "--help" | "help" => {
            println!("{}", usage());
            return ExitCode::SUCCESS;
        }
        "-V" | "--version" => {
            println!("mulberryctl {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        _ => {}
    }
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        eprintln!("mulberryctl: there is no command '{name}'\n{}", usage());
        return ExitCode::from(2);
    };
    run_command(command, &args[1..])
}

fn run_command(command: &Command, args: &[String]) -> ExitCode {
    let name = command.name;
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    (command.options)(&mut options);
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("mulberryctl {name}: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        let arguments = command.arguments;
        let brief = format!(
            "Usage: mulberryctl {name} [options] {arguments}\n\n{}",
            command.summary
        );
        println!("{}", options.usage(&brief));
        return ExitCode::SUCCESS;
    }
    match (command.run)(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberryctl {name}: {error}");
            ExitCode::FAILURE
        }
    }
}
