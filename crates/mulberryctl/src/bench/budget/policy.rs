//! The budget policies under comparison.

use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::RequestId;
use base::TeamId;
use base::Time;
use base::Tokens;
use ledger::Command;
use ledger::Event;
use ledger::LeaseBudget;
use ledger::LeaseHolders;
use ledger::Ledger;
use ledger::Posting;
use ledger::Receipt;
use ledger::Share;
use ledger::TopUp;
use ledger::accounts::KeeperDemand;
use ledger::lease_budget::ReserveOutcome;
use ledger::reclaim::ReclaimStatus;

use super::Arrival;
use super::DOMAINS;

/// Tokens prefetched with a grant, as a multiple of the request's maximum cost.
const PREFETCH_FACTOR: u64 = 4;

/// Steps between two checks whether a keeper's share is below its standby amount.
const STANDBY_INTERVAL_STEPS: u64 = 4;

/// Steps between two checks for idle teams, whose unused grants are returned.
const IDLE_RETURN_STEPS: u64 = 20;

/// A budget policy with its state.
pub enum Policy {
    /// Shares and leases, with or without recall, as in this product.
    Leases(Box<LeasePolicy>),
    /// The budget is divided among the domains once.
    StaticSplit(StaticSplit),
    /// One ledger is queried for every request.
    CentralLedger(CentralLedger),
}

impl Policy {
    /// Returns all policies for `teams` teams.
    pub fn all(teams: usize) -> Vec<Self> {
        vec![
            Self::Leases(Box::new(LeasePolicy::new(teams, true))),
            Self::Leases(Box::new(LeasePolicy::new(teams, false))),
            Self::StaticSplit(StaticSplit::new(teams)),
            Self::CentralLedger(CentralLedger::new(teams)),
        ]
    }

    /// Returns the policy's name in the output.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Leases(leases) if leases.recall_enabled => "this design",
            Self::Leases(_) => "leases without recall",
            Self::StaticSplit(_) => "static equal split",
            Self::CentralLedger(_) => "one central ledger",
        }
    }

    /// Credits each team with its initial budget.
    pub fn credit(&mut self, credits: &[Tokens]) {
        match self {
            Self::Leases(leases) => leases.credit(credits),
            Self::StaticSplit(split) => split.credit(credits),
            Self::CentralLedger(central) => central.available = credits.to_vec(),
        }
    }

    /// Advances the simulation to `now`; `partitioned` isolates the first domain.
    pub fn advance(&mut self, now: Time, partitioned: bool) {
        match self {
            Self::Leases(leases) => leases.advance(now, partitioned),
            Self::StaticSplit(_) => {}
            Self::CentralLedger(central) => central.partitioned = partitioned,
        }
    }

    /// Returns whether the policy admits a request, and reserves its maximum cost.
    pub fn admit(&mut self, arrival: &Arrival) -> bool {
        match self {
            Self::Leases(leases) => leases.admit(arrival),
            Self::StaticSplit(split) => split.admit(arrival),
            Self::CentralLedger(central) => central.admit(arrival),
        }
    }

    /// Bills a finished request and releases its reservation.
    pub fn finish(&mut self, request: &Arrival) {
        match self {
            Self::Leases(leases) => leases.finish(request),
            Self::StaticSplit(split) => split.finish(request),
            Self::CentralLedger(central) => central.finish(request),
        }
    }

    /// Crashes an entry, which loses its in-memory state.
    pub fn crash_entry(&mut self, entry: usize) {
        if let Self::Leases(leases) = self {
            leases.crash_entry(entry);
        }
    }

    /// Returns the tokens held by leases of crashed entries.
    pub fn stranded_tokens(&self) -> Tokens {
        match self {
            Self::Leases(leases) => leases.stranded_tokens(),
            Self::StaticSplit(_) | Self::CentralLedger(_) => Tokens::ZERO,
        }
    }

    /// Returns the number of messages between processes and their total bytes.
    pub fn control_traffic(&self) -> (u64, u64) {
        match self {
            Self::Leases(leases) => (leases.messages, leases.bytes),
            Self::StaticSplit(_) => (0, 0),
            Self::CentralLedger(central) => {
                (central.messages, central.messages * CENTRAL_MESSAGE_BYTES)
            }
        }
    }
}

/// Bytes of a request to a ledger or of its response.
const CENTRAL_MESSAGE_BYTES: u64 = 48;

/// A budget divided equally among the domains once, at the credit.
pub struct StaticSplit {
    available: Vec<[Tokens; DOMAINS]>,
}

