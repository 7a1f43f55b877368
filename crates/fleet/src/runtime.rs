//! Runs the QUIC library's tasks on the worker pool.

use std::future::Future;
use std::io;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use host::Pool;
use quinn::AsyncTimer;
use quinn::AsyncUdpSocket;
use quinn::Runtime;
use quinn::SmolRuntime;

/// A QUIC runtime that spawns its tasks on the process's worker pool.
#[derive(Debug)]
pub struct PoolRuntime {
    pool: Pool,
}

impl PoolRuntime {
    /// Returns a runtime that uses `pool`.
    #[must_use]
    pub fn new(pool: &Pool) -> Arc<Self> {
        Arc::new(Self { pool: pool.clone() })
    }
}

impl Runtime for PoolRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.pool.spawn(future);
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}
