//! The thread that owns the core and syncs in groups.
//!
//! Everything that waits when the thread comes round is handled together and
//! made durable by one sync; only then do replies and messages leave.

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
use super::core::Input;
use super::core::Output;
use super::core::Start;
use super::disk::Disk;
use super::disk::DiskError;
use crate::settings::KeeperSettings;
use crate::settings::Peer;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);

/// Most inputs handled with one sync.
const GROUP: usize = 4_096;

/// Inputs that may wait.
const QUEUE: usize = 65_536;

/// Longest wait for another keeper's answer.
const PEER_WAIT: Span = Span::millis(1_500);

/// Longest wait for an entry's or agent's answer.
const CLIENT_WAIT: Span = Span::millis(300);

/// Time between two requests to join.
const JOIN_EVERY: Duration = Duration::from_secs(1);

/// Why a keeper can't start.
#[derive(Debug, Error)]
pub enum KeeperError {
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The snapshot can't be read.
    #[error("the snapshot can't be read: {0}")]
    Snapshot(#[from] postcard::Error),
}

/// A running keeper.
#[derive(Clone, Debug)]
pub struct Keeper {
    inputs: Sender<Input>,
    stopped: Receiver<()>,
    faults: Arc<AtomicU64>,
}

/// What a keeper needs of its process.
#[derive(Clone)]
pub struct Context {
    /// The pool.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// The keepers of the settings.
    pub peers: Vec<Peer>,
    /// The failure domain.
    pub domain: String,
}

impl Keeper {
    /// Opens the data folder and starts the keeper; `node` sends its messages.
    ///
    /// # Errors
    ///
    /// Fails where the data folder can't be used.
    ///
    /// # Panics
    ///
    /// Panics where the operating system starts no more threads.
    pub fn open(
        context: &Context,
        settings: &KeeperSettings,
        node: Receiver<Node>,
    ) -> Result<Self, KeeperError> {
        let mut voters = Vec::new();
        if settings.form {
            voters.extend(context.peers.iter().map(|peer| peer.number));
        }
        let opened = Disk::open(
            &settings.data,
            settings.number,
            &voters,
            JournalOptions::default(),
        );
        let (disk, found) = opened?;
        let replayed = found.replayed;
        log::info!("keeper: read back {replayed} records");
        let seed = fastrand::u64(..);
        let identity = disk.identity();
        let replica = Replica::new(settings.number, identity, found.saved, found.log, seed);
        let peers: BTreeMap<KeeperId, SocketAddr> = context
            .peers
            .iter()
            .map(|peer| (peer.number, peer.address))
            .collect();
        let core = Core::new(Start {
            id: settings.number,
            disk: identity,
            domain: context.domain.clone(),
            peers,
            replica,
            share: found.share,
            now: context.clock.now(),
        })?;
        let (inputs, queue) = async_channel::bounded(QUEUE);
        let (done, stopped) = async_channel::bounded(1);
        let keeper = Self {
            inputs: inputs.clone(),
            stopped,
            faults: Arc::default(),
        };
        let driver = Driver {
            core,
            disk,
            queue,
            inputs: inputs.clone(),
            clock: context.clock,
            pool: context.pool.clone(),
            faults: Arc::clone(&keeper.faults),
            peers: context.peers.clone(),
            own: settings.number,
        };
        context.pool.spawn(tick(inputs));
        thread::Builder::new()
            .name("keeper".to_owned())
            .spawn(move || {
                driver.run(&node);
                drop(done);
            })
            .expect("the operating system starts a thread");
        Ok(keeper)
    }

    /// Answers a peer's question.
    pub async fn ask(&self, ask: PeerRequest) -> PeerResponse {
        let (reply, answer) = async_channel::bounded(1);
        if self.inputs.send(Input::Ask(ask, reply)).await.is_err() {
            return PeerResponse::Unavailable;
        }
        answer.recv().await.unwrap_or(PeerResponse::Unavailable)
    }

    /// Returns the breaches of the conservation law seen so far.
    #[must_use]
    pub fn faults(&self) -> u64 {
        self.faults.load(Ordering::Relaxed)
    }

