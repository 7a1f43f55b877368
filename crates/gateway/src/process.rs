//! A process that forwards requests as they are.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use base::time::Clock;
use consensus::Envelope;
use fleet::FleetError;
use fleet::Node;
use fleet::Service;
use fleet::TlsCredentials;
use fleet::mesh::Member;
use fleet::node::BoxFuture;
use host::Pool;
use platform::settings::NodeSettings;
use thiserror::Error;

use crate::budget;
use crate::control;
use crate::front;
use crate::group::Group;
use crate::group::GroupError;
use crate::group::GroupOptions;
use crate::group::Input;
use crate::group::Output;
use crate::mesh;
use crate::settlement;
use crate::state::ProcessContext;
use crate::witness;

/// Part of the disk that the journal may take; a checkpoint needs the rest.
const QUOTA_PART: u64 = 2;

/// Messages of the log that may wait to be sent.
const WAITING: usize = 4_096;

/// Time in which messages that hand over leadership leave.
const HAND_OVER: Duration = Duration::from_millis(120);

/// Time in which requests arrive that were sent before the port closed: some one-way
/// delays between callers and entries.
const LAST_CALLS: Duration = Duration::from_millis(60);

/// Time between two looks at the settings file.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

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

/// A running process.
#[derive(Clone)]
pub struct Gateway {
    shared: Arc<ProcessContext>,
}

impl Gateway {
    /// Starts the process of `settings` on `pool`; metrics are also served on the
    /// port `metrics`.
    ///
    /// # Errors
    ///
    /// Fails where the data folder, the transport or an address can't be used.
    pub fn spawn(
        pool: &Pool,
        settings: NodeSettings,
        metrics: Option<u16>,
    ) -> Result<Self, StartError> {
        let clock = Clock::start();
        let address = SocketAddr::from((settings.ip, settings.ports.0));
        let (outputs, taken) = async_channel::unbounded();
        let (sender, envelopes) = async_channel::bounded(WAITING);
        let group = match &settings.data_dir {
            Some(folder) => {
                let start = GroupOptions {
                    folder: folder.clone(),
                    address,
                    quota_bytes: (settings.limits.disk_mb << 20) / QUOTA_PART,
                    quorum_size: 2 * settings.fault_tolerance.instances + 1,
                    output: Arc::new(move |output| {
                        let lost = match output {
                            Output::Send(envelope) => sender.try_send(envelope).is_err(),
                            other => outputs.try_send(other).is_err(),
                        };
                        if lost {
                            // The log's own protocol sends messages again.
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
        };
        log::info!(
            "gateway: event=start name={} domain={} address={address} keeper={:?} first_start={} seeds={:?}",
            settings.name,
            settings.domain,
            own.keeper,
            settings.bootstrap,
            settings.seeds
        );
        let shared = Arc::new(ProcessContext::new(settings, pool, own, group, clock));
        let node = Node::bind(
            pool,
            address,
            &TlsCredentials::ephemeral()?,
            service(&shared),
            fleet::node::MAX_REQUEST_STREAMS,
        )?;
        // Set once, right after the start.
        let _ = shared.node.set(node);
        let gateway = Self { shared };
        gateway.bind(metrics)?;
        gateway.run(taken, envelopes);
        Ok(gateway)
    }

    fn bind(&self, metrics: Option<u16>) -> Result<(), StartError> {
        let listen = &self.shared.settings.listen;
        let bound = |address, result: io::Result<()>| {
            result.map_err(|source| StartError::Bind { address, source })
        };
        if let Some(address) = listen.callers {
            bound(address, front::bind(&self.shared, address))?;
        }
        let metrics = metrics.map(|port| SocketAddrV4::new(self.shared.settings.ip, port));
        let plain = [listen.readiness, listen.control, metrics];
        for address in plain.into_iter().flatten() {
            bound(address, control::bind(&self.shared, address))?;
        }
        Ok(())
    }

    fn run(
        &self,
        outputs: async_channel::Receiver<Output>,
        envelopes: async_channel::Receiver<Envelope>,
    ) {
        let pool = &self.shared.pool;
        pool.spawn(take_outputs(Arc::clone(&self.shared), outputs));
        pool.spawn(mesh::send_replica_messages(
            Arc::clone(&self.shared),
            envelopes,
        ));
        pool.spawn(mesh::send_updates(Arc::clone(&self.shared)));
        pool.spawn(mesh::join_group(Arc::clone(&self.shared)));
        pool.spawn(mesh::confirm_config(Arc::clone(&self.shared)));
        pool.spawn(budget::draw_grants(Arc::clone(&self.shared)));
        pool.spawn(budget::borrow_tokens(Arc::clone(&self.shared)));
        pool.spawn(witness::record_marks(Arc::clone(&self.shared)));
        pool.spawn(mesh::report_memory());
        pool.spawn(settlement::settle_leases(Arc::clone(&self.shared)));
        pool.spawn(watch_settings(Arc::clone(&self.shared)));
    }

    /// Reads the settings again; only the seeds can change while a process runs.
    pub fn reload(&self) {
        reload(&self.shared);
    }

    /// Stops as planned: the balancer first, then callers, then the replica.
    pub async fn stop(&self) {
        let shared = &self.shared;
        shared.begin_stop();
        let end = shared.now() + shared.grace_period();
        let least = shared.now() + front::STOP_IDLE + Span::millis(600);
        loop {
            let now = shared.now();
            let busy = shared.active_requests.load(Ordering::Relaxed);
            if now >= end || (now >= least && busy == 0) {
                log::info!("gateway: event=drained busy={busy}");
                break;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
        // What was sent before callers saw the port closed is still answered.
        shared.refuse_callers();
        Timer::after(LAST_CALLS).await;
        while shared.now() < end && shared.active_requests.load(Ordering::Relaxed) > 0 {
            Timer::after(Duration::from_millis(10)).await;
        }
        budget::return_grants(shared).await;
        if let Some(group) = &shared.group {
            let (done, stopped) = async_channel::bounded(1);
            group.send(Input::Stop(done));
            // The channel is closed where the replica has failed before.
            let _ = stopped.recv().await;
            Timer::after(HAND_OVER).await;
        }
        if let Some(node) = shared.node.get() {
            node.close();
        }
    }
}

fn service(shared: &Arc<ProcessContext>) -> Service {
    let shared = Arc::clone(shared);
    Service {
        on_request: Arc::new(move |_, ask| {
            let shared = Arc::clone(&shared);
            Box::pin(async move {
                match ask {
                    fleet::PeerRequest::Mesh(ask) => {
                        fleet::PeerResponse::Mesh(mesh::handle_request(shared, ask).await)
                    }
                    _ => fleet::PeerResponse::Unsupported,
                }
            }) as BoxFuture<fleet::PeerResponse>
        }),
        on_stream: Arc::new(|_, _| Box::pin(std::future::ready(())) as BoxFuture<()>),
    }
}

/// Takes in what the replica's thread tells.
async fn take_outputs(shared: Arc<ProcessContext>, outputs: async_channel::Receiver<Output>) {
    while let Ok(output) = outputs.recv().await {
        match output {
            Output::Send(_) => {}
            Output::ConfigAccepted(version, body) => {
                shared.apply_config(version, body);
            }
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
    let stamp = || {
        let meta = std::fs::metadata(NodeSettings::path());
        meta.and_then(|meta| meta.modified()).ok()
    };
    let mut known = stamp();
    loop {
        Timer::after(SETTINGS_LOOK).await;
        let found = stamp();
        if found != known {
            known = found;
            reload(&shared);
        }
    }
}
