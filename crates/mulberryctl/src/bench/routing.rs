//! Compares endpoint selection policies under load and faults.
//!
//! The engines are simulated: each prefills one prompt at a time, generates one
//! token per step for every running request, and caches some prompt prefixes. The
//! product's row uses the product's own endpoint table, queue and retry budget.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use eyre::Result;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::BenchOptions;

mod model;
mod policy;

use model::Fleet;
use policy::DispatchOutcome;
use policy::Policy;

/// Interval between two steps of the simulation, in milliseconds.
pub(crate) const TICK_MS: u64 = 5;

/// Simulated duration of the traffic, in milliseconds.
const TRAFFIC_DURATION_MS: u64 = 120_000;

/// Initial period whose requests aren't counted, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

/// Time within which a request must complete, in milliseconds.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 8_000;

/// Number of engines, distributed over the failure domains.
pub(crate) const ENGINES: usize = 12;

/// Number of failure domains.
pub(crate) const DOMAINS: usize = 3;

/// Maximum number of requests in the batch of an engine.
pub(crate) const MAX_BATCH_REQUESTS: u32 = 16;

/// Mean number of tokens in an answer.
const MEAN_ANSWER_TOKENS: u64 = 60;

/// Start and end of the outage of a domain, in milliseconds.
const DOMAIN_LOSS_MS: (u64, u64) = (50_000, 80_000);

/// Number of teams; the first sends half of all requests.
const TEAMS: u32 = 10;

/// Number of prompt prefixes that requests share.
const PREFIXES: u64 = 300;

/// Maximum number of retries per request.
const MAX_RETRIES: u32 = 3;

/// The load or fault scenario; variant names are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    Plain,
    HotPrefix,
    SlowEngine,
    LostDomain,
    RetryStorm,
}

/// A request of the generated traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: u64,
    pub(crate) arrived_ms: u64,
    pub(crate) team: u32,
    pub(crate) prefix: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) retries: u32,
}

/// Returns the requests per second that the engines can decode with full batches.
#[expect(clippy::cast_precision_loss, reason = "small whole numbers")]
fn decode_capacity() -> f64 {
    let step =
        (model::BASE_STEP_US + model::REQUEST_STEP_US * u64::from(MAX_BATCH_REQUESTS)) as f64 / 1e6;
    ENGINES as f64 * f64::from(MAX_BATCH_REQUESTS) / step / MEAN_ANSWER_TOKENS as f64
}

fn generate_traffic(scenario: Scenario, load: f64, seed: u64) -> VecDeque<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = VecDeque::new();
    let mean_gap = 1e3 / (decode_capacity() * load);
    let mut time_ms = 0.0;
    let mut id = 0;
    loop {
        time_ms -= mean_gap * (1.0 - rng.f64()).ln();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time within the traffic"
        )]
        let arrived_ms = time_ms as u64;
        if arrived_ms >= TRAFFIC_DURATION_MS {
            return arrivals;
        }
        id += 1;
        let is_hot = scenario == Scenario::HotPrefix && rng.u32(0..100) < 30;
        let shared_prefix = rng.u64(..PREFIXES).min(rng.u64(..PREFIXES));
        arrivals.push_back(Arrival {
            id,
            arrived_ms,
            team: if rng.bool() { 0 } else { rng.u32(1..TEAMS) },
            prefix: if is_hot { PREFIXES } else { shared_prefix },
            answer_tokens: rng.u64(MEAN_ANSWER_TOKENS / 2..=MEAN_ANSWER_TOKENS * 3 / 2),
            retries: 0,
        });
    }
}

/// The result of one policy on one run of the traffic.
struct PolicyResult {
    first_token: Histogram<u64>,
    token_gaps: Histogram<u64>,
    good_requests: u64,
    counted_requests: u64,
    refusals: u64,
    dispatches: u64,
    cache_hits: u64,
    wasted_tokens: u64,
    attempts: u64,
    team_counts: BTreeMap<u32, (u64, u64)>,
    recovery_ms: Option<u64>,
}

