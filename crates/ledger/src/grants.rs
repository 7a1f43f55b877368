//! An entry's grants for each team and the charges against them.
//!
//! A request is charged its maximum before it's sent, and the unused part is refunded
//! when it has ended. Grants follow demand: an entry holds what it expects to need
//! for the next seconds, so that it can continue while the ledger is unreachable. Its
//! spend limit covers only the next fraction of a second, because everything up to the
//! limit counts as spent when the entry crashes.

use base::KeeperId;
use base::Map;
use base::Span;
use base::Time;

use crate::allowance::Demand;
use crate::allowance::GrantReply;
use crate::allowance::HighWaterMark;
use crate::allowance::Lease;
use crate::quorum;
use crate::quorum::RecordedLimits;

/// Expected demand that an entry holds in grants: an entry that is partitioned from the
/// ledger continues for this long. Partitions of single instances last up to nine
/// seconds.
const GRANT_HORIZON: Span = Span::millis(10_000);

/// Expected demand that the spend limit covers: the tokens that a crash costs. A mark
/// reaches a disk in a few milliseconds, and requests wait for it.
const MARK_HORIZON: Span = Span::millis(250);

/// Expected demand that the reserve covers for an entry with a disk of its own, which needs
/// it only if that disk is lost, and for others when few tokens remain.
const MIN_RESERVE_HORIZON: Span = Span::millis(1_000);

/// Divisor of the unused grants that bounds the reserve ahead when tokens are scarce: a
/// lost disk then costs at most this part of what the entry holds. Few tokens remain when
/// the fair share is less than this part of the target.
const SCARCE_RESERVE_DIVISOR: u64 = 2;

/// Time constant of the exponentially decayed demand.
const DEMAND_WINDOW: Span = Span::millis(4_000);

/// Time constant of the decayed squares of charges. A small team sends an entry one request
/// in several seconds.
const VARIANCE_WINDOW: Span = Span::millis(16_000);

/// Multiple of the demand's standard deviation that an entry holds beyond the mean.
const DEVIATION_FACTOR: f64 = 1.5;

/// Divisor of the team's unspent tokens that bounds what an entry holds beyond the mean: the
/// last tokens must not stay at entries without requests.
const DEVIATION_DIVISOR: u64 = 16;

/// Divisor of the target that gives the size of one loan request during a partition.
const LOAN_DIVISOR: u64 = 6;

/// Age of the ledger's answer up to which a request is refused because of it. The
/// ledger is asked several times a second while a request lacks tokens.
const MAX_REFUSAL_AGE: Span = Span::millis(600);

/// Least age assumed for the average demand: the first requests alone say little about
/// it.
const MIN_AVERAGE_AGE: Span = Span::millis(1_000);

/// Multiple of the target above which an entry returns unused grants.
const SURPLUS_FACTOR: u64 = 2;

/// The same in eighths of the fair share, when the unspent tokens are fewer than the
/// targets of all entries.
const SCARCE_SURPLUS_EIGHTHS: u64 = 10;

/// Longest time between two demands for a team with grants: surplus tokens of one entry
/// are missing at another.
const MAX_REPORT_INTERVAL: Span = Span::millis(1_000);

/// Time without a witness after which an entry accepts no callers: a mark takes a third
/// of a second if a witness can be reached at all.
const UNWITNESSED_TIMEOUT: Span = Span::millis(350);

/// Age of the ledger's answer up to which grants are returned: no entry can use tokens
/// that are returned during a partition.
const MAX_RETURN_AGE: Span = Span::millis(2_500);

