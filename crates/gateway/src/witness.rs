//! Records the high-water marks of what entries open of their grants at replicas, their
//! witnesses.
//!
//! An entry with a disk records its spend limit there while the disk responds, other
//! entries at any replica. All record a reserve at several replicas, which they reach
//! directly or through a peer.

use std::hash::BuildHasher as _;
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
use ledger::allowance::HighWaterMark;
use ledger::quorum;

use crate::group::Input;
use crate::group::Reply;
use crate::peer_requests::reachable_peers;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;
use crate::state::ProcessState;

/// Delay after a mark that no witness has recorded.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay after reserves that too few witnesses have recorded.
const RESERVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time without a response after which another witness is also asked: several round
/// trips and syncs.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Maximum wait for one witness, and for all of them.
const MARK_TIMEOUT: Span = Span::millis(300);

/// Maximum wait for the local disk.
const DISK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after a mark that the local disk didn't record for which it counts as slow and is
/// no witness.
const SLOW_DISK_PERIOD: Span = Span::millis(5_000);

/// Maximum number of peers asked to forward a mark to a replica that can't be reached
/// directly.
const MAX_FORWARDERS: usize = 2;

/// A way to record a mark at a replica.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The replica's process.
    Replica(KeeperId, SocketAddr),
    /// A peer that forwards the mark to the replica.
    Forwarder(KeeperId, SocketAddr),
}

impl Target {
    fn replica(self) -> KeeperId {
        let (Self::Replica(id, _) | Self::Forwarder(id, _)) = self;
        id
    }
}

/// The result of an attempt to record a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MarkOutcome {
    /// The mark is on this replica's disk.
    Recorded(KeeperId),
    /// The lease is fenced.
    Fenced,
    /// The replica has not answered.
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

/// Records another entry's mark at the first of `replicas` that this process reaches.
pub async fn forward_mark(
    shared: &Arc<ProcessContext>,
    replicas: &[KeeperId],
    mark: HighWaterMark,
) -> MeshResponse {
    for &replica in replicas {
        let answer = if shared.own_member.keeper == Some(replica) {
            record_mark(shared, mark.clone()).await
        } else if let Some(address) = reachable_replica(shared, replica) {
            let request = MeshRequest::Mark(replica, mark.clone());
            let answer = request_peer(shared, address, request, MARK_TIMEOUT).await;
            answer.unwrap_or(MeshResponse::Unavailable)
        } else {
            continue;
        };
        match answer {
            MeshResponse::Done => return MeshResponse::Marked(replica),
            MeshResponse::Fenced => return MeshResponse::Fenced,
            _ => {}
        }
    }
    MeshResponse::Unavailable
}

/// Returns the address of a replica's process if it can be reached directly.
fn reachable_replica(shared: &ProcessContext, replica: KeeperId) -> Option<SocketAddr> {
    let now = shared.now();
    let state = shared.state();
    let found = state.peers.find_keeper(replica)?;
    found.is_reachable(now).then_some(found.member.address)
}

/// Returns the replicas that should witness this entry's marks.
#[must_use]
pub fn preferred_witnesses(
    shared: &ProcessContext,
    state: &ProcessState,
    now: Time,
) -> Vec<KeeperId> {
    let own = shared
        .own_member
        .keeper
        .filter(|_| !is_disk_slow(state, now));
    let others = state.peers.values().filter_map(|peer| peer.member.keeper);
    let mut preferred: Vec<KeeperId> = others.chain(own).collect();
    preferred.sort_unstable();
    preferred
}

/// Returns whether the local disk has failed to record a mark recently.
fn is_disk_slow(state: &ProcessState, now: Time) -> bool {
    state
        .disk_failure
        .is_some_and(|at| at.until(now) < SLOW_DISK_PERIOD)
}

