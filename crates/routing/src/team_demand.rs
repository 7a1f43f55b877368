//! Each team's demand as a multiple of what is usual for it.
//!
//! A team that sends many times its usual demand while there is too little room pays for it
//! before the others. In a wave of all teams the multiples are equal, and none pays more. The
//! usual demand is a median, so that a team's hot seconds don't count towards it before they
//! are the rule.

use base::Map;
use base::Span;
use base::Time;

/// Length of a period.
const PERIOD: Span = Span::millis(1_000);

/// Number of periods that are remembered.
const PERIODS: usize = 24;

/// Number of the latest periods that don't count as usual.
const PRESENT_PERIODS: u64 = 2;

/// Multiple of the usual demand up to which a team's demand isn't an excess, and number of
/// standard deviations and of requests beyond it that chance explains.
const CHANCE_FACTOR: f64 = 2.0;
const CHANCE_DEVIATIONS: f64 = 2.0;
const CHANCE_REQUESTS: f64 = 2.0;

/// Maximum excess of a team.
const MAX_EXCESS: f64 = 16.0;

/// Maximum number of teams that are remembered.
const MAX_TEAMS: usize = 4_096;

/// The requests of one team or of all in each period.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// The number of requests in a period, and the period.
    counts: [(u64, u32); PERIODS],
}

fn slot(period: u64) -> usize {
    usize::try_from(period % PERIODS as u64).unwrap_or(0)
}

impl Demand {
    fn record(&mut self, period: u64) {
        let (of, count) = &mut self.counts[slot(period)];
        if *of != period {
            (*of, *count) = (period, 0);
        }
        *count += 1;
    }

    fn count(&self, period: u64) -> u32 {
        let (of, count) = self.counts[slot(period)];
        if of == period { count } else { 0 }
    }

    /// Returns the requests of the last period's length until `now`.
    #[allow(clippy::cast_precision_loss)]
    fn present(&self, now: Time) -> f64 {
        let period = period(now);
        let elapsed = (now.0 % PERIOD.0) as f64 / PERIOD.0 as f64;
        let before = f64::from(self.count(period - 1));
        f64::from(self.count(period)) + before * (1.0 - elapsed)
    }

    /// Returns the median of the requests in earlier periods, since the period `first`.
    fn usual(&self, first: u64, now: Time) -> f64 {
        let end = (period(now) + 1).saturating_sub(PRESENT_PERIODS);
        let begin = first.max((period(now) + 1).saturating_sub(PERIODS as u64));
        let mut counts: Vec<u32> = (begin..end).map(|period| self.count(period)).collect();
        counts.sort_unstable();
        counts.get(counts.len() / 2).copied().map_or(0.0, f64::from)
    }
}

/// Returns the number of the period of `now`; the first one is 1.
fn period(now: Time) -> u64 {
    now.0 / PERIOD.0 + 1
}

/// The demand of all teams of a service, as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct TeamDemand {
    teams: Map<u64, Demand>,
    total: Demand,
    /// The period of the first request.
    first: Option<u64>,
}

impl TeamDemand {
    /// Records a request of `team`.
    pub fn record(&mut self, team: u64, now: Time) {
        let period = period(now);
        self.first.get_or_insert(period);
        self.total.record(period);
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&team) {
            self.teams.retain(|_, demand| demand.present(now) > 0.0);
            if self.teams.len() >= MAX_TEAMS {
                return;
            }
        }
        self.teams.entry(team).or_default().record(period);
    }

    /// Returns the demand of `team` as a multiple of its usual one, relative to all teams; one
    /// where it's no more than chance explains.
    #[must_use]
    pub fn excess(&self, team: u64, now: Time) -> f64 {
        let (Some(demand), Some(first)) = (self.teams.get(&team), self.first) else {
            return 1.0;
        };
        if period(now) < first + 2 * PRESENT_PERIODS {
            return 1.0;
        }
        let usual_total = self.total.usual(first, now).max(1.0);
        let wave = (self.total.present(now) / usual_total).max(1.0);
        // What the team would send if its demand had grown like that of all. Its own demand is
        // a part of that, so a team that is alone is never hot.
        let usual = demand.usual(first, now) * wave;
        let chance = CHANCE_DEVIATIONS * usual.sqrt() + CHANCE_REQUESTS;
        let present = demand.present(now);
        if present <= CHANCE_FACTOR * usual + chance {
            return 1.0;
        }
        (present / usual.max(1.0)).min(MAX_EXCESS)
    }
}
