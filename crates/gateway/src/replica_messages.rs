//! Messages of the replicated log to other replicas: in order, one batch in flight to each.

use std::sync::Arc;

use async_channel::Receiver;
use base::KeeperId;
use base::Span;
use consensus::Envelope;
use fleet::mesh::MeshRequest;

use crate::mesh::request_peer;
use crate::state::ProcessContext;

/// Maximum wait for a peer to accept consensus messages: a megabyte takes half a second
/// on the slowest links.
const REPLICA_MESSAGE_TIMEOUT: Span = Span::millis(1_000);

/// Time from which the delivery of a batch is logged: a follower hears no heartbeat while it
/// lasts.
const SLOW_BATCH: Span = Span::millis(200);

/// Sends consensus messages, batched per replica and in order.
pub async fn send_replica_messages(shared: Arc<ProcessContext>, envelopes: Receiver<Envelope>) {
    while let Ok(envelope) = envelopes.recv().await {
        let keeper = envelope.to;
        shared.outboxes().entry(keeper).or_default().push(envelope);
        // Messages that were produced together are sent together.
        if envelopes.is_empty() {
            start_batches(&shared);
        }
    }
}

/// Starts a batch to each replica that has queued messages and no batch in flight.
fn start_batches(shared: &Arc<ProcessContext>) {
    let mut ready = Vec::new();
    for (&keeper, outbox) in shared.outboxes().iter_mut() {
        if let Some(batch) = outbox.next_batch() {
            ready.push((keeper, batch));
        }
    }
    for (keeper, batch) in ready {
        let shared = Arc::clone(shared);
        let pool = shared.pool.clone();
        pool.spawn(async move { send_batches(&shared, keeper, batch).await });
    }
}

/// Sends batches to a replica until its queue is empty.
async fn send_batches(shared: &ProcessContext, keeper: KeeperId, first: Vec<Envelope>) {
    let mut next = Some(first);
    while let Some(batch) = next {
        let address = {
            let state = shared.state();
            let mut peers = state.peers.values();
            let found = peers.find(|peer| peer.member.keeper == Some(keeper));
            found.map(|peer| peer.member.address)
        };
        if let Some(address) = address {
            let started_at = shared.now();
            let messages = batch.len();
            let bytes: usize = batch.iter().map(|envelope| envelope.message.size()).sum();
            // The consensus protocol sends lost messages again.
            let answer = request_peer(
                shared,
                address,
                MeshRequest::Replica(batch),
                REPLICA_MESSAGE_TIMEOUT,
            )
            .await;
            let elapsed_ms = started_at.until(shared.now()).as_millis();
            if answer.is_none() || elapsed_ms >= SLOW_BATCH.as_millis() {
                log::info!(
                    "group: event=batch peer={address} messages={messages} bytes={bytes} ms={elapsed_ms} delivered={}",
                    answer.is_some()
                );
            }
        }
        let mut outboxes = shared.outboxes();
        let outbox = outboxes.entry(keeper).or_default();
        outbox.finish_batch();
        next = outbox.next_batch();
    }
}
