//! Stores and looks up, at the keepers, the records of where requests run.

use std::net::SocketAddr;

use base::KeeperId;
use base::RequestId;
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

/// Records where the request is sent; returns the existing record if it runs already.
pub(super) async fn insert_record(
    entry: &Entry,
    record: Record,
    replaced_nonce: Option<u64>,
) -> Option<Record> {
    let mut tasks = Vec::new();
    for address in record_addresses(entry, record.request) {
        let node = entry.node.clone();
        let message = PeerRequest::Enrol(record, replaced_nonce);
        let task = async move { node.request(address, message, RECORD_TIMEOUT).await };
        tasks.push(entry.context.pool.spawn_with_handle(task));
    }
    let mut existing = None;
    for task in tasks {
        if let Ok(PeerResponse::Enrolled(InsertResult::Exists(earlier))) = task.await {
            existing = Some(earlier);
        }
    }
    existing
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
