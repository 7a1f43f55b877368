//! Leases, grants, reservations and receipts.
//!
//! An entry holds one current wallet and older ones that still hold grants or
//! reservations. A wallet belongs to one keeper; when that keeper falls silent, a
//! new wallet is opened at the next one and the older goes on while it lasts.

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

/// Time between two renewals.
const RENEW: Duration = Duration::from_millis(250);

/// Time between two deliveries of receipts.
const DELIVER: Duration = Duration::from_millis(25);

/// How long a wallet is used before a new one is opened.
const ROLL: Span = Span::secs(300);

/// How long a team's tokens lie idle before they are given back.
const IDLE: Span = Span::secs(5);

/// How long a keeper counts as present after an answer.
const HEARD: Span = Span::secs(1);

/// Longest wait for a keeper to answer a draw.
const DRAW_WAIT: Span = Span::millis(900);

/// Longest wait for a keeper's answer.
const KEEPER_WAIT: Span = Span::millis(1_500);

/// How long an unknown outcome is waited for before it's billed by what came.
const DOUBT: Span = Span::secs(60);

/// Renewals for which a team's usual demand is held ready: five seconds' worth.
const RENEWALS_AHEAD: u64 = 20;

/// Part of the usual demand that one renewal moves.
const RATE_WEIGHT: u64 = 8;

/// Requests like the one that waits for which tokens are drawn ahead.
const AHEAD: u64 = 4;

/// Most receipts delivered together.
const MAX_RECEIPTS: usize = 2_048;

/// A reservation that a request holds.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The lease.
    pub lease: LeaseId,
    /// The keeper of the lease.
    pub keeper: KeeperId,
    /// How much longer the lease lasts.
    pub left: Span,
}

/// Why no reservation is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// Tokens are missing.
    Short,
    /// No lease is in force.
    NoLease,
}

struct Pouch {
    keeper: KeeperPeer,
    wallet: LeaseBudget,
    opened: Time,
    used: Map<TeamId, Time>,
    rates: Map<TeamId, u64>,
    heard: Time,
    closing: bool,
}

struct Doubt {
    lease: LeaseId,
    receipt: Receipt,
    since: Time,
}

struct State {
    pouches: Vec<Pouch>,
    keepers: Vec<KeeperPeer>,
    next: usize,
    owed: Vec<(KeeperId, Receipt)>,
    doubts: Vec<Doubt>,
}

/// An entry's leases.
pub struct Budget {
    id: EntryId,
    state: Mutex<State>,
}

impl Budget {
    /// Returns the empty budget of an entry; keepers of its own domain come first.
    #[must_use]
    pub fn new(id: EntryId, domain: &str, keepers: &[KeeperPeer]) -> Self {
        let mut keepers = keepers.to_vec();
        keepers.sort_by_key(|peer| (peer.domain != domain, u64::from(peer.id.0) ^ id.0));
        let state = State {
            pouches: Vec::new(),
            keepers,
            next: 0,
            owed: Vec::new(),
            doubts: Vec::new(),
        };
        Self {
            id,
            state: Mutex::new(state),
        }
    }

    /// Returns the open reservations.
    #[must_use]
    pub fn open(&self) -> usize {
        let state = lock(&self.state);
        state
            .pouches
            .iter()
            .map(|pouch| pouch.wallet.reservation_count())
            .sum()
    }

    /// Returns whether receipts are still to be answered.
    #[must_use]
    pub fn owes(&self) -> bool {
        !lock(&self.state).owed.is_empty()
    }

    /// Reserves tokens under any lease that lasts.
    ///
    /// # Errors
    ///
    /// Fails where tokens are missing or no lease is in force.
    pub fn reserve(
        &self,
        request: RequestId,
        team: TeamId,
        amount: Tokens,
        now: Time,
    ) -> Result<Held, Lack> {
        let mut state = lock(&self.state);
        let mut lack = Lack::NoLease;
        let usable = state.pouches.iter_mut().rev().filter(|p| !p.closing);
        for pouch in usable {
            match pouch.wallet.reserve(request, team, amount, now) {
                ReserveOutcome::Reserved | ReserveOutcome::AlreadyReserved => {
                    pouch.used.insert(team, now);
                    return Ok(Held {
                        lease: pouch.wallet.lease(),
                        keeper: pouch.keeper.id,
                        left: pouch.wallet.remaining(now),
                    });
                }
                ReserveOutcome::Insufficient(_) => lack = Lack::Short,
                ReserveOutcome::LeaseExpired => {}
            }
        }
        Err(lack)
    }