impl PolicyResult {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("the precision is valid");
        Self {
            first_token: empty(),
            token_gaps: empty(),
            good_requests: 0,
            counted_requests: 0,
            refusals: 0,
            dispatches: 0,
            cache_hits: 0,
            wasted_tokens: 0,
            attempts: 0,
            team_counts: BTreeMap::new(),
            recovery_ms: None,
        }
    }
}

fn run_policy(policy: &mut Policy, scenario: Scenario, load: f64, seed: u64) -> PolicyResult {
    let mut arrivals = generate_traffic(scenario, load, seed);
    let mut fleet = Fleet::new();
    if scenario == Scenario::SlowEngine {
        fleet.slow_down(0);
    }
    let mut result = PolicyResult::new();
    let mut pending_retries: BTreeMap<(u64, u64), Arrival> = BTreeMap::new();
    let mut recent_outcomes: VecDeque<(u64, bool)> = VecDeque::new();
    let mut now = 0;
    while now < TRAFFIC_DURATION_MS + REQUEST_TIMEOUT_MS {
        now += TICK_MS;
        if scenario == Scenario::LostDomain && now == DOMAIN_LOSS_MS.0 {
            for failed in fleet.lose_domain(0) {
                result.wasted_tokens += failed.tokens;
                policy.record_end(&failed, false, now);
                schedule_retry(&failed.arrival, now, &mut pending_retries, &mut result);
            }
        }
        if scenario == Scenario::LostDomain && now == DOMAIN_LOSS_MS.1 {
            fleet.restore_domain(0);
        }
        policy.apply_reports(&fleet, now);
        while arrivals.front().is_some_and(|a| a.arrived_ms <= now) {
            if let Some(arrival) = arrivals.pop_front() {
                record_arrival(&arrival, &mut result);
                policy.submit(arrival, now);
            }
        }
        while let Some((&(at, id), _)) = pending_retries.first_key_value()
            && at <= now
            && let Some(arrival) = pending_retries.remove(&(at, id))
        {
            policy.submit(arrival, now);
        }
        for outcome in policy.dispatch(&mut fleet, now) {
            match outcome {
                DispatchOutcome::Dispatched { cache_hit } => {
                    result.dispatches += 1;
                    result.cache_hits += u64::from(cache_hit);
                }
                DispatchOutcome::Refused(arrival) => {
                    result.refusals += 1;
                    recent_outcomes.push_back((now, false));
                    if scenario == Scenario::RetryStorm {
                        schedule_retry(&arrival, now, &mut pending_retries, &mut result);
                    }
                }
            }
        }
        for finished in fleet.tick(now) {
            policy.record_end(&finished, finished.complete, now);
            let timed_out = now.saturating_sub(finished.arrival.arrived_ms) > REQUEST_TIMEOUT_MS;
            let good = finished.complete && !timed_out;
            recent_outcomes.push_back((now, good));
            if !good {
                result.wasted_tokens += finished.tokens;
                if scenario == Scenario::RetryStorm {
                    schedule_retry(&finished.arrival, now, &mut pending_retries, &mut result);
                }
                continue;
            }
            record_success(&finished, &mut result);
        }
        record_recovery(scenario, now, &mut recent_outcomes, &mut result);
    }
    result
}

fn is_counted(arrival: &Arrival) -> bool {
    arrival.arrived_ms >= WARM_UP_MS
}

fn record_arrival(arrival: &Arrival, result: &mut PolicyResult) {
    result.attempts += 1;
    if is_counted(arrival) {
        result.counted_requests += 1;
        result.team_counts.entry(arrival.team).or_default().0 += 1;
    }
}

fn record_success(finished: &model::FinishedRequest, result: &mut PolicyResult) {
    if !is_counted(&finished.arrival) {
        return;
    }
    result.good_requests += 1;
    result
        .team_counts
        .entry(finished.arrival.team)
        .or_default()
        .1 += 1;
    result.first_token += finished.first_token_ms - finished.arrival.arrived_ms;
    let gap = (finished.finished_ms - finished.first_token_ms) * 1_000
        / finished.arrival.answer_tokens.max(2).saturating_sub(1);
    result.token_gaps += gap;
}

