//! The queue of requests that wait for an endpoint, by priority and fair between teams.
//!
//! Within a priority the queue uses weighted fair queueing: the cost of each started
//! request advances the virtual time of its team, divided by the team's weight, and the
//! team with the lowest virtual time is served first. Requests past their deadline are
//! removed.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::Map;
use base::Span;
use base::TeamId;
use base::Time;

/// Maximum number of requests of one team that are searched for a preferred one.
const MAX_PREFERENCE_SCAN: usize = 24;

/// Maximum number of queued requests.
pub const MAX_QUEUED_REQUESTS: usize = 10_000;

#[derive(Clone, Debug)]
struct QueuedRequest<T> {
    item: T,
    deadline: Time,
    cost: u64,
}

#[derive(Clone, Debug)]
struct TeamQueue<T> {
    requests: VecDeque<QueuedRequest<T>>,
    virtual_time: u64,
    weight: u64,
}

/// A queue of requests.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    teams_by_priority: BTreeMap<u8, Map<TeamId, TeamQueue<T>>>,
    virtual_clock: u64,
    length: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            teams_by_priority: BTreeMap::new(),
            virtual_clock: 0,
            length: 0,
        }
    }
}

/// The queueing parameters of a request.
#[derive(Clone, Copy, Debug)]
pub struct QueueParams {
    /// The team that sent the request.
    pub team: TeamId,
    /// The weight of the team relative to others.
    pub weight: u32,
    /// The priority; zero is the most urgent.
    pub priority: u8,
    /// The time at which the request leaves the queue at the latest.
    pub deadline: Time,
    /// The cost of the request, in tokens.
    pub cost: u64,
}

/// Returns the expected wait of the last of `queued` requests where `concurrency` requests
/// run at the same time and each takes `mean_duration`, or `None` where the concurrency is
/// zero.
#[must_use]
pub fn expected_wait(mean_duration: Span, queued: usize, concurrency: u32) -> Option<Span> {
    let total = mean_duration.0.saturating_mul(queued as u64);
    total.checked_div(u64::from(concurrency)).map(Span)
}

impl<T> Queue<T> {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the item where the queue is full.
    pub fn push(&mut self, params: &QueueParams, item: T) -> Result<(), T> {
        if self.length >= MAX_QUEUED_REQUESTS {
            return Err(item);
        }
        let teams = self.teams_by_priority.entry(params.priority).or_default();
        let virtual_clock = self.virtual_clock;
        let team_queue = teams.entry(params.team).or_insert_with(|| TeamQueue {
            requests: VecDeque::new(),
            virtual_time: virtual_clock,
            weight: u64::from(params.weight.max(1)),
        });
        if team_queue.requests.is_empty() {
            // An idle team does not accumulate credit.
            team_queue.virtual_time = team_queue.virtual_time.max(virtual_clock);
        }
        team_queue.requests.push_back(QueuedRequest {
            item,
            deadline: params.deadline,
            cost: params.cost.max(1),
        });
        self.length += 1;
        Ok(())
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_preferred(|_| true)
    }

    /// Removes and returns the first preferred request among the next few of the team that
    /// is served next, or that team's first request.
    ///
    /// A request is preferred where the free endpoint has cached its prefix: starting it
    /// slightly early avoids a prefill. The order between teams stays fair.
    pub fn pop_preferred(&mut self, is_preferred: impl Fn(&T) -> bool) -> Option<T> {
        for teams in self.teams_by_priority.values_mut() {
            let next = teams
                .iter_mut()
                .filter(|(_, team_queue)| !team_queue.requests.is_empty())
                .min_by_key(|(team, team_queue)| (team_queue.virtual_time, **team));
            let Some((_, team_queue)) = next else {
                continue;
            };
            let candidates = team_queue.requests.iter().take(MAX_PREFERENCE_SCAN);
            let position = candidates
                .into_iter()
                .position(|request| is_preferred(&request.item));
            let Some(request) = team_queue.requests.remove(position.unwrap_or(0)) else {
                continue;
            };
            self.virtual_clock = self.virtual_clock.max(team_queue.virtual_time);
            team_queue.virtual_time += request.cost * 1_000 / team_queue.weight;
            self.length -= 1;
            return Some(request.item);
        }
        None
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        for teams in self.teams_by_priority.values_mut() {
            for team_queue in teams.values_mut() {
                let requests = std::mem::take(&mut team_queue.requests);
                for request in requests {
                    if request.deadline <= now {
                        expired.push(request.item);
                    } else {
                        team_queue.requests.push_back(request);
                    }
                }
            }
            teams.retain(|_, team_queue| !team_queue.requests.is_empty());
        }
        self.length -= expired.len();
        expired
    }
}
