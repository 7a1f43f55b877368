//! Which endpoints are likely to cache a prompt's prefix.
//!
//! Cache events come late and with gaps, so the index only remembers where a
//! prefix was sent lately and forgets it by itself.

use base::Map;
use base::Span;
use base::Time;

use crate::table::Slot;

/// How long a prefix counts as cached after its last use.
const MEMORY: Span = Span::secs(120);

/// Most prefixes remembered.
const MOST: usize = 65_536;

/// Endpoints remembered for one prefix.
const HOLDERS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Holder {
    slot: Slot,
    used: Time,
}

/// The index of prefixes.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    table: Map<u64, Vec<Holder>>,
}

impl Prefixes {
    /// Returns the endpoints likely to hold `prefix`, the latest used first.
    pub fn holders(&self, prefix: u64, now: Time) -> impl Iterator<Item = Slot> + '_ {
        let holders = self.table.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .filter(move |holder| now.since(holder.used) < MEMORY)
            .map(|holder| holder.slot)
    }

    /// Notes that `slot` was given a prompt with `prefix`.
    pub fn used(&mut self, prefix: u64, slot: Slot, now: Time) {
        if self.table.len() >= MOST && !self.table.contains_key(&prefix) {
            self.forget(now);
        }
        let holders = self.table.entry(prefix).or_default();
        holders.retain(|holder| holder.slot != slot);
        holders.insert(0, Holder { slot, used: now });
        holders.truncate(HOLDERS);
    }

    /// Notes that an endpoint has dropped `prefix`.
    pub fn dropped(&mut self, prefix: u64, slot: Slot) {
        if let Some(holders) = self.table.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Drops the older half of what is remembered.
    fn forget(&mut self, now: Time) {
        let mut ages: Vec<Span> = self.table.values().map(|h| age(h, now)).collect();
        let middle = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(middle);
        let median = *median;
        self.table.retain(|_, holders| age(holders, now) < median);
    }
}

fn age(holders: &[Holder], now: Time) -> Span {
    holders
        .first()
        .map_or(MEMORY, |holder| now.since(holder.used))
}
