//! The replicated state: budgets, the document and claims.

use std::collections::BTreeMap;

use base::TeamId;
use base::Tokens;
use config::Document;
use config::Register;
use config::Submission;
use config::SubmitResult;
use config::check::ClusterState;
use ledger::Command;
use ledger::Ledger;
use ledger::Outcome;
use ledger::TopUp;
use request::Claim;
use request::ClaimResult;
use request::Claims;
use serde::Deserialize;
use serde::Serialize;

/// A committed change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A change of the budgets.
    Ledger(Command),
    /// A new document.
    Submit(Submission),
    /// A claim of a call that may run once.
    Claim(Claim),
    /// Proof that a claimed call has not run.
    Free(Claim),
}

/// What came of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Of the budgets.
    Ledger(Outcome),
    /// Of a document.
    Submit(SubmitResult),
    /// Of a claim.
    Claimed(ClaimResult),
    /// Whether the claim stood.
    Freed(bool),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The budgets.
    pub ledger: Ledger,
    /// The documents.
    pub register: Register,
    /// The claims.
    pub claims: Claims,
}

impl Site {
    /// Applies a committed change at the log's own time `at`, in milliseconds.
    pub fn apply(&mut self, change: &Change, at: u64) -> Effect {
        match change {
            Change::Ledger(command) => Effect::Ledger(self.ledger.apply(command, at)),
            Change::Submit(submission) => Effect::Submit(self.submit(submission, at)),
            Change::Claim(claim) => Effect::Claimed(self.claims.claim(claim, at)),
            Change::Free(claim) => Effect::Freed(self.claims.release(claim)),
        }
    }

    /// Returns what the verifier needs to know of the budgets.
    #[must_use]
    pub fn world(&self) -> ClusterState {
        let mut world = ClusterState::default();
        for (&team, account) in self.ledger.accounts() {
            world.free_tokens.insert(team, account.unallocated);
            world
                .unspent_tokens
                .insert(team, account.credits.saturating_sub(account.settled));
        }
        world
    }

    fn submit(&mut self, submission: &Submission, at: u64) -> SubmitResult {
        let before = self.register.current().clone();
        let world = self.world();
        let answer = self.register.submit(submission, &world, at);
        let after = self.register.current().clone();
        if after.number != before.number {
            self.fund(&before, &after, at);
        }
        answer
    }

    /// Credits raised budgets and takes back lowered ones.
    ///
    /// The identities carry the document's number, which is accepted once.
    fn fund(&mut self, before: &Document, after: &Document, at: u64) {
        let none = BTreeMap::new();
        let old = if before.number == 0 {
            &none
        } else {
            &before.teams
        };
        for (name, team) in &after.teams {
            let was = old.get(name).map_or(Tokens::ZERO, |team| team.budget);
            let (raised, lowered) = (
                team.budget.saturating_sub(was),
                was.saturating_sub(team.budget),
            );
            let command = if !raised.is_zero() {
                change_of(after.number, name, raised).map(Command::TopUp)
            } else if !lowered.is_zero() {
                change_of(after.number, name, lowered).map(Command::Withdraw)
            } else {
                None
            };
            if let Some(command) = command {
                self.ledger.apply(&command, at);
            }
        }
    }
}

fn change_of(number: u64, name: &str, amount: Tokens) -> Option<TopUp> {
    let team = TeamId::from_name(name);
    let id = format!("ledger/document-{number}-{team}").parse().ok()?;
    Some(TopUp { id, team, amount })
}
