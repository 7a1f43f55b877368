//! Compares budget policies under network partitions and entry crashes.
//!
//! Every policy gets the same seeded traffic and failures. A refusal is false if
//! the team's budget, minus the tokens billed and the maximum cost of the requests
//! open under that policy, would have covered the request.

use std::collections::BTreeMap;

use base::Span;
use base::Time;
use base::Tokens;
use eyre::Result;
use serde_json::Value;
use serde_json::json;

use super::BenchOptions;

mod policy;

use policy::Policy;

/// Number of failure domains, each with one entry and one keeper.
pub(crate) const DOMAINS: usize = 3;

/// Simulated duration of the traffic.
const TRAFFIC_DURATION: Span = Span::secs(4 * 3600);

/// Start and end of the partition that isolates the first domain.
const PARTITION_WINDOW: (Time, Time) = (Time(3_600_000_000), Time(3 * 3_600_000_000));

/// Interval between entry crashes; the entries crash in turn.
const CRASH_INTERVAL: Span = Span::secs(60);

/// Interval between two steps of the simulation.
const STEP_INTERVAL: Span = Span::millis(250);

/// The traffic pattern of a deployment.
#[derive(Clone, Copy, Debug)]
struct TrafficShape {
    name: &'static str,
    teams: u32,
    /// Percentage of requests drawn for the two largest teams.
    large_percent: u32,
    /// Mean interval between requests.
    mean_gap: Span,
    /// Tokens credited to each team per 1,000 tokens of its demand.
    credit_permille: u64,
}

const TRAFFIC_SHAPES: [TrafficShape; 2] = [
    TrafficShape {
        name: "few large teams",
        teams: 10,
        large_percent: 60,
        mean_gap: Span::millis(500),
        credit_permille: 970,
    },
    TrafficShape {
        name: "many thin budgets",
        teams: 400,
        large_percent: 5,
        mean_gap: Span::millis(700),
        credit_permille: 950,
    },
];

/// The failures injected into the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureMode {
    None,
    Partition,
    EntryCrashes,
}

impl FailureMode {
    /// Returns the name in the output.
    fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Partition => "partition",
            Self::EntryCrashes => "deaths",
        }
    }
}

/// A request of the generated traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) number: u64,
    pub(crate) arrived_at: Time,
    pub(crate) entry: usize,
    pub(crate) team: u32,
    pub(crate) max_cost: Tokens,
    pub(crate) actual_cost: Tokens,
    duration: Span,
}

fn generate_traffic(shape: &TrafficShape, seed: u64) -> (Vec<Arrival>, Vec<Tokens>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut demand = vec![0; shape.teams as usize];
    let mut at = Time(1_000_000);
    let mut number = 0;
    while at < Time(TRAFFIC_DURATION.0) {
        at = at + Span(rng.u64(1..shape.mean_gap.0 * 2));
        let is_large = rng.u32(0..100) < shape.large_percent;
        let team = if is_large {
            rng.u32(0..2)
        } else {
            rng.u32(0..shape.teams)
        };
        let prompt_tokens = rng.u64(20..400);
        let max_answer = rng.u64(64..600);
        let cost = prompt_tokens + rng.u64(1..=max_answer);
        number += 1;
        demand[team as usize] += cost;
        arrivals.push(Arrival {
            number,
            arrived_at: at,
            entry: rng.usize(0..DOMAINS),
            team,
            max_cost: Tokens(prompt_tokens + max_answer),
            actual_cost: Tokens(cost),
            duration: Span::millis(rng.u64(300..20_000)),
        });
    }
    let credit = |tokens: &u64| Tokens(tokens * shape.credit_permille / 1_000);
    (arrivals, demand.iter().map(credit).collect())
}

/// The result of one policy on one run of the traffic.
#[derive(Default)]
struct PolicyResult {
    requests: u64,
    refusals: u64,
    false_refusals: u64,
    overspent_tokens: u64,
    stranded_token_secs: u64,
    messages: u64,
    bytes: u64,
}

/// The exact balances of all teams, against which refusals are checked.
struct GroundTruth {
    credits: Vec<Tokens>,
    billed: Vec<Tokens>,
    reserved: Vec<Tokens>,
}

