//! When a lease's rest may be taken back.
//!
//! A lease that isn't renewed ends. Its rest is free again once every agent that
//! could hold a receipt of it has said that it holds none and bars the lease.
//! Where an agent was lost meanwhile, the rest is held until an operator decides.

use base::AgentId;
use base::LeaseId;
use base::Map;
use base::Set;
use base::Span;
use base::Time;

use crate::share::Share;
use crate::wallet::DRIFT_PPM;
use crate::wallet::LEASE;

/// How long after its lease's end an entry's last message may still arrive.
const GRACE: Span = Span::secs(2);

/// What is known of one lease's holder.
#[derive(Clone, Debug, Default)]
struct Tenancy {
    renewed: Time,
    cleared: Set<AgentId>,
}

/// What may be done about a lease that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The lease lasts.
    Live,
    /// These agents have still to answer.
    Waiting(Vec<AgentId>),
    /// These agents are lost: only an operator can decide.
    Held(Vec<AgentId>),
    /// The rest may be taken back.
    Clear,
}

/// The holders of all open leases.
#[derive(Clone, Debug, Default)]
pub struct Tenancies {
    table: Map<LeaseId, Tenancy>,
}

impl Tenancies {
    /// Returns the tenancies of a share that was read back at `now`.
    ///
    /// What happened before the restart is unknown, so each lease counts as
    /// renewed just now.
    #[must_use]
    pub fn after_restart(share: &Share, now: Time) -> Self {
        let mut tenancies = Self::default();
        for lease in share.leases() {
            tenancies.renew(lease, now);
        }
        tenancies
    }

    /// Returns whether the holder of `lease` may draw at `now`.
    ///
    /// A lease that is over isn't opened again: its holder, suspended perhaps, still
    /// counts on grants that were taken back. Only a holder that says it's `fresh`,
    /// that it was never granted anything, opens a lease.
    #[must_use]
    pub fn admits(&self, lease: LeaseId, fresh: bool, share: &Share, now: Time) -> bool {
        let known = self.table.contains_key(&lease) || share.has(lease);
        (known || fresh) && !self.ended(lease, now)
    }

    /// Notes that the holder of `lease` was heard at `now`.
    pub fn renew(&mut self, lease: LeaseId, now: Time) {
        let tenancy = self.table.entry(lease).or_default();
        tenancy.renewed = tenancy.renewed.max(now);
        tenancy.cleared.clear();
    }

    /// Notes that `agent` holds no receipt of `lease` and bars it.
    pub fn clear(&mut self, lease: LeaseId, agent: AgentId) {
        if let Some(tenancy) = self.table.get_mut(&lease) {
            tenancy.cleared.insert(agent);
        }
    }

    /// Forgets a closed lease.
    pub fn close(&mut self, lease: LeaseId) {
        self.table.remove(&lease);
    }

    /// Returns whether the holder of `lease` may no longer use it.
    #[must_use]
    pub fn ended(&self, lease: LeaseId, now: Time) -> bool {
        let Some(tenancy) = self.table.get(&lease) else {
            return false;
        };
        now >= tenancy.renewed + LEASE.with_drift(DRIFT_PPM) + GRACE
    }

    /// Returns what may be done about `lease`.
    #[must_use]
    pub fn standing(&self, lease: LeaseId, share: &Share, now: Time) -> Standing {
        if !self.ended(lease, now) {
            return Standing::Live;
        }
        let lost = share.lost(lease);
        if !lost.is_empty() {
            return Standing::Held(lost);
        }
        let cleared = |agent: &AgentId| {
            let tenancy = self.table.get(&lease);
            tenancy.is_some_and(|tenancy| tenancy.cleared.contains(agent))
        };
        let mut waiting = share.askable(lease);
        waiting.retain(|agent| !cleared(agent));
        if waiting.is_empty() {
            Standing::Clear
        } else {
            Standing::Waiting(waiting)
        }
    }
}
