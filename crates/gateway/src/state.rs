//! The state of a process, behind one lock that is never held across an await point.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::TryLockError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use base::KeeperId;
use base::Map;
use base::Set;
use base::Span;
use base::Time;
use base::time::Clock;
use config::held::HeldConfig;
use config::held::StoredConfig;
use config::packed::PackedConfig;
use config::packed::UnpackError;
use config::site::Site;
use config::site::SiteIndex;
use event_listener::Event;
use fleet::Node;
use fleet::mesh::Member;
use fleet::mesh::SentPrompt;
use fleet::peers::PEER_TIMEOUT;
use fleet::peers::Peer;
use fleet::peers::PeerTable;
use fleet::view::View;
use host::Health;
use host::Pool;
use host::metrics::Metrics;
use ledger::Grants;
use platform::settings::NodeSettings;
use platform::site::SiteError;
use routing::CrashSuspects;
use routing::Departures;
use routing::Directory;
use routing::availability::Exclusion;
use routing::directory::EngineAnnouncement;
use routing::intake::IntakeLimits;
use routing::placement::EngineCapacity;
use routing::placement::EnginePool;
use routing::shared_retry::RetryLimits;
use routing::shared_retry::SharedRetryBudget;
use routing::warm_up::WarmUpBound;
use thiserror::Error;

use crate::connection_pool::ConnectionPool;
use crate::evacuations::Evacuations;
use crate::group::Group;
use crate::holder::holder_id;
use crate::intake::Intake;
use crate::intake::MAX_CONFIG_BYTES;
use crate::load_monitor::LoadMonitor;
use crate::metrics::GatewayMetrics;
use crate::outbox::Lane;
use crate::outbox::Outbox;
use crate::response_buffers::ResponseBuffers;
use crate::waiting_rooms::WaitingRooms;
use crate::warm_up::EntryNumber;

/// Number of missed announcements after which an engine counts as silent; announcements can
/// arrive seconds late.
const MAX_MISSED_HEARTBEATS: u64 = 8;

/// Divisor of the bound for configurations that yields how long the present one is used after
/// the news of a newer one; the news itself and requests under way need the rest.
const OVERDUE_DIVISOR: u64 = 2;

/// Time reserved between the end of all work and the end of the grace period.
const STOP_MARGIN: Span = Span::millis(500);

/// Part of [`STOP_MARGIN`] for the exit of the process.
const EXIT_TIME: Span = Span::millis(150);

/// Converts seconds of the settings to whole milliseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e3) as u64
}

/// The mutable state of a process.
pub struct ProcessState {
    /// The configuration in force.
    pub site_index: Option<Arc<SiteIndex>>,
    /// The same configuration as it was submitted, and what is known of newer ones.
    pub held_config: HeldConfig,
    /// Whether it was logged that the process serves with a configuration that the group
    /// hasn't confirmed.
    pub unconfirmed_logged: bool,
    /// The engines.
    pub directory: Directory,
    /// The departures that this process knows to be committed.
    pub departures: Departures,
    /// The pool of engines of each service.
    pub engine_pools: Map<String, EnginePool>,
    /// The identifier of each usable engine, by its key.
    engine_ids: Map<u64, String>,
    /// Idle connections to engines.
    pub connections: ConnectionPool,
    /// The grants of teams' tokens.
    pub grants: Grants,
    /// Time of the last mark that the local disk didn't record in time.
    pub disk_failure: Option<Time>,
    /// Whether the ledger answered the last draw.
    pub ledger_reachable: bool,
    /// The shared budget for retries.
    pub retry_budget: SharedRetryBudget,
    /// Prompt segments that may crash engines.
    pub crash_suspects: CrashSuspects,
    /// The other processes.
    pub peers: PeerTable,
    /// Whether what the process knows of engines may be acted on.
    pub view: View,
    /// Prompts sent since the last update.
    pub sent_prompts: Vec<SentPrompt>,
    /// The address of the group's leader.
    pub leader: Option<SocketAddr>,
    /// The leader that the local replica reports; the address of its process may not be
    /// known yet.
    pub leading_replica: Option<KeeperId>,
    /// Whether the local replica is a member of the group.
    pub is_member: bool,
    /// Control addresses of some processes, from the settings.
    pub seeds: Vec<SocketAddrV4>,
    /// Replicas whose disk is known to be lost.
    pub lost_replicas: Vec<KeeperId>,
}

