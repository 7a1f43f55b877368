//! Records the high-water marks of what entries open of their grants at replicas, their
//! witnesses.
//!
//! An entry with a disk is its own witness while the disk responds. Other entries record
//! their marks at any replica that they reach, directly or through a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use base::KeeperId;
use base::Span;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;
use ledger::Grants;
use ledger::allowance::HighWaterMark;

use crate::group::Input;
use crate::group::Reply;
use crate::mesh::REACHABLE_TIMEOUT;
use crate::mesh::reachable_peers;
use crate::mesh::request_peer;
use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Time between two checks whether a mark must be raised.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a mark that no witness has recorded.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time without a response after which another witness is also asked: several round
/// trips and syncs.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait for one witness, and for all of them.
const MARK_TIMEOUT: Span = Span::millis(300);

/// Maximum wait for the local disk.
const DISK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a mark that no witness recorded for which the local disk counts as slow and is
/// tried only after the remote replicas.
const SLOW_DISK_PERIOD: Span = Span::millis(5_000);

/// Maximum number of peers asked to forward a mark to witnesses that can't be reached
/// directly.
const MAX_FORWARDERS: usize = 2;

/// A place where a mark can be recorded.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The local disk.
    LocalDisk(KeeperId),
    /// A replica.
    Replica(KeeperId, SocketAddr),
    /// Any of the replicas, through a peer that forwards the mark.
    Forwarder(SocketAddr),
}

/// The result of an attempt to record a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MarkOutcome {
    /// The mark is on this replica's disk.
    Recorded(KeeperId),
    /// The lease is fenced.
    Fenced,
    /// No witness has answered.
    Unavailable,
}

/// Records a mark on the local disk.
pub async fn record_mark(shared: &ProcessContext, mark: HighWaterMark) -> MeshResponse {
    request_local_disk(shared, |reply| Input::RecordMark(mark, reply)).await
}

/// Fences a lease on the local disk.
pub async fn fence_lease(shared: &ProcessContext, lease: u64) -> MeshResponse {
    request_local_disk(shared, |reply| Input::FenceLease(lease, reply)).await
}

/// Sends an input to the local replica and waits for its response.
async fn request_local_disk(
    shared: &ProcessContext,
    input: impl FnOnce(Reply) -> Input,
) -> MeshResponse {
    let Some(group) = &shared.group else {
        return MeshResponse::Unavailable;
    };
    let (reply, answer) = async_channel::bounded(1);
    group.send(input(reply));
    let done = async { answer.recv().await.unwrap_or(MeshResponse::Unavailable) };
    let expired = async {
        Timer::after(DISK_TIMEOUT).await;
        MeshResponse::Unavailable
    };
    done.or(expired).await
}

/// Records another entry's mark at any of `replicas` that this process reaches.
pub async fn forward_mark(
    shared: &Arc<ProcessContext>,
    replicas: &[KeeperId],
    mark: HighWaterMark,
) -> MeshResponse {
    let targets = reachable_targets(shared, replicas);
    match record_at_any(shared, targets, replicas, &mark).await {
        MarkOutcome::Recorded(replica) => MeshResponse::Marked(replica),
        MarkOutcome::Fenced => MeshResponse::Fenced,
        MarkOutcome::Unavailable => MeshResponse::Unavailable,
    }
}

/// Returns the replicas that should witness this entry's marks.
#[must_use]
pub fn preferred_witnesses(
    shared: &ProcessContext,
    state: &ProcessState,
    now: Time,
) -> Vec<KeeperId> {
    let own = shared.own_member.keeper;
    if let Some(own) = own
        && !is_disk_slow(state, now)
    {
        return vec![own];
    }
    let others = state.peers.values().filter_map(|peer| peer.member.keeper);
    let mut preferred: Vec<KeeperId> = others.chain(own).collect();
    preferred.sort_unstable();
    preferred
}

/// Returns whether a mark has failed recently.
fn is_disk_slow(state: &ProcessState, now: Time) -> bool {
    state
        .mark_failure
        .is_some_and(|at| at.until(now) < SLOW_DISK_PERIOD)
}

/// Returns the replicas of `replicas` that can be reached directly: the last witness
/// first, then those in the same failure domain. The local disk is first, or last if it
/// is slow.
fn reachable_targets(shared: &ProcessContext, replicas: &[KeeperId]) -> Vec<Target> {
    let now = shared.now();
    let state = shared.state();
    let mut found = Vec::new();
    for peer in state.peers.values() {
        let Some(keeper) = peer.member.keeper.filter(|id| replicas.contains(id)) else {
            continue;
        };
        if peer
            .last_direct
            .is_some_and(|at| at.until(now) < REACHABLE_TIMEOUT)
        {
            let remote = peer.member.domain != shared.own_member.domain;
            let order = (state.last_witness != Some(keeper), remote, keeper);
            found.push((order, Target::Replica(keeper, peer.member.address)));
        }
    }
    found.sort_unstable_by_key(|(order, _)| *order);
    let mut targets: Vec<Target> = found.into_iter().map(|(_, target)| target).collect();
    if let Some(own) = shared.own_member.keeper.filter(|id| replicas.contains(id)) {
        let index = if is_disk_slow(&state, now) {
            targets.len()
        } else {
            0
        };
        targets.insert(index, Target::LocalDisk(own));
    }
    targets
}

