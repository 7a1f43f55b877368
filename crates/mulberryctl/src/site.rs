//! A site on loopback with stand-ins, all in one process.

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

/// The model that a local site's engines serve.
pub const MODEL: &str = "assistant";

/// The plain service of a local site.
pub const SERVICE: &str = "desk";

/// Longest wait for an operator's question.
const OPERATOR_WAIT: Span = Span::secs(3);

/// Longest wait for a site to be ready.
const READY_WAIT: Duration = Duration::from_secs(30);

/// How a local site is laid out.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Failure domains, with a keeper and an entry each.
    pub domains: usize,
    /// Model engines, spread over the domains.
    pub engines: usize,
    /// Plain services, spread over the domains.
    pub desks: usize,
    /// Teams.
    pub teams: usize,
    /// Tokens of each team.
    pub budget: u64,
    /// How fast the engines are.
    pub pace: EngineProfile,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            domains: 3,
            engines: 6,
            desks: 2,
            teams: 10,
            budget: 1_000_000,
            pace: EngineProfile::default(),
        }
    }
}

/// The pools of a local site's processes.
#[derive(Clone)]
pub struct Pools {
    /// Of the entries.
    pub entries: Pool,
    /// Of the agents.
    pub agents: Pool,
    /// Of the keepers and stand-ins.
    pub others: Pool,
}

/// A running local site.
pub struct LocalSite {
    /// The pools of the processes.
    pub pools: Pools,
    /// The folder of keys and data.
    pub folder: PathBuf,
    /// The processes of keepers, one a domain.
    pub keepers: Vec<Process>,
    /// The processes of entries, one a domain.
    pub entries: Vec<Process>,
    /// The processes of agents: engines first, then services.
    pub agents: Vec<Process>,
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain services.
    pub desks: Vec<FakeService>,
    /// The bearer keys of the teams.
    pub bearers: Vec<String>,
    /// The keepers' addresses.
    pub peers: Vec<KeeperPeer>,
    /// The operator's connections.
    pub operator: Node,
    settings: BTreeMap<String, Settings>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns free addresses, all different.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let sockets: std::io::Result<Vec<UdpSocket>> =
        (0..count).map(|_| UdpSocket::bind(loopback())).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        sockets?.iter().map(UdpSocket::local_addr).collect();
    Ok(addresses?)
}

/// Returns the name of team `n`.
#[must_use]
pub fn team_name(n: usize) -> String {
    format!("team-{n}")
}

/// Returns the bearer key of team `n` in a local site.
#[must_use]
pub fn bearer(n: usize) -> String {
    format!("local-key-{n}")
}

