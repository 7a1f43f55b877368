//! Which requests an engine that leaves, or that asked for a pause, must not get.

use soak::departures::DRAIN_MS;
use soak::departures::Departures;
use soak::departures::MAX_ARRIVALS;
use soak::departures::REACTION_MS;

/// A leaving engine's answer was passed on by process 0 at 100 ms.
fn leaving() -> Departures {
    let mut departures = Departures::default();
    departures.send("first", 0, 50);
    departures.answer_leaving("first", "engine");
    departures.pass_on("first", 100);
    departures
}

fn arrives(departures: &mut Departures, process: usize, sent_ms: u64) -> bool {
    departures.send("next", process, sent_ms);
    departures.arrive("next", "engine", sent_ms + 5).is_some()
}

#[test]
fn a_request_to_an_engine_that_left_is_a_breach() {
    let late = 100 + DRAIN_MS + 1;
    assert!(!arrives(&mut leaving(), 0, late - 1));
    assert!(!arrives(&mut leaving(), 1, late), "another process");
    let mut departures = leaving();
    assert!(arrives(&mut departures, 0, late));
    assert!(!arrives(&mut departures, 0, late), "reported already");
    departures.restart("engine");
    assert!(!arrives(&mut departures, 0, late), "another lifetime");
    let mut disturbed = leaving();
    disturbed.disturb(0);
    assert!(!arrives(&mut disturbed, 0, late));
}

#[test]
fn an_answer_that_is_not_passed_on_tells_the_process_nothing() {
    let mut departures = Departures::default();
    departures.send("first", 0, 50);
    departures.answer_leaving("first", "engine");
    assert!(!arrives(&mut departures, 0, 100_000));
}

#[test]
fn requests_within_the_time_of_a_retry_after_are_a_breach() {
    let turned_away = || {
        let mut departures = Departures::default();
        departures.send("first", 0, 50);
        departures.turn_away("first", "engine", 3_000, 100);
        departures
    };
    let mut departures = turned_away();
    let from = 100 + REACTION_MS;
    for _ in 0..10 {
        assert!(!arrives(&mut departures, 0, from - 6), "too early to act");
        assert!(!arrives(&mut departures, 0, 3_100), "the time is over");
        assert!(!arrives(&mut departures, 1, from), "another process");
    }
    for _ in 0..MAX_ARRIVALS {
        assert!(!arrives(&mut departures, 0, from));
    }
    assert!(arrives(&mut departures, 0, from));
    let mut disturbed = turned_away();
    disturbed.disturb(0);
    assert!((0..10).all(|_| !arrives(&mut disturbed, 0, from)));
}
