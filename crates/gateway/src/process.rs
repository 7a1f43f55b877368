//! A gateway process: startup, settings reload and shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use base::Time;
use base::time::Clock;
use config::held::StoredConfig;
use config::packed::PackedConfig;
use consensus::Envelope;
use fleet::FleetError;
use fleet::Node;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::mesh::Member;
use fleet::node::BoxFuture;
use futures_lite::FutureExt as _;
use host::Pool;
use platform::settings::NodeSettings;
use thiserror::Error;

use crate::budget;
use crate::config_sync;
use crate::control;
use crate::crash_news;
use crate::departures;
use crate::evacuations;
use crate::frontend;
use crate::group;
use crate::group::Group;
use crate::group::GroupError;
use crate::group::GroupOptions;
use crate::group::Input;
use crate::group::Output;
use crate::leader_requests;
use crate::membership;
use crate::mesh;
use crate::replica_messages;
use crate::replica_reports;
use crate::settlement;
use crate::state::ProcessContext;
use crate::warm_up;
use crate::witness;

/// Divisor of the disk limit that yields the journal's quota; a checkpoint needs the rest.
const JOURNAL_DISK_DIVISOR: u64 = 2;

/// Maximum number of messages of the replicated log that wait to be sent.
const MAX_QUEUED_ENVELOPES: usize = 4_096;

/// Time for sending the messages that transfer leadership before the transport closes.
const LEADER_TRANSFER_WAIT: Duration = Duration::from_millis(120);

/// Time kept for the replica's stop when returning grants takes long.
const REPLICA_STOP_TIME: Span = Span::millis(200);

/// Time for a planned stop that took all of its time to return and the process to exit.
const RETURN_MARGIN: Duration = Duration::from_millis(70);

/// Time for the answers to requests that are interrupted by the end of the process.
const LAST_ANSWERS_TIME: Span = Span::millis(100);

/// Interval at which a stopping process checks for requests in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the worker to run a task when a stop has overrun.
const WORKER_PROBE_TIME: Duration = Duration::from_millis(15);

/// Time in which requests that were sent before the port closed still arrive: several
/// one-way delays between callers and entries.
const LATE_ARRIVAL_WAIT: Duration = Duration::from_millis(60);

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Options of a process that its settings file doesn't hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct GatewayOptions {
    /// Port of the separate metrics listener, if there is one.
    pub metrics: Option<u16>,
    /// Address that peers use, if it differs from the bound one.
    pub advertised: Option<SocketAddrV4>,
}

/// Why a process can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The transport can't be used.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The data folder can't be used.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// An address can't be bound.
    #[error("{address} can't be bound: {source}")]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
}

/// A running gateway process.
#[derive(Clone)]
pub struct Gateway {
    shared: Arc<ProcessContext>,
}

impl Gateway {
    /// Starts a process with `settings` and `options` on `pool`.
    ///
    /// # Errors
    ///
    /// Fails if the data folder, the transport or an address can't be used.
    pub fn spawn(
        pool: &Pool,
        settings: NodeSettings,
        options: GatewayOptions,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let bound = SocketAddr::from((settings.ip, settings.ports.0));
        let address = options.advertised.map_or(bound, SocketAddr::from);
        let (output_sender, outputs) = async_channel::unbounded();
        let (envelope_sender, envelopes) = async_channel::bounded(MAX_QUEUED_ENVELOPES);
        let group = match &settings.data_dir {
            Some(folder) => {
                let start = GroupOptions {
                    folder: folder.clone(),
                    address,
                    quota_bytes: (settings.limits.disk_mb << 20) / JOURNAL_DISK_DIVISOR,
                    memory_bytes: settings.limits.memory_mb << 20,
                    policy: membership::replacement_policy(&settings, group::TICK_INTERVAL),
                    output: Arc::new(move |output| {
                        let lost = match output {
                            Output::Send(envelope) => envelope_sender.try_send(envelope).is_err(),
                            other => output_sender.try_send(other).is_err(),
                        };
                        if lost {
                            // The consensus protocol resends lost messages.
                            log::debug!("group: event=output outcome=lost");
                        }
                    }),
                };
                Some(Group::open(start)?)
            }
            None => None,
        };
        let own = Member {
            run_id: fastrand::u64(1..),
            address,
            keeper: group.as_ref().map(Group::id),
            disk: group.as_ref().map_or(0, Group::disk),
            domain: settings.domain.clone(),
            bootstrapping: settings.bootstrap && group.is_some(),
            processor: thousandths(settings.limits.cpu_quota),
        };
        log::info!(
            "gateway: event=start name={} domain={} address={address} bound={bound} keeper={:?} first_start={} seeds={:?}",
            settings.name,
            settings.domain,
            own.keeper,
            settings.bootstrap,
            settings.seeds
        );
        let shared = Arc::new(ProcessContext::new(settings, pool, own, group, clock));
        let node = Node::bind(
            pool,
            bound,
            &TlsCredentials::ephemeral()?,
            peer_service(&shared),
            fleet::node::MAX_REQUEST_STREAMS,
        )?;
        // Set only here, so that it can't fail.
        let _ = shared.node.set(node);
        let gateway = Self { shared };
        gateway.bind(options.metrics)?;
        gateway.spawn_tasks(outputs, envelopes);
        Ok(gateway)
    }

