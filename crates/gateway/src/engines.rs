//! What engines tell this process, and what peers tell of engines.
//!
//! An engine that leaves says so once and takes the acknowledgement for final. It is
//! acknowledged when the peers that this process reaches hold it, so that the news outlives
//! this process.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use base::Time;
use fleet::mesh::ReceivedAnnouncement;
use fleet::peers::HOLD_TIMEOUT;
use futures_lite::FutureExt as _;
use platform::announce;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use thiserror::Error;

use crate::state::ProcessContext;
use crate::state::ProcessState;

/// The news that an engine leaves isn't acknowledged: too few peers have confirmed it in time,
/// or it isn't recorded here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no other process holds this yet")]
pub struct NotHeld;

/// Applies an engine's announcement; returns once it may be acknowledged.
///
/// # Errors
///
/// Fails if the engine leaves and that isn't recorded here, or too few peers confirm it in time.
pub async fn announce(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) -> Result<(), NotHeld> {
    let announcement = match announce::parse(id, body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!("engine: event=announced engine={id} outcome=unreadable reason=\"{error}\"");
            // Sending it to another process would not help, so the response isn't an error.
            return Ok(());
        }
    };
    let now = shared.now();
    let (phase, sequence, started_ms, cold_ms) = (
        announcement.phase,
        announcement.sequence,
        announcement.started_ms,
        announcement.cold_ms,
    );
    let update = hear(shared, announcement, now);
    if update == DirectoryUpdate::Changed {
        log::info!(
            "engine: event=announced engine={id} phase={phase:?} sequence={sequence} born={started_ms}"
        );
        if cold_ms > 0 {
            log::info!("engine: event=cold engine={id} left_ms={cold_ms}");
        }
        shared.update_needed.notify(usize::MAX);
    }
    if phase == Phase::Ready {
        return Ok(());
    }
    if update == DirectoryUpdate::Rejected {
        log::warn!("engine: event=refused engine={id} reason=\"it isn't recorded here\"");
        return Err(NotHeld);
    }
    await_holders(shared, id, now).await
}

/// Records the end of an engine's run; returns once it may be acknowledged.
///
/// # Errors
///
/// Fails if too few peers confirm it in time, or if the run isn't known here but an earlier one
/// is, or if nothing tells which run it is: another process may know it.
pub async fn end(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) -> Result<(), NotHeld> {
    let now = shared.now();
    let started_ms = match announce::parse_deregistration(body) {
        Ok(started_ms) => started_ms,
        Err(error) => {
            log::warn!("engine: event=left engine={id} outcome=unreadable reason=\"{error}\"");
            return Ok(());
        }
    };
    let (known, recorded) = hear_end(shared, id, started_ms, now);
    log::info!("engine: event=left engine={id} born={started_ms:?} known={known}");
    shared.update_needed.notify(usize::MAX);
    if !recorded && !shared.state().is_alone(&shared.own_member) {
        return Err(NotHeld);
    }
    await_holders(shared, id, now).await
}

fn hear(shared: &ProcessContext, announcement: EngineAnnouncement, now: Time) -> DirectoryUpdate {
    let mut state = shared.state();
    let ProcessState {
        peers, directory, ..
    } = &mut *state;
    let update = peers.hear_engine(directory, announcement, now);
    if update == DirectoryUpdate::Changed {
        state.update_engine_pools(shared, now);
    }
    update
}

/// Returns whether the engine `id` was known, and whether the end of its run is recorded.
fn hear_end(shared: &ProcessContext, id: &str, started_ms: Option<u64>, now: Time) -> (bool, bool) {
    let mut state = shared.state();
    let ProcessState {
        peers, directory, ..
    } = &mut *state;
    let known = directory.get(id).is_some();
    let recorded = peers.hear_end(directory, id, started_ms, now);
    state.update_engine_pools(shared, now);
    (known, recorded)
}

/// Waits until the peers that this process reaches hold the state of the engine `id`, which it
/// has recorded at `since`.
async fn await_holders(shared: &ProcessContext, id: &str, since: Time) -> Result<(), NotHeld> {
    let deadline = since + HOLD_TIMEOUT;
    let mut waits = false;
    loop {
        let listener = shared.peers_changed.listen();
        let now = shared.now();
        let (spread, is_alone) = {
            let state = shared.state();
            let is_alone = state.is_alone(&shared.own_member);
            (state.peers.spread(id, now), is_alone)
        };
        if is_alone || spread.is_complete() && !waits {
            return Ok(());
        }
        if spread.is_complete() || now >= deadline {
            let is_held = spread.is_enough();
            let waited = since.until(now);
            shared.metrics.record_departure(waited, is_held);
            log::info!(
                "engine: event=held engine={id} outcome={} holders={} pending={} ms={}",
                if is_held { "acknowledged" } else { "refused" },
                spread.holders,
                spread.pending,
                waited.as_millis()
            );
            return if is_held { Ok(()) } else { Err(NotHeld) };
        }
        waits = true;
        let tick = async {
            Timer::after(now.until(deadline).into()).await;
        };
        listener.or(tick).await;
    }
}

/// Applies what the process of a run, at an address, has told of engines.
pub fn learn(
    shared: &ProcessContext,
    state: &mut ProcessState,
    announcements: Vec<ReceivedAnnouncement>,
    from: (u64, SocketAddr),
    now: Time,
) {
    let (run, address) = from;
    let mut changed = false;
    for heard in announcements {
        let id = heard.announcement.id.clone();
        let (phase, age_ms) = (heard.announcement.phase, heard.age_ms);
        let directory = &mut state.directory;
        match state.peers.learn_engine(directory, heard, run, now) {
            DirectoryUpdate::Changed => {
                changed = true;
                log::info!(
                    "engine: event=learned engine={id} phase={phase:?} from={address} age_ms={age_ms}"
                );
            }
            DirectoryUpdate::Stale => {
                log::debug!(
                    "engine: event=corrected engine={id} phase={phase:?} peer={address} age_ms={age_ms}"
                );
            }
            DirectoryUpdate::Known | DirectoryUpdate::Refreshed | DirectoryUpdate::Rejected => {}
        }
    }
    if changed {
        state.update_engine_pools(shared, now);
    }
}
