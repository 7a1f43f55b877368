//! How much a process holds of requests that it receives, and who gives way when there is no
//! room: a crowd that sends large bodies at once, or stops short of their end.

use base::Map;
use base::Span;
use base::Time;

/// Bytes that a connection may hold without asking; they are part of its own cost.
pub const FREE_BYTES: u64 = 2 << 10;

/// Bytes up to which a request counts as small.
pub const SMALL_BYTES: u64 = 16 << 10;

/// Time without progress after which a request that isn't complete may have to give way.
pub const STALL_TIME: Span = Span::millis(500);

/// Memory that an open connection may take, in bytes: its task, [`FREE_BYTES`], and what it sends
/// while its request is in progress.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Descriptors that the platform reserves.
const RESERVED_DESCRIPTORS: usize = 200;

/// The bounds on all connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of bytes of requests.
    pub bytes: u64,
    /// The part of them that only small requests may use.
    pub small_bytes: u64,
}

impl IntakeLimits {
    /// Returns the bounds for callers of a process with this memory and these descriptors.
    #[must_use]
    pub fn for_callers(memory_bytes: u64, max_descriptors: usize) -> Self {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        let by_memory = memory_bytes / 4 / CONNECTION_BYTES;
        let bytes = memory_bytes / 4;
        Self {
            connections: descriptors.min(to_usize(by_memory)).max(1),
            bytes,
            small_bytes: bytes / 4,
        }
    }

