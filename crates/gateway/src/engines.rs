//! What engines tell this process, and what peers tell of engines.
//!
//! An engine that leaves says so once and takes the acknowledgement for final. It is
//! acknowledged when the replicated log has committed it, so that the news outlives all
//! processes, and the peers that this process reaches have had the time to confirm it. On a site
//! without a log, the peers must hold it.

use std::net::SocketAddr;
use std::sync::Arc;

use async_io::Timer;
use base::Time;
use fleet::mesh::ReceivedAnnouncement;
use fleet::peers::HOLD_TIMEOUT;
use fleet::peers::Spread;
use futures_lite::FutureExt as _;
use futures_lite::future;
use platform::announce;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use thiserror::Error;

use crate::departures;
use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Why the news that an engine leaves isn't acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DepartureError {
    /// It isn't recorded here: its run isn't the one that is known here, or there are too many
    /// engines.
    #[error("this isn't recorded here")]
    NotRecorded,
    /// The replicated log hasn't committed it in time.
    #[error("no majority holds this yet")]
    NotCommitted,
    /// The site has no replicated log, and too few peers have confirmed it in time.
    #[error("no other process holds this yet")]
    NotHeld,
}

/// Logs that the news of the engine `id` is refused, and returns the cause.
fn refuse(shared: &ProcessContext, id: &str, cause: DepartureError) -> DepartureError {
    shared.metrics.record_departure_refused();
    log::warn!("engine: event=refused engine={id} cause={cause:?} reason=\"{cause}\"");
    cause
}

/// Applies an engine's announcement; returns once it may be acknowledged.
///
/// # Errors
///
/// Fails if the engine leaves and that isn't recorded, or not held in time.
pub async fn announce(
    shared: &Arc<ProcessContext>,
    id: &str,
    body: &[u8],
) -> Result<(), DepartureError> {
    let announcement = match announce::parse(id, body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!("engine: event=announced engine={id} outcome=unreadable reason=\"{error}\"");
            // Sending it to another process would not help, so the response isn't an error.
            return Ok(());
        }
    };
    let now = shared.now();
    let update = hear(shared, announcement.clone(), now);
    if update == DirectoryUpdate::Changed {
        log_change(&announcement);
        shared.update_needed.notify(usize::MAX);
    }
    if announcement.phase == Phase::Ready {
        return Ok(());
    }
    if update == DirectoryUpdate::Rejected {
        return Err(refuse(shared, id, DepartureError::NotRecorded));
    }
    await_holders(shared, announcement, now).await
}

fn log_change(announcement: &EngineAnnouncement) {
    let EngineAnnouncement {
        id,
        started_ms,
        sequence,
        phase,
        cold_ms,
        ..
    } = announcement;
    log::info!(
        "engine: event=announced engine={id} phase={phase:?} sequence={sequence} born={started_ms}"
    );
    if *cold_ms > 0 {
        log::info!("engine: event=cold engine={id} left_ms={cold_ms}");
    }
}

/// Records the end of an engine's run; returns once it may be acknowledged.
///
/// # Errors
///
/// Fails if it isn't held in time, or if the run isn't known here but an earlier one is, or if
/// nothing tells which run it is: another process may know it.
pub async fn end(
    shared: &Arc<ProcessContext>,
    id: &str,
    body: &[u8],
) -> Result<(), DepartureError> {
    let now = shared.now();
    let started_ms = match announce::parse_deregistration(body) {
        Ok(started_ms) => started_ms,
        Err(error) => {
            log::warn!("engine: event=left engine={id} outcome=unreadable reason=\"{error}\"");
            return Ok(());
        }
    };
    let (known, end) = hear_end(shared, id, started_ms, now);
    log::info!("engine: event=left engine={id} born={started_ms:?} known={known}");
    shared.update_needed.notify(usize::MAX);
    match end {
        Some(end) => await_holders(shared, end, now).await,
        // No other process could know the run.
        None if shared.state().is_alone(&shared.own_member) => Ok(()),
        None => Err(refuse(shared, id, DepartureError::NotRecorded)),
    }
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

/// Returns whether the engine `id` was known, and the end of its run if that is recorded.
fn hear_end(
    shared: &ProcessContext,
    id: &str,
    started_ms: Option<u64>,
    now: Time,
) -> (bool, Option<EngineAnnouncement>) {
    let mut state = shared.state();
    let ProcessState {
        peers, directory, ..
    } = &mut *state;
    let known = directory.get(id).is_some();
    let recorded = peers.hear_end(directory, id, started_ms, now);
    let end = directory.end_of(id, started_ms).filter(|_| recorded);
    state.update_engine_pools(shared, now);
    (known, end)
}

/// Waits until the departure that an engine has told, which this process has recorded at `since`,
/// is held by the replicated log, or by enough peers on a site without one.
async fn await_holders(
    shared: &ProcessContext,
    told: EngineAnnouncement,
    since: Time,
) -> Result<(), DepartureError> {
    if is_held(shared, &told, since) {
        return Ok(());
    }
    let id = told.id.clone();
    let has_log = shared.state().has_log();
    let commit = async { has_log && departures::commit(shared, told).await };
    let (is_committed, spread) = future::zip(commit, await_spread(shared, &id, since)).await;
    let cause = match spread {
        _ if is_committed => None,
        _ if has_log => Some(DepartureError::NotCommitted),
        // A process that has just started may not have heard of a replica.
        Some(spread) if !spread.is_enough() || !knows_site(shared) => Some(DepartureError::NotHeld),
        _ => None,
    };
    let Spread { holders, pending } = spread.unwrap_or_default();
    let waited = since.until(shared.now());
    log::info!(
        "engine: event=held engine={id} outcome={} committed={is_committed} holders={holders} pending={pending} ms={}",
        cause.map_or("acknowledged", |_| "refused"),
        waited.as_millis()
    );
    if let Some(cause) = cause {
        return Err(refuse(shared, &id, cause));
    }
    shared.metrics.record_departure(waited);
    Ok(())
}

/// Returns whether a departure that an engine repeats is held already.
fn is_held(shared: &ProcessContext, told: &EngineAnnouncement, now: Time) -> bool {
    let state = shared.state();
    let is_spread = state.peers.spread(&told.id, now).is_complete();
    state.departures.covers(told) && (is_spread || state.is_alone(&shared.own_member))
}

/// Returns whether this process has had the time to hear of the other processes.
fn knows_site(shared: &ProcessContext) -> bool {
    shared.state().view.is_current(shared.now())
}

/// Waits until the peers that this process reaches hold the state of the engine `id`, or have
/// had the time to confirm it. Returns how many do; `None` if the site has no other process.
async fn await_spread(shared: &ProcessContext, id: &str, since: Time) -> Option<Spread> {
    let deadline = since + HOLD_TIMEOUT;
    loop {
        let listener = shared.peers_changed.listen();
        let now = shared.now();
        let (spread, is_alone) = {
            let state = shared.state();
            let is_alone = state.is_alone(&shared.own_member);
            (state.peers.spread(id, now), is_alone)
        };
        if is_alone {
            return None;
        }
        if spread.is_complete() || now >= deadline {
            return Some(spread);
        }
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
