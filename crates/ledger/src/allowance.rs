//! One total for each team, granted to entries under leases.
//!
//! This is replicated state, changed by the demands of entries, which lose their
//! memory when their process ends. Grants and returns under a lease are cumulative
//! sums that never decrease, so a lost, late or duplicate message changes nothing.
//!
//! An entry charges no more than its spend limit, and each limit is on the disks of
//! enough of the lease's witnesses before it is used (see [`quorum`](crate::quorum)). When
//! the lease has ended, its witnesses are asked for their marks and accept no further mark
//! under the lease. The highest mark bounds what the entry can have spent, and the rest is
//! unallocated again. If too many witnesses' disks are lost, all granted tokens count as
//! spent.
//!
//! ```text
//! total = unallocated + settled + sum of (granted - returned) over leases
//! ```

use std::collections::BTreeMap;

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;

/// Fraction of the unspent tokens, as (numerator, denominator), that leases share in
/// proportion to demand when tokens are scarce. The rest serves requests that lack
/// tokens, and it remains when a disk is lost that holds the marks of most leases.
const FAIR_SHARE_RATIO: (u64, u64) = (7, 10);

/// Log time after which a lease without draws is closed, in milliseconds. Longer than
/// any partition that an entry must survive with its grants.
const LEASE_TIMEOUT_MS: u64 = 120_000;

/// Cumulative sums under one lease for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Grant {
    granted: u64,
    returned: u64,
    /// Tokens that the entry has reported as spent; the rest may be spent too.
    spent: u64,
    /// Tokens that the entry has reported as charged: spent, or reserved for running
    /// requests.
    charged: u64,
    /// The number of unused tokens that the entry wants to hold.
    target: u64,
}

impl Grant {
    /// Returns the tokens that the entry can still spend, as far as the ledger knows.
    fn held(&self) -> u64 {
        self.granted - self.returned - self.spent
    }

    /// Returns the tokens that the entry can still charge, as far as the ledger knows.
    fn unused(&self) -> u64 {
        (self.granted - self.returned).saturating_sub(self.charged)
    }
}

/// A team's account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Account {
    total: u64,
    settled: u64,
    grants: BTreeMap<u64, Grant>,
}

impl Account {
    fn allocated(&self) -> u64 {
        let open: u64 = self.grants.values().map(|g| g.granted - g.returned).sum();
        self.settled + open
    }

    fn unallocated(&self) -> u64 {
        self.total.saturating_sub(self.allocated())
    }

    fn held(&self) -> u64 {
        self.grants.values().map(Grant::held).sum()
    }

    /// Returns how many unused tokens a lease with the given `target` should hold: the
    /// target, or a proportional share of the unspent tokens when all targets together
    /// exceed them.
    fn fair_share(&self, target: u64) -> u64 {
        let total_target: u128 = self.grants.values().map(|g| u128::from(g.target)).sum();
        let (numerator, denominator) = FAIR_SHARE_RATIO;
        let unused: u64 = self.grants.values().map(Grant::unused).sum();
        let shareable = u128::from(self.unallocated() + unused) * u128::from(numerator)
            / u128::from(denominator);
        if total_target <= shareable {
            return target;
        }
        let share = shareable * u128::from(target) / total_target;
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}

/// A lease under which an entry draws tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's identity, chosen by the entry and never reused.
    pub id: u64,
    /// Identifies the holding process's position; a new lease of the same holder ends
    /// the earlier one.
    pub holder: u64,
    /// The number of changes of the set of witnesses.
    pub witness_version: u32,
    /// The replicas that may record the entry's marks.
    pub witnesses: Vec<KeeperId>,
}

/// An entry's spend limits, as cumulative sums that never decrease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HighWaterMark {
    /// The lease.
    pub lease: u64,
    /// Each team's name and its limit, in tokens.
    pub limits: Vec<(String, u64)>,
}

