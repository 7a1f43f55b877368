//! The requests that wait at one entry for room at a service's engines.
//!
//! A request that can't start in time waits here rather than in an engine's queue, where it
//! would be served in the order of arrival. The request whose delay costs its caller most
//! starts first. A request is refused at once if its start isn't expected within its patience,
//! or if the room is full and all others lose more by a delay.

use base::Span;
use base::Time;

use crate::team_demand::TeamDemand;
use crate::urgency::LATE_QUEUE_FRACTION;
use crate::urgency::RequestNeed;

/// Fraction of a caller's remaining time that its request may wait. A caller whose request is
/// refused after all can return with the rest.
const PATIENCE_FRACTION: f64 = 0.5;

/// Factor by which all patience shrinks when a request has waited in vain, since more urgent
/// ones keep coming, and its minimum.
const VAIN_FACTOR: f64 = 0.9;
const MIN_CONFIDENCE: f64 = 0.05;

/// Time in which it recovers.
const RECOVERY_TIME: Span = Span::millis(5_000);

/// Factor by which the expected wait may exceed the remaining patience of a request that
/// already waits, as estimates vary.
const REVISION_FACTOR: f64 = 2.0;

/// Number of requests that are tried before the others. Engines differ in what they have
/// cached, so one that the first can't use may suit the second.
const TRIED_RANKS: usize = 4;

/// Fraction of the starts that requests that are late anyway get while others arrive, so that
/// they don't starve.
const LATE_START_FRACTION: f64 = 0.125;

/// Maximum number of starts that they may catch up.
const MAX_LATE_STARTS: f64 = 4.0;

/// Fraction of its queueing time that a new request has while more urgent ones wait, so that
/// engines' queues fall until those can start.
const YIELD_FRACTION: f64 = 0.5;

/// Fraction of the tightest latency target of a service up to which requests with longer
/// targets queue at an engine. Beyond it they wait here, where the tight ones pass them.
const TIGHTEST_FRACTION: f64 = 0.5;

/// Time for which the tightest target counts after its last request.
const TIGHTEST_TIME: Span = Span::millis(5_000);

/// Time over which the work counts that requests of the room have started.
const DRAIN_TIME: Span = Span::millis(1_000);

/// Maximum fraction of a caller's remaining time after which it's told to return. Callers don't
/// wait for longer.
const RETURN_FRACTION: f64 = 0.3;

/// Fraction of that time after which callers return at the earliest if no room is expected
/// until its end.
const MIN_RETURN: f64 = 0.25;

/// Step between the times of consecutive such callers, as a fraction of the longest. Steps of
/// the golden ratio never come close to an earlier one.
const RETURN_STEP: f64 = 0.618;

/// Fraction of the engines' rate that is expected of a room that was empty.
const FIRST_RATE_FRACTION: f64 = 0.5;

/// The bounds of a room.
#[derive(Clone, Copy, Debug)]
pub struct RoomLimits {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum sum of their bodies, in bytes.
    pub bytes: u64,
}

/// The engines of a service and the entries that share them.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// The number of engines.
    pub engines: usize,
    /// The number of entries, with this one.
    pub entries: usize,
}

impl Supply {
    /// Returns the engines' work that this entry's part of them does in a millisecond, in
    /// milliseconds of one engine.
    #[allow(clippy::cast_precision_loss)]
    fn rate(self) -> f64 {
        self.engines.max(1) as f64 / self.entries.max(1) as f64
    }
}

/// The expected times to first token with which a request starts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartLimit {
    /// Up to this time it starts; beyond it, it waits while it can.
    pub short_ms: f64,
    /// From this time on it starts, as it would be late if it waited.
    pub last_ms: f64,
    /// Beyond this time it doesn't start.
    pub max_ms: f64,
}

impl StartLimit {
    /// Returns the limit of a request that starts up to `limit_ms`.
    #[must_use]
    pub fn up_to(limit_ms: f64) -> Self {
        Self {
            short_ms: limit_ms,
            last_ms: f64::INFINITY,
            max_ms: limit_ms,
        }
    }

