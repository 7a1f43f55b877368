//! What a pool knows of its cold engines, and the requests that were sent to them.

use base::Span;
use base::Time;

use super::EnginePool;
use super::EngineState;
use super::PlacementRequest;
use crate::warm_up::WarmUp;

impl EnginePool {
    /// Records that a dispatched request was sent, or that it won't be.
    pub fn record_sent(&mut self, engine: u64, sent: bool, now: Time) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            if sent {
                engine.warm_up.record_sent(now);
            } else {
                engine.warm_up.release();
            }
        }
    }

    /// Gives access to what is known of an engine's warm-up.
    pub fn warm_up_mut(&mut self, engine: u64) -> Option<&mut WarmUp> {
        self.engines
            .get_mut(&engine)
            .map(|engine| &mut engine.warm_up)
    }

    /// Returns how long each cold engine stays cold.
    pub fn cold_engines(&self, now: Time) -> impl Iterator<Item = Span> + '_ {
        let engines = self.engines.values().filter(|e| !e.status.is_excluded());
        let left = engines.map(move |engine| engine.warm_up.time_left(now));
        left.filter(|&left| left > Span(0))
    }

    /// Returns when the first of the cold engines bears another request.
    pub(super) fn warm_up_wait(&self, request: &PlacementRequest<'_>, now: Time) -> Option<Span> {
        let usable = |(id, engine): &(&u64, &EngineState)| {
            engine.status.at(now).allows_requests() && !request.excluded_engines.contains(id)
        };
        let engines = self.engines.iter().filter(usable);
        engines
            .filter_map(|(_, engine)| engine.warm_up.wait(now))
            .min()
    }
}