#[derive(Clone, Copy, Debug, Default)]
struct TeamGrants {
    granted: u64,
    /// Tokens lent by other entries; they count as spent on the lenders' grants.
    borrowed: u64,
    returned: u64,
    /// Charged and not refunded.
    charged: u64,
    /// The part of `charged` that ended requests have used.
    spent: u64,
    /// The spend limit that the witnesses prove; `charged` never exceeds it.
    limit: u64,
    /// The reserve that the witnesses prove; `limit` never exceeds it.
    reserve: u64,
    /// Largest request that waits for a grant.
    awaiting_grant: u64,
    /// The target that the ledger was last told.
    told_target: u64,
    /// Largest request that waits for a mark.
    awaiting_mark: u64,
    /// Largest loan requested by another entry that the spend limit doesn't cover.
    requested_loan: u64,
    /// Tokens charged, decayed with [`DEMAND_WINDOW`].
    demand: f64,
    /// The squares of the amounts charged, decayed with [`VARIANCE_WINDOW`].
    squares: f64,
    /// Time of the first charge; the average of a new team covers less than a window.
    first_demand: Option<Time>,
    decayed_at: Time,
    /// The ledger's last answer.
    answer: Option<LedgerAnswer>,
}

/// The ledger's last answer for a team.
#[derive(Clone, Copy, Debug)]
struct LedgerAnswer {
    received_at: Time,
    fair_share: u64,
    unallocated: u64,
    unspent: u64,
}

/// Why a request can't be charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeError {
    /// A grant must arrive first.
    AwaitingGrant,
    /// A witness must record a higher spend limit first.
    AwaitingMark,
    /// No witness is reachable to record a higher spend limit.
    NoWitness,
    /// Other entries hold the remaining tokens.
    HeldByOthers,
    /// The team's total doesn't cover it.
    Exhausted,
}

impl TeamGrants {
    fn unused(&self) -> u64 {
        self.granted + self.borrowed - self.returned - self.charged
    }

    /// Returns the tokens beyond those required that the reserve should cover.
    ///
    /// Load pattern: partitions from all disks but one last for seconds, and the grants of a
    /// small team cover few requests. All of them and loans are usable while tokens are
    /// plentiful. When few remain, those that a lost disk costs would be missing afterwards.
    fn reserve_ahead(&self, has_disk: bool, now: Time) -> u64 {
        let unused = self.unused();
        let target = self.target(now);
        let fair_share = self.answer.map_or(target, |answer| answer.fair_share);
        if has_disk || fair_share < target / SCARCE_RESERVE_DIVISOR {
            let expected = self.expected_demand(MIN_RESERVE_HORIZON, now);
            expected.min(unused / SCARCE_RESERVE_DIVISOR)
        } else if fair_share < target {
            unused / SCARCE_RESERVE_DIVISOR
        } else {
            // Peers lend further tokens during a partition.
            2 * unused + target
        }
    }

    /// Returns the spend limit that requests need now.
    fn required_limit(&self) -> u64 {
        self.charged + self.awaiting_mark + self.requested_loan
    }

    /// Returns the highest spend limit that the grants allow.
    fn max_limit(&self) -> u64 {
        self.granted + self.borrowed - self.returned
    }

    fn decay(&mut self, now: Time) {
        let elapsed = self.decayed_at.until(now);
        #[allow(clippy::cast_precision_loss)]
        let factor = |window: Span| (-(elapsed.0 as f64) / window.0 as f64).exp();
        self.demand *= factor(DEMAND_WINDOW);
        self.squares *= factor(VARIANCE_WINDOW);
        self.decayed_at = now;
    }

    /// Returns the tokens that callers are expected to need within `span`.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn expected_demand(&self, span: Span, now: Time) -> u64 {
        let Some(first_demand) = self.first_demand else {
            return 0;
        };
        let age = first_demand.until(now).max(MIN_AVERAGE_AGE).0 as f64 / DEMAND_WINDOW.0 as f64;
        let covered = 1.0 - (-age).exp();
        let rate = self.demand / (DEMAND_WINDOW.0 as f64 * covered);
        (rate * span.0 as f64) as u64
    }

    /// Returns the number of unused tokens that the entry wants to hold: the mean demand and
    /// a multiple of its standard deviation.
    ///
    /// Load pattern: many entries and teams, so that each entry gets few requests of a team,
    /// and a partition from the ledger. The demand of seconds is a few large requests or none.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn target(&self, now: Time) -> u64 {
        let variance = self.squares * (GRANT_HORIZON.0 as f64 / VARIANCE_WINDOW.0 as f64);
        let deviation = (DEVIATION_FACTOR * variance.sqrt()) as u64;
        let unspent = self.answer.map_or(0, |answer| answer.unspent);
        let deviation = deviation.min(unspent / DEVIATION_DIVISOR);
        self.expected_demand(GRANT_HORIZON, now) + deviation + self.awaiting_grant
    }

    /// Returns the unused tokens that the entry should return.
    fn surplus(&self, target: u64, now: Time) -> u64 {
        let unused = self.unused();
        let answer = self
            .answer
            .filter(|a| a.received_at.until(now) < MAX_RETURN_AGE);
        let Some(answer) = answer else {
            return 0;
        };
        let scarce_share = Some(answer.fair_share).filter(|&fair_share| fair_share < target);
        let keep = match scarce_share {
            Some(fair_share) if unused > fair_share * SCARCE_SURPLUS_EIGHTHS / 8 => {
                fair_share.max(self.awaiting_grant)
            }
            None if unused > SURPLUS_FACTOR * target.max(1) => target,
            _ => return 0,
        };
        unused
            .saturating_sub(keep)
            .min(self.granted.saturating_sub(self.returned))
    }
}

