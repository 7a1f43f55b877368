//! Random histories of a simulated site's budgets, checked against expected balances.

mod site;

use std::env;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use site::Site;
use site::Step;

const DEFAULT_SEED: u64 = 4;
const DEFAULT_HISTORIES: u64 = 10_000;
const MAX_STEPS: usize = 220;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = u8::arbitrary(g);
        let b = u8::arbitrary(g);
        let c = u8::arbitrary(g);
        let index = u16::arbitrary(g);
        match u8::arbitrary(g) % 100 {
            0..6 => Self::TopUp(a, b, c),
            6..26 => Self::Draw(a, b, c),
            26..41 => Self::Start(a, b, c),
            41..53 => Self::Deliver(index),
            53..65 => Self::DeliverAll,
            65..67 => Self::Drop(index),
            67..70 => Self::Duplicate(index),
            70..75 => Self::Post(a),
            75..78 => Self::CatchUp(a, b),
            78..81 => Self::GiveBack(a, b, c),
            81..84 => Self::Recall(a, b),
            84..88 => Self::Advance(index),
            88..90 => Self::EntryCrash(a),
            90..92 => Self::AgentCrash(a),
            92..94 => Self::KeeperRestart(a, b),
            94 => Self::Partition(a),
            95 => Self::Heal,
            96 => Self::RollLease(a),
            _ => Self::Reclaim(a),
        }
    }
}

/// Runs a history in `site` and recovers the site; a failed check panics.
fn history_holds_in(mut site: Site, steps: impl IntoIterator<Item = Step>) -> bool {
    for step in steps {
        site.step(step);
        site.check();
    }
    site.recover();
    site.check_settled();
    true
}

fn history_holds(steps: Vec<Step>) -> bool {
    history_holds_in(Site::new(1), steps)
}

#[test]
fn random_histories_never_overspend_and_bill_once() {
    let histories = env::var("HISTORIES").map_or(DEFAULT_HISTORIES, |n| n.parse().unwrap());
    let seed = env::var("SEED").map_or(DEFAULT_SEED, |n| n.parse().unwrap());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, seed))
        .tests(histories)
        .max_tests(histories)
        .quickcheck(history_holds as fn(Vec<Step>) -> bool);
}

// A clock beyond the assumed drift causes no overspending as long as agents, which
// reject ended leases, don't lose their state.
fn slow_history_holds(steps: Vec<Step>) -> bool {
    let is_agent_crash = |step: &Step| matches!(step, Step::AgentCrash(_));
    history_holds_in(
        Site::new(3),
        steps.into_iter().filter(|step| !is_agent_crash(step)),
    )
}

#[test]
fn a_slow_entry_clock_beyond_the_bound_does_not_overspend() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, DEFAULT_SEED + 1))
        .tests(DEFAULT_HISTORIES / 5)
        .quickcheck(slow_history_holds as fn(Vec<Step>) -> bool);
}

/// Histories that once violated an invariant, as shrunk by the generator.
fn regression_histories() -> Vec<Vec<Step>> {
    vec![
        // A holder drew again under its ended lease after the keeper had reclaimed the
        // unspent tokens and restarted, and spent grants that it no longer held.
        vec![
            Step::TopUp(148, 163, 172),
            Step::Draw(207, 177, 218),
            Step::Deliver(54363),
            Step::Advance(62306),
            Step::Advance(61785),
            Step::Reclaim(234),
            Step::DeliverAll,
            Step::Reclaim(33),
            Step::AgentCrash(106),
            Step::Draw(111, 44, 4),
            Step::KeeperRestart(51, 245),
            Step::DeliverAll,
            Step::Start(156, 227, 144),
        ],
    ]
}

#[test]
fn regression_histories_hold() {
    for history in regression_histories() {
        assert!(history_holds(history));
    }
}
