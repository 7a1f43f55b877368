//! Calls that may run once: claims and what follows from them.

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
use super::super::flow::Ending;
use super::super::stream::StreamEnd;
use super::super::tables::Chosen;
use super::Job;
use super::KEEPER_WAIT;
use super::MAX_JOINS;
use super::Trail;
use super::Verdict;
use super::attach;
use super::free;
use super::not_run;
use super::send;
use super::unknown;

/// Claims a call that may run once, and sends it.
pub(super) async fn once(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    chosen: &Chosen,
) -> Verdict {
    let claim = Claim {
        request: job.flow.request,
        digest: job.flow.digest,
        entry: entry.tables.id(),
        agent: chosen.agent,
        nonce: fastrand::u64(1..),
    };
    match ask_claim(entry, claim).await {
        Some(ClaimResult::Granted) => {}
        Some(ClaimResult::BodyMismatch) => {
            return Verdict::Done(Ending::Error(CallerError::KeyReused), None);
        }
        Some(ClaimResult::Conflict(earlier)) => {
            return join_claim(entry, job, trail, life, assembly, earlier).await;
        }
        // Nothing has been sent and, without the claim, nothing will be.
        None => return not_run(NotRun::NoQuorum),
    }
    let verdict = send(entry, job, trail, life, assembly, chosen).await;
    let unsent = matches!(
        &verdict,
        Verdict::Again | Verdict::Done(Ending::Error(CallerError::NotRun(_)), _)
    );
    if unsent && !ask_free(entry, claim).await {
        // The claim stands in the way of a second try, which isn't needed to run.
        return not_run(NotRun::NoQuorum);
    }
    verdict
}

pub(super) async fn ask_claim(entry: &Entry, claim: Claim) -> Option<ClaimResult> {
    for peer in &entry.context.keepers {
        let ask = PeerRequest::Claim(claim);
        if let Ok(PeerResponse::Claimed(claimed)) =
            entry.node.request(peer.address, ask, KEEPER_WAIT).await
        {
            return Some(claimed);
        }
    }
    None
}

pub(super) async fn ask_free(entry: &Entry, claim: Claim) -> bool {
    for peer in &entry.context.keepers {
        let ask = PeerRequest::ReleaseClaim(claim);
        if let Ok(PeerResponse::Done) = entry.node.request(peer.address, ask, KEEPER_WAIT).await {
            return true;
        }
    }
    false
}

pub(super) async fn join_claim(
    entry: &Entry,
    job: &Job,
    trail: &mut Trail,
    life: &mut RetryState,
    assembly: &mut Assembly,
    claim: Claim,
) -> Verdict {
    let Some(address) = entry.tables.address(claim.agent) else {
        free(entry, job, trail);
        return unknown();
    };
    let joined = attach(entry, job, claim.agent, address, life, assembly).await;
    free(entry, job, trail);
    match joined {
        StreamEnd::Whole(end) => Verdict::Done(Ending::Whole(end), None),
        StreamEnd::Refused(Refusal::Cancelled) if trail.joins < MAX_JOINS => {
            trail.joins += 1;
            if ask_free(entry, claim).await {
                Verdict::Again
            } else {
                not_run(NotRun::NoQuorum)
            }
        }
        _ => unknown(),
    }
}

pub(super) async fn find_claim(entry: &Entry, request: RequestId) -> Option<Option<Claim>> {
    for peer in &entry.context.keepers {
        let ask = PeerRequest::FindClaim(request);
        if let Ok(PeerResponse::CurrentClaim(claim)) =
            entry.node.request(peer.address, ask, KEEPER_WAIT).await
        {
            return Some(claim);
        }
    }
    None
}
