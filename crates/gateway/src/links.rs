//! Idle connections to engines, kept for the next request.

use std::net::SocketAddrV4;
use std::time::Duration;

use base::Map;
use base::Span;
use base::Time;

use crate::conn::Conn;

/// How long an idle connection is used where the engine doesn't say.
const IDLE: Span = Span::millis(4_000);

/// What is taken off the engine's own figure, since both ends count.
const MARGIN: Span = Span::millis(900);

/// Most idle connections to one engine.
const MOST: usize = 24;

/// Longest wait for a new connection to an engine: some round trips within a
/// region and its time to accept.
pub const CONNECT: Duration = Duration::from_millis(400);

struct Idle {
    conn: Conn,
    until: Time,
}

/// The idle connections of a process.
#[derive(Default)]
pub struct Links {
    idle: Map<SocketAddrV4, Vec<Idle>>,
}

impl Links {
    /// Returns the connection used last that is still open.
    pub fn take(&mut self, address: SocketAddrV4, now: Time) -> Option<Conn> {
        let list = self.idle.get_mut(&address)?;
        while let Some(idle) = list.pop() {
            if idle.until > now && idle.conn.is_idle() {
                return Some(idle.conn);
            }
        }
        None
    }

    /// Keeps a connection; `idle_s` is how long the engine says it keeps it.
    pub fn put(&mut self, address: SocketAddrV4, conn: Conn, idle_s: Option<u64>, now: Time) {
        let keep = idle_s.map_or(IDLE, |s| {
            Span(Span::secs(s).0.saturating_sub(MARGIN.0)).min(Span::secs(60))
        });
        let list = self.idle.entry(address).or_default();
        if list.len() < MOST && keep > Span(0) {
            let until = now + keep;
            list.push(Idle { conn, until });
        }
    }

    /// Drops connections that were idle for too long.
    pub fn sweep(&mut self, now: Time) {
        self.idle.retain(|_, list| {
            list.retain(|idle| idle.until > now);
            !list.is_empty()
        });
    }
}
