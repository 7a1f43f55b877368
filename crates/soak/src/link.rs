//! Emulates the links of processes: a relay of datagrams with limited rates.
//!
//! Each process advertises an address of the relay, which forwards what arrives there to the
//! address that the process binds, from a socket of its own for each peer. A datagram
//! passes the sender's link and then the receiver's; each has a rate and a bounded queue
//! in both directions.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base::Map;
use rustix::event::Timespec;
use rustix::event::epoll;
use rustix::fd::OwnedFd;
use serde::Serialize;
use socket2::SockRef;

use crate::plan::PeerLinkMode;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Receive buffer of a socket, so that only the emulated queues lose datagrams.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Number of datagrams read from a socket before the next one has its turn.
const MAX_BATCH: usize = 64;

/// Divisor of the rate of a slow link.
const SLOW_DIVISOR: u64 = 10;

/// Delay that a slow link adds.
const SLOW_DELAY: Duration = Duration::from_millis(20);

/// Time after which the threads of a dropped network end.
const STOP_INTERVAL: Duration = Duration::from_millis(100);

/// Rate, delay and queue of a link; the same in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Bytes per second.
    pub rate: u64,
    /// Propagation delay of what the process sends.
    pub delay: Duration,
    /// Maximum length of a queue, in bytes; what doesn't fit is lost.
    pub queue_bytes: u64,
}

/// A process with its addresses and its link.
#[derive(Clone, Copy, Debug)]
pub struct LinkEnd {
    /// Address that the process binds.
    pub bound: SocketAddrV4,
    /// Address that its peers use; the relay binds it.
    pub advertised: SocketAddrV4,
    /// Limits of its link.
    pub limits: LinkLimits,
}

/// Traffic of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LinkCounts {
    /// Bytes that the process sent.
    pub sent: u64,
    /// Bytes that it received.
    pub received: u64,
    /// Bytes that didn't fit in a queue, or were lost because the link was cut.
    pub lost: u64,
}

/// The links of all processes; its threads end once it is dropped.
pub struct Network {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

struct State {
    links: Vec<Link>,
    events: BinaryHeap<Event>,
    next_event: u64,
    worst_delay: Duration,
    stopped: bool,
}

struct Link {
    limits: LinkLimits,
    mode: PeerLinkMode,
    /// When the last datagram in each queue will have passed.
    free_at: [Instant; 2],
    counts: LinkCounts,
}

impl Link {
    fn current_limits(&self) -> LinkLimits {
        match self.mode {
            PeerLinkMode::Slow => LinkLimits {
                rate: self.limits.rate / SLOW_DIVISOR,
                delay: self.limits.delay + SLOW_DELAY,
                ..self.limits
            },
            PeerLinkMode::Open | PeerLinkMode::Cut | PeerLinkMode::Silent => self.limits,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Out,
    In,
}

struct Datagram {
    from: Option<usize>,
    to: Option<usize>,
    bytes: Vec<u8>,
    socket: Arc<UdpSocket>,
    target: SocketAddr,
}

/// A datagram that reaches the receiver's link (`Direction::Out` is done) or the receiver.
struct Event {
    at: Instant,
    number: u64,
    passed: Direction,
    datagram: Datagram,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Orders the earliest event last, since a heap returns the greatest one.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl Network {
    /// Starts a relay for each process.
    ///
    /// # Errors
    ///
    /// Fails if an advertised address can't be bound.
    pub fn spawn(ends: &[LinkEnd]) -> io::Result<Self> {
        let now = Instant::now();
        let link = |end: &LinkEnd| Link {
            limits: end.limits,
            mode: PeerLinkMode::Open,
            free_at: [now; 2],
            counts: LinkCounts::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                links: ends.iter().map(link).collect(),
                events: BinaryHeap::new(),
                next_event: 0,
                worst_delay: Duration::ZERO,
                stopped: false,
            }),
            changed: Condvar::new(),
        });
        let mut reader = Reader::bind(&shared, ends)?;
        thread::spawn(move || reader.run());
        let sender = Arc::clone(&shared);
        thread::spawn(move || sender.run());
        Ok(Self { shared })
    }

