//! Checks of the conservation law on a ledger or a share, independent of the code that
//! transfers tokens.

use base::KeeperId;
use base::TeamId;
use base::Tokens;
use thiserror::Error;

use crate::accounts::Ledger;
use crate::share::Share;

/// A violation of the conservation law.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConservationViolation {
    /// The parts of a budget don't add up to its credits.
    #[error("team {team}: credits are {credits}, the parts sum to {sum}")]
    Unbalanced {
        /// The team whose budget is wrong.
        team: TeamId,
        /// All credits.
        credits: Tokens,
        /// The sum of unallocated, held and settled tokens.
        sum: Tokens,
    },
    /// A keeper's share has granted, returned and settled more than it holds.
    #[error("team {team}: {keeper} handed out {excess} tokens more than it holds")]
    Overdrawn {
        /// The team whose budget is wrong.
        team: TeamId,
        /// The keeper.
        keeper: KeeperId,
        /// The number of tokens in excess.
        excess: Tokens,
    },
}

/// Returns every account whose parts don't add up to its credits.
#[must_use]
pub fn check_ledger(ledger: &Ledger) -> Vec<ConservationViolation> {
    let mut faults = Vec::new();
    for (&team, account) in ledger.accounts() {
        let sum = account
            .unallocated
            .saturating_add(account.held())
            .saturating_add(account.settled);
        if sum != account.credits {
            faults.push(ConservationViolation::Unbalanced {
                team,
                credits: account.credits,
                sum,
            });
        }
    }
    faults
}

/// Returns every team for which `share` has paid out more than it holds.
///
/// Only meaningful if `ledger` is at least as recent as the state that `share` acted on.
#[must_use]
pub fn check_share(share: &Share, ledger: &Ledger) -> Vec<ConservationViolation> {
    let mut faults = Vec::new();
    for team in share.teams() {
        let excess = share.overdraft(team, ledger.allocated(share.keeper(), team));
        if !excess.is_zero() {
            faults.push(ConservationViolation::Overdrawn {
                team,
                keeper: share.keeper(),
                excess,
            });
        }
    }
    faults
}