/// An entry's demand for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: String,
    /// The number of unused tokens that the entry wants to hold.
    pub target: u64,
    /// The sum of grants below which a waiting request is refused.
    pub required: u64,
    /// The sum of tokens that the entry has returned.
    pub returned: u64,
    /// The sum of tokens that ended requests have used.
    pub spent: u64,
    /// The tokens charged: spent, or reserved for running requests.
    pub charged: u64,
}

/// The ledger's reply to one demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The team.
    pub team: String,
    /// The sum of grants under the lease.
    pub granted: u64,
    /// The number of unused tokens that the entry should hold.
    pub fair_share: u64,
    /// Tokens that no lease holds.
    pub unallocated: u64,
    /// Tokens that aren't spent, as far as the ledger knows, without those that the
    /// entry itself holds.
    pub unspent: u64,
}

/// A lease that isn't closed yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OpenLease {
    holder: u64,
    witness_version: u32,
    witnesses: Vec<KeeperId>,
    /// When the holder last drew under it, in log time.
    last_used: u64,
    /// Whether its holder has begun a later lease.
    ended: bool,
}

/// A lease that has ended and isn't closed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedLease {
    /// The lease's identity.
    pub lease: u64,
    /// Identifies the position of the process that held it.
    pub holder: u64,
    /// The replicas whose marks bound what the entry has spent.
    pub witnesses: Vec<KeeperId>,
}

/// The state of a team's account, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// The team's total.
    pub total: u64,
    /// Tokens that are spent or held by leases.
    pub used: u64,
    /// The part of `used` that leases hold unspent, as far as the ledger knows.
    pub held: u64,
}

/// All teams' accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    accounts: BTreeMap<String, Account>,
    leases: BTreeMap<u64, OpenLease>,
    /// Closed leases with the log time of their closing; they get no further grants.
    tombstones: BTreeMap<u64, u64>,
}

impl Allowances {
    /// Sets a team's total. Tokens already allocated stay allocated.
    pub fn set_total(&mut self, team: &str, total: u64) {
        let account = self.accounts.entry(team.to_owned()).or_default();
        account.total = total;
    }

    /// Applies an entry's demands under `lease` at log time `at`, in milliseconds.
    ///
    /// Returns `None` if the lease has ended: the entry must begin another one.
    pub fn draw(&mut self, lease: &Lease, demands: &[Demand], at: u64) -> Option<Vec<GrantReply>> {
        if self.tombstones.contains_key(&lease.id) || !self.renew(lease, at) {
            return None;
        }
        let granted = demands
            .iter()
            .map(|demand| self.grant(lease.id, demand))
            .collect();
        self.close_expired(at);
        Some(granted)
    }

    /// Records that the lease is in use; returns whether it may still draw.
    fn renew(&mut self, lease: &Lease, at: u64) -> bool {
        if let Some(known) = self.leases.get_mut(&lease.id) {
            if lease.witness_version > known.witness_version && !known.ended {
                known.witness_version = lease.witness_version;
                known.witnesses.clone_from(&lease.witnesses);
            }
            known.last_used = at;
            return !known.ended;
        }
        let earlier = |(&id, open): (&u64, &OpenLease)| (open.holder == lease.holder).then_some(id);
        let earlier: Vec<u64> = self.leases.iter().filter_map(earlier).collect();
        for id in earlier {
            self.end_lease(id);
        }
        let open = OpenLease {
            holder: lease.holder,
            witness_version: lease.witness_version,
            witnesses: lease.witnesses.clone(),
            last_used: at,
            ended: false,
        };
        self.leases.insert(lease.id, open);
        true
    }

    /// Ends a lease: it gets no further grants, and its targets become zero.
    fn end_lease(&mut self, lease: u64) {
        if let Some(open) = self.leases.get_mut(&lease) {
            open.ended = true;
        }
        for account in self.accounts.values_mut() {
            if let Some(grant) = account.grants.get_mut(&lease) {
                grant.target = 0;
            }
        }
    }