    /// Hands leadership over, syncs and ends the keeper.
    pub async fn stop(&self) {
        if self.inputs.send(Input::Stop).await.is_ok() {
            // The channel is closed by the driver when it's done.
            let _ = self.stopped.recv().await;
        }
    }
}

async fn tick(inputs: Sender<Input>) {
    loop {
        Timer::after(TICK).await;
        // A full queue needs no tick.
        let _ = inputs.try_send(Input::Tick);
        if inputs.is_closed() {
            return;
        }
    }
}

struct Driver {
    core: Core,
    disk: Disk,
    queue: Receiver<Input>,
    inputs: Sender<Input>,
    clock: Clock,
    pool: Pool,
    faults: Arc<AtomicU64>,
    peers: Vec<Peer>,
    own: KeeperId,
}

impl Driver {
    fn run(mut self, node: &Receiver<Node>) {
        let Ok(node) = node.recv_blocking() else {
            return;
        };
        if let Some(ask) = self.core.join() {
            let addresses: Vec<SocketAddr> = self
                .peers
                .iter()
                .filter(|peer| peer.number != self.own)
                .map(|peer| peer.address)
                .collect();
            self.pool.spawn(join(node.clone(), addresses, ask));
        }
        while let Ok(first) = self.queue.recv_blocking() {
            let mut stop = false;
            let mut next = Some(first);
            let mut count = 0;
            while let Some(input) = next {
                stop |= matches!(input, Input::Stop);
                self.core.handle(input, self.clock.now(), wall_ms());
                count += 1;
                next = (count < GROUP)
                    .then(|| self.queue.try_recv().ok())
                    .flatten();
            }
            if let Err(error) = self.flush() {
                log::error!("keeper: the disk failed and the keeper stops: {error}");
                self.queue.close();
                return;
            }
            self.emit(&node);
            if stop {
                self.queue.close();
                // Messages that hand over leadership leave before the process does.
                thread::sleep(Duration::from_millis(50));
                return;
            }
        }
    }

    /// Makes writes durable and applies what is committed, until nothing is left.
    fn flush(&mut self) -> Result<(), DiskError> {
        loop {
            let (writes, events) = self.core.take_writes();
            if writes.is_empty() && events.is_empty() {
                self.disk.mark()?;
            } else {
                self.disk.write(&writes, &events)?;
            }
            if !self.core.deliver() {
                break;
            }
        }
        if self.core.take_compacted() {
            self.disk.checkpoint_log(&self.core.replica)?;
        }
        self.disk.checkpoint_share(&self.core.share)?;
        self.faults.store(self.core.faults(), Ordering::Relaxed);
        Ok(())
    }

    fn emit(&mut self, node: &Node) {
        for output in self.core.take_outputs() {
            match output {
                Output::Reply(reply, answer) => {
                    // Whoever asked may have gone.
                    let _ = reply.try_send(answer);
                }
                other => {
                    let inputs = self.inputs.clone();
                    self.pool.spawn(send(node.clone(), inputs, other));
                }
            }
        }
    }
}

async fn send(node: Node, inputs: Sender<Input>, output: Output) {
    match output {
        Output::Reply(..) => {}
        Output::Tell(address, ask) => {
            // What is lost is sent again by the protocol above.
            let _ = node.request(address, ask, PEER_WAIT).await;
        }
        Output::Forward(address, ask, reply) => {
            let answer = node.request(address, ask, PEER_WAIT).await;
            let _ = reply.try_send(answer.unwrap_or(PeerResponse::Unavailable));
        }
        Output::Recall(address, team, need) => {
            let ask = PeerRequest::Recall(team, need);
            let answer = node.request(address, ask, CLIENT_WAIT).await;
            if let Ok(PeerResponse::Returned(lease, total)) = answer {
                let _ = inputs.send(Input::Returned(lease, team, total)).await;
            }
        }
        Output::Vouch(address, lease) => {
            let ask = PeerRequest::FenceLease(lease);
            let answer = node.request(address, ask, CLIENT_WAIT).await;
            if let Ok(PeerResponse::LeaseFenced(agent, clear)) = answer {
                let _ = inputs.send(Input::Vouched(lease, agent, clear)).await;
            }
        }
    }
}

async fn join(node: Node, addresses: Vec<SocketAddr>, ask: PeerRequest) {
    loop {
        for &address in &addresses {
            let answer = node.request(address, ask.clone(), PEER_WAIT).await;
            if let Ok(PeerResponse::Done) = answer {
                log::info!("keeper: joined as a learner");
                return;
            }
        }
        Timer::after(JOIN_EVERY).await;
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
