//! Claims of calls that may run at most once, as a replicated state.
//!
//! A claim is committed by a quorum before the first byte leaves an entry. While
//! it stands nobody else may start the call; only proof that it hasn't started
//! and never will frees it.

use base::AgentId;
use base::Digest;
use base::EntryId;
use base::Map;
use base::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// How long a claim is remembered, in milliseconds of the log's own time.
pub const MEMORY_MS: u64 = 24 * 3600 * 1000;

/// A claim of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub request: RequestId,
    /// The digest of the caller's body.
    pub digest: Digest,
    /// The entry that claims.
    pub entry: EntryId,
    /// The process that the call is sent to.
    pub agent: AgentId,
    /// Draws apart two claims of the same entry.
    pub nonce: u64,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claimed {
    /// The claim stands; the entry may send the call.
    Granted,
    /// Another claim stands.
    Taken(Claim),
    /// The same key was claimed with another body.
    OtherBody,
}

/// All claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    newer: Map<RequestId, Claim>,
    older: Map<RequestId, Claim>,
    turned: u64,
}

impl Claims {
    /// Applies a committed claim at the log's own time `at`.
    pub fn claim(&mut self, claim: &Claim, at: u64) -> Claimed {
        if at.saturating_sub(self.turned) >= MEMORY_MS {
            self.older = std::mem::take(&mut self.newer);
            self.turned = at;
        }
        match self.get(claim.request) {
            None => {
                self.newer.insert(claim.request, *claim);
                Claimed::Granted
            }
            Some(earlier) if earlier == *claim => Claimed::Granted,
            Some(earlier) if earlier.digest != claim.digest => Claimed::OtherBody,
            Some(earlier) => Claimed::Taken(earlier),
        }
    }

    /// Frees a claim whose call is proved not to have started; returns whether it
    /// stood.
    pub fn free(&mut self, claim: &Claim) -> bool {
        let stands = self.get(claim.request) == Some(*claim);
        if stands {
            self.newer.remove(&claim.request);
            self.older.remove(&claim.request);
        }
        stands
    }

    /// Returns the claim of `request`.
    #[must_use]
    pub fn get(&self, request: RequestId) -> Option<Claim> {
        let found = self
            .newer
            .get(&request)
            .or_else(|| self.older.get(&request));
        found.copied()
    }

    /// Returns the number of claims remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no claim is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
