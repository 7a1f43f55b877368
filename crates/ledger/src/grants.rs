//! An entry's grants for each team and what it charges against them.
//!
//! A request is charged at its most before it's sent and given back what it didn't
//! use when it has ended. Grants follow demand: an entry holds what the next seconds
//! need, so that it goes on while it can't reach the ledger, and opens what the next
//! moments need, which is all that its death costs.

use base::KeeperId;
use base::Map;
use base::Span;
use base::Time;

use crate::allowance::Demand;
use crate::allowance::Granted;
use crate::allowance::Lease;
use crate::allowance::Mark;

/// Demand that an entry holds ahead: an entry that is cut off from the ledger goes on
/// for this long. Cuts of single machines last up to nine seconds.
const AHEAD: Span = Span::millis(10_000);

/// Demand that is opened ahead: what a death costs. A mark reaches a disk in some
/// milliseconds, and requests wait for it.
const OPEN: Span = Span::millis(250);

/// Window of the demand's average.
const WINDOW: Span = Span::millis(4_000);

/// Part of what an entry holds ahead that it asks another entry to lend at once.
const LOAN_PART: u64 = 6;

/// Age up to which the ledger's answer decides; it's asked again several times a
/// second while a request is short.
const FRESH: Span = Span::millis(600);

/// Least age of an average: the first requests alone say little.
const YOUNG: Span = Span::millis(1_000);

/// Unused demand above which an entry gives back, as a multiple of what it holds
/// ahead.
const SURPLUS: u64 = 2;

/// The same in eighths of its part, where all that is unspent is less than the
/// entries would like to hold.
const SCARCE_SURPLUS: u64 = 10;

/// Longest time between two demands for a team with grants: what is held too much
/// somewhere is missing elsewhere.
const REPORT: Span = Span::millis(1_000);

/// Time without a witness after which callers aren't welcome: a mark takes a third of
/// a second where one can be reached at all.
const UNWITNESSED: Span = Span::millis(350);

/// Age of the ledger's answer up to which grants are given back: what is given back
/// in a cut is of use to nobody.
const RECENT: Span = Span::millis(2_500);

#[derive(Clone, Copy, Debug, Default)]
struct TeamGrants {
    granted: u64,
    /// Lent by other entries, on whose grants it counts as spent.
    lent: u64,
    returned: u64,
    /// Charged and not given back.
    charged: u64,
    /// The part of it that ended requests have used.
    spent: u64,
    /// What may be charged as far as a witness knows.
    opened: u64,
    /// Largest request that waits for a grant.
    short: u64,
    /// Largest request that waits for a mark.
    unopened: u64,
    /// Largest loan that another entry asked for and that isn't opened.
    asked: u64,
    /// Tokens charged in a window, decayed.
    demand: f64,
    /// When the first demand came; a young average covers less than a window.
    began: Option<Time>,
    touched: Time,
    /// The ledger's last answer.
    answer: Option<Answer>,
}

/// What the ledger said of a team.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Time,
    fair: u64,
    free: u64,
    rest: u64,
}

/// Why a request isn't charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// A grant must come first.
    Ungranted,
    /// A witness must know first that more is opened.
    Unopened,
    /// No witness answers that could know it.
    Unwitnessed,
    /// Other entries hold what is left.
    Held,
    /// The team's total doesn't cover it.
    Exhausted,
}

impl TeamGrants {
    fn rest(&self) -> u64 {
        self.granted + self.lent - self.returned - self.charged
    }

    fn decay(&mut self, now: Time) {
        #[allow(clippy::cast_precision_loss)]
        let part = self.touched.until(now).0 as f64 / WINDOW.0 as f64;
        self.demand *= (-part).exp();
        self.touched = now;
    }

