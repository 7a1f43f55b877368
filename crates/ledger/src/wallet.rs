//! An entry's grants and reservations under one lease.
//!
//! Totals only grow, so a message that is lost, doubled or late can't add
//! tokens: the larger total wins.

use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;

/// How long a lease lasts after the message that renewed it was sent.
pub const LEASE: Span = Span::secs(30);

/// The largest drift assumed between two monotonic clocks, in parts in a million.
pub const DRIFT_PPM: u64 = 1_000;

/// One team's tokens in the wallet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Purse {
    /// All tokens granted under the lease.
    pub granted: Tokens,
    /// All tokens given back.
    pub returned: Tokens,
    /// All tokens billed.
    pub used: Tokens,
    /// Tokens in open reservations.
    pub reserved: Tokens,
    /// Tokens asked for since the last renewal.
    pub demand: Tokens,
}

impl Purse {
    /// Returns the tokens that can be reserved.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.granted
            .saturating_sub(self.returned)
            .saturating_sub(self.used)
            .saturating_sub(self.reserved)
    }
}

/// What came of an attempt to reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserve {
    /// The tokens are held for the request.
    Held,
    /// The request holds a reservation already.
    Repeated,
    /// The purse lacks this many tokens.
    Short(Tokens),
    /// The lease has run out.
    Lapsed,
}

/// An entry's wallet under one lease.
#[derive(Clone, Debug)]
pub struct Wallet {
    lease: LeaseId,
    until: Time,
    purses: Map<TeamId, Purse>,
    open: Map<RequestId, (TeamId, Tokens)>,
}

impl Wallet {
    /// Returns an empty wallet; it has no lease until the first renewal.
    #[must_use]
    pub fn new(lease: LeaseId) -> Self {
        Self {
            lease,
            until: Time(0),
            purses: Map::default(),
            open: Map::default(),
        }
    }

    /// Returns the lease.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        self.lease
    }

    /// Returns whether no keeper has answered under the lease yet.
    #[must_use]
    pub fn fresh(&self) -> bool {
        self.until == Time(0)
    }

    /// Returns how long the lease lasts from `now`.
    #[must_use]
    pub fn left(&self, now: Time) -> Span {
        now.until(self.until)
    }

    /// Returns the purse of `team`.
    #[must_use]
    pub fn purse(&self, team: TeamId) -> Purse {
        self.purses.get(&team).copied().unwrap_or_default()
    }

    /// Returns all purses.
    #[must_use]
    pub fn purses(&self) -> &Map<TeamId, Purse> {
        &self.purses
    }

    /// Returns the number of open reservations.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Extends the lease by an answer to a message that was sent at `sent`.
    pub fn renewed(&mut self, sent: Time) {
        self.until = self.until.max(sent + LEASE);
    }

    /// Takes in the total granted for `team`.
    pub fn granted(&mut self, team: TeamId, total: Tokens) {
        let purse = self.purses.entry(team).or_default();
        purse.granted = purse.granted.max(total);
    }

    /// Reserves `amount` tokens for `request`.
    pub fn reserve(
        &mut self,
        request: RequestId,
        team: TeamId,
        amount: Tokens,
        now: Time,
    ) -> Reserve {
        if self.open.contains_key(&request) {
            return Reserve::Repeated;
        }
        if now >= self.until {
            return Reserve::Lapsed;
        }
        let purse = self.purses.entry(team).or_default();
        let free = purse.free();
        if free < amount {
            return Reserve::Short(amount.saturating_sub(free));
        }
        purse.demand = purse.demand.saturating_add(amount);
        purse.reserved = purse.reserved.saturating_add(amount);
        self.open.insert(request, (team, amount));
        Reserve::Held
    }

    /// Closes the reservation of a request that was billed `amount` tokens.
    ///
    /// The amount never exceeds the reservation: the agent caps what is generated.
    pub fn settle(&mut self, request: RequestId, amount: Tokens) {
        if let Some((team, reserved)) = self.open.remove(&request) {
            let purse = self.purses.entry(team).or_default();
            purse.reserved = purse.reserved.saturating_sub(reserved);
            purse.used = purse.used.saturating_add(amount.min(reserved));
        }
    }

    /// Lowers a reservation to what the request will be billed.
    ///
    /// Only for a request with a single attempt: each receipt of it then names the
    /// same amount.
    pub fn shrink(&mut self, request: RequestId, amount: Tokens) {
        if let Some((team, reserved)) = self.open.get_mut(&request) {
            let excess = reserved.saturating_sub(amount);
            *reserved = reserved.saturating_sub(excess);
            let purse = self.purses.entry(*team).or_default();
            purse.reserved = purse.reserved.saturating_sub(excess);
        }
    }

    /// Closes the reservation of a request that did not run.
    pub fn release(&mut self, request: RequestId) {
        self.settle(request, Tokens::ZERO);
    }

    /// Gives back up to `most` unreserved tokens; returns the total given back.
    pub fn give_back(&mut self, team: TeamId, most: Tokens) -> Tokens {
        let purse = self.purses.entry(team).or_default();
        let amount = purse.free().min(most);
        purse.returned = purse.returned.saturating_add(amount);
        purse.returned
    }

    /// Returns the demand of each team since the last call, and forgets it.
    pub fn take_demand(&mut self) -> Vec<(TeamId, Tokens)> {
        let mut demand = Vec::new();
        for (&team, purse) in &mut self.purses {
            let amount = std::mem::take(&mut purse.demand);
            if !amount.is_zero() {
                demand.push((team, amount));
            }
        }
        demand.sort_unstable();
        demand
    }
}
