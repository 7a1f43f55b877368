//! What an agent lets start, and never twice.
//!
//! The gate remembers each attempt that came and each that was called off. An
//! attempt that was called off before it came finds its tombstone and is refused.

use base::AgentId;
use base::LeaseId;
use base::Map;
use base::RequestId;
use base::Set;
use base::Span;
use base::Time;

use crate::frame::Order;
use crate::frame::Refusal;

/// How long a finished request or tombstone is remembered.
pub const MEMORY: Span = Span::secs(600);

/// What the gate knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// It was called off and never starts here.
    Tombstone,
    /// It runs.
    Running(u32),
    /// It ran.
    Finished(u32),
}

#[derive(Clone, Copy, Debug)]
struct Known {
    mark: Mark,
    since: Time,
    lease: Option<LeaseId>,
    digest: Option<base::Digest>,
}

/// What the gate does with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request starts now.
    Start,
    /// The request runs or ran here; the receiver is joined to it.
    Join(u32),
    /// The request doesn't start.
    Refuse(Refusal),
}

/// The gate before one endpoint.
#[derive(Clone, Debug)]
pub struct Gate {
    id: AgentId,
    known: Map<RequestId, Known>,
    barred: Set<LeaseId>,
    room: usize,
    running: usize,
    leaving: bool,
}

impl Gate {
    /// Returns the gate of the agent `id`, whose endpoint runs at most `room`
    /// requests.
    #[must_use]
    pub fn new(id: AgentId, room: usize) -> Self {
        Self {
            id,
            known: Map::default(),
            barred: Set::default(),
            room,
            running: 0,
            leaving: false,
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many requests may run together.
    #[must_use]
    pub fn room(&self) -> usize {
        self.room
    }

    /// Sets how many requests may run together.
    pub fn set_room(&mut self, room: usize) {
        self.room = room;
    }

    /// Returns whether the endpoint takes no new work.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Sets whether the endpoint takes no new work.
    pub fn leave(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Returns the number of requests remembered.
    #[must_use]
    pub fn remembered(&self) -> usize {
        self.known.len()
    }

    /// Returns what is known of `request`.
    #[must_use]
    pub fn mark(&self, request: RequestId) -> Option<Mark> {
        self.known.get(&request).map(|known| known.mark)
    }

    /// Decides on an order.
    pub fn admit(&mut self, order: &Order, now: Time) -> Admission {
        if let Some(known) = self.known.get(&order.request) {
            let other = known.digest.is_some_and(|digest| digest != order.digest);
            return match known.mark {
                Mark::Tombstone => Admission::Refuse(Refusal::Tombstone),
                Mark::Running(_) | Mark::Finished(_) if other => {
                    Admission::Refuse(Refusal::OtherBody)
                }
                Mark::Running(attempt) | Mark::Finished(attempt) => Admission::Join(attempt),
            };
        }
        if let Some(refusal) = self.obstacle(order) {
            return Admission::Refuse(refusal);
        }
        self.running += 1;
        self.known.insert(
            order.request,
            Known {
                mark: Mark::Running(order.attempt),
                since: now,
                lease: Some(order.lease),
                digest: Some(order.digest),
            },
        );
        Admission::Start
    }

    fn obstacle(&self, order: &Order) -> Option<Refusal> {
        if order.agent != self.id {
            // What the earlier process promised, a tombstone too, is forgotten.
            Some(Refusal::Gone)
        } else if self.barred.contains(&order.lease) {
            Some(Refusal::Barred)
        } else if self.leaving {
            Some(Refusal::Leaving)
        } else if order.left.0 == 0 {
            Some(Refusal::Lapsed)
        } else if order.patience.0 == 0 {
            Some(Refusal::Late)
        } else if self.running >= self.room {
            Some(Refusal::Full)
        } else {
            None
        }
    }

    /// Calls a request off; returns whether it has not started and never will.
    pub fn call_off(&mut self, request: RequestId, now: Time) -> bool {
        let known = self.known.entry(request).or_insert(Known {
            mark: Mark::Tombstone,
            since: now,
            lease: None,
            digest: None,
        });
        known.mark == Mark::Tombstone
    }

    /// Notes that a request has ended.
    pub fn finish(&mut self, request: RequestId, now: Time) {
        if let Some(known) = self.known.get_mut(&request)
            && let Mark::Running(attempt) = known.mark
        {
            known.mark = Mark::Finished(attempt);
            known.since = now;
            self.running -= 1;
        }
    }

    /// Forgets a finished repeatable request whose answer isn't whole, so that
    /// another attempt may start here.
    pub fn reopen(&mut self, request: RequestId) {
        if matches!(self.mark(request), Some(Mark::Finished(_))) {
            self.known.remove(&request);
        }
    }

    /// Bars a lease; returns whether none of its requests run.
    pub fn bar(&mut self, lease: LeaseId) -> bool {
        self.barred.insert(lease);
        let of_lease = |known: &&Known| known.lease == Some(lease);
        let running = |known: &Known| matches!(known.mark, Mark::Running(_));
        !self.known.values().filter(of_lease).any(running)
    }

    /// Forgets what ended long ago; returns the requests forgotten.
    pub fn forget(&mut self, now: Time) -> Vec<RequestId> {
        let old = |known: &Known| {
            !matches!(known.mark, Mark::Running(_)) && now.since(known.since) >= MEMORY
        };
        let gone: Vec<RequestId> = self
            .known
            .iter()
            .filter(|(_, known)| old(known))
            .map(|(&request, _)| request)
            .collect();
        for request in &gone {
            self.known.remove(request);
        }
        gone
    }
}
