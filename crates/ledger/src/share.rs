//! A keeper's share of the budgets.
//!
//! The share belongs to one keeper and lives on its disk. It has no clock of its
//! own: a keeper that is cut off spends on what it holds. Each change is an
//! [`Event`], which the keeper writes to its journal before it answers. What the
//! ledger has allotted is read from the keeper's own replica of the log.

use std::collections::BTreeMap;

use base::AgentId;
use base::KeeperId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::TeamId;
use base::Tokens;
use serde::Deserialize;
use serde::Serialize;

use crate::central::Batch;
use crate::central::Ledger;
use crate::central::Move;
use crate::topup::Home;
use crate::topup::TopUp;
use crate::topup::TopUpId;

/// Least amount worth asking for to stand ready.
const LEAST_EXTRA: Tokens = Tokens(300);

/// Largest number of moves in one batch.
const MAX_MOVES: usize = 4096;

/// What an agent or entry says a request has used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The lease under which the request was reserved.
    pub lease: LeaseId,
    /// The request.
    pub request: RequestId,
    /// The team that pays.
    pub team: TeamId,
    /// Prompt and generated tokens together.
    pub amount: Tokens,
}

/// The answer to a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bill {
    /// The request is billed this many tokens, now or by an earlier receipt.
    Billed(Tokens),
    /// The lease is closed: all that it held is accounted for.
    Closed,
    /// The receipt names more tokens than the lease holds.
    Overdrawn,
}

/// A change of the share, journaled before its effect is seen outside.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// Tokens are granted to a lease.
    Granted {
        /// The lease.
        lease: LeaseId,
        /// The team.
        team: TeamId,
        /// The tokens added to the grant.
        amount: Tokens,
    },
    /// A lease has given back tokens.
    Returned {
        /// The lease.
        lease: LeaseId,
        /// The team.
        team: TeamId,
        /// All tokens given back so far.
        total: Tokens,
    },
    /// A request is billed.
    Billed(Receipt),
    /// A lease holds nothing any more; the rest of its grants is free again.
    Closed(LeaseId),
    /// A top-up that names this keeper is accepted.
    Credited(TopUp),
    /// A batch is formed for the ledger.
    Posted(Batch),
    /// An agent has announced itself; from now on it can hold receipts.
    Met(AgentId),
    /// An agent has stopped after all its receipts were answered.
    Left(AgentId),
    /// An agent's process is gone; receipts that it held are lost with it.
    Lost(AgentId),
}

/// One team's grant to one lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// All tokens granted.
    pub granted: Tokens,
    /// All tokens given back.
    pub returned: Tokens,
    /// All tokens billed.
    pub billed: Tokens,
}

impl Grant {
    /// Returns the tokens that the lease still holds.
    #[must_use]
    pub fn held(&self) -> Tokens {
        self.granted
            .saturating_sub(self.returned)
            .saturating_sub(self.billed)
    }
}

/// One lease's grants and bills.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    opened: u64,
    grants: BTreeMap<TeamId, Grant>,
    bills: Map<RequestId, Tokens>,
}

/// One team's part of the share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Pot {
    credited: Tokens,
    returned: Tokens,
    settled: Tokens,
    granted: Tokens,
}

/// A keeper's share of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    keeper: KeeperId,
    pots: Map<TeamId, Pot>,
    leases: Map<LeaseId, Lease>,
    topups: Map<TopUpId, (TeamId, Tokens)>,
    pending: Vec<Move>,
    batch: Option<Batch>,
    number: u64,
    agents: BTreeMap<AgentId, Option<u64>>,
    serial: u64,
}

impl Share {
    /// Returns the empty share of `keeper`.
    #[must_use]
    pub fn new(keeper: KeeperId) -> Self {
        Self {
            keeper,
            pots: Map::default(),
            leases: Map::default(),
            topups: Map::default(),
            pending: Vec::new(),
            batch: None,
            number: 0,
            agents: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Returns the keeper that owns the share.
    #[must_use]
    pub fn keeper(&self) -> KeeperId {
        self.keeper
    }

    /// Returns the teams that the share has ever held tokens of.
    pub fn teams(&self) -> impl Iterator<Item = TeamId> + '_ {
        self.pots.keys().copied()
    }

    /// Returns the open leases.
    pub fn leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.leases.keys().copied()
    }

