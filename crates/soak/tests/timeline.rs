//! The changes and restarts of a rollout.

use soak::timeline;
use soak::timeline::Action;

#[test]
fn a_seed_determines_its_timeline() {
    let generate = |seed| timeline::generate(seed, 60_000, 8, true);
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

#[test]
fn each_killed_process_is_started_again() {
    for seed in 0..100 {
        let mut away = Vec::new();
        for (_, action) in timeline::generate(seed, 200_000, 5, true) {
            match action {
                Action::Kill(list) => away.extend(list),
                Action::Start(list) => away.retain(|n| !list.contains(n)),
                _ => {}
            }
        }
        assert!(away.is_empty(), "seed {seed}: {away:?}");
    }
}

#[test]
fn only_restarts_disturb_processes() {
    let changes = timeline::generate(7, 60_000, 8, false);
    let submits = |action: &Action| matches!(action, Action::Large | Action::Change);
    assert!(changes.iter().all(|(_, action)| submits(action)));
    let faults = timeline::generate(7, 60_000, 8, true);
    assert!(!faults.iter().all(|(_, action)| submits(action)));
}
