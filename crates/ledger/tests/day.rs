//! A team's total over a day of requests that are answered, refused, left and lost, in random
//! orders: what is granted, spent, returned, held and unknown adds up to it.

use std::collections::BTreeMap;

use base::KeeperId;
use base::Time;
use ledger::Allowances;
use ledger::Grants;
use ledger::RequestTokens;
use ledger::Work;
use ledger::allowance::Demand;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const TEAM: &str = "team";
const WITNESS: KeeperId = KeeperId(1);
const RESERVED: u64 = 40_000;
const ENTRIES: u8 = 3;

/// How an engine treats a request, which the entry may not learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Truth {
    /// It didn't run the request, and states so.
    Refuses,
    /// It dropped the request and states nothing.
    Drops,
    /// It ran the request and made this number of events.
    Runs(u8),
}

#[derive(Clone, Debug)]
enum Step {
    /// An entry sends a request with a prompt of this length.
    Send(u8, u16, Truth),
    /// The answer to the oldest request of an entry arrives whole, if there is one.
    Answer(u8),
    /// The oldest request of an entry loses its answer after this number of events.
    Lose(u8, u8),
    /// The caller of the oldest request leaves before an answer.
    Leave(u8),
    /// An entry draws; the reply arrives or is lost.
    Draw(u8, bool),
    /// An entry ends at once, and another begins in its place.
    Crash(u8),
    /// An entry returns what it holds and ends once its requests have.
    Stop(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = u8::arbitrary(g) % ENTRIES;
        let events = u8::arbitrary(g) % 12;
        let truth = match u8::arbitrary(g) % 4 {
            0 => Truth::Refuses,
            1 => Truth::Drops,
            _ => Truth::Runs(events),
        };
        match u8::arbitrary(g) % 32 {
            0..=9 => Self::Send(entry, 1 + u16::arbitrary(g) % 900, truth),
            10..=14 => Self::Answer(entry),
            15..=17 => Self::Lose(entry, events),
            18..=20 => Self::Leave(entry),
            21..=29 => Self::Draw(entry, u8::arbitrary(g) % 4 > 0),
            30 => Self::Crash(entry),
            _ => Self::Stop(entry),
        }
    }
}

/// A request in flight.
struct Sent {
    tokens: RequestTokens,
    truth: Truth,
}

/// An entry with what it knows of its requests.
struct Entry {
    grants: Grants,
    sent: Vec<Sent>,
    /// Settled requests that were answered or did not run.
    spent: u64,
    /// Settled requests of which the work isn't known.
    unknown: u64,
    /// The highest limit on the witness's disk.
    limit: u64,
    /// What the ledger was told that is spent; a closed lease counts at least that.
    reported: u64,
}

impl Entry {
    fn new(lease: u64, holder: u64) -> Self {
        let mut grants = Grants::new(lease, holder);
        grants.propose_witnesses(&[WITNESS]);
        Self {
            grants,
            sent: Vec::new(),
            spent: 0,
            unknown: 0,
            limit: 0,
            reported: 0,
        }
    }

    /// Records limits on the witness's disk.
    fn record(&mut self, now: Time) {
        let marks = [self.grants.next_reserve(now), self.grants.next_mark(now)];
        for mark in marks.into_iter().flatten() {
            let limits = mark.limits.iter().map(|(_, limit)| *limit);
            if mark.lease == self.grants.lease_id() {
                self.limit = limits.fold(self.limit, u64::max);
            }
            self.grants.confirm_mark(&mark, WITNESS);
        }
    }

    /// Returns what the entry would report if it returned all unused tokens now.
    fn report(&self) -> Demand {
        let demands = self.grants.clone().return_all();
        demands.into_iter().next().unwrap_or(Demand {
            team: TEAM.to_owned(),
            target: 0,
            required: 0,
            returned: 0,
            spent: 0,
            charged: 0,
        })
    }

