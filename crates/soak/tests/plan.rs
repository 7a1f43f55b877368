//! The plan of a seed: which faults it contains, and when.

use soak::plan;
use soak::plan::DISK_PROCESS_COUNT;
use soak::plan::Fault;

/// Returns the process of a fault and the time for which it may be unavailable or still
/// catching up, in milliseconds.
fn outage(fault: &Fault) -> Option<(usize, u64)> {
    match *fault {
        Fault::Kill(n, ms) | Fault::KillAndWipe(n, ms) | Fault::Suspend(n, ms) => Some((n, ms)),
        Fault::Stop(n) => Some((n, 2_500)),
        Fault::KillAll(_) | Fault::Reload(_) | Fault::Link(..) | Fault::Configure(_) => None,
    }
}

#[test]
fn at_most_one_process_with_a_disk_is_unavailable_at_a_time() {
    for seed in 0..300 {
        let mut free = 0;
        for (at, fault) in plan::generate(seed, 60_000) {
            if let Some((place, ms)) =
                outage(&fault).filter(|(place, _)| *place < DISK_PROCESS_COUNT)
            {
                assert!(
                    at >= free,
                    "seed {seed}: {fault} at {at} while {place} is away"
                );
                free = at + ms;
            }
            if let Fault::KillAndWipe(place, _) = fault {
                assert!(place < DISK_PROCESS_COUNT, "only a disk is wiped");
            }
        }
    }
}

#[test]
fn every_fifth_seed_has_planned_operations_only() {
    for seed in (0..300).step_by(5) {
        assert!(plan::is_planned_only(seed));
        for (_, fault) in plan::generate(seed, 60_000) {
            let planned = matches!(
                fault,
                Fault::Stop(_) | Fault::Reload(_) | Fault::Configure(_)
            );
            assert!(planned, "seed {seed}: {fault}");
        }
    }
}

#[test]
fn a_seed_determines_its_plan() {
    assert_eq!(plan::generate(7, 20_000), plan::generate(7, 20_000));
    assert_ne!(plan::generate(7, 20_000), plan::generate(8, 20_000));
}

#[test]
fn series_have_planned_operations_and_stop_no_process_with_a_disk() {
    for seed in 0..300 {
        let series = plan::series(seed, 60_000);
        assert!(!series.is_empty());
        for (at, fault) in series {
            let allowed = match fault {
                Fault::Stop(process) => process >= DISK_PROCESS_COUNT,
                Fault::Reload(_) | Fault::Configure(_) => true,
                _ => false,
            };
            assert!(allowed, "seed {seed}: {fault} at {at}");
        }
    }
}

/// Guards against a plan that loses more disks than the processes bear: one that was lost shortly
/// before or after the end of all processes hasn't caught up.
#[test]
fn blackouts_come_apart_from_lost_disks_and_not_beside_planned_operations() {
    let mut count = 0;
    for seed in 0..200 {
        let mut faults = plan::generate(seed, 40_000);
        plan::add_blackouts(&mut faults, seed, 40_000);
        assert!(faults.is_sorted_by_key(|&(at, _)| at));
        let times = |wanted: fn(&Fault) -> bool| {
            let found = faults.iter().filter(move |(_, fault)| wanted(fault));
            found.map(|&(at, _)| at)
        };
        let blackouts: Vec<u64> = times(|fault| matches!(fault, Fault::KillAll(_))).collect();
        assert_eq!(blackouts.is_empty(), plan::is_planned_only(seed));
        count += blackouts.len();
        for lost in times(|fault| matches!(fault, Fault::KillAndWipe(..))) {
            assert!(blackouts.iter().all(|at| at.abs_diff(lost) >= 5_000));
        }
    }
    assert!(count > 200, "{count} blackouts");
}