    /// Returns by how much the expected time is too long for a start, in milliseconds, or
    /// `None` if the request starts.
    #[must_use]
    pub fn excess_ms(&self, expected_ms: f64) -> Option<f64> {
        let starts = expected_ms <= self.max_ms
            && (expected_ms <= self.short_ms || expected_ms >= self.last_ms);
        (!starts).then(|| expected_ms - self.short_ms.min(self.max_ms))
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It isn't expected to start within its patience.
    TooLate,
    /// The room is full of requests that lose more by a delay.
    Full,
    /// A request that loses more by a delay took its place.
    Displaced,
    /// It waited as long as it could.
    Expired,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why it's refused.
    pub cause: RefusalCause,
    /// The time until room is expected, in milliseconds.
    pub after_ms: f64,
}

/// What a waiting request does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Turn {
    /// It starts if an engine has room.
    Try,
    /// It waits behind others.
    Wait,
    /// It's refused.
    Refuse(Refusal),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: u64,
    need: RequestNeed,
    team_excess: f64,
    entered: Time,
    /// When it's refused at the latest.
    until: Time,
}

impl Waiting {
    fn cost(&self, now: Time) -> f64 {
        self.need.cost_of_delay(self.team_excess, now)
    }
}

/// The requests that wait for one service.
#[derive(Clone, Debug)]
pub struct WaitingRoom {
    limits: RoomLimits,
    waiting: Vec<Waiting>,
    bytes: u64,
    last_ticket: u64,
    demand: TeamDemand,
    /// The tightest latency target, and when it was last seen.
    tightest: Option<(Span, Time)>,
    /// The starts that requests that are late anyway are owed.
    late_starts: f64,
    /// The engines' work that the room's requests have started, decayed, in milliseconds.
    drained_ms: f64,
    drained_at: Time,
    /// The part of its patience for which a request may wait, when one last waited in vain.
    confidence: f64,
    vain_at: Time,
    /// The excess of the expected start over the limit when a request was last tried.
    blocked_ms: f64,
    /// When the next refused caller is told to return.
    next_return: Time,
    /// The part of the longest time after which the last spread caller returns.
    spread: f64,
}

