//! Which failure domains are evacuated.
//!
//! Orders are committed one after the other in the replicated log, and each one that changes
//! the set increases its revision. Of two sets the one with the higher revision is newer, so
//! processes may exchange sets in any order.

use std::collections::BTreeSet;

use base::Map;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

/// The evacuated failure domains after some number of orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// The number of orders that have changed the set.
    pub revision: u64,
    /// The evacuated domains.
    pub domains: BTreeSet<String>,
}

impl EvacuationSet {
    /// Applies an order to evacuate `domain`, or to withdraw its evacuation. An order that
    /// changes nothing leaves the revision as it is, so that it can be sent again.
    pub fn apply_order(&mut self, domain: &str, evacuated: bool) {
        let changed = if evacuated {
            self.domains.insert(domain.to_owned())
        } else {
            self.domains.remove(domain)
        };
        self.revision += u64::from(changed);
    }

    /// Returns whether `domain` is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }
}

/// The change that a newer set brings to a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The domains that are evacuated from now on.
    pub ordered: Vec<String>,
    /// The domains whose evacuation is withdrawn.
    pub withdrawn: Vec<String>,
}

/// The newest set that a process knows.
#[derive(Clone, Debug, Default)]
pub struct KnownEvacuations {
    set: EvacuationSet,
    confirmed: bool,
    /// When the process learned of the last withdrawal for each domain.
    withdrawals: Map<String, Time>,
}

impl KnownEvacuations {
    /// Replaces the set by `set` if that one is newer. Returns what changes.
    pub fn learn(&mut self, set: &EvacuationSet, now: Time) -> Option<EvacuationChange> {
        if set.revision <= self.set.revision {
            return None;
        }
        let change = EvacuationChange {
            ordered: set.domains.difference(&self.set.domains).cloned().collect(),
            withdrawn: self.set.domains.difference(&set.domains).cloned().collect(),
        };
        for domain in &change.withdrawn {
            self.withdrawals.insert(domain.clone(), now);
        }
        self.set = set.clone();
        Some(change)
    }

    /// Records that the group has confirmed the set, or a newer one that was learned.
    pub fn confirm(&mut self) {
        self.confirmed = true;
    }

    /// Returns whether the group has confirmed the set since the process started.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Returns the set.
    #[must_use]
    pub fn set(&self) -> &EvacuationSet {
        &self.set
    }

    /// Returns until when engines in `domain` are taken to be cold, whatever they announce:
    /// for `cold_time` after a withdrawal, since they may have become cold shortly before it
    /// and their announcements are late.
    #[must_use]
    pub fn presumed_cold_until(&self, domain: &str, cold_time: Span) -> Option<Time> {
        self.withdrawals.get(domain).map(|&at| at + cold_time)
    }
}
