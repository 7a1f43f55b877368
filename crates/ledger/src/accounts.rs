//! The replicated ledger with one account for each team.
//!
//! Every keeper applies the same committed commands in the same order and so
//! holds the same accounts. A keeper's allocation changes by numbered [`Batch`]es:
//! a batch that arrives twice is applied once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::KeeperId;
use base::Map;
use base::RequestId;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::dedup::BilledRequests;
use crate::topup::TopUp;
use crate::topup::TopUpId;

/// Divisor of the unallocated tokens that limits each allocation beyond the required
/// tokens.
const PREFETCH_DIVISOR: u64 = 2;

/// The tokens that a keeper still waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperDemand {
    /// Tokens that requests wait for.
    pub required: Tokens,
    /// Tokens requested ahead, so that the next requests needn't wait.
    pub prefetch: Tokens,
}

/// One keeper's allocation of a budget, as the ledger knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperAllocation {
    /// The sum of tokens ever allocated to the keeper.
    pub allocated: Tokens,
    /// Tokens that the keeper holds: neither returned nor settled.
    pub held: Tokens,
    /// The tokens that the keeper waits for.
    pub demand: KeeperDemand,
}

/// One team's prepaid budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// All tokens credited, less those withdrawn.
    pub credits: Tokens,
    /// Tokens in no keeper's share.
    pub unallocated: Tokens,
    /// Tokens billed.
    pub settled: Tokens,
    /// The keepers' allocations.
    pub allocations: BTreeMap<KeeperId, KeeperAllocation>,
}

impl Account {
    /// Returns the tokens that waiting requests lack.
    #[must_use]
    pub fn deficit(&self) -> Tokens {
        self.allocations
            .values()
            .map(|allocation| allocation.demand.required)
            .sum()
    }

    /// Returns the waiting keeper that is served first: the one with the smallest demand.
    #[must_use]
    pub fn first_waiting(&self) -> Option<KeeperId> {
        let waiting = self.allocations.iter();
        let waiting = waiting.filter(|(_, allocation)| !allocation.demand.required.is_zero());
        let first =
            waiting.min_by_key(|(keeper, allocation)| (allocation.demand.required, **keeper));
        first.map(|(&keeper, _)| keeper)
    }

    /// Returns the tokens credited and not billed, whoever holds them.
    #[must_use]
    pub fn unspent(&self) -> Tokens {
        self.credits.saturating_sub(self.settled)
    }

    /// Returns the tokens held in all shares.
    #[must_use]
    pub fn held(&self) -> Tokens {
        self.allocations
            .values()
            .map(|allocation| allocation.held)
            .sum()
    }

    /// Returns a keeper's even share of the tokens that aren't settled.
    #[must_use]
    pub fn even_share(&self) -> Tokens {
        let keepers = (self.allocations.len() as u64).max(1);
        Tokens(self.unallocated.saturating_add(self.held()).0 / keepers)
    }

    fn allocate(&mut self, keeper: KeeperId, amount: Tokens) {
        let allocation = self.allocations.entry(keeper).or_default();
        allocation.allocated = allocation.allocated.saturating_add(amount);
        allocation.held = allocation.held.saturating_add(amount);
        self.unallocated = self.unallocated.saturating_sub(amount);
    }

    /// Allocates tokens to waiting keepers: first the required tokens, the smallest
    /// demand first, then the prefetched ones.
    fn allocate_waiting(&mut self) {
        let mut waiting: Vec<(Tokens, KeeperId)> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| !allocation.demand.required.is_zero())
            .map(|(&keeper, allocation)| (allocation.demand.required, keeper))
            .collect();
        waiting.sort_unstable();
        for (required, keeper) in waiting {
            let amount = required.min(self.unallocated);
            self.allocate(keeper, amount);
            if let Some(allocation) = self.allocations.get_mut(&keeper) {
                allocation.demand.required = required.saturating_sub(amount);
            }
        }
        let keepers: Vec<KeeperId> = self.allocations.keys().copied().collect();
        for keeper in keepers {
            let prefetch = self.allocations[&keeper].demand.prefetch;
            let amount = prefetch.min(Tokens(self.unallocated.0 / PREFETCH_DIVISOR));
            self.allocate(keeper, amount);
            if let Some(allocation) = self.allocations.get_mut(&keeper) {
                allocation.demand.prefetch = Tokens::ZERO;
            }
        }
    }
}

