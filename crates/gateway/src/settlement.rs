//! Settlement of ended leases: the leader closes them with the marks of their witnesses.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::KeeperId;
use base::Span;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use fleet::peers::PeerTable;
use ledger::quorum;
use ledger::quorum::Settlement;

use crate::group::Group;
use crate::group::HOLDER_TIMEOUT;
use crate::group::Input;
use crate::group::SettlingLease;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;
use crate::witness;

/// Time between two checks for ended leases.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait for one witness to fence a lease.
const FENCE_TIMEOUT: Span = Span::millis(300);

/// Time after its start in which a process may not have heard from all others.
const HEARING_TIME: Span = Span::millis(6_000);

/// Maximum number of leases closed in one round.
const MAX_LEASES_PER_ROUND: usize = 24;

/// Closes ended leases while the local replica leads.
pub async fn settle_leases(shared: Arc<ProcessContext>) {
    let Some(group) = &shared.group else {
        return;
    };
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let live = {
            let state = shared.state();
            if state.leader != Some(shared.own_member.address) {
                continue;
            }
            // A process that has just started or stood still hasn't heard from all others yet.
            let now = shared.now();
            let has_heard = Span(now.0) > HEARING_TIME && state.view.is_current(now);
            has_heard.then(|| {
                let mut live = peer_leases(&state.peers, now);
                live.push(state.grants.lease_id());
                live
            })
        };
        let (reply, answer) = async_channel::bounded(1);
        group.send(Input::ListEndedLeases(live, reply));
        // A replica that no longer leads doesn't respond.
        let ended: Vec<SettlingLease> = answer.recv().await.unwrap_or_default();
        for ended in ended.into_iter().take(MAX_LEASES_PER_ROUND) {
            settle_lease(&shared, group, ended).await;
        }
    }
}

/// Returns the leases of the peers that may still run: those heard of within
/// [`HOLDER_TIMEOUT`].
#[must_use]
pub fn peer_leases(peers: &PeerTable, now: Time) -> Vec<u64> {
    let heard = peers
        .values()
        .filter(|peer| peer.is_heard(HOLDER_TIMEOUT, now));
    heard.map(|peer| peer.lease_id).collect()
}

/// Closes a lease after the witnesses that settle it have fenced it. The largest mark of
/// each team bounds what was spent.
async fn settle_lease(shared: &ProcessContext, group: &Group, ended: SettlingLease) {
    let lease = ended.lease;
    let (fenced, witnesses) = match &ended.settlement {
        Settlement::Spend(witnesses) => (lease, witnesses),
        Settlement::Reserve(witnesses) => (quorum::reserve_lease(lease), witnesses),
    };
    let mut limits: BTreeMap<String, u64> = BTreeMap::new();
    for &id in witnesses {
        let Some(opened) = fence_at_witness(shared, id, fenced).await else {
            log::debug!("budget: event=lease_ended lease={lease:x} outcome=waits witness={id}");
            return;
        };
        for (team, opened) in opened {
            let known = limits.entry(team).or_default();
            *known = (*known).max(opened);
        }
    }
    let sum: u64 = limits.values().sum();
    log::info!(
        "budget: event=lease_settled lease={lease:x} by={:?} opened={sum}",
        ended.settlement
    );
    let (reply, answer) = async_channel::bounded(1);
    let opened = ended.settlement.bound(limits.into_iter().collect());
    group.send(Input::CloseLease(lease, opened, reply));
    // If the command isn't committed, a later round finds the lease again.
    let _ = answer.recv().await;
}

/// Fences a lease at a witness; returns the tokens opened, by team, if it responds.
async fn fence_at_witness(
    shared: &ProcessContext,
    id: KeeperId,
    lease: u64,
) -> Option<Vec<(String, u64)>> {
    let answer = if shared.own_member.keeper == Some(id) {
        witness::fence_lease(shared, lease).await
    } else {
        let address = {
            let now = shared.now();
            let state = shared.state();
            let found = state.peers.find_keeper(id)?;
            let heard = found.is_reachable(now);
            heard.then_some(found.member.address)?
        };
        request_peer(
            shared,
            address,
            MeshRequest::Fence(id, lease),
            FENCE_TIMEOUT,
        )
        .await?
    };
    match answer {
        MeshResponse::Opened(opened) => Some(opened),
        _ => None,
    }
}
