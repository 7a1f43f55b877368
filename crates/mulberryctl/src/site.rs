//! A site on loopback, with fake engines and services as its endpoints, all in one process.
//!
//! The demo, the benches and the tests start it from a [`Layout`].

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use base::Digest;
use base::KeeperId;
use base::Span;
use base::Tokens;
use config::Document;
use config::document::Call;
use config::document::Model;
use config::document::Priority;
use config::document::Service;
use config::document::Team;
use daemon::Process;
use daemon::Settings;
use daemon::settings::AgentSettings;
use daemon::settings::EndpointKind;
use daemon::settings::EntrySettings;
use daemon::settings::KeeperPeer;
use daemon::settings::KeeperSettings;
use eyre::Result;
use eyre::bail;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::TlsCredentials;
use fleet::node::BoxFuture;
use fleet::wire::Status;
use fleet::wire::SubmitOutcome;
use host::Pool;
use standin::EngineProfile;
use standin::FakeEngine;
use standin::FakeService;
use standin::Faults;

/// The name of the model that the engines of a local site serve.
pub const MODEL_NAME: &str = "assistant";

/// The name of the plain service of a local site.
pub const SERVICE_NAME: &str = "desk";

/// Maximum wait for the answer to an operator's request.
const OPERATOR_TIMEOUT: Span = Span::secs(3);

/// Maximum wait for a site to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The size of a local site and the settings of its teams and engines.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of failure domains, each with a keeper and an entry.
    pub domains: usize,
    /// Number of model engines, spread over the domains.
    pub engines: usize,
    /// Number of plain services, spread over the domains.
    pub services: usize,
    /// Number of teams.
    pub teams: usize,
    /// Budget of each team, in tokens.
    pub team_budget: u64,
    /// Speed and capacity of the engines.
    pub engine_profile: EngineProfile,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: 3,
            engines: 6,
            services: 2,
            teams: 10,
            team_budget: 1_000_000,
            engine_profile: EngineProfile::default(),
        }
    }
}

/// The thread pools on which the processes of a local site run.
#[derive(Clone)]
pub struct ProcessPools {
    /// The pool of the entries.
    pub entries: Pool,
    /// The pool of the agents.
    pub agents: Pool,
    /// The pool of the keepers, the fake engines and services, and the operator's node.
    pub others: Pool,
}

/// A running local site.
pub struct LocalSite {
    /// The thread pools of the processes.
    pub pools: ProcessPools,
    /// The folder of keys and data; removed on drop.
    pub folder: PathBuf,
    /// The keeper processes, one for each domain.
    pub keepers: Vec<Process>,
    /// The entry processes, one for each domain.
    pub entries: Vec<Process>,
    /// The agent processes: those of the engines first, then those of the services.
    pub agents: Vec<Process>,
    /// The fake engines.
    pub engines: Vec<FakeEngine>,
    /// The fake services.
    pub services: Vec<FakeService>,
    /// The bearer keys of the teams.
    pub bearer_keys: Vec<String>,
    /// The keepers' numbers, addresses and domains.
    pub peers: Vec<KeeperPeer>,
    /// The node that sends the operator's requests.
    pub operator: Node,
    settings: BTreeMap<String, Settings>,
}

/// Returns the loopback address with port 0, for which the system picks a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns `count` loopback sockets, bound to ports that the system picks.
fn bind_sockets(count: usize) -> Result<Vec<UdpSocket>> {
    let sockets: std::io::Result<Vec<UdpSocket>> =
        (0..count).map(|_| UdpSocket::bind(loopback())).collect();
    Ok(sockets?)
}

/// Returns the name of team `n`.
#[must_use]
pub fn team_name(n: usize) -> String {
    format!("team-{n}")
}

/// Returns the bearer key of team `n` in a local site.
#[must_use]
pub fn bearer_key(n: usize) -> String {
    format!("local-key-{n}")
}

/// Returns the initial document of a local site: `teams` teams with a budget of
/// `budget` tokens each, one model and one service.
#[must_use]
pub fn initial_document(teams: usize, budget: u64) -> Document {
    let mut document = Document {
        number: 1,
        ..Document::default()
    };
    for n in 0..teams {
        let team = Team {
            keys: vec![Digest::of(bearer_key(n).as_bytes()).to_hex()],
            budget: Tokens(budget),
            priority: Priority::Normal,
            weight: 1,
        };
        document.teams.insert(team_name(n), team);
    }
    let model = Model {
        context: 8_192,
        answer: 1_024,
    };
    document.models.insert(MODEL_NAME.to_owned(), model);
    let call = |path: &str, repeatable| Call {
        method: "POST".to_owned(),
        path: path.to_owned(),
        repeatable,
        price: Tokens(1),
    };
    let calls = BTreeMap::from([
        ("hold".to_owned(), call("/holds", false)),
        ("look".to_owned(), call("/look", true)),
    ]);
    let service = Service {
        timeout_ms: 8_000,
        calls,
    };
    document.services.insert(SERVICE_NAME.to_owned(), service);
    document
}

