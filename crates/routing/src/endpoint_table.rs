//! The known endpoints and the selection among them, from load reports and local
//! dispatches.
//!
//! A selection examines a bounded number of candidates, so its cost does not grow with
//! the fleet. The candidates are the endpoints that recently received the same prefix and
//! a few random ones, those of the same failure domain first.

use std::collections::VecDeque;

use base::EndpointId;
use base::Map;
use base::Span;
use base::Time;

use crate::concurrency::ConcurrencyLimit;
use crate::prefix_index::PrefixIndex;

/// Number of candidates sampled in the same failure domain.
const LOCAL_SAMPLE_SIZE: usize = 3;

/// Number of candidates sampled in all failure domains.
const GLOBAL_SAMPLE_SIZE: usize = 2;

/// Cost reduction for a cached prefix, as a fraction of an endpoint's concurrency limit.
const CACHED_PREFIX_BONUS: f64 = 0.6;

/// Cost of another failure domain, as a fraction of an endpoint's concurrency limit.
const CROSS_DOMAIN_COST: f64 = 0.25;

/// Number of consecutive failures that eject an endpoint.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Duration of the first ejection. It doubles with each ejection.
const MIN_EJECTION_TIME: Span = Span::secs(1);

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Maximum number of recorded changes that a delayed report may not include.
const MAX_RECENT_CHANGES: usize = 4_096;

/// Time after its last report in which an endpoint counts as present.
pub const REPORT_TIMEOUT: Span = Span::secs(3);

/// The dense index of an endpoint in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(u32);

impl Slot {
    fn index(self) -> usize {
        self.0 as usize
    }
}

/// The properties of an endpoint except its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The identifier of the endpoint.
    pub id: EndpointId,
    /// The failure domain.
    pub domain: u64,
    /// The digests of the model or service names that the endpoint serves.
    pub services: Vec<u64>,
    /// The maximum number of concurrent requests.
    pub max_requests: u32,
    /// Whether the endpoint accepts no new requests.
    pub draining: bool,
}

/// A load report, which arrives with a delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests that run or wait at the endpoint.
    pub active_requests: u32,
    /// The age of the report.
    pub age: Span,
}

#[derive(Clone, Debug)]
struct Endpoint {
    info: EndpointInfo,
    limit: ConcurrencyLimit,
    reported_requests: u32,
    reported_at: Time,
    last_seen: Time,
    /// Requests of this entry that run at the endpoint.
    own_requests: u32,
    /// Requests of this entry that started (one) or ended (minus one), by time.
    recent_changes: VecDeque<(Time, i64)>,
    /// The sum of `recent_changes`.
    unreported_change: i64,
    failure_streak: u32,
    ejections: u32,
    ejected_until: Time,
    is_present: bool,
}

impl Endpoint {
    /// Returns the active requests: the last report corrected by later local changes.
    fn active_requests(&self) -> u32 {
        let active = i64::from(self.reported_requests) + self.unreported_change;
        u32::try_from(active).unwrap_or(0).max(self.own_requests)
    }

    /// Records a change that the next reports may not include.
    fn record_change(&mut self, now: Time, change: i64) {
        self.recent_changes.push_back((now, change));
        self.unreported_change += change;
        if self.recent_changes.len() > MAX_RECENT_CHANGES
            && let Some((_, oldest)) = self.recent_changes.pop_front()
        {
            self.unreported_change -= oldest;
        }
    }

    fn is_usable(&self, now: Time) -> bool {
        self.is_present
            && !self.info.draining
            && now >= self.ejected_until
            && now.since(self.last_seen) < REPORT_TIMEOUT
    }

    /// Returns whether the endpoint has capacity. After an ejection it gets one request at
    /// a time until one succeeds.
    fn has_capacity(&self) -> bool {
        let limit = if self.failure_streak >= MAX_CONSECUTIVE_FAILURES {
            1
        } else {
            self.limit.get()
        };
        self.active_requests() < limit
    }
}

/// The properties of a request that determine its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery<'a> {
    /// The digest of the model or service name.
    pub service: u64,
    /// The digest of the prompt prefix, where the request uses cache affinity.
    pub prefix: Option<u64>,
    /// The failure domain of the entry.
    pub domain: u64,
    /// The endpoints that were already tried.
    pub excluded_endpoints: &'a [EndpointId],
}

/// The result of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChoice {
    /// The selected endpoint, and whether it is likely to cache the prefix.
    Endpoint(Slot, bool),
    /// Endpoints serve the model or service, but none has capacity.
    Saturated,
    /// No endpoint serves the model or service.
    Unavailable,
}

/// The known endpoints.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    slots: Map<EndpointId, Slot>,
    slots_by_domain: Map<(u64, u64), Vec<Slot>>,
    slots_by_service: Map<u64, Vec<Slot>>,
    prefixes: PrefixIndex,
    rng: fastrand::Rng,
    candidates: Vec<(Slot, bool)>,
}

