//! The departures of engines in the replicated log.
//!
//! A departure is acknowledged once the log has committed it, so that it outlives all that an
//! accepted configuration outlives. A process that has started, or stood still, asks the leader
//! for the committed departures before it sends requests to engines.

use std::sync::Arc;

use async_io::Timer;
use base::Span;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;

use crate::leader_requests::LEADER_RETRY_DELAY;
use crate::leader_requests::LEADER_TIMEOUT;
use crate::leader_requests::request_leader;
use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Maximum wait for the leader to commit a departure, before a peer is asked that may reach it.
/// An engine waits a second for the acknowledgement.
const COMMIT_TIMEOUT: Span = Span::millis(550);

/// Returns the time of this process's own record of departures, in milliseconds since its start.
fn own_time_ms(now: Time) -> u64 {
    Time::default().until(now).as_millis()
}

/// Commits that an engine leaves, as it has told; returns whether the log holds it.
pub async fn commit(shared: &ProcessContext, told: EngineAnnouncement) -> bool {
    if shared.state().departures.covers(&told) {
        return true;
    }
    let request = MeshRequest::Depart(told.clone());
    let answer = request_leader(shared, &request, COMMIT_TIMEOUT).await;
    let is_committed = answer == MeshResponse::Done;
    if is_committed {
        let at_ms = own_time_ms(shared.now());
        shared.state().departures.record(told, at_ms);
    }
    is_committed
}

/// Applies departures that the log has committed, and tells the peers of those that are new.
pub fn learn(shared: &ProcessContext, departed: Vec<EngineAnnouncement>) {
    let now = shared.now();
    let mut guard = shared.state();
    let state = &mut *guard;
    let mut changed = false;
    for announcement in departed {
        let at_ms = own_time_ms(now);
        state.departures.record(announcement.clone(), at_ms);
        let (id, phase) = (announcement.id.clone(), announcement.phase);
        let update = state
            .peers
            .hear_engine(&mut state.directory, announcement, now);
        if update == DirectoryUpdate::Changed {
            changed = true;
            log::info!("engine: event=learned engine={id} phase={phase:?} from=log");
        }
    }
    if changed {
        state.update_engine_pools(shared, now);
        drop(guard);
        shared.update_needed.notify(usize::MAX);
    }
}

/// Asks the leader for the committed departures whenever this process may lack some, until it
/// ends.
pub async fn confirm_departures(shared: Arc<ProcessContext>) {
    loop {
        let listener = shared.view_outdated.listen();
        let (is_confirmed, has_log) = {
            let state = shared.state();
            let is_confirmed = state.view.unconfirmed().is_none();
            (is_confirmed, state.peers.knows_replica())
        };
        if is_confirmed {
            listener.await;
            continue;
        }
        if !has_log {
            shared.tick.listen().await;
            continue;
        }
        let sent = shared.now();
        let request = MeshRequest::LatestDepartures;
        let answer = request_leader(&shared, &request, LEADER_TIMEOUT).await;
        let MeshResponse::Departures(departed) = answer else {
            Timer::after(LEADER_RETRY_DELAY).await;
            continue;
        };
        log::info!("engine: event=confirmed departures={}", departed.len());
        learn(&shared, departed);
        let now = shared.now();
        let mut state = shared.state();
        state.view.confirm(sent);
        settle_view(&shared, &mut state, now);
    }
}

/// Lets requests that wait for a current view go on once it is current.
pub fn settle_view(shared: &ProcessContext, state: &mut ProcessState, now: Time) {
    let ProcessState { view, peers, .. } = state;
    if let Some(settled) = view.settle(peers, now) {
        log::info!(
            "gateway: event=view_current peers={} log={}",
            settled.peers,
            settled.log
        );
        shared.view_settled.notify(usize::MAX);
    }
}