/// The context that all tasks of a process share.
pub struct ProcessContext {
    /// The settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: Clock,
    /// The thread pool.
    pub pool: Pool,
    /// This process's own description in the mesh.
    pub own_member: Member,
    /// The replica, on an instance with a disk.
    pub group: Option<Group>,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// Whether the process is ready, serving or stopping.
    pub health: Health,
    /// How late this process is, and whether it passes callers on.
    pub load_monitor: LoadMonitor,
    /// Notified when the grants have changed.
    pub grants_changed: Event,
    /// Notified when an update should be sent immediately.
    pub update_needed: Event,
    /// Notified when a peer has told something or confirmed what it was told.
    pub peers_changed: Event,
    /// Notified when the process may have missed that engines have left.
    pub view_outdated: Event,
    /// Notified when the view of a process that has started or stood still is current again.
    pub view_settled: Event,
    /// Notified when peers should be told of a crashed engine.
    pub crash_news: Event,
    /// Notified when grants or marks are needed.
    pub grants_needed: Event,
    /// Notified regularly: tasks that check something share the wake-ups of one timer.
    pub tick: Event,
    /// Number of requests in progress.
    pub active_requests: AtomicUsize,
    /// The evacuated failure domains. If both locks are needed, the state is locked first.
    pub evacuations: Evacuations,
    /// The number of this entry.
    pub entry_number: EntryNumber,
    /// The memory for answers of engines.
    pub response_buffers: ResponseBuffers,
    /// The requests that wait for room at engines.
    pub waiting_rooms: WaitingRooms,
    /// The connections of callers.
    pub caller_intake: Arc<Intake>,
    /// The connections of engines, operators and the load balancer.
    pub control_intake: Arc<Intake>,
    /// Notified when a newer configuration is heard of or in force.
    pub config_news: Event,
    /// Notified when callers are no longer accepted, and when work ends.
    pub close_event: Event,
    /// Whether callers are no longer accepted.
    refuses_callers: AtomicBool,
    /// Whether the time for requests in progress is over.
    ends_work: AtomicBool,
    /// The node for messages to peers, set after it is bound.
    pub node: OnceLock<Node>,
    /// Time of the request to stop, in microseconds; zero before.
    stop_time: AtomicU64,
    /// Messages for other replicas. If both locks are needed, the state is locked first.
    outboxes: Mutex<Map<(KeeperId, Lane), Outbox>>,
    state: Mutex<ProcessState>,
}

