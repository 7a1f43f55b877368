//! Reports to the group's leader which other replicas run and which are about to stop.

use std::sync::Arc;

use base::KeeperId;
use base::Span;

use crate::group::Input;
use crate::group::ReplicaReport;
use crate::state::ProcessContext;

/// Time without a message after which a replica may be removed from the group.
/// Partitions of single instances are shorter, and a replica that returns joins again.
const REMOVAL_TIMEOUT: Span = Span::millis(12_000);

/// Reports to the local replica while it leads.
pub async fn report_replicas(shared: Arc<ProcessContext>) {
    let Some(group) = &shared.group else {
        return;
    };
    loop {
        shared.tick.listen().await;
        if shared.state().leader == Some(shared.own_member.address) {
            group.send(Input::ReportReplicas(ReplicaReport {
                present: present_replicas(&shared),
                leaving: leaving_replicas(&shared),
            }));
        }
    }
}

/// Returns the replicas heard recently; `None` until this process has run long enough to
/// know.
fn present_replicas(shared: &ProcessContext) -> Option<Vec<KeeperId>> {
    let now = shared.now();
    let state = shared.state();
    let heard = state.peers.values();
    let heard = heard.filter(|peer| peer.is_heard(REMOVAL_TIMEOUT, now));
    let present = heard.filter_map(|peer| peer.member.keeper).collect();
    (Span(now.0) > REMOVAL_TIMEOUT).then_some(present)
}

/// Returns the replicas whose processes say that they are about to stop.
fn leaving_replicas(shared: &ProcessContext) -> Vec<KeeperId> {
    let own = shared.own_member.keeper;
    let own = own.filter(|_| shared.health.is_stopping());
    let state = shared.state();
    let leaving = state.peers.values().filter(|peer| peer.leaving);
    let leaving = leaving.filter_map(|peer| peer.member.keeper);
    leaving.chain(own).collect()
}