/// Binds a node that connects with the certificate `name` in `folder`.
///
/// # Errors
///
/// Fails where the keys can't be used or the node can't be bound.
pub fn operator_node(pool: &Pool, folder: &Path, name: &str) -> Result<Node> {
    let keys = TlsCredentials::load(folder, name)?;
    let service = fleet::Service {
        on_request: std::sync::Arc::new(|_, _| {
            Box::pin(std::future::ready(PeerResponse::Unsupported)) as BoxFuture<PeerResponse>
        }),
        on_stream: std::sync::Arc::new(|_, _| Box::pin(std::future::ready(())) as BoxFuture<()>),
    };
    Ok(Node::bind(
        pool,
        loopback(),
        &keys,
        service,
        fleet::node::MAX_FRAME_STREAMS,
    )?)
}

impl LocalSite {
    /// Deletes and recreates `folder`, starts a site in it and waits until it's ready.
    ///
    /// # Errors
    ///
    /// Fails where a process can't start or the site isn't ready in time.
    pub async fn start(pool: &Pool, folder: &Path, layout: &Layout) -> Result<Self> {
        let pools = ProcessPools {
            entries: pool.clone(),
            agents: pool.clone(),
            others: pool.clone(),
        };
        Self::start_with_pools(&pools, folder, layout).await
    }

    /// Starts a site as [`Self::start`] does, with separate pools for the roles.
    ///
    /// # Errors
    ///
    /// Fails where a process can't start or the site isn't ready in time.
    pub async fn start_with_pools(
        pools: &ProcessPools,
        folder: &Path,
        layout: &Layout,
    ) -> Result<Self> {
        let _ = fs::remove_dir_all(folder);
        let keys = folder.join("keys");
        fs::create_dir_all(&keys)?;
        fleet::credentials::create_authority(&keys)?;
        fleet::credentials::issue_certificate(&keys, "operator")?;
        // Keepers know each other's address before they start, and another process could
        // take a port that is free for a moment. They start on these sockets.
        let sockets = bind_sockets(layout.domains)?;
        let addresses: std::io::Result<Vec<SocketAddr>> =
            sockets.iter().map(UdpSocket::local_addr).collect();
        let addresses = addresses?;
        let peers: Vec<KeeperPeer> = addresses
            .iter()
            .zip(1..)
            .map(|(&address, number)| KeeperPeer {
                id: KeeperId(number),
                address,
                domain: format!("domain-{}", number - 1),
            })
            .collect();
        let operator = operator_node(&pools.others, &keys, "operator")?;
        let mut site = Self {
            pools: pools.clone(),
            folder: folder.to_owned(),
            keepers: Vec::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            bearer_keys: (0..layout.teams).map(bearer_key).collect(),
            peers,
            operator,
            settings: BTreeMap::new(),
        };
        site.start_keepers(sockets)?;
        site.start_endpoints(layout)?;
        site.submit_initial_document(layout).await?;
        site.start_entries(layout)?;
        site.wait_until_ready(layout.engines + layout.services)
            .await?;
        Ok(site)
    }

    fn common_settings(&self, name: &str, domain: usize) -> Settings {
        Settings {
            name: name.to_owned(),
            domain: format!("domain-{domain}"),
            listen_address: loopback(),
            keys_folder: self.folder.join("keys"),
            threads: 1,
            log_level: "warn".to_owned(),
            platform_address: None,
            keepers: self.peers.clone(),
            entry: None,
            agent: None,
            keeper: None,
        }
    }

    /// Issues a certificate where there is none and starts the process, on `socket` if it
    /// is already bound.
    fn spawn_process(&mut self, settings: Settings, socket: Option<UdpSocket>) -> Result<Process> {
        let keys = &settings.keys_folder;
        if !keys.join(format!("{}.pem", settings.name)).exists() {
            fleet::credentials::issue_certificate(keys, &settings.name)?;
        }
        let pool = if settings.entry.is_some() {
            &self.pools.entries
        } else if settings.agent.is_some() {
            &self.pools.agents
        } else {
            &self.pools.others
        };
        let process = match socket {
            Some(socket) => Process::spawn_on(pool, &settings, socket)?,
            None => Process::spawn(pool, &settings)?,
        };
        self.settings.insert(settings.name.clone(), settings);
        Ok(process)
    }