impl GroundTruth {
    fn can_cover(&self, arrival: &Arrival) -> bool {
        let team = arrival.team as usize;
        let committed = self.billed[team].saturating_add(self.reserved[team]);
        committed.saturating_add(arrival.max_cost) <= self.credits[team]
    }
}

fn run_policy(
    policy: &mut Policy,
    arrivals: &[Arrival],
    credits: &[Tokens],
    failure_mode: FailureMode,
) -> PolicyResult {
    let mut result = PolicyResult::default();
    let mut truth = GroundTruth {
        credits: credits.to_vec(),
        billed: vec![Tokens::ZERO; credits.len()],
        reserved: vec![Tokens::ZERO; credits.len()],
    };
    let mut open_requests: BTreeMap<(Time, u64), Arrival> = BTreeMap::new();
    let mut now = Time(0);
    let mut next_crash = Time(CRASH_INTERVAL.0);
    let mut crash_count = 0;
    policy.credit(credits);
    for arrival in arrivals {
        while now < arrival.arrived_at {
            now = now + STEP_INTERVAL;
            let partitioned = failure_mode == FailureMode::Partition
                && (PARTITION_WINDOW.0..PARTITION_WINDOW.1).contains(&now);
            policy.advance(now, partitioned);
            while let Some((&(at, _), _)) = open_requests.first_key_value()
                && at <= now
                && let Some((_, request)) = open_requests.pop_first()
            {
                finish_request(policy, &mut truth, &request);
            }
            if failure_mode == FailureMode::EntryCrashes && now >= next_crash {
                next_crash = next_crash + CRASH_INTERVAL;
                policy.crash_entry(crash_count % DOMAINS);
                crash_count += 1;
            }
            result.stranded_token_secs +=
                policy.stranded_tokens().0 * STEP_INTERVAL.as_millis() / 1_000;
        }
        result.requests += 1;
        if policy.admit(arrival) {
            let team = arrival.team as usize;
            truth.reserved[team] = truth.reserved[team].saturating_add(arrival.max_cost);
            open_requests.insert(
                (arrival.arrived_at + arrival.duration, arrival.number),
                *arrival,
            );
        } else {
            result.refusals += 1;
            result.false_refusals += u64::from(truth.can_cover(arrival));
        }
    }
    for (_, request) in open_requests {
        finish_request(policy, &mut truth, &request);
    }
    for (billed, credit) in truth.billed.iter().zip(credits) {
        result.overspent_tokens += billed.saturating_sub(*credit).0;
    }
    (result.messages, result.bytes) = policy.control_traffic();
    result
}

fn finish_request(policy: &mut Policy, truth: &mut GroundTruth, request: &Arrival) {
    policy.finish(request);
    let team = request.team as usize;
    truth.reserved[team] = truth.reserved[team].saturating_sub(request.max_cost);
    truth.billed[team] = truth.billed[team].saturating_add(request.actual_cost);
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn result_row(
    name: &str,
    shape: &TrafficShape,
    failure_mode: FailureMode,
    result: &PolicyResult,
) -> Value {
    json!({
        "policy": name,
        "shape": shape.name,
        "failures": failure_mode.name(),
        "requests": result.requests,
        "refused": result.refusals,
        "false_refusals": result.false_refusals,
        "overspent_tokens": result.overspent_tokens,
        "stranded_token_seconds": result.stranded_token_secs,
        "messages_per_request": result.messages as f64 / result.requests as f64,
        "control_bytes_per_request": result.bytes as f64 / result.requests as f64,
    })
}

/// Runs the experiment and prints its results as JSON.
///
/// # Errors
///
/// Returns an error if the result can't be serialized.
pub fn run(options: &BenchOptions) -> Result<()> {
    let mut rows = Vec::new();
    for shape in &TRAFFIC_SHAPES {
        let (arrivals, credits) = generate_traffic(shape, options.seed);
        for failure_mode in [
            FailureMode::None,
            FailureMode::Partition,
            FailureMode::EntryCrashes,
        ] {
            for mut policy in Policy::all(credits.len()) {
                let result = run_policy(&mut policy, &arrivals, &credits, failure_mode);
                rows.push(result_row(policy.name(), shape, failure_mode, &result));
            }
        }
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "budget": rows }))?
    );
    Ok(())
}
