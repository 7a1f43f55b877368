//! Policies for the choice of an endpoint under load and faults.
//!
//! The engines are modelled: each prefills one prompt at a time, gives a token to
//! all that run in one step, and caches some prefixes. The product's row uses the
//! product's own table, queue and retry budget.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use eyre::Result;
use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::Plan;

mod chooser;
mod model;

use chooser::Chooser;
use chooser::Placed;
use model::Fleet;

/// Milliseconds between two steps of the model.
pub(crate) const TICK_MS: u64 = 5;

/// Length of the traffic, in milliseconds.
const LENGTH_MS: u64 = 120_000;

/// Part of the traffic that isn't counted, in milliseconds.
const WARM_MS: u64 = 10_000;

/// A request must be whole after this time, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 8_000;

/// Engines, spread over the failure domains.
pub(crate) const ENGINES: usize = 12;

/// Failure domains.
pub(crate) const DOMAINS: usize = 3;

/// Requests that an engine runs together.
pub(crate) const ROOM: u32 = 16;

/// Mean tokens of an answer.
const MEAN_TOKENS: u64 = 60;

/// When a domain is lost and when it comes back, in milliseconds.
const LOSS_MS: (u64, u64) = (50_000, 80_000);

/// Teams; the first sends half of all requests.
const TEAMS: u32 = 10;

/// Prefixes that requests share.
const PREFIXES: u64 = 300;

/// Most retries of a caller in a storm.
const STORM_RETRIES: u32 = 3;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scene {
    Plain,
    HotPrefix,
    SlowEngine,
    LostDomain,
    RetryStorm,
}

/// A request of the traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: u64,
    pub(crate) at: u64,
    pub(crate) team: u32,
    pub(crate) prefix: u64,
    pub(crate) tokens: u64,
    pub(crate) tries: u32,
}

/// Returns the requests a second that the engines can decode at full batches.
#[expect(clippy::cast_precision_loss, reason = "small whole numbers")]
fn capacity() -> f64 {
    let step = (model::STEP_US + model::CROWD_US * u64::from(ROOM)) as f64 / 1e6;
    ENGINES as f64 * f64::from(ROOM) / step / MEAN_TOKENS as f64
}

fn traffic(scene: Scene, load: f64, seed: u64) -> VecDeque<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut arrivals = VecDeque::new();
    let mean_gap = 1e3 / (capacity() * load);
    let mut at = 0.0;
    let mut id = 0;
    loop {
        at -= mean_gap * (1.0 - rng.f64()).ln();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a time within the traffic"
        )]
        let ms = at as u64;
        if ms >= LENGTH_MS {
            return arrivals;
        }
        id += 1;
        let hot = scene == Scene::HotPrefix && rng.u32(0..100) < 30;
        let drawn = rng.u64(..PREFIXES).min(rng.u64(..PREFIXES));
        arrivals.push_back(Arrival {
            id,
            at: ms,
            team: if rng.bool() { 0 } else { rng.u32(1..TEAMS) },
            prefix: if hot { PREFIXES } else { drawn },
            tokens: rng.u64(MEAN_TOKENS / 2..=MEAN_TOKENS * 3 / 2),
            tries: 0,
        });
    }
}

/// What a policy did with one traffic.
struct Score {
    first: Histogram<u64>,
    gaps: Histogram<u64>,
    good: u64,
    counted: u64,
    refused: u64,
    begun: u64,
    hits: u64,
    wasted: u64,
    tries: u64,
    by_team: BTreeMap<u32, (u64, u64)>,
    recovered_ms: Option<u64>,
}

impl Score {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("the precision is valid");
        Self {
            first: empty(),
            gaps: empty(),
            good: 0,
            counted: 0,
            refused: 0,
            begun: 0,
            hits: 0,
            wasted: 0,
            tries: 0,
            by_team: BTreeMap::new(),
            recovered_ms: None,
        }
    }
}

fn run_one(chooser: &mut Chooser, scene: Scene, load: f64, seed: u64) -> Score {
    let mut arrivals = traffic(scene, load, seed);
    let mut fleet = Fleet::new();
    if scene == Scene::SlowEngine {
        fleet.slow(0);
    }
    let mut score = Score::new();
    let mut again: BTreeMap<(u64, u64), Arrival> = BTreeMap::new();
    let mut recent: VecDeque<(u64, bool)> = VecDeque::new();
    let mut now = 0;
    while now < LENGTH_MS + DEADLINE_MS {
        now += TICK_MS;
        if scene == Scene::LostDomain && now == LOSS_MS.0 {
            for failed in fleet.lose_domain(0) {
                score.wasted += failed.tokens;
                chooser.ended(&failed, false, now);
                retry(&failed.arrival, now, &mut again, &mut score);
            }
        }
        if scene == Scene::LostDomain && now == LOSS_MS.1 {
            fleet.restore_domain(0);
        }
        chooser.reports(&fleet, now);
        while arrivals.front().is_some_and(|a| a.at <= now) {
            if let Some(arrival) = arrivals.pop_front() {
                note_arrival(&arrival, &mut score);
                chooser.submit(arrival, now);
            }
        }
        while let Some((&(at, id), _)) = again.first_key_value()
            && at <= now
            && let Some(arrival) = again.remove(&(at, id))
        {
            chooser.submit(arrival, now);
        }
        for placed in chooser.place(&mut fleet, now) {
            match placed {
                Placed::Begun { cached } => {
                    score.begun += 1;
                    score.hits += u64::from(cached);
                }
                Placed::Refused(arrival) => {
                    score.refused += 1;
                    recent.push_back((now, false));
                    if scene == Scene::RetryStorm {
                        retry(&arrival, now, &mut again, &mut score);
                    }
                }
            }
        }
        for done in fleet.tick(now) {
            chooser.ended(&done, done.whole, now);
            let late = now.saturating_sub(done.arrival.at) > DEADLINE_MS;
            let good = done.whole && !late;
            recent.push_back((now, good));
            if !good {
                score.wasted += done.tokens;
                if scene == Scene::RetryStorm {
                    retry(&done.arrival, now, &mut again, &mut score);
                }
                continue;
            }
            note_good(&done, &mut score);
        }
        note_recovery(scene, now, &mut recent, &mut score);
    }
    score
}

