//! The policies that are compared.

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

/// Requests like the present one that are drawn ahead.
const AHEAD: u64 = 4;

/// Steps between two looks at the even parts.
const READY_STEPS: u64 = 4;

/// Steps after which an entry gives back what it did not use.
const IDLE_STEPS: u64 = 20;

/// A policy with its state.
pub enum Policy {
    /// Shares, leases and recall, as this product does.
    Leases(Box<Leases>),
    /// The budget divided among the domains once and for all.
    Split(Split),
    /// One ledger that is asked for each request.
    Central(Central),
}

impl Policy {
    /// Returns all policies for so many teams.
    pub fn all(teams: usize) -> Vec<Self> {
        vec![
            Self::Leases(Box::new(Leases::new(teams, true))),
            Self::Leases(Box::new(Leases::new(teams, false))),
            Self::Split(Split::new(teams)),
            Self::Central(Central::new(teams)),
        ]
    }

    /// Returns the policy's name.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Leases(leases) if leases.recall => "this design",
            Self::Leases(_) => "leases without recall",
            Self::Split(_) => "static equal split",
            Self::Central(_) => "one central ledger",
        }
    }

    /// Credits each team.
    pub fn credit(&mut self, credits: &[Tokens]) {
        match self {
            Self::Leases(leases) => leases.credit(credits),
            Self::Split(split) => split.credit(credits),
            Self::Central(central) => central.free = credits.to_vec(),
        }
    }

    /// Moves the time on; `cut` says whether the first domain is cut off.
    pub fn step(&mut self, now: Time, cut: bool) {
        match self {
            Self::Leases(leases) => leases.step(now, cut),
            Self::Split(_) => {}
            Self::Central(central) => central.cut = cut,
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, arrival: &Arrival) -> bool {
        match self {
            Self::Leases(leases) => leases.admit(arrival),
            Self::Split(split) => split.admit(arrival),
            Self::Central(central) => central.admit(arrival),
        }
    }

    /// Bills a request that has ended.
    pub fn finish(&mut self, done: &Arrival) {
        match self {
            Self::Leases(leases) => leases.finish(done),
            Self::Split(split) => split.finish(done),
            Self::Central(central) => central.finish(done),
        }
    }

    /// Loses the memory of an entry.
    pub fn entry_dies(&mut self, entry: usize) {
        if let Self::Leases(leases) = self {
            leases.entry_dies(entry);
        }
    }

    /// Returns the tokens that leases of lost entries hold back.
    pub fn stranded(&self) -> Tokens {
        match self {
            Self::Leases(leases) => leases.stranded(),
            Self::Split(_) | Self::Central(_) => Tokens::ZERO,
        }
    }

    /// Returns the messages between processes and their bytes.
    pub fn traffic(&self) -> (u64, u64) {
        match self {
            Self::Leases(leases) => (leases.messages, leases.bytes),
            Self::Split(_) => (0, 0),
            Self::Central(central) => (central.messages, central.messages * CENTRAL_BYTES),
        }
    }
}

/// Bytes of a question to a central ledger or of its answer.
const CENTRAL_BYTES: u64 = 48;

/// The budget divided among the domains once and for all.
pub struct Split {
    free: Vec<[Tokens; DOMAINS]>,
}

impl Split {
    fn new(teams: usize) -> Self {
        Self {
            free: vec![[Tokens::ZERO; DOMAINS]; teams],
        }
    }

