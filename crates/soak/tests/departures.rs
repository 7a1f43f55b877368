//! Which requests an engine that leaves, or that asked for a pause, must not get.

use soak::departures::CALM_MS;
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
    disturbed.disturb(0, 150);
    assert!(!arrives(&mut disturbed, 0, late));
}

/// Guards against a breach that is none: the Retry-After was held back by the link, and the process
/// never had it.
#[test]
fn a_retry_after_that_a_link_holds_back_tells_the_process_nothing() {
    let arrivals = |departures: &mut Departures| {
        let sent = (0..=u64::from(MAX_ARRIVALS)).map(|n| 100 + REACTION_MS + n);
        sent.filter(|&at| arrives(departures, 0, at)).count()
    };
    let turned_away = |departures: &mut Departures| {
        departures.send("first", 0, 50);
        departures.turn_away("first", "engine", 2_000, 100);
    };
    let mut sound = Departures::default();
    turned_away(&mut sound);
    assert_eq!(arrivals(&mut sound), 1);
    let mut before = Departures::default();
    before.set_link("engine", false, 10);
    turned_away(&mut before);
    assert_eq!(arrivals(&mut before), 0);
    let mut after = Departures::default();
    turned_away(&mut after);
    after.set_link("engine", false, 110);
    assert_eq!(arrivals(&mut after), 0);
    after.set_link("engine", true, 40);
    turned_away(&mut after);
    assert_eq!(arrivals(&mut after), 1);
}

/// A request that a link has held back reaches its engine when the link is sound again; the process
/// that sent it may have given it up by then, or have ended.
#[test]
fn a_retry_after_to_a_request_that_a_link_held_back_tells_the_process_nothing() {
    let arrivals = |sent_at: u64| {
        let mut departures = Departures::default();
        departures.set_link("engine", false, 10);
        departures.send("first", 0, sent_at);
        departures.set_link("engine", true, 60);
        departures.turn_away("first", "engine", 2_000, 100);
        let sent = (0..=u64::from(MAX_ARRIVALS)).map(|n| 100 + REACTION_MS + n);
        sent.filter(|&at| arrives(&mut departures, 0, at)).count()
    };
    assert_eq!(arrivals(50), 0);
    assert_eq!(arrivals(60), 1);
}

/// All processes must know of an acknowledged deregistration, but one that was disturbed only
/// some time after that.
#[test]
fn a_request_to_an_engine_that_deregistered_is_a_breach() {
    let late = 100 + DRAIN_MS + 1;
    for process in 0..2 {
        let mut departures = Departures::default();
        departures.deregister("engine", 100);
        assert!(!arrives(&mut departures, process, late - 1));
        assert!(arrives(&mut departures, process, late));
    }
    let mut disturbed = Departures::default();
    disturbed.deregister("engine", 100);
    disturbed.disturb(0, late);
    assert!(!arrives(&mut disturbed, 0, late + CALM_MS));
    assert!(arrives(&mut disturbed, 0, late + CALM_MS + 1));
    disturbed.restart("engine");
    assert!(!arrives(&mut disturbed, 1, late), "another lifetime");
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
    disturbed.disturb(0, 150);
    assert!((0..10).all(|_| !arrives(&mut disturbed, 0, from)));
}
