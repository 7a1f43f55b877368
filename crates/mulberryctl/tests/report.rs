//! The report on service-level burn, worked out by hand.

use std::collections::BTreeMap;

use config::document::Objective;
use daemon::entry::metrics::SlotTallies;
use daemon::entry::metrics::Tally;
use mulberryctl::report;

fn slots() -> SlotTallies {
    let tally = |good, late, budget, bad| Tally {
        good,
        late,
        budget,
        bad,
    };
    let mut slots = SlotTallies::new();
    // A minute with 2 of 100 bad, long ago, and one with 10 of 100 bad, now.
    slots.insert(
        1_000,
        BTreeMap::from([("a".to_owned(), tally(98, 1, 50, 1))]),
    );
    let now = [
        ("a".to_owned(), tally(40, 0, 0, 10)),
        ("b".to_owned(), tally(50, 0, 0, 0)),
    ];
    slots.insert(1_100, BTreeMap::from(now));
    slots
}

#[test]
fn burn_rates_and_alerts_are_those_worked_out_by_hand() {
    let objective = Objective {
        per_mille: 990,
        ..Objective::default()
    };
    let made = report::report(&slots(), 1_100, &objective);
    let close = |found: f64, expected: f64| (found - expected).abs() < 1e-9;
    let fleet = &made.burns[0];
    // One in a hundred is allowed: 10 of 100 burn at 10, 12 of 200 at 6.
    assert!(close(fleet.rates[&5], 10.0));
    assert!(close(fleet.rates[&60], 10.0));
    assert!(close(fleet.rates[&360], 6.0));
    assert!(close(fleet.good, 188.0 / 200.0));
    assert!(close(fleet.left, -5.0));
    assert_eq!(
        fleet.alerts,
        [
            "page: burning over 360 and 30 minutes",
            "ticket: burning over 4320 and 360 minutes"
        ]
    );
    let names: Vec<&str> = made.burns.iter().map(|b| b.name.as_str()).collect();
    assert_eq!(names, ["fleet", "a", "b"]);
    assert!(close(made.burns[2].left, 1.0));
    assert!(made.burns[2].alerts.is_empty());
    // Refusals for want of budget count neither way.
    assert_eq!(made.burns[1].tally.objective_total(), 150);
}

#[test]
fn the_page_needs_nothing_else_and_shows_names_as_text() {
    let mut slots = slots();
    let tallies = slots.get_mut(&1_100).unwrap();
    tallies.insert("<script>".to_owned(), Tally::default());
    let made = report::report(&slots, 1_100, &Objective::default());
    let page = report::html(&made).unwrap();
    assert!(page.contains("<svg") && page.contains("&lt;script&gt;"));
    assert!(!page.contains("<script>") && !page.contains("src="));
}
