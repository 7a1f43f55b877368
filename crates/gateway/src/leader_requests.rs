//! Requests to the group's leader, directly or through a peer, and joining the group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::KeeperId;
use base::Span;
use base::Time;
use config::packed::PackedConfig;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use futures_lite::FutureExt as _;

use crate::group::Group;
use crate::group::Input;
use crate::group::JoinRequest;
use crate::peer_requests::reachable_peers;
use crate::peer_requests::request_peer;
use crate::peer_requests::request_peer_bulk;
use crate::replicated_state::Command;
use crate::state::ProcessContext;
use crate::state::read_site;

/// Maximum wait for one response of the leader.
pub const LEADER_TIMEOUT: Span = Span::millis(500);

/// Maximum wait for a peer that forwards a request to the leader.
const FORWARD_TIMEOUT: Span = Span::millis(400);

/// Delay before a request to the leader is repeated.
pub const LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time without a leader after which a replica asks to join again. Elections take at
/// most a second or two.
const LEADER_LOSS_TIMEOUT: Span = Span::millis(2_500);

/// Time between two requests to join the group.
pub const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Sends a request to the local replica, which leads.
pub async fn request_local_leader(
    shared: &ProcessContext,
    group: &Group,
    request: MeshRequest,
) -> MeshResponse {
    let (reply, answer) = async_channel::bounded(1);
    let input = match request {
        MeshRequest::Submit(version, body) => {
            let packed = PackedConfig::from_bytes(body);
            let Ok(site) = read_site(&packed) else {
                return MeshResponse::Unavailable;
            };
            let body = packed.as_bytes().to_vec();
            let teams = site.teams.into_iter().flatten();
            let budgets = teams.filter_map(|team| Some((team.name, team.budget?)));
            Input::SubmitConfig(version, body, budgets.collect(), reply)
        }
        MeshRequest::AwaitConfig(version) => Input::AwaitConfig(version, reply),
        MeshRequest::LatestVersion => Input::ReadVersion(reply),
        MeshRequest::Draw(lease, demands) => Input::DrawGrants(lease, demands, reply),
        MeshRequest::Evacuate(domain, evacuated) => {
            let command = Command::SetEvacuation { domain, evacuated };
            Input::ProposeOrder(command, reply)
        }
        MeshRequest::NumberEntry(address) => {
            Input::ProposeOrder(Command::NumberEntry { address }, reply)
        }
        MeshRequest::LatestEvacuations => Input::ReadEvacuations(reply),
        MeshRequest::Depart(announcement) => Input::RecordDeparture(announcement, reply),
        MeshRequest::LatestDepartures => Input::ReadDepartures(reply),
        MeshRequest::Join(id, disk, address) => {
            Input::JoinGroup(join_request(shared, id, disk, address), reply)
        }
        MeshRequest::Update(_)
        | MeshRequest::Replica(_)
        | MeshRequest::ConfigPart(..)
        | MeshRequest::Lend(_)
        | MeshRequest::Mark(..)
        | MeshRequest::MarkVia(..)
        | MeshRequest::Fence(..)
        | MeshRequest::CrashNews(_)
        | MeshRequest::Forward(_) => return MeshResponse::Unavailable,
    };
    group.send(input);
    let expired = async {
        Timer::after(LEADER_TIMEOUT.into()).await;
        MeshResponse::Unavailable
    };
    let decided = async { answer.recv().await.unwrap_or(MeshResponse::Unavailable) };
    decided.or(expired).await
}

/// Builds the request of a replica to join the group.
fn join_request(
    shared: &ProcessContext,
    id: KeeperId,
    disk: u64,
    address: SocketAddr,
) -> JoinRequest {
    JoinRequest {
        id,
        disk,
        address,
        lost_replicas: shared.state().lost_replicas.clone(),
    }
}

/// Sends a request to the leader, directly for at most `timeout` and then through a
/// peer.
pub async fn request_leader(
    shared: &ProcessContext,
    request: &MeshRequest,
    timeout: Span,
) -> MeshResponse {
    let answer = request_leader_directly(shared, request, timeout).await;
    if !matches!(
        answer,
        MeshResponse::Unavailable | MeshResponse::NotLeader(_)
    ) {
        return answer;
    }
    let forwarder = fastrand::choice(reachable_peers(shared));
    let Some(address) = forwarder else {
        return MeshResponse::Unavailable;
    };
    let request = MeshRequest::Forward(Box::new(request.clone()));
    send_to_leader(shared, address, &request, FORWARD_TIMEOUT).await
}

/// Sends a request to the leader or to a peer that forwards it; a configuration goes behind
/// all other data for the receiver.
async fn send_to_leader(
    shared: &ProcessContext,
    address: SocketAddr,
    request: &MeshRequest,
    timeout: Span,
) -> MeshResponse {
    let answer = if request.is_bulk() {
        let timed_out = async {
            Timer::after(timeout.into()).await;
            None
        };
        let answer = request_peer_bulk(shared, address, request.clone(), timeout);
        answer.or(timed_out).await
    } else {
        request_peer(shared, address, request.clone(), timeout).await
    };
    answer.unwrap_or(MeshResponse::Unavailable)
}

/// Sends a request to the leader and repeats it on failure, for at most `timeout`.
pub async fn request_leader_directly(
    shared: &ProcessContext,
    request: &MeshRequest,
    timeout: Span,
) -> MeshResponse {
    let deadline = shared.now() + timeout;
    let mut hint = None;
    loop {
        let leader = hint.take().or(shared.state().leader);
        let answer = match (leader, &shared.group) {
            (Some(address), Some(group)) if address == shared.own_member.address => {
                request_local_leader(shared, group, request.clone()).await
            }
            (Some(address), _) => {
                let peer_timeout = LEADER_TIMEOUT.min(shared.now().until(deadline));
                send_to_leader(shared, address, request, peer_timeout).await
            }
            (None, _) => MeshResponse::NotLeader(None),
        };
        match answer {
            MeshResponse::NotLeader(found) => hint = found.filter(|_| leader != found),
            MeshResponse::Unavailable => {}
            decided => return decided,
        }
        if shared.now() + Span::millis(60) >= deadline {
            return MeshResponse::Unavailable;
        }
        Timer::after(LEADER_RETRY_DELAY).await;
    }
}

/// Asks to join the group while the local replica isn't a member, or hears no leader
/// while other processes do: it may have been removed while it was partitioned.
pub async fn join_group(shared: Arc<ProcessContext>) {
    let Some(group) = &shared.group else {
        return;
    };
    let mut leaderless_since: Option<Time> = None;
    loop {
        Timer::after(JOIN_INTERVAL).await;
        let now = shared.now();
        let (joined, leader, told_leader) = {
            let state = shared.state();
            (
                state.is_member,
                state.leader,
                state.peers.reported_leader(now),
            )
        };
        leaderless_since = leaderless_since.or(Some(now)).filter(|_| leader.is_none());
        let request = MeshRequest::Join(group.id(), group.disk(), shared.own_member.address);
        // The responses are ignored: membership shows whether the request succeeded.
        if shared.health.is_stopping() {
            return;
        }
        if !joined && leader.is_some() {
            let _ = request_leader(&shared, &request, LEADER_TIMEOUT).await;
        } else if joined
            && leaderless_since.is_some_and(|since| since.until(now) > LEADER_LOSS_TIMEOUT)
            && let Some(leader) = told_leader
        {
            log::info!("group: event=join leader={leader} reason=\"no message from a leader\"");
            let _ = request_peer(&shared, leader, request, LEADER_TIMEOUT).await;
        }
    }
}
