//! Checks of the conservation law, apart from the code that moves tokens.

use base::KeeperId;
use base::TeamId;
use base::Tokens;
use thiserror::Error;

use crate::central::Ledger;
use crate::share::Share;

/// A breach of the conservation law.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The parts of a budget don't sum to its credits.
    #[error("team {team}: credits are {credits}, the parts sum to {sum}")]
    Unbalanced {
        /// The team whose budget is wrong.
        team: TeamId,
        /// All credits.
        credits: Tokens,
        /// Free, held and settled tokens together.
        sum: Tokens,
    },
    /// A keeper's share has handed out more than it holds.
    #[error("team {team}: {keeper} handed out {over} tokens more than it holds")]
    Overdrawn {
        /// The team whose budget is wrong.
        team: TeamId,
        /// The keeper.
        keeper: KeeperId,
        /// By how many tokens.
        over: Tokens,
    },
}

/// Returns every account whose parts don't sum to its credits.
#[must_use]
pub fn ledger(ledger: &Ledger) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (&team, account) in ledger.accounts() {
        let sum = account
            .free
            .saturating_add(account.held())
            .saturating_add(account.settled);
        if sum != account.credits {
            faults.push(Fault::Unbalanced {
                team,
                credits: account.credits,
                sum,
            });
        }
    }
    faults
}

/// Returns every team for which `share` has handed out more than it holds.
///
/// Only meaningful while `ledger` is at least as new as what `share` acted on.
#[must_use]
pub fn share(share: &Share, ledger: &Ledger) -> Vec<Fault> {
    let mut faults = Vec::new();
    for team in share.teams() {
        let over = share.overdraft(team, ledger.allotted(share.keeper(), team));
        if !over.is_zero() {
            faults.push(Fault::Overdrawn {
                team,
                keeper: share.keeper(),
                over,
            });
        }
    }
    faults
}
