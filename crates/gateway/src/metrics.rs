//! Request counters and latency histograms of a gateway.

use std::time::Duration;

use base::Span;
use fleet::mesh::Update;
use fleet::overlay::Links;
use host::metrics::IntCounter;
use host::metrics::IntGauge;
use host::metrics::Latency;
use host::metrics::Metrics;
use routing::Availability;

/// The metrics of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayMetrics {
    registry: Metrics,
    requests_answered: IntCounter,
    requests_refused: IntCounter,
    requests_exhausted: IntCounter,
    requests_failed: IntCounter,
    requests_cut: IntCounter,
    requests_left: IntCounter,
    first_latency: Latency,
    total_latency: Latency,
    /// The engines by the label of their state.
    engines: Vec<(&'static str, IntGauge)>,
    cold_engines: IntGauge,
    warm_up_requests: IntCounter,
    evacuated_domains: IntGauge,
    departure_latency: Latency,
    departures_refused: IntCounter,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// The updates between processes.
    pub mesh: MeshMetrics,
    /// How late the process's own timers run, in milliseconds.
    delay_ms: IntGauge,
    /// How often the process has passed callers on to its neighbours.
    pub load_sheds: IntCounter,
}

/// The metrics of the updates between processes.
#[derive(Clone, Debug)]
pub struct MeshMetrics {
    updates: IntCounter,
    profiles: IntCounter,
    announcements: IntCounter,
    loads: IntCounter,
    prompts: IntCounter,
    links: IntGauge,
    relays: IntGauge,
}

impl MeshMetrics {
    fn register(metrics: &Metrics) -> Self {
        let sent = |kind: &str, help: &str| metrics.counter(&format!("mesh_{kind}_sent"), help);
        Self {
            updates: sent("updates", "Updates sent to peers"),
            profiles: sent("profiles", "Profiles of processes in updates sent"),
            announcements: sent("announcements", "Announcements of engines in updates sent"),
            loads: sent("loads", "Loads of processes on engines in updates sent"),
            prompts: sent("prompts", "Prompts in updates sent"),
            links: metrics.gauge("mesh_links", "Peers that this process sends updates to"),
            relays: metrics.gauge("mesh_relays", "Whether this process relays for others"),
        }
    }

    /// Records an update that is sent.
    pub fn record_sent(&self, update: &Update) {
        let loads = update.loads.iter().map(|news| news.loads.len());
        self.updates.inc();
        self.profiles.inc_by(update.profiles.len() as u64);
        let announcements = update.announcements.len();
        self.announcements.inc_by(announcements as u64);
        self.loads.inc_by(loads.sum::<usize>() as u64);
        self.prompts.inc_by(update.prompts.len() as u64);
    }

    /// Records the links of this process.
    pub fn record_links(&self, links: &Links) {
        let count = links.paces.len();
        self.links.set(i64::try_from(count).unwrap_or(i64::MAX));
        self.relays.set(links.relays.into());
    }
}

impl GatewayMetrics {
    /// Registers the metrics in `metrics`.
    #[must_use]
    pub fn register(metrics: &Metrics) -> Self {
        let counter = |name: &str, help: &str| metrics.counter(name, help);
        Self {
            requests_answered: counter("requests_answered", "Requests answered whole"),
            requests_refused: counter("requests_refused", "Requests refused as not run"),
            requests_exhausted: counter("requests_exhausted", "Requests refused for a used total"),
            requests_failed: counter("requests_failed", "Requests that ended with an error"),
            requests_cut: counter("requests_cut", "Answers that were cut"),
            requests_left: counter("requests_left", "Requests whose caller left"),
            first_latency: metrics
                .latency_histogram("request_first_seconds", "Time to the first event"),
            total_latency: metrics.latency_histogram("request_seconds", "Time to the whole answer"),
            engines: Availability::LABELS
                .iter()
                .map(|label| {
                    let help = format!("Engines in the state {label}");
                    (*label, metrics.gauge(&format!("engines_{label}"), &help))
                })
                .collect(),
            cold_engines: metrics.gauge("engines_cold", "Usable engines that are cold"),
            warm_up_requests: counter("warm_up_requests", "Requests sent to cold engines"),
            evacuated_domains: metrics.gauge("evacuated_domains", "Evacuated failure domains"),
            departure_latency: metrics.latency_histogram(
                "departure_acknowledged_seconds",
                "Time until the news that an engine leaves was held",
            ),
            departures_refused: counter(
                "departures_refused",
                "News that an engine leaves that were refused",
            ),
            config_version: metrics.gauge("config_version", "The configuration in force"),
            mesh: MeshMetrics::register(metrics),
            delay_ms: metrics.gauge("delay_ms", "How late timers run, in milliseconds"),
            load_sheds: counter("load_sheds", "Times that callers were passed on"),
            registry: metrics.clone(),
        }
    }

    /// Records that the news of an engine that leaves was held after `waited`.
    pub fn record_departure(&self, waited: Span) {
        let waited: Duration = waited.into();
        self.departure_latency.observe(waited.as_secs_f64());
    }

    /// Records that the news of an engine that leaves is refused.
    pub fn record_departure_refused(&self) {
        self.departures_refused.inc();
    }

    /// Records a complete response; both times are in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_answered(&self, first_ms: u64, total_ms: u64) {
        self.requests_answered.inc();
        self.first_latency.observe(first_ms as f64 / 1e3);
        self.total_latency.observe(total_ms as f64 / 1e3);
    }

    /// Records a request that the gateway itself rejected with `status`.
    pub fn record_rejected(&self, status: u16) {
        match status {
            503 => self.requests_refused.inc(),
            402 => self.requests_exhausted.inc(),
            _ => self.requests_failed.inc(),
        };
    }

    /// Records a response that was aborted before its end.
    pub fn record_cut(&self) {
        self.requests_cut.inc();
    }

    /// Records a request whose caller closed the connection before the response ended.
    pub fn record_caller_left(&self) {
        self.requests_left.inc();
    }

    /// Records whether each engine takes new requests.
    pub fn record_engines(&self, engines: impl Iterator<Item = Availability>) {
        let labels: Vec<&str> = engines.map(Availability::label).collect();
        for (label, gauge) in &self.engines {
            let count = labels.iter().filter(|other| *other == label).count();
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Records how late the process's own timers run.
    #[allow(clippy::cast_possible_truncation)]
    pub fn record_delay(&self, delay_ms: f64) {
        self.delay_ms.set(delay_ms as i64);
    }

    /// Records the number of usable engines that are cold.
    pub fn record_cold(&self, count: usize) {
        self.cold_engines
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records a request that was sent to a cold engine.
    pub fn record_warm_up_request(&self) {
        self.warm_up_requests.inc();
    }

    /// Records the number of evacuated failure domains.
    pub fn record_evacuated(&self, count: usize) {
        self.evacuated_domains
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Renders all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}
