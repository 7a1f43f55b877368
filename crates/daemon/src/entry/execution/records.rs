//! Stores and looks up, at the keepers, the records of where requests run.

use std::net::SocketAddr;

use base::KeeperId;
use base::RequestId;
use fleet::Node;
use fleet::PeerRequest;
use fleet::PeerResponse;
use request::InsertResult;
use request::Record;
use request::records::record_keepers;

use super::super::Entry;
use super::RECORD_TIMEOUT;

/// Returns the addresses of the keepers that hold a request's record.
pub(super) fn record_addresses(entry: &Entry, request: RequestId) -> Vec<SocketAddr> {
    let keepers = &entry.context.keepers;
    let ids: Vec<KeeperId> = keepers.iter().map(|peer| peer.id).collect();
    let ranked = record_keepers(request, &ids);
    let address = |id: &KeeperId| keepers.iter().find(|peer| peer.id == *id);
    let peers = ranked.iter().filter_map(address);
    peers.map(|peer| peer.address).collect()
}

/// Records where the request is sent; returns an existing record of an order that may
/// still run.
///
/// Records with one of the `ended` nonces are replaced. The keepers' records can differ: an
/// entry may have been killed, or a message lost, after one keeper had stored its record.
pub(super) async fn insert_record(entry: &Entry, record: Record, ended: &[u64]) -> Option<Record> {
    let mut tasks = Vec::new();
    for address in record_addresses(entry, record.request) {
        let node = entry.node.clone();
        let ended = ended.to_vec();
        let task = async move { insert_at_keeper(&node, address, record, &ended).await };
        tasks.push(entry.context.pool.spawn_with_handle(task));
    }
    let mut existing = None;
    for task in tasks {
        existing = task.await.or(existing);
    }
    existing
}

/// Stores `record` at one keeper; returns the record that it keeps instead.
async fn insert_at_keeper(
    node: &Node,
    address: SocketAddr,
    record: Record,
    ended: &[u64],
) -> Option<Record> {
    let mut replaced = None;
    loop {
        let message = PeerRequest::Enrol(record, replaced);
        match node.request(address, message, RECORD_TIMEOUT).await {
            Ok(PeerResponse::Enrolled(InsertResult::Exists(earlier))) => {
                let is_ended = ended.contains(&earlier.nonce);
                if !is_ended || replaced == Some(earlier.nonce) {
                    return Some(earlier);
                }
                replaced = Some(earlier.nonce);
            }
            // Without a response the request is sent with the records of the other keepers.
            _ => return None,
        }
    }
}

pub(super) async fn remove_record(entry: &Entry, request: RequestId, nonce: u64) {
    for address in record_addresses(entry, request) {
        let message = PeerRequest::Unenrol(request, nonce);
        let _ = entry.node.request(address, message, RECORD_TIMEOUT).await;
    }
}

/// Returns the record of a request, `Some(None)` if none of its keepers has one, or `None`
/// if that isn't certain.
pub(super) async fn find_record(entry: &Entry, request: RequestId) -> Option<Option<Record>> {
    let mut is_certain = true;
    for address in record_addresses(entry, request) {
        match entry
            .node
            .request(address, PeerRequest::Find(request), RECORD_TIMEOUT)
            .await
        {
            Ok(PeerResponse::Found(Some(record))) => return Some(Some(record)),
            Ok(PeerResponse::Found(None)) => {}
            Ok(_) | Err(_) => is_certain = false,
        }
    }
    is_certain.then_some(None)
}
