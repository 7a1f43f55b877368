//! The thread that runs the core and syncs its writes in groups. Its inputs are peer
//! requests, ticks and the responses of entries and agents.
//!
//! All inputs that are queued are handled together and made durable by one sync. Responses
//! and messages are sent only after that. If the disk fails, a leader transfers its leadership,
//! and the keeper takes no part in the group until the folder can be opened and written again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use base::KeeperId;
use base::Span;
use base::time::Clock;
use consensus::Replica;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use host::Pool;
use store::JournalOptions;
use thiserror::Error;

use super::core::Core;
use super::core::CoreParams;
use super::core::Input;
use super::core::Output;
use super::storage::DiskError;
use super::storage::Storage;
use crate::settings::KeeperPeer;
use crate::settings::KeeperSettings;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of inputs handled with one sync.
const MAX_GROUP_INPUTS: usize = 4_096;

/// Largest number of queued inputs.
const MAX_QUEUED_INPUTS: usize = 65_536;

/// Longest wait for another keeper's response.
const PEER_TIMEOUT: Span = Span::millis(1_500);

/// Longest wait for an entry's or agent's response.
const CLIENT_TIMEOUT: Span = Span::millis(300);

/// Time between two attempts to open the folder after its disk failed.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Time for the pool's tasks to send the messages that transfer leadership.
const TRANSFER_DELAY: Duration = Duration::from_millis(50);

/// Time between two rounds of requests to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// An error that prevents a keeper from starting.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The data folder can't be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The snapshot can't be decoded.
    #[error("the snapshot can't be read: {0}")]
    Snapshot(#[from] postcard::Error),
}

impl KeeperError {
    /// Returns whether the folder may become usable again without a change of its content.
    fn is_transient(&self) -> bool {
        matches!(self, Self::Disk(error) if error.is_transient())
    }
}

/// A handle to a running keeper.
#[derive(Clone, Debug)]
pub struct Keeper {
    inputs: Sender<Input>,
    stopped: Receiver<()>,
    faults: Arc<AtomicU64>,
}

/// What the process provides to its keeper.
#[derive(Clone)]
pub struct Context {
    /// The worker pool.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// The keepers named in the settings.
    pub peers: Vec<KeeperPeer>,
    /// The failure domain.
    pub domain: String,
}

impl Keeper {
    /// Opens the data folder and starts the keeper.
    ///
    /// The keeper's thread waits until `node` yields the node that sends its messages.
    ///
    /// # Errors
    ///
    /// Fails if the data folder can't be used.
    ///
    /// # Panics
    ///
    /// Panics if the operating system can't start another thread.
    pub fn open(
        context: &Context,
        settings: &KeeperSettings,
        node: Receiver<Node>,
    ) -> Result<Self, KeeperError> {
        let local = LocalKeeper::open(context, settings)?;
        let (inputs, queue) = async_channel::bounded(MAX_QUEUED_INPUTS);
        let (stopped_sender, stopped) = async_channel::bounded(1);
        let keeper = Self {
            inputs: inputs.clone(),
            stopped,
            faults: Arc::default(),
        };
        let driver = Driver {
            context: context.clone(),
            settings: settings.clone(),
            queue,
            inputs: inputs.clone(),
            faults: Arc::clone(&keeper.faults),
        };
        context.pool.spawn(tick(inputs));
        thread::Builder::new()
            .name("keeper".to_owned())
            .spawn(move || {
                driver.run(local, &node);
                driver.queue.close();
                drop(stopped_sender);
            })
            .expect("the operating system starts a thread");
        Ok(keeper)
    }

    /// Handles a peer's request and returns the response.
    pub async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        let (reply, response) = async_channel::bounded(1);
        if self
            .inputs
            .send(Input::Request(request, reply))
            .await
            .is_err()
        {
            return PeerResponse::Unavailable;
        }
        response.recv().await.unwrap_or(PeerResponse::Unavailable)
    }

    /// Returns the number of faults found so far; see [`Core::faults`].
    #[must_use]
    pub fn faults(&self) -> u64 {
        self.faults.load(Ordering::Relaxed)
    }

    /// Transfers leadership, syncs all writes and stops the keeper.
    pub async fn stop(&self) {
        if self.inputs.send(Input::Stop).await.is_ok() {
            // The driver closes the channel when it ends.
            let _ = self.stopped.recv().await;
        }
    }
}

