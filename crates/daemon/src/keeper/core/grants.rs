//! Grants: pending requests for tokens, recalls, and batches for the ledger.

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

use super::super::state::StateCommand;
use super::BATCH_RETRY_INTERVAL;
use super::Core;
use super::Output;
use super::PendingAcquire;
use super::ResponseSender;

/// Time for which a request for tokens waits for tokens from elsewhere before it's
/// answered with what could be granted.
const ACQUIRE_TIMEOUT: Span = Span::millis(400);

/// Least time between two recalls of one team's tokens.
const MIN_RECALL_INTERVAL: Span = Span::millis(50);

/// Time after the last request for a team's tokens for which its budget counts as active.
const ACTIVE_BUDGET_TIMEOUT: Span = Span::secs(600);

impl Core {
    pub(super) fn on_acquire_tokens(&mut self, acquire: AcquireTokens, reply: ResponseSender) {
        let lease = acquire.lease;
        for demand in &acquire.demands {
            let event = self
                .share
                .decide_return(lease, demand.team, demand.returned);
            if let Some(event) = event {
                self.record_event(event);
            }
        }
        if acquire.close {
            self.close_lease(lease);
            self.respond(reply, PeerResponse::Done);
            return;
        }
        let share = &self.share;
        if !self
            .lease_holders
            .may_draw(lease, acquire.first_use, share, self.now)
        {
            self.respond(reply, PeerResponse::LeaseEnded);
            return;
        }
        self.lease_holders.renew(lease, self.now);
        self.holder_addresses.insert(lease, acquire.address);
        for demand in &acquire.demands {
            self.last_acquired.insert(demand.team, self.now);
            let sum = self.prefetch_demand.entry(demand.team).or_default();
            *sum = sum.saturating_add(demand.prefetch);
        }
        self.pending_acquires.push(PendingAcquire {
            lease,
            demands: acquire.demands,
            deadline: self.now + ACQUIRE_TIMEOUT,
            reply,
        });
        self.serve_pending_acquires();
        if !self.pending_acquires.is_empty() {
            self.post_next_batch(false);
            self.recall_for_pending_acquires();
        }
    }

    /// Grants what is available to pending requests; answers those that are satisfied or
    /// past their deadline.
    pub(super) fn serve_pending_acquires(&mut self) {
        let pending = std::mem::take(&mut self.pending_acquires);
        for mut acquire in pending {
            for index in 0..acquire.demands.len() {
                let demand = acquire.demands[index];
                if self.try_grant(acquire.lease, &demand) {
                    acquire.demands[index].required = Tokens::ZERO;
                    acquire.demands[index].prefetch = Tokens::ZERO;
                }
            }
            let satisfied = acquire
                .demands
                .iter()
                .all(|demand| demand.required.is_zero());
            if satisfied || self.now >= acquire.deadline {
                let granted = acquire.demands.iter().map(|demand| TokenGrant {
                    team: demand.team,
                    total: self.share.grant(acquire.lease, demand.team).granted,
                    unmet: !demand.required.is_zero(),
                });
                let granted = granted.collect();
                self.respond(acquire.reply, PeerResponse::Granted(granted));
            } else {
                self.pending_acquires.push(acquire);
            }
        }
    }

    /// Grants tokens for a demand; returns whether the required tokens are granted.
    pub(super) fn try_grant(&mut self, lease: LeaseId, demand: &Demand) -> bool {
        let Demand {
            team,
            required: required_tokens,
            prefetch: prefetch_tokens,
            ..
        } = *demand;
        let allocated = self.state.ledger.allocated(self.id, team);
        let event =
            self.share
                .decide_grant(lease, team, required_tokens, prefetch_tokens, allocated);
        let satisfied = required_tokens.is_zero() || event.is_some();
        if let Some(event) = event {
            self.record_event(event);
        }
        satisfied
    }

    pub(super) fn close_lease(&mut self, lease: LeaseId) {
        if self.share.leases().any(|open| open == lease) {
            self.record_event(Event::LeaseClosed(lease));
        }
        self.lease_holders.remove(lease);
        self.holder_addresses.remove(&lease);
    }

    pub(super) fn on_receipts(&mut self, receipts: &[Receipt], reply: ResponseSender) {
        let mut bills = Vec::with_capacity(receipts.len());
        for receipt in receipts {
            let (bill, event) = self.share.decide_receipt(receipt);
            if let Some(event) = event {
                self.record_event(event);
            }
            bills.push(bill);
        }
        self.respond(reply, PeerResponse::Bills(bills));
    }

    /// Forms the next batch for the ledger or, if `resend` is set, sends an overdue one
    /// again.
    pub(super) fn post_next_batch(&mut self, resend: bool) {
        let requests = self.changed_demands();
        if self.share.unconfirmed_batch().is_none()
            && (self.share.has_pending() || !requests.is_empty())
        {
            self.post_batch(requests, &[]);
            return;
        }
        let overdue = self.now.since(self.batch_sent) >= BATCH_RETRY_INTERVAL;
        if resend && overdue && self.share.unconfirmed_batch().is_some() {
            self.send_batch();
        }
    }

    pub(super) fn post_batch(
        &mut self,
        requests: Vec<(TeamId, KeeperDemand)>,
        returns: &[(TeamId, Tokens)],
    ) {
        let postings = requests
            .iter()
            .map(|&(team, keeper_demand)| Posting::Request {
                team,
                demand: keeper_demand,
            })
            .collect();
        let event = self
            .share
            .decide_batch(postings, returns, &self.state.ledger);
        if let Some(event) = event {
            self.requested_demands.extend(requests);
            self.requested_demands
                .retain(|_, demand| !demand.required.is_zero());
            self.record_event(event);
            self.send_batch();
        }
    }