impl EndpointTable {
    /// Returns an empty table whose random samples are determined by `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            slots: Map::default(),
            slots_by_domain: Map::default(),
            slots_by_service: Map::default(),
            prefixes: PrefixIndex::default(),
            rng: fastrand::Rng::with_seed(seed),
            candidates: Vec::new(),
        }
    }

    /// Returns the slot of an endpoint.
    #[must_use]
    pub fn slot(&self, id: EndpointId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    /// Returns the endpoint in a slot.
    ///
    /// # Panics
    ///
    /// Panics where the slot belongs to another table.
    #[must_use]
    pub fn endpoint_id(&self, slot: Slot) -> EndpointId {
        self.endpoints[slot.index()].info.id
    }

    /// Returns the number of endpoints that can be selected.
    #[must_use]
    pub fn usable_count(&self, now: Time) -> usize {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable(now))
            .count()
    }

    /// Returns the sum of the concurrency limits of the usable endpoints of a service.
    #[must_use]
    pub fn capacity(&self, service: u64, now: Time) -> u32 {
        let usable = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable(now));
        let serving = usable.filter(|endpoint| endpoint.info.services.contains(&service));
        serving.map(|endpoint| endpoint.limit.get()).sum()
    }

    /// Applies the properties and the load report of an endpoint.
    pub fn apply_report(&mut self, info: &EndpointInfo, load: LoadReport, now: Time) {
        let slot = match self.slot(info.id) {
            Some(slot) => slot,
            None => self.add(info, now),
        };
        if self.endpoints[slot.index()].info.services != info.services
            || self.endpoints[slot.index()].info.domain != info.domain
        {
            self.unindex_slot(slot);
            self.index_slot(slot, info);
        }
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.set_ceiling(info.max_requests);
        endpoint.info = info.clone();
        endpoint.is_present = true;
        endpoint.last_seen = now;
        let reported_at = Time(now.0.saturating_sub(load.age.0));
        if reported_at >= endpoint.reported_at {
            endpoint.reported_requests = load.active_requests;
            endpoint.reported_at = reported_at;
            while let Some((_, change)) = endpoint
                .recent_changes
                .pop_front_if(|(at, _)| *at <= reported_at)
            {
                endpoint.unreported_change -= change;
            }
        }
    }

    /// Marks an endpoint as absent.
    pub fn mark_absent(&mut self, id: EndpointId) {
        if let Some(slot) = self.slot(id) {
            self.endpoints[slot.index()].is_present = false;
        }
    }

    fn add(&mut self, info: &EndpointInfo, now: Time) -> Slot {
        let slot = Slot(u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX));
        self.endpoints.push(Endpoint {
            info: info.clone(),
            limit: ConcurrencyLimit::new(info.max_requests),
            reported_requests: 0,
            reported_at: Time(0),
            last_seen: now,
            own_requests: 0,
            recent_changes: VecDeque::new(),
            unreported_change: 0,
            failure_streak: 0,
            ejections: 0,
            ejected_until: Time(0),
            is_present: true,
        });
        self.slots.insert(info.id, slot);
        self.index_slot(slot, info);
        slot
    }

    fn index_slot(&mut self, slot: Slot, info: &EndpointInfo) {
        for &service in &info.services {
            self.slots_by_service.entry(service).or_default().push(slot);
            let local_slots = self
                .slots_by_domain
                .entry((service, info.domain))
                .or_default();
            local_slots.push(slot);
        }
    }

    fn unindex_slot(&mut self, slot: Slot) {
        for slots in self
            .slots_by_service
            .values_mut()
            .chain(self.slots_by_domain.values_mut())
        {
            slots.retain(|other| *other != slot);
        }
    }

    /// Selects an endpoint.
    pub fn choose(&mut self, query: &EndpointQuery<'_>, now: Time) -> EndpointChoice {
        self.collect_candidates(query, now);
        let candidates = std::mem::take(&mut self.candidates);
        let best = candidates
            .iter()
            .filter(|(slot, _)| self.is_eligible(*slot, query, now))
            .map(|&(slot, cached)| (self.cost(slot, cached, query), slot, cached))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        self.candidates = candidates;
        if let Some((_, slot, cached)) = best {
            return EndpointChoice::Endpoint(slot, cached);
        }
        self.scan_endpoints(query, now)
    }

    /// Collects the candidates: the holders of the prefix, then a random sample.
    fn collect_candidates(&mut self, query: &EndpointQuery<'_>, now: Time) {
        self.candidates.clear();
        if let Some(prefix) = query.prefix {
            let holders = self.prefixes.holders(prefix, now);
            self.candidates.extend(holders.map(|slot| (slot, true)));
            // All entries compute the same home of a prefix, which keeps it from being cached
            // everywhere.
            if let Some(home) = home_slot(self.slots_by_service.get(&query.service), prefix)
                && self.candidates.iter().all(|(slot, _)| *slot != home)
            {
                self.candidates.push((home, true));
            }
        }
        let local_slots = self.slots_by_domain.get(&(query.service, query.domain));
        sample_candidates(
            &mut self.rng,
            local_slots,
            LOCAL_SAMPLE_SIZE,
            &mut self.candidates,
        );
        let service_slots = self.slots_by_service.get(&query.service);
        sample_candidates(
            &mut self.rng,
            service_slots,
            GLOBAL_SAMPLE_SIZE,
            &mut self.candidates,
        );
    }

    fn is_eligible(&self, slot: Slot, query: &EndpointQuery<'_>, now: Time) -> bool {
        let endpoint = &self.endpoints[slot.index()];
        endpoint.is_usable(now)
            && endpoint.has_capacity()
            && endpoint.info.services.contains(&query.service)
            && !query.excluded_endpoints.contains(&endpoint.info.id)
    }

    fn cost(&self, slot: Slot, cached: bool, query: &EndpointQuery<'_>) -> f64 {
        let endpoint = &self.endpoints[slot.index()];
        let utilization =
            f64::from(endpoint.active_requests()) / f64::from(endpoint.limit.get().max(1));
        let prefix_bonus = if cached { CACHED_PREFIX_BONUS } else { 0.0 };
        let domain_cost = if endpoint.info.domain == query.domain {
            0.0
        } else {
            CROSS_DOMAIN_COST
        };
        utilization + domain_cost - prefix_bonus
    }

    /// Scans all endpoints from a random position where no candidate is eligible.
    ///
    /// The scan stops at the first eligible endpoint. It covers all endpoints only where
    /// the fleet has no capacity, and then requests queue.
    fn scan_endpoints(&mut self, query: &EndpointQuery<'_>, now: Time) -> EndpointChoice {
        let Some(slots) = self.slots_by_service.get(&query.service) else {
            return EndpointChoice::Unavailable;
        };
        let mut present = false;
        let start = if slots.is_empty() {
            0
        } else {
            self.rng.usize(..slots.len())
        };
        for &slot in slots[start..].iter().chain(&slots[..start]) {
            let endpoint = &self.endpoints[slot.index()];
            present |= endpoint.is_present
                && now.since(endpoint.last_seen) < REPORT_TIMEOUT
                && !query.excluded_endpoints.contains(&endpoint.info.id);
            if self.is_eligible(slot, query, now) {
                return EndpointChoice::Endpoint(slot, false);
            }
        }
        if present {
            EndpointChoice::Saturated
        } else {
            EndpointChoice::Unavailable
        }
    }

    /// Returns whether `slot` is likely to cache `prefix`, or is its home.
    #[must_use]
    pub fn has_affinity(&self, slot: Slot, service: u64, prefix: u64, now: Time) -> bool {
        self.prefixes
            .holders(prefix, now)
            .any(|holder| holder == slot)
            || home_slot(self.slots_by_service.get(&service), prefix) == Some(slot)
    }

    /// Records that a request is sent to `slot`.
    pub fn record_dispatch(&mut self, slot: Slot, prefix: Option<u64>, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.own_requests += 1;
        endpoint.record_change(now, 1);
        if let Some(prefix) = prefix {
            self.prefixes.record_use(prefix, slot, now);
        }
    }

    /// Records that a request at `slot` has ended, successfully or not.
    pub fn record_completion(&mut self, slot: Slot, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.own_requests = endpoint.own_requests.saturating_sub(1);
        endpoint.record_change(now, -1);
    }

    /// Records the time to first token of a response, against its target.
    pub fn record_first_token(&mut self, slot: Slot, ttft: Span, target: Span) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.record_latency(ttft, target);
        endpoint.failure_streak = 0;
        endpoint.ejections = endpoint.ejections.saturating_sub(1);
    }

    /// Records a failure at `slot`, and ejects the endpoint after several in a row.
    pub fn record_failure(&mut self, slot: Slot, now: Time) {
        let endpoint = &mut self.endpoints[slot.index()];
        endpoint.limit.record_failure();
        endpoint.failure_streak += 1;
        if endpoint.failure_streak >= MAX_CONSECUTIVE_FAILURES {
            let doublings = endpoint.ejections.min(MAX_EJECTION_DOUBLINGS);
            endpoint.ejected_until = now + Span(MIN_EJECTION_TIME.0 << doublings);
            endpoint.ejections += 1;
        }
    }

    /// Records that an endpoint has evicted a prefix from its cache.
    pub fn record_eviction(&mut self, slot: Slot, prefix: u64) {
        self.prefixes.record_eviction(prefix, slot);
    }
}

/// Returns the home of a prefix: the endpoint that its hash assigns it to.
fn home_slot(slots: Option<&Vec<Slot>>, prefix: u64) -> Option<Slot> {
    let slots = slots.filter(|slots| !slots.is_empty())?;
    let hash = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let position = hash % slots.len() as u64;
    slots.get(usize::try_from(position).ok()?).copied()
}

fn sample_candidates(
    rng: &mut fastrand::Rng,
    slots: Option<&Vec<Slot>>,
    count: usize,
    candidates: &mut Vec<(Slot, bool)>,
) {
    let Some(slots) = slots.filter(|slots| !slots.is_empty()) else {
        return;
    };
    for _ in 0..count {
        let slot = slots[rng.usize(..slots.len())];
        if candidates.iter().all(|(other, _)| *other != slot) {
            candidates.push((slot, false));
        }
    }
}
