//! A process with one or more roles, started from its settings.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::time::Clock;
use fleet::FleetError;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::node::BoxFuture;
use host::Health;
use host::Pool;
use host::http::Server;
use host::http::full_response;
use host::metrics::Metrics;
use operator::Identities;
use thiserror::Error;

use crate::agent;
use crate::agent::Agent;
use crate::entry;
use crate::entry::Entry;
use crate::keeper::Keeper;
use crate::keeper::KeeperError;
use crate::keeper::console;
use crate::keeper::driver;
use crate::settings::Settings;

/// An error that prevents a process from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The transport or the credentials can't be used.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The keeper can't start.
    #[error(transparent)]
    Keeper(#[from] KeeperError),
    /// An address can't be bound.
    #[error("{address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// A running process.
#[derive(Clone)]
pub struct Process {
    /// The connections to peers.
    pub node: Node,
    /// The entry role.
    pub entry: Option<Entry>,
    /// The agent role.
    pub agent: Option<Agent>,
    /// The keeper role.
    pub keeper: Option<Keeper>,
    /// Whether the process accepts new callers.
    pub health: Health,
    /// The metrics.
    pub metrics: Metrics,
    settings: Settings,
}

/// The roles that handle peers' requests.
///
/// The entry is set later, because it's bound after the node.
#[derive(Clone)]
struct Roles {
    entry: Arc<async_lock::OnceCell<Entry>>,
    agent: Option<Agent>,
    keeper: Option<Keeper>,
}

impl Roles {
    async fn handle_request(self, request: PeerRequest) -> PeerResponse {
        match &request {
            PeerRequest::Recall(..) => match self.entry.get() {
                Some(entry) => entry.handle_peer_request(&request),
                None => PeerResponse::Unsupported,
            },
            PeerRequest::FenceLease(_) | PeerRequest::Revoke(..) | PeerRequest::Cancel(_) => {
                match &self.agent {
                    Some(agent) => agent.handle_request(&request),
                    None => PeerResponse::Unsupported,
                }
            }
            _ => match &self.keeper {
                Some(keeper) => keeper.handle_request(request).await,
                None => PeerResponse::Unsupported,
            },
        }
    }

    fn service(&self) -> Service {
        let roles = self.clone();
        let agent = self.agent.clone();
        Service {
            on_request: Arc::new(move |_, request| {
                Box::pin(roles.clone().handle_request(request)) as BoxFuture<PeerResponse>
            }),
            on_stream: Arc::new(move |open, frames| {
                let agent = agent.clone();
                let serve = async move {
                    if let Some(agent) = agent {
                        agent.serve_stream(open, frames).await;
                    }
                };
                Box::pin(serve) as BoxFuture<()>
            }),
        }
    }
}

impl Process {
    /// Starts the roles of `settings` on `pool`.
    ///
    /// # Errors
    ///
    /// Fails if the credentials, the data folder or an address can't be used.
    pub fn spawn(pool: &Pool, settings: &Settings) -> Result<Self, StartError> {
        let socket = UdpSocket::bind(settings.listen_address).map_err(FleetError::from)?;
        Self::spawn_on(pool, settings, socket)
    }

    /// Starts the roles of `settings` like [`Self::spawn`]. Peers are served on `socket`,
    /// which is already bound.
    ///
    /// # Errors
    ///
    /// Fails if the credentials, the data folder, the socket or an address can't be used.
    pub fn spawn_on(
        pool: &Pool,
        settings: &Settings,
        socket: UdpSocket,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let credentials = TlsCredentials::load(&settings.keys_folder, &settings.name)?;
        let (sender, receiver) = async_channel::bounded(1);
        let keeper = match &settings.keeper {
            Some(role) => {
                let context = driver::Context {
                    pool: pool.clone(),
                    clock,
                    peers: settings.keepers.clone(),
                    domain: settings.domain.clone(),
                };
                Some(Keeper::open(&context, role, receiver)?)
            }
            None => None,
        };
        let agent = settings.agent.as_ref().map(|role| {
            let context = agent::Context {
                pool: pool.clone(),
                clock,
                keepers: settings.keepers.clone(),
                domain: settings.domain.clone(),
            };
            Agent::spawn(&context, role)
        });
        let roles = Roles {
            entry: Arc::default(),
            agent: agent.clone(),
            keeper: keeper.clone(),
        };
        let node = Node::bind_socket(
            pool,
            socket,
            &credentials,
            roles.service(),
            fleet::node::MAX_FRAME_STREAMS,
        )?;
        let _ = sender.try_send(node.clone());
        if let Some(agent) = &agent {
            agent.start(&node);
        }
        let health = Health::default();
        let metrics = Metrics::default();
        health.set_ready(settings.entry.is_none());
        let entry = match &settings.entry {
            Some(role) => {
                let context = entry::Context {
                    pool: pool.clone(),
                    clock,
                    keepers: settings.keepers.clone(),
                    domain: settings.domain.clone(),
                    name: settings.name.clone(),
                    health: health.clone(),
                    metrics: metrics.clone(),
                };
                let bound = Entry::bind(&context, role, &node);
                Some(bound.map_err(|source| StartError::Bind {
                    address: role.caller_address,
                    source,
                })?)
            }
            None => None,
        };
        if let Some(entry) = &entry {
            // This is set only once, and before any peer knows this process.
            let _ = roles.entry.set_blocking(entry.clone());
        }
        let process = Self {
            node,
            entry,
            agent,
            keeper,
            health,
            metrics,
            settings: settings.clone(),
        };
        process.serve_platform(pool)?;
        process.serve_operators(pool)?;
        pool.spawn(rotate_credentials(process.node.clone(), settings.clone()));
        Ok(process)
    }

    /// Serves health, metrics and service-level counts to the platform.
    fn serve_platform(&self, pool: &Pool) -> Result<(), StartError> {
        let Some(address) = self.settings.platform_address else {
            return Ok(());
        };
        let process = self.clone();
        let faults = self.metrics.gauge(
            "keeper_conservation_faults",
            "Breaches of the conservation law seen by this keeper",
        );
        let handler = move |request: http_types::Request| {
            if let Some(keeper) = &process.keeper {
                faults.set(i64::try_from(keeper.faults()).unwrap_or(i64::MAX));
            }
            let response = process.platform_response(request.url().path());
            Box::pin(std::future::ready(response)) as host::http::BoxFuture<_>
        };
        let bound = Server::bind(pool, address, Arc::new(handler));
        bound.map_err(|source| StartError::Bind { address, source })?;
        Ok(())
    }

    /// Serves the operators' HTTP interface if the process has the keeper role.
    fn serve_operators(&self, pool: &Pool) -> Result<(), StartError> {
        let (Some(keeper), Some(role)) = (&self.keeper, &self.settings.keeper) else {
            return Ok(());
        };
        let identities = Identities::new(role.identities.clone());
        let handler = operator::api::handler(identities, console::backend(keeper));
        let address = role.operator_address;
        let bound = Server::bind(pool, address, handler);
        bound.map_err(|source| StartError::Bind { address, source })?;
        Ok(())
    }

    fn platform_response(&self, path: &str) -> http_types::Response {
        match path {
            "/health" if self.health.is_serving() => full_response(200, "text/plain", "serving\n"),
            "/health" => full_response(503, "text/plain", "not serving\n"),
            "/metrics" => {
                let media_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                full_response(200, media_type, self.metrics.render())
            }
            "/service-level" => {
                let slots = self.entry.as_ref().map(|entry| entry.metrics().slots());
                let body = serde_json::to_string(&slots.unwrap_or_default());
                full_response(200, "application/json", body.unwrap_or_default())
            }
            _ => full_response(404, "text/plain", "no such page\n"),
        }
    }

    /// Performs a planned stop: of the entry first, then the agent, then the keeper.
    pub async fn stop(&self) {
        if let Some(entry) = &self.entry {
            entry.stop().await;
        }
        if let Some(agent) = &self.agent {
            agent.stop(&self.node).await;
        }
        if let Some(keeper) = &self.keeper {
            keeper.stop().await;
        }
        self.node.close();
    }
}

/// Time between two checks whether the certificate file has changed.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Loads new credentials when the certificate file changes.
async fn rotate_credentials(mut node: Node, settings: Settings) {
    let path = settings.keys_folder.join(format!("{}.pem", settings.name));
    let modified_time = || {
        std::fs::metadata(&path)
            .and_then(|meta| meta.modified())
            .ok()
    };
    let mut loaded = modified_time();
    while !node.is_closed() {
        Timer::after(KEY_CHECK_INTERVAL).await;
        let found = modified_time();
        if found == loaded {
            continue;
        }
        let credentials = TlsCredentials::load(&settings.keys_folder, &settings.name);
        match credentials.and_then(|credentials| node.rotate(&credentials)) {
            Ok(()) => {
                log::info!("fleet: new credentials are in use");
                loaded = found;
            }
            Err(error) => log::warn!("fleet: failed to rotate to the new credentials: {error}"),
        }
    }
}
