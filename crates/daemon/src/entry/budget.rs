//! Leases, grants, reservations and receipts, from the keepers' responses.
//!
//! An entry has one current lease and older ones that still hold grants or
//! reservations. A lease belongs to one keeper. When that keeper stops responding, a new
//! lease is opened at the next keeper, and the older one is used until it expires.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::AcquireTokens;
use fleet::wire::Demand;
use fleet::wire::TokenGrant;
use ledger::BillingOutcome;
use ledger::LeaseBudget;
use ledger::Receipt;
use ledger::lease_budget::ReserveOutcome;

use super::Entry;
use super::tables::lock;
use crate::settings::KeeperPeer;

/// Time between two renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two deliveries of receipts.
const RECEIPT_INTERVAL: Duration = Duration::from_millis(25);

/// Age of the current lease at which a new one is opened.
const LEASE_ROTATION_AGE: Span = Span::secs(300);

/// Time without a reservation after which a team's tokens are returned.
const IDLE_TIMEOUT: Span = Span::secs(5);

/// Time after its last response in which a keeper counts as reachable.
const MAX_KEEPER_SILENCE: Span = Span::secs(1);

/// Maximum time to wait for a keeper's response when a request lacks tokens.
const ACQUIRE_TIMEOUT: Span = Span::millis(900);

/// Maximum time to wait for a keeper's response to a renewal or to receipts.
const KEEPER_TIMEOUT: Span = Span::millis(1_500);

/// Time after which a request with an unknown outcome is billed by the tokens received.
const UNKNOWN_OUTCOME_TIMEOUT: Span = Span::secs(60);

/// Number of renewals whose average demand is prefetched: five seconds' worth.
const PREFETCH_RENEWALS: u64 = 20;

/// Inverse of the weight of one renewal's demand in the average demand.
const RATE_DIVISOR: u64 = 8;

/// Number of requests of the same cost for which tokens are prefetched when one lacks
/// tokens.
const PREFETCH_REQUESTS: u64 = 4;

/// Maximum number of receipts in one message.
const MAX_RECEIPT_BATCH: usize = 2_048;

/// A request's reservation.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// The lease.
    pub lease: LeaseId,
    /// The keeper of the lease.
    pub keeper: KeeperId,
    /// The time until the lease expires.
    pub lease_left: Span,
}

/// The reason why tokens can't be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The team lacks tokens under every valid lease.
    InsufficientTokens,
    /// No lease is valid.
    NoLease,
}

struct HeldLease {
    keeper: KeeperPeer,
    budget: LeaseBudget,
    opened_at: Time,
    last_use: Map<TeamId, Time>,
    demand_rates: Map<TeamId, u64>,
    last_answer: Time,
    closing: bool,
}

struct DeferredReceipt {
    lease: LeaseId,
    receipt: Receipt,
    deferred_at: Time,
}

struct State {
    leases: Vec<HeldLease>,
    keepers: Vec<KeeperPeer>,
    next_keeper: usize,
    pending_receipts: Vec<(KeeperId, Receipt)>,
    deferred_receipts: Vec<DeferredReceipt>,
}

/// An entry's leases, with their reservations and receipts.
pub struct Budget {
    id: EntryId,
    state: Mutex<State>,
}

impl Budget {
    /// Returns the empty budget of an entry. It prefers keepers in its own failure domain.
    #[must_use]
    pub fn new(id: EntryId, domain: &str, keepers: &[KeeperPeer]) -> Self {
        let mut keepers = keepers.to_vec();
        keepers.sort_by_key(|peer| (peer.domain != domain, u64::from(peer.id.0) ^ id.0));
        let state = State {
            leases: Vec::new(),
            keepers,
            next_keeper: 0,
            pending_receipts: Vec::new(),
            deferred_receipts: Vec::new(),
        };
        Self {
            id,
            state: Mutex::new(state),
        }
    }

