//! What the soak reads from the processes' logs.

use soak::logs;
use soak::logs::Line;

#[test]
fn lines_about_versions_and_leaders_are_found_with_their_times() {
    let text = "\
2026-12-05T12:44:35.090+00:00 INFO gateway: event=start name=entry-0 domain=a
2026-12-05T12:44:36.177+00:00 INFO config: event=in_force version=17 earlier=0 routes=4
2026-12-05T12:44:36.178+00:00 INFO config: event=submit version=17 outcome=acknowledged
not a line of a log
2026-12-05T23:59:59.999+00:00 INFO group: event=leader leader=None term=2 applied=175
2026-12-05T00:00:00.001+00:00 INFO group: event=leader leader=Some(KeeperId(1)) term=2
";
    let second = 1_000;
    let noon = 45_876 * second;
    let day_end = 86_400 * second - 1;
    let expected = [
        (noon - 1_000 + 90, Line::Start),
        (noon + 177, Line::InForce(17)),
        (day_end, Line::Leader { known: false }),
        (1, Line::Leader { known: true }),
    ];
    assert_eq!(logs::parse(text).collect::<Vec<_>>(), expected);
    assert_eq!(logs::elapsed(day_end, 1), 2);
}
