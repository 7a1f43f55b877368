//! The witnesses that must record a spend limit, and those that prove it when the lease
//! has ended.
//!
//! An entry's limit is on one disk: its own, or that of any witness. If that disk may be
//! lost, a second limit bounds the first: the *reserve*, which is higher, changes rarely and
//! is on several witnesses' disks. A lease is settled by its limit if no disk that may have
//! it is lost, otherwise by its reserve.
//!
//! Load pattern: entries are partitioned from all disks but one for seconds. They go on
//! spending up to the reserve.

use base::KeeperId;

/// Distinguishes the reserve of a lease from its limit in a witness's journal.
const RESERVE_MASK: u64 = 0xa5a5_5a5a_c3c3_3c3c;

/// Returns the identity under which witnesses record the reserve of `lease`. Applied twice,
/// it returns the lease.
#[must_use]
pub fn reserve_lease(lease: u64) -> u64 {
    lease ^ RESERVE_MASK
}

/// Returns how many of `count` witnesses must record a reserve. Settling needs the answers
/// of all but fewer than that.
#[must_use]
pub fn copies(count: usize) -> usize {
    count.div_ceil(2)
}

/// The highest limits of a team that a witness has recorded, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordedLimits {
    /// The spend limit.
    pub spend: u64,
    /// The reserve.
    pub reserve: u64,
}

/// The witnesses that settle an ended lease: all of them must answer, and the highest limit
/// among the answers counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// By the spend limits that these have recorded.
    Spend(Vec<KeeperId>),
    /// By the reserves that these have recorded.
    Reserve(Vec<KeeperId>),
}

impl Settlement {
    /// Returns the bounds of what was spent, by team, from the highest recorded limits.
    /// `None` if all that was granted counts: without a reserve, nothing bounds what a lost
    /// disk may have had.
    #[must_use]
    pub fn bound(&self, limits: Vec<(String, u64)>) -> Option<Vec<(String, u64)>> {
        let is_bounded = matches!(self, Self::Spend(_)) || !limits.is_empty();
        is_bounded.then_some(limits)
    }
}

/// Returns the witnesses other than the replica on the entry's own disk.
fn others(own: Option<KeeperId>, witnesses: &[KeeperId]) -> impl Iterator<Item = KeeperId> + '_ {
    witnesses.iter().copied().filter(move |&id| Some(id) != own)
}

/// Returns the reserve of a team that enough witnesses have; `None` if there are no
/// witnesses besides the entry's own disk.
pub fn proven_reserve(
    own: Option<KeeperId>,
    witnesses: &[KeeperId],
    recorded: impl Fn(KeeperId) -> RecordedLimits,
) -> Option<u64> {
    let mut reserves: Vec<u64> = others(own, witnesses)
        .map(|id| recorded(id).reserve)
        .collect();
    reserves.sort_unstable_by(|a, b| b.cmp(a));
    reserves
        .get(copies(reserves.len()).checked_sub(1)?)
        .copied()
}

/// Returns the limit of a team up to which any [`settlement`] counts what is spent. `own` is
/// the replica on the entry's own disk, if any.
pub fn proven_limit(
    own: Option<KeeperId>,
    witnesses: &[KeeperId],
    recorded: impl Fn(KeeperId) -> RecordedLimits,
) -> u64 {
    let own = own.filter(|id| witnesses.contains(id));
    let spend = match own {
        Some(own) => recorded(own).spend,
        None => witnesses
            .iter()
            .map(|&id| recorded(id).spend)
            .max()
            .unwrap_or(0),
    };
    proven_reserve(own, witnesses, recorded).map_or(spend, |reserve| spend.min(reserve))
}

/// Returns how to settle an ended lease, or `None` if too many disks are lost, so that all
/// granted tokens count as spent.
#[must_use]
pub fn settlement(
    own: Option<KeeperId>,
    witnesses: &[KeeperId],
    is_lost: impl Fn(KeeperId) -> bool,
) -> Option<Settlement> {
    if witnesses.is_empty() {
        return None;
    }
    let own = own.filter(|id| witnesses.contains(id));
    match own {
        Some(own) if !is_lost(own) => return Some(Settlement::Spend(vec![own])),
        None if !witnesses.iter().any(|&id| is_lost(id)) => {
            return Some(Settlement::Spend(witnesses.to_vec()));
        }
        _ => {}
    }
    let present: Vec<KeeperId> = others(own, witnesses).filter(|&id| !is_lost(id)).collect();
    let count = others(own, witnesses).count();
    (count - present.len() < copies(count)).then_some(Settlement::Reserve(present))
}