/// Returns the first document of a local site.
#[must_use]
pub fn document(teams: usize, budget: u64) -> Document {
    let mut document = Document {
        number: 1,
        ..Document::default()
    };
    for n in 0..teams {
        let team = Team {
            keys: vec![Digest::of(bearer(n).as_bytes()).to_hex()],
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
    document.models.insert(MODEL.to_owned(), model);
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
    document.services.insert(SERVICE.to_owned(), service);
    document
}

/// Connects as an operator with the key `name` in `folder`.
///
/// # Errors
///
/// Fails where the keys can't be used.
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
    /// Starts a site in `folder`, which is made anew, and waits until it's ready.
    ///
    /// # Errors
    ///
    /// Fails where a process can't start or the site doesn't get ready.
    pub async fn start(pool: &Pool, folder: &Path, layout: &Layout) -> Result<Self> {
        let pools = Pools {
            entries: pool.clone(),
            agents: pool.clone(),
            others: pool.clone(),
        };
        Self::start_on(&pools, folder, layout).await
    }

    /// Starts a site as [`Self::start`] does, with a pool for each kind of process.
    ///
    /// # Errors
    ///
    /// Fails where a process can't start or the site doesn't get ready.
    pub async fn start_on(pools: &Pools, folder: &Path, layout: &Layout) -> Result<Self> {
        let _ = fs::remove_dir_all(folder);
        let keys = folder.join("keys");
        fs::create_dir_all(&keys)?;
        fleet::credentials::create_authority(&keys)?;
        fleet::credentials::issue_certificate(&keys, "operator")?;
        let addresses = free_addresses(layout.domains)?;
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
            desks: Vec::new(),
            bearers: (0..layout.teams).map(bearer).collect(),
            peers,
            operator,
            settings: BTreeMap::new(),
        };
        site.start_keepers()?;
        site.start_endpoints(layout)?;
        site.submit_first(layout).await?;
        site.start_entries(layout)?;
        site.wait_ready(layout.engines + layout.desks).await?;
        Ok(site)
    }

    fn settings(&self, name: &str, domain: usize) -> Settings {
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

    fn spawn(&mut self, settings: Settings) -> Result<Process> {
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
        let process = Process::spawn(pool, &settings)?;
        self.settings.insert(settings.name.clone(), settings);
        Ok(process)
    }

    fn start_keepers(&mut self) -> Result<()> {
        for (domain, peer) in self.peers.clone().into_iter().enumerate() {
            let mut settings = self.settings(&format!("keeper-{domain}"), domain);
            settings.listen_address = peer.address;
            settings.keeper = Some(KeeperSettings {
                id: peer.id,
                data_folder: self.folder.join(format!("data-{domain}")),
                operator_address: loopback(),
                forms_group: true,
                identities: BTreeMap::new(),
            });
            let process = self.spawn(settings)?;
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
                &[MODEL],
                layout.pace,
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
        for n in 0..layout.desks {
            let time = Duration::from_millis(5);
            let desk = FakeService::spawn(&self.pools.others, loopback(), SERVICE, time)?;
            let name = format!("desk-{n}");
            self.start_agent(
                &name,
                n % layout.domains,
                desk.address(),
                EndpointKind::Service,
            )?;
            self.desks.push(desk);
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
        let mut settings = self.settings(&format!("agent-{name}"), domain);
        settings.agent = Some(AgentSettings {
            name: name.to_owned(),
            endpoint_address: endpoint,
            kind,
            stall_ms: 1_000,
        });
        let process = self.spawn(settings)?;
        self.agents.push(process);
        Ok(())
    }

    fn start_entries(&mut self, layout: &Layout) -> Result<()> {
        for domain in 0..layout.domains {
            let mut settings = self.settings(&format!("entry-{domain}"), domain);
            settings.entry = Some(EntrySettings {
                caller_address: loopback(),
            });
            let process = self.spawn(settings)?;
            self.entries.push(process);
        }
        Ok(())
    }

    async fn submit_first(&self, layout: &Layout) -> Result<()> {
        let document = document(layout.teams, layout.budget);
        let begun = Instant::now();
        loop {
            match self.submit(&document).await {
                Ok(SubmitOutcome::Accepted(_)) => return Ok(()),
                Ok(SubmitOutcome::Unknown) | Err(_) if begun.elapsed() < READY_WAIT => {
                    Timer::after(Duration::from_millis(100)).await;
                }
                other => bail!("the first document was not accepted: {other:?}"),
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
            let ask = PeerRequest::Submit(Box::new(document.clone()), "demo".to_owned());
            let answer = self
                .operator
                .request(peer.address, ask, OPERATOR_WAIT)
                .await;
            if let Ok(PeerResponse::SubmitOutcome(verdict)) = answer
                && verdict != SubmitOutcome::Unknown
            {
                return Ok(verdict);
            }
        }
        bail!("no keeper answers")
    }

    /// Returns the view of keeper `n`.
    ///
    /// # Errors
    ///
    /// Fails where the keeper doesn't answer.
    pub async fn status(&self, n: usize) -> Result<Status> {
        let address = self.peers[n].address;
        match self
            .operator
            .request(address, PeerRequest::Status, OPERATOR_WAIT)
            .await?
        {
            PeerResponse::Status(status) => Ok(*status),
            other => bail!("unexpected answer {other:?}"),
        }
    }

    async fn wait_ready(&self, endpoints: usize) -> Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < READY_WAIT {
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
        bail!("the site does not get ready")
    }

    /// Returns where the entries serve callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().filter_map(|p| p.entry.as_ref());
        entries.map(daemon::entry::Entry::address).collect()
    }

    /// Returns the settings that a process was started with.
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
