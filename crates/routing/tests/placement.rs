//! Placement, admission and repeats under the loads that they answer.

use base::Span;
use base::Time;
use routing::admission;
use routing::call::Part;
use routing::placement::Full;
use routing::placement::Load;
use routing::placement::Placement;
use routing::placement::Size;
use routing::placement::Wish;
use routing::repeats::Bound;
use routing::repeats::Repeats;

const SIZE: Size = Size {
    slots: 96,
    memory: 297_824,
};

fn engines(count: u64) -> Placement {
    let mut placement = Placement::default();
    for engine in 0..count {
        placement.admit(engine, SIZE, false);
    }
    placement
}

fn wish<'a>(parts: &'a [Part], tried: &'a [u64]) -> Wish<'a> {
    Wish {
        prompt: 9_190,
        answer: 60,
        parts,
        within_ms: 800.0,
        tried,
    }
}

fn parts(session: u64) -> Vec<Part> {
    let part = |id, tokens| Part { id, tokens };
    vec![
        part(1, 2_520),
        part(100 + session, 3_780),
        part(9_999, 2_890),
    ]
}

/// Load pattern: sessions return. Their parts are at one engine.
#[test]
fn a_session_returns_to_its_engine() {
    let mut placement = engines(18);
    let mut homes = Vec::new();
    for session in 0..40 {
        let parts = parts(session);
        let choice = placement.choose(&wish(&parts, &[]), Time(1)).unwrap();
        placement.sent(&choice, &parts[..2], Time(1));
        let load = placement.started(&choice, choice.sound_ms, Time(1));
        placement.ended(choice.engine, load, false);
        homes.push(choice.engine);
    }
    for (session, home) in (0..).zip(&homes) {
        let parts = parts(session);
        let choice = placement.choose(&wish(&parts, &[]), Time(2)).unwrap();
        assert_eq!(choice.engine, *home, "session {session}");
        assert!(choice.load.reading < 3_000);
    }
}

/// Load pattern: sessions return while their engines are busier than others, though
/// not so busy that they would answer late.
#[test]
fn a_session_waits_for_its_engine_while_it_is_in_time() {
    let mut placement = engines(18);
    let mut again = 0;
    for session in 0..40 {
        let parts = parts(session);
        let choice = placement.choose(&wish(&parts, &[]), Time(1)).unwrap();
        placement.sent(&choice, &parts[..2], Time(1));
        let load = placement.started(&choice, choice.sound_ms, Time(1));
        placement.ended(choice.engine, load, false);
        let other = Load {
            running: 4,
            reading: 10_000,
            held: 30_000,
        };
        let home = choice.engine;
        placement.report(7, &[(home, other)]);
        let back = placement.choose(&wish(&parts, &[]), Time(2)).unwrap();
        again += usize::from(back.engine != home);
        let late = Load {
            reading: 20_000,
            ..other
        };
        placement.report(7, &[(home, late)]);
        let moved = placement.choose(&wish(&parts, &[]), Time(2)).unwrap();
        assert_ne!(moved.engine, home, "it would answer late");
        placement.report(7, &[]);
    }
    assert_eq!(
        again, 0,
        "sessions read again though their engine was in time"
    );
}

/// Load pattern: one session gets much of the traffic. Its home is left once waiting
/// costs more than reading again.
#[test]
fn a_hot_session_spreads() {
    let mut placement = engines(18);
    let parts = parts(1);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let choice = placement.choose(&wish(&parts, &[]), Time(1)).unwrap();
        placement.sent(&choice, &parts[..2], Time(1));
        used.insert(choice.engine);
    }
    assert!(used.len() > 6, "{} engines", used.len());
}

/// Load pattern: a burst of long prompts. What can't start in time is refused at
/// once; what was sent starts in time.
#[test]
fn a_burst_is_refused_once_it_would_be_late() {
    let mut placement = engines(2);
    let mut sent = 0;
    let refused = loop {
        let parts = parts(sent);
        match placement.choose(&wish(&parts, &[]), Time(1)) {
            Ok(choice) => {
                assert!(choice.expected_ms <= 800.0);
                placement.sent(&choice, &parts[..2], Time(1));
                sent += 1;
            }
            Err(full) => break full,
        }
        assert!(sent < 1_000, "nothing is refused");
    };
    assert!(sent >= 4, "{sent} sent");
    assert!(matches!(refused, Full::Busy(room) if room > 0.0));
}