    /// Returns the number of open reservations.
    #[must_use]
    pub fn reservation_count(&self) -> usize {
        let state = lock(&self.state);
        state
            .leases
            .iter()
            .map(|held| held.budget.reservation_count())
            .sum()
    }

    /// Returns whether any receipt has not been answered yet.
    #[must_use]
    pub fn has_receipts(&self) -> bool {
        !lock(&self.state).pending_receipts.is_empty()
    }

    /// Reserves tokens under any valid lease, the newest first.
    ///
    /// # Errors
    ///
    /// Fails if the team lacks tokens or no lease is valid.
    pub fn reserve(
        &self,
        request: RequestId,
        team: TeamId,
        amount: Tokens,
        now: Time,
    ) -> Result<Reservation, ReserveError> {
        let mut state = lock(&self.state);
        let mut error = ReserveError::NoLease;
        let usable = state.leases.iter_mut().rev().filter(|p| !p.closing);
        for held in usable {
            match held.budget.reserve(request, team, amount, now) {
                ReserveOutcome::Reserved | ReserveOutcome::AlreadyReserved => {
                    held.last_use.insert(team, now);
                    return Ok(Reservation {
                        lease: held.budget.lease(),
                        keeper: held.keeper.id,
                        lease_left: held.budget.remaining(now),
                    });
                }
                ReserveOutcome::Insufficient(_) => error = ReserveError::InsufficientTokens,
                ReserveOutcome::LeaseExpired => {}
            }
        }
        Err(error)
    }

    /// Releases the reservation of a request that did not run.
    pub fn release(&self, request: RequestId) {
        let mut state = lock(&self.state);
        for held in &mut state.leases {
            held.budget.release(request);
        }
    }

    /// Queues the receipt of a request that ran. Its reservation is kept until the keeper
    /// has answered.
    ///
    /// If there was only a `single_attempt`, the tokens reserved beyond the bill are
    /// released at once.
    pub fn queue_receipt(&self, reservation: &Reservation, receipt: Receipt, single_attempt: bool) {
        let mut state = lock(&self.state);
        state.pending_receipts.push((reservation.keeper, receipt));
        if single_attempt && let Some(held) = state.lease_mut(reservation.lease) {
            held.budget
                .shrink_reservation(receipt.request, receipt.amount);
        }
    }

    /// Keeps the reservation of a request whose outcome is unknown, and queues its receipt
    /// after a timeout.
    pub fn defer_receipt(&self, reservation: &Reservation, receipt: Receipt, now: Time) {
        lock(&self.state).deferred_receipts.push(DeferredReceipt {
            lease: reservation.lease,
            receipt,
            deferred_at: now,
        });
    }

    /// Returns unreserved tokens that a request at another entry needs.
    pub fn recall(&self, team: TeamId, need: Tokens) -> PeerResponse {
        let mut state = lock(&self.state);
        let largest = state
            .leases
            .iter_mut()
            .max_by_key(|held| held.budget.team_budget(team).available());
        let Some(held) = largest else {
            return PeerResponse::Unavailable;
        };
        let total = held.budget.return_unused(team, need);
        PeerResponse::Returned(held.budget.lease(), total)
    }

    /// Returns the current lease and its keeper; opens a lease if there is none.
    fn current_lease(&self, now: Time) -> Option<(LeaseId, KeeperPeer)> {
        let mut state = lock(&self.state);
        let needs_lease = state.leases.last().is_none_or(|held| held.closing);
        if needs_lease {
            state.open_lease(self.id, now)?;
        }
        let held = state.leases.last()?;
        Some((held.budget.lease(), held.keeper.clone()))
    }

    /// Opens a lease at the next keeper after the current one did not respond.
    fn switch_keeper(&self, lease: LeaseId, now: Time) {
        let mut state = lock(&self.state);
        let current = state.leases.last().map(|held| held.budget.lease());
        if current == Some(lease) && state.keepers.len() > 1 {
            state.next_keeper = (state.next_keeper + 1) % state.keepers.len();
            state.open_lease(self.id, now);
        }
    }

