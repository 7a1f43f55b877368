//! The Prometheus page: counters and gauges of all roles.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// A gauge of whole numbers.
pub type Level = Gauge<i64, std::sync::atomic::AtomicI64>;

/// A counter.
pub type Count = Counter<u64, AtomicU64>;

/// A histogram of times in seconds.
pub type Latency = Histogram;

/// Upper bounds of the buckets, in seconds: from a cached read to the longest stream.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3.0, 6.0, 15.0,
];

/// The metrics of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::with_prefix("mulberrytally");
        Self {
            registry: Arc::new(Mutex::new(registry)),
        }
    }
}

impl Metrics {
    /// Registers a counter.
    #[must_use]
    pub fn counter(&self, name: &str, help: &str) -> Count {
        let counter = Count::default();
        self.lock().register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> Level {
        let gauge = Level::default();
        self.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of times.
    #[must_use]
    pub fn latency(&self, name: &str, help: &str) -> Latency {
        let latency = Histogram::new(BUCKETS);
        self.lock().register(name, help, latency.clone());
        latency
    }

    /// Returns the page.
    #[must_use]
    pub fn page(&self) -> String {
        let mut page = String::new();
        if encode(&mut page, &self.lock()).is_err() {
            page.clear();
        }
        page
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