    /// Sets the mode of a process's link.
    pub fn set_mode(&self, process: usize, mode: PeerLinkMode) {
        self.shared.state().links[process].mode = mode;
    }

    /// Returns the traffic of each link so far.
    #[must_use]
    pub fn counts(&self) -> Vec<LinkCounts> {
        let state = self.shared.state();
        state.links.iter().map(|link| link.counts).collect()
    }

    /// Returns the longest time for which the relay itself held back a datagram that was
    /// due.
    #[must_use]
    pub fn worst_delay(&self) -> Duration {
        self.shared.state().worst_delay
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.shared.state().stopped = true;
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Moves datagrams from link to link and sends them when they are due.
    fn run(&self) {
        let mut state = self.state();
        while !state.stopped {
            let now = Instant::now();
            let wait = state.events.peek().map(|event| event.at);
            match wait {
                Some(at) if at <= now => {
                    state.worst_delay = state.worst_delay.max(now - at);
                    if let Some(due) = state.advance() {
                        drop(state);
                        // The receiver may not be running.
                        let _ = due.socket.send_to(&due.bytes, due.target);
                        state = self.state();
                    }
                }
                _ => {
                    let span = wait.map_or(STOP_INTERVAL, |at| at - now);
                    let waited = self.changed.wait_timeout(state, span.min(STOP_INTERVAL));
                    state = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
        }
    }
}

impl State {
    fn push(&mut self, at: Instant, passed: Direction, datagram: Datagram) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push(Event {
            at,
            number,
            passed,
            datagram,
        });
    }

    /// Queues a datagram on its sender's link.
    fn accept(&mut self, datagram: Datagram, now: Instant) {
        if let Some(at) = self.pass(datagram.from, Direction::Out, datagram.bytes.len(), now) {
            self.push(at, Direction::Out, datagram);
        }
    }

    /// Takes the next event; returns its datagram if it has passed both links.
    fn advance(&mut self) -> Option<Datagram> {
        let event = self.events.pop()?;
        let datagram = event.datagram;
        if event.passed == Direction::In {
            return Some(datagram);
        }
        if let Some(at) = self.pass(datagram.to, Direction::In, datagram.bytes.len(), event.at) {
            self.push(at, Direction::In, datagram);
        }
        None
    }

    /// Returns when a datagram has passed a link, or `None` if it is lost there.
    fn pass(
        &mut self,
        link: Option<usize>,
        direction: Direction,
        length: usize,
        now: Instant,
    ) -> Option<Instant> {
        let Some(link) = link.map(|index| &mut self.links[index]) else {
            return Some(now);
        };
        let length = length as u64;
        let limits = link.current_limits();
        let free_at = &mut link.free_at[direction as usize];
        let queued = bytes_in(free_at.saturating_duration_since(now), limits.rate);
        let lost = match link.mode {
            PeerLinkMode::Open | PeerLinkMode::Slow => false,
            PeerLinkMode::Cut => true,
            PeerLinkMode::Silent => direction == Direction::Out,
        };
        if lost || queued + length > limits.queue_bytes {
            link.counts.lost += length;
            return None;
        }
        *free_at = (*free_at).max(now) + time_for(length, limits.rate);
        match direction {
            Direction::Out => {
                link.counts.sent += length;
                Some(*free_at + limits.delay)
            }
            Direction::In => {
                link.counts.received += length;
                Some(*free_at)
            }
        }
    }
}

fn bytes_in(span: Duration, rate: u64) -> u64 {
    let bytes = span.as_nanos() * u128::from(rate) / 1_000_000_000;
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

fn time_for(length: u64, rate: u64) -> Duration {
    Duration::from_nanos(length.saturating_mul(1_000_000_000) / rate.max(1))
}

/// A socket that the relay reads, and what arrives there.
struct Source {
    socket: Arc<UdpSocket>,
    /// The process that it belongs to.
    process: usize,
    /// The peer whose datagrams it forwards; `None` for an advertised address.
    peer: Option<SocketAddr>,
}

/// Reads all sockets of the relay.
struct Reader {
    shared: Arc<Shared>,
    epoll: OwnedFd,
    sources: Vec<Source>,
    bound: Vec<SocketAddr>,
    by_ip: Map<Ipv4Addr, usize>,
    upstream: Map<(usize, SocketAddr), Arc<UdpSocket>>,
    buffer: Vec<u8>,
}

impl Reader {
    fn bind(shared: &Arc<Shared>, ends: &[LinkEnd]) -> io::Result<Self> {
        let mut reader = Self {
            shared: Arc::clone(shared),
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            sources: Vec::new(),
            bound: ends.iter().map(|end| end.bound.into()).collect(),
            by_ip: ends
                .iter()
                .enumerate()
                .map(|(index, end)| (*end.bound.ip(), index))
                .collect(),
            upstream: Map::default(),
            buffer: vec![0; MAX_DATAGRAM_BYTES],
        };
        for (process, end) in ends.iter().enumerate() {
            reader.add(end.advertised, process, None)?;
        }
        Ok(reader)
    }

    fn add(
        &mut self,
        address: SocketAddrV4,
        process: usize,
        peer: Option<SocketAddr>,
    ) -> io::Result<Arc<UdpSocket>> {
        let socket = Arc::new(UdpSocket::bind(address)?);
        socket.set_nonblocking(true)?;
        // The system may grant less.
        let _ = SockRef::from(&*socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        let data = epoll::EventData::new_u64(self.sources.len() as u64);
        epoll::add(&self.epoll, &*socket, data, epoll::EventFlags::IN)?;
        self.sources.push(Source {
            socket: Arc::clone(&socket),
            process,
            peer,
        });
        Ok(socket)
    }

    fn run(&mut self) {
        let interval = Timespec {
            tv_sec: 0,
            tv_nsec: i64::from(STOP_INTERVAL.subsec_nanos()),
        };
        let mut ready = Vec::with_capacity(MAX_BATCH);
        while !self.shared.state().stopped {
            ready.clear();
            let buffer = rustix::buffer::spare_capacity(&mut ready);
            // An interrupted wait is repeated.
            let _ = epoll::wait(&self.epoll, buffer, Some(&interval));
            for event in &ready {
                let number = event.data.u64();
                self.read(usize::try_from(number).unwrap_or(0));
            }
        }
    }

    /// Reads what has arrived at one socket.
    fn read(&mut self, number: usize) {
        let (socket, process, peer) = {
            let source = &self.sources[number];
            (Arc::clone(&source.socket), source.process, source.peer)
        };
        for _ in 0..MAX_BATCH {
            // Fails if nothing is left, or if an earlier datagram found no receiver.
            let Ok((length, sender)) = socket.recv_from(&mut self.buffer) else {
                return;
            };
            let bytes = self.buffer[..length].to_vec();
            let datagram = if let Some(peer) = peer {
                Datagram {
                    from: Some(process),
                    to: self.process_at(peer),
                    bytes,
                    socket: Arc::clone(&self.sources[process].socket),
                    target: peer,
                }
            } else {
                let Ok(upstream) = self.upstream_socket(process, sender) else {
                    continue;
                };
                Datagram {
                    from: self.process_at(sender),
                    to: Some(process),
                    bytes,
                    socket: upstream,
                    target: self.bound[process],
                }
            };
            self.shared.state().accept(datagram, Instant::now());
            self.shared.changed.notify_one();
        }
    }

    fn process_at(&self, address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(address) => self.by_ip.get(address.ip()).copied(),
            SocketAddr::V6(_) => None,
        }
    }

    /// Returns the socket that forwards a peer's datagrams to a process.
    fn upstream_socket(&mut self, process: usize, peer: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        if let Some(socket) = self.upstream.get(&(process, peer)) {
            return Ok(Arc::clone(socket));
        }
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let socket = self.add(any, process, Some(peer))?;
        self.upstream.insert((process, peer), Arc::clone(&socket));
        Ok(socket)
    }
}
