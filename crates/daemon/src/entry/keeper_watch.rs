//! Polls the keepers for changes of the endpoints and the document.

use std::time::Duration;

use async_io::Timer;
use base::Span;
use fleet::PeerRequest;
use fleet::PeerResponse;
use fleet::wire::DocumentUpdate;
use fleet::wire::Watch;

use super::Entry;
use crate::agent::apply_patches;
use crate::settings::KeeperPeer;

/// Time between two polls of one keeper.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time to wait for a keeper's response.
const KEEPER_TIMEOUT: Span = Span::millis(1_500);

/// Polls one keeper for changes and applies them.
pub async fn watch_keeper(entry: Entry, keeper: KeeperPeer) {
    let mut version = 0;
    loop {
        let watch = Watch {
            entry: entry.tables.id(),
            version,
            document: entry.tables.document().number,
        };
        let response =
            entry
                .node
                .request(keeper.address, PeerRequest::Watch(watch), KEEPER_TIMEOUT);
        if let Ok(PeerResponse::Changes(delta, update)) = response.await {
            version = delta.version;
            apply_update(&entry, update);
            let now = entry.context.clock.now();
            for announcement in &delta.updated_endpoints {
                entry.tables.apply_announcement(announcement, now);
            }
            for endpoint in delta.removed_endpoints {
                entry.tables.remove_endpoint(endpoint);
            }
            entry.context.health.set_ready(entry.is_ready());
        } else {
            // Earlier reports stay in use. Endpoints that are no longer reported expire.
            version = 0;
        }
        Timer::after(WATCH_INTERVAL).await;
    }
}

fn apply_update(entry: &Entry, update: DocumentUpdate) {
    let document = match update {
        DocumentUpdate::Unchanged => return,
        DocumentUpdate::Full(document) => *document,
        DocumentUpdate::Patches(patches) => match apply_patches(&entry.tables.document(), &patches)
        {
            Some(document) => document,
            None => return,
        },
    };
    let number = document.number;
    if entry.tables.set_document(document) {
        log::info!("entry: document {number} is in force");
    }
}
