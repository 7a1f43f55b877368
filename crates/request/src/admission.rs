//! Admission of requests at an agent, each at most once.
//!
//! Admission control records each request that was received or cancelled. A request
//! that was cancelled before its order arrives is refused.

use base::AgentId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Set;
use base::Span;
use base::Time;

use crate::frame::Order;
use crate::frame::Refusal;

/// How long the state of a finished or cancelled request is kept.
pub const REQUEST_RETENTION: Span = Span::secs(600);

/// The state of a request at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Cancelled before it arrived; it never starts at this agent.
    Cancelled,
    /// The attempt with this number is running.
    Running(u32),
    /// The attempt with this number has ended.
    Finished(u32),
}

#[derive(Clone, Copy, Debug)]
struct KnownRequest {
    state: RequestState,
    changed: Time,
    lease: Option<LeaseId>,
    digest: Option<base::Digest>,
}

/// The decision on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request starts now.
    Start,
    /// This earlier attempt is running or has ended here; the receiver gets its answer.
    Join(u32),
    /// The request is refused.
    Refuse(Refusal),
}

/// Admission control of one endpoint.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    id: AgentId,
    known: Map<RequestId, KnownRequest>,
    revoked: Set<LeaseId>,
    capacity: usize,
    running: usize,
    draining: bool,
}

impl AdmissionControl {
    /// Returns the admission control of agent `id`, whose endpoint runs at most
    /// `capacity` requests at a time.
    #[must_use]
    pub fn new(id: AgentId, capacity: usize) -> Self {
        Self {
            id,
            known: Map::default(),
            revoked: Set::default(),
            capacity,
            running: 0,
            draining: false,
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the maximum number of concurrent requests.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Sets the maximum number of concurrent requests.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns whether the endpoint is draining and starts no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets whether the endpoint is draining and starts no new requests.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Returns the number of requests whose state is kept.
    #[must_use]
    pub fn remembered_requests(&self) -> usize {
        self.known.len()
    }

    /// Returns the state of `request`, if it is known.
    #[must_use]
    pub fn state(&self, request: RequestId) -> Option<RequestState> {
        self.known.get(&request).map(|known| known.state)
    }

    /// Decides whether the request of an order starts.
    pub fn admit(&mut self, order: &Order, now: Time) -> Admission {
        if let Some(known) = self.known.get(&order.request) {
            let other_body = known.digest.is_some_and(|digest| digest != order.digest);
            return match known.state {
                RequestState::Cancelled => Admission::Refuse(Refusal::Cancelled),
                RequestState::Running(_) | RequestState::Finished(_) if other_body => {
                    Admission::Refuse(Refusal::BodyMismatch)
                }
                RequestState::Running(attempt) | RequestState::Finished(attempt) => {
                    Admission::Join(attempt)
                }
            };
        }
        if let Some(refusal) = self.refusal_for(order) {
            return Admission::Refuse(refusal);
        }
        self.running += 1;
        self.known.insert(
            order.request,
            KnownRequest {
                state: RequestState::Running(order.attempt),
                changed: now,
                lease: Some(order.lease),
                digest: Some(order.digest),
            },
        );
        Admission::Start
    }

    fn refusal_for(&self, order: &Order) -> Option<Refusal> {
        if order.agent != self.id {
            // The state of the earlier process is lost, including its cancellations.
            Some(Refusal::StaleAgent)
        } else if self.revoked.contains(&order.lease) {
            Some(Refusal::LeaseRevoked)
        } else if self.draining {
            Some(Refusal::Draining)
        } else if order.lease_left.0 == 0 {
            Some(Refusal::LeaseExpired)
        } else if order.time_left.0 == 0 {
            Some(Refusal::DeadlinePassed)
        } else if self.running >= self.capacity {
            Some(Refusal::AtCapacity)
        } else {
            None
        }
    }

    /// Cancels a request; returns whether it has not started here and never will.
    pub fn cancel(&mut self, request: RequestId, now: Time) -> bool {
        let known = self.known.entry(request).or_insert(KnownRequest {
            state: RequestState::Cancelled,
            changed: now,
            lease: None,
            digest: None,
        });
        known.state == RequestState::Cancelled
    }

    /// Records that a request has ended.
    pub fn finish(&mut self, request: RequestId, now: Time) {
        if let Some(known) = self.known.get_mut(&request)
            && let RequestState::Running(attempt) = known.state
        {
            known.state = RequestState::Finished(attempt);
            known.changed = now;
            self.running -= 1;
        }
    }

    /// Removes a finished repeatable request whose answer is incomplete, so that
    /// another attempt may start here.
    pub fn allow_retry(&mut self, request: RequestId) {
        if matches!(self.state(request), Some(RequestState::Finished(_))) {
            self.known.remove(&request);
        }
    }

    /// Revokes a lease, so that no more of its requests start; returns whether none of
    /// them is running.
    pub fn revoke_lease(&mut self, lease: LeaseId) -> bool {
        self.revoked.insert(lease);
        let of_lease = |known: &&KnownRequest| known.lease == Some(lease);
        let is_running = |known: &KnownRequest| matches!(known.state, RequestState::Running(_));
        !self.known.values().filter(of_lease).any(is_running)
    }

    /// Removes requests that ended at least [`REQUEST_RETENTION`] ago and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<RequestId> {
        let is_expired = |known: &KnownRequest| {
            !matches!(known.state, RequestState::Running(_))
                && now.since(known.changed) >= REQUEST_RETENTION
        };
        let expired: Vec<RequestId> = self
            .known
            .iter()
            .filter(|(_, known)| is_expired(known))
            .map(|(&request, _)| request)
            .collect();
        for request in &expired {
            self.known.remove(request);
        }
        expired
    }
}
