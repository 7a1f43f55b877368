//! Leases that have ended, closed at the leader by what their witnesses know.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::KeeperId;
use base::Span;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use ledger::allowance::EndedLease;

use crate::group::Group;
use crate::group::Input;
use crate::mesh::NEAR;
use crate::mesh::REPLACE;
use crate::mesh::peer;
use crate::state::Shared;
use crate::witness;

/// Time between two looks for leases that have ended.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Longest wait for one witness.
const WAIT: Span = Span::millis(300);

/// Silence after which a replica counts as gone for good; cuts of single machines are
/// shorter, and one that comes back joins again.
const GONE: Span = Span::millis(12_000);

/// Most leases closed in one round.
const ROUND: usize = 24;

/// Closes ended leases while the replica here leads.
pub async fn run(shared: Arc<Shared>) {
    let Some(group) = &shared.group else {
        return;
    };
    loop {
        Timer::after(LOOK_EVERY).await;
        let live = {
            let state = shared.state();
            if state.leader != Some(shared.own.address) {
                continue;
            }
            // A process that has just started hasn't heard all others yet.
            let heard = Span(shared.now().0) > REPLACE;
            let peers = state.peers.values().map(|peer| peer.lease);
            heard.then(|| peers.chain([state.grants.lease_id()]).collect())
        };
        if let Some(present) = present(&shared) {
            group.send(Input::Present(present));
        }
        let (reply, answer) = async_channel::bounded(1);
        group.send(Input::Ended(live, reply));
        // No answer comes from a replica that doesn't lead any more.
        let ended: Vec<EndedLease> = answer.recv().await.unwrap_or_default();
        for ended in ended.into_iter().take(ROUND) {
            close(&shared, group, ended).await;
        }
    }
}

/// Returns the replicas heard lately, where this process has run long enough to tell.
fn present(shared: &Shared) -> Option<Vec<KeeperId>> {
    let now = shared.now();
    let state = shared.state();
    let heard = state.peers.values();
    let heard = heard.filter(|peer| peer.direct.is_some_and(|at| at.until(now) < GONE));
    let present = heard.filter_map(|peer| peer.member.keeper).collect();
    (Span(now.0) > GONE).then_some(present)
}

/// Closes a lease once all its witnesses take no further mark.
async fn close(shared: &Shared, group: &Group, ended: EndedLease) {
    let mut most: BTreeMap<String, u64> = BTreeMap::new();
    for &id in &ended.witnesses {
        let Some(opened) = fence(shared, id, ended.lease).await else {
            log::debug!(
                "budget: event=lease_ended lease={:x} outcome=waits witness={id}",
                ended.lease
            );
            return;
        };
        for (team, opened) in opened {
            let known = most.entry(team).or_default();
            *known = (*known).max(opened);
        }
    }
    let sum: u64 = most.values().sum();
    log::info!(
        "budget: event=lease_settled lease={:x} witnesses={:?} opened={sum}",
        ended.lease,
        ended.witnesses
    );
    let (reply, answer) = async_channel::bounded(1);
    let opened = Some(most.into_iter().collect());
    group.send(Input::Close(ended.lease, opened, reply));
    // Where it isn't committed, the lease is found again.
    let _ = answer.recv().await;
}

async fn fence(shared: &Shared, id: KeeperId, lease: u64) -> Option<Vec<(String, u64)>> {
    let answer = if shared.own.keeper == Some(id) {
        witness::fence(shared, lease).await
    } else {
        let address = {
            let now = shared.now();
            let state = shared.state();
            let mut peers = state.peers.values();
            let found = peers.find(|peer| peer.member.keeper == Some(id))?;
            let heard = found.direct.is_some_and(|at| at.until(now) < NEAR);
            heard.then_some(found.member.address)?
        };
        peer(shared, address, MeshRequest::Fence(lease), WAIT).await?
    };
    match answer {
        MeshResponse::Opened(opened) => Some(opened),
        _ => None,
    }
}
