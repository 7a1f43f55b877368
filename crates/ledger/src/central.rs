//! The replicated ledger.
//!
//! Every keeper applies the same committed commands in the same order and so
//! holds the same accounts. A keeper's share is fed by [`Batch`]es that carry a
//! number: a batch that comes twice is applied once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::KeeperId;
use base::Map;
use base::RequestId;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::dedup::Billed;
use crate::topup::TopUp;
use crate::topup::TopUpId;

/// The part of the free tokens that may be allotted beyond urgent need.
const EXTRA_DIVISOR: u64 = 2;

/// What a keeper still waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Tokens that requests are waiting for.
    pub need: Tokens,
    /// Tokens that would spare the next requests a wait.
    pub extra: Tokens,
}

/// One keeper's part of a budget, as the ledger knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// All tokens ever allotted to the keeper.
    pub allotted: Tokens,
    /// Tokens that the keeper holds, not yet returned or settled.
    pub held: Tokens,
    /// What the keeper waits for.
    pub want: Want,
}

/// One team's prepaid budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// All tokens ever credited.
    pub credits: Tokens,
    /// Tokens in nobody's share.
    pub free: Tokens,
    /// Tokens billed.
    pub settled: Tokens,
    /// The keepers' parts.
    pub parts: BTreeMap<KeeperId, Part>,
}

impl Account {
    /// Returns the tokens that waiting requests lack.
    #[must_use]
    pub fn deficit(&self) -> Tokens {
        self.parts.values().map(|part| part.want.need).sum()
    }

    /// Returns the tokens held in all shares.
    #[must_use]
    pub fn held(&self) -> Tokens {
        self.parts.values().map(|part| part.held).sum()
    }

    /// Returns a keeper's even part of what isn't settled.
    #[must_use]
    pub fn even_part(&self) -> Tokens {
        let keepers = (self.parts.len() as u64).max(1);
        Tokens(self.free.saturating_add(self.held()).0 / keepers)
    }

    fn allot(&mut self, keeper: KeeperId, amount: Tokens) {
        let part = self.parts.entry(keeper).or_default();
        part.allotted = part.allotted.saturating_add(amount);
        part.held = part.held.saturating_add(amount);
        self.free = self.free.saturating_sub(amount);
    }

    /// Hands free tokens to waiting keepers: urgent need first, smallest first.
    fn fulfil(&mut self) {
        let mut waiting: Vec<(Tokens, KeeperId)> = self
            .parts
            .iter()
            .filter(|(_, part)| !part.want.need.is_zero())
            .map(|(&keeper, part)| (part.want.need, keeper))
            .collect();
        waiting.sort_unstable();
        for (need, keeper) in waiting {
            let amount = need.min(self.free);
            self.allot(keeper, amount);
            if let Some(part) = self.parts.get_mut(&keeper) {
                part.want.need = need.saturating_sub(amount);
            }
        }
        let keepers: Vec<KeeperId> = self.parts.keys().copied().collect();
        for keeper in keepers {
            let extra = self.parts[&keeper].want.extra;
            let amount = extra.min(Tokens(self.free.0 / EXTRA_DIVISOR));
            self.allot(keeper, amount);
            if let Some(part) = self.parts.get_mut(&keeper) {
                part.want.extra = Tokens::ZERO;
            }
        }
    }
}

/// One change of a keeper's part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Move {
    /// The keeper waits for tokens; replaces what it waited for before.
    Ask {
        /// The team whose budget is asked.
        team: TeamId,
        /// What the keeper waits for.
        want: Want,
    },
    /// The keeper hands tokens back.
    Return {
        /// The team whose tokens return.
        team: TeamId,
        /// The tokens handed back.
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
    /// The keeper accepted a top-up that names it as home.
    Credit(TopUp),
}

impl Move {
    /// Returns the team whose tokens move.
    #[must_use]
    pub fn team(&self) -> TeamId {
        match self {
            Self::Ask { team, .. } | Self::Return { team, .. } | Self::Settle { team, .. } => *team,
            Self::Credit(topup) => topup.team,
        }
    }
}

