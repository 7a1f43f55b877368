//! Measures the time to choose an endpoint at several fleet sizes.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use base::EndpointId;
use base::Span;
use base::Time;
use eyre::Result;
use routing::EndpointChoice;
use routing::EndpointInfo;
use routing::EndpointQuery;
use routing::EndpointTable;
use routing::LoadReport;
use serde_json::json;

use super::BenchOptions;

/// Numbers of endpoints in the table.
const ENDPOINT_COUNTS: [u64; 3] = [20, 200, 5_700];

/// Upper bound on the number of models; each endpoint serves one.
const MAX_MODELS: u64 = 13;

/// Number of failure domains.
const DOMAINS: u64 = 19;

/// Choices measured at each fleet size.
const DECISIONS: u64 = 400_000;

/// Choices between two rounds of load reports.
const DECISIONS_PER_REPORT: u64 = 4_096;

/// Number of prompt prefixes that requests share.
const PREFIXES: u64 = 4_000;

fn model_count(endpoint_count: u64) -> u64 {
    MAX_MODELS.min(endpoint_count / 10).max(1)
}

fn apply_reports(table: &mut EndpointTable, endpoint_count: u64, now: Time) {
    for n in 0..endpoint_count {
        let info = EndpointInfo {
            id: EndpointId(n),
            domain: n % DOMAINS,
            services: vec![n % model_count(endpoint_count)],
            max_requests: 32,
            draining: false,
        };
        table.apply_report(&info, LoadReport::default(), now);
    }
}

fn measure_decision_ns(endpoint_count: u64, seed: u64) -> f64 {
    let mut table = EndpointTable::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let models = model_count(endpoint_count);
    let mut now = Time(1) + Span::millis(1);
    let mut elapsed = Duration::ZERO;
    let mut started = Instant::now();
    for n in 0..DECISIONS {
        if n.is_multiple_of(DECISIONS_PER_REPORT) {
            // Reports arrive between decisions and aren't timed.
            elapsed += started.elapsed();
            now = now + Span::millis(250);
            apply_reports(&mut table, endpoint_count, now);
            started = Instant::now();
        }
        let query = EndpointQuery {
            service: n % models,
            prefix: Some(rng.u64(..PREFIXES)),
            domain: n % DOMAINS,
            excluded_endpoints: &[],
        };
        if let EndpointChoice::Endpoint(slot, _) = black_box(table.choose(&query, now)) {
            table.record_dispatch(slot, query.prefix, now);
            table.record_completion(slot, now);
            table.record_first_token(slot, Span::millis(10), Span::millis(360));
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a count below 2^52")]
    let count = DECISIONS as f64;
    (elapsed + started.elapsed()).as_secs_f64() * 1e9 / count
}

/// Runs the experiment and prints its results as JSON.
///
/// # Errors
///
/// Returns an error if the result can't be serialized.
pub fn run(options: &BenchOptions) -> Result<()> {
    let mut rows = Vec::new();
    for endpoint_count in ENDPOINT_COUNTS {
        let ns = measure_decision_ns(endpoint_count, options.seed);
        rows.push(json!({ "endpoints": endpoint_count, "ns_per_decision": ns }));
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "decide": rows }))?
    );
    Ok(())
}