    fn credit(&mut self, credits: &[Tokens]) {
        for (free, credit) in self.free.iter_mut().zip(credits) {
            *free = [Tokens(credit.0 / DOMAINS as u64); DOMAINS];
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        let free = &mut self.free[arrival.team as usize][arrival.entry];
        let rest = free.checked_sub(arrival.most);
        if let Some(rest) = rest {
            *free = rest;
        }
        rest.is_some()
    }

    fn finish(&mut self, done: &Arrival) {
        let free = &mut self.free[done.team as usize][done.entry];
        *free = free.saturating_add(done.most.saturating_sub(done.used));
    }
}

/// One ledger, with a majority outside the first domain, asked for each request.
pub struct Central {
    free: Vec<Tokens>,
    cut: bool,
    messages: u64,
}

impl Central {
    fn new(teams: usize) -> Self {
        Self {
            free: vec![Tokens::ZERO; teams],
            cut: false,
            messages: 0,
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        if self.cut && arrival.entry == 0 {
            return false;
        }
        self.messages += 2;
        let free = &mut self.free[arrival.team as usize];
        let rest = free.checked_sub(arrival.most);
        if let Some(rest) = rest {
            *free = rest;
        }
        rest.is_some()
    }

    fn finish(&mut self, done: &Arrival) {
        self.messages += 2;
        let free = &mut self.free[done.team as usize];
        *free = free.saturating_add(done.most.saturating_sub(done.used));
    }
}

/// Shares, leases and, where it's on, recall, by the product's own decisions.
///
/// Messages take no time here: what is measured is where tokens lie.
pub struct Leases {
    recall: bool,
    ledger: Ledger,
    shares: Vec<Share>,
    /// Each keeper's replica; the one that is cut off stays behind.
    behind: Option<Ledger>,
    tenancies: Vec<LeaseHolders>,
    wallets: Vec<LeaseBudget>,
    lost: Vec<(usize, LeaseId)>,
    owed: Vec<(usize, Receipt)>,
    running: Vec<(u64, usize, Receipt)>,
    now: Time,
    steps: u64,
    cut: bool,
    teams: u32,
    used: Vec<u64>,
    messages: u64,
    bytes: u64,
}

fn keeper(domain: usize) -> KeeperId {
    KeeperId(u32::try_from(domain).unwrap_or(0) + 1)
}

fn lease(entry: usize, epoch: u64) -> LeaseId {
    LeaseId {
        entry: EntryId(entry as u64),
        epoch,
    }
}

impl Leases {
    fn new(teams: usize, recall: bool) -> Self {
        Self {
            recall,
            ledger: Ledger::default(),
            shares: (0..DOMAINS).map(|d| Share::new(keeper(d))).collect(),
            behind: None,
            tenancies: vec![LeaseHolders::default(); DOMAINS],
            wallets: (0..DOMAINS)
                .map(|e| LeaseBudget::new(lease(e, 1)))
                .collect(),
            lost: Vec::new(),
            owed: Vec::new(),
            running: Vec::new(),
            now: Time(0),
            steps: 0,
            cut: false,
            teams: u32::try_from(teams).unwrap_or(u32::MAX),
            used: vec![0; teams * DOMAINS],
            messages: 0,
            bytes: 0,
        }
    }

    fn credit(&mut self, credits: &[Tokens]) {
        for (team, &amount) in credits.iter().enumerate() {
            if let Ok(id) = format!("ledger/t-{team}").parse() {
                let topup = TopUp {
                    id,
                    team: TeamId(team as u64),
                    amount,
                };
                self.ledger.apply(&Command::TopUp(topup), 0);
            }
        }
    }

    fn count(&mut self, command: &impl serde::Serialize) {
        let size = postcard::to_stdvec(command).map_or(0, |bytes| bytes.len());
        self.messages += 1;
        self.bytes += size as u64;
    }

    fn reaches(&self, domain: usize) -> bool {
        !(self.cut && domain == 0)
    }

    fn allotted(&self, domain: usize, team: TeamId) -> Tokens {
        let replica = self.behind.as_ref().filter(|_| !self.reaches(domain));
        replica
            .unwrap_or(&self.ledger)
            .allocated(keeper(domain), team)
    }

    fn event(&mut self, domain: usize, event: &Event) {
        self.shares[domain].apply(event);
    }

