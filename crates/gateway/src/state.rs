//! What a process knows, behind one lock that is never held over an await.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use base::KeeperId;
use base::Map;
use base::Span;
use base::Time;
use base::time::Clock;
use config::site::SiteIndex;
use event_listener::Event;
use fleet::Node;
use fleet::mesh::Member;
use fleet::mesh::SentPrompt;
use host::Health;
use host::Pool;
use host::metrics::Metrics;
use ledger::Grants;
use platform::settings::NodeSettings;
use routing::Directory;
use routing::directory::DirectoryEntry;
use routing::directory::EngineAnnouncement;
use routing::directory::Phase;
use routing::placement::EngineCapacity;
use routing::placement::EnginePool;
use routing::shared_retry::RetryLimits;
use routing::shared_retry::SharedRetryBudget;

use crate::group::Group;
use crate::links::Links;
use crate::metrics::GatewayMetrics;
use crate::outbox::Outbox;

/// Silence after which an engine isn't used, as a multiple of the time between its
/// announcements; they may arrive seconds late.
const SILENT_BEATS: u64 = 8;

/// Silence after which a peer no longer counts as present.
pub const PEER_GONE: Span = Span::millis(3_000);

/// Time kept between the last work and the end of the grace period.
const STOP_MARGIN: Span = Span::millis(500);

/// Returns seconds of the settings in whole milliseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e3) as u64
}

/// A peer and what this process knows of it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// What it says of itself.
    pub member: Member,
    /// When it was last heard, itself or through others.
    pub heard: Time,
    /// When it itself was last heard.
    pub direct: Option<Time>,
    /// The configuration that it has in force.
    pub version: u64,
    /// Whether it takes callers.
    pub serving: bool,
    /// Its lease on teams' tokens.
    pub lease: u64,
    /// Engines whose announcements it may not have.
    pub pending: Vec<String>,
    /// Whether it was sent everything known once.
    pub greeted: bool,
    /// When the update was sent that it has not answered yet.
    pub telling: Option<Time>,
}

/// What a process knows.
pub struct State {
    /// The configuration in force.
    pub table: Option<Arc<SiteIndex>>,
    /// The same as it was sent.
    pub body: Arc<Vec<u8>>,
    /// Whether the configuration was confirmed by the group since the start.
    pub confirmed: bool,
    /// The engines.
    pub directory: Directory,
    /// Engines of each service as places.
    pub places: Map<String, EnginePool>,
    /// Idle connections to engines.
    pub links: Links,
    /// Grants of the teams.
    pub grants: Grants,
    /// The replica that took the last mark.
    pub witness: Option<KeeperId>,
    /// When no witness took a mark, the last time.
    pub disk_slow: Option<Time>,
    /// Whether the ledger answered the last time it was asked.
    pub ledger_answers: bool,
    /// The budget for repeated sends.
    pub repeats: SharedRetryBudget,
    /// The other processes.
    pub peers: Map<SocketAddr, Peer>,
    /// Prompts sent since the last update.
    pub sent: Vec<SentPrompt>,
    /// Who leads the group.
    pub leader: Option<SocketAddr>,
    /// The replica that leads, as the replica here says; its process may not be known
    /// yet.
    pub leading: Option<KeeperId>,
    /// Who leads the group as the last peer said that knew.
    pub told_leader: Option<SocketAddr>,
    /// Whether the replica here belongs to the group.
    pub joined: bool,
    /// The replica that the arbiter named to form the group.
    pub founder: Option<KeeperId>,
    /// Control addresses of some processes, from the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Replicas whose disk is known to be lost.
    pub lost: Vec<KeeperId>,
}

