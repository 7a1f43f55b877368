//! Top-ups and their identities, read from the operator's `ACCEPTOR/NAME`.
//!
//! Each identity names its only acceptor: the replicated ledger or one keeper. A retry
//! on the other side of a partition is therefore refused there and not credited twice.

use std::fmt;
use std::str::FromStr;

use base::KeeperId;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest identity of a top-up, in bytes.
pub const MAX_ID_BYTES: usize = 96;

/// The acceptor of a top-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acceptor {
    /// A majority of the keepers.
    Ledger,
    /// One keeper, which accepts it even without a majority.
    Keeper(KeeperId),
}

/// Why an identity can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TopUpIdError {
    /// The identity has no `/` between acceptor and name.
    #[error("the identity has no '/' between its home and its name")]
    MissingAcceptor,
    /// The acceptor is neither `ledger` nor a keeper's number.
    #[error("home '{0}' is neither 'ledger' nor a keeper's number")]
    InvalidAcceptor(String),
    /// The name is empty, too long or contains characters that aren't allowed.
    #[error("the name takes 1 to {MAX_ID_BYTES} letters, digits, '-', '_' and '.'")]
    InvalidName,
}

/// The identity that the operator chose for a top-up, as `ACCEPTOR/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TopUpId(String);

impl TopUpId {
    /// Returns the acceptor that the identity names.
    #[must_use]
    pub fn acceptor(&self) -> Acceptor {
        let (acceptor, _) = self.0.split_once('/').unwrap_or(("ledger", ""));
        acceptor.parse().map_or(Acceptor::Ledger, |number| {
            Acceptor::Keeper(KeeperId(number))
        })
    }
}

impl FromStr for TopUpId {
    type Err = TopUpIdError;

    fn from_str(text: &str) -> Result<Self, TopUpIdError> {
        let (acceptor, name) = text.split_once('/').ok_or(TopUpIdError::MissingAcceptor)?;
        if acceptor != "ledger" && acceptor.parse::<u32>().is_err() {
            return Err(TopUpIdError::InvalidAcceptor(acceptor.to_owned()));
        }
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || text.len() > MAX_ID_BYTES || !name.chars().all(is_allowed) {
            return Err(TopUpIdError::InvalidName);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Display for TopUpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A top-up of one team's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// The identity, which makes a retry idempotent.
    pub id: TopUpId,
    /// The team whose budget is credited.
    pub team: TeamId,
    /// The tokens added.
    pub amount: Tokens,
}