    /// Returns the bounds for engines and operators, whose longest request has `max_bytes`.
    #[must_use]
    pub fn for_control(memory_bytes: u64, max_descriptors: usize, max_bytes: u64) -> Self {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 8;
        let small_bytes = memory_bytes / 32;
        Self {
            connections: descriptors.max(1),
            bytes: max_bytes.max(memory_bytes / 8) + small_bytes,
            small_bytes,
        }
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A complete request is in progress.
    Active,
    /// It was answered for the last time.
    Closing,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    bytes: u64,
    /// When it last got room or changed its phase.
    progress: Time,
    /// Whether it has to give way; it counts for nothing from then on.
    shed: bool,
}

/// There is no room, and nobody who would have to give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// The connections of a listener and what they hold.
#[derive(Clone, Debug)]
pub struct IntakeTable {
    limits: IntakeLimits,
    connections: Map<u64, Connection>,
    /// Number of connections that don't have to give way.
    present: usize,
    held: Held,
    next_id: u64,
}

impl IntakeTable {
    /// Returns an empty table.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: Map::default(),
            present: 0,
            held: Held::default(),
            next_id: 0,
        }
    }

    /// Adds a connection; returns its identifier and the connection that gives way to it.
    ///
    /// # Errors
    ///
    /// Fails if there are too many connections and none of them gives way.
    pub fn open(&mut self, now: Time) -> Result<(u64, Option<u64>), NoRoom> {
        let victim = if self.present < self.limits.connections {
            None
        } else {
            Some(self.longest_unneeded(now).ok_or(NoRoom)?)
        };
        if let Some(victim) = victim {
            self.shed(victim);
        }
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            phase: Phase::Idle,
            bytes: 0,
            progress: now,
            shed: false,
        };
        self.connections.insert(id, connection);
        self.present += 1;
        Ok((id, victim))
    }

    /// Removes a connection.
    pub fn close(&mut self, id: u64) {
        self.shed(id);
        self.connections.remove(&id);
    }

    /// Records what a connection does now; returns false if it has to give way.
    pub fn set_phase(&mut self, id: u64, phase: Phase, now: Time) -> bool {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| !c.shed) else {
            return false;
        };
        connection.phase = phase;
        connection.progress = now;
        if matches!(phase, Phase::Idle | Phase::Closing) {
            self.set_bytes(id, 0);
        }
        true
    }

    /// Gives a connection room for `bytes` in all; returns the connections that give way.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, or the connection itself has to give way.
    pub fn resize(&mut self, id: u64, bytes: u64, now: Time) -> Result<Vec<u64>, NoRoom> {
        let held = self.connections.get(&id).filter(|c| !c.shed);
        let held = held.ok_or(NoRoom)?.bytes;
        let bytes = if bytes <= FREE_BYTES { 0 } else { bytes };
        let mut victims = Vec::new();
        if bytes > held {
            victims = self.make_room(id, bytes, now).ok_or(NoRoom)?;
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.progress = now;
            }
        }
        self.set_bytes(id, bytes);
        Ok(victims)
    }

    /// Returns the number of connections that don't have to give way.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.present
    }

    /// Returns the bytes that requests hold.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held.small + self.held.large
    }

    fn set_bytes(&mut self, id: u64, bytes: u64) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held.remove(connection.bytes);
            self.held.add(bytes);
            connection.bytes = bytes;
        }
    }

    fn shed(&mut self, id: u64) {
        self.set_bytes(id, 0);
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| !c.shed) {
            connection.shed = true;
            self.present -= 1;
        }
    }

    /// Returns whether there is room for `bytes` of one connection beside what others hold in
    /// small and in large requests.
    fn has_room(&self, bytes: u64, others: Held) -> bool {
        let total = others.small + others.large + bytes;
        if bytes <= SMALL_BYTES {
            return total <= self.limits.bytes || others.small + bytes <= self.limits.small_bytes;
        }
        let large_bytes = self.limits.bytes - self.limits.small_bytes;
        let fits = others.large + bytes <= large_bytes && total <= self.limits.bytes;
        fits || others.large == 0
    }

    /// Sheds as many connections as a request of `bytes` needs; none if they aren't enough.
    fn make_room(&mut self, id: u64, bytes: u64, now: Time) -> Option<Vec<u64>> {
        let mut others = self.held;
        others.remove(self.connections.get(&id)?.bytes);
        if self.has_room(bytes, others) {
            return Some(Vec::new());
        }
        let mut stalled: Vec<(Time, u64, u64)> = self
            .connections
            .iter()
            .filter(|(other, c)| **other != id && c.bytes > 0 && is_stalled(c, now))
            .map(|(other, c)| (c.progress, u64::MAX - c.bytes, *other))
            .collect();
        stalled.sort_unstable();
        let mut victims = Vec::new();
        for (_, _, victim) in stalled {
            others.remove(self.connections[&victim].bytes);
            victims.push(victim);
            if self.has_room(bytes, others) {
                for victim in &victims {
                    self.shed(*victim);
                }
                return Some(victims);
            }
        }
        None
    }

    /// Returns the connection that is needed least: one that closes, then the longest idle,
    /// then the longest stalled.
    fn longest_unneeded(&self, now: Time) -> Option<u64> {
        let rank = |connection: &Connection| match connection.phase {
            Phase::Closing => Some(0),
            Phase::Idle => Some(1),
            Phase::Receiving if is_stalled(connection, now) => Some(2),
            Phase::Receiving | Phase::Active => None,
        };
        let candidates = self.connections.iter().filter(|(_, c)| !c.shed);
        let ranked = candidates.filter_map(|(id, c)| Some((rank(c)?, c.progress, *id)));
        ranked.min().map(|(_, _, id)| id)
    }
}

fn is_stalled(connection: &Connection, now: Time) -> bool {
    let waited = connection.progress.until(now);
    !connection.shed && connection.phase == Phase::Receiving && waited >= STALL_TIME
}

/// What connections hold in small and in large requests, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    small: u64,
    large: u64,
}

impl Held {
    fn part(&mut self, bytes: u64) -> &mut u64 {
        if bytes <= SMALL_BYTES {
            &mut self.small
        } else {
            &mut self.large
        }
    }

    fn add(&mut self, bytes: u64) {
        *self.part(bytes) += bytes;
    }

    fn remove(&mut self, bytes: u64) {
        *self.part(bytes) -= bytes;
    }
}