impl StaticSplit {
    fn new(teams: usize) -> Self {
        Self {
            available: vec![[Tokens::ZERO; DOMAINS]; teams],
        }
    }

    fn credit(&mut self, credits: &[Tokens]) {
        for (available, credit) in self.available.iter_mut().zip(credits) {
            *available = [Tokens(credit.0 / DOMAINS as u64); DOMAINS];
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        let available = &mut self.available[arrival.team as usize][arrival.entry];
        let remaining = available.checked_sub(arrival.max_cost);
        if let Some(remaining) = remaining {
            *available = remaining;
        }
        remaining.is_some()
    }

    fn finish(&mut self, request: &Arrival) {
        let available = &mut self.available[request.team as usize][request.entry];
        *available = available.saturating_add(request.max_cost.saturating_sub(request.actual_cost));
    }
}

/// One ledger that is queried for every request.
///
/// Its majority is outside the first domain, so it is unreachable from there
/// during the partition.
pub struct CentralLedger {
    available: Vec<Tokens>,
    partitioned: bool,
    messages: u64,
}

impl CentralLedger {
    fn new(teams: usize) -> Self {
        Self {
            available: vec![Tokens::ZERO; teams],
            partitioned: false,
            messages: 0,
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        if self.partitioned && arrival.entry == 0 {
            return false;
        }
        self.messages += 2;
        let available = &mut self.available[arrival.team as usize];
        let remaining = available.checked_sub(arrival.max_cost);
        if let Some(remaining) = remaining {
            *available = remaining;
        }
        remaining.is_some()
    }

    fn finish(&mut self, request: &Arrival) {
        self.messages += 2;
        let available = &mut self.available[request.team as usize];
        *available = available.saturating_add(request.max_cost.saturating_sub(request.actual_cost));
    }
}

/// Shares, leases and optional recall, decided by the product's own code.
///
/// Messages have no latency here: the experiment measures where tokens are held.
pub struct LeasePolicy {
    recall_enabled: bool,
    ledger: Ledger,
    shares: Vec<Share>,
    /// The ledger as of the start of the partition, as the isolated keeper sees it.
    stale_replica: Option<Ledger>,
    lease_holders: Vec<LeaseHolders>,
    lease_budgets: Vec<LeaseBudget>,
    lost_leases: Vec<(usize, LeaseId)>,
    pending_receipts: Vec<(usize, Receipt)>,
    open_requests: Vec<(u64, usize, Receipt)>,
    now: Time,
    steps: u64,
    partitioned: bool,
    team_count: u32,
    request_counts: Vec<u64>,
    messages: u64,
    bytes: u64,
}

fn keeper_id(domain: usize) -> KeeperId {
    KeeperId(u32::try_from(domain).unwrap_or(0) + 1)
}

fn lease_id(entry: usize, epoch: u64) -> LeaseId {
    LeaseId {
        entry: EntryId(entry as u64),
        epoch,
    }
}

impl LeasePolicy {
    fn new(teams: usize, recall_enabled: bool) -> Self {
        Self {
            recall_enabled,
            ledger: Ledger::default(),
            shares: (0..DOMAINS).map(|d| Share::new(keeper_id(d))).collect(),
            stale_replica: None,
            lease_holders: vec![LeaseHolders::default(); DOMAINS],
            lease_budgets: (0..DOMAINS)
                .map(|e| LeaseBudget::new(lease_id(e, 1)))
                .collect(),
            lost_leases: Vec::new(),
            pending_receipts: Vec::new(),
            open_requests: Vec::new(),
            now: Time(0),
            steps: 0,
            partitioned: false,
            team_count: u32::try_from(teams).unwrap_or(u32::MAX),
            request_counts: vec![0; teams * DOMAINS],
            messages: 0,
            bytes: 0,
        }
    }

    fn credit(&mut self, credits: &[Tokens]) {
        for (team, &amount) in credits.iter().enumerate() {
            if let Ok(id) = format!("ledger/t-{team}").parse() {
                let top_up = TopUp {
                    id,
                    team: TeamId(team as u64),
                    amount,
                };
                self.ledger.apply(&Command::TopUp(top_up), 0);
            }
        }
    }

    fn count_message(&mut self, command: &impl serde::Serialize) {
        let size = postcard::to_stdvec(command).map_or(0, |bytes| bytes.len());
        self.messages += 1;
        self.bytes += size as u64;
    }

    fn is_connected(&self, domain: usize) -> bool {
        !(self.partitioned && domain == 0)
    }

