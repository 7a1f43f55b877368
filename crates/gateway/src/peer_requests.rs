//! Requests to peers.

use std::net::SocketAddr;

use base::Span;
use fleet::FleetError;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;

use crate::state::ProcessContext;

/// Returns the peers that can be reached directly, without the leader.
pub fn reachable_peers(shared: &ProcessContext) -> Vec<SocketAddr> {
    let now = shared.now();
    let state = shared.state();
    let reachable = state.peers.values().filter(|peer| peer.is_reachable(now));
    let reachable = reachable.map(|peer| peer.member.address);
    reachable
        .filter(|&address| Some(address) != state.leader)
        .collect()
}

/// Sends a request to one peer; returns `None` if it doesn't respond.
pub async fn request_peer(
    shared: &ProcessContext,
    address: SocketAddr,
    request: MeshRequest,
    timeout: Span,
) -> Option<MeshResponse> {
    let request = fleet::PeerRequest::Mesh(request);
    let answer = shared.node.get()?.request(address, request, timeout).await;
    mesh_response(shared, address, answer)
}

/// Sends a long request like [`request_peer`], but behind all other data for the peer.
pub async fn request_peer_bulk(
    shared: &ProcessContext,
    address: SocketAddr,
    request: MeshRequest,
    timeout: Span,
) -> Option<MeshResponse> {
    let request = fleet::PeerRequest::Mesh(request);
    let node = shared.node.get()?;
    let answer = node.request_bulk(address, request, timeout).await;
    mesh_response(shared, address, answer)
}

fn mesh_response(
    shared: &ProcessContext,
    address: SocketAddr,
    answer: Result<fleet::PeerResponse, FleetError>,
) -> Option<MeshResponse> {
    let now = shared.now();
    match answer {
        Ok(answer) => {
            shared.state().peers.record_answered(address, now);
            match answer {
                fleet::PeerResponse::Mesh(answer) => Some(answer),
                _ => None,
            }
        }
        Err(error) => {
            shared.state().peers.record_unanswered(address, now);
            log::debug!("mesh: event=ask peer={address} outcome=failed reason=\"{error}\"");
            None
        }
    }
}