async fn tick(inputs: Sender<Input>) {
    loop {
        Timer::after(TICK_INTERVAL).await;
        // A tick may be dropped when the queue is full: the queued inputs wake the driver
        // anyway.
        let _ = inputs.try_send(Input::Tick);
        if inputs.is_closed() {
            return;
        }
    }
}

/// A keeper's state and its storage.
struct LocalKeeper {
    core: Core,
    storage: Storage,
}

impl LocalKeeper {
    /// Opens the data folder.
    fn open(context: &Context, settings: &KeeperSettings) -> Result<Self, KeeperError> {
        let mut voters = Vec::new();
        if settings.forms_group {
            voters.extend(context.peers.iter().map(|peer| peer.id));
        }
        let (storage, recovered) = Storage::open(
            &settings.data_folder,
            settings.id,
            &voters,
            JournalOptions::default(),
        )?;
        let replayed = recovered.replayed_records;
        log::info!("keeper: read back {replayed} records");
        let seed = fastrand::u64(..);
        let identity = storage.identity();
        let replica = Replica::new(
            settings.id,
            identity,
            recovered.hard_state,
            recovered.log,
            seed,
        );
        let peers: BTreeMap<KeeperId, SocketAddr> = context
            .peers
            .iter()
            .map(|peer| (peer.id, peer.address))
            .collect();
        let core = Core::new(CoreParams {
            id: settings.id,
            disk_id: identity,
            domain: context.domain.clone(),
            peers,
            replica,
            share: recovered.share,
            now: context.clock.now(),
        })?;
        Ok(Self { core, storage })
    }

    /// Opens the folder after its disk failed, and writes to it: a keeper whose disk refuses
    /// writes must not take part in elections.
    fn reopen(context: &Context, settings: &KeeperSettings) -> Result<Self, KeeperError> {
        let mut local = Self::open(context, settings)?;
        local
            .storage
            .rewrite(&local.core.replica, &local.core.share)?;
        Ok(local)
    }

    /// Makes writes durable and applies committed items until none are left.
    fn flush(&mut self) -> Result<(), DiskError> {
        loop {
            let (writes, events) = self.core.take_writes();
            if writes.is_empty() && events.is_empty() {
                self.storage.write_sync_markers()?;
            } else {
                self.storage.write(&writes, &events, &self.core.replica)?;
            }
            if !self.core.apply_committed() {
                break;
            }
        }
        if self.core.take_compacted() {
            self.storage.checkpoint_log(&self.core.replica)?;
        }
        self.storage.checkpoint_share(&self.core.share)
    }
}

struct Driver {
    context: Context,
    settings: KeeperSettings,
    queue: Receiver<Input>,
    inputs: Sender<Input>,
    faults: Arc<AtomicU64>,
}

impl Driver {
    /// Runs the keeper until it is told to stop.
    fn run(&self, first: LocalKeeper, node: &Receiver<Node>) {
        let Ok(node) = node.recv_blocking() else {
            return;
        };
        if let Some(request) = first.core.join_request() {
            let peers = self.context.peers.iter();
            let others = peers.filter(|peer| peer.id != self.settings.id);
            let addresses = others.map(|peer| peer.address).collect();
            self.context
                .pool
                .spawn(request_join(node.clone(), addresses, request));
        }
        let mut next = Some(first);
        while let Some(mut local) = next {
            let Err(error) = self.serve(&mut local, &node) else {
                return;
            };
            if !error.is_transient() {
                log::error!("keeper: the disk failed and the keeper stops: {error}");
                return;
            }
            log::error!("keeper: the disk failed and the keeper waits for it: {error}");
            self.emit(local.core.hand_over(), &node);
            // The folder is locked until it is closed.
            drop(local);
            next = self.wait_for_disk();
        }
    }