fn schedule_retry(
    arrival: &Arrival,
    now: u64,
    pending_retries: &mut BTreeMap<(u64, u64), Arrival>,
    result: &mut PolicyResult,
) {
    if arrival.retries >= MAX_RETRIES
        || now.saturating_sub(arrival.arrived_ms) >= REQUEST_TIMEOUT_MS
    {
        return;
    }
    result.attempts += 1;
    let next = Arrival {
        retries: arrival.retries + 1,
        ..*arrival
    };
    pending_retries.insert((now + 200, arrival.id), next);
}

/// Records when, after the loss of a domain, at least 90% of the requests that ended in the
/// last second are good again.
fn record_recovery(
    scenario: Scenario,
    now: u64,
    recent_outcomes: &mut VecDeque<(u64, bool)>,
    result: &mut PolicyResult,
) {
    while recent_outcomes
        .front()
        .is_some_and(|(at, _)| at + 1_000 < now)
    {
        recent_outcomes.pop_front();
    }
    if scenario != Scenario::LostDomain
        || result.recovery_ms.is_some()
        || now < DOMAIN_LOSS_MS.0 + 1_000
    {
        return;
    }
    let good = recent_outcomes.iter().filter(|(_, good)| *good).count();
    if good * 10 >= recent_outcomes.len() * 9 && !recent_outcomes.is_empty() {
        result.recovery_ms = Some(now - DOMAIN_LOSS_MS.0);
    }
}

/// Returns Jain's fairness index of the teams' success rates; 1 if all are equal.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn fairness_index(team_counts: &BTreeMap<u32, (u64, u64)>) -> f64 {
    let success_rates: Vec<f64> = team_counts
        .values()
        .map(|(sent, good)| *good as f64 / (*sent).max(1) as f64)
        .collect();
    let sum: f64 = success_rates.iter().sum();
    let squares: f64 = success_rates.iter().map(|rate| rate * rate).sum();
    sum * sum / (success_rates.len() as f64 * squares).max(f64::MIN_POSITIVE)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn result_row(name: &str, scenario: Scenario, load: f64, result: &PolicyResult) -> Value {
    let seconds = (TRAFFIC_DURATION_MS - WARM_UP_MS) as f64 / 1e3;
    json!({
        "policy": name,
        "scene": format!("{scenario:?}"),
        "load": load,
        "goodput_of_capacity": result.good_requests as f64 / seconds / decode_capacity(),
        "good_of_sent": result.good_requests as f64 / result.counted_requests.max(1) as f64,
        "first_p50_ms": result.first_token.value_at_quantile(0.5),
        "first_p95_ms": result.first_token.value_at_quantile(0.95),
        "first_p99_ms": result.first_token.value_at_quantile(0.99),
        "gap_p95_us": result.token_gaps.value_at_quantile(0.95),
        "cache_hits": result.cache_hits as f64 / result.dispatches.max(1) as f64,
        "refused": result.refusals,
        "wasted_tokens": result.wasted_tokens,
        "tries_per_request": result.attempts as f64 / result.counted_requests.max(1) as f64,
        "fairness": fairness_index(&result.team_counts),
        "recovered_ms": result.recovery_ms,
    })
}

/// Runs the experiment and prints its results as JSON.
///
/// # Errors
///
/// Returns an error if the result can't be serialized.
pub fn run(options: &BenchOptions) -> Result<()> {
    let scenarios = [
        (Scenario::Plain, 0.5),
        (Scenario::Plain, 0.9),
        (Scenario::Plain, 1.3),
        (Scenario::HotPrefix, 0.9),
        (Scenario::SlowEngine, 0.9),
        (Scenario::LostDomain, 0.5),
        (Scenario::RetryStorm, 1.3),
    ];
    let mut rows = Vec::new();
    for (scenario, load) in scenarios {
        for mut policy in Policy::all(options.seed) {
            let result = run_policy(&mut policy, scenario, load, options.seed);
            rows.push(result_row(policy.name(), scenario, load, &result));
        }
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "routing": rows }))?
    );
    Ok(())
}
