//! The cost of a choice of endpoint at several sizes of the fleet.

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

use super::Plan;

/// Known endpoints at each size.
const SIZES: [u64; 3] = [20, 200, 5_700];

/// Models that the endpoints serve, one each.
const MODELS: u64 = 13;

/// Failure domains.
const DOMAINS: u64 = 19;

/// Decisions measured at each size.
const DECISIONS: u64 = 400_000;

/// Decisions between two rounds of reports.
const ROUND: u64 = 4_096;

/// Prefixes that requests share.
const PREFIXES: u64 = 4_000;

fn models(size: u64) -> u64 {
    MODELS.min(size / 10).max(1)
}

fn report_all(table: &mut EndpointTable, size: u64, now: Time) {
    for n in 0..size {
        let info = EndpointInfo {
            id: EndpointId(n),
            domain: n % DOMAINS,
            services: vec![n % models(size)],
            max_requests: 32,
            draining: false,
        };
        table.apply_report(&info, LoadReport::default(), now);
    }
}

fn measure(size: u64, seed: u64) -> f64 {
    let mut table = EndpointTable::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let models = models(size);
    let mut now = Time(1) + Span::millis(1);
    let mut took = Duration::ZERO;
    let mut begun = Instant::now();
    for n in 0..DECISIONS {
        if n.is_multiple_of(ROUND) {
            // Reports come between decisions and aren't timed.
            took += begun.elapsed();
            now = now + Span::millis(250);
            report_all(&mut table, size, now);
            begun = Instant::now();
        }
        let wish = EndpointQuery {
            service: n % models,
            prefix: Some(rng.u64(..PREFIXES)),
            domain: n % DOMAINS,
            excluded_endpoints: &[],
        };
        if let EndpointChoice::Endpoint(slot, _) = black_box(table.choose(&wish, now)) {
            table.record_dispatch(slot, wish.prefix, now);
            table.record_completion(slot, now);
            table.record_first_token(slot, Span::millis(10), Span::millis(360));
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "a count below 2^52")]
    let count = DECISIONS as f64;
    (took + begun.elapsed()).as_secs_f64() * 1e9 / count
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails where the result can't be printed.
pub fn run(plan: &Plan) -> Result<()> {
    let mut rows = Vec::new();
    for size in SIZES {
        let nanos = measure(size, plan.seed);
        rows.push(json!({ "endpoints": size, "ns_per_decision": nanos }));
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "decide": rows }))?
    );
    Ok(())
}