/// One change of a keeper's allocation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Posting {
    /// The keeper waits for tokens; replaces its earlier demand.
    Request {
        /// The team whose tokens are requested.
        team: TeamId,
        /// The tokens that the keeper waits for.
        demand: KeeperDemand,
    },
    /// The keeper returns tokens.
    Return {
        /// The team whose tokens are returned.
        team: TeamId,
        /// The tokens returned.
        amount: Tokens,
    },
    /// The keeper bills a request.
    Settle {
        /// The team that pays.
        team: TeamId,
        /// The request billed.
        request: RequestId,
        /// The tokens billed.
        amount: Tokens,
    },
    /// The keeper accepted a top-up that names it as acceptor.
    Credit(TopUp),
}

impl Posting {
    /// Returns the team whose account changes.
    #[must_use]
    pub fn team(&self) -> TeamId {
        match self {
            Self::Request { team, .. } | Self::Return { team, .. } | Self::Settle { team, .. } => {
                *team
            }
            Self::Credit(topup) => topup.team,
        }
    }
}

/// A numbered group of postings of one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The keeper that posts.
    pub keeper: KeeperId,
    /// The batch's sequence number: one more than that of the previous batch.
    pub number: u64,
    /// The postings, in order.
    pub postings: Vec<Posting>,
}

/// A committed change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Credits a top-up whose acceptor is the ledger.
    TopUp(TopUp),
    /// Withdraws unallocated tokens when a document lowers a budget.
    Withdraw(TopUp),
    /// Applies a keeper's batch.
    Post(Batch),
    /// Retires a keeper permanently: its later batches are refused.
    Retire(KeeperId),
    /// Makes the tokens that a retired keeper still holds unallocated again.
    Release(KeeperId),
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command changed the ledger.
    Applied,
    /// The same command had been applied before.
    Repeated,
    /// The command was refused and changed nothing.
    Refused(Refusal),
}

/// Why the ledger refuses a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The identity was used for another team or another amount.
    #[error("the identity stands for another top-up")]
    ConflictingTopUp,
    /// The batch's number doesn't follow that of the last one applied.
    #[error("the batch has number {found}, expected {expected}")]
    SequenceGap {
        /// The number found.
        found: u64,
        /// The number expected.
        expected: u64,
    },
    /// The keeper is retired.
    #[error("the keeper is retired")]
    Retired,
    /// The keeper isn't retired.
    #[error("the keeper isn't retired")]
    NotRetired,
    /// The keeper returns or settles more than it holds.
    #[error("the keeper moves more tokens than it holds")]
    Overdrawn,
    /// More tokens are to be withdrawn than are unallocated.
    #[error("fewer tokens are free than are to be withdrawn")]
    InsufficientTokens,
    /// The credits would exceed the largest representable amount.
    #[error("the credits exceed the largest amount")]
    Overflow,
}

/// The accounts of all teams, with the state that makes commands idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    accounts: Map<TeamId, Account>,
    topups: Map<TopUpId, (TeamId, Tokens)>,
    last_batches: BTreeMap<KeeperId, u64>,
    retired: BTreeMap<KeeperId, bool>,
    billed_requests: BilledRequests,
    duplicate_bills: u64,
    waiting_teams: BTreeSet<TeamId>,
}

impl Ledger {
    /// Returns the account of `team`.
    #[must_use]
    pub fn account(&self, team: TeamId) -> Option<&Account> {
        self.accounts.get(&team)
    }

    /// Returns all accounts.
    #[must_use]
    pub fn accounts(&self) -> &Map<TeamId, Account> {
        &self.accounts
    }

    /// Returns the sum of tokens of `team` ever allocated to `keeper`.
    #[must_use]
    pub fn allocated(&self, keeper: KeeperId, team: TeamId) -> Tokens {
        self.accounts
            .get(&team)
            .and_then(|account| account.allocations.get(&keeper))
            .map_or(Tokens::ZERO, |allocation| allocation.allocated)
    }

