//! One process's connections.
//!
//! A node both takes and makes connections, one for each peer. A question takes a
//! stream of its own; so does a stream of frames.

use std::future::Future;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use base::Map;
use base::Span;
use futures_lite::FutureExt as _;
use host::Pool;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use request::Frame;

use crate::codec;
use crate::error::FleetError;
use crate::keys::FLEET_NAME;
use crate::keys::Keys;
use crate::runtime::PoolRuntime;
use crate::wire::Answer;
use crate::wire::Ask;
use crate::wire::Hello;
use crate::wire::Open;
use crate::wire::PROTOCOL;

/// How long making a connection may take.
const CONNECT_TIME: Duration = Duration::from_millis(1_500);

/// How long a peer counts as down after a failure to connect.
const RETRY_GAP: Duration = Duration::from_millis(200);

/// Silence after which a connection counts as broken.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// How often an idle connection is kept alive.
const KEEP_ALIVE: Duration = Duration::from_millis(1_500);

/// Most streams that a peer may have open where streams of frames are served: one
/// for each request under way.
pub const MANY_STREAMS: u32 = 8_192;

/// Most streams that a peer may have open where only questions are asked. The
/// transport keeps some hundred bytes for each that it allows.
pub const FEW_STREAMS: u32 = 128;

/// Bytes that a stream may have under way.
const STREAM_WINDOW: u32 = 1 << 20;

/// A future without a name.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Answers a question.
pub type AskFn = Arc<dyn Fn(SocketAddr, Ask) -> BoxFuture<Answer> + Send + Sync>;

/// Serves a stream of frames.
pub type OpenFn = Arc<dyn Fn(Open, FrameSender) -> BoxFuture<()> + Send + Sync>;

/// What a process does for its peers.
#[derive(Clone)]
pub struct Service {
    /// Answers questions.
    pub ask: AskFn,
    /// Serves streams of frames.
    pub open: OpenFn,
}

/// The sending end of a stream of frames.
#[derive(Debug)]
pub struct FrameSender {
    stream: quinn::SendStream,
}

impl FrameSender {
    /// Sends a frame; waits while the receiver is slow.
    ///
    /// # Errors
    ///
    /// Fails where the receiver is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), FleetError> {
        codec::write(&mut self.stream, frame).await
    }

    /// Ends the stream.
    pub fn finish(&mut self) {
        // A stream that the receiver has stopped is ended already.
        let _ = self.stream.finish();
    }
}

/// The receiving end of a stream of frames.
#[derive(Debug)]
pub struct Frames {
    stream: quinn::RecvStream,
}

impl Frames {
    /// Returns the next frame, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Fails where the stream breaks.
    pub async fn next(&mut self) -> Result<Option<Frame>, FleetError> {
        codec::read(&mut self.stream).await
    }
}

/// The connection to one peer; the lock lets one task at a time connect.
#[derive(Default)]
struct Peer {
    link: async_lock::Mutex<Link>,
}

#[derive(Default)]
struct Link {
    open: Option<quinn::Connection>,
    failed: Option<Instant>,
}

/// A process's connections.
#[derive(Clone)]
pub struct Node {
    endpoint: quinn::Endpoint,
    peers: Arc<Mutex<Map<SocketAddr, Arc<Peer>>>>,
    address: SocketAddr,
    streams: u32,
    closed: Arc<AtomicBool>,
}

fn transport(streams: u32) -> Arc<quinn::TransportConfig> {
    let mut config = quinn::TransportConfig::default();
    config.max_concurrent_bidi_streams(streams.into());
    config.max_concurrent_uni_streams(0_u32.into());
    config.stream_receive_window(STREAM_WINDOW.into());
    config.keep_alive_interval(Some(KEEP_ALIVE));
    let idle = quinn::IdleTimeout::try_from(IDLE_TIME);
    config.max_idle_timeout(idle.ok());
    Arc::new(config)
}

fn server_config(keys: &Keys, streams: u32) -> Result<quinn::ServerConfig, FleetError> {
    let mut tls = keys.server()?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(tls);
    let quic = quic.map_err(|e| FleetError::Connect(e.to_string()))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport(streams));
    Ok(config)
}

fn client_config(keys: &Keys, streams: u32) -> Result<quinn::ClientConfig, FleetError> {
    let mut tls = keys.client()?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(tls);
    let quic = quic.map_err(|e| FleetError::Connect(e.to_string()))?;
    let mut config = quinn::ClientConfig::new(Arc::new(quic));
    config.transport_config(transport(streams));
    Ok(config)
}

