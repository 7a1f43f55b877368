//! Exchanges with peers what is known of prompt segments that crash engines.
//!
//! News is separate from the regular updates: there is none unless an engine has crashed, and
//! processes of an earlier build ignore it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use base::Span;
use fleet::mesh::MeshRequest;
use futures_lite::FutureExt as _;
use routing::crash_suspects::CrashNews;

use crate::peer_requests::reachable_peers;
use crate::peer_requests::request_peer;
use crate::state::ProcessContext;

/// Time between two messages to a peer while there is news. It bounds how long a process
/// that has restarted, or was partitioned, doesn't know blocked segments.
const NEWS_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two messages.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for a peer's response.
const NEWS_TIMEOUT: Span = Span::millis(400);

/// Tells all peers of crashes until the process ends.
pub async fn share_crash_news(shared: Arc<ProcessContext>) {
    let mut is_fresh = true;
    loop {
        let listener = shared.crash_news.listen();
        let news = shared.state().crash_suspects.news(shared.now());
        if !news.is_empty() {
            for address in receivers(&shared, is_fresh) {
                let request = MeshRequest::CrashNews(Box::new(news.clone()));
                let shared = Arc::clone(&shared);
                let pool = shared.pool.clone();
                // News is repeated, so a lost message does no harm.
                pool.spawn(async move {
                    let _ = request_peer(&shared, address, request, NEWS_TIMEOUT).await;
                });
            }
        }
        let told = async {
            listener.await;
            true
        };
        let tick = async {
            if news.is_empty() {
                shared.tick.listen().await;
            } else {
                Timer::after(MIN_NEWS_INTERVAL + NEWS_INTERVAL).await;
            }
            false
        };
        is_fresh = told.or(tick).await || news.is_empty();
        if is_fresh && !news.is_empty() {
            Timer::after(MIN_NEWS_INTERVAL).await;
        }
    }
}

/// Returns the peers to tell: all of them at first, and regularly those that are linked, which
/// tell others.
fn receivers(shared: &ProcessContext, is_fresh: bool) -> Vec<SocketAddr> {
    if is_fresh {
        let leader = shared.state().leader;
        let leader = leader.filter(|&address| address != shared.own_member.address);
        return reachable_peers(shared).into_iter().chain(leader).collect();
    }
    shared.state().peers.links().paces.keys().copied().collect()
}

/// Applies a peer's news.
pub fn apply_crash_news(shared: &ProcessContext, news: &CrashNews) {
    let now = shared.now();
    let blocked = shared.state().crash_suspects.apply_news(news, now);
    log_blocked(&blocked);
}

/// Logs segments that are blocked from now on.
pub fn log_blocked(segments: &[u64]) {
    for segment in segments {
        log::warn!("engine: event=segment_blocked segment={segment:x}");
    }
}
