//! Selects the engine for an attempt. A first attempt that no engine can start in time waits
//! for room or is refused, as [`routing::waiting`] decides.

use base::Span;
use routing::admission;
use routing::directory::EngineAnnouncement;
use routing::engine_rates::LoadAhead;
use routing::placement::EngineChoice;
use routing::placement::EnginePool;
use routing::placement::PlacementError;
use routing::placement::PlacementRequest;
use routing::urgency::RequestNeed;
use routing::waiting::Refusal;
use routing::waiting::StartLimit;
use routing::waiting::Supply;

use super::RequestForwarder;
use super::rejection::RejectionCause;

type Selected = (EngineChoice, EngineAnnouncement);

impl RequestForwarder<'_> {
    /// Selects an engine after another one has failed.
    pub(super) fn select_retry_engine(&self) -> Result<Selected, RejectionCause> {
        let remaining_ms = self.remaining().as_millis();
        let limit = admission::max_ttft_ms(self.route.target_ms, self.priority, remaining_ms);
        self.select_engine(StartLimit::up_to(limit))
    }

    /// Selects the first engine, after a wait if none can start the request in time.
    pub(super) async fn select_or_wait(&self) -> Result<Selected, RejectionCause> {
        // Without a target nothing says when an answer is late. A process that stops has no
        // time to wait.
        if self.route.target_ms == 0 || self.shared.stopped_at().is_some() {
            return self.select_retry_engine();
        }
        let shared = self.shared;
        let rooms = &shared.waiting_rooms;
        let now = shared.now();
        let need = self.need();
        let limit = rooms.record_arrival(self.service, &need, now);
        let excess_ms = match self.select_engine(limit) {
            Err(RejectionCause::Overloaded(ms)) => ms,
            selected => return selected,
        };
        let id = self.request.metadata.id.as_deref().unwrap_or("-");
        let place = rooms
            .enter(self.service, need, excess_ms, self.supply(), now)
            .map_err(|refusal| self.refuse(refusal, 0))?;
        log::info!(
            "request: id={id} event=waits service={} excess_ms={excess_ms:.0} idle_ms={:.0}",
            self.service,
            need.idle_ms
        );
        let is_stopping = || shared.stopped_at().is_some();
        loop {
            place
                .wait_turn(|| shared.now(), || self.supply(), is_stopping)
                .await
                .map_err(|refusal| self.refuse(refusal, place.waited_ms(shared.now())))?;
            if is_stopping() {
                return Err(RejectionCause::Stopping);
            }
            match self.select_engine(place.start_limit(shared.now())) {
                Err(RejectionCause::Overloaded(ms)) => place.record_blocked(ms),
                Err(cause) => return Err(cause),
                Ok(selected) => {
                    let waited_ms = place.waited_ms(shared.now());
                    place.start(shared.now());
                    log::info!(
                        "request: id={id} event=starts waited_ms={waited_ms} expected_ms={:.0}",
                        selected.0.expected_ttft_ms
                    );
                    return Ok(selected);
                }
            }
        }
    }

    fn refuse(&self, refusal: Refusal, waited_ms: u64) -> RejectionCause {
        log::info!(
            "request: id={} event=no_room service={} cause={:?} waited_ms={waited_ms} after_ms={:.0}",
            self.request.metadata.id.as_deref().unwrap_or("-"),
            self.service,
            refusal.cause,
            refusal.after_ms
        );
        RejectionCause::Overloaded(refusal.after_ms)
    }

    /// Returns what the request needs.
    fn need(&self) -> RequestNeed {
        use std::hash::BuildHasher as _;
        let metadata = &self.request.metadata;
        let state = self.shared.state();
        let pool = state.engine_pools.get(self.service);
        let alone = LoadAhead {
            prefill_tokens: metadata.prompt_tokens,
            running_requests: 0,
        };
        let idle_ms = pool
            .filter(|_| metadata.prompt_tokens > 0)
            .map_or(0.0, |pool| pool.rates().ttft_ms(alone));
        RequestNeed {
            priority: self.priority,
            arrived: self.request.arrived_at,
            target: Span::millis(self.route.target_ms),
            deadline: self.deadline,
            work: metadata.max_tokens(),
            idle_ms,
            team: base::hash::hasher().hash_one(self.team),
            bytes: self.request.body.len() as u64,
        }
    }

    fn supply(&self) -> Supply {
        let now = self.shared.now();
        let state = self.shared.state();
        let pool = state.engine_pools.get(self.service);
        Supply {
            engines: pool.map_or(0, EnginePool::len),
            entries: state.count_entries(now),
        }
    }

    /// Selects an engine whose expected time to first token is within `limit`.
    fn select_engine(&self, limit: StartLimit) -> Result<Selected, RejectionCause> {
        let now = self.shared.now();
        let metadata = &self.request.metadata;
        let remaining_ms = now.until(self.deadline).as_millis();
        if remaining_ms == 0 {
            return Err(RejectionCause::DeadlineExceeded { sent: false });
        }
        let mut state = self.shared.state();
        let excluded_engines = self.excluded_engines(&state);
        let placement = PlacementRequest {
            prompt_tokens: metadata.prompt_tokens,
            max_output: metadata.max_output,
            segments: &metadata.segments,
            max_ttft_ms: limit.max_ms,
            excluded_engines: &excluded_engines,
        };
        let state = &mut *state;
        let pool = state
            .engine_pools
            .get_mut(self.service)
            .ok_or(RejectionCause::NoEngine)?;
        let choice = match pool.choose(&placement, now) {
            Ok(choice) => choice,
            Err(PlacementError::Overloaded(ms)) => return Err(RejectionCause::Overloaded(ms)),
            Err(PlacementError::NoEngine) => {
                self.log_no_engine(state);
                return Err(RejectionCause::NoEngine);
            }
            Err(PlacementError::Paused(left)) => {
                self.log_no_engine(state);
                return Err(RejectionCause::EnginesPaused(left.as_millis()));
            }
        };
        if let Some(excess_ms) = limit.excess_ms(choice.expected_ttft_ms) {
            return Err(RejectionCause::Overloaded(excess_ms));
        }
        pool.record_dispatch(&choice, &metadata.segments, now);
        if choice.load.prefill_tokens > 0 && !metadata.segments.is_empty() {
            state.sent_prompts.push(fleet::mesh::SentPrompt {
                engine: choice.engine,
                parts: metadata.segments.clone(),
            });
        }
        let engine = state.find_engine(choice.engine).cloned();
        engine
            .map(|engine| (choice, engine))
            .ok_or(RejectionCause::NoEngine)
    }
}
