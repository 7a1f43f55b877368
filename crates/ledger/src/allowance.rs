//! One total for each team, handed out to entries in grants.
//!
//! The replicated state behind entries whose memory doesn't survive them. An
//! entry's lease names all that was granted and all that was given back as sums
//! that only rise: a message that is lost, late or sent twice changes nothing.
//!
//! An entry charges no more than it has opened, and what it opens is on the disk of
//! one of the lease's witnesses before. When its lease has ended, every witness is
//! asked and takes no further mark; the highest mark is what the entry can have
//! spent, and the rest is free again. Where a witness's disk is lost, all that was
//! granted counts as spent.
//!
//! ```text
//! total = free + closed + sum of (granted - returned) over leases
//! ```

use std::collections::BTreeMap;

use base::KeeperId;
use serde::Deserialize;
use serde::Serialize;

/// Part of what is unspent that leases share by demand where it is scarce. The rest is
/// for requests that are short, and outlasts the loss of a disk that most leases may
/// have marks on.
const SHARED_PART: (u64, u64) = (7, 10);

/// Log time after which a silent lease is closed, in milliseconds. Longer than any
/// partition that an entry should survive with its grants.
const LEASE_MS: u64 = 120_000;

/// Sums under one lease for one team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Grant {
    granted: u64,
    returned: u64,
    /// What the entry has said to be spent; the rest may be too.
    spent: u64,
    /// What the entry has said to be charged: spent, or kept for running requests.
    charged: u64,
    /// What the entry would like to hold.
    ahead: u64,
}

impl Grant {
    /// Returns what the entry may still spend, as far as the ledger knows.
    fn held(&self) -> u64 {
        self.granted - self.returned - self.spent
    }

    /// Returns what the entry may still charge, as far as the ledger knows.
    fn unused(&self) -> u64 {
        (self.granted - self.returned).saturating_sub(self.charged)
    }
}

/// A team's account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Account {
    total: u64,
    closed: u64,
    grants: BTreeMap<u64, Grant>,
}

impl Account {
    fn used(&self) -> u64 {
        let open: u64 = self.grants.values().map(|g| g.granted - g.returned).sum();
        self.closed + open
    }

    fn free(&self) -> u64 {
        self.total.saturating_sub(self.used())
    }

    fn held(&self) -> u64 {
        self.grants.values().map(Grant::held).sum()
    }

    /// Returns what a lease that would like to hold `ahead` should hold: all of it,
    /// or its part of what is unspent where that is less than all leases want.
    fn fair(&self, ahead: u64) -> u64 {
        let wanted: u128 = self.grants.values().map(|g| u128::from(g.ahead)).sum();
        let (part, of) = SHARED_PART;
        let unused: u64 = self.grants.values().map(Grant::unused).sum();
        let rest = u128::from(self.free() + unused) * u128::from(part) / u128::from(of);
        if wanted <= rest {
            return ahead;
        }
        let share = rest * u128::from(ahead) / wanted;
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}

/// What an entry draws under.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Drawn by the entry, never twice.
    pub id: u64,
    /// The process's place; a new lease of the same holder ends the earlier one.
    pub holder: u64,
    /// Counts the changes of the witnesses.
    pub version: u32,
    /// The replicas at which the entry may put down what it opens.
    pub witnesses: Vec<KeeperId>,
}

/// What an entry has opened of its grants, as sums that only rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The lease.
    pub lease: u64,
    /// Tokens opened of each team's grants.
    pub opened: Vec<(String, u64)>,
}

/// An entry's demand for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: String,
    /// What the entry would like to hold.
    pub ahead: u64,
    /// The sum of grants without which a request is refused.
    pub need: u64,
    /// The sum of what the entry has given back.
    pub returned: u64,
    /// The sum of what ended requests have used.
    pub spent: u64,
    /// What is charged: spent, or kept for running requests.
    pub charged: u64,
}

/// The answer to one demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The team.
    pub team: String,
    /// The sum of grants under the lease.
    pub granted: u64,
    /// What the entry should hold of what is unspent.
    pub fair: u64,
    /// Tokens that nobody holds.
    pub free: u64,
    /// Tokens that nobody has spent, as far as the ledger knows, but for what the
    /// entry itself holds.
    pub rest: u64,
}

/// A lease that isn't closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Open {
    holder: u64,
    version: u32,
    witnesses: Vec<KeeperId>,
    /// When it was last used, in log time.
    used: u64,
    /// Whether its holder has another lease now.
    ended: bool,
}

/// A lease that waits to be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Its number.
    pub lease: u64,
    /// The replicas whose marks bound what was spent.
    pub witnesses: Vec<KeeperId>,
}

/// All teams' accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    accounts: BTreeMap<String, Account>,
    leases: BTreeMap<u64, Open>,
    /// Leases that were closed, and when; they're never granted anything again.
    closed: BTreeMap<u64, u64>,
}

impl Allowances {
    /// Sets a team's total. What was used stays used.
    pub fn set_total(&mut self, team: &str, total: u64) {
        let account = self.accounts.entry(team.to_owned()).or_default();
        account.total = total;
    }

