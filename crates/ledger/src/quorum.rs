//! The number of witnesses that must record a spend limit, and those that prove it when
//! the lease has ended.
//!
//! An entry without a disk records each limit at [`copies`] of its lease's witnesses. Any
//! set of witnesses that lacks fewer than that contains one that has the latest limit, so a
//! lease can be settled although some of their disks are lost.
//!
//! An entry with a disk of its own records its limit there, and at the other witnesses a
//! higher one that covers seconds of demand. Its own disk proves the limit, and the others
//! bound it if that disk is lost. The entry can spend for some time without them.

use base::KeeperId;

/// Returns how many of `count` witnesses must record a limit.
#[must_use]
pub fn copies(count: usize) -> usize {
    count.div_ceil(2)
}

/// Returns the limit that settling a lease can't miss, where `recorded` is the highest limit
/// known to be on a witness's disk. `own` is the replica on the entry's own disk, if any.
#[must_use]
pub fn proven_limit(
    own: Option<KeeperId>,
    witnesses: &[KeeperId],
    recorded: impl Fn(KeeperId) -> u64,
) -> u64 {
    let own = own.filter(|id| witnesses.contains(id));
    let others = witnesses.iter().copied().filter(|&id| Some(id) != own);
    let mut limits: Vec<u64> = others.map(&recorded).collect();
    limits.sort_unstable_by(|a, b| b.cmp(a));
    let at_others = copies(limits.len())
        .checked_sub(1)
        .and_then(|index| limits.get(index).copied());
    match (own.map(recorded), at_others) {
        (Some(at_own), Some(at_others)) => at_own.min(at_others),
        (at_own, at_others) => at_own.or(at_others).unwrap_or(0),
    }
}

/// Returns the witnesses whose limits, at most, settle an ended lease: all of them must
/// answer. Returns `None` if too many disks are lost, so that all granted tokens count as
/// spent.
#[must_use]
pub fn settling_witnesses(
    own: Option<KeeperId>,
    witnesses: &[KeeperId],
    is_lost: impl Fn(KeeperId) -> bool,
) -> Option<Vec<KeeperId>> {
    let own = own.filter(|id| witnesses.contains(id));
    if let Some(own) = own
        && !is_lost(own)
    {
        return Some(vec![own]);
    }
    let others: Vec<KeeperId> = witnesses
        .iter()
        .copied()
        .filter(|&id| Some(id) != own)
        .collect();
    let present: Vec<KeeperId> = others.iter().copied().filter(|&id| !is_lost(id)).collect();
    let lost = others.len() - present.len();
    (lost < copies(others.len())).then_some(present)
}
