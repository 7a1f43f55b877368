//! The endpoint selection policies under comparison.

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
use super::DOMAINS;
use super::ENGINES;
use super::MAX_BATCH_REQUESTS;
use super::REQUEST_TIMEOUT_MS;
use super::model::FinishedRequest;
use super::model::Fleet;

/// Interval between two load reports of an engine, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 500;

/// Age of a load report at its arrival, in milliseconds.
const REPORT_LAG_MS: u64 = 250;

/// Target of the product for the time to the first token.
const FIRST_TOKEN_TARGET: Span = Span::millis(360);

/// Divisor of the moving mean: a new duration has a weight of one part in 16.
const MEAN_DURATION_DIVISOR: u64 = 16;

/// The service that all engines provide.
const SERVICE: u64 = 1;

/// The outcome of a submitted request.
pub(crate) enum DispatchOutcome {
    /// The request was sent to an engine.
    Dispatched {
        /// Whether the engine had cached the prompt prefix.
        cache_hit: bool,
    },
    /// The request was refused.
    Refused(Arrival),
}

/// The baseline policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BaselineKind {
    RoundRobin,
    Random,
    LeastOutstanding,
    PrefixHash,
}

/// An endpoint selection policy with its state.
pub(crate) enum Policy {
    Product(Box<ProductPolicy>),
    Baseline(BaselinePolicy),
}

impl Policy {
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let baseline = |kind| {
            Self::Baseline(BaselinePolicy {
                kind,
                submitted: VecDeque::new(),
                outstanding: [0; ENGINES],
                round: 0,
                rng: fastrand::Rng::with_seed(seed),
            })
        };
        vec![
            Self::Product(Box::new(ProductPolicy::new(seed))),
            baseline(BaselineKind::RoundRobin),
            baseline(BaselineKind::Random),
            baseline(BaselineKind::LeastOutstanding),
            baseline(BaselineKind::PrefixHash),
        ]
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Product(_) => "this policy",
            Self::Baseline(baseline) => match baseline.kind {
                BaselineKind::RoundRobin => "round robin",
                BaselineKind::Random => "random",
                BaselineKind::LeastOutstanding => "least outstanding",
                BaselineKind::PrefixHash => "prefix hash",
            },
        }
    }

    pub(crate) fn apply_reports(&mut self, fleet: &Fleet, now: u64) {
        if let Self::Product(product) = self {
            product.apply_reports(fleet, now);
        }
    }

    pub(crate) fn submit(&mut self, arrival: Arrival, now: u64) {
        match self {
            Self::Product(product) => product.submit(arrival, now),
            Self::Baseline(baseline) => baseline.submitted.push_back(arrival),
        }
    }

    pub(crate) fn dispatch(&mut self, fleet: &mut Fleet, now: u64) -> Vec<DispatchOutcome> {
        match self {
            Self::Product(product) => product.dispatch(fleet, now),
            Self::Baseline(baseline) => baseline.dispatch(fleet),
        }
    }

    pub(crate) fn record_end(&mut self, finished: &FinishedRequest, complete: bool, now: u64) {
        match self {
            Self::Product(product) => product.record_end(finished, complete, now),
            Self::Baseline(baseline) => {
                let outstanding = &mut baseline.outstanding[finished.engine];
                *outstanding = outstanding.saturating_sub(1);
            }
        }
    }
}

/// A policy that sends every request to an engine immediately.
pub(crate) struct BaselinePolicy {
    kind: BaselineKind,
    submitted: VecDeque<Arrival>,
    outstanding: [u32; ENGINES],
    round: usize,
    rng: fastrand::Rng,
}

impl BaselinePolicy {
    fn dispatch(&mut self, fleet: &mut Fleet) -> Vec<DispatchOutcome> {
        let mut outcomes = Vec::new();
        while let Some(arrival) = self.submitted.pop_front() {
            // Baselines know at once which engines are lost, as if by ideal health checks.
            let live_engines: Vec<usize> = (0..ENGINES).filter(|e| !fleet.is_lost(*e)).collect();
            let hash = usize::try_from(arrival.prefix.wrapping_mul(0x9e37_79b9) >> 8).unwrap_or(0);
            let engine = match self.kind {
                BaselineKind::RoundRobin => {
                    self.round += 1;
                    live_engines[self.round % live_engines.len()]
                }
                BaselineKind::Random => live_engines[self.rng.usize(..live_engines.len())],
                BaselineKind::LeastOutstanding => {
                    let least_loaded = live_engines
                        .iter()
                        .min_by_key(|engine| self.outstanding[**engine]);
                    least_loaded.copied().unwrap_or(0)
                }
                BaselineKind::PrefixHash => live_engines[hash % live_engines.len()],
            };
            self.outstanding[engine] += 1;
            let cache_hit = fleet.dispatch(engine, arrival);
            outcomes.push(DispatchOutcome::Dispatched { cache_hit });
        }
        outcomes
    }
}

/// The product's endpoint table, queue and retry budget.
pub(crate) struct ProductPolicy {
    table: EndpointTable,
    queue: Queue<Arrival>,
    retry_budget: RetryBudget,
    mean_duration: Span,
    refused: Vec<Arrival>,
    pending_reports: VecDeque<(u64, usize, u32)>,
    freed_slots: Vec<Slot>,
}

fn time_from_ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

impl ProductPolicy {
    fn new(seed: u64) -> Self {
        Self {
            table: EndpointTable::new(seed),
            queue: Queue::default(),
            retry_budget: RetryBudget::default(),
            mean_duration: Span::millis(2_000),
            refused: Vec::new(),
            pending_reports: VecDeque::new(),
            freed_slots: Vec::new(),
        }
    }

