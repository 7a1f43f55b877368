//! A fake plain service that counts how often each request ran.

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

/// Maximum length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of concurrent requests that the service reports as its capacity.
const REPORTED_CAPACITY: u32 = 64;

#[derive(Debug, Default)]
struct State {
    run_counts: Mutex<HashMap<Vec<u8>, u64>>,
}

impl State {
    fn run_counts(&self) -> MutexGuard<'_, HashMap<Vec<u8>, u64>> {
        self.run_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running fake service.
#[derive(Clone, Debug)]
pub struct FakeService {
    server: Server,
    state: Arc<State>,
}

impl FakeService {
    /// Starts a service named `name` that takes `service_time` for each request.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn spawn(
        pool: &Pool,
        address: SocketAddr,
        name: &str,
        service_time: Duration,
    ) -> io::Result<Self> {
        let state: Arc<State> = Arc::default();
        let shared = Arc::clone(&state);
        let name = name.to_owned();
        let handler = move |mut request: http_types::Request| {
            let state = Arc::clone(&shared);
            let name = name.clone();
            let answer = async move {
                if request.url().path() == "/load" {
                    let body = json!({ "busy": 0, "room": REPORTED_CAPACITY, "serves": [name] });
                    return full_response(200, "application/json", body.to_string());
                }
                let body = read_body(&mut request, MAX_BODY_BYTES)
                    .await
                    .unwrap_or_default();
                let run = {
                    let mut runs = state.run_counts();
                    let run = runs.entry(body).or_default();
                    *run += 1;
                    *run
                };
                Timer::after(service_time).await;
                let body = json!({ "done": true, "run": run });
                full_response(200, "application/json", body.to_string())
            };
            Box::pin(answer) as host::http::BoxFuture<Response>
        };
        let server = Server::bind(pool, address, Arc::new(handler))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how often a request with this body ran.
    #[must_use]
    pub fn run_count(&self, body: &[u8]) -> u64 {
        self.state.run_counts().get(body).copied().unwrap_or(0)
    }

    /// Returns the maximum number of runs of one body, and the number of distinct bodies.
    #[must_use]
    pub fn max_run_count(&self) -> (u64, usize) {
        let runs = self.state.run_counts();
        (runs.values().copied().max().unwrap_or(0), runs.len())
    }
}
