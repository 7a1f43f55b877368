//! Registers counters, gauges and histograms and renders them in the Prometheus text
//! format.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// An integer gauge.
pub type IntGauge = Gauge<i64, std::sync::atomic::AtomicI64>;

/// An integer counter.
pub type IntCounter = Counter<u64, AtomicU64>;

/// A histogram of latencies in seconds.
pub type Latency = Histogram;

/// Upper bounds of the histogram buckets: from a cached read to the longest stream.
const LATENCY_BUCKETS_S: [f64; 12] = [
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
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::default();
        self.lock().register(name, help, counter.clone());
        counter
    }

    /// Registers a gauge.
    #[must_use]
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::default();
        self.lock().register(name, help, gauge.clone());
        gauge
    }

    /// Registers a histogram of latencies.
    #[must_use]
    pub fn latency_histogram(&self, name: &str, help: &str) -> Latency {
        let latency = Histogram::new(LATENCY_BUCKETS_S);
        self.lock().register(name, help, latency.clone());
        latency
    }

    /// Returns all metrics in the text format; empty if they can't be encoded.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        if encode(&mut text, &self.lock()).is_err() {
            text.clear();
        }
        text
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
