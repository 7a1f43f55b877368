//! Reclamation of the unspent tokens of ended leases.
//!
//! The input is renewals of leases and answers of agents. A lease that isn't renewed
//! ends. Its unspent tokens are available again once every agent that could hold a
//! receipt of it has confirmed that it holds none and rejects the lease from then on.
//! If an agent was lost meanwhile, the tokens are held until an operator decides.

use base::AgentId;
use base::LeaseId;
use base::Map;
use base::Set;
use base::Span;
use base::Time;

use crate::lease_budget::LEASE_DURATION;
use crate::lease_budget::MAX_DRIFT_PPM;
use crate::share::Share;

/// Longest time after the end of a lease in which a message of its holder may arrive.
const LATE_MESSAGE_GRACE: Span = Span::secs(2);

/// The state of one lease's holder.
#[derive(Clone, Debug, Default)]
struct LeaseHolder {
    renewed_at: Time,
    cleared_by: Set<AgentId>,
}

/// Whether a lease can be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReclaimStatus {
    /// The lease hasn't ended.
    Active,
    /// These agents haven't answered yet.
    AwaitingAgents(Vec<AgentId>),
    /// These agents are lost, so only an operator can release the lease.
    Blocked(Vec<AgentId>),
    /// The unspent tokens can be reclaimed.
    Reclaimable,
}

/// The holders of all open leases.
#[derive(Clone, Debug, Default)]
pub struct LeaseHolders {
    holders: Map<LeaseId, LeaseHolder>,
}

impl LeaseHolders {
    /// Returns the holders of the leases of a share that was recovered at `now`.
    ///
    /// Renewals before the restart aren't known, so each lease counts as renewed at
    /// `now`.
    #[must_use]
    pub fn after_restart(share: &Share, now: Time) -> Self {
        let mut holders = Self::default();
        for lease in share.leases() {
            holders.renew(lease, now);
        }
        holders
    }

    /// Returns whether the holder of `lease` may draw at `now`.
    ///
    /// A closed lease isn't opened again: its holder, which may have been suspended, still
    /// relies on grants that were reclaimed. Only a holder that reports that it was never
    /// granted anything (`is_new`) opens a lease.
    #[must_use]
    pub fn may_draw(&self, lease: LeaseId, is_new: bool, share: &Share, now: Time) -> bool {
        let known = self.holders.contains_key(&lease) || share.has_lease(lease);
        (known || is_new) && !self.has_ended(lease, now)
    }

    /// Records a message from the holder of `lease` at `now`.
    pub fn renew(&mut self, lease: LeaseId, now: Time) {
        let holder = self.holders.entry(lease).or_default();
        holder.renewed_at = holder.renewed_at.max(now);
        holder.cleared_by.clear();
    }

    /// Records that `agent` holds no receipt of `lease` and rejects it from now on.
    pub fn record_clearance(&mut self, lease: LeaseId, agent: AgentId) {
        if let Some(holder) = self.holders.get_mut(&lease) {
            holder.cleared_by.insert(agent);
        }
    }

    /// Removes a closed lease.
    pub fn remove(&mut self, lease: LeaseId) {
        self.holders.remove(&lease);
    }

    /// Returns whether the holder of `lease` may no longer use it.
    #[must_use]
    pub fn has_ended(&self, lease: LeaseId, now: Time) -> bool {
        let Some(holder) = self.holders.get(&lease) else {
            return false;
        };
        now >= holder.renewed_at + LEASE_DURATION.with_drift(MAX_DRIFT_PPM) + LATE_MESSAGE_GRACE
    }

    /// Returns whether `lease` can be reclaimed.
    #[must_use]
    pub fn reclaim_status(&self, lease: LeaseId, share: &Share, now: Time) -> ReclaimStatus {
        if !self.has_ended(lease, now) {
            return ReclaimStatus::Active;
        }
        let lost = share.lost_agents(lease);
        if !lost.is_empty() {
            return ReclaimStatus::Blocked(lost);
        }
        let cleared = |agent: &AgentId| {
            let holder = self.holders.get(&lease);
            holder.is_some_and(|holder| holder.cleared_by.contains(agent))
        };
        let mut waiting = share.agents_to_query(lease);
        waiting.retain(|agent| !cleared(agent));
        if waiting.is_empty() {
            ReclaimStatus::Reclaimable
        } else {
            ReclaimStatus::AwaitingAgents(waiting)
        }
    }
}
