//! The number of this entry, which decides its part of the bound on cold engines.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_io::Timer;
use base::Time;
use fleet::mesh::MeshRequest;
use fleet::mesh::MeshResponse;
use routing::warm_up::START_DELAY;

use crate::leader_requests::LEADER_TIMEOUT;
use crate::leader_requests::request_leader;
use crate::state::ProcessContext;

/// Time between two attempts to learn this entry's number.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The number of this entry, once the group has assigned it.
#[derive(Debug, Default)]
pub struct EntryNumber(OnceLock<u32>);

impl EntryNumber {
    /// Returns the number, if the requests of an earlier run of this process have left the
    /// window of the bound.
    #[must_use]
    pub fn get(&self, now: Time) -> Option<u32> {
        let number = self.0.get().copied();
        number.filter(|_| Time::default().until(now) >= START_DELAY)
    }
}

/// Asks for this entry's number once the configuration has a service whose engines warm up.
pub async fn number_entry(shared: Arc<ProcessContext>) {
    if shared.settings.listen.callers.is_none() {
        return;
    }
    loop {
        let listener = shared.config_news.listen();
        let site = shared.state().site_index.clone();
        let services = site.iter().flat_map(|index| &index.site().services);
        if services.map(|service| service.warm_up).any(|w| w.is_some()) {
            break;
        }
        listener.await;
    }
    let request = MeshRequest::NumberEntry(shared.own_member.address);
    loop {
        let answer = request_leader(&shared, &request, LEADER_TIMEOUT).await;
        if let MeshResponse::EntryNumber(number) = answer {
            shared.entry_number.0.get_or_init(|| number);
            log::info!("warm_up: event=numbered number={number}");
            return;
        }
        Timer::after(RETRY_DELAY).await;
    }
}
