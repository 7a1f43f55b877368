//! The QUIC connections of a process.
//!
//! A node both accepts and opens connections and keeps one outgoing connection for each
//! peer. Each request and each stream of frames uses a separate QUIC stream.

use std::future::Future;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
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
use crate::credentials::FLEET_SERVER_NAME;
use crate::credentials::TlsCredentials;
use crate::error::FleetError;
use crate::liveness::Liveness;
use crate::runtime::PoolRuntime;
use crate::wire::Hello;
use crate::wire::PROTOCOL;
use crate::wire::PeerRequest;
use crate::wire::PeerResponse;
use crate::wire::StreamRequest;

/// Bounds the time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Bounds how often a connection to a peer that failed is attempted again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds how long a connection may be silent before it counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds how long requests may wait on a connection on which nothing arrives. Processes
/// that are short of processor time acknowledge packets some hundred milliseconds late.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which a long request is checked for silence.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds the time of a long request after its timeout: a message of a few megabytes takes
/// that long on a link of a few Mbit/s.
const MAX_BULK_TIME: Duration = Duration::from_secs(10);

/// Interval between keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Bounds the streams that a peer may have open with a process that serves streams of
/// frames: one for each request in progress.
pub const MAX_FRAME_STREAMS: u32 = 8_192;

/// Bounds the streams that a peer may have open with a process that serves only
/// requests. The transport allocates some hundred bytes for each allowed stream.
pub const MAX_REQUEST_STREAMS: u32 = 128;

/// Bounds the unacknowledged data on a stream (its receive window).
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Priority of the streams of requests; data of a higher priority is sent first.
const CONTROL_PRIORITY: i32 = 0;

/// Priority of the streams of long requests.
const BULK_PRIORITY: i32 = -1;

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Handles a request of the peer at an address.
pub type RequestHandler =
    Arc<dyn Fn(SocketAddr, PeerRequest) -> BoxFuture<PeerResponse> + Send + Sync>;

/// Serves a stream of frames to a peer.
pub type StreamHandler = Arc<dyn Fn(StreamRequest, FrameSender) -> BoxFuture<()> + Send + Sync>;

/// The handlers for the messages of peers.
#[derive(Clone)]
pub struct Service {
    /// Handles requests.
    pub on_request: RequestHandler,
    /// Serves streams of frames.
    pub on_stream: StreamHandler,
}

/// The sending half of a stream of frames.
#[derive(Debug)]
pub struct FrameSender {
    stream: quinn::SendStream,
}

impl FrameSender {
    /// Sends a frame; waits while the stream's flow control window is full.
    ///
    /// # Errors
    ///
    /// Fails if the receiver is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), FleetError> {
        codec::write(&mut self.stream, frame).await
    }

    /// Ends the stream.
    pub fn finish(&mut self) {
        // Fails only if the receiver has stopped the stream, which has then ended
        // already.
        let _ = self.stream.finish();
    }
}

/// The receiving half of a stream of frames.
#[derive(Debug)]
pub struct FrameReceiver {
    stream: quinn::RecvStream,
}

impl FrameReceiver {
    /// Returns the next frame, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks or a frame can't be decoded.
    pub async fn next(&mut self) -> Result<Option<Frame>, FleetError> {
        codec::read(&mut self.stream).await
    }
}

/// The sending half of a request. If it is dropped before the response, what hasn't been sent
/// is given up: it would only delay the next try.
struct RequestStream {
    stream: quinn::SendStream,
    answered: bool,
}

impl RequestStream {
    fn new(stream: quinn::SendStream, priority: i32) -> Self {
        // Fails only if the stream is closed, which the write reports.
        let _ = stream.set_priority(priority);
        Self {
            stream,
            answered: false,
        }
    }
}

impl Drop for RequestStream {
    fn drop(&mut self) {
        if !self.answered {
            // Fails if the peer has stopped the stream.
            let _ = self.stream.reset(2_u32.into());
        }
    }
}

/// The outgoing connection to one peer; the lock allows one task at a time to connect.
#[derive(Default)]
struct Peer {
    state: async_lock::Mutex<ConnectionState>,
    liveness: Mutex<Liveness>,
}

impl Peer {
    fn liveness(&self) -> MutexGuard<'_, Liveness> {
        self.liveness.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct ConnectionState {
    connection: Option<quinn::Connection>,
    failed_at: Option<Instant>,
}

/// The QUIC endpoint of a process with its connections to peers; clones share it.
#[derive(Clone)]
pub struct Node {
    endpoint: quinn::Endpoint,
    peers: Arc<Mutex<Map<SocketAddr, Arc<Peer>>>>,
    address: SocketAddr,
    max_streams: u32,
    closed: Arc<AtomicBool>,
}

fn transport_config(max_streams: u32) -> Arc<quinn::TransportConfig> {
    let mut config = quinn::TransportConfig::default();
    config.max_concurrent_bidi_streams(max_streams.into());
    config.max_concurrent_uni_streams(0_u32.into());
    config.stream_receive_window(STREAM_WINDOW_BYTES.into());
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT);
    config.max_idle_timeout(idle.ok());
    Arc::new(config)
}