impl WaitingRoom {
    /// Returns an empty room.
    #[must_use]
    pub fn open(limits: RoomLimits) -> Self {
        Self {
            limits,
            waiting: Vec::new(),
            bytes: 0,
            last_ticket: 0,
            demand: TeamDemand::default(),
            tightest: None,
            late_starts: 0.0,
            drained_ms: 0.0,
            drained_at: Time(0),
            confidence: 1.0,
            vain_at: Time(0),
            blocked_ms: 0.0,
            next_return: Time(0),
            spread: 0.0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the sum of the waiting requests' bodies, in bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records that a request arrived, whether it has to wait or not.
    pub fn record_arrival(&mut self, need: &RequestNeed, now: Time) {
        self.demand.record(need.team, now);
        let is_tightest =
            |(target, seen): (Span, Time)| need.target <= target || seen.until(now) > TIGHTEST_TIME;
        if self.tightest.is_none_or(is_tightest) {
            self.tightest = Some((need.target, now));
        }
        if !self.waiting.is_empty() {
            self.late_starts = (self.late_starts + LATE_START_FRACTION).min(MAX_LATE_STARTS);
        }
    }

    /// Returns with which expected times to first token a new request starts. It gives way to
    /// waiting requests that lose more by a delay.
    #[must_use]
    pub fn start_limit(&self, need: &RequestNeed, now: Time) -> StartLimit {
        let team_excess = self.demand.excess(need.team, now);
        let limit = self.limit(need, team_excess, now);
        if self.waiting.is_empty() {
            return limit;
        }
        let own = need.cost_of_delay(team_excess, now);
        let passes = |other: &Waiting| other.need.can_be_in_time(now) && other.cost(now) >= own;
        if !self.waiting.iter().any(passes) {
            return limit;
        }
        let idle_ms = need.idle_ms.min(limit.short_ms);
        StartLimit {
            short_ms: idle_ms + YIELD_FRACTION * (limit.short_ms - idle_ms),
            ..limit
        }
    }

    /// Returns with which expected times to first token the waiting request with `ticket`
    /// starts.
    #[must_use]
    pub fn waiting_limit(&self, ticket: u64, now: Time) -> StartLimit {
        let Some(own) = self.waiting.iter().find(|other| other.ticket == ticket) else {
            return StartLimit::up_to(0.0);
        };
        if self.is_owed_start(own, now) {
            let limit_ms = own.need.idle_ms + own.need.target_share_ms();
            return StartLimit::up_to(limit_ms.min(own.need.time_left_ms(now)));
        }
        self.limit(&own.need, own.team_excess, now)
    }

    /// Returns the limit by the request's own target, the tightest target of the service and
    /// the demand of its team.
    fn limit(&self, need: &RequestNeed, team_excess: f64, now: Time) -> StartLimit {
        let limit_ms = need.max_ttft_ms(now);
        let idle_ms = need.idle_ms.min(limit_ms);
        let mut queue_ms = limit_ms - idle_ms;
        if let Some((tightest, _)) = self.tightest
            && tightest < need.target
            && need.work > 0
        {
            let fraction = if need.can_be_in_time(now) {
                TIGHTEST_FRACTION
            } else {
                LATE_QUEUE_FRACTION
            };
            queue_ms = queue_ms.min(fraction * millis(tightest));
        }
        StartLimit {
            short_ms: idle_ms + queue_ms / team_excess.max(1.0),
            last_ms: if team_excess > 1.0 {
                f64::INFINITY
            } else {
                need.spare_ttft_ms(now)
            },
            max_ms: limit_ms,
        }
    }

    /// Returns whether `own` is the oldest of the requests that are late anyway, has waited for
    /// half of its patience, and such requests are owed a start. Those of a team with many
    /// times its usual demand aren't.
    fn is_owed_start(&self, own: &Waiting, now: Time) -> bool {
        let is_late = |other: &Waiting| other.team_excess <= 1.0 && !other.need.can_be_in_time(now);
        self.late_starts >= 1.0
            && is_late(own)
            && own.entered.until(now) > now.until(own.until)
            && !self.older(own).any(is_late)
    }

    /// Lets a request wait whose start was expected `excess_ms` too late, and returns its
    /// ticket.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused.
    pub fn enter(
        &mut self,
        need: RequestNeed,
        excess_ms: f64,
        supply: Supply,
        now: Time,
    ) -> Result<u64, Refusal> {
        self.blocked_ms = excess_ms;
        if self.waiting.is_empty() {
            let first_ms = FIRST_RATE_FRACTION * supply.rate() * millis(DRAIN_TIME);
            self.drained_ms = self.drained_ms(now).max(first_ms);
            self.drained_at = now;
        }
        let patience_ms = self.confidence(now) * PATIENCE_FRACTION * need.time_left_ms(now);
        let entrant = Waiting {
            ticket: self.last_ticket + 1,
            need,
            team_excess: self.demand.excess(need.team, now),
            entered: now,
            until: now + span(patience_ms),
        };
        let expected_ms = self.expected_wait_ms(&entrant, supply, now);
        let cause = if expected_ms > patience_ms || need.idle_ms > need.time_left_ms(now) {
            Some(RefusalCause::TooLate)
        } else if self.make_place(&entrant, now) {
            None
        } else {
            Some(RefusalCause::Full)
        };
        if let Some(cause) = cause {
            return Err(self.refuse(cause, expected_ms, &need, supply, now));
        }
        self.last_ticket = entrant.ticket;
        self.bytes += need.bytes;
        self.waiting.push(entrant);
        Ok(entrant.ticket)
    }

    /// Returns what the request with `ticket` does now; one that left the room without its
    /// own doing was displaced.
    pub fn poll(&mut self, ticket: u64, supply: Supply, now: Time) -> Turn {
        let Some(own) = self.waiting.iter().find(|other| other.ticket == ticket) else {
            self.record_vain(now);
            let after_ms = self.blocked_ms;
            return Turn::Refuse(Refusal {
                cause: RefusalCause::Displaced,
                after_ms,
            });
        };
        let own = *own;
        let expected_ms = self.expected_wait_ms(&own, supply, now);
        let patience_ms = millis(now.until(own.until));
        let cause = if now >= own.until {
            Some(RefusalCause::Expired)
        } else if expected_ms > REVISION_FACTOR * patience_ms {
            Some(RefusalCause::TooLate)
        } else {
            None
        };
        if let Some(cause) = cause {
            self.record_vain(now);
            return Turn::Refuse(self.refuse(cause, expected_ms, &own.need, supply, now));
        }
        let rank = self.ahead(&own, now).count();
        if rank < TRIED_RANKS || self.is_owed_start(&own, now) {
            Turn::Try
        } else {
            Turn::Wait
        }
    }

    /// Records that the start of a waiting request was expected `excess_ms` too late.
    pub fn record_blocked(&mut self, excess_ms: f64) {
        self.blocked_ms = excess_ms;
    }

    /// Removes the request with `ticket`, which has started, was refused or whose caller has
    /// left.
    pub fn leave(&mut self, ticket: u64, started: bool, now: Time) {
        if let Some(waiting) = self.remove(ticket)
            && started
        {
            self.drained_ms = self.drained_ms(now) + waiting.need.idle_ms.max(1.0);
            self.drained_at = now;
            if !waiting.need.can_be_in_time(now) {
                self.late_starts = (self.late_starts - 1.0).max(0.0);
            }
        }
    }

    /// Returns the requests that start before `own`.
    fn ahead<'a>(&'a self, own: &Waiting, now: Time) -> impl Iterator<Item = &'a Waiting> {
        let (ticket, cost) = (own.ticket, own.cost(now));
        self.waiting
            .iter()
            .filter(move |other| other.ticket != ticket && other.cost(now) > cost)
    }