    /// Returns the tokens of `team` that can be granted or returned.
    ///
    /// After a restart the replica may lag behind what the share has handed out;
    /// the share then holds nothing free until the replica has caught up.
    #[must_use]
    pub fn free(&self, team: TeamId, allotted: Tokens) -> Tokens {
        let pot = self.pot(team);
        allotted
            .saturating_add(pot.credited)
            .saturating_sub(Self::taken(&pot))
    }

    /// Returns by how much the share has handed out more than it holds.
    #[must_use]
    pub fn overdraft(&self, team: TeamId, allotted: Tokens) -> Tokens {
        let pot = self.pot(team);
        Self::taken(&pot).saturating_sub(allotted.saturating_add(pot.credited))
    }

    /// Returns whether `lease` is open.
    #[must_use]
    pub fn has(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Returns the grant of `team` to `lease`.
    #[must_use]
    pub fn grant(&self, lease: LeaseId, team: TeamId) -> Grant {
        self.leases
            .get(&lease)
            .and_then(|lease| lease.grants.get(&team))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the leases that hold tokens of `team`, with the tokens held.
    #[must_use]
    pub fn holders(&self, team: TeamId) -> Vec<(LeaseId, Tokens)> {
        let mut holders: Vec<(LeaseId, Tokens)> = self
            .leases
            .keys()
            .map(|&lease| (lease, self.grant(lease, team).held()))
            .filter(|(_, held)| !held.is_zero())
            .collect();
        holders.sort_unstable();
        holders
    }

    /// Returns all tokens held under `lease`.
    #[must_use]
    pub fn held(&self, lease: LeaseId) -> Tokens {
        self.leases.get(&lease).map_or(Tokens::ZERO, |lease| {
            lease.grants.values().map(Grant::held).sum()
        })
    }

    /// Returns the agents that may hold receipts of `lease` and can be asked.
    #[must_use]
    pub fn askable(&self, lease: LeaseId) -> Vec<AgentId> {
        if !self.leases.contains_key(&lease) {
            return Vec::new();
        }
        let present = self.agents.iter().filter(|(_, lost)| lost.is_none());
        present.map(|(&agent, _)| agent).collect()
    }

    /// Returns the agents that were lost while `lease` was open.
    ///
    /// Nobody can say whether they held receipts of the lease.
    #[must_use]
    pub fn lost(&self, lease: LeaseId) -> Vec<AgentId> {
        let Some(lease) = self.leases.get(&lease) else {
            return Vec::new();
        };
        let overlaps = |lost: &Option<u64>| lost.is_some_and(|at| at > lease.opened);
        let lost = self.agents.iter().filter(|(_, lost)| overlaps(lost));
        lost.map(|(&agent, _)| agent).collect()
    }

    /// Returns whether `agent` has announced itself and is not gone.
    #[must_use]
    pub fn knows(&self, agent: AgentId) -> bool {
        self.agents.get(&agent).is_some_and(Option::is_none)
    }

    /// Returns the number of bills that the share remembers.
    #[must_use]
    pub fn bills(&self) -> usize {
        self.leases.values().map(|lease| lease.bills.len()).sum()
    }

    /// Returns the batch that the ledger has not applied yet.
    #[must_use]
    pub fn batch(&self) -> Option<&Batch> {
        self.batch.as_ref()
    }

    /// Returns whether moves wait for a batch.
    #[must_use]
    pub fn pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Decides on a grant: all of `need` or nothing, and `extra` where it's free.
    #[must_use]
    pub fn decide_grant(
        &self,
        lease: LeaseId,
        team: TeamId,
        need: Tokens,
        extra: Tokens,
        allotted: Tokens,
    ) -> Option<Event> {
        let free = self.free(team, allotted);
        if free < need {
            return None;
        }
        let spare = Tokens(free.saturating_sub(need).0 / 2);
        let amount = need.saturating_add(extra.min(spare));
        if amount.is_zero() {
            return None;
        }
        Some(Event::Granted {
            lease,
            team,
            amount,
        })
    }

    /// Returns what the share lacks of its even part, where it holds less than half.
    ///
    /// A share that stands ready costs nothing while keepers reach each other, since
    /// idle tokens are returned on demand. A domain that is then cut off lives on it.
    #[must_use]
    pub fn lacks(&self, team: TeamId, ledger: &Ledger) -> Tokens {
        let Some(account) = ledger.account(team) else {
            return Tokens::ZERO;
        };
        let free = self.free(team, ledger.allotted(self.keeper, team));
        let even = account.even_part();
        let lacks = free.0.saturating_mul(2) < even.0 && account.deficit().is_zero();
        let extra = even.saturating_sub(free).min(Tokens(account.free.0 / 2));
        // A little more isn't worth a commit.
        let worth = extra >= LEAST_EXTRA;
        if lacks && worth { extra } else { Tokens::ZERO }
    }

    /// Decides on a total that a lease says it has given back.
    #[must_use]
    pub fn decide_return(&self, lease: LeaseId, team: TeamId, total: Tokens) -> Option<Event> {
        let grant = self.grant(lease, team);
        let more = total.saturating_sub(grant.returned);
        if more.is_zero() || more > grant.held() {
            return None;
        }
        Some(Event::Returned { lease, team, total })
    }

    /// Decides on a receipt; the event is `None` where nothing changes.
    #[must_use]
    pub fn decide_receipt(&self, receipt: &Receipt) -> (Bill, Option<Event>) {
        let Some(lease) = self.leases.get(&receipt.lease) else {
            return (Bill::Closed, None);
        };
        if let Some(amount) = lease.bills.get(&receipt.request) {
            return (Bill::Billed(*amount), None);
        }
        if self.grant(receipt.lease, receipt.team).held() < receipt.amount {
            return (Bill::Overdrawn, None);
        }
        (Bill::Billed(receipt.amount), Some(Event::Billed(*receipt)))
    }

    /// Decides on a top-up that names this keeper.
    ///
    /// # Errors
    ///
    /// Fails where the identity names another acceptor or another top-up.
    pub fn decide_top_up(&self, topup: &TopUp) -> Result<Option<Event>, TopUpError> {
        if topup.id.home() != Home::Keeper(self.keeper) {
            return Err(TopUpError::OtherHome);
        }
        match self.topups.get(&topup.id) {
            None => Ok(Some(Event::Credited(topup.clone()))),
            Some(earlier) if *earlier == (topup.team, topup.amount) => Ok(None),
            Some(_) => Err(TopUpError::OtherTopUp),
        }
    }

    /// Decides on the next batch for the ledger.
    ///
    /// `asks` are the wants that changed; `returns` are idle tokens to hand back,
    /// cut down to what is free.
    #[must_use]
    pub fn decide_batch(
        &self,
        asks: Vec<Move>,
        returns: &[(TeamId, Tokens)],
        ledger: &Ledger,
    ) -> Option<Event> {
        if self.batch.is_some() {
            return None;
        }
        let ready = self.pending.len().min(MAX_MOVES);
        let mut moves = self.pending[..ready].to_vec();
        for &(team, most) in returns {
            let free = self.free(team, ledger.allotted(self.keeper, team));
            let amount = free.min(most);
            if !amount.is_zero() {
                moves.push(Move::Return { team, amount });
            }
        }
        moves.extend(asks);
        if moves.is_empty() {
            return None;
        }
        Some(Event::Posted(Batch {
            keeper: self.keeper,
            number: self.number + 1,
            moves,
        }))
    }

    /// Forgets the batch that waits once the ledger has applied number `posted`.
    pub fn confirm(&mut self, posted: u64) {
        if self.batch.as_ref().is_some_and(|b| b.number <= posted) {
            self.batch = None;
        }
    }

    /// Applies a journaled event.
    pub fn apply(&mut self, event: &Event) {
        self.serial += 1;
        match event {
            Event::Granted {
                lease,
                team,
                amount,
            } => {
                let pot = self.pots.entry(*team).or_default();
                pot.granted = pot.granted.saturating_add(*amount);
                let opened = self.serial;
                let lease = self.leases.entry(*lease).or_insert_with(|| Lease {
                    opened,
                    ..Lease::default()
                });
                let grant = lease.grants.entry(*team).or_default();
                grant.granted = grant.granted.saturating_add(*amount);
            }
            Event::Returned { lease, team, total } => self.returned(*lease, *team, *total),
            Event::Billed(receipt) => self.billed(receipt),
            Event::Closed(lease) => self.closed(*lease),
            Event::Credited(topup) => {
                let pot = self.pots.entry(topup.team).or_default();
                pot.credited = pot.credited.saturating_add(topup.amount);
                self.topups
                    .insert(topup.id.clone(), (topup.team, topup.amount));
                self.pending.push(Move::Credit(topup.clone()));
            }
            Event::Posted(batch) => self.posted(batch),
            Event::Met(agent) => {
                self.agents.insert(*agent, None);
            }
            Event::Left(agent) => {
                self.agents.remove(agent);
            }
            Event::Lost(agent) => {
                self.agents.insert(*agent, Some(self.serial));
            }
        }
    }

    fn returned(&mut self, lease: LeaseId, team: TeamId, total: Tokens) {
        let Some(open) = self.leases.get_mut(&lease) else {
            return;
        };
        let grant = open.grants.entry(team).or_default();
        let more = total.saturating_sub(grant.returned);
        grant.returned = grant.returned.saturating_add(more);
        let pot = self.pots.entry(team).or_default();
        pot.granted = pot.granted.saturating_sub(more);
    }

    fn billed(&mut self, receipt: &Receipt) {
        let Some(lease) = self.leases.get_mut(&receipt.lease) else {
            return;
        };
        lease.bills.insert(receipt.request, receipt.amount);
        let grant = lease.grants.entry(receipt.team).or_default();
        grant.billed = grant.billed.saturating_add(receipt.amount);
        let pot = self.pots.entry(receipt.team).or_default();
        pot.granted = pot.granted.saturating_sub(receipt.amount);
        pot.settled = pot.settled.saturating_add(receipt.amount);
        self.pending.push(Move::Settle {
            team: receipt.team,
            request: receipt.request,
            amount: receipt.amount,
        });
    }

    fn closed(&mut self, lease: LeaseId) {
        let Some(lease) = self.leases.remove(&lease) else {
            return;
        };
        for (team, grant) in lease.grants {
            let pot = self.pots.entry(team).or_default();
            pot.granted = pot.granted.saturating_sub(grant.held());
        }
        let oldest = self.leases.values().map(|lease| lease.opened).min();
        let oldest = oldest.unwrap_or(u64::MAX);
        self.agents
            .retain(|_, lost| lost.is_none_or(|at| at > oldest));
    }

    fn posted(&mut self, batch: &Batch) {
        let mut settled = 0;
        for step in &batch.moves {
            match step {
                Move::Return { team, amount } => {
                    let pot = self.pots.entry(*team).or_default();
                    pot.returned = pot.returned.saturating_add(*amount);
                }
                Move::Settle { .. } | Move::Credit(_) => settled += 1,
                Move::Ask { .. } => {}
            }
        }
        // Pending moves stand first in a batch, in order.
        self.pending.drain(..settled);
        self.number = batch.number;
        self.batch = Some(batch.clone());
    }

    fn pot(&self, team: TeamId) -> Pot {
        self.pots.get(&team).copied().unwrap_or_default()
    }

    fn taken(pot: &Pot) -> Tokens {
        pot.returned
            .saturating_add(pot.settled)
            .saturating_add(pot.granted)
    }
}

/// Why a keeper refuses a top-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TopUpError {
    /// The identity names another acceptor.
    #[error("the identity names another acceptor")]
    OtherHome,
    /// The identity was used for another team or amount.
    #[error("the identity stands for another top-up")]
    OtherTopUp,
}