/// A numbered group of moves of one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The keeper that posts.
    pub keeper: KeeperId,
    /// The batch's number: one more than that of the batch before.
    pub number: u64,
    /// The moves, in order.
    pub moves: Vec<Move>,
}

/// A committed change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Credits a top-up whose home is the ledger.
    TopUp(TopUp),
    /// Takes free tokens back, where a document lowers a budget.
    Withdraw(TopUp),
    /// Applies a keeper's batch.
    Post(Batch),
    /// Bars a keeper for good: its later batches are refused.
    Retire(KeeperId),
    /// Frees what a retired keeper still holds.
    Release(KeeperId),
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command changed the ledger.
    Applied,
    /// The same command had been applied before.
    Repeated,
    /// The command is refused and changed nothing.
    Refused(Refusal),
}

/// Why the ledger refuses a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The identity was used for another team or amount.
    #[error("the identity stands for another top-up")]
    OtherTopUp,
    /// The batch doesn't follow the last one applied.
    #[error("the batch has number {found}, expected {expected}")]
    Gap {
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
    /// The keeper moves more than it holds.
    #[error("the keeper moves more tokens than it holds")]
    Overdrawn,
    /// Fewer tokens are free than are to be withdrawn.
    #[error("fewer tokens are free than are to be withdrawn")]
    NotFree,
    /// The credits would exceed the largest amount.
    #[error("the credits exceed the largest amount")]
    Overflow,
}