    /// Returns the renewals of all leases and the keepers that they are sent to.
    fn prepare_renewals(&self, now: Time) -> Vec<(AcquireTokens, KeeperPeer)> {
        let mut state = lock(&self.state);
        state.rotate_leases(self.id, now);
        let mut requests = Vec::new();
        for held in &mut state.leases {
            requests.push((held.prepare_renewal(now), held.keeper.clone()));
        }
        requests
    }

    fn record_renewal(&self, lease: LeaseId, sent_at: Time, granted: &[TokenGrant]) {
        let mut state = lock(&self.state);
        if let Some(held) = state.lease_mut(lease) {
            held.budget.extend(sent_at);
            held.last_answer = sent_at;
            for grant in granted {
                held.budget.record_grant(grant.team, grant.total);
            }
        }
    }

    fn end_lease(&self, lease: LeaseId) {
        let mut state = lock(&self.state);
        if let Some(held) = state.lease_mut(lease) {
            held.closing = true;
        }
        state
            .leases
            .retain(|held| held.budget.lease() != lease || held.budget.reservation_count() > 0);
    }

    fn demand(&self, lease: LeaseId, team: TeamId, need: Tokens) -> Option<Demand> {
        let mut state = lock(&self.state);
        let held = state.lease_mut(lease)?;
        let team_budget = held.budget.team_budget(team);
        Some(Demand {
            team,
            required: need.saturating_sub(team_budget.available()),
            prefetch: Tokens(need.0.saturating_mul(PREFETCH_REQUESTS)),
            returned: team_budget.returned,
        })
    }

    fn never_renewed(&self, lease: LeaseId) -> bool {
        let mut state = lock(&self.state);
        state
            .lease_mut(lease)
            .is_some_and(|held| held.budget.never_renewed())
    }

    fn pending_receipts(&self, keeper: KeeperId) -> Vec<Receipt> {
        let state = lock(&self.state);
        let matching = state
            .pending_receipts
            .iter()
            .filter(|(to, _)| *to == keeper);
        matching.take(MAX_RECEIPT_BATCH).map(|(_, r)| *r).collect()
    }

    fn apply_bills(&self, keeper: KeeperId, receipts: &[Receipt], bills: &[BillingOutcome]) {
        let mut state = lock(&self.state);
        for (receipt, bill) in receipts.iter().zip(bills) {
            state
                .pending_receipts
                .retain(|(to, pending)| *to != keeper || pending != receipt);
            let Some(held) = state.lease_mut(receipt.lease) else {
                continue;
            };
            match bill {
                BillingOutcome::Billed(amount) => held.budget.settle(receipt.request, *amount),
                BillingOutcome::LeaseClosed => {}
                BillingOutcome::Overdrawn => {
                    log::error!(
                        "entry: the receipt for {} exceeds the tokens of its lease",
                        receipt.request
                    );
                }
            }
        }
    }

    /// Queues the deferred receipts whose timeout has passed.
    fn queue_overdue(&self, now: Time) {
        let mut state = lock(&self.state);
        let (overdue, recent) = std::mem::take(&mut state.deferred_receipts)
            .into_iter()
            .partition(|deferred| now.since(deferred.deferred_at) >= UNKNOWN_OUTCOME_TIMEOUT);
        state.deferred_receipts = recent;
        let overdue: Vec<DeferredReceipt> = overdue;
        for deferred in overdue {
            if let Some(held) = state.lease_mut(deferred.lease) {
                let keeper = held.keeper.id;
                state.pending_receipts.push((keeper, deferred.receipt));
            }
        }
    }
}

