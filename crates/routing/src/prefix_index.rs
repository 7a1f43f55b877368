//! The endpoints that are likely to cache a prompt prefix, from recent dispatches.
//!
//! Cache events arrive late and with gaps, so the index records only where a prefix was
//! sent recently, and its records expire on their own.

use base::Map;
use base::Span;
use base::Time;

use crate::endpoint_table::Slot;

/// Time after its last use in which a prefix counts as cached.
const PREFIX_TTL: Span = Span::secs(120);

/// Maximum number of prefixes in the index.
const MAX_PREFIXES: usize = 65_536;

/// Maximum number of endpoints recorded for one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Holder {
    slot: Slot,
    last_used: Time,
}

/// An index from prefix hashes to endpoints.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    holders_by_prefix: Map<u64, Vec<Holder>>,
}

impl PrefixIndex {
    /// Returns the endpoints that are likely to cache `prefix`, most recently used first.
    pub fn holders(&self, prefix: u64, now: Time) -> impl Iterator<Item = Slot> + '_ {
        let holders = self
            .holders_by_prefix
            .get(&prefix)
            .map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .filter(move |holder| now.since(holder.last_used) < PREFIX_TTL)
            .map(|holder| holder.slot)
    }

    /// Records that a prompt with `prefix` was sent to `slot`.
    pub fn record_use(&mut self, prefix: u64, slot: Slot, now: Time) {
        if self.holders_by_prefix.len() >= MAX_PREFIXES
            && !self.holders_by_prefix.contains_key(&prefix)
        {
            self.evict_older_half(now);
        }
        let holders = self.holders_by_prefix.entry(prefix).or_default();
        holders.retain(|holder| holder.slot != slot);
        holders.insert(
            0,
            Holder {
                slot,
                last_used: now,
            },
        );
        holders.truncate(MAX_HOLDERS_PER_PREFIX);
    }

    /// Records that an endpoint has evicted `prefix` from its cache.
    pub fn record_eviction(&mut self, prefix: u64, slot: Slot) {
        if let Some(holders) = self.holders_by_prefix.get_mut(&prefix) {
            holders.retain(|holder| holder.slot != slot);
        }
    }

    /// Removes the least recently used half of the prefixes.
    fn evict_older_half(&mut self, now: Time) {
        let mut ages: Vec<Span> = self
            .holders_by_prefix
            .values()
            .map(|holders| time_since_use(holders, now))
            .collect();
        let midpoint = ages.len() / 2;
        let (_, median, _) = ages.select_nth_unstable(midpoint);
        let median = *median;
        self.holders_by_prefix
            .retain(|_, holders| time_since_use(holders, now) < median);
    }
}

fn time_since_use(holders: &[Holder], now: Time) -> Span {
    holders
        .first()
        .map_or(PREFIX_TTL, |holder| now.since(holder.last_used))
}
