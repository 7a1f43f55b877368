//! Grants: draws that wait, recalls, and batches for the ledger.

use std::collections::BTreeMap;

use base::LeaseId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use consensus::Role;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::AcquireTokens;
use fleet::wire::Demand;
use fleet::wire::TokenGrant;
use ledger::Command;
use ledger::Event;
use ledger::Posting;
use ledger::Receipt;
use ledger::accounts::KeeperDemand;

use super::super::site::Change;
use super::BATCH_RETRY;
use super::Core;
use super::Output;
use super::Reply;
use super::Waiter;

/// How long a draw waits for tokens from elsewhere before it's refused.
const DRAW_WAIT: Span = Span::millis(400);

/// Least time between two recalls of one team's tokens.
const RECALL_GAP: Span = Span::millis(50);

/// How long a budget counts as drawn on after a draw.
const ACTIVE: Span = Span::secs(600);

impl Core {
    pub(super) fn on_draw(&mut self, draw: AcquireTokens, reply: Reply) {
        let lease = draw.lease;
        for demand in &draw.demands {
            let event = self
                .share
                .decide_return(lease, demand.team, demand.returned);
            if let Some(event) = event {
                self.journal(event);
            }
        }
        if draw.close {
            self.close(lease);
            self.reply(reply, PeerResponse::Done);
            return;
        }
        let share = &self.share;
        if !self
            .tenancies
            .may_draw(lease, draw.first_use, share, self.now)
        {
            self.reply(reply, PeerResponse::LeaseEnded);
            return;
        }
        self.tenancies.renew(lease, self.now);
        self.holders.insert(lease, draw.address);
        for demand in &draw.demands {
            self.active.insert(demand.team, self.now);
            let sum = self.demand.entry(demand.team).or_default();
            *sum = sum.saturating_add(demand.prefetch);
        }
        self.waiters.push(Waiter {
            lease,
            demands: draw.demands,
            until: self.now + DRAW_WAIT,
            reply,
        });
        self.serve_waiters();
        if !self.waiters.is_empty() {
            self.post(false);
            self.recall_for_waiters();
        }
    }