    fn bind(&self, metrics: Option<u16>) -> Result<(), StartError> {
        let listen = &self.shared.settings.listen;
        let with_address = |address, result: io::Result<()>| {
            result.map_err(|source| StartError::Bind { address, source })
        };
        if let Some(address) = listen.callers {
            with_address(address, frontend::bind(&self.shared, address))?;
        }
        let metrics = metrics.map(|port| SocketAddrV4::new(self.shared.settings.ip, port));
        let addresses = [listen.readiness, listen.control, metrics];
        for address in addresses.into_iter().flatten() {
            with_address(address, control::bind(&self.shared, address))?;
        }
        Ok(())
    }

    fn spawn_tasks(
        &self,
        outputs: async_channel::Receiver<Output>,
        envelopes: async_channel::Receiver<Envelope>,
    ) {
        let pool = &self.shared.pool;
        pool.spawn(handle_outputs(Arc::clone(&self.shared), outputs));
        pool.spawn(replica_messages::send_replica_messages(
            Arc::clone(&self.shared),
            envelopes,
        ));
        pool.spawn(mesh::send_updates(Arc::clone(&self.shared)));
        pool.spawn(leader_requests::join_group(Arc::clone(&self.shared)));
        pool.spawn(config_sync::confirm_config(Arc::clone(&self.shared)));
        pool.spawn(config_sync::fetch_configs(Arc::clone(&self.shared)));
        pool.spawn(evacuations::confirm_evacuations(Arc::clone(&self.shared)));
        pool.spawn(departures::confirm_departures(Arc::clone(&self.shared)));
        pool.spawn(warm_up::number_entry(Arc::clone(&self.shared)));
        pool.spawn(budget::draw_grants(Arc::clone(&self.shared)));
        pool.spawn(budget::borrow_tokens(Arc::clone(&self.shared)));
        pool.spawn(witness::record_marks(Arc::clone(&self.shared)));
        pool.spawn(witness::record_own_marks(Arc::clone(&self.shared)));
        pool.spawn(witness::record_reserves(Arc::clone(&self.shared)));
        pool.spawn(crash_news::share_crash_news(Arc::clone(&self.shared)));
        pool.spawn(mesh::report_memory());
        pool.spawn(replica_reports::report_replicas(Arc::clone(&self.shared)));
        pool.spawn(settlement::settle_leases(Arc::clone(&self.shared)));
        pool.spawn(watch_settings(Arc::clone(&self.shared)));
    }

    /// Reloads the settings; only the seeds can change while a process runs.
    pub fn reload(&self) {
        reload(&self.shared);
    }

