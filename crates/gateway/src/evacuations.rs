//! Orders of operators to evacuate a failure domain, and to withdraw that.
//!
//! An order is a command of the replicated log. It is acknowledged once a quorum has committed
//! it and this process obeys it; every update to a peer carries the newest set.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_io::Timer;
use base::Span;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use platform::settings::NodeSettings;
use routing::evacuation::EvacuationChange;
use routing::evacuation::EvacuationSet;
use routing::evacuation::KnownEvacuations;
use thiserror::Error;

use crate::leader_requests::LEADER_RETRY_DELAY;
use crate::leader_requests::LEADER_TIMEOUT;
use crate::leader_requests::request_leader;
use crate::state::ProcessContext;

/// Timeout for committing an order. The operator stops waiting after one second.
const ORDER_TIMEOUT: Span = Span::millis(550);

/// Why an order isn't acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// Neither the settings nor an engine name the domain.
    #[error("the failure domain isn't known")]
    UnknownDomain,
    /// No quorum committed the order in time; it may be in force.
    #[error("no majority answers now")]
    NoMajority,
}

/// The evacuated failure domains, as far as this process knows.
#[derive(Debug)]
pub struct Evacuations {
    known: Mutex<KnownEvacuations>,
    /// Whether the platform orders evacuations, so that the set must be known to serve.
    expected: bool,
}

impl Evacuations {
    /// Returns the state of a process at its start.
    #[must_use]
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            known: Mutex::default(),
            expected: settings.bounds.evacuate_ms.is_some(),
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownEvacuations> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest set.
    #[must_use]
    pub fn set(&self) -> EvacuationSet {
        self.known().set().clone()
    }

    /// Returns whether `domain` is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.known().set().contains(domain)
    }

    /// Returns until when engines in `domain` are taken to be cold after a withdrawal.
    #[must_use]
    pub fn presumed_cold_until(&self, domain: &str, cold_time: Span) -> Option<Time> {
        self.known().presumed_cold_until(domain, cold_time)
    }

    /// Returns whether the group has confirmed the set, where the platform orders evacuations.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        !self.expected || self.known().is_confirmed()
    }

    fn learn(&self, set: &EvacuationSet, now: Time) -> Option<EvacuationChange> {
        self.known().learn(set, now)
    }
}

/// Puts `set` in force if it is newer than the present one, and tells the peers.
pub fn learn(shared: &ProcessContext, set: &EvacuationSet) {
    let now = shared.now();
    let Some(change) = shared.evacuations.learn(set, now) else {
        return;
    };
    shared.state().update_engine_pools(shared, now);
    shared.metrics.record_evacuated(set.domains.len());
    let revision = set.revision;
    for domain in change.ordered {
        log::info!("evacuation: event=in_force domain={domain} revision={revision}");
    }
    for domain in change.withdrawn {
        log::info!("evacuation: event=ended domain={domain} revision={revision}");
    }
    shared.update_needed.notify(usize::MAX);
}

/// Submits an order to evacuate `domain`, or to withdraw that; returns once it is committed
/// and in force here. The same order can be submitted again.
///
/// # Errors
///
/// Fails if the domain isn't known or no quorum commits the order in time.
pub async fn submit_order(
    shared: &ProcessContext,
    domain: &str,
    evacuated: bool,
) -> Result<(), OrderError> {
    let event = if evacuated { "ordered" } else { "withdrawn" };
    if !is_known_domain(shared, domain) {
        log::info!("evacuation: event=refused domain={domain} order={event} reason=\"unknown\"");
        return Err(OrderError::UnknownDomain);
    }
    let request = MeshRequest::Evacuate(domain.to_owned(), evacuated);
    let answer = request_leader(shared, &request, ORDER_TIMEOUT).await;
    let MeshResponse::Evacuations(set) = answer else {
        log::info!(
            "evacuation: event=refused domain={domain} order={event} reason=\"no majority\""
        );
        return Err(OrderError::NoMajority);
    };
    learn(shared, &set);
    log::info!(
        "evacuation: event={event} domain={domain} revision={} by={}",
        set.revision,
        shared.settings.name
    );
    Ok(())
}

/// Returns whether the settings or an engine name the domain. Settings without domains name
/// all of them.
fn is_known_domain(shared: &ProcessContext, domain: &str) -> bool {
    let named = &shared.settings.domains;
    if domain.is_empty() || named.is_empty() || named.contains_key(domain) {
        return !domain.is_empty();
    }
    let state = shared.state();
    let mut engines = state.directory.iter();
    engines.any(|engine| engine.announcement.domain == domain)
}

/// Asks for the evacuated domains until the group has confirmed what is known here.
pub async fn confirm_evacuations(shared: Arc<ProcessContext>) {
    while !shared.evacuations.is_confirmed() {
        let request = MeshRequest::LatestEvacuations;
        let answer = request_leader(&shared, &request, LEADER_TIMEOUT).await;
        if let MeshResponse::Evacuations(set) = answer {
            learn(&shared, &set);
            shared.evacuations.known().confirm();
            log::info!("evacuation: event=confirmed revision={}", set.revision);
            return;
        }
        Timer::after(LEADER_RETRY_DELAY).await;
    }
}