/// Returns the targets for this entry's mark, the best one first.
fn mark_targets(shared: &ProcessContext, replicas: &[KeeperId]) -> Vec<Target> {
    let mut targets = reachable_targets(shared, replicas);
    let reached = targets.iter().any(|t| matches!(t, Target::Replica(..)));
    let only_own = replicas
        .iter()
        .all(|id| Some(*id) == shared.own_member.keeper);
    if !reached && !only_own {
        let mut peers = reachable_peers(shared);
        fastrand::shuffle(&mut peers);
        targets.extend(
            peers
                .into_iter()
                .take(MAX_FORWARDERS)
                .map(Target::Forwarder),
        );
    }
    targets
}

/// Records a mark at one target.
async fn record_at_target(
    shared: &ProcessContext,
    target: Target,
    replicas: Vec<KeeperId>,
    mark: HighWaterMark,
) -> MarkOutcome {
    let (answer, replica) = match target {
        Target::LocalDisk(id) => (Some(record_mark(shared, mark).await), Some(id)),
        Target::Replica(id, address) => (
            request_peer(shared, address, MeshRequest::Mark(mark), MARK_TIMEOUT).await,
            Some(id),
        ),
        Target::Forwarder(address) => {
            let request = MeshRequest::MarkVia(replicas, mark);
            (
                request_peer(shared, address, request, MARK_TIMEOUT).await,
                None,
            )
        }
    };
    match (answer, replica) {
        (Some(MeshResponse::Done), Some(id)) | (Some(MeshResponse::Marked(id)), _) => {
            MarkOutcome::Recorded(id)
        }
        (Some(MeshResponse::Fenced), _) => MarkOutcome::Fenced,
        _ => MarkOutcome::Unavailable,
    }
}

/// Records a mark at the first of `targets` that responds. Every [`HEDGE_DELAY`] without
/// a response, the next one is also asked.
async fn record_at_any(
    shared: &Arc<ProcessContext>,
    targets: Vec<Target>,
    replicas: &[KeeperId],
    mark: &HighWaterMark,
) -> MarkOutcome {
    let done = Arc::new(AtomicBool::new(false));
    let (sender, answers): (Sender<MarkOutcome>, _) = async_channel::unbounded();
    for (index, target) in (0_u32..).zip(targets) {
        let (shared, done, sender) = (Arc::clone(shared), Arc::clone(&done), sender.clone());
        let (replicas, mark) = (replicas.to_vec(), mark.clone());
        let pool = shared.pool.clone();
        pool.spawn(async move {
            if index > 0 {
                Timer::after(HEDGE_DELAY * index).await;
            }
            if !done.load(Ordering::Relaxed) {
                let outcome = record_at_target(&shared, target, replicas, mark).await;
                // The receiver is gone if another target has responded first.
                let _ = sender.try_send(outcome);
            }
        });
    }
    drop(sender);
    let first = async {
        while let Ok(outcome) = answers.recv().await {
            if outcome != MarkOutcome::Unavailable {
                return outcome;
            }
        }
        MarkOutcome::Unavailable
    };
    let expired = async {
        Timer::after(MARK_TIMEOUT.into()).await;
        MarkOutcome::Unavailable
    };
    let outcome = first.or(expired).await;
    done.store(true, Ordering::Relaxed);
    outcome
}

/// Records marks as requests need them.
pub async fn record_marks(shared: Arc<ProcessContext>) {
    loop {
        let listener = shared.grants_needed.listen();
        let now = shared.now();
        let due = {
            let mut state = shared.state();
            let mark = state.grants.next_mark(now);
            mark.map(|mark| (mark, state.grants.witnesses()))
        };
        if let Some((mark, replicas)) = due {
            let targets = mark_targets(&shared, &replicas);
            let outcome = record_at_any(&shared, targets, &replicas, &mark).await;
            apply_mark_outcome(&shared, &mark, outcome);
            if outcome == MarkOutcome::Unavailable {
                Timer::after(RETRY_DELAY).await;
            }
        }
        let tick = async {
            Timer::after(CHECK_INTERVAL).await;
        };
        listener.or(tick).await;
    }
}

/// Applies the result of recording a mark to the grants.
fn apply_mark_outcome(shared: &ProcessContext, mark: &HighWaterMark, outcome: MarkOutcome) {
    let lease = mark.lease;
    let now = shared.now();
    let mut state = shared.state();
    match outcome {
        MarkOutcome::Recorded(witness) => {
            if let Some(since) = state.grants.unwitnessed_since() {
                let ms = since.until(now).as_millis();
                log::info!(
                    "budget: event=witness_regained lease={lease:x} witness={witness} ms={ms}"
                );
            }
            state.grants.confirm_mark(mark, witness);
            state.last_witness = Some(witness);
        }
        MarkOutcome::Fenced => {
            let fresh = fastrand::u64(1..);
            log::warn!("budget: event=lease_fenced lease={lease:x} next={fresh:x}");
            state.grants = Grants::new(fresh, shared.holder_id());
        }
        MarkOutcome::Unavailable => {
            state.mark_failure = Some(now);
            if state.grants.unwitnessed_since().is_none() {
                log::warn!(
                    "budget: event=witness_lost lease={lease:x} last={:?}",
                    state.last_witness
                );
            }
            state.grants.record_mark_failure(now);
        }
    }
    drop(state);
    shared.grants_changed.notify(usize::MAX);
}
