//! Each promise that is broken is noticed, and nothing else is.

use soak::oracle::Ended;
use soak::oracle::Oracle;

fn breaches(oracle: &Oracle) -> Vec<String> {
    oracle.report().1
}

fn oracle() -> Oracle {
    let oracle = Oracle::default();
    oracle.total("team", 100);
    oracle
}

#[test]
fn a_call_that_may_run_once_runs_twice() {
    let oracle = oracle();
    oracle.ran("stream", "team", 10, true);
    oracle.ran("stream", "team", 10, true);
    assert!(breaches(&oracle).is_empty());
    oracle.ran("call", "team", 0, false);
    assert!(breaches(&oracle).is_empty());
    oracle.ran("call", "team", 0, false);
    assert!(breaches(&oracle)[0].starts_with("twice: call"));
}

#[test]
fn a_refusal_isnt_true() {
    let before = oracle();
    before.ran("call", "team", 0, false);
    before.ended("call", Ended::Refused, false);
    assert!(breaches(&before)[0].starts_with("refused: call had run"));
    let after = oracle();
    after.ended("call", Ended::Refused, false);
    assert!(breaches(&after).is_empty());
    after.ran("call", "team", 0, false);
    assert!(breaches(&after)[0].starts_with("refused: call runs after"));
}

#[test]
fn a_total_is_passed() {
    let oracle = oracle();
    oracle.ran("stream", "team", 70, true);
    // A stream that goes on elsewhere brings its prompt once.
    oracle.ran("stream", "team", 70, true);
    oracle.delivered("team", 10);
    assert!(breaches(&oracle).is_empty(), "all of it is used");
    oracle.delivered("team", 1);
    assert_eq!(breaches(&oracle), ["budget: team used 103 of 100"]);
}

#[test]
fn a_total_that_rose_counts() {
    let oracle = oracle();
    oracle.total("team", 200);
    oracle.total("team", 50);
    oracle.ran("stream", "team", 200, true);
    assert!(breaches(&oracle).is_empty());
}

#[test]
fn an_acknowledged_configuration_is_gone() {
    let oracle = oracle();
    oracle.acknowledged(7);
    oracle.acknowledged(5);
    assert_eq!(oracle.newest(), 7);
    oracle.read(7, 8);
    // It was acknowledged while the read was under way.
    oracle.read(5, 6);
    assert!(breaches(&oracle).is_empty());
    oracle.read(7, 6);
    assert_eq!(breaches(&oracle).len(), 1);
}

#[test]
fn an_answer_is_anothers() {
    let oracle = oracle();
    oracle.ended("one", Ended::Answered, true);
    oracle.ended("two", Ended::Mixed("not the whole answer"), true);
    assert_eq!(breaches(&oracle), ["mixed: two: not the whole answer"]);
    assert_eq!(oracle.report().0.answered, 1);
}

#[test]
fn a_cut_counts_by_whether_its_request_ran() {
    let oracle = oracle();
    oracle.ended("crossed", Ended::Cut, false);
    oracle.ran("running", "team", 0, false);
    oracle.ended("running", Ended::Cut, false);
    let (counts, _) = oracle.report();
    assert_eq!((counts.cut, counts.cut_running), (2, 1));
}
