//! Entries' grants against the replicated allowances.

use std::collections::BTreeMap;

use base::Span;
use base::Time;
use ledger::Allowances;
use ledger::Grants;
use ledger::allowance::Demand;
use ledger::allowance::Lease;
use ledger::grants::Short;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const TEAM: &str = "team";

fn plain(id: u64) -> Lease {
    Lease { id, sealed: false }
}

fn renew(allowances: &mut Allowances, grants: &mut Grants, now: Time) {
    let demands = grants.demands(now);
    let lease = grants.lease();
    let granted = allowances.draw(grants.terms(), &demands, now.0 / 1_000);
    grants.granted(lease, &granted.expect("the lease is open"), now);
}

/// Load pattern: steady requests, and after a few seconds the entry is cut off from
/// the ledger for eight seconds.
#[test]
fn grants_outlast_a_cut() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 100_000_000);
    let mut grants = Grants::new(1, false);
    let step = Span::millis(50);
    let mut now = Time(0);
    let mut refused = 0;
    for round in 0..280 {
        now = now + step;
        let cut = (100..260).contains(&round);
        if grants.charge(TEAM, 6_000, now).is_err() {
            refused += usize::from(round > 20);
        }
        if !cut && round % 5 == 0 {
            renew(&mut allowances, &mut grants, now);
        }
    }
    assert_eq!(refused, 0, "requests refused for want of a grant");
}

#[derive(Clone, Debug)]
enum Step {
    Charge(u8, u16),
    Refund(u8, u16),
    Renew(u8),
    Repeat(u8),
    Restart(u8),
    Total(u16),
    Wait(u16),
    Seal,
    Lend(u8, u16, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 12 {
            0..=3 => Self::Charge(entry, u16::arbitrary(g) % 500),
            4 => Self::Refund(entry, u16::arbitrary(g) % 300),
            5 | 6 => Self::Renew(entry),
            7 => Self::Repeat(entry),
            8 => Self::Restart(entry),
            9 => Self::Seal,
            10 => Self::Lend(entry, u16::arbitrary(g) % 2_000, bool::arbitrary(g)),
            _ if bool::arbitrary(g) => Self::Total(u16::arbitrary(g) % 20_000),
            _ => Self::Wait(u16::arbitrary(g) % 5_000),
        }
    }
}

/// Whatever is lost, repeated or restarted, charges never pass the highest total.
fn never_overspent(steps: Vec<Step>) -> bool {
    let mut allowances = Allowances::default();
    let mut total = 10_000;
    let mut highest = total;
    allowances.set_total(TEAM, total);
    let mut next_lease = 10;
    let mut entries: Vec<Grants> = (0..3).map(|lease| Grants::new(lease, lease == 2)).collect();
    let mut last: BTreeMap<u8, (Lease, Vec<Demand>)> = BTreeMap::new();
    let mut charged = [0_u64; 3];
    let mut spent = 0;
    let mut now = Time(1);
    let mut disk: Vec<(String, u64)> = Vec::new();
    for step in steps {
        match step {
            Step::Charge(entry, amount) => {
                let at = usize::from(entry);
                if entries[at].charge(TEAM, amount.into(), now).is_ok() {
                    charged[at] += u64::from(amount);
                }
            }
            Step::Refund(entry, amount) => {
                let at = usize::from(entry);
                let amount = u64::from(amount).min(charged[at]);
                let lease = entries[at].lease();
                entries[at].settle(lease, TEAM, amount, amount / 2);
                let amount = amount - amount / 2;
                charged[at] -= amount;
            }
            Step::Renew(entry) => {
                let at = usize::from(entry);
                let demands = entries[at].demands(now);
                let terms = entries[at].terms();
                let lease = terms.id;
                if let Some(granted) = allowances.draw(terms, &demands, now.0 / 1_000) {
                    entries[at].granted(lease, &granted, now);
                }
                last.insert(entry, (terms, demands));
            }
            Step::Repeat(entry) => {
                // The answer of an earlier message arrives late or again.
                if let Some((terms, demands)) = last.get(&entry)
                    && let Some(granted) = allowances.draw(*terms, demands, now.0 / 1_000)
                {
                    entries[usize::from(entry)].granted(terms.id, &granted, now);
                }
            }
            Step::Lend(entry, amount, arrives) => {
                let from = usize::from(entry);
                let loan = entries[from].lend(TEAM, amount.into());
                if arrives {
                    entries[(from + 1) % 3].borrow(TEAM, loan);
                }
            }
            Step::Seal => {
                if let Some(marks) = entries[2].marks(now) {
                    let lease = entries[2].lease();
                    entries[2].opened(lease, &marks);
                    disk = marks;
                }
            }
            Step::Restart(entry) => {
                let at = usize::from(entry);
                spent += std::mem::take(&mut charged[at]);
                if at == 2 {
                    // What was opened on the disk bounds what was spent.
                    let lease = entries[at].lease();
                    allowances.close(lease, Some(&std::mem::take(&mut disk)), now.0 / 1_000);
                }
                entries[at] = Grants::new(next_lease, at == 2);
                next_lease += 1;
            }
            Step::Total(amount) => {
                total = u64::from(amount);
                highest = highest.max(total);
                allowances.set_total(TEAM, total);
            }
            Step::Wait(ms) => now = now + Span::millis(ms.into()),
        }
        let used: u64 = charged.iter().sum::<u64>() + spent;
        if used > highest || allowances.used(TEAM) > highest || used > allowances.used(TEAM) {
            return false;
        }
    }
    true
}