    /// Handles inputs until the keeper is told to stop.
    fn serve(&self, local: &mut LocalKeeper, node: &Node) -> Result<(), DiskError> {
        while let Ok(first) = self.queue.recv_blocking() {
            let mut stopping = false;
            let mut next_input = Some(first);
            let mut count = 0;
            while let Some(input) = next_input {
                stopping |= matches!(input, Input::Stop);
                local
                    .core
                    .handle(input, self.context.clock.now(), wall_time_ms());
                count += 1;
                next_input = (count < MAX_GROUP_INPUTS)
                    .then(|| self.queue.try_recv().ok())
                    .flatten();
            }
            match local.flush() {
                Err(error) if stopping => {
                    log::error!("keeper: the disk failed while the keeper stopped: {error}");
                    return Ok(());
                }
                flushed => flushed?,
            }
            self.faults
                .fetch_max(local.core.faults(), Ordering::Relaxed);
            self.emit(local.core.take_outputs(), node);
            if stopping {
                // No further input is taken meanwhile.
                self.queue.close();
                thread::sleep(TRANSFER_DELAY);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Opens the folder once its disk can be written again; returns `None` if the keeper is told
    /// to stop before, or if the folder is damaged.
    fn wait_for_disk(&self) -> Option<LocalKeeper> {
        loop {
            thread::sleep(REOPEN_DELAY);
            // Dropping a request closes its reply channel, which tells the sender that this
            // keeper can't answer.
            while let Ok(input) = self.queue.try_recv() {
                if matches!(input, Input::Stop) {
                    return None;
                }
            }
            match LocalKeeper::reopen(&self.context, &self.settings) {
                Ok(local) => {
                    log::info!("keeper: the disk can be written again");
                    return Some(local);
                }
                Err(error) if error.is_transient() => {
                    log::warn!("keeper: the disk still fails: {error}");
                }
                Err(error) => {
                    log::error!("keeper: the folder can't be used and the keeper stops: {error}");
                    return None;
                }
            }
        }
    }

    fn emit(&self, outputs: Vec<Output>, node: &Node) {
        for output in outputs {
            match output {
                Output::Respond(reply, response) => {
                    // The requester may no longer wait.
                    let _ = reply.try_send(response);
                }
                other => {
                    let inputs = self.inputs.clone();
                    self.context
                        .pool
                        .spawn(send_output(node.clone(), inputs, other));
                }
            }
        }
    }
}

async fn send_output(node: Node, inputs: Sender<Input>, output: Output) {
    match output {
        Output::Respond(..) => {}
        Output::Notify(address, request) => {
            // Lost messages are sent again by the layer above.
            let _ = node.request(address, request, PEER_TIMEOUT).await;
        }
        Output::Forward(address, request, reply) => {
            let response = node.request(address, request, PEER_TIMEOUT).await;
            let _ = reply.try_send(response.unwrap_or(PeerResponse::Unavailable));
        }
        Output::Recall(address, team, required) => {
            let request = PeerRequest::Recall(team, required);
            let response = node.request(address, request, CLIENT_TIMEOUT).await;
            if let Ok(PeerResponse::Returned(lease, total)) = response {
                let _ = inputs.send(Input::TokensReturned(lease, team, total)).await;
            }
        }
        Output::FenceLease(address, lease) => {
            let request = PeerRequest::FenceLease(lease);
            let response = node.request(address, request, CLIENT_TIMEOUT).await;
            if let Ok(PeerResponse::LeaseFenced(agent, clear)) = response {
                let _ = inputs.send(Input::LeaseFenced(lease, agent, clear)).await;
            }
        }
    }
}

async fn request_join(node: Node, addresses: Vec<SocketAddr>, request: PeerRequest) {
    loop {
        for &address in &addresses {
            let response = node.request(address, request.clone(), PEER_TIMEOUT).await;
            if let Ok(PeerResponse::Done) = response {
                log::info!("keeper: joined the group as a learner");
                return;
            }
        }
        Timer::after(JOIN_RETRY_INTERVAL).await;
    }
}

fn wall_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