/// Load pattern: several entries act on the same engines. What others report counts.
#[test]
fn load_of_other_entries_counts() {
    let mut placement = engines(2);
    let heavy = Load {
        running: 20,
        reading: 60_000,
        held: 100_000,
    };
    placement.report(7, &[(0, heavy)]);
    let choice = placement.choose(&wish(&[], &[]), Time(1)).unwrap();
    assert_eq!(choice.engine, 1);
    placement.forget(7);
    placement.report(8, &[(1, heavy)]);
    let choice = placement.choose(&wish(&[], &[]), Time(1)).unwrap();
    assert_eq!(choice.engine, 0);
}

/// Load pattern: an engine is slow, another refuses connections.
#[test]
fn slow_and_unreachable_engines_are_avoided_and_used_again() {
    let mut placement = engines(3);
    let mut now = Time(1);
    for _ in 0..30 {
        let mut patient = wish(&[], &[1, 2]);
        patient.within_ms = 1e6;
        let choice = placement.choose(&patient, now).unwrap();
        placement.sent(&choice, &[], now);
        let load = placement.started(&choice, choice.sound_ms * 6.0, now);
        placement.ended(choice.engine, load, false);
    }
    let slow = placement.choose(&wish(&[], &[1, 2]), now);
    assert!(matches!(slow, Err(Full::Busy(_))), "{slow:?}");
    placement.unreachable(1, now);
    let choice = placement.choose(&wish(&[], &[]), now).unwrap();
    assert_eq!(choice.engine, 2);
    now = now + Span::millis(4_000);
    let choice = placement.choose(&wish(&[], &[0, 2]), now).unwrap();
    assert_eq!(choice.engine, 1);
    now = now + Span::millis(8_000);
    assert!(placement.choose(&wish(&[], &[1, 2]), now).is_ok());
}

/// Load pattern: every engine rests. Requests still go somewhere.
#[test]
fn resting_engines_are_better_than_none() {
    let mut placement = engines(1);
    placement.unreachable(0, Time(1));
    assert!(placement.choose(&wish(&[], &[]), Time(1)).is_ok());
    assert_eq!(
        placement.choose(&wish(&[], &[0]), Time(1)),
        Err(Full::Nowhere)
    );
}

#[test]
fn urgent_kinds_give_way_last() {
    let within = |urgency| admission::within_ms(600, urgency, 4_000);
    assert!(within(0) > within(1) && within(1) > within(2));
    assert!(admission::within_ms(600, 0, 100) <= 100.0);
}

#[test]
fn callers_come_back_while_they_still_wait() {
    for left in [500, 1_500, 6_000] {
        for room in [0.0, 400.0, 9_000.0] {
            let after = admission::retry_after_ms(room, left);
            assert!((150..=2_000).contains(&after));
            assert!(after <= (left / 3).max(150), "{after} of {left}");
        }
    }
}

/// Load pattern: all endpoints of a service fail; six entries send again at once.
#[test]
fn repeats_of_all_entries_stay_within_the_bound() {
    let bound = Bound {
        ratio: 0.2,
        slack: 58.0,
        window: Span::secs(10),
    };
    let mut entries: Vec<Repeats> = (0..6).map(|_| Repeats::new(bound)).collect();
    let mut allowed = 0;
    let mut requests = 0;
    for step in 0..100 {
        let now = Time(1 + step * 100_000);
        for repeats in &mut entries {
            for _ in 0..4 {
                repeats.request("desk", now);
                requests += 1;
                allowed += u32::from(repeats.repeat("desk", 6, now));
            }
        }
    }
    let most = 0.2 * f64::from(requests) + 58.0;
    assert!(f64::from(allowed) <= most, "{allowed} of {most}");
    assert!(f64::from(allowed) >= most / 2.0, "{allowed} of {most}");
}

/// A stream that comes four seconds after the order to stop outlives the grace
/// period; a short call doesn't, and neither does what comes at once.
#[test]
fn a_stopping_process_takes_what_it_can_finish() {
    let grace = Span::millis(7_500);
    let takes = |since, left| {
        let (since, left) = (Span::millis(since), Span::millis(left));
        admission::takes_while_stopping(since, left, grace)
    };
    assert!(takes(1_000, 15_000));
    assert!(!takes(3_907, 15_000));
    assert!(takes(3_907, 800));
    assert!(!takes(7_000, 800));
}