#[test]
fn histories_never_overspend() {
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(3_000);
    check.quickcheck(never_overspent as fn(Vec<Step>) -> bool);
}

#[test]
fn a_closed_lease_is_granted_nothing() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 1_000);
    let demand = Demand {
        team: TEAM.to_owned(),
        want: 200,
        need: 200,
        returned: 0,
        spent: 0,
    };
    let first = allowances.draw(plain(1), std::slice::from_ref(&demand), 0);
    assert_eq!(first.expect("open")[0].granted, 200);
    // Another lease is used long after; the first one has been silent.
    let _ = allowances.draw(plain(2), &[], 200_000);
    assert_eq!(allowances.draw(plain(1), &[demand], 200_001), None);
    assert_eq!(allowances.used(TEAM), 200, "what it held counts as spent");
}

/// Load pattern: entries are stopped in turn, each with grants for seconds ahead.
#[test]
fn a_planned_stop_gives_grants_back() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 1_000_000);
    let mut now = Time(0);
    let mut used = 0;
    for lease in 1..=8 {
        let mut grants = Grants::new(lease, false);
        for _ in 0..20 {
            now = now + Span::millis(100);
            if grants.charge(TEAM, 1_000, now).is_ok() {
                grants.settle(lease, TEAM, 1_000, 600);
                used += 600;
            }
            renew(&mut allowances, &mut grants, now);
        }
        let demands = grants.close();
        let closed = allowances.draw(plain(lease), &demands, now.0 / 1_000);
        assert!(closed.is_some(), "the lease is open");
    }
    assert_eq!(allowances.used(TEAM), used);
}

/// Load pattern: all entries are killed again and again; what dies with them must
/// leave most of the rest.
#[test]
fn deaths_take_a_part_of_the_rest() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 1_000_000);
    let mut now = Time(0);
    for round in 0..3_u64 {
        let mut entries: Vec<Grants> = (0..6)
            .map(|n| Grants::new(100 * round + n, false))
            .collect();
        for _ in 0..40 {
            now = now + Span::millis(100);
            for grants in &mut entries {
                let lease = grants.lease();
                if grants.charge(TEAM, 900, now).is_ok() {
                    grants.settle(lease, TEAM, 900, 500);
                }
                renew(&mut allowances, grants, now);
            }
        }
    }
    let served = 3 * 40 * 6 * 500;
    let rest = 1_000_000 - served;
    assert!(
        allowances.free(TEAM) > rest / 3,
        "free {} of a rest of {rest}",
        allowances.free(TEAM)
    );
}

