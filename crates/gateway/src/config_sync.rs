//! Brings newer configurations to this process and confirms the latest one at its start.
//!
//! One part of one configuration is in transfer at a time, whatever number of peers names a
//! newer version: a burst of large configurations then leaves room on the slowest link for
//! everything else.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use config::transfer::Download;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use fleet::peers::Peer;
use futures_lite::FutureExt as _;

use crate::leader_requests::LEADER_RETRY_DELAY;
use crate::leader_requests::LEADER_TIMEOUT;
use crate::leader_requests::request_leader;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;

/// Maximum wait for one part; another peer is asked then.
const PART_TIMEOUT: Span = Span::millis(600);

/// Delay after a failed transfer of a part.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum time for reading the latest configuration. The operator stops waiting after one
/// second.
const READ_TIMEOUT: Span = Span::millis(950);

/// Time that a replica waits for the replicated log to bring a version that it has heard of.
const LOG_DELAY: Span = Span::millis(300);

/// Fetches each newer configuration that is heard of, until the process ends.
pub async fn fetch_configs(shared: Arc<ProcessContext>) {
    let mut download = Download::default();
    let mut failed_peer = None;
    loop {
        let listener = shared.config_news.listen();
        let (missing, delay) = {
            let state = shared.state();
            let behind = state.held_config.time_behind(shared.now());
            let by_log = state.is_member && behind < LOG_DELAY;
            let delay = by_log.then(|| Span(LOG_DELAY.0 - behind.0));
            (state.held_config.missing_version(), delay)
        };
        download.drop_older(shared.config_version());
        let Some(missing) = missing else {
            listener.await;
            continue;
        };
        if let Some(delay) = delay {
            Timer::after(delay.into()).await;
            continue;
        }
        let source = choose_source(&shared, missing, failed_peer);
        let Some(source) = source else {
            let retry = async {
                Timer::after(LEADER_RETRY_DELAY).await;
            };
            listener.or(retry).await;
            failed_peer = None;
            continue;
        };
        let done = fetch_part(&shared, source, missing, &mut download).await;
        failed_peer = (!done).then_some(source);
        if !done {
            Timer::after(FETCH_RETRY_DELAY).await;
        }
    }
}

/// Returns a peer that holds `version` or a newer one, and not the one that has just failed;
/// the leader if no peer is known to. Replicas come before other processes, whose links can be
/// slow, and peers in this failure domain before those in others.
fn choose_source(
    shared: &ProcessContext,
    version: u64,
    failed: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now = shared.now();
    let state = shared.state();
    let holds = |peer: &&Peer| {
        peer.config_version >= version
            && Some(peer.member.address) != failed
            && peer.is_reachable(now)
    };
    let holders: Vec<&Peer> = state.peers.values().filter(holds).collect();
    let rank = |peer: &Peer| {
        let is_near = peer.member.domain == shared.settings.domain;
        (!is_near, peer.member.keeper.is_none())
    };
    let best = holders.iter().map(|peer| rank(peer)).min();
    let candidates = holders.iter().filter(|peer| Some(rank(peer)) == best);
    let chosen = fastrand::choice(candidates.collect::<Vec<_>>());
    let leader = state
        .leader
        .filter(|&leader| leader != shared.own_member.address);
    chosen.map(|peer| peer.member.address).or(leader)
}

/// Fetches the next part from `source`, and puts the configuration in force once it is
/// complete. Returns whether the part arrived.
async fn fetch_part(
    shared: &ProcessContext,
    source: SocketAddr,
    missing: u64,
    download: &mut Download,
) -> bool {
    let (version, offset) = download.next(missing);
    let request = MeshRequest::ConfigPart(version, offset);
    let answer = request_peer(shared, source, request, PART_TIMEOUT).await;
    let Some(MeshResponse::ConfigPart(part)) = answer else {
        log::info!(
            "config: event=fetch peer={source} version={version} offset={offset} outcome=failed"
        );
        return false;
    };
    match download.receive(&part) {
        Ok(None) => true,
        Ok(Some(config)) => {
            log::info!(
                "config: event=fetch peer={source} version={} bytes={} outcome=complete",
                config.version,
                part.length
            );
            shared.apply_config(config)
        }
        Err(error) => {
            log::warn!("config: event=fetch peer={source} outcome=rejected reason=\"{error}\"");
            *download = Download::default();
            false
        }
    }
}

/// Asks for the latest version until the group has confirmed that it is in force here.
pub async fn confirm_config(shared: Arc<ProcessContext>) {
    loop {
        let answer = request_leader(&shared, &MeshRequest::LatestVersion, LEADER_TIMEOUT).await;
        if let MeshResponse::Version(version) = answer {
            let timed_out = async {
                Timer::after(LEADER_TIMEOUT.into()).await;
            };
            // Asked again after a while: there may be a newer version by then.
            wait_for_version(&shared, version).or(timed_out).await;
            if shared.state().held_config.confirm(version) {
                log::info!("config: event=confirmed version={version}");
                return;
            }
        }
        Timer::after(LEADER_RETRY_DELAY).await;
    }
}

/// Waits until `version` or a newer one is in force here.
async fn wait_for_version(shared: &ProcessContext, version: u64) {
    shared.record_config_version(version);
    loop {
        let listener = shared.config_news.listen();
        if shared.config_version() >= version {
            return;
        }
        listener.await;
    }
}

/// Returns the latest configuration, as submitted, if the group confirms its version and it
/// is in force here in time.
pub async fn read_latest(shared: &ProcessContext) -> Option<Vec<u8>> {
    let read = async {
        let answer = request_leader(shared, &MeshRequest::LatestVersion, LEADER_TIMEOUT).await;
        let MeshResponse::Version(version) = answer else {
            return None;
        };
        wait_for_version(shared, version).await;
        let present = shared.state().held_config.present().cloned();
        present?.body.unpack().ok()
    };
    let timed_out = async {
        Timer::after(READ_TIMEOUT.into()).await;
        None
    };
    read.or(timed_out).await
}
