//! Runs calls that may run at most once, under claims that the keepers grant.

use base::RequestId;
use caller::CallerError;
use fleet::PeerRequest;
use fleet::PeerResponse;
use request::Assembly;
use request::Claim;
use request::ClaimResult;
use request::NotRun;
use request::Refusal;
use request::RetryState;

use super::super::Entry;
use super::super::answer::AnswerOutcome;
use super::super::stream::StreamEnd;
use super::super::tables::ChosenEndpoint;
use super::AttemptResult;
use super::AttemptState;
use super::Job;
use super::KEEPER_TIMEOUT;
use super::MAX_JOINS;
use super::attach;
use super::finish_not_run;
use super::finish_unknown;
use super::release_reservation;
use super::send_order;
use super::submissions;

/// Claims a call that may run at most once, and sends it.
pub(super) async fn run_claimed(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    endpoint: &ChosenEndpoint,
) -> AttemptResult {
    // Another entry that gives up must know of this call before the claim is committed.
    submissions::register(entry, job, state).await;
    let claim = Claim {
        request: job.answer.request,
        digest: job.answer.digest,
        entry: entry.tables.id(),
        agent: endpoint.agent,
        nonce: fastrand::u64(1..),
    };
    state.own_nonces.push(claim.nonce);
    match acquire_claim(entry, claim).await {
        Some(ClaimResult::Granted) => {}
        Some(ClaimResult::BodyMismatch) => {
            return AttemptResult::Finished(AnswerOutcome::Failed(CallerError::KeyReused), None);
        }
        Some(ClaimResult::Conflict(earlier)) => {
            return join_claim(entry, job, state, retry_state, assembly, earlier).await;
        }
        // Nothing has been sent, and without the claim this entry will send nothing.
        None => return finish_not_run(NotRun::NoQuorum),
    }
    let result = send_order(entry, job, state, retry_state, assembly, endpoint).await;
    let unsent = matches!(
        &result,
        AttemptResult::Retry
            | AttemptResult::Finished(AnswerOutcome::Failed(CallerError::NotRun(_)), _)
    );
    if unsent && !release_claim(entry, claim).await {
        // The claim may still be held and would block another attempt.
        return finish_not_run(NotRun::NoQuorum);
    }
    result
}

pub(super) async fn acquire_claim(entry: &Entry, claim: Claim) -> Option<ClaimResult> {
    for peer in &entry.context.keepers {
        let message = PeerRequest::Claim(claim);
        if let Ok(PeerResponse::Claimed(result)) = entry
            .node
            .request(peer.address, message, KEEPER_TIMEOUT)
            .await
        {
            return Some(result);
        }
    }
    None
}

pub(super) async fn release_claim(entry: &Entry, claim: Claim) -> bool {
    for peer in &entry.context.keepers {
        let message = PeerRequest::ReleaseClaim(claim);
        if let Ok(PeerResponse::Done) = entry
            .node
            .request(peer.address, message, KEEPER_TIMEOUT)
            .await
        {
            return true;
        }
    }
    false
}

pub(super) async fn join_claim(
    entry: &Entry,
    job: &Job,
    state: &mut AttemptState,
    retry_state: &mut RetryState,
    assembly: &mut Assembly,
    claim: Claim,
) -> AttemptResult {
    let Some(address) = entry.tables.agent_address(claim.agent) else {
        release_reservation(entry, job, state);
        return finish_unknown();
    };
    let stream_end = attach(entry, job, claim.agent, address, retry_state, assembly).await;
    release_reservation(entry, job, state);
    match stream_end {
        StreamEnd::Complete(end) => AttemptResult::Finished(AnswerOutcome::Complete(end), None),
        StreamEnd::Refused(Refusal::Cancelled) if state.joins < MAX_JOINS => {
            state.joins += 1;
            if release_claim(entry, claim).await {
                AttemptResult::Retry
            } else {
                finish_not_run(NotRun::NoQuorum)
            }
        }
        _ => finish_unknown(),
    }
}

pub(super) async fn find_claim(entry: &Entry, request: RequestId) -> Option<Option<Claim>> {
    for peer in &entry.context.keepers {
        let message = PeerRequest::FindClaim(request);
        if let Ok(PeerResponse::CurrentClaim(claim)) = entry
            .node
            .request(peer.address, message, KEEPER_TIMEOUT)
            .await
        {
            return Some(claim);
        }
    }
    None
}
