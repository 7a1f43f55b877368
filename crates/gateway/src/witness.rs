//! Marks of what entries open of their grants, at replicas that witness them.
//!
//! An entry with a disk is its own witness while the disk answers; others put their
//! marks down at any replica that they reach, directly or through a peer.

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
use crate::mesh::NEAR;
use crate::mesh::near;
use crate::mesh::peer;
use crate::state::Shared;
use crate::state::State;

/// Time between two looks whether more must be opened.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Pause after a mark that no witness has taken.
const PAUSE: Duration = Duration::from_millis(40);

/// Time without an answer after which a further witness is asked as well: some round
/// trips and syncs.
const HEDGE: Duration = Duration::from_millis(50);

/// Longest wait for one witness, and for all of them.
const WAIT: Span = Span::millis(300);

/// Longest wait for the disk on another process's behalf.
const DISK_WAIT: Duration = Duration::from_millis(250);

/// Time for which a disk that didn't answer is asked last.
const SLOW: Span = Span::millis(5_000);

/// Peers through which witnesses are sought that can't be reached directly.
const THROUGH: usize = 2;

/// Where a mark can be put down.
#[derive(Clone, Copy, Debug)]
enum Target {
    /// The disk here.
    Own(KeeperId),
    /// A replica.
    Replica(KeeperId, SocketAddr),
    /// Any of the replicas, through a peer.
    Through(SocketAddr),
}

/// What became of a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Put {
    At(KeeperId),
    Fenced,
    Nowhere,
}

/// Keeps a mark on the disk here.
pub async fn keep(shared: &Shared, mark: HighWaterMark) -> MeshResponse {
    on_disk(shared, |reply| Input::Mark(mark, reply)).await
}

/// Fences a lease on the disk here.
pub async fn fence(shared: &Shared, lease: u64) -> MeshResponse {
    on_disk(shared, |reply| Input::Fence(lease, reply)).await
}

async fn on_disk(shared: &Shared, input: impl FnOnce(Reply) -> Input) -> MeshResponse {
    let Some(group) = &shared.group else {
        return MeshResponse::Unavailable;
    };
    let (reply, answer) = async_channel::bounded(1);
    group.send(input(reply));
    let done = async { answer.recv().await.unwrap_or(MeshResponse::Unavailable) };
    let late = async {
        Timer::after(DISK_WAIT).await;
        MeshResponse::Unavailable
    };
    done.or(late).await
}

/// Puts another entry's mark down at any of `replicas` that this process reaches.
pub async fn pass_on(
    shared: &Arc<Shared>,
    replicas: &[KeeperId],
    mark: HighWaterMark,
) -> MeshResponse {
    let targets = direct(shared, replicas);
    match put(shared, targets, replicas, &mark).await {
        Put::At(replica) => MeshResponse::Marked(replica),
        Put::Fenced => MeshResponse::Fenced,
        Put::Nowhere => MeshResponse::Unavailable,
    }
}

/// Returns the replicas that should witness this entry's marks.
#[must_use]
pub fn wanted(shared: &Shared, state: &State, now: Time) -> Vec<KeeperId> {
    let own = shared.own.keeper;
    if let Some(own) = own
        && !slow(state, now)
    {
        return vec![own];
    }
    let others = state.peers.values().filter_map(|peer| peer.member.keeper);
    let mut wanted: Vec<KeeperId> = others.chain(own).collect();
    wanted.sort_unstable();
    wanted
}

fn slow(state: &State, now: Time) -> bool {
    state.disk_slow.is_some_and(|at| at.until(now) < SLOW)
}

/// Returns the replicas of `replicas` that were heard a moment ago, the nearest first.
fn direct(shared: &Shared, replicas: &[KeeperId]) -> Vec<Target> {
    let now = shared.now();
    let state = shared.state();
    let mut found = Vec::new();
    for peer in state.peers.values() {
        let Some(keeper) = peer.member.keeper.filter(|id| replicas.contains(id)) else {
            continue;
        };
        if peer.direct.is_some_and(|at| at.until(now) < NEAR) {
            let far = peer.member.domain != shared.own.domain;
            let order = (state.witness != Some(keeper), far, keeper);
            found.push((order, Target::Replica(keeper, peer.member.address)));
        }
    }
    found.sort_unstable_by_key(|(order, _)| *order);
    let mut targets: Vec<Target> = found.into_iter().map(|(_, target)| target).collect();
    if let Some(own) = shared.own.keeper.filter(|id| replicas.contains(id)) {
        let place = if slow(&state, now) { targets.len() } else { 0 };
        targets.insert(place, Target::Own(own));
    }
    targets
}