    fn allocated(&self, domain: usize, team: TeamId) -> Tokens {
        let replica = self
            .stale_replica
            .as_ref()
            .filter(|_| !self.is_connected(domain));
        replica
            .unwrap_or(&self.ledger)
            .allocated(keeper_id(domain), team)
    }

    fn apply_event(&mut self, domain: usize, event: &Event) {
        self.shares[domain].apply(event);
    }

    fn advance(&mut self, now: Time, partitioned: bool) {
        self.now = now;
        self.steps += 1;
        if partitioned && !self.partitioned {
            self.stale_replica = Some(self.ledger.clone());
        }
        self.partitioned = partitioned;
        for domain in 0..DOMAINS {
            let lease = self.lease_budgets[domain].lease();
            self.lease_holders[domain].renew(lease, now);
            self.lease_budgets[domain].extend(now);
            self.deliver_receipts(domain);
            self.post_batch(domain, Vec::new(), &[]);
        }
        if self.recall_enabled && self.steps.is_multiple_of(STANDBY_INTERVAL_STEPS) {
            self.request_standby();
        }
        if self.steps.is_multiple_of(IDLE_RETURN_STEPS) {
            self.return_idle();
        }
        self.reclaim_leases();
    }

    /// Applies the pending receipts of a domain's keeper.
    fn deliver_receipts(&mut self, domain: usize) {
        let (due, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_receipts)
            .into_iter()
            .partition(|(target, _)| *target == domain);
        self.pending_receipts = remaining;
        for (_, receipt) in due {
            let (outcome, event) = self.shares[domain].decide_receipt(&receipt);
            if let Some(event) = event {
                self.apply_event(domain, &event);
            }
            if let ledger::BillingOutcome::Billed(amount) = outcome
                && self.lease_budgets[domain].lease() == receipt.lease
            {
                self.lease_budgets[domain].settle(receipt.request, amount);
            }
        }
    }

    fn post_batch(&mut self, domain: usize, requests: Vec<Posting>, returns: &[(TeamId, Tokens)]) {
        if !self.is_connected(domain) {
            return;
        }
        self.shares[domain].confirm_batch(self.ledger.last_batch(keeper_id(domain)));
        let event = self.shares[domain].decide_batch(requests, returns, &self.ledger);
        if let Some(event) = event {
            self.apply_event(domain, &event);
        }
        if let Some(batch) = self.shares[domain].unconfirmed_batch().cloned() {
            let command = Command::Post(batch);
            self.count_message(&command);
            self.ledger.apply(&command, self.now.0 / 1_000);
            self.shares[domain].confirm_batch(self.ledger.last_batch(keeper_id(domain)));
        }
    }

    fn request_standby(&mut self) {
        for domain in 0..DOMAINS {
            let mut requests = Vec::new();
            for team in (0..self.team_count).map(|team| TeamId(u64::from(team))) {
                let prefetch = self.shares[domain].standby_shortfall(team, &self.ledger);
                if !prefetch.is_zero() {
                    let required = Tokens::ZERO;
                    let demand = KeeperDemand { required, prefetch };
                    requests.push(Posting::Request { team, demand });
                }
            }
            self.post_batch(domain, requests, &[]);
        }
    }

    fn return_idle(&mut self) {
        if !self.recall_enabled {
            return;
        }
        for domain in 0..DOMAINS {
            for team in 0..self.team_count {
                let index = domain * self.team_count as usize + team as usize;
                if std::mem::take(&mut self.request_counts[index]) == 0 {
                    self.return_unused(domain, TeamId(u64::from(team)), Tokens(u64::MAX));
                }
            }
        }
    }

    fn return_unused(&mut self, domain: usize, team: TeamId, max_amount: Tokens) {
        let total = self.lease_budgets[domain].return_unused(team, max_amount);
        let lease = self.lease_budgets[domain].lease();
        let event = self.shares[domain].decide_return(lease, team, total);
        if let Some(event) = event {
            self.count_message(&event);
            self.apply_event(domain, &event);
        }
    }

