//! Charges a request to its team's budget: its maximum before it's sent, and then what it
//! has used.

use async_io::Timer;
use base::Span;
use futures_lite::FutureExt as _;
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

/// Maximum number of events that may be in flight when a stream is aborted; they are
/// charged as delivered.
const MAX_IN_FLIGHT_EVENTS: u64 = 2;

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

    /// Updates the charge to the tokens that the request has used so far.
    ///
    /// It's updated while the request runs, because the request is dropped immediately
    /// when its caller disconnects.
    pub(super) fn update_charge(&mut self, running: bool) {
        self.set_charge(self.execution_count > 0 || running, MAX_IN_FLIGHT_EVENTS);
    }

    /// Sets the charge to the tokens used if the request was `executed`, where up to
    /// `in_flight_events` may have arrived in addition to those counted.
    pub(super) fn set_charge(&mut self, executed: bool, in_flight_events: u64) {
        let event_count = self.event_count + in_flight_events;
        if let Some(guard) = &mut self.charge {
            let metadata = &self.request.metadata;
            let output = (event_count * self.event_tokens).min(metadata.max_output);
            guard.started |= self.execution_count > 0;
            guard.charge.events = self.event_count;
            guard.charge.used = if executed {
                metadata.prompt_tokens + output
            } else {
                0
            };
        }
    }
}
