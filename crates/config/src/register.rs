//! Acceptance by compare-and-set, as a replicated state.
//!
//! Of two submissions with equal numbers exactly one is accepted. The answer to a
//! submission follows from the history of accepted numbers, so a resend gets the
//! same answer from any keeper, also after a restart or compaction.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::Digest;
use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::check::Fault;
use crate::check::World;
use crate::document::Document;
use crate::patch::Patch;
use crate::write;

/// Accepted numbers that are remembered.
const HISTORY: usize = 200_000;

/// Patches kept for subscribers and for the history of changes.
const PATCHES: usize = 1_024;

/// A submitted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// What turns the document in force into the submitted one.
    pub patch: Patch,
    /// The digest of the submitted document.
    pub digest: Digest,
    /// Who submits.
    pub operator: String,
}

/// An accepted document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The document's number.
    pub number: u64,
    /// The document's digest.
    pub digest: Digest,
    /// Who submitted it.
    pub operator: String,
    /// When, in the log's own milliseconds.
    pub at: u64,
}

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The document is accepted under its number.
    Accepted(Accepted),
    /// Another document holds the number.
    Lost(Accepted),
    /// The document follows a number that isn't the one in force.
    Stale {
        /// The number in force.
        current: u64,
    },
    /// The document has faults.
    Faulty(Vec<Fault>),
}

/// The documents accepted so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    current: Arc<Document>,
    accepted: BTreeMap<u64, Accepted>,
    patches: BTreeMap<u64, Patch>,
}

impl Register {
    /// Returns the document in force; number zero before the first.
    #[must_use]
    pub fn current(&self) -> &Arc<Document> {
        &self.current
    }

    /// Returns the accepted documents, oldest first.
    #[must_use = "iterators do nothing unless consumed"]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Accepted> + '_ {
        self.accepted.values()
    }

    /// Returns the patch that led to `number`.
    #[must_use]
    pub fn patch(&self, number: u64) -> Option<&Patch> {
        self.patches.get(&number)
    }

    /// Returns the patches after `number`, or `None` where some are forgotten.
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

    /// Returns the answer that the history already holds for a submission.
    #[must_use]
    pub fn earlier(&self, number: u64, digest: &Digest) -> Option<Answer> {
        let accepted = self.accepted.get(&number)?;
        if accepted.digest == *digest {
            Some(Answer::Accepted(accepted.clone()))
        } else {
            Some(Answer::Lost(accepted.clone()))
        }
    }

    /// Applies a committed submission at the log's own time `at`, in milliseconds.
    pub fn submit(&mut self, submission: &Submission, world: &World, at: u64) -> Answer {
        let patch = &submission.patch;
        if let Some(answer) = self.earlier(patch.number, &submission.digest) {
            return answer;
        }
        let current = self.current.number;
        let Ok(document) = patch.apply_exact(&self.current, &submission.digest) else {
            return Answer::Stale { current };
        };
        let mut faults = check::document(&document);
        faults.extend(check::change(&self.current, &document, world));
        if !faults.is_empty() {
            return Answer::Faulty(faults);
        }
        let accepted = Accepted {
            number: document.number,
            digest: submission.digest,
            operator: submission.operator.clone(),
            at,
        };
        self.accepted.insert(document.number, accepted.clone());
        self.patches.insert(document.number, patch.clone());
        self.current = Arc::new(document);
        self.trim();
        Answer::Accepted(accepted)
    }

    fn trim(&mut self) {
        while self.accepted.len() > HISTORY {
            self.accepted.pop_first();
        }
        while self.patches.len() > PATCHES {
            self.patches.pop_first();
        }
    }
}

/// Returns the submission of `document` against the one in force.
#[must_use]
pub fn submission(current: &Document, document: &Document, operator: &str) -> Submission {
    Submission {
        patch: Patch::between(current, document),
        digest: write::digest(document),
        operator: operator.to_owned(),
    }
}
