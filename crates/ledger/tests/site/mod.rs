//! A simulated site of keepers, entries and agents over a lossy network.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::AgentId;
use base::EndpointId;
use base::EntryId;
use base::KeeperId;
use base::LeaseId;
use base::RequestId;
use base::Span;
use base::TeamId;
use base::Time;
use base::Tokens;
use ledger::Batch;
use ledger::BillingOutcome;
use ledger::Command;
use ledger::Event;
use ledger::LeaseBudget;
use ledger::LeaseHolders;
use ledger::Ledger;
use ledger::Outcome;
use ledger::Posting;
use ledger::Receipt;
use ledger::Share;
use ledger::TopUp;
use ledger::accounts::KeeperDemand;
use ledger::lease_budget::LEASE_DURATION;
use ledger::lease_budget::ReserveOutcome;
use ledger::reclaim::ReclaimStatus;
use ledger::verify;

const KEEPERS: usize = 3;
const ENTRIES: usize = 3;
const AGENTS: usize = 2;
const TEAMS: u64 = 2;
const REQUEST_KEYS: u128 = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    TopUp(u8, u8, u8),
    Draw(u8, u8, u8),
    Start(u8, u8, u8),
    Deliver(u16),
    DeliverAll,
    Drop(u16),
    Duplicate(u16),
    Post(u8),
    CatchUp(u8, u8),
    GiveBack(u8, u8, u8),
    Recall(u8, u8),
    Advance(u16),
    EntryCrash(u8),
    AgentCrash(u8),
    KeeperRestart(u8, u8),
    Partition(u8),
    Heal,
    RollLease(u8),
    Reclaim(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Draw(usize, LeaseId, bool, TeamId, Tokens, Time),
    DrawReply(usize, LeaseId, TeamId, Tokens, Time),
    Return(usize, LeaseId, TeamId, Tokens),
    Receipt(usize, Receipt),
    ReceiptReply(Receipt, BillingOutcome),
    Post(Batch),
    QueryAgent(usize, LeaseId, AgentId),
    Cleared(usize, LeaseId, AgentId),
    Dispatch(usize, usize, Receipt),
    Done(usize, Receipt),
}

struct Keeper {
    share: Share,
    journal: Vec<Event>,
    replica: Ledger,
    applied: usize,
    holders: LeaseHolders,
    demands: BTreeMap<TeamId, Tokens>,
    partitioned: bool,
}

struct Entry {
    budget: LeaseBudget,
    old_budgets: Vec<LeaseBudget>,
    keeper: usize,
    unanswered: Vec<Receipt>,
    epoch: u64,
    alive: bool,
}

struct Agent {
    id: AgentId,
    unanswered: Vec<(usize, Receipt)>,
    rejected: BTreeSet<LeaseId>,
}

/// The whole site and the expected results of its checks.
pub struct Site {
    keepers: Vec<Keeper>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    log: Vec<Command>,
    ledger: Ledger,
    network: Vec<Message>,
    now: Time,
    clock_slowdown: u64,
    credits: BTreeMap<TeamId, Tokens>,
    accepted: BTreeMap<String, (TeamId, Tokens)>,
    started_runs: BTreeMap<RequestId, Vec<Receipt>>,
    bills: BTreeMap<RequestId, Tokens>,
    lost_requests: BTreeSet<RequestId>,
}

fn team(n: u8) -> TeamId {
    TeamId(u64::from(n) % TEAMS)
}

fn keeper_id(n: usize) -> KeeperId {
    KeeperId(u32::try_from(n).unwrap())
}

fn entry(n: usize, epoch: u64) -> Entry {
    let lease = LeaseId {
        entry: EntryId(n as u64),
        epoch,
    };
    Entry {
        budget: LeaseBudget::new(lease),
        old_budgets: Vec::new(),
        keeper: n % KEEPERS,
        unanswered: Vec::new(),
        epoch,
        alive: true,
    }
}