    /// Frees the reservation of a request that did not run.
    pub fn release(&self, request: RequestId) {
        let mut state = lock(&self.state);
        for pouch in &mut state.pouches {
            pouch.wallet.release(request);
        }
    }

    /// Owes a receipt for a request that ran; its reservation stays until the
    /// keeper has answered.
    ///
    /// After a `single` attempt what was reserved beyond the bill is free at once.
    pub fn owe(&self, held: &Held, receipt: Receipt, single: bool) {
        let mut state = lock(&self.state);
        state.owed.push((held.keeper, receipt));
        if single && let Some(pouch) = state.pouch(held.lease) {
            pouch
                .wallet
                .shrink_reservation(receipt.request, receipt.amount);
        }
    }

    /// Keeps the reservation of a request whose outcome is unknown.
    pub fn doubt(&self, held: &Held, receipt: Receipt, now: Time) {
        lock(&self.state).doubts.push(Doubt {
            lease: held.lease,
            receipt,
            since: now,
        });
    }

    /// Gives back unreserved tokens that another request needs.
    pub fn recall(&self, team: TeamId, need: Tokens) -> PeerResponse {
        let mut state = lock(&self.state);
        let richest = state
            .pouches
            .iter_mut()
            .max_by_key(|pouch| pouch.wallet.team_budget(team).available());
        let Some(pouch) = richest else {
            return PeerResponse::Unavailable;
        };
        let total = pouch.wallet.return_unused(team, need);
        PeerResponse::Returned(pouch.wallet.lease(), total)
    }

    /// Returns the current lease and its keeper, opening one where there is none.
    fn current(&self, now: Time) -> Option<(LeaseId, KeeperPeer)> {
        let mut state = lock(&self.state);
        let fresh = state.pouches.last().is_none_or(|pouch| pouch.closing);
        if fresh {
            state.open(self.id, now)?;
        }
        let pouch = state.pouches.last()?;
        Some((pouch.wallet.lease(), pouch.keeper.clone()))
    }

    /// Opens a wallet at the next keeper, as the present one doesn't answer.
    fn switch(&self, lease: LeaseId, now: Time) {
        let mut state = lock(&self.state);
        let current = state.pouches.last().map(|pouch| pouch.wallet.lease());
        if current == Some(lease) && state.keepers.len() > 1 {
            state.next = (state.next + 1) % state.keepers.len();
            state.open(self.id, now);
        }
    }

    /// Returns the renewals that are due, as they are sent.
    fn renewals(&self, now: Time) -> Vec<(AcquireTokens, KeeperPeer)> {
        let mut state = lock(&self.state);
        state.roll(self.id, now);
        let mut draws = Vec::new();
        for pouch in &mut state.pouches {
            draws.push((pouch.renewal(now), pouch.keeper.clone()));
        }
        draws
    }

    fn renewed(&self, lease: LeaseId, sent: Time, granted: &[TokenGrant]) {
        let mut state = lock(&self.state);
        if let Some(pouch) = state.pouch(lease) {
            pouch.wallet.extend(sent);
            pouch.heard = sent;
            for grant in granted {
                pouch.wallet.record_grant(grant.team, grant.total);
            }
        }
    }

    fn ended(&self, lease: LeaseId) {
        let mut state = lock(&self.state);
        if let Some(pouch) = state.pouch(lease) {
            pouch.closing = true;
        }
        state
            .pouches
            .retain(|pouch| pouch.wallet.lease() != lease || pouch.wallet.reservation_count() > 0);
    }

    fn demand(&self, lease: LeaseId, team: TeamId, need: Tokens) -> Option<Demand> {
        let mut state = lock(&self.state);
        let pouch = state.pouch(lease)?;
        let purse = pouch.wallet.team_budget(team);
        Some(Demand {
            team,
            required: need.saturating_sub(purse.available()),
            prefetch: Tokens(need.0.saturating_mul(AHEAD)),
            returned: purse.returned,
        })
    }