    /// Returns the requests that came before `own`.
    fn older<'a>(&'a self, own: &Waiting) -> impl Iterator<Item = &'a Waiting> {
        let ticket = own.ticket;
        self.waiting
            .iter()
            .filter(move |other| other.ticket < ticket)
    }

    fn drained_ms(&self, now: Time) -> f64 {
        let elapsed = millis(self.drained_at.until(now)) / millis(DRAIN_TIME);
        self.drained_ms * (-elapsed).exp()
    }

    /// Returns the time until `own` is expected to start, in milliseconds: until the work ahead
    /// is started as fast as lately, or that of older requests as fast as is owed.
    fn expected_wait_ms(&self, own: &Waiting, supply: Supply, now: Time) -> f64 {
        let work = |other: &Waiting| other.need.idle_ms.max(1.0);
        let ahead_ms: f64 = self.ahead(own, now).map(work).sum();
        let older_ms: f64 = self.older(own).map(work).sum();
        let owed = LATE_START_FRACTION * supply.rate();
        let rate = self.drained_ms(now) / millis(DRAIN_TIME);
        let rate = rate.clamp(owed, supply.rate());
        self.blocked_ms.max(0.0) + (ahead_ms / rate).min(older_ms / owed)
    }

    /// Records that a request has waited in vain.
    fn record_vain(&mut self, now: Time) {
        self.confidence = (VAIN_FACTOR * self.confidence(now)).max(MIN_CONFIDENCE);
        self.vain_at = now;
    }

    /// Returns the part of its patience for which a request may wait.
    fn confidence(&self, now: Time) -> f64 {
        let recovered = millis(self.vain_at.until(now)) / millis(RECOVERY_TIME);
        (self.confidence + recovered).min(1.0)
    }

    /// Displaces requests that lose less by a delay until `entrant` has a place. Returns
    /// whether it has one.
    fn make_place(&mut self, entrant: &Waiting, now: Time) -> bool {
        let own_cost = entrant.cost(now);
        if entrant.need.bytes > self.limits.bytes {
            return false;
        }
        while self.waiting.len() >= self.limits.requests
            || self.bytes + entrant.need.bytes > self.limits.bytes
        {
            let least = self
                .waiting
                .iter()
                .map(|other| (other.cost(now), other.ticket))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            match least {
                Some((cost, ticket)) if cost < own_cost => {
                    self.remove(ticket);
                }
                _ => return false,
            }
        }
        true
    }

    fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        let position = self.waiting.iter().position(|w| w.ticket == ticket)?;
        let waiting = self.waiting.swap_remove(position);
        self.bytes -= waiting.need.bytes;
        Some(waiting)
    }

    /// Returns a refusal; callers are told to return one after the other, each after the time
    /// in which its predecessor's work is done. Those who can't wait so long are spread.
    fn refuse(
        &mut self,
        cause: RefusalCause,
        expected_ms: f64,
        need: &RequestNeed,
        supply: Supply,
        now: Time,
    ) -> Refusal {
        let max_ms = RETURN_FRACTION * need.time_left_ms(now);
        let slot = (now + span(expected_ms)).max(self.next_return);
        let mut after_ms = millis(now.until(slot));
        if after_ms > max_ms {
            self.spread = (self.spread + RETURN_STEP).fract();
            after_ms = max_ms * (MIN_RETURN + (1.0 - MIN_RETURN) * self.spread);
        } else {
            self.next_return = slot + span(need.idle_ms.max(1.0) / supply.rate());
        }
        Refusal { cause, after_ms }
    }
}

#[allow(clippy::cast_precision_loss)]
fn millis(span: Span) -> f64 {
    span.0 as f64 / 1e3
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn span(ms: f64) -> Span {
    Span((ms.max(0.0) * 1e3) as u64)
}
