//! Claims on calls that may run at most once, as a replicated state machine.
//!
//! A quorum commits the claim before an entry sends the first byte of the call. While
//! the claim is held no other entry may start the call. It is released only on proof
//! that the call has not started and never will.

use base::AgentId;
use base::Digest;
use base::EntryId;
use base::Map;
use base::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// Minimum time for which a claim is kept, in milliseconds of log time.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// A claim on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The entry that makes the claim.
    pub entry: EntryId,
    /// The agent process that the call is sent to.
    pub agent: AgentId,
    /// A random number that distinguishes claims of the same entry.
    pub nonce: u64,
}

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The claim is held; the entry may send the call.
    Granted,
    /// The call is held by this other claim.
    Conflict(Claim),
    /// The same idempotency key was claimed with another body.
    BodyMismatch,
}

/// The claims held, in two generations that rotate for expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    newer: Map<RequestId, Claim>,
    older: Map<RequestId, Claim>,
    rotated_ms: u64,
}

impl Claims {
    /// Applies a committed claim at log time `time_ms`, in milliseconds.
    pub fn claim(&mut self, claim: &Claim, time_ms: u64) -> ClaimResult {
        if time_ms.saturating_sub(self.rotated_ms) >= CLAIM_RETENTION_MS {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_ms = time_ms;
        }
        match self.get(claim.request) {
            None => {
                self.newer.insert(claim.request, *claim);
                ClaimResult::Granted
            }
            Some(earlier) if earlier == *claim => ClaimResult::Granted,
            Some(earlier) if earlier.digest != claim.digest => ClaimResult::BodyMismatch,
            Some(earlier) => ClaimResult::Conflict(earlier),
        }
    }

    /// Releases a claim whose call is proved not to have started; returns whether it
    /// was held.
    pub fn release(&mut self, claim: &Claim) -> bool {
        let is_held = self.get(claim.request) == Some(*claim);
        if is_held {
            self.newer.remove(&claim.request);
            self.older.remove(&claim.request);
        }
        is_held
    }

    /// Returns the claim on `request`.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Claim> {
        let found = self
            .newer
            .get(&request)
            .or_else(|| self.older.get(&request));
        found.copied()
    }

    /// Returns the number of claims held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
