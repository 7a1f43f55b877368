//! The process beside an endpoint.
//!
//! - [`run`]: one request at the endpoint.
//! - [`tables`]: the gate, spools and receipts.

pub mod run;
pub mod tables;

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

use self::tables::Tables;
use crate::settings::AgentSettings;
use crate::settings::Peer;

/// Time between two announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);

/// Time between two tries to deliver receipts.
const DELIVER: Duration = Duration::from_millis(50);

/// Longest wait for a keeper's answer.
const KEEPER_WAIT: Span = Span::millis(1_500);

/// Longest time that a planned stop waits for running requests.
const STOP_WAIT: Duration = Duration::from_mins(2);

/// What an agent needs of its process.
#[derive(Clone)]
pub struct Context {
    /// The pool.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// The keepers.
    pub keepers: Vec<Peer>,
    /// The failure domain.
    pub domain: String,
}

/// A running agent.
#[derive(Clone)]
pub struct Agent {
    context: Context,
    settings: AgentSettings,
    tables: Arc<Tables>,
}

impl Agent {
    /// Starts the agent; it announces itself once it has a node.
    #[must_use]
    pub fn spawn(context: &Context, settings: &AgentSettings) -> Self {
        let id = AgentId {
            endpoint: EndpointId::from_name(&settings.name),
            epoch: fastrand::u64(1..),
        };
        Self {
            context: context.clone(),
            settings: settings.clone(),
            tables: Arc::new(Tables::new(id)),
        }
    }

    /// Starts the agent's own tasks.
    pub fn start(&self, node: &Node) {
        for peer in self.context.keepers.clone() {
            let announce = self.clone().announce_to(node.clone(), peer.clone());
            self.context.pool.spawn(announce);
            let deliver = self.clone().deliver_to(node.clone(), peer);
            self.context.pool.spawn(deliver);
        }
        self.context.pool.spawn(self.clone().watch_load());
    }

    /// Returns the tables, for tests and metrics.
    #[must_use]
    pub fn tables(&self) -> &Arc<Tables> {
        &self.tables
    }

    /// Answers a peer's question.
    #[must_use]
    pub fn ask(&self, ask: &PeerRequest) -> PeerResponse {
        match *ask {
            PeerRequest::FenceLease(lease) => {
                let clear = self.tables.bar(lease);
                PeerResponse::LeaseFenced(self.tables.id(), clear)
            }
            PeerRequest::Revoke(agent, request) => {
                // Another process of this endpoint can't vouch for the one asked.
                let ours = agent == self.tables.id();
                let now = self.context.clock.now();
                PeerResponse::Revoked(ours && self.tables.call_off(request, now))
            }
            PeerRequest::Cancel(request) => {
                self.tables.cancel(request);
                PeerResponse::Done
            }
            _ => PeerResponse::Unsupported,
        }
    }

    /// Serves a stream of frames.
    pub async fn open(&self, open: StreamRequest, frames: FrameSender) {
        run::serve(self, open, frames).await;
    }

    async fn announce_to(self, node: Node, peer: Peer) {
        // An endpoint is announced once it's known what it serves.
        while self.tables.load().served_names.is_empty() && !self.tables.stopped() {
            Timer::after(DELIVER).await;
        }
        loop {
            let announce = self.announcement(node.address(), false);
            let ask = PeerRequest::Announce(announce);
            let answer = node.request(peer.address, ask, KEEPER_WAIT).await;
            if let Ok(PeerResponse::Changes(_, news)) = answer {
                self.take_news(news);
            }
            if self.tables.stopped() {
                return;
            }
            Timer::after(ANNOUNCE).await;
        }
    }

    fn announcement(&self, address: SocketAddr, last: bool) -> EndpointAnnouncement {
        let load = self.tables.load();
        EndpointAnnouncement {
            agent: self.tables.id(),
            name: self.settings.name.clone(),
            address,
            domain: self.context.domain.clone(),
            service_names: load.served_names.clone(),
            max_requests: load.capacity,
            active_requests: load.active_requests,
            load_age: self.tables.load_age(self.context.clock.now()),
            draining: self.tables.leaving(),
            final_announcement: last,
            document_number: self.tables.document().number,
        }
    }

    fn take_news(&self, news: DocumentUpdate) {
        let number = self.tables.document().number;
        let newer = match news {
            DocumentUpdate::Unchanged => return,
            DocumentUpdate::Full(document) => *document,
            DocumentUpdate::Patches(patches) => match follow(&self.tables.document(), &patches) {
                Some(document) => document,
                None => return,
            },
        };
        if newer.number > number {
            let stops = newer.is_stopping(&self.settings.name);
            self.tables.set_document(Arc::new(newer), stops);
        }
    }

    async fn watch_load(self) {
        loop {
            let now = self.context.clock.now();
            match control::fetch_load(self.settings.endpoint).await {
                Ok(load) => self.tables.set_load(load, now),
                Err(error) => {
                    self.tables.endpoint_down();
                    log::warn!("agent: the endpoint gives no load: {error}");
                }
            }
            for request in self.tables.forget(now) {
                log::debug!("agent: {request} is forgotten");
            }
            if self.tables.stopped() {
                return;
            }
            Timer::after(ANNOUNCE).await;
        }
    }

    async fn deliver_to(self, node: Node, peer: Peer) {
        loop {
            let receipts = self.tables.receipts(peer.number);
            if !receipts.is_empty() {
                let ask = PeerRequest::Receipts(receipts.clone());
                let answer = node.request(peer.address, ask, KEEPER_WAIT).await;
                if let Ok(PeerResponse::Bills(bills)) = answer {
                    self.tables.delivered(peer.number, &receipts, &bills);
                }
            }
            if self.tables.stopped() {
                return;
            }
            Timer::after(DELIVER).await;
        }
    }

    /// Takes no new work, finishes what runs and hands over all receipts.
    pub async fn stop(&self, node: &Node) {
        self.tables.stop_taking();
        log::info!("agent: takes no new work");
        let mut waited = Duration::ZERO;
        while !self.tables.idle() && waited < STOP_WAIT {
            Timer::after(DELIVER).await;
            waited += DELIVER;
        }
        let clean = self.tables.idle();
        self.tables.stop();
        for peer in &self.context.keepers {
            let announce = self.announcement(node.address(), clean);
            let _ = node
                .request(peer.address, PeerRequest::Announce(announce), KEEPER_WAIT)
                .await;
        }
    }
}

/// Applies patches in order, or nothing where one doesn't fit.
#[must_use]
pub fn follow(document: &Document, patches: &[config::Patch]) -> Option<Document> {
    let mut current = document.clone();
    for patch in patches {
        current = patch.apply(&current).ok()?;
    }
    Some(current)
}