    fn fresh(&self, lease: LeaseId) -> bool {
        let mut state = lock(&self.state);
        state
            .pouch(lease)
            .is_some_and(|pouch| pouch.wallet.never_renewed())
    }

    fn owed(&self, keeper: KeeperId) -> Vec<Receipt> {
        let state = lock(&self.state);
        let own = state.owed.iter().filter(|(to, _)| *to == keeper);
        own.take(MAX_RECEIPTS).map(|(_, r)| *r).collect()
    }

    fn billed(&self, keeper: KeeperId, receipts: &[Receipt], bills: &[BillingOutcome]) {
        let mut state = lock(&self.state);
        for (receipt, bill) in receipts.iter().zip(bills) {
            state
                .owed
                .retain(|(to, owed)| *to != keeper || owed != receipt);
            let Some(pouch) = state.pouch(receipt.lease) else {
                continue;
            };
            match bill {
                BillingOutcome::Billed(amount) => pouch.wallet.settle(receipt.request, *amount),
                BillingOutcome::LeaseClosed => {}
                BillingOutcome::Overdrawn => {
                    log::error!("entry: the keeper can't cover {}", receipt.request);
                }
            }
        }
    }

    /// Turns doubts that lasted too long into receipts.
    fn settle_doubts(&self, now: Time) {
        let mut state = lock(&self.state);
        let (old, young) = std::mem::take(&mut state.doubts)
            .into_iter()
            .partition(|doubt| now.since(doubt.since) >= DOUBT);
        state.doubts = young;
        let old: Vec<Doubt> = old;
        for doubt in old {
            if let Some(pouch) = state.pouch(doubt.lease) {
                let keeper = pouch.keeper.id;
                state.owed.push((keeper, doubt.receipt));
            }
        }
    }
}

impl State {
    fn open(&mut self, id: EntryId, now: Time) -> Option<()> {
        let keeper = self.keepers.get(self.next)?.clone();
        let lease = LeaseId {
            entry: id,
            epoch: fastrand::u64(1..),
        };
        self.pouches.push(Pouch {
            keeper,
            wallet: LeaseBudget::new(lease),
            opened: now,
            used: Map::default(),
            rates: Map::default(),
            heard: Time(0),
            closing: false,
        });
        Some(())
    }

    fn pouch(&mut self, lease: LeaseId) -> Option<&mut Pouch> {
        let mut pouches = self.pouches.iter_mut();
        pouches.find(|pouch| pouch.wallet.lease() == lease)
    }

    /// Opens a new wallet in time; older ones close once nothing is reserved.
    fn roll(&mut self, id: EntryId, now: Time) {
        let old = |pouch: &Pouch| now.since(pouch.opened) >= ROLL;
        if self.pouches.last().is_some_and(old) {
            self.open(id, now);
        }
        let current = self.pouches.last().map(|pouch| pouch.wallet.lease());
        self.pouches.retain(|pouch| {
            let holds =
                !pouch.wallet.team_budgets().is_empty() || pouch.wallet.reservation_count() > 0;
            holds || Some(pouch.wallet.lease()) == current
        });
        let current = self.pouches.len().saturating_sub(1);
        for pouch in &mut self.pouches[..current] {
            if pouch.wallet.reservation_count() == 0 {
                pouch.closing = true;
            }
        }
    }
}

