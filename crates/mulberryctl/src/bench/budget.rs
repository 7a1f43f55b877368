//! Policies for budgets under partitions and deaths.
//!
//! The same seeded traffic and failures are given to each policy. A refusal is
//! false where the budget, less what is billed and what open requests may still
//! cost under that policy, would have covered the request.

use std::collections::BTreeMap;

use base::Span;
use base::Time;
use base::Tokens;
use eyre::Result;
use serde_json::Value;
use serde_json::json;

use super::Plan;

mod policy;

use policy::Policy;

/// Failure domains, each with an entry and a keeper.
pub(crate) const DOMAINS: usize = 3;

/// Length of the traffic.
const LENGTH: Span = Span::secs(4 * 3600);

/// When the first domain is cut off.
const CUT: (Time, Time) = (Time(3_600_000_000), Time(3 * 3_600_000_000));

/// Time between two deaths of an entry.
const DEATH_EVERY: Span = Span::secs(60);

/// Time between two steps of housekeeping.
const STEP: Span = Span::millis(250);

/// A deployment's shape of traffic.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    teams: u32,
    /// The part of requests that the two largest teams make, in a hundred.
    large: u32,
    /// Mean time between requests.
    gap: Span,
    /// Tokens credited to all teams, for a thousand tokens of expected demand.
    cover: u64,
}

const SHAPES: [Shape; 2] = [
    Shape {
        name: "few large teams",
        teams: 10,
        large: 60,
        gap: Span::millis(500),
        cover: 970,
    },
    Shape {
        name: "many thin budgets",
        teams: 400,
        large: 5,
        gap: Span::millis(700),
        cover: 950,
    },
];

/// What fails during the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failures {
    None,
    Partition,
    Deaths,
}

/// One request of the traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) number: u64,
    pub(crate) at: Time,
    pub(crate) entry: usize,
    pub(crate) team: u32,
    pub(crate) most: Tokens,
    pub(crate) used: Tokens,
    takes: Span,
}

fn traffic(shape: &Shape, seed: u64) -> (Vec<Arrival>, Vec<Tokens>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut demand = vec![0; shape.teams as usize];
    let mut at = Time(1_000_000);
    let mut number = 0;
    while at < Time(LENGTH.0) {
        at = at + Span(rng.u64(1..shape.gap.0 * 2));
        let large = rng.u32(0..100) < shape.large;
        let team = if large {
            rng.u32(0..2)
        } else {
            rng.u32(0..shape.teams)
        };
        let prompt = rng.u64(20..400);
        let cap = rng.u64(64..600);
        let used = prompt + rng.u64(1..=cap);
        number += 1;
        demand[team as usize] += used;
        arrivals.push(Arrival {
            number,
            at,
            entry: rng.usize(0..DOMAINS),
            team,
            most: Tokens(prompt + cap),
            used: Tokens(used),
            takes: Span::millis(rng.u64(300..20_000)),
        });
    }
    let credit = |tokens: &u64| Tokens(tokens * shape.cover / 1_000);
    (arrivals, demand.iter().map(credit).collect())
}

/// What one policy did with one traffic.
#[derive(Default)]
struct Score {
    requests: u64,
    refused: u64,
    falsely: u64,
    overspent: u64,
    stranded_token_s: u64,
    messages: u64,
    bytes: u64,
}

/// The truth that a policy is measured against.
struct Truth {
    credits: Vec<Tokens>,
    billed: Vec<Tokens>,
    open: Vec<Tokens>,
}

impl Truth {
    fn covers(&self, arrival: &Arrival) -> bool {
        let team = arrival.team as usize;
        let taken = self.billed[team].saturating_add(self.open[team]);
        taken.saturating_add(arrival.most) <= self.credits[team]
    }
}

fn run_one(
    policy: &mut Policy,
    arrivals: &[Arrival],
    credits: &[Tokens],
    failures: Failures,
) -> Score {
    let mut score = Score::default();
    let mut truth = Truth {
        credits: credits.to_vec(),
        billed: vec![Tokens::ZERO; credits.len()],
        open: vec![Tokens::ZERO; credits.len()],
    };
    let mut running: BTreeMap<(Time, u64), Arrival> = BTreeMap::new();
    let mut housekeeping = Time(0);
    let mut death = Time(DEATH_EVERY.0);
    let mut victim = 0;
    policy.credit(credits);
    for arrival in arrivals {
        while housekeeping < arrival.at {
            housekeeping = housekeeping + STEP;
            let cut = failures == Failures::Partition && (CUT.0..CUT.1).contains(&housekeeping);
            policy.step(housekeeping, cut);
            while let Some((&(at, _), _)) = running.first_key_value()
                && at <= housekeeping
                && let Some((_, done)) = running.pop_first()
            {
                finish(policy, &mut truth, &done);
            }
            if failures == Failures::Deaths && housekeeping >= death {
                death = death + DEATH_EVERY;
                policy.entry_dies(victim % DOMAINS);
                victim += 1;
            }
            score.stranded_token_s += policy.stranded().0 * STEP.as_millis() / 1_000;
        }
        score.requests += 1;
        if policy.admit(arrival) {
            let team = arrival.team as usize;
            truth.open[team] = truth.open[team].saturating_add(arrival.most);
            running.insert((arrival.at + arrival.takes, arrival.number), *arrival);
        } else {
            score.refused += 1;
            score.falsely += u64::from(truth.covers(arrival));
        }
    }
    for (_, done) in running {
        finish(policy, &mut truth, &done);
    }
    for (billed, credit) in truth.billed.iter().zip(credits) {
        score.overspent += billed.saturating_sub(*credit).0;
    }
    (score.messages, score.bytes) = policy.traffic();
    score
}

fn finish(policy: &mut Policy, truth: &mut Truth, done: &Arrival) {
    policy.finish(done);
    let team = done.team as usize;
    truth.open[team] = truth.open[team].saturating_sub(done.most);
    truth.billed[team] = truth.billed[team].saturating_add(done.used);
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn row(name: &str, shape: &Shape, failures: Failures, score: &Score) -> Value {
    json!({
        "policy": name,
        "shape": shape.name,
        "failures": format!("{failures:?}").to_lowercase(),
        "requests": score.requests,
        "refused": score.refused,
        "false_refusals": score.falsely,
        "overspent_tokens": score.overspent,
        "stranded_token_seconds": score.stranded_token_s,
        "messages_per_request": score.messages as f64 / score.requests as f64,
        "control_bytes_per_request": score.bytes as f64 / score.requests as f64,
    })
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails where the result can't be printed.
pub fn run(plan: &Plan) -> Result<()> {
    let mut rows = Vec::new();
    for shape in &SHAPES {
        let (arrivals, credits) = traffic(shape, plan.seed);
        for failures in [Failures::None, Failures::Partition, Failures::Deaths] {
            for mut policy in Policy::all(credits.len()) {
                let score = run_one(&mut policy, &arrivals, &credits, failures);
                rows.push(row(policy.name(), shape, failures, &score));
            }
        }
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "budget": rows }))?
    );
    Ok(())
}
