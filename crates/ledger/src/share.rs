//! A keeper's share of the budgets.
//!
//! The share belongs to one keeper and is stored on its disk. It doesn't depend on time:
//! a partitioned keeper keeps spending the tokens that it holds. Each change is an
//! [`Event`], which the keeper writes to its journal before it replies. The ledger's
//! allocations are read from the keeper's own replica of the log.

use std::collections::BTreeMap;

use base::AgentId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::accounts::Batch;
use crate::accounts::Ledger;
use crate::accounts::Posting;
use crate::topup::Acceptor;
use crate::topup::TopUp;
use crate::topup::TopUpId;

/// Least amount requested to replenish the share; a smaller one isn't worth a commit.
const MIN_STANDBY_REQUEST: Tokens = Tokens(300);

/// Largest number of settlements and credits in one batch.
const MAX_POSTINGS: usize = 4096;

/// An agent's or entry's report of the tokens that a request has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The lease under which tokens were reserved for the request.
    pub lease: LeaseId,
    /// The request.
    pub request: RequestId,
    /// The team that pays.
    pub team: TeamId,
    /// The sum of prompt and generated tokens.
    pub amount: Tokens,
}

/// The keeper's reply to a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillingOutcome {
    /// The request is billed this many tokens, now or by an earlier receipt.
    Billed(Tokens),
    /// The lease is closed, and all of its tokens are accounted for.
    LeaseClosed,
    /// The receipt names more tokens than the lease holds.
    Overdrawn,
}

/// A change of the share, journaled before its effect is visible to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Tokens are granted to a lease.
    Granted {
        /// The lease.
        lease: LeaseId,
        /// The team.
        team: TeamId,
        /// The tokens added to the grant.
        amount: Tokens,
    },
    /// A lease has returned tokens.
    Returned {
        /// The lease.
        lease: LeaseId,
        /// The team.
        team: TeamId,
        /// The sum of tokens returned so far.
        total: Tokens,
    },
    /// A request is billed.
    Billed(Receipt),
    /// A lease is closed; the rest of its grants is available again.
    LeaseClosed(LeaseId),
    /// A top-up that names this keeper is accepted.
    Credited(TopUp),
    /// A batch is formed for the ledger.
    Posted(Batch),
    /// An agent has registered; from now on it can hold receipts.
    AgentJoined(AgentId),
    /// An agent has stopped after all its receipts were answered.
    AgentStopped(AgentId),
    /// An agent's process has ended, and the receipts that it held are lost.
    AgentLost(AgentId),
}

/// One team's grant to one lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The sum of tokens granted.
    pub granted: Tokens,
    /// The sum of tokens returned.
    pub returned: Tokens,
    /// The sum of tokens billed.
    pub billed: Tokens,
}

impl Grant {
    /// Returns the tokens that the lease still holds.
    #[must_use]
    pub fn held(&self) -> Tokens {
        self.granted
            .saturating_sub(self.returned)
            .saturating_sub(self.billed)
    }
}

/// One lease's grants and bills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    opened_at: u64,
    grants: BTreeMap<TeamId, Grant>,
    bills: Map<RequestId, Tokens>,
}

/// One team's part of the share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TeamBalance {
    credited: Tokens,
    returned: Tokens,
    settled: Tokens,
    granted: Tokens,
}

/// A keeper's share of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    keeper: KeeperId,
    balances: Map<TeamId, TeamBalance>,
    leases: Map<LeaseId, Lease>,
    topups: Map<TopUpId, (TeamId, Tokens)>,
    pending_postings: Vec<Posting>,
    unconfirmed_batch: Option<Batch>,
    last_batch: u64,
    agents: BTreeMap<AgentId, Option<u64>>,
    event_count: u64,
}

impl Share {
    /// Returns the empty share of `keeper`.
    #[must_use]
    pub fn new(keeper: KeeperId) -> Self {
        Self {
            keeper,
            balances: Map::default(),
            leases: Map::default(),
            topups: Map::default(),
            pending_postings: Vec::new(),
            unconfirmed_batch: None,
            last_batch: 0,
            agents: BTreeMap::new(),
            event_count: 0,
        }
    }

    /// Returns the keeper that owns the share.
    #[must_use]
    pub fn keeper(&self) -> KeeperId {
        self.keeper
    }