    /// Carries out an entry's demands under `lease` at log time `at`.
    ///
    /// Returns `None` where the lease has ended: the entry must begin another.
    pub fn draw(&mut self, lease: &Lease, demands: &[Demand], at: u64) -> Option<Vec<Granted>> {
        if self.closed.contains_key(&lease.id) || !self.renew(lease, at) {
            return None;
        }
        let granted = demands
            .iter()
            .map(|demand| self.grant(lease.id, demand))
            .collect();
        self.expire(at);
        Some(granted)
    }

    /// Notes that the lease is used; returns whether it's open.
    fn renew(&mut self, lease: &Lease, at: u64) -> bool {
        if let Some(known) = self.leases.get_mut(&lease.id) {
            if lease.version > known.version && !known.ended {
                known.version = lease.version;
                known.witnesses.clone_from(&lease.witnesses);
            }
            known.used = at;
            return !known.ended;
        }
        let earlier = |(&id, open): (&u64, &Open)| (open.holder == lease.holder).then_some(id);
        let earlier: Vec<u64> = self.leases.iter().filter_map(earlier).collect();
        for id in earlier {
            self.end(id);
        }
        let open = Open {
            holder: lease.holder,
            version: lease.version,
            witnesses: lease.witnesses.clone(),
            used: at,
            ended: false,
        };
        self.leases.insert(lease.id, open);
        true
    }

    /// Ends a lease: it's granted nothing more and wants nothing.
    fn end(&mut self, lease: u64) {
        if let Some(open) = self.leases.get_mut(&lease) {
            open.ended = true;
        }
        for account in self.accounts.values_mut() {
            if let Some(grant) = account.grants.get_mut(&lease) {
                grant.ahead = 0;
            }
        }
    }

    /// Closes a lease. `opened` bounds what its entry can have spent of each team's
    /// grants; without it, all of them count as spent.
    ///
    /// Returns what counts as spent that the entry had not said to be.
    pub fn close(&mut self, lease: u64, opened: Option<&[(String, u64)]>, at: u64) -> u64 {
        if self.leases.remove(&lease).is_none() {
            return 0;
        }
        self.closed.insert(lease, at);
        let mut unproven = 0;
        for (team, account) in &mut self.accounts {
            let Some(grant) = account.grants.remove(&lease) else {
                continue;
            };
            let most = grant.granted - grant.returned;
            let bound = opened.map(|list| {
                let found = list.iter().find(|(name, _)| name == team);
                found.map_or(0, |&(_, opened)| opened)
            });
            let spent = bound.map_or(most, |bound| bound.min(most));
            account.closed += spent;
            unproven += spent.saturating_sub(grant.spent);
        }
        unproven
    }

    /// Returns the leases to close: those that have ended, and those last used before
    /// `at` that `live` doesn't name.
    #[must_use]
    pub fn ended(&self, at: u64, live: &[u64]) -> Vec<Ended> {
        let over =
            |(lease, open): &(&u64, &Open)| open.ended || (open.used < at && !live.contains(lease));
        let found = self.leases.iter().filter(over);
        found
            .map(|(&lease, open)| Ended {
                lease,
                witnesses: open.witnesses.clone(),
            })
            .collect()
    }

    /// Returns whether `lease` is closed.
    #[must_use]
    pub fn is_closed(&self, lease: u64) -> bool {
        self.closed.contains_key(&lease)
    }

    fn grant(&mut self, lease: u64, demand: &Demand) -> Granted {
        let account = self.accounts.entry(demand.team.clone()).or_default();
        let grant = account.grants.entry(lease).or_default();
        // An entry can't give back more than it was granted.
        grant.returned = grant.returned.max(demand.returned.min(grant.granted));
        let most = grant.granted - grant.returned;
        grant.spent = grant.spent.max(demand.spent).min(most);
        grant.charged = demand.charged;
        grant.ahead = demand.ahead;
        let granted = grant.granted;
        let (own, unused) = (grant.held(), grant.unused());
        let fair = account.fair(demand.ahead);
        let free = account.free();
        let need = demand.need.saturating_sub(granted);
        let more = fair.saturating_sub(unused).max(need).min(free);
        if let Some(grant) = account.grants.get_mut(&lease) {
            grant.granted += more;
        }
        Granted {
            team: demand.team.clone(),
            granted: granted + more,
            fair,
            free: free - more,
            rest: free - more + account.held() - own - more,
        }
    }

    /// Closes leases that have been silent for long: what they hold is spent.
    fn expire(&mut self, at: u64) {
        let silent = |(_, open): &(&u64, &Open)| open.used + LEASE_MS < at;
        let over: Vec<u64> = self.leases.iter().filter(silent).map(|(&l, _)| l).collect();
        for lease in over {
            self.close(lease, None, at);
        }
    }

    /// Returns the sums over all teams: totals, what is used or held, and what is
    /// held as far as the ledger knows.
    #[must_use]
    pub fn sums(&self) -> (u64, u64, u64) {
        let accounts = self.accounts.values();
        accounts.fold((0, 0, 0), |(total, used, held), account| {
            let open: u64 = account.grants.values().map(Grant::held).sum();
            (total + account.total, used + account.used(), held + open)
        })
    }

    /// Returns what `team` has used or holds in grants.
    #[must_use]
    pub fn used(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::used)
    }

    /// Returns what nobody holds of `team`'s total.
    #[must_use]
    pub fn free(&self, team: &str) -> u64 {
        self.accounts.get(team).map_or(0, Account::free)
    }
}
