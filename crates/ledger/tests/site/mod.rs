//! A small site of keepers, entries and agents over a lossy network.

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
use ledger::Bill;
use ledger::Command;
use ledger::Event;
use ledger::Ledger;
use ledger::Move;
use ledger::Outcome;
use ledger::Receipt;
use ledger::Share;
use ledger::Tenancies;
use ledger::TopUp;
use ledger::Wallet;
use ledger::central::Want;
use ledger::reclaim::Standing;
use ledger::verify;
use ledger::wallet::LEASE;
use ledger::wallet::Reserve;

const KEEPERS: usize = 3;
const ENTRIES: usize = 3;
const AGENTS: usize = 2;
const TEAMS: u64 = 2;
const KEYS: u128 = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    TopUp(u8, u8, u8),
    Draw(u8, u8, u8),
    Start(u8, u8, u8),
    Deliver(u16),
    DeliverAll,
    Drop(u16),
    Double(u16),
    Post(u8),
    CatchUp(u8, u8),
    GiveBack(u8, u8, u8),
    Recall(u8, u8),
    Pass(u16),
    EntryDies(u8),
    AgentDies(u8),
    KeeperRestarts(u8, u8),
    Cut(u8),
    Heal,
    Roll(u8),
    Reclaim(u8),
}

#[derive(Clone, Debug)]
enum Message {
    Draw(usize, LeaseId, bool, TeamId, Tokens, Time),
    Drawn(usize, LeaseId, TeamId, Tokens, Time),
    GaveBack(usize, LeaseId, TeamId, Tokens),
    Receipt(usize, Receipt),
    Answered(Receipt, Bill),
    Post(Batch),
    Vouch(usize, LeaseId, AgentId),
    Cleared(usize, LeaseId, AgentId),
    Dispatch(usize, usize, Receipt),
    Done(usize, Receipt),
}

struct Keeper {
    share: Share,
    journal: Vec<Event>,
    replica: Ledger,
    applied: usize,
    tenancies: Tenancies,
    wants: BTreeMap<TeamId, Tokens>,
    cut: bool,
}

struct Entry {
    wallet: Wallet,
    old: Vec<Wallet>,
    keeper: usize,
    owed: Vec<Receipt>,
    epoch: u64,
    alive: bool,
}

struct Agent {
    id: AgentId,
    owed: Vec<(usize, Receipt)>,
    barred: BTreeSet<LeaseId>,
}

/// The whole site and its oracle.
pub struct Site {
    keepers: Vec<Keeper>,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    log: Vec<Command>,
    ledger: Ledger,
    net: Vec<Message>,
    now: Time,
    slowness: u64,
    credits: BTreeMap<TeamId, Tokens>,
    accepted: BTreeMap<String, (TeamId, Tokens)>,
    ran: BTreeMap<RequestId, Vec<Receipt>>,
    bills: BTreeMap<RequestId, Tokens>,
    lost: BTreeSet<RequestId>,
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
        wallet: Wallet::new(lease),
        old: Vec::new(),
        keeper: n % KEEPERS,
        owed: Vec::new(),
        epoch,
        alive: true,
    }
}

