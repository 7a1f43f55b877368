//! Ledger sessions stored as data files: commands and the expected output of each.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use base::TeamId;
use ledger::Ledger;
use ledger::Outcome;
use ledger::text;
use ledger::verify;

fn balance(ledger: &Ledger, word: &str) -> String {
    let team = TeamId(u64::from_str_radix(word, 16).unwrap());
    let Some(account) = ledger.account(team) else {
        return "none\n".to_owned();
    };
    let mut out = format!(
        "credits {} free {} settled {}\n",
        account.credits, account.unallocated, account.settled
    );
    for (keeper, part) in &account.allocations {
        let need = part.demand.required;
        writeln!(
            out,
            "  {keeper} allotted {} held {} need {need}",
            part.allocated, part.held
        )
        .unwrap();
    }
    out
}

fn run(ledger: &mut Ledger, line: &str) -> String {
    if let Some(word) = line.strip_prefix("balance ") {
        return balance(ledger, word);
    }
    let command = match text::parse_command(line) {
        Ok(command) => command,
        Err(error) => return format!("error: {error}\n"),
    };
    assert_eq!(
        text::format_command(&command),
        line,
        "the text form round-trips"
    );
    let outcome = match ledger.apply(&command, 0) {
        Outcome::Applied => "applied\n".to_owned(),
        Outcome::Repeated => "repeated\n".to_owned(),
        Outcome::Refused(refusal) => format!("refused: {refusal}\n"),
    };
    assert_eq!(verify::check_ledger(ledger), Vec::new());
    outcome
}

fn replay(input: &str) -> String {
    let mut ledger = Ledger::default();
    let mut out = String::new();
    for line in input.lines() {
        if line.starts_with(';') {
            writeln!(out, "{line}").unwrap();
        } else if let Some(command) = line.strip_prefix("> ") {
            writeln!(out, "{line}").unwrap();
            out.push_str(&run(&mut ledger, command));
        }
    }
    out
}

#[test]
fn sessions_print_the_expected_output() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut paths: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    assert!(paths.len() >= 3, "the session files exist");
    for path in paths {
        let expected = fs::read_to_string(&path).unwrap();
        let found = replay(&expected);
        assert_eq!(found, expected, "{}", path.display());
    }
}
