//! Machines with a disk that are replaced for good, one after the other, at real processes.

use std::path::PathBuf;

use soak::replacements;
use soak::replacements::Manner;
use soak::replacements::Replacement;
use soak::replacements::ReplacementSettings;

fn run_replacements(seed: u64, replacements: Vec<Replacement>) {
    let base = std::env::temp_dir().join(format!("replacements-{}", std::process::id()));
    let settings = ReplacementSettings {
        seed,
        replacements,
        callers: 3,
        daemon_path: PathBuf::from(env!("CARGO_BIN_EXE_mulberryd")),
        folder: soak::run::run_folder(&base, seed),
    };
    let report = replacements::run(&settings).expect("the processes serve");
    assert!(report.breaches.is_empty(), "{report:?}");
}

/// Guards against a group without a leader for good: the successor of a machine that was held
/// up in its planned stop had not yet taken its seat when the next machine was killed.
#[test]
fn a_machine_is_lost_as_soon_as_a_planned_stop_has_ended() {
    let planned = Replacement {
        manner: Manner::Planned,
        choice: 0,
        held: true,
        pause_ms: 4_400,
    };
    let killed = Replacement {
        manner: Manner::Killed,
        choice: 0,
        held: false,
        pause_ms: 10,
    };
    run_replacements(1, vec![planned, killed]);
}

/// Guards against a group without a leader for good: a successor became a voter beside the
/// machine that it replaces.
#[test]
fn machines_are_replaced_in_manners_and_at_moments_drawn_from_a_seed() {
    run_replacements(2, replacements::generate(2, 4));
}