    fn start_keepers(&mut self, sockets: Vec<UdpSocket>) -> Result<()> {
        let peers = self.peers.clone();
        for (domain, (peer, socket)) in peers.into_iter().zip(sockets).enumerate() {
            let mut settings = self.common_settings(&format!("keeper-{domain}"), domain);
            settings.listen_address = peer.address;
            settings.keeper = Some(KeeperSettings {
                id: peer.id,
                data_folder: self.folder.join(format!("data-{domain}")),
                operator_address: loopback(),
                forms_group: true,
                identities: BTreeMap::new(),
            });
            let process = self.spawn_process(settings, Some(socket))?;
            self.keepers.push(process);
        }
        Ok(())
    }

    fn start_endpoints(&mut self, layout: &Layout) -> Result<()> {
        for n in 0..layout.engines {
            let faults = Faults::default();
            let engine = FakeEngine::spawn(
                &self.pools.others,
                loopback(),
                &[MODEL_NAME],
                layout.engine_profile,
                faults,
            )?;
            let name = format!("engine-{n}");
            self.start_agent(
                &name,
                n % layout.domains,
                engine.address(),
                EndpointKind::Engine,
            )?;
            self.engines.push(engine);
        }
        for n in 0..layout.services {
            let time = Duration::from_millis(5);
            let service = FakeService::spawn(&self.pools.others, loopback(), SERVICE_NAME, time)?;
            let name = format!("desk-{n}");
            self.start_agent(
                &name,
                n % layout.domains,
                service.address(),
                EndpointKind::Service,
            )?;
            self.services.push(service);
        }
        Ok(())
    }

    fn start_agent(
        &mut self,
        name: &str,
        domain: usize,
        endpoint: SocketAddr,
        kind: EndpointKind,
    ) -> Result<()> {
        let mut settings = self.common_settings(&format!("agent-{name}"), domain);
        settings.agent = Some(AgentSettings {
            name: name.to_owned(),
            endpoint_address: endpoint,
            kind,
            stall_ms: 1_000,
        });
        let process = self.spawn_process(settings, None)?;
        self.agents.push(process);
        Ok(())
    }

    fn start_entries(&mut self, layout: &Layout) -> Result<()> {
        for domain in 0..layout.domains {
            let mut settings = self.common_settings(&format!("entry-{domain}"), domain);
            settings.entry = Some(EntrySettings {
                caller_address: loopback(),
            });
            let process = self.spawn_process(settings, None)?;
            self.entries.push(process);
        }
        Ok(())
    }

    async fn submit_initial_document(&self, layout: &Layout) -> Result<()> {
        let document = initial_document(layout.teams, layout.team_budget);
        let started = Instant::now();
        loop {
            match self.submit(&document).await {
                Ok(SubmitOutcome::Accepted(_)) => return Ok(()),
                Ok(SubmitOutcome::Unknown) | Err(_) if started.elapsed() < READY_TIMEOUT => {
                    Timer::after(Duration::from_millis(100)).await;
                }
                other => bail!("the initial document was not accepted: {other:?}"),
            }
        }
    }

    /// Submits a document to the first keeper that answers.
    ///
    /// # Errors
    ///
    /// Fails where no keeper answers.
    pub async fn submit(&self, document: &Document) -> Result<SubmitOutcome> {
        for peer in &self.peers {
            let request = PeerRequest::Submit(Box::new(document.clone()), "demo".to_owned());
            let answer = self
                .operator
                .request(peer.address, request, OPERATOR_TIMEOUT)
                .await;
            if let Ok(PeerResponse::SubmitOutcome(outcome)) = answer
                && outcome != SubmitOutcome::Unknown
            {
                return Ok(outcome);
            }
        }
        bail!("no keeper answers")
    }

    /// Returns the status that keeper `n` reports.
    ///
    /// # Errors
    ///
    /// Fails where the keeper doesn't answer.
    pub async fn status(&self, n: usize) -> Result<Status> {
        let address = self.peers[n].address;
        match self
            .operator
            .request(address, PeerRequest::Status, OPERATOR_TIMEOUT)
            .await?
        {
            PeerResponse::Status(status) => Ok(*status),
            other => bail!("unexpected answer {other:?}"),
        }
    }

    async fn wait_until_ready(&self, endpoints: usize) -> Result<()> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let ready = |p: &Process| {
                p.entry
                    .as_ref()
                    .is_some_and(|e| e.is_ready() && e.usable_endpoints() >= endpoints)
            };
            if self.entries.iter().all(ready) {
                return Ok(());
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        bail!("the site was not ready in time")
    }

    /// Returns the addresses at which the entries serve callers.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().filter_map(|p| p.entry.as_ref());
        entries.map(daemon::entry::Entry::address).collect()
    }

    /// Returns the settings with which the process `name` was started.
    #[must_use]
    pub fn settings_of(&self, name: &str) -> Option<&Settings> {
        self.settings.get(name)
    }
}

impl Drop for LocalSite {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
