//! The places of a listener's connections: carries out what [`routing::intake`] decides.
//!
//! - [`Intake`]: the table of a listener's connections, with its metrics.
//! - [`Place`]: one connection's part of it.
//! - [`receive_body`]: reads a body as far as there is room for it.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use base::Map;
use base::time::Clock;
use event_listener::Event;
use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Metrics;
use http::BodyDecoder;
use http::Framing;
use routing::intake::IntakeLimits;
use routing::intake::IntakeTable;
use routing::intake::NoRoom;
use routing::intake::Phase;
use thiserror::Error;

use crate::conn::Conn;

/// Smallest and largest step in which a body's memory grows, in bytes. A step shows progress, so
/// a slow link must transfer it within the time after which a request counts as stalled.
const GROWTH_BYTES: (usize, usize) = (4 << 10, 64 << 10);

/// Divisor of a body's memory that yields the step between those.
const GROWTH_DIVISOR: usize = 4;

/// Maximum length of a configuration, in bytes: thousands of routes.
pub const MAX_CONFIG_BYTES: usize = 16 << 20;

/// The connections of a listener and what they hold.
pub struct Intake {
    name: &'static str,
    clock: Clock,
    places: Mutex<Places>,
    connections: IntGauge,
    bytes: IntGauge,
    shed: IntCounter,
    refused: IntCounter,
}

struct Places {
    table: IntakeTable,
    signals: Map<u64, Arc<Signal>>,
}

/// Tells a connection's task that it has to give way.
#[derive(Default)]
struct Signal {
    is_set: AtomicBool,
    event: Event,
}

/// The place of a connection, given back when dropped.
pub struct Place {
    intake: Arc<Intake>,
    id: u64,
    signal: Arc<Signal>,
}

impl Intake {
    /// Returns the empty intake of the listener `name`.
    #[must_use]
    pub fn new(name: &'static str, limits: IntakeLimits, clock: Clock, metrics: &Metrics) -> Self {
        let gauge = |what: &str, help| metrics.gauge(&format!("{name}_{what}"), help);
        let counter = |what: &str, help| metrics.counter(&format!("{name}_{what}"), help);
        Self {
            name,
            clock,
            places: Mutex::new(Places {
                table: IntakeTable::new(limits),
                signals: Map::default(),
            }),
            connections: gauge("connections", "Open connections"),
            bytes: gauge("held_bytes", "Bytes that requests hold"),
            shed: counter("connections_shed", "Connections that gave way to others"),
            refused: counter(
                "connections_refused",
                "Connections and requests without room",
            ),
        }
    }

    /// Returns the place of a new connection; `None` if there is none.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> Option<Place> {
        let mut places = self.lock();
        let Ok((id, victim)) = places.table.open(self.clock.now()) else {
            self.refused.inc();
            log::info!("{}: event=refused cause=connections", self.name);
            return None;
        };
        let signal = Arc::<Signal>::default();
        places.signals.insert(id, Arc::clone(&signal));
        self.carry_out(&places, victim.as_slice(), "connections");
        Some(Place {
            intake: Arc::clone(self),
            id,
            signal,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Places> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the connections that give way, and updates the metrics.
    fn carry_out(&self, places: &Places, victims: &[u64], cause: &str) {
        let count = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let connections = places.table.connection_count() as u64;
        let bytes = places.table.held_bytes();
        self.connections.set(count(connections));
        self.bytes.set(count(bytes));
        for signal in victims.iter().filter_map(|id| places.signals.get(id)) {
            signal.is_set.store(true, Ordering::Relaxed);
            signal.event.notify(usize::MAX);
            self.shed.inc();
            log::info!(
                "{}: event=shed cause={cause} connections={connections} bytes={bytes}",
                self.name
            );
        }
    }
}

impl Place {
    /// Records what the connection does now; returns false if it has to give way.
    #[must_use]
    pub fn set_phase(&self, phase: Phase) -> bool {
        let now = self.intake.clock.now();
        self.intake.lock().table.set_phase(self.id, phase, now)
    }

    /// Takes room for `bytes` in all.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub fn resize(&self, bytes: usize) -> Result<(), NoRoom> {
        let now = self.intake.clock.now();
        let mut places = self.intake.lock();
        let Ok(victims) = places.table.resize(self.id, bytes as u64, now) else {
            self.intake.refused.inc();
            return Err(NoRoom);
        };
        self.intake.carry_out(&places, &victims, "bytes");
        Ok(())
    }

    /// Waits until the connection has to give way.
    pub async fn shed(&self) {
        loop {
            let listener = self.signal.event.listen();
            if self.signal.is_set.load(Ordering::Relaxed) {
                return;
            }
            listener.await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut places = self.intake.lock();
        places.table.close(self.id);
        places.signals.remove(&self.id);
        self.intake.carry_out(&places, &[], "closed");
    }
}

/// Why a body wasn't received.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// Its framing is malformed.
    #[error("the body can't be read")]
    Malformed,
    /// It's longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// There is no room for it.
    #[error("there is no room for the body")]
    NoRoom,
    /// The connection ended first.
    #[error("the connection ended: {0}")]
    Closed(#[from] io::Error),
}

/// Reads a body of at most `max_bytes`. It takes room for it beside `taken_bytes` of the same
/// request as its memory grows.
///
/// # Errors
///
/// Fails if the body is malformed or too long, if there is no room, or if the connection ends.
pub async fn receive_body(
    conn: &mut Conn,
    framing: Framing,
    max_bytes: usize,
    taken_bytes: usize,
    place: &Place,
) -> Result<Vec<u8>, ReceiveError> {
    let longest = match framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        _ => max_bytes,
    };
    if longest > max_bytes {
        return Err(ReceiveError::TooLong);
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    while !decoder.is_complete() {
        // Decoding adds no more than was received, framing included.
        let needed = match framing {
            Framing::Length(_) => longest.min(body.len() + conn.buf.len()),
            _ => body.len() + conn.buf.len(),
        };
        if needed > body.capacity() {
            let step = body.capacity() / GROWTH_DIVISOR;
            let step = step.clamp(GROWTH_BYTES.0, GROWTH_BYTES.1);
            let capacity = needed.max((body.capacity() + step).min(longest));
            place
                .resize(taken_bytes + conn.buf.capacity() + capacity)
                .map_err(|NoRoom| ReceiveError::NoRoom)?;
            body.reserve_exact(capacity - body.len());
        }
        let consumed = decoder.decode(&conn.buf, &mut body);
        conn.consume(consumed.map_err(|_| ReceiveError::Malformed)?);
        if body.len() > max_bytes {
            return Err(ReceiveError::TooLong);
        }
        if !decoder.is_complete() && conn.fill().await? == 0 {
            return Err(ReceiveError::Closed(io::ErrorKind::UnexpectedEof.into()));
        }
    }
    Ok(body)
}