/// A process's shared parts.
pub struct Shared {
    /// The settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: Clock,
    /// The pool.
    pub pool: Pool,
    /// This process as a member of the mesh.
    pub own: Member,
    /// The replica, on an instance with a disk.
    pub group: Option<Group>,
    /// The metrics.
    pub meter: GatewayMetrics,
    /// Whether new callers are welcome.
    pub health: Health,
    /// Notified when grants arrive.
    pub granted: Event,
    /// Notified when news should spread at once.
    pub news: Event,
    /// Notified when a grant is needed.
    pub demand: Event,
    /// Requests in progress.
    pub busy: AtomicUsize,
    /// Told when callers are taken no more.
    pub closing: Event,
    /// Whether callers are taken no more.
    shut: AtomicBool,
    /// The connections to peers, once they're bound.
    pub node: OnceLock<Node>,
    /// When the order to stop came, in microseconds; zero before.
    stopped: AtomicU64,
    /// Messages for other replicas; locked after the state where both are.
    outboxes: Mutex<Map<KeeperId, Outbox>>,
    state: Mutex<State>,
}

/// Returns the number that stands for a run of an engine.
#[must_use]
pub fn engine_key(said: &EngineAnnouncement) -> u64 {
    use std::hash::BuildHasher as _;
    let hasher = base::hash::hasher();
    hasher.hash_one((&said.id, said.started_ms, said.address))
}

/// Returns the number that stands for a process's place: a process that starts again
/// there holds under the same one.
fn holder(own: &Member) -> u64 {
    use std::hash::BuildHasher as _;
    base::hash::hasher().hash_one(own.address)
}

impl State {
    /// Returns the state of a process that has just started.
    #[must_use]
    pub fn new(settings: &NodeSettings, holder: u64) -> Self {
        let bounds = &settings.bounds;
        let window = Span::millis(whole_ms(bounds.retry_window_s));
        Self {
            table: None,
            body: Arc::default(),
            confirmed: false,
            directory: Directory::default(),
            places: Map::default(),
            links: Links::default(),
            grants: Grants::new(fastrand::u64(1..), holder),
            witness: None,
            disk_slow: None,
            ledger_answers: true,
            repeats: SharedRetryBudget::new(RetryLimits {
                retry_ratio: bounds.retry_ratio,
                base_retries: bounds.retry_slack,
                window,
            }),
            peers: Map::default(),
            sent: Vec::new(),
            leader: None,
            leading: None,
            told_leader: None,
            joined: false,
            founder: None,
            seeds: settings.seeds.clone(),
            lost: Vec::new(),
        }
    }

    /// Returns whether `engine` takes new requests.
    fn usable(&self, engine: &DirectoryEntry, beat: Span, now: Time) -> bool {
        let silent = Span(beat.0 * SILENT_BEATS);
        engine.announcement.phase == Phase::Ready
            && engine.last_heard.until(now) < silent
            && self.directory.is_current(engine)
    }

    /// Brings the places in line with the directory and the configuration.
    pub fn place_engines(&mut self, settings: &NodeSettings, now: Time) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let beat = Span::millis(settings.heartbeat_ms);
        for service in &table.site().services {
            let mut usable = Vec::new();
            for engine in self.directory.iter() {
                if engine.announcement.service == service.name && self.usable(engine, beat, now) {
                    let far = engine.announcement.domain != settings.domain;
                    let backend = service.backend.as_ref();
                    let size = EngineCapacity {
                        max_requests: engine.announcement.slots,
                        kv_tokens: backend.map_or(0, |backend| backend.memory_tokens),
                    };
                    usable.push((engine_key(&engine.announcement), size, far));
                }
            }
            let places = self.places.entry(service.name.clone()).or_default();
            places.retain(|key| usable.iter().any(|(known, ..)| *known == key));
            for (key, size, far) in usable {
                places.upsert(key, size, far);
            }
        }
    }

    /// Returns the engine that `key` stands for.
    #[must_use]
    pub fn engine(&self, key: u64) -> Option<&EngineAnnouncement> {
        let engines = self.directory.iter();
        engines
            .map(|engine| &engine.announcement)
            .find(|said| engine_key(said) == key)
    }

    /// Finds the process of the replica that leads, where it has become known.
    pub fn find_leader(&mut self, own: &Member) {
        if self.leading.is_some() && self.leading == own.keeper {
            self.leader = Some(own.address);
            return;
        }
        let mut peers = self.peers.values();
        let found = peers.find(|peer| self.leading.is_some() && peer.member.keeper == self.leading);
        self.leader = found.map(|peer| peer.member.address);
    }

    /// Returns the number of entries that take callers, this one among them.
    #[must_use]
    pub fn entries(&self, now: Time) -> usize {
        let present = |peer: &&Peer| peer.heard.until(now) < PEER_GONE;
        1 + self.peers.values().filter(present).count()
    }

    /// Notes that all peers need the announcement of the engine `id`.
    pub fn spread(&mut self, id: &str) {
        for peer in self.peers.values_mut() {
            if !peer.pending.iter().any(|known| known == id) {
                peer.pending.push(id.to_owned());
            }
        }
    }
}

