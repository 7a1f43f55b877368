//! The faults of seeds.

use soak::plan;
use soak::plan::DISKS;
use soak::plan::Fault;

/// Time in which a process with a disk may be away or behind after a fault.
fn away(fault: &Fault) -> Option<(usize, u64)> {
    match *fault {
        Fault::Kill(n, ms) | Fault::Wipe(n, ms) | Fault::Freeze(n, ms) => Some((n, ms)),
        Fault::Stop(n) => Some((n, 2_500)),
        Fault::Reload(_) | Fault::Link(..) | Fault::Configure(_) => None,
    }
}

#[test]
fn one_disk_is_away_at_a_time() {
    for seed in 0..300 {
        let mut free = 0;
        for (at, fault) in plan::draw(seed, 60_000) {
            if let Some((place, ms)) = away(&fault).filter(|(place, _)| *place < DISKS) {
                assert!(
                    at >= free,
                    "seed {seed}: {fault} at {at} while {place} is away"
                );
                free = at + ms;
            }
            if let Fault::Wipe(place, _) = fault {
                assert!(place < DISKS, "only a disk is wiped");
            }
        }
    }
}

#[test]
fn every_fifth_seed_is_planned_work_only() {
    for seed in (0..300).step_by(5) {
        assert!(plan::planned_only(seed));
        for (_, fault) in plan::draw(seed, 60_000) {
            let planned = matches!(
                fault,
                Fault::Stop(_) | Fault::Reload(_) | Fault::Configure(_)
            );
            assert!(planned, "seed {seed}: {fault}");
        }
    }
}

#[test]
fn a_seed_names_its_faults() {
    assert_eq!(plan::draw(7, 20_000), plan::draw(7, 20_000));
    assert_ne!(plan::draw(7, 20_000), plan::draw(8, 20_000));
}
