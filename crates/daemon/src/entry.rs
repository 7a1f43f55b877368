//! The instance that callers reach.
//!
//! - [`acquire`]: an endpoint with room, or a wait for one.
//! - [`budget`]: leases, grants, reservations and receipts.
//! - [`drive`]: the way of one request to an endpoint and back.
//! - [`flow`]: one answer, shared by all callers that ask for it.
//! - [`front`]: the HTTP interface.
//! - [`meter`]: counts for metrics and the service-level report.
//! - [`peers`]: news from the keepers.
//! - [`stream`]: frames of one attempt.
//! - [`tables`]: the shared tables and their lock order.

pub mod acquire;
pub mod budget;
pub mod drive;
pub mod flow;
pub mod front;
pub mod meter;
pub mod peers;
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
use self::meter::Meter;
use self::tables::Tables;
use crate::settings::EntrySettings;
use crate::settings::KeeperPeer;

/// How long the balancer is given to notice that this instance stops.
const NOTICE: Duration = Duration::from_secs(2);

/// Longest time that a planned stop waits for open answers.
const STOP_WAIT: Duration = Duration::from_mins(2);

/// Time between two looks at what is left to finish.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// What an entry needs of its process.
#[derive(Clone)]
pub struct Context {
    /// The pool.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// The keepers.
    pub keepers: Vec<KeeperPeer>,
    /// The failure domain.
    pub domain: String,
    /// The process's name.
    pub name: String,
    /// Whether the process takes new callers.
    pub health: Health,
    /// The process's metrics.
    pub metrics: Metrics,
}

/// A running entry.
#[derive(Clone)]
pub struct Entry {
    /// What the entry has of its process.
    pub(crate) context: Context,
    /// The connections to peers.
    pub(crate) node: Node,
    /// The shared tables.
    pub(crate) tables: Arc<Tables>,
    /// The leases and reservations.
    pub(crate) budget: Arc<Budget>,
    /// The counts.
    pub(crate) meter: Arc<Meter>,
    server: Server,
}

impl Entry {
    /// Serves callers at the address of the settings.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn bind(context: &Context, settings: &EntrySettings, node: &Node) -> io::Result<Self> {
        let id = EntryId::from_name(&context.name);
        let tables = Arc::new(Tables::new(id, &context.domain));
        let budget = Arc::new(Budget::new(id, &context.domain, &context.keepers));
        let meter = Arc::new(Meter::new(&context.metrics));
        let (sender, receiver) = async_channel::bounded::<Self>(1);
        let handler = front::handler(receiver);
        let server = Server::bind(&context.pool, settings.caller_address, handler)?;
        let entry = Self {
            context: context.clone(),
            node: node.clone(),
            tables,
            budget,
            meter,
            server,
        };
        // The handler waits for the entry before it answers its first caller.
        let _ = sender.try_send(entry.clone());
        entry.start();
        Ok(entry)
    }

    fn start(&self) {
        let pool = &self.context.pool;
        for peer in self.context.keepers.clone() {
            pool.spawn(peers::watch(self.clone(), peer));
        }
        pool.spawn(budget::renew(self.clone()));
        pool.spawn(budget::report(self.clone()));
        pool.spawn(acquire::serve_queue(self.clone()));
    }

    /// Breaks off everything at once, as a lost process would.
    pub fn kill(&self) {
        self.server.abort();
        self.context.health.set_stopping();
        self.tables.abandon();
    }

    /// Returns where callers are served.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counts.
    #[must_use]
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns the number of answers under way.
    #[must_use]
    pub fn open(&self) -> usize {
        self.tables.open()
    }

    /// Returns the open reservations.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.budget.open()
    }

    /// Returns whether a document is in force and an endpoint is known.
    #[must_use]
    pub fn ready(&self) -> bool {
        let now = self.context.clock.now();
        self.tables.document().number > 0 && self.tables.usable(now) > 0
    }

    /// Returns the number of endpoints that can be chosen.
    #[must_use]
    pub fn sees(&self) -> usize {
        self.tables.usable(self.context.clock.now())
    }

    /// Answers a peer's question.
    #[must_use]
    pub fn ask(&self, ask: &PeerRequest) -> PeerResponse {
        match ask {
            PeerRequest::Recall(team, need) => self.budget.recall(*team, *need),
            _ => PeerResponse::Unsupported,
        }
    }

    /// Turns the balancer away, finishes open answers and gives leases back.
    pub async fn stop(&self) {
        self.context.health.set_stopping();
        log::info!("entry: the balancer is turned away");
        Timer::after(NOTICE).await;
        self.server.close();
        let mut waited = Duration::ZERO;
        while (self.open() > 0 || self.budget.owes()) && waited < STOP_WAIT {
            Timer::after(STOP_LOOK).await;
            waited += STOP_LOOK;
        }
        budget::close_all(self).await;
    }
}
