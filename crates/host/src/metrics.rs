//! The Prometheus page: counters and gauges of all roles.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// A gauge of whole numbers.
pub type Level = Gauge<i64, std::sync::atomic::AtomicI64>;

/// A counter.
pub type Count = Counter<u64, AtomicU64>;

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