/// Returns the ways to record marks at `replicas`, the preferred ones first: each replica
/// directly, in the same failure domain first, then those that only peers may reach.
fn mark_targets(shared: &ProcessContext, replicas: &[KeeperId], copies: usize) -> Vec<Target> {
    let now = shared.now();
    let mut direct = Vec::new();
    {
        let state = shared.state();
        for peer in state.peers.values() {
            let Some(replica) = peer.member.keeper.filter(|id| replicas.contains(id)) else {
                continue;
            };
            if peer.is_reachable(now) {
                let remote = peer.member.domain != shared.own_member.domain;
                // Entries prefer different ones of the remote replicas.
                let rank = base::hash::hasher().hash_one((replica, shared.own_member.run_id));
                direct.push((
                    (remote, rank),
                    Target::Replica(replica, peer.member.address),
                ));
            }
        }
    }
    direct.sort_unstable_by_key(|(order, _)| *order);
    let mut targets: Vec<Target> = direct.into_iter().map(|(_, target)| target).collect();
    if targets.len() < copies {
        let reached: Vec<KeeperId> = targets.iter().map(|target| target.replica()).collect();
        let peers = reachable_peers(shared);
        for &replica in replicas.iter().filter(|id| !reached.contains(id)) {
            let forwarders = fastrand::choose_multiple(&peers, MAX_FORWARDERS);
            targets.extend(
                forwarders
                    .into_iter()
                    .map(|&address| Target::Forwarder(replica, address)),
            );
        }
    }
    targets
}

/// Records a mark at one target.
async fn record_at_target(
    shared: &ProcessContext,
    target: Target,
    mark: HighWaterMark,
) -> MarkOutcome {
    let (request, address) = match target {
        Target::Replica(replica, address) => (MeshRequest::Mark(replica, mark), address),
        Target::Forwarder(replica, address) => (MeshRequest::MarkVia(vec![replica], mark), address),
    };
    let answer = request_peer(shared, address, request, MARK_TIMEOUT).await;
    match (answer, target) {
        (Some(MeshResponse::Done), Target::Replica(id, _))
        | (Some(MeshResponse::Marked(id)), _) => MarkOutcome::Recorded(id),
        (Some(MeshResponse::Fenced), _) => MarkOutcome::Fenced,
        _ => MarkOutcome::Unavailable,
    }
}

/// Records a mark at `copies` different replicas, and applies each outcome to the grants
/// as it arrives. Every [`HEDGE_DELAY`] without enough of them, the next target is asked.
///
/// Returns whether enough replicas have recorded it.
async fn record_at_copies(
    shared: &Arc<ProcessContext>,
    targets: Vec<Target>,
    copies: usize,
    mark: &HighWaterMark,
) -> bool {
    let done = Arc::new(AtomicBool::new(false));
    let (sender, answers): (Sender<MarkOutcome>, _) = async_channel::unbounded();
    for (index, target) in targets.into_iter().enumerate() {
        let (shared, done, sender) = (Arc::clone(shared), Arc::clone(&done), sender.clone());
        let mark = mark.clone();
        let steps = u32::try_from((index + 1).saturating_sub(copies)).unwrap_or(u32::MAX);
        let pool = shared.pool.clone();
        pool.spawn(async move {
            if steps > 0 {
                Timer::after(HEDGE_DELAY.saturating_mul(steps)).await;
            }
            if !done.load(Ordering::Relaxed) {
                let outcome = record_at_target(&shared, target, mark).await;
                // The receiver is gone if enough others have responded first.
                let _ = sender.try_send(outcome);
            }
        });
    }
    drop(sender);
    let mut replicas = Vec::new();
    let recorded = async {
        while let Ok(outcome) = answers.recv().await {
            match outcome {
                MarkOutcome::Recorded(replica) => {
                    if !replicas.contains(&replica) {
                        replicas.push(replica);
                    }
                    apply_recorded_mark(shared, mark, replica);
                    if replicas.len() >= copies {
                        return true;
                    }
                }
                MarkOutcome::Fenced => {
                    apply_fence(shared, mark.lease);
                    return true;
                }
                MarkOutcome::Unavailable => {}
            }
        }
        false
    };
    let expired = async {
        Timer::after(MARK_TIMEOUT.into()).await;
        false
    };
    let is_recorded = recorded.or(expired).await;
    done.store(true, Ordering::Relaxed);
    is_recorded
}