impl Site {
    /// Returns a site whose entries' clocks are slow by the factor `clock_slowdown`.
    pub fn new(clock_slowdown: u64) -> Self {
        let keeper = |n| Keeper {
            share: Share::new(keeper_id(n)),
            journal: Vec::new(),
            replica: Ledger::default(),
            applied: 0,
            holders: LeaseHolders::default(),
            demands: BTreeMap::new(),
            partitioned: false,
        };
        let mut site = Self {
            keepers: (0..KEEPERS).map(keeper).collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            log: Vec::new(),
            ledger: Ledger::default(),
            network: Vec::new(),
            now: Time(1),
            clock_slowdown,
            credits: BTreeMap::new(),
            accepted: BTreeMap::new(),
            started_runs: BTreeMap::new(),
            bills: BTreeMap::new(),
            lost_requests: BTreeSet::new(),
        };
        for n in 0..ENTRIES {
            site.entries.push(entry(n, 0));
        }
        for n in 0..AGENTS {
            let id = AgentId {
                endpoint: EndpointId(n as u64),
                epoch: 0,
            };
            site.agents.push(Agent {
                id,
                unanswered: Vec::new(),
                rejected: BTreeSet::new(),
            });
            (0..KEEPERS).for_each(|k| site.journal(k, Event::AgentJoined(id)));
        }
        site
    }

    fn entry_clock(&self) -> Time {
        Time(self.now.0 / self.clock_slowdown)
    }

    fn journal(&mut self, k: usize, event: Event) {
        let keeper = &mut self.keepers[k];
        keeper.share.apply(&event);
        keeper.journal.push(event);
    }