impl Node {
    /// Binds `address` and serves peers with `service`, `streams` at once for each.
    ///
    /// # Errors
    ///
    /// Fails where the address or the keys can't be used.
    pub fn bind(
        pool: &Pool,
        address: SocketAddr,
        keys: &Keys,
        service: Service,
        streams: u32,
    ) -> Result<Self, FleetError> {
        let socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        let mut endpoint = quinn::Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(server_config(keys, streams)?),
            socket,
            PoolRuntime::new(pool),
        )?;
        endpoint.set_default_client_config(client_config(keys, streams)?);
        pool.spawn(accept(pool.clone(), endpoint.clone(), service));
        Ok(Self {
            endpoint,
            peers: Arc::default(),
            address,
            streams,
            closed: Arc::default(),
        })
    }

    /// Returns the address bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Uses other keys for new connections; open ones go on.
    ///
    /// # Errors
    ///
    /// Fails where the keys can't be used; the earlier ones stay in use.
    pub fn rotate(&mut self, keys: &Keys) -> Result<(), FleetError> {
        let server = server_config(keys, self.streams)?;
        let client = client_config(keys, self.streams)?;
        self.endpoint.set_server_config(Some(server));
        self.endpoint.set_default_client_config(client);
        Ok(())
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.endpoint.close(0_u32.into(), b"stopped");
    }

    /// Returns whether all connections were closed for good.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Asks the peer at `address`; waits at most `patience` for the answer.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached or doesn't answer in time.
    pub async fn ask(
        &self,
        address: SocketAddr,
        ask: Ask,
        patience: Span,
    ) -> Result<Answer, FleetError> {
        let exchange = async {
            let (mut sender, mut receiver) = self.stream(address).await?;
            codec::write(&mut sender, &Hello::Ask(ask)).await?;
            let _ = sender.finish();
            let answer = codec::read(&mut receiver).await?;
            answer.ok_or_else(|| FleetError::Broken("no answer".to_owned()))
        };
        let answer = exchange.or(timeout(patience.into())).await;
        if matches!(answer, Err(FleetError::Timeout)) {
            self.give_up(address);
        }
        answer
    }

    /// Drops the connection to a peer that didn't answer: a restarted peer doesn't
    /// know it, and it would count as open until it had been idle for long.
    fn give_up(&self, address: SocketAddr) {
        let peer = Arc::clone(self.peers().entry(address).or_default());
        if let Some(mut link) = peer.link.try_lock()
            && let Some(open) = link.open.take()
        {
            open.close(1_u32.into(), b"no answer");
        }
    }

    /// Opens a stream of frames from the peer at `address`.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached.
    pub async fn open(&self, address: SocketAddr, open: Open) -> Result<Frames, FleetError> {
        let (mut sender, receiver) = self.stream(address).await?;
        codec::write(&mut sender, &Hello::Open(open)).await?;
        let _ = sender.finish();
        Ok(Frames { stream: receiver })
    }

    async fn stream(
        &self,
        address: SocketAddr,
    ) -> Result<(quinn::SendStream, quinn::RecvStream), FleetError> {
        let connection = self.connection(address).await?;
        let streams = connection.open_bi().await;
        streams.map_err(|error| FleetError::Connect(error.to_string()))
    }

    /// Returns the connection to a peer, made anew where it's closed.
    ///
    /// After a failure others fail at once for a while: a peer that is down costs
    /// one attempt at a time.
    async fn connection(&self, address: SocketAddr) -> Result<quinn::Connection, FleetError> {
        let peer = Arc::clone(self.peers().entry(address).or_default());
        let mut link = peer.link.lock().await;
        if let Some(open) = &link.open
            && open.close_reason().is_none()
        {
            return Ok(open.clone());
        }
        if link.failed.is_some_and(|at| at.elapsed() < RETRY_GAP) {
            return Err(FleetError::Connect("failed just now".to_owned()));
        }
        let connected = self.connect(address).await;
        match &connected {
            Ok(connection) => {
                *link = Link {
                    open: Some(connection.clone()),
                    failed: None,
                }
            }
            Err(_) => link.failed = Some(Instant::now()),
        }
        connected
    }

    async fn connect(&self, address: SocketAddr) -> Result<quinn::Connection, FleetError> {
        let connecting = self
            .endpoint
            .connect(address, FLEET_NAME)
            .map_err(|e| FleetError::Connect(e.to_string()))?;
        let connect = async {
            let connection = connecting.await;
            connection.map_err(|e| FleetError::Connect(e.to_string()))
        };
        let late = async {
            Timer::after(CONNECT_TIME).await;
            Err(FleetError::Connect("timed out".to_owned()))
        };
        connect.or(late).await
    }

    fn peers(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn timeout(patience: Duration) -> Result<Answer, FleetError> {
    Timer::after(patience).await;
    Err(FleetError::Timeout)
}

async fn accept(pool: Pool, endpoint: quinn::Endpoint, service: Service) {
    while let Some(incoming) = endpoint.accept().await {
        let peer = serve_connection(pool.clone(), incoming, service.clone());
        pool.spawn(peer);
    }
}

async fn serve_connection(pool: Pool, incoming: quinn::Incoming, service: Service) {
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("fleet: a peer could not connect: {error}");
            return;
        }
    };
    let peer = connection.remote_address();
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        pool.spawn(serve_stream(peer, sender, receiver, service.clone()));
    }
}

async fn serve_stream(
    peer: SocketAddr,
    mut sender: quinn::SendStream,
    mut receiver: quinn::RecvStream,
    service: Service,
) {
    match codec::read(&mut receiver).await {
        Ok(Some(Hello::Ask(ask))) => {
            let answer = (service.ask)(peer, ask).await;
            if codec::write(&mut sender, &answer).await.is_ok() {
                let _ = sender.finish();
            }
        }
        Ok(Some(Hello::Open(open))) => {
            (service.open)(open, FrameSender { stream: sender }).await;
        }
        Ok(None) => {}
        Err(error) => log::warn!("fleet: a message from {peer} was dropped: {error}"),
    }
}