    /// Returns what callers are expected to need within `span`.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn expected(&self, span: Span, now: Time) -> u64 {
        let Some(began) = self.began else {
            return 0;
        };
        let age = began.until(now).max(YOUNG).0 as f64 / WINDOW.0 as f64;
        let covered = 1.0 - (-age).exp();
        let rate = self.demand / (WINDOW.0 as f64 * covered);
        (rate * span.0 as f64) as u64
    }

    /// Returns what the entry should hold ahead.
    fn ahead(&self, now: Time) -> u64 {
        self.expected(AHEAD, now) + self.short
    }

    /// Returns what the entry holds beyond its part.
    fn surplus(&self, ahead: u64, now: Time) -> u64 {
        let rest = self.rest();
        let answer = self.answer.filter(|a| a.at.until(now) < RECENT);
        let Some(answer) = answer else {
            return 0;
        };
        let scarce = Some(answer.fair).filter(|&fair| fair < ahead);
        let keep = match scarce {
            Some(fair) if rest > fair * SCARCE_SURPLUS / 8 => fair.max(self.short),
            None if rest > SURPLUS * ahead.max(1) => ahead,
            _ => return 0,
        };
        rest.saturating_sub(keep)
            .min(self.granted.saturating_sub(self.returned))
    }
}

/// An entry's grants under one lease.
#[derive(Clone, Debug)]
pub struct Grants {
    lease: Lease,
    /// The witnesses that the ledger knows of; marks put down elsewhere don't count.
    confirmed: Vec<KeeperId>,
    /// Whether the ledger may not know the lease's present witnesses.
    proposed: bool,
    /// Who has the last mark.
    marked: Option<KeeperId>,
    /// Since when no witness takes marks.
    unwitnessed: Option<Time>,
    teams: Map<String, TeamGrants>,
}

impl Grants {
    /// Returns no grants of `holder` under the lease `id`, a number that was never
    /// used before.
    #[must_use]
    pub fn new(id: u64, holder: u64) -> Self {
        Self {
            lease: Lease {
                id,
                holder,
                ..Lease::default()
            },
            confirmed: Vec::new(),
            proposed: false,
            marked: None,
            unwitnessed: None,
            teams: Map::default(),
        }
    }

    /// Returns the lease's number.
    #[must_use]
    pub fn lease(&self) -> u64 {
        self.lease.id
    }

    /// Returns what the entry draws under.
    #[must_use]
    pub fn terms(&self) -> &Lease {
        &self.lease
    }

    /// Takes in which replicas should be witnesses.
    ///
    /// A present witness that isn't wanted is dropped only where the last mark is
    /// with another that stays. One change is under way at a time.
    pub fn propose(&mut self, wanted: &[KeeperId]) {
        if self.proposed || wanted.is_empty() {
            return;
        }
        let mut next: Vec<KeeperId> = wanted.to_vec();
        let stays = |id: &KeeperId| wanted.contains(id) && self.confirmed.contains(id);
        if !self.confirmed.is_empty() && !self.marked.as_ref().is_some_and(stays) {
            next.extend(&self.confirmed);
        }
        next.sort_unstable();
        next.dedup();
        if next != self.lease.witnesses {
            self.lease.witnesses = next;
            self.lease.version += 1;
            self.proposed = true;
        }
    }

    /// Returns whether the ledger must be told of other witnesses.
    #[must_use]
    pub fn proposed(&self) -> bool {
        self.proposed
    }

    /// Returns the replicas at which a mark may be put down now.
    #[must_use]
    pub fn witnesses(&self) -> Vec<KeeperId> {
        let both = |id: &&KeeperId| self.lease.witnesses.contains(id);
        self.confirmed.iter().filter(both).copied().collect()
    }

