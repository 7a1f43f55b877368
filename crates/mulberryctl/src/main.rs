//! The command line tool of operators and maintainers.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    mulberryctl::command::run(&args)
}
