//! The policies that are compared.

use std::collections::VecDeque;

use base::EndpointId;
use base::Span;
use base::TeamId;
use base::Time;
use routing::EndpointChoice;
use routing::EndpointInfo;
use routing::EndpointQuery;
use routing::EndpointTable;
use routing::LoadReport;
use routing::Queue;
use routing::RetryBudget;
use routing::Slot;
use routing::queue::QueueParams;
use routing::queue::expected_wait;

use super::Arrival;
use super::DEADLINE_MS;
use super::DOMAINS;
use super::ENGINES;
use super::ROOM;
use super::model::Done;
use super::model::Fleet;

/// Milliseconds between two reports of an engine, and how old they are.
const REPORT_MS: u64 = 500;
const LAG_MS: u64 = 250;

/// The wait for the first token that the product aims at.
const AIM: Span = Span::millis(360);

/// Part of the mean that one request's duration moves.
const MEAN_WEIGHT: u64 = 16;

/// The kind of model that all engines serve.
const SERVES: u64 = 1;

/// What became of a request that was submitted.
pub(crate) enum Placed {
    /// An engine has it.
    Begun {
        /// Whether its prefix was cached.
        cached: bool,
    },
    /// It was refused.
    Refused(Arrival),
}

/// The baselines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Simple {
    RoundRobin,
    Random,
    LeastOutstanding,
    PrefixHash,
}

/// A policy with its state.
pub(crate) enum Chooser {
    Product(Box<Product>),
    Baseline(Baseline),
}

impl Chooser {
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let simple = |kind| {
            Self::Baseline(Baseline {
                kind,
                submitted: VecDeque::new(),
                own: [0; ENGINES],
                turn: 0,
                rng: fastrand::Rng::with_seed(seed),
            })
        };
        vec![
            Self::Product(Box::new(Product::new(seed))),
            simple(Simple::RoundRobin),
            simple(Simple::Random),
            simple(Simple::LeastOutstanding),
            simple(Simple::PrefixHash),
        ]
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Product(_) => "this policy",
            Self::Baseline(baseline) => match baseline.kind {
                Simple::RoundRobin => "round robin",
                Simple::Random => "random",
                Simple::LeastOutstanding => "least outstanding",
                Simple::PrefixHash => "prefix hash",
            },
        }
    }

    pub(crate) fn reports(&mut self, fleet: &Fleet, now: u64) {
        if let Self::Product(product) = self {
            product.reports(fleet, now);
        }
    }

    pub(crate) fn submit(&mut self, arrival: Arrival, now: u64) {
        match self {
            Self::Product(product) => product.submit(arrival, now),
            Self::Baseline(baseline) => baseline.submitted.push_back(arrival),
        }
    }

    pub(crate) fn place(&mut self, fleet: &mut Fleet, now: u64) -> Vec<Placed> {
        match self {
            Self::Product(product) => product.place(fleet, now),
            Self::Baseline(baseline) => baseline.place(fleet),
        }
    }

    pub(crate) fn ended(&mut self, done: &Done, whole: bool, now: u64) {
        match self {
            Self::Product(product) => product.ended(done, whole, now),
            Self::Baseline(baseline) => {
                let own = &mut baseline.own[done.engine];
                *own = own.saturating_sub(1);
            }
        }
    }
}

/// A policy that gives every request to an engine at once.
pub(crate) struct Baseline {
    kind: Simple,
    submitted: VecDeque<Arrival>,
    own: [u32; ENGINES],
    turn: usize,
    rng: fastrand::Rng,
}

impl Baseline {
    fn place(&mut self, fleet: &mut Fleet) -> Vec<Placed> {
        let mut out = Vec::new();
        while let Some(arrival) = self.submitted.pop_front() {
            // Health checks tell baselines at once which engines are lost.
            let alive: Vec<usize> = (0..ENGINES).filter(|e| !fleet.lost(*e)).collect();
            let hash = usize::try_from(arrival.prefix.wrapping_mul(0x9e37_79b9) >> 8).unwrap_or(0);
            let engine = match self.kind {
                Simple::RoundRobin => {
                    self.turn += 1;
                    alive[self.turn % alive.len()]
                }
                Simple::Random => alive[self.rng.usize(..alive.len())],
                Simple::LeastOutstanding => {
                    let least = alive.iter().min_by_key(|engine| self.own[**engine]);
                    least.copied().unwrap_or(0)
                }
                Simple::PrefixHash => alive[hash % alive.len()],
            };
            self.own[engine] += 1;
            let cached = fleet.give(engine, arrival);
            out.push(Placed::Begun { cached });
        }
        out
    }
}

/// The product's table, queue and retry budget.
pub(crate) struct Product {
    table: EndpointTable,
    queue: Queue<Arrival>,
    retries: RetryBudget,
    mean: Span,
    refused: Vec<Arrival>,
    pending: VecDeque<(u64, usize, u32)>,
    freed: Vec<Slot>,
}

