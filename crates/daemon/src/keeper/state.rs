//! The replicated state: the ledger, the document and the claims. Its inputs are committed
//! commands.

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

/// A command that is replicated by the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateCommand {
    /// A change of the ledger.
    Ledger(Command),
    /// A new document.
    Submit(Submission),
    /// A claim on a call that may be executed at most once.
    Claim(Claim),
    /// A release of a claim whose call was proved not to have been executed.
    ReleaseClaim(Claim),
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResult {
    /// The result of a change of the ledger.
    Ledger(Outcome),
    /// The result of a submission.
    Submit(SubmitResult),
    /// The result of a claim.
    Claimed(ClaimResult),
    /// Whether the claim was the valid one.
    ClaimReleased(bool),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The ledger of the budgets.
    pub ledger: Ledger,
    /// The register of accepted documents.
    pub register: Register,
    /// The claims.
    pub claims: Claims,
}

impl ReplicatedState {
    /// Applies a committed command; `time_ms` is the timestamp of its log entry, in
    /// milliseconds.
    pub fn apply(&mut self, command: &StateCommand, time_ms: u64) -> CommandResult {
        match command {
            StateCommand::Ledger(command) => {
                CommandResult::Ledger(self.ledger.apply(command, time_ms))
            }
            StateCommand::Submit(submission) => {
                CommandResult::Submit(self.submit(submission, time_ms))
            }
            StateCommand::Claim(claim) => CommandResult::Claimed(self.claims.claim(claim, time_ms)),
            StateCommand::ReleaseClaim(claim) => {
                CommandResult::ClaimReleased(self.claims.release(claim))
            }
        }
    }

    /// Returns the state of the budgets against which a document is checked.
    #[must_use]
    pub fn cluster_state(&self) -> ClusterState {
        let mut cluster_state = ClusterState::default();
        for (&team, account) in self.ledger.accounts() {
            cluster_state.free_tokens.insert(team, account.unallocated);
            cluster_state
                .unspent_tokens
                .insert(team, account.credits.saturating_sub(account.settled));
        }
        cluster_state
    }

    fn submit(&mut self, submission: &Submission, time_ms: u64) -> SubmitResult {
        let before = self.register.current().clone();
        let cluster_state = self.cluster_state();
        let result = self.register.submit(submission, &cluster_state, time_ms);
        let after = self.register.current().clone();
        if after.number != before.number {
            self.adjust_budgets(&before, &after, time_ms);
        }
        result
    }

    /// Credits the increases of budgets and withdraws the decreases.
    ///
    /// The identities contain the document's number, so each is applied once: a number is
    /// accepted only once.
    fn adjust_budgets(&mut self, before: &Document, after: &Document, time_ms: u64) {
        let no_teams = BTreeMap::new();
        let old_teams = if before.number == 0 {
            &no_teams
        } else {
            &before.teams
        };
        for (name, team) in &after.teams {
            let old_budget = old_teams.get(name).map_or(Tokens::ZERO, |team| team.budget);
            let (raised, lowered) = (
                team.budget.saturating_sub(old_budget),
                old_budget.saturating_sub(team.budget),
            );
            let command = if !raised.is_zero() {
                budget_adjustment(after.number, name, raised).map(Command::TopUp)
            } else if !lowered.is_zero() {
                budget_adjustment(after.number, name, lowered).map(Command::Withdraw)
            } else {
                None
            };
            if let Some(command) = command {
                self.ledger.apply(&command, time_ms);
            }
        }
    }
}

fn budget_adjustment(number: u64, name: &str, amount: Tokens) -> Option<TopUp> {
    let team = TeamId::from_name(name);
    let id = format!("ledger/document-{number}-{team}").parse().ok()?;
    Some(TopUp { id, team, amount })
}