    /// Closes a lease. `limits` bounds what its entry can have spent of each team's
    /// grants; without it, all of them count as spent. What the entry reported as spent
    /// counts in any case.
    ///
    /// Returns, for each team, the tokens that now count as spent beyond what the entry had
    /// reported; teams without any are left out.
    pub fn close(
        &mut self,
        lease: u64,
        limits: Option<&[(String, u64)]>,
        at: u64,
    ) -> Vec<(String, u64)> {
        let mut unproven = Vec::new();
        if self.leases.remove(&lease).is_none() {
            return unproven;
        }
        self.tombstones.insert(lease, at);
        for (team, account) in &mut self.accounts {
            let Some(grant) = account.grants.remove(&lease) else {
                continue;
            };
            let max_spent = grant.granted - grant.returned;
            let bound = limits.map(|list| {
                let found = list.iter().find(|(name, _)| name == team);
                found.map_or(0, |&(_, limit)| limit)
            });
            let spent = bound.map_or(max_spent, |bound| bound.max(grant.spent).min(max_spent));
            account.settled += spent;
            if spent > grant.spent {
                unproven.push((team.clone(), spent - grant.spent));
            }
        }
        unproven
    }

    /// Returns the leases to close: those that have ended, and those last used before
    /// log time `at` that `live` doesn't name.
    #[must_use]
    pub fn ended_leases(&self, at: u64, live: &[u64]) -> Vec<EndedLease> {
        let is_due = |(lease, open): &(&u64, &OpenLease)| {
            open.ended || (open.last_used < at && !live.contains(lease))
        };
        let due = self.leases.iter().filter(is_due);
        due.map(|(&lease, open)| EndedLease {
            lease,
            holder: open.holder,
            witnesses: open.witnesses.clone(),
        })
        .collect()
    }

    /// Returns whether `lease` is closed.
    #[must_use]
    pub fn is_closed(&self, lease: u64) -> bool {
        self.tombstones.contains_key(&lease)
    }

    fn grant(&mut self, lease: u64, demand: &Demand) -> GrantReply {
        let account = self.accounts.entry(demand.team.clone()).or_default();
        let grant = account.grants.entry(lease).or_default();
        // An entry can't return more than it was granted.
        grant.returned = grant.returned.max(demand.returned.min(grant.granted));
        let net_granted = grant.granted - grant.returned;
        grant.spent = grant.spent.max(demand.spent).min(net_granted);
        grant.charged = demand.charged;
        grant.target = demand.target;
        let granted = grant.granted;
        let (own_held, unused) = (grant.held(), grant.unused());
        let fair_share = account.fair_share(demand.target);
        let unallocated = account.unallocated();
        let required = demand.required.saturating_sub(granted);
        let added = fair_share
            .saturating_sub(unused)
            .max(required)
            .min(unallocated);
        if let Some(grant) = account.grants.get_mut(&lease) {
            grant.granted += added;
        }
        GrantReply {
            team: demand.team.clone(),
            granted: granted + added,
            fair_share,
            unallocated: unallocated - added,
            unspent: unallocated - added + account.held() - own_held - added,
        }
    }

    /// Closes leases without a draw for [`LEASE_TIMEOUT_MS`]; all that they hold counts
    /// as spent.
    fn close_expired(&mut self, at: u64) {
        let silent = |(_, open): &(&u64, &OpenLease)| open.last_used + LEASE_TIMEOUT_MS < at;
        let expired: Vec<u64> = self.leases.iter().filter(silent).map(|(&l, _)| l).collect();
        for lease in expired {
            self.close(lease, None, at);
        }
    }

    /// Returns the balances of all teams, by name.
    pub fn balances(&self) -> impl Iterator<Item = (&str, Balance)> {
        self.accounts.iter().map(|(team, account)| {
            let balance = Balance {
                total: account.total,
                used: account.allocated(),
                held: account.held(),
            };
            (team.as_str(), balance)
        })
    }

    /// Returns the tokens of `team` that are spent or held by leases.
    #[must_use]
    pub fn allocated(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::allocated)
    }

    /// Returns the tokens of `team`'s total that no lease holds.
    #[must_use]
    pub fn unallocated(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::unallocated)
    }
}