    fn reclaim_leases(&mut self) {
        let lost = std::mem::take(&mut self.lost_leases);
        for (domain, lease) in lost {
            let status =
                self.lease_holders[domain].reclaim_status(lease, &self.shares[domain], self.now);
            // The agents are alive: they confirm the lease is unused once no request of it runs.
            let has_open = self.open_requests.iter().any(|(_, _, r)| r.lease == lease);
            let has_pending = self.pending_receipts.iter().any(|(_, r)| r.lease == lease);
            if status == ReclaimStatus::Reclaimable && !has_open && !has_pending {
                self.apply_event(domain, &Event::LeaseClosed(lease));
                self.lease_holders[domain].remove(lease);
            } else {
                self.lost_leases.push((domain, lease));
            }
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        let domain = arrival.entry;
        let team = TeamId(u64::from(arrival.team));
        let request = RequestId(u128::from(arrival.number));
        self.request_counts[domain * self.team_count as usize + arrival.team as usize] += 1;
        let reserved = self.reserve(domain, request, team, arrival.max_cost)
            || (self.acquire(domain, team, arrival.max_cost)
                && self.reserve(domain, request, team, arrival.max_cost));
        if reserved {
            let receipt = Receipt {
                lease: self.lease_budgets[domain].lease(),
                request,
                team,
                amount: arrival.actual_cost,
            };
            self.open_requests.push((arrival.number, domain, receipt));
        }
        reserved
    }

    fn reserve(
        &mut self,
        domain: usize,
        request: RequestId,
        team: TeamId,
        max_cost: Tokens,
    ) -> bool {
        let now = self.now;
        self.lease_budgets[domain].reserve(request, team, max_cost, now) == ReserveOutcome::Reserved
    }

    /// Acquires the tokens a request lacks: from the keeper's share, then by an
    /// allocation from the ledger, then by recall from the other domains.
    fn acquire(&mut self, domain: usize, team: TeamId, max_cost: Tokens) -> bool {
        self.messages += 2;
        self.bytes += 2 * CENTRAL_MESSAGE_BYTES;
        let required =
            max_cost.saturating_sub(self.lease_budgets[domain].team_budget(team).available());
        let prefetch = Tokens(max_cost.0 * PREFETCH_FACTOR);
        if self.try_grant(domain, team, required, prefetch) {
            return true;
        }
        self.request_allocation(domain, team, required, prefetch);
        if self.try_grant(domain, team, required, prefetch) {
            return true;
        }
        if !self.recall_enabled {
            return false;
        }
        for other in (0..DOMAINS).filter(|&other| other != domain) {
            if !(self.is_connected(domain) && self.is_connected(other)) {
                continue;
            }
            self.return_unused(other, team, required);
            self.deliver_receipts(other);
            self.post_batch(other, Vec::new(), &[(team, required)]);
        }
        let granted = self.try_grant(domain, team, required, Tokens::ZERO);
        // Withdraws the demand, so that nothing is allocated for a refused request.
        self.request_allocation(domain, team, Tokens::ZERO, Tokens::ZERO);
        granted
    }

    fn request_allocation(
        &mut self,
        domain: usize,
        team: TeamId,
        required: Tokens,
        prefetch: Tokens,
    ) {
        let available = self.shares[domain].available(team, self.allocated(domain, team));
        let demand = KeeperDemand {
            required: required.saturating_sub(available),
            prefetch,
        };
        self.post_batch(domain, vec![Posting::Request { team, demand }], &[]);
    }

    fn try_grant(
        &mut self,
        domain: usize,
        team: TeamId,
        required: Tokens,
        prefetch: Tokens,
    ) -> bool {
        let lease = self.lease_budgets[domain].lease();
        let allocated = self.allocated(domain, team);
        let event = self.shares[domain].decide_grant(lease, team, required, prefetch, allocated);
        let Some(event) = event else {
            return false;
        };
        self.apply_event(domain, &event);
        let total = self.shares[domain].grant(lease, team).granted;
        self.lease_budgets[domain].record_grant(team, total);
        true
    }

    fn finish(&mut self, request: &Arrival) {
        let index = self
            .open_requests
            .iter()
            .position(|(n, _, _)| *n == request.number);
        if let Some(index) = index {
            let (_, domain, receipt) = self.open_requests.swap_remove(index);
            self.messages += 1;
            self.bytes += CENTRAL_MESSAGE_BYTES;
            if self.lease_budgets[domain].lease() == receipt.lease {
                self.lease_budgets[domain].shrink_reservation(receipt.request, receipt.amount);
            }
            self.pending_receipts.push((domain, receipt));
            self.deliver_receipts(domain);
        }
    }

    fn crash_entry(&mut self, entry: usize) {
        let old_lease = self.lease_budgets[entry].lease();
        self.lease_budgets[entry] = LeaseBudget::new(lease_id(entry, old_lease.epoch + 1));
        self.lease_budgets[entry].extend(self.now);
        self.lost_leases.push((entry, old_lease));
    }

    fn stranded_tokens(&self) -> Tokens {
        let lost = self.lost_leases.iter();
        lost.map(|(domain, lease)| self.shares[*domain].held_by(*lease))
            .sum()
    }
}