/// An entry's grants under one lease.
#[derive(Clone, Debug)]
pub struct Grants {
    lease: Lease,
    /// The replica on the entry's own disk, if it has one.
    own_witness: Option<KeeperId>,
    /// The witnesses that the ledger knows.
    confirmed_witnesses: Vec<KeeperId>,
    /// Whether the ledger may not know the lease's current witnesses.
    proposal_pending: bool,
    /// The witnesses to propose once they have the limits.
    wanted_witnesses: Vec<KeeperId>,
    /// The highest limits of each team that a witness has recorded.
    recorded: Map<KeeperId, Map<String, RecordedLimits>>,
    /// Since when no witness has recorded a mark.
    unwitnessed_since: Option<Time>,
    /// Whether too few witnesses have recorded the last reserves.
    reserves_failed: bool,
    /// Whether all grants were returned; no further ones are drawn.
    closed: bool,
    teams: Map<String, TeamGrants>,
}

impl Grants {
    /// Returns the empty grants of `holder` under a new lease. `id` must never have been
    /// used before.
    #[must_use]
    pub fn new(id: u64, holder: u64) -> Self {
        Self {
            lease: Lease {
                id,
                holder,
                ..Lease::default()
            },
            own_witness: None,
            confirmed_witnesses: Vec::new(),
            proposal_pending: false,
            wanted_witnesses: Vec::new(),
            recorded: Map::default(),
            unwitnessed_since: None,
            reserves_failed: false,
            closed: false,
            teams: Map::default(),
        }
    }

    /// Returns the empty grants of an entry whose own disk is the replica `own`.
    #[must_use]
    pub fn with_own_witness(id: u64, holder: u64, own: Option<KeeperId>) -> Self {
        Self {
            own_witness: own,
            ..Self::new(id, holder)
        }
    }

    /// Returns the lease's identity.
    #[must_use]
    pub fn lease_id(&self) -> u64 {
        self.lease.id
    }

    /// Returns the lease under which the entry draws.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Proposes the replicas that should be witnesses, once they prove what is charged
    /// already. Only one change is in progress at a time.
    pub fn propose_witnesses(&mut self, wanted: &[KeeperId]) {
        if self.proposal_pending || wanted.is_empty() {
            return;
        }
        self.wanted_witnesses = wanted.to_vec();
        self.wanted_witnesses.sort_unstable();
        self.wanted_witnesses.dedup();
        if self.wanted_witnesses != self.lease.witnesses && self.covers_charges() {
            self.lease.witnesses.clone_from(&self.wanted_witnesses);
            self.lease.witness_version += 1;
            self.proposal_pending = true;
            self.update_limits();
        }
    }

    /// Returns whether the wanted witnesses prove all that is charged.
    fn covers_charges(&self) -> bool {
        let is_covered = |(team, grants): (&String, &TeamGrants)| {
            self.proven_limit(&self.wanted_witnesses, team) >= grants.charged
        };
        self.teams.iter().all(is_covered)
    }