    fn settle(&mut self, work: Work) -> Option<Truth> {
        if self.sent.is_empty() {
            return None;
        }
        let sent = self.sent.remove(0);
        let (charged, used) = (sent.tokens.max_cost(), sent.tokens.cost(work));
        let lease = self.grants.lease_id();
        self.grants.settle(lease, TEAM, charged, used);
        match work {
            Work::Unknown(_) => self.unknown += used,
            _ => self.spent += used,
        }
        Some(sent.truth)
    }
}

struct Day {
    allowances: Allowances,
    entries: Vec<Entry>,
    /// What engines have read and callers have received.
    consumed: u64,
    next_lease: u64,
    now: Time,
    /// What the closed leases count as spent, by lease, and what their requests had used.
    closed: BTreeMap<u64, (u64, u64)>,
}

impl Day {
    fn new() -> Self {
        let mut allowances = Allowances::default();
        allowances.set_total(TEAM, RESERVED);
        Self {
            allowances,
            entries: (0..ENTRIES.into()).map(|n| Entry::new(n, n)).collect(),
            consumed: 0,
            next_lease: 100,
            now: Time(1),
            closed: BTreeMap::new(),
        }
    }

    fn draw(&mut self, at: usize, demands: &[Demand], arrives: bool) {
        let lease = self.entries[at].grants.lease().clone();
        for demand in demands {
            let reported = &mut self.entries[at].reported;
            *reported = demand.spent.max(*reported);
        }
        let replies = self.allowances.draw(&lease, demands, 1);
        let replies = replies.expect("the lease is open");
        if arrives {
            let grants = &mut self.entries[at].grants;
            grants.apply_grants(&lease, &replies, self.now);
        }
    }

    /// Ends an entry; the ledger closes its lease at the limit on the witness's disk.
    fn end(&mut self, at: usize) {
        let lease = self.next_lease;
        self.next_lease += 1;
        let ended = std::mem::replace(&mut self.entries[at], Entry::new(lease, at as u64));
        let in_flight = ended.sent.iter().map(|sent| match sent.truth {
            Truth::Runs(_) => sent.tokens.prompt,
            _ => 0,
        });
        let used = ended.spent + ended.unknown + in_flight.sum::<u64>();
        let before = self.allowances.allocated(TEAM);
        let held = self.held_by(&ended);
        let limits = [(TEAM.to_owned(), ended.limit)];
        self.allowances
            .close(ended.grants.lease_id(), Some(&limits), 1);
        let counted = held - (before - self.allowances.allocated(TEAM));
        self.closed.insert(ended.grants.lease_id(), (counted, used));
    }

