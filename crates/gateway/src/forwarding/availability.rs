//! Whether an engine may still be sent a request.

use base::Span;
use base::Time;
use routing::Availability;
use routing::directory::EngineAnnouncement;
use routing::placement::EnginePool;

use super::RequestForwarder;
use crate::state::ProcessState;

/// Returns the labels of the engines' states with the number of engines in each.
fn count_states(pool: &EnginePool, now: Time) -> String {
    let labels: Vec<&str> = pool.availabilities(now).map(Availability::label).collect();
    let counts = Availability::LABELS.iter().filter_map(|label| {
        let count = labels.iter().filter(|other| *other == label).count();
        (count > 0).then(|| format!("{label}:{count}"))
    });
    counts.collect::<Vec<String>>().join(",")
}

impl RequestForwarder<'_> {
    /// Returns whether the engine `key` still takes requests; logs it if not.
    pub(super) fn accepts_request(&self, key: u64, engine: &EngineAnnouncement) -> bool {
        let now = self.shared.now();
        let state = self.shared.state();
        let pool = state.engine_pools.get(self.service);
        let availability = pool.map(|pool| pool.availability(key, now));
        drop(state);
        let accepts = availability.is_some_and(Availability::allows_requests);
        if !accepts {
            log::info!(
                "request: id={} event=moved engine={} state={}",
                self.request.metadata.id.as_deref().unwrap_or("-"),
                engine.id,
                availability.map_or("unknown", Availability::label)
            );
        }
        accepts
    }

    /// Logs that no engine can be sent the request, with the number of engines by state.
    pub(super) fn log_no_engine(&self, state: &ProcessState) {
        let now = self.shared.now();
        let pool = state.engine_pools.get(self.service);
        let states = pool.map(|pool| count_states(pool, now)).unwrap_or_default();
        let pause_left = pool.and_then(|pool| pool.pause_left(now));
        log::info!(
            "request: id={} event=no_engine service={} states={states} pause_ms={} tried={}",
            self.request.metadata.id.as_deref().unwrap_or("-"),
            self.service,
            pause_left.map_or(0, Span::as_millis),
            self.tried_engines.len()
        );
    }

    /// Returns the time until the first pause ends, in milliseconds, if all engines have
    /// asked for one.
    pub(super) fn pause_left_ms(&self) -> Option<u64> {
        let now = self.shared.now();
        let state = self.shared.state();
        let pool = state.engine_pools.get(self.service)?;
        pool.pause_left(now).map(Span::as_millis)
    }
}
