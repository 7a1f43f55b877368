//! Waiting requests, by priority and fair between teams.
//!
//! Within a priority each team pays for what it starts by its weight; the team
//! that has paid least goes first. A request whose deadline can't be met any more
//! is given up at once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use base::Map;
use base::Span;
use base::TeamId;
use base::Time;

/// Requests of one team among which a fitting one is looked for.
const WINDOW: usize = 24;

/// Most requests that wait.
pub const MOST: usize = 10_000;

#[derive(Clone, Debug)]
struct Waiter<T> {
    item: T,
    deadline: Time,
    cost: u64,
}

#[derive(Clone, Debug)]
struct Line<T> {
    waiters: VecDeque<Waiter<T>>,
    paid: u64,
    weight: u64,
}

/// The waiting requests.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    levels: BTreeMap<u8, Map<TeamId, Line<T>>>,
    clock: u64,
    length: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
            clock: 0,
            length: 0,
        }
    }
}

/// A request that wants to wait.
#[derive(Clone, Copy, Debug)]
pub struct Entrant {
    /// The team.
    pub team: TeamId,
    /// The team's weight against others.
    pub weight: u32,
    /// Urgency; zero is the most urgent.
    pub priority: u8,
    /// When the wait must have ended.
    pub deadline: Time,
    /// What the request costs, in tokens.
    pub cost: u64,
}

/// Returns how long the last of `ahead` requests waits where `room` run together
/// and each takes `mean`, or `None` where nothing runs at all.
#[must_use]
pub fn expected_wait(mean: Span, ahead: usize, room: u32) -> Option<Span> {
    let total = mean.0.saturating_mul(ahead as u64);
    total.checked_div(u64::from(room)).map(Span)
}

impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Gives the item back where the queue is full.
    pub fn push(&mut self, entrant: &Entrant, item: T) -> Result<(), T> {
        if self.length >= MOST {
            return Err(item);
        }
        let lines = self.levels.entry(entrant.priority).or_default();
        let clock = self.clock;
        let line = lines.entry(entrant.team).or_insert_with(|| Line {
            waiters: VecDeque::new(),
            paid: clock,
            weight: u64::from(entrant.weight.max(1)),
        });
        if line.waiters.is_empty() {
            // A team that was idle doesn't save up turns.
            line.paid = line.paid.max(clock);
        }
        line.waiters.push_back(Waiter {
            item,
            deadline: entrant.deadline,
            cost: entrant.cost.max(1),
        });
        self.length += 1;
        Ok(())
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<T> {
        self.pop_fitting(|_| true)
    }

    /// Takes the first request that fits among the next few of the team whose turn
    /// it is, or that team's first.
    ///
    /// A request that fits is one whose prefix the free endpoint has cached: taking it
    /// a little early spares a prefill. Between teams the order stays fair.
    pub fn pop_fitting(&mut self, fits: impl Fn(&T) -> bool) -> Option<T> {
        for lines in self.levels.values_mut() {
            let next = lines
                .iter_mut()
                .filter(|(_, line)| !line.waiters.is_empty())
                .min_by_key(|(team, line)| (line.paid, **team));
            let Some((_, line)) = next else { continue };
            let window = line.waiters.iter().take(WINDOW);
            let place = window.into_iter().position(|waiter| fits(&waiter.item));
            let Some(waiter) = line.waiters.remove(place.unwrap_or(0)) else {
                continue;
            };
            self.clock = self.clock.max(line.paid);
            line.paid += waiter.cost * 1_000 / line.weight;
            self.length -= 1;
            return Some(waiter.item);
        }
        None
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        let mut gone = Vec::new();
        for lines in self.levels.values_mut() {
            for line in lines.values_mut() {
                let waiters = std::mem::take(&mut line.waiters);
                for waiter in waiters {
                    if waiter.deadline <= now {
                        gone.push(waiter.item);
                    } else {
                        line.waiters.push_back(waiter);
                    }
                }
            }
            lines.retain(|_, line| !line.waiters.is_empty());
        }
        self.length -= gone.len();
        gone
    }
}
