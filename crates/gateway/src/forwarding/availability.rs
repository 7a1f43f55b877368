//! What engines say of themselves in their responses, and whether an engine may still be
//! sent a request.

use std::borrow::Cow;

use async_io::Timer;
use base::Span;
use base::Time;
use futures_lite::FutureExt as _;
use http::ResponseHead;
use platform::headers;
use routing::Availability;
use routing::directory::EngineAnnouncement;
use routing::home;
use routing::placement::EnginePool;

use super::RequestForwarder;
use super::guards::DispatchGuard;
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
    /// Records what an engine says of itself in a response.
    pub(super) fn record_notice(&self, guard: &DispatchGuard<'_>, head: &ResponseHead) {
        let notice = headers::engine_notice(head, self.request.metadata.id.as_deref());
        if notice.leaving {
            self.record_leaving(guard.engine);
        }
        let Some(pause_ms) = notice.pause_ms.filter(|&ms| ms > 0) else {
            return;
        };
        let now = self.shared.now();
        let mut state = self.shared.state();
        if let Some(pool) = state.engine_pools.get_mut(self.service) {
            pool.record_pause(guard.choice.engine, Span::millis(pause_ms), now);
        }
        drop(state);
        log::info!(
            "engine: event=paused engine={} for_ms={pause_ms}",
            guard.engine.id
        );
    }

    fn record_leaving(&self, engine: &EngineAnnouncement) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.connections.remove_engine(engine.address);
        if !state.directory.record_leaving(engine, now) {
            return;
        }
        state.peers.record_engine(&engine.id, now);
        state.update_engine_pools(self.shared, now);
        drop(state);
        log::info!(
            "engine: event=leaving engine={} born={}",
            engine.id,
            engine.started_ms
        );
        self.shared.update_needed.notify(usize::MAX);
    }

    /// Takes an engine that couldn't be reached to be cold for as long as one is after a start:
    /// it may have started again, and its announcement may be on the way.
    pub(super) fn presume_cold(&self, state: &mut ProcessState, key: u64, now: Time) {
        let index = state.site_index.clone();
        let service = index.as_deref().and_then(|site| site.service(self.service));
        let Some(warm_up) = service.and_then(|service| service.warm_up) else {
            return;
        };
        let pool = state.engine_pools.get_mut(self.service);
        if let Some(engine) = pool.and_then(|pool| pool.warm_up_mut(key)) {
            engine.presume_cold(now + Span::millis(warm_up.duration_ms));
        }
    }

    /// Returns the engines that the request may not be sent to: those that were tried, and
    /// those outside the homes of its route and team.
    pub(super) fn excluded_engines(&self, state: &ProcessState) -> Cow<'_, [u64]> {
        if self.homes.iter().all(|homes| homes.is_empty()) {
            return Cow::Borrowed(&self.tried_engines);
        }
        let regions = &self.shared.settings.domains;
        let is_outside = |domain: &str| {
            let region = regions.get(domain).map(String::as_str);
            !home::allows_region(&self.homes, region)
        };
        let engines = state.usable_engines();
        let outside = engines.filter_map(|(key, domain)| is_outside(domain).then_some(key));
        Cow::Owned(self.tried_engines.iter().copied().chain(outside).collect())
    }

    /// Waits while this process may have missed that engines have left, until the deadline at
    /// most.
    pub(super) async fn await_view(&self) {
        let settled = async {
            loop {
                let listener = self.shared.view_settled.listen();
                if self.shared.state().view.is_current(self.shared.now()) {
                    return;
                }
                listener.await;
            }
        };
        let late = async {
            Timer::after(self.remaining().into()).await;
        };
        settled.or(late).await;
    }

    /// Returns whether the engine `key` still takes requests; logs it if not.
    pub(super) fn accepts_request(&self, key: u64, engine: &EngineAnnouncement) -> bool {
        let now = self.shared.now();
        let state = self.shared.state();
        let pool = state.engine_pools.get(self.service);
        let availability = pool.map(|pool| pool.availability(key, now));
        let is_current = state.view.is_current(now);
        drop(state);
        let accepts = is_current && availability.is_some_and(Availability::allows_requests);
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