fn time(ms: u64) -> Time {
    Time(ms * 1_000)
}

impl Product {
    fn new(seed: u64) -> Self {
        Self {
            table: EndpointTable::new(seed),
            queue: Queue::default(),
            retries: RetryBudget::default(),
            mean: Span::millis(2_000),
            refused: Vec::new(),
            pending: VecDeque::new(),
            freed: Vec::new(),
        }
    }

    /// Takes in each engine's report a lag after it was made.
    fn reports(&mut self, fleet: &Fleet, now: u64) {
        for engine in 0..ENGINES {
            let due = (now + engine as u64 * 40).is_multiple_of(REPORT_MS);
            if due && !fleet.lost(engine) {
                let busy = u32::try_from(fleet.busy(engine)).unwrap_or(u32::MAX);
                self.pending.push_back((now + LAG_MS, engine, busy));
            }
        }
        while let Some(&(at, engine, busy)) = self.pending.front()
            && at <= now
        {
            self.pending.pop_front();
            let info = EndpointInfo {
                id: EndpointId(engine as u64),
                domain: (engine % DOMAINS) as u64,
                services: vec![SERVES],
                max_requests: ROOM,
                draining: false,
            };
            let load = LoadReport {
                active_requests: busy,
                age: Span::millis(LAG_MS),
            };
            self.table.apply_report(&info, load, time(now));
        }
    }

    fn submit(&mut self, arrival: Arrival, now: u64) {
        if arrival.tries == 0 {
            self.retries.record_request();
        } else if !self.retries.try_retry() {
            self.refused.push(arrival);
            return;
        }
        let left = (arrival.at + DEADLINE_MS).saturating_sub(now);
        let room = self.table.capacity(SERVES, time(now));
        // The request itself takes a mean's time after its wait.
        let wait = expected_wait(self.mean, self.queue.len(), room);
        let fits = wait.is_some_and(|wait| wait.0 + self.mean.0 <= Span::millis(left).0);
        let entrant = QueueParams {
            team: TeamId(u64::from(arrival.team)),
            weight: 1,
            priority: 1,
            deadline: time(arrival.at + DEADLINE_MS),
            cost: arrival.tokens,
        };
        if !fits || self.queue.push(&entrant, arrival).is_err() {
            self.refused.push(arrival);
        }
    }

    fn place(&mut self, fleet: &mut Fleet, now: u64) -> Vec<Placed> {
        let mut out: Vec<Placed> = self.refused.drain(..).map(Placed::Refused).collect();
        let expired = self.queue.expire(time(now));
        out.extend(expired.into_iter().map(Placed::Refused));
        while let Some(arrival) = self.next(now) {
            let wish = EndpointQuery {
                service: SERVES,
                prefix: Some(arrival.prefix),
                domain: arrival.id % DOMAINS as u64,
                excluded_endpoints: &[],
            };
            let EndpointChoice::Endpoint(slot, _) = self.table.choose(&wish, time(now)) else {
                self.push_back(arrival);
                break;
            };
            let engine = usize::try_from(self.table.endpoint_id(slot).0).unwrap_or(0);
            if fleet.lost(engine) {
                self.table.record_failure(slot, time(now));
                self.push_back(arrival);
                continue;
            }
            self.table
                .record_dispatch(slot, Some(arrival.prefix), time(now));
            let cached = fleet.give(engine, arrival);
            out.push(Placed::Begun { cached });
        }
        out
    }

    /// Takes the next request, one that suits the engine freed last where it can.
    fn next(&mut self, now: u64) -> Option<Arrival> {
        let Some(slot) = self.freed.pop() else {
            return self.queue.pop();
        };
        let table = &self.table;
        self.queue
            .pop_preferred(|a| table.has_affinity(slot, SERVES, a.prefix, time(now)))
    }

    fn push_back(&mut self, arrival: Arrival) {
        let entrant = QueueParams {
            team: TeamId(u64::from(arrival.team)),
            weight: 1,
            priority: 0,
            deadline: time(arrival.at + DEADLINE_MS),
            cost: arrival.tokens,
        };
        if self.queue.push(&entrant, arrival).is_err() {
            self.refused.push(arrival);
        }
    }

    fn ended(&mut self, done: &Done, whole: bool, now: u64) {
        let Some(slot) = self.table.slot(EndpointId(done.engine as u64)) else {
            return;
        };
        self.table.record_completion(slot, time(now));
        self.freed.push(slot);
        if !whole {
            self.table.record_failure(slot, time(now));
            return;
        }
        let first = Span::millis(done.first.saturating_sub(done.arrival.at));
        self.table.record_first_token(slot, first.min(AIM), AIM);
        let took = Span::millis(now.saturating_sub(done.arrival.at));
        self.mean = Span(self.mean.0 - self.mean.0 / MEAN_WEIGHT + took.0 / MEAN_WEIGHT);
    }
}