/// Returns where this entry's mark can be put down, the best place first.
fn targets(shared: &Shared, replicas: &[KeeperId]) -> Vec<Target> {
    let mut targets = direct(shared, replicas);
    let reached = targets.iter().any(|t| matches!(t, Target::Replica(..)));
    let only_own = replicas.iter().all(|id| Some(*id) == shared.own.keeper);
    if !reached && !only_own {
        let mut peers = near(shared);
        fastrand::shuffle(&mut peers);
        targets.extend(peers.into_iter().take(THROUGH).map(Target::Through));
    }
    targets
}

async fn ask(shared: &Shared, target: Target, replicas: Vec<KeeperId>, mark: HighWaterMark) -> Put {
    let (answer, replica) = match target {
        Target::Own(id) => (Some(keep(shared, mark).await), Some(id)),
        Target::Replica(id, address) => (
            peer(shared, address, MeshRequest::Mark(mark), WAIT).await,
            Some(id),
        ),
        Target::Through(address) => {
            let ask = MeshRequest::MarkVia(replicas, mark);
            (peer(shared, address, ask, WAIT).await, None)
        }
    };
    match (answer, replica) {
        (Some(MeshResponse::Done), Some(id)) | (Some(MeshResponse::Marked(id)), _) => Put::At(id),
        (Some(MeshResponse::Fenced), _) => Put::Fenced,
        _ => Put::Nowhere,
    }
}

/// Puts a mark down at the first of `targets` that answers; a further one is asked
/// where none has answered for a while.
async fn put(
    shared: &Arc<Shared>,
    targets: Vec<Target>,
    replicas: &[KeeperId],
    mark: &HighWaterMark,
) -> Put {
    let done = Arc::new(AtomicBool::new(false));
    let (sender, answers): (Sender<Put>, _) = async_channel::unbounded();
    for (place, target) in (0_u32..).zip(targets) {
        let (shared, done, sender) = (Arc::clone(shared), Arc::clone(&done), sender.clone());
        let (replicas, mark) = (replicas.to_vec(), mark.clone());
        let pool = shared.pool.clone();
        pool.spawn(async move {
            if place > 0 {
                Timer::after(HEDGE * place).await;
            }
            if !done.load(Ordering::Relaxed) {
                let put = ask(&shared, target, replicas, mark).await;
                // The mark may be down elsewhere already.
                let _ = sender.try_send(put);
            }
        });
    }
    drop(sender);
    let first = async {
        while let Ok(put) = answers.recv().await {
            if put != Put::Nowhere {
                return put;
            }
        }
        Put::Nowhere
    };
    let late = async {
        Timer::after(WAIT.into()).await;
        Put::Nowhere
    };
    let put = first.or(late).await;
    done.store(true, Ordering::Relaxed);
    put
}

/// Puts marks down as requests need them.
pub async fn mark(shared: Arc<Shared>) {
    loop {
        let listener = shared.demand.listen();
        let now = shared.now();
        let due = {
            let mut state = shared.state();
            let mark = state.grants.next_mark(now);
            mark.map(|mark| (mark, state.grants.witnesses()))
        };
        if let Some((mark, replicas)) = due {
            let targets = targets(&shared, &replicas);
            let put = put(&shared, targets, &replicas, &mark).await;
            take(&shared, &mark, put);
            if put == Put::Nowhere {
                Timer::after(PAUSE).await;
            }
        }
        let tick = async {
            Timer::after(LOOK_EVERY).await;
        };
        listener.or(tick).await;
    }
}

fn take(shared: &Shared, mark: &HighWaterMark, put: Put) {
    let lease = mark.lease;
    let now = shared.now();
    let mut state = shared.state();
    match put {
        Put::At(witness) => {
            if let Some(since) = state.grants.unwitnessed_since() {
                let ms = since.until(now).as_millis();
                log::info!(
                    "budget: event=witness_regained lease={lease:x} witness={witness} ms={ms}"
                );
            }
            state.grants.confirm_mark(mark, witness);
            state.witness = Some(witness);
        }
        Put::Fenced => {
            let fresh = fastrand::u64(1..);
            log::warn!("budget: event=lease_fenced lease={lease:x} next={fresh:x}");
            state.grants = Grants::new(fresh, shared.holder());
        }
        Put::Nowhere => {
            state.disk_slow = Some(now);
            if state.grants.unwitnessed_since().is_none() {
                log::warn!(
                    "budget: event=witness_lost lease={lease:x} last={:?}",
                    state.witness
                );
            }
            state.grants.record_mark_failure(now);
        }
    }
    drop(state);
    shared.granted.notify(usize::MAX);
}