impl Pouch {
    /// Returns the draw that renews the lease and gives back what lies idle.
    fn renewal(&mut self, now: Time) -> AcquireTokens {
        let mut demands = Vec::new();
        let demand: Map<TeamId, Tokens> = self.wallet.take_demand().into_iter().collect();
        let teams: Vec<TeamId> = self.wallet.team_budgets().keys().copied().collect();
        for team in teams {
            let used = self.used.get(&team).copied().unwrap_or_default();
            // What goes back to a keeper that can't be heard is of use to nobody.
            let heard = now.since(self.heard) < HEARD;
            if self.closing || (heard && now.since(used) >= IDLE) {
                self.wallet.return_unused(team, Tokens(u64::MAX));
            }
            let purse = self.wallet.team_budget(team);
            let asked = demand.get(&team).copied().unwrap_or_default();
            let active =
                !asked.is_zero() || purse.granted != purse.returned.saturating_add(purse.billed);
            if active {
                let rate = self.rates.entry(team).or_default();
                *rate = *rate - *rate / RATE_WEIGHT + asked.0 / RATE_WEIGHT;
                let target = Tokens(*rate * RENEWALS_AHEAD);
                demands.push(Demand {
                    team,
                    required: Tokens::ZERO,
                    prefetch: target.saturating_sub(purse.available()),
                    returned: purse.returned,
                });
            }
        }
        AcquireTokens {
            lease: self.wallet.lease(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            demands,
            first_use: self.wallet.never_renewed(),
            close: self.closing,
        }
    }
}

/// Draws the tokens that a request lacks; returns whether nobody in reach has any.
pub async fn draw(entry: &Entry, team: TeamId, need: Tokens) -> bool {
    for _ in 0..2 {
        let now = entry.context.clock.now();
        let Some((lease, keeper)) = entry.budget.current(now) else {
            return false;
        };
        let Some(demand) = entry.budget.demand(lease, team, need) else {
            return false;
        };
        let draw = AcquireTokens {
            lease,
            address: entry.node.address(),
            demands: vec![demand],
            first_use: entry.budget.fresh(lease),
            close: false,
        };
        let sent = entry.context.clock.now();
        match entry
            .node
            .request(keeper.address, PeerRequest::AcquireTokens(draw), DRAW_WAIT)
            .await
        {
            Ok(PeerResponse::Granted(granted)) => {
                entry.budget.renewed(lease, sent, &granted);
                return granted.iter().any(|grant| grant.exhausted);
            }
            Ok(PeerResponse::LeaseEnded) => entry.budget.ended(lease),
            Ok(_) | Err(_) => {
                log::warn!("entry: {} does not answer a draw", keeper.id);
                entry.budget.switch(lease, sent);
            }
        }
    }
    false
}

/// Renews leases and gives back what lies idle.
pub async fn renew(entry: Entry) {
    loop {
        let now = entry.context.clock.now();
        let _ = entry.budget.current(now);
        entry.budget.settle_doubts(now);
        for (mut draw, keeper) in entry.budget.renewals(now) {
            draw.address = entry.node.address();
            entry
                .context
                .pool
                .spawn(renew_one(entry.clone(), draw, keeper));
        }
        Timer::after(RENEW).await;
    }
}

async fn renew_one(entry: Entry, draw: AcquireTokens, keeper: KeeperPeer) {
    let lease = draw.lease;
    let close = draw.close;
    let sent = entry.context.clock.now();
    let answer = entry.node.request(
        keeper.address,
        PeerRequest::AcquireTokens(draw),
        KEEPER_WAIT,
    );
    match answer.await {
        Ok(PeerResponse::Granted(granted)) => entry.budget.renewed(lease, sent, &granted),
        Ok(PeerResponse::LeaseEnded) => entry.budget.ended(lease),
        Ok(PeerResponse::Done) if close => entry.budget.ended(lease),
        Ok(_) | Err(_) if !close => entry.budget.switch(lease, sent),
        Ok(_) | Err(_) => {}
    }
}

/// Delivers receipts until each is answered.
pub async fn report(entry: Entry) {
    loop {
        for peer in &entry.context.keepers {
            let receipts = entry.budget.owed(peer.id);
            if receipts.is_empty() {
                continue;
            }
            let ask = PeerRequest::Receipts(receipts.clone());
            let answer = entry.node.request(peer.address, ask, KEEPER_WAIT).await;
            if let Ok(PeerResponse::Bills(bills)) = answer {
                entry.budget.billed(peer.id, &receipts, &bills);
            }
        }
        Timer::after(DELIVER).await;
    }
}

/// Gives all leases back before a planned stop.
pub async fn close_all(entry: &Entry) {
    let draws: Vec<(AcquireTokens, KeeperPeer)> = {
        let now = entry.context.clock.now();
        let mut state = lock(&entry.budget.state);
        for pouch in &mut state.pouches {
            pouch.closing = pouch.wallet.reservation_count() == 0;
        }
        let pouches = state.pouches.iter_mut();
        pouches
            .map(|p| (p.renewal(now), p.keeper.clone()))
            .collect()
    };
    for (mut draw, keeper) in draws {
        draw.address = entry.node.address();
        let _ = entry
            .node
            .request(
                keeper.address,
                PeerRequest::AcquireTokens(draw),
                KEEPER_WAIT,
            )
            .await;
    }
}
