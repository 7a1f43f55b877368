//! Identities of top-ups.
//!
//! Each identity names its one acceptor: the replicated ledger or one keeper.
//! A resend on the other side of a partition is therefore refused there, not
//! credited a second time.

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
pub enum Home {
    /// A majority of the keepers.
    Ledger,
    /// One keeper, which accepts also without a majority.
    Keeper(KeeperId),
}

/// Why an identity can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The identity has no `/` between home and name.
    #[error("the identity has no '/' between its home and its name")]
    NoHome,
    /// The home is neither `ledger` nor a keeper's number.
    #[error("home '{0}' is neither 'ledger' nor a keeper's number")]
    BadHome(String),
    /// The name is empty, too long or holds other characters than allowed.
    #[error("the name takes 1 to {MAX_ID_BYTES} letters, digits, '-', '_' and '.'")]
    BadName,
}

/// The identity that the operator chose for a top-up, as `HOME/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TopUpId(String);

impl TopUpId {
    /// Returns the acceptor that the identity names.
    #[must_use]
    pub fn home(&self) -> Home {
        let (home, _) = self.0.split_once('/').unwrap_or(("ledger", ""));
        home.parse()
            .map_or(Home::Ledger, |number| Home::Keeper(KeeperId(number)))
    }
}

impl FromStr for TopUpId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (home, name) = text.split_once('/').ok_or(IdError::NoHome)?;
        if home != "ledger" && home.parse::<u32>().is_err() {
            return Err(IdError::BadHome(home.to_owned()));
        }
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || text.len() > MAX_ID_BYTES || !name.chars().all(plain) {
            return Err(IdError::BadName);
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
    /// The identity that makes a resend harmless.
    pub id: TopUpId,
    /// The team whose budget grows.
    pub team: TeamId,
    /// The tokens added.
    pub amount: Tokens,
}