    pub(super) fn send_batch(&mut self) {
        let Some(batch) = self.share.unconfirmed_batch().cloned() else {
            return;
        };
        self.batch_sent = self.now;
        let command = StateCommand::Ledger(Command::Post(batch));
        if self.replica.role() == Role::Leader {
            let Ok(data) = postcard::to_stdvec(&command) else {
                return;
            };
            if let Ok((_, effects)) = self.replica.propose(data) {
                self.collect_effects(effects);
            }
            return;
        }
        let leader = self.replica.leader();
        let address = leader.and_then(|leader| self.peers.get(&leader).copied());
        if let Some(address) = address
            && let Ok(data) = postcard::to_stdvec(&command)
        {
            self.outputs
                .push(Output::Notify(address, PeerRequest::Propose(data)));
        }
    }

    /// Returns the demands that differ from those last posted to the ledger.
    pub(super) fn changed_demands(&mut self) -> Vec<(TeamId, KeeperDemand)> {
        let mut required_tokens: BTreeMap<TeamId, Tokens> = BTreeMap::new();
        for acquire in &self.pending_acquires {
            for demand in acquire.demands.iter().filter(|d| !d.required.is_zero()) {
                let required = required_tokens.entry(demand.team).or_default();
                *required = required.saturating_add(demand.required);
            }
        }
        for team in self.requested_demands.keys() {
            required_tokens.entry(*team).or_default();
        }
        let mut changed = Vec::new();
        for (team, required) in required_tokens {
            let allocated = self.state.ledger.allocated(self.id, team);
            let shortfall = required.saturating_sub(self.share.available(team, allocated));
            let requested = self
                .requested_demands
                .get(&team)
                .map_or(Tokens::ZERO, |demand| demand.required);
            if shortfall != requested {
                let prefetch_tokens = if shortfall.is_zero() {
                    Tokens::ZERO
                } else {
                    self.prefetch_demand.remove(&team).unwrap_or_default()
                };
                changed.push((
                    team,
                    KeeperDemand {
                        required: shortfall,
                        prefetch: prefetch_tokens,
                    },
                ));
            }
        }
        changed
    }

    /// Recalls tokens for pending requests from other holders of this keeper's grants.
    pub(super) fn recall_for_pending_acquires(&mut self) {
        let mut required_tokens: BTreeMap<TeamId, (Tokens, Vec<LeaseId>)> = BTreeMap::new();
        for acquire in &self.pending_acquires {
            for demand in acquire.demands.iter().filter(|d| !d.required.is_zero()) {
                let (required, leases) = required_tokens.entry(demand.team).or_default();
                *required = required.saturating_add(demand.required);
                leases.push(acquire.lease);
            }
        }
        for (team, (required, excluded)) in required_tokens {
            self.recall_tokens(team, required, &excluded);
        }
    }

    pub(super) fn recall_tokens(&mut self, team: TeamId, required: Tokens, excluded: &[LeaseId]) {
        let last = self.last_recalled.get(&team).copied().unwrap_or_default();
        if last != Time(0) && self.now.since(last) < MIN_RECALL_INTERVAL {
            return;
        }
        self.last_recalled.insert(team, self.now);
        for (lease, _) in self.share.holders(team) {
            if excluded.contains(&lease) {
                continue;
            }
            if let Some(&address) = self.holder_addresses.get(&lease) {
                self.outputs.push(Output::Recall(address, team, required));
            }
        }
    }

    /// Returns idle tokens to the ledger if requests at other keepers wait for them and are
    /// served before those that wait at this one.
    pub(super) fn return_idle_tokens(&mut self) {
        let teams: Vec<TeamId> = self.state.ledger.waiting_teams().collect();
        if teams.is_empty() {
            return;
        }
        let mut returns = Vec::new();
        for team in teams {
            let Some(account) = self.state.ledger.account(team) else {
                continue;
            };
            let own_required = account
                .allocations
                .get(&self.id)
                .map_or(Tokens::ZERO, |p| p.demand.required);
            let required = account.deficit().saturating_sub(own_required);
            let has_demand = !own_required.is_zero() || self.requested_demands.contains_key(&team);
            // Of keepers whose shares cover no request, all but the first give theirs up.
            let is_behind = !own_required.is_zero() && account.first_waiting() != Some(self.id);
            if required.is_zero() || has_demand && !is_behind {
                continue;
            }
            let allocated = self.state.ledger.allocated(self.id, team);
            let available = self.share.available(team, allocated);
            if !available.is_zero() {
                returns.push((team, required));
            }
            let shortfall = required.saturating_sub(available);
            if !shortfall.is_zero() {
                self.recall_tokens(team, shortfall, &[]);
            }
        }
        if !returns.is_empty() && self.share.unconfirmed_batch().is_none() {
            self.post_batch(Vec::new(), &returns);
        }
    }

    /// Requests an even share of the active budgets from the ledger.
    pub(super) fn request_standby_tokens(&mut self) {
        let now = self.now;
        self.last_acquired
            .retain(|_, at| now.since(*at) < ACTIVE_BUDGET_TIMEOUT);
        if self.share.unconfirmed_batch().is_some() {
            return;
        }
        let mut requests = Vec::new();
        for &team in self.last_acquired.keys() {
            let shortfall = self.share.standby_shortfall(team, &self.state.ledger);
            if !shortfall.is_zero() && !self.requested_demands.contains_key(&team) {
                let none = Tokens::ZERO;
                requests.push((
                    team,
                    KeeperDemand {
                        required: none,
                        prefetch: shortfall,
                    },
                ));
            }
        }
        if !requests.is_empty() {
            self.post_batch(requests, &[]);
        }
    }
}