    /// Shuts down gracefully: first fails readiness checks so that the load balancer sends
    /// no more callers, then closes the port for callers, then stops the replica.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.begin_stop();
        let begun = shared.now();
        let deadline = begun + shared.grace_period();
        let earliest = shared.now() + frontend::SHUTDOWN_IDLE_TIMEOUT + Span::millis(600);
        loop {
            let now = shared.now();
            let busy = shared.active_requests.load(Ordering::Relaxed);
            if now >= deadline || (now >= earliest && busy == 0) {
                log::info!("gateway: event=drained busy={busy}");
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        // Requests sent before callers saw the closed port are still served.
        shared.refuse_callers();
        Timer::after(LATE_ARRIVAL_WAIT).await;
        let is_busy = || shared.active_requests.load(Ordering::Relaxed) > 0;
        while shared.now() < deadline && is_busy() {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        shared.end_work();
        let answered = shared.now() + LAST_ANSWERS_TIME;
        while shared.now() < answered && is_busy() {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let end = begun + shared.stop_limit();
        // The replica stops even if no leader answers.
        let returning = budget::return_grants(shared);
        before(
            shared,
            Time(end.0.saturating_sub(REPLICA_STOP_TIME.0)),
            returning,
        )
        .await;
        before(shared, end, stop_replica(shared)).await;
        if let Some(node) = shared.node.get() {
            node.close();
        }
    }

    /// Returns the time after which a planned stop has overrun the grace period.
    #[must_use]
    pub fn stop_limit(&self) -> Duration {
        Duration::from(self.shared.stop_limit()) + RETURN_MARGIN
    }

    /// Returns a function that logs what a planned stop may be waiting for.
    pub fn overrun_report(&self) -> impl FnOnce() + Send + 'static + use<> {
        let shared = Arc::clone(&self.shared);
        move || {
            let (sender, answer) = async_channel::bounded(1);
            shared.pool.spawn(async move {
                // The receiver is gone if the worker answers too late.
                let _ = sender.try_send(());
            });
            std::thread::sleep(WORKER_PROBE_TIME);
            log::error!(
                "gateway: event=overrun busy={} drained={} state_locked={} worker_blocked={}",
                shared.active_requests.load(Ordering::Relaxed),
                shared.refuses_callers(),
                shared.is_state_locked(),
                answer.is_empty()
            );
        }
    }
}

/// Converts a share of a processor to thousandths.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(share: f64) -> u32 {
    (share.max(0.0) * 1e3) as u32
}

async fn stop_replica(shared: &ProcessContext) {
    let Some(group) = &shared.group else {
        return;
    };
    let (done, stopped) = async_channel::bounded(1);
    group.send(Input::Stop(done));
    // The channel is closed if the replica has already failed.
    let _ = stopped.recv().await;
    Timer::after(LEADER_TRANSFER_WAIT).await;
}

/// Runs a step of a planned stop until it ends or `limit` is reached.
async fn before(shared: &ProcessContext, limit: Time, step: impl Future<Output = ()>) {
    let expired = async {
        Timer::after(shared.now().until(limit).into()).await;
        log::warn!("gateway: event=stop outcome=late");
    };
    step.or(expired).await;
}

fn peer_service(shared: &Arc<ProcessContext>) -> Service {
    let shared = Arc::clone(shared);
    Service {
        on_request: Arc::new(move |_, request| {
            let shared = Arc::clone(&shared);
            Box::pin(async move {
                match request {
                    fleet::PeerRequest::Mesh(request) => {
                        fleet::PeerResponse::Mesh(mesh::handle_request(shared, request).await)
                    }
                    _ => fleet::PeerResponse::Unsupported,
                }
            }) as BoxFuture<fleet::PeerResponse>
        }),
        on_stream: Arc::new(|_, _| Box::pin(std::future::ready(())) as BoxFuture<()>),
    }
}

/// Applies the outputs of the replica's thread to the shared state.
async fn handle_outputs(shared: Arc<ProcessContext>, outputs: async_channel::Receiver<Output>) {
    while let Ok(output) = outputs.recv().await {
        match output {
            Output::Send(_) => {}
            Output::ConfigAccepted(version, body) => {
                shared.apply_config(StoredConfig::new(version, PackedConfig::from_bytes(body)));
            }
            Output::EvacuationsChanged(set) => evacuations::learn(&shared, &set),
            Output::Departed(departed) => departures::learn(&shared, departed),
            Output::LeaderChanged(leader) => {
                let mut state = shared.state();
                state.leading_replica = leader;
                state.find_leader(&shared.own_member);
                drop(state);
                shared.update_needed.notify(usize::MAX);
            }
            Output::MembershipChanged(joined) => {
                log::info!("group: event=member joined={joined}");
                shared.state().is_member = joined;
            }
        }
    }
}

fn reload(shared: &ProcessContext) {
    match NodeSettings::load() {
        Ok(settings) => {
            let mut state = shared.state();
            if state.seeds != settings.seeds {
                log::info!("gateway: event=reload seeds={:?}", settings.seeds);
                state.seeds = settings.seeds;
            }
        }
        Err(error) => log::warn!("gateway: event=reload outcome=failed reason=\"{error}\""),
    }
}

async fn watch_settings(shared: Arc<ProcessContext>) {
    let modified = || {
        let metadata = std::fs::metadata(NodeSettings::path());
        metadata.and_then(|metadata| metadata.modified()).ok()
    };
    let mut last_modified = modified();
    loop {
        Timer::after(SETTINGS_POLL_INTERVAL).await;
        let modified_at = modified();
        if modified_at != last_modified {
            last_modified = modified_at;
            reload(&shared);
        }
    }
}
