//! Messages of the replicated log to other replicas: in order, one batch in flight to each.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use base::KeeperId;
use base::Span;
use consensus::Envelope;
use fleet::mesh::MeshRequest;

use crate::outbox::Lane;
use crate::peer_requests::request_peer;
use crate::peer_requests::request_peer_bulk;
use crate::state::ProcessContext;

/// Time after which a peer must be receiving a batch of entries, or the batch is given up.
const REPLICA_MESSAGE_TIMEOUT: Span = Span::millis(1_000);

/// Maximum wait for a peer to accept heartbeats, votes and responses: less than the shortest
/// election timeout, since those that follow wait as long.
const CONTROL_TIMEOUT: Span = Span::millis(300);

/// Time from which the delivery of a batch is logged.
const SLOW_BATCH: Span = Span::millis(200);

/// Sends consensus messages, batched per replica and in order.
pub async fn send_replica_messages(shared: Arc<ProcessContext>, envelopes: Receiver<Envelope>) {
    while let Ok(envelope) = envelopes.recv().await {
        let queue = (envelope.to, Lane::of(&envelope.message));
        shared.outboxes().entry(queue).or_default().push(envelope);
        // Messages that were produced together are sent together.
        if envelopes.is_empty() {
            start_batches(&shared);
        }
    }
}

/// Starts a batch to each replica that has queued messages and no batch in flight.
fn start_batches(shared: &Arc<ProcessContext>) {
    let mut ready = Vec::new();
    for (&queue, outbox) in shared.outboxes().iter_mut() {
        if let Some(batch) = outbox.next_batch() {
            ready.push((queue, batch));
        }
    }
    for (queue, batch) in ready {
        let shared = Arc::clone(shared);
        let pool = shared.pool.clone();
        pool.spawn(async move { send_batches(&shared, queue, batch).await });
    }
}

/// Sends batches of a queue to its replica until the queue is empty.
async fn send_batches(shared: &ProcessContext, queue: (KeeperId, Lane), first: Vec<Envelope>) {
    let (keeper, lane) = queue;
    let mut next = Some(first);
    while let Some(batch) = next {
        let address = {
            let state = shared.state();
            let found = state.peers.find_keeper(keeper);
            found.map(|peer| peer.member.address)
        };
        if let Some(address) = address {
            send_batch(shared, address, lane, batch).await;
        }
        let mut outboxes = shared.outboxes();
        let outbox = outboxes.entry(queue).or_default();
        outbox.finish_batch();
        next = outbox.next_batch();
    }
}

/// Sends one batch; the consensus protocol sends lost messages again.
async fn send_batch(
    shared: &ProcessContext,
    address: SocketAddr,
    lane: Lane,
    batch: Vec<Envelope>,
) {
    let started_at = shared.now();
    let messages = batch.len();
    let bytes: u64 = batch
        .iter()
        .map(|envelope| envelope.message.size_bytes())
        .sum();
    let request = MeshRequest::Replica(batch);
    let delivered = match lane {
        Lane::Control => request_peer(shared, address, request, CONTROL_TIMEOUT).await,
        Lane::Log => request_peer_bulk(shared, address, request, REPLICA_MESSAGE_TIMEOUT).await,
    };
    let delivered = delivered.is_some();
    let elapsed = started_at.until(shared.now());
    if !delivered || elapsed >= SLOW_BATCH {
        log::info!(
            "group: event=batch peer={address} lane={lane:?} messages={messages} bytes={bytes} ms={} delivered={delivered}",
            elapsed.as_millis()
        );
    }
}
