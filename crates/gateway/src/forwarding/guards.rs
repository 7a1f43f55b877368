//! Guards that release a request's charge and its load on an engine when they are dropped,
//! however the request ends.

use std::sync::Arc;

use base::Span;
use base::Time;
use routing::directory::EngineAnnouncement;
use routing::placement::EngineChoice;
use routing::placement::EngineLoad;

use super::cancellation;
use super::cancellation::AbandonedConn;
use crate::state::ProcessContext;

/// A charge against a team's budget, settled when dropped. If the request is dropped before
/// its engine has begun to answer, the engine may still state that it didn't run it.
pub struct ChargeGuard<'a> {
    /// The state of the process.
    pub shared: &'a Arc<ProcessContext>,
    /// The charge.
    pub charge: Charge,
    /// Whether an engine has begun to answer, or may have executed an earlier attempt.
    pub started: bool,
    /// The connection that the request leaves if it's dropped.
    pub abandoned: AbandonedConn,
}

/// The tokens charged for a request.
#[derive(Clone, Debug, Default)]
pub struct Charge {
    /// The request's identifier.
    pub request_id: Option<String>,
    /// The lease under which the request was charged.
    pub lease: u64,
    /// The team.
    pub team: String,
    /// The number of tokens charged.
    pub charged: u64,
    /// The number of tokens used so far.
    pub used: u64,
    /// The number of events received so far.
    pub events: u64,
}

impl Charge {
    /// Settles the charge with the tokens used.
    fn settle(&self, shared: &ProcessContext) {
        let mut state = shared.state();
        let (charged, used) = (self.charged, self.used);
        state.grants.settle(self.lease, &self.team, charged, used);
        drop(state);
        log::info!(
            "request: id={} event=settled lease={:x} team={} charged={charged} used={used} events={}",
            self.request_id.as_deref().unwrap_or("-"),
            self.lease,
            self.team,
            self.events
        );
    }
}

impl Drop for ChargeGuard<'_> {
    fn drop(&mut self) {
        let mut charge = std::mem::take(&mut self.charge);
        let abandoned = self.abandoned.take().filter(|_| !self.started);
        let Some(conn) = abandoned else {
            charge.settle(self.shared);
            return;
        };
        let shared = Arc::clone(self.shared);
        let pool = shared.pool.clone();
        pool.spawn(async move {
            if cancellation::cancel_unstarted(conn, charge.request_id.as_deref()).await {
                charge.used = 0;
            }
            charge.settle(&shared);
        });
    }
}

/// A request dispatched to an engine, removed from the engine's load when dropped.
pub struct DispatchGuard<'a> {
    /// The state of the process.
    pub shared: &'a ProcessContext,
    /// The service.
    pub service: &'a str,
    /// The chosen engine.
    pub choice: EngineChoice,
    /// Its run.
    pub engine: &'a EngineAnnouncement,
    /// The load that the request still puts on the engine.
    pub load: EngineLoad,
    /// Whether the request was sent.
    pub sent: bool,
    /// Whether the engine failed the request.
    pub failed: bool,
}

impl DispatchGuard<'_> {
    /// Records that the request is sent now.
    pub fn record_sent(&mut self, now: Time) {
        self.sent = true;
        let mut state = self.shared.state();
        let Some(pool) = state.engine_pools.get_mut(self.service) else {
            return;
        };
        pool.record_sent(self.choice.engine, true, now);
        let warm_up = pool.warm_up_mut(self.choice.engine);
        if warm_up.is_some_and(|warm_up| warm_up.is_cold(now)) {
            self.shared.metrics.record_warm_up_request();
        }
    }

    /// Records that the response began `elapsed` after the request was sent.
    pub fn record_first_event(&mut self, elapsed: Span) {
        let now = self.shared.now();
        // The time for which the event has waited for this process isn't the engine's.
        let own_delay_ms = self.shared.load_monitor.delay_ms();
        let mut state = self.shared.state();
        if let Some(pool) = state.engine_pools.get_mut(self.service)
            && self.load.prefill_tokens > 0
        {
            #[allow(clippy::cast_precision_loss)]
            let elapsed_ms = (elapsed.0 as f64 / 1e3 - own_delay_ms).max(1.0);
            self.load = pool.record_first_event(&self.choice, elapsed_ms, now);
            drop(state);
            self.shared.waiting_rooms.notify_room();
        }
    }
}

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(pool) = state.engine_pools.get_mut(self.service) {
            if !self.sent {
                pool.record_sent(self.choice.engine, false, self.shared.now());
            }
            pool.record_completion(self.choice.engine, self.load, self.failed);
        }
        drop(state);
        self.shared.waiting_rooms.notify_room();
    }
}