fn server_config(
    credentials: &TlsCredentials,
    max_streams: u32,
) -> Result<quinn::ServerConfig, FleetError> {
    let mut tls = credentials.server_config()?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(tls);
    let quic = quic.map_err(|e| FleetError::Connect(e.to_string()))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport_config(max_streams));
    Ok(config)
}

fn client_config(
    credentials: &TlsCredentials,
    max_streams: u32,
) -> Result<quinn::ClientConfig, FleetError> {
    let mut tls = credentials.client_config()?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(tls);
    let quic = quic.map_err(|e| FleetError::Connect(e.to_string()))?;
    let mut config = quinn::ClientConfig::new(Arc::new(quic));
    config.transport_config(transport_config(max_streams));
    Ok(config)
}

impl Node {
    /// Binds `address` and serves peers with `service`; each peer may have
    /// `max_streams` streams open.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the credentials are invalid.
    pub fn bind(
        pool: &Pool,
        address: SocketAddr,
        credentials: &TlsCredentials,
        service: Service,
        max_streams: u32,
    ) -> Result<Self, FleetError> {
        let socket = UdpSocket::bind(address)?;
        Self::bind_socket(pool, socket, credentials, service, max_streams)
    }

    /// Serves peers like [`Self::bind`], on a socket that is already bound.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be used or the credentials are invalid.
    pub fn bind_socket(
        pool: &Pool,
        socket: UdpSocket,
        credentials: &TlsCredentials,
        service: Service,
        max_streams: u32,
    ) -> Result<Self, FleetError> {
        let address = socket.local_addr()?;
        let mut endpoint = quinn::Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(server_config(credentials, max_streams)?),
            socket,
            PoolRuntime::new(pool),
        )?;
        endpoint.set_default_client_config(client_config(credentials, max_streams)?);
        pool.spawn(accept(pool.clone(), endpoint.clone(), service));
        Ok(Self {
            endpoint,
            peers: Arc::default(),
            address,
            max_streams,
            closed: Arc::default(),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Uses other credentials for new connections; open ones continue.
    ///
    /// # Errors
    ///
    /// Fails if the credentials are invalid; the previous ones stay in use.
    pub fn rotate(&mut self, credentials: &TlsCredentials) -> Result<(), FleetError> {
        let server = server_config(credentials, self.max_streams)?;
        let client = client_config(credentials, self.max_streams)?;
        self.endpoint.set_server_config(Some(server));
        self.endpoint.set_default_client_config(client);
        Ok(())
    }

    /// Closes all connections permanently.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.endpoint.close(0_u32.into(), b"stopped");
    }

    /// Returns whether the node was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Sends a request to the peer at `address` and returns its response; waits at most
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or doesn't respond in time.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Span,
    ) -> Result<PeerResponse, FleetError> {
        self.exchange(address, request, timeout, CONTROL_PRIORITY)
            .await
    }

    /// Sends a long request like [`Self::request`], but behind all other data on the
    /// connection. After `timeout` it goes on for as long as the peer acknowledges data, up to
    /// [`MAX_BULK_TIME`]: what has arrived would otherwise be sent again.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached or doesn't respond in time.
    pub async fn request_bulk(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Span,
    ) -> Result<PeerResponse, FleetError> {
        self.exchange(address, request, timeout, BULK_PRIORITY)
            .await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Span,
        priority: i32,
    ) -> Result<PeerResponse, FleetError> {
        let used = OnceLock::new();
        let exchange = async {
            let connection = self.connection(address).await?;
            self.peer(address).liveness().begin_wait(&connection);
            let _ = used.set(connection.clone());
            let (sender, mut receiver) = open_bi(&connection).await?;
            let mut sender = RequestStream::new(sender, priority);
            codec::write(&mut sender.stream, &Hello::Request(request)).await?;
            let _ = sender.stream.finish();
            let response = codec::read(&mut receiver).await?;
            sender.answered = true;
            response.ok_or_else(|| FleetError::ConnectionLost("no answer".to_owned()))
        };
        let expired = async {
            Timer::after(timeout.into()).await;
            if priority == BULK_PRIORITY
                && let Some(connection) = used.get()
            {
                self.wait_for_silence(address, connection).await;
            }
            Err(FleetError::Timeout)
        };
        let response = exchange.or(expired).await;
        let Some(connection) = used.get() else {
            return response;
        };
        match &response {
            Ok(_) => self.peer(address).liveness().end_wait(),
            Err(FleetError::Timeout) => self.close_if_silent(address, connection, timeout),
            Err(_) => {}
        }
        response
    }