    pub fn step(&mut self, step: Step) {
        let len = self.network.len();
        let index = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::TopUp(home, who, amount) => self.top_up(home, who, amount),
            Step::Draw(e, t, need) => self.draw(usize::from(e) % ENTRIES, team(t), need),
            Step::Start(e, key, cap) => self.start_request(usize::from(e) % ENTRIES, key, cap),
            Step::Deliver(k) if len > 0 => {
                let message = self.network.swap_remove(index(k));
                self.deliver(message);
            }
            Step::Drop(k) if len > 0 => {
                self.network.swap_remove(index(k));
            }
            Step::Duplicate(k) if len > 0 => self.network.push(self.network[index(k)].clone()),
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => {}
            Step::DeliverAll => self.deliver_all(),
            Step::Post(k) => self.post(usize::from(k) % KEEPERS, &[]),
            Step::CatchUp(k, n) => self.catch_up(usize::from(k) % KEEPERS, usize::from(n) % 8),
            Step::GiveBack(e, t, n) => self.give_back(usize::from(e) % ENTRIES, team(t), n),
            Step::Recall(k, t) => {
                let returns = [(team(t), Tokens(u64::MAX))];
                self.post(usize::from(k) % KEEPERS, &returns);
            }
            Step::Advance(ms) => self.now = self.now + Span::millis(u64::from(ms) % 40_000),
            Step::EntryCrash(e) => self.crash_entry(usize::from(e) % ENTRIES),
            Step::AgentCrash(a) => self.crash_agent(usize::from(a) % AGENTS),
            Step::KeeperRestart(k, lag) => self.restart_keeper(usize::from(k) % KEEPERS, lag),
            Step::Partition(k) => self.keepers[usize::from(k) % KEEPERS].partitioned = true,
            Step::Heal => self.keepers.iter_mut().for_each(|k| k.partitioned = false),
            Step::RollLease(e) => self.roll_lease(usize::from(e) % ENTRIES),
            Step::Reclaim(k) => self.reclaim(usize::from(k) % KEEPERS),
        }
    }

    fn top_up(&mut self, home: u8, who: u8, amount: u8) {
        let name = who % 5;
        let amount = Tokens(u64::from(amount));
        let k = usize::from(home) % (KEEPERS + 1);
        // Sometimes the operator sends the top-up to a keeper that it doesn't name.
        let named = if home < 200 { k } else { (k + 1) % KEEPERS };
        let text = if k == KEEPERS {
            format!("ledger/{name}")
        } else {
            format!("{named}/{name}")
        };
        let topup = TopUp {
            id: text.parse().unwrap(),
            team: team(who),
            amount,
        };
        let accepted = if k == KEEPERS {
            let command = Command::TopUp(topup.clone());
            self.commit(&command) == Outcome::Applied
        } else {
            match self.keepers[k].share.decide_top_up(&topup) {
                Ok(Some(event)) => {
                    self.journal(k, event);
                    true
                }
                Ok(None) | Err(_) => false,
            }
        };
        if accepted {
            let previous = self.accepted.insert(text, (topup.team, amount));
            assert_eq!(previous, None, "a top-up is accepted once");
            let sum = self.credits.entry(topup.team).or_default();
            *sum = sum.saturating_add(amount);
        }
    }

    fn commit(&mut self, command: &Command) -> Outcome {
        self.log.push(command.clone());
        let outcome = self.ledger.apply(command, self.now.0 / 1_000);
        if let Command::Post(batch) = command
            && outcome == Outcome::Applied
        {
            for posting in &batch.postings {
                if let Posting::Settle {
                    request, amount, ..
                } = posting
                {
                    self.bills.entry(*request).or_insert(*amount);
                }
            }
        }
        outcome
    }

    fn draw(&mut self, e: usize, team: TeamId, need: u8) {
        let sent = self.entry_clock();
        let entry = &self.entries[e];
        if entry.alive {
            let lease = entry.budget.lease();
            let need = Tokens(u64::from(need) / 4);
            let is_new = entry.budget.never_renewed();
            self.network
                .push(Message::Draw(e, lease, is_new, team, need, sent));
        }
    }

    fn start_request(&mut self, e: usize, key: u8, cap: u8) {
        let now = self.entry_clock();
        let request = RequestId(u128::from(key) % REQUEST_KEYS);
        let team = TeamId(u64::try_from(request.0).unwrap() % TEAMS);
        let amount = Tokens(u64::from(cap) / 6 + 1);
        let entry = &mut self.entries[e];
        if !entry.alive
            || entry.budget.reserve(request, team, amount, now) != ReserveOutcome::Reserved
        {
            return;
        }
        let receipt = Receipt {
            lease: entry.budget.lease(),
            request,
            team,
            amount,
        };
        let agent = usize::from(cap) % AGENTS;
        self.network.push(Message::Dispatch(e, agent, receipt));
    }

    fn give_back(&mut self, e: usize, team: TeamId, limit: u8) {
        let entry = &mut self.entries[e];
        if entry.alive {
            let lease = entry.budget.lease();
            let total = entry.budget.return_unused(team, Tokens(u64::from(limit)));
            self.network
                .push(Message::Return(entry.keeper, lease, team, total));
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..4 {
            let batch = std::mem::take(&mut self.network);
            for message in batch {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Draw(e, lease, is_new, team, need, sent) => {
                self.on_draw(e, (lease, is_new), team, need, sent);
            }
            Message::DrawReply(e, lease, team, total, sent) => {
                let entry = &mut self.entries[e];
                if entry.alive && entry.budget.lease() == lease {
                    entry.budget.extend(sent);
                    entry.budget.record_grant(team, total);
                }
            }
            Message::Return(k, lease, team, total) => {
                let event = self.keepers[k].share.decide_return(lease, team, total);
                if let Some(event) = event {
                    self.journal(k, event);
                }
            }
            Message::Receipt(k, receipt) => {
                let (bill, event) = self.keepers[k].share.decide_receipt(&receipt);
                assert_ne!(bill, BillingOutcome::Overdrawn, "{receipt:?}");
                if let Some(event) = event {
                    self.journal(k, event);
                }
                self.network.push(Message::ReceiptReply(receipt, bill));
            }
            Message::ReceiptReply(receipt, bill) => self.on_receipt_reply(&receipt, bill),
            Message::Post(batch) => {
                let keeper = usize::try_from(batch.keeper.0).unwrap();
                if !self.keepers[keeper].partitioned {
                    let outcome = self.commit(&Command::Post(batch));
                    assert_ne!(
                        outcome,
                        Outcome::Refused(ledger::accounts::Refusal::Overdrawn)
                    );
                }
            }
            Message::QueryAgent(k, lease, agent) => self.on_query(k, lease, agent),
            Message::Cleared(k, lease, id) => self.keepers[k].holders.record_clearance(lease, id),
            Message::Dispatch(e, a, receipt) => self.on_dispatch(e, a, receipt),
            Message::Done(e, receipt) => {
                let entry = &mut self.entries[e];
                let budgets = std::iter::once(&entry.budget).chain(&entry.old_budgets);
                let mut leases = budgets.map(LeaseBudget::lease);
                if entry.alive && leases.any(|lease| lease == receipt.lease) {
                    entry.unanswered.push(receipt);
                }
            }
        }
    }

    fn on_draw(
        &mut self,
        e: usize,
        (lease, is_new): (LeaseId, bool),
        team: TeamId,
        need: Tokens,
        sent: Time,
    ) {
        let k = self.entries[e].keeper;
        let now = self.now;
        let keeper = &mut self.keepers[k];
        if !keeper.holders.may_draw(lease, is_new, &keeper.share, now) {
            return;
        }
        keeper.holders.renew(lease, now);
        let allocated = keeper.replica.allocated(keeper_id(k), team);
        let event = keeper
            .share
            .decide_grant(lease, team, need, need, allocated);
        match event {
            Some(event) => self.journal(k, event),
            None if !need.is_zero() => {
                keeper.demands.insert(team, need);
            }
            None => {}
        }
        let total = self.keepers[k].share.grant(lease, team).granted;
        self.network
            .push(Message::DrawReply(e, lease, team, total, sent));
    }

    fn on_dispatch(&mut self, e: usize, a: usize, receipt: Receipt) {
        let agent = &mut self.agents[a];
        if agent.rejected.contains(&receipt.lease) {
            return;
        }
        // A request is started only once under a lease.
        let runs = self.started_runs.entry(receipt.request).or_default();
        if runs.iter().any(|run| run.lease == receipt.lease) {
            return;
        }
        let used = Tokens(receipt.amount.0.div_ceil(2));
        let receipt = Receipt {
            amount: used,
            ..receipt
        };
        runs.push(receipt);
        let k = usize::try_from(receipt.lease.entry.0).unwrap() % KEEPERS;
        agent.unanswered.push((k, receipt));
        self.network.push(Message::Receipt(k, receipt));
        self.network.push(Message::Done(e, receipt));
    }

    fn on_receipt_reply(&mut self, receipt: &Receipt, bill: BillingOutcome) {
        let same = |unanswered: &Receipt| {
            unanswered.lease == receipt.lease && unanswered.request == receipt.request
        };
        for agent in &mut self.agents {
            agent.unanswered.retain(|(_, unanswered)| !same(unanswered));
        }
        for entry in &mut self.entries {
            entry.unanswered.retain(|unanswered| !same(unanswered));
            if let BillingOutcome::Billed(amount) = bill {
                let budgets = std::iter::once(&mut entry.budget).chain(&mut entry.old_budgets);
                for budget in budgets.filter(|w| w.lease() == receipt.lease) {
                    budget.settle(receipt.request, amount);
                }
            }
        }
    }

    fn on_query(&mut self, k: usize, lease: LeaseId, id: AgentId) {
        let Some(agent) = self.agents.iter_mut().find(|agent| agent.id == id) else {
            return;
        };
        agent.rejected.insert(lease);
        let mut unanswered: Vec<Receipt> = agent.unanswered.iter().map(|(_, r)| *r).collect();
        unanswered.retain(|receipt| receipt.lease == lease);
        if unanswered.is_empty() {
            self.network.push(Message::Cleared(k, lease, id));
        }
        for receipt in unanswered {
            self.network.push(Message::Receipt(k, receipt));
        }
    }

    fn post(&mut self, k: usize, returns: &[(TeamId, Tokens)]) {
        let keeper = &mut self.keepers[k];
        keeper
            .share
            .confirm_batch(keeper.replica.last_batch(keeper_id(k)));
        let requests = std::mem::take(&mut keeper.demands);
        let requests: Vec<Posting> = requests
            .into_iter()
            .map(|(team, need)| Posting::Request {
                team,
                demand: KeeperDemand {
                    required: need,
                    prefetch: need,
                },
            })
            .collect();
        if let Some(event) = keeper
            .share
            .decide_batch(requests, returns, &keeper.replica)
        {
            self.journal(k, event);
        }
        if let Some(batch) = self.keepers[k].share.unconfirmed_batch().cloned() {
            self.network.push(Message::Post(batch));
        }
    }

    fn catch_up(&mut self, k: usize, max_commands: usize) {
        let keeper = &mut self.keepers[k];
        if keeper.partitioned {
            return;
        }
        let end = self
            .log
            .len()
            .min(keeper.applied.saturating_add(max_commands));
        for command in &self.log[keeper.applied..end] {
            keeper.replica.apply(command, 0);
        }
        keeper.applied = end;
        let faults = verify::check_share(&keeper.share, &keeper.replica);
        if end == self.log.len() {
            assert_eq!(faults, Vec::new());
        }
    }

    fn restart_keeper(&mut self, k: usize, lag: u8) {
        let now = self.now;
        let keeper = &mut self.keepers[k];
        let mut share = Share::new(keeper_id(k));
        keeper.journal.iter().for_each(|event| share.apply(event));
        keeper.holders = LeaseHolders::after_restart(&share, now);
        keeper.share = share;
        keeper.demands.clear();
        // The replica restarts from a snapshot that may be older than its last state.
        keeper.replica = Ledger::default();
        keeper.applied = keeper.applied.saturating_sub(usize::from(lag) % 16);
        for command in &self.log[..keeper.applied] {
            keeper.replica.apply(command, 0);
        }
    }

    fn crash_entry(&mut self, e: usize) {
        let epoch = self.entries[e].epoch + 1;
        self.entries[e] = entry(e, epoch);
    }

    fn roll_lease(&mut self, e: usize) {
        if !self.entries[e].alive {
            return;
        }
        let epoch = self.entries[e].epoch + 1;
        let next = entry(e, epoch);
        let entry = &mut self.entries[e];
        let old_budget = std::mem::replace(&mut entry.budget, next.budget);
        entry.old_budgets.push(old_budget);
        entry.epoch = epoch;
    }

    fn crash_agent(&mut self, a: usize) {
        let old_id = self.agents[a].id;
        let id = AgentId {
            epoch: old_id.epoch + 1,
            ..old_id
        };
        let held: Vec<RequestId> = self.agents[a]
            .unanswered
            .iter()
            .map(|(_, r)| r.request)
            .collect();
        self.lost_requests.extend(held);
        self.agents[a] = Agent {
            id,
            unanswered: Vec::new(),
            rejected: BTreeSet::new(),
        };
        for k in 0..KEEPERS {
            self.journal(k, Event::AgentLost(old_id));
            self.journal(k, Event::AgentJoined(id));
        }
    }

    fn reclaim(&mut self, k: usize) {
        let now = self.now;
        let leases: Vec<LeaseId> = self.keepers[k].share.leases().collect();
        for lease in leases {
            let keeper = &self.keepers[k];
            match keeper.holders.reclaim_status(lease, &keeper.share, now) {
                ReclaimStatus::Active | ReclaimStatus::Blocked(_) => {}
                ReclaimStatus::AwaitingAgents(agents) => {
                    let requests = agents.into_iter().map(|a| Message::QueryAgent(k, lease, a));
                    self.network.extend(requests);
                }
                ReclaimStatus::Reclaimable => {
                    self.journal(k, Event::LeaseClosed(lease));
                    self.keepers[k].holders.remove(lease);
                }
            }
        }
    }

    /// Checks the invariants that hold after every step.
    pub fn check(&mut self) {
        assert_eq!(verify::check_ledger(&self.ledger), Vec::new());
        for keeper in &self.keepers {
            let faults = verify::check_share(&keeper.share, &self.ledger);
            assert_eq!(faults, Vec::new());
        }
        let mut spent: BTreeMap<TeamId, Tokens> = BTreeMap::new();
        for (request, runs) in &self.started_runs {
            let least = runs.iter().map(|run| run.amount).min();
            let bill = self.bills.get(request).copied().or(least);
            if let (Some(run), Some(bill)) = (runs.first(), bill) {
                let sum = spent.entry(run.team).or_default();
                *sum = sum.saturating_add(bill);
            }
        }
        for (team, spent) in spent {
            let credit = self.credits.get(&team).copied().unwrap_or_default();
            assert!(spent <= credit, "overspent: {spent} of {credit}");
        }
    }

    /// Heals all partitions, delivers all messages and ends every lease.
    pub fn recover(&mut self) {
        self.keepers.iter_mut().for_each(|k| k.partitioned = false);
        for round in 0..12 {
            self.deliver_all();
            for (k, receipt) in self.agents.iter().flat_map(|a| a.unanswered.clone()) {
                self.network.push(Message::Receipt(k, receipt));
            }
            for entry in &self.entries {
                let receipts = entry.unanswered.iter();
                self.network
                    .extend(receipts.map(|&r| Message::Receipt(entry.keeper, r)));
            }
            for k in 0..KEEPERS {
                self.catch_up(k, usize::MAX);
                self.post(k, &[]);
            }
            self.deliver_all();
            if round == 4 {
                // The entries stop sending, and their leases end.
                self.entries
                    .iter_mut()
                    .for_each(|entry| entry.alive = false);
                self.network.clear();
                self.now = self.now + LEASE_DURATION.with_drift(2_000) + Span::secs(10);
            }
            if round > 4 {
                (0..KEEPERS).for_each(|k| self.reclaim(k));
            }
            self.check();
        }
        for k in 0..KEEPERS {
            self.catch_up(k, usize::MAX);
        }
    }

    /// Checks the totals after [`Site::recover`].
    pub fn check_settled(&self) {
        let mut settled: BTreeMap<TeamId, Tokens> = BTreeMap::new();
        let mut seen = BTreeSet::new();
        let mut posted = BTreeMap::new();
        for command in &self.log {
            let Command::Post(batch) = command else {
                continue;
            };
            let last = posted.entry(batch.keeper).or_insert(0);
            if batch.number != *last + 1 {
                continue;
            }
            *last = batch.number;
            for posting in &batch.postings {
                if let Posting::Settle {
                    team,
                    request,
                    amount,
                } = posting
                    && seen.insert(*request)
                {
                    let sum = settled.entry(*team).or_default();
                    *sum = sum.saturating_add(*amount);
                }
            }
        }
        for (request, runs) in &self.started_runs {
            let all_reported = !self.lost_requests.contains(request);
            assert!(
                !all_reported
                    || runs.is_empty()
                    || self.ledger.billed_requests().contains(*request),
                "{request:?} ran and is not billed"
            );
        }
        for (&team, account) in self.ledger.accounts() {
            let sum = settled.get(&team).copied().unwrap_or_default();
            assert_eq!(account.settled, sum, "each request is billed once");
            let credit = self.credits.get(&team).copied().unwrap_or_default();
            assert_eq!(account.credits, credit, "each top-up counts once");
            assert_eq!(
                account
                    .unallocated
                    .saturating_add(account.held())
                    .saturating_add(sum),
                credit
            );
        }
        for keeper in &self.keepers {
            for lease in keeper.share.leases() {
                let stuck = keeper.share.lost_agents(lease).is_empty();
                assert!(!stuck, "{lease} is held though no agent is lost");
            }
            assert!(!keeper.share.has_pending(), "postings are still pending");
        }
    }
}
