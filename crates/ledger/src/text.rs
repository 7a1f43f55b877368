//! The canonical text form of ledger commands, for files and dumps.
//!
//! One command per line. The parser accepts exactly what the formatter prints:
//!
//! ```text
//! topup ledger/may 00000000000000aa 500
//! post 2 1 ask:00000000000000aa:40:10 return:00000000000000aa:5
//! retire 2
//! release 2
//! ```

use std::fmt::Write as _;

use base::KeeperId;
use base::RequestId;
use base::TeamId;
use base::Tokens;
use thiserror::Error;

use crate::accounts::Batch;
use crate::accounts::Command;
use crate::accounts::KeeperDemand;
use crate::accounts::Posting;
use crate::topup::TopUp;
use crate::topup::TopUpIdError;

/// Why a line can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The line's first word isn't a command.
    #[error("'{0}' is no command")]
    UnknownCommand(String),
    /// A word is missing.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// A word isn't a number of the field's form.
    #[error("{field}: '{word}' is no number")]
    InvalidNumber {
        /// The field.
        field: &'static str,
        /// The word found.
        word: String,
    },
    /// A posting has an unknown kind.
    #[error("'{0}' is no move")]
    UnknownPosting(String),
    /// A word follows the end of the command or posting.
    #[error("'{0}' is left over")]
    TrailingWord(String),
    /// The identity of a top-up is invalid.
    #[error(transparent)]
    Id(#[from] TopUpIdError),
}

/// Returns the text form of `command`.
#[must_use]
pub fn format_command(command: &Command) -> String {
    match command {
        Command::TopUp(topup) => format!("topup {} {} {}", topup.id, topup.team, topup.amount),
        Command::Withdraw(withdrawal) => {
            format!(
                "withdraw {} {} {}",
                withdrawal.id, withdrawal.team, withdrawal.amount
            )
        }
        Command::Post(batch) => {
            let mut out = format!("post {} {}", batch.keeper.0, batch.number);
            for posting in &batch.postings {
                out.push(' ');
                write_posting(&mut out, posting);
            }
            out
        }
        Command::Retire(keeper) => format!("retire {}", keeper.0),
        Command::Release(keeper) => format!("release {}", keeper.0),
    }
}

fn write_posting(out: &mut String, posting: &Posting) {
    let result = match posting {
        Posting::Request { team, demand: want } => {
            write!(out, "ask:{team}:{}:{}", want.required, want.prefetch)
        }
        Posting::Return { team, amount } => write!(out, "return:{team}:{amount}"),
        Posting::Settle {
            team,
            request,
            amount,
        } => write!(out, "settle:{team}:{request}:{amount}"),
        Posting::Credit(t) => write!(out, "credit:{}:{}:{}", t.id, t.team, t.amount),
    };
    debug_assert!(result.is_ok(), "writing to a string succeeds");
}

/// Parses one command.
///
/// # Errors
///
/// Fails if the line isn't the text form of a command; the error names the word or field.
pub fn parse_command(line: &str) -> Result<Command, ParseError> {
    let mut words = line.split_whitespace();
    let kind = words.next().unwrap_or_default();
    let command = match kind {
        "topup" => Command::TopUp(parse_topup(&mut words)?),
        "withdraw" => Command::Withdraw(parse_topup(&mut words)?),
        "post" => {
            let keeper = KeeperId(parse_u32(words.next(), "keeper")?);
            let number = parse_u64(words.next(), "number")?;
            let postings: Result<Vec<Posting>, ParseError> =
                words.by_ref().map(parse_posting).collect();
            Command::Post(Batch {
                keeper,
                number,
                postings: postings?,
            })
        }
        "retire" => Command::Retire(KeeperId(parse_u32(words.next(), "keeper")?)),
        "release" => Command::Release(KeeperId(parse_u32(words.next(), "keeper")?)),
        other => return Err(ParseError::UnknownCommand(other.to_owned())),
    };
    match words.next() {
        None => Ok(command),
        Some(word) => Err(ParseError::TrailingWord(word.to_owned())),
    }
}

fn parse_posting(word: &str) -> Result<Posting, ParseError> {
    let mut parts = word.split(':');
    let kind = parts.next().unwrap_or_default();
    let posting = match kind {
        "ask" => Posting::Request {
            team: parse_team(parts.next())?,
            demand: KeeperDemand {
                required: Tokens(parse_u64(parts.next(), "need")?),
                prefetch: Tokens(parse_u64(parts.next(), "extra")?),
            },
        },
        "return" => Posting::Return {
            team: parse_team(parts.next())?,
            amount: Tokens(parse_u64(parts.next(), "amount")?),
        },
        "settle" => Posting::Settle {
            team: parse_team(parts.next())?,
            request: parse_request(parts.next())?,
            amount: Tokens(parse_u64(parts.next(), "amount")?),
        },
        "credit" => Posting::Credit(parse_topup(&mut parts)?),
        other => return Err(ParseError::UnknownPosting(other.to_owned())),
    };
    match parts.next() {
        None => Ok(posting),
        Some(part) => Err(ParseError::TrailingWord(part.to_owned())),
    }
}

fn parse_topup<'a>(words: &mut impl Iterator<Item = &'a str>) -> Result<TopUp, ParseError> {
    Ok(TopUp {
        id: words
            .next()
            .ok_or(ParseError::MissingField("id"))?
            .parse()?,
        team: parse_team(words.next())?,
        amount: Tokens(parse_u64(words.next(), "amount")?),
    })
}

fn parse_u64(word: Option<&str>, field: &'static str) -> Result<u64, ParseError> {
    let word = word.ok_or(ParseError::MissingField(field))?;
    word.parse().map_err(|_| ParseError::InvalidNumber {
        field,
        word: word.to_owned(),
    })
}

fn parse_u32(word: Option<&str>, field: &'static str) -> Result<u32, ParseError> {
    let word = word.ok_or(ParseError::MissingField(field))?;
    word.parse().map_err(|_| ParseError::InvalidNumber {
        field,
        word: word.to_owned(),
    })
}

fn parse_team(word: Option<&str>) -> Result<TeamId, ParseError> {
    let word = word.ok_or(ParseError::MissingField("team"))?;
    u64::from_str_radix(word, 16)
        .map(TeamId)
        .map_err(|_| ParseError::InvalidNumber {
            field: "team",
            word: word.to_owned(),
        })
}

fn parse_request(word: Option<&str>) -> Result<RequestId, ParseError> {
    let word = word.ok_or(ParseError::MissingField("request"))?;
    u128::from_str_radix(word, 16)
        .map(RequestId)
        .map_err(|_| ParseError::InvalidNumber {
            field: "request",
            word: word.to_owned(),
        })
}