    /// Returns the teams of which the share has ever held tokens.
    pub fn teams(&self) -> impl Iterator<Item = TeamId> + '_ {
        self.balances.keys().copied()
    }

    /// Returns the open leases.
    pub fn leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.leases.keys().copied()
    }

    /// Returns the tokens of `team` that can be granted or returned.
    ///
    /// After a restart the replica may lag behind what the share has paid out. No tokens
    /// are available then until the replica has caught up.
    #[must_use]
    pub fn available(&self, team: TeamId, allocated: Tokens) -> Tokens {
        let balance = self.balance(team);
        allocated
            .saturating_add(balance.credited)
            .saturating_sub(Self::outflow(&balance))
    }

    /// Returns by how many tokens the share has paid out more than it holds.
    #[must_use]
    pub fn overdraft(&self, team: TeamId, allocated: Tokens) -> Tokens {
        let balance = self.balance(team);
        Self::outflow(&balance).saturating_sub(allocated.saturating_add(balance.credited))
    }

    /// Returns whether `lease` is open.
    #[must_use]
    pub fn has_lease(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Returns the grant of `team` to `lease`.
    #[must_use]
    pub fn grant(&self, lease: LeaseId, team: TeamId) -> Grant {
        self.leases
            .get(&lease)
            .and_then(|lease| lease.grants.get(&team))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the leases that hold tokens of `team`, with the tokens held.
    #[must_use]
    pub fn holders(&self, team: TeamId) -> Vec<(LeaseId, Tokens)> {
        let mut holders: Vec<(LeaseId, Tokens)> = self
            .leases
            .keys()
            .map(|&lease| (lease, self.grant(lease, team).held()))
            .filter(|(_, held)| !held.is_zero())
            .collect();
        holders.sort_unstable();
        holders
    }

    /// Returns the tokens of all teams held under `lease`.
    #[must_use]
    pub fn held_by(&self, lease: LeaseId) -> Tokens {
        self.leases.get(&lease).map_or(Tokens::ZERO, |lease| {
            lease.grants.values().map(Grant::held).sum()
        })
    }

    /// Returns the registered agents, any of which may hold receipts of `lease`; empty if
    /// the lease isn't open.
    #[must_use]
    pub fn agents_to_query(&self, lease: LeaseId) -> Vec<AgentId> {
        if !self.leases.contains_key(&lease) {
            return Vec::new();
        }
        let registered = self.agents.iter().filter(|(_, lost)| lost.is_none());
        registered.map(|(&agent, _)| agent).collect()
    }

    /// Returns the agents that were lost while `lease` was open.
    ///
    /// It's unknown whether they held receipts of the lease.
    #[must_use]
    pub fn lost_agents(&self, lease: LeaseId) -> Vec<AgentId> {
        let Some(lease) = self.leases.get(&lease) else {
            return Vec::new();
        };
        let overlaps = |lost: &Option<u64>| lost.is_some_and(|at| at > lease.opened_at);
        let lost = self.agents.iter().filter(|(_, lost)| overlaps(lost));
        lost.map(|(&agent, _)| agent).collect()
    }

    /// Returns whether `agent` is registered and neither stopped nor lost.
    #[must_use]
    pub fn has_agent(&self, agent: AgentId) -> bool {
        self.agents.get(&agent).is_some_and(Option::is_none)
    }

    /// Returns the number of bills of open leases.
    #[must_use]
    pub fn bill_count(&self) -> usize {
        self.leases.values().map(|lease| lease.bills.len()).sum()
    }

    /// Returns the batch that the ledger has not applied yet.
    #[must_use]
    pub fn unconfirmed_batch(&self) -> Option<&Batch> {
        self.unconfirmed_batch.as_ref()
    }

    /// Returns whether postings wait for a batch.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending_postings.is_empty()
    }

    /// Decides on a grant: all of `required` or nothing, and of `prefetch` at most half
    /// of the tokens that remain.
    #[must_use]
    pub fn decide_grant(
        &self,
        lease: LeaseId,
        team: TeamId,
        required: Tokens,
        prefetch: Tokens,
        allocated: Tokens,
    ) -> Option<Event> {
        let available = self.available(team, allocated);
        if available < required {
            return None;
        }
        let spare = Tokens(available.saturating_sub(required).0 / 2);
        let amount = required.saturating_add(prefetch.min(spare));
        if amount.is_zero() {
            return None;
        }
        Some(Event::Granted {
            lease,
            team,
            amount,
        })
    }

    /// Returns the tokens to request when the share has less than half of its even share
    /// available; zero otherwise.
    ///
    /// Standby tokens cost nothing while the keepers reach each other, since idle tokens
    /// are returned on demand. A failure domain that is partitioned spends them.
    #[must_use]
    pub fn standby_shortfall(&self, team: TeamId, ledger: &Ledger) -> Tokens {
        let Some(account) = ledger.account(team) else {
            return Tokens::ZERO;
        };
        let available = self.available(team, ledger.allocated(self.keeper, team));
        let even_share = account.even_share();
        let below_half =
            available.0.saturating_mul(2) < even_share.0 && account.deficit().is_zero();
        let shortfall = even_share
            .saturating_sub(available)
            .min(Tokens(account.unallocated.0 / 2));
        // A small amount isn't worth a commit.
        let worth_commit = shortfall >= MIN_STANDBY_REQUEST;
        if below_half && worth_commit {
            shortfall
        } else {
            Tokens::ZERO
        }
    }

    /// Decides on the total that a lease reports as returned.
    #[must_use]
    pub fn decide_return(&self, lease: LeaseId, team: TeamId, total: Tokens) -> Option<Event> {
        let grant = self.grant(lease, team);
        let added = total.saturating_sub(grant.returned);
        if added.is_zero() || added > grant.held() {
            return None;
        }
        Some(Event::Returned { lease, team, total })
    }

    /// Decides on a receipt; the event is `None` if nothing changes.
    #[must_use]
    pub fn decide_receipt(&self, receipt: &Receipt) -> (BillingOutcome, Option<Event>) {
        let Some(lease) = self.leases.get(&receipt.lease) else {
            return (BillingOutcome::LeaseClosed, None);
        };
        if let Some(amount) = lease.bills.get(&receipt.request) {
            return (BillingOutcome::Billed(*amount), None);
        }
        if self.grant(receipt.lease, receipt.team).held() < receipt.amount {
            return (BillingOutcome::Overdrawn, None);
        }
        (
            BillingOutcome::Billed(receipt.amount),
            Some(Event::Billed(*receipt)),
        )
    }

    /// Decides on a top-up that names this keeper.
    ///
    /// # Errors
    ///
    /// Fails if the identity names another acceptor or was used for another top-up.
    pub fn decide_top_up(&self, topup: &TopUp) -> Result<Option<Event>, TopUpError> {
        if topup.id.acceptor() != Acceptor::Keeper(self.keeper) {
            return Err(TopUpError::WrongAcceptor);
        }
        match self.topups.get(&topup.id) {
            None => Ok(Some(Event::Credited(topup.clone()))),
            Some(earlier) if *earlier == (topup.team, topup.amount) => Ok(None),
            Some(_) => Err(TopUpError::ConflictingTopUp),
        }
    }

    /// Decides on the next batch for the ledger.
    ///
    /// `requests` are the demands that changed. `returns` are the idle tokens to return,
    /// each limited to what is available.
    #[must_use]
    pub fn decide_batch(
        &self,
        requests: Vec<Posting>,
        returns: &[(TeamId, Tokens)],
        ledger: &Ledger,
    ) -> Option<Event> {
        if self.unconfirmed_batch.is_some() {
            return None;
        }
        let pending_count = self.pending_postings.len().min(MAX_POSTINGS);
        let mut postings = self.pending_postings[..pending_count].to_vec();
        for &(team, limit) in returns {
            let available = self.available(team, ledger.allocated(self.keeper, team));
            let amount = available.min(limit);
            if !amount.is_zero() {
                postings.push(Posting::Return { team, amount });
            }
        }
        postings.extend(requests);
        if postings.is_empty() {
            return None;
        }
        Some(Event::Posted(Batch {
            keeper: self.keeper,
            number: self.last_batch + 1,
            postings,
        }))
    }

    /// Discards the unconfirmed batch once the ledger has applied number `applied`.
    pub fn confirm_batch(&mut self, applied: u64) {
        if self
            .unconfirmed_batch
            .as_ref()
            .is_some_and(|batch| batch.number <= applied)
        {
            self.unconfirmed_batch = None;
        }
    }

    /// Applies a journaled event.
    pub fn apply(&mut self, event: &Event) {
        self.event_count += 1;
        match event {
            Event::Granted {
                lease,
                team,
                amount,
            } => {
                let balance = self.balances.entry(*team).or_default();
                balance.granted = balance.granted.saturating_add(*amount);
                let opened_at = self.event_count;
                let lease = self.leases.entry(*lease).or_insert_with(|| Lease {
                    opened_at,
                    ..Lease::default()
                });
                let grant = lease.grants.entry(*team).or_default();
                grant.granted = grant.granted.saturating_add(*amount);
            }
            Event::Returned { lease, team, total } => self.apply_return(*lease, *team, *total),
            Event::Billed(receipt) => self.apply_receipt(receipt),
            Event::LeaseClosed(lease) => self.apply_close(*lease),
            Event::Credited(topup) => {
                let balance = self.balances.entry(topup.team).or_default();
                balance.credited = balance.credited.saturating_add(topup.amount);
                self.topups
                    .insert(topup.id.clone(), (topup.team, topup.amount));
                self.pending_postings.push(Posting::Credit(topup.clone()));
            }
            Event::Posted(batch) => self.apply_batch(batch),
            Event::AgentJoined(agent) => {
                self.agents.insert(*agent, None);
            }
            Event::AgentStopped(agent) => {
                self.agents.remove(agent);
            }
            Event::AgentLost(agent) => {
                self.agents.insert(*agent, Some(self.event_count));
            }
        }
    }

    fn apply_return(&mut self, lease: LeaseId, team: TeamId, total: Tokens) {
        let Some(open) = self.leases.get_mut(&lease) else {
            return;
        };
        let grant = open.grants.entry(team).or_default();
        let added = total.saturating_sub(grant.returned);
        grant.returned = grant.returned.saturating_add(added);
        let balance = self.balances.entry(team).or_default();
        balance.granted = balance.granted.saturating_sub(added);
    }

    fn apply_receipt(&mut self, receipt: &Receipt) {
        let Some(lease) = self.leases.get_mut(&receipt.lease) else {
            return;
        };
        lease.bills.insert(receipt.request, receipt.amount);
        let grant = lease.grants.entry(receipt.team).or_default();
        grant.billed = grant.billed.saturating_add(receipt.amount);
        let balance = self.balances.entry(receipt.team).or_default();
        balance.granted = balance.granted.saturating_sub(receipt.amount);
        balance.settled = balance.settled.saturating_add(receipt.amount);
        self.pending_postings.push(Posting::Settle {
            team: receipt.team,
            request: receipt.request,
            amount: receipt.amount,
        });
    }

    fn apply_close(&mut self, lease: LeaseId) {
        let Some(lease) = self.leases.remove(&lease) else {
            return;
        };
        for (team, grant) in lease.grants {
            let balance = self.balances.entry(team).or_default();
            balance.granted = balance.granted.saturating_sub(grant.held());
        }
        let oldest = self.leases.values().map(|lease| lease.opened_at).min();
        let oldest = oldest.unwrap_or(u64::MAX);
        self.agents
            .retain(|_, lost| lost.is_none_or(|at| at > oldest));
    }

    fn apply_batch(&mut self, batch: &Batch) {
        let mut pending_count = 0;
        for posting in &batch.postings {
            match posting {
                Posting::Return { team, amount } => {
                    let balance = self.balances.entry(*team).or_default();
                    balance.returned = balance.returned.saturating_add(*amount);
                }
                Posting::Settle { .. } | Posting::Credit(_) => pending_count += 1,
                Posting::Request { .. } => {}
            }
        }
        // A batch starts with the pending postings, in order.
        self.pending_postings.drain(..pending_count);
        self.last_batch = batch.number;
        self.unconfirmed_batch = Some(batch.clone());
    }

    fn balance(&self, team: TeamId) -> TeamBalance {
        self.balances.get(&team).copied().unwrap_or_default()
    }

    fn outflow(balance: &TeamBalance) -> Tokens {
        balance
            .returned
            .saturating_add(balance.settled)
            .saturating_add(balance.granted)
    }
}

/// Why a keeper refuses a top-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TopUpError {
    /// The identity names another acceptor.
    #[error("the identity names another acceptor")]
    WrongAcceptor,
    /// The identity was used for another team or another amount.
    #[error("the identity stands for another top-up")]
    ConflictingTopUp,
}