impl State {
    fn open_lease(&mut self, id: EntryId, now: Time) -> Option<()> {
        let keeper = self.keepers.get(self.next_keeper)?.clone();
        let lease = LeaseId {
            entry: id,
            epoch: fastrand::u64(1..),
        };
        self.leases.push(HeldLease {
            keeper,
            budget: LeaseBudget::new(lease),
            opened_at: now,
            last_use: Map::default(),
            demand_rates: Map::default(),
            last_answer: Time(0),
            closing: false,
        });
        Some(())
    }

    fn lease_mut(&mut self, lease: LeaseId) -> Option<&mut HeldLease> {
        let mut leases = self.leases.iter_mut();
        leases.find(|held| held.budget.lease() == lease)
    }

    /// Opens a new lease if the current one has reached [`LEASE_ROTATION_AGE`], and marks
    /// older leases without reservations for closing.
    fn rotate_leases(&mut self, id: EntryId, now: Time) {
        let is_old = |held: &HeldLease| now.since(held.opened_at) >= LEASE_ROTATION_AGE;
        if self.leases.last().is_some_and(is_old) {
            self.open_lease(id, now);
        }
        let current = self.leases.last().map(|held| held.budget.lease());
        self.leases.retain(|held| {
            let in_use =
                !held.budget.team_budgets().is_empty() || held.budget.reservation_count() > 0;
            in_use || Some(held.budget.lease()) == current
        });
        let current = self.leases.len().saturating_sub(1);
        for held in &mut self.leases[..current] {
            if held.budget.reservation_count() == 0 {
                held.closing = true;
            }
        }
    }
}

