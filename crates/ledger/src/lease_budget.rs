//! An entry's grants and reservations under one lease.
//!
//! Grants arrive as totals that never decrease, and the larger total counts, so a lost,
//! duplicate or late message can't add tokens.

use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;

/// Duration of a lease from the time when the renewing message was sent.
pub const LEASE_DURATION: Span = Span::secs(30);

/// Largest drift assumed between two monotonic clocks, in parts per million.
pub const MAX_DRIFT_PPM: u64 = 1_000;

/// One team's tokens under the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamBudget {
    /// The sum of tokens granted under the lease.
    pub granted: Tokens,
    /// The sum of tokens returned.
    pub returned: Tokens,
    /// The sum of tokens billed.
    pub billed: Tokens,
    /// Tokens in open reservations.
    pub reserved: Tokens,
    /// Tokens reserved since the last call of [`LeaseBudget::take_demand`].
    pub demand: Tokens,
}

impl TeamBudget {
    /// Returns the tokens that can be reserved.
    #[must_use]
    pub fn available(&self) -> Tokens {
        self.granted
            .saturating_sub(self.returned)
            .saturating_sub(self.billed)
            .saturating_sub(self.reserved)
    }
}

/// The outcome of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved for the request.
    Reserved,
    /// The request already has a reservation.
    AlreadyReserved,
    /// The team lacks this many tokens.
    Insufficient(Tokens),
    /// The lease has expired.
    LeaseExpired,
}

/// An entry's budgets under one lease.
#[derive(Clone, Debug)]
pub struct LeaseBudget {
    lease: LeaseId,
    expires_at: Time,
    team_budgets: Map<TeamId, TeamBudget>,
    reservations: Map<RequestId, (TeamId, Tokens)>,
}

impl LeaseBudget {
    /// Returns an empty budget; its lease counts as expired until the first renewal.
    #[must_use]
    pub fn new(lease: LeaseId) -> Self {
        Self {
            lease,
            expires_at: Time(0),
            team_budgets: Map::default(),
            reservations: Map::default(),
        }
    }

    /// Returns the lease.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Returns whether no keeper has replied under the lease yet.
    #[must_use]
    pub fn never_renewed(&self) -> bool {
        self.expires_at == Time(0)
    }

    /// Returns the remaining time of the lease at `now`.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Span {
        now.until(self.expires_at)
    }

    /// Returns the budget of `team`.
    #[must_use]
    pub fn team_budget(&self, team: TeamId) -> TeamBudget {
        self.team_budgets.get(&team).copied().unwrap_or_default()
    }

    /// Returns the budgets of all teams.
    #[must_use]
    pub fn team_budgets(&self) -> &Map<TeamId, TeamBudget> {
        &self.team_budgets
    }

    /// Returns the number of open reservations.
    #[must_use]
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Extends the lease on a reply to a message that was sent at `sent`.
    pub fn extend(&mut self, sent: Time) {
        self.expires_at = self.expires_at.max(sent + LEASE_DURATION);
    }

    /// Records the total granted for `team`.
    pub fn record_grant(&mut self, team: TeamId, total: Tokens) {
        let budget = self.team_budgets.entry(team).or_default();
        budget.granted = budget.granted.max(total);
    }

    /// Reserves `amount` tokens for `request`.
    pub fn reserve(
        &mut self,
        request: RequestId,
        team: TeamId,
        amount: Tokens,
        now: Time,
    ) -> ReserveOutcome {
        if self.reservations.contains_key(&request) {
            return ReserveOutcome::AlreadyReserved;
        }
        if now >= self.expires_at {
            return ReserveOutcome::LeaseExpired;
        }
        let budget = self.team_budgets.entry(team).or_default();
        let available = budget.available();
        if available < amount {
            return ReserveOutcome::Insufficient(amount.saturating_sub(available));
        }
        budget.demand = budget.demand.saturating_add(amount);
        budget.reserved = budget.reserved.saturating_add(amount);
        self.reservations.insert(request, (team, amount));
        ReserveOutcome::Reserved
    }

    /// Closes the reservation of a request that was billed `amount` tokens.
    ///
    /// The amount never exceeds the reservation, because the agent limits the tokens
    /// generated.
    pub fn settle(&mut self, request: RequestId, amount: Tokens) {
        if let Some((team, reserved)) = self.reservations.remove(&request) {
            let budget = self.team_budgets.entry(team).or_default();
            budget.reserved = budget.reserved.saturating_sub(reserved);
            budget.billed = budget.billed.saturating_add(amount.min(reserved));
        }
    }

    /// Lowers a reservation to the amount that the request will be billed.
    ///
    /// Only for a request with a single attempt, because all of its receipts then name
    /// the same amount.
    pub fn shrink_reservation(&mut self, request: RequestId, amount: Tokens) {
        if let Some((team, reserved)) = self.reservations.get_mut(&request) {
            let excess = reserved.saturating_sub(amount);
            *reserved = reserved.saturating_sub(excess);
            let budget = self.team_budgets.entry(*team).or_default();
            budget.reserved = budget.reserved.saturating_sub(excess);
        }
    }

    /// Releases the reservation of a request that did not run.
    pub fn release(&mut self, request: RequestId) {
        self.settle(request, Tokens::ZERO);
    }

    /// Returns up to `limit` unreserved tokens; the result is the sum of returned tokens.
    pub fn return_unused(&mut self, team: TeamId, limit: Tokens) -> Tokens {
        let budget = self.team_budgets.entry(team).or_default();
        let amount = budget.available().min(limit);
        budget.returned = budget.returned.saturating_add(amount);
        budget.returned
    }

    /// Returns the demand of each team since the last call, and resets it.
    pub fn take_demand(&mut self) -> Vec<(TeamId, Tokens)> {
        let mut demand = Vec::new();
        for (&team, budget) in &mut self.team_budgets {
            let amount = std::mem::take(&mut budget.demand);
            if !amount.is_zero() {
                demand.push((team, amount));
            }
        }
        demand.sort_unstable();
        demand
    }
}
