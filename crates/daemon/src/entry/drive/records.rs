//! Records of where requests run.

use std::net::SocketAddr;

use base::KeeperId;
use base::RequestId;
use fleet::PeerRequest;
use fleet::PeerResponse;
use request::InsertResult;
use request::Record;
use request::records::record_keepers;

use super::super::Entry;
use super::RECORD_WAIT;

/// Returns the keepers that hold a request's record.
pub(super) fn record_homes(entry: &Entry, request: RequestId) -> Vec<SocketAddr> {
    let keepers = &entry.context.keepers;
    let ids: Vec<KeeperId> = keepers.iter().map(|peer| peer.id).collect();
    let ranked = record_keepers(request, &ids);
    let address = |id: &KeeperId| keepers.iter().find(|peer| peer.id == *id);
    let peers = ranked.iter().filter_map(address);
    peers.map(|peer| peer.address).collect()
}

/// Records where the request is sent; returns where it runs already.
pub(super) async fn enrol(entry: &Entry, record: Record, replaces: Option<u64>) -> Option<Record> {
    let mut tasks = Vec::new();
    for address in record_homes(entry, record.request) {
        let node = entry.node.clone();
        let ask = PeerRequest::Enrol(record, replaces);
        let task = async move { node.request(address, ask, RECORD_WAIT).await };
        tasks.push(entry.context.pool.spawn_with_handle(task));
    }
    let mut present = None;
    for task in tasks {
        if let Ok(PeerResponse::Enrolled(InsertResult::Exists(earlier))) = task.await {
            present = Some(earlier);
        }
    }
    present
}

pub(super) async fn unenrol(entry: &Entry, request: RequestId, nonce: u64) {
    for address in record_homes(entry, request) {
        let ask = PeerRequest::Unenrol(request, nonce);
        let _ = entry.node.request(address, ask, RECORD_WAIT).await;
    }
}

/// Returns the record of a request, `Some(None)` where all its homes have none, or
/// `None` where that isn't certain.
pub(super) async fn find(entry: &Entry, request: RequestId) -> Option<Option<Record>> {
    let mut certain = true;
    for address in record_homes(entry, request) {
        match entry
            .node
            .request(address, PeerRequest::Find(request), RECORD_WAIT)
            .await
        {
            Ok(PeerResponse::Found(Some(record))) => return Some(Some(record)),
            Ok(PeerResponse::Found(None)) => {}
            Ok(_) | Err(_) => certain = false,
        }
    }
    certain.then_some(None)
}