    fn of(&mut self, team: &str) -> &mut TeamGrants {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.to_owned(), TeamGrants::default());
        }
        self.teams.entry(team.to_owned()).or_default()
    }

    /// Charges `amount` to `team`.
    ///
    /// # Errors
    ///
    /// Fails where the team's grants hold less; the next demand then asks for it.
    pub fn charge(&mut self, team: &str, amount: u64, now: Time) -> Result<(), Short> {
        let unwitnessed = self.unwitnessed.is_some();
        let held = self.of(team);
        held.decay(now);
        if held.rest() >= amount && held.opened < held.charged + amount {
            held.unopened = held.unopened.max(amount);
            return Err(if unwitnessed {
                Short::Unwitnessed
            } else {
                Short::Unopened
            });
        }
        if held.rest() >= amount {
            #[allow(clippy::cast_precision_loss)]
            let demand = amount as f64;
            held.demand += demand;
            held.began = held.began.or(Some(now));
            held.charged += amount;
            return Ok(());
        }
        let missing = amount - held.rest();
        held.short = held.short.max(amount);
        match held.answer {
            Some(answer) if answer.at.until(now) > FRESH => Err(Short::Ungranted),
            Some(answer) if answer.rest < missing => Err(Short::Exhausted),
            Some(answer) if answer.free < missing => Err(Short::Held),
            _ => Err(Short::Ungranted),
        }
    }

    /// Settles a request that was charged `charged` under `lease` and used `used`.
    pub fn settle(&mut self, lease: u64, team: &str, charged: u64, used: u64) {
        if lease == self.lease.id {
            let held = self.of(team);
            let used = used.min(charged);
            held.charged = held.charged.saturating_sub(charged - used);
            held.spent += used;
        }
    }

    /// Returns the demands to send; empty where every team has what it needs.
    pub fn demands(&mut self, now: Time) -> Vec<Demand> {
        let mut demands = Vec::new();
        for (team, held) in &mut self.teams {
            held.decay(now);
            let ahead = held.ahead(now);
            held.returned += held.surplus(ahead, now);
            let rest = held.rest();
            let short = rest * 10 <= ahead * 9 || rest < held.short;
            let late = held.answer.is_none_or(|a| a.at.until(now) > REPORT);
            let holds = held.granted > held.returned;
            if !(short || late && holds) {
                continue;
            }
            demands.push(Demand {
                team: team.clone(),
                ahead,
                need: held.granted + held.short.saturating_sub(rest),
                returned: held.returned,
                spent: held.spent,
                charged: held.charged,
            });
        }
        demands
    }

    /// Gives all unused grants back, before a planned stop. Returns the demands that
    /// say so.
    pub fn close(&mut self) -> Vec<Demand> {
        let close = |(team, held): (&String, &mut TeamGrants)| {
            held.returned += held.rest();
            held.short = 0;
            Demand {
                team: team.clone(),
                ahead: 0,
                need: 0,
                returned: held.returned,
                spent: held.spent,
                charged: held.charged,
            }
        };
        self.teams.iter_mut().map(close).collect()
    }

    /// Returns what other entries are asked to lend: each team that is short, with an
    /// amount. While the ledger doesn't answer (`cut`), more is asked for at once;
    /// else only for teams of which others hold all that is left.
    ///
    /// Load pattern: many small teams at many entries, each entry with less than one
    /// large request of a team, all of them together with enough.
    pub fn wishes(&mut self, cut: bool, now: Time) -> Vec<(String, u64)> {
        let mut wishes = Vec::new();
        for (team, held) in &mut self.teams {
            held.decay(now);
            let missing = held.short.saturating_sub(held.rest());
            if missing == 0 {
                continue;
            }
            if cut {
                let amount = held.short.max(held.ahead(now) / LOAN_PART);
                wishes.push((team.clone(), amount));
            } else if held
                .answer
                .is_some_and(|a| a.free < missing && a.rest >= missing)
            {
                wishes.push((team.clone(), missing));
            }
        }
        wishes
    }

    /// Lends up to `amount`, at most half of what is left: the entry that asks may
    /// have as long to go as this one. What is lent counts as spent here; what isn't
    /// opened can be lent once it is.
    pub fn lend(&mut self, team: &str, amount: u64) -> u64 {
        let held = self.of(team);
        let wanted = amount.min(held.rest() / 2);
        let loan = wanted.min(held.opened.saturating_sub(held.charged));
        held.asked = held.asked.max(wanted - loan);
        held.charged += loan;
        held.spent += loan;
        loan
    }

    /// Takes in what another entry has lent.
    pub fn borrow(&mut self, team: &str, amount: u64) {
        let held = self.of(team);
        held.lent += amount;
        if held.rest() >= held.short {
            held.unopened = held.unopened.max(held.short);
            held.short = 0;
        }
    }

    /// Returns the mark to put down where a team needs more opened soon.
    pub fn mark(&mut self, now: Time) -> Option<Mark> {
        if self.witnesses().is_empty() {
            return None;
        }
        let mut due = false;
        let mut opened = Vec::with_capacity(self.teams.len());
        for (team, held) in &mut self.teams {
            held.decay(now);
            let most = held.granted + held.lent - held.returned;
            let ahead = held.expected(OPEN, now);
            let needed = held.charged + held.unopened + held.asked;
            let target = (needed + ahead).min(most).max(held.opened);
            due |= held.opened < needed + ahead / 2 && target > held.opened;
            opened.push((team.clone(), target));
        }
        // While none answers, a mark finds out when one does.
        due |= self.unwitnessed.is_some();
        let lease = self.lease.id;
        due.then_some(Mark { lease, opened })
    }

    /// Takes in that no witness has taken a mark.
    pub fn unmarked(&mut self, now: Time) {
        self.unwitnessed = self.unwitnessed.or(Some(now));
    }

    /// Returns since when no witness takes marks.
    #[must_use]
    pub fn unwitnessed(&self) -> Option<Time> {
        self.unwitnessed
    }

    /// Returns whether callers of teams with a total are welcome: without a witness
    /// nothing more may be spent here, while other entries may.
    ///
    /// Load pattern: entries without a disk are cut off from all disks for seconds;
    /// callers that are turned away find entries with a disk once the balancer knows.
    #[must_use]
    pub fn spends(&self, now: Time) -> bool {
        self.unwitnessed
            .is_none_or(|since| since.until(now) < UNWITNESSED)
    }

    /// Takes in that `witness` has the mark.
    pub fn opened(&mut self, mark: &Mark, witness: KeeperId) {
        if mark.lease != self.lease.id || !self.witnesses().contains(&witness) {
            return;
        }
        self.marked = Some(witness);
        self.unwitnessed = None;
        for (team, opened) in &mark.opened {
            let held = self.of(team);
            held.opened = held.opened.max(*opened);
            let room = held.opened.saturating_sub(held.charged);
            if room >= held.unopened.min(held.rest()) {
                held.unopened = 0;
            }
            if room >= held.asked {
                held.asked = 0;
            }
        }
    }

    /// Takes in the ledger's answers to a draw under `lease`.
    pub fn granted(&mut self, lease: &Lease, answers: &[Granted], now: Time) {
        if lease.id != self.lease.id {
            return;
        }
        if lease.version == self.lease.version {
            self.confirmed.clone_from(&lease.witnesses);
            self.proposed = false;
        }
        for answer in answers {
            let held = self.of(&answer.team);
            held.granted = held.granted.max(answer.granted);
            held.asked = 0;
            if held.rest() >= held.short {
                held.unopened = held.unopened.max(held.short);
            }
            // Where it can't be had now, a request that still waits asks again.
            held.short = 0;
            held.answer = Some(Answer {
                at: now,
                fair: answer.fair,
                free: answer.free,
                rest: answer.rest,
            });
        }
    }

    /// Forgets what the ledger said of totals, after they changed.
    pub fn reconsider(&mut self) {
        for held in self.teams.values_mut() {
            held.answer = None;
        }
    }

    /// Gives all unused grants of `team` back, after its total fell.
    pub fn empty(&mut self, team: &str) {
        let held = self.of(team);
        held.returned += held.rest();
    }
}
