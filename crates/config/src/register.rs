//! Acceptance of documents by compare-and-set, as a replicated state machine.
//!
//! Of two submissions with equal numbers exactly one is accepted. The result of a
//! submission is derived from the history of accepted numbers, so a retry gets the
//! same result from any keeper, also after a restart or a log compaction.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::canonical;
use crate::check;
use crate::check::ClusterState;
use crate::check::Fault;
use crate::document::Document;
use crate::patch::Patch;

/// Maximum number of accepted documents in the history.
const MAX_HISTORY: usize = 200_000;

/// Maximum number of patches kept for subscribers and for the history of changes.
const MAX_PATCHES: usize = 1_024;

/// A submitted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The patch from the current document to the submitted one.
    pub patch: Patch,
    /// The digest of the submitted document.
    pub digest: Digest,
    /// The operator who submits.
    pub operator: String,
}

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// The document's number.
    pub number: u64,
    /// The document's digest.
    pub digest: Digest,
    /// The operator who submitted it.
    pub operator: String,
    /// The log time of acceptance, in milliseconds.
    pub time_ms: u64,
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// The document is accepted under its number.
    Accepted(AcceptedDocument),
    /// Another document was accepted under the number.
    Conflict(AcceptedDocument),
    /// The patch does not apply to the current document.
    Stale {
        /// The number of the current document.
        current: u64,
    },
    /// The document is invalid.
    Invalid(Vec<Fault>),
}

/// The current document and the history of accepted ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    current: Arc<Document>,
    accepted: BTreeMap<u64, AcceptedDocument>,
    patches: BTreeMap<u64, Patch>,
}

impl Register {
    /// Returns the current document, which has number zero before the first submission.
    #[must_use]
    pub fn current(&self) -> &Arc<Document> {
        &self.current
    }

    /// Returns the history of accepted documents, oldest first.
    #[must_use = "iterators do nothing unless consumed"]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedDocument> + '_ {
        self.accepted.values()
    }

    /// Returns the patch that produced document `number`.
    #[must_use]
    pub fn patch(&self, number: u64) -> Option<&Patch> {
        self.patches.get(&number)
    }

    /// Returns the patches after `number`, or `None` if some are no longer kept.
    #[must_use]
    pub fn patches_since(&self, number: u64) -> Option<Vec<Patch>> {
        let found: Vec<Patch> = self
            .patches
            .range(number + 1..)
            .map(|(_, patch)| patch.clone())
            .collect();
        let complete = number + found.len() as u64 == self.current.number;
        complete.then_some(found)
    }

    /// Returns the result of a submission of `number` that the history determines, if
    /// the number is taken.
    #[must_use]
    pub fn recorded_result(&self, number: u64, digest: &Digest) -> Option<SubmitResult> {
        let accepted = self.accepted.get(&number)?;
        if accepted.digest == *digest {
            Some(SubmitResult::Accepted(accepted.clone()))
        } else {
            Some(SubmitResult::Conflict(accepted.clone()))
        }
    }

    /// Applies a committed submission at log time `time_ms`, in milliseconds.
    pub fn submit(
        &mut self,
        submission: &Submission,
        cluster: &ClusterState,
        time_ms: u64,
    ) -> SubmitResult {
        let patch = &submission.patch;
        if let Some(answer) = self.recorded_result(patch.number, &submission.digest) {
            return answer;
        }
        let current = self.current.number;
        let Ok(document) = patch.apply_verified(&self.current, &submission.digest) else {
            return SubmitResult::Stale { current };
        };
        let mut faults = check::check_document(&document);
        faults.extend(check::check_change(&self.current, &document, cluster));
        if !faults.is_empty() {
            return SubmitResult::Invalid(faults);
        }
        let accepted = AcceptedDocument {
            number: document.number,
            digest: submission.digest,
            operator: submission.operator.clone(),
            time_ms,
        };
        self.accepted.insert(document.number, accepted.clone());
        self.patches.insert(document.number, patch.clone());
        self.current = Arc::new(document);
        self.truncate_history();
        SubmitResult::Accepted(accepted)
    }

    fn truncate_history(&mut self) {
        while self.accepted.len() > MAX_HISTORY {
            self.accepted.pop_first();
        }
        while self.patches.len() > MAX_PATCHES {
            self.patches.pop_first();
        }
    }
}

/// Returns a submission of `document` as a patch to `current`.
#[must_use]
pub fn new_submission(current: &Document, document: &Document, operator: &str) -> Submission {
    Submission {
        patch: Patch::between(current, document),
        digest: canonical::digest(document),
        operator: operator.to_owned(),
    }
}