impl Site {
    /// Returns a site whose entries' clocks run `slowness` times too slow.
    pub fn new(slowness: u64) -> Self {
        let keeper = |n| Keeper {
            share: Share::new(keeper_id(n)),
            journal: Vec::new(),
            replica: Ledger::default(),
            applied: 0,
            tenancies: Tenancies::default(),
            wants: BTreeMap::new(),
            cut: false,
        };
        let mut site = Self {
            keepers: (0..KEEPERS).map(keeper).collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            log: Vec::new(),
            ledger: Ledger::default(),
            net: Vec::new(),
            now: Time(1),
            slowness,
            credits: BTreeMap::new(),
            accepted: BTreeMap::new(),
            ran: BTreeMap::new(),
            bills: BTreeMap::new(),
            lost: BTreeSet::new(),
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
                owed: Vec::new(),
                barred: BTreeSet::new(),
            });
            (0..KEEPERS).for_each(|k| site.journal(k, Event::Met(id)));
        }
        site
    }

    fn entry_clock(&self) -> Time {
        Time(self.now.0 / self.slowness)
    }

    fn journal(&mut self, k: usize, event: Event) {
        let keeper = &mut self.keepers[k];
        keeper.share.apply(&event);
        keeper.journal.push(event);
    }

    pub fn step(&mut self, step: Step) {
        let len = self.net.len();
        let place = |k: u16| usize::from(k) % len.max(1);
        match step {
            Step::TopUp(home, who, amount) => self.top_up(home, who, amount),
            Step::Draw(e, t, need) => self.draw(usize::from(e) % ENTRIES, team(t), need),
            Step::Start(e, key, cap) => self.start(usize::from(e) % ENTRIES, key, cap),
            Step::Deliver(k) if len > 0 => {
                let message = self.net.swap_remove(place(k));
                self.deliver(message);
            }
            Step::Drop(k) if len > 0 => {
                self.net.swap_remove(place(k));
            }
            Step::Double(k) if len > 0 => self.net.push(self.net[place(k)].clone()),
            Step::Deliver(_) | Step::Drop(_) | Step::Double(_) => {}
            Step::DeliverAll => self.deliver_all(),
            Step::Post(k) => self.post(usize::from(k) % KEEPERS, &[]),
            Step::CatchUp(k, n) => self.catch_up(usize::from(k) % KEEPERS, usize::from(n) % 8),
            Step::GiveBack(e, t, n) => self.give_back(usize::from(e) % ENTRIES, team(t), n),
            Step::Recall(k, t) => {
                let returns = [(team(t), Tokens(u64::MAX))];
                self.post(usize::from(k) % KEEPERS, &returns);
            }
            Step::Pass(ms) => self.now = self.now + Span::millis(u64::from(ms) % 40_000),
            Step::EntryDies(e) => self.entry_dies(usize::from(e) % ENTRIES),
            Step::AgentDies(a) => self.agent_dies(usize::from(a) % AGENTS),
            Step::KeeperRestarts(k, lag) => self.restart(usize::from(k) % KEEPERS, lag),
            Step::Cut(k) => self.keepers[usize::from(k) % KEEPERS].cut = true,
            Step::Heal => self.keepers.iter_mut().for_each(|k| k.cut = false),
            Step::Roll(e) => self.roll(usize::from(e) % ENTRIES),
            Step::Reclaim(k) => self.reclaim(usize::from(k) % KEEPERS),
        }
    }

    fn top_up(&mut self, home: u8, who: u8, amount: u8) {
        let name = who % 5;
        let amount = Tokens(u64::from(amount));
        let k = usize::from(home) % (KEEPERS + 1);
        // Now and then the operator goes to another keeper than the one named.
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
            let earlier = self.accepted.insert(text, (topup.team, amount));
            assert_eq!(earlier, None, "a top-up is accepted once");
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
            for step in &batch.moves {
                if let Move::Settle {
                    request, amount, ..
                } = step
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
            let lease = entry.wallet.lease();
            let need = Tokens(u64::from(need) / 4);
            let fresh = entry.wallet.fresh();
            self.net
                .push(Message::Draw(e, lease, fresh, team, need, sent));
        }
    }

    fn start(&mut self, e: usize, key: u8, cap: u8) {
        let now = self.entry_clock();
        let request = RequestId(u128::from(key) % KEYS);
        let team = TeamId(u64::try_from(request.0).unwrap() % TEAMS);
        let amount = Tokens(u64::from(cap) / 6 + 1);
        let entry = &mut self.entries[e];
        if !entry.alive || entry.wallet.reserve(request, team, amount, now) != Reserve::Held {
            return;
        }
        let receipt = Receipt {
            lease: entry.wallet.lease(),
            request,
            team,
            amount,
        };
        let agent = usize::from(cap) % AGENTS;
        self.net.push(Message::Dispatch(e, agent, receipt));
    }

    fn give_back(&mut self, e: usize, team: TeamId, most: u8) {
        let entry = &mut self.entries[e];
        if entry.alive {
            let lease = entry.wallet.lease();
            let total = entry.wallet.give_back(team, Tokens(u64::from(most)));
            self.net
                .push(Message::GaveBack(entry.keeper, lease, team, total));
        }
    }

    fn deliver_all(&mut self) {
        for _ in 0..4 {
            let batch = std::mem::take(&mut self.net);
            for message in batch {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Draw(e, lease, fresh, team, need, sent) => {
                self.on_draw(e, (lease, fresh), team, need, sent);
            }
            Message::Drawn(e, lease, team, total, sent) => {
                let entry = &mut self.entries[e];
                if entry.alive && entry.wallet.lease() == lease {
                    entry.wallet.renewed(sent);
                    entry.wallet.granted(team, total);
                }
            }
            Message::GaveBack(k, lease, team, total) => {
                let event = self.keepers[k].share.decide_return(lease, team, total);
                if let Some(event) = event {
                    self.journal(k, event);
                }
            }
            Message::Receipt(k, receipt) => {
                let (bill, event) = self.keepers[k].share.decide_receipt(&receipt);
                assert_ne!(bill, Bill::Overdrawn, "{receipt:?}");
                if let Some(event) = event {
                    self.journal(k, event);
                }
                self.net.push(Message::Answered(receipt, bill));
            }
            Message::Answered(receipt, bill) => self.on_answered(&receipt, bill),
            Message::Post(batch) => {
                let keeper = usize::try_from(batch.keeper.0).unwrap();
                if !self.keepers[keeper].cut {
                    let outcome = self.commit(&Command::Post(batch));
                    assert_ne!(
                        outcome,
                        Outcome::Refused(ledger::central::Refusal::Overdrawn)
                    );
                }
            }
            Message::Vouch(k, lease, agent) => self.on_vouch(k, lease, agent),
            Message::Cleared(k, lease, agent) => self.keepers[k].tenancies.clear(lease, agent),
            Message::Dispatch(e, a, receipt) => self.on_dispatch(e, a, receipt),
            Message::Done(e, receipt) => {
                let entry = &mut self.entries[e];
                let known = std::iter::once(&entry.wallet).chain(&entry.old);
                let mut leases = known.map(Wallet::lease);
                if entry.alive && leases.any(|lease| lease == receipt.lease) {
                    entry.owed.push(receipt);
                }
            }
        }
    }

    fn on_draw(
        &mut self,
        e: usize,
        (lease, fresh): (LeaseId, bool),
        team: TeamId,
        need: Tokens,
        sent: Time,
    ) {
        let k = self.entries[e].keeper;
        let now = self.now;
        let keeper = &mut self.keepers[k];
        if !keeper.tenancies.admits(lease, fresh, &keeper.share, now) {
            return;
        }
        keeper.tenancies.renew(lease, now);
        let allotted = keeper.replica.allotted(keeper_id(k), team);
        let event = keeper.share.decide_grant(lease, team, need, need, allotted);
        match event {
            Some(event) => self.journal(k, event),
            None if !need.is_zero() => {
                keeper.wants.insert(team, need);
            }
            None => {}
        }
        let total = self.keepers[k].share.grant(lease, team).granted;
        self.net.push(Message::Drawn(e, lease, team, total, sent));
    }

    fn on_dispatch(&mut self, e: usize, a: usize, receipt: Receipt) {
        let agent = &mut self.agents[a];
        if agent.barred.contains(&receipt.lease) {
            return;
        }
        // A run that was started once for this lease isn't started again.
        let runs = self.ran.entry(receipt.request).or_default();
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
        agent.owed.push((k, receipt));
        self.net.push(Message::Receipt(k, receipt));
        self.net.push(Message::Done(e, receipt));
    }

    fn on_answered(&mut self, receipt: &Receipt, bill: Bill) {
        let same = |owed: &Receipt| owed.lease == receipt.lease && owed.request == receipt.request;
        for agent in &mut self.agents {
            agent.owed.retain(|(_, owed)| !same(owed));
        }
        for entry in &mut self.entries {
            entry.owed.retain(|owed| !same(owed));
            if let Bill::Billed(amount) = bill {
                let wallets = std::iter::once(&mut entry.wallet).chain(&mut entry.old);
                for wallet in wallets.filter(|w| w.lease() == receipt.lease) {
                    wallet.settle(receipt.request, amount);
                }
            }
        }
    }

    fn on_vouch(&mut self, k: usize, lease: LeaseId, id: AgentId) {
        let Some(agent) = self.agents.iter_mut().find(|agent| agent.id == id) else {
            return;
        };
        agent.barred.insert(lease);
        let mut owed: Vec<Receipt> = agent.owed.iter().map(|(_, r)| *r).collect();
        owed.retain(|receipt| receipt.lease == lease);
        if owed.is_empty() {
            self.net.push(Message::Cleared(k, lease, id));
        }
        for receipt in owed {
            self.net.push(Message::Receipt(k, receipt));
        }
    }

    fn post(&mut self, k: usize, returns: &[(TeamId, Tokens)]) {
        let keeper = &mut self.keepers[k];
        keeper.share.confirm(keeper.replica.posted(keeper_id(k)));
        let asks = std::mem::take(&mut keeper.wants);
        let asks: Vec<Move> = asks
            .into_iter()
            .map(|(team, need)| Move::Ask {
                team,
                want: Want { need, extra: need },
            })
            .collect();
        if let Some(event) = keeper.share.decide_batch(asks, returns, &keeper.replica) {
            self.journal(k, event);
        }
        if let Some(batch) = self.keepers[k].share.batch().cloned() {
            self.net.push(Message::Post(batch));
        }
    }

    fn catch_up(&mut self, k: usize, most: usize) {
        let keeper = &mut self.keepers[k];
        if keeper.cut {
            return;
        }
        let end = self.log.len().min(keeper.applied.saturating_add(most));
        for command in &self.log[keeper.applied..end] {
            keeper.replica.apply(command, 0);
        }
        keeper.applied = end;
        let faults = verify::share(&keeper.share, &keeper.replica);
        if end == self.log.len() {
            assert_eq!(faults, Vec::new());
        }
    }

    fn restart(&mut self, k: usize, lag: u8) {
        let now = self.now;
        let keeper = &mut self.keepers[k];
        let mut share = Share::new(keeper_id(k));
        keeper.journal.iter().for_each(|event| share.apply(event));
        keeper.tenancies = Tenancies::after_restart(&share, now);
        keeper.share = share;
        keeper.wants.clear();
        // The replica starts from a snapshot and may be behind what it was.
        keeper.replica = Ledger::default();
        keeper.applied = keeper.applied.saturating_sub(usize::from(lag) % 16);
        for command in &self.log[..keeper.applied] {
            keeper.replica.apply(command, 0);
        }
    }

    fn entry_dies(&mut self, e: usize) {
        let epoch = self.entries[e].epoch + 1;
        self.entries[e] = entry(e, epoch);
    }

    fn roll(&mut self, e: usize) {
        if !self.entries[e].alive {
            return;
        }
        let epoch = self.entries[e].epoch + 1;
        let fresh = entry(e, epoch);
        let entry = &mut self.entries[e];
        let old = std::mem::replace(&mut entry.wallet, fresh.wallet);
        entry.old.push(old);
        entry.epoch = epoch;
    }

    fn agent_dies(&mut self, a: usize) {
        let old = self.agents[a].id;
        let id = AgentId {
            epoch: old.epoch + 1,
            ..old
        };
        let held: Vec<RequestId> = self.agents[a].owed.iter().map(|(_, r)| r.request).collect();
        self.lost.extend(held);
        self.agents[a] = Agent {
            id,
            owed: Vec::new(),
            barred: BTreeSet::new(),
        };
        for k in 0..KEEPERS {
            self.journal(k, Event::Lost(old));
            self.journal(k, Event::Met(id));
        }
    }

    fn reclaim(&mut self, k: usize) {
        let now = self.now;
        let leases: Vec<LeaseId> = self.keepers[k].share.leases().collect();
        for lease in leases {
            let keeper = &self.keepers[k];
            match keeper.tenancies.standing(lease, &keeper.share, now) {
                Standing::Live | Standing::Held(_) => {}
                Standing::Waiting(agents) => {
                    let asks = agents.into_iter().map(|a| Message::Vouch(k, lease, a));
                    self.net.extend(asks);
                }
                Standing::Clear => {
                    self.journal(k, Event::Closed(lease));
                    self.keepers[k].tenancies.close(lease);
                }
            }
        }
    }

    /// Checks what must hold at every instant.
    pub fn check(&mut self) {
        assert_eq!(verify::ledger(&self.ledger), Vec::new());
        for keeper in &self.keepers {
            let faults = verify::share(&keeper.share, &self.ledger);
            assert_eq!(faults, Vec::new());
        }
        let mut spent: BTreeMap<TeamId, Tokens> = BTreeMap::new();
        for (request, runs) in &self.ran {
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

    /// Heals all cuts, lets all messages through and ends every lease.
    pub fn mend(&mut self) {
        self.keepers.iter_mut().for_each(|k| k.cut = false);
        for round in 0..12 {
            self.deliver_all();
            for (k, receipt) in self.agents.iter().flat_map(|a| a.owed.clone()) {
                self.net.push(Message::Receipt(k, receipt));
            }
            for entry in &self.entries {
                let receipts = entry.owed.iter();
                self.net
                    .extend(receipts.map(|&r| Message::Receipt(entry.keeper, r)));
            }
            for k in 0..KEEPERS {
                self.catch_up(k, usize::MAX);
                self.post(k, &[]);
            }
            self.deliver_all();
            if round == 4 {
                // The entries fall silent and their leases end.
                self.entries
                    .iter_mut()
                    .for_each(|entry| entry.alive = false);
                self.net.clear();
                self.now = self.now + LEASE.with_drift(2_000) + Span::secs(10);
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

    /// Checks that the totals agree once all is mended.
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
            for step in &batch.moves {
                if let Move::Settle {
                    team,
                    request,
                    amount,
                } = step
                    && seen.insert(*request)
                {
                    let sum = settled.entry(*team).or_default();
                    *sum = sum.saturating_add(*amount);
                }
            }
        }
        for (request, runs) in &self.ran {
            let vouched = !self.lost.contains(request);
            assert!(
                !vouched || runs.is_empty() || self.ledger.billed().contains(*request),
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
                    .free
                    .saturating_add(account.held())
                    .saturating_add(sum),
                credit
            );
        }
        for keeper in &self.keepers {
            for lease in keeper.share.leases() {
                let stuck = keeper.share.lost(lease).is_empty();
                assert!(!stuck, "{lease} is held though nobody is lost");
            }
            assert!(!keeper.share.pending(), "moves are left over");
        }
    }
}
