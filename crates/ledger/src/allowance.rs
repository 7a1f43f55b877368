//! One total for each team, handed out to entries in small grants.
//!
//! The replicated state behind entries whose memory doesn't survive them. An
//! entry's lease names all that was granted and all that was given back as sums
//! that only rise: a message that is lost, late or sent twice changes nothing.
//! What a dead entry can't prove unspent counts as spent.
//!
//! ```text
//! total = free + closed + sum of (granted - returned) over leases
//! ```

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Part of what is unspent that all entries may hold ahead, unless a request needs
/// more: what dies with entries then never takes more than this part of the rest.
const HELD_PART: u64 = 4;

/// Part of what a sealed entry holds that a crash can cost.
const SEALED_PART: u64 = 4;

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
    /// Whether the entry's disk bounds what a crash can cost.
    sealed: bool,
}

impl Grant {
    /// Returns what a crash of the entry can cost.
    fn risk(&self) -> u64 {
        if self.sealed {
            self.held() / SEALED_PART
        } else {
            self.held()
        }
    }

    /// Returns what the entry may still spend, as far as the ledger knows.
    fn held(&self) -> u64 {
        self.granted - self.returned - self.spent
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
}

/// What an entry draws under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Drawn by the entry, never twice.
    pub id: u64,
    /// Whether the entry's disk bounds what a crash can cost.
    pub sealed: bool,
}

/// An entry's demand for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The team.
    pub team: String,
    /// The sum of grants that the entry would like.
    pub want: u64,
    /// The sum of grants without which a request is refused.
    pub need: u64,
    /// The sum of what the entry has given back.
    pub returned: u64,
    /// The sum of what ended requests have used.
    pub spent: u64,
}

/// The answer to one demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The team.
    pub team: String,
    /// The sum of grants under the lease.
    pub granted: u64,
    /// Tokens that nobody holds.
    pub free: u64,
    /// Tokens that nobody has spent, as far as the ledger knows, but for what the
    /// entry itself holds.
    pub rest: u64,
}

/// All teams' accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowances {
    accounts: BTreeMap<String, Account>,
    /// When each lease was last used, in log time.
    leases: BTreeMap<u64, u64>,
    /// Leases that were closed; they're never granted anything again.
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
    /// Returns `None` where the lease was closed: the entry must begin another.
    pub fn draw(&mut self, lease: Lease, demands: &[Demand], at: u64) -> Option<Vec<Granted>> {
        if self.closed.contains_key(&lease.id) {
            return None;
        }
        self.leases.insert(lease.id, at);
        let granted = demands
            .iter()
            .map(|demand| self.grant(lease, demand))
            .collect();
        self.expire(at);
        Some(granted)
    }

    /// Closes the lease of a dead entry. `opened` bounds what it can have spent of
    /// each team's grants; without it, all of them count as spent.
    pub fn close(&mut self, lease: u64, opened: Option<&[(String, u64)]>, at: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.closed.insert(lease, at);
        for (team, account) in &mut self.accounts {
            let Some(grant) = account.grants.remove(&lease) else {
                continue;
            };
            let most = grant.granted - grant.returned;
            let bound = opened.map(|list| {
                let found = list.iter().find(|(name, _)| name == team);
                found.map_or(0, |&(_, opened)| opened)
            });
            account.closed += bound.map_or(most, |bound| bound.min(most));
        }
    }

    /// Returns the open leases that were last used before `at`.
    pub fn silent(&self, at: u64) -> impl Iterator<Item = u64> + '_ {
        let before = self.leases.iter().filter(move |(_, used)| **used < at);
        before.map(|(&lease, _)| lease)
    }

    fn grant(&mut self, lease: Lease, demand: &Demand) -> Granted {
        let account = self.accounts.entry(demand.team.clone()).or_default();
        let grant = account.grants.entry(lease.id).or_default();
        grant.sealed = lease.sealed;
        // An entry can't give back more than it was granted.
        grant.returned = grant.returned.max(demand.returned.min(grant.granted));
        let rest = grant.granted - grant.returned;
        grant.spent = grant.spent.max(demand.spent).min(rest);
        let granted = grant.granted;
        let free = account.free();
        let held: u64 = account.grants.values().map(Grant::held).sum();
        let need = demand.need.saturating_sub(granted);
        let want = demand.want.max(demand.need).saturating_sub(granted);
        let risk: u64 = account.grants.values().map(Grant::risk).sum();
        let room = ((free + held) / HELD_PART).saturating_sub(risk);
        let room = if lease.sealed {
            room * SEALED_PART
        } else {
            room
        };
        let more = want.min(room.max(need)).min(free);
        let mut own = 0;
        if let Some(grant) = account.grants.get_mut(&lease.id) {
            own = grant.held();
            grant.granted += more;
        }
        Granted {
            team: demand.team.clone(),
            granted: granted + more,
            free: free - more,
            rest: free - more + held - own,
        }
    }

    /// Closes leases that have been silent for long: what they hold is spent.
    fn expire(&mut self, at: u64) {
        let silent = |&(_, &used): &(&u64, &u64)| used + LEASE_MS < at;
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
