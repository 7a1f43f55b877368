//! Which responses disagree with every configuration that may be in force.

use soak::versions::APPLY_MS;
use soak::versions::Handling;
use soak::versions::History;
use soak::versions::Observation;
use soak::versions::RouteKey;
use soak::versions::STABLE_MS;

const OLD: RouteKey = RouteKey::Marker(1);
const NEW: RouteKey = RouteKey::Marker(4);

fn seen(key: RouteKey, handling: Handling, sent_ms: u64) -> Observation {
    Observation {
        process: 0,
        key,
        sent_ms,
        end_ms: sent_ms + 5,
        handling,
    }
}

/// Versions 1 to 4 with two markers each, submitted at 0, 10, 20 and 10,000 ms and
/// acknowledged 5 ms later.
fn history() -> History {
    let mut history = History::default();
    for at in [0, 10, 20, 10_000] {
        let (number, _) = history.submit(1, None, at);
        history.acknowledge(number, at + 5);
    }
    history
}

fn rule(history: &History, key: RouteKey, handling: Handling, sent_ms: u64) -> Option<String> {
    let breach = history.judge(&seen(key, handling, sent_ms))?;
    Some(breach.case)
}

#[test]
fn a_request_handled_by_an_older_version_too_late_is_a_breach() {
    let history = history();
    let due = 10_005 + APPLY_MS;
    let rejected = Handling::Rejected(404);
    assert_eq!(rule(&history, NEW, rejected, due), None);
    let late = rule(&history, NEW, rejected, due + 1).expect("a breach");
    assert!(late.starts_with("config: "), "{late}");
    assert_eq!(rule(&history, NEW, Handling::Ran, due + 1), None);
    let dropped = rule(&history, OLD, Handling::Ran, due + 1).expect("a breach");
    assert!(dropped.starts_with("config: "), "{dropped}");
    assert_eq!(rule(&history, OLD, rejected, due + 1), None);
    for handling in [Handling::Unavailable, Handling::Unknown] {
        assert_eq!(rule(&history, NEW, handling, due + 1), None);
    }
}

#[test]
fn a_version_in_progress_may_be_in_force() {
    let mut history = history();
    let sent_ms = 20_000;
    let rejected = Handling::Rejected(404);
    let gone = RouteKey::Marker(3);
    assert!(rule(&history, gone, rejected, sent_ms).is_some());
    history.submit(1, None, sent_ms + 5);
    assert_eq!(rule(&history, gone, rejected, sent_ms), None);
    assert!(rule(&history, gone, rejected, sent_ms - 1).is_some());
}

#[test]
fn a_disturbed_process_has_no_time_bound() {
    let rejected = Handling::Rejected(404);
    for core in [false, true] {
        let mut history = history();
        let process = usize::from(core);
        history.leave(process, core, 13_000);
        let away = rule(&history, NEW, rejected, 20_000);
        assert_eq!(away, None, "there is no quorum, or no path to it");
        history.rejoin(process, core, 13_000);
        let stable = 13_000 + STABLE_MS;
        assert_eq!(rule(&history, NEW, rejected, stable - 1), None);
        assert!(rule(&history, NEW, rejected, stable).is_some());
    }
}

#[test]
fn a_rejection_by_a_version_older_than_one_acknowledged_before_the_start_is_a_breach() {
    let mut history = history();
    let rejected = Handling::Rejected(404);
    history.start(0, true, 10_004);
    assert_eq!(rule(&history, NEW, rejected, 10_100), None);
    history.start(0, true, 10_006);
    let case = rule(&history, NEW, rejected, 10_100).expect("a breach");
    assert!(case.starts_with("unconfirmed: "), "{case}");
    assert_eq!(rule(&history, NEW, Handling::Unavailable, 10_100), None);
}

#[test]
fn a_claim_without_a_configuration_is_a_breach() {
    let mut history = History::default();
    assert!(rule(&history, OLD, Handling::Rejected(404), 5).is_some());
    assert_eq!(rule(&history, OLD, Handling::Unavailable, 5), None);
    history.submit(1, None, 8);
    // All versions have this route.
    assert!(rule(&history, OLD, Handling::Rejected(404), 5).is_some());
    assert_eq!(rule(&history, NEW, Handling::Rejected(404), 5), None);
    assert!(rule(&history, OLD, Handling::Rejected(401), 5).is_some());
}

#[test]
fn a_read_of_an_older_version_too_late_is_a_breach() {
    let mut history = history();
    history.leave(0, true, 12_000);
    let due = 10_005 + APPLY_MS;
    assert_eq!(history.judge_read(0, 3, due), None);
    assert_eq!(history.judge_read(0, 4, due + 1), None);
    assert!(history.judge_read(0, 3, due + 1).is_some());
}

#[test]
fn a_block_is_replaced_as_a_whole() {
    let mut history = History::default();
    let (first, _) = history.submit(2, Some(3), 0);
    let (_, kept) = history.submit(2, None, 1);
    let (last, replaced) = history.submit(2, Some(1), 2);
    assert!(kept.contains(RouteKey::Block(first, 2)));
    assert!(!kept.contains(RouteKey::Block(first, 3)));
    assert!(!replaced.contains(RouteKey::Block(first, 0)));
    assert!(replaced.contains(RouteKey::Block(last, 0)));
    assert_eq!(replaced.iter().count(), 3);
}

#[test]
fn a_core_without_one_of_three_processes_is_stable_after_a_while() {
    let mut history = history();
    history.set_core_size(3);
    history.leave(1, true, 13_000);
    let stable = 13_000 + STABLE_MS;
    assert!(history.is_stable(0, stable));
    assert!(!history.is_stable(1, stable));
    assert!(!history.is_calm(stable));
    history.leave(2, true, 13_000);
    assert!(!history.is_stable(0, stable));
}
