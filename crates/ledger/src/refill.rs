//! When an entry draws tokens from the ledger.
//!
//! Load pattern: entries whose teams hold less than they would like, because tokens are scarce
//! or demand declines. Each draw is a commit at all replicas, and grants last for seconds, so
//! only a request that waits is a reason to draw at once.

use base::Span;
use base::Time;

use crate::allowance::Demand;
use crate::grants::Grants;

/// Time between two draws for which no request waits.
const REFILL_INTERVAL: Span = Span::millis(250);

/// The pace of an entry's draws.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refill {
    drawn: Option<Time>,
}

impl Refill {
    /// Returns the demands to send now, if any, and records that they are sent. A change of
    /// the witnesses is told at once, even without demands.
    pub fn next_draw(&mut self, grants: &mut Grants, now: Time) -> Option<Vec<Demand>> {
        let is_urgent = grants.proposal_pending() || grants.lacks_grant();
        let waits = self.drawn.is_some_and(|at| at.until(now) < REFILL_INTERVAL);
        let demands = grants.demands(now);
        if !is_urgent && (waits || demands.is_empty()) {
            return None;
        }
        self.drawn = Some(now);
        Some(demands)
    }
}
