//! Counters and latency histograms of a gateway.

use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Latency;
use host::metrics::Metrics;

/// A gateway's metrics.
#[derive(Clone, Debug)]
pub struct Meter {
    metrics: Metrics,
    answered: IntCounter,
    refused: IntCounter,
    exhausted: IntCounter,
    failed: IntCounter,
    cut: IntCounter,
    left: IntCounter,
    first: Latency,
    whole: Latency,
    /// The number of the configuration in force.
    pub version: IntGauge,
}

impl Meter {
    /// Registers the metrics.
    #[must_use]
    pub fn register(metrics: &Metrics) -> Self {
        let counter = |name: &str, help: &str| metrics.counter(name, help);
        Self {
            answered: counter("requests_answered", "Requests answered whole"),
            refused: counter("requests_refused", "Requests refused as not run"),
            exhausted: counter("requests_exhausted", "Requests refused for a used total"),
            failed: counter("requests_failed", "Requests that ended with an error"),
            cut: counter("requests_cut", "Answers that were cut"),
            left: counter("requests_left", "Requests whose caller left"),
            first: metrics.latency_histogram("request_first_seconds", "Time to the first event"),
            whole: metrics.latency_histogram("request_seconds", "Time to the whole answer"),
            version: metrics.gauge("config_version", "The configuration in force"),
            metrics: metrics.clone(),
        }
    }

    /// Notes a whole answer; both times are in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub fn answered(&self, first_ms: u64, whole_ms: u64) {
        self.answered.inc();
        self.first.observe(first_ms as f64 / 1e3);
        self.whole.observe(whole_ms as f64 / 1e3);
    }

    /// Notes an answer of the gateway's own.
    pub fn refused(&self, status: u16) {
        match status {
            503 => self.refused.inc(),
            402 => self.exhausted.inc(),
            _ => self.failed.inc(),
        };
    }

    /// Notes an answer that was cut.
    pub fn cut(&self) {
        self.cut.inc();
    }

    /// Notes a caller that left.
    pub fn left(&self) {
        self.left.inc();
    }

    /// Returns the page.
    #[must_use]
    pub fn page(&self) -> String {
        self.metrics.render()
    }
}