/// All budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    accounts: Map<TeamId, Account>,
    topups: Map<TopUpId, (TeamId, Tokens)>,
    posted: BTreeMap<KeeperId, u64>,
    retired: BTreeMap<KeeperId, bool>,
    billed: Billed,
    duplicates: u64,
    short: BTreeSet<TeamId>,
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

    /// Returns all tokens ever allotted to `keeper` for `team`.
    #[must_use]
    pub fn allotted(&self, keeper: KeeperId, team: TeamId) -> Tokens {
        self.accounts
            .get(&team)
            .and_then(|account| account.parts.get(&keeper))
            .map_or(Tokens::ZERO, |part| part.allotted)
    }

    /// Returns the number of the last batch of `keeper` that is applied.
    #[must_use]
    pub fn posted(&self, keeper: KeeperId) -> u64 {
        self.posted.get(&keeper).copied().unwrap_or(0)
    }

    /// Returns the billed requests in the window.
    #[must_use]
    pub fn billed(&self) -> &Billed {
        &self.billed
    }

    /// Returns how many bills were refunded since their request was billed before.
    #[must_use]
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Applies `command`, committed at `at` milliseconds of the log's own time.
    pub fn apply(&mut self, command: &Command, at: u64) -> Outcome {
        let outcome = self.change(command, at);
        self.note_short(command);
        outcome
    }

    /// Returns the teams for which a keeper waits in need.
    pub fn short(&self) -> impl Iterator<Item = TeamId> + '_ {
        self.short.iter().copied()
    }

    fn note_short(&mut self, command: &Command) {
        let touched: Vec<TeamId> = match command {
            Command::TopUp(change) | Command::Withdraw(change) => vec![change.team],
            Command::Post(batch) => batch.moves.iter().map(Move::team).collect(),
            Command::Retire(_) | Command::Release(_) => self.short.iter().copied().collect(),
        };
        for team in touched {
            let account = self.accounts.get(&team);
            if account.is_some_and(|account| !account.deficit().is_zero()) {
                self.short.insert(team);
            } else {
                self.short.remove(&team);
            }
        }
    }

    fn change(&mut self, command: &Command, at: u64) -> Outcome {
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
            return Outcome::Refused(Refusal::OtherTopUp);
        }
        let account = self.accounts.entry(topup.team).or_default();
        let Some(credits) = account.credits.checked_add(topup.amount) else {
            return Outcome::Refused(Refusal::Overflow);
        };
        account.credits = credits;
        account.free = account.free.saturating_add(topup.amount);
        account.fulfil();
        self.topups
            .insert(topup.id.clone(), (topup.team, topup.amount));
        Outcome::Applied
    }

    fn withdraw(&mut self, change: &TopUp) -> Outcome {
        if let Some(earlier) = self.topups.get(&change.id) {
            if *earlier == (change.team, change.amount) {
                return Outcome::Repeated;
            }
            return Outcome::Refused(Refusal::OtherTopUp);
        }
        let account = self.accounts.entry(change.team).or_default();
        let Some(free) = account.free.checked_sub(change.amount) else {
            return Outcome::Refused(Refusal::NotFree);
        };
        account.free = free;
        account.credits = account.credits.saturating_sub(change.amount);
        self.topups
            .insert(change.id.clone(), (change.team, change.amount));
        Outcome::Applied
    }

    fn post(&mut self, batch: &Batch, at: u64) -> Outcome {
        let last = self.posted(batch.keeper);
        if batch.number <= last {
            return Outcome::Repeated;
        }
        if batch.number != last + 1 {
            return Outcome::Refused(Refusal::Gap {
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
        self.posted.insert(batch.keeper, batch.number);
        for step in &batch.moves {
            self.step(batch.keeper, step, at);
        }
        Outcome::Applied
    }

    /// Returns whether the keeper holds all that its batch takes out.
    fn covers(&self, batch: &Batch) -> bool {
        let mut taken: Map<TeamId, (Tokens, Tokens)> = Map::default();
        for step in &batch.moves {
            match step {
                Move::Ask { .. } => {}
                Move::Return { team, amount } | Move::Settle { team, amount, .. } => {
                    let sums = taken.entry(*team).or_default();
                    sums.0 = sums.0.saturating_add(*amount);
                }
                Move::Credit(topup) => {
                    let sums = taken.entry(topup.team).or_default();
                    sums.1 = sums.1.saturating_add(topup.amount);
                }
            }
        }
        taken.iter().all(|(team, (out, credit))| {
            let held = self
                .accounts
                .get(team)
                .and_then(|account| account.parts.get(&batch.keeper))
                .map_or(Tokens::ZERO, |part| part.held);
            held.saturating_add(*credit) >= *out
        })
    }

    fn step(&mut self, keeper: KeeperId, step: &Move, at: u64) {
        match step {
            Move::Ask { team, want } => {
                let account = self.accounts.entry(*team).or_default();
                account.parts.entry(keeper).or_default().want = *want;
                account.fulfil();
            }
            Move::Return { team, amount } => {
                let account = self.accounts.entry(*team).or_default();
                let part = account.parts.entry(keeper).or_default();
                part.held = part.held.saturating_sub(*amount);
                account.free = account.free.saturating_add(*amount);
                account.fulfil();
            }
            Move::Settle {
                team,
                request,
                amount,
            } => {
                let first = self.billed.record(*request, at);
                let account = self.accounts.entry(*team).or_default();
                let part = account.parts.entry(keeper).or_default();
                part.held = part.held.saturating_sub(*amount);
                if first {
                    account.settled = account.settled.saturating_add(*amount);
                } else {
                    self.duplicates += 1;
                    account.free = account.free.saturating_add(*amount);
                    account.fulfil();
                }
            }
            Move::Credit(topup) => self.credit(keeper, topup),
        }
    }

    /// Credits a top-up that the keeper has already made spendable.
    ///
    /// The identity names the keeper, so no other acceptor can have credited it.
    fn credit(&mut self, keeper: KeeperId, topup: &TopUp) {
        let account = self.accounts.entry(topup.team).or_default();
        account.credits = account.credits.saturating_add(topup.amount);
        let part = account.parts.entry(keeper).or_default();
        part.held = part.held.saturating_add(topup.amount);
        self.topups
            .insert(topup.id.clone(), (topup.team, topup.amount));
    }

    fn retire(&mut self, keeper: KeeperId) -> Outcome {
        if self.retired.insert(keeper, false).is_some() {
            return Outcome::Repeated;
        }
        for account in self.accounts.values_mut() {
            if let Some(part) = account.parts.get_mut(&keeper) {
                part.want = Want::default();
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
            if let Some(part) = account.parts.get_mut(&keeper) {
                let held = std::mem::take(&mut part.held);
                account.free = account.free.saturating_add(held);
                account.fulfil();
            }
        }
        Outcome::Applied
    }
}
