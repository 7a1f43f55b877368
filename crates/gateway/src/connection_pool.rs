//! A pool of idle connections to engines, reused by later requests.

use std::net::SocketAddrV4;
use std::time::Duration;

use base::Map;
use base::Span;
use base::Time;

use crate::conn::Conn;

/// Time for which an idle connection is kept if the engine doesn't name one.
const DEFAULT_IDLE_TIMEOUT: Span = Span::millis(4_000);

/// Subtracted from the idle timeout that the engine names, since each end measures it
/// on its own.
const IDLE_TIMEOUT_MARGIN: Span = Span::millis(900);

/// Maximum number of idle connections to one engine.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Maximum wait for a new connection to an engine: several round trips within a region
/// and the engine's time to accept.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// An idle connection and the time until which it may be used.
struct IdleConnection {
    conn: Conn,
    expires_at: Time,
}

/// The idle connections of a process.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Map<SocketAddrV4, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Returns the most recently used connection that is still open.
    pub fn acquire(&mut self, address: SocketAddrV4, now: Time) -> Option<Conn> {
        let list = self.idle.get_mut(&address)?;
        while let Some(idle) = list.pop() {
            if idle.expires_at > now && idle.conn.is_idle() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Adds an idle connection; `idle_s` is the engine's idle timeout, in seconds.
    pub fn release(&mut self, address: SocketAddrV4, conn: Conn, idle_s: Option<u64>, now: Time) {
        let lifetime = idle_s.map_or(DEFAULT_IDLE_TIMEOUT, |s| {
            Span(Span::secs(s).0.saturating_sub(IDLE_TIMEOUT_MARGIN.0)).min(Span::secs(60))
        });
        let list = self.idle.entry(address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS && lifetime > Span(0) {
            let expires_at = now + lifetime;
            list.push(IdleConnection { conn, expires_at });
        }
    }

    /// Drops the connections to an engine.
    pub fn remove_engine(&mut self, address: SocketAddrV4) {
        self.idle.remove(&address);
    }

    /// Drops expired connections.
    pub fn remove_expired(&mut self, now: Time) {
        self.idle.retain(|_, list| {
            list.retain(|idle| idle.expires_at > now);
            !list.is_empty()
        });
    }
}