    fn step(&mut self, now: Time, cut: bool) {
        self.now = now;
        self.steps += 1;
        if cut && !self.cut {
            self.behind = Some(self.ledger.clone());
        }
        self.cut = cut;
        for domain in 0..DOMAINS {
            let lease = self.wallets[domain].lease();
            self.tenancies[domain].renew(lease, now);
            self.wallets[domain].extend(now);
            self.deliver(domain);
            self.post(domain, Vec::new(), &[]);
        }
        if self.recall && self.steps.is_multiple_of(READY_STEPS) {
            self.stand_ready();
        }
        if self.steps.is_multiple_of(IDLE_STEPS) {
            self.give_back_idle();
        }
        self.reclaim();
    }

    /// Delivers the receipts owed to a domain's keeper.
    fn deliver(&mut self, domain: usize) {
        let (own, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.owed)
            .into_iter()
            .partition(|(to, _)| *to == domain);
        self.owed = rest;
        for (_, receipt) in own {
            let (bill, event) = self.shares[domain].decide_receipt(&receipt);
            if let Some(event) = event {
                self.event(domain, &event);
            }
            if let ledger::BillingOutcome::Billed(amount) = bill
                && self.wallets[domain].lease() == receipt.lease
            {
                self.wallets[domain].settle(receipt.request, amount);
            }
        }
    }

    fn post(&mut self, domain: usize, asks: Vec<Posting>, returns: &[(TeamId, Tokens)]) {
        if !self.reaches(domain) {
            return;
        }
        self.shares[domain].confirm_batch(self.ledger.last_batch(keeper(domain)));
        let event = self.shares[domain].decide_batch(asks, returns, &self.ledger);
        if let Some(event) = event {
            self.event(domain, &event);
        }
        if let Some(batch) = self.shares[domain].unconfirmed_batch().cloned() {
            let command = Command::Post(batch);
            self.count(&command);
            self.ledger.apply(&command, self.now.0 / 1_000);
            self.shares[domain].confirm_batch(self.ledger.last_batch(keeper(domain)));
        }
    }

    fn stand_ready(&mut self) {
        for domain in 0..DOMAINS {
            let mut asks = Vec::new();
            for team in (0..self.teams).map(|team| TeamId(u64::from(team))) {
                let extra = self.shares[domain].standby_shortfall(team, &self.ledger);
                if !extra.is_zero() {
                    let need = Tokens::ZERO;
                    let want = KeeperDemand {
                        required: need,
                        prefetch: extra,
                    };
                    asks.push(Posting::Request { team, demand: want });
                }
            }
            self.post(domain, asks, &[]);
        }
    }

    fn give_back_idle(&mut self) {
        if !self.recall {
            return;
        }
        for domain in 0..DOMAINS {
            for team in 0..self.teams {
                let slot = domain * self.teams as usize + team as usize;
                if std::mem::take(&mut self.used[slot]) == 0 {
                    self.give_back(domain, TeamId(u64::from(team)), Tokens(u64::MAX));
                }
            }
        }
    }

    fn give_back(&mut self, domain: usize, team: TeamId, most: Tokens) {
        let total = self.wallets[domain].return_unused(team, most);
        let lease = self.wallets[domain].lease();
        let event = self.shares[domain].decide_return(lease, team, total);
        if let Some(event) = event {
            self.count(&event);
            self.event(domain, &event);
        }
    }

    fn reclaim(&mut self) {
        let lost = std::mem::take(&mut self.lost);
        for (domain, lease) in lost {
            let standing =
                self.tenancies[domain].reclaim_status(lease, &self.shares[domain], self.now);
            // Its agents are alive and vouch once nothing of the lease runs.
            let runs = self.running.iter().any(|(_, _, r)| r.lease == lease);
            let owes = self.owed.iter().any(|(_, r)| r.lease == lease);
            if standing == ReclaimStatus::Reclaimable && !runs && !owes {
                self.event(domain, &Event::LeaseClosed(lease));
                self.tenancies[domain].remove(lease);
            } else {
                self.lost.push((domain, lease));
            }
        }
    }

