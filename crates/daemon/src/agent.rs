//! The agent role: the sidecar beside an endpoint, which runs requests of entries there.
//!
//! - [`run`]: one request at the endpoint.
//! - [`state`]: admission, response buffers and receipts.

pub mod run;
pub mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::AgentId;
use base::EndpointId;
use base::Span;
use base::time::Clock;
use config::Document;
use engine::control;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::node::FrameSender;
use fleet::wire::DocumentUpdate;
use fleet::wire::StreamRequest;
use host::Pool;
use routing::EndpointAnnouncement;

use self::state::AgentState;
use crate::settings::AgentSettings;
use crate::settings::KeeperPeer;

/// Time between two announcements, and between two reads of the endpoint's load.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two attempts to deliver receipts.
const DELIVERY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for a keeper's response.
const KEEPER_TIMEOUT: Span = Span::millis(1_500);

/// Longest time for which a planned stop waits for running requests.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(2);

/// What the process provides to its agent.
#[derive(Clone)]
pub struct Context {
    /// The worker pool.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// The keepers.
    pub keepers: Vec<KeeperPeer>,
    /// The failure domain.
    pub domain: String,
}

/// A handle to a running agent.
#[derive(Clone)]
pub struct Agent {
    context: Context,
    settings: AgentSettings,
    state: Arc<AgentState>,
}

impl Agent {
    /// Returns a new agent; [`Self::start`] starts its tasks.
    #[must_use]
    pub fn spawn(context: &Context, settings: &AgentSettings) -> Self {
        let id = AgentId {
            endpoint: EndpointId::from_name(&settings.name),
            epoch: fastrand::u64(1..),
        };
        Self {
            context: context.clone(),
            settings: settings.clone(),
            state: Arc::new(AgentState::new(id)),
        }
    }

    /// Starts the agent's background tasks.
    pub fn start(&self, node: &Node) {
        for peer in self.context.keepers.clone() {
            let announce = self.clone().announce_to(node.clone(), peer.clone());
            self.context.pool.spawn(announce);
            let deliver = self.clone().deliver_receipts(node.clone(), peer);
            self.context.pool.spawn(deliver);
        }
        self.context.pool.spawn(self.clone().poll_load());
    }

    /// Returns the agent's state, for tests and metrics.
    #[must_use]
    pub fn state(&self) -> &Arc<AgentState> {
        &self.state
    }

    /// Handles a peer's request and returns the response.
    #[must_use]
    pub fn handle_request(&self, request: &PeerRequest) -> PeerResponse {
        match *request {
            PeerRequest::FenceLease(lease) => {
                let clear = self.state.fence_lease(lease);
                PeerResponse::LeaseFenced(self.state.id(), clear)
            }
            PeerRequest::Revoke(agent, request) => {
                // Only the process that got the request knows whether it may still start; that
                // may be another process of the same endpoint.
                let is_own = agent == self.state.id();
                let now = self.context.clock.now();
                PeerResponse::Revoked(is_own && self.state.revoke(request, now))
            }
            PeerRequest::Cancel(request) => {
                self.state.cancel(request);
                PeerResponse::Done
            }
            _ => PeerResponse::Unsupported,
        }
    }

    /// Serves a request for a stream of frames.
    pub async fn serve_stream(&self, open: StreamRequest, frames: FrameSender) {
        run::serve(self, open, frames).await;
    }

    async fn announce_to(self, node: Node, peer: KeeperPeer) {
        // The endpoint is announced only once its service names are known.
        while self.state.load().served_names.is_empty() && !self.state.is_stopped() {
            Timer::after(DELIVERY_INTERVAL).await;
        }
        loop {
            let announcement = self.announcement(node.address(), false);
            let request = PeerRequest::Announce(announcement);
            let response = node.request(peer.address, request, KEEPER_TIMEOUT).await;
            if let Ok(PeerResponse::Changes(_, update)) = response {
                self.apply_update(update);
            }
            if self.state.is_stopped() {
                return;
            }
            Timer::after(ANNOUNCE_INTERVAL).await;
        }
    }

    fn announcement(&self, address: SocketAddr, is_final: bool) -> EndpointAnnouncement {
        let load = self.state.load();
        EndpointAnnouncement {
            agent: self.state.id(),
            name: self.settings.name.clone(),
            address,
            domain: self.context.domain.clone(),
            service_names: load.served_names.clone(),
            max_requests: load.capacity,
            active_requests: load.active_requests,
            load_age: self.state.load_age(self.context.clock.now()),
            draining: self.state.is_draining(),
            final_announcement: is_final,
            document_number: self.state.document().number,
        }
    }

    fn apply_update(&self, update: DocumentUpdate) {
        let number = self.state.document().number;
        let new_document = match update {
            DocumentUpdate::Unchanged => return,
            DocumentUpdate::Full(document) => *document,
            DocumentUpdate::Patches(patches) => {
                match apply_patches(&self.state.document(), &patches) {
                    Some(document) => document,
                    None => return,
                }
            }
        };
        if new_document.number > number {
            let is_stopping = new_document.is_stopping(&self.settings.name);
            self.state.set_document(Arc::new(new_document), is_stopping);
        }
    }

    async fn poll_load(self) {
        loop {
            let now = self.context.clock.now();
            match control::fetch_load(self.settings.endpoint_address).await {
                Ok(load) => self.state.set_load(load, now),
                Err(error) => {
                    self.state.mark_endpoint_down();
                    log::warn!("agent: failed to read the endpoint's load: {error}");
                }
            }
            for request in self.state.expire(now) {
                log::debug!("agent: removed expired request {request}");
            }
            if self.state.is_stopped() {
                return;
            }
            Timer::after(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn deliver_receipts(self, node: Node, peer: KeeperPeer) {
        loop {
            let receipts = self.state.next_receipts(peer.id);
            if !receipts.is_empty() {
                let request = PeerRequest::Receipts(receipts.clone());
                let response = node.request(peer.address, request, KEEPER_TIMEOUT).await;
                if let Ok(PeerResponse::Bills(bills)) = response {
                    self.state.remove_delivered(peer.id, &receipts, &bills);
                }
            }
            if self.state.is_stopped() {
                return;
            }
            Timer::after(DELIVERY_INTERVAL).await;
        }
    }

    /// Accepts no new requests, and waits until running requests have finished and all
    /// receipts are delivered, but no longer than the drain timeout.
    pub async fn stop(&self, node: &Node) {
        self.state.drain();
        log::info!("agent: draining, accepts no new requests");
        let mut waited = Duration::ZERO;
        while !self.state.is_idle() && waited < DRAIN_TIMEOUT {
            Timer::after(DELIVERY_INTERVAL).await;
            waited += DELIVERY_INTERVAL;
        }
        let drained = self.state.is_idle();
        self.state.stop();
        for peer in &self.context.keepers {
            let announcement = self.announcement(node.address(), drained);
            let _ = node
                .request(
                    peer.address,
                    PeerRequest::Announce(announcement),
                    KEEPER_TIMEOUT,
                )
                .await;
        }
    }
}

/// Applies patches in order; returns `None` if one doesn't apply.
#[must_use]
pub fn apply_patches(document: &Document, patches: &[config::Patch]) -> Option<Document> {
    let mut current = document.clone();
    for patch in patches {
        current = patch.apply(&current).ok()?;
    }
    Some(current)
}
