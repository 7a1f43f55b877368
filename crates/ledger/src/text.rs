//! The canonical text form of ledger commands.
//!
//! One command a line. The reader takes exactly what the writer prints:
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

use crate::central::Batch;
use crate::central::Command;
use crate::central::Move;
use crate::central::Want;
use crate::topup::IdError;
use crate::topup::TopUp;

/// Why a line can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TextError {
    /// The line's first word is no command.
    #[error("'{0}' is no command")]
    UnknownCommand(String),
    /// A word is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A word isn't the number that it should be.
    #[error("{field}: '{word}' is no number")]
    BadNumber {
        /// The field.
        field: &'static str,
        /// The word found.
        word: String,
    },
    /// A move has an unknown kind.
    #[error("'{0}' is no move")]
    UnknownMove(String),
    /// A word is left over.
    #[error("'{0}' is left over")]
    Extra(String),
    /// The identity of a top-up is wrong.
    #[error(transparent)]
    Id(#[from] IdError),
}

/// Returns the text form of `command`.
#[must_use]
pub fn write(command: &Command) -> String {
    match command {
        Command::TopUp(topup) => format!("topup {} {} {}", topup.id, topup.team, topup.amount),
        Command::Withdraw(change) => {
            format!("withdraw {} {} {}", change.id, change.team, change.amount)
        }
        Command::Post(batch) => {
            let mut out = format!("post {} {}", batch.keeper.0, batch.number);
            for step in &batch.moves {
                out.push(' ');
                write_move(&mut out, step);
            }
            out
        }
        Command::Retire(keeper) => format!("retire {}", keeper.0),
        Command::Release(keeper) => format!("release {}", keeper.0),
    }
}

fn write_move(out: &mut String, step: &Move) {
    let result = match step {
        Move::Ask { team, want } => write!(out, "ask:{team}:{}:{}", want.need, want.extra),
        Move::Return { team, amount } => write!(out, "return:{team}:{amount}"),
        Move::Settle {
            team,
            request,
            amount,
        } => write!(out, "settle:{team}:{request}:{amount}"),
        Move::Credit(t) => write!(out, "credit:{}:{}:{}", t.id, t.team, t.amount),
    };
    debug_assert!(result.is_ok(), "writing to a string succeeds");
}

/// Reads one command.
///
/// # Errors
///
/// Fails where the line isn't the text form of a command, and names the word.
pub fn read(line: &str) -> Result<Command, TextError> {
    let mut words = line.split_whitespace();
    let kind = words.next().unwrap_or_default();
    let command = match kind {
        "topup" => Command::TopUp(read_topup(&mut words)?),
        "withdraw" => Command::Withdraw(read_topup(&mut words)?),
        "post" => {
            let keeper = KeeperId(number32(words.next(), "keeper")?);
            let number = number(words.next(), "number")?;
            let moves: Result<Vec<Move>, TextError> = words.by_ref().map(read_move).collect();
            Command::Post(Batch {
                keeper,
                number,
                moves: moves?,
            })
        }
        "retire" => Command::Retire(KeeperId(number32(words.next(), "keeper")?)),
        "release" => Command::Release(KeeperId(number32(words.next(), "keeper")?)),
        other => return Err(TextError::UnknownCommand(other.to_owned())),
    };
    match words.next() {
        None => Ok(command),
        Some(word) => Err(TextError::Extra(word.to_owned())),
    }
}

fn read_move(word: &str) -> Result<Move, TextError> {
    let mut parts = word.split(':');
    let kind = parts.next().unwrap_or_default();
    let step = match kind {
        "ask" => Move::Ask {
            team: team(parts.next())?,
            want: Want {
                need: Tokens(number(parts.next(), "need")?),
                extra: Tokens(number(parts.next(), "extra")?),
            },
        },
        "return" => Move::Return {
            team: team(parts.next())?,
            amount: Tokens(number(parts.next(), "amount")?),
        },
        "settle" => Move::Settle {
            team: team(parts.next())?,
            request: request(parts.next())?,
            amount: Tokens(number(parts.next(), "amount")?),
        },
        "credit" => Move::Credit(read_topup(&mut parts)?),
        other => return Err(TextError::UnknownMove(other.to_owned())),
    };
    match parts.next() {
        None => Ok(step),
        Some(part) => Err(TextError::Extra(part.to_owned())),
    }
}

fn read_topup<'a>(words: &mut impl Iterator<Item = &'a str>) -> Result<TopUp, TextError> {
    Ok(TopUp {
        id: words.next().ok_or(TextError::Missing("id"))?.parse()?,
        team: team(words.next())?,
        amount: Tokens(number(words.next(), "amount")?),
    })
}

fn number(word: Option<&str>, field: &'static str) -> Result<u64, TextError> {
    let word = word.ok_or(TextError::Missing(field))?;
    word.parse().map_err(|_| TextError::BadNumber {
        field,
        word: word.to_owned(),
    })
}

fn number32(word: Option<&str>, field: &'static str) -> Result<u32, TextError> {
    let word = word.ok_or(TextError::Missing(field))?;
    word.parse().map_err(|_| TextError::BadNumber {
        field,
        word: word.to_owned(),
    })
}

fn team(word: Option<&str>) -> Result<TeamId, TextError> {
    let word = word.ok_or(TextError::Missing("team"))?;
    u64::from_str_radix(word, 16)
        .map(TeamId)
        .map_err(|_| TextError::BadNumber {
            field: "team",
            word: word.to_owned(),
        })
}

fn request(word: Option<&str>) -> Result<RequestId, TextError> {
    let word = word.ok_or(TextError::Missing("request"))?;
    u128::from_str_radix(word, 16)
        .map(RequestId)
        .map_err(|_| TextError::BadNumber {
            field: "request",
            word: word.to_owned(),
        })
}
