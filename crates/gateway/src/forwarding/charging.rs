//! Charges a request to its team's budget: its maximum before it's sent, and then what it
//! has used.

use async_io::Timer;
use base::Span;
use futures_lite::FutureExt as _;
use ledger::RequestTokens;
use ledger::Work;
use ledger::grants::ChargeError;

use super::RequestForwarder;
use super::guards::Charge;
use super::guards::ChargeGuard;
use super::rejection::RejectionCause;

/// Maximum wait for a grant: a commit takes tens of milliseconds, an election about one
/// second.
const GRANT_TIMEOUT: Span = Span::millis(350);

/// Maximum wait for a loan, if the ledger doesn't answer or other entries hold all
/// remaining tokens: several peers are asked in turn, and then once more.
const BORROW_TIMEOUT: Span = Span::millis(120);

impl<'a> RequestForwarder<'a> {
    /// Charges the maximum number of tokens that the request may use; waits for a grant
    /// if the held grants don't cover them.
    pub(super) async fn charge_budget(
        &self,
        team: &str,
    ) -> Result<ChargeGuard<'a>, RejectionCause> {
        let max_tokens = self.request.metadata.max_tokens();
        let started_at = self.shared.now();
        let mut give_up_at = started_at + GRANT_TIMEOUT;
        loop {
            let listener = self.shared.grants_changed.listen();
            let now = self.shared.now();
            let ledger_unreachable;
            let result = {
                let mut state = self.shared.state();
                let result = state.grants.charge(team, max_tokens, now);
                ledger_unreachable = !state.ledger_reachable;
                result.map(|()| state.grants.lease_id())
            };
            match result {
                Ok(lease) => {
                    return Ok(ChargeGuard {
                        shared: self.shared,
                        charge: Charge {
                            request_id: self.request.metadata.id.clone(),
                            lease,
                            team: team.to_owned(),
                            charged: max_tokens,
                            used: 0,
                            events: 0,
                        },
                        started: false,
                        abandoned: self.abandoned.clone(),
                    });
                }
                Err(ChargeError::Exhausted) => return Err(RejectionCause::BudgetExhausted),
                Err(ChargeError::NoWitness) => return Err(RejectionCause::NoWitness),
                Err(error) => {
                    let must_borrow = error == ChargeError::HeldByOthers
                        || (error == ChargeError::AwaitingGrant && ledger_unreachable);
                    if must_borrow {
                        give_up_at = give_up_at.min(started_at + BORROW_TIMEOUT);
                    }
                    if now >= give_up_at || now >= self.deadline {
                        return Err(RejectionCause::GrantUnavailable(error));
                    }
                }
            }
            self.shared.grants_needed.notify(usize::MAX);
            let timed_out = async {
                Timer::after(now.until(give_up_at).into()).await;
            };
            listener.or(timed_out).await;
        }
    }

    /// Records that an engine has begun to answer.
    pub(super) fn mark_started(&mut self) {
        if let Some(charge) = &mut self.charge {
            charge.started = true;
        }
    }

    /// Updates the charge to what the request may have used so far; `running` states that an
    /// engine has it now.
    ///
    /// It's updated while the request runs, because the request is dropped immediately
    /// when its caller disconnects.
    pub(super) fn update_charge(&mut self, running: bool) {
        let work = if self.eventless_answer {
            Work::Eventless
        } else if running || self.execution_count > 0 {
            Work::Unknown(self.event_count)
        } else {
            Work::NotRun
        };
        self.set_charge(work);
    }

    /// Returns what is known of the work on a request whose whole answer was sent.
    pub(super) fn answered_work(&self) -> Work {
        if self.eventless_answer {
            Work::Eventless
        } else {
            Work::Events(self.event_count)
        }
    }

    /// Sets the charge to what the request costs, from what is known of its work.
    pub(super) fn set_charge(&mut self, work: Work) {
        if let Some(guard) = &mut self.charge {
            let metadata = &self.request.metadata;
            let tokens = RequestTokens {
                prompt: metadata.prompt_tokens,
                max_output: metadata.max_output,
                per_event: self.event_tokens,
            };
            guard.started |= self.execution_count > 0;
            guard.charge.events = self.event_count;
            guard.charge.used = tokens.cost(work);
        }
    }
}
