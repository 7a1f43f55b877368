//! A plain service that counts how often each call ran.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use host::Pool;
use host::http::Server;
use host::http::full_response;
use host::http::read_body;
use http_types::Response;
use serde_json::json;

/// Largest body of a call, in bytes.
const MAX_BODY: usize = 8 << 20;

/// Requests that a desk says it takes together.
const ROOM: u32 = 64;

#[derive(Debug, Default)]
struct State {
    runs: Mutex<HashMap<Vec<u8>, u64>>,
}

impl State {
    fn runs(&self) -> MutexGuard<'_, HashMap<Vec<u8>, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running plain service.
#[derive(Clone, Debug)]
pub struct Desk {
    server: Server,
    state: Arc<State>,
}

impl Desk {
    /// Starts a service named `name` that takes `time` for each call.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn spawn(pool: &Pool, address: SocketAddr, name: &str, time: Duration) -> io::Result<Self> {
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        let name = name.to_owned();
        let handler = move |mut request: http_types::Request| {
            let state = Arc::clone(&shared);
            let name = name.clone();
            let answer = async move {
                if request.url().path() == "/load" {
                    let body = json!({ "busy": 0, "room": ROOM, "serves": [name] });
                    return full_response(200, "application/json", body.to_string());
                }
                let body = read_body(&mut request, MAX_BODY).await.unwrap_or_default();
                let run = {
                    let mut runs = state.runs();
                    let run = runs.entry(body).or_default();
                    *run += 1;
                    *run
                };
                Timer::after(time).await;
                let body = json!({ "done": true, "run": run });
                full_response(200, "application/json", body.to_string())
            };
            Box::pin(answer) as host::http::BoxFuture<Response>
        };
        let server = Server::bind(pool, address, Arc::new(handler))?;
        Ok(Self { server, state })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how often a call with this body ran.
    #[must_use]
    pub fn runs(&self, body: &[u8]) -> u64 {
        self.state.runs().get(body).copied().unwrap_or(0)
    }

    /// Returns the largest number of runs of one body, and the number of bodies.
    #[must_use]
    pub fn most_runs(&self) -> (u64, usize) {
        let runs = self.state.runs();
        (runs.values().copied().max().unwrap_or(0), runs.len())
    }
}