/// Records marks as requests need them, on the local disk.
pub async fn record_own_marks(shared: Arc<ProcessContext>) {
    let Some(own) = shared.own_member.keeper else {
        return;
    };
    loop {
        let listener = shared.grants_needed.listen();
        let now = shared.now();
        let due = shared.state().grants.next_own_mark(now);
        if let Some(mark) = due {
            match record_mark(&shared, mark.clone()).await {
                MeshResponse::Done => apply_recorded_mark(&shared, &mark, own),
                MeshResponse::Fenced => apply_fence(&shared, mark.lease),
                _ => {
                    log::warn!("budget: event=disk_late lease={:x}", mark.lease);
                    shared.state().disk_failure = Some(now);
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        listener.or(shared.tick.listen()).await;
    }
}

/// Records marks as requests need them, at other processes' replicas.
pub async fn record_marks(shared: Arc<ProcessContext>) {
    loop {
        let listener = shared.grants_needed.listen();
        let now = shared.now();
        let due = shared.state().grants.next_mark(now);
        if let Some(mark) = due
            && !record_at_others(&shared, &mark, |_| 1).await
        {
            apply_mark_failure(&shared);
            Timer::after(RETRY_DELAY).await;
        }
        listener.or(shared.tick.listen()).await;
    }
}

/// Records reserves ahead of the spend limits, at several other processes' replicas.
pub async fn record_reserves(shared: Arc<ProcessContext>) {
    loop {
        let listener = shared.grants_needed.listen();
        let now = shared.now();
        let due = shared.state().grants.next_reserve(now);
        if let Some(mark) = due {
            let recorded = record_at_others(&shared, &mark, quorum::copies).await;
            shared.state().grants.set_reserves_failed(!recorded);
            shared.grants_changed.notify(usize::MAX);
            if !recorded {
                Timer::after(RESERVE_RETRY_DELAY).await;
            }
        }
        listener.or(shared.tick.listen()).await;
    }
}

/// Records a mark at as many of the other witnesses as `copies` returns for their number;
/// returns whether they have it.
async fn record_at_others(
    shared: &Arc<ProcessContext>,
    mark: &HighWaterMark,
    copies: impl Fn(usize) -> usize,
) -> bool {
    let mut replicas = shared.state().grants.witnesses();
    replicas.retain(|&id| Some(id) != shared.own_member.keeper);
    let copies = copies(replicas.len());
    let targets = mark_targets(shared, &replicas, copies);
    record_at_copies(shared, targets, copies, mark).await
}

/// Applies a mark that a replica has recorded to the grants.
fn apply_recorded_mark(shared: &ProcessContext, mark: &HighWaterMark, replica: KeeperId) {
    let now = shared.now();
    let mut state = shared.state();
    let since = state.grants.unwitnessed_since();
    state.grants.confirm_mark(mark, replica);
    if let Some(since) = since
        && state.grants.unwitnessed_since().is_none()
    {
        let lease = mark.lease;
        let ms = since.until(now).as_millis();
        log::info!("budget: event=witness_regained lease={lease:x} witness={replica} ms={ms}");
    }
    drop(state);
    shared.grants_changed.notify(usize::MAX);
}

/// Begins another lease after a witness has fenced `lease`.
fn apply_fence(shared: &ProcessContext, lease: u64) {
    let mut state = shared.state();
    let current = state.grants.lease_id();
    if lease == current || lease == quorum::reserve_lease(current) {
        let fresh = fastrand::u64(1..);
        log::warn!("budget: event=lease_fenced lease={lease:x} next={fresh:x}");
        state.grants = shared.new_grants(fresh);
    }
    drop(state);
    shared.grants_changed.notify(usize::MAX);
}

/// Records that no witness has a mark, if requests wait for it.
fn apply_mark_failure(shared: &ProcessContext) {
    let now = shared.now();
    let mut state = shared.state();
    if state.grants.lacks_limit() {
        if state.grants.unwitnessed_since().is_none() {
            let lease = state.grants.lease_id();
            log::warn!("budget: event=witness_lost lease={lease:x}");
        }
        state.grants.record_mark_failure(now);
    }
    drop(state);
    shared.grants_changed.notify(usize::MAX);
}