/// Load pattern: a team's total is nearly used; large requests don't fit any more,
/// small ones do and must not wait behind them.
#[test]
fn small_requests_pass_large_ones_that_do_not_fit() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 5_000);
    let mut grants = Grants::new(1, false);
    let mut now = Time(0);
    let mut small = 0;
    for _ in 0..10 {
        now = now + Span::millis(50);
        let large = grants.charge(TEAM, 20_000, now);
        assert_ne!(large, Ok(()));
        small += usize::from(grants.charge(TEAM, 400, now).is_ok());
        renew(&mut allowances, &mut grants, now);
    }
    assert!(small >= 9, "{small} small requests were charged");
    assert_eq!(grants.charge(TEAM, 20_000, now), Err(Short::Exhausted));
}

/// What other entries hold unspent isn't spent: a refusal must not say so.
#[test]
fn what_others_hold_is_not_exhausted() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 5_000);
    let mut one = Grants::new(1, false);
    let mut two = Grants::new(2, false);
    let now = Time(1);
    let _ = one.charge(TEAM, 4_500, now);
    renew(&mut allowances, &mut one, now);
    let _ = two.charge(TEAM, 2_000, now);
    renew(&mut allowances, &mut two, now);
    assert_eq!(two.charge(TEAM, 2_000, now), Err(Short::Held));
    assert_eq!(two.charge(TEAM, 6_000, now), Err(Short::Exhausted));
}

/// Load pattern: an entry with a disk is killed while it holds grants for seconds.
#[test]
fn a_crash_costs_sealed_grants_little() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 1_000_000);
    let mut grants = Grants::new(1, true);
    let mut now = Time(0);
    let mut disk = Vec::new();
    let mut used = 0;
    let mut refused = 0;
    for round in 0..60 {
        now = now + Span::millis(100);
        if grants.charge(TEAM, 1_000, now).is_ok() {
            grants.settle(1, TEAM, 1_000, 600);
            used += 600;
        } else {
            refused += usize::from(round > 5);
        }
        renew(&mut allowances, &mut grants, now);
        if let Some(marks) = grants.marks(now) {
            grants.opened(1, &marks);
            disk = marks;
        }
    }
    let before = allowances.used(TEAM);
    allowances.close(1, Some(&disk), now.0 / 1_000);
    let lost = allowances.used(TEAM) - used;
    assert_eq!(refused, 0, "requests refused for want of an opened grant");
    assert!(lost < 25_000, "{lost} lost of {} held", before - used);
    assert!(before - used > 60_000, "the held holds seconds of demand");
}

/// Load pattern: one entry gets most of the callers while no entry reaches the
/// ledger; the others hold what it lacks.
#[test]
fn a_busy_entry_borrows_in_a_cut() {
    let mut allowances = Allowances::default();
    allowances.set_total(TEAM, 10_000_000);
    let mut busy = Grants::new(1, false);
    let mut calm = Grants::new(2, false);
    let mut now = Time(0);
    let mut refused = 0;
    for round in 0..120 {
        now = now + Span::millis(100);
        let cut = round >= 50;
        let rate = if cut { 4 } else { 1 };
        for _ in 0..rate {
            refused += usize::from(cut && busy.charge(TEAM, 1_000, now).is_err());
        }
        if cut {
            for (team, amount) in busy.wishes(now) {
                let loan = calm.lend(&team, amount);
                busy.borrow(&team, loan);
            }
        } else {
            let _ = busy.charge(TEAM, 1_000, now);
            for _ in 0..4 {
                let _ = calm.charge(TEAM, 1_000, now);
            }
            renew(&mut allowances, &mut busy, now);
            renew(&mut allowances, &mut calm, now);
        }
    }
    assert!(refused < 20, "{refused} of 280 refused");
}