impl HeldLease {
    /// Returns the message that renews the lease and returns idle tokens.
    fn prepare_renewal(&mut self, now: Time) -> AcquireTokens {
        let mut demands = Vec::new();
        let demand: Map<TeamId, Tokens> = self.budget.take_demand().into_iter().collect();
        let teams: Vec<TeamId> = self.budget.team_budgets().keys().copied().collect();
        for team in teams {
            let last_use = self.last_use.get(&team).copied().unwrap_or_default();
            // Tokens returned to an unreachable keeper could not be granted to any entry.
            let is_reachable = now.since(self.last_answer) < MAX_KEEPER_SILENCE;
            if self.closing || (is_reachable && now.since(last_use) >= IDLE_TIMEOUT) {
                self.budget.return_unused(team, Tokens(u64::MAX));
            }
            let team_budget = self.budget.team_budget(team);
            let team_demand = demand.get(&team).copied().unwrap_or_default();
            let is_active = !team_demand.is_zero()
                || team_budget.granted != team_budget.returned.saturating_add(team_budget.billed);
            if is_active {
                let rate = self.demand_rates.entry(team).or_default();
                *rate = *rate - *rate / RATE_DIVISOR + team_demand.0 / RATE_DIVISOR;
                let target = Tokens(*rate * PREFETCH_RENEWALS);
                demands.push(Demand {
                    team,
                    required: Tokens::ZERO,
                    prefetch: target.saturating_sub(team_budget.available()),
                    returned: team_budget.returned,
                });
            }
        }
        AcquireTokens {
            lease: self.budget.lease(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            demands,
            first_use: self.budget.never_renewed(),
            close: self.closing,
        }
    }
}

/// Acquires the tokens that a request lacks; returns whether a keeper has answered that it
/// can't grant them now.
pub async fn acquire_tokens(entry: &Entry, team: TeamId, need: Tokens) -> bool {
    for _ in 0..2 {
        let now = entry.context.clock.now();
        let Some((lease, keeper)) = entry.budget.current_lease(now) else {
            return false;
        };
        let Some(demand) = entry.budget.demand(lease, team, need) else {
            return false;
        };
        let request = AcquireTokens {
            lease,
            address: entry.node.address(),
            demands: vec![demand],
            first_use: entry.budget.never_renewed(lease),
            close: false,
        };
        let sent_at = entry.context.clock.now();
        match entry
            .node
            .request(
                keeper.address,
                PeerRequest::AcquireTokens(request),
                ACQUIRE_TIMEOUT,
            )
            .await
        {
            Ok(PeerResponse::Granted(granted)) => {
                entry.budget.record_renewal(lease, sent_at, &granted);
                return granted.iter().any(|grant| grant.unmet);
            }
            Ok(PeerResponse::LeaseEnded) => entry.budget.end_lease(lease),
            Ok(_) | Err(_) => {
                log::warn!("entry: {} did not answer a token request", keeper.id);
                entry.budget.switch_keeper(lease, sent_at);
            }
        }
    }
    false
}

/// Returns whether a quorum of keepers has confirmed that less than `need` of the team's
/// budget is unspent, whoever holds it.
pub async fn is_exhausted(entry: &Entry, team: TeamId, need: Tokens) -> bool {
    for peer in &entry.context.keepers {
        let response =
            entry
                .node
                .request(peer.address, PeerRequest::Unspent(team), ACQUIRE_TIMEOUT);
        if let Ok(PeerResponse::Unspent(unspent)) = response.await {
            return unspent < need;
        }
    }
    false
}

/// Renews the leases and returns idle tokens, at regular intervals.
pub async fn renew_leases(entry: Entry) {
    loop {
        let now = entry.context.clock.now();
        let _ = entry.budget.current_lease(now);
        entry.budget.queue_overdue(now);
        for (mut request, keeper) in entry.budget.prepare_renewals(now) {
            request.address = entry.node.address();
            entry
                .context
                .pool
                .spawn(renew_lease(entry.clone(), request, keeper));
        }
        Timer::after(RENEWAL_INTERVAL).await;
    }
}

async fn renew_lease(entry: Entry, request: AcquireTokens, keeper: KeeperPeer) {
    let lease = request.lease;
    let close = request.close;
    let sent_at = entry.context.clock.now();
    let response = entry.node.request(
        keeper.address,
        PeerRequest::AcquireTokens(request),
        KEEPER_TIMEOUT,
    );
    match response.await {
        Ok(PeerResponse::Granted(granted)) => entry.budget.record_renewal(lease, sent_at, &granted),
        Ok(PeerResponse::LeaseEnded) => entry.budget.end_lease(lease),
        Ok(PeerResponse::Done) if close => entry.budget.end_lease(lease),
        Ok(_) | Err(_) if !close => entry.budget.switch_keeper(lease, sent_at),
        Ok(_) | Err(_) => {}
    }
}

/// Sends each receipt to its keeper until the keeper answers it.
pub async fn deliver_receipts(entry: Entry) {
    loop {
        for peer in &entry.context.keepers {
            let receipts = entry.budget.pending_receipts(peer.id);
            if receipts.is_empty() {
                continue;
            }
            let message = PeerRequest::Receipts(receipts.clone());
            let response = entry
                .node
                .request(peer.address, message, KEEPER_TIMEOUT)
                .await;
            if let Ok(PeerResponse::Bills(bills)) = response {
                entry.budget.apply_bills(peer.id, &receipts, &bills);
            }
        }
        Timer::after(RECEIPT_INTERVAL).await;
    }
}

/// Closes the leases without reservations before a planned stop and renews the others.
pub async fn close_leases(entry: &Entry) {
    let requests: Vec<(AcquireTokens, KeeperPeer)> = {
        let now = entry.context.clock.now();
        let mut state = lock(&entry.budget.state);
        for held in &mut state.leases {
            held.closing = held.budget.reservation_count() == 0;
        }
        let leases = state.leases.iter_mut();
        leases
            .map(|p| (p.prepare_renewal(now), p.keeper.clone()))
            .collect()
    };
    for (mut request, keeper) in requests {
        request.address = entry.node.address();
        let _ = entry
            .node
            .request(
                keeper.address,
                PeerRequest::AcquireTokens(request),
                KEEPER_TIMEOUT,
            )
            .await;
    }
}