fn counts(arrival: &Arrival) -> bool {
    arrival.at >= WARM_MS
}

fn note_arrival(arrival: &Arrival, score: &mut Score) {
    score.tries += 1;
    if counts(arrival) {
        score.counted += 1;
        score.by_team.entry(arrival.team).or_default().0 += 1;
    }
}

fn note_good(done: &model::Done, score: &mut Score) {
    if !counts(&done.arrival) {
        return;
    }
    score.good += 1;
    score.by_team.entry(done.arrival.team).or_default().1 += 1;
    score.first += done.first - done.arrival.at;
    let gap = (done.at - done.first) * 1_000 / done.arrival.tokens.max(2).saturating_sub(1);
    score.gaps += gap;
}

fn retry(
    arrival: &Arrival,
    now: u64,
    again: &mut BTreeMap<(u64, u64), Arrival>,
    score: &mut Score,
) {
    if arrival.tries >= STORM_RETRIES || now.saturating_sub(arrival.at) >= DEADLINE_MS {
        return;
    }
    score.tries += 1;
    let next = Arrival {
        tries: arrival.tries + 1,
        ..*arrival
    };
    again.insert((now + 200, arrival.id), next);
}

/// Notes when nine in ten requests end well again after a domain was lost.
fn note_recovery(scene: Scene, now: u64, recent: &mut VecDeque<(u64, bool)>, score: &mut Score) {
    while recent.front().is_some_and(|(at, _)| at + 1_000 < now) {
        recent.pop_front();
    }
    if scene != Scene::LostDomain || score.recovered_ms.is_some() || now < LOSS_MS.0 + 1_000 {
        return;
    }
    let good = recent.iter().filter(|(_, good)| *good).count();
    if good * 10 >= recent.len() * 9 && !recent.is_empty() {
        score.recovered_ms = Some(now - LOSS_MS.0);
    }
}

/// Returns how evenly teams fared: one where all fared alike.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn fairness(by_team: &BTreeMap<u32, (u64, u64)>) -> f64 {
    let shares: Vec<f64> = by_team
        .values()
        .map(|(sent, good)| *good as f64 / (*sent).max(1) as f64)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares).max(f64::MIN_POSITIVE)
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn row(name: &str, scene: Scene, load: f64, score: &Score) -> Value {
    let seconds = (LENGTH_MS - WARM_MS) as f64 / 1e3;
    json!({
        "policy": name,
        "scene": format!("{scene:?}"),
        "load": load,
        "goodput_of_capacity": score.good as f64 / seconds / capacity(),
        "good_of_sent": score.good as f64 / score.counted.max(1) as f64,
        "first_p50_ms": score.first.value_at_quantile(0.5),
        "first_p95_ms": score.first.value_at_quantile(0.95),
        "first_p99_ms": score.first.value_at_quantile(0.99),
        "gap_p95_us": score.gaps.value_at_quantile(0.95),
        "cache_hits": score.hits as f64 / score.begun.max(1) as f64,
        "refused": score.refused,
        "wasted_tokens": score.wasted,
        "tries_per_request": score.tries as f64 / score.counted.max(1) as f64,
        "fairness": fairness(&score.by_team),
        "recovered_ms": score.recovered_ms,
    })
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails where the result can't be printed.
pub fn run(plan: &Plan) -> Result<()> {
    let scenes = [
        (Scene::Plain, 0.5),
        (Scene::Plain, 0.9),
        (Scene::Plain, 1.3),
        (Scene::HotPrefix, 0.9),
        (Scene::SlowEngine, 0.9),
        (Scene::LostDomain, 0.5),
        (Scene::RetryStorm, 1.3),
    ];
    let mut rows = Vec::new();
    for (scene, load) in scenes {
        for mut chooser in Chooser::all(plan.seed) {
            let score = run_one(&mut chooser, scene, load, plan.seed);
            rows.push(row(chooser.name(), scene, load, &score));
        }
    }
    println!(
        "{}",
        serde_json::to_string_pretty(&json!({ "routing": rows }))?
    );
    Ok(())
}
