//! Where requests run, so that a retry through another entry finds them.
//!
//! A keeper holds records in memory only. An entry writes one before it sends an
//! order, to the keepers that the request's identifier ranks first, so a retry
//! needs to ask just those.

use std::net::SocketAddr;

use base::AgentId;
use base::Digest;
use base::KeeperId;
use base::Map;
use base::RequestId;
use base::Span;
use base::Time;
use serde::Deserialize;
use serde::Serialize;

/// Keepers that hold a request's record.
pub const COPIES: usize = 2;

/// How long a record lasts after its last change.
pub const MEMORY: Span = Span::secs(900);

/// Where a request runs or ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The attempt.
    pub attempt: u32,
    /// The process that has the order.
    pub agent: AgentId,
    /// Where that process takes orders.
    pub address: SocketAddr,
    /// Draws apart two orders of the same request.
    pub nonce: u64,
}

/// The answer to an enrolment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Enrolled {
    /// The record is kept.
    Kept,
    /// The request runs or ran elsewhere.
    Present(Record),
}

/// The records that a keeper holds.
#[derive(Clone, Debug, Default)]
pub struct Records {
    table: Map<RequestId, (Record, Time)>,
    swept: Time,
}

impl Records {
    /// Keeps `record` unless the request is known; `replaces` names the order
    /// that the caller knows to be over.
    pub fn enrol(&mut self, record: Record, replaces: Option<u64>, now: Time) -> Enrolled {
        self.sweep(now);
        if let Some((earlier, _)) = self.table.get(&record.request) {
            let same = earlier.nonce == record.nonce;
            let over = replaces == Some(earlier.nonce);
            if !same && !over {
                return Enrolled::Present(*earlier);
            }
        }
        self.table.insert(record.request, (record, now));
        Enrolled::Kept
    }

    /// Returns the record of `request`.
    #[must_use]
    pub fn find(&self, request: RequestId) -> Option<Record> {
        self.table.get(&request).map(|(record, _)| *record)
    }

    /// Drops a record, where the request is proved not to have run.
    pub fn drop(&mut self, request: RequestId, nonce: u64) {
        if self
            .find(request)
            .is_some_and(|record| record.nonce == nonce)
        {
            self.table.remove(&request);
        }
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < Span(MEMORY.0 / 8) {
            return;
        }
        self.swept = now;
        self.table.retain(|_, (_, at)| now.since(*at) < MEMORY);
    }
}

/// Returns the keepers that hold the record of `request`, the first choice first.
///
/// Each keeper's rank depends on itself and the request only, so that a change of
/// members moves no more records than it must.
#[must_use]
pub fn homes(request: RequestId, keepers: &[KeeperId]) -> Vec<KeeperId> {
    let rank = |keeper: &KeeperId| {
        let mut hash = request.low() ^ request.high();
        hash ^= u64::from(keeper.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    };
    let mut ranked = keepers.to_vec();
    ranked.sort_by_key(|keeper| std::cmp::Reverse(rank(keeper)));
    ranked.truncate(COPIES);
    ranked
}