    /// Returns the number of the last applied batch of `keeper`; 0 before the first.
    #[must_use]
    pub fn last_batch(&self, keeper: KeeperId) -> u64 {
        self.last_batches.get(&keeper).copied().unwrap_or(0)
    }

    /// Returns the deduplication window of billed requests.
    #[must_use]
    pub fn billed_requests(&self) -> &BilledRequests {
        &self.billed_requests
    }

    /// Returns how many bills were refunded because their request was billed before.
    #[must_use]
    pub fn duplicate_bills(&self) -> u64 {
        self.duplicate_bills
    }

    /// Applies `command`, committed at `at` milliseconds of log time.
    pub fn apply(&mut self, command: &Command, at: u64) -> Outcome {
        let outcome = self.execute(command, at);
        self.update_waiting(command);
        outcome
    }

    /// Returns the teams for which a keeper waits for required tokens.
    pub fn waiting_teams(&self) -> impl Iterator<Item = TeamId> + '_ {
        self.waiting_teams.iter().copied()
    }

    fn update_waiting(&mut self, command: &Command) {
        let changed_teams: Vec<TeamId> = match command {
            Command::TopUp(change) | Command::Withdraw(change) => vec![change.team],
            Command::Post(batch) => batch.postings.iter().map(Posting::team).collect(),
            Command::Retire(_) | Command::Release(_) => {
                self.waiting_teams.iter().copied().collect()
            }
        };
        for team in changed_teams {
            let account = self.accounts.get(&team);
            if account.is_some_and(|account| !account.deficit().is_zero()) {
                self.waiting_teams.insert(team);
            } else {
                self.waiting_teams.remove(&team);
            }
        }
    }

    fn execute(&mut self, command: &Command, at: u64) -> Outcome {
        match command {
            Command::TopUp(topup) => self.top_up(topup),
            Command::Withdraw(change) => self.withdraw(change),
            Command::Post(batch) => self.post(batch, at),
            Command::Retire(keeper) => self.retire(*keeper),
            Command::Release(keeper) => self.release(*keeper),
        }
    }

    fn top_up(&mut self, topup: &TopUp) -> Outcome {
        if let Some(earlier) = self.topups.get(&topup.id) {
            if *earlier == (topup.team, topup.amount) {
                return Outcome::Repeated;
            }
            return Outcome::Refused(Refusal::ConflictingTopUp);
        }
        let account = self.accounts.entry(topup.team).or_default();
        let Some(credits) = account.credits.checked_add(topup.amount) else {
            return Outcome::Refused(Refusal::Overflow);
        };
        account.credits = credits;
        account.unallocated = account.unallocated.saturating_add(topup.amount);
        account.allocate_waiting();
        self.topups
            .insert(topup.id.clone(), (topup.team, topup.amount));
        Outcome::Applied
    }

    fn withdraw(&mut self, withdrawal: &TopUp) -> Outcome {
        if let Some(earlier) = self.topups.get(&withdrawal.id) {
            if *earlier == (withdrawal.team, withdrawal.amount) {
                return Outcome::Repeated;
            }
            return Outcome::Refused(Refusal::ConflictingTopUp);
        }
        let account = self.accounts.entry(withdrawal.team).or_default();
        let Some(unallocated) = account.unallocated.checked_sub(withdrawal.amount) else {
            return Outcome::Refused(Refusal::InsufficientTokens);
        };
        account.unallocated = unallocated;
        account.credits = account.credits.saturating_sub(withdrawal.amount);
        self.topups
            .insert(withdrawal.id.clone(), (withdrawal.team, withdrawal.amount));
        Outcome::Applied
    }

    fn post(&mut self, batch: &Batch, at: u64) -> Outcome {
        let last = self.last_batch(batch.keeper);
        if batch.number <= last {
            return Outcome::Repeated;
        }
        if batch.number != last + 1 {
            return Outcome::Refused(Refusal::SequenceGap {
                found: batch.number,
                expected: last + 1,
            });
        }
        if self.retired.contains_key(&batch.keeper) {
            return Outcome::Refused(Refusal::Retired);
        }
        if !self.covers(batch) {
            return Outcome::Refused(Refusal::Overdrawn);
        }
        self.last_batches.insert(batch.keeper, batch.number);
        for posting in &batch.postings {
            self.apply_posting(batch.keeper, posting, at);
        }
        Outcome::Applied
    }

    /// Returns whether the keeper holds all tokens that its batch returns or settles.
    fn covers(&self, batch: &Batch) -> bool {
        let mut totals: Map<TeamId, (Tokens, Tokens)> = Map::default();
        for posting in &batch.postings {
            match posting {
                Posting::Request { .. } => {}
                Posting::Return { team, amount } | Posting::Settle { team, amount, .. } => {
                    let sums = totals.entry(*team).or_default();
                    sums.0 = sums.0.saturating_add(*amount);
                }
                Posting::Credit(topup) => {
                    let sums = totals.entry(topup.team).or_default();
                    sums.1 = sums.1.saturating_add(topup.amount);
                }
            }
        }
        totals.iter().all(|(team, (debit, credit))| {
            let held = self
                .accounts
                .get(team)
                .and_then(|account| account.allocations.get(&batch.keeper))
                .map_or(Tokens::ZERO, |allocation| allocation.held);
            held.saturating_add(*credit) >= *debit
        })
    }

    fn apply_posting(&mut self, keeper: KeeperId, posting: &Posting, at: u64) {
        match posting {
            Posting::Request { team, demand: want } => {
                let account = self.accounts.entry(*team).or_default();
                account.allocations.entry(keeper).or_default().demand = *want;
                account.allocate_waiting();
            }
            Posting::Return { team, amount } => {
                let account = self.accounts.entry(*team).or_default();
                let allocation = account.allocations.entry(keeper).or_default();
                allocation.held = allocation.held.saturating_sub(*amount);
                account.unallocated = account.unallocated.saturating_add(*amount);
                account.allocate_waiting();
            }
            Posting::Settle {
                team,
                request,
                amount,
            } => {
                let is_new = self.billed_requests.record(*request, at);
                let account = self.accounts.entry(*team).or_default();
                let allocation = account.allocations.entry(keeper).or_default();
                allocation.held = allocation.held.saturating_sub(*amount);
                if is_new {
                    account.settled = account.settled.saturating_add(*amount);
                } else {
                    self.duplicate_bills += 1;
                    account.unallocated = account.unallocated.saturating_add(*amount);
                    account.allocate_waiting();
                }
            }
            Posting::Credit(topup) => self.credit(keeper, topup),
        }
    }

    /// Credits a top-up whose tokens the keeper can already grant.
    ///
    /// The identity names the keeper, so no other acceptor can have credited it.
    fn credit(&mut self, keeper: KeeperId, topup: &TopUp) {
        let account = self.accounts.entry(topup.team).or_default();
        account.credits = account.credits.saturating_add(topup.amount);
        let allocation = account.allocations.entry(keeper).or_default();
        allocation.held = allocation.held.saturating_add(topup.amount);
        self.topups
            .insert(topup.id.clone(), (topup.team, topup.amount));
    }

    fn retire(&mut self, keeper: KeeperId) -> Outcome {
        if self.retired.insert(keeper, false).is_some() {
            return Outcome::Repeated;
        }
        for account in self.accounts.values_mut() {
            if let Some(allocation) = account.allocations.get_mut(&keeper) {
                allocation.demand = KeeperDemand::default();
            }
        }
        Outcome::Applied
    }

    fn release(&mut self, keeper: KeeperId) -> Outcome {
        match self.retired.get_mut(&keeper) {
            None => return Outcome::Refused(Refusal::NotRetired),
            Some(true) => return Outcome::Repeated,
            Some(released) => *released = true,
        }
        for account in self.accounts.values_mut() {
            if let Some(allocation) = account.allocations.get_mut(&keeper) {
                let held = std::mem::take(&mut allocation.held);
                account.unallocated = account.unallocated.saturating_add(held);
                account.allocate_waiting();
            }
        }
        Outcome::Applied
    }
}