    /// Collects the load reports that are due and applies each one `REPORT_LAG_MS` later.
    fn apply_reports(&mut self, fleet: &Fleet, now: u64) {
        for engine in 0..ENGINES {
            let due = (now + engine as u64 * 40).is_multiple_of(REPORT_INTERVAL_MS);
            if due && !fleet.is_lost(engine) {
                let active_requests =
                    u32::try_from(fleet.active_requests(engine)).unwrap_or(u32::MAX);
                self.pending_reports
                    .push_back((now + REPORT_LAG_MS, engine, active_requests));
            }
        }
        while let Some(&(at, engine, active_requests)) = self.pending_reports.front()
            && at <= now
        {
            self.pending_reports.pop_front();
            let info = EndpointInfo {
                id: EndpointId(engine as u64),
                domain: (engine % DOMAINS) as u64,
                services: vec![SERVICE],
                max_requests: MAX_BATCH_REQUESTS,
                draining: false,
            };
            let load = LoadReport {
                active_requests,
                age: Span::millis(REPORT_LAG_MS),
            };
            self.table.apply_report(&info, load, time_from_ms(now));
        }
    }

    fn submit(&mut self, arrival: Arrival, now: u64) {
        if arrival.retries == 0 {
            self.retry_budget.record_request();
        } else if !self.retry_budget.try_retry() {
            self.refused.push(arrival);
            return;
        }
        let remaining_ms = (arrival.arrived_ms + REQUEST_TIMEOUT_MS).saturating_sub(now);
        let capacity = self.table.capacity(SERVICE, time_from_ms(now));
        // After its wait the request is expected to run for the mean duration.
        let wait = expected_wait(self.mean_duration, self.queue.len(), capacity);
        let meets_deadline =
            wait.is_some_and(|wait| wait.0 + self.mean_duration.0 <= Span::millis(remaining_ms).0);
        let params = QueueParams {
            team: TeamId(u64::from(arrival.team)),
            weight: 1,
            priority: 1,
            deadline: time_from_ms(arrival.arrived_ms + REQUEST_TIMEOUT_MS),
            cost: arrival.answer_tokens,
        };
        if !meets_deadline || self.queue.push(&params, arrival).is_err() {
            self.refused.push(arrival);
        }
    }

    fn dispatch(&mut self, fleet: &mut Fleet, now: u64) -> Vec<DispatchOutcome> {
        let mut outcomes: Vec<DispatchOutcome> = self
            .refused
            .drain(..)
            .map(DispatchOutcome::Refused)
            .collect();
        let expired = self.queue.expire(time_from_ms(now));
        outcomes.extend(expired.into_iter().map(DispatchOutcome::Refused));
        while let Some(arrival) = self.pop_next(now) {
            let query = EndpointQuery {
                service: SERVICE,
                prefix: Some(arrival.prefix),
                domain: arrival.id % DOMAINS as u64,
                excluded_endpoints: &[],
            };
            let EndpointChoice::Endpoint(slot, _) = self.table.choose(&query, time_from_ms(now))
            else {
                self.requeue(arrival);
                break;
            };
            let engine = usize::try_from(self.table.endpoint_id(slot).0).unwrap_or(0);
            if fleet.is_lost(engine) {
                self.table.record_failure(slot, time_from_ms(now));
                self.requeue(arrival);
                continue;
            }
            self.table
                .record_dispatch(slot, Some(arrival.prefix), time_from_ms(now));
            let cache_hit = fleet.dispatch(engine, arrival);
            outcomes.push(DispatchOutcome::Dispatched { cache_hit });
        }
        outcomes
    }

    /// Removes the next request, preferring one whose prefix has affinity to the engine
    /// freed last.
    fn pop_next(&mut self, now: u64) -> Option<Arrival> {
        let Some(slot) = self.freed_slots.pop() else {
            return self.queue.pop();
        };
        let table = &self.table;
        self.queue
            .pop_preferred(|a| table.has_affinity(slot, SERVICE, a.prefix, time_from_ms(now)))
    }

    fn requeue(&mut self, arrival: Arrival) {
        let params = QueueParams {
            team: TeamId(u64::from(arrival.team)),
            weight: 1,
            priority: 0,
            deadline: time_from_ms(arrival.arrived_ms + REQUEST_TIMEOUT_MS),
            cost: arrival.answer_tokens,
        };
        if self.queue.push(&params, arrival).is_err() {
            self.refused.push(arrival);
        }
    }

    fn record_end(&mut self, finished: &FinishedRequest, complete: bool, now: u64) {
        let Some(slot) = self.table.slot(EndpointId(finished.engine as u64)) else {
            return;
        };
        self.table.record_completion(slot, time_from_ms(now));
        self.freed_slots.push(slot);
        if !complete {
            self.table.record_failure(slot, time_from_ms(now));
            return;
        }
        let first_token_wait = Span::millis(
            finished
                .first_token_ms
                .saturating_sub(finished.arrival.arrived_ms),
        );
        self.table.record_first_token(
            slot,
            first_token_wait.min(FIRST_TOKEN_TARGET),
            FIRST_TOKEN_TARGET,
        );
        let duration = Span::millis(now.saturating_sub(finished.arrival.arrived_ms));
        self.mean_duration = Span(
            self.mean_duration.0 - self.mean_duration.0 / MEAN_DURATION_DIVISOR
                + duration.0 / MEAN_DURATION_DIVISOR,
        );
    }
}
