//! The subcommands and their options.

use std::process::ExitCode;

use eyre::Result;
use futures_lite::future;
use getopts::Matches;
use getopts::Options;
use platform::Pool;

use crate::demo;

/// A subcommand.
struct Command {
    name: &'static str,
    help: &'static str,
    options: fn(&mut Options),
    run: fn(&Matches) -> Result<()>,
}

const COMMANDS: &[Command] = &[Command {
    name: "demo",
    help: "run a small site in this process, with traffic and a summary",
    options: |options| {
        options.optflag("", "serve", "keep the site up and print its addresses");
    },
    run: |matches| {
        let pool = Pool::start(threads());
        future::block_on(demo::run(&pool, matches.opt_present("serve")))
    },
}];

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
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    (command.options)(&mut options);
    let matches = match options.parse(&args[1..]) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("mulberryctl {name}: {error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        let brief = format!("Usage: mulberryctl {name} [options]\n\n{}", command.help);
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