    fn admit(&mut self, arrival: &Arrival) -> bool {
        let domain = arrival.entry;
        let team = TeamId(u64::from(arrival.team));
        let request = RequestId(u128::from(arrival.number));
        self.used[domain * self.teams as usize + arrival.team as usize] += 1;
        let held = self.reserve(domain, request, team, arrival.most)
            || (self.draw(domain, team, arrival.most)
                && self.reserve(domain, request, team, arrival.most));
        if held {
            let receipt = Receipt {
                lease: self.wallets[domain].lease(),
                request,
                team,
                amount: arrival.used,
            };
            self.running.push((arrival.number, domain, receipt));
        }
        held
    }

    fn reserve(&mut self, domain: usize, request: RequestId, team: TeamId, most: Tokens) -> bool {
        let now = self.now;
        self.wallets[domain].reserve(request, team, most, now) == ReserveOutcome::Reserved
    }

    /// Draws what a request lacks from the keeper, the ledger and other holders.
    fn draw(&mut self, domain: usize, team: TeamId, most: Tokens) -> bool {
        self.messages += 2;
        self.bytes += 2 * CENTRAL_BYTES;
        let need = most.saturating_sub(self.wallets[domain].team_budget(team).available());
        let extra = Tokens(most.0 * AHEAD);
        if self.grant(domain, team, need, extra) {
            return true;
        }
        self.ask(domain, team, need, extra);
        if self.grant(domain, team, need, extra) {
            return true;
        }
        if !self.recall {
            return false;
        }
        for other in (0..DOMAINS).filter(|&other| other != domain) {
            if !(self.reaches(domain) && self.reaches(other)) {
                continue;
            }
            self.give_back(other, team, need);
            self.deliver(other);
            self.post(other, Vec::new(), &[(team, need)]);
        }
        let met = self.grant(domain, team, need, Tokens::ZERO);
        // A need that was refused is no longer waited for.
        self.ask(domain, team, Tokens::ZERO, Tokens::ZERO);
        met
    }

    fn ask(&mut self, domain: usize, team: TeamId, need: Tokens, extra: Tokens) {
        let free = self.shares[domain].available(team, self.allotted(domain, team));
        let want = KeeperDemand {
            required: need.saturating_sub(free),
            prefetch: extra,
        };
        self.post(domain, vec![Posting::Request { team, demand: want }], &[]);
    }

    fn grant(&mut self, domain: usize, team: TeamId, need: Tokens, extra: Tokens) -> bool {
        let lease = self.wallets[domain].lease();
        let allotted = self.allotted(domain, team);
        let event = self.shares[domain].decide_grant(lease, team, need, extra, allotted);
        let Some(event) = event else {
            return false;
        };
        self.event(domain, &event);
        let total = self.shares[domain].grant(lease, team).granted;
        self.wallets[domain].record_grant(team, total);
        true
    }

    fn finish(&mut self, done: &Arrival) {
        let place = self.running.iter().position(|(n, _, _)| *n == done.number);
        if let Some(place) = place {
            let (_, domain, receipt) = self.running.swap_remove(place);
            self.messages += 1;
            self.bytes += CENTRAL_BYTES;
            if self.wallets[domain].lease() == receipt.lease {
                self.wallets[domain].shrink_reservation(receipt.request, receipt.amount);
            }
            self.owed.push((domain, receipt));
            self.deliver(domain);
        }
    }

    fn entry_dies(&mut self, entry: usize) {
        let old = self.wallets[entry].lease();
        self.wallets[entry] = LeaseBudget::new(lease(entry, old.epoch + 1));
        self.wallets[entry].extend(self.now);
        self.lost.push((entry, old));
    }

    fn stranded(&self) -> Tokens {
        let held = self.lost.iter();
        held.map(|(domain, lease)| self.shares[*domain].held_by(*lease))
            .sum()
    }
}