    /// Returns the limit of `team` that a set of witnesses proves.
    fn proven_limit(&self, witnesses: &[KeeperId], team: &str) -> u64 {
        quorum::proven_limit(self.own_witness, witnesses, |id| {
            self.recorded_limits(id, team)
        })
    }

    /// Returns the highest limits of `team` that a witness has recorded.
    fn recorded_limits(&self, witness: KeeperId, team: &str) -> RecordedLimits {
        let limits = self.recorded.get(&witness);
        limits
            .and_then(|l| l.get(team))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the reserve of `team` that all sets of witnesses prove; `None` if it needs none.
    fn proven_reserve(&self, team: &str) -> Option<u64> {
        let proven = |set: &[KeeperId]| {
            let recorded = |id| self.recorded_limits(id, team);
            quorum::proven_reserve(self.own_witness, set, recorded)
        };
        self.witness_sets().filter_map(proven).min()
    }

    /// Returns the sets of witnesses that marks must reach: those that the ledger may know,
    /// and those to propose next.
    fn witness_sets(&self) -> impl Iterator<Item = &[KeeperId]> {
        let sets = [
            &self.confirmed_witnesses,
            &self.lease.witnesses,
            &self.wanted_witnesses,
        ];
        sets.into_iter()
            .filter(|set| !set.is_empty())
            .map(Vec::as_slice)
    }

    /// Updates the spend limits. While a change of the witnesses is pending, the ledger may
    /// know either set, so both must prove the limit.
    fn update_limits(&mut self) {
        let mut teams = std::mem::take(&mut self.teams);
        for (team, grants) in &mut teams {
            let confirmed = self.proven_limit(&self.confirmed_witnesses, team);
            let current = self.proven_limit(&self.lease.witnesses, team);
            grants.limit = confirmed.min(current);
            grants.reserve = self.proven_reserve(team).unwrap_or(u64::MAX);
        }
        self.teams = teams;
    }

    /// Returns whether the ledger hasn't confirmed the last change of the witnesses.
    #[must_use]
    pub fn proposal_pending(&self) -> bool {
        self.proposal_pending
    }

    /// Returns the replicas that should record marks: the witnesses that the ledger knows,
    /// those proposed to it, and those to propose next.
    #[must_use]
    pub fn witnesses(&self) -> Vec<KeeperId> {
        if self.confirmed_witnesses.is_empty() {
            return Vec::new();
        }
        let proposed = self.lease.witnesses.iter().chain(&self.wanted_witnesses);
        let mut witnesses: Vec<KeeperId> = self
            .confirmed_witnesses
            .iter()
            .chain(proposed)
            .copied()
            .collect();
        witnesses.sort_unstable();
        witnesses.dedup();
        witnesses
    }

    /// Returns the replica on the entry's own disk, if it is a witness now.
    #[must_use]
    pub fn own_witness(&self) -> Option<KeeperId> {
        self.own_witness.filter(|id| self.witnesses().contains(id))
    }

    fn team_grants(&mut self, team: &str) -> &mut TeamGrants {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.to_owned(), TeamGrants::default());
        }
        self.teams.entry(team.to_owned()).or_default()
    }

    /// Charges `amount` to `team`.
    ///
    /// # Errors
    ///
    /// Fails if the unused grants or the spend limit don't cover the amount. The next
    /// demand or mark then asks for it.
    pub fn charge(&mut self, team: &str, amount: u64, now: Time) -> Result<(), ChargeError> {
        let no_witness = self.unwitnessed_since.is_some();
        let reserves_failed = self.reserves_failed;
        let grants = self.team_grants(team);
        grants.decay(now);
        if grants.unused() >= amount && grants.limit < grants.charged + amount {
            grants.awaiting_mark = grants.awaiting_mark.max(amount);
            let no_reserve = reserves_failed && grants.reserve < grants.charged + amount;
            return Err(if no_witness || no_reserve {
                ChargeError::NoWitness
            } else {
                ChargeError::AwaitingMark
            });
        }
        if grants.unused() >= amount {
            #[allow(clippy::cast_precision_loss)]
            let demand = amount as f64;
            grants.demand += demand;
            grants.squares += demand * demand;
            grants.first_demand = grants.first_demand.or(Some(now));
            grants.charged += amount;
            return Ok(());
        }
        let missing = amount - grants.unused();
        grants.awaiting_grant = grants.awaiting_grant.max(amount);
        match grants.answer {
            Some(answer) if answer.received_at.until(now) > MAX_REFUSAL_AGE => {
                Err(ChargeError::AwaitingGrant)
            }
            Some(answer) if answer.unspent < missing => Err(ChargeError::Exhausted),
            Some(answer) if answer.unallocated < missing => Err(ChargeError::HeldByOthers),
            _ => Err(ChargeError::AwaitingGrant),
        }
    }

    /// Settles a request that was charged `charged` tokens under `lease` and used `used`.
    pub fn settle(&mut self, lease: u64, team: &str, charged: u64, used: u64) {
        if lease == self.lease.id {
            let grants = self.team_grants(team);
            let used = used.min(charged);
            grants.charged = grants.charged.saturating_sub(charged - used);
            grants.spent += used;
        }
    }

    /// Returns the demands to send; empty if every team has what it needs.
    pub fn demands(&mut self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        if self.closed {
            return demands;
        }
        for (team, grants) in &mut self.teams {
            grants.decay(now);
            let target = grants.target(now);
            grants.returned += grants.surplus(target, now);
            let unused = grants.unused();
            let lacks_tokens =
                (target > 0 && unused * 10 <= target * 9) || unused < grants.awaiting_grant;
            // The ledger divides scarce tokens by the targets that it knows.
            let has_ended = target == 0 && grants.told_target > 0;
            let report_due = grants
                .answer
                .is_none_or(|a| a.received_at.until(now) > MAX_REPORT_INTERVAL);
            let has_grants = grants.granted > grants.returned;
            if !(lacks_tokens || has_ended || report_due && has_grants) {
                continue;
            }
            grants.told_target = target;
            demands.push(Demand {
                team: team.clone(),
                target,
                required: grants.granted + grants.awaiting_grant.saturating_sub(unused),
                returned: grants.returned,
                spent: grants.spent,
                charged: grants.charged,
            });
        }
        demands
    }

    /// Returns all unused grants to the ledger before a planned stop. The result is the
    /// demands that report it; there are no further demands or marks.
    pub fn return_all(&mut self) -> Vec<Demand> {
        self.closed = true;
        let return_unused = |(team, grants): (&String, &mut TeamGrants)| {
            grants.returned += grants.unused();
            grants.awaiting_grant = 0;
            Demand {
                team: team.clone(),
                target: 0,
                required: 0,
                returned: grants.returned,
                spent: grants.spent,
                charged: grants.charged,
            }
        };
        self.teams.iter_mut().map(return_unused).collect()
    }

    /// Returns the loans to request from other entries: the teams that lack tokens, each
    /// with an amount. While the ledger doesn't answer (`partitioned`), the amounts are
    /// larger. Otherwise loans are requested only for teams whose remaining tokens other
    /// entries hold.
    ///
    /// Load pattern: many small teams at many entries. Each entry holds less than one
    /// large request of a team needs, all of them together hold enough.
    pub fn loan_requests(&mut self, partitioned: bool, now: Time) -> Vec<(String, u64)> {
        let mut requests = Vec::new();
        for (team, grants) in &mut self.teams {
            grants.decay(now);
            let missing = grants.awaiting_grant.saturating_sub(grants.unused());
            if missing == 0 {
                continue;
            }
            if partitioned {
                let amount = grants.awaiting_grant.max(grants.target(now) / LOAN_DIVISOR);
                requests.push((team.clone(), amount));
            } else if grants
                .answer
                .is_some_and(|a| a.unallocated < missing && a.unspent >= missing)
            {
                requests.push((team.clone(), missing));
            }
        }
        requests
    }

    /// Lends up to `amount`, at most half of the unused tokens: the borrower may have to
    /// continue without the ledger for as long as this entry. A loan counts as spent
    /// here. The part beyond the spend limit can be lent once the limit is raised.
    pub fn lend(&mut self, team: &str, amount: u64) -> u64 {
        let grants = self.team_grants(team);
        let requested = amount.min(grants.unused() / 2);
        let loan = requested.min(grants.limit.saturating_sub(grants.charged));
        grants.requested_loan = grants.requested_loan.max(requested - loan);
        grants.charged += loan;
        grants.spent += loan;
        loan
    }

    /// Adds tokens that another entry has lent.
    pub fn receive_loan(&mut self, team: &str, amount: u64) {
        let grants = self.team_grants(team);
        grants.borrowed += amount;
        if grants.unused() >= grants.awaiting_grant {
            grants.awaiting_mark = grants.awaiting_mark.max(grants.awaiting_grant);
            grants.awaiting_grant = 0;
        }
    }

    /// Returns the mark to record on the entry's own disk if a team soon needs a higher
    /// spend limit.
    pub fn next_own_mark(&mut self, now: Time) -> Option<HighWaterMark> {
        let own = self.own_witness()?;
        self.spend_mark(now, |grants, team| grants.recorded_limits(own, team).spend)
    }

    /// Returns the mark to record at any witness if a team soon needs a higher spend limit;
    /// `None` while the entry's own disk has the limits.
    pub fn next_mark(&mut self, now: Time) -> Option<HighWaterMark> {
        let own = self.own_witness;
        let lacks_own = |set: &&[KeeperId]| own.is_none_or(|own| !set.contains(&own));
        if self.witnesses().is_empty() || !self.witness_sets().any(|set| lacks_own(&set)) {
            return None;
        }
        self.spend_mark(now, |grants, team| {
            let highest = |set: &[KeeperId]| {
                let limits = set.iter().map(|&id| grants.recorded_limits(id, team).spend);
                limits.max().unwrap_or(0)
            };
            let sets = grants.witness_sets().filter(lacks_own);
            sets.map(highest).min().unwrap_or(0)
        })
    }

    /// Returns a mark of spend limits that cover the next requests, if the one `recorded` of a
    /// team is too low.
    fn spend_mark(
        &mut self,
        now: Time,
        recorded: impl Fn(&Self, &str) -> u64,
    ) -> Option<HighWaterMark> {
        if self.closed {
            return None;
        }
        let mut teams = std::mem::take(&mut self.teams);
        let mut due = false;
        let mut limits = Vec::with_capacity(teams.len());
        for (team, grants) in &mut teams {
            grants.decay(now);
            let expected = grants.expected_demand(MARK_HORIZON, now);
            let required = grants.required_limit();
            let known = recorded(self, team);
            let limit = (required + expected).min(grants.max_limit()).max(known);
            due |= known < required + expected / 2 && limit > known;
            limits.push((team.clone(), limit));
        }
        self.teams = teams;
        // While no witness answers, each further mark probes whether one does again.
        due |= self.unwitnessed_since.is_some();
        let lease = self.lease.id;
        due.then_some(HighWaterMark { lease, limits })
    }

    /// Returns the reserves to record at [`quorum::copies`] of the other witnesses, if a
    /// quarter of one is used.
    pub fn next_reserve(&mut self, now: Time) -> Option<HighWaterMark> {
        if self.closed || self.witnesses().is_empty() {
            return None;
        }
        let own = self.own_witness;
        let mut teams = std::mem::take(&mut self.teams);
        let mut due = false;
        let mut limits = Vec::with_capacity(teams.len());
        for (team, grants) in &mut teams {
            grants.decay(now);
            let ahead = grants.reserve_ahead(own.is_some(), now);
            let required = grants.required_limit();
            let Some(known) = self.proven_reserve(team) else {
                continue;
            };
            let limit = (required + ahead).max(known);
            due |= known < required + ahead / 4 * 3 && limit > known;
            limits.push((team.clone(), limit));
        }
        self.teams = teams;
        let lease = quorum::reserve_lease(self.lease.id);
        due.then_some(HighWaterMark { lease, limits })
    }

    /// Returns whether a request waits for tokens that the ledger must grant.
    #[must_use]
    pub fn lacks_grant(&self) -> bool {
        let waits = |grants: &TeamGrants| grants.awaiting_grant > grants.unused();
        self.teams.values().any(waits)
    }

    /// Returns whether a loan was cut short by the spend limit.
    #[must_use]
    pub fn lacks_loan(&self) -> bool {
        self.teams.values().any(|grants| grants.requested_loan > 0)
    }

    /// Returns whether a request or a peer waits for a higher spend limit.
    #[must_use]
    pub fn lacks_limit(&self) -> bool {
        let waits = |grants: &TeamGrants| grants.awaiting_mark > 0 || grants.requested_loan > 0;
        self.teams.values().any(waits)
    }

    /// Records that too few witnesses have accepted a mark.
    pub fn record_mark_failure(&mut self, now: Time) {
        self.unwitnessed_since = self.unwitnessed_since.or(Some(now));
    }

    /// Records whether enough witnesses have recorded the last reserves.
    pub fn set_reserves_failed(&mut self, failed: bool) {
        self.reserves_failed = failed;
    }

    /// Returns since when no witness has accepted a mark.
    #[must_use]
    pub fn unwitnessed_since(&self) -> Option<Time> {
        self.unwitnessed_since
    }

    /// Returns whether callers of teams with a total should be accepted: without a
    /// witness this entry can spend nothing more, while other entries can.
    ///
    /// Load pattern: entries without a disk are partitioned from all disks for seconds.
    /// Refused callers reach entries with a disk once the load balancer knows.
    #[must_use]
    pub fn accepts_callers(&self, now: Time) -> bool {
        self.unwitnessed_since
            .is_none_or(|since| since.until(now) < UNWITNESSED_TIMEOUT)
    }

    /// Raises the spend limits after `witness` has recorded a mark or reserves, as far as
    /// enough witnesses have them.
    pub fn confirm_mark(&mut self, mark: &HighWaterMark, witness: KeeperId) {
        let is_reserve = mark.lease == quorum::reserve_lease(self.lease.id);
        if mark.lease != self.lease.id && !is_reserve {
            return;
        }
        let recorded = self.recorded.entry(witness).or_default();
        for (team, limit) in &mark.limits {
            let known = recorded.entry(team.clone()).or_default();
            let known = if is_reserve {
                &mut known.reserve
            } else {
                &mut known.spend
            };
            *known = (*known).max(*limit);
        }
        self.update_limits();
        let mut covers_all = true;
        for grants in self.teams.values_mut() {
            let headroom = grants.limit.saturating_sub(grants.charged);
            if headroom >= grants.awaiting_mark.min(grants.unused()) {
                grants.awaiting_mark = 0;
            } else {
                covers_all = false;
            }
            if headroom >= grants.requested_loan {
                grants.requested_loan = 0;
            }
        }
        if covers_all {
            self.unwitnessed_since = None;
        }
    }

    /// Applies the ledger's replies to a draw under `lease`.
    pub fn apply_grants(&mut self, lease: &Lease, replies: &[GrantReply], now: Time) {
        if lease.id != self.lease.id {
            return;
        }
        if lease.witness_version == self.lease.witness_version {
            self.confirmed_witnesses.clone_from(&lease.witnesses);
            self.proposal_pending = false;
            self.update_limits();
        }
        for reply in replies {
            let grants = self.team_grants(&reply.team);
            grants.granted = grants.granted.max(reply.granted);
            grants.requested_loan = 0;
            if grants.unused() >= grants.awaiting_grant {
                grants.awaiting_mark = grants.awaiting_mark.max(grants.awaiting_grant);
            }
            // A request that still waits registers its need again.
            grants.awaiting_grant = 0;
            grants.answer = Some(LedgerAnswer {
                received_at: now,
                fair_share: reply.fair_share,
                unallocated: reply.unallocated,
                unspent: reply.unspent,
            });
        }
    }

    /// Discards the ledger's answers after the teams' totals have changed.
    pub fn discard_answers(&mut self) {
        for grants in self.teams.values_mut() {
            grants.answer = None;
        }
    }

    /// Returns all unused grants of `team` after its total was lowered.
    pub fn return_unused(&mut self, team: &str) {
        let grants = self.team_grants(team);
        grants.returned += grants.unused();
    }
}