impl Shared {
    /// Returns the shared parts of a process around `state`.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        pool: &Pool,
        own: Member,
        group: Option<Group>,
        clock: Clock,
    ) -> Self {
        let state = Mutex::new(State::new(&settings, holder(&own)));
        Self {
            settings,
            clock,
            pool: pool.clone(),
            own,
            group,
            meter: GatewayMetrics::register(&Metrics::default()),
            health: Health::default(),
            granted: Event::new(),
            news: Event::new(),
            demand: Event::new(),
            busy: AtomicUsize::new(0),
            closing: Event::new(),
            shut: AtomicBool::new(false),
            node: OnceLock::new(),
            stopped: AtomicU64::new(0),
            outboxes: Mutex::default(),
            state,
        }
    }

    /// Returns the number that this process's leases on tokens are held under.
    #[must_use]
    pub fn holder(&self) -> u64 {
        holder(&self.own)
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the messages for other replicas.
    pub fn outboxes(&self) -> MutexGuard<'_, Map<KeeperId, Outbox>> {
        self.outboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a planned stop: the balancer is told, work goes on.
    pub fn stop(&self) {
        self.stopped.store(self.now().0.max(1), Ordering::Relaxed);
        self.health.set_stopping();
        self.news.notify(usize::MAX);
    }

    /// Takes no callers any more.
    pub fn close(&self) {
        self.shut.store(true, Ordering::Relaxed);
        self.closing.notify(usize::MAX);
    }

    /// Returns whether callers are taken no more.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.shut.load(Ordering::Relaxed)
    }

    /// Returns the time from the order to stop to the end of all work.
    #[must_use]
    pub fn grace(&self) -> Span {
        let grace = Span::millis(whole_ms(self.settings.bounds.grace_s));
        Span(grace.0.saturating_sub(STOP_MARGIN.0))
    }

    /// Returns when the order to stop came.
    #[must_use]
    pub fn stopped_at(&self) -> Option<Time> {
        let at = self.stopped.load(Ordering::Relaxed);
        (at > 0).then_some(Time(at))
    }

    /// Returns the present instant.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Puts a configuration in force where its number is higher.
    ///
    /// Returns whether it is the newest now.
    pub fn accept(&self, version: u64, body: Vec<u8>) -> bool {
        if version == 0 {
            return true;
        }
        let mut state = self.state();
        let present = state.table.as_ref().map_or(0, |table| table.site().version);
        if version <= present {
            return true;
        }
        let site = match platform::site::parse(&body) {
            Ok(site) => site,
            Err(error) => {
                log::error!(
                    "config: event=accept version={version} outcome=unreadable reason=\"{error}\""
                );
                return false;
            }
        };
        for team in site.teams.iter().flatten() {
            let table = state.table.clone();
            let earlier = table
                .iter()
                .flat_map(|table| table.site().teams.iter().flatten());
            let earlier = earlier.filter(|known| known.name == team.name);
            let fell = earlier
                .filter_map(|known| known.budget)
                .any(|old| Some(old) > team.budget);
            if fell {
                state.grants.return_unused(&team.name);
            }
        }
        state.grants.discard_answers();
        let routes = site.routes.len();
        state.table = Some(Arc::new(SiteIndex::new(site)));
        state.body = Arc::new(body);
        let now = self.now();
        state.place_engines(&self.settings, now);
        drop(state);
        self.meter
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!("config: event=in_force version={version} earlier={present} routes={routes}");
        self.news.notify(usize::MAX);
        true
    }
}
