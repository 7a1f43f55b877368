//! The entry role: accepts callers' requests and runs them on the fleet's endpoints.
//!
//! - [`admission`]: assigns requests to endpoints and queues them for capacity.
//! - [`answer`]: an answer, shared by all callers with the same idempotency key.
//! - [`budget`]: leases, grants, reservations and receipts.
//! - [`execution`]: runs a request, with retries, until it has an outcome.
//! - [`http_api`]: the HTTP interface for callers.
//! - [`keeper_watch`]: endpoint and document updates from the keepers.
//! - [`metrics`]: the metrics and the counts of the service-level report.
//! - [`stream`]: receives the frames of one attempt.
//! - [`tables`]: the shared tables and their lock order.

pub mod admission;
pub mod answer;
pub mod budget;
pub mod execution;
pub mod http_api;
pub mod keeper_watch;
pub mod metrics;
pub mod stream;
pub mod tables;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::EntryId;
use base::time::Clock;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use host::Health;
use host::Pool;
use host::http::Server;
use host::metrics::Metrics;

use self::budget::Budget;
use self::metrics::EntryMetrics;
use self::tables::Tables;
use crate::settings::EntrySettings;
use crate::settings::KeeperPeer;

/// Time for the load balancer to observe that this instance is stopping.
const BALANCER_NOTICE: Duration = Duration::from_secs(2);

/// Maximum time that a planned stop waits for open answers and unanswered receipts.
const STOP_TIMEOUT: Duration = Duration::from_mins(2);

/// Time between two checks whether a planned stop can complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of its process that an entry uses.
#[derive(Clone)]
pub struct Context {
    /// The task pool.
    pub pool: Pool,
    /// The monotonic clock.
    pub clock: Clock,
    /// The keepers.
    pub keepers: Vec<KeeperPeer>,
    /// The failure domain.
    pub domain: String,
    /// The name of the process, from which the entry's identifier is derived.
    pub name: String,
    /// The health state that the process reports.
    pub health: Health,
    /// The registry of the process's metrics.
    pub metrics: Metrics,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    /// The parts of its process that the entry uses.
    pub(crate) context: Context,
    /// The connections to peers.
    pub(crate) node: Node,
    /// The shared tables.
    pub(crate) tables: Arc<Tables>,
    /// The leases and reservations.
    pub(crate) budget: Arc<Budget>,
    /// The metrics and service-level counts.
    pub(crate) metrics: Arc<EntryMetrics>,
    server: Server,
}

impl Entry {
    /// Starts an entry that serves callers at the address in `settings`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn bind(context: &Context, settings: &EntrySettings, node: &Node) -> io::Result<Self> {
        let id = EntryId::from_name(&context.name);
        let tables = Arc::new(Tables::new(id, &context.domain));
        let budget = Arc::new(Budget::new(id, &context.domain, &context.keepers));
        let metrics = Arc::new(EntryMetrics::new(&context.metrics));
        let (sender, receiver) = async_channel::bounded::<Self>(1);
        let handler = http_api::handler(receiver);
        let server = Server::bind(&context.pool, settings.caller_address, handler)?;
        let entry = Self {
            context: context.clone(),
            node: node.clone(),
            tables,
            budget,
            metrics,
            server,
        };
        // The handler waits for the entry before it responds to its first caller.
        let _ = sender.try_send(entry.clone());
        entry.start();
        Ok(entry)
    }

    fn start(&self) {
        let pool = &self.context.pool;
        for peer in self.context.keepers.clone() {
            pool.spawn(keeper_watch::watch_keeper(self.clone(), peer));
        }
        pool.spawn(budget::renew_leases(self.clone()));
        pool.spawn(budget::deliver_receipts(self.clone()));
        pool.spawn(admission::poll_queue(self.clone()));
    }

    /// Aborts all connections and open answers at once, as a crash of the process would.
    pub fn abort(&self) {
        self.server.abort();
        self.context.health.set_stopping();
        self.tables.fail_answers();
    }

    /// Returns the address at which callers are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the metrics and service-level counts.
    #[must_use]
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Returns the number of answers in progress.
    #[must_use]
    pub fn open_answers(&self) -> usize {
        self.tables.open_answers()
    }

    /// Returns the number of open reservations.
    #[must_use]
    pub fn reservation_count(&self) -> usize {
        self.budget.reservation_count()
    }

    /// Returns whether a document is in force and an endpoint is usable.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = self.context.clock.now();
        self.tables.document().number > 0 && self.tables.usable_endpoints(now) > 0
    }

    /// Returns the number of endpoints that can be selected.
    #[must_use]
    pub fn usable_endpoints(&self) -> usize {
        self.tables.usable_endpoints(self.context.clock.now())
    }

    /// Handles a request from a peer.
    #[must_use]
    pub fn handle_peer_request(&self, request: &PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Recall(team, need) => self.budget.recall(*team, *need),
            _ => PeerResponse::Unsupported,
        }
    }

    /// Reports the process as stopping, waits for open answers and closes the leases.
    pub async fn stop(&self) {
        self.context.health.set_stopping();
        log::info!("entry: stopping; health reports not serving");
        Timer::after(BALANCER_NOTICE).await;
        self.server.close();
        let mut waited = Duration::ZERO;
        while (self.open_answers() > 0 || self.budget.has_receipts()) && waited < STOP_TIMEOUT {
            Timer::after(STOP_POLL_INTERVAL).await;
            waited += STOP_POLL_INTERVAL;
        }
        budget::close_leases(self).await;
    }
}