/// Why a stored configuration can't be put in force.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It can't be decompressed.
    #[error(transparent)]
    Unpack(#[from] UnpackError),
    /// Its text can't be read.
    #[error(transparent)]
    Site(#[from] SiteError),
}

/// Decodes a compressed configuration.
///
/// # Errors
///
/// Fails if it can't be decompressed or read.
pub fn read_site(body: &PackedConfig) -> Result<Site, ConfigError> {
    Ok(platform::site::parse(&body.unpack()?)?)
}

/// Returns the key that identifies a run of an engine.
#[must_use]
pub fn engine_key(announcement: &EngineAnnouncement) -> u64 {
    use std::hash::BuildHasher as _;
    let hasher = base::hash::hasher();
    hasher.hash_one((
        &announcement.id,
        announcement.started_ms,
        announcement.address,
    ))
}

/// Returns whether the settings name no other process than `own`.
fn is_alone(seeds: &[SocketAddrV4], own: &Member) -> bool {
    seeds.iter().all(|seed| *seed.ip() == own.address.ip())
}

impl ProcessState {
    /// Returns the state of a process at its start.
    #[must_use]
    pub fn new(settings: &NodeSettings, own: &Member) -> Self {
        let holder = holder_id(own.address);
        let bounds = &settings.bounds;
        let window = Span::millis(seconds_to_ms(bounds.retry_window_s));
        Self {
            site_index: None,
            held_config: HeldConfig::default(),
            unconfirmed_logged: false,
            directory: Directory::default(),
            departures: Departures::default(),
            engine_pools: Map::default(),
            engine_ids: Map::default(),
            connections: ConnectionPool::default(),
            grants: Grants::with_own_witness(fastrand::u64(1..), holder, own.keeper),
            disk_failure: None,
            ledger_reachable: true,
            retry_budget: SharedRetryBudget::new(RetryLimits {
                retry_ratio: bounds.retry_ratio,
                base_retries: bounds.retry_slack,
                window,
            }),
            crash_suspects: CrashSuspects::default(),
            peers: PeerTable::new(own.clone()),
            view: View::open(
                is_alone(&settings.seeds, own),
                own.keeper.is_some(),
                Time::default(),
            ),
            sent_prompts: Vec::new(),
            leader: None,
            leading_replica: None,
            is_member: false,
            seeds: settings.seeds.clone(),
            lost_replicas: Vec::new(),
        }
    }

    /// Updates the engine pools from the directory and the configuration.
    pub fn update_engine_pools(&mut self, shared: &ProcessContext, now: Time) {
        let settings = &shared.settings;
        let Some(index) = self.site_index.clone() else {
            return;
        };
        let ttl = Span::millis(settings.heartbeat_ms * MAX_MISSED_HEARTBEATS);
        self.engine_ids.clear();
        for service in &index.site().services {
            let pool = self.engine_pools.entry(service.name.clone()).or_default();
            let cold_time = service
                .warm_up
                .map_or(Span(0), |w| Span::millis(w.duration_ms));
            let share = service.warm_up.map(|warm_up| {
                let bound = WarmUpBound {
                    rate: warm_up.rate,
                    overrun: settings.bounds.cold_overrun,
                    tolerance: settings.bounds.cold_tolerance,
                };
                bound.share(shared.entry_number.get(now))
            });
            let mut known = Set::default();
            for engine in self.directory.iter() {
                let announcement = &engine.announcement;
                if announcement.service != service.name {
                    continue;
                }
                let backend = service.backend.as_ref();
                let capacity = EngineCapacity {
                    max_requests: announcement.slots,
                    kv_tokens: backend.map_or(0, |backend| backend.memory_tokens),
                };
                let key = engine_key(announcement);
                pool.upsert(key, capacity, announcement.domain != settings.domain);
                if let Some(warm_up) = pool.warm_up_mut(key) {
                    warm_up.set_cold_until(engine.cold_until, share);
                    let evacuations = &shared.evacuations;
                    let presumed = evacuations.presumed_cold_until(&announcement.domain, cold_time);
                    warm_up.presume_cold(presumed.unwrap_or_default());
                }
                let evacuated = shared.evacuations.contains(&announcement.domain);
                let exclusion = self.directory.exclusion(engine, ttl, now);
                let exclusion = exclusion.or(evacuated.then_some(Exclusion::Evacuated));
                pool.set_exclusion(key, exclusion);
                known.insert(key);
                if exclusion.is_none() {
                    self.engine_ids.insert(key, announcement.id.clone());
                }
            }
            pool.retain(|key| known.contains(&key));
        }
    }

    /// Returns the usable engine with this key.
    #[must_use]
    pub fn find_engine(&self, key: u64) -> Option<&EngineAnnouncement> {
        let engine = self.directory.get(self.engine_ids.get(&key)?)?;
        let announcement = &engine.announcement;
        (engine_key(announcement) == key).then_some(announcement)
    }

    /// Returns the key and the failure domain of each usable engine.
    pub fn usable_engines(&self) -> impl Iterator<Item = (u64, &str)> {
        self.engine_ids.iter().filter_map(|(&key, id)| {
            let engine = self.directory.get(id)?;
            Some((key, engine.announcement.domain.as_str()))
        })
    }

    /// Returns whether a newer configuration has been known for so long that requests can't be
    /// handled by the present one any more.
    ///
    /// While no reachable process has it in force, as after the loss of those that accepted it,
    /// the present one stays in use.
    #[must_use]
    pub fn is_config_overdue(&self, settings: &NodeSettings, now: Time) -> bool {
        let apply = Span::millis(settings.bounds.config_apply_ms);
        let is_late = self.held_config.time_behind(now) > Span(apply.0 / OVERDUE_DIVISOR);
        let present = self.held_config.version();
        let holds_newer = |peer: &Peer| peer.config_version > present && peer.is_reachable(now);
        is_late && self.peers.values().any(holds_newer)
    }

    /// Sets the leader's address from the leader that the local replica reports; `None` if
    /// its process isn't known.
    pub fn find_leader(&mut self, own: &Member) {
        if self.leading_replica.is_some() && self.leading_replica == own.keeper {
            self.leader = Some(own.address);
            return;
        }
        let leading = self.leading_replica;
        let found = leading.and_then(|replica| self.peers.find_keeper(replica));
        self.leader = found.map(|peer| peer.member.address);
    }

    /// Returns whether the site has a replicated log: a replica is known, or a configuration is in
    /// force, which only a log accepts.
    #[must_use]
    pub fn has_log(&self) -> bool {
        self.peers.knows_replica() || self.held_config.version() > 0
    }

    /// Returns whether the site has no other process, as far as this one knows.
    #[must_use]
    pub fn is_alone(&self, own: &Member) -> bool {
        is_alone(&self.seeds, own) && self.peers.values().next().is_none()
    }

    /// Returns the number of present entries, including this one.
    #[must_use]
    pub fn count_entries(&self, now: Time) -> usize {
        let present = |peer: &&Peer| peer.is_heard(PEER_TIMEOUT, now);
        1 + self.peers.values().filter(present).count()
    }
}

impl ProcessContext {
    /// Returns the context of a process at its start.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        pool: &Pool,
        own: Member,
        group: Option<Group>,
        clock: Clock,
    ) -> Self {
        let state = Mutex::new(ProcessState::new(&settings, &own));
        let memory_bytes = settings.limits.memory_mb << 20;
        let evacuations = Evacuations::new(&settings);
        let descriptors = settings.limits.max_descriptors;
        let metrics = Metrics::default();
        let intake = |name, limits| Arc::new(Intake::new(name, limits, clock, &metrics));
        let callers = IntakeLimits::for_callers(memory_bytes, descriptors);
        let longest = MAX_CONFIG_BYTES as u64;
        let control = IntakeLimits::for_control(memory_bytes, descriptors, longest);
        Self {
            caller_intake: intake("front", callers),
            control_intake: intake("control", control),
            settings,
            clock,
            pool: pool.clone(),
            own_member: own,
            group,
            metrics: GatewayMetrics::register(&metrics),
            health: Health::default(),
            grants_changed: Event::new(),
            update_needed: Event::new(),
            peers_changed: Event::new(),
            view_outdated: Event::new(),
            view_settled: Event::new(),
            crash_news: Event::new(),
            grants_needed: Event::new(),
            tick: Event::new(),
            load_monitor: LoadMonitor::default(),
            active_requests: AtomicUsize::new(0),
            evacuations,
            entry_number: EntryNumber::default(),
            response_buffers: ResponseBuffers::new(memory_bytes),
            waiting_rooms: WaitingRooms::open(&metrics, memory_bytes),
            config_news: Event::new(),
            close_event: Event::new(),
            refuses_callers: AtomicBool::new(false),
            ends_work: AtomicBool::new(false),
            node: OnceLock::new(),
            stop_time: AtomicU64::new(0),
            outboxes: Mutex::default(),
            state,
        }
    }

    /// Returns the holder identifier of this process's leases on tokens.
    #[must_use]
    pub fn holder_id(&self) -> u64 {
        holder_id(self.own_member.address)
    }

    /// Returns the empty grants of this process under a new lease.
    #[must_use]
    pub fn new_grants(&self, lease: u64) -> Grants {
        Grants::with_own_witness(lease, self.holder_id(), self.own_member.keeper)
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queues of messages for other replicas.
    pub fn outboxes(&self) -> MutexGuard<'_, Map<(KeeperId, Lane), Outbox>> {
        self.outboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a planned stop: the load balancer is told, and requests are still served.
    pub fn begin_stop(&self) {
        self.stop_time.store(self.now().0.max(1), Ordering::Relaxed);
        self.health.set_stopping();
        self.update_needed.notify(usize::MAX);
    }

    /// Stops accepting callers.
    pub fn refuse_callers(&self) {
        self.refuses_callers.store(true, Ordering::Relaxed);
        self.close_event.notify(usize::MAX);
    }

    /// Returns whether callers are no longer accepted.
    #[must_use]
    pub fn refuses_callers(&self) -> bool {
        self.refuses_callers.load(Ordering::Relaxed)
    }

    /// Ends the requests in progress: those without an answer get one that says so.
    pub fn end_work(&self) {
        self.ends_work.store(true, Ordering::Relaxed);
        self.close_event.notify(usize::MAX);
    }

    /// Waits until the time for requests in progress is over.
    pub async fn work_ended(&self) {
        loop {
            let listener = self.close_event.listen();
            if self.ends_work.load(Ordering::Relaxed) {
                return;
            }
            listener.await;
        }
    }

    /// Returns the time from the request to stop to the end of all work.
    #[must_use]
    pub fn grace_period(&self) -> Span {
        let grace = Span::millis(seconds_to_ms(self.settings.bounds.grace_s));
        Span(grace.0.saturating_sub(STOP_MARGIN.0))
    }

    /// Returns the time from the request to stop by which a planned stop has to return.
    #[must_use]
    pub fn stop_limit(&self) -> Span {
        Span(self.grace_period().0 + STOP_MARGIN.0 - EXIT_TIME.0)
    }

    /// Returns whether another thread holds the lock on the state.
    #[must_use]
    pub fn is_state_locked(&self) -> bool {
        matches!(self.state.try_lock(), Err(TryLockError::WouldBlock))
    }

    /// Returns the time of the request to stop, if there was one.
    #[must_use]
    pub fn stopped_at(&self) -> Option<Time> {
        let at = self.stop_time.load(Ordering::Relaxed);
        (at > 0).then_some(Time(at))
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the version of the configuration in force; zero if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.state().held_config.version()
    }

    /// Records that a version has been accepted, as a peer or the leader says.
    pub fn record_config_version(&self, version: u64) {
        let now = self.now();
        self.record_config_version_in(&mut self.state(), version, now);
    }

    /// Records a version like [`Self::record_config_version`], in the locked state.
    pub fn record_config_version_in(&self, state: &mut ProcessState, version: u64, now: Time) {
        if state.held_config.record_version(version, now) {
            self.config_news.notify(usize::MAX);
            // Peers learn of it before it is in force here.
            self.update_needed.notify(usize::MAX);
        }
    }

    /// Puts a configuration in force if its version is higher than the present one.
    ///
    /// Returns false if the configuration can't be read, otherwise true.
    pub fn apply_config(&self, config: StoredConfig) -> bool {
        let version = config.version;
        let present = self.config_version();
        if version <= present {
            return true;
        }
        self.record_config_version(version);
        let site = match read_site(&config.body) {
            Ok(site) => site,
            Err(error) => {
                log::error!(
                    "config: event=accept version={version} outcome=unreadable reason=\"{error}\""
                );
                return false;
            }
        };
        let mut state = self.state();
        let behind_ms = state.held_config.time_behind(self.now()).as_millis();
        if !state.held_config.install(config) {
            return true;
        }
        for team in site.teams.iter().flatten() {
            let index = state.site_index.clone();
            let earlier = index
                .iter()
                .flat_map(|index| index.site().teams.iter().flatten());
            let earlier = earlier.filter(|known| known.name == team.name);
            let lowered = earlier
                .filter_map(|known| known.budget)
                .any(|old| Some(old) > team.budget);
            if lowered {
                state.grants.return_unused(&team.name);
            }
        }
        state.grants.discard_answers();
        let routes = site.routes.len();
        let services = site.services.iter().map(|service| service.name.clone());
        state.directory.set_services(services.collect());
        state.site_index = Some(Arc::new(SiteIndex::new(site)));
        let now = self.now();
        state.update_engine_pools(self, now);
        drop(state);
        self.metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        log::info!(
            "config: event=in_force version={version} earlier={present} routes={routes} behind_ms={behind_ms}"
        );
        self.update_needed.notify(usize::MAX);
        self.config_news.notify(usize::MAX);
        true
    }
}
