//! The oracle reports each broken invariant, and nothing else.

use soak::oracle::Oracle;
use soak::oracle::RequestOutcome;

fn breaches(oracle: &Oracle) -> Vec<String> {
    oracle.report().1
}

fn oracle() -> Oracle {
    let oracle = Oracle::default();
    oracle.set_total("team", 100);
    oracle
}

#[test]
fn a_second_run_of_a_non_idempotent_call_is_a_breach() {
    let oracle = oracle();
    oracle.record_run("stream", "team", 10, true);
    oracle.record_run("stream", "team", 10, true);
    assert!(breaches(&oracle).is_empty());
    oracle.record_run("call", "team", 0, false);
    assert!(breaches(&oracle).is_empty());
    oracle.record_run("call", "team", 0, false);
    assert!(breaches(&oracle)[0].starts_with("twice: call"));
}

#[test]
fn a_run_before_or_after_a_refusal_is_a_breach() {
    let before = oracle();
    before.record_run("call", "team", 0, false);
    before.record_outcome("call", RequestOutcome::Refused, false);
    assert!(breaches(&before)[0].starts_with("refused: call had run"));
    let after = oracle();
    after.record_outcome("call", RequestOutcome::Refused, false);
    assert!(breaches(&after).is_empty());
    after.record_run("call", "team", 0, false);
    assert!(breaches(&after)[0].starts_with("refused: call runs after"));
}

#[test]
fn usage_above_the_total_is_a_breach() {
    let oracle = oracle();
    oracle.record_run("stream", "team", 70, true);
    // The prompt of a resumed stream counts once.
    oracle.record_run("stream", "team", 70, true);
    oracle.record_events("team", 10);
    assert!(breaches(&oracle).is_empty(), "all of it is used");
    oracle.record_events("team", 1);
    assert_eq!(breaches(&oracle), ["budget: team used 103 of 100"]);
}

#[test]
fn the_highest_total_applies() {
    let oracle = oracle();
    oracle.set_total("team", 200);
    oracle.set_total("team", 50);
    oracle.record_run("stream", "team", 200, true);
    assert!(breaches(&oracle).is_empty());
}

#[test]
fn a_read_older_than_an_acknowledged_version_is_a_breach() {
    let oracle = oracle();
    oracle.record_acknowledged(7);
    oracle.record_acknowledged(5);
    assert_eq!(oracle.acknowledged_version(), 7);
    oracle.record_read(7, 8);
    // Version 7 was acknowledged while the read was in progress.
    oracle.record_read(5, 6);
    assert!(breaches(&oracle).is_empty());
    oracle.record_read(7, 6);
    assert_eq!(breaches(&oracle).len(), 1);
}

#[test]
fn a_wrong_answer_is_a_breach() {
    let oracle = oracle();
    oracle.record_outcome("one", RequestOutcome::Answered, true);
    oracle.record_outcome(
        "two",
        RequestOutcome::WrongAnswer("not the whole answer"),
        true,
    );
    assert_eq!(breaches(&oracle), ["mixed: two: not the whole answer"]);
    assert_eq!(oracle.report().0.answered, 1);
}

#[test]
fn a_cut_request_counts_as_running_only_if_it_ran() {
    let oracle = oracle();
    oracle.record_outcome("crossed", RequestOutcome::Cut, false);
    oracle.record_run("running", "team", 0, false);
    oracle.record_outcome("running", RequestOutcome::Cut, false);
    let (counts, _) = oracle.report();
    assert_eq!((counts.cut, counts.cut_running), (2, 1));
}
