//! The service-level report, checked against values calculated by hand.

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
    // An earlier minute with 2 bad of 100 requests, and the current one with 10 bad of 100.
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
fn burn_rates_and_alerts_match_hand_calculated_values() {
    let objective = Objective {
        per_mille: 990,
        ..Objective::default()
    };
    let report = report::build_report(&slots(), 1_100, &objective);
    let close = |actual: f64, expected: f64| (actual - expected).abs() < 1e-9;
    let fleet = &report.summaries[0];
    // The objective allows 1%: 10 bad of 100 give a burn rate of 10, 12 of 200 give 6.
    assert!(close(fleet.burn_rates[&5], 10.0));
    assert!(close(fleet.burn_rates[&60], 10.0));
    assert!(close(fleet.burn_rates[&360], 6.0));
    assert!(close(fleet.good_ratio, 188.0 / 200.0));
    assert!(close(fleet.budget_left, -5.0));
    assert_eq!(
        fleet.alerts,
        [
            "page: burning over 360 and 30 minutes",
            "ticket: burning over 4320 and 360 minutes"
        ]
    );
    let names: Vec<&str> = report.summaries.iter().map(|b| b.name.as_str()).collect();
    assert_eq!(names, ["fleet", "a", "b"]);
    assert!(close(report.summaries[2].budget_left, 1.0));
    assert!(report.summaries[2].alerts.is_empty());
    // Refusals for lack of budget aren't counted.
    assert_eq!(report.summaries[1].tally.objective_total(), 150);
}

#[test]
fn html_page_is_self_contained_and_escapes_names() {
    let mut slots = slots();
    let tallies = slots.get_mut(&1_100).unwrap();
    tallies.insert("<script>".to_owned(), Tally::default());
    let report = report::build_report(&slots, 1_100, &Objective::default());
    let page = report::render_html(&report).unwrap();
    assert!(page.contains("<svg") && page.contains("&lt;script&gt;"));
    assert!(!page.contains("<script>") && !page.contains("src="));
}