    /// Returns what the ledger counts as allocated to the open lease of an entry.
    fn held_by(&self, entry: &Entry) -> u64 {
        let mut without = self.allowances.clone();
        let before = without.allocated(TEAM);
        without.close(entry.grants.lease_id(), Some(&[]), 1);
        before - without.allocated(TEAM) + entry.reported
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Send(at, prompt, truth) => {
                let tokens = RequestTokens {
                    prompt: prompt.into(),
                    max_output: 30,
                    per_event: 3,
                };
                let entry = &mut self.entries[usize::from(at)];
                let amount = tokens.max_cost();
                let mut charged = entry.grants.charge(TEAM, amount, self.now);
                if charged.is_err() {
                    entry.record(self.now);
                    charged = entry.grants.charge(TEAM, amount, self.now);
                }
                if charged.is_ok() {
                    if let Truth::Runs(_) = truth {
                        self.consumed += tokens.prompt;
                    }
                    entry.sent.push(Sent { tokens, truth });
                }
            }
            Step::Answer(at) => {
                let entry = &mut self.entries[usize::from(at)];
                let work = match entry.sent.first().map(|sent| sent.truth) {
                    Some(Truth::Runs(events)) => Work::Events(events.into()),
                    Some(Truth::Refuses) => Work::NotRun,
                    Some(Truth::Drops) => Work::Unknown(0),
                    None => return,
                };
                self.deliver(at, work);
            }
            Step::Lose(at, events) => {
                let entry = &self.entries[usize::from(at)];
                let made = match entry.sent.first().map(|sent| sent.truth) {
                    Some(Truth::Runs(made)) => made,
                    _ => 0,
                };
                self.deliver(at, Work::Unknown(made.min(events).into()));
            }
            Step::Leave(at) => {
                let entry = &self.entries[usize::from(at)];
                // Only the engine's statement frees the request; a close doesn't.
                let work = match entry.sent.first().map(|sent| sent.truth) {
                    Some(Truth::Refuses) => Work::NotRun,
                    _ => Work::Unknown(0),
                };
                self.deliver(at, work);
            }
            Step::Draw(at, arrives) => {
                let at = usize::from(at);
                let demands = self.entries[at].grants.demands(self.now);
                self.draw(at, &demands, arrives);
                self.entries[at].record(self.now);
            }
            Step::Crash(at) => self.end(at.into()),
            Step::Stop(entry) => {
                let at = usize::from(entry);
                while !self.entries[at].sent.is_empty() {
                    self.step(&Step::Answer(entry));
                }
                let demands = self.entries[at].grants.return_all();
                self.draw(at, &demands, true);
                self.end(at);
            }
        }
    }

    /// Settles the oldest request of an entry; its caller has received the counted events.
    fn deliver(&mut self, at: u8, work: Work) {
        let entry = &mut self.entries[usize::from(at)];
        let Some(sent) = entry.sent.first() else {
            return;
        };
        let (Work::Unknown(events) | Work::Events(events)) = work else {
            entry.settle(work);
            return;
        };
        let output = (events * sent.tokens.per_event).min(sent.tokens.max_output);
        self.consumed += output;
        entry.settle(work);
    }

    /// Checks that all tokens are accounted for.
    fn balance(&self) {
        let mut open = 0;
        for entry in &self.entries {
            let report = entry.report();
            let in_flight: u64 = entry.sent.iter().map(|sent| sent.tokens.max_cost()).sum();
            let settled = entry.spent + entry.unknown;
            assert_eq!(report.spent, settled, "spent and unknown");
            assert_eq!(report.charged, settled + in_flight, "and held for requests");
            let held = self.held_by(entry);
            assert!(
                report.charged <= held,
                "an entry spends what it was granted"
            );
            open += held;
        }
        let counted: u64 = self.closed.values().map(|(counted, _)| counted).sum();
        let unallocated = self.allowances.unallocated(TEAM);
        assert_eq!(open + counted + unallocated, RESERVED);
        for (lease, (counted, used)) in &self.closed {
            assert!(used <= counted, "lease {lease} used {used} of {counted}");
        }
        assert!(self.consumed <= RESERVED, "{} consumed", self.consumed);
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn day_adds_up(steps: Vec<Step>) -> bool {
    let mut day = Day::new();
    for step in &steps {
        day.step(step);
        day.now = Time(day.now.0 + 10_000);
        day.balance();
    }
    // At the end of the day each entry returns what it holds.
    for at in 0..ENTRIES {
        day.step(&Step::Stop(at));
    }
    day.balance();
    let counted: u64 = day.closed.values().map(|(counted, _)| counted).sum();
    day.consumed <= counted && counted + day.allowances.unallocated(TEAM) == RESERVED
}

#[test]
fn tokens_of_a_day_add_up_to_the_total() {
    let count = std::env::var("HISTORIES").map_or(2_000, |n| n.parse().expect("a number"));
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 17))
        .tests(count)
        .max_tests(count);
    check.quickcheck(day_adds_up as fn(Vec<Step>) -> bool);
}

/// What isn't known to be free is charged.
#[test]
fn only_a_statement_frees_a_request() {
    let tokens = RequestTokens {
        prompt: 100,
        max_output: 30,
        per_event: 3,
    };
    assert_eq!(tokens.cost(Work::NotRun), 0);
    assert_eq!(tokens.cost(Work::Unknown(0)), 106);
    assert_eq!(tokens.cost(Work::Unknown(50)), 130);
    assert_eq!(tokens.cost(Work::Events(4)), 112);
    assert_eq!(tokens.cost(Work::Eventless), 130);
    assert!(tokens.cost(Work::Unknown(u64::MAX)) <= tokens.max_cost());
}