    /// Grants what can be granted; answers draws that are met or too old.
    pub(super) fn serve_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.waiters);
        for mut waiter in waiters {
            for place in 0..waiter.demands.len() {
                let demand = waiter.demands[place];
                if self.grant(waiter.lease, &demand) {
                    waiter.demands[place].required = Tokens::ZERO;
                    waiter.demands[place].prefetch = Tokens::ZERO;
                }
            }
            let met = waiter
                .demands
                .iter()
                .all(|demand| demand.required.is_zero());
            if met || self.now >= waiter.until {
                let granted = waiter.demands.iter().map(|demand| TokenGrant {
                    team: demand.team,
                    total: self.share.grant(waiter.lease, demand.team).granted,
                    exhausted: !demand.required.is_zero(),
                });
                let granted = granted.collect();
                self.reply(waiter.reply, PeerResponse::Granted(granted));
            } else {
                self.waiters.push(waiter);
            }
        }
    }

    /// Grants a demand; returns whether its need is met.
    pub(super) fn grant(&mut self, lease: LeaseId, demand: &Demand) -> bool {
        let Demand {
            team,
            required: need,
            prefetch: extra,
            ..
        } = *demand;
        let allotted = self.site.ledger.allocated(self.id, team);
        let event = self.share.decide_grant(lease, team, need, extra, allotted);
        let met = need.is_zero() || event.is_some();
        if let Some(event) = event {
            self.journal(event);
        }
        met
    }

    pub(super) fn close(&mut self, lease: LeaseId) {
        if self.share.leases().any(|open| open == lease) {
            self.journal(Event::LeaseClosed(lease));
        }
        self.tenancies.remove(lease);
        self.holders.remove(&lease);
    }

    pub(super) fn on_receipts(&mut self, receipts: &[Receipt], reply: Reply) {
        let mut bills = Vec::with_capacity(receipts.len());
        for receipt in receipts {
            let (bill, event) = self.share.decide_receipt(receipt);
            if let Some(event) = event {
                self.journal(event);
            }
            bills.push(bill);
        }
        self.reply(reply, PeerResponse::Bills(bills));
    }

    /// Forms the next batch for the ledger, or sends the last one again.
    pub(super) fn post(&mut self, again: bool) {
        let asks = self.changed_wants();
        if self.share.unconfirmed_batch().is_none()
            && (self.share.has_pending() || !asks.is_empty())
        {
            self.post_batch(asks, &[]);
            return;
        }
        let late = self.now.since(self.batch_sent) >= BATCH_RETRY;
        if again && late && self.share.unconfirmed_batch().is_some() {
            self.send_batch();
        }
    }

    pub(super) fn post_batch(
        &mut self,
        asks: Vec<(TeamId, KeeperDemand)>,
        returns: &[(TeamId, Tokens)],
    ) {
        let moves = asks
            .iter()
            .map(|&(team, want)| Posting::Request { team, demand: want })
            .collect();
        let event = self.share.decide_batch(moves, returns, &self.site.ledger);
        if let Some(event) = event {
            self.asked.extend(asks);
            self.asked.retain(|_, want| !want.required.is_zero());
            self.journal(event);
            self.send_batch();
        }
    }

    pub(super) fn send_batch(&mut self) {
        let Some(batch) = self.share.unconfirmed_batch().cloned() else {
            return;
        };
        self.batch_sent = self.now;
        let change = Change::Ledger(Command::Post(batch));
        if self.replica.role() == Role::Leader {
            let Ok(data) = postcard::to_stdvec(&change) else {
                return;
            };
            if let Ok((_, effects)) = self.replica.propose(data) {
                self.absorb(effects);
            }
            return;
        }
        let leader = self.replica.leader();
        let address = leader.and_then(|leader| self.peers.get(&leader).copied());
        if let Some(address) = address
            && let Ok(data) = postcard::to_stdvec(&change)
        {
            self.out
                .push(Output::Tell(address, PeerRequest::Propose(data)));
        }
    }

    /// Returns the needs that differ from what was last asked of the ledger.
    pub(super) fn changed_wants(&mut self) -> Vec<(TeamId, KeeperDemand)> {
        let mut needs: BTreeMap<TeamId, Tokens> = BTreeMap::new();
        for waiter in &self.waiters {
            for demand in waiter.demands.iter().filter(|d| !d.required.is_zero()) {
                let need = needs.entry(demand.team).or_default();
                *need = need.saturating_add(demand.required);
            }
        }
        for team in self.asked.keys() {
            needs.entry(*team).or_default();
        }
        let mut changed = Vec::new();
        for (team, need) in needs {
            let allotted = self.site.ledger.allocated(self.id, team);
            let need = need.saturating_sub(self.share.available(team, allotted));
            let known = self
                .asked
                .get(&team)
                .map_or(Tokens::ZERO, |want| want.required);
            if need != known {
                let extra = if need.is_zero() {
                    Tokens::ZERO
                } else {
                    self.demand.remove(&team).unwrap_or_default()
                };
                changed.push((
                    team,
                    KeeperDemand {
                        required: need,
                        prefetch: extra,
                    },
                ));
            }
        }
        changed
    }

    /// Asks other holders of this keeper's grants for what a request waits for.
    pub(super) fn recall_for_waiters(&mut self) {
        let mut needs: BTreeMap<TeamId, (Tokens, Vec<LeaseId>)> = BTreeMap::new();
        for waiter in &self.waiters {
            for demand in waiter.demands.iter().filter(|d| !d.required.is_zero()) {
                let (need, leases) = needs.entry(demand.team).or_default();
                *need = need.saturating_add(demand.required);
                leases.push(waiter.lease);
            }
        }
        for (team, (need, except)) in needs {
            self.recall(team, need, &except);
        }
    }

    pub(super) fn recall(&mut self, team: TeamId, need: Tokens, except: &[LeaseId]) {
        let last = self.recalled.get(&team).copied().unwrap_or_default();
        if last != Time(0) && self.now.since(last) < RECALL_GAP {
            return;
        }
        self.recalled.insert(team, self.now);
        for (lease, _) in self.share.holders(team) {
            if except.contains(&lease) {
                continue;
            }
            if let Some(&address) = self.holders.get(&lease) {
                self.out.push(Output::Recall(address, team, need));
            }
        }
    }

    /// Returns idle tokens that requests at other keepers wait for.
    pub(super) fn return_to_others(&mut self) {
        let short: Vec<TeamId> = self.site.ledger.waiting_teams().collect();
        if short.is_empty() {
            return;
        }
        let mut returns = Vec::new();
        for team in short {
            let Some(account) = self.site.ledger.account(team) else {
                continue;
            };
            let own = account
                .allocations
                .get(&self.id)
                .map_or(Tokens::ZERO, |p| p.demand.required);
            let need = account.deficit().saturating_sub(own);
            let waits = !own.is_zero() || self.asked.contains_key(&team);
            if need.is_zero() || waits {
                continue;
            }
            let allotted = self.site.ledger.allocated(self.id, team);
            let free = self.share.available(team, allotted);
            if !free.is_zero() {
                returns.push((team, need));
            }
            let missing = need.saturating_sub(free);
            if !missing.is_zero() {
                self.recall(team, missing, &[]);
            }
        }
        if !returns.is_empty() && self.share.unconfirmed_batch().is_none() {
            self.post_batch(Vec::new(), &returns);
        }
    }

    /// Asks for an even part of the budgets that are drawn on here.
    pub(super) fn stand_ready(&mut self) {
        let now = self.now;
        self.active.retain(|_, at| now.since(*at) < ACTIVE);
        if self.share.unconfirmed_batch().is_some() {
            return;
        }
        let mut asks = Vec::new();
        for &team in self.active.keys() {
            let extra = self.share.standby_shortfall(team, &self.site.ledger);
            if !extra.is_zero() && !self.asked.contains_key(&team) {
                let need = Tokens::ZERO;
                asks.push((
                    team,
                    KeeperDemand {
                        required: need,
                        prefetch: extra,
                    },
                ));
            }
        }
        if !asks.is_empty() {
            self.post_batch(asks, &[]);
        }
    }
}
