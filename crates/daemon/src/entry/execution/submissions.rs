//! Registers, at the keepers of a request's record, that this entry waits with the request.

use base::RequestId;
use fleet::PeerRequest;
use fleet::PeerResponse;

use super::super::Entry;
use super::AttemptState;
use super::Job;
use super::RECORD_TIMEOUT;
use super::records::record_addresses;

/// Registers a request with an idempotency key before it waits for tokens, an endpoint or a
/// claim.
pub(in super::super) async fn register(entry: &Entry, job: &Job, state: &mut AttemptState) {
    if state.registered || !job.answer.has_key {
        return;
    }
    state.registered = true;
    let time_left = entry.context.clock.now().until(job.deadline);
    let message = PeerRequest::Await(job.answer.request, entry.tables.id(), time_left);
    let _ = request_all(entry, job.answer.request, &message).await;
}

/// Ends this entry's registration; returns whether another entry waits with the request, or
/// `None` if a keeper that may know one doesn't answer.
pub(super) async fn withdraw(entry: Entry, request: RequestId) -> Option<bool> {
    let message = PeerRequest::Withdraw(request, entry.tables.id());
    let mut others_wait = Some(false);
    for response in request_all(&entry, request, &message).await {
        match response {
            Some(PeerResponse::Withdrawn(true)) => return Some(true),
            Some(PeerResponse::Withdrawn(false)) => {}
            _ => others_wait = None,
        }
    }
    others_wait
}

/// Sends a message to all keepers of the request's record at once.
async fn request_all(
    entry: &Entry,
    request: RequestId,
    message: &PeerRequest,
) -> Vec<Option<PeerResponse>> {
    let mut tasks = Vec::new();
    for address in record_addresses(entry, request) {
        let node = entry.node.clone();
        let message = message.clone();
        let task = async move { node.request(address, message, RECORD_TIMEOUT).await.ok() };
        tasks.push(entry.context.pool.spawn_with_handle(task));
    }
    let mut responses = Vec::new();
    for task in tasks {
        responses.push(task.await);
    }
    responses
}
