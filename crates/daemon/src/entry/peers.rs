//! News from the keepers.

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

/// Time between two questions to one keeper.
const WATCH: Duration = Duration::from_millis(250);

/// Longest wait for a keeper's answer.
const KEEPER_WAIT: Span = Span::millis(1_500);

/// Asks one keeper again and again what changed.
pub async fn watch(entry: Entry, peer: KeeperPeer) {
    let mut version = 0;
    loop {
        let watch = Watch {
            entry: entry.tables.id(),
            version,
            document: entry.tables.document().number,
        };
        let answer = entry
            .node
            .request(peer.address, PeerRequest::Watch(watch), KEEPER_WAIT);
        if let Ok(PeerResponse::Changes(delta, news)) = answer.await {
            version = delta.version;
            take_news(&entry, news);
            let now = entry.context.clock.now();
            for announce in &delta.updated_endpoints {
                entry.tables.report(announce, now);
            }
            for endpoint in delta.removed_endpoints {
                entry.tables.gone(endpoint);
            }
            entry.context.health.set_ready(entry.ready());
        } else {
            // What was told is still of use; endpoints that fall silent drop out.
            version = 0;
        }
        Timer::after(WATCH).await;
    }
}

fn take_news(entry: &Entry, news: DocumentUpdate) {
    let newer = match news {
        DocumentUpdate::Unchanged => return,
        DocumentUpdate::Full(document) => *document,
        DocumentUpdate::Patches(patches) => match apply_patches(&entry.tables.document(), &patches)
        {
            Some(document) => document,
            None => return,
        },
    };
    let number = newer.number;
    if entry.tables.set_document(newer) {
        log::info!("entry: document {number} is in force");
    }
}
