//! A charge and a load, given back however a request ends.

use base::Span;
use routing::placement::EngineChoice;
use routing::placement::EngineLoad;

use crate::state::ProcessContext;

/// A charge against a team's budget, settled when dropped.
pub struct Charge<'a> {
    /// The process.
    pub shared: &'a ProcessContext,
    /// The lease that it was charged under.
    pub lease: u64,
    /// The team.
    pub team: String,
    /// What was charged.
    pub most: u64,
    /// What was used so far.
    pub used: u64,
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let (lease, most, used) = (self.lease, self.most, self.used);
        state.grants.settle(lease, &self.team, most, used);
    }
}

/// A request at an engine, taken off its load when dropped.
pub struct Flight<'a> {
    /// The process.
    pub shared: &'a ProcessContext,
    /// The service.
    pub service: &'a str,
    /// The place.
    pub choice: EngineChoice,
    /// The load that is left.
    pub load: EngineLoad,
    /// Whether the engine failed the request.
    pub failed: bool,
}

impl Flight<'_> {
    /// Notes the first bytes of the answer.
    pub fn started(&mut self, took: Span) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        if let Some(places) = state.engine_pools.get_mut(self.service)
            && self.load.prefill_tokens > 0
        {
            #[allow(clippy::cast_precision_loss)]
            let took_ms = took.0 as f64 / 1e3;
            self.load = places.record_first_event(&self.choice, took_ms, now);
        }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(places) = state.engine_pools.get_mut(self.service) {
            places.record_completion(self.choice.engine, self.load, self.failed);
        }
    }
}
