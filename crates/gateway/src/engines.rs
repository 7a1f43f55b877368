//! What engines tell this process, and what peers tell of engines.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Time;
use fleet::mesh::ReceivedAnnouncement;
use platform::announce;
use routing::directory::DirectoryUpdate;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;

use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Applies an engine's announcement.
pub fn announce(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) {
    let announcement = match announce::parse(id, body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!("engine: event=announced engine={id} outcome=unreadable reason=\"{error}\"");
            // Sending it to another process would not help, so the response isn't an error.
            return;
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
    if phase != Phase::Ready {
        log_holders(shared, id, now);
    }
}

/// Records the end of an engine's run.
pub fn end(shared: &Arc<ProcessContext>, id: &str, body: &[u8]) {
    let now = shared.now();
    let started_ms = match announce::parse_deregistration(body) {
        Ok(started_ms) => started_ms,
        Err(error) => {
            log::warn!("engine: event=left engine={id} outcome=unreadable reason=\"{error}\"");
            return;
        }
    };
    let known = hear_end(shared, id, started_ms, now);
    log::info!("engine: event=left engine={id} born={started_ms:?} known={known}");
    shared.update_needed.notify(usize::MAX);
    log_holders(shared, id, now);
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

/// Returns whether the end of the engine's run is new here.
fn hear_end(shared: &ProcessContext, id: &str, started_ms: Option<u64>, now: Time) -> bool {
    let mut state = shared.state();
    let ProcessState {
        peers, directory, ..
    } = &mut *state;
    let known = peers.hear_end(directory, id, started_ms, now);
    if known {
        state.update_engine_pools(shared, now);
    }
    known
}

/// Logs how many peers hold the state of the engine `id` as it is acknowledged.
fn log_holders(shared: &ProcessContext, id: &str, now: Time) {
    let spread = shared.state().peers.spread(id, now);
    log::info!(
        "engine: event=held engine={id} outcome=acknowledged holders={} pending={}",
        spread.holders,
        spread.pending
    );
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