    /// Waits until nothing has arrived on `connection` for [`SILENCE_TIMEOUT`], for at most
    /// [`MAX_BULK_TIME`].
    async fn wait_for_silence(&self, address: SocketAddr, connection: &quinn::Connection) {
        let started_at = Instant::now();
        while started_at.elapsed() < MAX_BULK_TIME
            && self.peer(address).liveness().silence(connection) < SILENCE_TIMEOUT
        {
            Timer::after(SILENCE_POLL_INTERVAL).await;
        }
    }

    /// Closes `connection` if nothing has arrived on it for [`SILENCE_TIMEOUT`]: a restarted
    /// peer doesn't know it, and it would otherwise count as open until the idle timeout.
    ///
    /// A slow response alone is no reason: the connection carries other requests.
    fn close_if_silent(&self, address: SocketAddr, connection: &quinn::Connection, waited: Span) {
        let silent = self.peer(address).liveness().silence(connection);
        log::info!(
            "fleet: event=timeout peer={address} waited_ms={} silent_ms={}",
            waited.as_millis(),
            silent.as_millis()
        );
        if silent >= SILENCE_TIMEOUT {
            log::info!("fleet: event=closed peer={address} reason=silent");
            connection.close(1_u32.into(), b"no answer");
        }
    }

    /// Closes the connection to a peer that is known to have restarted.
    pub fn disconnect(&self, address: SocketAddr) {
        if let Some(mut state) = self.peer(address).state.try_lock()
            && let Some(connection) = state.connection.take()
        {
            connection.close(1_u32.into(), b"restarted");
        }
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        Arc::clone(self.peers().entry(address).or_default())
    }

    /// Opens a stream of frames from the peer at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        request: StreamRequest,
    ) -> Result<FrameReceiver, FleetError> {
        let connection = self.connection(address).await?;
        let (mut sender, receiver) = open_bi(&connection).await?;
        codec::write(&mut sender, &Hello::OpenStream(request)).await?;
        let _ = sender.finish();
        Ok(FrameReceiver { stream: receiver })
    }

    /// Returns the connection to a peer; connects if there is no open one.
    ///
    /// After a failed attempt, further calls fail immediately for
    /// [`RECONNECT_INTERVAL`], so that a peer that is down costs one attempt at a time.
    async fn connection(&self, address: SocketAddr) -> Result<quinn::Connection, FleetError> {
        let peer = self.peer(address);
        let mut state = peer.state.lock().await;
        if let Some(connection) = &state.connection
            && connection.close_reason().is_none()
        {
            return Ok(connection.clone());
        }
        if state
            .failed_at
            .is_some_and(|at| at.elapsed() < RECONNECT_INTERVAL)
        {
            return Err(FleetError::Connect("failed just now".to_owned()));
        }
        let connected = self.connect(address).await;
        match &connected {
            Ok(connection) => {
                *state = ConnectionState {
                    connection: Some(connection.clone()),
                    failed_at: None,
                }
            }
            Err(_) => state.failed_at = Some(Instant::now()),
        }
        connected
    }

    async fn connect(&self, address: SocketAddr) -> Result<quinn::Connection, FleetError> {
        let connecting = self
            .endpoint
            .connect(address, FLEET_SERVER_NAME)
            .map_err(|e| FleetError::Connect(e.to_string()))?;
        let connect = async {
            let connection = connecting.await;
            connection.map_err(|e| FleetError::Connect(e.to_string()))
        };
        let timed_out = async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(FleetError::Connect("timed out".to_owned()))
        };
        connect.or(timed_out).await
    }

    fn peers(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Arc<Peer>>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn open_bi(
    connection: &quinn::Connection,
) -> Result<(quinn::SendStream, quinn::RecvStream), FleetError> {
    let opened = connection.open_bi().await;
    opened.map_err(|error| FleetError::Connect(error.to_string()))
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
        Ok(Some(Hello::Request(request))) => {
            let response = (service.on_request)(peer, request).await;
            if response.is_bulk() {
                // Fails only if the stream is closed, which the write reports.
                let _ = sender.set_priority(BULK_PRIORITY);
            }
            if codec::write(&mut sender, &response).await.is_ok() {
                let _ = sender.finish();
            }
        }
        Ok(Some(Hello::OpenStream(request))) => {
            (service.on_stream)(request, FrameSender { stream: sender }).await;
        }
        Ok(None) => {}
        Err(error) => log::warn!("fleet: a message from {peer} was dropped: {error}"),
    }
}
