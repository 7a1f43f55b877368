//! Records of which agent runs a request, so that a retry through another entry finds
//! it.
//!
//! A keeper keeps records in memory only. Before an entry sends an order, it writes a
//! record to the keepers that rendezvous hashing of the request's identifier ranks
//! first, so a retry needs to ask only those.

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

/// Number of keepers that store a request's record.
pub const RECORD_REPLICAS: usize = 2;

/// How long a record is kept after its last change.
pub const RECORD_RETENTION: Span = Span::secs(900);

/// The agent that runs or ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The attempt.
    pub attempt: u32,
    /// The agent process that got the order.
    pub agent: AgentId,
    /// The address at which that process accepts orders.
    pub address: SocketAddr,
    /// A random number that distinguishes orders of the same request.
    pub nonce: u64,
}

/// The result of inserting a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InsertResult {
    /// The record is stored.
    Stored,
    /// The request runs or ran under this other record.
    Exists(Record),
}

/// The records that a keeper stores.
#[derive(Clone, Debug, Default)]
pub struct Records {
    table: Map<RequestId, (Record, Time)>,
    last_sweep: Time,
}

impl Records {
    /// Stores `record` unless there is another one for the request. `replaces` is the
    /// nonce of an order that the caller knows to have ended.
    pub fn insert(&mut self, record: Record, replaces: Option<u64>, now: Time) -> InsertResult {
        self.sweep(now);
        if let Some((earlier, _)) = self.table.get(&record.request) {
            let same_order = earlier.nonce == record.nonce;
            let is_replaced = replaces == Some(earlier.nonce);
            if !same_order && !is_replaced {
                return InsertResult::Exists(*earlier);
            }
        }
        self.table.insert(record.request, (record, now));
        InsertResult::Stored
    }

    /// Returns the record of `request`.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Record> {
        self.table.get(&request).map(|(record, _)| *record)
    }

    /// Removes the record with `nonce`, whose request is proved not to have run.
    pub fn remove(&mut self, request: RequestId, nonce: u64) {
        if self
            .get(request)
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

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < Span(RECORD_RETENTION.0 / 8) {
            return;
        }
        self.last_sweep = now;
        self.table
            .retain(|_, (_, changed)| now.since(*changed) < RECORD_RETENTION);
    }
}

/// Returns the keepers that store the record of `request`, highest rank first.
///
/// This is rendezvous hashing: a keeper's rank depends only on itself and the request,
/// so that a change of members moves as few records as possible.
#[must_use]
pub fn record_keepers(request: RequestId, keepers: &[KeeperId]) -> Vec<KeeperId> {
    let rank = |keeper: &KeeperId| {
        let mut hash = request.low_bits() ^ request.high_bits();
        hash ^= u64::from(keeper.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        hash ^ (hash >> 31)
    };
    let mut ranked = keepers.to_vec();
    ranked.sort_by_key(|keeper| std::cmp::Reverse(rank(keeper)));
    ranked.truncate(RECORD_REPLICAS);
    ranked
}
