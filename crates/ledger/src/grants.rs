//! An entry's grants for each team and what it charges against them.
//!
//! A request is charged at its most before it's sent and given back what it didn't
//! use when it has ended. Grants follow demand: an entry asks for what the next
//! moments need and gives back what stays unused.

use base::Map;
use base::Span;
use base::Time;

use crate::allowance::Demand;
use crate::allowance::Granted;
use crate::allowance::Lease;

/// Demand that an entry holds ahead: an entry that is cut off from the ledger goes on
/// for this long. Cuts of single machines last up to nine seconds; what a dead entry
/// holds is lost to its team, so more isn't held.
const AHEAD: Span = Span::millis(9_000);

/// Window of the demand's average.
const WINDOW: Span = Span::millis(4_000);

/// Part of what a sealed entry holds ahead that is opened: what a crash costs. A
/// stalled disk is noticed well within it.
const OPEN_PART: u64 = 5;

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
    /// What may be charged as far as the disk says, where the grants are sealed.
    opened: u64,
    /// Largest request that waits for a grant.
    short: u64,
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
    free: u64,
    rest: u64,
}

/// Why a request isn't charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// A grant must come first.
    Ungranted,
    /// The disk must say first that more is opened.
    Sealed,
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

    /// Returns what the entry should hold ahead at `now`.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    fn ahead(&self, now: Time) -> u64 {
        let Some(began) = self.began else {
            return self.short;
        };
        let age = began.until(now).max(YOUNG).0 as f64 / WINDOW.0 as f64;
        let covered = 1.0 - (-age).exp();
        let rate = self.demand / (WINDOW.0 as f64 * covered);
        (rate * AHEAD.0 as f64) as u64 + self.short
    }
}

/// An entry's grants under one lease.
#[derive(Clone, Debug)]
pub struct Grants {
    lease: u64,
    /// Whether no more is charged than the disk says was opened.
    sealed: bool,
    teams: Map<String, TeamGrants>,
}

impl Grants {
    /// Returns no grants under `lease`, a number that was never used before.
    ///
    /// Sealed grants charge no more than was opened on a disk before: after a crash
    /// the rest of their grants is known to be unspent.
    #[must_use]
    pub fn new(lease: u64, sealed: bool) -> Self {
        Self {
            lease,
            sealed,
            teams: Map::default(),
        }
    }

    /// Returns the lease's number.
    #[must_use]
    pub fn lease(&self) -> u64 {
        self.lease
    }

    /// Returns what the entry draws under.
    #[must_use]
    pub fn terms(&self) -> Lease {
        Lease {
            id: self.lease,
            sealed: self.sealed,
        }
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
        let sealed = self.sealed;
        let held = self.of(team);
        held.decay(now);
        if sealed && held.rest() >= amount && held.opened < held.charged + amount {
            held.short = held.short.max(amount);
            return Err(Short::Sealed);
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
        if lease == self.lease {
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
            let rest = held.rest();
            if rest > SURPLUS * ahead.max(1) && held.granted > held.returned {
                held.returned += (rest - ahead).min(held.granted - held.returned);
            } else if rest * 10 > ahead * 9 && rest >= held.short {
                continue;
            }
            let rest = held.rest();
            let need = held.short.saturating_sub(rest);
            demands.push(Demand {
                team: team.clone(),
                want: held.granted + ahead.saturating_sub(rest),
                need: held.granted + need,
                returned: held.returned,
                spent: held.spent,
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
                want: 0,
                need: 0,
                returned: held.returned,
                spent: held.spent,
            }
        };
        self.teams.iter_mut().map(close).collect()
    }

    /// Returns what other entries are asked to lend while the ledger doesn't answer:
    /// each team that is short, with an amount.
    pub fn wishes(&mut self, now: Time) -> Vec<(String, u64)> {
        let mut wishes = Vec::new();
        for (team, held) in &mut self.teams {
            held.decay(now);
            if held.short > 0 && held.rest() < held.short {
                let amount = held.short.max(held.ahead(now) / LOAN_PART);
                wishes.push((team.clone(), amount));
            }
        }
        wishes
    }

    /// Lends up to `amount`, at most half of what is left: the entry that asks may
    /// have as long to go as this one. What is lent counts as spent here.
    pub fn lend(&mut self, team: &str, amount: u64) -> u64 {
        let sealed = self.sealed;
        let held = self.of(team);
        let mut loan = amount.min(held.rest() / 2);
        if sealed {
            loan = loan.min(held.opened.saturating_sub(held.charged));
        }
        held.charged += loan;
        held.spent += loan;
        loan
    }

    /// Takes in what another entry has lent.
    pub fn borrow(&mut self, team: &str, amount: u64) {
        let sealed = self.sealed;
        let held = self.of(team);
        held.lent += amount;
        if held.rest() >= held.short && !sealed {
            held.short = 0;
        }
    }

    /// Returns what the disk should say is opened, where a team needs more soon.
    pub fn marks(&mut self, now: Time) -> Option<Vec<(String, u64)>> {
        if !self.sealed {
            return None;
        }
        let mut due = false;
        let mut marks = Vec::with_capacity(self.teams.len());
        for (team, held) in &mut self.teams {
            held.decay(now);
            let ahead = held.ahead(now) - held.short;
            let target = held.charged + held.short + ahead / OPEN_PART;
            let most = held.granted + held.lent - held.returned;
            let target = target.min(most).max(held.opened);
            let least = held.charged + held.short + ahead / OPEN_PART / 2;
            due |= held.opened < least && target > held.opened;
            marks.push((team.clone(), target));
        }
        due.then_some(marks)
    }

    /// Takes in that the disk says so.
    pub fn opened(&mut self, lease: u64, marks: &[(String, u64)]) {
        if lease != self.lease {
            return;
        }
        for (team, opened) in marks {
            let held = self.of(team);
            held.opened = held.opened.max(*opened);
            if held.rest() >= held.short && held.opened >= held.charged + held.short {
                held.short = 0;
            }
        }
    }

    /// Takes in the ledger's answers under `lease`.
    pub fn granted(&mut self, lease: u64, answers: &[Granted], now: Time) {
        if lease != self.lease {
            return;
        }
        let sealed = self.sealed;
        for answer in answers {
            let held = self.of(&answer.team);
            held.granted = held.granted.max(answer.granted);
            held.answer = Some(Answer {
                at: now,
                free: answer.free,
                rest: answer.rest,
            });
            if held.rest() >= held.short && !sealed {
                held.short = 0;
            }
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
