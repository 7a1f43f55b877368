//! The subcommands and their options.

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
use crate::init::Plan;
use crate::operate;
use crate::operate::Operator;
use crate::report;
use crate::soak_tool;
use crate::soak_tool::SoakPlan;

/// A subcommand.
struct Command {
    name: &'static str,
    words: &'static str,
    help: &'static str,
    options: fn(&mut Options),
    run: fn(&Matches) -> Result<()>,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "demo",
        words: "",
        help: "run a small site in this process, with traffic and a summary",
        options: |options| {
            options.optflag("", "serve", "keep the site up and print its addresses");
        },
        run: |matches| {
            let pool = Pool::start(threads());
            future::block_on(demo::run(&pool, matches.opt_present("serve")))
        },
    },
    Command {
        name: "soak",
        words: "",
        help: "run real processes under seeded faults and check the promises",
        options: |options| {
            options.optopt("", "seed", "the first seed (drawn)", "N");
            options.optopt("", "runs", "runs, each with the next seed (1)", "N");
            options.optopt("", "jobs", "runs at the same time (1)", "N");
            options.optopt("", "seconds", "length of a run (15)", "N");
            options.optopt("", "callers", "callers of a run (12)", "N");
            options.optopt(
                "",
                "daemon",
                "the program (mulberryd beside this one)",
                "FILE",
            );
            options.optopt(
                "",
                "keep",
                "where files of failed runs stay (./soak)",
                "DIR",
            );
        },
        run: |matches| {
            let plan = SoakPlan {
                seed: number(matches, "seed", fastrand::u64(..1_000_000_000))?,
                runs: number(matches, "runs", 1)?,
                jobs: number(matches, "jobs", 1)?,
                seconds: number(matches, "seconds", 15)?,
                callers: number(matches, "callers", 12)?,
                daemon: match matches.opt_str("daemon") {
                    Some(file) => file.into(),
                    None => std::env::current_exe()?.with_file_name("mulberryd"),
                },
                folder: matches.opt_str("keep").unwrap_or("soak".to_owned()).into(),
            };
            soak_tool::run(&plan)
        },
    },
    Command {
        name: "init",
        words: "DIR",
        help: "write the files of a site of several processes and print its commands",
        options: |options| {
            options.optopt("", "domains", "failure domains (3)", "N");
            options.optopt("", "engines", "model engines (6)", "N");
            options.optopt("", "desks", "plain services (2)", "N");
            options.optopt("", "teams", "teams (10)", "N");
            options.optopt("", "port", "the first port (7100)", "PORT");
        },
        run: |matches| {
            let plan = Plan {
                domains: number(matches, "domains", 3)?,
                engines: number(matches, "engines", 6)?,
                desks: number(matches, "desks", 2)?,
                teams: number(matches, "teams", 10)?,
                port: number(matches, "port", 7100)?,
            };
            print!("{}", init::init(Path::new(word(matches, 0)?), &plan)?);
            Ok(())
        },
    },
    Command {
        name: "keys",
        words: "DIR NAME",
        help: "make the authority in DIR where there is none, and keys for NAME",
        options: |_| {},
        run: |matches| {
            let folder = Path::new(word(matches, 0)?);
            fs::create_dir_all(folder)?;
            if !folder.join("authority.pem").exists() {
                fleet::credentials::create_authority(folder)?;
            }
            Ok(fleet::credentials::issue_certificate(
                folder,
                word(matches, 1)?,
            )?)
        },
    },
    Command {
        name: "check",
        words: "FILE",
        help: "name every fault of a document, or print it in its canonical form",
        options: |options| {
            options.optflag("", "print", "print the canonical form");
        },
        run: |matches| {
            let document = operate::read_document(Path::new(word(matches, 0)?))?;
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
        words: "",
        help: "print the document's JSON schema",
        options: |_| {},
        run: |_| {
            print!("{}", config::document::SCHEMA);
            Ok(())
        },
    },
    Command {
        name: "submit",
        words: "FILE",
        help: "submit a document",
        options: site_options,
        run: |matches| {
            let path = PathBuf::from(word(matches, 0)?);
            operate_on(matches, async |operator| operator.submit(&path).await)
        },
    },
    Command {
        name: "top-up",
        words: "ID TEAM TOKENS",
        help: "top a budget up; ID is ledger/NAME or KEEPER/NAME",
        options: site_options,
        run: |matches| {
            let id = word(matches, 0)?.to_owned();
            let team = word(matches, 1)?.to_owned();
            let amount = parse(word(matches, 2)?, "TOKENS")?;
            operate_on(matches, async |o| o.top_up(&id, &team, amount).await)
        },
    },
    Command {
        name: "status",
        words: "",
        help: "print what each keeper sees: balances, endpoints, documents in force",
        options: site_options,
        run: |matches| {
            operate_on(matches, async |operator| {
                operate::print_views(&operator.views().await);
                Ok(())
            })
        },
    },
    Command {
        name: "document",
        words: "",
        help: "print the document in force",
        options: site_options,
        run: |matches| {
            operate_on(matches, async |operator| {
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
        words: "",
        help: "print the latest accepted documents: number, operator, digest",
        options: site_options,
        run: |matches| operate_on(matches, async |operator| operator.history().await),
    },
    Command {
        name: "diff",
        words: "FILE",
        help: "print what a document would change",
        options: site_options,
        run: |matches| {
            let path = PathBuf::from(word(matches, 0)?);
            operate_on(matches, async |operator| {
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
        words: "LEASE",
        help: "free what is held back for a lease; see status",
        options: site_options,
        run: |matches| {
            let lease = word(matches, 0)?.to_owned();
            operate_on(matches, async |operator| operator.release(&lease).await)
        },
    },
    Command {
        name: "expel",
        words: "NUMBER",
        help: "remove a keeper from the group",
        options: site_options,
        run: |matches| {
            let number = parse(word(matches, 0)?, "NUMBER")?;
            operate_on(matches, async |operator| operator.expel(number).await)
        },
    },
    Command {
        name: "stand-in",
        words: "engine|service",
        help: "run one stand-in alone, with its faults as options",
        options: stand_in_options,
        run: stand_in,
    },
    Command {
        name: "store",
        words: "verify|dump DIR",
        help: "check a keeper's data folder, or print its records",
        options: |_| {},
        run: |matches| {
            let folder = Path::new(word(matches, 1)?);
            match word(matches, 0)? {
                "verify" => crate::store_tool::verify(folder),
                "dump" => crate::store_tool::dump(folder),
                other => bail!("there is no 'store {other}'"),
            }
        },
    },
    Command {
        name: "report",
        words: "burn",
        help: "report on service-level burn from the entries' counts",
        options: |options| {
            options.optmulti("", "from", "platform address of an entry", "ADDRESS");
            options.optopt("", "format", "text, json or html (text)", "FORMAT");
            site_options(options);
        },
        run: report_burn,
    },
    Command {
        name: "bench",
        words: "path|budget|keeper|routing|decide|config",
        help: "run an experiment and print JSON",
        options: |options| {
            options.optopt("", "seconds", "length of a load", "S");
            options.optopt("", "streams", "streams at once", "N");
            options.optopt("", "seed", "the seed", "N");
        },
        run: |matches| {
            let plan = bench::BenchOptions {
                load_secs: number(matches, "seconds", 10)?,
                streams: number(matches, "streams", 1_200)?,
                seed: number(matches, "seed", 1)?,
            };
            bench::run(word(matches, 0)?, &plan)
        },
    },
];

fn site_options(options: &mut Options) {
    let help = "settings of any process of the site (keeper-0.yaml)";
    options.optopt("", "site", help, "FILE");
    options.optopt("", "as", "the operator's key (operator)", "NAME");
}

fn operate_on(matches: &Matches, act: impl AsyncFnOnce(&Operator) -> Result<()>) -> Result<()> {
    let pool = Pool::start(1);
    let site = matches.opt_str("site");
    let site = PathBuf::from(site.unwrap_or_else(|| "keeper-0.yaml".to_owned()));
    let name = matches.opt_str("as");
    let name = name.unwrap_or_else(|| "operator".to_owned());
    let operator = Operator::open(&pool, &site, &name)?;
    future::block_on(act(&operator))
}

fn report_burn(matches: &Matches) -> Result<()> {
    if word(matches, 0)? != "burn" {
        bail!("the only report is 'burn'");
    }
    let words = matches.opt_strs("from");
    let addresses: Result<Vec<SocketAddr>> = words.iter().map(|w| parse(w, "from")).collect();
    let addresses = addresses?;
    let format = matches
        .opt_str("format")
        .unwrap_or_else(|| "text".to_owned());
    operate_on(matches, async |operator| {
        let objective = operator.document().await?.objective;
        let slots = report::fetch_service_levels(&addresses).await?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH)?.as_secs();
        let made = report::build_report(&slots, unix / SLOT_SECS, &objective);
        match format.as_str() {
            "text" => print!("{}", report::render_text(&made)),
            "json" => println!("{}", serde_json::to_string_pretty(&made)?),
            "html" => print!("{}", report::render_html(&made)?),
            other => bail!("there is no format '{other}'"),
        }
        Ok(())
    })
}

fn stand_in_options(options: &mut Options) {
    options.optopt("", "listen", "where to serve (127.0.0.1:9000)", "ADDRESS");
    options.optopt(
        "",
        "serves",
        "models, or the service's name (assistant)",
        "NAMES",
    );
    options.optopt("", "room", "requests together (32)", "N");
    options.optopt("", "step-us", "time between tokens (4000)", "US");
    options.optopt("", "stall-after", "stall after this many tokens", "N");
    options.optopt("", "close-after", "close after this many tokens", "N");
    options.optopt(
        "",
        "cross-after",
        "answer as another request after so many",
        "N",
    );
    options.optopt("", "repeat-at", "send this token twice", "N");
    options.optopt("", "one-in", "faults in one of so many requests (1)", "N");
    options.optflag("", "ignore-cancel", "go on when told to cancel");
    options.optflag(
        "",
        "checks-fence",
        "refuse orders with an old fencing number",
    );
}

fn stand_in(matches: &Matches) -> Result<()> {
    let pool = Pool::start(2);
    let listen: SocketAddr = number(matches, "listen", ([127, 0, 0, 1], 9000).into())?;
    let serves = matches.opt_str("serves");
    let serves = serves.unwrap_or_else(|| crate::site::MODEL.to_owned());
    let faults = Faults {
        stall_after: optional(matches, "stall-after")?,
        close_after: optional(matches, "close-after")?,
        wrong_id_after: optional(matches, "cross-after")?,
        repeat_at: optional(matches, "repeat-at")?,
        ignore_cancel: matches.opt_present("ignore-cancel"),
        request_interval: number(matches, "one-in", 1)?,
        checks_fence: matches.opt_present("checks-fence"),
    };
    let pace = EngineProfile {
        capacity: number(matches, "room", 32)?,
        token_time: Duration::from_micros(number(matches, "step-us", 4_000)?),
        ..EngineProfile::default()
    };
    let stops = host::signals::stop_signals()?;
    match word(matches, 0)? {
        "engine" => {
            let models: Vec<&str> = serves.split(',').collect();
            let engine = FakeEngine::spawn(&pool, listen, &models, pace, faults)?;
            println!("engine at {}", engine.address());
            let _ = stops.recv_blocking();
        }
        "service" => {
            let desk = FakeService::spawn(&pool, listen, &serves, Duration::from_millis(5))?;
            println!("service at {}", desk.address());
            let _ = stops.recv_blocking();
        }
        other => bail!("there is no stand-in '{other}'"),
    }
    Ok(())
}

fn word(matches: &Matches, place: usize) -> Result<&str> {
    let word = matches.free.get(place).map(String::as_str);
    word.ok_or_else(|| eyre!("a word is missing; see --help"))
}

fn parse<T: FromStr>(text: &str, field: &str) -> Result<T> {
    text.parse()
        .map_err(|_| eyre!("{field}: '{text}' can't be read"))
}

fn optional<T: FromStr>(matches: &Matches, field: &str) -> Result<Option<T>> {
    let text = matches.opt_str(field);
    text.map(|text| parse(&text, field)).transpose()
}

fn number<T: FromStr>(matches: &Matches, field: &str, default: T) -> Result<T> {
    Ok(optional(matches, field)?.unwrap_or(default))
}

/// Returns the workers for a command that runs a whole site.
#[must_use]
pub fn threads() -> usize {
    std::thread::available_parallelism().map_or(2, std::num::NonZero::get)
}

fn usage() -> String {
    let mut out = "Usage: mulberryctl COMMAND [options]\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        let line = format!("    {:<14}{}", command.name, command.help);
        out.push_str(&line);
        out.push('\n');
    }
    out.push_str("\nmulberryctl COMMAND --help prints a command's options.");
    out
}

/// Runs the tool with its arguments.
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
        let words = command.words;
        let brief = format!(
            "Usage: mulberryctl {name} [options] {words}\n\n{}",
            command.help
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
